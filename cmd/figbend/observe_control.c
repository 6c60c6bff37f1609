#include <stdio.h>

#include "logline.h"
#include "serving.h"

/*
 * Records the steps of model requests in the trace, which /explain shows, and
 * their outcomes in the error budgets, which /burn shows.
 */

#define TRACE_RECORDS 16384
/* Per request; one that waits for capacity tries again many times. */
#define ADMISSION_RECORDS_MAX 6

/* Initializes the trace and the error budgets. Returns 0 or -ENOMEM. */
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

/*
 * Returns true if a request failed because of its account's rate limit or key,
 * which does not count against the error budget.
 */
static bool is_account_error(enum request_error error)
{
	switch (error) {
	case REQUEST_ERR_RATE_LIMITED:
	case REQUEST_ERR_OVER_BURST:
	case REQUEST_ERR_KEY_WITHDRAWN:
		return true;
	default:
		return false;
	}
}

/* Returns the mean time between tokens, 0 for less than two tokens. */
static int64_t mean_gap_us(const struct request *r)
{
	if (r->sent_tokens < 2)
		return 0;
	return (r->last_token_us - r->first_token_us) / (r->sent_tokens - 1);
}

/* Returns the duration of a stage, 0 if it did not start or did not end. */
static int64_t stage_us(int64_t start_us, int64_t end_us)
{
	return start_us && end_us > start_us ? end_us - start_us : 0;
}

/* Counts a request that ended against the objective of its model. */
static void record_outcome(struct serving *s, enum burn_end end, int64_t now_us)
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
	sample.queue_us = stage_us(s->request.arrived_us, t->reserved_us);
	sample.prefill_us = stage_us(t->reserved_us, t->prefilled_us);
	sample.transfer_us = stage_us(t->prefilled_us, t->transferred_us);
	sample.first_token_us =
		s->request.first_token_us - s->request.arrived_us;
	sample.token_gap_us = mean_gap_us(&s->request);
	if (burn_add(&s->daemon->board.burn, &sample, now_us) < 0)
		logline(LOG_ERR, "out-of-memory", "in=burn");
}

static void record_refusal(struct serving *s, const struct request_event *ev,
			   int64_t now_us)
{
	trace_add(&s->daemon->board.trace, now_us, s->request.id,
		  s->request.attempt, "no", "code=%s",
		  request_error_code(ev->error));
}

static void record_failure(struct serving *s, const struct request_event *ev,
			   int64_t now_us)
{
	trace_add(&s->daemon->board.trace, now_us, s->request.id, ev->attempt,
		  "failed", "fault=%s blamed=%s retry_allowed=%d",
		  request_fault_name(ev->failed.fault),
		  ev->failed.blame_prefill ? "prefill" : "decode",
		  ev->failed.retry_allowed);
}

/* Adds an event of a request to the trace, unless it is one of its tokens. */
static void record_event(struct serving *s, const struct request_event *ev,
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
		record_refusal(s, ev, now_us);
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
		record_failure(s, ev, now_us);
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

static void record_stage_time(struct serving *s, const struct request_event *ev,
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

/* Records the end of a request, if the action ends it. */
static void record_end(struct serving *s, const struct request_action *a,
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
		record_outcome(s, BURN_END_COMPLETE, now_us);
		break;
	case REQUEST_DO_REFUSE:
	case REQUEST_DO_ABORT:
		trace_add(t, now_us, r->id, r->attempt,
			  a->kind == REQUEST_DO_ABORT ? "cut" : "refused",
			  "code=%s not_run=%d sent_tokens=%u",
			  request_error_code(a->refuse.error),
			  a->refuse.not_executed, r->sent_tokens);
		if (!is_account_error(a->refuse.error))
			record_outcome(s,
				       a->kind == REQUEST_DO_ABORT
					       ? BURN_END_ABORTED
					       : BURN_END_REFUSED,
				       now_us);
		break;
	default:
		break;
	}
}

/*
 * Adds a step of the admission of a request to the trace, if it is one of the
 * first ADMISSION_RECORDS_MAX. event is the name of the record. reply is the
 * outcome from the endpoint's owner, the owner's name if it did not reply, or
 * why the request waits.
 */
void observe_control_record_admission(struct serving *s, const char *event,
				      const char *endpoint, const char *reply)
{
	struct daemon *d = s->daemon;

	if (s->times.admissions_recorded++ >= ADMISSION_RECORDS_MAX)
		return;
	trace_add(&d->board.trace, daemon_now_us(d), s->request.id,
		  s->request.attempt, event, "endpoint=%s answer=\"%s\"",
		  endpoint, reply);
}

/*
 * Records a step of a request: an event, and the actions that the core returned
 * for it. Has to be called before the actions are carried out. Events without
 * actions are not recorded, such as late ones of an earlier attempt.
 */
void observe_control_record_step(struct serving *s,
				 const struct request_event *ev,
				 const struct request_actions *actions,
				 int64_t now_us)
{
	uint32_t i;

	if (!actions->n)
		return;
	record_event(s, ev, now_us);
	record_stage_time(s, ev, now_us);
	for (i = 0; i < actions->n; i++)
		record_end(s, &actions->item[i], now_us);
}
