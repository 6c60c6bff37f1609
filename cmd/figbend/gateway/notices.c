#include "gateway.h"

#include <string.h>

#include "logline.h"

/*
 * What endpoints say of themselves in their answers: that they leave, which limit
 * they have, that they want nothing for a time. pkg/fleet keeps it with the
 * endpoint's start. Limits and leaving are exchanged with other hosts: an endpoint
 * with a limit answers each of them only now and then, and one that leaves should
 * not have to answer all.
 */

/* Notices go to this many hosts each interval. */
#define GOSSIP_HOSTS 2
#define GOSSIP_INTERVAL_US 500000LL
/* Notices that are older are not passed on. */
#define AGE_MAX_US 60000000LL

/* Returns the age of what an endpoint said, or UINT32_MAX if it is too old. */
static u_int age_ms(int64_t said_us, int64_t now_us)
{
	if (!said_us || now_us - said_us >= AGE_MAX_US)
		return UINT32_MAX;
	return (u_int)((now_us - said_us) / 1000);
}

/* Returns false if there is nothing new to pass on. */
static bool fill_row(const struct fleet_endpoint *e, struct fig_notice *row,
		     int64_t now_us)
{
	row->endpoint = e->start_key;
	row->milli_per_s = e->limit.milli_per_s;
	row->limit_age_ms = age_ms(e->limit.named_us, now_us);
	row->leaving_age_ms = age_ms(e->leaving_us, now_us);
	return row->limit_age_ms != UINT32_MAX ||
	       row->leaving_age_ms != UINT32_MAX;
}

/* Fills rows, leaving out the first skip of them. Returns their number. */
static uint32_t fill_rows(struct gateway *g, struct fig_notice *row,
			  uint32_t skip)
{
	int64_t now_us = gateway_now_us(g);
	const struct fleet_endpoint *e;
	uint32_t n = 0;

	TAILQ_FOREACH(e, &g->fleet.list, link)
	{
		if (n == FIG_NOTICES_MAX)
			break;
		if (!fill_row(e, &row[n], now_us))
			continue;
		if (skip)
			skip--;
		else
			n++;
	}
	return n;
}

/* See gateway.h. If not all notices fit, a message begins with any of them. */
void notices_send(struct gateway *g)
{
	struct fig_notice row[FIG_NOTICES_MAX];
	struct fig_call call = {.kind = FIG_NOTICES};
	struct fig_notices *notices = &call.fig_call_u.notices;
	int64_t now_us = gateway_now_us(g);
	uint32_t n;
	int i;

	if (now_us - g->notices_sent_us < GOSSIP_INTERVAL_US)
		return;
	g->notices_sent_us = now_us;
	n = fill_rows(g, row, 0);
	if (n == FIG_NOTICES_MAX)
		n = fill_rows(
			g, row,
			(uint32_t)(gateway_random(g) % g->fleet.n_endpoints));
	if (!n)
		return;
	notices->notice.notice_len = n;
	notices->notice.notice_val = row;
	for (i = 0; i < GOSSIP_HOSTS; i++)
		heartbeat_send_random(g, &call);
}

static void send_to_all(struct gateway *g, const struct fleet_endpoint *e)
{
	struct fig_notice row;
	struct fig_call call = {.kind = FIG_NOTICES};

	if (!fill_row(e, &row, gateway_now_us(g)))
		return;
	call.fig_call_u.notices.notice.notice_len = 1;
	call.fig_call_u.notices.notice.notice_val = &row;
	heartbeat_broadcast(g, &call);
}

/* Logs a change; source is the host or the request that it is known from. */
static void log_limit(const struct fleet_endpoint *e, const char *source)
{
	logline(LOG_NOTICE, "endpoint_limit",
		"endpoint=%s milli_per_s=%u source=%s own=%u others=%u",
		e->entry.id, e->limit.milli_per_s, source, e->running,
		e->peer_running);
}

static void log_leaving(const struct fleet_endpoint *e, const char *source)
{
	logline(LOG_NOTICE, "endpoint_leaving",
		"endpoint=%s source=%s own=%u others=%u", e->entry.id, source,
		e->running, e->peer_running);
}

/* See gateway.h. A response with status 421 is that of another endpoint. */
void notices_record(struct gateway *g, struct fleet_endpoint *e,
		    const struct call_response *response, uint16_t status,
		    const char *request)
{
	int64_t now_us = gateway_now_us(g);

	if (status == 421)
		return;
	if (response->has_load)
		fleet_record_load(e, response->running, response->waiting,
				  now_us);
	if (response->has_slowness)
		fleet_record_slowness(e, response->slowness_percent, now_us);
	if (fleet_record_limit(&g->fleet, e, response->limit_milli_per_s,
			       now_us))
		log_limit(e, request);
	if (response->retry_after_ms) {
		stats_add(&g->stats, STATS_ENDPOINTS_UNWANTED, 1);
		fleet_record_unwanted(&g->fleet, e,
				      response->retry_after_ms * 1000LL,
				      now_us);
		logline(LOG_INFO, "endpoint_unwanted",
			"endpoint=%s for_ms=%u source=%s own=%u others=%u",
			e->entry.id, response->retry_after_ms, request,
			e->running, e->peer_running);
	}
	if (response->leaving && fleet_record_leaving(e, now_us)) {
		stats_add(&g->stats, STATS_ENDPOINTS_LEAVING, 1);
		log_leaving(e, request);
		send_to_all(g, e);
	}
}

/* See gateway.h. */
void notices_apply(struct gateway *g, const struct fig_notices *notices,
		   const char *source)
{
	int64_t now_us = gateway_now_us(g);
	const struct fig_notice *row;
	struct fleet_endpoint *e;
	uint32_t i;

	for (i = 0; i < notices->notice.notice_len; i++) {
		row = &notices->notice.notice_val[i];
		e = fleet_find_start(&g->fleet, row->endpoint);
		if (!e)
			continue;
		if (row->limit_age_ms < AGE_MAX_US / 1000 &&
		    fleet_record_limit(&g->fleet, e, row->milli_per_s,
				       now_us - row->limit_age_ms * 1000LL))
			log_limit(e, source);
		if (row->leaving_age_ms < AGE_MAX_US / 1000 &&
		    fleet_record_leaving(e,
					 now_us - row->leaving_age_ms * 1000LL))
			log_leaving(e, source);
	}
}
