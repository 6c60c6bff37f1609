#include "daemon.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logline.h"

/*
 * The owner's side of admission: grants slots and memory of the endpoints that
 * this host owns, applies releases, notifies waiting hosts of free capacity,
 * and hands endpoints over when the owner changes. The allocators and the rules
 * of ownership are those of pkg/admit.
 */

#define HANDOVER_TIMEOUT_MS 500

/* A handover query to a previous owner, in flight. */
struct handover_query {
	struct daemon *daemon;
	char endpoint[CONFIG_NAME_BYTES];
	char host[MEMBER_NAME_BYTES];
};

/*
 * Fills in the outcome and the free capacity of an endpoint; the capacity stays
 * 0 if this host has no allocator for it. The name is allocated: the caller
 * frees it, through xdr_free if it is in a reply.
 */
static void fill_capacity(struct daemon *d, const char *endpoint,
			  struct fig_room *out, enum admit_outcome outcome)
{
	struct admit_endpoint *e = admit_find(&d->board.admit, endpoint);
	const struct admit_allocator *al = e ? e->alloc : NULL;

	out->endpoint = strdup(endpoint);
	out->outcome = outcome;
	if (!al)
		return;
	out->fence = al->fence;
	out->slots_free = e->in_service ? admit_alloc_slots_free(al) : 0;
	out->pieces_free = admit_alloc_pieces_free(al);
	out->queued_tokens = admit_alloc_queued_tokens(al);
}

/*
 * Returns ADMIT_FULL if this host grants at the endpoint, whether or not there
 * is free capacity now; else the reason why it does not.
 */
static enum admit_outcome get_availability(struct daemon *d,
					   const char *endpoint)
{
	struct admit *a = &d->board.admit;
	struct admit_endpoint *e = admit_find(a, endpoint);

	admit_detect_pause(a, daemon_now_us(d));
	if (!e || !e->alloc || e->alloc->state == ADMIT_INACTIVE)
		return ADMIT_NOT_OWNER;
	if (a->paused || !e->in_service || !admit_alloc_is_available(e->alloc))
		return ADMIT_UNAVAILABLE;
	return ADMIT_FULL;
}

/*
 * Grants a slot and memory if this host is the owner. With an empty run ID
 * nothing is granted, and the outcome is ADMIT_FULL if the endpoint is
 * available.
 */
enum admit_outcome owner_control_grant(struct daemon *d, const char *endpoint,
				       const struct admit_request *req)
{
	struct admit *a = &d->board.admit;
	struct admit_endpoint *e = admit_find(a, endpoint);
	enum admit_outcome o;

	if (!e)
		return ADMIT_NOT_OWNER;
	if (!req->run[0])
		return get_availability(d, endpoint);
	o = admit_grant(a, e, req, daemon_now_us(d));
	if (o == ADMIT_GRANTED)
		metrics_add(&d->board.metrics, METRIC_GRANTS, 1);
	return o;
}

/*
 * Adds a host to the waiters if the reply to it reports the endpoint as full or
 * without a free slot.
 */
static void add_waiter(struct daemon *d, const char *host,
		       const struct fig_room *r)
{
	struct admit_endpoint *e = admit_find(&d->board.admit, r->endpoint);

	if (!e || !e->alloc || r->outcome > ADMIT_FULL)
		return;
	if (r->outcome == ADMIT_FULL || !r->slots_free)
		admit_alloc_add_waiter(e->alloc, host);
}

/*
 * Notifies waiting hosts of the free capacity, as many as there are free slots.
 * The messages go over UDP and may be lost.
 */
void owner_control_notify_waiters(struct daemon *d, struct admit_endpoint *e)
{
	char host[ADMIT_WAITERS_MAX][MEMBER_NAME_BYTES];
	struct fig_call call = {.kind = FIG_ROOM};
	struct fig_room room = {.endpoint = NULL};
	const struct member_host *m;
	uint32_t n, i;

	n = admit_alloc_pop_waiters(e->alloc, host);
	if (!n)
		return;
	fill_capacity(d, e->name, &room, get_availability(d, e->name));
	call.fig_call_u.room.room.room_val = &room;
	call.fig_call_u.room.room.room_len = 1;
	for (i = 0; i < n; i++) {
		m = member_find(&d->board.epoch, host[i]);
		if (strcmp(host[i], d->settings.host) == 0)
			admit_control_on_capacity(d, &call.fig_call_u.room);
		else if (m)
			peer_send(&d->peer, m->addr, &call);
	}
	free(room.endpoint);
}

/*
 * Replies to a host's request for grants. Returns 0 or -ENOMEM; the caller
 * frees out with xdr_free.
 */
int owner_control_reply_grant(struct daemon *d, const char *host,
			      const struct fig_grant *g, struct fig_rooms *out)
{
	uint32_t n = g->need.need_len;
	const struct fig_need *need;
	struct admit_request req;
	uint32_t i;

	out->room.room_val = calloc(n + 1, sizeof(*out->room.room_val));
	if (!out->room.room_val)
		return -ENOMEM;
	for (i = 0; i < n; i++) {
		need = &g->need.need_val[i];
		req.run = g->run;
		req.serial = g->serial;
		req.pieces = need->pieces;
		req.tokens = need->tokens;
		req.queue_max_tokens = need->queue_max_tokens;
		fill_capacity(d, need->endpoint, &out->room.room_val[i],
			      owner_control_grant(d, need->endpoint, &req));
		add_waiter(d, host, &out->room.room_val[i]);
	}
	out->room.room_len = n;
	return 0;
}

/*
 * Releases a grant. The mean time between tokens of a completed run adjusts the
 * limit on slots in use. Ignored if this host has no allocator for the
 * endpoint.
 */
void owner_control_release(struct daemon *d, const struct fig_released *r)
{
	struct admit_endpoint *e = admit_find(&d->board.admit, r->endpoint);
	int64_t now_us = daemon_now_us(d);

	if (!e || !e->alloc)
		return;
	if (r->gap_us && r->end == ADMIT_END_COMPLETE)
		admit_alloc_observe_gap(e->alloc, r->gap_us, r->gap_target_us,
					now_us);
	admit_alloc_release(e->alloc, r->run, r->serial, r->end, now_us);
	owner_control_notify_waiters(d, e);
}

/*
 * Applies releases and replies with the capacity after them. Returns 0 or
 * -ENOMEM; the caller frees out with xdr_free.
 */
int owner_control_reply_release(struct daemon *d, const struct fig_release *r,
				struct fig_rooms *out)
{
	uint32_t n = r->released.released_len;
	const char *name;
	uint32_t i;

	out->room.room_val = calloc(n + 1, sizeof(*out->room.room_val));
	if (!out->room.room_val)
		return -ENOMEM;
	for (i = 0; i < n; i++)
		owner_control_release(d, &r->released.released_val[i]);
	for (i = 0; i < n; i++) {
		name = r->released.released_val[i].endpoint;
		fill_capacity(d, name, &out->room.room_val[i],
			      get_availability(d, name));
	}
	out->room.room_len = n;
	return 0;
}

static void fill_grant(struct fig_booked_grant *out,
		       const struct admit_grant *g, int64_t now_us)
{
	out->run = strdup(g->run);
	out->serial = g->serial;
	out->pieces = g->pieces;
	out->tokens = g->tokens;
	out->start_in_us = g->start_deadline_us - now_us;
	out->released = g->released_us != 0;
	out->seen = g->seen_running;
}

/*
 * Replies to the handover query of the host that an epoch made the owner of an
 * endpoint. Start deadlines go as remaining times, since clocks differ between
 * hosts. Returns 0 or -ENOMEM; the caller frees out with xdr_free.
 */
int owner_control_reply_handover(struct daemon *d, const struct fig_book *query,
				 struct fig_booked *out)
{
	int64_t now_us = daemon_now_us(d);
	struct admit_handover h;
	uint32_t i;

	admit_hand_over(&d->board.admit, query->endpoint, query->epoch, now_us,
			&h);
	out->stale = h.stale;
	out->complete = h.complete;
	out->fence = h.fence;
	out->boot = h.boot;
	out->window = h.window;
	out->grant.grant_val =
		calloc(h.grant_n + 1, sizeof(*out->grant.grant_val));
	if (!out->grant.grant_val)
		return -ENOMEM;
	for (i = 0; i < h.grant_n; i++)
		fill_grant(&out->grant.grant_val[i], &h.grant[i], now_us);
	out->grant.grant_len = h.grant_n;
	logline(LOG_NOTICE, "endpoint-handed-over",
		"endpoint=%s epoch=%llu complete=%d stale=%d grants=%u",
		query->endpoint, (unsigned long long)query->epoch, h.complete,
		h.stale, h.grant_n);
	return 0;
}

static void read_grant(struct admit_grant *g, const struct fig_booked_grant *in,
		       int64_t now_us)
{
	snprintf(g->run, sizeof(g->run), "%s", in->run);
	g->serial = in->serial;
	g->pieces = in->pieces;
	g->tokens = in->tokens;
	g->start_deadline_us = now_us + in->start_in_us;
	g->released_us = in->released ? now_us : 0;
	g->seen_running = in->seen;
}

static void apply_handover(struct daemon *d, const struct handover_query *q,
			   const struct fig_booked *in)
{
	struct admit_endpoint *e = admit_find(&d->board.admit, q->endpoint);
	struct admit_handover h = {.stale = in->stale,
				   .complete = in->complete,
				   .fence = in->fence,
				   .boot = in->boot,
				   .window = in->window};
	int64_t now_us = daemon_now_us(d);
	struct admit_grant *g;
	uint32_t i;

	g = calloc(in->grant.grant_len + 1, sizeof(*g));
	if (!e || !e->alloc || !g) {
		free(g);
		return;
	}
	for (i = 0; i < in->grant.grant_len; i++)
		read_grant(&g[i], &in->grant.grant_val[i], now_us);
	h.grant = g;
	h.grant_n = in->grant.grant_len;
	admit_apply_handover(e->alloc, q->host, &h, now_us);
	free(g);
	logline(LOG_NOTICE, "endpoint-taken-over",
		"endpoint=%s from=%s complete=%d stale=%d grants=%u", e->name,
		q->host, h.complete, h.stale, h.grant_n);
}

static void on_handover_reply(void *ctx, int error,
			      const struct fig_reply *reply)
{
	struct handover_query *q = ctx;

	if (!error)
		apply_handover(q->daemon, q, &reply->fig_reply_u.booked);
	free(q);
}

static void query_prev_owner(struct daemon *d, const struct admit_endpoint *e,
			     const struct admit_prev_owner *p)
{
	struct fig_call call = {.kind = FIG_BOOK};
	struct handover_query *q = calloc(1, sizeof(*q));

	if (!q)
		return;
	q->daemon = d;
	snprintf(q->endpoint, sizeof(q->endpoint), "%s", e->name);
	snprintf(q->host, sizeof(q->host), "%s", p->name);
	call.fig_call_u.book.endpoint = q->endpoint;
	call.fig_call_u.book.epoch = d->board.admit.epoch;
	if (peer_call(&d->peer, p->addr, &call, HANDOVER_TIMEOUT_MS,
		      on_handover_reply, q) < 0)
		free(q);
}

/* Queries the previous owners that are due for a handover query. */
void owner_control_tick(struct daemon *d)
{
	struct admit *a = &d->board.admit;
	int64_t now_us = daemon_now_us(d);
	struct admit_prev_owner *p;
	uint32_t i;

	for (i = 0; i < a->n; i++) {
		if (!a->endpoint[i].alloc)
			continue;
		while ((p = admit_next_prev_owner(a->endpoint[i].alloc,
						  now_us)))
			query_prev_owner(d, &a->endpoint[i], p);
	}
}
