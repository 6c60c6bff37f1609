#include "plan.h"

#include <string.h>

#define FNV_OFFSET_BASIS 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL

/* Estimates before the first observation, and their weight in tokens. */
#define INITIAL_PREFILL_TOKEN_US 20.0
#define INITIAL_TRANSFER_TOKEN_US 1.0
#define INITIAL_TOKENS 10000.0

#define DECAY_FACTOR 0.97    /* of the sums, at each observation */
#define QUEUE_MAX_US 60000.0 /* wait with an idle decode slot */

void plan_estimator_init(struct plan_estimator *e)
{
	e->prefill_token_us = INITIAL_PREFILL_TOKEN_US;
	e->transfer_token_us = INITIAL_TRANSFER_TOKEN_US;
	e->prefill_decayed_tokens = INITIAL_TOKENS;
	e->transfer_decayed_tokens = INITIAL_TOKENS;
	e->prefill_decayed_us = INITIAL_TOKENS * INITIAL_PREFILL_TOKEN_US;
	e->transfer_decayed_us = INITIAL_TOKENS * INITIAL_TRANSFER_TOKEN_US;
}

/*
 * Adds an observation to the decayed sums and returns the time per token. As a
 * quotient of sums, it weighs long prompts more than short ones, whose time is
 * mostly constant overhead.
 */
static double add_sample(double *decayed_us, double *decayed_tokens,
			 uint32_t tokens, int64_t took_us)
{
	*decayed_us = DECAY_FACTOR * *decayed_us + (double)took_us;
	*decayed_tokens = DECAY_FACTOR * *decayed_tokens + tokens;
	return *decayed_us / *decayed_tokens;
}

void plan_estimator_observe_prefill(struct plan_estimator *e, uint32_t tokens,
				    int64_t took_us)
{
	e->prefill_token_us = add_sample(&e->prefill_decayed_us,
					 &e->prefill_decayed_tokens, tokens,
					 took_us);
}

void plan_estimator_observe_transfer(struct plan_estimator *e, uint32_t tokens,
				     int64_t took_us)
{
	e->transfer_token_us = add_sample(&e->transfer_decayed_us,
					  &e->transfer_decayed_tokens, tokens,
					  took_us);
}

static uint32_t uncached_tokens(const struct plan_request *r,
				const struct plan_prefill_candidate *p)
{
	if (p->cached_tokens >= r->prompt_tokens)
		return 0;
	return r->prompt_tokens - p->cached_tokens;
}

/* Returns the estimated time to the first token if p and its link are idle. */
static double idle_first_token_us(const struct plan_request *r,
				  const struct plan_prefill_candidate *p)
{
	return uncached_tokens(r, p) * p->estimator->prefill_token_us +
	       r->prompt_tokens * p->estimator->transfer_token_us +
	       r->decode_step_us;
}

/*
 * The link's queue drains while the prefill waits and runs, so only the rest of
 * it at the end of the prefill adds to the time.
 */
int64_t plan_estimate_first_token_us(const struct plan_request *r,
				     const struct plan_prefill_candidate *p)
{
	double wait_us = p->queued_tokens * p->estimator->prefill_token_us;
	double prefill_end_us =
		wait_us +
		uncached_tokens(r, p) * p->estimator->prefill_token_us;
	double link_us =
		p->link_queued_tokens * p->estimator->transfer_token_us;

	if (link_us > prefill_end_us)
		wait_us += link_us - prefill_end_us;
	return (int64_t)(wait_us + idle_first_token_us(r, p));
}

/*
 * Returns true if p is a better choice than best. If the estimates are about
 * equal, the prefix decides, so that all hosts send it to the same endpoint.
 */
static bool is_better(const struct plan_request *r,
		      const struct plan_prefill_candidate *p,
		      const struct plan_prefill_candidate *best)
{
	int64_t a = plan_estimate_first_token_us(r, p);
	int64_t b = plan_estimate_first_token_us(r, best);
	int64_t equal_us = (int64_t)(QUEUE_MAX_US / 2);

	if (a + equal_us < b || b + equal_us < a)
		return a < b;
	if (p->cached_tokens != best->cached_tokens)
		return p->cached_tokens > best->cached_tokens;
	return p->affinity > best->affinity;
}

static const struct plan_prefill_candidate *
best_prefill(const struct plan_request *r,
	     const struct plan_prefill_candidate *p, uint32_t n,
	     bool need_capacity)
{
	const struct plan_prefill_candidate *best = NULL;
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (need_capacity && !p[i].has_capacity)
			continue;
		if (!best || is_better(r, &p[i], best))
			best = &p[i];
	}
	return best;
}

/* Returns the candidate with the smallest share of its slots in use. */
static const struct plan_decode_candidate *
best_decode(const struct plan_decode_candidate *d, uint32_t m)
{
	const struct plan_decode_candidate *best = NULL;
	uint32_t i;

	for (i = 0; i < m; i++) {
		if (!d[i].has_capacity)
			continue;
		if (!best || (uint64_t)d[i].slots_used * best->slots <
				     (uint64_t)best->slots_used * d[i].slots)
			best = &d[i];
	}
	return best;
}

/*
 * Returns the prefill work that may wait ahead of the request, limited by the
 * deadline and by the time that the decode slot may be idle. At least 1: 0
 * means no limit in struct admit_request.
 */
static uint32_t queue_max_tokens(const struct plan_request *r,
				 const struct plan_prefill_candidate *p,
				 int64_t now_us)
{
	double slack_us = (double)(r->first_token_deadline_us - now_us) -
			  idle_first_token_us(r, p);

	if (r->ignore_deadline || slack_us > QUEUE_MAX_US)
		slack_us = QUEUE_MAX_US;
	if (slack_us < 0)
		slack_us = 0;
	return 1 + (uint32_t)(slack_us / p->estimator->prefill_token_us);
}

/* Returns true if no candidate could meet the deadline even if it were idle. */
static bool is_too_late(const struct plan_request *r,
			const struct plan_prefill_candidate *p, uint32_t n,
			int64_t now_us)
{
	uint32_t i;

	if (r->ignore_deadline)
		return false;
	for (i = 0; i < n; i++)
		if (now_us + (int64_t)idle_first_token_us(r, &p[i]) <=
		    r->first_token_deadline_us)
			return false;
	return true;
}

enum plan_outcome plan_choose(const struct plan_request *r,
			      const struct plan_prefill_candidate *prefill,
			      uint32_t n,
			      const struct plan_decode_candidate *decode,
			      uint32_t m, int64_t now_us, struct plan_pair *out)
{
	const struct plan_prefill_candidate *p =
		best_prefill(r, prefill, n, true);
	const struct plan_decode_candidate *d = best_decode(decode, m);

	if (is_too_late(r, prefill, n, now_us))
		return PLAN_REJECT;
	if (!p || !d)
		return PLAN_WAIT;
	out->prefill_index = (uint32_t)(p - prefill);
	out->decode_index = (uint32_t)(d - decode);
	out->prefill_tokens = uncached_tokens(r, p);
	out->queue_max_tokens = queue_max_tokens(r, p, now_us);
	out->first_token_us = plan_estimate_first_token_us(r, p);
	return PLAN_CHOSEN;
}

/* FNV-1a over the name, seeded with the prefix, then a finalizer's mixing. */
uint64_t plan_affinity(uint64_t prefix, const char *endpoint)
{
	uint64_t h = FNV_OFFSET_BASIS ^ prefix;

	for (; *endpoint; endpoint++)
		h = (h ^ (uint8_t)*endpoint) * FNV_PRIME;
	h ^= h >> 33;
	h *= 0xff51afd7ed558ccdULL;
	return h ^ h >> 29;
}
