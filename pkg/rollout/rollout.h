#ifndef FIGBEND_ROLLOUT_H
#define FIGBEND_ROLLOUT_H

#include <stdbool.h>
#include <stdint.h>

#include "call.h"

/*
 * The rollout of one service from its present version to a new one (canary
 * release): which requests go to endpoints of the new version, whether their
 * answers are worse than those of the present version, and which state to write to
 * the store.
 *
 * All hosts run the same decisions on the same evidence, which are sums over all
 * hosts; a state that is in the store overrules them. Assumptions: clocks are
 * monotonic and run at the same speed at all hosts; messages may be lost, late and
 * repeated; the store's appends are conditional, so that only one final state
 * is ever written for an order.
 *
 * No I/O and no clock: now_us is the caller's monotonic clock in microseconds.
 */

#define ROLLOUT_VERSION_BYTES 64
/* Rows of evidence: routes, and gaps between events for routes of streams. */
#define ROLLOUT_ROWS_MAX 32

/* In the order in which they follow one another. */
enum rollout_stage {
	ROLLOUT_NONE, /* no order: all versions are alike */
	ROLLOUT_CANARY,
	ROLLOUT_SHIFT, /* all new requests go to the new version */
	ROLLOUT_COMPLETED,
	ROLLOUT_ROLLED_BACK, /* none go there */
};

enum rollout_side {
	ROLLOUT_ANY,	 /* endpoints of all versions */
	ROLLOUT_PRESENT, /* endpoints of other versions than the new one */
	ROLLOUT_NEW,
};

/* Figures of the deployment, over all hosts together. */
struct rollout_limits {
	/* Part of the service's requests that a bad version may get between the
	 * order and its deadline, and a number of requests beside that. 0: rollouts
	 * are off, and every request is ROLLOUT_ANY. */
	double share;
	double slack_requests;
	int64_t stop_us; /* a bad version gets nothing later than this */
};

struct rollout_order {
	char to[ROLLOUT_VERSION_BYTES];
	int64_t duration_us;
	uint64_t position;  /* of its record in the store (pkg/record) */
	uint64_t text_hash; /* namehash() of the record's text */
};

/* What hosts tell each other and the store of an order's progress. */
struct rollout_progress {
	uint64_t position;  /* of the order */
	uint64_t text_hash; /* of the order */
	enum rollout_stage stage;
	int64_t elapsed_us; /* since the order */
};

/* Where a progress comes from: only the store's final states are final. */
enum rollout_source {
	ROLLOUT_FROM_STORE,
	ROLLOUT_FROM_HOST,
};

/* How an attempt at an endpoint ended, for the evidence. */
enum rollout_answer {
	ROLLOUT_ANSWER_GOOD,
	ROLLOUT_ANSWER_BAD,
};

/* Sums over answers of one side; times as milli-log2 of microseconds. */
struct rollout_sums {
	int64_t answers;
	int64_t bad;
	int64_t log_sum;	/* of good answers */
	int64_t log_square_sum; /* the same, in units of 1,000 milli-log2 squared */
};

/* A counter of this host since its start, as hosts exchange it (pkg/totals). */
#define ROLLOUT_COUNTER_NAME_BYTES 48
struct rollout_counter {
	char name[ROLLOUT_COUNTER_NAME_BYTES];
	uint64_t amount;
};
/* Counters of one rollout: rows times sides times fields of rollout_sums. */
#define ROLLOUT_COUNTERS_MAX (ROLLOUT_ROWS_MAX * 2 * 4)

/* What a host knows of the others and of the endpoints, for one tick. */
struct rollout_view {
	uint32_t rank; /* of this host among those that may write; 0 is first */
	bool store_ok; /* reads and writes succeed */
	/* Usable endpoints of the new version and of the others. */
	uint32_t new_endpoints;
	uint32_t present_endpoints;
	/* Requests of all hosts at endpoints of the present version, and this
	 * host's own ones that cannot go on elsewhere. */
	uint32_t present_running;
	uint32_t present_pinned;
};

/* What to do after an event. */
struct rollout_actions {
	bool announce; /* tell all hosts the progress at once */
	/* Write the progress to the store, conditionally; ROLLOUT_NONE: nothing. */
	enum rollout_stage write;
	bool logged;	 /* a decision was made; reason says why */
	char reason[192]; /* for the log: evidence with counts, as key=value */
};

/* The state of one rollout; private to the package but for the first part. */
struct rollout {
	char service[CALL_NAME_BYTES];
	struct rollout_order order;
	enum rollout_stage stage;
	bool suspect; /* this host judges the new version to be bad */
	/* The rest is defined with the package. */
};

/* Starts without an order. seed makes the random choices reproducible. */
void rollout_init(struct rollout *r, const char *service,
		  const struct rollout_limits *limits, uint64_t seed,
		  int64_t now_us);
void rollout_finish(struct rollout *r);

/*
 * An order was read from the store. Returns true if it starts a rollout; false if it
 * is the present one, again or after the store came back from an older copy.
 */
bool rollout_on_order(struct rollout *r, const struct rollout_order *order,
		      int64_t now_us);
/* The order was deleted. */
void rollout_on_order_deleted(struct rollout *r, int64_t now_us);
/* Another host, or the store, knows this progress. Returns true if that changed the
 * stage. */
bool rollout_on_progress(struct rollout *r, const struct rollout_progress *p,
			 enum rollout_source from, int64_t now_us);
/* The progress as this host knows it. Returns false without an order. */
bool rollout_get_progress(const struct rollout *r, struct rollout_progress *out,
			  int64_t now_us);

/* Returns true if an endpoint of this version belongs to the new side. */
bool rollout_is_new(const struct rollout *r, const char *version);
/*
 * Chooses the side of a new request of a route, and counts it. new_is_usable: an
 * endpoint of the new version could take the request now.
 */
enum rollout_side rollout_choose(struct rollout *r, const char *route,
				 bool new_is_usable, int64_t now_us);
/* Returns the side for a further attempt of a request that had this one. */
enum rollout_side rollout_choose_again(const struct rollout *r,
				       enum rollout_side before);
/*
 * Counts an answer of an endpoint. row is the route's name, or for gaps between
 * events of its streams that name with a suffix; took_us is ignored for a bad one.
 */
void rollout_observe(struct rollout *r, const char *row, bool is_new,
		     enum rollout_answer answer, int64_t took_us,
		     int64_t now_us);

/*
 * The counters of this host, to be exchanged: names are unique over services, orders
 * and rows. Returns their number, at most ROLLOUT_COUNTERS_MAX.
 */
uint32_t rollout_fill_counters(const struct rollout *r,
			       struct rollout_counter *out);
/*
 * The sum over all other hosts of the counter whose name has this key (namehash())
 * has changed. Returns false if the counter is not one of this rollout. Rows that only
 * other hosts have are known by their name's hash only.
 */
bool rollout_apply_counter(struct rollout *r, uint64_t key, int64_t change,
			   int64_t now_us);

/* Advances time; to be called every 100 ms or so. */
void rollout_tick(struct rollout *r, const struct rollout_view *view,
		  int64_t now_us, struct rollout_actions *out);
/* The state that is written is in the store: it is final or present there. */
void rollout_on_written(struct rollout *r, enum rollout_stage stage,
			int64_t now_us);

/* Names for records and the log; -1 for an unknown name. */
const char *rollout_stage_name(enum rollout_stage stage);
int rollout_stage_of_name(const char *name);

#endif
