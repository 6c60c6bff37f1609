#include "freshness.h"

#include <string.h>

void freshness_init(struct freshness *f, int64_t bound_us, int64_t now_us)
{
	memset(f, 0, sizeof(*f));
	f->start_us = now_us;
	f->stale_us = bound_us - FRESHNESS_REACTION_US;
	if (f->stale_us < FRESHNESS_STALE_MIN_US)
		f->stale_us = FRESHNESS_STALE_MIN_US;
}

void freshness_set_read(struct freshness *f, int stream, int64_t as_of_us)
{
	if (as_of_us > f->read_us[stream])
		f->read_us[stream] = as_of_us;
}

void freshness_set_told(struct freshness *f, int stream, int64_t as_of_us)
{
	if (as_of_us > f->told_us[stream])
		f->told_us[stream] = as_of_us;
}

int64_t freshness_as_of_us(const struct freshness *f, int stream)
{
	return f->read_us[stream] > f->told_us[stream] ? f->read_us[stream]
						       : f->told_us[stream];
}

/* Returns the age of a stream; one that is unknown counts from the end of the start. */
static int64_t stream_age_us(const struct freshness *f, int stream,
			     int64_t now_us)
{
	int64_t as_of_us = freshness_as_of_us(f, stream);

	if (!as_of_us)
		as_of_us = f->start_us + FRESHNESS_START_US;
	return now_us - as_of_us;
}

int64_t freshness_age_us(const struct freshness *f, int64_t now_us)
{
	int64_t age_us = stream_age_us(f, 0, now_us), other_us;
	int s;

	for (s = 1; s < FRESHNESS_STREAMS; s++) {
		other_us = stream_age_us(f, s, now_us);
		if (other_us > age_us)
			age_us = other_us;
	}
	return age_us;
}

/* Returns true if other hosts know something newer than this host's own reads, and
 * that is not old itself. */
static bool is_told_newer(const struct freshness *f, int64_t now_us)
{
	int s;

	for (s = 0; s < FRESHNESS_STREAMS; s++)
		if (f->told_us[s] < f->read_us[s] + FRESHNESS_NEWER_US ||
		    now_us - f->told_us[s] >= FRESHNESS_OVERDUE_US)
			return false;
	return true;
}

bool freshness_step(struct freshness *f, double random, int64_t now_us)
{
	if (f->reads) {
		f->reads = !is_told_newer(f, now_us);
		return f->reads;
	}
	if (freshness_age_us(f, now_us) < f->stale_us) {
		f->turn_us = 0;
		return false;
	}
	if (!f->turn_us)
		f->turn_us = now_us + (int64_t)(random * FRESHNESS_TURN_US);
	if (now_us < f->turn_us)
		return false;
	f->turn_us = 0;
	f->reads = true;
	return true;
}

bool freshness_is_overdue(const struct freshness *f, int stream, uint32_t rank,
			  int64_t now_us)
{
	uint32_t steps = rank < FRESHNESS_RANK_STEPS_MAX
				 ? rank
				 : FRESHNESS_RANK_STEPS_MAX;

	return stream_age_us(f, stream, now_us) >=
	       FRESHNESS_OVERDUE_US + steps * FRESHNESS_RANK_STEP_US;
}

uint32_t freshness_wait_ms(uint32_t rank, double random)
{
	if (!rank)
		return FRESHNESS_FIRST_WAIT_MS;
	return FRESHNESS_OTHER_WAIT_MIN_MS +
	       (uint32_t)(random * (FRESHNESS_OTHER_WAIT_MAX_MS -
				    FRESHNESS_OTHER_WAIT_MIN_MS));
}
