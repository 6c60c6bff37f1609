#include "completion.h"

#include <math.h>

/*
 * Age at which a stated slowness is believed by 1/e; the mean over the endpoint's
 * responses is believed for the rest. In the test of uneven endpoints the 99th
 * percentile was lower with 0.3 to 1 s than with the mean alone.
 */
#define BELIEF_US 1e6
/* Weights of a response in the means of the slowness and of the time of a call. */
#define SLOWNESS_WEIGHT 0.1
#define CALL_WEIGHT 0.1
#define SLOWNESS_MAX_PERCENT 10000
/* Tokens of a usual prompt, as a part of those of a fully loaded endpoint. */
#define PREFILL_USUAL 0.3

void fleet_record_slowness(struct fleet_endpoint *e, uint32_t percent,
			   int64_t now_us)
{
	struct fleet_slowness *s = &e->slowness;

	if (!percent)
		return;
	if (percent > SLOWNESS_MAX_PERCENT)
		percent = SLOWNESS_MAX_PERCENT;
	s->last = percent / 100.;
	if (!s->stated_us)
		s->mean = s->last;
	s->mean += (s->last - s->mean) * SLOWNESS_WEIGHT;
	s->stated_us = now_us;
}

void completion_learn(struct fleet_endpoint *e, int64_t took_us)
{
	struct fleet_slowness *s = &e->slowness;
	double work_us;

	if (!s->stated_us || took_us <= 0)
		return;
	work_us = (double)took_us / s->last;
	if (s->work_us == 0)
		s->work_us = work_us;
	s->work_us += (work_us - s->work_us) * CALL_WEIGHT;
}

/* Returns the slowness that is expected now. */
static double slowness_at(const struct fleet_slowness *s, int64_t now_us)
{
	double age_us = (double)(now_us - s->stated_us);

	return s->mean + (s->last - s->mean) * exp(-age_us / BELIEF_US);
}

double completion_cost(const struct fleet_endpoint *e, enum fleet_stage stage,
		       double load, double usual_us, int64_t now_us)
{
	const struct fleet_slowness *s = &e->slowness;
	double slots = e->entry.slots ? e->entry.slots : 1;
	double slowness = slowness_at(s, now_us);
	double speed = 1, wait;

	if (stage == FLEET_PREFILL)
		return (load + PREFILL_USUAL) * slowness - PREFILL_USUAL;
	if (s->work_us > 0 && usual_us > 0)
		speed = s->work_us / usual_us;
	/* A call that gets a slot at once does not wait for the others. */
	wait = fmax(0, load - 1 + 1 / slots);
	return (1 + wait) * slowness * speed - 1 + usual_us / 1e6;
}
