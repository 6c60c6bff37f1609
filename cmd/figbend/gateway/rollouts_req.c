#include "req.h"

#include <stdio.h>
#include <string.h>

/* Rollouts: the side of each request, and what is observed of its answers. */

/* Returns the rollout of the request's service, or NULL if versions are alike. */
static struct gateway_rollout *find_active(const struct req *r)
{
	struct gateway_rollout *gr;

	TAILQ_FOREACH(gr, &r->g->rollouts.list, entry)
	{
		if (strcmp(gr->r.service, r->service->name) == 0)
			return gr->r.stage == ROLLOUT_NONE || gr->over ? NULL
								       : gr;
	}
	return NULL;
}

static void set_side(struct fleet_query *query,
		     const struct gateway_rollout *of, enum rollout_side side)
{
	query->version = of->r.order.to;
	switch (side) {
	case ROLLOUT_ANY:
		query->version_match = FLEET_VERSION_ANY;
		break;
	case ROLLOUT_PRESENT:
		query->version_match = FLEET_VERSION_IS_NOT;
		break;
	case ROLLOUT_NEW:
		query->version_match = FLEET_VERSION_IS;
		break;
	}
}

/* Returns true if an endpoint of another version could serve the query. */
static bool has_others(const struct req *r, const struct fleet_query *query,
		       const char *version)
{
	const struct fleet_endpoint *e;

	TAILQ_FOREACH(e, &r->g->fleet.list, link)
	{
		if (e->entry.stage == query->stage &&
		    strcmp(e->entry.service, query->service) == 0 &&
		    strcmp(e->entry.version, version) != 0 &&
		    fleet_is_usable(&r->g->fleet, e))
			return true;
	}
	return false;
}

/* Leaves out a version that is held back, the one that was seen last, unless there is
 * no other. */
static void leave_out_held(const struct req *r, struct fleet_query *query)
{
	const struct rollouts *rs = &r->g->rollouts;
	int64_t now_us = gateway_now_us(r->g), until_us = now_us;
	uint32_t i;

	for (i = 0; i < rs->n_versions && i < ROLLOUTS_VERSIONS_MAX; i++) {
		const struct rollouts_version *v = &rs->version[i];

		if (v->held_until_us <= until_us ||
		    strcmp(v->service, r->service->name) != 0 ||
		    !has_others(r, query, v->version))
			continue;
		until_us = v->held_until_us;
		query->version = v->version;
		query->version_match = FLEET_VERSION_IS_NOT;
	}
}

static bool new_is_usable(struct req *r, const struct fleet_query *query)
{
	struct fleet_query q = *query;
	enum fleet_result result;

	set_side(&q, r->rollout.of, ROLLOUT_NEW);
	return fleet_choose(&r->g->fleet, &q, gateway_now_us(r->g), &result) !=
	       NULL;
}

/* A request of the present version that waits in the shift goes to the new one as
 * soon as that has capacity. */
static bool may_choose(const struct req *r)
{
	const struct rollouts_req *ro = &r->rollout;

	return ro->generation != ro->of->generation ||
	       (ro->side == ROLLOUT_PRESENT &&
		ro->of->r.stage == ROLLOUT_SHIFT);
}

static void choose(struct req *r, const struct fleet_query *query)
{
	struct rollouts_req *ro = &r->rollout;

	if (r->failed_attempts || r->executions || r->reservations_denied) {
		if (ro->generation != ro->of->generation)
			ro->side = rollout_choose_again(&ro->of->r, ro->side);
	} else if (may_choose(r)) {
		ro->side = rollout_choose(&ro->of->r, r->route->name,
					  new_is_usable(r, query),
					  gateway_now_us(r->g));
	}
	ro->generation = ro->of->generation;
}

/* See rollouts.h. */
void rollouts_fill_query(struct req *r, struct fleet_query *query)
{
	struct gateway *g = r->g;
	struct rollouts_req *ro = &r->rollout;
	struct gateway_rollout *of;

	if (TAILQ_EMPTY(&g->rollouts.list) && !g->rollouts.held_until_us)
		return;
	of = find_active(r);
	if (of != ro->of) {
		memset(ro, 0, sizeof(*ro));
		ro->of = of;
		/* Until its side is chosen, an earlier attempt was at any. */
		ro->generation = of ? of->generation - 1 : 0;
		/* When that was sent is not known here. */
		ro->counted = r->endpoint != NULL;
	}
	if (!of) {
		if (g->rollouts.held_until_us)
			leave_out_held(r, query);
		return;
	}
	if (of->rolled_back[0])
		query->excluded_version = of->rolled_back;
	if (r->endpoint) {
		set_side(query, of, rollout_choose_again(&of->r, ro->side));
		return;
	}
	choose(r, query);
	set_side(query, of, ro->side);
}

/* See rollouts.h. */
void rollouts_fill_prefill_query(const struct req *r, struct fleet_query *query)
{
	/* An endpoint of a version that is held back gets no prefill either. */
	if (!r->rollout.of && !r->g->rollouts.held_until_us)
		return;
	query->version = r->endpoint->entry.version;
	query->version_match = FLEET_VERSION_IS;
}

/* See rollouts.h. */
bool rollouts_is_mixed(const struct req *r)
{
	return r->rollout.of && r->prefill_endpoint && r->endpoint &&
	       strcmp(r->prefill_endpoint->entry.version,
		      r->endpoint->entry.version) != 0;
}

static void observe(struct req *r, const struct fleet_endpoint *e,
		    const char *row, enum rollout_answer answer,
		    int64_t took_us)
{
	struct rollout *ro = &r->rollout.of->r;
	bool is_new = rollout_is_new(ro, e->entry.version);

	if (is_new && answer == ROLLOUT_ANSWER_BAD)
		stats_add(&r->g->stats, STATS_ROLLOUT_BAD, 1);
	rollout_observe(ro, row, is_new, answer, took_us > 0 ? took_us : 1,
			gateway_now_us(r->g));
}

/* See rollouts.h. */
void rollouts_record_send(struct req *r, const struct fleet_endpoint *e)
{
	struct rollouts_req *ro = &r->rollout;

	if (!ro->of)
		return;
	if (!ro->sent_us)
		ro->sent_us = gateway_now_us(r->g);
	ro->first_event_us = 0;
	ro->counted = false;
	if (rollout_is_new(&ro->of->r, e->entry.version))
		stats_add(&r->g->stats, STATS_ROLLOUT_SENDS, 1);
}

/* See rollouts.h. */
void rollouts_record_first_event(struct req *r)
{
	struct rollouts_req *ro = &r->rollout;

	if (!ro->of || !ro->sent_us)
		return;
	ro->first_event_us = gateway_now_us(r->g);
	ro->events_before = r->events.n_events;
	if (!ro->counted)
		observe(r, r->endpoint, r->route->name, ROLLOUT_ANSWER_GOOD,
			ro->first_event_us - ro->sent_us);
	ro->counted = true;
}

static void observe_gaps(struct req *r, const struct fleet_endpoint *e)
{
	const struct rollouts_req *ro = &r->rollout;
	uint64_t gaps = r->events.n_events - ro->events_before;
	char row[ROLLOUT_ROW_BYTES];

	if (!gaps)
		return;
	snprintf(row, sizeof(row), "%s" ROLLOUT_GAP_SUFFIX, r->route->name);
	observe(r, e, row, ROLLOUT_ANSWER_GOOD,
		(r->last_event_us - ro->first_event_us) / (int64_t)gaps);
}

/* See rollouts.h. */
void rollouts_record_answer(struct req *r, const struct fleet_endpoint *e)
{
	struct rollouts_req *ro = &r->rollout;

	/* An attempt that was sent before its rollout was known has no start. */
	if (!ro->of || !ro->sent_us)
		return;
	if (ro->first_event_us)
		observe_gaps(r, e);
	else if (!ro->counted)
		observe(r, e, r->route->name,
			r->status >= 500 ? ROLLOUT_ANSWER_BAD
					 : ROLLOUT_ANSWER_GOOD,
			gateway_now_us(r->g) - ro->sent_us);
	ro->sent_us = 0;
}

/* See rollouts.h. */
void rollouts_record_step_failure(struct req *r, const struct fleet_endpoint *e,
				  enum fleet_outcome outcome)
{
	if (r->rollout.of && outcome != FLEET_OVERLOADED &&
	    outcome != FLEET_MISDIRECTED)
		observe(r, e, r->route->name, ROLLOUT_ANSWER_BAD, 0);
}

/* See rollouts.h. */
void rollouts_record_failure(struct req *r, const struct fleet_endpoint *e,
			     enum fleet_outcome outcome)
{
	struct rollouts_req *ro = &r->rollout;

	if (!ro->of)
		return;
	rollouts_record_step_failure(r, e, outcome);
	ro->sent_us = 0;
	ro->side = rollout_choose_again(&ro->of->r, ro->side);
}

/* See rollouts.h. */
void rollouts_record_foreign(struct req *r, const struct fleet_endpoint *e)
{
	if (!r->rollout.of || r->rollout.counted)
		return;
	observe(r, e, r->route->name, ROLLOUT_ANSWER_BAD, 0);
	r->rollout.counted = true;
}
