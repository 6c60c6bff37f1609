#include "fairq.h"

#include <math.h>

#define RATE_DECAY_US 2e6     /* time constant of the service rate */
#define FORGETTING 0.95	      /* factor on the sums, at each sample */
#define STALE_US 5000000LL    /* older observations are ignored */
#define BUSY_MIN_US 1000000LL /* before the service rate is used */
#define SAMPLES_MIN 5.	      /* before the fit is used */
#define US_PER_S 1e6

void fairq_forecast_set_busy(struct fairq_forecast *f, bool busy,
			     int64_t now_us)
{
	if (!busy)
		f->busy_since_us = 0;
	else if (!f->busy_since_us)
		f->busy_since_us = now_us;
}

void fairq_forecast_observe_pop(struct fairq_forecast *f, uint64_t tokens,
				int64_t now_us)
{
	double passed_us = (double)(now_us - f->last_pop_us);

	if (f->last_pop_us)
		f->decayed_tokens *= exp(-passed_us / RATE_DECAY_US);
	f->decayed_tokens += (double)tokens;
	f->last_pop_us = now_us;
}

void fairq_forecast_observe_first_token(struct fairq_forecast *f,
					uint32_t prompt_tokens, int64_t took_us,
					int64_t now_us)
{
	double x = prompt_tokens;
	double y = (double)took_us;

	f->samples = f->samples * FORGETTING + 1;
	f->sum_x = f->sum_x * FORGETTING + x;
	f->sum_y = f->sum_y * FORGETTING + y;
	f->sum_xx = f->sum_xx * FORGETTING + x * x;
	f->sum_xy = f->sum_xy * FORGETTING + x * y;
	f->last_first_token_us = now_us;
}

double fairq_forecast_rate_tokens_s(const struct fairq_forecast *f,
				    int64_t now_us)
{
	double passed_us = (double)(now_us - f->last_pop_us);

	return f->decayed_tokens * exp(-passed_us / RATE_DECAY_US) /
	       RATE_DECAY_US * US_PER_S;
}

/*
 * The rate of pops is the service rate only if the queue has been busy for some
 * time; otherwise it is the rate of arrivals.
 */
int64_t fairq_forecast_wait_us(const struct fairq_forecast *f,
			       double ahead_tokens, int64_t now_us)
{
	double rate = fairq_forecast_rate_tokens_s(f, now_us);

	if (!f->busy_since_us || now_us - f->busy_since_us < BUSY_MIN_US ||
	    now_us - f->last_pop_us > STALE_US || ahead_tokens <= 0)
		return 0;
	return rate > 0 ? (int64_t)(ahead_tokens / rate * US_PER_S) : 0;
}

/*
 * Old samples are not used: while a wrong forecast has all requests refused,
 * there are no new samples to correct it.
 */
int64_t fairq_forecast_first_token_us(const struct fairq_forecast *f,
				      uint32_t prompt_tokens, int64_t now_us)
{
	double spread, slope, base;

	if (f->samples < SAMPLES_MIN ||
	    now_us - f->last_first_token_us > STALE_US)
		return 0;
	spread = f->sum_xx - f->sum_x * f->sum_x / f->samples;
	/* No slope can be fitted to prompts of about equal length. */
	slope = spread > f->samples
			? (f->sum_xy - f->sum_x * f->sum_y / f->samples) /
				  spread
			: 0;
	if (slope < 0)
		slope = 0;
	base = (f->sum_y - slope * f->sum_x) / f->samples;
	if (base < 0)
		base = 0;
	return (int64_t)(base + slope * prompt_tokens);
}
