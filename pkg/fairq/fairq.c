#include "heap.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * The idle credit, as seconds of a flow's share. With 5 to 8 s, an account gets
 * less than 0.9 of its share on the fewest seeds of the test's simulation.
 */
#define IDLE_CREDIT_S 5.
#define FNV_OFFSET_BASIS 2166136261U /* of 32-bit FNV-1a */
#define FNV_PRIME 16777619U

void fairq_init(struct fairq *q)
{
	uint32_t i;

	memset(q, 0, sizeof(*q));
	for (i = 0; i < FAIRQ_BUCKETS; i++)
		TAILQ_INIT(&q->bucket[i]);
}

void fairq_finish(struct fairq *q)
{
	struct fairq_flow *f;
	uint32_t i;

	for (i = 0; i < FAIRQ_BUCKETS; i++)
		while ((f = TAILQ_FIRST(&q->bucket[i]))) {
			TAILQ_REMOVE(&q->bucket[i], f, entry);
			free(f);
		}
	free(q->flow_heap);
	free(q->deadline_heap);
}

static uint32_t hash_bucket(const char *name)
{
	uint32_t h = FNV_OFFSET_BASIS;

	for (; *name; name++)
		h = (h ^ (uint8_t)*name) * FNV_PRIME;
	return h % FAIRQ_BUCKETS;
}

static struct fairq_flow *find_flow(const struct fairq *q, const char *name)
{
	struct fairq_flow *f;

	TAILQ_FOREACH(f, &q->bucket[hash_bucket(name)], entry)
	if (strcmp(f->name, name) == 0)
		return f;
	return NULL;
}

static struct fairq_flow *find_or_create_flow(struct fairq *q, const char *name,
					      uint32_t weight)
{
	struct fairq_flow *f = find_flow(q, name);

	if (f)
		return f;
	f = calloc(1, sizeof(*f));
	if (!f)
		return NULL;
	snprintf(f->name, sizeof(f->name), "%s", name);
	f->weight = weight ? weight : 1;
	f->virtual_time = q->virtual_time - q->idle_credit;
	TAILQ_INIT(&f->items);
	TAILQ_INSERT_TAIL(&q->bucket[hash_bucket(name)], f, entry);
	return f;
}

/*
 * Frees idle flows of one bucket. A flow that lags by the idle credit or more
 * would start at the same virtual time if it were created again.
 */
static void sweep_bucket(struct fairq *q)
{
	struct fairq_flows *b = &q->bucket[q->sweep_next++ % FAIRQ_BUCKETS];
	struct fairq_flow *f, *next;

	for (f = TAILQ_FIRST(b); f; f = next) {
		next = TAILQ_NEXT(f, entry);
		if (f->item_n ||
		    f->virtual_time > q->virtual_time - q->idle_credit)
			continue;
		TAILQ_REMOVE(b, f, entry);
		free(f);
	}
}

static void set_weight(struct fairq *q, struct fairq_flow *f, uint32_t weight)
{
	if (!weight)
		weight = 1;
	if (f->item_n)
		q->active_weight = q->active_weight - f->weight + weight;
	f->weight = weight;
}

int fairq_push(struct fairq *q, const char *flow, uint32_t weight,
	       struct fairq_item *item)
{
	struct fairq_flow *f;

	if (q->item_max && q->item_n >= q->item_max)
		return -ENOSPC;
	if (fairq_heap_reserve(q) < 0)
		return -ENOMEM;
	sweep_bucket(q);
	f = find_or_create_flow(q, flow, weight);
	if (!f)
		return -ENOMEM;
	set_weight(q, f, weight);
	if (f->item_n == 0) {
		if (f->virtual_time < q->virtual_time - q->idle_credit)
			f->virtual_time = q->virtual_time - q->idle_credit;
		fairq_flow_heap_push(q, f);
	}
	item->flow = f;
	TAILQ_INSERT_TAIL(&f->items, item, entry);
	f->item_n++;
	f->queued_tokens += item->cost_tokens;
	fairq_deadline_heap_push(q, item);
	return 0;
}

void fairq_remove(struct fairq *q, struct fairq_item *item)
{
	struct fairq_flow *f = item->flow;

	if (!f)
		return;
	TAILQ_REMOVE(&f->items, item, entry);
	f->item_n--;
	f->queued_tokens -= item->cost_tokens;
	item->flow = NULL;
	fairq_deadline_heap_remove(q, item);
	if (f->item_n == 0)
		fairq_flow_heap_remove(q, f);
}

struct fairq_item *fairq_peek(const struct fairq *q)
{
	return q->flow_heap_n ? TAILQ_FIRST(&q->flow_heap[0]->items) : NULL;
}

/* Adds to a flow's virtual time, and limits its lag to the idle credit. */
static void advance_flow(struct fairq *q, struct fairq_flow *f, double by)
{
	f->virtual_time += by;
	if (f->virtual_time < q->virtual_time - q->idle_credit)
		f->virtual_time = q->virtual_time - q->idle_credit;
	if (f->virtual_time > q->max_virtual_time)
		q->max_virtual_time = f->virtual_time;
	if (f->item_n)
		fairq_flow_heap_update(q, f);
}

/*
 * If this empties the queue, its virtual time catches up with all flows, as in
 * SFQ, so that none starts the next busy period with a lead.
 */
struct fairq_item *fairq_pop(struct fairq *q)
{
	struct fairq_item *item = fairq_peek(q);
	struct fairq_flow *f;

	if (!item)
		return NULL;
	f = item->flow;
	if (f->virtual_time > q->virtual_time)
		q->virtual_time = f->virtual_time;
	fairq_remove(q, item);
	advance_flow(q, f, (double)item->cost_tokens / f->weight);
	if (q->item_n == 0)
		q->virtual_time = q->max_virtual_time;
	return item;
}

struct fairq_item *fairq_find_expired(const struct fairq *q, int64_t now_us)
{
	return q->item_n && q->deadline_heap[0]->deadline_us <= now_us
		       ? q->deadline_heap[0]
		       : NULL;
}

struct fairq_item *fairq_find_victim(const struct fairq *q)
{
	struct fairq_flow *most = NULL;
	struct fairq_flow *f;
	uint32_t i;

	for (i = 0; i < q->flow_heap_n; i++) {
		f = q->flow_heap[i];
		if (!most || (double)f->queued_tokens * most->weight >
				     (double)most->queued_tokens * f->weight)
			most = f;
	}
	return most ? TAILQ_LAST(&most->items, fairq_items) : NULL;
}

/* A flow's share is taken as that of weight 1 beside the flows with items. */
void fairq_set_idle_credit(struct fairq *q, double tokens_s)
{
	q->idle_credit =
		IDLE_CREDIT_S * tokens_s / (double)(q->active_weight + 1);
}

void fairq_adjust_cost(struct fairq *q, const char *flow, uint32_t weight,
		       int64_t tokens)
{
	struct fairq_flow *f = tokens > 0 ? find_or_create_flow(q, flow, weight)
					  : find_flow(q, flow);

	if (f)
		advance_flow(q, f, (double)tokens / f->weight);
}

/*
 * The flow's queued tokens and its lead give the virtual time until the item is
 * served. In that time every flow with items is served in proportion to its
 * weight.
 */
double fairq_ahead_tokens(const struct fairq *q, const char *flow,
			  uint32_t weight)
{
	const struct fairq_flow *f = find_flow(q, flow);
	double weights = (double)q->active_weight;
	double virtual_wait;

	if (!weight)
		weight = 1;
	if (!f)
		return 0;
	virtual_wait = (double)f->queued_tokens / weight + f->virtual_time -
		       q->virtual_time;
	if (f->item_n == 0)
		weights += weight;
	return virtual_wait * weights;
}
