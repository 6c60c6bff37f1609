#include "gateway.h"

#include <stdio.h>

/*
 * A page for operators: what this host knows of each endpoint, one a line, and so
 * why it gets no requests.
 */

static const char *const stages[] = {
	[FLEET_PLAIN] = "plain",
	[FLEET_PREFILL] = "prefill",
	[FLEET_DECODE] = "decode",
};

/* Returns the milliseconds from one time to another, 0 if that has passed. */
static long long ms_until(int64_t at_us, int64_t now_us)
{
	return at_us > now_us ? (long long)(at_us - now_us) / 1000 : 0;
}

/* Returns the age in milliseconds, -1 if the time is not set. */
static long long age_ms(int64_t at_us, int64_t now_us)
{
	return at_us ? (long long)(now_us - at_us) / 1000 : -1;
}

/* See gateway.h. */
int view_write_endpoints(struct gateway *g, struct h1_buf *out)
{
	int64_t now_us = gateway_now_us(g);
	const struct fleet_endpoint *e;
	int r = 0;

	TAILQ_FOREACH(e, &g->fleet.list, link)
	{
		r = h1_buf_printf(
			out,
			"endpoint=%s service=%s domain=%s stage=%s usable=%d "
			"draining=%d leaving_age_ms=%lld unwanted_for_ms=%lld "
			"limit_milli_per_s=%u limit_age_ms=%lld "
			"ejected_for_ms=%lld full_for_ms=%lld cold_for_ms=%lld "
			"own=%u others=%u\n",
			e->entry.id, e->entry.service, e->entry.domain,
			stages[e->entry.stage], fleet_is_usable(&g->fleet, e),
			e->entry.draining, age_ms(e->leaving_us, now_us),
			ms_until(e->unwanted_until_us, now_us),
			e->limit.milli_per_s, age_ms(e->limit.named_us, now_us),
			ms_until(e->ejected_until_us, now_us),
			ms_until(e->full_until_us, now_us),
			ms_until(e->cold_until_us, now_us), e->running,
			e->peer_running);
		if (r < 0)
			break;
	}
	return r;
}
