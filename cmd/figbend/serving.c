#include "serving.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logline.h"

#define ATTEMPTS_MAX 4
/* Lower bound on the speed of a prefill, for its timeout. */
#define PREFILL_MIN_TOKENS_S 2000
/* Limit on the buffered output of a stream whose caller reads slowly. */
#define UNREAD_MAX_BYTES (256U << 10)

static void on_engine(void *ctx, struct engine_call *c,
		      const struct engine_event *ev);

void serving_get(struct serving *s)
{
	s->refs++;
}

void serving_put(struct serving *s)
{
	if (--s->refs)
		return;
	engine_cancel_call(&s->prefill_call);
	engine_cancel_call(&s->transfer_call);
	engine_cancel_call(&s->decode_call);
	quota_control_release(s);
	ev_timer_stop(s->daemon->loop, &s->deadline_timer);
	TAILQ_REMOVE(&s->daemon->board.requests, s, entry);
	free(s->prompt);
	free(s->output);
	free(s);
}

void serving_run_id(const struct serving *s, uint32_t attempt, char *out)
{
	snprintf(out, ENGINE_RUN_BYTES, "%s.%u", s->request.id, attempt);
}

static struct response_completion completion_of(const struct serving *s)
{
	struct response_completion info = {.id = s->request.id,
					   .model = s->request.model,
					   .chat = s->chat};

	return info;
}

static const char *finish_reason_of(const struct serving *s)
{
	return s->hit_token_limit ? "length" : "stop";
}

/*
 * Fills in what the orders of the current attempt have in common. The fence is
 * that of the decode grant. Writes the run's id to run; the order borrows it.
 */
static void fill_order(struct serving *s, struct engine_order *o,
		       enum engine_op op, char run[ENGINE_RUN_BYTES])
{
	const struct settings *set = &s->daemon->settings;

	memset(o, 0, sizeof(*o));
	serving_run_id(s, s->request.attempt, run);
	o->op = op;
	o->run = run;
	o->fence = s->grant[SERVING_DECODE].fence;
	o->silence_ms = set->progress_timeout_ms;
	o->fresh = s->request.attempt > 1 || s->request.resumes > 0;
}

static void start_order(struct serving *s, struct engine_call *c,
			const struct engine_order *o)
{
	engine_cancel_call(c);
	engine_start(&s->daemon->engine, c, o, on_engine, s);
}

/*
 * Returns the time without progress after which a prefill has failed. It covers
 * the whole prefill, since an engine sends nothing before it is done.
 */
static uint32_t prefill_timeout_ms(const struct serving *s)
{
	const struct settings *set = &s->daemon->settings;
	uint64_t tokens = s->request.prompt_tokens + s->request.sent_tokens;

	return set->progress_timeout_ms + set->first_token_ms +
	       (uint32_t)(tokens * 1000 / PREFILL_MIN_TOKENS_S);
}

static void do_prefill(struct serving *s)
{
	char run[ENGINE_RUN_BYTES];
	struct engine_order o;

	quota_control_commit(s);
	fill_order(s, &o, ENGINE_PREFILL, run);
	o.addr = s->prefill_addr;
	o.fence = s->grant[SERVING_PREFILL].fence;
	o.silence_ms = prefill_timeout_ms(s);
	quarantine_control_started(s, s->request.prefill_endpoint);
	o.prefill.model = s->request.model;
	o.prefill.prompt = s->prompt;
	o.prefill.generated = s->output ? s->output : "";
	o.prefill.seed = s->seed;
	o.prefill.max_tokens = s->request.output_max_tokens;
	start_order(s, &s->prefill_call, &o);
}

static void do_transfer(struct serving *s)
{
	char run[ENGINE_RUN_BYTES];
	struct engine_order o;

	if (!admit_control_start_decode(s))
		return;
	fill_order(s, &o, ENGINE_TRANSFER, run);
	o.addr = s->decode_addr;
	quarantine_control_started(s, s->request.decode_endpoint);
	o.transfer.kv = s->kv_handle;
	o.transfer.from = s->prefill_addr;
	start_order(s, &s->transfer_call, &o);
}

static void do_decode(struct serving *s)
{
	char run[ENGINE_RUN_BYTES];
	struct engine_order o;

	fill_order(s, &o, ENGINE_DECODE, run);
	o.addr = s->decode_addr;
	o.decode.position = s->request.sent_tokens;
	if (s->request.resumes)
		metrics_add(&s->daemon->board.metrics, METRIC_RESUMES, 1);
	else
		s->stream_lost = false;
	start_order(s, &s->decode_call, &o);
}

static int append_output(struct serving *s, const char *text)
{
	size_t n = strlen(text);
	char *p = realloc(s->output, s->output_n + n + 1);

	if (!p)
		return -ENOMEM;
	memcpy(p + s->output_n, text, n + 1);
	s->output = p;
	s->output_n += n;
	return 0;
}

/*
 * Ends a request whose caller reads too slowly. This bounds the memory for
 * buffered output.
 */
static void abort_slow_caller(struct serving *s)
{
	struct request_event ev = {.kind = REQUEST_EV_CALLER_DISCONNECTED};
	struct httpd_call *c = s->call;

	metrics_add(&s->daemon->board.metrics, METRIC_CALLERS_TOO_SLOW, 1);
	logline(LOG_NOTICE, "caller-too-slow", "request=%s sent=%u",
		s->request.id, s->request.sent_tokens);
	s->call = NULL;
	httpd_stream_abort(c);
	serving_event(s, &ev);
}

/*
 * Sends the output that was not sent yet to the caller of a stream. All of it
 * must be charged. Ends the request if the caller reads too slowly.
 */
static void send_output(struct serving *s)
{
	struct response_completion info = completion_of(s);

	if (!s->stream || !s->call || s->output_sent_n == s->output_n)
		return;
	if (!s->head_sent)
		response_stream_start(s->call, &info);
	s->head_sent = true;
	response_stream_token(s->call, &info, s->output + s->output_sent_n);
	s->output_sent_n = s->output_n;
	if (httpd_stream_pending(s->call) > UNREAD_MAX_BYTES)
		abort_slow_caller(s);
}

/* Forwards a token to the caller, now or when the account has quota for it. */
static void do_forward(struct serving *s)
{
	metrics_add(&s->daemon->board.metrics, METRIC_TOKENS_OUTPUT, 1);
	if (append_output(s, s->token_text) < 0)
		return;
	if (s->request.sent_tokens == 1)
		queue_control_observe_first_token(s);
	if (quota_control_consume(s, 1))
		send_output(s);
}

/*
 * Returns true if the failed step may be resumed or retried. A retry is taken
 * from the retry budget; resuming needs none.
 */
static bool consume_retry(struct serving *s, enum request_fault f)
{
	struct board *b = &s->daemon->board;

	if (request_can_resume(&s->request, f))
		return true;
	if (s->request.attempt >= s->request.policy.attempts_max)
		return false;
	if (retry_consume(&b->retry_budgets, s->request.account))
		return true;
	metrics_add(&b->metrics, METRIC_RETRIES_DENIED, 1);
	return false;
}

/*
 * Returns true if the attempt may be retried after output with a gap, by the
 * retry budget, from which the retry is taken.
 */
static bool consume_retry_after_gap(struct serving *s, bool gap)
{
	return gap && s->request.state == REQUEST_DECODING &&
	       consume_retry(s, REQUEST_FAULT_BAD_RESPONSE);
}

void serving_on_tokens_granted(struct serving *s)
{
	struct request_event ev = {.kind = REQUEST_EV_ENDED,
				   .attempt = s->request.attempt};

	serving_get(s);
	send_output(s);
	if (s->end_pending && s->request.state != REQUEST_DONE) {
		s->end_pending = false;
		ev.ended.tokens = s->end_pending_tokens;
		ev.ended.retry_allowed = consume_retry_after_gap(
			s, ev.ended.tokens != s->request.sent_tokens);
		serving_event(s, &ev);
	}
	serving_put(s);
}

static void do_finish(struct serving *s)
{
	struct metrics *m = &s->daemon->board.metrics;
	struct response_completion info = completion_of(s);
	struct httpd_call *c = s->call;
	const struct request *r = &s->request;

	metrics_add(m, METRIC_REQUESTS_FINISHED, 1);
	metrics_add(m, METRIC_TOKENS_PROMPT, r->prompt_tokens);
	logline(LOG_INFO, "request-finished",
		"request=%s account=%s model=%s prompt_tokens=%u "
		"output_tokens=%u attempts=%u first_token_ms=%lld",
		r->id, r->account, r->model, r->prompt_tokens, r->sent_tokens,
		r->attempt,
		(long long)(r->first_token_us - r->arrived_us) / 1000);
	s->call = NULL;
	if (!c)
		return;
	if (s->head_sent)
		response_stream_end(c, &info, finish_reason_of(s),
				    r->prompt_tokens, r->sent_tokens);
	else
		response_send_completion(c, &info, s->output ? s->output : "",
					 finish_reason_of(s), r->prompt_tokens,
					 r->sent_tokens);
}

static void do_refuse(struct serving *s, const struct request_action *a)
{
	struct metrics *m = &s->daemon->board.metrics;
	struct httpd_call *c = s->call;

	metrics_add(m,
		    s->head_sent ? METRIC_REQUESTS_ABORTED
				 : METRIC_REQUESTS_REFUSED,
		    1);
	logline(LOG_NOTICE, "request-refused",
		"request=%s account=%s model=%s code=%s not_run=%d sent=%u",
		s->request.id, s->request.account, s->request.model,
		request_error_code(a->refuse.error), a->refuse.not_executed,
		s->request.sent_tokens);
	s->call = NULL;
	if (!c)
		return;
	if (s->head_sent)
		response_stream_error(c, s->request.id, a->refuse.error);
	else
		response_send_request_error(c, s->request.id, a->refuse.error,
					    a->refuse.not_executed, 0);
}

static void do_cancel(struct serving *s, const struct request_action *a)
{
	char run[ENGINE_RUN_BYTES];

	serving_run_id(s, a->attempt, run);
	engine_cancel_call(&s->prefill_call);
	engine_cancel_call(&s->transfer_call);
	engine_cancel_call(&s->decode_call);
	admit_control_mark_canceled(s, a->cancel.prefill, a->cancel.decode);
	if (a->cancel.prefill)
		cancel_control_add(s->daemon, s->prefill_addr, run);
	if (a->cancel.decode)
		cancel_control_add(s->daemon, s->decode_addr, run);
}

static void do_action(struct serving *s, const struct request_action *a)
{
	switch (a->kind) {
	case REQUEST_DO_CHARGE:
		if (quarantine_control_is_blocked(s))
			serving_refuse(s, REQUEST_ERR_QUARANTINED);
		else
			quota_control_reserve(s);
		break;
	case REQUEST_DO_ENQUEUE:
		queue_control_enqueue(s);
		break;
	case REQUEST_DO_CANCEL_WAIT:
		queue_control_remove(s);
		break;
	case REQUEST_DO_RESERVE:
		quarantine_control_reserve(s);
		break;
	case REQUEST_DO_PREFILL:
		do_prefill(s);
		break;
	case REQUEST_DO_TRANSFER:
		do_transfer(s);
		break;
	case REQUEST_DO_DECODE:
		do_decode(s);
		break;
	case REQUEST_DO_FORWARD:
		do_forward(s);
		break;
	case REQUEST_DO_FINISH:
		do_finish(s);
		break;
	case REQUEST_DO_REFUSE:
	case REQUEST_DO_ABORT:
		do_refuse(s, a);
		break;
	case REQUEST_DO_CANCEL:
		do_cancel(s, a);
		break;
	case REQUEST_DO_RELEASE:
		admit_control_release(s);
		break;
	case REQUEST_DO_SETTLE:
		queue_control_settle(s);
		quota_control_settle(s, a->settle.not_executed);
		break;
	}
}

void serving_event(struct serving *s, const struct request_event *ev)
{
	struct request_actions out = {.n = 0};
	int64_t now_us = daemon_now_us(s->daemon);
	uint32_t attempt = s->request.attempt;
	uint32_t i;
	int r;

	s->refs++;
	r = request_step(&s->request, ev, now_us, &out);
	observe_control_record_step(s, ev, &out, now_us);
	if (r == -EALREADY)
		metrics_add(&s->daemon->board.metrics, METRIC_STALE_EVENTS, 1);
	if (s->request.attempt != attempt) {
		metrics_add(&s->daemon->board.metrics, METRIC_RETRIES, 1);
		quarantine_control_ended(s);
	}
	for (i = 0; i < out.n; i++)
		do_action(s, &out.item[i]);
	if (s->request.state == REQUEST_DONE && s->core_active) {
		s->core_active = false;
		quarantine_control_ended(s);
		serving_put(s);
	}
	serving_put(s);
}

void serving_refuse(struct serving *s, enum request_error error)
{
	struct request_event ev = {.kind = REQUEST_EV_REFUSED,
				   .attempt = s->request.attempt,
				   .error = error};

	serving_event(s, &ev);
}

static enum request_fault request_fault_of(enum engine_fault f)
{
	switch (f) {
	case ENGINE_REFUSED:
		return REQUEST_FAULT_REFUSED;
	case ENGINE_UNREACHED:
		return REQUEST_FAULT_NOT_SENT;
	case ENGINE_BROKEN:
		return REQUEST_FAULT_CONN_LOST;
	case ENGINE_SILENT:
		return REQUEST_FAULT_TIMEOUT;
	case ENGINE_WRONG:
		return REQUEST_FAULT_BAD_RESPONSE;
	case ENGINE_EXPIRED:
		break;
	}
	return REQUEST_FAULT_EXPIRED;
}

/*
 * Returns true if the endpoint seems to have crashed during the step that
 * failed. For a prefill or transfer, a lost connection counts as a crash; for a
 * decode, only if resuming the lost stream fails as well. Updates stream_lost.
 */
static bool is_crash(struct serving *s, enum engine_op op, enum engine_fault f)
{
	bool was_lost = s->stream_lost;

	if (op != ENGINE_DECODE)
		return f == ENGINE_BROKEN;
	s->stream_lost = f == ENGINE_BROKEN;
	return was_lost && s->request.resumes &&
	       (f == ENGINE_BROKEN || f == ENGINE_UNREACHED ||
		f == ENGINE_EXPIRED);
}

static void on_engine_failed(struct serving *s, const struct engine_call *c,
			     const struct engine_event *ev,
			     struct request_event *out)
{
	out->kind = REQUEST_EV_FAILED;
	out->failed.fault = request_fault_of(ev->failed.fault);
	out->failed.retry_allowed = consume_retry(s, out->failed.fault);
	out->failed.blame_prefill = c->op == ENGINE_PREFILL;
	if (is_crash(s, c->op, ev->failed.fault))
		quarantine_control_record_crash(
			s, out->failed.blame_prefill
				   ? s->request.prefill_endpoint
				   : s->request.decode_endpoint);
	if (ev->failed.fault == ENGINE_BROKEN ||
	    ev->failed.fault == ENGINE_UNREACHED)
		admit_control_mark_failed(s, out->failed.blame_prefill);
	logline(LOG_NOTICE, "step-failed",
		"request=%s attempt=%u state=%s fault=%s prefill=%s decode=%s "
		"detail=\"%s\"",
		s->request.id, s->request.attempt,
		request_state_name(s->request.state),
		engine_fault_name(ev->failed.fault),
		s->request.prefill_endpoint, s->request.decode_endpoint,
		ev->failed.detail);
}

/* Converts an event of an engine into one of the state machine. */
static void on_engine(void *ctx, struct engine_call *c,
		      const struct engine_event *ev)
{
	struct serving *s = ctx;
	struct request_event out = {.attempt = s->request.attempt};

	switch (ev->kind) {
	case ENGINE_EV_PREFILLED:
		metrics_add(&s->daemon->board.metrics, METRIC_PREFILLS, 1);
		snprintf(s->kv_handle, sizeof(s->kv_handle), "%s",
			 ev->prefilled.kv);
		out.kind = REQUEST_EV_PREFILLED;
		out.prefilled.prompt_tokens = ev->prefilled.prompt_tokens;
		plan_control_observe_prefill(s);
		break;
	case ENGINE_EV_TRANSFERRED:
		plan_control_observe_transfer(s);
		admit_control_release_prefill(s);
		out.kind = REQUEST_EV_TRANSFERRED;
		break;
	case ENGINE_EV_TOKEN:
		quarantine_control_on_first_token(s);
		out.kind = REQUEST_EV_TOKENS;
		out.tokens.position = ev->token.position;
		out.tokens.n = 1;
		out.tokens.retry_allowed = consume_retry_after_gap(
			s, ev->token.position > s->request.sent_tokens);
		s->token_text = ev->token.text;
		break;
	case ENGINE_EV_ENDED:
		out.kind = REQUEST_EV_ENDED;
		out.ended.tokens = ev->ended.tokens;
		s->hit_token_limit = ev->ended.length;
		/* The end must not overtake output that waits for quota. */
		if (s->charge.state == QUOTA_IN_DEBT) {
			s->end_pending = true;
			s->end_pending_tokens = ev->ended.tokens;
			return;
		}
		out.ended.retry_allowed = consume_retry_after_gap(
			s, ev->ended.tokens != s->request.sent_tokens);
		break;
	case ENGINE_EV_FAILED:
		on_engine_failed(s, c, ev, &out);
		break;
	default:
		return;
	}
	serving_event(s, &out);
}

static void on_caller_disconnect(void *ctx, struct httpd_call *c)
{
	struct serving *s = ctx;
	struct request_event ev = {.kind = REQUEST_EV_CALLER_DISCONNECTED};

	metrics_add(&s->daemon->board.metrics, METRIC_REQUESTS_DISCONNECTED, 1);
	logline(LOG_INFO, "caller-gone", "request=%s state=%s sent=%u",
		s->request.id, request_state_name(s->request.state),
		s->request.sent_tokens);
	s->call = NULL;
	s->refs++;
	serving_event(s, &ev);
	httpd_stream_abort(c);
	serving_put(s);
}

static void on_deadline(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct serving *s = w->data;
	struct request_event ev = {.kind = REQUEST_EV_DEADLINE};

	serving_event(s, &ev);
}

int serving_start(struct daemon *d, struct httpd_call *c,
		  const struct serving_params *params)
{
	struct request_policy policy = {.attempts_max = ATTEMPTS_MAX};
	struct request_event ev = {.kind = REQUEST_EV_START, .attempt = 1};
	struct serving *s = calloc(1, sizeof(*s));
	char id[REQUEST_ID_BYTES];
	int64_t now_us = daemon_now_us(d);

	if (!s)
		return -ENOMEM;
	s->prompt = strdup(params->prompt);
	if (!s->prompt) {
		free(s);
		return -ENOMEM;
	}
	daemon_next_request_id(d, id, sizeof(id));
	request_init(&s->request, id, params->account->name,
		     params->model->name, &policy);
	s->daemon = d;
	s->refs = 1;
	s->core_active = true;
	s->call = c;
	s->chat = params->chat;
	s->stream = params->stream;
	s->seed = params->seed;
	s->weight = params->account->weight;
	s->stream_rate_tokens_s = params->account->stream_tokens_s;
	/* An estimate of 4 bytes a token, until the endpoint has counted. */
	s->request.prompt_tokens = (uint32_t)(strlen(params->prompt) + 3) / 4;
	s->request.output_max_tokens = params->max_tokens;
	s->request.first_token_deadline_us =
		now_us + d->settings.first_token_ms * 1000LL;
	s->request.deadline_us = now_us + d->settings.request_max_s * 1000000LL;
	snprintf(s->key_id, sizeof(s->key_id), "%s", params->key_id);
	TAILQ_INSERT_TAIL(&d->board.requests, s, entry);
	ev_timer_init(&s->deadline_timer, on_deadline,
		      d->settings.request_max_s, 0.);
	s->deadline_timer.data = s;
	ev_timer_start(d->loop, &s->deadline_timer);
	httpd_on_gone(c, on_caller_disconnect, s);
	s->fingerprint =
		quarantine_fingerprint(params->model->name, params->prompt);
	retry_deposit(&d->board.retry_budgets, params->account->name);
	metrics_add(&d->board.metrics, METRIC_REQUESTS, 1);
	serving_event(s, &ev);
	return 0;
}

static bool is_key_withdrawn(const struct config *c, const struct serving *s)
{
	const struct config_account *a =
		config_find_account(c, s->request.account);
	uint32_t i;

	if (!a)
		return true;
	if (!s->key_id[0])
		return false;
	for (i = 0; i < a->key_n; i++)
		if (strcmp(a->key[i].id, s->key_id) == 0)
			return a->key[i].withdrawn;
	return true;
}

/*
 * Ends the requests whose key is withdrawn in the current configuration, or
 * whose key or account it no longer has.
 */
void serving_abort_withdrawn_keys(struct daemon *d)
{
	struct request_event ev = {.kind = REQUEST_EV_KEY_WITHDRAWN};
	struct serving *s, *next;

	for (s = TAILQ_FIRST(&d->board.requests); s; s = next) {
		next = TAILQ_NEXT(s, entry);
		if (is_key_withdrawn(d->board.config.current, s))
			serving_event(s, &ev);
	}
}

/*
 * Ends all requests with an error, at the end of a shutdown. Controllers must
 * have dropped their references: a request stays on the list until the last one
 * is dropped.
 */
void serving_abort_all(struct daemon *d)
{
	struct request_event ev = {.kind = REQUEST_EV_DEADLINE};
	struct serving *s;

	while ((s = TAILQ_FIRST(&d->board.requests)))
		serving_event(s, &ev);
}
