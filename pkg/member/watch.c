#include "watch.h"

#include <string.h>

#define ASK_WAIT_US 1000000LL
#define RANK_WAIT_US 2000000LL
#define REMOVE_AGAIN_US 5000000LL
#define LIST_INTERVAL_US 60000000LL
#define LIST_AGAIN_US 2000000LL

/* Returns a new action to fill in; beyond the room, the last one is reused. */
struct member_action *member_act(struct member_actions *out,
				 enum member_action_kind kind)
{
	struct member_action *a;

	if (out->n == MEMBER_ACTIONS_MAX)
		out->n--;
	a = &out->action[out->n++];
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	return a;
}

/* Returns this start of this host in the epoch, or NULL. */
const struct member_host *member_self(const struct member_core *c)
{
	const struct member_host *h;

	h = member_find(c->fold.epoch, c->self.name);
	return h && h->boot == c->self.boot ? h : NULL;
}

struct member_watch *member_watch_of(const struct member_core *c,
				     const struct member_host *h)
{
	return &c->watch[h - c->fold.epoch->host];
}

static bool is_self(const struct member_core *c, const struct member_host *h)
{
	return strcmp(h->name, c->self.name) == 0;
}

static bool is_mine(const struct member_core *c, const struct member_host *h)
{
	const struct member_host *m[MEMBER_MONITORS];
	uint32_t i, n;

	if (is_self(c, h) || strcmp(h->domain, c->self.domain))
		return false;
	n = member_monitors(c->fold.epoch, h, m);
	for (i = 0; i < n; i++)
		if (is_self(c, m[i]))
			return true;
	return false;
}

static void add_target(struct member_core *c, const struct member_host *h)
{
	uint32_t max = sizeof(c->target) / sizeof(c->target[0]);

	if (c->target_n < max && !is_self(c, h))
		c->target[c->target_n++] = (uint32_t)(h - c->fold.epoch->host);
}

/* Tells whether a host is one of those of its domain that tell other domains. */
static bool is_relay(const struct member_core *c, const struct member_host *h)
{
	const struct member_host *relay[MEMBER_RELAYS];
	uint32_t i, n;

	n = member_homes(c->fold.epoch, h->domain, "relay", relay,
			 MEMBER_RELAYS);
	for (i = 0; i < n; i++)
		if (strcmp(relay[i]->name, h->name) == 0)
			return true;
	return false;
}

/* A relay of this domain sends its heartbeats to those of other domains. */
static void add_relays(struct member_core *c)
{
	const struct member_epoch *e = c->fold.epoch;
	const struct member_host *relay[MEMBER_RELAYS];
	const char *domain[MEMBER_DOMAINS_MAX];
	uint32_t domain_n = 0;
	bool relays = is_relay(c, &c->self);
	uint32_t i, j, n;

	for (i = 0; relays && i < e->n; i++) {
		if (strcmp(e->host[i].domain, c->self.domain) == 0)
			continue;
		for (j = 0; j < domain_n; j++)
			if (strcmp(domain[j], e->host[i].domain) == 0)
				break;
		if (j < domain_n || domain_n == MEMBER_DOMAINS_MAX)
			continue;
		domain[domain_n++] = e->host[i].domain;
		n = member_homes(e, e->host[i].domain, "relay", relay,
				 MEMBER_RELAYS);
		for (j = 0; j < n; j++)
			add_target(c, relay[j]);
	}
}

static void make_targets(struct member_core *c)
{
	const struct member_host *m[MEMBER_MONITORS];
	uint32_t i, n;

	c->target_n = 0;
	n = member_monitors(c->fold.epoch, &c->self, m);
	for (i = 0; i < n; i++)
		add_target(c, m[i]);
	add_relays(c);
}

/*
 * Fits what is kept of each host to a new epoch. A host that this one begins to
 * watch counts as heard now.
 */
void member_watch_rebuild(struct member_core *c, int64_t now_us)
{
	const struct member_epoch *e = c->fold.epoch;
	struct member_watch old;
	uint32_t i, j;
	bool mine;

	for (i = 0; i < e->n; i++) {
		for (j = i; j < MEMBER_HOSTS_MAX; j++)
			if (c->watch[j].joined == e->host[i].joined)
				break;
		old = c->watch[i];
		if (j < MEMBER_HOSTS_MAX) {
			c->watch[i] = c->watch[j];
			if (j != i)
				c->watch[j] = old;
		} else {
			if (old.joined && i + 1 < MEMBER_HOSTS_MAX) {
				memmove(&c->watch[i + 1], &c->watch[i],
					(MEMBER_HOSTS_MAX - i - 1) *
						sizeof(old));
			}
			memset(&c->watch[i], 0, sizeof(c->watch[i]));
			c->watch[i].joined = e->host[i].joined;
			c->watch[i].listed = true;
		}
		mine = is_mine(c, &e->host[i]);
		if (mine && !c->watch[i].mine)
			c->watch[i].heard_us = now_us;
		c->watch[i].mine = mine;
	}
	if (e->n < MEMBER_HOSTS_MAX)
		memset(&c->watch[e->n], 0,
		       (MEMBER_HOSTS_MAX - e->n) * sizeof(old));
	make_targets(c);
	c->gone_n = 0; /* they were named in the epoch before */
}

/* After a pause nobody's silence counts: this host did not listen. */
void member_watch_reset(struct member_core *c, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < c->fold.epoch->n; i++) {
		c->watch[i].heard_us = now_us;
		c->watch[i].silent_us = 0;
		c->watch[i].asked_us = 0;
	}
}

/* A host whose monitors are all off the list is watched by all of its domain. */
static void adopt_orphan(struct member_core *c, const struct member_host *h,
			 int64_t now_us)
{
	const struct member_host *m[MEMBER_MONITORS];
	struct member_watch *w = member_watch_of(c, h);
	uint32_t i, n;

	if (w->mine || is_self(c, h) || strcmp(h->domain, c->self.domain))
		return;
	n = member_monitors(c->fold.epoch, h, m);
	for (i = 0; i < n; i++)
		if (member_watch_of(c, m[i])->listed)
			return;
	w->mine = true;
	w->heard_us = now_us;
}

/* Takes the platform's list of hosts. */
void member_watch_list(struct member_core *c, const char *const *name,
		       uint32_t n, int64_t now_us)
{
	const struct member_epoch *e = c->fold.epoch;
	uint32_t i, j;

	c->list_us = now_us;
	for (i = 0; i < e->n; i++) {
		for (j = 0; j < n; j++)
			if (strcmp(name[j], e->host[i].name) == 0)
				break;
		c->watch[i].listed = j < n;
	}
	for (i = 0; i < e->n; i++)
		if (!c->watch[i].listed)
			adopt_orphan(c, &e->host[i], now_us);
}

static void ask_monitors(struct member_core *c, const struct member_host *h,
			 struct member_actions *out)
{
	const struct member_host *m[MEMBER_MONITORS];
	struct member_action *a;
	uint32_t i, n;

	n = member_monitors(c->fold.epoch, h, m);
	for (i = 0; i < n; i++) {
		if (is_self(c, m[i]))
			continue;
		a = member_act(out, MEMBER_ACT_ASK);
		memcpy(a->addr, m[i]->addr, sizeof(a->addr));
		a->host = *h;
	}
}

/* Returns this host's place among those that may remove a host. */
static uint32_t rank_of(struct member_core *c, const struct member_host *h)
{
	const struct member_host *m[MEMBER_MONITORS];
	uint32_t i, n;

	n = member_monitors(c->fold.epoch, h, m);
	for (i = 0; i < n && !is_self(c, m[i]); i++)
		;
	return i;
}

/*
 * Removes a host that is silent, off the list as read since, and not heard by
 * the other monitors either. One monitor acts first, the others after a delay.
 */
static void run_silent(struct member_core *c, const struct member_host *h,
		       int64_t now_us, struct member_actions *out)
{
	struct member_watch *w = member_watch_of(c, h);
	int64_t wait_us;

	if (c->list_us < w->silent_us || w->listed) {
		w->asked_us = 0;
		return;
	}
	if (!w->asked_us) {
		w->asked_us = now_us;
		ask_monitors(c, h, out);
		return;
	}
	wait_us = ASK_WAIT_US + rank_of(c, h) * RANK_WAIT_US;
	if (now_us - w->asked_us < wait_us || !c->current || !c->log_ok)
		return;
	if (w->removed_us && now_us - w->removed_us < REMOVE_AGAIN_US)
		return;
	w->removed_us = now_us;
	member_act(out, MEMBER_ACT_REMOVE)->host = *h;
}

static void read_list(struct member_core *c, int64_t now_us, bool wanted,
		      struct member_actions *out)
{
	int64_t after_us = wanted ? LIST_AGAIN_US : LIST_INTERVAL_US;

	if (c->list_asked_us && now_us - c->list_asked_us < after_us)
		return;
	c->list_asked_us = now_us;
	member_act(out, MEMBER_ACT_READ_LIST);
}

static bool is_silent(const struct member_core *c, const struct member_host *h,
		      int64_t now_us)
{
	return now_us - member_watch_of(c, h)->heard_us >= c->suspect_us;
}

/* Tells whether a relay of another domain no longer tells this relay anything. */
static bool misses_relay(const struct member_core *c, int64_t now_us)
{
	const struct member_epoch *e = c->fold.epoch;
	uint32_t i;

	for (i = 0; i < e->n; i++)
		if (c->watch[i].heard_us && is_silent(c, &e->host[i], now_us) &&
		    strcmp(e->host[i].domain, c->self.domain) != 0 &&
		    is_relay(c, &e->host[i]))
			return is_relay(c, &c->self);
	return false;
}

/* Tells whether all hosts of a domain are silent and off the list. */
static bool all_gone(const struct member_core *c, const char *domain,
		     int64_t now_us)
{
	const struct member_epoch *e = c->fold.epoch;
	uint32_t i;

	for (i = 0; i < e->n; i++)
		if (strcmp(e->host[i].domain, domain) == 0 &&
		    (c->watch[i].listed || !is_silent(c, &e->host[i], now_us)))
			return false;
	return true;
}

/* See member.h. */
bool member_domain_gone(const struct member_core *c, const char *domain)
{
	uint32_t i;

	for (i = 0; i < c->gone_n; i++)
		if (strcmp(c->gone[i], domain) == 0)
			return true;
	return false;
}

/* Finds the domains of which no host is left. */
static void find_gone(struct member_core *c, int64_t now_us)
{
	const struct member_epoch *e = c->fold.epoch;
	uint32_t i;

	for (i = 0; i < e->n && c->gone_n < MEMBER_DOMAINS_MAX; i++)
		if (strcmp(e->host[i].domain, c->self.domain) != 0 &&
		    !member_domain_gone(c, e->host[i].domain) &&
		    all_gone(c, e->host[i].domain, now_us))
			c->gone[c->gone_n++] = e->host[i].domain;
}

/* Goes over the hosts that this one watches. */
void member_watch_run(struct member_core *c, int64_t now_us,
		      struct member_actions *out)
{
	const struct member_epoch *e = c->fold.epoch;
	struct member_watch *w;
	bool silent = misses_relay(c, now_us);
	uint32_t i;

	c->gone_n = 0;
	if (silent)
		find_gone(c, now_us);
	for (i = 0; i < e->n; i++) {
		w = &c->watch[i];
		if (!w->mine || now_us - w->heard_us < c->suspect_us)
			continue;
		if (!w->silent_us)
			w->silent_us = now_us;
		silent = true;
		run_silent(c, &e->host[i], now_us, out);
	}
	read_list(c, now_us, silent || !c->list_us, out);
}
