#include "claim.h"

#include <assert.h>
#include <errno.h>
#include <string.h>

#include <sodium.h>

/* Deadlines, counted from the start of a call. */
#define SEND_TIMEOUT_US (5LL * 1000000)
#define ANSWER_TIMEOUT_US (10LL * 1000000)
#define APPEND_TIMEOUT_US (600LL * 1000000) /* outcome or given-up record */

#define BACKOFF_MIN_US (50LL * 1000)
#define BACKOFF_MAX_US (5LL * 1000000)

void claim_call_init(struct claim_call *c, const char *id, const char *nonce,
		     const char *call_hash)
{
	memset(c, 0, sizeof(*c));
	memcpy(c->id, id, sizeof(c->id));
	memcpy(c->nonce, nonce, sizeof(c->nonce));
	memcpy(c->call_hash, call_hash, sizeof(c->call_hash));
}

void claim_call_fill_record(const struct claim_call *c,
			    enum claim_record_kind kind, struct claim_record *r)
{
	memset(r, 0, sizeof(*r));
	r->kind = kind;
	memcpy(r->id, c->id, sizeof(r->id));
	memcpy(r->nonce, c->nonce, sizeof(r->nonce));
	memcpy(r->call_hash, c->call_hash, sizeof(r->call_hash));
	r->status = c->status;
	r->body = "";
}

static struct claim_action *add_action(struct claim_actions *out,
				       enum claim_action_kind kind)
{
	struct claim_action *a;

	assert(out->n < CLAIM_ACTIONS_MAX);
	a = &out->item[out->n++];
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	return a;
}

static void answer(struct claim_call *c, struct claim_actions *out,
		   enum claim_answer how)
{
	if (c->answered)
		return;
	c->answered = true;
	add_action(out, CLAIM_DO_ANSWER)->answer.how = how;
}

static void append(struct claim_call *c, struct claim_actions *out,
		   enum claim_record_kind kind)
{
	struct claim_action *a = add_action(out, CLAIM_DO_APPEND);

	a->append.kind = kind;
	a->append.round = c->round;
	c->append_pending = true;
}

/* Returns the kind of record that is appended in a state. */
static enum claim_record_kind record_kind_of(enum claim_state s)
{
	if (s == CLAIM_RECORDING)
		return CLAIM_RECORD_OUTCOME;
	return s == CLAIM_GIVING_UP ? CLAIM_RECORD_GIVEN_UP
				    : CLAIM_RECORD_CLAIM;
}

/* Enters a state, and appends its record. */
static void enter(struct claim_call *c, enum claim_state s,
		  struct claim_actions *out)
{
	c->state = s;
	c->append_failures = 0;
	c->retry_us = 0;
	append(c, out, record_kind_of(s));
}

static void start_round(struct claim_call *c, struct claim_actions *out)
{
	c->may_be_logged = false;
	enter(c, CLAIM_CLAIMING, out);
}

/*
 * Claims again with a new nonce, since the previous one lost or gave up and so
 * cannot win any more. The new nonce is a hash of the previous one, as this
 * function has no source of random bytes.
 */
static void start_next_round(struct claim_call *c, struct claim_actions *out)
{
	uint8_t hash[CLAIM_NONCE_BYTES / 2];

	crypto_generichash(hash, sizeof(hash), (const uint8_t *)c->nonce,
			   strlen(c->nonce), NULL, 0);
	sodium_bin2hex(c->nonce, sizeof(c->nonce), hash, sizeof(hash));
	c->round++;
	start_round(c, out);
}

static void finish(struct claim_call *c, struct claim_actions *out,
		   enum claim_answer how)
{
	answer(c, out, how);
	c->state = CLAIM_DONE;
}

/*
 * The claim was not read back in time. A given-up record is needed only if the
 * claim may be in the log or get there.
 */
static void on_claim_timeout(struct claim_call *c, struct claim_actions *out)
{
	if (c->may_be_logged || c->append_pending)
		enter(c, CLAIM_GIVING_UP, out);
	else
		finish(c, out, CLAIM_ANSWER_NOT_SENT);
}

/*
 * The nonce won. After SEND_TIMEOUT_US the call must not be sent: an earlier
 * claim of the same key may have expired before this host read it.
 */
static void on_won(struct claim_call *c, int64_t now_us,
		   struct claim_actions *out)
{
	if (now_us - c->start_us >= SEND_TIMEOUT_US) {
		enter(c, CLAIM_GIVING_UP, out);
		return;
	}
	c->state = CLAIM_SENDING;
	add_action(out, CLAIM_DO_SEND);
}

/*
 * The winner gave up. A nonce that lost before cannot win, so a new one is
 * claimed. A claim that may still get into the log can win, and is awaited.
 */
static void on_given_up(struct claim_call *c, const struct claim_view *v,
			int64_t now_us, struct claim_actions *out)
{
	if (v->nonce_seen && now_us - c->start_us < SEND_TIMEOUT_US)
		start_next_round(c, out);
	if (c->state != CLAIM_WAITING)
		return;
	c->state = CLAIM_CLAIMING;
	if (!c->append_pending && !c->may_be_logged)
		start_round(c, out);
}

static void on_read(struct claim_call *c, const struct claim_view *v,
		    int64_t now_us, struct claim_actions *out)
{
	if (c->state != CLAIM_CLAIMING && c->state != CLAIM_WAITING)
		return;
	switch (v->verdict) {
	case CLAIM_NOT_FOUND:
		return;
	case CLAIM_WON:
		on_won(c, now_us, out);
		return;
	case CLAIM_LOST:
		c->state = CLAIM_WAITING;
		return;
	case CLAIM_GIVEN_UP:
		on_given_up(c, v, now_us, out);
		return;
	case CLAIM_COMPLETED:
		finish(c, out, CLAIM_ANSWER_RECORDED);
		out->item[out->n - 1].answer.outcome_offset = v->outcome_offset;
		return;
	case CLAIM_IN_DOUBT:
		finish(c, out, CLAIM_ANSWER_IN_DOUBT);
		return;
	case CLAIM_MISMATCH:
		finish(c, out, CLAIM_ANSWER_MISMATCH);
		return;
	}
}

/* Appends no claim if the index has one for the id that was not given up. */
static void on_start(struct claim_call *c, const struct claim_view *v,
		     int64_t now_us, struct claim_actions *out)
{
	c->start_us = now_us;
	c->state = CLAIM_CLAIMING;
	on_read(c, v, now_us, out);
	if (c->state == CLAIM_CLAIMING)
		start_round(c, out);
}

static int64_t backoff_us(uint32_t failures)
{
	int64_t us = BACKOFF_MIN_US;

	while (failures-- && us < BACKOFF_MAX_US)
		us *= 2;
	return us < BACKOFF_MAX_US ? us : BACKOFF_MAX_US;
}

static void on_appended(struct claim_call *c, const struct claim_event *ev,
			int64_t now_us, struct claim_actions *out)
{
	int error = ev->appended.error;

	if (ev->appended.round != c->round ||
	    ev->appended.kind != record_kind_of(c->state) || !c->append_pending)
		return;
	c->append_pending = false;
	c->retry_us = error ? now_us + backoff_us(c->append_failures++) : 0;
	switch (c->state) {
	case CLAIM_CLAIMING:
	case CLAIM_WAITING:
		c->may_be_logged |= error != -EAGAIN;
		return;
	case CLAIM_RECORDING:
		/* Retries of a failed append do not delay the response. */
		answer(c, out, CLAIM_ANSWER_OUTCOME);
		break;
	case CLAIM_GIVING_UP:
		/* Before this record, a new call with the key cannot win. */
		if (!error)
			answer(c, out, CLAIM_ANSWER_NOT_SENT);
		break;
	default:
		return;
	}
	if (!error)
		c->state = CLAIM_DONE;
}

static void on_sent(struct claim_call *c, const struct claim_event *ev,
		    struct claim_actions *out)
{
	if (c->state != CLAIM_SENDING)
		return;
	switch (ev->sent.how) {
	case CLAIM_SEND_RESPONSE:
		c->status = ev->sent.status;
		enter(c, CLAIM_RECORDING, out);
		return;
	case CLAIM_SEND_IN_DOUBT:
		c->status = 0;
		answer(c, out, CLAIM_ANSWER_IN_DOUBT);
		enter(c, CLAIM_RECORDING, out);
		return;
	case CLAIM_SEND_NOT_SENT:
		enter(c, CLAIM_GIVING_UP, out);
		return;
	}
}

static void on_timer(struct claim_call *c, int64_t now_us,
		     struct claim_actions *out)
{
	bool answer_due = now_us - c->start_us >= ANSWER_TIMEOUT_US;

	if (c->state == CLAIM_CLAIMING &&
	    now_us - c->start_us >= SEND_TIMEOUT_US)
		on_claim_timeout(c, out);
	else if (c->state == CLAIM_WAITING && answer_due)
		finish(c, out, CLAIM_ANSWER_IN_DOUBT);
	else if (c->state == CLAIM_GIVING_UP && answer_due)
		answer(c, out, CLAIM_ANSWER_IN_DOUBT);
	else if (c->state == CLAIM_RECORDING && answer_due)
		answer(c, out, CLAIM_ANSWER_OUTCOME);
	if (now_us - c->start_us >= APPEND_TIMEOUT_US &&
	    (c->state == CLAIM_RECORDING || c->state == CLAIM_GIVING_UP))
		c->state = CLAIM_DONE;
	if (c->retry_us && now_us >= c->retry_us && !c->append_pending &&
	    c->state != CLAIM_WAITING && c->state != CLAIM_SENDING &&
	    c->state != CLAIM_DONE)
		append(c, out, record_kind_of(c->state));
}

static void wake_by(struct claim_actions *out, int64_t at_us)
{
	if (at_us && (!out->wake_us || at_us < out->wake_us))
		out->wake_us = at_us;
}

/* Sets the time of the next timer event. */
static void set_wake(const struct claim_call *c, struct claim_actions *out)
{
	int64_t retry_us = c->append_pending ? 0 : c->retry_us;

	switch (c->state) {
	case CLAIM_CLAIMING:
		wake_by(out, retry_us);
		wake_by(out, c->start_us + SEND_TIMEOUT_US);
		return;
	case CLAIM_WAITING:
		wake_by(out, c->start_us + ANSWER_TIMEOUT_US);
		return;
	case CLAIM_RECORDING:
	case CLAIM_GIVING_UP:
		wake_by(out, retry_us);
		wake_by(out, c->start_us + (c->answered ? APPEND_TIMEOUT_US
							: ANSWER_TIMEOUT_US));
		return;
	case CLAIM_NEW:
	case CLAIM_SENDING:
	case CLAIM_DONE:
		return;
	}
}

void claim_step(struct claim_call *c, const struct claim_event *ev,
		int64_t now_us, struct claim_actions *out)
{
	switch (ev->kind) {
	case CLAIM_EV_START:
		on_start(c, &ev->read, now_us, out);
		break;
	case CLAIM_EV_APPENDED:
		on_appended(c, ev, now_us, out);
		break;
	case CLAIM_EV_READ:
		on_read(c, &ev->read, now_us, out);
		break;
	case CLAIM_EV_SENT:
		on_sent(c, ev, out);
		break;
	case CLAIM_EV_TIMER:
		on_timer(c, now_us, out);
		break;
	}
	set_wake(c, out);
}
