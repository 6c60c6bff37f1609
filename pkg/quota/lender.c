#include "quota.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define REFILL_MAX_US (600LL * 1000000)
#define LEASE_ROOM_FIRST 4
#define RESERVE_MS 100
#define RESERVE_DIVISOR 8 /* of the burst, at most this part is reserve */
#define EXTRA_DIVISOR 4	  /* of what is left, at most this part goes as extra */

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/* Starts a home that has no part and no tokens. */
void quota_lender_init(struct quota_lender *h, int64_t now_us)
{
	memset(h, 0, sizeof(*h));
	h->refilled_us = now_us;
	h->lapsed = true;
}

void quota_lender_finish(struct quota_lender *h)
{
	free(h->lease);
	memset(h, 0, sizeof(*h));
}

/* Returns the tokens that borrowers may still spend. */
uint64_t quota_lender_outstanding_tokens(const struct quota_lender *h)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < h->lease_n; i++)
		sum += h->lease[i].unspent_tokens;
	return sum;
}

/* Returns the highest level that the burst allows beside the leases. */
static int64_t level_max(const struct quota_lender *h)
{
	uint64_t out = quota_lender_outstanding_tokens(h);

	if (out >= h->active.burst_tokens)
		return 0;
	return (int64_t)(h->active.burst_tokens - out) * QUOTA_MILLI;
}

static void trim(struct quota_lender *h)
{
	int64_t max = level_max(h);

	if (h->level_mtokens > max)
		h->level_mtokens = max;
}

/* Adds the refill since the last time; what is less than a millitoken waits. */
static void add_refill(struct quota_lender *h, int64_t now_us)
{
	int64_t rate = (int64_t)h->active.rate_tokens_s;
	int64_t elapsed_us = now_us - h->refilled_us;
	int64_t max = level_max(h);
	int64_t added;

	if (elapsed_us <= 0)
		return;
	if (elapsed_us > REFILL_MAX_US)
		elapsed_us = REFILL_MAX_US;
	added = rate * elapsed_us / QUOTA_MILLI;
	if (rate == 0 || h->level_mtokens + added >= max) {
		h->refilled_us = now_us;
		if (rate && h->level_mtokens < max)
			h->level_mtokens = max;
		return;
	}
	h->level_mtokens += added;
	h->refilled_us += (added * QUOTA_MILLI + rate - 1) / rate;
}

static void drop_expired(struct quota_lender *h, int64_t now_us)
{
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < h->lease_n; i++)
		if (h->lease[i].expires_us > now_us)
			h->lease[kept++] = h->lease[i];
	h->lease_n = kept;
}

/* Gives the part up: its evidence is too old, another host may have taken it. */
static void lapse(struct quota_lender *h)
{
	h->lapsed = true;
	h->active = (struct quota_limits){0, 0};
	h->level_mtokens = 0;
}

/* Brings the home up to the time: refill, expiry, and a part that became usable. */
void quota_lender_update(struct quota_lender *h, int64_t now_us)
{
	if (!h->lapsed && now_us >= h->confirmed_us + QUOTA_CONFIRM_TTL_US)
		lapse(h);
	add_refill(h, now_us);
	drop_expired(h, now_us);
	if (h->lapsed || !h->activate_us || now_us < h->activate_us)
		return;
	h->active = h->assigned;
	h->activate_us = 0;
	h->refilled_us = now_us;
}

static void cut(struct quota_limits *p, const struct quota_limits *to)
{
	p->rate_tokens_s = min_u64(p->rate_tokens_s, to->rate_tokens_s);
	p->burst_tokens = min_u64(p->burst_tokens, to->burst_tokens);
}

static bool same(const struct quota_limits *a, const struct quota_limits *b)
{
	return a->rate_tokens_s == b->rate_tokens_s &&
	       a->burst_tokens == b->burst_tokens;
}

/*
 * Takes the part that an epoch and a configuration give this host; homes is a
 * hash of the set of homes. What shrinks is cut at once. What grows waits until
 * every host that may have held it before has certainly stopped.
 */
void quota_lender_assign(struct quota_lender *h,
			 const struct quota_limits *part, uint64_t homes,
			 int64_t now_us)
{
	bool unchanged = same(&h->assigned, part) && h->lenders_hash == homes;

	quota_lender_update(h, now_us);
	h->lenders_hash = homes;
	if (unchanged)
		return;
	h->assigned = *part;
	cut(&h->active, part);
	trim(h);
	h->activate_us =
		same(&h->active, part) ? 0 : now_us + QUOTA_ACTIVATION_DELAY_US;
}

/*
 * Takes evidence, as of a time, that the epoch in use is the newest. After a
 * lapse the home starts again, empty, once others have certainly stopped.
 */
void quota_lender_confirm(struct quota_lender *h, int64_t as_of_us,
			  int64_t now_us)
{
	quota_lender_update(h, now_us);
	if (as_of_us + QUOTA_CONFIRM_TTL_US <= now_us)
		return;
	if (as_of_us > h->confirmed_us || h->lapsed)
		h->confirmed_us = as_of_us;
	if (!h->lapsed)
		return;
	h->lapsed = false;
	h->activate_us = now_us + QUOTA_ACTIVATION_DELAY_US;
}

/*
 * Uses the assigned part at once and full, by evidence as of a time: for an
 * account that is certainly new, of which no host had a part before.
 */
void quota_lender_activate(struct quota_lender *h, int64_t as_of_us,
			   int64_t now_us)
{
	if (as_of_us + QUOTA_CONFIRM_TTL_US <= now_us)
		return;
	h->confirmed_us = as_of_us;
	h->lapsed = false;
	h->active = h->assigned;
	h->activate_us = 0;
	h->refilled_us = now_us;
	h->level_mtokens = level_max(h);
}

static int newest_first(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x < y) - (x > y);
}

/*
 * Returns the time of the evidence that the hosts of a domain give without the
 * log: when each was last heard, this one included, all of them holding no newer
 * epoch. Most of them must have been heard since. The times are reordered.
 */
int64_t quota_lender_quorum_us(int64_t *heard_us, uint32_t n)
{
	if (n == 0)
		return INT64_MIN / 2;
	qsort(heard_us, n, sizeof(*heard_us), newest_first);
	return heard_us[n / 2] - (n > 1 ? QUOTA_HEARTBEAT_DELAY_US : 0);
}

/* Tells whether the part that was assigned is in use. */
bool quota_lender_is_active(const struct quota_lender *h)
{
	return !h->lapsed && !h->activate_us;
}

static struct quota_lease *find_lease(struct quota_lender *h, uint64_t borrower)
{
	uint32_t i;

	for (i = 0; i < h->lease_n; i++)
		if (h->lease[i].borrower_id == borrower)
			return &h->lease[i];
	return NULL;
}

/* Returns a new empty lease, or NULL when out of memory. */
static struct quota_lease *add_lease(struct quota_lender *h, uint64_t borrower)
{
	uint32_t room = h->lease_capacity ? 2 * h->lease_capacity
					  : LEASE_ROOM_FIRST;
	struct quota_lease *l;

	if (h->lease_n == h->lease_capacity) {
		l = realloc(h->lease, room * sizeof(*l));
		if (!l)
			return NULL;
		h->lease = l;
		h->lease_capacity = room;
	}
	l = &h->lease[h->lease_n++];
	memset(l, 0, sizeof(*l));
	l->borrower_id = borrower;
	return l;
}

static uint64_t pace(const struct quota_lender *h)
{
	uint64_t sum = h->local_stream_rate_tokens_s;
	uint32_t i;

	for (i = 0; i < h->lease_n; i++)
		sum += h->lease[i].stream_rate_tokens_s;
	return sum;
}

/* Returns the whole tokens of the level that nothing is held for. */
static uint64_t free_tokens(const struct quota_lender *h)
{
	uint64_t level = (uint64_t)h->level_mtokens / QUOTA_MILLI;

	return level > h->reserved_tokens ? level - h->reserved_tokens : 0;
}

/*
 * Returns the tokens that new requests may have: what is over a reserve
 * for the streams that run, and none while these need the whole rate.
 */
uint64_t quota_lender_available_tokens(const struct quota_lender *h)
{
	uint64_t level = free_tokens(h);
	uint64_t streams = pace(h);
	uint64_t kept = min_u64(streams * RESERVE_MS / 1000,
				h->active.burst_tokens / RESERVE_DIVISOR);

	if (streams >= h->active.rate_tokens_s || level <= kept)
		return 0;
	return level - kept;
}

/* Chooses how much a draw gets: streams first, then requests, then extra. */
static uint64_t share_out(const struct quota_lender *h,
			  const struct quota_borrow *d)
{
	uint64_t stream = min_u64(free_tokens(h), d->stream_tokens);
	uint64_t room = quota_lender_available_tokens(h);
	uint64_t prompt;

	room = room > stream ? room - stream : 0;
	prompt = min_u64(room, d->prompt_tokens);
	return stream + prompt +
	       min_u64((room - prompt) / EXTRA_DIVISOR, d->extra_tokens);
}

/* Sets what a borrower holds to what it says, and takes back what it returns. */
static void take_report(struct quota_lender *h, struct quota_lease *l,
			const struct quota_borrow *d)
{
	uint64_t back = 0;

	if (l->unspent_tokens > d->unspent_tokens)
		back = min_u64(d->returned_tokens,
			       l->unspent_tokens - d->unspent_tokens);
	l->unspent_tokens = d->unspent_tokens;
	l->seq = d->seq;
	l->stream_rate_tokens_s = d->stream_rate_tokens_s;
	h->level_mtokens += (int64_t)back * QUOTA_MILLI;
	trim(h);
}

static void fill_grant(const struct quota_lender *h,
		       const struct quota_lease *l, struct quota_grant *out)
{
	out->seq = l->seq;
	out->tokens = l->granted_tokens;
	out->available_tokens = quota_lender_available_tokens(h);
	out->rate_tokens_s = h->active.rate_tokens_s;
}

/*
 * Lends tokens: they are debited here before the answer leaves. A draw that was
 * taken before gets its answer again and nothing more; an older one gets
 * -EALREADY. Returns 0 or -ENOMEM.
 */
int quota_lender_lend(struct quota_lender *h, const struct quota_borrow *d,
		      int64_t now_us, struct quota_grant *out)
{
	struct quota_lease *l;
	uint64_t tokens;

	quota_lender_update(h, now_us);
	l = find_lease(h, d->borrower_id);
	if (l && d->seq < l->seq)
		return -EALREADY;
	if (l && d->seq == l->seq) {
		fill_grant(h, l, out);
		return 0;
	}
	if (!l)
		l = add_lease(h, d->borrower_id);
	if (!l)
		return -ENOMEM;
	take_report(h, l, d);
	tokens = share_out(h, d);
	h->level_mtokens -= (int64_t)tokens * QUOTA_MILLI;
	l->granted_tokens = tokens;
	l->unspent_tokens += tokens;
	l->expires_us = now_us + QUOTA_LENDER_LEASE_US;
	fill_grant(h, l, out);
	return 0;
}
