#include "req.h"

#include <stdio.h>
#include <string.h>

#include "logline.h"

/*
 * Finds requests that crash the endpoints that run them. A run that broke off is
 * kept until its endpoint's entry shows that the endpoint crashed; then it counts
 * against the request's fingerprint, here and at all other hosts. A request that
 * crashed too many endpoints is refused.
 */

/* Crashes of endpoints by one request, alone among suspects, until it is held:
 * one that was there by chance three times in ten minutes is rare. */
#define CRASHES_MAX 3
/* An endpoint that crashed is off the list after three of its heartbeats, which
 * come about every 1.2 s, or shows a new start. */
#define BROKEN_KEEP_US 6000000LL

/* The caller, the path and the body: what stays the same if it comes again. */
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

/* An endpoint broke off a run that it may have begun. */
void crash_add_candidate(struct req *r)
{
	struct gateway *g = r->g;
	struct crash_candidate *b =
		&g->crash_candidates[g->crash_candidates_next++ %
				     CRASH_CANDIDATES_MAX];

	b->fingerprint = fingerprint(&r->call,
				     r->account ? r->account->name : "",
				     &r->conn->request.body);
	b->broken_us = gateway_now_us(g);
	snprintf(b->endpoint, sizeof(b->endpoint), "%s", r->endpoint->entry.id);
	snprintf(b->request, sizeof(b->request), "%s", r->call.id);
	/* News of the crash may come before its connection closes. */
	if (!r->endpoint->listed && !r->endpoint->entry.draining)
		crash_confirm(g, b->endpoint);
}

/* Counts one run against its request and adds it to what the others hear. */
static void count(struct gateway *g, struct crash_candidate *b,
		  struct fig_crash *told)
{
	bool held = quarantine_record_crash(&g->quarantine, b->fingerprint,
					    b->endpoint, gateway_now_us(g));
	struct fig_crashed *row;

	stats_add(&g->stats, STATS_CRASH_SUSPECTS, 1);
	logline(LOG_WARNING, "endpoint_crashed",
		"request=%s endpoint=%s fingerprint=%016llx broken_ms=%lld "
		"held=%d",
		b->request, b->endpoint, (unsigned long long)b->fingerprint,
		(long long)(gateway_now_us(g) - b->broken_us) / 1000, held);
	if (told->crashed.crashed_len < FIG_CRASHES_MAX) {
		row = &told->crashed.crashed_val[told->crashed.crashed_len++];
		row->fingerprint = b->fingerprint;
		row->held = held;
	}
	b->fingerprint = 0;
}

static bool is_victim(const struct gateway *g, const struct crash_candidate *b,
		      const char *endpoint)
{
	return b->fingerprint && strcmp(b->endpoint, endpoint) == 0 &&
	       gateway_now_us(g) - b->broken_us < BROKEN_KEEP_US;
}

/*
 * See gateway.h. Requests that were suspects before are counted first, so that
 * those that were there by chance are no company to them.
 */
void crash_confirm(struct gateway *g, const char *endpoint)
{
	struct fig_crashed rows[FIG_CRASHES_MAX];
	struct fig_call call = {.kind = FIG_CRASH};
	struct fig_crash *told = &call.fig_call_u.crash;
	struct crash_candidate *b;
	int pass, i;

	told->crashed.crashed_val = rows;
	for (pass = 0; pass < 2; pass++) {
		for (i = 0; i < CRASH_CANDIDATES_MAX; i++) {
			b = &g->crash_candidates[i];
			if (!is_victim(g, b, endpoint))
				continue;
			if (pass == 0 &&
			    quarantine_check(&g->quarantine, b->fingerprint,
					     gateway_now_us(g)) ==
				    QUARANTINE_CLEAR)
				continue;
			count(g, b, told);
		}
	}
	if (told->crashed.crashed_len)
		heartbeat_broadcast(g, &call);
}

/* Another host saw requests crash an endpoint. */
void crash_apply_report(struct gateway *g, const struct fig_crash *c)
{
	uint32_t i;

	for (i = 0; i < c->crashed.crashed_len; i++)
		quarantine_apply_report(&g->quarantine,
					c->crashed.crashed_val[i].fingerprint,
					c->crashed.crashed_val[i].held,
					gateway_now_us(g));
}

/* Tells whether the request crashed too many endpoints to run again. */
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
