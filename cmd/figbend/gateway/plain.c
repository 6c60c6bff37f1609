#include "req.h"

#include <string.h>

#include "logline.h"

/*
 * Requests to plain services, which are not model engines. The endpoint's
 * response is buffered until it is complete, so that a failed attempt can be
 * retried. A non-idempotent request is retried only if certainly no endpoint
 * executed it.
 */

/* A waiting request is refused after this many latency targets of its route. */
#define WAIT_MAX_TARGETS 1.5
/* An attempt of an idempotent request times out after this many latency targets
 * of its route. */
#define ATTEMPT_TIMEOUT_TARGETS 3
/* Time between checks whether another endpoint can take the request by then. */
#define RETRY_CHECK_US 100000LL

static void attempt_failed(struct req *r, const struct plain_result *result);

static void fail_exchange(struct req *r, const char *reason)
{
	struct plain_result result = {FLEET_FAILED, true, reason};

	h1_exchange_cancel(&r->exchange);
	req_set_step_timer(r, 0);
	attempt_failed(r, &result);
}

static enum h1_verdict on_head(void *ctx, const struct h1_head *h)
{
	struct req *r = ctx;
	struct call_response response;

	switch (req_read_answer(r, r->endpoint, h, &response)) {
	case REQ_ANSWER_OWN:
		break;
	case REQ_ANSWER_FOREIGN:
		return H1_DISCARD;
	case REQ_ANSWER_UNKNOWN:
		fail_exchange(r, REQ_UNKNOWN_REASON);
		return H1_DISCARD;
	}
	r->answer_began = true;
	r->has_signature = response.signature && !response.encoded;
	h1_buf_finish(&r->fields);
	req_drop_response(r);
	adapter_write_response_fields(h, &r->fields);
	return H1_ACCEPT;
}

static void on_body(void *ctx, const void *p, size_t n)
{
	struct req *r = ctx;
	const char *reason = req_buffer_response(r, p, n);

	if (reason)
		fail_exchange(r, reason);
}

/* See req.h. */
struct plain_result plain_judge(const struct plain_response *p,
				enum h1_outcome outcome, const char *reason)
{
	/* The head says it, whatever becomes of the body. */
	bool not_executed = p->not_executed && (outcome == H1_COMPLETE ||
						outcome == H1_INCOMPLETE);

	if (outcome == H1_NOT_SENT)
		return (struct plain_result){FLEET_CONNECT_FAILED, false,
					     reason};
	if (outcome != H1_COMPLETE && !not_executed)
		return (struct plain_result){FLEET_FAILED, true, reason};
	if (not_executed && p->status == 421)
		return (struct plain_result){
			FLEET_MISDIRECTED, false,
			"another endpoint responded at the address"};
	if (not_executed)
		return (struct plain_result){
			FLEET_OVERLOADED, false,
			"endpoint did not execute the request"};
	if (!p->has_signature)
		return (struct plain_result){
			FLEET_FAILED, true,
			"response without the endpoint's signature"};
	return (struct plain_result){FLEET_SUCCESS, true, ""};
}

/* See req.h. */
bool plain_may_have_crashed(enum h1_outcome outcome,
			    const struct plain_result *result)
{
	return (outcome == H1_INCOMPLETE || outcome == H1_NO_RESPONSE) &&
	       result->may_have_executed;
}

static void on_end(void *ctx, enum h1_outcome outcome, const char *reason)
{
	struct req *r = ctx;
	struct plain_response response = {r->status, r->not_executed,
					  r->has_signature};
	struct plain_result result = plain_judge(&response, outcome, reason);
	int64_t now_us = gateway_now_us(r->g);

	req_set_step_timer(r, 0);
	if (plain_may_have_crashed(outcome, &result))
		crash_charge(r, r->endpoint);
	if (result.outcome != FLEET_SUCCESS) {
		attempt_failed(r, &result);
		return;
	}
	fleet_record_outcome(r->endpoint, FLEET_SUCCESS, now_us - r->sent_us,
			     now_us);
	crash_acquit(r);
	rollouts_record_answer(r, r->endpoint);
	hedge_observe_first(r);
	hedge_finish(r, HEDGE_FIRST_WON);
	req_complete(r);
}

const struct h1_exchange_handlers plain_handlers = {on_head, on_body, on_end};

/* See req.h. */
void plain_record_failure(struct req *r, struct fleet_endpoint *e,
			  const struct plain_result *result, int64_t sent_us)
{
	int64_t now_us = gateway_now_us(r->g);

	logline(LOG_INFO, "send_failed",
		"request=%s endpoint=%s why=\"%s\" may_have_run=%d "
		"took_ms=%lld running=%u load_age_ms=%lld",
		r->call.id, e->entry.id, result->reason,
		result->may_have_executed, (long long)(now_us - sent_us) / 1000,
		e->running, (long long)(now_us - e->load_us) / 1000);
	fleet_record_outcome(e, result->outcome, now_us - sent_us, now_us);
	rollouts_record_failure(r, e, result->outcome);
	req_exclude_endpoint(r, e);
	if (result->outcome != FLEET_CONNECT_FAILED)
		r->failed_attempts++;
	if (result->may_have_executed)
		r->executions++;
}

/* Records a failed attempt, and goes on with another one or ends the request. */
static void attempt_failed(struct req *r, const struct plain_result *result)
{
	plain_record_failure(r, r->endpoint, result, r->sent_us);
	req_drop_response(r);
	req_detach_endpoint(r);
	if (!hedge_take_over(r))
		plain_retry(r, result);
}

/* See req.h. */
void plain_retry(struct req *r, const struct plain_result *result)
{
	if (result->may_have_executed &&
	    (!req_may_execute_again(r) ||
	     r->executions >= r->route->attempts_max)) {
		req_fail(r, 502, result->reason);
		return;
	}
	/* What was not sent leaves its retry, if it was one, to the next. */
	if (result->outcome != FLEET_CONNECT_FAILED && !req_consume_retry(r)) {
		req_refuse(r, result->reason);
		return;
	}
	req_advance(r);
}

/* See req.h. */
void plain_fill_query(struct req *r, struct fleet_query *query)
{
	*query = (struct fleet_query){
		.service = r->service->name,
		.stage = FLEET_PLAIN,
		.cold_requests_per_s = r->service->cold_requests_per_s,
		.n_excluded = r->n_excluded,
	};
	memcpy(query->excluded, r->excluded, sizeof(query->excluded));
	heartbeat_update_loads(r->g);
	rollouts_fill_query(r, query);
}

static int64_t attempt_timeout_us(const struct req *r)
{
	return ATTEMPT_TIMEOUT_TARGETS * 1000LL * r->route->target_latency_ms;
}

/* See req.h. A time-out helps only if a retry is allowed and has as much time. It
 * counts from when the attempt was sent, also after the end of a hedge. */
void plain_start_timeout(struct req *r)
{
	int64_t ran_us = gateway_now_us(r->g) - r->sent_us,
		after_us = attempt_timeout_us(r) - ran_us;

	if (r->route->kind == CALL_IDEMPOTENT &&
	    r->executions + 1 < r->route->attempts_max &&
	    req_remaining_us(r) + ran_us > 2 * attempt_timeout_us(r))
		req_set_step_timer(r, after_us > 0 ? after_us : 1);
}

void plain_advance(struct req *r)
{
	struct gateway *g = r->g;
	int64_t now_us = gateway_now_us(g), may_wait_us;
	struct fleet_query query;
	enum fleet_result result;
	struct fleet_endpoint *e;
	static const struct plain_result no_socket = {
		FLEET_CONNECT_FAILED, false, "cannot open a socket"};

	plain_fill_query(r, &query);
	e = fleet_choose(&g->fleet, &query, now_us, &result);
	/* An endpoint that failed once is better than none. */
	if (!e && r->n_excluded) {
		query.n_excluded = 0;
		e = fleet_choose(&g->fleet, &query, now_us, &result);
	}
	if (!e) {
		may_wait_us = (int64_t)(WAIT_MAX_TARGETS * 1000. *
					r->route->target_latency_ms) -
			      (now_us - r->received_us);
		if (req_refuse_if_unservable(r, &query, may_wait_us))
			return;
		if (may_wait_us < 0)
			req_refuse_no_endpoint(
				r,
				result == FLEET_NO_ENDPOINT
					? "no endpoint of the service is usable"
					: "all endpoints are ejected or full");
		else
			req_enqueue(r);
		return;
	}
	r->endpoint = fleet_ref(e);
	r->counted = true;
	r->step = REQ_SENT;
	fleet_request_start(e, 0, 0);
	if (req_send(r, e, CALL_FULL, &plain_handlers) < 0) {
		attempt_failed(r, &no_socket);
		return;
	}
	plain_start_timeout(r);
	hedge_watch(r);
}

void plain_timeout(struct req *r)
{
	struct plain_result result = {FLEET_TIMED_OUT,
				      h1_exchange_sent(&r->exchange),
				      "attempt timed out"};
	struct fleet_query query;

	plain_fill_query(r, &query);
	if (!req_may_move(r, &query)) {
		if (req_remaining_us(r) > attempt_timeout_us(r))
			req_set_step_timer(r, RETRY_CHECK_US);
		return;
	}
	h1_exchange_cancel(&r->exchange);
	hedge_observe_first(r);
	attempt_failed(r, &result);
}
