#include "relay.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "namehash.h"

/* Report interval of a mesh per host, if that is more than RELAY_REPORT_US. */
#define MESH_REPORT_PER_HOST_US 10000LL
/* A host is a delegate for this long after a host of its domain reported to it,
 * and to others after it sent them rows. */
#define DELEGATE_US 2000000LL
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
/* A row whose load did not change is sent again after this time. */
#define ROWS_REFRESH_US 500000LL
/* A host that is silent for this long is taken to be gone, if others of its
 * domain are alive; else the domain may be cut off, and its hosts go on using
 * their part of limits. */
#define GONE_US 20000000LL
/* The first report of a host that has just started counts in full; one that has
 * run for longer is new to this host only. */
#define YOUNG_US 3000000LL
/* A timer may fire this much early. */
#define TIMER_TOLERANCE_US 20000LL

int relay_init(struct relay *r, const char *name, const char *domain,
	       uint64_t boot, struct ratelimit *limits, int64_t now_us)
{
	memset(r, 0, sizeof(*r));
	snprintf(r->name, sizeof(r->name), "%s", name);
	r->id = namehash(name);
	r->boot = boot;
	r->start_us = r->now_us = r->mode_us = now_us;
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
		p = realloc(*host, grown * sizeof(**host));
		if (!p)
			return -ENOMEM;
		*host = p;
		*capacity = grown;
	}
	at = lower_bound(*host, *n, h->id);
	memmove(*host + at + 1, *host + at, (*n - at) * sizeof(**host));
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
	memmove(host + at, host + at + 1, (*n - at - 1) * sizeof(*host));
	(*n)--;
}

static struct relay_host *find_id(const struct relay *r, uint64_t id)
{
	uint32_t at = lower_bound(r->host, r->n_hosts, id);

	return at < r->n_hosts && r->host[at]->id == id ? r->host[at] : NULL;
}

struct relay_host *relay_find(const struct relay *r, const char *name)
{
	return find_id(r, namehash(name));
}

/* Returns the domain with this name, added if need be, or NULL if too many. */
static struct relay_domain *get_domain(struct relay *r, const char *name)
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
static void set_domain(struct relay *r, struct relay_host *h, const char *name)
{
	struct relay_domain *d = get_domain(r, name);

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

static struct relay_host *add_id(struct relay *r, uint64_t id)
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
static struct relay_host *get_host(struct relay *r, const char *name)
{
	uint64_t id = namehash(name);
	struct relay_host *h;

	if (id == r->id)
		return NULL;
	h = find_id(r, id);
	if (!h)
		h = add_id(r, id);
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
static struct relay_load *get_total(struct relay *r, uint32_t endpoint)
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
static void set_load(struct relay *r, struct relay_host *h,
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
		t = get_total(r, load[i].endpoint);
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
static void drop_idle_totals(struct relay *r)
{
	uint32_t i, n = 0;

	if (r->n_totals < FIG_TOTALS_MAX)
		return;
	for (i = 0; i < r->n_totals; i++)
		if (r->total[i].running || r->total[i].tokens)
			r->total[n++] = r->total[i];
	r->n_totals = n;
}

static void set_known(struct relay_host *h, bool known)
{
	if (h->known == known)
		return;
	h->known = known;
	if (h->domain)
		h->domain->known += known ? 1 : -1;
}

static void set_silent(struct relay *r, struct relay_host *h, int64_t now_us)
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
static void set_heard(struct relay *r, struct relay_host *h, int64_t at_us)
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
	set_known(h, true);
}

static void set_delegate(struct relay *r, struct relay_host *h, bool delegate)
{
	if (h->is_delegate == delegate)
		return;
	h->is_delegate = delegate;
	if (delegate)
		TAILQ_INSERT_TAIL(&r->delegates, h, delegate_entry);
	else
		TAILQ_REMOVE(&r->delegates, h, delegate_entry);
}

static void free_host(struct relay *r, struct relay_host *h)
{
	set_silent(r, h, r->now_us);
	if (h->known)
		TAILQ_REMOVE(&r->silent, h, entry);
	set_known(h, false);
	set_delegate(r, h, false);
	if (h->domain)
		remove_sorted(h->domain->host, &h->domain->n, h);
	remove_sorted(r->host, &r->n_hosts, h);
	totals_group_finish(&h->spent);
	free(h->load);
	free(h);
}

void relay_finish(struct relay *r)
{
	uint32_t i;

	while (r->n_hosts)
		free_host(r, r->host[r->n_hosts - 1]);
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
	struct relay_host *h = get_host(r, name);
	bool is_new;

	if (!h)
		return false;
	is_new = !h->addr[0];
	h->recorded = true;
	h->leaving = false;
	if (is_new && !h->known) {
		h->silent_us = now_us;
		TAILQ_INSERT_TAIL(&r->silent, h, entry);
		set_known(h, true);
	}
	snprintf(h->addr, sizeof(h->addr), "%s", addr);
	set_domain(r, h, domain);
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
		free_host(r, h);
	return true;
}

void relay_set_self(struct relay *r, const struct relay_self *self)
{
	r->self = *self;
}

/* Makes space for all columns in the sums of consumption. */
static bool grow_spent(struct relay *r)
{
	uint32_t n = r->accounts.capacity;
	int64_t *p;

	if (r->accounts.n <= r->spent_capacity)
		return true;
	p = realloc(r->domain_spent, n * sizeof(*p));
	if (!p)
		return false;
	r->domain_spent = p;
	p = realloc(r->all_spent, n * sizeof(*p));
	if (!p)
		return false;
	r->all_spent = p;
	memset(r->domain_spent + r->spent_capacity, 0,
	       (n - r->spent_capacity) * sizeof(*p));
	memset(r->all_spent + r->spent_capacity, 0,
	       (n - r->spent_capacity) * sizeof(*p));
	r->spent_capacity = n;
	return true;
}

static void count_digest(void *ctx, uint64_t account, int64_t change)
{
	struct relay *r = ctx;

	ratelimit_deduct(r->limits, account, change, r->now_us);
}

static void count_remote(void *ctx, uint64_t account, int64_t change)
{
	struct relay *r = ctx;
	int c = totals_column(&r->accounts, account);

	if (c >= 0 && grow_spent(r))
		r->all_spent[c] += change;
	ratelimit_deduct(r->limits, account, change, r->now_us);
}

static void count_local(void *ctx, uint64_t account, int64_t change)
{
	struct relay *r = ctx;
	int c = totals_column(&r->accounts, account);

	if (c >= 0 && grow_spent(r))
		r->domain_spent[c] += change;
	count_remote(ctx, account, change);
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

static void choose_mode(struct relay *r, int64_t now_us)
{
	struct relay_host *out[RELAY_DELEGATES];

	if (r->n_hosts < RELAY_MESH_HOSTS_MAX)
		update_mode(r, RELAY_MESH, now_us);
	else if ((r->reported_us && now_us - r->reported_us < DELEGATE_US) ||
		 !own_delegates(r, out, RELAY_DELEGATES))
		update_mode(r, RELAY_DELEGATE, now_us);
	else
		update_mode(r, RELAY_MEMBER, now_us);
}

/* Called first by each event. */
static void advance(struct relay *r, int64_t now_us)
{
	if (now_us - r->now_us > PAUSE_US)
		r->mode_us = now_us;
	r->now_us = now_us;
}

static void set_offsets(struct relay_host *h, const uint64_t *next_offset,
			uint32_t state, int64_t now_us)
{
	memcpy(h->next_offset, next_offset, sizeof(h->next_offset));
	h->reader_state = (enum fig_following)state;
	h->offsets_us = now_us;
}

/* Returns false if the host already sent a newer message of this kind. */
static bool is_newer(const struct relay_host *h, uint64_t boot,
		     uint64_t counter)
{
	return boot > h->boot || (boot == h->boot && counter > h->counter);
}

static struct relay_load *copy_loads(const struct fig_load *from, uint32_t n)
{
	struct relay_load *load = calloc(n + 1, sizeof(*load));
	uint32_t i;

	for (i = 0; load && i < n; i++) {
		load[i].endpoint = namehash32(from[i].endpoint);
		load[i].running = from[i].running;
		load[i].tokens = from[i].tokens + from[i].prompt_tokens;
	}
	return load;
}

static struct relay_load *copy_totals(const struct fig_total *from, uint32_t n)
{
	struct relay_load *load = calloc(n + 1, sizeof(*load));
	uint32_t i;

	for (i = 0; load && i < n; i++) {
		load[i].endpoint = from[i].endpoint;
		load[i].running = from[i].running;
		load[i].tokens = from[i].tokens;
	}
	return load;
}

/* Applies what a host of any domain says of its own consumption. */
static void apply_spent(struct relay *r, struct relay_host *h, uint64_t boot,
			uint64_t counter, const struct fig_share *s,
			int64_t now_us)
{
	struct totals_row row[2 * FIG_SPENT_MAX];
	struct totals_report report = {
		.source = h->id, .boot = boot, .counter = counter, .row = row};
	totals_fn count = h->domain == r->own_domain ? count_local
						     : count_remote;
	uint32_t i;

	for (i = 0; i < s->spent.spent_len; i++) {
		row[report.n].key = namehash(s->spent.spent_val[i].account);
		row[report.n++].amount = (int64_t)s->spent.spent_val[i].amount;
	}
	for (i = 0; i < s->refused.refused_len; i++) {
		row[report.n].key = ratelimit_refused_key(
			namehash(s->refused.refused_val[i].account));
		row[report.n++].amount =
			(int64_t)s->refused.refused_val[i].amount;
	}
	report.young = (int64_t)s->uptime_ms * 1000 < YOUNG_US &&
		       (int64_t)s->uptime_ms * 1000 < now_us - r->start_us;
	/* The rows of its domain's delegates count this host already. */
	if (relay_uses_digest(r, now_us) ||
	    (h->domain && h->domain != r->own_domain && h->domain->rows_us &&
	     now_us - h->domain->rows_us < DELEGATE_US))
		count = NULL;
	totals_apply(&h->spent, &r->accounts, &report, now_us, count, r);
}

struct relay_host *relay_on_report(struct relay *r, const char *name,
				   uint64_t boot, uint64_t counter,
				   const struct fig_share *s, int64_t now_us)
{
	uint64_t next_offset[FIG_STREAMS] = {s->upto[0], s->upto[1],
					     s->hosts_upto};
	struct relay_host *h = get_host(r, name);
	struct relay_load *load;

	advance(r, now_us);
	if (!h)
		return NULL;
	set_domain(r, h, s->domain);
	snprintf(h->addr, sizeof(h->addr), "%s", s->addr);
	if (h->domain == r->own_domain)
		r->reported_us = now_us;
	choose_mode(r, now_us);
	if (!is_newer(h, boot, counter))
		return h;
	h->direct_us = now_us;
	apply_spent(r, h, boot, counter, s, now_us);
	load = copy_loads(s->load.load_val, s->load.load_len);
	if (!load)
		return h;
	h->boot = boot;
	h->counter = counter;
	set_load(r, h, load, s->load.load_len, s->waiting);
	set_heard(r, h, now_us);
	set_offsets(h, next_offset, s->following, now_us);
	return h;
}

static void apply_row(struct relay *r, const char *domain,
		      const struct fig_host_row *row, int64_t now_us)
{
	struct relay_host *h = find_id(r, row->host);
	struct relay_load *load;

	if (row->host == r->id)
		return;
	if (!h)
		h = add_id(r, row->host);
	if (!h || !is_newer(h, row->boot, row->counter))
		return;
	load = copy_totals(row->load.load_val, row->load.load_len);
	if (!load)
		return;
	set_domain(r, h, domain);
	h->boot = row->boot;
	h->counter = row->counter;
	set_load(r, h, load, row->load.load_len, row->waiting);
	set_heard(r, h, now_us - (int64_t)row->age_ms * 1000);
}

/* Applies sums of consumption that a delegate reports. */
static void apply_sums(struct relay *r, struct totals_group *g,
		       const struct relay_host *h, uint64_t boot,
		       uint64_t counter, const struct fig_account_total *spent,
		       uint32_t n, totals_fn count)
{
	struct totals_row row[FIG_TOTALS_MAX];
	struct totals_report report = {.source = h->id,
				       .boot = boot,
				       .counter = counter,
				       .row = row,
				       .n = n};
	uint32_t i;

	for (i = 0; i < n; i++) {
		row[i].key = spent[i].account;
		row[i].amount = spent[i].amount;
	}
	totals_apply(g, &r->accounts, &report, r->now_us, count, r);
}

struct relay_host *relay_on_rows(struct relay *r, const char *name,
				 uint64_t boot, uint64_t counter,
				 const struct fig_rows *rows, int64_t now_us)
{
	struct relay_host *h = get_host(r, name);
	uint32_t i;

	advance(r, now_us);
	if (!h)
		return NULL;
	set_domain(r, h, rows->domain);
	snprintf(h->addr, sizeof(h->addr), "%s", rows->addr);
	h->rows_us = now_us;
	set_delegate(r, h, true);
	set_offsets(h, rows->upto, rows->following, now_us);
	for (i = 0; i < rows->row.row_len; i++)
		apply_row(r, rows->domain, &rows->row.row_val[i], now_us);
	if (h->domain && h->domain != r->own_domain) {
		h->domain->rows_us = now_us;
		apply_sums(r, &h->domain->spent, h, boot, counter,
			   rows->spent.spent_val, rows->spent.spent_len,
			   relay_uses_digest(r, now_us) ? NULL : count_remote);
	}
	choose_mode(r, now_us);
	return h;
}

static int compare_loads(const void *a, const void *b)
{
	const struct relay_load *x = a, *y = b;

	return x->endpoint < y->endpoint ? -1 : x->endpoint > y->endpoint;
}

struct relay_host *relay_on_digest(struct relay *r, const char *name,
				   uint64_t boot, uint64_t counter,
				   const struct fig_digest *d, int64_t now_us)
{
	struct relay_host *h = get_host(r, name);
	struct relay_domain *domain;
	struct relay_load *load;
	uint32_t i;

	advance(r, now_us);
	if (!h)
		return NULL;
	h->unanswered = 0;
	h->down = false;
	r->answer_us = now_us;
	h->direct_us = now_us;
	set_offsets(h, d->upto, d->following, now_us);
	if (!d->complete)
		return h;
	load = copy_totals(d->load.load_val, d->load.load_len);
	if (!load)
		return h;
	free(r->digest_load);
	r->digest_load = load;
	r->n_digest_loads = d->load.load_len;
	qsort(load, r->n_digest_loads, sizeof(*load), compare_loads);
	for (i = 0; i < d->domains.domains_len; i++) {
		domain = get_domain(r, d->domains.domains_val[i].domain);
		if (!domain)
			continue;
		domain->digest_known = d->domains.domains_val[i].known;
		domain->digest_alive = d->domains.domains_val[i].alive;
		domain->heard = domain->heard || domain->digest_alive;
	}
	r->digest_us = now_us;
	r->digest_waiting = d->waiting;
	r->digest_oldest_ms = d->oldest_ms;
	apply_sums(r, &r->others, h, boot, counter, d->spent.spent_val,
		   d->spent.spent_len,
		   relay_uses_digest(r, now_us) ? count_digest : NULL);
	return h;
}

/* Marks hosts that fell silent, and forgets those that are gone. */
static void expire(struct relay *r, int64_t now_us)
{
	struct relay_host *h, *next;

	while ((h = TAILQ_FIRST(&r->alive)) != NULL &&
	       now_us - h->heard_us > RELAY_ALIVE_US) {
		set_silent(r, h, now_us);
		if (h->leaving)
			free_host(r, h);
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
		set_known(h, false);
		if (!h->recorded)
			free_host(r, h);
	}
	for (h = TAILQ_FIRST(&r->delegates); h; h = next) {
		next = TAILQ_NEXT(h, delegate_entry);
		if (now_us - h->rows_us > DELEGATE_US)
			set_delegate(r, h, false);
	}
	drop_idle_totals(r);
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

uint32_t relay_tick(struct relay *r, int64_t now_us, struct relay_send *out)
{
	int64_t interval_us = RELAY_REPORT_US;
	uint32_t i, n = 0;
	bool report;

	advance(r, now_us);
	choose_mode(r, now_us);
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
	if (r->mode == RELAY_DELEGATE &&
	    now_us - r->rows_us >= RELAY_ROWS_US - TIMER_TOLERANCE_US) {
		r->rows_us = now_us;
		n = send_rows(r, out, n);
	}
	return n;
}

static int fill_row(struct fig_host_row *row, const struct relay_load *load,
		    uint32_t n)
{
	uint32_t i;

	row->load.load_val = calloc(n + 1, sizeof(*row->load.load_val));
	if (!row->load.load_val)
		return -ENOMEM;
	for (i = 0; i < n && i < FIG_TOTALS_MAX; i++) {
		struct fig_total *t = &row->load.load_val[i];

		t->endpoint = load[i].endpoint;
		t->running = load[i].running;
		t->tokens = load[i].tokens;
	}
	row->load.load_len = i;
	return 0;
}

/*
 * Fills sums of consumption: this host's own, and what was counted of others,
 * less what was counted of the host that the sums are for, if any.
 */
static int fill_spent(struct relay *r, const int64_t *counted,
		      const struct relay_host *without,
		      struct fig_account_total **out, u_int *n)
{
	const struct ratelimit_account *a = r->limits->account;
	int64_t *sum;
	uint32_t i;
	int c;

	for (i = 0; i < r->limits->n_accounts; i++) {
		if (a[i].used)
			totals_column(&r->accounts, a[i].key);
		if (a[i].refused)
			totals_column(&r->accounts,
				      ratelimit_refused_key(a[i].key));
	}
	sum = calloc(r->accounts.n + 1, sizeof(*sum));
	*out = calloc(r->accounts.n + 1, sizeof(**out));
	if (!sum || !*out) {
		free(sum);
		return -ENOMEM;
	}
	for (i = 0; i < r->accounts.n && i < r->spent_capacity; i++)
		sum[i] = counted[i] -
			 (without ? totals_counted(&without->spent, i) : 0);
	for (i = 0; i < r->limits->n_accounts; i++) {
		c = a[i].used ? totals_column(&r->accounts, a[i].key) : -1;
		if (c >= 0)
			sum[c] += a[i].consumed;
		c = a[i].refused
			    ? totals_column(&r->accounts,
					    ratelimit_refused_key(a[i].key))
			    : -1;
		if (c >= 0)
			sum[c] += a[i].refused;
	}
	*n = 0;
	for (i = 0; i < r->accounts.n && i < FIG_TOTALS_MAX; i++) {
		(*out)[*n].account = r->accounts.key[i];
		(*out)[(*n)++].amount = sum[i];
	}
	free(sum);
	return 0;
}

/* The rows of this host and of those of its domain that report to it, as far as
 * they have changed or were not sent lately. */
int relay_fill_rows(struct relay *r, struct fig_rows *rows, int64_t now_us)
{
	const struct relay_domain *d = r->own_domain;
	struct fig_host_row *row;
	uint32_t i;
	int error;

	memcpy(rows->upto, r->self.next_offset, sizeof(rows->upto));
	rows->following = r->self.reader_state;
	error = fill_spent(r, r->domain_spent, NULL, &rows->spent.spent_val,
			   &rows->spent.spent_len);
	rows->row.row_val = calloc(d->n + 1, sizeof(*row));
	if (error || !rows->row.row_val)
		return -ENOMEM;
	row = &rows->row.row_val[rows->row.row_len++];
	row->host = r->id;
	row->boot = r->boot;
	row->counter = r->self.counter;
	row->waiting = r->self.waiting;
	if (fill_row(row, r->self.load, r->self.n_loads) < 0)
		return -ENOMEM;
	for (i = 0; i < d->n && rows->row.row_len < FIG_ROWS_MAX; i++) {
		struct relay_host *h = d->host[i];

		if (!h->alive || !h->direct_us ||
		    now_us - h->direct_us > RELAY_ALIVE_US ||
		    (h->row_sent_us &&
		     now_us - h->row_sent_us < ROWS_REFRESH_US))
			continue;
		h->row_sent_us = now_us;
		row = &rows->row.row_val[rows->row.row_len++];
		row->host = h->id;
		row->boot = h->boot;
		row->counter = h->counter;
		row->age_ms = (u_int)((now_us - h->heard_us) / 1000);
		row->waiting = h->waiting;
		if (fill_row(row, h->load, h->n_loads) < 0)
			return -ENOMEM;
	}
	return 0;
}

void relay_free_rows(struct fig_rows *rows)
{
	u_int i;

	for (i = 0; i < rows->row.row_len; i++)
		free(rows->row.row_val[i].load.load_val);
	free(rows->row.row_val);
	free(rows->spent.spent_val);
}

static struct fig_total *find_total(struct fig_digest *d, uint32_t endpoint)
{
	u_int low = 0, high = d->load.load_len, mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (d->load.load_val[mid].endpoint < endpoint)
			low = mid + 1;
		else
			high = mid;
	}
	return low < d->load.load_len &&
			       d->load.load_val[low].endpoint == endpoint
		       ? &d->load.load_val[low]
		       : NULL;
}

/* Fills the loads of all hosts but the one that the digest is for. */
static int fill_loads(struct relay *r, const struct relay_host *to,
		      struct fig_digest *d)
{
	struct fig_total *t;
	uint32_t i, n = 0;

	for (i = 0; i < r->self.n_loads; i++)
		get_total(r, r->self.load[i].endpoint);
	d->load.load_val = calloc(r->n_totals + 1, sizeof(*t));
	if (!d->load.load_val)
		return -ENOMEM;
	for (i = 0; i < r->n_totals && i < FIG_TOTALS_MAX; i++) {
		d->load.load_val[i].endpoint = r->total[i].endpoint;
		d->load.load_val[i].running = r->total[i].running;
		d->load.load_val[i].tokens = r->total[i].tokens;
	}
	d->load.load_len = i;
	for (i = 0; i < r->self.n_loads; i++) {
		t = find_total(d, r->self.load[i].endpoint);
		if (!t)
			continue;
		t->running += r->self.load[i].running;
		t->tokens += r->self.load[i].tokens;
	}
	for (i = 0; i < to->n_loads; i++) {
		t = find_total(d, to->load[i].endpoint);
		if (!t)
			continue;
		t->running -= to->load[i].running;
		t->tokens -= to->load[i].tokens;
	}
	for (i = 0; i < d->load.load_len; i++)
		if (d->load.load_val[i].running || d->load.load_val[i].tokens)
			d->load.load_val[n++] = d->load.load_val[i];
	d->load.load_len = n;
	return 0;
}

int relay_fill_digest(struct relay *r, const struct relay_host *to,
		      struct fig_digest *d, int64_t now_us)
{
	const struct relay_host *oldest = TAILQ_FIRST(&r->alive);
	uint32_t i;

	memcpy(d->upto, r->self.next_offset, sizeof(d->upto));
	d->following = r->self.reader_state;
	d->complete = relay_is_complete(r, now_us);
	d->oldest_ms = oldest && now_us > oldest->heard_us
			       ? (u_int)((now_us - oldest->heard_us) / 1000)
			       : 0;
	d->waiting = r->waiting + r->self.waiting - to->waiting;
	d->domains.domains_val =
		calloc(r->n_domains, sizeof(*d->domains.domains_val));
	if (!d->domains.domains_val)
		return -ENOMEM;
	for (i = 0; i < r->n_domains; i++) {
		struct fig_domain_hosts *row = &d->domains.domains_val[i];
		const struct relay_domain *domain = &r->domain[i];

		row->domain = (char *)domain->name;
		row->known = domain->known + (domain == r->own_domain);
		row->alive = domain->alive + (domain == r->own_domain);
	}
	d->domains.domains_len = r->n_domains;
	if (fill_spent(r, r->all_spent, to, &d->spent.spent_val,
		       &d->spent.spent_len) < 0)
		return -ENOMEM;
	return fill_loads(r, to, d);
}

void relay_free_digest(struct fig_digest *d)
{
	free(d->domains.domains_val);
	free(d->spent.spent_val);
	free(d->load.load_val);
}
