#include "evidence.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Parts of the duration. */
#define SHIFT_PART 0.65	   /* end of the canary if there is enough evidence */
#define DECIDE_PART 0.8	   /* end of the canary with the evidence there is */
#define COMPLETE_PART 0.93 /* the last moment that leaves time to write */
/* A host with rank k writes k times this later. */
#define RANK_WAIT_US 300000LL
/* A state that a host has announced as written is read within this time; after it
 * was lost, or the store was restored, it is written again. */
#define REWRITE_WAIT_US 1000000LL
/* A write without a result is repeated. The store takes 4 ms, or 200 ms if slow. */
#define WRITE_AGAIN_US 500000LL
/* From the shift in the store to the end: all hosts have learned of it, and finished
 * their ramp (share.c). At the last moment the hosts alone count. */
#define SETTLE_US 2500000LL
#define SETTLE_LAST_US 1500000LL
/* Nothing has run at the present version for this time: a single moment without a
 * request there is not the end while hosts still fall back to it. */
#define IDLE_US 1000000LL
/*
 * How long the evidence of all hosts must hold. Counters of one host arrive in several
 * messages, 0.2 s apart; a time without its count must not pass for a slow answer. In
 * the canary a second more costs little, and most excursions by chance are shorter.
 */
#define CANARY_CONFIRM_US 1000000LL
#define SLOW_CONFIRM_US 300000LL
/* This host's evidence yields to that of all hosts after this time, and at once when
 * the shift may soon be completed: in 1 of 400 schedules a host that judged a good
 * version by itself still used the old endpoints then. */
#define OWN_YIELDS_US 1000000LL
#define OWN_YIELDS_SHIFT_US 2000000LL
#define OWN_YIELDS_PART 0.88
/* Hosts of higher rank judge the same at the same time and leave the announcement
 * to these, or 140 hosts would send 20,000 messages at once. */
#define ANNOUNCE_RANKS 4

static void say(struct rollout_actions *out, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static void say(struct rollout_actions *out, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vsnprintf(out->reason, sizeof(out->reason), format, args);
	va_end(args);
	out->logged = true;
}

static bool reached(const struct rollout *r, double part, int64_t now_us)
{
	return (double)(now_us - r->ordered_us) >=
	       part * (double)r->order.duration_us;
}

/* By the sums over all hosts. Returns true if the version is to be rolled back. */
static bool judge_all(struct rollout *r, int64_t now_us,
		      struct rollout_actions *out)
{
	char evidence[sizeof(out->reason) - 32];
	enum evidence_verdict verdict =
		evidence_judge(r, false, now_us, evidence, sizeof(evidence));
	int64_t confirm_us = verdict == EVIDENCE_SLOW ? SLOW_CONFIRM_US : 0;

	if (verdict == EVIDENCE_NOTHING) {
		r->bad_us = 0;
		return false;
	}
	if (!r->bad_us)
		r->bad_us = now_us;
	if (r->stage == ROLLOUT_CANARY)
		confirm_us = CANARY_CONFIRM_US;
	if (now_us - r->bad_us < confirm_us)
		return false;
	say(out, "cause=%s %s", verdict == EVIDENCE_SLOW ? "slow" : "failures",
	    evidence);
	return true;
}

/*
 * By this host's own evidence. It stops this host only, and yields to the sums if
 * other hosts contribute to them and find nothing: then the cause is this host's path.
 */
static void judge_own(struct rollout *r, int64_t now_us,
		      struct rollout_actions *out)
{
	char evidence[sizeof(out->reason) - 32];
	bool ending, overruled, suspect;

	r->own_bad = evidence_judge(r, true, now_us, evidence,
				    sizeof(evidence)) != EVIDENCE_NOTHING;
	if (!r->own_bad)
		r->own_bad_us = 0;
	else if (!r->own_bad_us)
		r->own_bad_us = now_us;
	ending = r->stage == ROLLOUT_SHIFT &&
		 (reached(r, OWN_YIELDS_PART, now_us) ||
		  now_us - r->shift_us >= OWN_YIELDS_SHIFT_US);
	overruled = r->others_us && now_us - r->others_us < OWN_YIELDS_US &&
		    (ending || now_us - r->own_bad_us >= OWN_YIELDS_US) &&
		    !r->bad_us && evidence_enough(r);
	suspect = r->own_bad && !overruled;
	if (suspect && !r->suspect && !out->logged)
		say(out, "cause=own_evidence %s", evidence);
	r->suspect = suspect;
}

static void roll_back(struct rollout *r)
{
	r->stage = ROLLOUT_ROLLED_BACK;
	r->suspect = true;
	if (r->view.rank < ANNOUNCE_RANKS)
		r->announce = true;
}

static bool has_evidence(const struct rollout *r)
{
	return evidence_sum(r, ROLLOUT_NEW_SIDE).answers > 0;
}

/* Returns the stage that follows the canary, or the canary. */
static enum rollout_stage after_canary(const struct rollout *r, int64_t now_us)
{
	if (reached(r, COMPLETE_PART, now_us) &&
	    (r->view.new_endpoints == 0 || !has_evidence(r)))
		return ROLLOUT_ROLLED_BACK;
	if (r->suspect || r->bad_us || r->view.new_endpoints == 0)
		return ROLLOUT_CANARY;
	if (reached(r, SHIFT_PART, now_us) && evidence_enough(r))
		return ROLLOUT_SHIFT;
	if (reached(r, DECIDE_PART, now_us) && has_evidence(r))
		return ROLLOUT_SHIFT;
	return ROLLOUT_CANARY;
}

static enum rollout_stage after_shift(const struct rollout *r, int64_t now_us)
{
	bool last = reached(r, COMPLETE_PART, now_us);
	int64_t settled_us = now_us - r->shift_stored_us;

	if (last && r->view.new_endpoints == 0)
		return ROLLOUT_ROLLED_BACK;
	if (r->stored != ROLLOUT_SHIFT || r->suspect || r->bad_us)
		return ROLLOUT_SHIFT;
	if (last ? settled_us >= SETTLE_LAST_US
		 : settled_us >= SETTLE_US && r->idle_us &&
			    now_us - r->idle_us >= IDLE_US)
		return ROLLOUT_COMPLETED;
	return ROLLOUT_SHIFT;
}

/* Returns the stage that belongs into the store. */
static enum rollout_stage next_stage(const struct rollout *r, int64_t now_us)
{
	switch (r->stage) {
	case ROLLOUT_CANARY:
		return after_canary(r, now_us);
	case ROLLOUT_SHIFT:
		return after_shift(r, now_us);
	case ROLLOUT_COMPLETED:
	case ROLLOUT_ROLLED_BACK:
	case ROLLOUT_NONE:
		break;
	}
	return r->stage;
}

/* Returns how long a write waits beside the wait of the rank. */
static int64_t base_wait(const struct rollout *r, enum rollout_stage stage)
{
	/* Judged by this host: nobody is known to have written it. */
	if (stage == ROLLOUT_ROLLED_BACK && !r->final)
		return 0;
	return stage == r->stage && stage != ROLLOUT_CANARY ? REWRITE_WAIT_US
							    : 0;
}

static const char *cause_of(const struct rollout *r, enum rollout_stage stage)
{
	if (stage == r->stage)
		return "state";
	if (stage != ROLLOUT_ROLLED_BACK)
		return "evidence";
	return r->view.new_endpoints == 0 ? "no_endpoint" : "no_evidence";
}

static void plan_write(struct rollout *r, enum rollout_stage stage,
		       int64_t now_us, struct rollout_actions *out)
{
	struct rollout_sums new;

	/* After the store was away, not all hosts write at once. */
	if (stage != r->wanted || !r->view.store_ok) {
		r->wanted = stage;
		r->wanted_us = now_us;
	}
	if (stage == r->stored || !r->view.store_ok)
		return;
	if (now_us - r->wanted_us <
	    base_wait(r, stage) + r->view.rank * RANK_WAIT_US)
		return;
	if (stage == r->write && now_us - r->write_us < WRITE_AGAIN_US)
		return;
	if (stage != r->write && !out->logged) {
		new = evidence_sum(r, ROLLOUT_NEW_SIDE);
		say(out,
		    "cause=%s elapsed_ms=%" PRId64 " new_bad=%" PRId64
		    "/%" PRId64 " new_endpoints=%" PRIu32
		    " present_running=%" PRIu32,
		    cause_of(r, stage), (now_us - r->ordered_us) / 1000,
		    new.bad, new.answers, r->view.new_endpoints,
		    r->view.present_running);
	}
	r->write = stage;
	r->write_us = now_us;
	r->write_text_hash = r->order.text_hash;
	out->write = stage;
}

void rollout_tick(struct rollout *r, const struct rollout_view *view,
		  int64_t now_us, struct rollout_actions *out)
{
	bool bad;

	memset(out, 0, sizeof(*out));
	r->view = *view;
	if (view->present_running)
		r->idle_us = 0;
	else if (!r->idle_us)
		r->idle_us = now_us;
	if (r->stage == ROLLOUT_NONE)
		return;
	evidence_tick(r, now_us);
	if (r->stage == ROLLOUT_CANARY || r->stage == ROLLOUT_SHIFT) {
		bad = judge_all(r, now_us, out);
		judge_own(r, now_us, out);
		if (bad)
			roll_back(r);
	}
	plan_write(r, next_stage(r, now_us), now_us, out);
	out->announce = r->announce;
	r->announce = false;
}
