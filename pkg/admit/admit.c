#include "admit.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HINT_OLD_US (300LL * 1000)

/* Starts without endpoints. */
void admit_init(struct admit *a)
{
	memset(a, 0, sizeof(*a));
}

static void drop_book(struct admit_endpoint *e)
{
	if (e->alloc)
		admit_alloc_finish(e->alloc);
	free(e->alloc);
	e->alloc = NULL;
}

void admit_finish(struct admit *a)
{
	uint32_t i;

	for (i = 0; i < a->n; i++)
		drop_book(&a->endpoint[i]);
	free(a->endpoint);
	memset(a, 0, sizeof(*a));
}

/* Returns the endpoint of that name, or NULL. */
struct admit_endpoint *admit_find(struct admit *a, const char *name)
{
	uint32_t i;

	for (i = 0; i < a->n; i++)
		if (strcmp(a->endpoint[i].name, name) == 0)
			return &a->endpoint[i];
	return NULL;
}

static void take_over(struct admit_endpoint *e, const struct config *c,
		      const struct config_endpoint *from)
{
	const struct config_domain *d = config_domain(c, from->domain);
	bool was_open = e->in_service;

	snprintf(e->name, sizeof(e->name), "%s", from->name);
	snprintf(e->addr, sizeof(e->addr), "%s", from->addr);
	snprintf(e->domain, sizeof(e->domain), "%s", from->domain);
	snprintf(e->serves, sizeof(e->serves), "%s", from->serves);
	e->role = from->role;
	e->slots = from->slots;
	e->pieces = from->pieces;
	e->link_kbytes_s = from->link_kbytes_s;
	e->fences = from->fences;
	if (e->alloc)
		admit_alloc_resize(e->alloc, e->slots, e->pieces);
	e->in_service = !from->leaving && d &&
			d->state == CONFIG_DOMAIN_IN_SERVICE;
	if (e->in_service && !was_open && e->alloc)
		admit_alloc_slow_start(e->alloc);
}

/*
 * Takes over the endpoints of a configuration. Views and books of those that
 * stay are kept; those no longer declared are closed and forgotten once no grant
 * of theirs is out. Returns 0 or -ENOMEM.
 */
int admit_configure(struct admit *a, const struct config *c)
{
	struct admit_endpoint *old = a->endpoint;
	struct admit_endpoint *new;
	uint32_t old_n = a->n;
	struct admit_endpoint *same;
	uint32_t i;

	new = calloc(c->endpoint_n + old_n + 1, sizeof(*new));
	if (!new)
		return -ENOMEM;
	for (i = 0; i < c->endpoint_n; i++) {
		same = admit_find(a, c->endpoint[i].name);
		if (same)
			new[i] = *same;
		else
			plan_speed_init(&new[i].speed);
		take_over(&new[i], c, &c->endpoint[i]);
	}
	a->endpoint = new;
	a->n = c->endpoint_n;
	for (i = 0; i < old_n; i++) {
		if (admit_find(a, old[i].name))
			continue;
		if (!old[i].slots_used &&
		    !(old[i].alloc && old[i].alloc->grant_n)) {
			drop_book(&old[i]);
			continue;
		}
		new[a->n] = old[i];
		new[a->n++].in_service = false;
	}
	free(old);
	return 0;
}

/* Tells whether the endpoint, as far as this host knows, has room. */
bool admit_has_capacity(const struct admit_endpoint *e, uint32_t pieces)
{
	return e->in_service && !e->unavailable && e->slots_used < e->slots &&
	       e->pieces_used + pieces <= e->pieces;
}

static bool may_serve(const struct admit_endpoint *e, enum config_role role,
		      const char *serves, admit_exclude_fn excludes,
		      const void *ctx)
{
	return e->role == role && strcmp(e->serves, serves) == 0 &&
	       e->in_service && !e->unavailable && !excludes(ctx, e->name);
}

static bool is_better(const struct admit_endpoint *e,
		      const struct admit_endpoint *best)
{
	return !best || (uint64_t)e->slots_used * best->slots <
				(uint64_t)best->slots_used * e->slots;
}

/*
 * Picks the endpoint with the smallest share of its slots in use among those
 * that serve the model in the role and have room. Another failure domain is used
 * only where this host's own has none in service. Returns NULL if none has room.
 */
struct admit_endpoint *admit_pick(struct admit *a, enum config_role role,
				  const char *serves, uint32_t pieces,
				  admit_exclude_fn excludes, const void *ctx)
{
	struct admit_endpoint *near = NULL;
	struct admit_endpoint *far = NULL;
	struct admit_endpoint *e;
	bool near_serves = false;
	bool is_near;
	uint32_t i;

	for (i = 0; i < a->n; i++) {
		e = &a->endpoint[i];
		if (!may_serve(e, role, serves, excludes, ctx))
			continue;
		is_near = !a->domain[0] || strcmp(e->domain, a->domain) == 0;
		near_serves = near_serves || is_near;
		if (!admit_has_capacity(e, pieces))
			continue;
		if (is_near && is_better(e, near))
			near = e;
		if (!is_near && is_better(e, far))
			far = e;
	}
	return near_serves ? near : far;
}

/* Counts a slot and memory pieces as taken in this host's view. */
void admit_view_reserve(struct admit_endpoint *e, uint32_t pieces)
{
	e->slots_used++;
	e->pieces_used += pieces;
}

/* Counts them as free again; a view that was renewed since stays at zero. */
void admit_view_release(struct admit_endpoint *e, uint32_t pieces)
{
	if (e->slots_used)
		e->slots_used--;
	e->pieces_used -= e->pieces_used < pieces ? e->pieces_used : pieces;
}

/*
 * Takes what the admitting host said of the endpoint's room. Shut says that it
 * grants nothing for a reason other than a lack of room.
 */
void admit_view_update(struct admit_endpoint *e, uint32_t slots_free,
		       uint32_t pieces_free, uint32_t queued_tokens, bool shut,
		       int64_t now_us)
{
	if (slots_free > e->slots)
		slots_free = e->slots;
	if (pieces_free > e->pieces)
		pieces_free = e->pieces;
	e->slots_used = e->slots - slots_free;
	e->pieces_used = e->pieces - pieces_free;
	e->queued_tokens = queued_tokens;
	e->unavailable = shut;
	e->view_updated_us = now_us;
	e->view_age_start_us = now_us;
}

/*
 * Assumes a little room where nothing was heard for a while, so as to ask; what
 * this host counted as taken without ever hearing of it ages as well.
 */
static void forget_old(struct admit_endpoint *e, int64_t now_us)
{
	if (!e->slots_used && !e->unavailable && !e->view_updated_us)
		return;
	if (!e->view_age_start_us)
		e->view_age_start_us = now_us;
	if (now_us - e->view_age_start_us < HINT_OLD_US)
		return;
	e->view_age_start_us = 0;
	e->view_updated_us = 0;
	e->unavailable = false;
	e->queued_tokens = 0;
	if (e->slots_used >= e->slots)
		e->slots_used = e->slots ? e->slots - 1 : 0;
	e->pieces_used = 0;
}

/*
 * Is called well within ADMIT_PAUSE_US, and before a grant. Where it was not,
 * this host was paused: others may have taken its endpoints over, so it trusts
 * none of its books until it has heard the epoch again.
 */
void admit_detect_pause(struct admit *a, int64_t now_us)
{
	if (a->last_tick_us &&
	    now_us - a->last_tick_us > ADMIT_PAUSE_THRESHOLD_US) {
		a->paused = true;
		a->pause_detected_us = now_us;
	}
	a->last_tick_us = now_us;
}

/* Is called once an interval: forgets old hints, notices a pause. */
void admit_tick(struct admit *a, int64_t now_us)
{
	uint32_t i;

	admit_detect_pause(a, now_us);
	for (i = 0; i < a->n; i++)
		forget_old(&a->endpoint[i], now_us);
}

/*
 * Tells whether the holder of a grant, asked for at asked_us, may still give the
 * endpoint its order.
 */
bool admit_may_start(const struct admit_endpoint *e, int64_t asked_us,
		     int64_t now_us)
{
	return e->in_service && now_us - asked_us < ADMIT_START_TIMEOUT_US;
}

/* Returns the memory pieces that so many tokens need. */
uint32_t admit_tokens_to_pieces(uint32_t tokens)
{
	return (tokens + ADMIT_PIECE_TOKENS - 1) / ADMIT_PIECE_TOKENS;
}
