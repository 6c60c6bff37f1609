#include "fleet.h"

#include <string.h>

/* How long the load that came with an answer says something. */
#define LOAD_AGE_MAX_US 300000LL
/* What another domain costs, as a share of an endpoint's capacity. */
#define FAR_COST 0.04
/* A domain whose hosts are all silent may be cut off: its endpoints are taken
 * when the others are this much fuller. */
#define SILENT_COST 0.6
/* What an endpoint whose requests all fail costs in the same measure. */
#define FAILING_COST 3.0
/* Spreads choices among endpoints that cost the same. */
#define RANDOM_COST 0.02
/* Prompt tokens that make a prefill endpoint count as busy. */
#define PREFILL_TOKENS 10000.0

/* The next number of a linear congruential sequence, as 0 .. 1. */
static double draw(struct fleet *f)
{
	f->random = f->random * 6364136223846793005ULL + 1442695040888963407ULL;
	return (double)(f->random >> 40) / (double)(1 << 24);
}

static bool tried(const struct fleet_query *w, const struct fleet_endpoint *e)
{
	uint32_t i;

	for (i = 0; i < w->n_excluded; i++)
		if (w->excluded[i] == e)
			return true;
	return false;
}

/* See fleet.h. */
int64_t fleet_free_tokens(const struct fleet_endpoint *e, uint32_t total_tokens)
{
	return (int64_t)total_tokens -
	       (int64_t)(e->kv_tokens + e->peer_kv_tokens);
}

/* Tells whether a cold endpoint has had this host's share of this second. */
static bool cold_full(const struct fleet *f, const struct fleet_query *w,
		      const struct fleet_endpoint *e, int64_t now_us)
{
	double share;

	if (now_us >= e->cold_until_us || w->cold_requests_per_s <= 0)
		return false;
	share = w->cold_requests_per_s / (f->hosts ? f->hosts : 1);
	if (share < 1)
		share = 1;
	return now_us - e->cold_window_us < 1000000 &&
	       e->cold_requests >= share;
}

/* The load as a share of what the endpoint bears; less is better. */
static double load_of(const struct fleet_endpoint *e,
		      const struct fleet_query *w, int64_t now_us)
{
	double slots = e->entry.slots ? e->entry.slots : 1;
	double running = e->running + e->peer_running;

	if (w->stage == FLEET_PREFILL)
		return (e->prefill_tokens + e->peer_prefill_tokens) /
		       PREFILL_TOKENS;
	if (w->stage == FLEET_DECODE)
		return 1 - (double)fleet_free_tokens(e, w->kv_capacity_tokens) /
				   (w->kv_capacity_tokens
					    ? w->kv_capacity_tokens
					    : 1);
	if (now_us - e->load_us < LOAD_AGE_MAX_US &&
	    e->load_running + e->load_waiting > running)
		running = e->load_running + e->load_waiting;
	return running / slots;
}

static double cost_of(struct fleet *f, const struct fleet_endpoint *e,
		      const struct fleet_query *w, int64_t now_us)
{
	double cost = load_of(e, w, now_us) + e->failure_rate * FAILING_COST +
		      draw(f) * RANDOM_COST;

	if (w->stage == FLEET_PLAIN)
		cost += e->latency_us / 1e6;
	if (strcmp(e->entry.domain, w->preferred_domain ? w->preferred_domain
							: f->local_domain) != 0)
		cost += FAR_COST;
	if (fleet_is_unreachable(f, e))
		cost += SILENT_COST;
	return cost;
}

/* Tells why the endpoint cannot be taken now. */
static enum fleet_result state_of(const struct fleet *f,
				  const struct fleet_query *w,
				  const struct fleet_endpoint *e,
				  int64_t now_us)
{
	if (now_us < e->ejected_until_us || (e->ejected_until_us && e->probes))
		return FLEET_ALL_EJECTED;
	if (now_us < e->full_until_us || cold_full(f, w, e, now_us))
		return FLEET_ALL_FULL;
	if (w->kv_tokens && fleet_free_tokens(e, w->kv_capacity_tokens) <
				    (int64_t)w->kv_tokens + w->headroom_tokens)
		return FLEET_ALL_FULL;
	return FLEET_FOUND;
}

/*
 * Chooses the endpoint that costs least, or returns NULL and says in *why what
 * stands in the way of the one that is nearest to use.
 */
struct fleet_endpoint *fleet_choose(struct fleet *f,
				    const struct fleet_query *want,
				    int64_t now_us, enum fleet_result *why)
{
	struct fleet_endpoint *e, *best = NULL;
	enum fleet_result state;
	double cost, least = 0;

	*why = FLEET_NO_ENDPOINT;
	TAILQ_FOREACH(e, &f->list, link)
	{
		if (e->entry.stage != want->stage ||
		    strcmp(e->entry.service, want->service) != 0 ||
		    !fleet_is_usable(f, e) || tried(want, e))
			continue;
		state = state_of(f, want, e, now_us);
		if (state != FLEET_FOUND) {
			if (state > *why)
				*why = state;
			continue;
		}
		cost = cost_of(f, e, want, now_us);
		if (!best || cost < least) {
			best = e;
			least = cost;
		}
	}
	if (best)
		*why = FLEET_FOUND;
	return best;
}
