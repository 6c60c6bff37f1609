#include "parts.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "namehash.h"

/*
 * The mode of this host, the choice of delegates, and what is sent when.
 */

/* Report interval of a mesh per host, if that is more than RELAY_REPORT_US. */
#define MESH_REPORT_PER_HOST_US 10000LL
/* A pause in the events of this host that makes its sums incomplete again: it
 * was suspended, or is too slow. */
#define PAUSE_US 700000LL
/* After this many requests without an answer another delegate is chosen. */
#define UNANSWERED_MAX 2
/* After this time without any answer a host asks so many hosts at once. */
#define SILENCE_US 500000LL
#define SEARCHED 6
/* Time until a host that is down gets another request. */
#define RETRY_US 2000000LL
/* Hosts of a domain without known delegates that get rows at each tick. */
#define PROBES 5
/* A host that is silent for this long is taken to be gone, if others of its
 * domain are alive; else the domain may be cut off, and its hosts go on using
 * their part of limits. */
#define GONE_US 20000000LL
/* Bytes of rows that a delegate sends: a third of a link of 10 Mbit/s. After a start
 * of all hosts there may be many delegates, as hosts did not get an answer of the
 * first ones in time; all of them send to all. */
#define ROWS_BYTES_PER_S 400000LL
/* Longest interval: other delegates forget one that sends nothing for 1.5 s. */
#define ROWS_MAX_US 700000LL
/* A timer may fire this much early. */
#define TIMER_TOLERANCE_US 20000LL

int relay_init(struct relay *r, const char *name, const char *domain,
	       uint64_t boot, struct ratelimit *limits, int64_t now_us)
{
	memset(r, 0, sizeof(*r));
	snprintf(r->name, sizeof(r->name), "%s", name);
	r->id = namehash(name);
	r->boot = boot;
	r->start_us = r->now_us = r->mode_us = r->input_us = now_us;
	r->limits = limits;
	TAILQ_INIT(&r->alive);
	TAILQ_INIT(&r->silent);
	TAILQ_INIT(&r->delegates);
	totals_group_init(&r->others);
	r->domain = calloc(RELAY_DOMAINS_MAX, sizeof(*r->domain));
	if (!r->domain)
		return -ENOMEM;
	r->own_domain = &r->domain[r->n_domains++];
	snprintf(r->own_domain->name, sizeof(r->own_domain->name), "%s",
		 domain);
	totals_group_init(&r->own_domain->spent);
	return 0;
}

void relay_raise_start(struct relay *r, uint64_t boot)
{
	if (boot > r->boot)
		r->boot = boot;
}

void relay_finish(struct relay *r)
{
	uint32_t i;

	while (r->n_hosts)
		relay_table_free(r, r->host[r->n_hosts - 1]);
	for (i = 0; i < r->n_domains; i++) {
		totals_group_finish(&r->domain[i].spent);
		free(r->domain[i].host);
	}
	totals_group_finish(&r->others);
	totals_keys_finish(&r->accounts);
	free(r->host);
	free(r->domain);
	free(r->total);
	free(r->digest_load);
	free(r->domain_spent);
	free(r->all_spent);
	memset(r, 0, sizeof(*r));
}

bool relay_add(struct relay *r, const char *name, const char *domain,
	       const char *addr, int64_t now_us)
{
	struct relay_host *h = relay_table_host(r, name);
	bool is_new;

	if (!h)
		return false;
	is_new = !h->addr[0];
	h->recorded = true;
	h->leaving = false;
	if (is_new && !h->known) {
		h->silent_us = now_us;
		TAILQ_INSERT_TAIL(&r->silent, h, entry);
		relay_table_set_known(h, true);
	}
	snprintf(h->addr, sizeof(h->addr), "%s", addr);
	relay_table_set_domain(r, h, domain);
	return is_new;
}

bool relay_remove(struct relay *r, const char *name)
{
	struct relay_host *h = relay_find(r, name);

	if (!h)
		return false;
	h->recorded = false;
	h->leaving = true;
	if (!h->alive)
		relay_table_free(r, h);
	return true;
}

void relay_set_input_time(struct relay *r, int64_t input_us)
{
	r->input_us = input_us;
}

void relay_set_self(struct relay *r, const struct relay_self *self)
{
	r->self = *self;
}

static void update_mode(struct relay *r, enum relay_mode mode, int64_t now_us)
{
	if (mode == r->mode)
		return;
	r->mode = mode;
	r->mode_us = now_us;
}

/*
 * Fills out with the first hosts of the domain that are not down, in the order
 * of their ids; this host takes a place among them. Returns their number, at
 * most max.
 */
static uint32_t own_delegates(const struct relay *r, struct relay_host **out,
			      uint32_t max)
{
	const struct relay_domain *d = r->own_domain;
	uint32_t i, n = 0;

	for (i = 0; i < d->n; i++) {
		if (n + (d->host[i]->id > r->id) >= max)
			break;
		if (d->host[i]->addr[0] && !d->host[i]->down)
			out[n++] = d->host[i];
	}
	return n;
}

/* Returns the first host that is down and is to be asked again, or NULL. */
static struct relay_host *retry_due(const struct relay *r, int64_t now_us)
{
	const struct relay_domain *d = r->own_domain;
	uint32_t i;

	for (i = 0; i < d->n && d->host[i]->down; i++)
		if (now_us >= d->host[i]->retry_us)
			return d->host[i];
	return NULL;
}

void relay_set_partial(struct relay *r, bool partial)
{
	r->partial = partial;
}

void relay_choose_mode(struct relay *r, int64_t now_us)
{
	struct relay_host *out[RELAY_DELEGATES];
	bool has_delegates = own_delegates(r, out, RELAY_DELEGATES) > 0;

	if (r->n_hosts < RELAY_MESH_HOSTS_MAX && !(r->partial && has_delegates))
		update_mode(r, RELAY_MESH, now_us);
	else if ((r->reported_us && now_us - r->reported_us < DELEGATE_US) ||
		 !has_delegates)
		update_mode(r, RELAY_DELEGATE, now_us);
	else
		update_mode(r, RELAY_MEMBER, now_us);
}

/* Called first by each event. */
void relay_advance(struct relay *r, int64_t now_us)
{
	if (now_us - r->now_us > PAUSE_US)
		r->mode_us = now_us;
	r->now_us = now_us;
}

/* Marks hosts that fell silent, and forgets those that are gone. */
static void expire(struct relay *r, int64_t now_us)
{
	struct relay_host *h, *next;

	while ((h = TAILQ_FIRST(&r->alive)) != NULL &&
	       now_us - h->heard_us > RELAY_ALIVE_US) {
		relay_table_set_silent(r, h, now_us);
		if (h->leaving)
			relay_table_free(r, h);
	}
	while ((h = TAILQ_FIRST(&r->silent)) != NULL &&
	       now_us - h->silent_us > GONE_US) {
		TAILQ_REMOVE(&r->silent, h, entry);
		if (h->domain && h->domain != r->own_domain &&
		    !h->domain->alive) {
			h->silent_us = now_us;
			TAILQ_INSERT_TAIL(&r->silent, h, entry);
			continue;
		}
		relay_table_set_known(h, false);
		if (!h->recorded)
			relay_table_free(r, h);
	}
	for (h = TAILQ_FIRST(&r->delegates); h; h = next) {
		next = TAILQ_NEXT(h, delegate_entry);
		if (now_us - h->rows_us > DELEGATE_US)
			relay_table_set_delegate(r, h, false);
	}
	relay_table_drop_idle(r);
}

static uint32_t add_send(struct relay_send *out, uint32_t n,
			 enum relay_send_kind kind, const struct relay_host *h,
			 bool asks)
{
	uint32_t i;

	if (!h->addr[0] || n == RELAY_SENDS_MAX)
		return n;
	for (i = 0; i < n; i++)
		if (out[i].kind == kind && out[i].addr == h->addr)
			return n;
	out[n].kind = kind;
	out[n].addr = h->addr;
	out[n].asks = asks;
	return n + 1;
}

/* Adds a report that asks the host for a digest. */
static uint32_t ask(struct relay_host *h, int64_t now_us,
		    struct relay_send *out, uint32_t n)
{
	if (++h->unanswered > UNANSWERED_MAX) {
		h->down = true;
		h->retry_us = now_us + RETRY_US;
	}
	return add_send(out, n, RELAY_SEND_REPORT, h, true);
}

/*
 * Reports to the delegates of the domain, and asks one of them by turns; if none
 * answers, more hosts at once. Also asks one host that was down and ranks before
 * them.
 */
static uint32_t report_to_delegates(struct relay *r, int64_t now_us,
				    struct relay_send *out)
{
	bool silence = now_us - r->answer_us > SILENCE_US &&
		       now_us - r->start_us > SILENCE_US;
	struct relay_host *delegate[SEARCHED], *retry;
	uint32_t n_delegates = own_delegates(
		r, delegate, silence ? SEARCHED : RELAY_DELEGATES);
	uint32_t i, n = 0;

	r->turn++;
	for (i = 0; i < n_delegates; i++)
		if (silence || r->turn % n_delegates == i)
			n = ask(delegate[i], now_us, out, n);
		else
			n = add_send(out, n, RELAY_SEND_REPORT, delegate[i],
				     false);
	retry = retry_due(r, now_us);
	if (retry)
		n = ask(retry, now_us, out, n);
	return n;
}

/*
 * Adds the first living hosts of another domain, by their ids. If there are too
 * few, the delegates of that domain are unknown; then its hosts are tried by
 * turns.
 */
static uint32_t add_domain(struct relay_send *out, uint32_t n,
			   struct relay_domain *d)
{
	uint32_t i, chosen = 0;

	for (i = 0; i < d->n && chosen < RELAY_DELEGATES; i++)
		if (d->host[i]->alive && d->host[i]->addr[0]) {
			n = add_send(out, n, RELAY_SEND_ROWS, d->host[i],
				     false);
			chosen++;
		}
	if (!d->n || chosen == RELAY_DELEGATES)
		return n;
	for (i = 0; i < PROBES; i++)
		n = add_send(out, n, RELAY_SEND_ROWS,
			     d->host[d->probe++ % d->n], false);
	return n;
}

static uint32_t send_rows(struct relay *r, struct relay_send *out, uint32_t n)
{
	struct relay_host *delegate[RELAY_DELEGATES], *h;
	uint32_t i, n_delegates = own_delegates(r, delegate, RELAY_DELEGATES);

	for (i = 0; i < r->n_domains; i++)
		if (&r->domain[i] != r->own_domain)
			n = add_domain(out, n, &r->domain[i]);
	for (i = 0; i < n_delegates; i++)
		n = add_send(out, n, RELAY_SEND_ROWS, delegate[i], false);
	TAILQ_FOREACH(h, &r->delegates, delegate_entry)
	n = add_send(out, n, RELAY_SEND_ROWS, h, false);
	return n;
}

/* Returns true if the next rows are due, at the interval that the bytes of the last
 * ones allow. */
static bool rows_are_due(const struct relay *r, int64_t now_us)
{
	int64_t interval_us = (int64_t)r->rows_bytes * r->rows_sends * 1000000 /
			      ROWS_BYTES_PER_S;

	if (interval_us < RELAY_ROWS_US)
		interval_us = RELAY_ROWS_US;
	if (interval_us > ROWS_MAX_US)
		interval_us = ROWS_MAX_US;
	return now_us - r->rows_us >= interval_us - TIMER_TOLERANCE_US;
}

uint32_t relay_tick(struct relay *r, int64_t now_us, struct relay_send *out)
{
	int64_t interval_us = RELAY_REPORT_US;
	uint32_t i, n = 0, n_reports;
	bool report;

	relay_advance(r, now_us);
	relay_choose_mode(r, now_us);
	expire(r, now_us);
	ratelimit_set_hosts(r->limits, relay_known(r, now_us),
			    relay_living(r, now_us),
			    relay_staleness_us(r, now_us), now_us);
	if (r->mode == RELAY_MESH &&
	    (r->n_hosts + 1) * MESH_REPORT_PER_HOST_US > interval_us)
		interval_us = (r->n_hosts + 1) * MESH_REPORT_PER_HOST_US;
	report = now_us - r->report_us >= interval_us - TIMER_TOLERANCE_US;
	if (report)
		r->report_us = now_us;
	if (report && r->mode == RELAY_MESH)
		for (i = 0; i < r->n_hosts; i++)
			n = add_send(out, n, RELAY_SEND_REPORT, r->host[i],
				     false);
	if (report && r->mode != RELAY_MESH)
		n = report_to_delegates(r, now_us, out);
	if (r->mode == RELAY_DELEGATE && rows_are_due(r, now_us)) {
		r->rows_us = now_us;
		n_reports = n;
		n = send_rows(r, out, n);
		r->rows_sends = n - n_reports;
	}
	return n;
}
