#ifndef FIGBEND_FAIRQ_H
#define FIGBEND_FAIRQ_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * A weighted fair queue by start-time fair queueing (SFQ), with a flow for each
 * account and costs in tokens. The virtual time of a flow grows by cost/weight
 * with each item served, and the flow with the lowest one is served next. The
 * virtual time of the queue is that of the flow served last.
 *
 * Two things are added to SFQ: a flow that was idle may start behind the
 * virtual time of the queue, by no more than the idle credit, and the cost of a
 * served item can be corrected when it is known.
 *
 * Invariants: flows that stay backlogged are served in proportion to their
 * weights, up to about one item each. The virtual time of the queue never
 * decreases.
 *
 * The queue reads no clock: times are microseconds of the caller's monotonic
 * clock. Push, pop and remove take logarithmic time.
 */

#define FAIRQ_NAME_BYTES 64
#define FAIRQ_BUCKETS 128 /* of the hash table of flows */

struct fairq_flow;

/*
 * A queued request. The caller owns the memory and sets cost_tokens,
 * deadline_us and owner.
 */
struct fairq_item {
	struct fairq_flow *flow; /* NULL if it is not queued */
	uint64_t cost_tokens;	 /* constant while it is queued */
	int64_t deadline_us;	 /* latest time to pop it */
	void *owner;		 /* for the caller's use */
	uint32_t heap_index;	 /* index in deadline_heap */
	TAILQ_ENTRY(fairq_item) entry;
};
TAILQ_HEAD(fairq_items, fairq_item);

/* An account that has items, or whose virtual time has to be kept. */
struct fairq_flow {
	char name[FAIRQ_NAME_BYTES];
	uint32_t weight;
	uint32_t item_n;
	uint32_t heap_index;	  /* index in flow_heap, valid if item_n > 0 */
	uint64_t queued_tokens;	  /* sum over its items */
	double virtual_time;	  /* tokens per weight */
	struct fairq_items items; /* in order of arrival */
	TAILQ_ENTRY(fairq_flow) entry;
};
TAILQ_HEAD(fairq_flows, fairq_flow);

struct fairq {
	struct fairq_flows bucket[FAIRQ_BUCKETS]; /* hash table of flows */
	struct fairq_flow **flow_heap; /* flows with items, by virtual time */
	struct fairq_item **deadline_heap; /* all items, by deadline */
	uint32_t flow_heap_n;
	uint32_t flow_heap_capacity;
	uint32_t deadline_heap_capacity;
	uint32_t item_n;
	uint32_t item_max;	/* limit on item_n, 0 if unlimited */
	uint32_t sweep_next;	/* bucket to search next for idle flows */
	uint64_t active_weight; /* sum over the flows with items */
	double virtual_time;
	double max_virtual_time; /* highest of all flows so far */
	double idle_credit;	 /* limit on a flow's lag, in virtual time */
};

/* Initializes an empty queue; item_max may be set afterwards. */
void fairq_init(struct fairq *q);
/* Frees the flows and heaps, but not the queued items. */
void fairq_finish(struct fairq *q);
/*
 * Appends an item to a flow, named by fewer than FAIRQ_NAME_BYTES bytes. A
 * weight of 0 counts as 1, and a new weight replaces the old one. Returns 0,
 * -ENOMEM, or -ENOSPC if there are item_max items; fairq_find_victim() returns
 * one that can be dropped instead.
 */
int fairq_push(struct fairq *q, const char *flow, uint32_t weight,
	       struct fairq_item *item);
/* Removes an item without a charge; does nothing if it is not queued. */
void fairq_remove(struct fairq *q, struct fairq_item *item);
/* Returns the item to serve next, which stays queued, or NULL. */
struct fairq_item *fairq_peek(const struct fairq *q);
/*
 * Removes and returns the item to serve next, or returns NULL. The flow is
 * charged cost_tokens.
 */
struct fairq_item *fairq_pop(struct fairq *q);
/* Returns an item whose deadline has passed, which stays queued, or NULL. */
struct fairq_item *fairq_find_expired(const struct fairq *q, int64_t now_us);
/*
 * Returns the item to drop from a full queue, or NULL: the last one of the flow
 * with the most queued tokens for its weight, which may be the flow of the new
 * item. It stays queued. Takes time linear in the flows with items.
 */
struct fairq_item *fairq_find_victim(const struct fairq *q);
/*
 * Sets the idle credit from the service rate of the queue in tokens per second.
 * The credit lets a flow whose items arrive in bursts catch up on its share.
 */
void fairq_set_idle_credit(struct fairq *q, double tokens_s);
/*
 * Charges a flow for the actual cost of a served item less its cost_tokens.
 * The weight is only used if the flow has to be created. If the difference is
 * negative, the flow gets no further behind than the idle credit.
 */
void fairq_adjust_cost(struct fairq *q, const char *flow, uint32_t weight,
		       int64_t tokens);
/*
 * Estimates how many tokens would be served before an item that the flow pushed
 * now: 0 for an unknown flow, and maybe negative for one that is behind.
 */
double fairq_ahead_tokens(const struct fairq *q, const char *flow,
			  uint32_t weight);

/*
 * Estimates service times of one queue. The service rate follows from the
 * tokens popped, summed with exponential decay. The time from pop to first
 * token is a linear function of the prompt's length, fitted by least squares
 * with exponential forgetting. All zeros is a valid initial state.
 */
struct fairq_forecast {
	int64_t last_pop_us;   /* time of the last pop, 0 if none */
	int64_t busy_since_us; /* the queue has had items since, 0 if empty */
	double decayed_tokens; /* tokens popped, decayed until last_pop_us */
	int64_t last_first_token_us; /* time of the last sample, 0 if none */
	double samples; /* number of samples; this and the sums are decayed */
	/* Sums over x, prompt tokens, and y, microseconds to first token. */
	double sum_x, sum_y, sum_xx, sum_xy;
};

/* Records whether the queue has items. To be called after each change. */
void fairq_forecast_set_busy(struct fairq_forecast *f, bool busy,
			     int64_t now_us);
/* Records the pop of an item of so many tokens. */
void fairq_forecast_observe_pop(struct fairq_forecast *f, uint64_t tokens,
				int64_t now_us);
/* Records a first token, took_us after its item was popped. */
void fairq_forecast_observe_first_token(struct fairq_forecast *f,
					uint32_t prompt_tokens, int64_t took_us,
					int64_t now_us);
/* Returns the recent rate of pops in tokens per second. */
double fairq_forecast_rate_tokens_s(const struct fairq_forecast *f,
				    int64_t now_us);
/*
 * Returns the expected wait behind so many tokens, in microseconds; 0 if the
 * rate is unknown, because the queue was recently empty or had no recent pop.
 */
int64_t fairq_forecast_wait_us(const struct fairq_forecast *f,
			       double ahead_tokens, int64_t now_us);
/*
 * Returns the expected time from pop to first token in microseconds; 0 if there
 * are too few recent samples.
 */
int64_t fairq_forecast_first_token_us(const struct fairq_forecast *f,
				      uint32_t prompt_tokens, int64_t now_us);

#endif
