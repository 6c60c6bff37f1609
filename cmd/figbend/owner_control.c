#include "daemon.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logline.h"

#define BOOK_TIMEOUT_MS 500

/* A question to the owner before, under way. */
struct book_ask {
	struct daemon *daemon;
	char endpoint[CONFIG_NAME_BYTES];
	char host[MEMBER_NAME_BYTES];
};

/* Names the room of an endpoint that we admit to. The strings are the reply's. */
static void set_room(struct daemon *d, const char *endpoint,
		     struct fig_room *out, enum admit_outcome outcome)
{
	struct admit_endpoint *e = admit_find(&d->board.admit, endpoint);
	const struct admit_allocator *b = e ? e->alloc : NULL;

	out->endpoint = strdup(endpoint);
	out->outcome = outcome;
	if (!b)
		return;
	out->fence = b->fence;
	out->slots_free = e->in_service ? admit_alloc_slots_free(b) : 0;
	out->pieces_free = admit_alloc_pieces_free(b);
	out->queued_tokens = admit_alloc_queued_tokens(b);
}

/* Tells whether an endpoint that we may admit to takes work at all. */
static enum admit_outcome state_of(struct daemon *d, const char *endpoint)
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
 * Grants as the admitting host. Without a run nothing is granted, and the
 * outcome tells whether the endpoint takes work at all.
 */
enum admit_outcome owner_control_grant(struct daemon *d, const char *endpoint,
				       const struct admit_request *ask)
{
	struct admit *a = &d->board.admit;
	struct admit_endpoint *e = admit_find(a, endpoint);
	enum admit_outcome o;

	if (!e)
		return ADMIT_NOT_OWNER;
	if (!ask->run[0])
		return state_of(d, endpoint);
	o = admit_grant(a, e, ask, daemon_now_us(d));
	if (o == ADMIT_GRANTED)
		metrics_add(&d->board.metrics, METRIC_grants, 1);
	return o;
}

/* Notes that a host heard of no room, so as to tell it when there is some. */
static void remember_full(struct daemon *d, const char *host,
			  const struct fig_room *r)
{
	struct admit_endpoint *e = admit_find(&d->board.admit, r->endpoint);

	if (!e || !e->alloc || r->outcome > ADMIT_FULL)
		return;
	if (r->outcome == ADMIT_FULL || !r->slots_free)
		admit_alloc_add_waiter(e->alloc, host);
}

/* Tells hosts that were told that there is no room of what has become free. */
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
	set_room(d, e->name, &room, state_of(d, e->name));
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

/* Answers an entry host that asks for slots of endpoints that we admit to. */
int owner_control_reply_grant(struct daemon *d, const char *host,
			      const struct fig_grant *g, struct fig_rooms *out)
{
	uint32_t n = g->need.need_len;
	const struct fig_need *need;
	struct admit_request ask;
	uint32_t i;

	out->room.room_val = calloc(n + 1, sizeof(*out->room.room_val));
	if (!out->room.room_val)
		return -ENOMEM;
	for (i = 0; i < n; i++) {
		need = &g->need.need_val[i];
		ask.run = g->run;
		ask.serial = g->serial;
		ask.pieces = need->pieces;
		ask.tokens = need->tokens;
		ask.queue_max_tokens = need->queue_max_tokens;
		set_room(d, need->endpoint, &out->room.room_val[i],
			 owner_control_grant(d, need->endpoint, &ask));
		remember_full(d, host, &out->room.room_val[i]);
	}
	out->room.room_len = n;
	return 0;
}

/* Ends a grant of an endpoint that we admit to, and learns from how it went. */
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
		set_room(d, name, &out->room.room_val[i], state_of(d, name));
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

/* Hands an endpoint over to the host that an epoch made its owner. */
int owner_control_reply_handover(struct daemon *d, const struct fig_book *ask,
				 struct fig_booked *out)
{
	int64_t now_us = daemon_now_us(d);
	struct admit_handover h;
	uint32_t i;

	admit_hand_over(&d->board.admit, ask->endpoint, ask->epoch, now_us, &h);
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
		ask->endpoint, (unsigned long long)ask->epoch, h.complete,
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

static void take_booked(struct daemon *d, const struct book_ask *ask,
			const struct fig_booked *in)
{
	struct admit_endpoint *e = admit_find(&d->board.admit, ask->endpoint);
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
	admit_apply_handover(e->alloc, ask->host, &h, now_us);
	free(g);
	logline(LOG_NOTICE, "endpoint-taken-over",
		"endpoint=%s from=%s complete=%d stale=%d grants=%u", e->name,
		ask->host, h.complete, h.stale, h.grant_n);
}

static void on_booked(void *ctx, int error, const struct fig_reply *reply)
{
	struct book_ask *ask = ctx;

	if (!error)
		take_booked(ask->daemon, ask, &reply->fig_reply_u.booked);
	free(ask);
}

static void ask_prior(struct daemon *d, const struct admit_endpoint *e,
		      const struct admit_prev_owner *p)
{
	struct fig_call call = {.kind = FIG_BOOK};
	struct book_ask *ask = calloc(1, sizeof(*ask));

	if (!ask)
		return;
	ask->daemon = d;
	snprintf(ask->endpoint, sizeof(ask->endpoint), "%s", e->name);
	snprintf(ask->host, sizeof(ask->host), "%s", p->name);
	call.fig_call_u.book.endpoint = ask->endpoint;
	call.fig_call_u.book.epoch = d->board.admit.epoch;
	if (peer_call(&d->peer, p->addr, &call, BOOK_TIMEOUT_MS, on_booked,
		      ask) < 0)
		free(ask);
}

/* Asks the owners before for what they have out, as long as there are any. */
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
			ask_prior(d, &a->endpoint[i], p);
	}
}
