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
	bool logged;	  /* a decision was made; reason says why */
	char reason[192]; /* for the log: evidence with counts, as key=value */
};

/* Suffix of the row for gaps between events of a route's streams. */
#define ROLLOUT_GAP_SUFFIX "/gap"
#define ROLLOUT_ROW_BYTES (CALL_NAME_BYTES + 8)
/* Name of the last row, which stands for all routes that found no free one. */
#define ROLLOUT_OTHER_ROW "*"
/* Of rollout_sums. */
#define ROLLOUT_FIELDS 4
/* Copies of the sums, one each 0.5 s, so that one is 3.0 to 3.5 s old. */
#define ROLLOUT_SNAPSHOTS 8
/* Sets of counters that the orders of a service share. */
#define ROLLOUT_SLOTS 4
#define ROLLOUT_REPLACED_MAX 4

/* A route, or the gaps in its streams. Sides: 0 is present, 1 is new. */
struct rollout_row {
	char name[ROLLOUT_ROW_BYTES];
	bool is_gap;
	uint64_t counter_hash; /* in the names of its counters */
	/* Requests owed to the new version; one is sent when it reaches 1. */
	double level;
	uint64_t key[2][ROLLOUT_FIELDS]; /* of its counters, under the order */
	struct rollout_sums own[2];	 /* of this host, never falls */
	struct rollout_sums own_base[2]; /* own when the order was seen */
	struct rollout_sums others[2];	 /* of other hosts, since the order */
};

/* Sums since the order at one time: of all hosts, and of this one. */
struct rollout_snapshot {
	int64_t at_us; /* 0 if unused */
	struct rollout_sums all[ROLLOUT_ROWS_MAX][2];
	struct rollout_sums own[ROLLOUT_ROWS_MAX][2];
};

/* Counters of the orders before that used the same set. The next one goes on from
 * them: what a host reports never falls. */
struct rollout_past {
	uint32_t n_rows;
	struct rollout_sums own[ROLLOUT_ROWS_MAX][2];
};

/* A progress that came before its order. */
struct rollout_early {
	bool present;
	struct rollout_progress progress;
	int64_t at_us;
};

/* The state of one rollout; private to the package but for the first part. */
struct rollout {
	char service[CALL_NAME_BYTES];
	struct rollout_order order;
	enum rollout_stage stage;
	bool suspect; /* this host judges the new version to be bad */

	struct rollout_limits limits;
	uint64_t seed;
	int64_t init_us;
	uint64_t first_position; /* of the order when it was first seen */
	/* Positions up to here belong to orders that ended. */
	uint64_t ended_position;
	int64_t ordered_us;	       /* elapsed time counts from here */
	int64_t seen_us;	       /* this host learned of the order */
	bool heard_elapsed;	       /* from another host */
	struct rollout_early early[2]; /* by enum rollout_source */

	bool final;		   /* the stage is a final one in the store */
	enum rollout_stage stored; /* the stage in the store */
	int64_t shift_us;	   /* this host entered the shift */
	int64_t shift_stored_us;   /* it saw the shift in the store */
	int64_t idle_us; /* nothing runs at the present version since; 0 */
	enum rollout_stage wanted; /* to be written */
	int64_t wanted_us;	   /* since then, with the store in reach */
	enum rollout_stage write;  /* last one passed to the caller */
	int64_t write_us;
	uint64_t write_text_hash;
	bool announce;
	struct rollout_view view;

	bool own_bad;	    /* by this host's own evidence */
	int64_t own_bad_us; /* since then */
	int64_t bad_us;	    /* all hosts' times are bad since then; 0: not */
	int64_t others_us;  /* another host last had an answer of the new */
	uint32_t n_rows;
	struct rollout_row row[ROLLOUT_ROWS_MAX];
	struct rollout_snapshot snapshot[ROLLOUT_SNAPSHOTS];
	uint32_t n_snapshots; /* taken since the order */
	struct rollout_past past[ROLLOUT_SLOTS];
	/* Texts of orders that ended; a ring. */
	uint64_t replaced[ROLLOUT_REPLACED_MAX];
	uint32_t n_replaced;
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
/* The order was deleted. A final state that was written stays in force. */
void rollout_on_order_deleted(struct rollout *r, int64_t now_us);
/*
 * The store came back from an older copy, in a new era: the state in it is not known
 * any more and is written again.
 */
void rollout_on_store_restored(struct rollout *r);
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
 * Adds a row of evidence: a route of the service, or with ROLLOUT_GAP_SUFFIX the gaps
 * between events of its streams. To be called for all of them when the configuration
 * is read, so that the counters of other hosts for them are known from the start. A
 * row beyond ROLLOUT_ROWS_MAX - 1 shares the last one. Rows stay over orders.
 */
void rollout_add_row(struct rollout *r, const char *row);
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
 * The counters of this host above 0, to be exchanged: names are unique over services,
 * orders and rows, and no amount ever falls. Returns their number, at most
 * ROLLOUT_COUNTERS_MAX, none without an order.
 */
uint32_t rollout_fill_counters(const struct rollout *r,
			       struct rollout_counter *out);
/*
 * The sum over all other hosts of the counter whose name has this key (namehash())
 * has changed by change, which may be negative. Returns false if the counter is not one
 * of this rollout, or its row was not added yet.
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
