#include "completion.h"
#include "rate.h"

#include <string.h>

/*
 * Selection by least cost. The unit of cost is an endpoint's whole capacity: a
 * fully loaded endpoint costs 1 more than an idle one.
 */

/* Age beyond which the load that an endpoint reported is ignored. */
#define LOAD_AGE_MAX_US 300000LL
/* Cost of an endpoint outside the preferred domain. The way there is part of the
 * time that calls are measured to take. */
#define REMOTE_COST 0.04
/*
 * Saving from which on a request certainly goes to another domain. At 1 the
 * endpoints of domains with little traffic stayed idle in the test of uneven
 * endpoints; at 0.125 more calls crossed domains for the same p99.
 */
#define REMOTE_CERTAIN 0.25
/* Cost of failures up to which an endpoint is drawn at random. */
#define DRAWN_FAILURE_COST 0.3
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

static bool is_remote(const struct fleet *f, const struct fleet_query *q,
		      const struct fleet_endpoint *e)
{
	return strcmp(e->entry.domain, q->preferred_domain
					       ? q->preferred_domain
					       : f->local_domain) != 0;
}

static double cost_of(struct fleet *f, const struct fleet_endpoint *e,
		      const struct fleet_query *q, int64_t now_us)
{
	double cost = load_of(e, q, now_us) + e->failure_rate * FAILURE_COST +
		      fleet_random(f) * RANDOM_COST;

	/* One second of latency costs as much as a full load. */
	if (q->stage == FLEET_PLAIN)
		cost += e->latency_us / 1e6;
	if (is_remote(f, q, e))
		cost += REMOTE_COST;
	if (fleet_is_unreachable(f, e))
		cost += UNREACHABLE_COST;
	return cost;
}

/*
 * Returns true if the endpoint's cost follows its expected completion. The decode
 * of a request takes longer than an endpoint is slowed, so memory decides there.
 */
static bool has_completion(const struct fleet_query *q,
			   const struct fleet_endpoint *e)
{
	return e->slowness.stated_us && q->stage != FLEET_DECODE;
}

/* Returns the cost among endpoints of which some state their slowness. */
static double uneven_cost_of(struct fleet *f, const struct fleet_endpoint *e,
			     const struct fleet_query *q, double usual_us,
			     int64_t now_us)
{
	if (!has_completion(q, e))
		return cost_of(f, e, q, now_us);
	return completion_cost(e, q->stage, load_of(e, q, now_us), usual_us,
			       now_us) +
	       e->failure_rate * FAILURE_COST + fleet_random(f) * RANDOM_COST +
	       (is_remote(f, q, e) ? REMOTE_COST : 0);
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
	if (q->excluded_version &&
	    strcmp(e->entry.version, q->excluded_version) == 0)
		return false;
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

/*
 * Two endpoints drawn at random, each pair with the same probability. Hosts that all
 * took the one of least cost would go to the same one, as their information has the
 * same age.
 */
struct draw {
	struct fleet_endpoint *e[2];
	double cost[2];
	uint32_t n; /* endpoints that it was drawn from */
};

static void draw_add(struct fleet *f, struct draw *d, struct fleet_endpoint *e,
		     double cost)
{
	uint32_t i = d->n++;

	if (i >= 2)
		i = (uint32_t)(fleet_random(f) * d->n);
	if (i >= 2)
		return;
	d->e[i] = e;
	d->cost[i] = cost;
}

/* Returns the index of the one that costs less. */
static int draw_best(const struct draw *d)
{
	return d->n > 1 && d->cost[1] < d->cost[0];
}

/*
 * Returns true if the endpoint can be drawn. One that fails or is in an unreachable
 * domain is chosen only if it is of least cost by load: that others are slowed for
 * a moment is no reason to risk a time-out.
 */
static bool may_draw(const struct fleet *f, const struct fleet_endpoint *e)
{
	return e->failure_rate * FAILURE_COST < DRAWN_FAILURE_COST &&
	       !fleet_is_unreachable(f, e);
}

/*
 * Returns the endpoint of less cost of those drawn in the preferred domain and in
 * others. The request goes to another domain with a probability in proportion to
 * what it saves there.
 */
static struct fleet_endpoint *choose_drawn(struct fleet *f,
					   const struct draw *local,
					   const struct draw *remote)
{
	int l = draw_best(local), r = draw_best(remote);

	if (!remote->n)
		return local->e[l];
	if (!local->n ||
	    local->cost[l] - remote->cost[r] > fleet_random(f) * REMOTE_CERTAIN)
		return remote->e[r];
	return local->e[l];
}

/*
 * Returns the mean time of a call at slowness 1 over the endpoints that state their
 * slowness, 0 if unknown. Sets *any to true if there are such endpoints.
 */
static double usual_call_us(const struct fleet *f, const struct fleet_query *q,
			    bool *any)
{
	const struct fleet_endpoint *e;
	double sum_us = 0;
	uint32_t n = 0;

	*any = false;
	/* Requests that wait for decode memory choose many times a second. */
	if (q->stage == FLEET_DECODE)
		return 0;
	TAILQ_FOREACH(e, &f->list, link)
	{
		if (!matches(q, e) || !has_completion(q, e))
			continue;
		*any = true;
		if (e->slowness.work_us <= 0)
			continue;
		sum_us += e->slowness.work_us;
		n++;
	}
	return n ? sum_us / n : 0;
}

struct fleet_endpoint *fleet_choose(struct fleet *f,
				    const struct fleet_query *query,
				    int64_t now_us, enum fleet_result *result)
{
	struct fleet_endpoint *e, *best = NULL;
	enum fleet_result availability;
	struct draw local = {.n = 0}, remote = {.n = 0};
	double cost, best_cost = 0, usual_us;
	bool spread;

	usual_us = usual_call_us(f, query, &spread);
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
		if (spread && may_draw(f, e))
			draw_add(f, is_remote(f, query, e) ? &remote : &local,
				 e,
				 uneven_cost_of(f, e, query, usual_us, now_us));
	}
	if (best && spread && may_draw(f, best))
		best = choose_drawn(f, &local, &remote);
	if (best)
		*result = FLEET_FOUND;
	return best;
}
