#ifndef FIGBEND_POISON_H
#define FIGBEND_POISON_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Finds what crashes the endpoints that execute it, and blocks it: a request that
 * callers repeat, or a part that many prompts share (poison messages).
 *
 * A request has a chain of keys, from what most other requests share to what
 * only its repeats have. If a connection breaks before the answer has begun,
 * each key of the request is charged with a break at that endpoint. An answer
 * that begins acquits all keys of its request, since poison crashes each
 * endpoint; so a key is suspect only while its breaks follow each other without
 * an answer in between. From POISON_BREAKS breaks on the deepest key of the
 * chain that has so many is blocked, and the keys above it keep only their
 * newest break: what they share with other requests is blamed only if crashes
 * go on without the deepest one.
 *
 * Breaks of one key at nearly the same time count once, as they may have a cause in
 * common (a failure domain is lost), unless the request was sent after the other
 * break. A break counts for a short time unless the
 * endpoint is known to have crashed. A block ends after a time that doubles from
 * one block to the next; the next break then renews it.
 *
 * Hosts exchange their entries, as ages, since their clocks differ. Merging is
 * idempotent and does not depend on the order of messages.
 *
 * No I/O and no clock: now_us is the caller's monotonic clock in microseconds.
 */

#define POISON_ENTRIES_MAX 256
#define POISON_BREAKS 3
#define POISON_KEYS_MAX 17 /* of a request */

struct poison_break {
	uint64_t endpoint; /* hash of the endpoint and its start */
	int64_t sent_us;   /* when the request was sent there */
	int64_t at_us;
	bool confirmed; /* the endpoint crashed */
};

struct poison_entry {
	uint64_t key; /* 0 if the entry is free */
	/* Newest first. */
	struct poison_break brk[POISON_BREAKS];
	uint32_t n_breaks;
	int64_t acquitted_us; /* breaks until then do not count; 0 if none */
	int64_t blocked_until_us;
	uint32_t blocks;
	int64_t changed_us; /* last change of the fields above, but the blocks */
};

struct poison {
	struct poison_entry entry[POISON_ENTRIES_MAX];
	uint32_t n_suspects;	  /* entries with breaks */
	int64_t blocked_until_us; /* the last block ends; 0 if none */
};

/* What hosts tell each other of a key. */
struct poison_report {
	uint64_t key;
	uint32_t acquitted_ms; /* age of the acquittal; UINT32_MAX if none */
	uint32_t blocked_ms;   /* time that the block has left, 0 if none */
	uint32_t blocks;
	uint32_t n_breaks;
	struct {
		uint64_t endpoint;
		uint32_t age_ms;
		uint32_t took_ms; /* from the send to the break */
		bool confirmed;
	} brk[POISON_BREAKS];
};

void poison_init(struct poison *p);
/* Returns true if any key has breaks: else no keys need to be computed. */
bool poison_suspects_any(const struct poison *p);
/* Returns true if a key may be blocked. */
bool poison_blocks_any(const struct poison *p, int64_t now_us);
/*
 * Returns the time in microseconds for which a request with these keys is
 * blocked, or 0.
 */
int64_t poison_blocked_us(struct poison *p, const uint64_t *key, uint32_t n,
			  int64_t now_us);
/*
 * Charges a request whose connection to an endpoint broke before its answer had
 * begun. key is its chain, the most shared key first. Returns the key that is
 * blocked thereby, or 0.
 */
uint64_t poison_charge(struct poison *p, const uint64_t *key, uint32_t n,
		       const struct poison_break *brk, int64_t now_us);
/* The endpoint is known to have crashed. Returns how many breaks that confirms. */
uint32_t poison_confirm(struct poison *p, uint64_t endpoint);
/*
 * The answer to a request with these keys has begun. Returns true if one of them
 * was suspect, so that other hosts are to be told.
 */
bool poison_acquit(struct poison *p, const uint64_t *key, uint32_t n,
		   int64_t now_us);
/*
 * Writes up to max reports, those of blocked keys first, and returns their
 * number. With since_us, only keys that changed from then on.
 */
uint32_t poison_report(const struct poison *p, struct poison_report *out,
		       uint32_t max, int64_t since_us, int64_t now_us);
/* Merges the report of another host. Returns true if that blocks the key. */
bool poison_merge(struct poison *p, const struct poison_report *r,
		  int64_t now_us);

#endif
