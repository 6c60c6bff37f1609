#ifndef FIGBEND_DRAIN_H
#define FIGBEND_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Which requests a host still accepts while it stops in order. The load balancer
 * goes on to send requests for a moment, and callers use open connections. A
 * request is accepted only if it ends before the process does: a call ends at
 * its deadline at the latest; how long a stream will be is estimated from the
 * caller's hint and the pace of recent streams. Whatever still runs shortly
 * before the end gets its response then.
 *
 * No I/O and no clock; times are of one monotonic clock in microseconds.
 */

struct drain {
	bool stopping;
	int64_t start_us; /* when the stop began */
	int64_t grace_us; /* the process ends this long after that */
	double event_us;  /* average time between two events of a stream */
	double first_us;  /* average time until the first event */
};

/* grace_s is the time from SIGTERM to SIGKILL. */
void drain_init(struct drain *d, double grace_s);
void drain_start(struct drain *d, int64_t now_us);
/* Returns true if requests still arrive in numbers, by the load balancer. */
bool drain_is_listening(const struct drain *d, int64_t now_us);
/*
 * Returns the time until which requests may run, so that their responses still
 * reach the callers. INT64_MAX if the host does not stop.
 */
int64_t drain_deadline_us(const struct drain *d);
/* Returns true once the process is to end, whatever still runs. */
bool drain_is_over(const struct drain *d, int64_t now_us);
/* Records a stream whose first event came after first_us, and its pace. */
void drain_observe(struct drain *d, int64_t first_us, int64_t stream_us,
		   uint64_t events);
/* Returns true if a call that ends within longest_us is accepted. */
bool drain_accepts_call(const struct drain *d, int64_t longest_us,
			int64_t now_us);
/* Returns true if a stream of about so many events is accepted. */
bool drain_accepts_stream(const struct drain *d, double events, int64_t now_us);

#endif
