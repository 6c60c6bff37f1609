#include "spread.h"

#include <stdio.h>
#include <string.h>

/* A third of a link of 10 Mbit/s; the rest is for callers and endpoints. */
#define RATE_BYTES_PER_S 400000.
/* May be sent at once, after a time without large replies. */
#define BURST_BYTES 131072.
/* Smaller replies are always sent. */
#define SMALL_BYTES 4096

void spread_init(struct spread *s, int64_t now_us)
{
	memset(s, 0, sizeof(*s));
	s->level_bytes = BURST_BYTES;
	s->refilled_us = now_us;
}

static void refill(struct spread *s, int64_t now_us)
{
	s->level_bytes +=
		RATE_BYTES_PER_S * (double)(now_us - s->refilled_us) / 1e6;
	if (s->level_bytes > BURST_BYTES)
		s->level_bytes = BURST_BYTES;
	s->refilled_us = now_us;
}

static void add_served(struct spread *s, const char *host, uint64_t upto)
{
	struct spread_served *served =
		&s->served[s->n_served++ % SPREAD_SERVED_MAX];

	snprintf(served->name, sizeof(served->name), "%s", host);
	served->upto = upto;
}

bool spread_take(struct spread *s, const char *host, uint64_t upto,
		 size_t bytes, int64_t now_us)
{
	if (bytes < SMALL_BYTES)
		return true;
	refill(s, now_us);
	if (s->level_bytes <= 0)
		return false;
	s->level_bytes -= (double)bytes;
	add_served(s, host, upto);
	return true;
}

const char *spread_instead(struct spread *s, const char *host, uint64_t from)
{
	uint32_t n = s->n_served < SPREAD_SERVED_MAX ? s->n_served
						     : SPREAD_SERVED_MAX;
	const struct spread_served *served;
	uint32_t i;

	for (i = 0; i < n; i++) {
		served = &s->served[s->turn++ % n];
		if (served->upto > from && strcmp(served->name, host) != 0)
			return served->name;
	}
	return NULL;
}
