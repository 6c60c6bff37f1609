#include "fleet.h"

#include <math.h>
#include <string.h>

/*
 * Selection by least cost. The unit of cost is an endpoint's whole capacity: a
 * fully loaded endpoint costs 1 more than an idle one.
 */

/* Age beyond which the load that an endpoint reported is ignored. */
#define LOAD_AGE_MAX_US 300000LL
/* Cost of an endpoint outside the preferred domain. */
#define REMOTE_COST 0.04
/*
 * Cost of an endpoint in an unreachable domain: it may be partitioned from this
 * host, so it is chosen only if the others are that much more loaded.
 */
#define UNREACHABLE_COST 0.6
/* Cost of an endpoint at a failure rate of 1. */
#define FAILURE_COST 3.0
/* Upper bound of a random cost that spreads requests over similar endpoints. */
#define RANDOM_COST 0.02
/* Prompt tokens in flight at which a prefill endpoint counts as fully loaded. */
#define PREFILL_FULL_TOKENS 10000.0

#define RATE_WINDOW_US 1000000LL
/* Part of the rate that is used if hosts draw their requests at random: then a
 * window may have more of them than the average. A limit is an average over some
 * seconds, a warm-up rate binds in each second. */
#define COLD_SPREAD 0.6
#define LIMIT_SPREAD 0.75

/* Returns a number in [0, 1) from a linear congruential generator. */
static double random_fraction(struct fleet *f)
{
	f->random = f->random * 6364136223846793005ULL + 1442695040888963407ULL;
	return (double)(f->random >> 40) / (double)(1 << 24);
}

static bool is_excluded(const struct fleet_query *q,
			const struct fleet_endpoint *e)
{
	uint32_t i;

	for (i = 0; i < q->n_excluded; i++)
		if (q->excluded[i] == e)
			return true;
	return false;
}

int64_t fleet_free_tokens(const struct fleet_endpoint *e,
			  uint32_t kv_capacity_tokens)
{
	return (int64_t)kv_capacity_tokens -
	       (int64_t)(e->kv_tokens + e->peer_kv_tokens);
}

/*
 * Returns how many requests this host may send to an endpoint in a window, so
 * that all hosts together stay within rate_per_s. A share of less than one
 * request is one request in some windows; then the spread part of the rate is
 * used.
 */
static uint32_t draw_allowance(struct fleet *f, double rate_per_s,
			       double spread)
{
	double share = rate_per_s / (f->hosts ? f->hosts : 1);
	double whole = floor(share);

	if (share < 1)
		share *= spread;
	return (uint32_t)whole + (random_fraction(f) < share - whole);
}

/*
 * Returns what the window before left over for the present one: at most what was
 * drawn in it, so that no request is put off for longer than a window.
 */
static uint32_t left_over(const struct fleet_rate *r, int64_t now_us)
{
	uint32_t left = r->allowance > r->sent ? r->allowance - r->sent : 0;

	if (now_us - r->window_us >= 2 * RATE_WINDOW_US)
		return 0;
	return left < r->drawn ? left : r->drawn;
}

/*
 * Returns true if this host has used its share of a rate in this window. carries
 * tells whether a share may be used in the next window too.
 */
static bool rate_exhausted(struct fleet *f, struct fleet_rate *r,
			   double rate_per_s, double spread, bool carries,
			   int64_t now_us)
{
	uint32_t left;

	if (now_us - r->window_us >= RATE_WINDOW_US) {
		left = carries ? left_over(r, now_us) : 0;
		r->window_us = now_us;
		r->sent = 0;
		r->drawn = draw_allowance(f, rate_per_s, spread);
		r->allowance = r->drawn + left;
	}
	return r->sent >= r->allowance;
}

/* Returns true if the endpoint may get no further request in this window. */
static bool rate_limit_reached(struct fleet *f, const struct fleet_query *q,
			       struct fleet_endpoint *e, int64_t now_us)
{
	if (now_us < e->cold_until_us && q->cold_requests_per_s > 0 &&
	    rate_exhausted(f, &e->cold_rate, q->cold_requests_per_s,
			   COLD_SPREAD, false, now_us))
		return true;
	return fleet_is_limited(e) &&
	       rate_exhausted(f, &e->limit_rate, e->limit_milli_per_s / 1000.,
			      LIMIT_SPREAD, true, now_us);
}

/*
 * Returns the load as a fraction of the endpoint's capacity. For a plain service
 * this is the larger of two counts: the requests that all hosts run there, and
 * the load that the endpoint reported.
 */
static double load_of(const struct fleet_endpoint *e,
		      const struct fleet_query *q, int64_t now_us)
{
	double slots = e->entry.slots ? e->entry.slots : 1;
	double running = e->running + e->peer_running;

	if (q->stage == FLEET_PREFILL)
		return (e->prefill_tokens + e->peer_prefill_tokens) /
		       PREFILL_FULL_TOKENS;
	if (q->stage == FLEET_DECODE)
		return 1 - (double)fleet_free_tokens(e, q->kv_capacity_tokens) /
				   (q->kv_capacity_tokens
					    ? q->kv_capacity_tokens
					    : 1);
	if (now_us - e->load_us < LOAD_AGE_MAX_US &&
	    e->load_running + e->load_waiting > running)
		running = e->load_running + e->load_waiting;
	return running / slots;
}

static double cost_of(struct fleet *f, const struct fleet_endpoint *e,
		      const struct fleet_query *q, int64_t now_us)
{
	double cost = load_of(e, q, now_us) + e->failure_rate * FAILURE_COST +
		      random_fraction(f) * RANDOM_COST;

	/* One second of latency costs as much as a full load. */
	if (q->stage == FLEET_PLAIN)
		cost += e->latency_us / 1e6;
	if (strcmp(e->entry.domain, q->preferred_domain ? q->preferred_domain
							: f->local_domain) != 0)
		cost += REMOTE_COST;
	if (fleet_is_unreachable(f, e))
		cost += UNREACHABLE_COST;
	return cost;
}

/* Returns FLEET_FOUND if the endpoint can accept a request now, else why not. */
static enum fleet_result check_availability(struct fleet *f,
					    const struct fleet_query *q,
					    struct fleet_endpoint *e,
					    int64_t now_us)
{
	if (now_us < e->ejected_until_us || (e->ejected_until_us && e->probes))
		return FLEET_ALL_EJECTED;
	if (now_us < e->full_until_us || rate_limit_reached(f, q, e, now_us))
		return FLEET_ALL_FULL;
	if (q->kv_tokens && fleet_free_tokens(e, q->kv_capacity_tokens) <
				    (int64_t)q->kv_tokens + q->headroom_tokens)
		return FLEET_ALL_FULL;
	return FLEET_FOUND;
}

struct fleet_endpoint *fleet_choose(struct fleet *f,
				    const struct fleet_query *query,
				    int64_t now_us, enum fleet_result *result)
{
	struct fleet_endpoint *e, *best = NULL;
	enum fleet_result availability;
	double cost, best_cost = 0;

	*result = FLEET_NO_ENDPOINT;
	TAILQ_FOREACH(e, &f->list, link)
	{
		if (e->entry.stage != query->stage ||
		    strcmp(e->entry.service, query->service) != 0 ||
		    !fleet_is_usable(f, e) || is_excluded(query, e))
			continue;
		availability = check_availability(f, query, e, now_us);
		if (availability != FLEET_FOUND) {
			if (availability > *result)
				*result = availability;
			continue;
		}
		cost = cost_of(f, e, query, now_us);
		if (!best || cost < best_cost) {
			best = e;
			best_cost = cost;
		}
	}
	if (best)
		*result = FLEET_FOUND;
	return best;
}
