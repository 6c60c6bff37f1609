#include "req.h"

#include <errno.h>
#include <string.h>

/*
 * Requests to model engines. A request reserves memory at a decode endpoint and
 * has its prompt processed at a prefill endpoint; then the decode endpoint
 * imports the prefill result and streams the output. A decode endpoint can also
 * process the prompt itself, at half the speed.
 */

/* Usual time from the choice of a decode endpoint to the first event. */
#define FIRST_EVENT_US 250000LL
/* Callers abandon a stream that has no event after the longest of 2 s, four
 * latency targets and eight gap targets of its route. A waiting request is
 * refused shortly before that. */
#define ABANDON_MIN_US 2000000LL
#define ABANDON_TARGETS 4
#define ABANDON_GAPS 8
#define ABANDON_MARGIN_US 300000LL
/* Share of an endpoint's memory that late requests leave free for requests that
 * can still meet their target. */
#define LATE_HEADROOM_SHARE 0.25
/* An endpoint that sends no event of a resumable stream for this long has timed
 * out, and the stream resumes on another endpoint if it may. */
#define EVENT_TIMEOUT_US 1300000LL
/* Time in which a stream that resumes elsewhere has its next event. */
#define RESUME_US 1200000LL
/* Time between checks whether such a stream may resume elsewhere by now. */
#define RESUME_CHECK_US 100000LL
/* A stream is aborted once more than this much waits for its caller to read. */
#define UNSENT_MAX_BYTES 262144
/* The same while the responses of all requests take too much memory. */
#define UNSENT_SMALL_BYTES 16384
/* Longest comments before the first event of a stream. */
#define COMMENTS_MAX_BYTES 65536
/* A stream that outgrows its counted memory is counted this far ahead of its
 * output, which is about half a second of decoding. */
#define GROWTH_TOKENS 64

/* The endpoint that got the decode request owns both from then on. */
static void forget_sent(struct req *r)
{
	r->reservation[0] = '\0';
	r->prefill_handle[0] = '\0';
}

void pools_release(struct req *r)
{
	if (r->step == REQ_SENT && h1_exchange_sent(&r->exchange))
		forget_sent(r);
	pools_release_reservation(r);
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

/*
 * Leaves the decode endpoint and chooses another, which can import the prefill
 * result if the decode request was not sent.
 */
static void choose_again(struct req *r)
{
	req_set_step_timer(r, 0);
	pools_release_reservation(r);
	req_detach_endpoint(r);
	req_advance(r);
}

static bool is_stream(const struct req *r)
{
	return r->route->kind == CALL_STREAM && r->status == 200 &&
	       r->has_signature && !r->not_executed;
}

static void record_decode_failure(struct req *r, enum fleet_outcome outcome,
				  const char *reason)
{
	static const enum stats_counter causes[] = {
		[FLEET_OVERLOADED] = STATS_WASTED_IMPORT,
		[FLEET_FAILED] = STATS_WASTED_ENDPOINT,
		[FLEET_CONNECT_FAILED] = STATS_WASTED_ENDPOINT,
		[FLEET_TIMED_OUT] = STATS_WASTED_NO_EVENT,
		[FLEET_MISDIRECTED] = STATS_WASTED_ENDPOINT,
	};
	int64_t now_us = gateway_now_us(r->g);

	pools_log_step_failed(r, r->endpoint, "decode", reason);
	if (!r->prefill_handle[0])
		req_waste_prompt(r, causes[outcome]);
	fleet_record_outcome(r->endpoint, outcome, now_us - r->sent_us, now_us);
	rollouts_record_failure(r, r->endpoint, outcome);
}

/* Records a failed attempt to decode, and retries the request or ends it. */
static void decode_failed(struct req *r, enum fleet_outcome outcome,
			  bool may_have_executed, const char *reason)
{
	record_decode_failure(r, outcome, reason);
	sse_drop_partial(&r->events);
	req_drop_response(r);
	if (outcome != FLEET_OVERLOADED)
		req_exclude_endpoint(r, r->endpoint);
	if (outcome != FLEET_CONNECT_FAILED)
		r->failed_attempts++;
	if (may_have_executed)
		r->executions++;
	if (may_have_executed && (!req_may_execute_again(r) ||
				  r->executions >= r->route->attempts_max)) {
		req_fail(r, 502, reason);
		return;
	}
	/* What was not sent leaves its retry, if it was one, to the next. */
	if (outcome != FLEET_CONNECT_FAILED && !req_consume_retry(r)) {
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
	choose_again(r);
}

static void cancel_decode(struct req *r)
{
	h1_exchange_cancel(&r->exchange);
	req_set_step_timer(r, 0);
	forget_sent(r);
}

static void fail_decode(struct req *r, const char *reason)
{
	cancel_decode(r);
	decode_failed(r, FLEET_FAILED, true, reason);
}

/*
 * Ends a stream of which it is unknown where it could be resumed: the caller would
 * take it for complete, although events are missing.
 */
static void abort_stream(struct req *r, const char *reason)
{
	cancel_decode(r);
	record_decode_failure(r, FLEET_FAILED, reason);
	r->executions++;
	req_fail(r, 502, reason);
}

static enum h1_verdict on_decode_head(void *ctx, const struct h1_head *h)
{
	struct req *r = ctx;
	struct call_response response;

	switch (req_read_answer(r, r->endpoint, h, &response)) {
	case REQ_ANSWER_OWN:
		break;
	case REQ_ANSWER_FOREIGN:
		return H1_DISCARD;
	case REQ_ANSWER_UNKNOWN:
		fail_decode(r, REQ_UNKNOWN_REASON);
		return H1_DISCARD;
	}
	r->has_signature = response.signature && !response.encoded;
	r->until_close = h->framing == H1_UNTIL_CLOSE;
	req_drop_response(r);
	if (!r->response_started) {
		h1_buf_finish(&r->fields);
		adapter_write_response_fields(h, &r->fields);
	}
	return H1_ACCEPT;
}

/* Counts the memory of a stream that outgrows what was counted for it. */
static void count_growth(struct req *r)
{
	uint64_t output_tokens =
		r->events.n_events * r->service->engine.tokens_per_event;
	uint32_t need = r->call.prompt.prompt_tokens + (uint32_t)output_tokens +
			GROWTH_TOKENS;

	if (!r->counted || need <= r->counted_tokens)
		return;
	fleet_request_grow(r->endpoint, need - r->counted_tokens);
	r->counted_tokens = need;
}

/* Returns how long a caller waits for the next event before it leaves. */
static int64_t patience_us(const struct req *r)
{
	int64_t target_us =
		r->route->target_latency_ms * 1000LL * ABANDON_TARGETS;
	int64_t gap_us = r->route->target_gap_ms * 1000LL * ABANDON_GAPS;
	int64_t abandon_us = ABANDON_MIN_US;

	if (target_us > abandon_us)
		abandon_us = target_us;
	if (gap_us > abandon_us)
		abandon_us = gap_us;
	return abandon_us;
}

/* Returns how long after its arrival a request may wait for capacity. */
static int64_t max_wait_us(const struct req *r)
{
	return patience_us(r) - ABANDON_MARGIN_US;
}

/* Returns how long an endpoint may send no event of a resumable stream. */
static int64_t event_timeout_us(const struct req *r)
{
	int64_t us = patience_us(r) - RESUME_US;

	return us > EVENT_TIMEOUT_US ? us : EVENT_TIMEOUT_US;
}

/* Starts the response with the first event, or records the pause before it. */
static void record_event(struct req *r)
{
	int64_t now_us = gateway_now_us(r->g);

	if (!r->response_started) {
		r->response_started = true;
		r->status = 200;
		r->prompt_processed = true;
		r->first_event_us = now_us;
		stats_observe(&r->g->stats, STATS_FIRST_EVENT_S,
			      now_us - r->received_us);
		h1_stream_start(r->conn, r->status, h1_buf_data(&r->fields));
	} else if (now_us - r->last_event_us > r->max_gap_us) {
		r->max_gap_us = now_us - r->last_event_us;
	}
	r->last_event_us = now_us;
	if (!r->answer_began) {
		fleet_record_capacity(r->endpoint, r->sent_us);
		crash_acquit(r);
		rollouts_record_first_event(r);
	}
	r->answer_began = true;
	count_growth(r);
	if (r->route->resumable)
		req_set_step_timer(r, event_timeout_us(r));
}

/*
 * Passes on what the parser released: complete events, and comments between
 * them, which are not progress. Comments before the first event are held back
 * until then. Returns NULL, or why the stream has failed.
 */
static const char *forward(struct req *r, const struct h1_buf *out,
			   bool has_event)
{
	const char *reason;

	if (has_event)
		record_event(r);
	if (!r->response_started) {
		reason = req_buffer_response(r, h1_buf_data(out),
					     h1_buf_len(out));
		if (!reason && h1_buf_len(&r->body) > COMMENTS_MAX_BYTES)
			reason = "comments in place of events";
		return reason;
	}
	if (h1_buf_len(&r->body)) {
		h1_stream_write(r->conn, h1_buf_data(&r->body),
				h1_buf_len(&r->body));
		req_drop_response(r);
	}
	h1_stream_write(r->conn, h1_buf_data(out), h1_buf_len(out));
	return NULL;
}

/* Returns true if too much of the stream waits for its caller to read. */
static bool is_unread(const struct req *r)
{
	size_t n = h1_unsent_bytes(r->conn);

	return n > UNSENT_MAX_BYTES ||
	       (n > UNSENT_SMALL_BYTES && req_responses_are_full(r->g));
}

static void on_decode_body(void *ctx, const void *p, size_t n)
{
	struct req *r = ctx;
	const char *reason = NULL;
	uint64_t n_events = r->events.n_events;
	struct h1_buf out = {0};
	int error = 0;

	if (is_stream(r)) {
		error = sse_feed(&r->events, p, n, &out);
		if (h1_buf_len(&out))
			reason =
				forward(r, &out, r->events.n_events > n_events);
		h1_buf_finish(&out);
		if (is_unread(r)) {
			req_fail(r, 502, "caller reads too slowly");
			return;
		}
		if (!reason)
			reason = req_count_response(r);
	} else {
		reason = req_buffer_response(r, p, n);
	}
	if (error == -EILSEQ) {
		abort_stream(r, "one of two event ids is wrong");
		return;
	}
	if (error < 0)
		reason = "event id out of order, or event too large";
	if (reason)
		fail_decode(r, reason);
}

static void stream_ended(struct req *r)
{
	int64_t now_us = gateway_now_us(r->g);

	if (h1_buf_len(&r->events.partial)) {
		decode_failed(r, FLEET_FAILED, true,
			      "stream ended within an event");
		return;
	}
	/* A crashed endpoint may close its connections in order. */
	if (r->until_close && !r->answer_began) {
		crash_charge(r, r->endpoint);
		decode_failed(r, FLEET_FAILED, true,
			      "stream ended before its first event");
		return;
	}
	fleet_record_outcome(r->endpoint, FLEET_SUCCESS, now_us - r->sent_us,
			     now_us);
	rollouts_record_answer(r, r->endpoint);
	if (!r->response_started) {
		r->response_started = true;
		h1_stream_start(r->conn, r->status, h1_buf_data(&r->fields));
		/* Comments without an event. */
		if (h1_buf_len(&r->body))
			h1_stream_write(r->conn, h1_buf_data(&r->body),
					h1_buf_len(&r->body));
	}
	req_complete(r);
}

static void on_decode_end(void *ctx, enum h1_outcome outcome,
			  const char *reason)
{
	struct req *r = ctx;
	int64_t now_us = gateway_now_us(r->g);
	/* The head says it, whatever becomes of the body. */
	bool refused = outcome == H1_INCOMPLETE && r->not_executed;

	req_set_step_timer(r, 0);
	if (outcome != H1_NOT_SENT)
		forget_sent(r);
	if (outcome == H1_NOT_SENT) {
		decode_failed(r, FLEET_CONNECT_FAILED, false, reason);
	} else if (outcome != H1_COMPLETE && !refused) {
		if (!r->answer_began)
			crash_charge(r, r->endpoint);
		decode_failed(r, FLEET_FAILED, true, reason);
	} else if (r->not_executed) {
		decode_failed(r,
			      r->status == 421 ? FLEET_MISDIRECTED
					       : FLEET_OVERLOADED,
			      false, "endpoint did not execute the request");
	} else if (!r->has_signature) {
		decode_failed(r, FLEET_FAILED, true,
			      "response without the endpoint's signature");
	} else if (is_stream(r)) {
		stream_ended(r);
	} else if (r->response_started) {
		decode_failed(r, FLEET_FAILED, true,
			      "endpoint did not resume the stream");
	} else {
		fleet_record_outcome(r->endpoint, FLEET_SUCCESS,
				     now_us - r->sent_us, now_us);
		crash_acquit(r);
		rollouts_record_answer(r, r->endpoint);
		req_complete(r);
	}
}

static const struct h1_exchange_handlers decode_handlers = {
	on_decode_head, on_decode_body, on_decode_end};

void pools_start_decode(struct req *r)
{
	bool has_prefill_result = r->prefill_handle[0] != '\0';
	int error;

	if (req_remaining_us(r) <= 0) {
		req_advance(r);
		return;
	}
	if (req_refuse_if_blocked(r))
		return;
	if (!fleet_is_usable(&r->g->fleet, r->endpoint) ||
	    fleet_is_unwanted(r->endpoint, gateway_now_us(r->g))) {
		pools_log_step_failed(r, r->endpoint, "decode",
				      "endpoint no longer accepts requests");
		choose_again(r);
		return;
	}
	r->step = REQ_SENT;
	error = req_send(r, r->endpoint,
			 has_prefill_result ? CALL_DECODE : CALL_FULL,
			 &decode_handlers);
	if (error < 0)
		decode_failed(r, FLEET_CONNECT_FAILED, false,
			      "cannot open a socket");
	else if (r->route->resumable)
		req_set_step_timer(r, event_timeout_us(r));
}

bool pools_is_late(const struct req *r, int64_t now_us)
{
	if (r->response_started)
		return false;
	return now_us - r->received_us + FIRST_EVENT_US >
	       r->route->target_latency_ms * 1000LL;
}

/* Fills the query for a decode endpoint. */
static void fill_query(struct req *r, struct fleet_query *query)
{
	*query = (struct fleet_query){
		.service = r->service->name,
		.stage = FLEET_DECODE,
		.kv_tokens = pools_counted_tokens(r),
		.kv_capacity_tokens = r->service->engine.kv_capacity_tokens,
		.cold_requests_per_s = r->service->cold_requests_per_s,
		.n_excluded = r->n_excluded,
	};
	if (pools_is_late(r, gateway_now_us(r->g)))
		query->headroom_tokens = (uint32_t)(LATE_HEADROOM_SHARE *
						    query->kv_capacity_tokens);
	memcpy(query->excluded, r->excluded, sizeof(query->excluded));
	heartbeat_update_loads(r->g);
	rollouts_fill_query(r, query);
}

void pools_advance(struct req *r)
{
	struct gateway *g = r->g;
	int64_t now_us = gateway_now_us(g), may_wait_us;
	struct fleet_query query;
	enum fleet_result result;
	struct fleet_endpoint *e;

	fill_query(r, &query);
	e = fleet_choose(&g->fleet, &query, now_us, &result);
	if (!e) {
		may_wait_us = max_wait_us(r) - (now_us - r->received_us);
		if (req_refuse_if_unservable(r, &query, may_wait_us))
			return;
		if (r->response_started || may_wait_us >= 0)
			req_enqueue(r);
		else if (result == FLEET_ALL_FULL)
			req_refuse(r, "no endpoint has enough free memory");
		else
			req_refuse_no_endpoint(
				r, "no endpoint of the service is usable");
		return;
	}
	if (r->wait_start_us)
		stats_observe(&g->stats, STATS_WAIT_S,
			      now_us - r->wait_start_us);
	r->wait_start_us = 0;
	r->endpoint = fleet_ref(e);
	r->counted_tokens = query.kv_tokens;
	r->counted = true;
	fleet_request_start(e, query.kv_tokens, 0);
	/* A reservation counts against an endpoint's limit like a request. */
	if (r->service->engine.reservation_max_ms && !fleet_is_limited(e))
		pools_start_reserve(r);
	else
		pools_start_prefill(r);
}

void pools_timeout(struct req *r)
{
	bool sent = h1_exchange_sent(&r->exchange);
	struct fleet_query query;

	if (r->step == REQ_SENT && sent) {
		fill_query(r, &query);
		if (!req_may_move(r, &query)) {
			req_set_step_timer(r, RESUME_CHECK_US);
			return;
		}
	}
	h1_exchange_cancel(&r->exchange);
	switch (r->step) {
	case REQ_RESERVING:
	case REQ_PREFILLING:
		pools_step_timeout(r);
		break;
	case REQ_SENT:
		if (sent)
			forget_sent(r);
		decode_failed(r, FLEET_TIMED_OUT, sent,
			      "no event within the timeout");
		break;
	case REQ_WAITING:
		break;
	}
}
