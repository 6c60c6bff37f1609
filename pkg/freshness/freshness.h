#ifndef FIGBEND_FRESHNESS_H
#define FIGBEND_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Bounds the age of what a host knows of the store's streams whose records must be
 * in force in time: configurations, with keys and limits of accounts, withdrawn
 * domains, and entries of endpoints.
 *
 * Few hosts read the store; the others get the records from them. No message of
 * another host that it reads the store proves anything about the next second: it may
 * be killed, frozen or cut off, or the connection of its read may be dead. So hosts
 * tell each other as of which time their knowledge is complete: the time of a
 * response of the store that showed the end of a stream. The newest such time is
 * passed on from host to host, beside the position that it belongs to. One of the
 * readers, the first by its id, asks the store often. Each other one waits for new
 * records, and asks again if it learns of no newer response. A host that does not read
 * the store does so when its knowledge has reached a certain age.
 *
 * The largest age of the knowledge of a host that reaches the store, while that
 * responds:
 *
 *     f->stale_us             age at which a host turns to the store itself
 *   + FRESHNESS_CHECK_US      until the age is looked at
 *   + FRESHNESS_TURN_US       random delay, so that hosts do not all ask at once
 *   + FRESHNESS_READ_US       connection, requests and responses of both streams, which
 *                             store_reader.c reads one after the other
 *   + FRESHNESS_DELAY_US      of a response of the store and of the messages that
 *                             pass on its time, which ages do not include
 *   + FRESHNESS_APPLY_US      until records are in effect for all requests
 *   = the bound given to freshness_init()
 *
 * No I/O and no clock: times are of the caller's monotonic clock, in microseconds.
 */

#define FRESHNESS_STREAMS 2

/* Interval of freshness_step(), at the most. */
#define FRESHNESS_CHECK_US 100000LL
#define FRESHNESS_TURN_US 200000LL
#define FRESHNESS_READ_US 250000LL
#define FRESHNESS_DELAY_US 100000LL
#define FRESHNESS_APPLY_US 100000LL
#define FRESHNESS_REACTION_US                                                  \
	(FRESHNESS_CHECK_US + FRESHNESS_TURN_US + FRESHNESS_READ_US +          \
	 FRESHNESS_DELAY_US + FRESHNESS_APPLY_US)

/* How long the first reader lets the store hold its read open. */
#define FRESHNESS_FIRST_WAIT_MS 500
/* The same of the others, at least and at most; the store allows 30 s. */
#define FRESHNESS_OTHER_WAIT_MIN_MS 20000
#define FRESHNESS_OTHER_WAIT_MAX_MS 28000
/* A reader asks again at this age: a response of the first one is due after 0.5 s,
 * and is known to the other readers 0.3 s later. */
#define FRESHNESS_OVERDUE_US 900000LL
/* Readers ask one after the other, by their rank up to a limit. */
#define FRESHNESS_RANK_STEP_US 50000LL
#define FRESHNESS_RANK_STEPS_MAX 4
/* A host leaves the store to others once they know it by this much newer than by its
 * own reads. Less may be its own knowledge, which comes back with the delays of
 * messages taken off its age. */
#define FRESHNESS_NEWER_US 100000LL
/* A host that turned to the store, and from which other hosts do not hear that it
 * reads, asks at this interval, at least and at most, without a wait. */
#define FRESHNESS_ASK_MIN_MS 400
#define FRESHNESS_ASK_MAX_MS 600
/* A host that starts gets its first records within this time, from others or from
 * the store. Until then its knowledge does not count as old. */
#define FRESHNESS_START_US 3000000LL
/* A lower age would make hosts read the store that are about to hear of a newer
 * response. */
#define FRESHNESS_STALE_MIN_US 1100000LL
/* The shortest bound that can be kept. */
#define FRESHNESS_BOUND_MIN_US (FRESHNESS_STALE_MIN_US + FRESHNESS_REACTION_US)

struct freshness {
	int64_t stale_us;
	int64_t start_us;
	/* As of when each stream is known, by this host's own reads and by what
	 * other hosts told it; 0 if never. */
	int64_t read_us[FRESHNESS_STREAMS];
	int64_t told_us[FRESHNESS_STREAMS];
	int64_t turn_us; /* when this host turns to the store; 0 if not planned */
	bool reads;	 /* it did, and was told nothing newer since */
};

/*
 * Begins at a start of the host. bound_us is the longest time that a record may take
 * from the store's acknowledgement until it is in force; one below
 * FRESHNESS_BOUND_MIN_US is not kept.
 */
void freshness_init(struct freshness *f, int64_t bound_us, int64_t now_us);
/*
 * Records that the host holds all records that the store had of a stream at a time,
 * by a response of the store, or by another host.
 */
void freshness_set_read(struct freshness *f, int stream, int64_t as_of_us);
void freshness_set_told(struct freshness *f, int stream, int64_t as_of_us);
/* Returns as of when a stream is known, or 0 if that is unknown. */
int64_t freshness_as_of_us(const struct freshness *f, int stream);
/* Returns the age of the stream that has not been known for longest. */
int64_t freshness_age_us(const struct freshness *f, int64_t now_us);
/*
 * Returns true if the host has to read the store itself, whatever other hosts say of
 * themselves; random is a number from 0 to 1. To be called every FRESHNESS_CHECK_US at
 * least. Of several hosts that turned to the store, the one that read it last goes on,
 * as nobody can tell it anything newer.
 */
bool freshness_step(struct freshness *f, double random, int64_t now_us);
/*
 * Returns true if a reader that waits for new records of a stream has to ask at once:
 * its connection may be dead. rank is its place among the hosts that read.
 */
bool freshness_is_overdue(const struct freshness *f, int stream, uint32_t rank,
			  int64_t now_us);
/* Returns for how many milliseconds the store may hold a read open. */
uint32_t freshness_wait_ms(uint32_t rank, double random);

#endif
