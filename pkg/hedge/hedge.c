#include "hedge.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define QUANTILE 0.95
#define ANSWERS_MIN 20
/* After 8 s without answers a weight has halved: a host with two calls a second
 * keeps a weight of 23 answers, of which one in twenty can be told. */
#define HALF_LIFE_US 8000000LL
/* Steps of the decay, so that it does not run for each answer. */
#define DECAY_STEP_US 100000LL
/* Older answers weigh less once the sum exceeds this, so that a busy host forgets
 * slow ones within seconds. */
#define WEIGHT_MAX 400.
/* A route whose answers weigh less begins anew. */
#define WEIGHT_MIN 4.
/*
 * One call in twenty is due for a hedge, by the quantile. If more than one in eight
 * of about the last 40 calls are, all endpoints have become slow: no hedges until the
 * quantile has risen. It follows within 20 of the 400 answers that it is measured by.
 */
#define DUE_CALLS 40.
#define DUE_MAX 0.125
#define FIRST_BOUND_US 500.
#define BUCKETS_PER_DOUBLING 8.

static const char *const cause_names[] = {
	[HEDGE_SEND] = "",
	[HEDGE_DENIED_OFF] = "off",
	[HEDGE_DENIED_FEW_ANSWERS] = "few_answers",
	[HEDGE_DENIED_ATTEMPTS] = "attempts",
	[HEDGE_DENIED_DEADLINE] = "deadline",
	[HEDGE_DENIED_FULL] = "full",
	[HEDGE_DENIED_LIMITED] = "limited",
	[HEDGE_DENIED_NO_ENDPOINT] = "no_endpoint",
	[HEDGE_DENIED_BUDGET] = "budget",
	[HEDGE_DENIED_ALL_SLOW] = "all_slow",
	[HEDGE_DENIED_SHARE] = "share",
};

const char *hedge_cause_name(enum hedge_decision d)
{
	return cause_names[d];
}

void hedge_init(struct hedge *h, double share, uint64_t seed)
{
	memset(h, 0, sizeof(*h));
	h->share = share;
	h->random = seed;
}

/* Returns a pseudo-random number from 0 to below 1 (SplitMix64). */
static double next_random(struct hedge *h)
{
	uint64_t x = h->random += 0x9e3779b97f4a7c15ULL;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return (double)((x ^ (x >> 31)) >> 11) / 9007199254740992.;
}

static struct hedge_service *find_service(struct hedge *h, const char *name)
{
	uint32_t i;

	for (i = 0; i < h->n_services; i++)
		if (strcmp(h->service[i].name, name) == 0)
			return &h->service[i];
	return NULL;
}

void hedge_count_call(struct hedge *h, const char *service)
{
	struct hedge_service *s = find_service(h, service);

	if (h->share <= 0)
		return;
	if (!s) {
		if (h->n_services == HEDGE_SERVICES_MAX)
			return;
		s = &h->service[h->n_services++];
		snprintf(s->name, sizeof(s->name), "%s", service);
		s->level = next_random(h);
	}
	s->due *= 1 - 1 / DUE_CALLS;
	s->level += h->share;
	if (s->level > 1)
		s->level = 1;
}

static struct hedge_route *find_route(struct hedge *h, const char *service,
				      const char *route)
{
	struct hedge_route *r;
	uint32_t i;

	for (i = 0; i < h->n_routes; i++) {
		r = &h->route[i];
		if (strcmp(r->route, route) == 0 &&
		    strcmp(r->service, service) == 0)
			return r;
	}
	return NULL;
}

static struct hedge_route *add_route(struct hedge *h, const char *service,
				     const char *route, int64_t now_us)
{
	struct hedge_route *r = &h->route[0];
	uint32_t i;

	if (h->n_routes < HEDGE_ROUTES_MAX)
		r = &h->route[h->n_routes++];
	else
		for (i = 1; i < h->n_routes; i++)
			if (h->route[i].used_us < r->used_us)
				r = &h->route[i];
	memset(r, 0, sizeof(*r));
	snprintf(r->service, sizeof(r->service), "%s", service);
	snprintf(r->route, sizeof(r->route), "%s", route);
	r->used_us = r->decayed_us = now_us;
	return r;
}

static void scale(struct hedge_route *r, double factor)
{
	uint32_t i;

	r->total = 0;
	for (i = 0; i < HEDGE_BUCKETS; i++) {
		r->weight[i] = (float)(r->weight[i] * factor);
		r->total += r->weight[i];
	}
}

static void decay(struct hedge_route *r, int64_t now_us)
{
	int64_t age_us = now_us - r->decayed_us;

	if (age_us < DECAY_STEP_US)
		return;
	r->decayed_us = now_us;
	scale(r, exp2(-(double)age_us / HALF_LIFE_US));
	if (r->total >= WEIGHT_MIN || r->seen < ANSWERS_MIN)
		return;
	scale(r, 0);
	r->seen = 0;
}

static uint32_t bucket_of(int64_t took_us)
{
	double n;

	if ((double)took_us <= FIRST_BOUND_US)
		return 0;
	n = ceil(log2((double)took_us / FIRST_BOUND_US) * BUCKETS_PER_DOUBLING);
	return n < HEDGE_BUCKETS - 1 ? (uint32_t)n : HEDGE_BUCKETS - 1;
}

void hedge_observe(struct hedge *h, const char *service, const char *route,
		   int64_t took_us, int64_t now_us)
{
	struct hedge_route *r = find_route(h, service, route);

	if (h->share <= 0)
		return;
	if (!r)
		r = add_route(h, service, route, now_us);
	decay(r, now_us);
	r->used_us = now_us;
	r->seen++;
	r->weight[bucket_of(took_us)] += 1;
	r->total += 1;
	if (r->total > WEIGHT_MAX * 1.05)
		scale(r, WEIGHT_MAX / r->total);
}

int64_t hedge_delay_us(struct hedge *h, const char *service, const char *route,
		       int64_t now_us)
{
	struct hedge_route *r = find_route(h, service, route);
	double above = 0;
	uint32_t i;

	if (!r)
		return 0;
	decay(r, now_us);
	if (r->seen < ANSWERS_MIN)
		return 0;
	for (i = HEDGE_BUCKETS - 1; i > 0; i--) {
		above += r->weight[i];
		if (above > (1 - QUANTILE) * r->total)
			break;
	}
	return (int64_t)(FIRST_BOUND_US * exp2(i / BUCKETS_PER_DOUBLING));
}

static enum hedge_decision judge(const struct hedge_service *s,
				 const struct hedge_facts *facts,
				 int64_t delay_us)
{
	if (facts->executions >= facts->attempts_max)
		return HEDGE_DENIED_ATTEMPTS;
	if (facts->remaining_us <= delay_us)
		return HEDGE_DENIED_DEADLINE;
	if (facts->service_full)
		return HEDGE_DENIED_FULL;
	if (facts->endpoint_limited)
		return HEDGE_DENIED_LIMITED;
	if (!facts->has_endpoint)
		return HEDGE_DENIED_NO_ENDPOINT;
	if (!facts->retry_available)
		return HEDGE_DENIED_BUDGET;
	if (s->due > DUE_MAX)
		return HEDGE_DENIED_ALL_SLOW;
	return s->level < 1 ? HEDGE_DENIED_SHARE : HEDGE_SEND;
}

enum hedge_decision hedge_decide(struct hedge *h, const char *service,
				 const char *route,
				 const struct hedge_facts *facts,
				 int64_t now_us)
{
	struct hedge_service *s = find_service(h, service);
	int64_t delay_us = hedge_delay_us(h, service, route, now_us);
	enum hedge_decision decision;

	if (h->share <= 0)
		return HEDGE_DENIED_OFF;
	if (!delay_us)
		return HEDGE_DENIED_FEW_ANSWERS;
	if (!s)
		return HEDGE_DENIED_SHARE;
	s->due += 1 / DUE_CALLS;
	decision = judge(s, facts, delay_us);
	if (decision == HEDGE_SEND)
		s->level -= 1;
	return decision;
}
