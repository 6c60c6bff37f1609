#ifndef FIGBEND_QUARANTINE_H
#define FIGBEND_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Requests that ran on an endpoint as it crashed are suspects, by a fingerprint
 * of model and prompt. A suspect that is there again at another crash, with no
 * other suspect beside it, is quarantined; one that had company is only counted
 * and must run apart. Counts come from all hosts and decay.
 */

#define QUARANTINE_ENTRIES_MAX 512
#define QUARANTINE_ENDPOINT_BYTES 64

enum quarantine_verdict {
	QUARANTINE_CLEAR,
	QUARANTINE_SUSPECT, /* run it apart from other suspects */
	QUARANTINE_BLOCKED, /* refuse it */
};

struct quarantine_entry {
	uint64_t fingerprint; /* 0: free */
	uint32_t crashes;
	bool blocked;
	int64_t last_crash_us; /* crash */
	char endpoint
		[QUARANTINE_ENDPOINT_BYTES]; /* where it runs or last ran */
	uint32_t running;
	int64_t ended_us;
};

struct quarantine {
	struct quarantine_entry entry[QUARANTINE_ENTRIES_MAX];
	uint32_t crashes_max;	  /* alone, until a request is held */
	int64_t blocked_until_us; /* of all that are held; 0: none is */
};

void quarantine_init(struct quarantine *q);
/* Whether any request is held, to spare others the fingerprint. */
bool quarantine_blocks_any(const struct quarantine *q, int64_t now_us);
/* Fingerprints of parts that may hold any bytes. */
uint64_t quarantine_hash_start(void);
uint64_t quarantine_hash(uint64_t h, const void *p, size_t n);
uint64_t quarantine_fingerprint(const char *model, const char *prompt);
enum quarantine_verdict quarantine_check(struct quarantine *q, uint64_t print,
					 int64_t now_us);
void quarantine_started(struct quarantine *q, uint64_t print,
			const char *endpoint, int64_t now_us);
void quarantine_ended(struct quarantine *q, uint64_t print, int64_t now_us);
bool quarantine_record_crash(struct quarantine *q, uint64_t print,
			     const char *endpoint, int64_t now_us);
void quarantine_apply_report(struct quarantine *q, uint64_t print, bool held,
			     int64_t now_us);

#endif
