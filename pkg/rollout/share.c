#include "evidence.h"

#include "namehash.h"

/* Part of rollout_limits.share that is sent while there is enough evidence; the
 * rest covers a version that turns bad after the shift. */
#define CANARY_PART 0.5
/* From this part of the duration the share is doubled if evidence is lacking. */
#define DOUBLE_PART 0.65
/*
 * A route with few requests gets more than its share, so that its evidence suffices:
 * over all hosts and routes this part of rollout_limits.slack_requests, spread
 * over this part of the duration (from 3 s on, when the rates are known).
 */
#define EXTRA_PART 0.5
#define EXTRA_TIME_PART 0.4
/* None for a route that had so many answers of the new version. */
#define EXTRA_ANSWERS 12
/* Of a route's requests at most: rates are some 0.5 s old. */
#define EXTRA_SHARE_MAX 0.25
/*
 * A host moves to the new version over 2 s, so that one that is bad under load is found
 * while it gets a part of it: in trials with a ramp of 1 s it got 1.2 times its bound.
 * The ramp ends at this part of the duration, but is not shorter than 1 s.
 */
#define RAMP_US 2000000LL
#define RAMP_MIN_US 1000000LL
#define RAMP_END_PART 0.85
/* From this part of the duration no request of a host in the shift goes to the
 * present version any more, also if the new one is full: the present one may
 * stop at 0.93. */
#define OVERFLOW_PART 0.88

double share_random(const struct rollout *r, const char *row)
{
	uint64_t z = r->seed ^ namehash(row) ^ r->order.text_hash;

	/* splitmix64 */
	z += 0x9e3779b97f4a7c15ULL;
	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ z >> 27) * 0x94d049bb133111ebULL;
	z ^= z >> 31;
	return (double)(z >> 11) / 9007199254740992.0;
}

/* Returns the share beyond the common one for a row of few requests. */
static double extra(const struct rollout *r, const struct rollout_row *row,
		    int64_t now_us)
{
	double rate, per_s, share;
	uint32_t i, n = 0;

	if (evidence_new_answers(r, row) >= EXTRA_ANSWERS)
		return 0;
	rate = evidence_rate(r, row, now_us);
	if (rate <= 0)
		return 0;
	for (i = 0; i < r->n_rows; i++)
		n += !r->row[i].is_gap;
	per_s = r->limits.slack_requests * EXTRA_PART * 1e6 /
		(EXTRA_TIME_PART * (double)r->order.duration_us) / n;
	share = per_s / rate;
	return share < EXTRA_SHARE_MAX ? share : EXTRA_SHARE_MAX;
}

/* Returns the part of its requests that this host moves in the shift. */
static double ramp_now(const struct rollout *r, int64_t now_us)
{
	int64_t ramp_us =
		r->ordered_us - r->shift_us +
		(int64_t)(RAMP_END_PART * (double)r->order.duration_us);

	if (ramp_us > RAMP_US)
		ramp_us = RAMP_US;
	if (ramp_us < RAMP_MIN_US)
		ramp_us = RAMP_MIN_US;
	return (double)(now_us - r->shift_us) / (double)ramp_us;
}

static double share_now(const struct rollout *r, const struct rollout_row *row,
			int64_t now_us)
{
	double share = r->limits.share * CANARY_PART;
	double ramp;

	if (r->stage == ROLLOUT_SHIFT) {
		ramp = ramp_now(r, now_us);
		return ramp > share ? ramp : share;
	}
	if ((double)(now_us - r->ordered_us) >=
	    DOUBLE_PART * (double)r->order.duration_us)
		return evidence_enough(r) ? share : r->limits.share;
	return share + extra(r, row, now_us);
}

/* Counts a request of a row; returns true if it is one for the new version. */
static bool take(struct rollout_row *row, double share, bool new_is_usable)
{
	row->level += share;
	if (row->level < 1)
		return false;
	if (!new_is_usable) {
		row->level = 1;
		return false;
	}
	row->level -= 1;
	return true;
}

enum rollout_side rollout_choose(struct rollout *r, const char *route,
				 bool new_is_usable, int64_t now_us)
{
	struct rollout_row *row;
	double share;

	switch (r->stage) {
	case ROLLOUT_NONE:
		return ROLLOUT_ANY;
	case ROLLOUT_COMPLETED:
		return ROLLOUT_NEW;
	case ROLLOUT_ROLLED_BACK:
		return ROLLOUT_PRESENT;
	case ROLLOUT_CANARY:
	case ROLLOUT_SHIFT:
		break;
	}
	if (r->suspect)
		return ROLLOUT_PRESENT;
	row = evidence_row(r, route);
	share = share_now(r, row, now_us);
	if (share < 1)
		return take(row, share, new_is_usable) ? ROLLOUT_NEW
						       : ROLLOUT_PRESENT;
	if (!new_is_usable &&
	    (r->view.new_endpoints == 0 ||
	     (double)(now_us - r->ordered_us) <
		     OVERFLOW_PART * (double)r->order.duration_us))
		return ROLLOUT_PRESENT;
	return ROLLOUT_NEW;
}

enum rollout_side rollout_choose_again(const struct rollout *r,
				       enum rollout_side before)
{
	switch (r->stage) {
	case ROLLOUT_NONE:
		return ROLLOUT_ANY;
	case ROLLOUT_COMPLETED:
		return ROLLOUT_NEW;
	case ROLLOUT_CANARY:
	case ROLLOUT_ROLLED_BACK:
		return ROLLOUT_PRESENT;
	case ROLLOUT_SHIFT:
		break;
	}
	if (before == ROLLOUT_PRESENT || r->suspect ||
	    r->view.new_endpoints == 0)
		return ROLLOUT_PRESENT;
	return ROLLOUT_NEW;
}
