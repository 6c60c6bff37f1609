#include "rate.h"

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
		      fleet_random(f) * RANDOM_COST;

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
	if (fleet_is_unwanted(e, now_us) || (e->unwanted_until_us && e->probes))
		return FLEET_ALL_FULL;
	if (now_us < e->full_until_us || fleet_rate_reached(f, q, e, now_us))
		return FLEET_ALL_FULL;
	if (q->kv_tokens && fleet_free_tokens(e, q->kv_capacity_tokens) <
				    (int64_t)q->kv_tokens + q->headroom_tokens)
		return FLEET_ALL_FULL;
	return FLEET_FOUND;
}

static bool version_matches(const struct fleet_query *q,
			    const struct fleet_endpoint *e)
{
	switch (q->version_match) {
	case FLEET_VERSION_IS:
		return strcmp(e->entry.version, q->version) == 0;
	case FLEET_VERSION_IS_NOT:
		return strcmp(e->entry.version, q->version) != 0;
	case FLEET_VERSION_ANY:
		break;
	}
	return true;
}

static bool matches(const struct fleet_query *q, const struct fleet_endpoint *e)
{
	return e->entry.stage == q->stage &&
	       strcmp(e->entry.service, q->service) == 0 &&
	       version_matches(q, e);
}

int64_t fleet_wait_us(const struct fleet *f, const struct fleet_query *query,
		      int64_t now_us)
{
	const struct fleet_endpoint *e;
	int64_t until_us = INT64_MAX;
	bool any = false;

	TAILQ_FOREACH(e, &f->list, link)
	{
		if (!matches(query, e))
			continue;
		any = true;
		if (e->entry.draining || e->leaving_us)
			continue;
		if (!fleet_is_unwanted(e, now_us))
			return 0;
		if (e->unwanted_until_us < until_us)
			until_us = e->unwanted_until_us;
	}
	return any ? until_us - now_us : 0;
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
		if (!matches(query, e) || !fleet_is_usable(f, e) ||
		    is_excluded(query, e))
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
