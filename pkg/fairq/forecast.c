#include "fairq.h"

#include <math.h>

#define FADE_US 2e6	      /* time constant of the rate of service */
#define KEEP 0.95	      /* of the sums, at each first token */
#define STALE_US 5000000LL    /* then nothing is known any more */
#define BUSY_MIN_US 1000000LL /* before a rate of service is believed */
#define US_A_S 1e6
#define SAMPLES_MIN 5.

/* The queue has items, or has none. */
void fairq_forecast_set_busy(struct fairq_forecast *f, bool busy,
			     int64_t now_us)
{
	if (!busy)
		f->busy_since_us = 0;
	else if (!f->busy_since_us)
		f->busy_since_us = now_us;
}

/* An item was taken out of the queue to be served. */
void fairq_forecast_observe_pop(struct fairq_forecast *f, uint64_t tokens,
				int64_t now_us)
{
	double passed_us = (double)(now_us - f->last_pop_us);

	if (f->last_pop_us)
		f->decayed_tokens *= exp(-passed_us / FADE_US);
	f->decayed_tokens += (double)tokens;
	f->last_pop_us = now_us;
}

/* A request had its first token so long after it was taken. */
void fairq_forecast_observe_first_token(struct fairq_forecast *f,
					uint32_t prompt_tokens, int64_t took_us,
					int64_t now_us)
{
	double x = prompt_tokens;
	double y = (double)took_us;

	f->samples = f->samples * KEEP + 1;
	f->sum_x = f->sum_x * KEEP + x;
	f->sum_y = f->sum_y * KEEP + y;
	f->sum_xx = f->sum_xx * KEEP + x * x;
	f->sum_xy = f->sum_xy * KEEP + x * y;
	f->last_first_token_us = now_us;
}

/* Returns the tokens a second that were taken lately. */
double fairq_forecast_rate_tokens_s(const struct fairq_forecast *f,
				    int64_t now_us)
{
	double passed_us = (double)(now_us - f->last_pop_us);

	return f->decayed_tokens * exp(-passed_us / FADE_US) / FADE_US * US_A_S;
}

/*
 * Returns how long so many tokens in front of a request take, by the rate of
 * service while the queue was not empty; 0 where no rate is known.
 */
int64_t fairq_forecast_wait_us(const struct fairq_forecast *f,
			       double ahead_tokens, int64_t now_us)
{
	double rate = fairq_forecast_rate_tokens_s(f, now_us);

	if (!f->busy_since_us || now_us - f->busy_since_us < BUSY_MIN_US ||
	    now_us - f->last_pop_us > STALE_US || ahead_tokens <= 0)
		return 0;
	return rate > 0 ? (int64_t)(ahead_tokens / rate * US_A_S) : 0;
}

/*
 * Returns how long a prompt takes from being taken to its first token, by a line
 * fitted to what was seen; 0 where too little was seen lately, so that a wrong
 * forecast cannot keep itself up.
 */
int64_t fairq_forecast_first_token_us(const struct fairq_forecast *f,
				      uint32_t prompt_tokens, int64_t now_us)
{
	double spread, slope, base;

	if (f->samples < SAMPLES_MIN ||
	    now_us - f->last_first_token_us > STALE_US)
		return 0;
	spread = f->sum_xx - f->sum_x * f->sum_x / f->samples;
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
