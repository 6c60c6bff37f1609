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
 * an answer in between. With POISON_BREAKS breaks it is accused.
 *
 * An endpoint that crashes breaks all requests that wait there, at several hosts.
 * So an accused key is judged only after a moment, when the reports of other
 * hosts have arrived. A deeper key that broke at all the same endpoints is the
 * narrower explanation: of the breaks that it explains only the newest still
 * counts against the key above. Otherwise the accused key is blocked, unless it
 * was answered before it became suspect: then its breaks so far are put down to
 * chance, once.
 *
 * Connections also break when endpoints do not crash. So a block is short until
 * it is proven: the store shows that as many endpoints crashed as it takes to
 * accuse a key. A break counts for a short time until it is confirmed.
 *
 * A block ends by an answer, or after a time that doubles from one proven block
 * to the next. Nothing else ends it: hosts that learn of breaks in another order
 * may blame different keys, but never undo each other's blocks. While a key is
 * blocked, the breaks of requests that were sent before are its own, and charge
 * no other key.
 *
 * After a proven block hosts take turns to let one request through, until one is
 * answered or the key is blocked again (half-open circuit breaker).
 *
 * Hosts exchange their entries, as ages, since their clocks differ. Merging is
 * idempotent and does not depend on the order of messages.
 *
 * No I/O and no clock: now_us is the caller's monotonic clock in microseconds.
 */

#define POISON_ENTRIES_MAX 256
#define POISON_BREAKS 3	    /* that accuse a key */
#define POISON_BREAKS_MAX 8 /* that are kept of a key */
#define POISON_KEYS_MAX 17  /* of a request */
#define POISON_ANSWERED_MAX 1024

struct poison_break {
	uint64_t endpoint; /* hash of the endpoint and its start */
	int64_t at_us;
	bool confirmed; /* the endpoint crashed */
};

struct poison_entry {
	uint64_t key;	/* 0 if the entry is free */
	uint32_t depth; /* position in the chain */
	/* Newest first. */
	struct poison_break brk[POISON_BREAKS_MAX];
	uint32_t n_breaks;
	int64_t acquitted_us;  /* of the last answer; 0 if none */
	int64_t explained_us;  /* breaks until then do not accuse; 0 if none */
	uint64_t explained_by; /* the deeper key; 0 if it was not one */
	int64_t accused_us;    /* 0 if it is not accused */
	int64_t blocked_us;    /* start of the last block; 0 if none */
	bool proven;	       /* it is known to crash endpoints */
	uint32_t blocks;       /* that were proven, and the last one */
	int64_t probed_us;     /* last request let through after a block */
	int64_t changed_us; /* last change that other hosts need to know of */
};

/* The last answer to a request with a key. */
struct poison_answered {
	uint64_t key;
	int64_t at_us;
};

struct poison {
	struct poison_entry entry[POISON_ENTRIES_MAX];
	struct poison_answered answered[POISON_ANSWERED_MAX]; /* by key */
	uint32_t n_suspects; /* entries with breaks or a block */
	uint32_t n_accused;  /* entries to be judged */
	bool store_lost;     /* see poison_set_store_lost() */
	uint64_t host;	     /* see poison_set_hosts() */
	uint32_t hosts;
};

/* What hosts tell each other of a key. */
struct poison_report {
	uint64_t key;
	uint32_t depth;
	uint32_t acquitted_ms; /* age of the acquittal; UINT32_MAX if none */
	uint32_t explained_ms; /* age of explained_us; UINT32_MAX if none */
	uint64_t explained_by;
	uint32_t blocked_ms; /* age of the last block; UINT32_MAX if none */
	bool proven;
	uint32_t blocks;
	uint32_t n_breaks;
	struct {
		uint64_t endpoint;
		uint32_t age_ms;
		bool confirmed;
	} brk[POISON_BREAKS_MAX];
};

void poison_init(struct poison *p);
/*
 * Tells whether the store shows crashes at present. If not, blocks are as long as
 * if they were proven.
 */
void poison_set_store_lost(struct poison *p, bool lost);
/* Tells the hash of this host's name and the number of hosts, this one included. */
void poison_set_hosts(struct poison *p, uint64_t host, uint32_t hosts);
/* Returns true if a key has breaks or a block: else nothing needs to be asked. */
bool poison_suspects_any(const struct poison *p);
/*
 * Returns the time in microseconds for which a request with these keys is
 * blocked, or 0.
 */
int64_t poison_blocked_us(const struct poison *p, const uint64_t *key,
			  uint32_t n, int64_t now_us);
/*
 * Returns 0 if a new request with these keys may be sent to an endpoint, else how
 * long it is blocked or hosts wait until they let the next one through. If 0 is
 * returned, the request may be the one that this host lets through.
 */
int64_t poison_admit_us(struct poison *p, const uint64_t *key, uint32_t n,
			int64_t now_us);
/*
 * Charges a request whose connection to an endpoint broke before its answer had
 * begun. key is its chain, the most shared key first.
 */
void poison_charge(struct poison *p, const uint64_t *key, uint32_t n,
		   const struct poison_break *brk, int64_t now_us);
/* Returns true if poison_judge() has something to do now or soon. */
bool poison_is_accusing(const struct poison *p);
/*
 * Judges the keys that have been accused for long enough. Returns the number of
 * keys that are blocked thereby, and writes up to max of them to blocked.
 */
uint32_t poison_judge(struct poison *p, uint64_t *blocked, uint32_t max,
		      int64_t now_us);
/* The endpoint is known to have crashed. Returns how many breaks that confirms. */
uint32_t poison_confirm(struct poison *p, uint64_t endpoint, int64_t now_us);
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
