#include "drain.h"

#include <math.h>
#include <string.h>

/* The load balancer probes readiness once a second and removes a host after two
 * failed probes. */
#define LISTEN_US 2900000LL
#define LISTEN_SHARE 0.375 /* of the grace, at most */
/* Time before the end of the grace at which the process ends by itself. */
#define END_MARGIN_US 300000LL
/* Time before that in which the last responses reach their callers. */
#define RESPONSE_MARGIN_US 100000LL
/* Half of the streams are longer than the caller's hint says. */
#define LENGTH_FACTOR 1.6
/* The same for streams that cannot go on elsewhere. */
#define LENGTH_FACTOR_ONCE 3.0
/* Deviations over the average within which almost all calls end. */
#define CALL_DEVIATIONS 4.0
/* A call that may not be repeated must fit even if it takes this much longer. */
#define CALL_FACTOR_ONCE 3.0
/* Weight of the newest request in the averages. */
#define AVERAGE_WEIGHT 0.1
#define DEFAULT_EVENT_US 50000.0
#define DEFAULT_FIRST_US 400000.0

void drain_init(struct drain *d, double grace_s)
{
	memset(d, 0, sizeof(*d));
	d->grace_us = (int64_t)(grace_s * 1e6);
	d->event_us = DEFAULT_EVENT_US;
	d->first_us = DEFAULT_FIRST_US;
}

void drain_start(struct drain *d, int64_t now_us)
{
	d->stopping = true;
	d->start_us = now_us;
}

bool drain_is_listening(const struct drain *d, int64_t now_us)
{
	int64_t elapsed_us = now_us - d->start_us;

	return !d->stopping ||
	       (elapsed_us < LISTEN_US &&
		elapsed_us < (int64_t)(LISTEN_SHARE * (double)d->grace_us));
}

int64_t drain_deadline_us(const struct drain *d)
{
	if (!d->stopping)
		return INT64_MAX;
	return d->start_us + d->grace_us - END_MARGIN_US - RESPONSE_MARGIN_US;
}

bool drain_is_over(const struct drain *d, int64_t now_us)
{
	return d->stopping &&
	       now_us > d->start_us + d->grace_us - END_MARGIN_US;
}

void drain_observe(struct drain *d, int64_t first_us, int64_t stream_us,
		   uint64_t events)
{
	d->first_us += ((double)first_us - d->first_us) * AVERAGE_WEIGHT;
	if (events > 1)
		d->event_us += ((double)stream_us / (double)(events - 1) -
				d->event_us) *
			       AVERAGE_WEIGHT;
}

void drain_observe_call(struct drain *d, int64_t took_us)
{
	double error_us = (double)took_us - d->call_us;

	d->call_us += error_us * AVERAGE_WEIGHT;
	d->call_deviation_us +=
		(fabs(error_us) - d->call_deviation_us) * AVERAGE_WEIGHT;
}

/* Returns true if a call ends in time even if it runs until its deadline. */
static bool surely_fits(const struct drain *d, const struct drain_call *c,
			int64_t now_us)
{
	return c->longest_us < drain_deadline_us(d) - now_us;
}

bool drain_fits_call(const struct drain *d, const struct drain_call *c,
		     int64_t now_us)
{
	double expected_us =
		d->call_us + CALL_DEVIATIONS * d->call_deviation_us;

	if (surely_fits(d, c, now_us))
		return true;
	if (expected_us < (double)c->target_us)
		expected_us = (double)c->target_us;
	if (!c->repeatable)
		expected_us *= CALL_FACTOR_ONCE;
	return expected_us < (double)(drain_deadline_us(d) - now_us);
}

bool drain_fits_stream(const struct drain *d, const struct drain_stream *s,
		       int64_t now_us)
{
	double events = s->expected_events *
			(s->repeatable ? LENGTH_FACTOR : LENGTH_FACTOR_ONCE);

	if (!d->stopping)
		return true;
	if (s->max_events > 0 && events > s->max_events)
		events = s->max_events;
	return d->first_us + events * d->event_us <
	       (double)(drain_deadline_us(d) - now_us);
}

bool drain_accepts_call(const struct drain *d, const struct drain_call *c,
			int64_t now_us)
{
	return drain_is_listening(d, now_us) ? drain_fits_call(d, c, now_us)
					     : surely_fits(d, c, now_us);
}

bool drain_accepts_stream(const struct drain *d, const struct drain_stream *s,
			  int64_t now_us)
{
	return drain_is_listening(d, now_us) && drain_fits_stream(d, s, now_us);
}
