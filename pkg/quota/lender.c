#include "quota.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define REFILL_MAX_US (600LL * 1000000) /* rate * elapsed must not overflow */
#define LEASE_CAPACITY_MIN 4
/* New requests leave tokens in the bucket for this much stream output. */
#define STREAM_HEADROOM_MS 100
#define HEADROOM_DIVISOR 8 /* headroom is at most 1/8 of the burst */
#define EXTRA_DIVISOR 4	   /* extra_tokens get at most 1/4 of the rest */

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

void quota_lender_init(struct quota_lender *l, int64_t now_us)
{
	memset(l, 0, sizeof(*l));
	l->refilled_us = now_us;
	l->lapsed = true;
}

void quota_lender_finish(struct quota_lender *l)
{
	free(l->lease);
	memset(l, 0, sizeof(*l));
}

uint64_t quota_lender_outstanding_tokens(const struct quota_lender *l)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < l->lease_n; i++)
		sum += l->lease[i].unspent_tokens;
	return sum;
}

/* Returns the burst less the outstanding leases, in millitokens. */
static int64_t level_max(const struct quota_lender *l)
{
	uint64_t out = quota_lender_outstanding_tokens(l);

	if (out >= l->active.burst_tokens)
		return 0;
	return (int64_t)(l->active.burst_tokens - out) * QUOTA_MILLI;
}

static void cap_level(struct quota_lender *l)
{
	int64_t max = level_max(l);

	if (l->level_mtokens > max)
		l->level_mtokens = max;
}

/*
 * Refills in whole millitokens. refilled_us advances by the time that these
 * take, so that the fraction is added by a later call.
 */
static void refill(struct quota_lender *l, int64_t now_us)
{
	int64_t rate = (int64_t)l->active.rate_tokens_s;
	int64_t elapsed_us = now_us - l->refilled_us;
	int64_t max = level_max(l);
	int64_t added;

	if (elapsed_us <= 0)
		return;
	if (elapsed_us > REFILL_MAX_US)
		elapsed_us = REFILL_MAX_US;
	added = rate * elapsed_us / QUOTA_MILLI; /* from microtokens */
	if (rate == 0 || l->level_mtokens + added >= max) {
		l->refilled_us = now_us;
		if (rate && l->level_mtokens < max)
			l->level_mtokens = max;
		return;
	}
	l->level_mtokens += added;
	l->refilled_us += (added * QUOTA_MILLI + rate - 1) / rate;
}

static void drop_expired(struct quota_lender *l, int64_t now_us)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < l->lease_n; i++)
		if (l->lease[i].expires_us > now_us)
			l->lease[kept++] = l->lease[i];
	l->lease_n = kept;
}

/* Drops the active limits: a newer epoch may have assigned them elsewhere. */
static void lapse(struct quota_lender *l)
{
	l->lapsed = true;
	l->active = (struct quota_limits){0, 0};
	l->level_mtokens = 0;
}

void quota_lender_update(struct quota_lender *l, int64_t now_us)
{
	if (!l->lapsed && now_us >= l->confirmed_us + QUOTA_CONFIRM_TTL_US)
		lapse(l);
	refill(l, now_us);
	drop_expired(l, now_us);
	if (l->lapsed || !l->activate_us || now_us < l->activate_us)
		return;
	l->active = l->assigned;
	l->activate_us = 0;
	l->refilled_us = now_us;
}

static void lower_limits(struct quota_limits *p, const struct quota_limits *max)
{
	p->rate_tokens_s = min_u64(p->rate_tokens_s, max->rate_tokens_s);
	p->burst_tokens = min_u64(p->burst_tokens, max->burst_tokens);
}

static bool are_equal(const struct quota_limits *a,
		      const struct quota_limits *b)
{
	return a->rate_tokens_s == b->rate_tokens_s &&
	       a->burst_tokens == b->burst_tokens;
}

void quota_lender_assign(struct quota_lender *l,
			 const struct quota_limits *limits,
			 uint64_t lenders_hash, int64_t now_us)
{
	bool unchanged = are_equal(&l->assigned, limits) &&
			 l->lenders_hash == lenders_hash;

	quota_lender_update(l, now_us);
	l->lenders_hash = lenders_hash;
	if (unchanged)
		return;
	l->assigned = *limits;
	lower_limits(&l->active, limits);
	cap_level(l);
	l->activate_us = are_equal(&l->active, limits)
				 ? 0
				 : now_us + QUOTA_ACTIVATION_DELAY_US;
}

void quota_lender_confirm(struct quota_lender *l, int64_t as_of_us,
			  int64_t now_us)
{
	quota_lender_update(l, now_us);
	if (as_of_us + QUOTA_CONFIRM_TTL_US <= now_us)
		return;
	if (as_of_us > l->confirmed_us || l->lapsed)
		l->confirmed_us = as_of_us;
	if (!l->lapsed)
		return;
	l->lapsed = false;
	l->activate_us = now_us + QUOTA_ACTIVATION_DELAY_US;
}

void quota_lender_activate(struct quota_lender *l, int64_t as_of_us,
			   int64_t now_us)
{
	if (as_of_us + QUOTA_CONFIRM_TTL_US <= now_us)
		return;
	l->confirmed_us = as_of_us;
	l->lapsed = false;
	l->active = l->assigned;
	l->activate_us = 0;
	l->refilled_us = now_us;
	l->level_mtokens = level_max(l);
}

static int compare_descending(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x < y) - (x > y);
}

/* Sorted latest first, elements 0 to n / 2 are a majority. */
int64_t quota_lender_quorum_us(int64_t *heartbeat_us, uint32_t n)
{
	if (n == 0)
		return INT64_MIN / 2;
	qsort(heartbeat_us, n, sizeof(*heartbeat_us), compare_descending);
	return heartbeat_us[n / 2] - (n > 1 ? QUOTA_HEARTBEAT_DELAY_US : 0);
}

bool quota_lender_is_active(const struct quota_lender *l)
{
	return !l->lapsed && !l->activate_us;
}

static struct quota_lease *find_lease(struct quota_lender *l,
				      uint64_t borrower_id)
{
	uint32_t i;

	for (i = 0; i < l->lease_n; i++)
		if (l->lease[i].borrower_id == borrower_id)
			return &l->lease[i];
	return NULL;
}

/* Returns a new empty lease, or NULL if out of memory. */
static struct quota_lease *add_lease(struct quota_lender *l,
				     uint64_t borrower_id)
{
	uint32_t capacity = l->lease_capacity ? 2 * l->lease_capacity
					      : LEASE_CAPACITY_MIN;
	struct quota_lease *lease;

	if (l->lease_n == l->lease_capacity) {
		lease = realloc(l->lease, capacity * sizeof(*lease));
		if (!lease)
			return NULL;
		l->lease = lease;
		l->lease_capacity = capacity;
	}
	lease = &l->lease[l->lease_n++];
	memset(lease, 0, sizeof(*lease));
	lease->borrower_id = borrower_id;
	return lease;
}

/* Returns the rate of all running streams that this lender has to sustain. */
static uint64_t stream_rate(const struct quota_lender *l)
{
	uint64_t sum = l->local_stream_rate_tokens_s;
	uint32_t i;

	for (i = 0; i < l->lease_n; i++)
		sum += l->lease[i].stream_rate_tokens_s;
	return sum;
}

static uint64_t unreserved_tokens(const struct quota_lender *l)
{
	uint64_t level = (uint64_t)l->level_mtokens / QUOTA_MILLI;

	return level > l->reserved_tokens ? level - l->reserved_tokens : 0;
}

uint64_t quota_lender_available_tokens(const struct quota_lender *l)
{
	uint64_t level = unreserved_tokens(l);
	uint64_t streams = stream_rate(l);
	uint64_t headroom = min_u64(streams * STREAM_HEADROOM_MS / 1000,
				    l->active.burst_tokens / HEADROOM_DIVISOR);

	if (streams >= l->active.rate_tokens_s || level <= headroom)
		return 0;
	return level - headroom;
}

/* Returns the tokens to lend: for streams first, then prompts, then extra. */
static uint64_t tokens_to_lend(const struct quota_lender *l,
			       const struct quota_borrow *b)
{
	uint64_t stream = min_u64(unreserved_tokens(l), b->stream_tokens);
	uint64_t available = quota_lender_available_tokens(l);
	uint64_t prompt;

	available = available > stream ? available - stream : 0;
	prompt = min_u64(available, b->prompt_tokens);
	return stream + prompt +
	       min_u64((available - prompt) / EXTRA_DIVISOR, b->extra_tokens);
}

/* Updates the lease by what the borrower reports; refunds returned tokens. */
static void apply_report(struct quota_lender *l, struct quota_lease *lease,
			 const struct quota_borrow *b)
{
	uint64_t refund = 0;

	if (lease->unspent_tokens > b->unspent_tokens)
		refund = min_u64(b->returned_tokens,
				 lease->unspent_tokens - b->unspent_tokens);
	lease->unspent_tokens = b->unspent_tokens;
	lease->seq = b->seq;
	lease->stream_rate_tokens_s = b->stream_rate_tokens_s;
	l->level_mtokens += (int64_t)refund * QUOTA_MILLI;
	cap_level(l);
}

static void fill_grant(const struct quota_lender *l,
		       const struct quota_lease *lease, struct quota_grant *out)
{
	out->seq = lease->seq;
	out->tokens = lease->granted_tokens;
	out->available_tokens = quota_lender_available_tokens(l);
	out->rate_tokens_s = l->active.rate_tokens_s;
}

int quota_lender_lend(struct quota_lender *l, const struct quota_borrow *b,
		      int64_t now_us, struct quota_grant *out)
{
	struct quota_lease *lease;
	uint64_t tokens;

	quota_lender_update(l, now_us);
	lease = find_lease(l, b->borrower_id);
	if (lease && b->seq < lease->seq)
		return -EALREADY;
	if (lease && b->seq == lease->seq) {
		fill_grant(l, lease, out);
		return 0;
	}
	if (!lease)
		lease = add_lease(l, b->borrower_id);
	if (!lease)
		return -ENOMEM;
	apply_report(l, lease, b);
	tokens = tokens_to_lend(l, b);
	l->level_mtokens -= (int64_t)tokens * QUOTA_MILLI;
	lease->granted_tokens = tokens;
	lease->unspent_tokens += tokens;
	lease->expires_us = now_us + QUOTA_LENDER_LEASE_US;
	fill_grant(l, lease, out);
	return 0;
}
