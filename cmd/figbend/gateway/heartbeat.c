#include "gateway.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "logline.h"

/*
 * The other hosts and the messages exchanged with them. pkg/relay decides what
 * is sent to whom, and what this host knows of the others; here it is carried
 * over the network and put into effect.
 */

/* Part of limit_slack that is added to every burst, so that consumption which
 * is not yet reported to all hosts causes no refusal within the limit. */
#define BURST_SLACK_PART 0.4
/* What is known through delegates is up to as old as reports in a mesh with
 * this interval. */
#define DELEGATES_INTERVAL_S 0.6
#define MESH_INTERVAL_PER_HOST_S 0.01
/* Interval of messages to hosts whose messages are refused, at the least. */
#define START_TOLD_INTERVAL_US 50000LL
/* How often a process raises its start, at the most. */
#define START_RAISES_MAX 8
/* Separates the domain from the name in the key of a host's record. */
#define KEY_SEPARATOR '/'

/* See gateway.h. */
bool heartbeat_may_be_passive(const struct gateway *g)
{
	return relay_has_reader(&g->relay, gateway_now_us(g));
}

/* See gateway.h. */
uint32_t heartbeat_reader_rank(const struct gateway *g)
{
	return relay_reader_rank(&g->relay, gateway_now_us(g));
}

/* See gateway.h. */
void heartbeat_host_key(const struct gateway *g, char *out, size_t size)
{
	snprintf(out, size, "%s%c%s", g->settings->domain, KEY_SEPARATOR,
		 g->settings->host);
}

/* Splits the key of a host's record; domain is "" if the key has none. */
static const char *split_key(const char *key, char *domain, size_t size)
{
	const char *separator = strchr(key, KEY_SEPARATOR);

	domain[0] = '\0';
	if (!separator)
		return key;
	snprintf(domain, size, "%.*s", (int)(separator - key), key);
	return separator + 1;
}

/* See gateway.h. */
void heartbeat_add_peer(struct gateway *g, const char *key, const char *addr)
{
	char domain[RELAY_NAME_BYTES];
	const char *name = split_key(key, domain, sizeof(domain));

	if (relay_add(&g->relay, name, domain, addr, gateway_now_us(g)))
		logline(LOG_NOTICE, "host_found", "host=%s domain=%s addr=%s",
			name, domain, addr);
}

/* See gateway.h. */
void heartbeat_remove_peer(struct gateway *g, const char *key)
{
	char domain[RELAY_NAME_BYTES];
	const char *name = split_key(key, domain, sizeof(domain));

	if (relay_remove(&g->relay, name))
		logline(LOG_NOTICE, "host_gone", "host=%s", name);
}

/* See gateway.h. */
void heartbeat_update_loads(struct gateway *g)
{
	int64_t now_us = gateway_now_us(g);
	struct fleet_endpoint *e;
	uint32_t tokens;

	if (!g->loads_changed)
		return;
	g->loads_changed = false;
	TAILQ_FOREACH(e, &g->fleet.list, link)
	{
		relay_get_load(&g->relay, e->key, now_us, &e->peer_running,
			       &tokens);
		e->peer_kv_tokens = e->entry.stage == FLEET_PREFILL ? 0
								    : tokens;
		e->peer_prefill_tokens =
			e->entry.stage == FLEET_PREFILL ? tokens : 0;
	}
}

/*
 * Returns what messages report of this host's readers of the store's streams:
 * FIG_FOLLOWS if all read the store. Otherwise the first one that does not
 * decides: FIG_LEAVES_IT if it is passive, FIG_TURNED_AWAY if its reads fail or
 * none has succeeded yet.
 */
static enum fig_following own_reader_state(const struct gateway *g)
{
	int t;

	for (t = 0; t < FIG_STREAMS; t++) {
		if (g->reader[t].failures)
			return FIG_TURNED_AWAY;
		if (g->reader[t].passive)
			return FIG_LEAVES_IT;
		if (!g->reader[t].last_ok_us || g->reader[t].in_snapshot)
			return FIG_TURNED_AWAY;
	}
	return FIG_FOLLOWS;
}

/* Tells the relay this host's own loads and offsets; load is its memory. */
static void set_self(struct gateway *g, struct relay_load *load)
{
	struct relay_self self = {.load = load,
				  .waiting = g->n_waiting,
				  .counter = g->peer.sealer.counter,
				  .reader_state = own_reader_state(g)};
	struct fleet_endpoint *e;
	int t;

	rollouts_update_counters(g);
	self.total = g->rollouts.total;
	self.n_own_totals = g->rollouts.n_counters;
	for (t = 0; t < FIG_STREAMS; t++)
		self.next_position[t] = g->records[t].next_position;
	for (t = 0; t < FIG_TOPICS; t++)
		self.as_of_us[t] = freshness_as_of_us(&g->freshness, t);
	TAILQ_FOREACH(e, &g->fleet.list, link)
	{
		if ((!e->running && !e->prefill_tokens) ||
		    self.n_loads == FIG_LOADS_MAX)
			continue;
		load[self.n_loads].endpoint = e->key;
		load[self.n_loads].running = e->running;
		load[self.n_loads++].tokens =
			(uint32_t)e->kv_tokens + e->prefill_tokens;
	}
	relay_set_self(&g->relay, &self);
}

/* Adds the counters of rollouts, as far as there is space. */
static void add_counters(struct gateway *g, struct fig_share *s)
{
	uint32_t i;

	for (i = 0; i < g->rollouts.n_counters; i++) {
		struct fig_spent *row;

		if (s->spent.spent_len == FIG_SPENT_MAX)
			return;
		row = &s->spent.spent_val[s->spent.spent_len++];
		row->account = g->rollouts.counter[i].name;
		row->amount = g->rollouts.counter[i].amount;
	}
}

/*
 * Fills a report of this host. The strings are borrowed; the caller frees the
 * arrays, also on an error. Returns 0 or -ENOMEM.
 */
static int fill_report(struct gateway *g, struct fig_share *s)
{
	uint32_t n_accounts = g->ratelimit.n_accounts;
	int64_t as_of_us[FIG_TOPICS];
	struct fleet_endpoint *e;
	uint32_t i;

	memset(s, 0, sizeof(*s));
	s->domain = (char *)g->settings->domain;
	s->addr = (char *)g->settings->peer_addr;
	s->following = own_reader_state(g);
	for (i = 0; i < FIG_TOPICS; i++) {
		s->upto[i] = g->records[i].next_position;
		as_of_us[i] = freshness_as_of_us(&g->freshness, (int)i);
	}
	s->hosts_upto = g->records[ADAPTER_HOSTS].next_position;
	s->uptime_ms = (uint64_t)(gateway_now_us(g) - g->relay.start_us) / 1000;
	s->waiting = g->n_waiting;
	rollouts_update_counters(g);
	s->spent.spent_val = calloc(n_accounts + g->rollouts.n_counters + 1,
				    sizeof(*s->spent.spent_val));
	s->refused.refused_val =
		calloc(n_accounts + 1, sizeof(*s->refused.refused_val));
	s->load.load_val =
		calloc(g->fleet.n_endpoints + 1, sizeof(*s->load.load_val));
	s->age_ms.age_ms_val = calloc(FIG_TOPICS, sizeof(u_int));
	if (!s->spent.spent_val || !s->refused.refused_val ||
	    !s->load.load_val || !s->age_ms.age_ms_val)
		return -ENOMEM;
	s->age_ms.age_ms_len = FIG_TOPICS;
	relay_fill_ages(as_of_us, gateway_now_us(g), s->age_ms.age_ms_val);
	for (i = 0; i < n_accounts; i++) {
		struct ratelimit_account *a = &g->ratelimit.account[i];
		struct fig_spent *row;

		if (a->used) {
			row = &s->spent.spent_val[s->spent.spent_len++];
			row->account = a->name;
			row->amount = (uint64_t)a->consumed;
		}
		if (a->refused) {
			row = &s->refused.refused_val[s->refused.refused_len++];
			row->account = a->name;
			row->amount = (uint64_t)a->refused;
		}
	}
	add_counters(g, s);
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

static void send_report(struct gateway *g, const char *addr, bool asks)
{
	struct fig_call call = {.kind = FIG_SHARE};
	struct fig_share *s = &call.fig_call_u.share;

	if (fill_report(g, s) == 0) {
		s->asks = asks;
		peer_send(&g->peer, addr, &call);
	}
	free(s->spent.spent_val);
	free(s->refused.refused_val);
	free(s->load.load_val);
	free(s->age_ms.age_ms_val);
}

static void send_rows(struct gateway *g, const struct relay_send *send,
		      uint32_t n)
{
	struct fig_call call = {.kind = FIG_ROWS};
	struct fig_rows *rows = &call.fig_call_u.rows;
	uint32_t i;

	rows->domain = (char *)g->settings->domain;
	rows->addr = (char *)g->settings->peer_addr;
	if (relay_fill_rows(&g->relay, rows, gateway_now_us(g)) == 0)
		for (i = 0; i < n; i++)
			if (send[i].kind == RELAY_SEND_ROWS)
				peer_send(&g->peer, send[i].addr, &call);
	relay_free_rows(rows);
}

static void send_digest(struct gateway *g, const struct relay_host *to)
{
	struct relay_load load[FIG_LOADS_MAX];
	struct fig_call call = {.kind = FIG_DIGEST};
	struct fig_digest *d = &call.fig_call_u.digest;

	d->domain = (char *)g->settings->domain;
	d->addr = (char *)g->settings->peer_addr;
	set_self(g, load);
	if (relay_fill_digest(&g->relay, to, d, gateway_now_us(g)) == 0)
		peer_send(&g->peer, to->addr, &call);
	relay_free_digest(d);
}

/* Tells the fleet with how many hosts, and requests there, this host shares limits,
 * and when its turns are. */
static void update_shares(struct gateway *g, int64_t now_us)
{
	struct timespec wall;
	uint32_t rank, ranks;

	fleet_set_demand(&g->fleet, relay_known(&g->relay, now_us),
			 g->n_waiting,
			 g->n_waiting + relay_waiting(&g->relay, now_us));
	rank = relay_rank(&g->relay, &ranks);
	clock_gettime(CLOCK_REALTIME, &wall);
	fleet_set_rank(&g->fleet, rank, ranks,
		       (int64_t)wall.tv_sec * 1000000 + wall.tv_nsec / 1000 -
			       now_us,
		       now_us);
}

/* Tells a host whose messages are refused which start of it is known. */
static void on_refused(void *ctx, const struct wire_opened *from,
		       uint64_t boot_us)
{
	struct gateway *g = ctx;
	struct relay_host *h = relay_find(&g->relay, from->sender);
	struct fig_call call = {.kind = FIG_START_KNOWN};
	int64_t now_us = gateway_now_us(g);

	if (!h || !h->addr[0] ||
	    now_us - g->start_told_us < START_TOLD_INTERVAL_US)
		return;
	g->start_told_us = now_us;
	logline(LOG_NOTICE, "start_refused",
		"host=%s start_us=%llu known_us=%llu", from->sender,
		(unsigned long long)from->boot, (unsigned long long)boot_us);
	call.fig_call_u.start_known.boot = boot_us;
	peer_send(&g->peer, h->addr, &call);
}

/*
 * Another host knows a later start of this one: the time of day was ahead then, and
 * its messages would be refused for as long. Two processes of one name would raise
 * their starts in turn, hence the limit.
 */
static void raise_start(struct gateway *g, uint64_t known_us, const char *by)
{
	if (known_us < g->boot_us || g->start_raises == START_RAISES_MAX)
		return;
	logline(LOG_NOTICE, "start_raised", "start_us=%llu known_us=%llu by=%s",
		(unsigned long long)g->boot_us, (unsigned long long)known_us,
		by);
	g->start_raises++;
	g->boot_us = known_us + 1;
	peer_raise_start(&g->peer, g->boot_us);
	relay_raise_start(&g->relay, g->boot_us);
}

static void on_message(void *ctx, const struct wire_opened *from)
{
	struct gateway *g = ctx;
	int64_t now_us = gateway_now_us(g);
	struct relay_host *h = NULL;

	relay_set_input_time(&g->relay, gateway_input_us(g));
	switch (from->call.kind) {
	case FIG_SUSPECTS:
		crash_apply_report(g, &from->call.fig_call_u.suspects);
		return;
	case FIG_NOTICES:
		notices_apply(g, &from->call.fig_call_u.notices, from->sender);
		return;
	case FIG_ROLLOUT:
		rollouts_apply_message(g, &from->call.fig_call_u.rollout,
				       from->sender);
		return;
	case FIG_START_KNOWN:
		raise_start(g, from->call.fig_call_u.start_known.boot,
			    from->sender);
		return;
	case FIG_SHARE:
		h = relay_on_report(&g->relay, from->sender, from->boot,
				    from->counter, &from->call.fig_call_u.share,
				    now_us);
		if (h && from->call.fig_call_u.share.asks)
			send_digest(g, h);
		break;
	case FIG_ROWS:
		h = relay_on_rows(&g->relay, from->sender, from->boot,
				  from->counter, &from->call.fig_call_u.rows,
				  now_us);
		break;
	case FIG_DIGEST:
		h = relay_on_digest(&g->relay, from->sender, from->boot,
				    from->counter,
				    &from->call.fig_call_u.digest, now_us);
		break;
	default:
		return;
	}
	stats_add(&g->stats, STATS_PEER_MESSAGES, 1);
	g->loads_changed = true;
	if (h)
		records_age_told(g, h);
	if (h && h->addr[0])
		record_fetch_if_behind(g, h);
}

/*
 * Marks the other domains of which no host is alive as unreachable. Sets
 * isolated_since_us when that holds for all of them, and clears it when it no
 * longer does. While this host is isolated, req.c may start to drain the
 * connections of callers; any change stops that.
 */
static void update_domains(struct gateway *g, int64_t now_us)
{
	bool others = false, reachable = false, alive;
	uint32_t i;

	for (i = 0; i < g->relay.n_domains; i++) {
		const struct relay_domain *d = &g->relay.domain[i];

		if (d == g->relay.own_domain || !d->heard)
			continue;
		alive = relay_domain_is_alive(&g->relay, d, now_us);
		fleet_set_unreachable(&g->fleet, d->name, !alive);
		others = true;
		reachable = reachable || alive;
	}
	if ((others && !reachable) == (g->isolated_since_us != 0))
		return;
	g->isolated_since_us = others && !reachable ? now_us : 0;
	logline(LOG_WARNING,
		g->isolated_since_us ? "domains_lost" : "domains_back",
		"domain=%s hosts=%u running=%u", g->settings->domain,
		g->fleet.hosts, g->n_reqs);
	g->callers.draining = g->drain.stopping;
}

/* See gateway.h. */
void heartbeat_broadcast(struct gateway *g, const struct fig_call *call)
{
	uint32_t i;

	for (i = 0; i < g->relay.n_hosts; i++)
		if (g->relay.host[i]->addr[0])
			peer_send(&g->peer, g->relay.host[i]->addr, call);
}

/* See gateway.h. */
void heartbeat_send_random(struct gateway *g, const struct fig_call *call)
{
	const struct relay_host *h;

	if (!g->relay.n_hosts)
		return;
	h = g->relay.host[gateway_random(g) % g->relay.n_hosts];
	if (h->addr[0])
		peer_send(&g->peer, h->addr, call);
}

/* See gateway.h. With delegates their digests tell it. */
void heartbeat_send_domain(struct gateway *g)
{
	const struct relay_domain *d = g->relay.own_domain;
	uint32_t i;

	if (g->relay.mode != RELAY_MESH)
		return;
	for (i = 0; i < d->n; i++)
		if (d->host[i]->addr[0])
			send_report(g, d->host[i]->addr, false);
}

/* See gateway.h. */
double heartbeat_interval_s(const struct gateway *g)
{
	double s = MESH_INTERVAL_PER_HOST_S * (g->relay.n_hosts + 1);

	if (g->relay.mode != RELAY_MESH)
		return DELEGATES_INTERVAL_S;
	return s > RELAY_REPORT_US / 1e6 ? s : RELAY_REPORT_US / 1e6;
}

static void log_mode(struct gateway *g)
{
	static const char *const names[] = {[RELAY_MESH] = "mesh",
					    [RELAY_MEMBER] = "member",
					    [RELAY_DELEGATE] = "delegate"};
	int64_t now_us = gateway_now_us(g);

	if (g->relay.mode == g->logged_mode)
		return;
	logline(LOG_NOTICE, "relay",
		"mode=%s before=%s hosts=%u alive=%u age_ms=%lld",
		names[g->relay.mode], names[g->logged_mode],
		relay_known(&g->relay, now_us), relay_living(&g->relay, now_us),
		(long long)relay_age_us(&g->relay, now_us) / 1000);
	g->logged_mode = g->relay.mode;
}

static void on_heartbeat_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gateway *g = w->data;
	struct relay_load load[FIG_LOADS_MAX];
	struct relay_send send[RELAY_SENDS_MAX];
	int64_t now_us = gateway_now_us(g), age_us;
	bool rows = false;
	uint32_t i, n;

	relay_set_partial(
		&g->relay,
		!record_offset(g->records[ADAPTER_HOSTS].next_position));
	n = relay_tick(&g->relay, now_us, send);
	g->loads_changed = true;
	update_shares(g, now_us);
	records_age_check(g);
	log_mode(g);
	update_domains(g, now_us);
	for (i = 0; i < n; i++)
		if (send[i].kind == RELAY_SEND_REPORT)
			send_report(g, send[i].addr, send[i].asks);
		else
			rows = true;
	if (rows) {
		set_self(g, load);
		send_rows(g, send, n);
	}
	crash_tick(g);
	notices_send(g);
	rollouts_tick(g);
	age_us = relay_age_us(&g->relay, now_us);
	if (age_us >= 0)
		stats_observe(&g->stats, STATS_KNOWLEDGE_AGE_S, age_us);
	g->stats.counter[STATS_PEER_BYTES] =
		g->peer.counters.sent_bytes + g->peer.counters.received_bytes;
}

/* See gateway.h. */
int heartbeat_init(struct gateway *g)
{
	int r;

	record_fetch_init(g);
	ratelimit_init(&g->ratelimit);
	g->ratelimit.slack = g->settings->limit_slack * BURST_SLACK_PART;
	r = relay_init(&g->relay, g->settings->host, g->settings->domain,
		       g->boot_us, &g->ratelimit, gateway_now_us(g));
	if (r < 0)
		return r;
	r = peer_init(&g->peer, g->loop, g->settings->peer_addr,
		      g->settings->host, g->settings->secret, g->boot_us,
		      record_fetch_on_call, on_message, g);
	if (r < 0)
		return r;
	g->peer.on_refused = on_refused;
	ev_timer_init(&g->heartbeat_timer, on_heartbeat_timer,
		      RELAY_ROWS_US / 1e6, RELAY_ROWS_US / 1e6);
	g->heartbeat_timer.data = g;
	ev_timer_start(g->loop, &g->heartbeat_timer);
	return 0;
}

/* Stops the messages and forgets all hosts. */
void heartbeat_finish(struct gateway *g)
{
	ev_timer_stop(g->loop, &g->heartbeat_timer);
	peer_finish(&g->peer);
	relay_finish(&g->relay);
	ratelimit_finish(&g->ratelimit);
}
