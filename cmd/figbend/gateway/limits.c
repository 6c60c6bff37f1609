#include "gateway.h"

#include <string.h>

#include "logline.h"

/*
 * The limits that endpoints name in their answers, exchanged with other hosts. An
 * endpoint with a limit answers each host only now and then, so hosts would hear
 * late that it has one, or none any more.
 */

/* Limits go to this many hosts each interval. */
#define GOSSIP_HOSTS 2
#define GOSSIP_INTERVAL_US 500000LL
/* Limits that were named longer ago are not passed on. */
#define AGE_MAX_US 60000000LL

/*
 * Fills rows with the limits that endpoints named lately, leaving out the first
 * skip of them. Returns the number of rows.
 */
static uint32_t fill_rows(struct gateway *g, struct fig_limit *row,
			  uint32_t skip)
{
	int64_t now_us = gateway_now_us(g);
	struct fleet_endpoint *e;
	uint32_t n = 0;

	TAILQ_FOREACH(e, &g->fleet.list, link)
	{
		if (!e->limit.named_us ||
		    now_us - e->limit.named_us >= AGE_MAX_US ||
		    n == FIG_LIMITS_MAX)
			continue;
		if (skip) {
			skip--;
			continue;
		}
		row[n].endpoint = e->start_key;
		row[n].milli_per_s = e->limit.milli_per_s;
		row[n++].age_ms = (u_int)((now_us - e->limit.named_us) / 1000);
	}
	return n;
}

/* See gateway.h. If not all limits fit, a message begins with any of them. */
void limits_send(struct gateway *g)
{
	struct fig_limit row[FIG_LIMITS_MAX];
	struct fig_call call = {.kind = FIG_LIMITS};
	struct fig_limits *l = &call.fig_call_u.limits;
	int64_t now_us = gateway_now_us(g);
	uint32_t n;
	int i;

	if (now_us - g->limits_sent_us < GOSSIP_INTERVAL_US)
		return;
	g->limits_sent_us = now_us;
	n = fill_rows(g, row, 0);
	if (n == FIG_LIMITS_MAX)
		n = fill_rows(
			g, row,
			(uint32_t)(gateway_random(g) % g->fleet.n_endpoints));
	if (!n)
		return;
	l->limit.limit_len = n;
	l->limit.limit_val = row;
	for (i = 0; i < GOSSIP_HOSTS; i++)
		heartbeat_send_random(g, &call);
}

/* See gateway.h. */
void limits_apply(struct gateway *g, const struct fig_limits *l,
		  const char *source)
{
	int64_t now_us = gateway_now_us(g);
	const struct fig_limit *row;
	struct fleet_endpoint *e;
	uint32_t i;

	for (i = 0; i < l->limit.limit_len; i++) {
		row = &l->limit.limit_val[i];
		e = fleet_find_start(&g->fleet, row->endpoint);
		if (e && fleet_record_limit(&g->fleet, e, row->milli_per_s,
					    now_us - row->age_ms * 1000LL))
			logline(LOG_NOTICE, "endpoint_limit",
				"endpoint=%s milli_per_s=%u source=%s",
				e->entry.id, e->limit.milli_per_s, source);
	}
}
