#include "req.h"

#include <stdio.h>
#include <string.h>

#include "logline.h"

/*
 * Finds requests that crash the endpoints that execute them. A request that
 * fails at an endpoint is kept as a candidate. If the endpoint's entry then
 * shows a crash, the crash counts against the fingerprint of the request, on
 * this host and, by a report, on all others. A request with too many crashes is
 * refused.
 */

/* Crashes after which a request is blocked, if no other suspects were at the
 * endpoints. A harmless request rarely meets three crashes, each within ten
 * minutes of the one before; after that time they expire. */
#define CRASHES_MAX 3
/* How long a failed request stays a candidate. A crashed endpoint loses its
 * entry after three missed heartbeats, which come about every 1.2 s, or shows a
 * new start time earlier. */
#define CANDIDATE_TTL_US 6000000LL

/* Hashes what stays the same when a caller repeats a request; never 0. */
static uint64_t fingerprint(const struct call_head *call, const char *account,
			    const struct h1_buf *body)
{
	uint64_t h = quarantine_hash_start();

	h = quarantine_hash(h, account, strlen(account) + 1);
	h = quarantine_hash(h, call->host, strlen(call->host) + 1);
	h = quarantine_hash(h, call->path, strlen(call->path) + 1);
	h = quarantine_hash(h, h1_buf_data(body), h1_buf_len(body));
	return h ? h : 1;
}

/* See gateway.h. */
void crash_init(struct gateway *g)
{
	quarantine_init(&g->quarantine);
	g->quarantine.crashes_max = CRASHES_MAX;
}

/* See gateway.h. */
void crash_add_candidate(struct req *r)
{
	struct gateway *g = r->g;
	struct crash_candidate *c =
		&g->crash_candidates[g->crash_candidates_next++ %
				     CRASH_CANDIDATES_MAX];

	c->fingerprint = fingerprint(&r->call,
				     r->account ? r->account->name : "",
				     &r->conn->request.body);
	c->failed_us = gateway_now_us(g);
	snprintf(c->endpoint, sizeof(c->endpoint), "%s", r->endpoint->entry.id);
	snprintf(c->request, sizeof(c->request), "%s", r->call.id);
	/* The store may report the crash before the connection breaks. */
	if (!r->endpoint->listed && !r->endpoint->entry.draining)
		crash_confirm(g, c->endpoint);
}

/*
 * Counts a crash against a candidate's request, adds it to the report to the
 * other hosts if there is space, and frees the candidate's slot.
 */
static void count_crash(struct gateway *g, struct crash_candidate *c,
			struct fig_crash *report)
{
	bool blocked = quarantine_record_crash(&g->quarantine, c->fingerprint,
					       c->endpoint, gateway_now_us(g));
	struct fig_crashed *row;

	stats_add(&g->stats, STATS_CRASH_SUSPECTS, 1);
	logline(LOG_WARNING, "endpoint_crashed",
		"request=%s endpoint=%s fingerprint=%016llx broken_ms=%lld "
		"held=%d",
		c->request, c->endpoint, (unsigned long long)c->fingerprint,
		(long long)(gateway_now_us(g) - c->failed_us) / 1000, blocked);
	if (report->crashed.crashed_len < FIG_CRASHES_MAX) {
		row = &report->crashed
			       .crashed_val[report->crashed.crashed_len++];
		row->fingerprint = c->fingerprint;
		row->held = blocked;
	}
	c->fingerprint = 0;
}

static bool is_candidate(const struct gateway *g,
			 const struct crash_candidate *c, const char *endpoint)
{
	return c->fingerprint && strcmp(c->endpoint, endpoint) == 0 &&
	       gateway_now_us(g) - c->failed_us < CANDIDATE_TTL_US;
}

/*
 * See gateway.h. A request is allowed more crashes if other suspects were at
 * the endpoint, and a candidate becomes a suspect when it is counted. Known
 * suspects are therefore counted first: candidates that were there by chance
 * must not raise their limit.
 */
void crash_confirm(struct gateway *g, const char *endpoint)
{
	struct fig_crashed rows[FIG_CRASHES_MAX];
	struct fig_call call = {.kind = FIG_CRASH};
	struct fig_crash *report = &call.fig_call_u.crash;
	struct crash_candidate *c;
	int pass, i;

	report->crashed.crashed_val = rows;
	for (pass = 0; pass < 2; pass++) {
		for (i = 0; i < CRASH_CANDIDATES_MAX; i++) {
			c = &g->crash_candidates[i];
			if (!is_candidate(g, c, endpoint))
				continue;
			if (pass == 0 &&
			    quarantine_check(&g->quarantine, c->fingerprint,
					     gateway_now_us(g)) ==
				    QUARANTINE_CLEAR)
				continue;
			count_crash(g, c, report);
		}
	}
	if (report->crashed.crashed_len)
		heartbeat_broadcast(g, &call);
}

/* See gateway.h. */
void crash_apply_report(struct gateway *g, const struct fig_crash *c)
{
	uint32_t i;

	for (i = 0; i < c->crashed.crashed_len; i++)
		quarantine_apply_report(&g->quarantine,
					c->crashed.crashed_val[i].fingerprint,
					c->crashed.crashed_val[i].held,
					gateway_now_us(g));
}

/* See gateway.h. */
bool crash_is_blocked(struct gateway *g, const struct call_head *call,
		      const struct directory_account *account,
		      const struct h1_buf *body)
{
	int64_t now_us = gateway_now_us(g);

	if (!quarantine_blocks_any(&g->quarantine, now_us))
		return false;
	return quarantine_check(&g->quarantine,
				fingerprint(call, account ? account->name : "",
					    body),
				now_us) == QUARANTINE_BLOCKED;
}
