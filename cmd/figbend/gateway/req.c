#include "req.h"

#include <stdlib.h>
#include <string.h>

#include "logline.h"

/* Interval at which waiting requests are advanced if nothing else does it. */
#define WAITING_INTERVAL_S 0.02
/* An endpoint may respond right at the deadline; its response can arrive this
 * much later. */
#define DEADLINE_MARGIN_US 60000LL
/* Responses that are being received, or were not sent yet, may use an eighth of
 * memory_mb; while buffers grow, the allocator keeps as much again. */
#define RESPONSE_MEMORY_DIVISOR 8
/* A response that takes no more memory goes on while all together take too much:
 * engines that send without end fail, and sound ones beside them do not. */
#define RESPONSE_SMALL_BYTES 16384
/* Longest deadline; also the default. */
#define DEADLINE_MAX_US 60000000LL
/* Retry-After of a refused request. Whether a failing plain service works again
 * is known within a moment; a model engine frees memory as streams of some
 * seconds end. */
#define RETRY_AFTER_PLAIN_S 0.3
#define RETRY_AFTER_POOLS_S 2.5
#define BLOCKED_REASON "blocked: the request or a part of it crashes endpoints"
/* Other hosts accept the request at once. */
#define RETRY_AFTER_STOPPING_S 0.05
#define STOPPING_REASON "this host is stopping"

/* Values of step= in the log. */
static const char *const step_names[] = {
	[REQ_WAITING] = "wait",
	[REQ_RESERVING] = "hold",
	[REQ_PREFILLING] = "prefill",
	[REQ_SENT] = "sent",
};

int64_t req_remaining_us(const struct req *r)
{
	return r->deadline_us - gateway_now_us(r->g);
}

bool req_may_execute_again(const struct req *r)
{
	if (r->route->kind == CALL_IDEMPOTENT)
		return !r->response_started;
	return r->route->kind == CALL_STREAM && r->route->resumable;
}

bool req_may_move(struct req *r, struct fleet_query *query)
{
	struct gateway *g = r->g;
	int64_t now_us = gateway_now_us(g);
	enum fleet_result result;

	if (!req_may_execute_again(r) ||
	    r->executions + 1 >= r->route->attempts_max ||
	    !ratelimit_retry_available(&g->retry_budgets, r->service->name,
				       g->fleet.hosts, now_us) ||
	    crash_blocked_us(g, &r->call, r->account, &r->conn->request.body))
		return false;
	if (query->n_excluded < REQ_EXCLUDED_MAX)
		query->excluded[query->n_excluded++] = r->endpoint;
	return fleet_choose(&g->fleet, query, now_us, &result) != NULL;
}

/* Returns true if an endpoint may have executed the request, or may yet. */
static bool may_have_executed(const struct req *r)
{
	return r->executions || r->response_started || hedge_was_sent(r) ||
	       (r->step == REQ_SENT && h1_exchange_sent(&r->exchange));
}

void req_exclude_endpoint(struct req *r, struct fleet_endpoint *e)
{
	if (r->n_excluded < REQ_EXCLUDED_MAX)
		r->excluded[r->n_excluded++] = fleet_ref(e);
}

void req_set_step_timer(struct req *r, int64_t after_us)
{
	ev_timer_stop(r->g->loop, &r->step_timer);
	if (after_us <= 0)
		return;
	ev_timer_set(&r->step_timer, (double)after_us / 1e6, 0.);
	ev_timer_start(r->g->loop, &r->step_timer);
}

void req_detach_endpoint(struct req *r)
{
	if (r->endpoint && r->counted)
		fleet_request_end(r->endpoint, r->counted_tokens);
	fleet_unref(r->endpoint);
	r->endpoint = NULL;
	r->counted = false;
}

void req_free(struct req *r)
{
	struct gateway *g = r->g;
	uint32_t i;

	pools_release(r);
	hedge_finish(r, HEDGE_REQUEST_ENDED);
	h1_exchange_cancel(&r->exchange);
	req_detach_endpoint(r);
	fleet_unref(r->prefill_endpoint);
	for (i = 0; i < r->n_excluded; i++)
		fleet_unref(r->excluded[i]);
	ev_timer_stop(g->loop, &r->deadline_timer);
	ev_timer_stop(g->loop, &r->step_timer);
	if (r->is_waiting) {
		TAILQ_REMOVE(&g->waiting, r, waiting_entry);
		g->n_waiting--;
	}
	TAILQ_REMOVE(&g->reqs, r, entry);
	g->n_reqs--;
	h1_buf_finish(&r->fields);
	sse_finish(&r->events);
	req_drop_response(r);
	directory_unref(r->directory);
	free(r);
	/* The capacity that is free now may suffice for a waiting request. */
	if (g->n_waiting)
		ev_feed_event(g->loop, &g->waiting_timer, EV_CUSTOM);
}

/* Returns true if the request ends early because this host does. */
static bool ends_with_host(const struct req *r)
{
	return r->deadline_us == drain_deadline_us(&r->g->drain);
}

/* Writes the one log line that every request ends with. */
static void log_end(const struct req *r, const char *outcome, uint16_t status,
		    const char *reason)
{
	int64_t now_us = gateway_now_us(r->g);

	logline(LOG_INFO, "request_end",
		"request=%s outcome=%s status=%u why=\"%s\" step=%s route=%s "
		"service=%s account=%s endpoint=%s took_ms=%lld left_ms=%lld "
		"sends=%u ran=%u resumes=%u events=%llu gap_ms=%lld prompt=%u "
		"out_max=%u out_likely=%u wasted_tokens=%u wasted_by=%s "
		"config=%lld",
		r->call.id, outcome, status, reason, step_names[r->step],
		r->route->name, r->service ? r->service->name : "-",
		r->account ? r->account->name : "-",
		r->endpoint ? r->endpoint->entry.id : "-",
		(long long)(now_us - r->received_us) / 1000,
		(long long)req_remaining_us(r) / 1000, r->failed_attempts,
		r->executions, r->resumes,
		(unsigned long long)r->events.n_events,
		(long long)r->max_gap_us / 1000, r->call.prompt.prompt_tokens,
		r->call.prompt.output_max_tokens,
		r->call.prompt.output_expected_tokens, r->wasted_tokens,
		r->wasted_by ? r->wasted_by : "-",
		(long long)r->directory->version);
}

bool req_responses_are_full(const struct gateway *g)
{
	return g->response_bytes + g->callers.unsent_bytes >
	       (uint64_t)g->settings->memory_mb * 1048576 /
		       RESPONSE_MEMORY_DIVISOR;
}

/* The memory that buffers take counts, which is up to twice their content. */
const char *req_count_response(struct req *r)
{
	size_t n = r->body.capacity + r->events.partial.capacity +
		   hedge_response_bytes(r);

	r->g->response_bytes += n - r->response_bytes;
	r->response_bytes = n;
	return n > RESPONSE_SMALL_BYTES && req_responses_are_full(r->g)
		       ? "too many large responses at once"
		       : NULL;
}

const char *req_buffer_response(struct req *r, const void *p, size_t n)
{
	if (h1_buf_len(&r->body) + n >
	    r->g->settings->response_max_kb * 1024ULL)
		return "response body larger than response_max_kb";
	if (h1_buf_append(&r->body, p, n) < 0)
		return "out of memory";
	return req_count_response(r);
}

void req_drop_response(struct req *r)
{
	h1_buf_finish(&r->body);
	req_count_response(r);
}

void req_waste_prompt(struct req *r, enum stats_counter cause)
{
	if (!r->prompt_processed)
		return;
	r->prompt_processed = false;
	r->wasted_tokens += r->call.prompt.prompt_tokens;
	r->wasted_by = stats_counter_name(cause);
	stats_add(&r->g->stats, cause, r->call.prompt.prompt_tokens);
}

/* Returns why a prompt was processed in vain, cause if it was not for time. */
static enum stats_counter waste_cause(const struct req *r,
				      enum stats_counter cause)
{
	if (req_remaining_us(r) > 0)
		return cause;
	return ends_with_host(r) ? STATS_WASTED_STOPPED : STATS_WASTED_DEADLINE;
}

/* Refunds the cost of a request that no endpoint executed. */
static void refund(struct req *r)
{
	if (r->account)
		ratelimit_refund(&r->g->ratelimit, r->account->name, r->cost);
}

void req_refuse(struct req *r, const char *reason)
{
	double after_s = r->service && r->service->engine.present
				 ? RETRY_AFTER_POOLS_S
				 : RETRY_AFTER_PLAIN_S;
	char fields[64];

	if (may_have_executed(r)) {
		req_fail(r, 502, reason);
		return;
	}
	req_waste_prompt(r, waste_cause(r, STATS_WASTED_NO_MEMORY));
	log_end(r, "refused", 503, reason);
	refund(r);
	stats_add(&r->g->stats, STATS_REFUSED_FULL, 1);
	if (r->retry_after_s > 0)
		after_s = r->retry_after_s;
	snprintf(fields, sizeof(fields), "Retry-After: %g\r\n", after_s);
	h1_respond(r->conn, 503, fields, NULL, 0);
	req_free(r);
}

bool req_refuse_if_blocked(struct req *r)
{
	int64_t blocked_us = crash_blocked_us(r->g, &r->call, r->account,
					      &r->conn->request.body);

	if (!blocked_us)
		return false;
	r->retry_after_s = (double)blocked_us / 1e6;
	req_refuse(r, BLOCKED_REASON);
	return true;
}

bool req_refuse_if_unservable(struct req *r, const struct fleet_query *query,
			      int64_t may_wait_us)
{
	int64_t wait_us =
		fleet_wait_us(&r->g->fleet, query, gateway_now_us(r->g));

	if (may_wait_us > req_remaining_us(r))
		may_wait_us = req_remaining_us(r);
	if (r->response_started || wait_us <= 0 || wait_us <= may_wait_us)
		return false;
	/* If all leave, it is not known when others come. */
	if (wait_us < DEADLINE_MAX_US)
		r->retry_after_s = (double)wait_us / 1e6;
	req_refuse(r, "all endpoints leave or want nothing for a time");
	return true;
}

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

void req_fail(struct req *r, uint16_t status, const char *reason)
{
	req_waste_prompt(r, waste_cause(r, STATS_WASTED_ENDPOINT));
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

void req_complete(struct req *r)
{
	int64_t took_us;

	log_end(r, "answered", r->status, "");
	stats_add(&r->g->stats, STATS_ANSWERED, 1);
	if (r->response_started) {
		stats_observe(&r->g->stats, STATS_EVENT_GAP_S, r->max_gap_us);
		drain_observe(&r->g->drain, r->first_event_us - r->received_us,
			      r->last_event_us - r->first_event_us,
			      r->events.n_events);
		h1_stream_end(r->conn);
	} else {
		took_us = gateway_now_us(r->g) - r->received_us;
		stats_observe(&r->g->stats, STATS_RESPONSE_S, took_us);
		if (r->route->kind != CALL_STREAM)
			drain_observe_call(&r->g->drain, took_us);
		h1_respond(r->conn, r->status, h1_buf_data(&r->fields),
			   h1_buf_data(&r->body), h1_buf_len(&r->body));
	}
	req_free(r);
}

/* Keeps the list in ascending order of estimated work, then of arrival. */
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

/* Refuses a request that this host has no time for before it stops. */
static void refuse_stopping(struct req *r)
{
	r->retry_after_s = RETRY_AFTER_STOPPING_S;
	req_refuse(r, STOPPING_REASON);
}

/* Ends a request whose deadline has passed. */
static void end_at_deadline(struct req *r)
{
	const char *reason = "deadline exceeded";

	if (ends_with_host(r))
		reason = STOPPING_REASON;
	else if (r->step == REQ_SENT && h1_exchange_sent(&r->exchange))
		rollouts_record_step_failure(r, r->endpoint, FLEET_TIMED_OUT);
	if (may_have_executed(r))
		req_fail(r, 504, reason);
	else if (ends_with_host(r))
		refuse_stopping(r);
	else
		req_refuse(r, reason);
}

void req_advance(struct req *r)
{
	if (req_remaining_us(r) <= 0) {
		end_at_deadline(r);
		return;
	}
	if (!may_have_executed(r) && !stop_leaves_time(r)) {
		refuse_stopping(r);
		return;
	}
	if (req_refuse_if_blocked(r))
		return;
	if (r->service && r->service->engine.present)
		pools_advance(r);
	else
		plain_advance(r);
}

static bool is_late(const struct req *r, int64_t now_us)
{
	return r->service->engine.present && pools_is_late(r, now_us);
}

/* Moves the requests that can no longer meet their target to late. */
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
 * Advances all waiting requests: first those that can still meet their target,
 * shortest job first, then the late ones. While capacity is short, this order
 * lets the most requests meet their target.
 */
void req_advance_waiting(struct gateway *g)
{
	struct reqs on_time = TAILQ_HEAD_INITIALIZER(on_time);
	struct reqs late = TAILQ_HEAD_INITIALIZER(late);

	TAILQ_CONCAT(&on_time, &g->waiting, waiting_entry);
	g->n_waiting = 0;
	move_late(&on_time, &late, gateway_now_us(g));
	advance_all(&on_time);
	advance_all(&late);
	if (!g->n_waiting)
		ev_timer_stop(g->loop, &g->waiting_timer);
}

static void on_waiting_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	req_advance_waiting(w->data);
}

void req_init(struct gateway *g)
{
	TAILQ_INIT(&g->reqs);
	TAILQ_INIT(&g->waiting);
	ev_timer_init(&g->waiting_timer, on_waiting_timer, 0.,
		      WAITING_INTERVAL_S);
	g->waiting_timer.data = g;
}

bool req_consume_retry(struct req *r)
{
	struct gateway *g = r->g;

	if (crash_admit_us(g, &r->call, r->account, &r->conn->request.body))
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

int req_send_on(struct req *r, struct h1_exchange *x, struct fleet_endpoint *e,
		enum call_phase phase, const struct h1_exchange_handlers *h)
{
	struct call_attempt attempt = {
		.phase = phase,
		.endpoint_id = e->entry.id,
		.account = r->account ? r->account->name : NULL,
		.priority = -1,
		.last_event_id = r->call.last_event_id,
	};
	struct h1_buf request = {0};
	int64_t remaining_us = req_remaining_us(r);
	int error;

	attempt.deadline_ms =
		(uint32_t)(remaining_us > 1000 ? remaining_us / 1000 : 1);
	if (phase != CALL_PREFILL && r->events.last_id >= 0)
		attempt.last_event_id = r->events.last_id;
	if (phase == CALL_FULL && r->prefill_endpoint &&
	    r->prefill_endpoint->listed)
		attempt.kv_fetch_addr = r->prefill_endpoint->entry.addr_text;
	if (phase == CALL_DECODE) {
		attempt.prefill_addr = r->prefill_endpoint->entry.addr_text;
		attempt.prefill_handle = r->prefill_handle;
	}
	if (phase != CALL_PREFILL && r->reservation[0])
		attempt.reservation = r->reservation;
	adapter_write_call(&request, &r->conn->request.head,
			   &r->conn->request.body, &attempt);
	x->no_body = h1_is_head_request(&r->conn->request.head);
	error = h1_exchange_start(&r->g->endpoints, x, &e->entry.addr,
				  h1_buf_data(&request), h1_buf_len(&request),
				  h, r);
	h1_buf_finish(&request);
	stats_add(&r->g->stats, STATS_SENDS, 1);
	rollouts_record_send(r, e);
	logline(LOG_DEBUG, "send",
		"request=%s endpoint=%s phase=%d deadline_ms=%u resume=%lld "
		"error=%d",
		r->call.id, e->entry.id, phase, attempt.deadline_ms,
		(long long)attempt.last_event_id, error);
	return error;
}

/* Calls for a reservation carry no request id. */
static enum req_answer identify(const struct req *r,
				const struct h1_exchange *x,
				const char *request_id)
{
	bool has_id = r->step != REQ_RESERVING;

	if (!request_id)
		return has_id && !h1_exchange_is_first(x) ? REQ_ANSWER_UNKNOWN
							  : REQ_ANSWER_OWN;
	return has_id && strcmp(request_id, r->call.id) == 0
		       ? REQ_ANSWER_OWN
		       : REQ_ANSWER_FOREIGN;
}

enum req_answer req_read_answer_on(struct req *r, struct h1_exchange *x,
				   struct fleet_endpoint *e,
				   const struct h1_head *h,
				   struct call_response *out)
{
	enum req_answer answer;

	adapter_read_response(h, out);
	answer = identify(r, x, out->request_id);
	if (answer != REQ_ANSWER_OWN) {
		stats_add(&r->g->stats, STATS_RESPONSES_MISMATCHED, 1);
		rollouts_record_foreign(r, e);
		logline(LOG_WARNING, "answer_foreign",
			"request=%s endpoint=%s step=%s answers=%s status=%u",
			r->call.id, e->entry.id, step_names[r->step],
			out->request_id ? out->request_id : "-", h->status);
		return answer;
	}
	notices_record(r->g, e, out, h->status, r->call.id);
	/* A second copy of a refusal cannot be told from one of the next
	 * attempt of the same request. */
	if (out->not_executed)
		h1_exchange_close_after(x);
	return REQ_ANSWER_OWN;
}

static void on_deadline(struct ev_loop *loop, ev_timer *w, int events)
{
	end_at_deadline(w->data);
}

static void on_step_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct req *r = w->data;

	if (r->service && r->service->engine.present)
		pools_timeout(r);
	else
		plain_timeout(r);
}

/* Responds to a request that is refused before a struct req exists for it. */
static void refuse_at_intake(struct gateway *g, struct h1_conn *c,
			     const char *id, uint16_t status,
			     enum stats_counter counter, const char *fields,
			     const char *reason)
{
	logline(LOG_INFO, "request_end",
		"request=%s outcome=refused status=%u why=\"%s\" step=intake "
		"config=%lld",
		id, status, reason,
		g->directory ? (long long)g->directory->version : -1LL);
	stats_add(&g->stats, counter, 1);
	h1_respond(c, status, fields, NULL, 0);
}

/*
 * Returns the cost of a request to its account's bucket: 1, or if the limit is
 * in tokens, the tokens of the prompt and of the longest output it allows.
 */
static double request_cost(const struct call_head *call,
			   const struct directory_account *a)
{
	if (!a->limit_in_tokens)
		return 1;
	if (!call->prompt.present)
		return a->default_cost_tokens;
	return (double)call->prompt.prompt_tokens +
	       call->prompt.output_max_tokens;
}

/* Charges the account, or responds with 429 and returns false. */
static bool charge_account(struct gateway *g, struct h1_conn *c,
			   const struct call_head *call,
			   const struct directory_account *a)
{
	double cost, wait_s;
	char fields[64];

	if (!a)
		return true;
	cost = request_cost(call, a);
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
	refuse_at_intake(g, c, call->id, 429, STATS_REFUSED_LIMIT, fields,
			 "account over its rate limit");
	return false;
}

static struct req *req_new(struct gateway *g, struct h1_conn *c,
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
	ev_timer_init(&r->deadline_timer, on_deadline, 0., 0.);
	ev_timer_init(&r->step_timer, on_step_timer, 0., 0.);
	r->deadline_timer.data = r->step_timer.data = r;
	return r;
}

/* Restarts the timer of the deadline. Requests end before this host does. */
static void start_deadline(struct req *r)
{
	int64_t last_us = drain_deadline_us(&r->g->drain);

	if (r->deadline_us > last_us)
		r->deadline_us = last_us;
	ev_timer_stop(r->g->loop, &r->deadline_timer);
	ev_timer_set(&r->deadline_timer,
		     (double)(req_remaining_us(r) + DEADLINE_MARGIN_US) / 1e6,
		     0.);
	ev_timer_start(r->g->loop, &r->deadline_timer);
}

/* Sets the deadline to the caller's or the route's, whichever is earlier. */
static void set_deadline(struct req *r)
{
	int64_t after_us = DEADLINE_MAX_US;

	if (r->call.deadline_ms && r->call.deadline_ms * 1000LL < after_us)
		after_us = r->call.deadline_ms * 1000LL;
	if (r->route->timeout_ms && r->route->timeout_ms * 1000LL < after_us)
		after_us = r->route->timeout_ms * 1000LL;
	r->deadline_us = r->received_us + after_us;
	start_deadline(r);
}

void req_stop_all(struct gateway *g)
{
	struct req *r;

	TAILQ_FOREACH(r, &g->reqs, entry)
	{
		start_deadline(r);
	}
}

/* Creates the request and starts its first step. */
static void start(struct gateway *g, struct h1_conn *c,
		  const struct call_head *call,
		  const struct directory_route *route,
		  const struct directory_account *account)
{
	const char *service = directory_pick_service(route, gateway_random(g));
	struct req *r = req_new(g, c, call);

	if (!r) {
		if (account)
			ratelimit_refund(&g->ratelimit, account->name,
					 request_cost(call, account));
		refuse_at_intake(g, c, call->id, 503, STATS_REFUSED_FULL,
				 "Retry-After: 1\r\n", "out of memory");
		return;
	}
	r->route = route;
	r->account = account;
	r->cost = account ? request_cost(call, account) : 0;
	r->service = service ? directory_find_service(r->directory, service)
			     : NULL;
	if (r->service && r->service->engine.present)
		r->estimated_work = pools_estimate_work(r);
	set_deadline(r);
	if (!r->service) {
		req_refuse(r, "service of the route is not declared");
		return;
	}
	if (!stop_accepts(r)) {
		refuse_stopping(r);
		return;
	}
	ratelimit_retry_deposit(&g->retry_budgets, r->service->name,
				g->fleet.hosts, r->received_us);
	req_advance(r);
}

/* Handles a request that was read completely. */
void req_on_request(void *ctx, struct h1_conn *c)
{
	struct gateway *g = ctx;
	const struct directory_account *account = NULL;
	const struct directory_route *route;
	const char *reason = "";
	struct call_head call;
	int64_t blocked_us;
	char fields[64];

	stats_add(&g->stats, STATS_REQUESTS, 1);
	if (adapter_read_call(&c->request.head, &call, &reason) < 0) {
		refuse_at_intake(g, c, call.id, 400, STATS_REJECTED, NULL,
				 reason);
		return;
	}
	if (!g->directory) {
		refuse_at_intake(g, c, call.id, 503, STATS_REFUSED_FULL,
				 "Retry-After: 0.5\r\n",
				 "no configuration received yet");
		return;
	}
	route = directory_find_route(g->directory, call.host, call.path);
	if (!route) {
		refuse_at_intake(g, c, call.id, 404, STATS_REFUSED_UNKNOWN,
				 NULL, "no route for host and path");
		return;
	}
	if (g->directory->n_accounts)
		account = directory_find_account(g->directory, call.key);
	if (g->directory->n_accounts && !account && !route->anonymous) {
		refuse_at_intake(g, c, call.id, 401, STATS_REFUSED_UNKNOWN,
				 NULL, "unknown API key");
		return;
	}
	blocked_us = crash_admit_us(g, &call, account, &c->request.body);
	if (blocked_us) {
		snprintf(fields, sizeof(fields), "Retry-After: %.2f\r\n",
			 (double)blocked_us / 1e6);
		refuse_at_intake(g, c, call.id, 503, STATS_REFUSED_BLOCKED,
				 fields, BLOCKED_REASON);
		return;
	}
	if (charge_account(g, c, &call, account))
		start(g, c, &call, route, account);
}

/* Handles a caller that disconnects before the end of its response. */
void req_on_disconnect(void *ctx, struct h1_conn *c)
{
	struct gateway *g = ctx;
	struct req *r = c->user_data;

	if (!r)
		return;
	stats_add(&g->stats, STATS_DISCONNECTED, 1);
	req_waste_prompt(r, STATS_WASTED_CALLER_GONE);
	log_end(r, "caller_gone", r->status, "");
	if (!may_have_executed(r))
		refund(r);
	req_free(r);
}
