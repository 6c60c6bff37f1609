#include "plan.h"

#include <string.h>

#define FNV_START 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL

#define FIRST_PREFILL_TOKEN_US 20.0 /* until something was measured */
#define FIRST_TRANSFER_TOKEN_US 1.0
#define KEPT_PART 0.97	     /* of the sums, at each new measurement */
#define FIRST_TOKENS 10000.0 /* weight of the first guess */
#define QUEUE_US 60000.0     /* work in front of a prefill whose slot is held */

void plan_estimator_init(struct plan_estimator *s)
{
	s->prefill_token_us = FIRST_PREFILL_TOKEN_US;
	s->transfer_token_us = FIRST_TRANSFER_TOKEN_US;
	s->prefill_decayed_tokens = FIRST_TOKENS;
	s->transfer_decayed_tokens = FIRST_TOKENS;
	s->prefill_decayed_us = FIRST_TOKENS * FIRST_PREFILL_TOKEN_US;
	s->transfer_decayed_us = FIRST_TOKENS * FIRST_TRANSFER_TOKEN_US;
}

/*
 * Adds a measurement and returns the time of a token. Long prompts weigh more
 * than short ones, whose time is mostly its constant part.
 */
static double add_sample(double *us, double *tokens, uint32_t n,
			 int64_t took_us)
{
	*us = KEPT_PART * *us + (double)took_us;
	*tokens = KEPT_PART * *tokens + n;
	return *us / *tokens;
}

/* Takes the time of a prefill over its work and what was in front of it. */
void plan_estimator_observe_prefill(struct plan_estimator *s, uint32_t tokens,
				    int64_t took_us)
{
	s->prefill_token_us = add_sample(&s->prefill_decayed_us,
					 &s->prefill_decayed_tokens, tokens,
					 took_us);
}

/* Takes the time of a transfer over the tokens of its KV result. */
void plan_estimator_observe_transfer(struct plan_estimator *s, uint32_t tokens,
				     int64_t took_us)
{
	s->transfer_token_us = add_sample(&s->transfer_decayed_us,
					  &s->transfer_decayed_tokens, tokens,
					  took_us);
}

static uint32_t work_tokens(const struct plan_request *j,
			    const struct plan_prefill_candidate *p)
{
	if (p->cached_tokens >= j->prompt_tokens)
		return 0;
	return j->prompt_tokens - p->cached_tokens;
}

/* Returns the time that the job itself takes there, without waiting. */
static double own_us(const struct plan_request *j,
		     const struct plan_prefill_candidate *p)
{
	return work_tokens(j, p) * p->estimator->prefill_token_us +
	       j->prompt_tokens * p->estimator->transfer_token_us +
	       j->decode_step_us;
}

/*
 * Returns the time from an order now to the first token, in microseconds: the
 * prefill's queue, the prefill, the link's queue, the transfer, a decode step. The
 * link's queue shrinks while the prefill waits and runs.
 */
int64_t plan_estimate_first_token_us(const struct plan_request *j,
				     const struct plan_prefill_candidate *p)
{
	double queue = p->queued_tokens * p->estimator->prefill_token_us;
	double before =
		queue + work_tokens(j, p) * p->estimator->prefill_token_us;
	double link = p->link_queued_tokens * p->estimator->transfer_token_us;

	if (link > before)
		queue += link - before;
	return (int64_t)(queue + own_us(j, p));
}

/*
 * Tells whether p is a better choice than best. Where the times are alike, the
 * prefix decides, so that all hosts send it to the same endpoint.
 */
static bool is_better(const struct plan_request *j,
		      const struct plan_prefill_candidate *p,
		      const struct plan_prefill_candidate *best)
{
	int64_t a = plan_estimate_first_token_us(j, p);
	int64_t b = plan_estimate_first_token_us(j, best);
	int64_t alike = (int64_t)(QUEUE_US / 2);

	if (a + alike < b || b + alike < a)
		return a < b;
	if (p->cached_tokens != best->cached_tokens)
		return p->cached_tokens > best->cached_tokens;
	return p->affinity > best->affinity;
}

static const struct plan_prefill_candidate *
best_prefill(const struct plan_request *j,
	     const struct plan_prefill_candidate *p, uint32_t n, bool need_room)
{
	const struct plan_prefill_candidate *best = NULL;
	uint32_t i;

	for (i = 0; i < n; i++) {
		if (need_room && !p[i].has_capacity)
			continue;
		if (!best || is_better(j, &p[i], best))
			best = &p[i];
	}
	return best;
}

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

/* Returns the work that may be in front, for the target and for the slot. */
static uint32_t queue_max(const struct plan_request *j,
			  const struct plan_prefill_candidate *p,
			  int64_t now_us)
{
	double slack =
		(double)(j->first_token_deadline_us - now_us) - own_us(j, p);

	if (j->ignore_deadline || slack > QUEUE_US)
		slack = QUEUE_US;
	if (slack < 0)
		slack = 0;
	return 1 + (uint32_t)(slack / p->estimator->prefill_token_us);
}

/* Tells whether even an idle endpoint would be too late. */
static bool is_late(const struct plan_request *j,
		    const struct plan_prefill_candidate *p, uint32_t n,
		    int64_t now_us)
{
	uint32_t i;

	if (j->ignore_deadline)
		return false;
	for (i = 0; i < n; i++)
		if (now_us + (int64_t)own_us(j, &p[i]) <=
		    j->first_token_deadline_us)
			return false;
	return true;
}

/*
 * Chooses the prefill endpoint with the earliest first token and the decode
 * endpoint with the smallest share of its slots in use. A request does not queue
 * in front of a prefill for longer than a short while, since its decode slot is
 * held meanwhile; it waits here instead.
 */
enum plan_outcome plan_choose(const struct plan_request *j,
			      const struct plan_prefill_candidate *prefill,
			      uint32_t n,
			      const struct plan_decode_candidate *decode,
			      uint32_t m, int64_t now_us, struct plan_pair *out)
{
	const struct plan_prefill_candidate *p =
		best_prefill(j, prefill, n, true);
	const struct plan_decode_candidate *d = best_decode(decode, m);

	if (is_late(j, prefill, n, now_us))
		return PLAN_REJECT;
	if (!p || !d)
		return PLAN_WAIT;
	out->prefill_index = (uint32_t)(p - prefill);
	out->decode_index = (uint32_t)(d - decode);
	out->prefill_tokens = work_tokens(j, p);
	out->queue_max_tokens = queue_max(j, p, now_us);
	out->first_token_us = plan_estimate_first_token_us(j, p);
	return PLAN_CHOSEN;
}

/* Returns the rendezvous rank of an endpoint for a prefix. */
uint64_t plan_affinity(uint64_t prefix, const char *endpoint)
{
	uint64_t h = FNV_START ^ prefix;

	for (; *endpoint; endpoint++)
		h = (h ^ (uint8_t)*endpoint) * FNV_PRIME;
	h ^= h >> 33;
	h *= 0xff51afd7ed558ccdULL;
	return h ^ h >> 29;
}
