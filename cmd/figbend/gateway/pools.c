#include "req.h"

#include <string.h>

#include "logline.h"

/*
 * Requests to model engines: memory is reserved at a decode endpoint, the prompt
 * is read at a prefill endpoint, and the decode endpoint takes the result over
 * and streams. A decode endpoint can read the prompt itself, at half the speed.
 */

/* From room at an endpoint to the first event, on a day without trouble. */
#define FIRST_EVENT_US 250000LL
/* Callers leave a stream without events after the longest of two seconds, four
 * targets and eight allowed pauses; a request waits until shortly before. */
#define PATIENCE_MIN_US 2000000LL
#define PATIENCE_TARGETS 4
#define PATIENCE_GAPS 8
#define PATIENCE_MARGIN_US 300000LL
/* Memory that late requests leave free for those that can be in time, as a
 * share of an endpoint's. */
#define LATE_RESERVE 0.25
/* A reservation answers from memory; longer means that the connection hangs. */
#define HOLD_TIMEOUT_US 200000LL
/* A reservation covers the prefill and the transfer. */
#define HOLD_MS 1500
/* Endpoints that are asked for room before the request waits again. */
#define HOLDS_A_TURN 3
/* A prefill takes 100 ms for 3,300 tokens, and waits for others before it. */
#define PREFILL_TIMEOUT_US 900000LL
/* A pause between events after which an endpoint is taken for dead; a stream
 * that can be resumed goes on elsewhere. */
#define GAP_DEAD_US 1300000LL
/* Of a stream, what its caller has not read; it is cut beyond. */
#define UNREAD_MAX_BYTES 262144
/* Memory goes by blocks; a stream may end in the middle of one. */
#define BLOCK_TOKENS 16
/* Runs at an endpoint are at different points, so that they do not take their
 * whole output's memory at once; more than this part of it stands idle. */
#define GROWTH_SHARE 0.45
/* A stream that outgrows what was counted for it counts as this much ahead of
 * what it has made: about half a second of it. */
#define AHEAD_TOKENS 64
/* A reservation asks for a part of it too: runs that are there grow meanwhile.
 * What hosts say of their runs accounts for that if it is fresh. */
#define HOLD_FRESH_S 0.2
#define HOLD_FRESH_SHARE 0.35
#define HOLD_OLD_S 0.6
#define HOLD_OLD_SHARE 1.0
/* Of outputs, half are longer than the caller's estimate. */
#define LIKELY_FACTOR 1.3

static double hold_share(const struct gateway *g);
static void ask_hold(struct req *r);
static void ask_prefill(struct req *r);
static void ask_decode(struct req *r);

/* The caller's estimate of its output, within what it allows at most. */
static double likely_output(const struct call_prompt *p)
{
	double likely = p->output_expected_tokens * LIKELY_FACTOR;

	if (likely > 0 && likely < p->output_max_tokens)
		return likely;
	return p->output_max_tokens;
}

/*
 * What a request likely takes of an endpoint: its memory, half of the output on
 * average, for as long as it makes tokens.
 */
double pools_estimate_work(const struct req *r)
{
	double out = likely_output(&r->call.prompt);

	return (r->call.prompt.prompt_tokens + out / 2) * out;
}

/* Memory for the prompt and a part of the likely output, in whole blocks. */
static uint32_t tokens_with(const struct req *r, double output_part)
{
	const struct call_prompt *p = &r->call.prompt;
	uint32_t most = r->service->engine.kv_capacity_tokens;
	uint32_t n;

	n = p->prompt_tokens + (uint32_t)(likely_output(p) * output_part);
	n = n / BLOCK_TOKENS * BLOCK_TOKENS + BLOCK_TOKENS;
	return most && n > most ? most : n;
}

static void target_of(const struct fleet_endpoint *e, struct adapter_target *t)
{
	t->addr = e->entry.addr_text;
	t->endpoint_id = e->entry.id;
}

/* Gives back the reservation, if it was not used. */
static void release_hold(struct req *r)
{
	if (r->reservation[0] && r->endpoint)
		cleanup_release_reservation(r->g, r->endpoint, r->reservation);
	r->reservation[0] = '\0';
}

/* Gives back what the request has reserved and not used. */
void pools_release(struct req *r)
{
	release_hold(r);
	if (r->prefill_handle[0] && r->prefill_endpoint) {
		stats_add(&r->g->stats, STATS_PREFILLS_WASTED, 1);
		cleanup_release_handle(r->g, r->prefill_endpoint,
				       r->prefill_handle);
	}
	r->prefill_handle[0] = '\0';
	if (r->prefill_endpoint && r->prefill_counted)
		fleet_prefill_end(r->prefill_endpoint,
				  r->call.prompt.prompt_tokens);
	r->prefill_counted = false;
}

/* The present endpoint is given up; the request looks for another. */
static void look_again(struct req *r)
{
	req_set_step_timer(r, 0);
	pools_release(r);
	req_detach_endpoint(r);
	req_advance(r);
}

/* A step failed at an endpoint; nothing that counts as the request ran. */
static void log_step(const struct req *r, const struct fleet_endpoint *e,
		     const char *step, const char *reason)
{
	int64_t now_us = gateway_now_us(r->g);

	logline(LOG_INFO, "step_failed",
		"request=%s step=%s endpoint=%s why=\"%s\" took_ms=%lld "
		"free_tokens=%lld own=%u others=%u",
		r->call.id, step, e->entry.id, reason,
		(long long)(now_us - r->sent_us) / 1000,
		(long long)fleet_free_tokens(
			e, r->service->engine.kv_capacity_tokens),
		e->running, e->peer_running);
}

static enum h1_verdict on_call_head(void *ctx, const struct h1_head *h)
{
	struct req *r = ctx;
	struct call_response a;

	adapter_read_response(h, &a);
	if (r->step == REQ_PREFILLING && a.request_id &&
	    strcmp(a.request_id, r->call.id) != 0) {
		stats_add(&r->g->stats, STATS_RESPONSES_MISMATCHED, 1);
		return H1_DISCARD;
	}
	r->status = h->status;
	r->not_executed = a.not_executed;
	h1_buf_finish(&r->body);
	return H1_ACCEPT;
}

static void on_call_body(void *ctx, const void *p, size_t n)
{
	struct req *r = ctx;

	h1_buf_append(&r->body, p, n);
}

static void hold_denied(struct req *r, enum fleet_outcome outcome,
			const char *reason)
{
	int64_t now_us = gateway_now_us(r->g);

	log_step(r, r->endpoint, "hold", reason);
	stats_add(&r->g->stats, STATS_RESERVATIONS_DENIED, 1);
	fleet_record_outcome(r->endpoint, outcome, now_us - r->sent_us, now_us);
	req_detach_endpoint(r);
	if (++r->reservations_denied % HOLDS_A_TURN == 0)
		req_enqueue(r);
	else
		req_advance(r);
}

static void on_hold_end(void *ctx, enum h1_outcome end, const char *reason)
{
	struct req *r = ctx;

	req_set_step_timer(r, 0);
	if (end == H1_COMPLETE && r->status == 200 &&
	    adapter_read_reservation(h1_buf_data(&r->body),
				     h1_buf_len(&r->body),
				     r->reservation) == 0) {
		stats_add(&r->g->stats, STATS_RESERVATIONS, 1);
		ask_prefill(r);
	} else if (end != H1_COMPLETE) {
		hold_denied(r,
			    end == H1_NOT_SENT ? FLEET_CONNECT_FAILED
					       : FLEET_FAILED,
			    reason);
	} else {
		hold_denied(r,
			    r->status == 421 ? FLEET_MISDIRECTED
					     : FLEET_OVERLOADED,
			    "no room");
	}
}

static const struct h1_exchange_handlers hold_handlers = {
	on_call_head, on_call_body, on_hold_end};

/* Reserves a slot and memory at the endpoint. */
static void ask_hold(struct req *r)
{
	struct h1_buf request = {0};
	struct adapter_target t;
	uint32_t ttl_ms = r->service->engine.reservation_max_ms;

	target_of(r->endpoint, &t);
	adapter_write_reserve(&request, &t, tokens_with(r, hold_share(r->g)),
			      ttl_ms < HOLD_MS ? ttl_ms : HOLD_MS);
	r->step = REQ_RESERVING;
	r->sent_us = gateway_now_us(r->g);
	if (h1_exchange_start(&r->g->endpoints, &r->exchange,
			      &r->endpoint->entry.addr, h1_buf_data(&request),
			      h1_buf_len(&request), &hold_handlers, r) < 0)
		hold_denied(r, FLEET_CONNECT_FAILED, "no socket");
	else
		req_set_step_timer(r, HOLD_TIMEOUT_US);
	h1_buf_finish(&request);
}

static void prefill_failed(struct req *r, enum fleet_outcome outcome,
			   const char *reason)
{
	int64_t now_us = gateway_now_us(r->g);

	log_step(r, r->prefill_endpoint, "prefill", reason);
	stats_add(&r->g->stats, STATS_PREFILLS_WASTED, 1);
	fleet_record_outcome(r->prefill_endpoint, outcome, now_us - r->sent_us,
			     now_us);
	fleet_prefill_end(r->prefill_endpoint, r->call.prompt.prompt_tokens);
	r->prefill_counted = false;
	fleet_unref(r->prefill_endpoint);
	r->prefill_endpoint = NULL;
	/* A second prefill counts like a second send; the endpoint can read
	 * the prompt itself. */
	r->skip_prefill = true;
	ask_decode(r);
}

static void on_prefill_end(void *ctx, enum h1_outcome end, const char *reason)
{
	struct req *r = ctx;
	int64_t now_us = gateway_now_us(r->g);

	req_set_step_timer(r, 0);
	if (end == H1_NOT_SENT) {
		prefill_failed(r, FLEET_CONNECT_FAILED, reason);
		return;
	}
	if (end != H1_COMPLETE) {
		prefill_failed(r, FLEET_FAILED, reason);
		return;
	}
	if (r->status != 200 ||
	    adapter_read_prefill(h1_buf_data(&r->body), h1_buf_len(&r->body),
				 r->prefill_handle) < 0) {
		prefill_failed(r,
			       r->status == 421 ? FLEET_MISDIRECTED
						: FLEET_OVERLOADED,
			       "refused");
		return;
	}
	stats_add(&r->g->stats, STATS_PREFILLS, 1);
	stats_observe(&r->g->stats, STATS_PREFILL_S, now_us - r->sent_us);
	fleet_record_outcome(r->prefill_endpoint, FLEET_SUCCESS,
			     now_us - r->sent_us, now_us);
	fleet_prefill_end(r->prefill_endpoint, r->call.prompt.prompt_tokens);
	r->prefill_counted = false;
	ask_decode(r);
}

static const struct h1_exchange_handlers prefill_handlers = {
	on_call_head, on_call_body, on_prefill_end};

/* Has the prompt read at a prefill endpoint near the decode endpoint. */
static void ask_prefill(struct req *r)
{
	struct gateway *g = r->g;
	struct fleet_query want = {
		.service = r->service->name,
		.stage = FLEET_PREFILL,
		.cold_requests_per_s = r->service->cold_requests_per_s,
		.preferred_domain = r->endpoint->entry.domain,
	};
	int64_t now_us = gateway_now_us(g);
	enum fleet_result why;
	struct fleet_endpoint *e;

	if (r->prefill_handle[0] || r->skip_prefill || r->prefill_sent ||
	    r->events.last_id >= 0) {
		ask_decode(r);
		return;
	}
	e = fleet_choose(&g->fleet, &want, now_us, &why);
	if (!e) {
		r->skip_prefill = true;
		ask_decode(r);
		return;
	}
	r->step = REQ_PREFILLING;
	r->prefill_endpoint = fleet_ref(e);
	r->prefill_counted = true;
	r->prefill_sent = true;
	e->prefill_tokens += r->call.prompt.prompt_tokens;
	if (req_send(r, e, CALL_PREFILL, &prefill_handlers) < 0)
		prefill_failed(r, FLEET_CONNECT_FAILED, "no socket");
	else
		req_set_step_timer(r, PREFILL_TIMEOUT_US);
}

static bool is_stream(const struct req *r)
{
	return r->route->kind == CALL_STREAM && r->status == 200 &&
	       r->has_signature && !r->not_executed;
}

/* The endpoint did not run the request, or broke off. */
static void decode_failed(struct req *r, enum fleet_outcome outcome,
			  bool may_have_run, const char *reason)
{
	int64_t now_us = gateway_now_us(r->g);

	log_step(r, r->endpoint, "decode", reason);
	fleet_record_outcome(r->endpoint, outcome, now_us - r->sent_us, now_us);
	if (outcome == FLEET_FAILED && may_have_run)
		crash_add_candidate(r);
	sse_drop_partial(&r->events);
	h1_buf_finish(&r->body);
	if (outcome != FLEET_OVERLOADED)
		req_exclude_endpoint(r, r->endpoint);
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
		if (r->response_started)
			req_fail(r, 502, reason);
		else
			req_refuse(r, reason);
		return;
	}
	if (r->response_started) {
		r->resumes++;
		stats_add(&r->g->stats, STATS_RESUMED, 1);
	}
	look_again(r);
}

static enum h1_verdict on_decode_head(void *ctx, const struct h1_head *h)
{
	struct req *r = ctx;
	struct call_response a;

	adapter_read_response(h, &a);
	if (a.request_id && strcmp(a.request_id, r->call.id) != 0) {
		stats_add(&r->g->stats, STATS_RESPONSES_MISMATCHED, 1);
		return H1_DISCARD;
	}
	if (a.has_load)
		fleet_record_load(r->endpoint, a.running, a.waiting,
				  gateway_now_us(r->g));
	r->status = h->status;
	r->not_executed = a.not_executed;
	r->has_signature = a.signature && !a.encoded;
	h1_buf_finish(&r->body);
	if (!r->response_started) {
		h1_buf_finish(&r->fields);
		adapter_write_response_fields(h, &r->fields);
	}
	return H1_ACCEPT;
}

/* Counts the memory of a stream that is longer than was expected. */
static void count_growth(struct req *r)
{
	uint64_t made =
		r->events.n_events * r->service->engine.tokens_per_event;
	uint32_t need =
		r->call.prompt.prompt_tokens + (uint32_t)made + AHEAD_TOKENS;

	if (!r->counted || need <= r->counted_tokens)
		return;
	fleet_request_grow(r->endpoint, need - r->counted_tokens);
	r->counted_tokens = need;
}

/* Hands whole events on; the first brings the caller the head. */
static void give_events(struct req *r, const struct h1_buf *out)
{
	int64_t now_us = gateway_now_us(r->g);

	if (!r->response_started) {
		r->response_started = true;
		r->status = 200;
		stats_observe(&r->g->stats, STATS_FIRST_EVENT_S,
			      now_us - r->received_us);
		h1_stream_start(r->conn, r->status, h1_buf_data(&r->fields));
	} else if (now_us - r->last_event_us > r->max_gap_us) {
		r->max_gap_us = now_us - r->last_event_us;
	}
	r->last_event_us = now_us;
	count_growth(r);
	h1_stream_write(r->conn, h1_buf_data(out), h1_buf_len(out));
	if (r->route->resumable)
		req_set_step_timer(r, GAP_DEAD_US);
}

static void on_decode_body(void *ctx, const void *p, size_t n)
{
	struct req *r = ctx;
	struct h1_buf out = {0};
	int count;

	if (!is_stream(r)) {
		h1_buf_append(&r->body, p, n);
		return;
	}
	count = sse_feed(&r->events, p, n, &out);
	if (h1_buf_len(&out))
		give_events(r, &out);
	h1_buf_finish(&out);
	if (h1_unsent_bytes(r->conn) > UNREAD_MAX_BYTES) {
		req_fail(r, 502, "caller does not read");
		return;
	}
	if (count < 0) {
		h1_exchange_cancel(&r->exchange);
		decode_failed(r, FLEET_FAILED, true, "events out of order");
	}
}

static void stream_ended(struct req *r)
{
	int64_t now_us = gateway_now_us(r->g);

	fleet_record_outcome(r->endpoint, FLEET_SUCCESS, now_us - r->sent_us,
			     now_us);
	if (h1_buf_len(&r->events.partial)) {
		decode_failed(r, FLEET_FAILED, true, "ended within an event");
		return;
	}
	if (!r->response_started) {
		r->response_started = true;
		h1_stream_start(r->conn, r->status, h1_buf_data(&r->fields));
	}
	req_complete(r);
}

static void on_decode_end(void *ctx, enum h1_outcome end, const char *reason)
{
	struct req *r = ctx;

	req_set_step_timer(r, 0);
	r->reservation[0] = '\0';
	if (end == H1_NOT_SENT) {
		decode_failed(r, FLEET_CONNECT_FAILED, false, reason);
	} else if (end != H1_COMPLETE) {
		decode_failed(r, FLEET_FAILED, true, reason);
	} else if (r->not_executed) {
		decode_failed(r,
			      r->status == 421 ? FLEET_MISDIRECTED
					       : FLEET_OVERLOADED,
			      false, "not run");
	} else if (!r->has_signature) {
		decode_failed(r, FLEET_FAILED, true,
			      "answer without signature");
	} else if (is_stream(r)) {
		stream_ended(r);
	} else if (r->response_started) {
		decode_failed(r, FLEET_FAILED, true, "resume refused");
	} else {
		fleet_record_outcome(r->endpoint, FLEET_SUCCESS, 0,
				     gateway_now_us(r->g));
		req_complete(r);
	}
}

static const struct h1_exchange_handlers decode_handlers = {
	on_decode_head, on_decode_body, on_decode_end};

/* Sends the request to the decode endpoint. */
static void ask_decode(struct req *r)
{
	bool transfer = r->prefill_handle[0] != '\0';
	int error;

	if (req_remaining_us(r) <= 0) {
		req_advance(r);
		return;
	}
	if (!fleet_is_usable(&r->g->fleet, r->endpoint)) {
		/* It began to leave meanwhile; the prefill's result is kept. */
		log_step(r, r->endpoint, "decode", "endpoint leaves");
		release_hold(r);
		req_detach_endpoint(r);
		req_advance(r);
		return;
	}
	r->step = REQ_SENT;
	error = req_send(r, r->endpoint, transfer ? CALL_DECODE : CALL_FULL,
			 &decode_handlers);
	/* From here on the result is the decode endpoint's to take. */
	r->prefill_handle[0] = '\0';
	if (error < 0)
		decode_failed(r, FLEET_CONNECT_FAILED, false, "no socket");
	else if (r->route->resumable)
		req_set_step_timer(r, GAP_DEAD_US);
}

/* How long a caller waits for the first event of its stream. */
static int64_t patience_of(const struct req *r)
{
	int64_t target_us =
		r->route->target_latency_ms * 1000LL * PATIENCE_TARGETS;
	int64_t gap_us = r->route->target_gap_ms * 1000LL * PATIENCE_GAPS;
	int64_t most = PATIENCE_MIN_US;

	if (target_us > most)
		most = target_us;
	if (gap_us > most)
		most = gap_us;
	return most - PATIENCE_MARGIN_US;
}

/* Tells whether the first event can no longer be in time. */
bool pools_is_late(const struct req *r, int64_t now_us)
{
	if (r->response_started)
		return false;
	return now_us - r->received_us + FIRST_EVENT_US >
	       r->route->target_latency_ms * 1000LL;
}

/* What a reservation covers of the likely output: more, the older it is what
 * other hosts say that they run. */
static double hold_share(const struct gateway *g)
{
	double age = (heartbeat_interval_s(g) - HOLD_FRESH_S) /
		     (HOLD_OLD_S - HOLD_FRESH_S);

	if (age < 0)
		age = 0;
	if (age > 1)
		age = 1;
	return HOLD_FRESH_SHARE + (HOLD_OLD_SHARE - HOLD_FRESH_SHARE) * age;
}

/* Finds a decode endpoint with room, or waits for one. */
void pools_advance(struct req *r)
{
	struct gateway *g = r->g;
	struct fleet_query want = {
		.service = r->service->name,
		.stage = FLEET_DECODE,
		.kv_tokens = tokens_with(r, GROWTH_SHARE),
		.kv_capacity_tokens = r->service->engine.kv_capacity_tokens,
		.cold_requests_per_s = r->service->cold_requests_per_s,
		.n_excluded = r->n_excluded,
	};
	int64_t now_us = gateway_now_us(g);
	enum fleet_result why;
	struct fleet_endpoint *e;

	if (pools_is_late(r, now_us))
		want.headroom_tokens =
			(uint32_t)(LATE_RESERVE * want.kv_capacity_tokens);
	memcpy(want.excluded, r->excluded, sizeof(want.excluded));
	e = fleet_choose(&g->fleet, &want, now_us, &why);
	if (!e) {
		if (r->response_started ||
		    now_us - r->received_us <= patience_of(r))
			req_enqueue(r);
		else if (why == FLEET_ALL_FULL)
			req_refuse(r, "no memory free");
		else
			req_refuse_no_endpoint(r, "no endpoint");
		return;
	}
	if (r->wait_start_us)
		stats_observe(&g->stats, STATS_WAIT_S,
			      now_us - r->wait_start_us);
	r->endpoint = fleet_ref(e);
	r->counted_tokens = want.kv_tokens;
	r->counted = true;
	fleet_request_start(e, want.kv_tokens, 0, now_us);
	if (r->service->engine.reservation_max_ms)
		ask_hold(r);
	else
		ask_prefill(r);
}

/* The step takes too long: the connection or the endpoint is dead. */
void pools_timeout(struct req *r)
{
	bool sent = h1_exchange_sent(&r->exchange);

	h1_exchange_cancel(&r->exchange);
	switch (r->step) {
	case REQ_RESERVING:
		hold_denied(r, FLEET_TIMED_OUT, "no answer in time");
		break;
	case REQ_PREFILLING:
		prefill_failed(r, FLEET_TIMED_OUT, "no answer in time");
		break;
	case REQ_SENT:
		r->reservation[0] = '\0';
		decode_failed(r, FLEET_TIMED_OUT, sent, "no event in time");
		break;
	case REQ_WAITING:
		break;
	}
}
