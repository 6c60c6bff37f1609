#include "req.h"

#include <assert.h>
#include <string.h>

#include "logline.h"
#include "namehash.h"

/*
 * Finds what crashes the endpoints that execute it: pkg/poison decides, and here
 * it is told of broken connections, answers and crashes, and its entries are
 * exchanged with the other hosts.
 */

/* Entries go to this many hosts each interval, for hosts that start or that
 * missed a message. */
#define GOSSIP_HOSTS 2
#define GOSSIP_INTERVAL_US 500000LL
/* Entries in such a message, and in one on changes: a datagram of 9,000 bytes
 * holds 50 entries with all their breaks. */
#define GOSSIP_ENTRIES 16
#define CHANGED_ENTRIES 32

static_assert(POISON_BREAKS_MAX <= FIG_BREAKS_MAX, "a report fits the message");
static_assert(POISON_KEYS_MAX >= CALL_PARTS_MAX + 1, "a request has a key too");

/* FNV-1a, as pkg/namehash has it, over parts of memory. */
static uint64_t hash_bytes(uint64_t h, const void *p, size_t n)
{
	const uint8_t *byte = p;

	while (n--)
		h = (h ^ *byte++) * 1099511628211ULL;
	return h;
}

/* Hashes what stays the same when a caller repeats a request; never 0. */
static uint64_t fingerprint(const struct call_head *call, const char *account,
			    const struct h1_buf *body)
{
	uint64_t h = namehash(account);

	h = hash_bytes(h, call->host, strlen(call->host) + 1);
	h = hash_bytes(h, call->path, strlen(call->path) + 1);
	h = hash_bytes(h, h1_buf_data(body), h1_buf_len(body));
	return h ? h : 1;
}

/* Fills the keys of a request, most shared first, and returns their number. */
static uint32_t fill_keys(const struct call_head *call,
			  const struct directory_account *account,
			  const struct h1_buf *body,
			  uint64_t key[POISON_KEYS_MAX])
{
	uint32_t n = call->prompt.n_shared_parts;

	memcpy(key, call->prompt.shared_part, n * sizeof(key[0]));
	key[n] = fingerprint(call, account ? account->name : "", body);
	return n + 1;
}

/* See gateway.h. */
void crash_init(struct gateway *g)
{
	poison_init(&g->poison);
}

/* Fills a message with the entries that changed from since_us on. */
static bool fill_message(struct gateway *g, struct fig_suspect *row,
			 struct fig_break brk[][POISON_BREAKS_MAX],
			 uint32_t max, int64_t since_us, struct fig_call *call)
{
	struct poison_report report[CHANGED_ENTRIES];
	uint32_t i, j, n;

	n = poison_report(&g->poison, report, max, since_us, gateway_now_us(g));
	for (i = 0; i < n; i++) {
		row[i].key = report[i].key;
		row[i].depth = report[i].depth;
		row[i].acquitted_ms = report[i].acquitted_ms;
		row[i].explained_ms = report[i].explained_ms;
		row[i].explained_by = report[i].explained_by;
		row[i].blocked_ms = report[i].blocked_ms;
		row[i].proven = report[i].proven;
		row[i].blocks = report[i].blocks;
		row[i].brk.brk_len = report[i].n_breaks;
		row[i].brk.brk_val = brk[i];
		for (j = 0; j < report[i].n_breaks; j++) {
			brk[i][j].endpoint = report[i].brk[j].endpoint;
			brk[i][j].age_ms = report[i].brk[j].age_ms;
			brk[i][j].confirmed = report[i].brk[j].confirmed;
		}
	}
	memset(call, 0, sizeof(*call));
	call->kind = FIG_SUSPECTS;
	call->fig_call_u.suspects.suspect.suspect_len = n;
	call->fig_call_u.suspects.suspect.suspect_val = row;
	return n > 0;
}

/* Tells all hosts what changed from since_us on. */
static void send_changes(struct gateway *g, int64_t since_us)
{
	struct fig_break brk[CHANGED_ENTRIES][POISON_BREAKS_MAX];
	struct fig_suspect row[CHANGED_ENTRIES];
	struct fig_call call;

	if (fill_message(g, row, brk, CHANGED_ENTRIES, since_us, &call))
		heartbeat_broadcast(g, &call);
}

/* Sends what this host knows to a few hosts, if it is time to. */
static void send_suspects(struct gateway *g)
{
	struct fig_break brk[GOSSIP_ENTRIES][POISON_BREAKS_MAX];
	struct fig_suspect row[GOSSIP_ENTRIES];
	struct fig_call call;
	int i;

	if (!poison_suspects_any(&g->poison) ||
	    gateway_now_us(g) - g->suspects_sent_us < GOSSIP_INTERVAL_US)
		return;
	g->suspects_sent_us = gateway_now_us(g);
	if (!fill_message(g, row, brk, GOSSIP_ENTRIES, 0, &call))
		return;
	for (i = 0; i < GOSSIP_HOSTS; i++)
		heartbeat_send_random(g, &call);
}

/* Blocks the keys that have been accused for long enough, on all hosts. */
static void judge(struct gateway *g)
{
	uint64_t blocked[POISON_KEYS_MAX];
	int64_t now_us = gateway_now_us(g);
	uint32_t i, n;

	if (!poison_is_accusing(&g->poison))
		return;
	n = poison_judge(&g->poison, blocked, POISON_KEYS_MAX, now_us);
	for (i = 0; i < n && i < POISON_KEYS_MAX; i++)
		logline(LOG_WARNING, "blocked",
			"key=%016llx for_ms=%lld source=own",
			(unsigned long long)blocked[i],
			(long long)poison_blocked_us(&g->poison, &blocked[i], 1,
						     now_us) /
				1000);
	send_changes(g, now_us);
}

/* See gateway.h. */
void crash_tick(struct gateway *g)
{
	poison_set_store_lost(&g->poison, !store_apply_shows_crashes(g));
	poison_set_hosts(&g->poison, namehash(g->settings->host),
			 g->fleet.hosts);
	judge(g);
	send_suspects(g);
}

/* See gateway.h. An endpoint that leaves in order closes its connections. */
void crash_charge(struct req *r, const struct fleet_endpoint *e)
{
	struct gateway *g = r->g;
	int64_t now_us = gateway_now_us(g);
	uint64_t key[POISON_KEYS_MAX];
	struct poison_break brk;
	uint32_t n;

	if (e->entry.draining)
		return;
	n = fill_keys(&r->call, r->account, &r->conn->request.body, key);
	brk.endpoint = e->start_key;
	brk.at_us = now_us;
	/* The store may show the crash before the connection breaks. */
	brk.confirmed = !e->listed && !e->lapsed;
	poison_charge(&g->poison, key, n, &brk, now_us);
	stats_add(&g->stats, STATS_CRASH_SUSPECTS, 1);
	logline(LOG_WARNING, "answer_broken",
		"request=%s endpoint=%s fingerprint=%016llx parts=%u",
		r->call.id, e->entry.id, (unsigned long long)key[n - 1], n - 1);
	send_changes(g, now_us);
}

/*
 * See gateway.h. A refusal, or a response at the deadline, may come from an
 * endpoint that had not begun.
 */
void crash_acquit(struct req *r)
{
	struct gateway *g = r->g;
	int64_t now_us = gateway_now_us(g);
	uint64_t key[POISON_KEYS_MAX];
	uint32_t n;

	if (r->status == 408 || r->status == 429 || r->status == 503 ||
	    r->status == 504)
		return;
	n = fill_keys(&r->call, r->account, &r->conn->request.body, key);
	if (!poison_acquit(&g->poison, key, n, now_us))
		return;
	logline(LOG_DEBUG, "acquitted", "request=%s fingerprint=%016llx",
		r->call.id, (unsigned long long)key[n - 1]);
	send_changes(g, now_us);
}

/* See gateway.h. */
void crash_confirm(struct gateway *g, const struct fleet_endpoint *e)
{
	uint32_t n =
		poison_confirm(&g->poison, e->start_key, gateway_now_us(g));

	if (n)
		logline(LOG_WARNING, "endpoint_crashed",
			"endpoint=%s service=%s suspects=%u", e->entry.id,
			e->entry.service, n);
}

/* See gateway.h. */
void crash_apply_report(struct gateway *g, const struct fig_suspects *s)
{
	const struct fig_suspect *row;
	struct poison_report report;
	uint32_t i, j;

	for (i = 0; i < s->suspect.suspect_len; i++) {
		row = &s->suspect.suspect_val[i];
		memset(&report, 0, sizeof(report));
		report.key = row->key;
		report.depth = row->depth;
		report.acquitted_ms = row->acquitted_ms;
		report.explained_ms = row->explained_ms;
		report.explained_by = row->explained_by;
		report.blocked_ms = row->blocked_ms;
		report.proven = row->proven;
		report.blocks = row->blocks;
		for (j = 0; j < row->brk.brk_len && j < POISON_BREAKS_MAX;
		     j++) {
			report.brk[j].endpoint = row->brk.brk_val[j].endpoint;
			report.brk[j].age_ms = row->brk.brk_val[j].age_ms;
			report.brk[j].confirmed = row->brk.brk_val[j].confirmed;
		}
		report.n_breaks = j;
		if (poison_merge(&g->poison, &report, gateway_now_us(g)))
			logline(LOG_WARNING, "blocked",
				"key=%016llx for_ms=%lld source=peer",
				(unsigned long long)row->key,
				(long long)poison_blocked_us(
					&g->poison, &report.key, 1,
					gateway_now_us(g)) /
					1000);
	}
}

/*
 * Judges the suspects and fills the keys of a request. Returns their number, or 0
 * if there is no suspect.
 */
static uint32_t fill_keys_if_suspects(struct gateway *g,
				      const struct call_head *call,
				      const struct directory_account *account,
				      const struct h1_buf *body,
				      uint64_t key[POISON_KEYS_MAX])
{
	judge(g);
	if (!poison_suspects_any(&g->poison))
		return 0;
	return fill_keys(call, account, body, key);
}

/* See gateway.h. */
int64_t crash_blocked_us(struct gateway *g, const struct call_head *call,
			 const struct directory_account *account,
			 const struct h1_buf *body)
{
	uint64_t key[POISON_KEYS_MAX];
	uint32_t n = fill_keys_if_suspects(g, call, account, body, key);

	return poison_blocked_us(&g->poison, key, n, gateway_now_us(g));
}

/* See gateway.h. */
int64_t crash_admit_us(struct gateway *g, const struct call_head *call,
		       const struct directory_account *account,
		       const struct h1_buf *body)
{
	uint64_t key[POISON_KEYS_MAX];
	uint32_t n = fill_keys_if_suspects(g, call, account, body, key);

	return poison_admit_us(&g->poison, key, n, gateway_now_us(g));
}
