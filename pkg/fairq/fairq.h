#ifndef FIGBEND_FAIRQ_H
#define FIGBEND_FAIRQ_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * A weighted fair queue over accounts, with cost in tokens: each flow has a
 * virtual time that grows by cost over weight, and the lowest goes next. Adding,
 * taking and removing cost the logarithm of what is queued.
 */

#define FAIRQ_NAME_BYTES 64
#define FAIRQ_BUCKETS 128

struct fairq_flow;

/* One request that waits, in memory of its owner. */
struct fairq_item {
	struct fairq_flow *flow; /* NULL while it is not queued */
	uint64_t cost_tokens;
	int64_t deadline_us; /* latest start */
	void *owner;
	uint32_t heap_index; /* place in the heap of deadlines */
	TAILQ_ENTRY(fairq_item) entry;
};
TAILQ_HEAD(fairq_items, fairq_item);

/* An account with items, or whose virtual time is still ahead. */
struct fairq_flow {
	char name[FAIRQ_NAME_BYTES];
	uint32_t weight;
	uint32_t item_n;
	uint32_t heap_index; /* place in the heap of flows while n is not 0 */
	uint64_t queued_tokens;
	double virtual_time;
	struct fairq_items items;
	TAILQ_ENTRY(fairq_flow) entry;
};
TAILQ_HEAD(fairq_flows, fairq_flow);

struct fairq {
	struct fairq_flows bucket[FAIRQ_BUCKETS]; /* flows by name */
	struct fairq_flow **flow_heap;		  /* with items, by time */
	struct fairq_item **deadline_heap;	  /* all items, by deadline */
	uint32_t flow_heap_n;
	uint32_t flow_heap_capacity;
	uint32_t deadline_heap_capacity;
	uint32_t item_n;
	uint32_t item_max;   /* most items; 0: any number */
	uint32_t sweep_next; /* bucket that is looked at next for idle flows */
	uint64_t active_weight; /* of the flows with items */
	double virtual_time;
	double max_virtual_time; /* highest virtual time of any flow */
	double idle_credit; /* virtual time that an idle flow may save up */
};

void fairq_init(struct fairq *q);
void fairq_finish(struct fairq *q);
int fairq_push(struct fairq *q, const char *flow, uint32_t weight,
	       struct fairq_item *item);
void fairq_remove(struct fairq *q, struct fairq_item *item);
struct fairq_item *fairq_peek(const struct fairq *q);
struct fairq_item *fairq_pop(struct fairq *q);
struct fairq_item *fairq_find_expired(const struct fairq *q, int64_t now_us);
struct fairq_item *fairq_find_victim(const struct fairq *q);
void fairq_set_idle_credit(struct fairq *q, double tokens_s);
void fairq_adjust_cost(struct fairq *q, const char *flow, uint32_t weight,
		       int64_t tokens);
double fairq_ahead_tokens(const struct fairq *q, const char *flow,
			  uint32_t weight);

/* How long work takes, from what was seen lately. */
struct fairq_forecast {
	int64_t last_pop_us;   /* last take; 0: none */
	int64_t busy_since_us; /* queue not empty since; 0: it is empty */
	double decayed_tokens;
	int64_t last_first_token_us; /* last first token; 0: none */
	double samples; /* sums over first tokens, old ones fading */
	double sum_x, sum_y, sum_xx, sum_xy;
};

void fairq_forecast_set_busy(struct fairq_forecast *f, bool busy,
			     int64_t now_us);
void fairq_forecast_observe_pop(struct fairq_forecast *f, uint64_t tokens,
				int64_t now_us);
void fairq_forecast_observe_first_token(struct fairq_forecast *f,
					uint32_t prompt_tokens, int64_t took_us,
					int64_t now_us);
double fairq_forecast_rate_tokens_s(const struct fairq_forecast *f,
				    int64_t now_us);
int64_t fairq_forecast_wait_us(const struct fairq_forecast *f,
			       double ahead_tokens, int64_t now_us);
int64_t fairq_forecast_first_token_us(const struct fairq_forecast *f,
				      uint32_t prompt_tokens, int64_t now_us);

#endif
