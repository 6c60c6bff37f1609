#include "parts.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "namehash.h"

/*
 * Reports, rows and digests: what a received one changes, and what one to be sent
 * contains.
 */

/* A row whose load did not change is sent again after this time. */
#define ROWS_REFRESH_US 500000LL
/* The first report of a host that has just started counts in full; one that has
 * run for longer is new to this host only. */
#define YOUNG_US 3000000LL

/* The age of what is unknown. */
#define AGE_UNKNOWN UINT32_MAX
/* Added to an age for the way of its message. It is more than messages take, so that
 * what hosts tell each other in turn does not become younger on the way. */
#define AGE_HOP_US 10000LL

/* Bytes of rows on the wire, as XDR: what is around them, and each element. */
#define ROWS_HEAD_BYTES 250
#define ROW_BYTES 36
#define LOAD_BYTES 12
#define ACCOUNT_BYTES 16

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

/* Puts into effect what others counted. The key of another total than those of
 * accounts is unknown to ratelimit_deduct(). */
static void count_digest(void *ctx, uint64_t key, int64_t change)
{
	struct relay *r = ctx;

	ratelimit_deduct(r->limits, key, change, r->now_us);
	if (r->on_total)
		r->on_total(r->on_total_ctx, key, change);
}

static void count_remote(void *ctx, uint64_t account, int64_t change)
{
	struct relay *r = ctx;
	int c = totals_column(&r->accounts, account);

	if (c >= 0 && grow_spent(r))
		r->all_spent[c] += change;
	count_digest(r, account, change);
}

static void count_local(void *ctx, uint64_t account, int64_t change)
{
	struct relay *r = ctx;
	int c = totals_column(&r->accounts, account);

	if (c >= 0 && grow_spent(r))
		r->domain_spent[c] += change;
	count_remote(ctx, account, change);
}

void relay_fill_ages(const int64_t *as_of_us, int64_t now_us,
		     unsigned int out[FIG_TOPICS])
{
	int t;

	for (t = 0; t < FIG_TOPICS; t++)
		out[t] = as_of_us[t]
				 ? (unsigned int)((now_us - as_of_us[t] + 999) /
						  1000)
				 : AGE_UNKNOWN;
}

/* An older build sends no ages. */
static void set_offsets(const struct relay *r, struct relay_host *h,
			const uint64_t *next_position, uint32_t state,
			const u_int *age_ms, u_int n_ages)
{
	u_int t;

	memcpy(h->next_position, next_position, sizeof(h->next_position));
	h->reader_state = (enum fig_following)state;
	h->offsets_us = r->now_us;
	for (t = 0; t < FIG_TOPICS; t++)
		h->as_of_us[t] = t < n_ages && age_ms[t] != AGE_UNKNOWN
					 ? r->input_us - AGE_HOP_US -
						   (int64_t)age_ms[t] * 1000
					 : 0;
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
	uint64_t next_position[FIG_STREAMS] = {s->upto[0], s->upto[1],
					       s->hosts_upto};
	struct relay_host *h = relay_table_host(r, name);
	struct relay_load *load;

	relay_advance(r, now_us);
	if (!h)
		return NULL;
	relay_table_set_domain(r, h, s->domain);
	snprintf(h->addr, sizeof(h->addr), "%s", s->addr);
	if (h->domain == r->own_domain)
		r->reported_us = now_us;
	relay_choose_mode(r, now_us);
	if (!is_newer(h, boot, counter))
		return h;
	h->direct_us = now_us;
	apply_spent(r, h, boot, counter, s, now_us);
	load = copy_loads(s->load.load_val, s->load.load_len);
	if (!load)
		return h;
	h->boot = boot;
	h->counter = counter;
	relay_table_set_load(r, h, load, s->load.load_len, s->waiting);
	relay_table_set_heard(r, h, now_us);
	set_offsets(r, h, next_position, s->following, s->age_ms.age_ms_val,
		    s->age_ms.age_ms_len);
	return h;
}

static void apply_row(struct relay *r, const char *domain,
		      const struct fig_host_row *row, int64_t now_us)
{
	struct relay_host *h = relay_table_find(r, row->host);
	struct relay_load *load;

	if (row->host == r->id)
		return;
	if (!h)
		h = relay_table_add(r, row->host);
	if (!h || !is_newer(h, row->boot, row->counter))
		return;
	load = copy_totals(row->load.load_val, row->load.load_len);
	if (!load)
		return;
	relay_table_set_domain(r, h, domain);
	h->boot = row->boot;
	h->counter = row->counter;
	relay_table_set_load(r, h, load, row->load.load_len, row->waiting);
	relay_table_set_heard(r, h, now_us - (int64_t)row->age_ms * 1000);
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
	struct relay_host *h = relay_table_host(r, name);
	uint32_t i;

	relay_advance(r, now_us);
	if (!h)
		return NULL;
	relay_table_set_domain(r, h, rows->domain);
	snprintf(h->addr, sizeof(h->addr), "%s", rows->addr);
	h->rows_us = now_us;
	relay_table_set_delegate(r, h, true);
	set_offsets(r, h, rows->upto, rows->following, rows->age_ms.age_ms_val,
		    rows->age_ms.age_ms_len);
	for (i = 0; i < rows->row.row_len; i++)
		apply_row(r, rows->domain, &rows->row.row_val[i], now_us);
	if (h->domain && h->domain != r->own_domain) {
		h->domain->rows_us = now_us;
		apply_sums(r, &h->domain->spent, h, boot, counter,
			   rows->spent.spent_val, rows->spent.spent_len,
			   relay_uses_digest(r, now_us) ? NULL : count_remote);
	}
	relay_choose_mode(r, now_us);
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
	struct relay_host *h = relay_table_host(r, name);
	struct relay_domain *domain;
	struct relay_load *load;
	uint32_t i;

	relay_advance(r, now_us);
	if (!h)
		return NULL;
	h->unanswered = 0;
	h->down = false;
	r->answer_us = now_us;
	h->direct_us = now_us;
	set_offsets(r, h, d->upto, d->following, d->age_ms.age_ms_val,
		    d->age_ms.age_ms_len);
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
		domain =
			relay_table_domain(r, d->domains.domains_val[i].domain);
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
	for (i = 0; i < r->self.n_own_totals; i++)
		totals_column(&r->accounts, r->self.total[i].key);
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
	for (i = 0; i < r->self.n_own_totals; i++) {
		c = totals_column(&r->accounts, r->self.total[i].key);
		if (c >= 0)
			sum[c] += r->self.total[i].amount;
	}
	*n = 0;
	for (i = 0; i < r->accounts.n && i < FIG_TOTALS_MAX; i++) {
		(*out)[*n].account = r->accounts.key[i];
		(*out)[(*n)++].amount = sum[i];
	}
	free(sum);
	return 0;
}

/* Fills the ages of this host's own knowledge of the store. Returns 0 or -ENOMEM. */
static int fill_own_ages(const struct relay *r, int64_t now_us, u_int **out,
			 u_int *n)
{
	*out = calloc(FIG_TOPICS, sizeof(**out));
	if (!*out)
		return -ENOMEM;
	*n = FIG_TOPICS;
	relay_fill_ages(r->self.as_of_us, now_us, *out);
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

	memcpy(rows->upto, r->self.next_position, sizeof(rows->upto));
	rows->following = r->self.reader_state;
	if (fill_own_ages(r, now_us, &rows->age_ms.age_ms_val,
			  &rows->age_ms.age_ms_len) < 0)
		return -ENOMEM;
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
	r->rows_bytes = ROWS_HEAD_BYTES +
			rows->spent.spent_len * ACCOUNT_BYTES + ROW_BYTES +
			row->load.load_len * LOAD_BYTES;
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
		r->rows_bytes += ROW_BYTES + row->load.load_len * LOAD_BYTES;
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
	free(rows->age_ms.age_ms_val);
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
		relay_table_total(r, r->self.load[i].endpoint);
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

	memcpy(d->upto, r->self.next_position, sizeof(d->upto));
	d->following = r->self.reader_state;
	if (fill_own_ages(r, now_us, &d->age_ms.age_ms_val,
			  &d->age_ms.age_ms_len) < 0)
		return -ENOMEM;
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
	free(d->age_ms.age_ms_val);
}
