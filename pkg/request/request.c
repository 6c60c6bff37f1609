#include "request.h"

#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

#define RESUMES_MAX 1 /* in a row, without a token in between */

void request_init(struct request *r, const char *id, const char *account,
		  const char *model, const struct request_policy *policy)
{
	memset(r, 0, sizeof(*r));
	snprintf(r->id, sizeof(r->id), "%s", id);
	snprintf(r->account, sizeof(r->account), "%s", account);
	snprintf(r->model, sizeof(r->model), "%s", model);
	r->policy = *policy;
	r->attempt = 1;
}

/* Appends an action of the current attempt; the caller fills in the rest. */
static struct request_action *add_action(struct request *r,
					 struct request_actions *out,
					 enum request_action_kind kind)
{
	struct request_action *a;

	assert(out->n < REQUEST_ACTIONS_MAX);
	a = &out->item[out->n++];
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	a->attempt = r->attempt;
	return a;
}

/* Cancels what is outstanding at endpoints and releases the reservation. */
static void end_attempt(struct request *r, struct request_actions *out)
{
	struct request_action *a;

	if (r->prefill_outstanding || r->decode_outstanding) {
		a = add_action(r, out, REQUEST_DO_CANCEL);
		a->cancel.prefill = r->prefill_outstanding;
		a->cancel.decode = r->decode_outstanding;
	}
	if (r->reserved)
		add_action(r, out, REQUEST_DO_RELEASE);
	r->prefill_outstanding = false;
	r->decode_outstanding = false;
	r->reserved = false;
}

/* Ends the request in any state and returns all that it has acquired. */
static void end_request(struct request *r, struct request_actions *out)
{
	struct request_action *a;

	if (r->state == REQUEST_CHARGING || r->state == REQUEST_QUEUED ||
	    r->state == REQUEST_RESERVING)
		add_action(r, out, REQUEST_DO_CANCEL_WAIT);
	end_attempt(r, out);
	if (r->charged) {
		a = add_action(r, out, REQUEST_DO_SETTLE);
		a->settle.not_executed = !r->maybe_executed;
	}
	r->charged = false;
	r->state = REQUEST_DONE;
}

/* Ends the request with an error. */
static void fail_request(struct request *r, struct request_actions *out,
			 enum request_error error)
{
	enum request_action_kind kind;
	struct request_action *a;
	bool not_executed = !r->maybe_executed;

	kind = r->sent_tokens ? REQUEST_DO_ABORT : REQUEST_DO_REFUSE;
	end_request(r, out);
	a = add_action(r, out, kind);
	a->refuse.error = error;
	a->refuse.not_executed = not_executed;
}

static void exclude(struct request *r, const char *endpoint)
{
	uint32_t slot = r->excluded_n % REQUEST_EXCLUDED_MAX;

	if (!endpoint[0] || request_excludes(r, endpoint))
		return;
	snprintf(r->excluded[slot], sizeof(r->excluded[slot]), "%s", endpoint);
	r->excluded_n++;
}

bool request_excludes(const struct request *r, const char *endpoint)
{
	uint32_t n = r->excluded_n;
	uint32_t i;

	if (n > REQUEST_EXCLUDED_MAX)
		n = REQUEST_EXCLUDED_MAX;
	for (i = 0; i < n; i++)
		if (strcmp(r->excluded[i], endpoint) == 0)
			return true;
	return false;
}

static void start_reservation(struct request *r, struct request_actions *out)
{
	r->state = REQUEST_RESERVING;
	add_action(r, out, REQUEST_DO_RESERVE);
}

/*
 * The engine goes on decoding when its stream breaks, so a resume over a new
 * connection saves another prefill.
 */
bool request_can_resume(const struct request *r, enum request_fault f)
{
	return r->state == REQUEST_DECODING && r->resumes < RESUMES_MAX &&
	       (f == REQUEST_FAULT_CONN_LOST || f == REQUEST_FAULT_TIMEOUT);
}

static bool try_resume(struct request *r, const struct request_event *ev,
		       struct request_actions *out)
{
	if (!request_can_resume(r, ev->failed.fault))
		return false;
	r->resumes++;
	add_action(r, out, REQUEST_DO_DECODE);
	return true;
}

/* Resets the flags of a step that was certainly not executed. */
static void undo_unexecuted(struct request *r, enum request_fault f)
{
	bool not_executed = f == REQUEST_FAULT_REFUSED ||
			    f == REQUEST_FAULT_NOT_SENT;

	if (r->state == REQUEST_PREFILLING && not_executed) {
		r->prefill_outstanding = false;
		r->maybe_executed = r->maybe_executed_before;
	}
	if (r->state == REQUEST_TRANSFERRING && not_executed)
		r->decode_outstanding = false;
}

/*
 * Resumes the stream if possible. Otherwise starts a new attempt without the
 * endpoint at fault, or fails the request if no retry is allowed.
 */
static void on_failed(struct request *r, const struct request_event *ev,
		      struct request_actions *out)
{
	const char *blamed = ev->failed.blame_prefill ? r->prefill_endpoint
						      : r->decode_endpoint;

	if (try_resume(r, ev, out))
		return;
	undo_unexecuted(r, ev->failed.fault);
	exclude(r, blamed);
	end_attempt(r, out);
	if (r->attempt >= r->policy.attempts_max || !ev->failed.retry_allowed) {
		fail_request(r, out, REQUEST_ERR_FAILED);
		return;
	}
	r->attempt++;
	r->resumes = 0;
	start_reservation(r, out);
}

static void on_reserved(struct request *r, const struct request_event *ev,
			struct request_actions *out)
{
	snprintf(r->prefill_endpoint, sizeof(r->prefill_endpoint), "%s",
		 ev->reserved.prefill_endpoint);
	snprintf(r->decode_endpoint, sizeof(r->decode_endpoint), "%s",
		 ev->reserved.decode_endpoint);
	r->reserved = true;
	r->prefill_outstanding = true;
	r->maybe_executed_before = r->maybe_executed;
	r->maybe_executed = true;
	r->state = REQUEST_PREFILLING;
	add_action(r, out, REQUEST_DO_PREFILL);
}

/*
 * Forwards tokens, except those whose positions were forwarded before. A gap in
 * the positions fails the attempt, as tokens were lost.
 */
static void on_tokens(struct request *r, const struct request_event *ev,
		      int64_t now_us, struct request_actions *out)
{
	struct request_event ev_failed = {.kind = REQUEST_EV_FAILED,
					  .attempt = r->attempt};
	uint32_t end = ev->tokens.position + ev->tokens.n;
	struct request_action *a;

	if (ev->tokens.position > r->sent_tokens) {
		ev_failed.failed.fault = REQUEST_FAULT_BAD_RESPONSE;
		ev_failed.failed.retry_allowed = ev->tokens.retry_allowed;
		on_failed(r, &ev_failed, out);
		return;
	}
	if (end <= r->sent_tokens) {
		r->duplicate_tokens += ev->tokens.n;
		return;
	}
	a = add_action(r, out, REQUEST_DO_FORWARD);
	a->forward.skip = r->sent_tokens - ev->tokens.position;
	a->forward.n = end - r->sent_tokens;
	r->duplicate_tokens += a->forward.skip;
	r->sent_tokens = end;
	r->resumes = 0;
	if (!r->first_token_us)
		r->first_token_us = now_us;
	r->last_token_us = now_us;
}

/* Finishes the request, or fails the attempt if its output is incomplete. */
static void on_ended(struct request *r, const struct request_event *ev,
		     struct request_actions *out)
{
	struct request_event ev_failed = {.kind = REQUEST_EV_FAILED,
					  .attempt = r->attempt};

	if (ev->ended.tokens != r->sent_tokens) {
		ev_failed.failed.fault = REQUEST_FAULT_BAD_RESPONSE;
		ev_failed.failed.retry_allowed = ev->ended.retry_allowed;
		on_failed(r, &ev_failed, out);
		return;
	}
	r->prefill_outstanding = false;
	r->decode_outstanding = false;
	end_request(r, out);
	add_action(r, out, REQUEST_DO_FINISH);
}

static void on_start(struct request *r, int64_t now_us,
		     struct request_actions *out)
{
	r->arrived_us = now_us;
	r->state = REQUEST_CHARGING;
	add_action(r, out, REQUEST_DO_CHARGE);
}

static void on_charged(struct request *r, struct request_actions *out)
{
	r->charged = true;
	r->state = REQUEST_QUEUED;
	add_action(r, out, REQUEST_DO_ENQUEUE);
}

static void on_prefilled(struct request *r, const struct request_event *ev,
			 struct request_actions *out)
{
	r->prompt_tokens = ev->prefilled.prompt_tokens;
	r->state = REQUEST_TRANSFERRING;
	r->decode_outstanding = true;
	add_action(r, out, REQUEST_DO_TRANSFER);
}

static void on_transferred(struct request *r, struct request_actions *out)
{
	r->prefill_outstanding = false;
	r->state = REQUEST_DECODING;
	add_action(r, out, REQUEST_DO_DECODE);
}

/* Returns the only state for an event; REQUEST_DONE if there are several. */
static enum request_state expected_state(enum request_event_kind kind)
{
	switch (kind) {
	case REQUEST_EV_START:
		return REQUEST_NEW;
	case REQUEST_EV_CHARGED:
		return REQUEST_CHARGING;
	case REQUEST_EV_SCHEDULED:
		return REQUEST_QUEUED;
	case REQUEST_EV_RESERVED:
		return REQUEST_RESERVING;
	case REQUEST_EV_PREFILLED:
		return REQUEST_PREFILLING;
	case REQUEST_EV_TRANSFERRED:
		return REQUEST_TRANSFERRING;
	case REQUEST_EV_TOKENS:
	case REQUEST_EV_ENDED:
		return REQUEST_DECODING;
	case REQUEST_EV_REFUSED:
	case REQUEST_EV_FAILED:
	case REQUEST_EV_CALLER_DISCONNECTED:
	case REQUEST_EV_KEY_WITHDRAWN:
	case REQUEST_EV_DEADLINE:
		break;
	}
	return REQUEST_DONE;
}

/* Returns true if an event belongs to an attempt or step that is over. */
static bool is_late(const struct request *r, const struct request_event *ev)
{
	enum request_state expected = expected_state(ev->kind);

	if (r->state == REQUEST_DONE)
		return true;
	switch (ev->kind) {
	case REQUEST_EV_CALLER_DISCONNECTED:
	case REQUEST_EV_KEY_WITHDRAWN:
	case REQUEST_EV_DEADLINE:
		return false;
	case REQUEST_EV_FAILED:
		return ev->attempt != r->attempt ||
		       r->state < REQUEST_PREFILLING;
	case REQUEST_EV_REFUSED:
		return r->state > REQUEST_RESERVING;
	default:
		return r->state != expected || ev->attempt != r->attempt;
	}
}

int request_step(struct request *r, const struct request_event *ev,
		 int64_t now_us, struct request_actions *out)
{
	if (is_late(r, ev)) {
		r->late_events++;
		return -EALREADY;
	}
	switch (ev->kind) {
	case REQUEST_EV_START:
		on_start(r, now_us, out);
		break;
	case REQUEST_EV_CHARGED:
		on_charged(r, out);
		break;
	case REQUEST_EV_REFUSED:
		fail_request(r, out, ev->error);
		break;
	case REQUEST_EV_SCHEDULED:
		start_reservation(r, out);
		break;
	case REQUEST_EV_RESERVED:
		on_reserved(r, ev, out);
		break;
	case REQUEST_EV_PREFILLED:
		on_prefilled(r, ev, out);
		break;
	case REQUEST_EV_TRANSFERRED:
		on_transferred(r, out);
		break;
	case REQUEST_EV_TOKENS:
		on_tokens(r, ev, now_us, out);
		break;
	case REQUEST_EV_ENDED:
		on_ended(r, ev, out);
		break;
	case REQUEST_EV_FAILED:
		on_failed(r, ev, out);
		break;
	case REQUEST_EV_CALLER_DISCONNECTED:
		end_request(r, out);
		break;
	case REQUEST_EV_KEY_WITHDRAWN:
		fail_request(r, out, REQUEST_ERR_KEY_WITHDRAWN);
		break;
	case REQUEST_EV_DEADLINE:
		fail_request(r, out, REQUEST_ERR_TIMED_OUT);
		break;
	}
	return 0;
}

const char *request_state_name(enum request_state s)
{
	static const char *const names[] = {"new",	  "charging",
					    "queued",	  "reserving",
					    "prefilling", "transferring",
					    "decoding",	  "done"};

	return names[s];
}

/* The codes are part of the API and must not change. */
const char *request_error_code(enum request_error e)
{
	static const char *const codes[REQUEST_ERR_COUNT] = {
		"rate_limited", "over_burst", "overloaded",
		"unavailable",	"stopping",   "quarantined",
		"failed",	"timed_out",  "key_withdrawn"};

	return codes[e];
}

const char *request_fault_name(enum request_fault f)
{
	static const char *const names[] = {"refused", "unreached", "broken",
					    "silent",  "wrong",	    "expired",
					    "crashed"};

	return names[f];
}
