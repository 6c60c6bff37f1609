#include "req.h"

#include <stdlib.h>
#include <string.h>

#include "logline.h"

/* Between looks at requests that wait, when nothing else wakes them. */
#define RETRY_WAITING_S 0.02
/* An endpoint's own answer at the deadline is still on its way for so long. */
#define LIMIT_MARGIN_US 60000LL
/* The longest that a request without any deadline is kept. */
#define LIMIT_MAX_US 60000000LL
/* When a refused caller may come back: a failing service is known again after a
 * moment; memory of model endpoints comes free as streams of some seconds end. */
#define RETRY_AFTER_PLAIN_S 0.3
#define RETRY_AFTER_POOLS_S 2.5

static const char *const step_names[] = {
	[REQ_WAITING] = "wait",
	[REQ_RESERVING] = "hold",
	[REQ_PREFILLING] = "prefill",
	[REQ_SENT] = "sent",
};

/* Microseconds until the caller or the route gives the request up. */
int64_t req_remaining_us(const struct req *r)
{
	return r->deadline_us - gateway_now_us(r->g);
}

/* Tells whether the request may go to another endpoint after it may have run. */
bool req_may_execute_again(const struct req *r)
{
	if (r->route->kind == CALL_IDEMPOTENT)
		return !r->response_started;
	return r->route->kind == CALL_STREAM && r->route->resumable;
}

/* Tells whether an endpoint has run the request, or may yet do so. */
static bool may_have_run(const struct req *r)
{
	return r->executions || r->response_started ||
	       (r->step == REQ_SENT && h1_exchange_sent(&r->exchange));
}

/* Leaves an endpoint out of later choices. */
void req_exclude_endpoint(struct req *r, const struct fleet_endpoint *e)
{
	if (r->n_excluded < REQ_EXCLUDED_MAX)
		r->excluded[r->n_excluded++] = e;
}

/* Starts the step's timer anew. */
void req_set_step_timer(struct req *r, int64_t after_us)
{
	ev_timer_stop(r->g->loop, &r->step_timer);
	if (after_us <= 0)
		return;
	ev_timer_set(&r->step_timer, (double)after_us / 1e6, 0.);
	ev_timer_start(r->g->loop, &r->step_timer);
}

/* Counts the request off the endpoint that it was at. */
void req_detach_endpoint(struct req *r)
{
	if (r->endpoint && r->counted)
		fleet_request_end(r->endpoint, r->counted_tokens);
	fleet_unref(r->endpoint);
	r->endpoint = NULL;
	r->counted = false;
}

/* Frees the request; its caller has its answer or has left. */
void req_free(struct req *r)
{
	struct gateway *g = r->g;

	h1_exchange_cancel(&r->exchange);
	pools_release(r);
	req_detach_endpoint(r);
	fleet_unref(r->prefill_endpoint);
	ev_timer_stop(g->loop, &r->deadline_timer);
	ev_timer_stop(g->loop, &r->step_timer);
	if (r->is_waiting) {
		TAILQ_REMOVE(&g->waiting, r, waiting_entry);
		g->n_waiting--;
	}
	TAILQ_REMOVE(&g->reqs, r, entry);
	g->n_reqs--;
	h1_buf_finish(&r->fields);
	h1_buf_finish(&r->body);
	sse_finish(&r->events);
	directory_unref(r->directory);
	free(r);
	if (g->n_waiting)
		ev_feed_event(g->loop, &g->waiting_timer, EV_CUSTOM);
}

/* One line for each request, with what decided its end. */
static void log_end(const struct req *r, const char *outcome, uint16_t status,
		    const char *reason)
{
	int64_t now_us = gateway_now_us(r->g);

	logline(LOG_INFO, "request_end",
		"request=%s outcome=%s status=%u why=\"%s\" step=%s route=%s "
		"service=%s account=%s endpoint=%s took_ms=%lld left_ms=%lld "
		"sends=%u ran=%u resumes=%u events=%llu gap_ms=%lld prompt=%u "
		"out_max=%u out_likely=%u "
		"config=%lld",
		r->call.id, outcome, status, reason, step_names[r->step],
		r->route->name, r->service ? r->service->name : "-",
		r->account ? r->account->name : "-",
		r->endpoint ? r->endpoint->entry.id : "-",
		(long long)(now_us - r->received_us) / 1000,
		(long long)req_remaining_us(r) / 1000, r->sends, r->executions,
		r->resumes, (unsigned long long)r->events.n_events,
		(long long)r->max_gap_us / 1000, r->call.prompt.prompt_tokens,
		r->call.prompt.output_max_tokens,
		r->call.prompt.output_expected_tokens,
		(long long)r->directory->version);
}

/* Gives the charge of a request that did not run back to its account. */
static void give_back(struct req *r)
{
	if (r->account)
		ratelimit_refund(&r->g->ratelimit, r->account->name, r->cost);
}

/* Refuses a request that no endpoint has run or will run. */
void req_refuse(struct req *r, const char *reason)
{
	char fields[64];

	if (may_have_run(r)) {
		req_fail(r, 502, reason);
		return;
	}
	log_end(r, "refused", 503, reason);
	give_back(r);
	stats_add(&r->g->stats, STATS_REFUSED_FULL, 1);
	snprintf(fields, sizeof(fields), "Retry-After: %g\r\n",
		 r->service && r->service->engine.present
			 ? RETRY_AFTER_POOLS_S
			 : RETRY_AFTER_PLAIN_S);
	h1_respond(r->conn, 503, fields, NULL, 0);
	req_free(r);
}

/* See run.h. A host that is cut off leaves its callers to others from now on. */
void req_refuse_no_endpoint(struct req *r, const char *reason)
{
	struct gateway *g = r->g;

	g->last_unserved_us = gateway_now_us(g);
	if (gateway_is_isolated(g) && !g->callers.draining) {
		g->callers.draining = true;
		logline(LOG_WARNING, "cut_off",
			"request=%s service=%s alone_ms=%lld", r->call.id,
			r->service->name,
			(long long)(g->last_unserved_us -
				    g->isolated_since_us) /
				1000);
	}
	req_refuse(r, reason);
}

/* Ends a request that may have run, or whose stream has begun. */
void req_fail(struct req *r, uint16_t status, const char *reason)
{
	if (r->response_started) {
		log_end(r, "cut", r->status, reason);
		stats_add(&r->g->stats, STATS_STREAMS_CUT, 1);
		h1_stream_abort(r->conn);
	} else {
		log_end(r, "failed", status, reason);
		stats_add(&r->g->stats, STATS_FAILED, 1);
		h1_respond(r->conn, status, NULL, NULL, 0);
	}
	req_free(r);
}

/* Hands a whole answer of an endpoint to the caller. */
void req_complete(struct req *r)
{
	log_end(r, "answered", r->status, "");
	stats_add(&r->g->stats, STATS_ANSWERED, 1);
	if (r->response_started) {
		stats_observe(&r->g->stats, STATS_EVENT_GAP_S, r->max_gap_us);
		h1_stream_end(r->conn);
	} else {
		stats_observe(&r->g->stats, STATS_RESPONSE_S,
			      gateway_now_us(r->g) - r->received_us);
		h1_respond(r->conn, r->status, h1_buf_data(&r->fields),
			   h1_buf_data(&r->body), h1_buf_len(&r->body));
	}
	req_free(r);
}

/* Puts a request among those that wait: less work goes first. */
static void insert_waiting(struct reqs *list, struct req *r)
{
	struct req *after = TAILQ_LAST(list, reqs);

	while (after && after->estimated_work > r->estimated_work)
		after = TAILQ_PREV(after, reqs, waiting_entry);
	if (after)
		TAILQ_INSERT_AFTER(list, after, r, waiting_entry);
	else
		TAILQ_INSERT_HEAD(list, r, waiting_entry);
}

/* Has the request wait until an endpoint has room. */
void req_enqueue(struct req *r)
{
	struct gateway *g = r->g;

	r->step = REQ_WAITING;
	if (r->is_waiting)
		return;
	r->is_waiting = true;
	if (!r->wait_start_us)
		r->wait_start_us = gateway_now_us(g);
	insert_waiting(&g->waiting, r);
	g->n_waiting++;
	if (!ev_is_active(&g->waiting_timer))
		ev_timer_again(g->loop, &g->waiting_timer);
}

/* Takes the next step of a request that no exchange is running for. */
void req_advance(struct req *r)
{
	if (req_remaining_us(r) <= 0) {
		if (may_have_run(r))
			req_fail(r, 504, "out of time");
		else
			req_refuse(r, "out of time");
		return;
	}
	if (r->service && r->service->engine.present)
		pools_advance(r);
	else
		plain_advance(r);
}

static bool is_late(const struct req *r, int64_t now_us)
{
	return r->service->engine.present && pools_is_late(r, now_us);
}

/* Takes out of a list the requests that can no longer be in time. */
static void move_late(struct reqs *list, struct reqs *late, int64_t now_us)
{
	struct req *r, *next;

	for (r = TAILQ_FIRST(list); r; r = next) {
		next = TAILQ_NEXT(r, waiting_entry);
		if (!is_late(r, now_us))
			continue;
		TAILQ_REMOVE(list, r, waiting_entry);
		TAILQ_INSERT_TAIL(late, r, waiting_entry);
	}
}

static void advance_all(struct reqs *list)
{
	struct req *r;

	while ((r = TAILQ_FIRST(list)) != NULL) {
		TAILQ_REMOVE(list, r, waiting_entry);
		r->is_waiting = false;
		req_advance(r);
	}
}

/*
 * Looks again at all requests that wait. Those that can be in time go first, and
 * less work before more: so most of them are, when there is not room for all.
 */
void req_advance_waiting(struct gateway *g)
{
	struct reqs now = TAILQ_HEAD_INITIALIZER(now);
	struct reqs late = TAILQ_HEAD_INITIALIZER(late);

	TAILQ_CONCAT(&now, &g->waiting, waiting_entry);
	g->n_waiting = 0;
	move_late(&now, &late, gateway_now_us(g));
	advance_all(&now);
	advance_all(&late);
	if (!g->n_waiting)
		ev_timer_stop(g->loop, &g->waiting_timer);
}

static void on_retry_waiting(struct ev_loop *loop, ev_timer *w, int events)
{
	req_advance_waiting(w->data);
}

/* Prepares for requests. */
void req_init(struct gateway *g)
{
	TAILQ_INIT(&g->reqs);
	TAILQ_INIT(&g->waiting);
	ev_timer_init(&g->waiting_timer, on_retry_waiting, 0., RETRY_WAITING_S);
	g->waiting_timer.data = g;
}

/* Takes a second send of the budget that all hosts share. */
bool req_consume_retry(struct req *r)
{
	struct gateway *g = r->g;

	if (crash_is_blocked(g, &r->call, r->account, &r->conn->request.body))
		return false;
	if (ratelimit_retry_consume(&g->retry_budgets, r->service->name,
				    g->fleet.hosts, gateway_now_us(g))) {
		stats_add(&g->stats, STATS_RETRIES, 1);
		return true;
	}
	stats_add(&g->stats, STATS_RETRIES_DENIED, 1);
	logline(LOG_INFO, "send_denied", "request=%s service=%s hosts=%u",
		r->call.id, r->service->name, g->fleet.hosts);
	return false;
}

/* See run.h. Returns 0 or a negative error number. */
int req_send(struct req *r, struct fleet_endpoint *e, enum call_phase phase,
	     const struct h1_exchange_handlers *h)
{
	struct call_attempt s = {
		.phase = phase,
		.endpoint_id = e->entry.id,
		.account = r->account ? r->account->name : NULL,
		.priority = -1,
		.last_event_id = r->call.last_event_id,
	};
	struct h1_buf request = {0};
	int64_t left_us = req_remaining_us(r);
	int error;

	s.deadline_ms = (uint32_t)(left_us > 1000 ? left_us / 1000 : 1);
	if (phase != CALL_PREFILL && r->events.last_id >= 0)
		s.last_event_id = r->events.last_id;
	if (phase == CALL_FULL && r->prefill_endpoint &&
	    r->prefill_endpoint->listed)
		s.kv_fetch_addr = r->prefill_endpoint->entry.addr_text;
	if (phase == CALL_DECODE) {
		s.prefill_addr = r->prefill_endpoint->entry.addr_text;
		s.prefill_handle = r->prefill_handle;
	}
	if (phase != CALL_PREFILL && r->reservation[0])
		s.reservation = r->reservation;
	adapter_write_call(&request, &r->conn->request.head,
			   &r->conn->request.body, &s);
	r->sent_us = gateway_now_us(r->g);
	error = h1_exchange_start(&r->g->endpoints, &r->exchange,
				  &e->entry.addr, h1_buf_data(&request),
				  h1_buf_len(&request), h, r);
	h1_buf_finish(&request);
	stats_add(&r->g->stats, STATS_SENDS, 1);
	logline(LOG_DEBUG, "send",
		"request=%s endpoint=%s phase=%d deadline_ms=%u resume=%lld "
		"error=%d",
		r->call.id, e->entry.id, phase, s.deadline_ms,
		(long long)s.last_event_id, error);
	return error;
}

static void on_limit(struct ev_loop *loop, ev_timer *w, int events)
{
	struct req *r = w->data;

	if (may_have_run(r))
		req_fail(r, 504, "out of time");
	else
		req_refuse(r, "out of time");
}

static void on_step_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct req *r = w->data;

	if (r->service && r->service->engine.present)
		pools_timeout(r);
	else
		plain_timeout(r);
}

/* Answers a request for which no run is made. */
static void turn_away(struct gateway *g, struct h1_conn *c, const char *id,
		      uint16_t status, enum stats_counter which,
		      const char *fields, const char *reason)
{
	logline(LOG_INFO, "request_end",
		"request=%s outcome=refused status=%u why=\"%s\" step=intake "
		"config=%lld",
		id, status, reason,
		g->directory ? (long long)g->directory->version : -1LL);
	stats_add(&g->stats, which, 1);
	h1_respond(c, status, fields, NULL, 0);
}

/* What the request counts against its account's limit. */
static double cost_of(const struct call_head *call,
		      const struct directory_account *a)
{
	if (!a->limit_in_tokens)
		return 1;
	if (!call->prompt.present)
		return a->default_cost_tokens;
	return (double)call->prompt.prompt_tokens +
	       call->prompt.output_max_tokens;
}

static bool within_limit(struct gateway *g, struct h1_conn *c,
			 const struct call_head *call,
			 const struct directory_account *a)
{
	double cost, wait_s;
	char fields[64];

	if (!a)
		return true;
	cost = cost_of(call, a);
	if (ratelimit_consume(&g->ratelimit, a->name, cost, gateway_now_us(g)))
		return true;
	wait_s = ratelimit_wait_s(&g->ratelimit, a->name, cost,
				  gateway_now_us(g));
	logline(LOG_INFO, "over_limit",
		"request=%s account=%s cost=%.0f rate_per_s=%.0f burst=%.0f "
		"wait_ms=%.0f hosts=%u config=%lld",
		call->id, a->name, cost, a->rate_per_s, a->burst, wait_s * 1000,
		g->fleet.hosts, (long long)g->directory->version);
	snprintf(fields, sizeof(fields), "Retry-After: %.2f\r\n",
		 wait_s > 0.05 ? wait_s : 0.05);
	turn_away(g, c, call->id, 429, STATS_REFUSED_LIMIT, fields,
		  "over the account's limit");
	return false;
}

static struct req *run_new(struct gateway *g, struct h1_conn *c,
			   const struct call_head *call)
{
	struct req *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->g = g;
	r->conn = c;
	r->call = *call;
	r->directory = directory_ref(g->directory);
	r->received_us = gateway_now_us(g);
	sse_init(&r->events);
	c->user_data = r;
	TAILQ_INSERT_TAIL(&g->reqs, r, entry);
	g->n_reqs++;
	ev_timer_init(&r->deadline_timer, on_limit, 0., 0.);
	ev_timer_init(&r->step_timer, on_step_timer, 0., 0.);
	r->deadline_timer.data = r->step_timer.data = r;
	return r;
}

/* Sets when the request is given up: its caller's deadline or the route's. */
static void set_limit(struct req *r)
{
	int64_t after_us = LIMIT_MAX_US;

	if (r->call.deadline_ms && r->call.deadline_ms * 1000LL < after_us)
		after_us = r->call.deadline_ms * 1000LL;
	if (r->route->timeout_ms && r->route->timeout_ms * 1000LL < after_us)
		after_us = r->route->timeout_ms * 1000LL;
	r->deadline_us = r->received_us + after_us;
	ev_timer_set(&r->deadline_timer,
		     (double)(after_us + LIMIT_MARGIN_US) / 1e6, 0.);
	ev_timer_start(r->g->loop, &r->deadline_timer);
}

static void start(struct gateway *g, struct h1_conn *c,
		  const struct call_head *call,
		  const struct directory_route *route,
		  const struct directory_account *account)
{
	const char *service = directory_pick_service(route, gateway_random(g));
	struct req *r = run_new(g, c, call);

	if (!r) {
		turn_away(g, c, call->id, 503, STATS_REFUSED_FULL,
			  "Retry-After: 1\r\n", "out of memory");
		return;
	}
	r->route = route;
	r->account = account;
	r->cost = account ? cost_of(call, account) : 0;
	r->service = service ? directory_find_service(r->directory, service)
			     : NULL;
	if (r->service && r->service->engine.present)
		r->estimated_work = pools_estimate_work(r);
	set_limit(r);
	if (!r->service) {
		req_refuse(r, "the route's service is not declared");
		return;
	}
	ratelimit_retry_deposit(&g->retry_budgets, r->service->name,
				g->fleet.hosts, r->received_us);
	req_advance(r);
}

/* A caller's whole request is here. */
void req_on_request(void *ctx, struct h1_conn *c)
{
	struct gateway *g = ctx;
	const struct directory_account *account = NULL;
	const struct directory_route *route;
	const char *why = "";
	struct call_head call;

	stats_add(&g->stats, STATS_REQUESTS, 1);
	if (adapter_read_call(&c->request.head, &call, &why) < 0) {
		turn_away(g, c, call.id, 400, STATS_REJECTED, NULL, why);
		return;
	}
	if (!gateway_accepts_requests(g)) {
		turn_away(g, c, call.id, 503, STATS_REFUSED_FULL,
			  "Retry-After: 0.05\r\n", "this host is stopping");
		return;
	}
	if (!g->directory) {
		turn_away(g, c, call.id, 503, STATS_REFUSED_FULL,
			  "Retry-After: 0.5\r\n", "no configuration yet");
		return;
	}
	route = directory_find_route(g->directory, call.host, call.path);
	if (!route) {
		turn_away(g, c, call.id, 404, STATS_REFUSED_UNKNOWN, NULL,
			  "no route");
		return;
	}
	if (g->directory->n_accounts)
		account = directory_find_account(g->directory, call.key);
	if (g->directory->n_accounts && !account && !route->anonymous) {
		turn_away(g, c, call.id, 401, STATS_REFUSED_UNKNOWN, NULL,
			  "unknown key");
		return;
	}
	if (crash_is_blocked(g, &call, account, &c->request.body)) {
		turn_away(g, c, call.id, 503, STATS_REFUSED_BLOCKED,
			  "Retry-After: 60\r\n", "crashes endpoints");
		return;
	}
	if (within_limit(g, c, &call, account))
		start(g, c, &call, route, account);
}

/* The caller left: everything that runs for it ends. */
void req_on_disconnect(void *ctx, struct h1_conn *c)
{
	struct gateway *g = ctx;
	struct req *r = c->user_data;

	if (!r)
		return;
	stats_add(&g->stats, STATS_DISCONNECTED, 1);
	log_end(r, "caller_gone", r->status, "");
	if (!may_have_run(r))
		give_back(r);
	req_free(r);
}
