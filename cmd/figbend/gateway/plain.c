#include "run.h"

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

static void failed(struct run *r, enum fleet_outcome outcome, bool may_have_run,
		   const char *reason);

/* An endpoint's answer begins. */
static enum h1_verdict on_head(void *ctx, const struct h1_head *h)
{
	struct run *r = ctx;
	struct call_answer a;

	adapter_read_answer(h, &a);
	if (a.id && strcmp(a.id, r->call.id) != 0) {
		stats_add(&r->g->stats, STATS_answers_foreign, 1);
		logline(LOG_WARNING, "answer_foreign",
			"request=%s endpoint=%s answers=%s", r->call.id,
			r->endpoint->says.id, a.id);
		return H1_SKIP;
	}
	if (a.has_load)
		fleet_load(r->endpoint, a.running, a.waiting,
			   gateway_now_us(r->g));
	r->status = h->status;
	r->not_run = a.not_run;
	r->signature = a.signature && !a.encoded;
	h1_buf_finish(&r->fields);
	h1_buf_finish(&r->body);
	adapter_answer_fields(h, &r->fields);
	return H1_TAKE;
}

static void on_body(void *ctx, const void *p, size_t n)
{
	struct run *r = ctx;

	if (h1_buf_bytes(&r->body) + n > ANSWER_MAX_BYTES) {
		h1_exchange_cancel(&r->exchange);
		failed(r, FLEET_FAILED, true, "answer too large");
		return;
	}
	h1_buf_add(&r->body, p, n);
}

static void on_end(void *ctx, enum h1_end end, const char *reason)
{
	struct run *r = ctx;
	int64_t now_us = gateway_now_us(r->g);

	run_step_timer(r, 0);
	if (end == H1_NOT_SENT) {
		failed(r, FLEET_NO_CONNECTION, false, reason);
	} else if (end != H1_WHOLE) {
		failed(r, FLEET_FAILED, true, reason);
	} else if (r->not_run) {
		failed(r, r->status == 421 ? FLEET_WRONG : FLEET_SHED, false,
		       r->status == 421 ? "another endpoint" : "endpoint full");
	} else if (!r->signature) {
		failed(r, FLEET_FAILED, true, "answer without signature");
	} else {
		fleet_outcome(r->endpoint, FLEET_GOOD, now_us - r->sent_us,
			      now_us);
		run_deliver(r);
	}
}

static const struct h1_exchange_handlers handlers = {on_head, on_body, on_end};

/* A send failed: goes to another endpoint if that is allowed, or ends. */
static void failed(struct run *r, enum fleet_outcome outcome, bool may_have_run,
		   const char *reason)
{
	int64_t now_us = gateway_now_us(r->g);

	logline(LOG_INFO, "send_failed",
		"request=%s endpoint=%s why=\"%s\" may_have_run=%d "
		"took_ms=%lld "
		"running=%u load_age_ms=%lld",
		r->call.id, r->endpoint->says.id, reason, may_have_run,
		(long long)(now_us - r->sent_us) / 1000, r->endpoint->running,
		(long long)(now_us - r->endpoint->load_us) / 1000);
	fleet_outcome(r->endpoint, outcome, now_us - r->sent_us, now_us);
	if (outcome == FLEET_FAILED && may_have_run)
		suspects_broken(r);
	run_tried(r, r->endpoint);
	run_leave_endpoint(r);
	if (outcome != FLEET_NO_CONNECTION)
		r->sends++;
	if (may_have_run)
		r->ran++;
	if (may_have_run &&
	    (!run_may_repeat(r) || r->ran >= r->route->attempts)) {
		run_fail(r, 502, reason);
		return;
	}
	if (r->sends && !run_spend_again(r)) {
		run_refuse(r, reason);
		return;
	}
	run_advance(r);
}

/* Sends the request to the endpoint that seems best. */
void plain_advance(struct run *r)
{
	struct gateway *g = r->g;
	struct fleet_want want = {
		.service = r->service->name,
		.stage = FLEET_PLAIN,
		.cold_per_s = r->service->cold_per_s,
		.n_not_on = r->n_tried,
	};
	int64_t now_us = gateway_now_us(g), patience_us;
	enum fleet_none why;
	struct fleet_endpoint *e;

	memcpy(want.not_on, r->tried, sizeof(want.not_on));
	e = fleet_choose(&g->fleet, &want, now_us, &why);
	if (!e && r->n_tried) {
		want.n_not_on = 0;
		e = fleet_choose(&g->fleet, &want, now_us, &why);
	}
	if (!e) {
		if ((double)(now_us - r->read_us) >
		    WAIT_TARGETS * 1000. * r->route->target_ms)
			run_starve(r, why == FLEET_NONE_LISTED
					      ? "no endpoint"
					      : "no endpoint that works");
		else
			run_wait(r);
		return;
	}
	r->endpoint = fleet_ref(e);
	r->counted = true;
	r->step = RUN_SENT;
	fleet_started(e, 0, 0, now_us);
	if (run_send(r, e, CALL_WHOLE, &handlers) < 0) {
		failed(r, FLEET_NO_CONNECTION, false, "no socket");
		return;
	}
	patience_us = PATIENCE_TARGETS * 1000LL * r->route->target_ms;
	if (r->route->kind == CALL_REPEATABLE &&
	    r->ran + 1 < r->route->attempts && run_left_us(r) > 2 * patience_us)
		run_step_timer(r, patience_us);
}

/* The endpoint has not answered a request that may be repeated. */
void plain_timeout(struct run *r)
{
	bool sent = h1_exchange_sent(&r->exchange);

	if (!share_budget_left(&r->g->budgets, r->service->name))
		return;
	h1_exchange_cancel(&r->exchange);
	failed(r, FLEET_SILENT, sent, "no answer in time");
}
