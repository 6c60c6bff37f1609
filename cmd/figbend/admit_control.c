#include "serving.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logline.h"

/*
 * The requesting side of admission: obtains a grant at a decode endpoint and
 * one at a prefill endpoint for each attempt of a request, and releases them.
 *
 * Endpoints are chosen from this host's view, which may be out of date; only
 * the owner grants. The decode grant is requested first, together with the
 * prefill grant if both endpoints have the same owner. If either is denied,
 * both are released and the request waits. It tries again when an owner reports
 * capacity and every WAIT_INTERVAL_S, until reserve_deadline_us.
 *
 * An owner may have granted although its reply was lost, so the grants of a
 * failed call are released as unused. The serial, which grows with each call of
 * a request, distinguishes that release from one of a later grant.
 */

#define TICK_INTERVAL_S 0.1
#define WAIT_INTERVAL_S 0.02 /* between the tries of waiting requests */
#define CALL_TIMEOUT_MS 500
#define QUERY_INTERVAL_US (300LL * 1000) /* until this host is ready */
/* Longest wait for capacity of a second or later attempt. */
#define RETRY_WAIT_MAX_US (2LL * 1000000)

/* A call to an owner for the grants of one attempt, in flight. */
struct admit_call {
	struct daemon *daemon;
	struct serving *serving; /* a reference; NULL after a stop */
	uint32_t attempt;
	char run[ENGINE_RUN_BYTES];
	uint32_t serial;
	/* "" if no grant is requested there by this call */
	char endpoint[SERVING_GRANTS][CONFIG_NAME_BYTES];
	uint32_t prefill_tokens;   /* of the prompt that are not cached */
	uint32_t queue_max_tokens; /* see struct admit_request */
	int64_t requested_us;
	TAILQ_ENTRY(admit_call) entry;
};

/* An attempt that waits for capacity. */
struct admit_wait {
	struct serving *serving; /* a reference */
	uint32_t attempt;
	TAILQ_ENTRY(admit_wait) entry;
};

static void try_reserve(struct serving *s);
static bool is_role_available(const struct daemon *d, enum config_role role,
			      bool reported);

static bool is_reserving(const struct serving *s, uint32_t attempt)
{
	return s->request.state == REQUEST_RESERVING &&
	       s->request.attempt == attempt;
}

static enum admit_end grant_end(const struct serving_grant *g)
{
	if (!g->started)
		return ADMIT_END_UNUSED;
	if (g->failed)
		return ADMIT_END_FAILED;
	return g->canceled ? ADMIT_END_UNKNOWN : ADMIT_END_COMPLETE;
}

static uint32_t mean_gap_us(const struct request *r)
{
	if (r->sent_tokens < 2)
		return 0;
	return (uint32_t)((r->last_token_us - r->first_token_us) /
			  (r->sent_tokens - 1));
}

static void release_grant(struct serving *s, uint32_t which)
{
	struct serving_grant *g = &s->grant[which];
	char run[ENGINE_RUN_BYTES];

	if (!g->endpoint[0])
		return;
	if (which == SERVING_PREFILL && g->prefilled_us && g->canceled)
		metrics_add(&s->daemon->board.metrics, METRIC_PREFILLS_WASTED,
			    1);
	serving_run_id(s, s->request.attempt, run);
	release_control_add(
		s->daemon, g->endpoint, run, g->serial, grant_end(g),
		which == SERVING_DECODE ? mean_gap_us(&s->request) : 0);
	memset(g, 0, sizeof(*g));
}

static void release_grants(struct serving *s)
{
	release_grant(s, SERVING_PREFILL);
	release_grant(s, SERVING_DECODE);
}

/* Both slots are granted: the request goes on with the prefill. */
static void finish_reservation(struct serving *s)
{
	struct request_event ev = {.kind = REQUEST_EV_RESERVED,
				   .attempt = s->request.attempt};
	struct serving_grant *g = s->grant;
	struct admit *a = &s->daemon->board.admit;
	const struct admit_endpoint *p, *d;

	p = admit_find(a, g[SERVING_PREFILL].endpoint);
	d = admit_find(a, g[SERVING_DECODE].endpoint);
	if (!p || !d) {
		release_grants(s);
		serving_refuse(s, REQUEST_ERR_UNAVAILABLE);
		return;
	}
	snprintf(s->prefill_addr, sizeof(s->prefill_addr), "%s", p->addr);
	snprintf(s->decode_addr, sizeof(s->decode_addr), "%s", d->addr);
	ev.reserved.prefill_endpoint = p->name;
	ev.reserved.decode_endpoint = d->name;
	g[SERVING_PREFILL].started = true;
	g[SERVING_PREFILL].started_us = daemon_now_us(s->daemon);
	serving_event(s, &ev);
}

/*
 * Refuses a request that got no grants: as overloaded if endpoints of both
 * roles are available but full, else as unavailable.
 */
static void refuse(struct serving *s)
{
	bool full = is_role_available(s->daemon, CONFIG_ROLE_PREFILL, false) &&
		    is_role_available(s->daemon, CONFIG_ROLE_DECODE, false);

	serving_refuse(s,
		       full ? REQUEST_ERR_OVERLOADED : REQUEST_ERR_UNAVAILABLE);
}

/* Waits for capacity, or refuses the request if its wait has been too long. */
static void wait_for_capacity(struct serving *s)
{
	struct daemon *d = s->daemon;
	struct admit_wait *w = NULL;

	if (daemon_now_us(d) < s->reserve_deadline_us)
		w = calloc(1, sizeof(*w));
	if (!w) {
		refuse(s);
		return;
	}
	observe_control_record_admission(s, "waits", "any",
					 "no endpoint has capacity");
	serving_get(s);
	w->serving = s;
	w->attempt = s->request.attempt;
	TAILQ_INSERT_TAIL(&d->admit_control.waiting, w, entry);
}

/*
 * Applies the outcome for one endpoint of a call. Releases a grant that the
 * request cannot use any more, because it has ended or is at a later attempt.
 */
static void apply_outcome(struct admit_call *c, uint32_t which,
			  const struct fig_room *r)
{
	struct serving *s = c->serving;
	struct serving_grant *g;

	if (s)
		observe_control_record_admission(
			s, "offered", c->endpoint[which],
			r->outcome == ADMIT_GRANTED ? "granted"
			: r->outcome == ADMIT_FULL  ? "full"
						    : "shut");
	if (r->outcome != ADMIT_GRANTED) {
		metrics_add(&c->daemon->board.metrics, METRIC_GRANTS_DENIED, 1);
		return;
	}
	if (!s || !is_reserving(s, c->attempt) || s->grant[which].endpoint[0]) {
		release_control_add(c->daemon, c->endpoint[which], c->run,
				    c->serial, ADMIT_END_UNUSED, 0);
		return;
	}
	g = &s->grant[which];
	memset(g, 0, sizeof(*g));
	memcpy(g->endpoint, c->endpoint[which], sizeof(g->endpoint));
	g->fence = r->fence;
	g->queued_tokens = r->queued_tokens;
	g->serial = c->serial;
	g->requested_us = c->requested_us;
}

/*
 * Ends a call and frees it. With both grants the request goes on; with the
 * decode grant alone it requests the prefill grant, unless this call was denied
 * that one; otherwise it releases what it has and waits.
 */
static void finish_call(struct admit_call *c)
{
	struct serving *s = c->serving;

	if (s && is_reserving(s, c->attempt)) {
		if (s->grant[SERVING_PREFILL].endpoint[0] &&
		    s->grant[SERVING_DECODE].endpoint[0]) {
			finish_reservation(s);
		} else if (c->endpoint[SERVING_DECODE][0] &&
			   s->grant[SERVING_DECODE].endpoint[0] &&
			   !c->endpoint[SERVING_PREFILL][0]) {
			try_reserve(s);
		} else {
			release_grants(s);
			wait_for_capacity(s);
		}
	}
	if (s)
		serving_put(s);
	TAILQ_REMOVE(&c->daemon->admit_control.calls, c, entry);
	free(c);
}

static void apply_capacity(struct admit_call *c, const struct fig_room *r)
{
	bool unavailable = r->outcome == ADMIT_UNAVAILABLE ||
			   r->outcome == ADMIT_NOT_OWNER;
	uint32_t i;

	release_control_update_view(c->daemon, r, unavailable);
	for (i = 0; i < SERVING_GRANTS; i++)
		if (c->endpoint[i][0] &&
		    strcmp(r->endpoint, c->endpoint[i]) == 0)
			apply_outcome(c, i, r);
}

/*
 * The call to the owner failed or timed out, or there is no owner. The
 * endpoints of the call are unavailable in the view until the view expires, so
 * that others are chosen. Grants that the owner may have made are released.
 */
static void on_call_failed(struct admit_call *c)
{
	struct daemon *d = c->daemon;
	struct admit_endpoint *e;
	uint32_t i;

	metrics_add(&d->board.metrics, METRIC_ADMIT_TIMEOUTS, 1);
	for (i = 0; i < SERVING_GRANTS; i++) {
		e = admit_find(&d->board.admit, c->endpoint[i]);
		if (!e)
			continue;
		admit_view_update(e, 0, 0, 0, true, daemon_now_us(d));
		if (c->serving)
			observe_control_record_admission(c->serving, "silent",
							 e->name, e->owner);
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
		on_call_failed(c);
	} else {
		rooms = &reply->fig_reply_u.granted;
		for (i = 0; i < rooms->room.room_len; i++)
			apply_capacity(c, &rooms->room.room_val[i]);
	}
	finish_call(c);
}

static void fill_work(struct fig_need *need, const struct admit_call *c)
{
	need->tokens = c->prefill_tokens;
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

/* Requests the grants from this host, which is the owner. */
static void call_self(struct admit_call *c, const struct fig_grant *g)
{
	struct fig_rooms rooms = {.room.room_len = 0};
	uint32_t i;

	if (owner_control_reply_grant(c->daemon, c->daemon->settings.host, g,
				      &rooms) < 0) {
		finish_call(c);
		return;
	}
	for (i = 0; i < rooms.room.room_len; i++)
		apply_capacity(c, &rooms.room.room_val[i]);
	xdr_free((xdrproc_t)xdr_fig_rooms, &rooms);
	finish_call(c);
}

/*
 * Sends the call to the owner of its endpoints. The call is freed, at once or
 * when the reply comes. An endpoint without an owner is handled like one whose
 * owner does not reply.
 */
static void call_owner(struct admit_call *c, const char *owner,
		       const char *addr)
{
	struct fig_call call = {.kind = FIG_GRANT};
	struct fig_grant *g = &call.fig_call_u.grant;
	struct fig_need need[SERVING_GRANTS];

	g->run = c->run;
	g->serial = c->serial;
	g->need.need_val = need;
	g->need.need_len = fill_needs(c, need);
	if (strcmp(owner, c->daemon->settings.host) == 0) {
		call_self(c, g);
		return;
	}
	if (owner[0] && peer_call(&c->daemon->peer, addr, &call,
				  CALL_TIMEOUT_MS, on_granted, c) == 0)
		return;
	on_call_failed(c);
	finish_call(c);
}

static struct admit_call *new_call(struct serving *s)
{
	struct admit_call *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->daemon = s->daemon;
	c->serving = s;
	c->attempt = s->request.attempt;
	c->requested_us = daemon_now_us(s->daemon);
	c->serial = ++s->grant_serial;
	serving_run_id(s, c->attempt, c->run);
	serving_get(s);
	TAILQ_INSERT_TAIL(&s->daemon->admit_control.calls, c, entry);
	return c;
}

static void add_endpoint(struct admit_call *c, uint32_t which,
			 struct admit_endpoint *e)
{
	snprintf(c->endpoint[which], sizeof(c->endpoint[which]), "%s", e->name);
	admit_view_reserve(e, c->serving->pieces);
}

/*
 * Requests the decode grant of a pair, and the prefill grant in the same call
 * if the owner is the same. If the attempt has its decode grant already,
 * requests the prefill grant only.
 */
static void request_grants(struct serving *s, const struct plan_pair *pair)
{
	struct admit *a = &s->daemon->board.admit;
	bool has_decode = s->grant[SERVING_DECODE].endpoint[0] != '\0';
	struct admit_endpoint *prefill = &a->endpoint[pair->prefill_index];
	struct admit_endpoint *decode = &a->endpoint[pair->decode_index];
	struct admit_endpoint *to = has_decode ? prefill : decode;
	struct admit_call *c = new_call(s);

	if (!c) {
		release_grants(s);
		serving_refuse(s, REQUEST_ERR_UNAVAILABLE);
		return;
	}
	c->prefill_tokens = pair->prefill_tokens;
	c->queue_max_tokens = pair->queue_max_tokens;
	if (!has_decode)
		add_endpoint(c, SERVING_DECODE, decode);
	if (strcmp(prefill->owner, to->owner) == 0)
		add_endpoint(c, SERVING_PREFILL, prefill);
	call_owner(c, to->owner, to->owner_addr);
}

/*
 * Requests the grants that the attempt lacks. Without capacity the request
 * waits; if its first token can no longer come in time, it is refused.
 */
static void try_reserve(struct serving *s)
{
	struct plan_pair pair = {.prefill_index = 0, .decode_index = 0};

	switch (plan_control_choose(s, &pair)) {
	case PLAN_CHOSEN:
		request_grants(s, &pair);
		break;
	case PLAN_WAIT:
		release_grants(s);
		wait_for_capacity(s);
		break;
	case PLAN_REJECT:
		release_grants(s);
		serving_refuse(s, REQUEST_ERR_OVERLOADED);
		break;
	}
}

/*
 * Reserves a decode slot and a prefill slot for the current attempt. The
 * result, REQUEST_EV_RESERVED or a refusal, is delivered during the call or
 * later. The first attempt waits for capacity until the first token would be
 * late, a later one for RETRY_WAIT_MAX_US, since it may be past that time
 * already.
 */
void admit_control_reserve(struct serving *s)
{
	memset(s->grant, 0, sizeof(s->grant));
	s->reserve_deadline_us = s->request.first_token_deadline_us;
	if (s->request.attempt > 1)
		s->reserve_deadline_us =
			daemon_now_us(s->daemon) + RETRY_WAIT_MAX_US;
	try_reserve(s);
}

/* Releases the grants of the attempt. */
void admit_control_release(struct serving *s)
{
	release_grants(s);
}

/*
 * Returns true if the attempt may start its run at the decode endpoint now, and
 * marks the grant as started. If the grant's start deadline has passed or the
 * endpoint has gone out of service, fails the attempt and returns false. The
 * request may have ended then; the caller needs a reference to use s further.
 */
bool admit_control_start_decode(struct serving *s)
{
	struct serving_grant *g = &s->grant[SERVING_DECODE];
	struct daemon *d = s->daemon;
	const struct admit_endpoint *e =
		admit_find(&d->board.admit, g->endpoint);
	struct request_event ev = {.kind = REQUEST_EV_FAILED,
				   .attempt = s->request.attempt};

	if (e && admit_may_start(e, g->requested_us, daemon_now_us(d))) {
		g->started = true;
		return true;
	}
	metrics_add(&d->board.metrics, METRIC_GRANTS_EXPIRED, 1);
	logline(LOG_NOTICE, "grant-lapsed", "request=%s attempt=%u decode=%s",
		s->request.id, s->request.attempt, s->request.decode_endpoint);
	ev.failed.fault = REQUEST_FAULT_REFUSED;
	ev.failed.retry_allowed = true;
	serving_event(s, &ev);
	return false;
}

/* The transfer is complete: the prefill endpoint no longer holds the run. */
void admit_control_release_prefill(struct serving *s)
{
	release_grant(s, SERVING_PREFILL);
}

/* Cancels were sent; the endpoints may hold the run until they confirm. */
void admit_control_mark_canceled(struct serving *s, bool prefill, bool decode)
{
	s->grant[SERVING_PREFILL].canceled |= prefill;
	s->grant[SERVING_DECODE].canceled |= decode;
}

/* The connection to an endpoint failed during the run. */
void admit_control_mark_failed(struct serving *s, bool prefill)
{
	s->grant[prefill ? SERVING_PREFILL : SERVING_DECODE].failed = true;
}

/* Tries to reserve for the waiting requests, in the order of arrival. */
static void retry_waiting(struct daemon *d)
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

/* Schedules waiting and queued requests for the next iteration of the loop. */
void admit_control_schedule(struct daemon *d)
{
	struct admit_control *k = &d->admit_control;

	ev_timer_stop(d->loop, &k->wait_timer);
	ev_timer_set(&k->wait_timer, 0., 0.);
	ev_timer_start(d->loop, &k->wait_timer);
	queue_control_schedule(d);
}

/* Handles an owner's notification of free capacity. */
void admit_control_on_capacity(struct daemon *d, const struct fig_rooms *r)
{
	release_control_update_views(d, r);
	admit_control_schedule(d);
}

static void on_query_reply(void *ctx, int error, const struct fig_reply *reply)
{
	if (error == 0)
		release_control_update_views(ctx, &reply->fig_reply_u.granted);
}

/*
 * Queries the owner of an endpoint for its state and capacity: a request for a
 * grant with an empty run ID grants nothing.
 */
static void query_owner(struct daemon *d, struct admit_endpoint *e)
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
		peer_call(&d->peer, e->owner_addr, &call, CALL_TIMEOUT_MS,
			  on_query_reply, d);
		return;
	}
	if (owner_control_reply_grant(d, d->settings.host, g, &rooms) < 0)
		return;
	r = &rooms.room.room_val[0];
	release_control_update_view(d, r, r->outcome != ADMIT_FULL);
	xdr_free((xdrproc_t)xdr_fig_rooms, &rooms);
}

/*
 * Returns true if an endpoint of the role is available according to the view.
 * With reported set, counts only endpoints with a report from their owner that
 * has not expired.
 */
static bool is_role_available(const struct daemon *d, enum config_role role,
			      bool reported)
{
	const struct admit *a = &d->board.admit;
	const struct admit_endpoint *e;
	uint32_t i;

	for (i = 0; i < a->n; i++) {
		e = &a->endpoint[i];
		if (e->role == role && e->in_service && !e->unavailable &&
		    (e->view_updated_us || !reported))
			return true;
	}
	return false;
}

/*
 * This host becomes ready when an endpoint of each role is reported as
 * available. Until then, queries the endpoints of its own failure domain.
 */
static void update_ready(struct daemon *d)
{
	struct admit_control *k = &d->admit_control;
	struct admit *a = &d->board.admit;
	int64_t now_us = daemon_now_us(d);
	struct admit_endpoint *e;
	uint32_t i;

	k->ready = is_role_available(d, CONFIG_ROLE_PREFILL, true) &&
		   is_role_available(d, CONFIG_ROLE_DECODE, true);
	if (k->ready || now_us - k->queried_us < QUERY_INTERVAL_US)
		return;
	k->queried_us = now_us;
	for (i = 0; i < a->n; i++) {
		e = &a->endpoint[i];
		if (e->owner[0] && e->in_service &&
		    strcmp(e->domain, a->domain) == 0)
			query_owner(d, e);
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
		update_ready(d);
}

static void on_wait(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct daemon *d = w->data;

	ev_timer_stop(loop, w);
	ev_timer_set(w, WAIT_INTERVAL_S, 0.);
	ev_timer_start(loop, w);
	retry_waiting(d);
}

/* Applies the endpoints of the current configuration. */
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

/*
 * Applies the membership epoch, new or received again, which also ends the
 * state after a pause; see admit_apply_epoch.
 */
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
	ev_timer_init(&k->tick_timer, on_tick, TICK_INTERVAL_S,
		      TICK_INTERVAL_S);
	k->tick_timer.data = d;
	ev_timer_start(d->loop, &k->tick_timer);
	ev_timer_init(&k->wait_timer, on_wait, WAIT_INTERVAL_S, 0.);
	k->wait_timer.data = d;
	ev_timer_start(d->loop, &k->wait_timer);
}

/*
 * Drops the references to requests. Calls in flight stay, without a request,
 * until their reply comes or peer_finish ends them.
 */
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
