#ifndef FIGBEND_QUARANTINE_H
#define FIGBEND_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Finds requests that crash endpoints, and blocks them. A request that was
 * running on an endpoint when the endpoint crashed is a suspect; a fingerprint
 * of the request's content identifies it. Its crashes are counted, including
 * those that other hosts report. A crash that this host records blocks the
 * suspect if the count has reached crashes_max; a report of another host blocks
 * it only if that host has blocked it. The limit crashes_max is higher by 2 if
 * other suspects ran on the endpoint at the crash, since any of them may have
 * caused it, so suspects should run apart. An entry expires ten minutes after
 * its last crash, but not while the request runs.
 *
 * No I/O and no clock: now_us is the caller's monotonic clock in microseconds.
 */

#define QUARANTINE_ENTRIES_MAX 512
#define QUARANTINE_ENDPOINT_BYTES 64

enum quarantine_verdict {
	QUARANTINE_CLEAR,
	QUARANTINE_SUSPECT, /* run it apart from other suspects */
	QUARANTINE_BLOCKED, /* refuse it */
};

struct quarantine_entry {
	uint64_t fingerprint; /* 0 if the entry is free */
	uint32_t crashes;
	bool blocked;
	int64_t last_crash_us;
	char endpoint[QUARANTINE_ENDPOINT_BYTES]; /* of the latest run */
	uint32_t running;			  /* runs in progress */
	int64_t ended_us; /* latest end of a run or crash; 0 if none */
};

struct quarantine {
	struct quarantine_entry entry[QUARANTINE_ENTRIES_MAX];
	uint32_t crashes_max;	  /* limit for a suspect that runs apart */
	int64_t blocked_until_us; /* when the last block expires; 0 if none */
};

/* Clears all entries and sets crashes_max to 2; callers may change it. */
void quarantine_init(struct quarantine *q);
/*
 * Returns true if any request may be blocked. If not, there is no need to
 * compute a fingerprint for quarantine_check().
 */
bool quarantine_blocks_any(const struct quarantine *q, int64_t now_us);
/* Returns the initial value for quarantine_hash(). */
uint64_t quarantine_hash_start(void);
/* Returns the 64-bit FNV-1a hash h extended by n bytes. */
uint64_t quarantine_hash(uint64_t h, const void *p, size_t n);
/* Returns the fingerprint of a model and a prompt; never 0. */
uint64_t quarantine_fingerprint(const char *model, const char *prompt);
/* Returns the verdict on a request, QUARANTINE_CLEAR if it is no suspect. */
enum quarantine_verdict quarantine_check(struct quarantine *q,
					 uint64_t fingerprint, int64_t now_us);
/* Records that a request starts on an endpoint; ignores all but suspects. */
void quarantine_started(struct quarantine *q, uint64_t fingerprint,
			const char *endpoint, int64_t now_us);
/* Records that a run of a suspect ended, for whatever reason. */
void quarantine_ended(struct quarantine *q, uint64_t fingerprint,
		      int64_t now_us);
/*
 * Counts a crash of an endpoint against a request that was running there.
 * Returns true if the request is blocked from now on. The table has a fixed
 * size: a new suspect replaces the one with the oldest crash.
 */
bool quarantine_record_crash(struct quarantine *q, uint64_t fingerprint,
			     const char *endpoint, int64_t now_us);
/*
 * Counts a crash that another host reports. blocked is that host's verdict and
 * blocks the request here as well.
 */
void quarantine_apply_report(struct quarantine *q, uint64_t fingerprint,
			     bool blocked, int64_t now_us);

#endif
