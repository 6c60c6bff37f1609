#include "detector.h"

#include <string.h>

#define ASK_WAIT_US 1000000LL
#define RANK_WAIT_US 2000000LL
#define REMOVE_AGAIN_US 5000000LL
#define LIST_INTERVAL_US 60000000LL
#define LIST_AGAIN_US 2000000LL

/* Returns a new action to fill in; beyond the room, the last one is reused. */
struct member_action *member_add_action(struct member_actions *out,
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

	h = member_find(c->state.epoch, c->self.name);
	return h && h->boot == c->self.boot ? h : NULL;
}

struct member_peer *member_peer_of(const struct member_core *c,
				   const struct member_host *h)
{
	return &c->peer[h - c->state.epoch->host];
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
	n = member_monitors(c->state.epoch, h, m);
	for (i = 0; i < n; i++)
		if (is_self(c, m[i]))
			return true;
	return false;
}

static void add_target(struct member_core *c, const struct member_host *h)
{
	uint32_t max = sizeof(c->target) / sizeof(c->target[0]);

	if (c->target_n < max && !is_self(c, h))
		c->target[c->target_n++] = (uint32_t)(h - c->state.epoch->host);
}

/* Tells whether a host is one of those of its domain that tell other domains. */
static bool is_relay(const struct member_core *c, const struct member_host *h)
{
	const struct member_host *relay[MEMBER_RELAYS];
	uint32_t i, n;

	n = member_owners(c->state.epoch, h->domain, "relay", relay,
			  MEMBER_RELAYS);
	for (i = 0; i < n; i++)
		if (strcmp(relay[i]->name, h->name) == 0)
			return true;
	return false;
}

/* A relay of this domain sends its heartbeats to those of other domains. */
static void add_relays(struct member_core *c)
{
	const struct member_epoch *e = c->state.epoch;
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
		n = member_owners(e, e->host[i].domain, "relay", relay,
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
	n = member_monitors(c->state.epoch, &c->self, m);
	for (i = 0; i < n; i++)
		add_target(c, m[i]);
	add_relays(c);
}

/*
 * Fits what is kept of each host to a new epoch. A host that this one begins to
 * watch counts as heard now.
 */
void member_detector_rebuild(struct member_core *c, int64_t now_us)
{
	const struct member_epoch *e = c->state.epoch;
	struct member_peer old;
	uint32_t i, j;
	bool mine;

	for (i = 0; i < e->n; i++) {
		for (j = i; j < MEMBER_HOSTS_MAX; j++)
			if (c->peer[j].join_offset == e->host[i].join_offset)
				break;
		old = c->peer[i];
		if (j < MEMBER_HOSTS_MAX) {
			c->peer[i] = c->peer[j];
			if (j != i)
				c->peer[j] = old;
		} else {
			if (old.join_offset && i + 1 < MEMBER_HOSTS_MAX) {
				memmove(&c->peer[i + 1], &c->peer[i],
					(MEMBER_HOSTS_MAX - i - 1) *
						sizeof(old));
			}
			memset(&c->peer[i], 0, sizeof(c->peer[i]));
			c->peer[i].join_offset = e->host[i].join_offset;
			c->peer[i].listed = true;
		}
		mine = is_mine(c, &e->host[i]);
		if (mine && !c->peer[i].monitored)
			c->peer[i].last_heartbeat_us = now_us;
		c->peer[i].monitored = mine;
	}
	if (e->n < MEMBER_HOSTS_MAX)
		memset(&c->peer[e->n], 0,
		       (MEMBER_HOSTS_MAX - e->n) * sizeof(old));
	make_targets(c);
	c->unreachable_n = 0; /* they were named in the epoch before */
}

/* After a pause nobody's silence counts: this host did not listen. */
void member_detector_reset(struct member_core *c, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < c->state.epoch->n; i++) {
		c->peer[i].last_heartbeat_us = now_us;
		c->peer[i].suspected_us = 0;
		c->peer[i].probed_us = 0;
	}
}

/* A host whose monitors are all off the list is watched by all of its domain. */
static void adopt_orphan(struct member_core *c, const struct member_host *h,
			 int64_t now_us)
{
	const struct member_host *m[MEMBER_MONITORS];
	struct member_peer *w = member_peer_of(c, h);
	uint32_t i, n;

	if (w->monitored || is_self(c, h) || strcmp(h->domain, c->self.domain))
		return;
	n = member_monitors(c->state.epoch, h, m);
	for (i = 0; i < n; i++)
		if (member_peer_of(c, m[i])->listed)
			return;
	w->monitored = true;
	w->last_heartbeat_us = now_us;
}

/* Takes the platform's list of hosts. */
void member_detector_set_list(struct member_core *c, const char *const *name,
			      uint32_t n, int64_t now_us)
{
	const struct member_epoch *e = c->state.epoch;
	uint32_t i, j;

	c->list_read_us = now_us;
	for (i = 0; i < e->n; i++) {
		for (j = 0; j < n; j++)
			if (strcmp(name[j], e->host[i].name) == 0)
				break;
		c->peer[i].listed = j < n;
	}
	for (i = 0; i < e->n; i++)
		if (!c->peer[i].listed)
			adopt_orphan(c, &e->host[i], now_us);
}

static void ask_monitors(struct member_core *c, const struct member_host *h,
			 struct member_actions *out)
{
	const struct member_host *m[MEMBER_MONITORS];
	struct member_action *a;
	uint32_t i, n;

	n = member_monitors(c->state.epoch, h, m);
	for (i = 0; i < n; i++) {
		if (is_self(c, m[i]))
			continue;
		a = member_add_action(out, MEMBER_ACT_PROBE);
		memcpy(a->addr, m[i]->addr, sizeof(a->addr));
		a->host = *h;
	}
}

/* Returns this host's place among those that may remove a host. */
static uint32_t rank_of(struct member_core *c, const struct member_host *h)
{
	const struct member_host *m[MEMBER_MONITORS];
	uint32_t i, n;

	n = member_monitors(c->state.epoch, h, m);
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
	struct member_peer *w = member_peer_of(c, h);
	int64_t wait_us;

	if (c->list_read_us < w->suspected_us || w->listed) {
		w->probed_us = 0;
		return;
	}
	if (!w->probed_us) {
		w->probed_us = now_us;
		ask_monitors(c, h, out);
		return;
	}
	wait_us = ASK_WAIT_US + rank_of(c, h) * RANK_WAIT_US;
	if (now_us - w->probed_us < wait_us || !c->current || !c->log_caught_up)
		return;
	if (w->remove_append_us &&
	    now_us - w->remove_append_us < REMOVE_AGAIN_US)
		return;
	w->remove_append_us = now_us;
	member_add_action(out, MEMBER_ACT_REMOVE)->host = *h;
}

static void read_list(struct member_core *c, int64_t now_us, bool wanted,
		      struct member_actions *out)
{
	int64_t after_us = wanted ? LIST_AGAIN_US : LIST_INTERVAL_US;

	if (c->list_requested_us && now_us - c->list_requested_us < after_us)
		return;
	c->list_requested_us = now_us;
	member_add_action(out, MEMBER_ACT_READ_LIST);
}

static bool is_silent(const struct member_core *c, const struct member_host *h,
		      int64_t now_us)
{
	return now_us - member_peer_of(c, h)->last_heartbeat_us >=
	       c->suspect_timeout_us;
}

/* Tells whether a relay of another domain no longer tells this relay anything. */
static bool misses_relay(const struct member_core *c, int64_t now_us)
{
	const struct member_epoch *e = c->state.epoch;
	uint32_t i;

	for (i = 0; i < e->n; i++)
		if (c->peer[i].last_heartbeat_us &&
		    is_silent(c, &e->host[i], now_us) &&
		    strcmp(e->host[i].domain, c->self.domain) != 0 &&
		    is_relay(c, &e->host[i]))
			return is_relay(c, &c->self);
	return false;
}

/* Tells whether all hosts of a domain are silent and off the list. */
static bool all_gone(const struct member_core *c, const char *domain,
		     int64_t now_us)
{
	const struct member_epoch *e = c->state.epoch;
	uint32_t i;

	for (i = 0; i < e->n; i++)
		if (strcmp(e->host[i].domain, domain) == 0 &&
		    (c->peer[i].listed || !is_silent(c, &e->host[i], now_us)))
			return false;
	return true;
}

/* See member.h. */
bool member_domain_is_unreachable(const struct member_core *c,
				  const char *domain)
{
	uint32_t i;

	for (i = 0; i < c->unreachable_n; i++)
		if (strcmp(c->unreachable[i], domain) == 0)
			return true;
	return false;
}

/* Finds the domains of which no host is left. */
static void find_gone(struct member_core *c, int64_t now_us)
{
	const struct member_epoch *e = c->state.epoch;
	uint32_t i;

	for (i = 0; i < e->n && c->unreachable_n < MEMBER_DOMAINS_MAX; i++)
		if (strcmp(e->host[i].domain, c->self.domain) != 0 &&
		    !member_domain_is_unreachable(c, e->host[i].domain) &&
		    all_gone(c, e->host[i].domain, now_us))
			c->unreachable[c->unreachable_n++] = e->host[i].domain;
}

/* Goes over the hosts that this one watches. */
void member_detector_run(struct member_core *c, int64_t now_us,
			 struct member_actions *out)
{
	const struct member_epoch *e = c->state.epoch;
	struct member_peer *w;
	bool silent = misses_relay(c, now_us);
	uint32_t i;

	c->unreachable_n = 0;
	if (silent)
		find_gone(c, now_us);
	for (i = 0; i < e->n; i++) {
		w = &c->peer[i];
		if (!w->monitored ||
		    now_us - w->last_heartbeat_us < c->suspect_timeout_us)
			continue;
		if (!w->suspected_us)
			w->suspected_us = now_us;
		silent = true;
		run_silent(c, &e->host[i], now_us, out);
	}
	read_list(c, now_us, silent || !c->list_read_us, out);
}
