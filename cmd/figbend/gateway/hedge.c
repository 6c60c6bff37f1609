#include "req.h"

#include <stdlib.h>
#include <string.h>

#include "logline.h"

/*
 * A second attempt of a plain idempotent request beside its first one, at another
 * endpoint; pkg/hedge decides when. The first complete, valid response wins, and
 * the other exchange is canceled. If one attempt fails, the other one goes on as
 * the request's only attempt: it is then the exchange in struct req.
 */

/* A service counts as full for this long after one of its endpoints refused a
 * request for lack of capacity. */
#define FULL_MEMORY_US 1000000LL
/* Timers may run this much early. */
#define TIMER_TOLERANCE_US 1000LL

/* What the request waits for, or its second exchange. */
struct req_hedge {
	ev_timer timer;
	struct fleet_endpoint *endpoint; /* reference; NULL until it was sent */
	struct fleet_endpoint *first;	 /* reference, with endpoint */
	struct h1_exchange exchange;
	int64_t sent_us;
	int64_t delay_us; /* the quantile at that time */
	int64_t after_us; /* how long the first attempt had run */
	/* The response of the exchange. */
	struct plain_response response;
	struct h1_buf fields;
	struct h1_buf body;
};

static const char *const end_names[] = {
	[HEDGE_REQUEST_ENDED] = "request_ended",
	[HEDGE_FIRST_WON] = "first_won",
	[HEDGE_SECOND_WON] = "second_won",
	[HEDGE_FIRST_FAILED] = "first_failed",
	[HEDGE_SECOND_FAILED] = "second_failed",
};

/* See gateway.h. */
void hedge_start(struct gateway *g)
{
	if (g->settings->hedge_share <= 0)
		return;
	g->hedge = malloc(sizeof(*g->hedge));
	if (g->hedge)
		hedge_init(g->hedge, g->settings->hedge_share,
			   gateway_random(g));
	logline(LOG_NOTICE, "hedging", "share=%g outcome=\"%s\"",
		g->settings->hedge_share, g->hedge ? "on" : "out of memory");
}

/* See gateway.h. */
void hedge_stop(struct gateway *g)
{
	free(g->hedge);
	g->hedge = NULL;
}

/* Logs a hedge, and counts the time that the losing attempt had run. */
static void log_hedge(struct req *r, const struct req_hedge *d,
		      enum hedge_end end)
{
	int64_t now_us = gateway_now_us(r->g), loser_us = now_us - d->sent_us;

	if (end == HEDGE_SECOND_WON || end == HEDGE_FIRST_FAILED)
		loser_us = now_us - r->sent_us;
	logline(LOG_INFO, "hedge",
		"request=%s service=%s route=%s "
		"why=\"slower than the quantile\" quantile_ms=%lld "
		"after_ms=%lld first=%s second=%s end=%s loser_ran_ms=%lld",
		r->call.id, r->service->name, r->route->name,
		(long long)d->delay_us / 1000, (long long)d->after_us / 1000,
		d->first->entry.id, d->endpoint->entry.id, end_names[end],
		(long long)loser_us / 1000);
	if (end != HEDGE_FIRST_FAILED)
		stats_add(&r->g->stats, STATS_HEDGE_LOSER_MS,
			  (uint64_t)loser_us / 1000);
}

/* Frees the hedge; its exchange is not running. */
static void release(struct req *r)
{
	struct req_hedge *d = r->hedge;

	r->hedge = NULL;
	ev_timer_stop(r->g->loop, &d->timer);
	if (d->endpoint)
		fleet_request_end(d->endpoint, 0);
	fleet_unref(d->endpoint);
	fleet_unref(d->first);
	h1_buf_finish(&d->fields);
	h1_buf_finish(&d->body);
	free(d);
	req_count_response(r);
}

/* See req.h. */
void hedge_finish(struct req *r, enum hedge_end end)
{
	if (!r->hedge)
		return;
	if (r->hedge->endpoint) {
		log_hedge(r, r->hedge, end);
		h1_exchange_cancel(&r->hedge->exchange);
	}
	release(r);
}

/* Makes the second attempt that of the request, which has no other one. */
static void promote(struct req *r)
{
	struct req_hedge *d = r->hedge;

	r->endpoint = d->endpoint;
	d->endpoint = NULL;
	r->counted = true;
	r->sent_us = d->sent_us;
	r->status = d->response.status;
	r->not_executed = d->response.not_executed;
	r->has_signature = d->response.has_signature;
	r->answer_began = d->response.status != 0;
	h1_buf_finish(&r->fields);
	r->fields = d->fields;
	r->body = d->body;
	memset(&d->fields, 0, sizeof(d->fields));
	memset(&d->body, 0, sizeof(d->body));
	if (d->exchange.conn)
		h1_exchange_move(&r->exchange, &d->exchange, &plain_handlers,
				 r);
	release(r);
}

/* See req.h. */
bool hedge_take_over(struct req *r)
{
	if (!r->hedge)
		return false;
	if (!r->hedge->endpoint) {
		release(r);
		return false;
	}
	log_hedge(r, r->hedge, HEDGE_FIRST_FAILED);
	promote(r);
	plain_start_timeout(r);
	return true;
}

/* See req.h. */
bool hedge_was_sent(const struct req *r)
{
	return r->hedge && r->hedge->endpoint &&
	       h1_exchange_sent(&r->hedge->exchange);
}

/* See req.h. */
size_t hedge_response_bytes(const struct req *r)
{
	return r->hedge ? r->hedge->body.capacity : 0;
}

/* See req.h. Only a first attempt shows how long calls take. */
void hedge_observe_first(struct req *r)
{
	int64_t now_us = gateway_now_us(r->g);

	if (r->g->hedge && r->route->kind == CALL_IDEMPOTENT &&
	    !r->failed_attempts)
		hedge_observe(r->g->hedge, r->service->name, r->route->name,
			      now_us - r->sent_us, now_us);
}

/* The second attempt has failed. The first one goes on. */
static void fail(struct req *r, const struct plain_result *result)
{
	struct req_hedge *d = r->hedge;

	plain_record_failure(r, d->endpoint, result, d->sent_us);
	hedge_finish(r, HEDGE_SECOND_FAILED);
	plain_start_timeout(r);
}

static void fail_exchange(struct req *r, const char *reason)
{
	struct plain_result result = {FLEET_FAILED, true, reason};

	fail(r, &result);
}

static enum h1_verdict on_head(void *ctx, const struct h1_head *h)
{
	struct req *r = ctx;
	struct req_hedge *d = r->hedge;
	struct call_response response;

	switch (req_read_answer_on(r, &d->exchange, d->endpoint, h,
				   &response)) {
	case REQ_ANSWER_OWN:
		break;
	case REQ_ANSWER_FOREIGN:
		return H1_DISCARD;
	case REQ_ANSWER_UNKNOWN:
		fail_exchange(r, REQ_UNKNOWN_REASON);
		return H1_DISCARD;
	}
	d->response.status = h->status;
	d->response.not_executed = response.not_executed;
	d->response.has_signature = response.signature && !response.encoded;
	h1_buf_finish(&d->fields);
	h1_buf_finish(&d->body);
	adapter_write_response_fields(h, &d->fields);
	return H1_ACCEPT;
}

static void on_body(void *ctx, const void *p, size_t n)
{
	struct req *r = ctx;
	struct h1_buf *body = &r->hedge->body;
	const char *reason;

	if (h1_buf_len(body) + n > r->g->settings->response_max_kb * 1024ULL)
		reason = "response body larger than response_max_kb";
	else if (h1_buf_append(body, p, n) < 0)
		reason = "out of memory";
	else
		reason = req_count_response(r);
	if (reason)
		fail_exchange(r, reason);
}

/*
 * Cancels the first attempt, which has lost. An endpoint that has answered nothing
 * since it was sent may be dead: several such losses in a row eject it.
 */
static void drop_first(struct req *r)
{
	int64_t now_us = gateway_now_us(r->g);

	hedge_observe_first(r);
	if (!r->answer_began && r->endpoint->load_us < r->sent_us)
		fleet_record_outcome(r->endpoint, FLEET_SILENT,
				     now_us - r->sent_us, now_us);
	h1_exchange_cancel(&r->exchange);
	req_set_step_timer(r, 0);
	req_drop_response(r);
	req_detach_endpoint(r);
}

static void on_end(void *ctx, enum h1_outcome outcome, const char *reason)
{
	struct req *r = ctx;
	struct plain_result result =
		plain_judge(&r->hedge->response, outcome, reason);
	int64_t now_us = gateway_now_us(r->g);

	if (plain_may_have_crashed(outcome, &result))
		crash_charge(r, r->hedge->endpoint);
	if (result.outcome != FLEET_SUCCESS) {
		fail(r, &result);
		return;
	}
	stats_add(&r->g->stats, STATS_HEDGES_WON, 1);
	log_hedge(r, r->hedge, HEDGE_SECOND_WON);
	drop_first(r);
	promote(r);
	fleet_record_outcome(r->endpoint, FLEET_SUCCESS, now_us - r->sent_us,
			     now_us);
	crash_acquit(r);
	req_complete(r);
}

static const struct h1_exchange_handlers handlers = {on_head, on_body, on_end};

/* Finds out whether the service is full, or an endpoint of it has a limit. */
static void check_service(struct req *r, struct hedge_facts *facts)
{
	struct gateway *g = r->g;
	int64_t now_us = gateway_now_us(g);
	const struct fleet_endpoint *e;
	const struct req *w;

	TAILQ_FOREACH(w, &g->waiting, waiting_entry)
	{
		if (strcmp(w->service->name, r->service->name) == 0)
			facts->service_full = true;
	}
	TAILQ_FOREACH(e, &g->fleet.list, link)
	{
		if (strcmp(e->entry.service, r->service->name) != 0)
			continue;
		if (e->full_until_us &&
		    now_us - e->full_until_us < FULL_MEMORY_US)
			facts->service_full = true;
		if (fleet_is_limited(e) || fleet_is_unwanted(e, now_us))
			facts->endpoint_limited = true;
	}
}

/*
 * Returns true if an endpoint of the service in that domain failed lately: the domain
 * may be partitioned or down, which is known for certain only some seconds later.
 */
static bool domain_is_suspect(const struct req *r, const char *domain)
{
	const struct fleet_endpoint *e;

	TAILQ_FOREACH(e, &r->g->fleet.list, link)
	{
		if (strcmp(e->entry.service, r->service->name) == 0 &&
		    strcmp(e->entry.domain, domain) == 0 &&
		    (e->consecutive_failures || e->ejected_until_us))
			return true;
	}
	return false;
}

/*
 * Returns another endpoint for the request, or NULL. If the domain of the first one
 * is suspect, those of other domains come first, as far as the query can exclude the
 * others. An endpoint that was ejected, or has refused the last request, is not worth
 * a hedge.
 */
static struct fleet_endpoint *choose(struct req *r)
{
	const char *domain = r->endpoint->entry.domain;
	bool leave = domain_is_suspect(r, domain);
	struct fleet_endpoint *e, *best = NULL;
	struct fleet_query query;
	enum fleet_result result;

	plain_fill_query(r, &query);
	/* Connect failures may have filled the list. */
	if (query.n_excluded == REQ_EXCLUDED_MAX)
		query.n_excluded--;
	query.excluded[query.n_excluded++] = r->endpoint;
	for (;;) {
		e = fleet_choose(&r->g->fleet, &query, gateway_now_us(r->g),
				 &result);
		if (e && !e->refusals && !e->ejected_until_us &&
		    (!best || strcmp(e->entry.domain, domain) != 0))
			best = e;
		if (!leave || !e || strcmp(e->entry.domain, domain) != 0 ||
		    query.n_excluded == REQ_EXCLUDED_MAX)
			return best;
		query.excluded[query.n_excluded++] = e;
	}
}

static void count_denied(struct gateway *g, enum hedge_decision d)
{
	static const enum stats_counter counter[] = {
		[HEDGE_DENIED_FEW_ANSWERS] = STATS_HEDGES_DENIED_FEW_ANSWERS,
		[HEDGE_DENIED_ATTEMPTS] = STATS_HEDGES_DENIED_ATTEMPTS,
		[HEDGE_DENIED_DEADLINE] = STATS_HEDGES_DENIED_DEADLINE,
		[HEDGE_DENIED_FULL] = STATS_HEDGES_DENIED_FULL,
		[HEDGE_DENIED_LIMITED] = STATS_HEDGES_DENIED_LIMITED,
		[HEDGE_DENIED_NO_ENDPOINT] = STATS_HEDGES_DENIED_NO_ENDPOINT,
		[HEDGE_DENIED_BUDGET] = STATS_HEDGES_DENIED_BUDGET,
		[HEDGE_DENIED_ALL_SLOW] = STATS_HEDGES_DENIED_ALL_SLOW,
		[HEDGE_DENIED_SHARE] = STATS_HEDGES_DENIED_SHARE,
	};

	stats_add(&g->stats, counter[d], 1);
}

/* Decides on a hedge at e, NULL if there is no other endpoint. */
static enum hedge_decision decide(struct req *r, const struct fleet_endpoint *e)
{
	struct gateway *g = r->g;
	int64_t now_us = gateway_now_us(g);
	struct hedge_facts facts = {
		.executions = r->executions + 1,
		.attempts_max = r->route->attempts_max,
		.remaining_us = stop_leaves_time(r) ? req_remaining_us(r) : 0,
		.has_endpoint = e != NULL,
	};

	check_service(r, &facts);
	facts.retry_available =
		ratelimit_retry_available(&g->retry_budgets, r->service->name,
					  g->fleet.hosts, now_us) &&
		!crash_blocked_us(g, &r->call, r->account,
				  &r->conn->request.body);
	return hedge_decide(g->hedge, r->service->name, r->route->name, &facts,
			    now_us);
}

static void send_second(struct req *r, struct fleet_endpoint *e)
{
	static const struct plain_result no_socket = {
		FLEET_CONNECT_FAILED, false, "cannot open a socket"};
	struct req_hedge *d = r->hedge;
	int64_t now_us = gateway_now_us(r->g);

	d->delay_us = hedge_delay_us(r->g->hedge, r->service->name,
				     r->route->name, now_us);
	d->after_us = now_us - r->sent_us;
	d->sent_us = now_us;
	d->first = fleet_ref(r->endpoint);
	d->endpoint = fleet_ref(e);
	fleet_request_start(e, 0, 0);
	r->hedged = true;
	stats_add(&r->g->stats, STATS_HEDGES, 1);
	/* The time-out is that of a single attempt. */
	req_set_step_timer(r, 0);
	if (req_send_on(r, &d->exchange, e, CALL_FULL, &handlers) < 0)
		fail(r, &no_socket);
}

/* The time of the quantile has passed without the first attempt's end. */
static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct req *r = w->data;
	struct gateway *g = r->g;
	int64_t now_us = gateway_now_us(g), wait_us;
	enum hedge_decision decision;
	struct fleet_endpoint *e;

	wait_us = hedge_delay_us(g->hedge, r->service->name, r->route->name,
				 now_us) -
		  (now_us - r->sent_us);
	if (wait_us > TIMER_TOLERANCE_US && !r->answer_began) {
		ev_timer_set(w, (double)wait_us / 1e6, 0.);
		ev_timer_start(loop, w);
		return;
	}
	if (r->answer_began) {
		release(r);
		return;
	}
	e = choose(r);
	/* A rollout may have begun since hedge_watch(). */
	if (r->rollout.of) {
		release(r);
		return;
	}
	decision = decide(r, e);
	/* What is taken from the share is lost if the retry is denied. */
	if (decision == HEDGE_SEND && !req_consume_retry(r))
		decision = HEDGE_DENIED_BUDGET;
	if (decision == HEDGE_SEND) {
		send_second(r, e);
		return;
	}
	logline(LOG_DEBUG, "hedge_denied", "request=%s why=%s", r->call.id,
		hedge_cause_name(decision));
	count_denied(g, decision);
	release(r);
}

/* See req.h. */
void hedge_watch(struct req *r)
{
	struct gateway *g = r->g;
	int64_t delay_us;

	/* While versions are compared, each request counts for one of them. */
	if (!g->hedge || r->route->kind != CALL_IDEMPOTENT || r->hedged ||
	    r->failed_attempts || r->route->attempts_max < 2 || r->rollout.of)
		return;
	if (!r->call_counted) {
		r->call_counted = true;
		hedge_count_call(g->hedge, r->service->name);
	}
	delay_us = hedge_delay_us(g->hedge, r->service->name, r->route->name,
				  gateway_now_us(g));
	if (!delay_us) {
		count_denied(g, HEDGE_DENIED_FEW_ANSWERS);
		return;
	}
	r->hedge = calloc(1, sizeof(*r->hedge));
	if (!r->hedge)
		return;
	ev_timer_init(&r->hedge->timer, on_timer, (double)delay_us / 1e6, 0.);
	r->hedge->timer.data = r;
	ev_timer_start(g->loop, &r->hedge->timer);
}
