#include <stdio.h>

#include "logline.h"
#include "serving.h"

#define TRACE_RECORDS 16384
#define ASKS_NOTED_MAX 6 /* of one request: while it waits it asks often */

/* Starts keeping decisions and burn. Returns 0 or -ENOMEM. */
int observe_control_init(struct daemon *d)
{
	burn_init(&d->board.burn);
	return trace_init(&d->board.trace, TRACE_RECORDS);
}

void observe_control_finish(struct daemon *d)
{
	burn_finish(&d->board.burn);
	trace_finish(&d->board.trace);
}

/* A refusal for the account's own rate or key is no failure of the service. */
static bool is_callers_own(enum request_error why)
{
	switch (why) {
	case REQUEST_ERR_RATE_LIMITED:
	case REQUEST_ERR_OVER_BURST:
	case REQUEST_ERR_KEY_WITHDRAWN:
		return true;
	default:
		return false;
	}
}

static int64_t mean_gap_us(const struct request *r)
{
	if (r->sent_tokens < 2)
		return 0;
	return (r->last_token_us - r->first_token_us) / (r->sent_tokens - 1);
}

/* Returns the time of a stage that both began and ended. */
static int64_t span_us(int64_t from_us, int64_t to_us)
{
	return from_us && to_us > from_us ? to_us - from_us : 0;
}

static void count_end(struct serving *s, enum burn_end end, int64_t now_us)
{
	const struct config *c = s->daemon->board.config.current;
	const struct config_model *m =
		c ? config_find_model(c, s->request.model) : NULL;
	const struct serving_times *t = &s->times;
	struct burn_sample sample = {.account = s->request.account,
				     .model = s->request.model,
				     .end = end};

	if (!m)
		return;
	sample.objective.first_token_ms = m->first_token_ms;
	sample.objective.token_gap_ms = m->token_gap_ms;
	sample.objective.good_ppm = m->objective_ppm;
	sample.queue_us = span_us(s->request.arrived_us, t->reserved_us);
	sample.prefill_us = span_us(t->reserved_us, t->prefilled_us);
	sample.transfer_us = span_us(t->prefilled_us, t->transferred_us);
	sample.first_token_us =
		s->request.first_token_us - s->request.arrived_us;
	sample.token_gap_us = mean_gap_us(&s->request);
	if (burn_add(&s->daemon->board.burn, &sample, now_us) < 0)
		logline(LOG_ERR, "out-of-memory", "in=burn");
}

static void note_refused(struct serving *s, const struct request_event *ev,
			 int64_t now_us)
{
	trace_add(&s->daemon->board.trace, now_us, s->request.id,
		  s->request.attempt, "no", "code=%s",
		  request_error_code(ev->error));
}

static void note_failed(struct serving *s, const struct request_event *ev,
			int64_t now_us)
{
	trace_add(&s->daemon->board.trace, now_us, s->request.id, ev->attempt,
		  "failed", "fault=%s blamed=%s retry_allowed=%d",
		  request_fault_name(ev->failed.fault),
		  ev->failed.blame_prefill ? "prefill" : "decode",
		  ev->failed.retry_allowed);
}

/* Keeps what happened to a request, except for its tokens. */
static void note_event(struct serving *s, const struct request_event *ev,
		       int64_t now_us)
{
	struct trace *t = &s->daemon->board.trace;
	const struct request *r = &s->request;

	switch (ev->kind) {
	case REQUEST_EV_START:
		trace_add(t, now_us, r->id, 1, "arrived",
			  "account=%s model=%s prompt_tokens=%u max_tokens=%u",
			  r->account, r->model, r->prompt_tokens,
			  r->output_max_tokens);
		break;
	case REQUEST_EV_CHARGED:
		trace_add(t, now_us, r->id, 1, "charged", "pace_tokens_s=%u",
			  s->stream_rate_tokens_s);
		break;
	case REQUEST_EV_SCHEDULED:
		trace_add(t, now_us, r->id, r->attempt, "turn",
			  "waited_ms=%lld",
			  (long long)(now_us - r->arrived_us) / 1000);
		break;
	case REQUEST_EV_RESERVED:
		trace_add(t, now_us, r->id, ev->attempt, "reserved",
			  "prefill=%s decode=%s excluded=%u asks=%u",
			  ev->reserved.prefill_endpoint,
			  ev->reserved.decode_endpoint, r->excluded_n,
			  s->grant_serial);
		break;
	case REQUEST_EV_REFUSED:
		note_refused(s, ev, now_us);
		break;
	case REQUEST_EV_PREFILLED:
		trace_add(t, now_us, r->id, ev->attempt, "prefilled",
			  "prompt_tokens=%u", ev->prefilled.prompt_tokens);
		break;
	case REQUEST_EV_TRANSFERRED:
		trace_add(t, now_us, r->id, ev->attempt, "transferred", "%s",
			  "");
		break;
	case REQUEST_EV_FAILED:
		note_failed(s, ev, now_us);
		break;
	case REQUEST_EV_CALLER_DISCONNECTED:
		trace_add(t, now_us, r->id, r->attempt, "caller-gone",
			  "sent_tokens=%u", r->sent_tokens);
		break;
	case REQUEST_EV_KEY_WITHDRAWN:
		trace_add(t, now_us, r->id, r->attempt, "key-withdrawn",
			  "sent_tokens=%u", r->sent_tokens);
		break;
	case REQUEST_EV_DEADLINE:
		trace_add(t, now_us, r->id, r->attempt, "deadline", "state=%s",
			  request_state_name(r->state));
		break;
	case REQUEST_EV_TOKENS:
	case REQUEST_EV_ENDED:
		break;
	}
}

static void note_time(struct serving *s, const struct request_event *ev,
		      int64_t now_us)
{
	switch (ev->kind) {
	case REQUEST_EV_RESERVED:
		s->times.reserved_us = now_us;
		break;
	case REQUEST_EV_PREFILLED:
		s->times.prefilled_us = now_us;
		break;
	case REQUEST_EV_TRANSFERRED:
		s->times.transferred_us = now_us;
		break;
	default:
		break;
	}
}

static void note_end(struct serving *s, const struct request_action *a,
		     int64_t now_us)
{
	struct trace *t = &s->daemon->board.trace;
	const struct request *r = &s->request;

	switch (a->kind) {
	case REQUEST_DO_FINISH:
		trace_add(t, now_us, r->id, r->attempt, "finished",
			  "output_tokens=%u first_token_ms=%lld gap_us=%lld",
			  r->sent_tokens,
			  (long long)(r->first_token_us - r->arrived_us) / 1000,
			  (long long)mean_gap_us(r));
		count_end(s, BURN_END_COMPLETE, now_us);
		break;
	case REQUEST_DO_REFUSE:
	case REQUEST_DO_ABORT:
		trace_add(t, now_us, r->id, r->attempt,
			  a->kind == REQUEST_DO_ABORT ? "cut" : "refused",
			  "code=%s not_run=%d sent_tokens=%u",
			  request_error_code(a->refuse.error),
			  a->refuse.not_executed, r->sent_tokens);
		if (!is_callers_own(a->refuse.error))
			count_end(s,
				  a->kind == REQUEST_DO_ABORT
					  ? BURN_END_ABORTED
					  : BURN_END_REFUSED,
				  now_us);
		break;
	default:
		break;
	}
}

/* Keeps what an endpoint's admitting host said; only the first few of each. */
void observe_control_record_admission(struct serving *s, const char *what,
				      const char *endpoint, const char *answer)
{
	struct daemon *d = s->daemon;

	if (s->times.admissions_recorded++ >= ASKS_NOTED_MAX)
		return;
	trace_add(&d->board.trace, daemon_now_us(d), s->request.id,
		  s->request.attempt, what, "endpoint=%s answer=\"%s\"",
		  endpoint, answer);
}

/*
 * Keeps a step of a request for explain and burn: the event, and the actions
 * that the core took on it, before they are carried out. An event of an earlier
 * attempt, on which the core takes none, is left out.
 */
void observe_control_record_step(struct serving *s,
				 const struct request_event *ev,
				 const struct request_actions *actions,
				 int64_t now_us)
{
	uint32_t i;

	if (!actions->n)
		return;
	note_event(s, ev, now_us);
	note_time(s, ev, now_us);
	for (i = 0; i < actions->n; i++)
		note_end(s, &actions->item[i], now_us);
}
