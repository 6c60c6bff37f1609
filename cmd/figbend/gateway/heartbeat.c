#include "gateway.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logline.h"

/*
 * The peers of this host and the heartbeats exchanged with them. A heartbeat
 * carries what this host has consumed of each account's rate limit, the
 * requests that it runs at endpoints, and the offsets that it has reached in
 * the store's streams. A host that cannot read the store, or leaves that to
 * others, fetches the records from a peer that has them.
 */

/* Heartbeat interval with few hosts. Rate limits can be exceeded by what the
 * hosts admit within an interval. */
#define INTERVAL_MIN_S 0.2
/* With many hosts the interval is this times their number, so that a host
 * receives about 100 regular heartbeats per second. */
#define INTERVAL_PER_HOST_S 0.01
/* A heartbeat may be sent this much before its interval is over, because timers
 * fire a little early or late. */
#define TIMER_TOLERANCE_US 50000LL
/* A host is unreachable after this many intervals without a heartbeat.
 * Heartbeats are UDP datagrams: some may be lost. */
#define TIMEOUT_INTERVALS 5
/* Loads and reader state that a peer reported are ignored after this time. */
#define STALE_US 2000000LL
/* A peer is removed after this time without heartbeats. Its next heartbeat, or
 * a newer record of it in the store, adds it again. */
#define REMOVE_US 20000000LL
/* Part of limit_slack that is added to every burst, so that consumption which
 * is not yet reported to all hosts causes no refusal within the limit. */
#define BURST_SLACK_PART 0.4
/* Hosts of a domain that read the store's streams for the whole domain. */
#define READERS_PER_DOMAIN 2
#define FETCH_TIMEOUT_MS 800

/* The requests of a peer at one endpoint, as it last reported them. */
struct gateway_peer_load {
	struct fleet_endpoint *endpoint;
	uint32_t running;
	uint32_t kv_tokens;
	uint32_t prefill_tokens;
};

static struct gateway_peer *find(struct gateway *g, const char *name)
{
	struct gateway_peer *p;

	TAILQ_FOREACH(p, &g->peers, entry)
	if (strcmp(p->name, name) == 0)
		return p;
	return NULL;
}

/* Subtracts the loads that a peer reported from those of the endpoints. */
static void clear_loads(struct gateway_peer *p)
{
	uint32_t i;

	for (i = 0; i < p->n_loads; i++) {
		struct gateway_peer_load *l = &p->load[i];

		l->endpoint->peer_running -= l->running;
		l->endpoint->peer_kv_tokens -= l->kv_tokens;
		l->endpoint->peer_prefill_tokens -= l->prefill_tokens;
		fleet_unref(l->endpoint);
	}
	free(p->load);
	p->load = NULL;
	p->n_loads = 0;
}

/* Replaces the loads of a peer by those of its heartbeat. */
static void set_loads(struct gateway *g, struct gateway_peer *p,
		      const struct fig_share *s)
{
	uint32_t i;

	clear_loads(p);
	p->load = calloc(s->load.load_len + 1, sizeof(*p->load));
	if (!p->load)
		return;
	for (i = 0; i < s->load.load_len; i++) {
		const struct fig_load *reported = &s->load.load_val[i];
		struct fleet_endpoint *e =
			fleet_find(&g->fleet, reported->endpoint);
		struct gateway_peer_load *l = &p->load[p->n_loads];

		if (!e)
			continue;
		l->endpoint = fleet_ref(e);
		l->running = reported->running;
		l->kv_tokens = reported->tokens;
		l->prefill_tokens = reported->prompt_tokens;
		e->peer_running += l->running;
		e->peer_kv_tokens += l->kv_tokens;
		e->peer_prefill_tokens += l->prefill_tokens;
		p->n_loads++;
	}
}

static bool reads_store(const struct gateway_peer *p, int64_t now_us)
{
	return p->last_heartbeat_us &&
	       now_us - p->last_heartbeat_us < STALE_US &&
	       p->reader_state == FIG_FOLLOWS;
}

/* See gateway.h. */
uint32_t heartbeat_count_readers(const struct gateway *g)
{
	int64_t now_us = gateway_now_us(g);
	const struct gateway_peer *p;
	uint32_t n = 1;

	TAILQ_FOREACH(p, &g->peers, entry)
	n += reads_store(p, now_us);
	return n;
}

/* See gateway.h. The hosts whose names sort first are the readers. */
bool heartbeat_may_be_passive(const struct gateway *g)
{
	int64_t now_us = gateway_now_us(g);
	const struct gateway_peer *p;
	uint32_t n = 0;

	TAILQ_FOREACH(p, &g->peers, entry)
	n += reads_store(p, now_us) &&
	     strcmp(p->domain, g->settings->domain) == 0 &&
	     strcmp(p->name, g->settings->host) < 0;
	return n >= READERS_PER_DOMAIN;
}

static void update_host_count(struct gateway *g)
{
	g->fleet.hosts = ratelimit_host_count(&g->ratelimit);
}

/* See gateway.h. */
void heartbeat_add_peer(struct gateway *g, const char *name, const char *addr)
{
	struct gateway_peer *p = find(g, name);

	if (strcmp(name, g->settings->host) == 0)
		return;
	if (!p) {
		p = calloc(1, sizeof(*p));
		if (!p)
			return;
		snprintf(p->name, sizeof(p->name), "%s", name);
		TAILQ_INSERT_TAIL(&g->peers, p, entry);
		logline(LOG_NOTICE, "host_found", "host=%s addr=%s", name,
			addr);
	}
	snprintf(p->addr, sizeof(p->addr), "%s", addr);
}

static void remove_peer(struct gateway *g, struct gateway_peer *p)
{
	logline(LOG_NOTICE, "host_gone", "host=%s", p->name);
	clear_loads(p);
	ratelimit_host_remove(&g->ratelimit, p->name);
	TAILQ_REMOVE(&g->peers, p, entry);
	/* The next tick marks the domain again if it has other known hosts, and
	 * none of them is reachable. */
	fleet_set_unreachable(&g->fleet, p->domain, false);
	free(p);
	update_host_count(g);
}

/* See gateway.h. */
void heartbeat_remove_peer(struct gateway *g, const char *name)
{
	struct gateway_peer *p = find(g, name);

	if (p)
		remove_peer(g, p);
}

/* A call for records; the peer may be removed before the response. */
struct fetch {
	struct gateway *g;
	char name[POOL_SETTINGS_NAME_BYTES];
};

static void on_records(void *ctx, int error, const struct fig_reply *reply)
{
	struct fetch *f = ctx;
	struct gateway *g = f->g;
	struct gateway_peer *p = find(g, f->name);
	const struct fig_records_got *got;
	uint32_t i;

	if (p)
		p->fetching = false;
	free(f);
	if (error || !reply)
		return;
	got = &reply->fig_reply_u.records_got;
	if (got->topic >= FIG_TOPICS)
		return;
	for (i = 0; i < got->record.record_len; i++) {
		const struct fig_record *r = &got->record.record_val[i];

		store_reader_apply(g, (enum adapter_topic)got->topic, r->key,
				   r->gone ? NULL : r->value.value_val,
				   r->value.value_len, r->offset,
				   p ? p->name : "host");
	}
	if (got->upto > g->records[got->topic].next_offset)
		g->records[got->topic].next_offset = got->upto;
}

/* Fetches records from a peer if this host lacks them, one topic at a time. */
static void fetch_if_behind(struct gateway *g, struct gateway_peer *p)
{
	struct fig_call call = {.kind = FIG_RECORDS_GET};
	struct fetch *f;
	int t;

	for (t = 0; t < FIG_TOPICS && !p->fetching; t++) {
		if (!store_reader_check_lag(g, (enum adapter_topic)t,
					    p->next_offset[t]))
			continue;
		f = calloc(1, sizeof(*f));
		if (!f)
			return;
		f->g = g;
		snprintf(f->name, sizeof(f->name), "%s", p->name);
		call.fig_call_u.records_get.topic = (u_int)t;
		call.fig_call_u.records_get.from = g->records[t].next_offset;
		p->fetching = true;
		if (peer_call(&g->peer, p->addr, &call, FETCH_TIMEOUT_MS,
			      on_records, f) < 0) {
			p->fetching = false;
			free(f);
		}
	}
}

/*
 * Fills a reply with all records from an offset on. Returns 0 or a negative
 * error number; the caller frees the reply in either case.
 */
static int fill_records(struct gateway *g, const struct fig_records_get *get,
			struct fig_records_got *got)
{
	const struct records *r;
	struct fig_record *row;
	uint32_t i;

	if (get->topic >= FIG_TOPICS)
		return -EINVAL;
	r = &g->records[get->topic];
	got->topic = get->topic;
	got->upto = r->next_offset;
	got->record.record_val = calloc(r->n + 1, sizeof(*row));
	if (!got->record.record_val)
		return -ENOMEM;
	for (i = 0; i < r->n; i++) {
		if (r->row[i].offset < get->from)
			continue;
		row = &got->record.record_val[got->record.record_len++];
		row->key = strdup(r->row[i].key);
		row->gone = !r->row[i].value;
		row->offset = r->row[i].offset;
		row->value.value_val = malloc(r->row[i].value_bytes + 1);
		if (!row->key || !row->value.value_val)
			return -ENOMEM;
		if (r->row[i].value)
			memcpy(row->value.value_val, r->row[i].value,
			       r->row[i].value_bytes);
		row->value.value_len = (u_int)r->row[i].value_bytes;
	}
	return 0;
}

static int on_call(void *ctx, const struct wire_opened *from,
		   struct fig_reply *reply)
{
	struct gateway *g = ctx;

	if (from->call.kind != FIG_RECORDS_GET)
		return -ENOSYS;
	return fill_records(g, &from->call.fig_call_u.records_get,
			    &reply->fig_reply_u.records_got);
}

static void on_message(void *ctx, const struct wire_opened *from)
{
	struct gateway *g = ctx;
	const struct fig_share *s = &from->call.fig_call_u.share;
	int64_t now_us = gateway_now_us(g);
	struct gateway_peer *p;
	uint32_t i;
	int host;

	if (from->call.kind == FIG_CRASH)
		crash_apply_report(g, &from->call.fig_call_u.crash);
	if (from->call.kind != FIG_SHARE)
		return;
	stats_add(&g->stats, STATS_PEER_MESSAGES, 1);
	heartbeat_add_peer(g, from->sender, s->addr);
	p = find(g, from->sender);
	if (!p)
		return;
	p->last_heartbeat_us = now_us;
	memcpy(p->next_offset, s->upto, sizeof(p->next_offset));
	p->reader_state = (enum fig_following)s->following;
	snprintf(p->domain, sizeof(p->domain), "%s", s->domain);
	host = ratelimit_host_update(&g->ratelimit, p->name, from->boot,
				     now_us);
	for (i = 0; host >= 0 && i < s->spent.spent_len; i++)
		ratelimit_apply_report(&g->ratelimit, host,
				       s->spent.spent_val[i].account,
				       s->spent.spent_val[i].amount, now_us);
	set_loads(g, p, s);
	update_host_count(g);
	fetch_if_behind(g, p);
}

/*
 * Returns what the heartbeats report of this host's readers of operators and
 * endpoints: FIG_FOLLOWS if both read the store. Otherwise the first one that
 * does not decides: FIG_LEAVES_IT if it is passive, FIG_TURNED_AWAY if its
 * reads fail or none has succeeded yet.
 */
static enum fig_following own_reader_state(const struct gateway *g)
{
	int t;

	for (t = 0; t < FIG_TOPICS; t++) {
		if (g->reader[t].failures || !g->reader[t].last_ok_us)
			return FIG_TURNED_AWAY;
		if (g->reader[t].passive)
			return FIG_LEAVES_IT;
	}
	return FIG_FOLLOWS;
}

/*
 * Fills a heartbeat. The strings are borrowed; the caller frees the arrays,
 * also on an error. Returns 0 or -ENOMEM.
 */
static int fill_heartbeat(struct gateway *g, struct fig_share *s)
{
	struct fleet_endpoint *e;
	uint32_t i;

	memset(s, 0, sizeof(*s));
	s->domain = (char *)g->settings->domain;
	s->addr = (char *)g->settings->peer_addr;
	s->following = own_reader_state(g);
	for (i = 0; i < FIG_TOPICS; i++)
		s->upto[i] = g->records[i].next_offset;
	s->spent.spent_val = calloc(g->ratelimit.n_accounts + 1,
				    sizeof(*s->spent.spent_val));
	s->load.load_val =
		calloc(g->fleet.n_endpoints + 1, sizeof(*s->load.load_val));
	if (!s->spent.spent_val || !s->load.load_val)
		return -ENOMEM;
	for (i = 0; i < g->ratelimit.n_accounts; i++) {
		struct ratelimit_account *a = &g->ratelimit.account[i];
		struct fig_spent *row;

		if (!a->consumed)
			continue;
		row = &s->spent.spent_val[s->spent.spent_len++];
		row->account = a->name;
		row->amount = a->consumed;
	}
	TAILQ_FOREACH(e, &g->fleet.list, link)
	{
		struct fig_load *row;

		if ((!e->running && !e->prefill_tokens) ||
		    s->load.load_len == FIG_LOADS_MAX)
			continue;
		row = &s->load.load_val[s->load.load_len++];
		row->endpoint = e->entry.id;
		row->running = e->running;
		row->tokens = (u_int)e->kv_tokens;
		row->prompt_tokens = e->prefill_tokens;
	}
	return 0;
}

static bool is_reachable(const struct gateway *g, const struct gateway_peer *p)
{
	return p->last_heartbeat_us &&
	       gateway_now_us(g) - p->last_heartbeat_us <
		       g->ratelimit.host_timeout_us;
}

/* Returns true if any host of the domain is reachable. */
static bool domain_is_reachable(const struct gateway *g, const char *domain)
{
	const struct gateway_peer *p;

	TAILQ_FOREACH(p, &g->peers, entry)
	if (is_reachable(g, p) && strcmp(p->domain, domain) == 0)
		return true;
	return false;
}

/* Marks each other domain as unreachable if none of its hosts is reachable. */
static void update_unreachable(struct gateway *g)
{
	const struct gateway_peer *p;

	TAILQ_FOREACH(p, &g->peers, entry)
	if (p->domain[0] && strcmp(p->domain, g->settings->domain) != 0)
		fleet_set_unreachable(&g->fleet, p->domain,
				      !domain_is_reachable(g, p->domain));
}

/*
 * Sets isolated_since_us when no other domain is reachable any more, and clears
 * it when one is again. While this host is isolated, req.c may start to drain
 * the connections of callers; any change stops that.
 */
static void update_isolated(struct gateway *g)
{
	const struct gateway_peer *p;
	bool others = false, reachable = false;

	TAILQ_FOREACH(p, &g->peers, entry)
	{
		if (!p->last_heartbeat_us ||
		    strcmp(p->domain, g->settings->domain) == 0)
			continue;
		others = true;
		reachable = reachable || is_reachable(g, p);
	}
	if ((others && !reachable) == (g->isolated_since_us != 0))
		return;
	g->isolated_since_us = others && !reachable ? gateway_now_us(g) : 0;
	logline(LOG_WARNING,
		g->isolated_since_us ? "domains_lost" : "domains_back",
		"domain=%s hosts=%u running=%u", g->settings->domain,
		g->fleet.hosts, g->n_reqs);
	g->callers.draining = g->stopping;
}

/*
 * Drops stale loads, and peers without heartbeats for a long time. A peer from
 * which no heartbeat was ever received stays until its record is deleted.
 */
static void expire_peers(struct gateway *g)
{
	int64_t now_us = gateway_now_us(g);
	struct gateway_peer *p, *next;

	for (p = TAILQ_FIRST(&g->peers); p; p = next) {
		next = TAILQ_NEXT(p, entry);
		if (p->last_heartbeat_us &&
		    now_us - p->last_heartbeat_us > STALE_US)
			clear_loads(p);
		if (p->last_heartbeat_us &&
		    now_us - p->last_heartbeat_us > REMOVE_US)
			remove_peer(g, p);
	}
}

/* Sends a heartbeat to all peers, or only to those of this host's domain. */
static void send_heartbeats(struct gateway *g, bool domain_only)
{
	struct fig_call call = {.kind = FIG_SHARE};
	struct fig_share *s = &call.fig_call_u.share;
	struct gateway_peer *p;

	if (fill_heartbeat(g, s) == 0)
		TAILQ_FOREACH(p, &g->peers, entry)
	if (!domain_only || strcmp(p->domain, g->settings->domain) == 0)
		peer_send(&g->peer, p->addr, &call);
	free(s->spent.spent_val);
	free(s->load.load_val);
}

/* See gateway.h. */
void heartbeat_broadcast(struct gateway *g, const struct fig_call *call)
{
	struct gateway_peer *p;

	TAILQ_FOREACH(p, &g->peers, entry)
	peer_send(&g->peer, p->addr, call);
}

/* See gateway.h. */
void heartbeat_send_domain(struct gateway *g)
{
	send_heartbeats(g, true);
}

/* See gateway.h. */
double heartbeat_interval_s(const struct gateway *g)
{
	double s = INTERVAL_PER_HOST_S * ratelimit_host_count(&g->ratelimit);

	return s > INTERVAL_MIN_S ? s : INTERVAL_MIN_S;
}

/*
 * Sends a heartbeat when the interval is over. While a bucket with unreported
 * consumption is less than half full, it sends one at each tick of
 * INTERVAL_MIN_S: what all hosts admit between heartbeats adds up.
 */
static void on_heartbeat_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gateway *g = w->data;
	int64_t now_us = gateway_now_us(g);
	int64_t interval_us = (int64_t)(heartbeat_interval_s(g) * 1e6);

	g->ratelimit.host_timeout_us = TIMEOUT_INTERVALS * interval_us;
	update_unreachable(g);
	update_isolated(g);
	expire_peers(g);
	if (now_us - g->heartbeat_sent_us < interval_us - TIMER_TOLERANCE_US &&
	    !ratelimit_report_urgent(&g->ratelimit, now_us))
		return;
	g->heartbeat_sent_us = now_us;
	send_heartbeats(g, false);
	ratelimit_mark_reported(&g->ratelimit);
}

/* See gateway.h. */
int heartbeat_init(struct gateway *g)
{
	int r;

	TAILQ_INIT(&g->peers);
	ratelimit_init(&g->ratelimit);
	g->ratelimit.slack = g->settings->limit_slack * BURST_SLACK_PART;
	r = peer_init(&g->peer, g->loop, g->settings->peer_addr,
		      g->settings->host, g->settings->secret, g->boot_us,
		      on_call, on_message, g);
	if (r < 0)
		return r;
	ev_timer_init(&g->heartbeat_timer, on_heartbeat_timer, INTERVAL_MIN_S,
		      INTERVAL_MIN_S);
	g->heartbeat_timer.data = g;
	ev_timer_start(g->loop, &g->heartbeat_timer);
	return 0;
}

/* Stops the heartbeats and frees all peers. */
void heartbeat_finish(struct gateway *g)
{
	struct gateway_peer *p;

	ev_timer_stop(g->loop, &g->heartbeat_timer);
	while ((p = TAILQ_FIRST(&g->peers)) != NULL) {
		clear_loads(p);
		TAILQ_REMOVE(&g->peers, p, entry);
		free(p);
	}
	peer_finish(&g->peer);
	ratelimit_finish(&g->ratelimit);
}
