#ifndef FIGBEND_SPREAD_H
#define FIGBEND_SPREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Spreads records that are large for the links of hosts. A host sends them at a
 * bounded rate (token bucket). Those that it cannot serve at the moment it directs
 * to hosts that it has served: these have the records, or are about to. So the
 * number of hosts that send grows with those that have the records, as in a
 * multicast tree, and no link is full for long.
 *
 * A host that is directed to one that has nothing yet, or is down, asks again
 * later; who has what is only a hint.
 *
 * No I/O and no clock: now_us is the caller's monotonic clock in microseconds.
 */

#define SPREAD_NAME_BYTES 64
#define SPREAD_SERVED_MAX 16

/* A host to which records were sent. */
struct spread_served {
	char name[SPREAD_NAME_BYTES];
	uint64_t upto; /* it has all records before this position */
};

struct spread {
	/* Bytes that may be sent; less than 0 after a large reply. */
	double level_bytes;
	int64_t refilled_us;
	struct spread_served served[SPREAD_SERVED_MAX]; /* a ring */
	uint32_t n_served;				/* since the start */
	uint32_t turn;					/* counts directions */
};

void spread_init(struct spread *s, int64_t now_us);
/*
 * Returns true if a reply of that many bytes may be sent to the host now, and
 * counts it. The host then has all records before the position upto.
 */
bool spread_take(struct spread *s, const char *host, uint64_t upto,
		 size_t bytes, int64_t now_us);
/*
 * Returns a host that was sent records beyond the position from, not the asking one
 * itself; or NULL. It is valid until the next call of spread_take().
 */
const char *spread_instead(struct spread *s, const char *host, uint64_t from);

#endif
