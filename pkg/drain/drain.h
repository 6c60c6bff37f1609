#ifndef FIGBEND_DRAIN_H
#define FIGBEND_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Which requests a host still accepts while it stops in order. The load balancer
 * goes on to send requests for a moment, and callers use open connections. A
 * request is accepted only if it probably ends before the process does: how long
 * a stream will be is estimated from the caller's hint and the pace of recent
 * streams, how long a call takes from recent calls and its latency target. A
 * request that may not be repeated needs more time in reserve. Whatever still
 * runs shortly before the end gets its response then.
 *
 * No I/O and no clock; times are of one monotonic clock in microseconds.
 */

struct drain {
	bool stopping;
	int64_t start_us; /* when the stop began */
	int64_t grace_us; /* the process ends this long after that */
	double event_us;  /* average time between two events of a stream */
	double first_us;  /* average time until the first event */
	double call_us;	  /* average time that a call takes */
	double call_deviation_us; /* average distance from that average */
};

/* A request other than a stream. */
struct drain_call {
	int64_t longest_us; /* until its deadline */
	int64_t target_us;  /* its latency target, 0 if it has none */
	bool repeatable;    /* it may be executed more than once */
};

struct drain_stream {
	double expected_events;
	double max_events; /* 0 if not known */
	bool repeatable;   /* it can go on elsewhere after its last event */
};

/* grace_s is the time from SIGTERM to SIGKILL. */
void drain_init(struct drain *d, double grace_s);
void drain_start(struct drain *d, int64_t now_us);
/* Returns true if requests still arrive in numbers, by the load balancer. */
bool drain_is_listening(const struct drain *d, int64_t now_us);
/*
 * Returns the time until which requests may run; their responses must be sent
 * then. INT64_MAX if the host does not stop.
 */
int64_t drain_deadline_us(const struct drain *d);
/* Returns true once the process is to end, whatever still runs. */
bool drain_is_over(const struct drain *d, int64_t now_us);
/* Records a stream whose first event came after first_us, and its pace. */
void drain_observe(struct drain *d, int64_t first_us, int64_t stream_us,
		   uint64_t events);
/* Records a call that was answered after so long. */
void drain_observe_call(struct drain *d, int64_t took_us);
/*
 * Returns true if a call that starts now ends in time: surely, by its deadline,
 * or probably.
 */
bool drain_fits_call(const struct drain *d, const struct drain_call *c,
		     int64_t now_us);
/* Returns true if a stream that starts now probably ends in time. */
bool drain_fits_stream(const struct drain *d, const struct drain_stream *s,
		       int64_t now_us);
/*
 * Return true if a request that arrives now is accepted: once the load balancer
 * has removed the host, only a call that surely ends in time.
 */
bool drain_accepts_call(const struct drain *d, const struct drain_call *c,
			int64_t now_us);
bool drain_accepts_stream(const struct drain *d, const struct drain_stream *s,
			  int64_t now_us);

#endif
