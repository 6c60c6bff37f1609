#ifndef FIGBEND_BURN_H
#define FIGBEND_BURN_H

#include <stdint.h>

/*
 * Burn rate of the error budgets of service-level objectives, over a short and
 * a long window, for each pair of client account and model. An objective is the
 * required share of good requests: those with a complete response whose time to
 * first token and mean gap between tokens are within their targets. Every other
 * request is bad and is counted under its cause.
 *
 * A window is a ring of slots of equal length, the last of which is the current
 * one. A window of N slots therefore covers between N - 1 and N slot lengths.
 *
 * Memory is bounded, and no request is lost from the counts: when the table is
 * full, the least recently used pair is merged into the pair BURN_OTHER. All
 * hosts use the same windows and buckets, so their figures can be added up.
 *
 * now_us is read from the monotonic clock: it is not negative and does not
 * decrease from call to call.
 */

#define BURN_NAME_BYTES 64 /* with the NUL; account and model must fit */
#define BURN_PPM 1000000   /* 100 % in parts per million */
#define BURN_PAIRS_MAX 2048
#define BURN_BUCKETS 16
#define BURN_SHORT_SLOTS 10
#define BURN_SHORT_SLOT_US (30LL * 1000000) /* window of 5 min */
#define BURN_LONG_SLOTS 12
#define BURN_LONG_SLOT_US (300LL * 1000000) /* window of 1 h */
#define BURN_TIMELINE_SLOTS 120
#define BURN_TIMELINE_SLOT_US (5LL * 1000000) /* window of 10 min */
#define BURN_OTHER "*" /* account and model of the pair for evicted pairs */

/* Class of a request: good, or why it is bad. */
enum burn_cause {
	BURN_GOOD,
	/* The first token was late; this stage took longest: */
	BURN_QUEUE,
	BURN_PREFILL,
	BURN_TRANSFER,
	BURN_DECODE, /* or the mean gap between tokens was too long */
	/* The response is not complete: */
	BURN_REFUSED,
	BURN_ABORTED,
	BURN_CAUSE_COUNT,
};

/* How a request ended. */
enum burn_end {
	BURN_END_COMPLETE,
	BURN_END_REFUSED, /* an error before the first token */
	BURN_END_ABORTED, /* an error after some tokens */
};

struct burn_objective {
	uint32_t first_token_ms; /* longest time to first token */
	uint32_t token_gap_ms;	 /* longest mean gap between tokens */
	uint32_t good_ppm;	 /* required share of good requests */
};

/*
 * A request that has ended. The time of a stage that was not reached is 0.
 * first_token_us and token_gap_us are used only for complete responses.
 */
struct burn_sample {
	const char *account;
	const char *model;
	struct burn_objective objective;
	enum burn_end end;
	int64_t queue_us; /* from arrival to the latest reservation */
	int64_t prefill_us;
	int64_t transfer_us;
	int64_t first_token_us; /* from arrival to the first token */
	int64_t token_gap_us;	/* mean gap between tokens */
};

/* Number of requests of a window by class, indexed by enum burn_cause. */
struct burn_counts {
	uint64_t n[BURN_CAUSE_COUNT];
};

/* One interval of a window. */
struct burn_slot {
	int64_t number; /* start time divided by the slot's length */
	uint32_t n[BURN_CAUSE_COUNT];
};

struct burn_pair {
	char account[BURN_NAME_BYTES];
	char model[BURN_NAME_BYTES];
	/* From the latest request; for BURN_OTHER, the highest ever merged. */
	uint32_t objective_ppm;
	int64_t last_request_us; /* when the latest request ended */
	struct burn_slot short_slot[BURN_SHORT_SLOTS];
	struct burn_slot long_slot[BURN_LONG_SLOTS];
	/* Histograms of complete responses since the pair was added. */
	uint32_t first_token_bucket[BURN_BUCKETS];
	uint32_t token_gap_bucket[BURN_BUCKETS];
};

struct burn {
	struct burn_pair *pair; /* [0] is BURN_OTHER; moved by burn_add */
	uint32_t pair_n;
	uint32_t capacity; /* pairs allocated */
	uint64_t evicted_n;
	struct burn_slot timeline[BURN_TIMELINE_SLOTS]; /* over all pairs */
};

void burn_init(struct burn *b);
void burn_finish(struct burn *b);
enum burn_cause burn_classify(const struct burn_sample *s);
/*
 * Counts a request that has ended; copies the names. Requests that fail because
 * of the account's own rate limit or key must not be added: the service is not
 * at fault. Returns 0, or -ENOMEM if a pair cannot be added; then the request
 * is not counted.
 */
int burn_add(struct burn *b, const struct burn_sample *s, int64_t now_us);

/* Sums the pair's slots of the short or long window that ends at now_us. */
void burn_sum_short_window(const struct burn_pair *p, int64_t now_us,
			   struct burn_counts *out);
void burn_sum_long_window(const struct burn_pair *p, int64_t now_us,
			  struct burn_counts *out);
/*
 * Returns slot i of the timeline that ends at now_us, with 0 for the oldest and
 * BURN_TIMELINE_SLOTS - 1 for the current one, or NULL if no request ended in
 * it. The slot is valid until the next burn_add.
 */
const struct burn_slot *burn_timeline_slot(const struct burn *b, uint32_t i,
					   int64_t now_us);
/* Returns the number of bad requests. */
uint64_t burn_slot_bad(const struct burn_slot *s);
void burn_counts_add(struct burn_counts *to, const struct burn_counts *from);
uint64_t burn_counts_total(const struct burn_counts *counts);
/* Returns the number of bad requests. */
uint64_t burn_counts_bad(const struct burn_counts *counts);
/*
 * Returns the burn rate: the share of bad requests divided by the share that
 * the objective allows. A rate of 1 uses up the budget exactly by the end of
 * the objective's period. Returns 0 without requests. An objective of 100 %
 * counts as one that allows 1 ppm of bad requests.
 */
double burn_rate(const struct burn_counts *counts, uint32_t objective_ppm);
/*
 * Returns the share of the window's error budget that is not used up;
 * negative if it is overspent.
 */
double burn_remaining_budget(const struct burn_counts *counts,
			     uint32_t objective_ppm);
/*
 * Returns the inclusive upper bound of a histogram bucket. Bounds double from
 * 1 ms to 16.384 s; the last bucket, BURN_BUCKETS - 1, is unbounded.
 */
uint64_t burn_bucket_limit_us(uint32_t bucket);
/* Returns the name that is printed in reports. */
const char *burn_cause_name(enum burn_cause c);

#endif
