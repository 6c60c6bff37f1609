#include "req.h"

#include <stdio.h>

#include "logline.h"

/*
 * The steps of a request to model engines before it goes to its decode endpoint: a
 * reservation there, and the prefill at a prefill endpoint.
 */

/* Engines serve reservations from memory; a slow response means that the
 * connection hangs. */
#define RESERVE_TIMEOUT_US 200000LL
/* Lifetime of a reservation; it must cover the prefill and the import. */
#define RESERVATION_TTL_MS 1500
/* Endpoints tried for a reservation before the request is queued again. */
#define RESERVE_TRIES 3
/* A prefill takes 100 ms for 3,300 tokens, and queues behind earlier ones. */
#define PREFILL_TIMEOUT_US 900000LL
/* Longest response to a reservation or a prefill, a short document. */
#define STEP_RESPONSE_MAX_BYTES 16384
#define MALFORMED_REASON "malformed response"
/* The shared parts of a prompt as text: 16 digits and a separator each. */
#define PARTS_TEXT_BYTES (CALL_PARTS_MAX * 17 + 1)

static void reservation_denied(struct req *r, enum fleet_outcome outcome,
			       const char *reason);
static void prefill_failed(struct req *r, enum fleet_outcome outcome,
			   const char *reason);

static void set_target(const struct fleet_endpoint *e, struct adapter_target *t)
{
	t->addr = e->entry.addr_text;
	t->endpoint_id = e->entry.id;
}

void pools_release_reservation(struct req *r)
{
	if (r->reservation[0] && r->endpoint)
		cleanup_release_reservation(r->g, r->endpoint, r->reservation);
	r->reservation[0] = '\0';
}

/* Writes the hashes of the shared parts, separated by commas; "-" if none. */
static void write_parts(const struct call_prompt *p, char out[PARTS_TEXT_BYTES])
{
	size_t n = 0;
	uint32_t i;

	snprintf(out, PARTS_TEXT_BYTES, "-");
	for (i = 0; i < p->n_shared_parts; i++)
		n += (size_t)snprintf(out + n, PARTS_TEXT_BYTES - n,
				      "%s%016llx", i ? "," : "",
				      (unsigned long long)p->shared_part[i]);
}

void pools_log_step_failed(const struct req *r, const struct fleet_endpoint *e,
			   const char *step, const char *reason)
{
	int64_t now_us = gateway_now_us(r->g);
	char parts[PARTS_TEXT_BYTES];

	write_parts(&r->call.prompt, parts);
	logline(LOG_INFO, "step_failed",
		"request=%s step=%s endpoint=%s why=\"%s\" took_ms=%lld "
		"began=%d parts=%s free_tokens=%lld own=%u others=%u",
		r->call.id, step, e->entry.id, reason,
		(long long)(now_us - r->sent_us) / 1000, r->answer_began, parts,
		(long long)fleet_free_tokens(
			e, r->service->engine.kv_capacity_tokens),
		e->running, e->peer_running);
}

/* Ends the exchange of a step, as failed. */
static void fail_step(struct req *r, const char *reason)
{
	h1_exchange_cancel(&r->exchange);
	req_set_step_timer(r, 0);
	if (r->step == REQ_PREFILLING)
		prefill_failed(r, FLEET_FAILED, reason);
	else
		reservation_denied(r, FLEET_FAILED, reason);
}

static enum h1_verdict on_step_head(void *ctx, const struct h1_head *h)
{
	struct req *r = ctx;
	struct call_response response;

	switch (req_read_answer(r,
				r->step == REQ_PREFILLING ? r->prefill_endpoint
							  : r->endpoint,
				h, &response)) {
	case REQ_ANSWER_OWN:
		break;
	case REQ_ANSWER_FOREIGN:
		return H1_DISCARD;
	case REQ_ANSWER_UNKNOWN:
		fail_step(r, REQ_UNKNOWN_REASON);
		return H1_DISCARD;
	}
	req_drop_response(r);
	return H1_ACCEPT;
}

static void on_step_body(void *ctx, const void *p, size_t n)
{
	struct req *r = ctx;
	const char *reason = req_buffer_response(r, p, n);

	if (!reason && h1_buf_len(&r->body) > STEP_RESPONSE_MAX_BYTES)
		reason = "response too large";
	if (reason)
		fail_step(r, reason);
}

static void reservation_denied(struct req *r, enum fleet_outcome outcome,
			       const char *reason)
{
	int64_t now_us = gateway_now_us(r->g);

	pools_log_step_failed(r, r->endpoint, "hold", reason);
	stats_add(&r->g->stats, STATS_RESERVATIONS_DENIED, 1);
	fleet_record_outcome(r->endpoint, outcome, now_us - r->sent_us, now_us);
	rollouts_record_failure(r, r->endpoint, outcome);
	req_detach_endpoint(r);
	if (++r->reservations_denied % RESERVE_TRIES == 0)
		req_enqueue(r);
	else
		req_advance(r);
}

static void on_reserve_end(void *ctx, enum h1_outcome outcome,
			   const char *reason)
{
	struct req *r = ctx;

	req_set_step_timer(r, 0);
	if (outcome == H1_COMPLETE && r->status == 200) {
		if (adapter_read_reservation(h1_buf_data(&r->body),
					     h1_buf_len(&r->body),
					     r->reservation) < 0) {
			reservation_denied(r, FLEET_FAILED, MALFORMED_REASON);
			return;
		}
		stats_add(&r->g->stats, STATS_RESERVATIONS, 1);
		fleet_record_capacity(r->endpoint, r->sent_us);
		pools_start_prefill(r);
	} else if (outcome != H1_COMPLETE) {
		reservation_denied(r,
				   outcome == H1_NOT_SENT ? FLEET_CONNECT_FAILED
							  : FLEET_FAILED,
				   reason);
	} else {
		reservation_denied(r,
				   r->status == 421 ? FLEET_MISDIRECTED
						    : FLEET_OVERLOADED,
				   "reservation refused");
	}
}

static const struct h1_exchange_handlers reserve_handlers = {
	on_step_head, on_step_body, on_reserve_end};

void pools_start_reserve(struct req *r)
{
	struct h1_buf request = {0};
	struct adapter_target t;
	uint32_t ttl_ms = r->service->engine.reservation_max_ms;

	set_target(r->endpoint, &t);
	adapter_write_reserve(&request, &t, pools_reserved_tokens(r),
			      ttl_ms < RESERVATION_TTL_MS ? ttl_ms
							  : RESERVATION_TTL_MS);
	r->step = REQ_RESERVING;
	r->sent_us = gateway_now_us(r->g);
	if (h1_exchange_start(&r->g->endpoints, &r->exchange,
			      &r->endpoint->entry.addr, h1_buf_data(&request),
			      h1_buf_len(&request), &reserve_handlers, r) < 0)
		reservation_denied(r, FLEET_CONNECT_FAILED,
				   "cannot open a socket");
	else
		req_set_step_timer(r, RESERVE_TIMEOUT_US);
	h1_buf_finish(&request);
}

static void record_prefill_failure(struct req *r, enum fleet_outcome outcome,
				   const char *reason)
{
	int64_t now_us = gateway_now_us(r->g);

	pools_log_step_failed(r, r->prefill_endpoint, "prefill", reason);
	stats_add(&r->g->stats, STATS_PREFILLS_WASTED, 1);
	/* The endpoint processes a prompt even if its response is lost. */
	r->prompt_processed = outcome == FLEET_TIMED_OUT ||
			      outcome == FLEET_FAILED;
	req_waste_prompt(r, outcome == FLEET_TIMED_OUT ? STATS_WASTED_PREFILL
						       : STATS_WASTED_ENDPOINT);
	fleet_record_outcome(r->prefill_endpoint, outcome, now_us - r->sent_us,
			     now_us);
	rollouts_record_step_failure(r, r->prefill_endpoint, outcome);
	fleet_prefill_end(r->prefill_endpoint, r->call.prompt.prompt_tokens);
	r->prefill_counted = false;
	fleet_unref(r->prefill_endpoint);
	r->prefill_endpoint = NULL;
	r->prefill_handle[0] = '\0';
	/* A second prefill would count as a retry; the decode endpoint can
	 * process the prompt instead. */
	r->skip_prefill = true;
}

static void prefill_failed(struct req *r, enum fleet_outcome outcome,
			   const char *reason)
{
	record_prefill_failure(r, outcome, reason);
	pools_start_decode(r);
}

/* A prefill that was refused counts like a request: the next one is a retry. */
static void prefill_refused(struct req *r)
{
	record_prefill_failure(
		r, r->status == 421 ? FLEET_MISDIRECTED : FLEET_OVERLOADED,
		"refused");
	if (req_consume_retry(r))
		pools_start_decode(r);
	else
		req_refuse(r, "prefill refused, and no retry is left");
}

static void on_prefill_end(void *ctx, enum h1_outcome outcome,
			   const char *reason)
{
	struct req *r = ctx;
	int64_t now_us = gateway_now_us(r->g);

	req_set_step_timer(r, 0);
	if (outcome == H1_NOT_SENT) {
		prefill_failed(r, FLEET_CONNECT_FAILED, reason);
		return;
	}
	if (outcome != H1_COMPLETE) {
		prefill_failed(r, FLEET_FAILED, reason);
		return;
	}
	if (r->status != 200) {
		prefill_refused(r);
		return;
	}
	if (adapter_read_prefill(h1_buf_data(&r->body), h1_buf_len(&r->body),
				 r->prefill_handle) < 0) {
		prefill_failed(r, FLEET_FAILED, MALFORMED_REASON);
		return;
	}
	r->prompt_processed = true;
	stats_add(&r->g->stats, STATS_PREFILLS, 1);
	stats_observe(&r->g->stats, STATS_PREFILL_S, now_us - r->sent_us);
	fleet_record_outcome(r->prefill_endpoint, FLEET_SUCCESS,
			     now_us - r->sent_us, now_us);
	fleet_prefill_end(r->prefill_endpoint, r->call.prompt.prompt_tokens);
	r->prefill_counted = false;
	pools_start_decode(r);
}

static const struct h1_exchange_handlers prefill_handlers = {
	on_step_head, on_step_body, on_prefill_end};

static bool has_retry(struct req *r, int64_t now_us)
{
	return ratelimit_retry_available(&r->g->retry_budgets, r->service->name,
					 r->g->fleet.hosts, now_us);
}

void pools_drop_prefill(struct req *r)
{
	if (r->prefill_handle[0]) {
		stats_add(&r->g->stats, STATS_PREFILLS_WASTED, 1);
		req_waste_prompt(r, STATS_WASTED_ENDPOINT);
		cleanup_release_handle(r->g, r->prefill_endpoint,
				       r->prefill_handle);
	}
	r->prefill_handle[0] = '\0';
	fleet_unref(r->prefill_endpoint);
	r->prefill_endpoint = NULL;
}

void pools_start_prefill(struct req *r)
{
	struct gateway *g = r->g;
	struct fleet_query query = {
		.service = r->service->name,
		.stage = FLEET_PREFILL,
		.cold_requests_per_s = r->service->cold_requests_per_s,
		.preferred_domain = r->endpoint->entry.domain,
	};
	int64_t now_us = gateway_now_us(g);
	enum fleet_result result;
	struct fleet_endpoint *e;

	if (rollouts_is_mixed(r))
		pools_drop_prefill(r);
	if (r->prefill_handle[0] || r->skip_prefill || r->prefill_sent ||
	    r->events.last_id >= 0) {
		pools_start_decode(r);
		return;
	}
	rollouts_fill_prefill_query(r, &query);
	e = fleet_choose(&g->fleet, &query, now_us, &result);
	if (!e || (fleet_is_doubtful(e) && !has_retry(r, now_us))) {
		r->skip_prefill = true;
		pools_start_decode(r);
		return;
	}
	if (req_refuse_if_blocked(r))
		return;
	r->step = REQ_PREFILLING;
	r->prefill_endpoint = fleet_ref(e);
	r->prefill_counted = true;
	r->prefill_sent = true;
	fleet_prefill_start(e, r->call.prompt.prompt_tokens);
	if (req_send(r, e, CALL_PREFILL, &prefill_handlers) < 0)
		prefill_failed(r, FLEET_CONNECT_FAILED, "cannot open a socket");
	else
		req_set_step_timer(r, PREFILL_TIMEOUT_US);
}

void pools_step_timeout(struct req *r)
{
	if (r->step == REQ_PREFILLING)
		prefill_failed(r, FLEET_TIMED_OUT, "prefill timed out");
	else
		reservation_denied(r, FLEET_TIMED_OUT, "reservation timed out");
}
