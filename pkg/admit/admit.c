#include "admit.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Lifetime of a view, after which this host asks the owner again. */
#define VIEW_TTL_US (300LL * 1000)

void admit_init(struct admit *a)
{
	memset(a, 0, sizeof(*a));
}

static void free_allocator(struct admit_endpoint *e)
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
		free_allocator(&a->endpoint[i]);
	free(a->endpoint);
	memset(a, 0, sizeof(*a));
}

struct admit_endpoint *admit_find(struct admit *a, const char *name)
{
	uint32_t i;

	for (i = 0; i < a->n; i++)
		if (strcmp(a->endpoint[i].name, name) == 0)
			return &a->endpoint[i];
	return NULL;
}

static void apply_declaration(struct admit_endpoint *e, const struct config *c,
			      const struct config_endpoint *from)
{
	const struct config_domain *d = config_find_domain(c, from->domain);
	bool was_in_service = e->in_service;

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
	if (e->in_service && !was_in_service && e->alloc)
		admit_alloc_slow_start(e->alloc);
}

/* Returns true if an endpoint that is not declared any more is still in use. */
static bool is_in_use(const struct admit_endpoint *e)
{
	const struct admit_allocator *al = e->alloc;

	return e->slots_used ||
	       (al && al->state != ADMIT_INACTIVE && al->grant_n);
}

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
			plan_estimator_init(&new[i].estimator);
		apply_declaration(&new[i], c, &c->endpoint[i]);
	}
	a->endpoint = new;
	a->n = c->endpoint_n;
	for (i = 0; i < old_n; i++) {
		if (admit_find(a, old[i].name))
			continue;
		if (!is_in_use(&old[i])) {
			free_allocator(&old[i]);
			continue;
		}
		new[a->n] = old[i];
		new[a->n++].in_service = false;
	}
	free(old);
	return 0;
}

bool admit_has_capacity(const struct admit_endpoint *e, uint32_t pieces)
{
	return e->in_service && !e->unavailable && e->slots_used < e->slots &&
	       e->pieces_used + pieces <= e->pieces;
}

static bool is_eligible(const struct admit_endpoint *e, enum config_role role,
			const char *serves, admit_exclude_fn excluded,
			const void *ctx)
{
	return e->role == role && strcmp(e->serves, serves) == 0 &&
	       e->in_service && !e->unavailable && !excluded(ctx, e->name);
}

static bool is_less_loaded(const struct admit_endpoint *e,
			   const struct admit_endpoint *best)
{
	return !best || (uint64_t)e->slots_used * best->slots <
				(uint64_t)best->slots_used * e->slots;
}

struct admit_endpoint *admit_pick(struct admit *a, enum config_role role,
				  const char *serves, uint32_t pieces,
				  admit_exclude_fn excluded, const void *ctx)
{
	struct admit_endpoint *local = NULL;
	struct admit_endpoint *remote = NULL;
	struct admit_endpoint *e;
	bool has_local = false;
	bool is_local;
	uint32_t i;

	for (i = 0; i < a->n; i++) {
		e = &a->endpoint[i];
		if (!is_eligible(e, role, serves, excluded, ctx))
			continue;
		is_local = !a->domain[0] || strcmp(e->domain, a->domain) == 0;
		has_local = has_local || is_local;
		if (!admit_has_capacity(e, pieces))
			continue;
		if (is_local && is_less_loaded(e, local))
			local = e;
		if (!is_local && is_less_loaded(e, remote))
			remote = e;
	}
	return has_local ? local : remote;
}

void admit_view_reserve(struct admit_endpoint *e, uint32_t pieces)
{
	e->slots_used++;
	e->pieces_used += pieces;
}

void admit_view_release(struct admit_endpoint *e, uint32_t pieces)
{
	if (e->slots_used)
		e->slots_used--;
	e->pieces_used -= e->pieces_used < pieces ? e->pieces_used : pieces;
}

void admit_view_update(struct admit_endpoint *e, uint32_t slots_free,
		       uint32_t pieces_free, uint32_t queued_tokens,
		       bool unavailable, int64_t now_us)
{
	if (slots_free > e->slots)
		slots_free = e->slots;
	if (pieces_free > e->pieces)
		pieces_free = e->pieces;
	e->slots_used = e->slots - slots_free;
	e->pieces_used = e->pieces - pieces_free;
	e->queued_tokens = queued_tokens;
	e->unavailable = unavailable;
	e->view_updated_us = now_us;
	e->view_age_start_us = now_us;
}

/*
 * Expires a view that was not updated for VIEW_TTL_US, and reservations that
 * the owner never confirmed. An expired view shows at least one free slot, so
 * that this host sends the owner a request and learns its free capacity. It
 * sends none for an endpoint that is out of service: its view is empty then.
 */
static void expire_view(struct admit_endpoint *e, int64_t now_us)
{
	if (!e->slots_used && !e->unavailable && !e->view_updated_us)
		return;
	if (!e->view_age_start_us)
		e->view_age_start_us = now_us;
	if (now_us - e->view_age_start_us < VIEW_TTL_US)
		return;
	e->view_age_start_us = 0;
	e->view_updated_us = 0;
	e->unavailable = false;
	e->queued_tokens = 0;
	if (!e->in_service)
		e->slots_used = 0;
	else if (e->slots_used >= e->slots)
		e->slots_used = e->slots ? e->slots - 1 : 0;
	e->pieces_used = 0;
}

void admit_detect_pause(struct admit *a, int64_t now_us)
{
	if (a->last_tick_us &&
	    now_us - a->last_tick_us > ADMIT_PAUSE_THRESHOLD_US) {
		a->paused = true;
		a->pause_detected_us = now_us;
	}
	a->last_tick_us = now_us;
}

void admit_tick(struct admit *a, int64_t now_us)
{
	uint32_t i;

	admit_detect_pause(a, now_us);
	for (i = 0; i < a->n; i++)
		expire_view(&a->endpoint[i], now_us);
}

bool admit_may_start(const struct admit_endpoint *e, int64_t requested_us,
		     int64_t now_us)
{
	return e->in_service && now_us - requested_us < ADMIT_START_TIMEOUT_US;
}

uint32_t admit_tokens_to_pieces(uint32_t tokens)
{
	return (tokens + ADMIT_PIECE_TOKENS - 1) / ADMIT_PIECE_TOKENS;
}
