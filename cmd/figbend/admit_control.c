#include "serving.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logline.h"

#define TICK_S 0.1
#define WAIT_S 0.02
#define ASK_TIMEOUT_MS 500
#define ENQUIRE_US (300LL * 1000)
#define RETRY_WAIT_US (2LL * 1000000) /* of a later attempt for a slot */

/* An ask for slots that is under way, of one attempt of a request. */
struct admit_call {
	struct daemon *daemon;
	struct serving *serving; /* held; NULL: an enquiry, or given up */
	uint32_t attempt;
	char run[ENGINE_RUN_BYTES];
	uint32_t serial;
	char endpoint[SERVING_GRANTS][CONFIG_NAME_BYTES]; /* "": not asked */
	uint32_t tokens;				  /* prefill work */
	uint32_t queue_max_tokens;
	int64_t asked_us;
	TAILQ_ENTRY(admit_call) entry;
};

/* A request that waits for a slot to become free; it is held. */
struct admit_wait {
	struct serving *serving;
	uint32_t attempt;
	TAILQ_ENTRY(admit_wait) entry;
};

static void try_reserve(struct serving *s);
static bool takes_work(const struct daemon *d, enum config_role role,
		       bool heard);

static bool is_reserving(const struct serving *s, uint32_t attempt)
{
	return s->request.state == REQUEST_RESERVING &&
	       s->request.attempt == attempt;
}

static enum admit_end end_of(const struct serving_grant *h)
{
	if (!h->started)
		return ADMIT_END_UNUSED;
	if (h->failed)
		return ADMIT_END_FAILED;
	return h->canceled ? ADMIT_END_UNKNOWN : ADMIT_END_COMPLETE;
}

static uint32_t mean_gap_us(const struct request *r)
{
	if (r->sent_tokens < 2)
		return 0;
	return (uint32_t)((r->last_token_us - r->first_token_us) /
			  (r->sent_tokens - 1));
}

static void end_hold(struct serving *s, uint32_t which)
{
	struct serving_grant *h = &s->grant[which];
	char run[ENGINE_RUN_BYTES];

	if (!h->endpoint[0])
		return;
	if (which == SERVING_PREFILL && h->prefilled_us && h->canceled)
		metrics_add(&s->daemon->board.metrics, METRIC_prefills_wasted,
			    1);
	serving_run_id(s, s->request.attempt, run);
	release_control_add(s->daemon, h->endpoint, run, h->serial, end_of(h),
			    which == SERVING_DECODE ? mean_gap_us(&s->request)
						    : 0);
	memset(h, 0, sizeof(*h));
}

static void end_holds(struct serving *s)
{
	end_hold(s, SERVING_PREFILL);
	end_hold(s, SERVING_DECODE);
}

/* Goes on to the prefill once both slots are had. */
static void reserved(struct serving *s)
{
	struct request_event ev = {.kind = REQUEST_EV_RESERVED,
				   .attempt = s->request.attempt};
	struct serving_grant *h = s->grant;
	struct admit *a = &s->daemon->board.admit;
	const struct admit_endpoint *p, *d;

	p = admit_find(a, h[SERVING_PREFILL].endpoint);
	d = admit_find(a, h[SERVING_DECODE].endpoint);
	if (!p || !d) {
		end_holds(s);
		serving_refuse(s, REQUEST_ERR_UNAVAILABLE);
		return;
	}
	snprintf(s->prefill_addr, sizeof(s->prefill_addr), "%s", p->addr);
	snprintf(s->decode_addr, sizeof(s->decode_addr), "%s", d->addr);
	ev.reserved.prefill_endpoint = p->name;
	ev.reserved.decode_endpoint = d->name;
	h[SERVING_PREFILL].started = true;
	h[SERVING_PREFILL].started_us = daemon_now_us(s->daemon);
	serving_event(s, &ev);
}

static void refuse(struct serving *s)
{
	bool full = takes_work(s->daemon, CONFIG_ROLE_PREFILL, false) &&
		    takes_work(s->daemon, CONFIG_ROLE_DECODE, false);

	serving_refuse(s,
		       full ? REQUEST_ERR_OVERLOADED : REQUEST_ERR_UNAVAILABLE);
}

/* Waits for room, as long as the request's target can still be met. */
static void wait_for_room(struct serving *s)
{
	struct daemon *d = s->daemon;
	struct admit_wait *w = NULL;

	if (daemon_now_us(d) < s->reserve_deadline_us)
		w = calloc(1, sizeof(*w));
	if (!w) {
		refuse(s);
		return;
	}
	observe_control_admission(s, "waits", "any", "no endpoint has room");
	serving_get(s);
	w->serving = s;
	w->attempt = s->request.attempt;
	TAILQ_INSERT_TAIL(&d->admit_control.waiting, w, entry);
}

/* Takes one outcome for a request; gives a slot back that it can't use. */
static void take_outcome(struct admit_call *c, uint32_t which,
			 const struct fig_room *r)
{
	struct serving *s = c->serving;
	struct serving_grant *h;

	if (s)
		observe_control_admission(s, "offered", c->endpoint[which],
					  r->outcome == ADMIT_GRANTED
						  ? "granted"
					  : r->outcome == ADMIT_FULL ? "full"
								     : "shut");
	if (r->outcome != ADMIT_GRANTED) {
		metrics_add(&c->daemon->board.metrics, METRIC_grants_full, 1);
		return;
	}
	if (!s || !is_reserving(s, c->attempt) || s->grant[which].endpoint[0]) {
		release_control_add(c->daemon, c->endpoint[which], c->run,
				    c->serial, ADMIT_END_UNUSED, 0);
		return;
	}
	h = &s->grant[which];
	memset(h, 0, sizeof(*h));
	memcpy(h->endpoint, c->endpoint[which], sizeof(h->endpoint));
	h->fence = r->fence;
	h->queued_tokens = r->queued_tokens;
	h->serial = c->serial;
	h->requested_us = c->asked_us;
}

/* An ask is over: goes on with what was granted, or tries again later. */
static void asked(struct admit_call *c)
{
	struct serving *s = c->serving;

	if (s && is_reserving(s, c->attempt)) {
		if (s->grant[SERVING_PREFILL].endpoint[0] &&
		    s->grant[SERVING_DECODE].endpoint[0]) {
			reserved(s);
		} else if (c->endpoint[SERVING_DECODE][0] &&
			   s->grant[SERVING_DECODE].endpoint[0] &&
			   !c->endpoint[SERVING_PREFILL][0]) {
			try_reserve(s);
		} else {
			end_holds(s);
			wait_for_room(s);
		}
	}
	if (s)
		serving_put(s);
	TAILQ_REMOVE(&c->daemon->admit_control.calls, c, entry);
	free(c);
}

static void take_room(struct admit_call *c, const struct fig_room *r)
{
	bool shut = r->outcome == ADMIT_UNAVAILABLE ||
		    r->outcome == ADMIT_NOT_OWNER;
	uint32_t i;

	release_control_update_view(c->daemon, r, shut);
	for (i = 0; i < SERVING_GRANTS; i++)
		if (c->endpoint[i][0] &&
		    strcmp(r->endpoint, c->endpoint[i]) == 0)
			take_outcome(c, i, r);
}

/* The admitting host is silent: other endpoints are used for a while. */
static void no_answer(struct admit_call *c)
{
	struct daemon *d = c->daemon;
	struct admit_endpoint *e;
	uint32_t i;

	metrics_add(&d->board.metrics, METRIC_admit_silent, 1);
	for (i = 0; i < SERVING_GRANTS; i++) {
		e = admit_find(&d->board.admit, c->endpoint[i]);
		if (!e)
			continue;
		admit_view_update(e, 0, 0, 0, true, daemon_now_us(d));
		if (c->serving)
			observe_control_admission(c->serving, "silent", e->name,
						  e->owner);
		release_control_add(d, c->endpoint[i], c->run, c->serial,
				    ADMIT_END_UNUSED, 0);
	}
}

static void on_granted(void *ctx, int error, const struct fig_reply *reply)
{
	struct admit_call *c = ctx;
	const struct fig_rooms *rooms;
	uint32_t i;

	if (error) {
		no_answer(c);
	} else {
		rooms = &reply->fig_reply_u.granted;
		for (i = 0; i < rooms->room.room_len; i++)
			take_room(c, &rooms->room.room_val[i]);
	}
	asked(c);
}

static void fill_work(struct fig_need *need, const struct admit_call *c)
{
	need->tokens = c->tokens;
	need->queue_max_tokens = c->queue_max_tokens;
}

static uint32_t fill_needs(const struct admit_call *c, struct fig_need *need)
{
	const struct serving *s = c->serving;
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < SERVING_GRANTS; i++) {
		if (!c->endpoint[i][0])
			continue;
		memset(&need[n], 0, sizeof(need[n]));
		need[n].endpoint = (char *)c->endpoint[i];
		need[n].pieces = s->pieces;
		if (i == SERVING_PREFILL)
			fill_work(&need[n], c);
		n++;
	}
	return n;
}

/* Asks ourselves. */
static void ask_here(struct admit_call *c, const struct fig_grant *g)
{
	struct fig_rooms rooms = {.room.room_len = 0};
	uint32_t i;

	if (owner_control_reply_grant(c->daemon, c->daemon->settings.host, g,
				      &rooms) < 0) {
		asked(c);
		return;
	}
	for (i = 0; i < rooms.room.room_len; i++)
		take_room(c, &rooms.room.room_val[i]);
	xdr_free((xdrproc_t)xdr_fig_rooms, &rooms);
	asked(c);
}

/*
 * Asks the admitting host of the endpoints named in the call, which is freed. No
 * owner is as good as one that is silent.
 */
static void ask_owner(struct admit_call *c, const char *owner, const char *addr)
{
	struct fig_call call = {.kind = FIG_GRANT};
	struct fig_grant *g = &call.fig_call_u.grant;
	struct fig_need need[SERVING_GRANTS];

	g->run = c->run;
	g->serial = c->serial;
	g->need.need_val = need;
	g->need.need_len = fill_needs(c, need);
	if (strcmp(owner, c->daemon->settings.host) == 0) {
		ask_here(c, g);
		return;
	}
	if (owner[0] && peer_call(&c->daemon->peer, addr, &call, ASK_TIMEOUT_MS,
				  on_granted, c) == 0)
		return;
	no_answer(c);
	asked(c);
}

static struct admit_call *new_call(struct serving *s)
{
	struct admit_call *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->daemon = s->daemon;
	c->serving = s;
	c->attempt = s->request.attempt;
	c->asked_us = daemon_now_us(s->daemon);
	c->serial = ++s->grant_serial;
	serving_run_id(s, c->attempt, c->run);
	serving_get(s);
	TAILQ_INSERT_TAIL(&s->daemon->admit_control.calls, c, entry);
	return c;
}

static void name_endpoint(struct admit_call *c, uint32_t which,
			  struct admit_endpoint *e)
{
	snprintf(c->endpoint[which], sizeof(c->endpoint[which]), "%s", e->name);
	admit_view_reserve(e, c->serving->pieces);
}

/* Asks for the slots of a pair: prefill in the same call where it can be. */
static void ask_pair(struct serving *s, const struct plan_pair *pair)
{
	struct admit *a = &s->daemon->board.admit;
	bool has_decode = s->grant[SERVING_DECODE].endpoint[0] != '\0';
	struct admit_endpoint *prefill = &a->endpoint[pair->prefill_index];
	struct admit_endpoint *decode = &a->endpoint[pair->decode_index];
	struct admit_endpoint *to = has_decode ? prefill : decode;
	struct admit_call *c = new_call(s);

	if (!c) {
		end_holds(s);
		serving_refuse(s, REQUEST_ERR_UNAVAILABLE);
		return;
	}
	c->tokens = pair->prefill_tokens;
	c->queue_max_tokens = pair->queue_max_tokens;
	if (!has_decode)
		name_endpoint(c, SERVING_DECODE, decode);
	if (strcmp(prefill->owner, to->owner) == 0)
		name_endpoint(c, SERVING_PREFILL, prefill);
	ask_owner(c, to->owner, to->owner_addr);
}

/*
 * Asks for the slots that the attempt lacks, waits for room, or refuses what can
 * not be in time.
 */
static void try_reserve(struct serving *s)
{
	struct plan_pair pair = {.prefill_index = 0, .decode_index = 0};

	switch (plan_control_choose(s, &pair)) {
	case PLAN_CHOSEN:
		ask_pair(s, &pair);
		break;
	case PLAN_WAIT:
		end_holds(s);
		wait_for_room(s);
		break;
	case PLAN_REJECT:
		end_holds(s);
		serving_refuse(s, REQUEST_ERR_OVERLOADED);
		break;
	}
}

/*
 * Reserves a decode slot, then a prefill slot, for the attempt under way. The
 * answer comes at once or later.
 */
void admit_control_reserve(struct serving *s)
{
	memset(s->grant, 0, sizeof(s->grant));
	s->reserve_deadline_us = s->request.first_token_deadline_us;
	if (s->request.attempt > 1)
		s->reserve_deadline_us =
			daemon_now_us(s->daemon) + RETRY_WAIT_US;
	try_reserve(s);
}

/* Ends the holds of the attempt. */
void admit_control_release(struct serving *s)
{
	end_holds(s);
}

/*
 * Tells whether the transfer of the attempt may be ordered now. A slot that was
 * granted too long ago, or of an endpoint that was closed since, may not be
 * used: then the attempt has failed, and the request may be gone on return.
 */
bool admit_control_start_decode(struct serving *s)
{
	struct serving_grant *h = &s->grant[SERVING_DECODE];
	struct daemon *d = s->daemon;
	const struct admit_endpoint *e =
		admit_find(&d->board.admit, h->endpoint);
	struct request_event ev = {.kind = REQUEST_EV_FAILED,
				   .attempt = s->request.attempt};

	if (e && admit_may_start(e, h->requested_us, daemon_now_us(d))) {
		h->started = true;
		return true;
	}
	metrics_add(&d->board.metrics, METRIC_grants_lapsed, 1);
	logline(LOG_NOTICE, "grant-lapsed", "request=%s attempt=%u decode=%s",
		s->request.id, s->request.attempt, s->request.decode_endpoint);
	ev.failed.fault = REQUEST_FAULT_REFUSED;
	ev.failed.retry_allowed = true;
	serving_event(s, &ev);
	return false;
}

/* The KV result left the prefill endpoint, which holds the run no more. */
void admit_control_release_prefill(struct serving *s)
{
	end_hold(s, SERVING_PREFILL);
}

/* Cancels were ordered: the endpoints may hold the run for a while. */
void admit_control_mark_canceled(struct serving *s, bool prefill, bool decode)
{
	s->grant[SERVING_PREFILL].canceled |= prefill;
	s->grant[SERVING_DECODE].canceled |= decode;
}

/* The connection to an endpoint broke under the run. */
void admit_control_mark_failed(struct serving *s, bool prefill)
{
	s->grant[prefill ? SERVING_PREFILL : SERVING_DECODE].failed = true;
}

/* Tries those that wait for room once more, in the order in which they came. */
static void try_waits(struct daemon *d)
{
	struct admit_control *k = &d->admit_control;
	struct admit_waits waits;
	struct admit_wait *w;

	TAILQ_INIT(&waits);
	TAILQ_CONCAT(&waits, &k->waiting, entry);
	while ((w = TAILQ_FIRST(&waits))) {
		TAILQ_REMOVE(&waits, w, entry);
		if (is_reserving(w->serving, w->attempt))
			try_reserve(w->serving);
		serving_put(w->serving);
		free(w);
	}
}

/* Lets those that wait try again on the next turn of the loop. */
void admit_control_schedule(struct daemon *d)
{
	struct admit_control *k = &d->admit_control;

	ev_timer_stop(d->loop, &k->wait_timer);
	ev_timer_set(&k->wait_timer, 0., 0.);
	ev_timer_start(d->loop, &k->wait_timer);
	queue_control_schedule(d);
}

/* An admitting host that had none has room again. */
void admit_control_on_capacity(struct daemon *d, const struct fig_rooms *r)
{
	release_control_update_views(d, r);
	admit_control_schedule(d);
}

static void on_enquired(void *ctx, int error, const struct fig_reply *reply)
{
	if (error == 0)
		release_control_update_views(ctx, &reply->fig_reply_u.granted);
}

/* Asks the admitting host of an endpoint whether it takes work. */
static void enquire(struct daemon *d, struct admit_endpoint *e)
{
	struct fig_call call = {.kind = FIG_GRANT};
	struct fig_grant *g = &call.fig_call_u.grant;
	struct fig_need need = {.endpoint = e->name};
	struct fig_rooms rooms = {.room.room_len = 0};
	const struct fig_room *r;

	g->run = (char *)"";
	g->need.need_val = &need;
	g->need.need_len = 1;
	if (strcmp(e->owner, d->settings.host)) {
		peer_call(&d->peer, e->owner_addr, &call, ASK_TIMEOUT_MS,
			  on_enquired, d);
		return;
	}
	if (owner_control_reply_grant(d, d->settings.host, g, &rooms) < 0)
		return;
	r = &rooms.room.room_val[0];
	release_control_update_view(d, r, r->outcome != ADMIT_FULL);
	xdr_free((xdrproc_t)xdr_fig_rooms, &rooms);
}

/*
 * Tells whether an endpoint takes work in the role, as far as is known; heard
 * asks for one whose admitting host said so lately.
 */
static bool takes_work(const struct daemon *d, enum config_role role,
		       bool heard)
{
	const struct admit *a = &d->board.admit;
	const struct admit_endpoint *e;
	uint32_t i;

	for (i = 0; i < a->n; i++) {
		e = &a->endpoint[i];
		if (e->role == role && e->in_service && !e->unavailable &&
		    (e->view_updated_us || !heard))
			return true;
	}
	return false;
}

/* Until this host is ready: enquires of the endpoints of its own domain. */
static void get_ready(struct daemon *d)
{
	struct admit_control *k = &d->admit_control;
	struct admit *a = &d->board.admit;
	int64_t now_us = daemon_now_us(d);
	struct admit_endpoint *e;
	uint32_t i;

	k->ready = takes_work(d, CONFIG_ROLE_PREFILL, true) &&
		   takes_work(d, CONFIG_ROLE_DECODE, true);
	if (k->ready || now_us - k->queried_us < ENQUIRE_US)
		return;
	k->queried_us = now_us;
	for (i = 0; i < a->n; i++) {
		e = &a->endpoint[i];
		if (e->owner[0] && e->in_service &&
		    strcmp(e->domain, a->domain) == 0)
			enquire(d, e);
	}
}

bool admit_control_is_ready(const struct daemon *d)
{
	return d->admit_control.ready;
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct daemon *d = w->data;

	admit_tick(&d->board.admit, daemon_now_us(d));
	if (d->board.admit.paused && host_control_is_current(d))
		admit_control_apply_epoch(d);
	owner_control_tick(d);
	load_control_tick(d);
	if (!d->admit_control.ready)
		get_ready(d);
}

static void on_wait(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct daemon *d = w->data;

	ev_timer_stop(loop, w);
	ev_timer_set(w, WAIT_S, 0.);
	ev_timer_start(loop, w);
	try_waits(d);
}

/* Takes over the endpoints of the configuration in force. */
void admit_control_configure(struct daemon *d)
{
	struct admit *a = &d->board.admit;

	if (admit_configure(a, d->board.config.current) < 0) {
		logline(LOG_ERR, "out-of-memory", "in=endpoints");
		return;
	}
	if (d->board.epoch.n)
		admit_assign_owners(a, &d->board.epoch, daemon_now_us(d));
}

/* The membership epoch was heard, new or again. */
void admit_control_apply_epoch(struct daemon *d)
{
	admit_apply_epoch(&d->board.admit, &d->board.epoch, daemon_now_us(d));
	owner_control_tick(d);
}

void admit_control_start(struct daemon *d)
{
	struct admit_control *k = &d->admit_control;
	struct admit *a = &d->board.admit;

	snprintf(a->host, sizeof(a->host), "%s", d->settings.host);
	snprintf(a->domain, sizeof(a->domain), "%s", d->settings.domain);
	TAILQ_INIT(&k->calls);
	TAILQ_INIT(&k->waiting);
	release_control_start(d);
	ev_timer_init(&k->tick_timer, on_tick, TICK_S, TICK_S);
	k->tick_timer.data = d;
	ev_timer_start(d->loop, &k->tick_timer);
	ev_timer_init(&k->wait_timer, on_wait, WAIT_S, 0.);
	k->wait_timer.data = d;
	ev_timer_start(d->loop, &k->wait_timer);
}

/* Lets go of all requests, which end after this. */
void admit_control_stop(struct daemon *d)
{
	struct admit_control *k = &d->admit_control;
	struct admit_call *c;
	struct admit_wait *w;

	ev_timer_stop(d->loop, &k->tick_timer);
	ev_timer_stop(d->loop, &k->wait_timer);
	release_control_stop(d);
	while ((w = TAILQ_FIRST(&k->waiting))) {
		TAILQ_REMOVE(&k->waiting, w, entry);
		serving_put(w->serving);
		free(w);
	}
	TAILQ_FOREACH(c, &k->calls, entry)
	{
		if (c->serving)
			serving_put(c->serving);
		c->serving = NULL;
	}
}
