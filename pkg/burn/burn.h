#ifndef FIGBEND_BURN_H
#define FIGBEND_BURN_H

#include <stdint.h>

/*
 * Service-level burn: how fast each pair of client account and model uses up
 * its error budget, and on what. An objective says which share of requests has
 * to be good: answered whole, with the first token and the mean gap between
 * tokens within their targets. Sums and buckets of several hosts are merged by
 * adding.
 */

#define BURN_NAME_BYTES 64
#define BURN_PPM 1000000 /* parts in a whole */
#define BURN_PAIRS_MAX 2048
#define BURN_BUCKETS 16
#define BURN_SHORT_SLOTS 10
#define BURN_SHORT_SLOT_US (30LL * 1000000) /* 5 min in all */
#define BURN_LONG_SLOTS 12
#define BURN_LONG_SLOT_US (300LL * 1000000) /* 1 h in all */
#define BURN_TIMELINE_SLOTS 120
#define BURN_TIMELINE_SLOT_US (5LL * 1000000) /* 10 min in all */
#define BURN_OTHER "*" /* account and model of pairs that had to make room */

/* What used the error budget up. */
enum burn_cause {
	BURN_GOOD,
	BURN_QUEUE,
	BURN_PREFILL,
	BURN_TRANSFER,
	BURN_DECODE,
	BURN_REFUSED,
	BURN_ABORTED,
	BURN_CAUSE_COUNT,
};

enum burn_end {
	BURN_END_COMPLETE,
	BURN_END_REFUSED, /* by us; not for the account's own rate */
	BURN_END_ABORTED,
};

struct burn_objective {
	uint32_t first_token_ms;
	uint32_t token_gap_ms;
	uint32_t good_ppm; /* of requests that have to be good, in millionths */
};

/* One request that ended. */
struct burn_sample {
	const char *account;
	const char *model;
	struct burn_objective objective;
	enum burn_end end;
	int64_t queue_us; /* from arrival until a slot was reserved */
	int64_t prefill_us;
	int64_t transfer_us;
	int64_t first_token_us; /* from arrival to the first token */
	int64_t token_gap_us;	/* mean, between tokens */
};

/* Requests of a time by what became of them. */
struct burn_counts {
	uint64_t n[BURN_CAUSE_COUNT];
};

struct burn_slot {
	int64_t number; /* of the slot since time began */
	uint32_t n[BURN_CAUSE_COUNT];
};

struct burn_pair {
	char account[BURN_NAME_BYTES];
	char model[BURN_NAME_BYTES];
	uint32_t objective_ppm;
	int64_t last_request_us;
	struct burn_slot short_slot[BURN_SHORT_SLOTS];
	struct burn_slot long_slot[BURN_LONG_SLOTS];
	uint32_t first_token_bucket[BURN_BUCKETS];
	uint32_t token_gap_bucket[BURN_BUCKETS];
};

/* Pairs that are active; the one idle longest makes room for a new one. */
struct burn {
	struct burn_pair *pair;
	uint32_t pair_n;
	uint32_t capacity;
	uint64_t evicted_n;
	struct burn_slot timeline[BURN_TIMELINE_SLOTS]; /* of all pairs */
};

void burn_init(struct burn *b);
void burn_finish(struct burn *b);
enum burn_cause burn_classify(const struct burn_sample *s);
int burn_add(struct burn *b, const struct burn_sample *s, int64_t now_us);

void burn_sum_short_window(const struct burn_pair *p, int64_t now_us,
			   struct burn_counts *out);
void burn_sum_long_window(const struct burn_pair *p, int64_t now_us,
			  struct burn_counts *out);
const struct burn_slot *burn_timeline_slot(const struct burn *b, uint32_t i,
					   int64_t now_us);
uint64_t burn_slot_bad(const struct burn_slot *s);
void burn_counts_add(struct burn_counts *to, const struct burn_counts *from);
uint64_t burn_counts_total(const struct burn_counts *s);
uint64_t burn_counts_bad(const struct burn_counts *s);
double burn_rate(const struct burn_counts *s, uint32_t objective_parts);
double burn_remaining_budget(const struct burn_counts *s,
			     uint32_t objective_parts);
uint64_t burn_bucket_limit_us(uint32_t bucket);
const char *burn_cause_name(enum burn_cause c);

#endif
