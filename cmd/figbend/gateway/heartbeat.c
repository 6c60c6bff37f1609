#include "gateway.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logline.h"

/*
 * Tells the other hosts at intervals what this one lets through, has at
 * endpoints and knows of the store, and takes in what they tell. A host that
 * the store turns away gets the store's records from a host that has them.
 */

/* Between messages with few hosts; limits are exact to what passes in it. */
#define BEAT_MIN_S 0.2
/* Of the inexactness that operators allow, this part is added to bursts, so that
 * what is on its way between hosts refuses nobody within the limit. */
#define LIMIT_SLACK_PART 0.4
/* Timers end a little early or late; a message is due this much before. */
#define BEAT_EARLY_US 50000LL
/* Messages that may be lost before a host counts as silent. */
#define SILENT_BEATS 5
/* With many hosts a host sends one message in so many seconds. */
#define BEAT_PER_HOST_S 0.01
#define SILENT_US 2000000LL
/* A host that says nothing for so long is forgotten until it speaks again. */
#define FORGET_US 20000000LL
/* Hosts of a domain that read the store's streams for all of it. */
#define FOLLOWERS 2
#define RECORDS_TIMEOUT_MS 800

struct gateway_peer_load {
	struct fleet_endpoint *endpoint;
	uint32_t running;
	uint32_t tokens;
	uint32_t prompt_tokens;
};

static struct gateway_peer *find(struct gateway *g, const char *name)
{
	struct gateway_peer *p;

	TAILQ_FOREACH(p, &g->peers, entry)
	if (strcmp(p->name, name) == 0)
		return p;
	return NULL;
}

/* Takes back what a host said that it has at endpoints. */
static void clear_loads(struct gateway_peer *p)
{
	uint32_t i;

	for (i = 0; i < p->n_loads; i++) {
		struct gateway_peer_load *l = &p->load[i];

		l->endpoint->peer_running -= l->running;
		l->endpoint->peer_kv_tokens -= l->tokens;
		l->endpoint->peer_prefill_tokens -= l->prompt_tokens;
		fleet_unref(l->endpoint);
	}
	free(p->load);
	p->load = NULL;
	p->n_loads = 0;
}

static void set_loads(struct gateway *g, struct gateway_peer *p,
		      const struct fig_share *s)
{
	uint32_t i;

	clear_loads(p);
	p->load = calloc(s->load.load_len + 1, sizeof(*p->load));
	if (!p->load)
		return;
	for (i = 0; i < s->load.load_len; i++) {
		const struct fig_load *said = &s->load.load_val[i];
		struct fleet_endpoint *e =
			fleet_find(&g->fleet, said->endpoint);
		struct gateway_peer_load *l = &p->load[p->n_loads];

		if (!e)
			continue;
		l->endpoint = fleet_ref(e);
		l->running = said->running;
		l->tokens = said->tokens;
		l->prompt_tokens = said->prompt_tokens;
		e->peer_running += l->running;
		e->peer_kv_tokens += l->tokens;
		e->peer_prefill_tokens += l->prompt_tokens;
		p->n_loads++;
	}
}

static bool follows(const struct gateway_peer *p, int64_t now_us)
{
	return p->last_heartbeat_us &&
	       now_us - p->last_heartbeat_us < SILENT_US &&
	       p->reader_state == FIG_FOLLOWS;
}

/* See gateway.h. */
uint32_t heartbeat_count_readers(const struct gateway *g)
{
	int64_t now_us = gateway_now_us(g);
	const struct gateway_peer *p;
	uint32_t n = 1;

	TAILQ_FOREACH(p, &g->peers, entry)
	n += follows(p, now_us);
	return n;
}

/* See gateway.h. The hosts whose names come first are the ones that read. */
bool heartbeat_may_be_passive(const struct gateway *g)
{
	int64_t now_us = gateway_now_us(g);
	const struct gateway_peer *p;
	uint32_t n = 0;

	TAILQ_FOREACH(p, &g->peers, entry)
	n += follows(p, now_us) &&
	     strcmp(p->domain, g->settings->domain) == 0 &&
	     strcmp(p->name, g->settings->host) < 0;
	return n >= FOLLOWERS;
}

static void count_hosts(struct gateway *g)
{
	g->fleet.hosts = ratelimit_host_count(&g->ratelimit);
}

/* A host's record or message names it. */
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

static void forget(struct gateway *g, struct gateway_peer *p)
{
	logline(LOG_NOTICE, "host_gone", "host=%s", p->name);
	clear_loads(p);
	ratelimit_host_remove(&g->ratelimit, p->name);
	TAILQ_REMOVE(&g->peers, p, entry);
	fleet_set_unreachable(&g->fleet, p->domain, false);
	free(p);
	count_hosts(g);
}

/* A host took its record back. */
void heartbeat_remove_peer(struct gateway *g, const char *name)
{
	struct gateway_peer *p = find(g, name);

	if (p)
		forget(g, p);
}

struct asked {
	struct gateway *g;
	char name[POOL_SETTINGS_NAME_BYTES];
};

static void on_records(void *ctx, int error, const struct fig_reply *reply)
{
	struct asked *a = ctx;
	struct gateway *g = a->g;
	struct gateway_peer *p = find(g, a->name);
	const struct fig_records_got *got;
	uint32_t i;

	if (p)
		p->fetching = false;
	free(a);
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

/* Asks a host for records that the store does not give to this one. */
static void ask_if_behind(struct gateway *g, struct gateway_peer *p)
{
	struct fig_call call = {.kind = FIG_RECORDS_GET};
	struct asked *a;
	int t;

	for (t = 0; t < FIG_TOPICS && !p->fetching; t++) {
		if (!store_reader_check_lag(g, (enum adapter_topic)t,
					    p->next_offset[t]))
			continue;
		a = calloc(1, sizeof(*a));
		if (!a)
			return;
		a->g = g;
		snprintf(a->name, sizeof(a->name), "%s", p->name);
		call.fig_call_u.records_get.topic = (u_int)t;
		call.fig_call_u.records_get.from = g->records[t].next_offset;
		p->fetching = true;
		if (peer_call(&g->peer, p->addr, &call, RECORDS_TIMEOUT_MS,
			      on_records, a) < 0) {
			p->fetching = false;
			free(a);
		}
	}
}

/* Answers with all records that are newer than the asker's. */
static int give_records(struct gateway *g, const struct fig_records_get *get,
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
	return give_records(g, &from->call.fig_call_u.records_get,
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
	count_hosts(g);
	ask_if_behind(g, p);
}

/* What this host says of its own reading of the store. */
static enum fig_following following_of(const struct gateway *g)
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

/* Fills a message with this host's counters; strings are borrowed. */
static int fill(struct gateway *g, struct fig_share *s)
{
	struct fleet_endpoint *e;
	uint32_t i;

	memset(s, 0, sizeof(*s));
	s->domain = (char *)g->settings->domain;
	s->addr = (char *)g->settings->peer_addr;
	s->following = following_of(g);
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

static bool is_heard(const struct gateway *g, const struct gateway_peer *p)
{
	return p->last_heartbeat_us &&
	       gateway_now_us(g) - p->last_heartbeat_us <
		       g->ratelimit.host_timeout_us;
}

/* Tells whether any host of a domain is heard. */
static bool domain_heard(const struct gateway *g, const char *domain)
{
	const struct gateway_peer *p;

	TAILQ_FOREACH(p, &g->peers, entry)
	if (is_heard(g, p) && strcmp(p->domain, domain) == 0)
		return true;
	return false;
}

/* Marks the other domains of which hosts were heard once, and none is now. */
static void note_silence(struct gateway *g)
{
	const struct gateway_peer *p;

	TAILQ_FOREACH(p, &g->peers, entry)
	if (p->domain[0] && strcmp(p->domain, g->settings->domain) != 0)
		fleet_set_unreachable(&g->fleet, p->domain,
				      !domain_heard(g, p->domain));
}

/*
 * Notes when no other domain is heard any more, and when one is again. Then
 * connections of callers stay open again.
 */
static void note_alone(struct gateway *g)
{
	const struct gateway_peer *p;
	bool others = false, heard = false;

	TAILQ_FOREACH(p, &g->peers, entry)
	{
		if (!p->last_heartbeat_us ||
		    strcmp(p->domain, g->settings->domain) == 0)
			continue;
		others = true;
		heard = heard || is_heard(g, p);
	}
	if ((others && !heard) == (g->isolated_since_us != 0))
		return;
	g->isolated_since_us = others && !heard ? gateway_now_us(g) : 0;
	logline(LOG_WARNING,
		g->isolated_since_us ? "domains_lost" : "domains_back",
		"domain=%s hosts=%u running=%u", g->settings->domain,
		g->fleet.hosts, g->n_reqs);
	g->callers.draining = g->stopping;
}

static void forget_silent(struct gateway *g)
{
	int64_t now_us = gateway_now_us(g);
	struct gateway_peer *p, *next;

	for (p = TAILQ_FIRST(&g->peers); p; p = next) {
		next = TAILQ_NEXT(p, entry);
		if (p->last_heartbeat_us &&
		    now_us - p->last_heartbeat_us > SILENT_US)
			clear_loads(p);
		if (p->last_heartbeat_us &&
		    now_us - p->last_heartbeat_us > FORGET_US)
			forget(g, p);
	}
}

/* Sends this host's counters to all hosts, or to those of its domain. */
static void send_beats(struct gateway *g, bool domain_only)
{
	struct fig_call call = {.kind = FIG_SHARE};
	struct fig_share *s = &call.fig_call_u.share;
	struct gateway_peer *p;

	if (fill(g, s) == 0)
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
	send_beats(g, true);
}

/* See gateway.h. */
double heartbeat_interval_s(const struct gateway *g)
{
	double s = BEAT_PER_HOST_S * ratelimit_host_count(&g->ratelimit);

	return s > BEAT_MIN_S ? s : BEAT_MIN_S;
}

/*
 * Sends a message when its interval is over, or as soon as with few hosts while
 * an account is short: what all hosts let through between messages adds up.
 */
static void on_beat(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gateway *g = w->data;
	int64_t now_us = gateway_now_us(g);
	int64_t interval_us = (int64_t)(heartbeat_interval_s(g) * 1e6);

	g->ratelimit.host_timeout_us = SILENT_BEATS * interval_us;
	note_silence(g);
	note_alone(g);
	forget_silent(g);
	if (now_us - g->heartbeat_sent_us < interval_us - BEAT_EARLY_US &&
	    !ratelimit_report_urgent(&g->ratelimit, now_us))
		return;
	g->heartbeat_sent_us = now_us;
	send_beats(g, false);
	ratelimit_mark_reported(&g->ratelimit);
}

/* Starts to listen to other hosts and to tell them. */
int heartbeat_init(struct gateway *g)
{
	int r;

	TAILQ_INIT(&g->peers);
	ratelimit_init(&g->ratelimit);
	g->ratelimit.slack = g->settings->limit_slack * LIMIT_SLACK_PART;
	r = peer_init(&g->peer, g->loop, g->settings->peer_addr,
		      g->settings->host, g->settings->secret, g->boot_us,
		      on_call, on_message, g);
	if (r < 0)
		return r;
	ev_timer_init(&g->heartbeat_timer, on_beat, BEAT_MIN_S, BEAT_MIN_S);
	g->heartbeat_timer.data = g;
	ev_timer_start(g->loop, &g->heartbeat_timer);
	return 0;
}

/* Stops, and frees what is known of other hosts. */
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
