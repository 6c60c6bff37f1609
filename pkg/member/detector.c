#include "detector.h"

#include <string.h>

#define PROBE_TIMEOUT_US 1000000LL
#define RANK_DELAY_US 2000000LL /* between monitors of successive rank */
#define REMOVE_RETRY_US 5000000LL
#define LIST_INTERVAL_US 60000000LL
/* Interval while a host is suspected or no list was read yet. */
#define LIST_URGENT_INTERVAL_US 2000000LL

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

static bool is_monitored(const struct member_core *c,
			 const struct member_host *h)
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

/* Returns true if a host exchanges heartbeats with other domains. */
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

/* If this host is a relay, adds the relays of all other domains. */
static void add_relay_targets(struct member_core *c)
{
	const struct member_epoch *e = c->state.epoch;
	const struct member_host *relay[MEMBER_RELAYS];
	const char *domain[MEMBER_DOMAINS_MAX];
	uint32_t domain_n = 0;
	bool self_is_relay = is_relay(c, &c->self);
	uint32_t i, j, n;

	for (i = 0; self_is_relay && i < e->n; i++) {
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

static void select_targets(struct member_core *c)
{
	const struct member_host *m[MEMBER_MONITORS];
	uint32_t i, n;

	c->target_n = 0;
	n = member_monitors(c->state.epoch, &c->self, m);
	for (i = 0; i < n; i++)
		add_target(c, m[i]);
	add_relay_targets(c);
}

void member_detector_rebuild(struct member_core *c, int64_t now_us)
{
	const struct member_epoch *e = c->state.epoch;
	struct member_peer old;
	uint32_t i, j;
	bool monitored;

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
			/* Shifts the peers that later hosts may match. */
			if (old.join_offset && i + 1 < MEMBER_HOSTS_MAX) {
				memmove(&c->peer[i + 1], &c->peer[i],
					(MEMBER_HOSTS_MAX - i - 1) *
						sizeof(old));
			}
			memset(&c->peer[i], 0, sizeof(c->peer[i]));
			c->peer[i].join_offset = e->host[i].join_offset;
			c->peer[i].listed = true;
		}
		monitored = is_monitored(c, &e->host[i]);
		if (monitored && !c->peer[i].monitored)
			c->peer[i].last_heartbeat_us = now_us;
		c->peer[i].monitored = monitored;
	}
	if (e->n < MEMBER_HOSTS_MAX)
		memset(&c->peer[e->n], 0,
		       (MEMBER_HOSTS_MAX - e->n) * sizeof(old));
	select_targets(c);
	c->unreachable_n = 0; /* the names pointed into the previous epoch */
}

void member_detector_reset(struct member_core *c, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < c->state.epoch->n; i++) {
		c->peer[i].last_heartbeat_us = now_us;
		c->peer[i].suspected_us = 0;
		c->peer[i].probed_us = 0;
	}
}

/*
 * Monitors a host, in place of its monitors, if these are all off the host list
 * and so may have failed with it. Every host of its domain does so.
 */
static void take_over_monitoring(struct member_core *c,
				 const struct member_host *h, int64_t now_us)
{
	const struct member_host *m[MEMBER_MONITORS];
	struct member_peer *p = member_peer_of(c, h);
	uint32_t i, n;

	if (p->monitored || is_self(c, h) || strcmp(h->domain, c->self.domain))
		return;
	n = member_monitors(c->state.epoch, h, m);
	for (i = 0; i < n; i++)
		if (member_peer_of(c, m[i])->listed)
			return;
	p->monitored = true;
	p->last_heartbeat_us = now_us;
}

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
			take_over_monitoring(c, &e->host[i], now_us);
}

static void probe_monitors(struct member_core *c, const struct member_host *h,
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

/*
 * Returns this host's rank among the monitors of a host, or their number if it
 * is not one of them.
 */
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
 * Removes a suspected host that is not in a host list read since, once the
 * other monitors had time to reply to the indirect probes: a reply with a
 * recent heartbeat would have ended the suspicion. The monitors are staggered
 * by rank: each acts only if the host is still a member by then.
 */
static void check_suspected(struct member_core *c, const struct member_host *h,
			    int64_t now_us, struct member_actions *out)
{
	struct member_peer *p = member_peer_of(c, h);
	int64_t wait_us;

	if (c->list_read_us < p->suspected_us || p->listed) {
		p->probed_us = 0;
		return;
	}
	if (!p->probed_us) {
		p->probed_us = now_us;
		probe_monitors(c, h, out);
		return;
	}
	wait_us = PROBE_TIMEOUT_US + rank_of(c, h) * RANK_DELAY_US;
	if (now_us - p->probed_us < wait_us || !c->current || !c->log_caught_up)
		return;
	if (p->remove_append_us &&
	    now_us - p->remove_append_us < REMOVE_RETRY_US)
		return;
	p->remove_append_us = now_us;
	member_add_action(out, MEMBER_ACT_REMOVE)->host = *h;
}

static void read_list(struct member_core *c, int64_t now_us, bool urgent,
		      struct member_actions *out)
{
	int64_t interval_us = urgent ? LIST_URGENT_INTERVAL_US
				     : LIST_INTERVAL_US;

	if (c->list_requested_us && now_us - c->list_requested_us < interval_us)
		return;
	c->list_requested_us = now_us;
	member_add_action(out, MEMBER_ACT_READ_LIST);
}

static bool is_timed_out(const struct member_core *c,
			 const struct member_host *h, int64_t now_us)
{
	return now_us - member_peer_of(c, h)->last_heartbeat_us >=
	       c->suspect_timeout_us;
}

/*
 * Returns true if this host is a relay, and a relay of another domain that sent
 * heartbeats to it no longer does.
 */
static bool relay_timed_out(const struct member_core *c, int64_t now_us)
{
	const struct member_epoch *e = c->state.epoch;
	uint32_t i;

	for (i = 0; i < e->n; i++)
		if (c->peer[i].last_heartbeat_us &&
		    is_timed_out(c, &e->host[i], now_us) &&
		    strcmp(e->host[i].domain, c->self.domain) != 0 &&
		    is_relay(c, &e->host[i]))
			return is_relay(c, &c->self);
	return false;
}

/* Returns true if all hosts of a domain are off the list and timed out. */
static bool domain_timed_out(const struct member_core *c, const char *domain,
			     int64_t now_us)
{
	const struct member_epoch *e = c->state.epoch;
	uint32_t i;

	for (i = 0; i < e->n; i++)
		if (strcmp(e->host[i].domain, domain) == 0 &&
		    (c->peer[i].listed ||
		     !is_timed_out(c, &e->host[i], now_us)))
			return false;
	return true;
}

bool member_domain_is_unreachable(const struct member_core *c,
				  const char *domain)
{
	uint32_t i;

	for (i = 0; i < c->unreachable_n; i++)
		if (strcmp(c->unreachable[i], domain) == 0)
			return true;
	return false;
}

static void find_unreachable(struct member_core *c, int64_t now_us)
{
	const struct member_epoch *e = c->state.epoch;
	uint32_t i;

	for (i = 0; i < e->n && c->unreachable_n < MEMBER_DOMAINS_MAX; i++)
		if (strcmp(e->host[i].domain, c->self.domain) != 0 &&
		    !member_domain_is_unreachable(c, e->host[i].domain) &&
		    domain_timed_out(c, e->host[i].domain, now_us))
			c->unreachable[c->unreachable_n++] = e->host[i].domain;
}

void member_detector_run(struct member_core *c, int64_t now_us,
			 struct member_actions *out)
{
	const struct member_epoch *e = c->state.epoch;
	struct member_peer *p;
	bool suspected = relay_timed_out(c, now_us);
	uint32_t i;

	c->unreachable_n = 0;
	if (suspected)
		find_unreachable(c, now_us);
	for (i = 0; i < e->n; i++) {
		p = &c->peer[i];
		if (!p->monitored ||
		    now_us - p->last_heartbeat_us < c->suspect_timeout_us)
			continue;
		if (!p->suspected_us)
			p->suspected_us = now_us;
		suspected = true;
		check_suspected(c, &e->host[i], now_us, out);
	}
	read_list(c, now_us, suspected || !c->list_read_us, out);
}
