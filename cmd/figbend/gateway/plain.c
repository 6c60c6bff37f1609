#include "req.h"

#include <string.h>

#include "logline.h"

/*
 * Requests to services beside the model engines: one endpoint, one answer. A
 * request that may be repeated is sent again after a failure; one that may run
 * once is sent again only if it surely did not run.
 */

/* A request that waits is refused when this share of its target is over. */
#define WAIT_TARGETS 1.5
/* An endpoint that does not answer a repeatable request within so many of its
 * targets is given up. */
#define PATIENCE_TARGETS 3
/* Most of an endpoint's answer that is kept until it is whole. */
#define ANSWER_MAX_BYTES 8388608

static void failed(struct req *r, enum fleet_outcome outcome, bool may_have_run,
		   const char *reason);

/* An endpoint's answer begins. */
static enum h1_verdict on_head(void *ctx, const struct h1_head *h)
{
	struct req *r = ctx;
	struct call_response a;

	adapter_read_response(h, &a);
	if (a.request_id && strcmp(a.request_id, r->call.id) != 0) {
		stats_add(&r->g->stats, STATS_RESPONSES_MISMATCHED, 1);
		logline(LOG_WARNING, "answer_foreign",
			"request=%s endpoint=%s answers=%s", r->call.id,
			r->endpoint->entry.id, a.request_id);
		return H1_DISCARD;
	}
	if (a.has_load)
		fleet_record_load(r->endpoint, a.running, a.waiting,
				  gateway_now_us(r->g));
	r->status = h->status;
	r->not_executed = a.not_executed;
	r->has_signature = a.signature && !a.encoded;
	h1_buf_finish(&r->fields);
	h1_buf_finish(&r->body);
	adapter_write_response_fields(h, &r->fields);
	return H1_ACCEPT;
}

static void on_body(void *ctx, const void *p, size_t n)
{
	struct req *r = ctx;

	if (h1_buf_len(&r->body) + n > ANSWER_MAX_BYTES) {
		h1_exchange_cancel(&r->exchange);
		failed(r, FLEET_FAILED, true, "answer too large");
		return;
	}
	h1_buf_append(&r->body, p, n);
}

static void on_end(void *ctx, enum h1_outcome end, const char *reason)
{
	struct req *r = ctx;
	int64_t now_us = gateway_now_us(r->g);

	req_set_step_timer(r, 0);
	if (end == H1_NOT_SENT) {
		failed(r, FLEET_CONNECT_FAILED, false, reason);
	} else if (end != H1_COMPLETE) {
		failed(r, FLEET_FAILED, true, reason);
	} else if (r->not_executed) {
		failed(r,
		       r->status == 421 ? FLEET_MISDIRECTED : FLEET_OVERLOADED,
		       false,
		       r->status == 421 ? "another endpoint" : "endpoint full");
	} else if (!r->has_signature) {
		failed(r, FLEET_FAILED, true, "answer without signature");
	} else {
		fleet_record_outcome(r->endpoint, FLEET_SUCCESS,
				     now_us - r->sent_us, now_us);
		req_complete(r);
	}
}

static const struct h1_exchange_handlers handlers = {on_head, on_body, on_end};

/* A send failed: goes to another endpoint if that is allowed, or ends. */
static void failed(struct req *r, enum fleet_outcome outcome, bool may_have_run,
		   const char *reason)
{
	int64_t now_us = gateway_now_us(r->g);

	logline(LOG_INFO, "send_failed",
		"request=%s endpoint=%s why=\"%s\" may_have_run=%d "
		"took_ms=%lld "
		"running=%u load_age_ms=%lld",
		r->call.id, r->endpoint->entry.id, reason, may_have_run,
		(long long)(now_us - r->sent_us) / 1000, r->endpoint->running,
		(long long)(now_us - r->endpoint->load_us) / 1000);
	fleet_record_outcome(r->endpoint, outcome, now_us - r->sent_us, now_us);
	if (outcome == FLEET_FAILED && may_have_run)
		crash_add_candidate(r);
	req_exclude_endpoint(r, r->endpoint);
	req_detach_endpoint(r);
	if (outcome != FLEET_CONNECT_FAILED)
		r->sends++;
	if (may_have_run)
		r->executions++;
	if (may_have_run && (!req_may_execute_again(r) ||
			     r->executions >= r->route->attempts_max)) {
		req_fail(r, 502, reason);
		return;
	}
	if (r->sends && !req_consume_retry(r)) {
		req_refuse(r, reason);
		return;
	}
	req_advance(r);
}

/* Sends the request to the endpoint that seems best. */
void plain_advance(struct req *r)
{
	struct gateway *g = r->g;
	struct fleet_query want = {
		.service = r->service->name,
		.stage = FLEET_PLAIN,
		.cold_requests_per_s = r->service->cold_requests_per_s,
		.n_excluded = r->n_excluded,
	};
	int64_t now_us = gateway_now_us(g), patience_us;
	enum fleet_result why;
	struct fleet_endpoint *e;

	memcpy(want.excluded, r->excluded, sizeof(want.excluded));
	e = fleet_choose(&g->fleet, &want, now_us, &why);
	if (!e && r->n_excluded) {
		want.n_excluded = 0;
		e = fleet_choose(&g->fleet, &want, now_us, &why);
	}
	if (!e) {
		if ((double)(now_us - r->received_us) >
		    WAIT_TARGETS * 1000. * r->route->target_latency_ms)
			req_refuse_no_endpoint(
				r, why == FLEET_NO_ENDPOINT
					   ? "no endpoint"
					   : "no endpoint that works");
		else
			req_enqueue(r);
		return;
	}
	r->endpoint = fleet_ref(e);
	r->counted = true;
	r->step = REQ_SENT;
	fleet_request_start(e, 0, 0, now_us);
	if (req_send(r, e, CALL_FULL, &handlers) < 0) {
		failed(r, FLEET_CONNECT_FAILED, false, "no socket");
		return;
	}
	patience_us = PATIENCE_TARGETS * 1000LL * r->route->target_latency_ms;
	if (r->route->kind == CALL_IDEMPOTENT &&
	    r->executions + 1 < r->route->attempts_max &&
	    req_remaining_us(r) > 2 * patience_us)
		req_set_step_timer(r, patience_us);
}

/* The endpoint has not answered a request that may be repeated. */
void plain_timeout(struct req *r)
{
	bool sent = h1_exchange_sent(&r->exchange);

	if (!ratelimit_retry_available(&r->g->retry_budgets, r->service->name))
		return;
	h1_exchange_cancel(&r->exchange);
	failed(r, FLEET_TIMED_OUT, sent, "no answer in time");
}
