#include "parts.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "namehash.h"

/*
 * The table of hosts and domains, the lists of living, silent and delegate hosts,
 * and the sums of load over living hosts.
 */

/* Returns the position of the first host whose id is not below id. */
static uint32_t lower_bound(struct relay_host *const *host, uint32_t n,
			    uint64_t id)
{
	uint32_t low = 0, mid;

	while (low < n) {
		mid = low + (n - low) / 2;
		if (host[mid]->id < id)
			low = mid + 1;
		else
			n = mid;
	}
	return low;
}

/* Inserts a host into a sorted array. Returns 0 or -ENOMEM. */
static int insert_sorted(struct relay_host ***host, uint32_t *n,
			 uint32_t *capacity, struct relay_host *h)
{
	uint32_t at, grown = *capacity ? 2 * *capacity : 16;
	struct relay_host **p;

	if (*n == *capacity) {
		p = realloc(*host, grown * sizeof(struct relay_host *));
		if (!p)
			return -ENOMEM;
		*host = p;
		*capacity = grown;
	}
	at = lower_bound(*host, *n, h->id);
	memmove(*host + at + 1, *host + at,
		(*n - at) * sizeof(struct relay_host *));
	(*host)[at] = h;
	(*n)++;
	return 0;
}

static void remove_sorted(struct relay_host **host, uint32_t *n,
			  const struct relay_host *h)
{
	uint32_t at = lower_bound(host, *n, h->id);

	if (at == *n || host[at] != h)
		return;
	memmove(host + at, host + at + 1,
		(*n - at - 1) * sizeof(struct relay_host *));
	(*n)--;
}

struct relay_host *relay_table_find(const struct relay *r, uint64_t id)
{
	uint32_t at = lower_bound(r->host, r->n_hosts, id);

	return at < r->n_hosts && r->host[at]->id == id ? r->host[at] : NULL;
}

struct relay_host *relay_find(const struct relay *r, const char *name)
{
	return relay_table_find(r, namehash(name));
}

/* Returns the domain with this name, added if need be, or NULL if too many. */
struct relay_domain *relay_table_domain(struct relay *r, const char *name)
{
	struct relay_domain *d;
	uint32_t i;

	for (i = 0; i < r->n_domains; i++)
		if (strcmp(r->domain[i].name, name) == 0)
			return &r->domain[i];
	if (!*name || r->n_domains == RELAY_DOMAINS_MAX)
		return NULL;
	d = &r->domain[r->n_domains++];
	snprintf(d->name, sizeof(d->name), "%s", name);
	totals_group_init(&d->spent);
	return d;
}

/* Sets the domain of a host, which may have been unknown or wrong. */
void relay_table_set_domain(struct relay *r, struct relay_host *h,
			    const char *name)
{
	struct relay_domain *d = relay_table_domain(r, name);

	if (!d || d == h->domain)
		return;
	if (h->domain) {
		remove_sorted(h->domain->host, &h->domain->n, h);
		h->domain->alive -= h->alive;
		h->domain->known -= h->known;
		h->domain = NULL;
	}
	if (insert_sorted(&d->host, &d->n, &d->capacity, h) < 0)
		return;
	h->domain = d;
	d->alive += h->alive;
	d->known += h->known;
}

struct relay_host *relay_table_add(struct relay *r, uint64_t id)
{
	struct relay_host *h = calloc(1, sizeof(*h));

	if (!h)
		return NULL;
	h->id = id;
	totals_group_init(&h->spent);
	if (insert_sorted(&r->host, &r->n_hosts, &r->hosts_capacity, h) < 0) {
		free(h);
		return NULL;
	}
	return h;
}

/* Returns a host, added if need be; NULL for this one or without memory. */
struct relay_host *relay_table_host(struct relay *r, const char *name)
{
	uint64_t id = namehash(name);
	struct relay_host *h;

	if (id == r->id)
		return NULL;
	h = relay_table_find(r, id);
	if (!h)
		h = relay_table_add(r, id);
	if (h && !h->name[0])
		snprintf(h->name, sizeof(h->name), "%s", name);
	return h;
}

static uint32_t total_position(const struct relay *r, uint32_t endpoint)
{
	uint32_t low = 0, high = r->n_totals, mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (r->total[mid].endpoint < endpoint)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

/* Returns the sum of an endpoint, added if need be, or NULL. */
struct relay_load *relay_table_total(struct relay *r, uint32_t endpoint)
{
	uint32_t at = total_position(r, endpoint);
	uint32_t grown = r->totals_capacity ? 2 * r->totals_capacity : 64;
	struct relay_load *p;

	if (at < r->n_totals && r->total[at].endpoint == endpoint)
		return &r->total[at];
	if (r->n_totals == r->totals_capacity) {
		p = realloc(r->total, grown * sizeof(*p));
		if (!p)
			return NULL;
		r->total = p;
		r->totals_capacity = grown;
	}
	memmove(&r->total[at + 1], &r->total[at],
		(r->n_totals - at) * sizeof(*r->total));
	r->n_totals++;
	r->total[at] = (struct relay_load){.endpoint = endpoint};
	return &r->total[at];
}

static void clear_load(struct relay *r, struct relay_host *h)
{
	struct relay_load *t;
	uint32_t i;

	for (i = 0; i < h->n_loads; i++) {
		t = &r->total[total_position(r, h->load[i].endpoint)];
		t->running -= h->load[i].running;
		t->tokens -= h->load[i].tokens;
	}
	free(h->load);
	h->load = NULL;
	h->n_loads = 0;
	r->waiting -= h->waiting;
	h->waiting = 0;
}

/* Replaces the load of a host by n rows, whose memory it takes over. */
void relay_table_set_load(struct relay *r, struct relay_host *h,
			  struct relay_load *load, uint32_t n, uint32_t waiting)
{
	struct relay_load *t;
	uint32_t i;

	if (n != h->n_loads || waiting != h->waiting ||
	    (n && memcmp(load, h->load, n * sizeof(*load)) != 0))
		h->row_sent_us = 0;
	clear_load(r, h);
	h->load = load;
	for (i = 0; i < n; i++) {
		t = relay_table_total(r, load[i].endpoint);
		if (!t)
			continue;
		t->running += load[i].running;
		t->tokens += load[i].tokens;
		h->load[h->n_loads++] = load[i];
	}
	h->waiting = waiting;
	r->waiting += waiting;
}

/* Removes endpoints without load, once there are many. */
void relay_table_drop_idle(struct relay *r)
{
	uint32_t i, n = 0;

	if (r->n_totals < FIG_TOTALS_MAX)
		return;
	for (i = 0; i < r->n_totals; i++)
		if (r->total[i].running || r->total[i].tokens)
			r->total[n++] = r->total[i];
	r->n_totals = n;
}

void relay_table_set_known(struct relay_host *h, bool known)
{
	if (h->known == known)
		return;
	h->known = known;
	if (h->domain)
		h->domain->known += known ? 1 : -1;
}

void relay_table_set_silent(struct relay *r, struct relay_host *h,
			    int64_t now_us)
{
	if (!h->alive)
		return;
	h->alive = false;
	clear_load(r, h);
	TAILQ_REMOVE(&r->alive, h, entry);
	TAILQ_INSERT_TAIL(&r->silent, h, entry);
	h->silent_us = now_us;
	if (h->domain)
		h->domain->alive--;
}

/* A report of the host was made at at_us. */
void relay_table_set_heard(struct relay *r, struct relay_host *h, int64_t at_us)
{
	if (at_us > h->heard_us)
		h->heard_us = at_us;
	if (h->alive) {
		TAILQ_REMOVE(&r->alive, h, entry);
	} else {
		if (h->known)
			TAILQ_REMOVE(&r->silent, h, entry);
		h->alive = true;
		if (h->domain)
			h->domain->alive++;
	}
	if (h->domain)
		h->domain->heard = true;
	TAILQ_INSERT_TAIL(&r->alive, h, entry);
	relay_table_set_known(h, true);
}

void relay_table_set_delegate(struct relay *r, struct relay_host *h,
			      bool delegate)
{
	if (h->is_delegate == delegate)
		return;
	h->is_delegate = delegate;
	if (delegate)
		TAILQ_INSERT_TAIL(&r->delegates, h, delegate_entry);
	else
		TAILQ_REMOVE(&r->delegates, h, delegate_entry);
}

void relay_table_free(struct relay *r, struct relay_host *h)
{
	relay_table_set_silent(r, h, r->now_us);
	if (h->known)
		TAILQ_REMOVE(&r->silent, h, entry);
	relay_table_set_known(h, false);
	relay_table_set_delegate(r, h, false);
	if (h->domain)
		remove_sorted(h->domain->host, &h->domain->n, h);
	remove_sorted(r->host, &r->n_hosts, h);
	totals_group_finish(&h->spent);
	free(h->load);
	free(h);
}
