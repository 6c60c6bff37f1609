#include "evidence.h"

#include "namehash.h"

/* Part of rollout_limits.share that is sent while there is enough evidence; the
 * rest covers a version that turns bad after the shift. */
#define CANARY_PART 0.5
/* From this part of the duration the share is doubled if evidence is lacking. */
#define DOUBLE_PART 0.65
/* A host moves to the new version over this time, so that one that is bad under
 * load is found while it gets a part of it. */
#define RAMP_US 1000000LL
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

static double share_now(const struct rollout *r, int64_t now_us)
{
	double share = r->limits.share * CANARY_PART;
	double ramp;

	if (r->stage == ROLLOUT_SHIFT) {
		ramp = (double)(now_us - r->shift_us) / (double)RAMP_US;
		return ramp > share ? ramp : share;
	}
	if ((double)(now_us - r->ordered_us) >=
		    DOUBLE_PART * (double)r->order.duration_us &&
	    !evidence_enough(r))
		share = r->limits.share;
	return share;
}

/* Counts a request of a row; returns true if it is one for the new version. */
static bool take(struct rollout *r, const char *route, double share,
		 bool new_is_usable)
{
	struct rollout_row *row = evidence_row(r, route);

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
	share = share_now(r, now_us);
	if (share < 1)
		return take(r, route, share, new_is_usable) ? ROLLOUT_NEW
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
