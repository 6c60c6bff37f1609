#include "quota.h"

#include <assert.h>
#include <errno.h>
#include <string.h>

#define US_PER_S 1000000
/* New requests leave tokens here for this much output of running streams. */
#define STREAM_HEADROOM_MS 150
/* Leases are renewed this long before they expire. */
#define RENEW_US 500000LL
/* An account unused for this long returns its borrowed tokens. */
#define IDLE_US 500000LL
#define RESPONSE_TIMEOUT_US 250000LL
/* After this time a response says nothing about what the lender has. */
#define RESPONSE_STALE_US 100000LL
#define BACKOFF_US 1000000LL  /* after a message without response */
#define REPORT_TOKENS_MIN 32U /* spent tokens that are worth a message */
#define EXTRA_FACTOR 2	      /* extra_tokens for each token that is missing */

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

void quota_init(struct quota *q, uint64_t borrower_id, int64_t now_us)
{
	memset(q, 0, sizeof(*q));
	quota_lender_init(&q->lender, now_us);
	q->borrower_id = borrower_id;
	/*
	 * An account that is removed and added again has the same borrower_id.
	 * Its messages must not look older to a lender than those before.
	 */
	q->seq = (uint64_t)now_us;
	q->last_used_us = now_us;
	TAILQ_INIT(&q->waiting);
	TAILQ_INIT(&q->in_debt);
	TAILQ_INIT(&q->done);
}

void quota_finish(struct quota *q)
{
	quota_lender_finish(&q->lender);
}

static struct quota_remote_lender *find_remote(struct quota *q, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < q->remote_n; i++)
		if (q->remote[i].id == id)
			return &q->remote[i];
	return NULL;
}

static void cap_reserved(struct quota *q);

void quota_set_lenders(struct quota *q,
		       const struct quota_remote_lender *remote, uint32_t n)
{
	struct quota_remote_lender next[QUOTA_LENDERS_MAX];
	struct quota_charge *c;
	struct quota_remote_lender *old;
	uint32_t i;

	assert(n <= QUOTA_LENDERS_MAX);
	for (i = 0; i < n; i++) {
		old = find_remote(q, remote[i].id);
		next[i] = old ? *old : remote[i];
		next[i].same_domain = remote[i].same_domain;
	}
	memcpy(q->remote, next, n * sizeof(next[0]));
	q->remote_n = n;
	cap_reserved(q);
	TAILQ_FOREACH(c, &q->waiting, entry)
	c->excluded_mask = 0;
}

static uint64_t borrowed_tokens(const struct quota *q)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < q->remote_n; i++)
		sum += q->remote[i].unspent_tokens;
	return sum;
}

/* Returns the tokens on this host, borrowed and own, reserved ones included. */
static uint64_t local_tokens(const struct quota *q)
{
	return borrowed_tokens(q) +
	       (uint64_t)q->lender.level_mtokens / QUOTA_MILLI;
}

/*
 * Lowers the reserved tokens to those on this host after leases expired or
 * lenders changed. Charges stay QUOTA_RESERVED, and quota_commit spends what
 * there is. Borrowed tokens are reserved before those of this host's lender.
 */
static void cap_reserved(struct quota *q)
{
	uint64_t borrowed = borrowed_tokens(q);

	q->reserved_tokens = min_u64(q->reserved_tokens, local_tokens(q));
	q->lender.reserved_tokens = q->reserved_tokens > borrowed
					    ? q->reserved_tokens - borrowed
					    : 0;
}

/* Brings the account up to now_us, before any other change. */
static void update(struct quota *q, int64_t now_us)
{
	struct quota_remote_lender *r;
	uint32_t i;

	quota_lender_update(&q->lender, now_us);
	for (i = 0; i < q->remote_n; i++) {
		r = &q->remote[i];
		if (r->unspent_tokens && r->expires_us <= now_us)
			r->unspent_tokens = 0;
	}
	cap_reserved(q);
}

/* Returns the lender whose unspent tokens expire first, or NULL. */
static struct quota_remote_lender *first_to_expire(struct quota *q)
{
	struct quota_remote_lender *best = NULL;
	struct quota_remote_lender *r;
	uint32_t i;

	for (i = 0; i < q->remote_n; i++) {
		r = &q->remote[i];
		if (r->unspent_tokens &&
		    (!best || r->expires_us < best->expires_us))
			best = r;
	}
	return best;
}

/* Spends tokens, or all there are if there are fewer; borrowed ones first. */
static void spend(struct quota *q, uint64_t tokens)
{
	struct quota_remote_lender *r;
	uint64_t n;

	while (tokens && (r = first_to_expire(q))) {
		n = min_u64(tokens, r->unspent_tokens);
		r->unspent_tokens -= n;
		tokens -= n;
	}
	n = min_u64(tokens, (uint64_t)q->lender.level_mtokens / QUOTA_MILLI);
	q->lender.level_mtokens -= (int64_t)n * QUOTA_MILLI;
	cap_reserved(q);
}

static uint64_t headroom_tokens(const struct quota *q)
{
	return q->stream_rate_tokens_s * STREAM_HEADROOM_MS / 1000;
}

static uint64_t available_to_streams(const struct quota *q)
{
	return local_tokens(q) - q->reserved_tokens;
}

/* Returns the tokens that new requests may reserve without borrowing. */
static uint64_t available_to_prompts(const struct quota *q)
{
	uint64_t borrowed = borrowed_tokens(q);
	uint64_t reserved = min_u64(q->reserved_tokens, borrowed);
	uint64_t sum =
		borrowed - reserved + quota_lender_available_tokens(&q->lender);
	uint64_t headroom = headroom_tokens(q);

	return sum > headroom ? sum - headroom : 0;
}

/* The remote lenders and this host each sustain an equal part of the rate. */
static void set_stream_rate(struct quota *q, uint64_t rate_tokens_s)
{
	q->stream_rate_tokens_s = rate_tokens_s;
	q->lender.local_stream_rate_tokens_s =
		rate_tokens_s / (q->remote_n + 1);
}

static bool try_reserve(struct quota *q, struct quota_charge *c)
{
	if (available_to_prompts(q) < c->tokens)
		return false;
	q->reserved_tokens += c->tokens;
	cap_reserved(q);
	set_stream_rate(q, q->stream_rate_tokens_s + c->stream_rate_tokens_s);
	c->state = QUOTA_RESERVED;
	return true;
}

int quota_reserve(struct quota *q, struct quota_charge *c, int64_t now_us)
{
	update(q, now_us);
	q->last_used_us = now_us;
	c->debt_tokens = 0;
	c->excluded_mask = 0;
	c->state = QUOTA_NONE;
	if (c->tokens > q->account_limits.burst_tokens)
		return -E2BIG;
	if (TAILQ_EMPTY(&q->waiting) && try_reserve(q, c))
		return 0;
	c->state = QUOTA_WAITING;
	TAILQ_INSERT_TAIL(&q->waiting, c, entry);
	return -EINPROGRESS;
}

void quota_commit(struct quota *q, struct quota_charge *c)
{
	uint64_t n;

	if (c->state != QUOTA_RESERVED)
		return;
	c->state = QUOTA_RUNNING;
	n = min_u64(c->tokens, q->reserved_tokens);
	q->reserved_tokens -= n;
	spend(q, n);
}

void quota_release(struct quota *q, struct quota_charge *c)
{
	enum quota_charge_state state = c->state;

	c->state = QUOTA_NONE;
	switch (state) {
	case QUOTA_NONE:
		return;
	case QUOTA_WAITING:
		TAILQ_REMOVE(&q->waiting, c, entry);
		return;
	case QUOTA_RESERVED:
		q->reserved_tokens -= min_u64(c->tokens, q->reserved_tokens);
		cap_reserved(q);
		break;
	case QUOTA_IN_DEBT:
		TAILQ_REMOVE(&q->in_debt, c, entry);
		break;
	case QUOTA_RUNNING:
		break;
	}
	set_stream_rate(q, q->stream_rate_tokens_s - c->stream_rate_tokens_s);
}

bool quota_consume(struct quota *q, struct quota_charge *c, uint64_t tokens,
		   int64_t now_us)
{
	update(q, now_us);
	q->last_used_us = now_us;
	c->debt_tokens += tokens;
	if (c->state == QUOTA_IN_DEBT)
		return false;
	if (TAILQ_EMPTY(&q->in_debt) &&
	    available_to_streams(q) >= c->debt_tokens) {
		spend(q, c->debt_tokens);
		c->debt_tokens = 0;
		return true;
	}
	c->state = QUOTA_IN_DEBT;
	TAILQ_INSERT_TAIL(&q->in_debt, c, entry);
	return false;
}

int quota_lend(struct quota *q, const struct quota_borrow *b, int64_t now_us,
	       struct quota_grant *out)
{
	update(q, now_us);
	return quota_lender_lend(&q->lender, b, now_us, out);
}

int quota_apply_grant(struct quota *q, uint64_t lender_id,
		      const struct quota_grant *g, int64_t now_us)
{
	struct quota_remote_lender *r = find_remote(q, lender_id);

	if (!r || !r->pending_seq || r->pending_seq != g->seq)
		return -EALREADY;
	r->pending_seq = 0;
	r->available_tokens = g->available_tokens;
	r->rate_tokens_s = g->rate_tokens_s;
	r->last_response_us = now_us;
	r->backoff_until_us = 0;
	update(q, now_us);
	if (r->sent_us + QUOTA_BORROWER_LEASE_US <= now_us)
		return -ETIMEDOUT;
	r->unspent_tokens += g->tokens;
	r->outstanding_tokens += g->tokens;
	r->expires_us = r->sent_us + QUOTA_BORROWER_LEASE_US;
	return 0;
}

int quota_borrow_failed(struct quota *q, uint64_t lender_id, uint64_t seq,
			int64_t now_us)
{
	struct quota_remote_lender *r = find_remote(q, lender_id);

	if (!r || r->pending_seq != seq)
		return -EALREADY;
	r->pending_seq = 0;
	r->backoff_until_us = now_us + BACKOFF_US;
	return 0;
}

/* Estimates what a lender can lend; no limit if it has never responded. */
static uint64_t estimate_available(const struct quota_remote_lender *r,
				   int64_t now_us)
{
	if (!r->last_response_us)
		return UINT64_MAX;
	return r->available_tokens +
	       r->rate_tokens_s * (uint64_t)(now_us - r->last_response_us) /
		       US_PER_S;
}

static bool can_borrow(const struct quota_remote_lender *r, int64_t now_us)
{
	return !r->pending_seq && r->backoff_until_us <= now_us;
}

/*
 * Returns the lender outside the mask that is estimated to lend the greatest
 * part of the wanted tokens, or NULL. A lender in this domain wins a tie.
 */
static struct quota_remote_lender *
choose_lender(struct quota *q, uint32_t mask, uint64_t wanted, int64_t now_us)
{
	struct quota_remote_lender *best = NULL;
	struct quota_remote_lender *r;
	uint64_t best_score = 0;
	uint64_t score;
	uint32_t i;

	for (i = 0; i < q->remote_n; i++) {
		r = &q->remote[i];
		if (mask & 1U << i || !can_borrow(r, now_us))
			continue;
		score = min_u64(estimate_available(r, now_us), wanted) * 2 +
			r->same_domain;
		if (best && score <= best_score)
			continue;
		best = r;
		best_score = score;
	}
	return best;
}

/*
 * Adds a message that reports the state of the lease. Returns it; the caller
 * sets the tokens that it needs.
 */
static struct quota_borrow *add_message(struct quota *q,
					struct quota_remote_lender *r,
					int64_t now_us,
					struct quota_outbox *out)
{
	struct quota_message *m;

	assert(out->n < QUOTA_LENDERS_MAX);
	m = &out->item[out->n++];
	memset(m, 0, sizeof(*m));
	r->pending_seq = ++q->seq;
	r->sent_us = now_us;
	r->outstanding_tokens = r->unspent_tokens;
	m->lender_id = r->id;
	m->borrow.borrower_id = q->borrower_id;
	m->borrow.seq = r->pending_seq;
	m->borrow.unspent_tokens = r->unspent_tokens;
	m->borrow.stream_rate_tokens_s =
		q->stream_rate_tokens_s / (q->remote_n + 1);
	return &m->borrow;
}

static void move_to_done(struct quota *q, struct quota_charges *from,
			 struct quota_charge *c, int outcome)
{
	TAILQ_REMOVE(from, c, entry);
	c->outcome = outcome;
	TAILQ_INSERT_TAIL(&q->done, c, entry);
}

static void pay_debts(struct quota *q)
{
	struct quota_charge *c;

	while ((c = TAILQ_FIRST(&q->in_debt))) {
		if (available_to_streams(q) < c->debt_tokens)
			return;
		spend(q, c->debt_tokens);
		c->debt_tokens = 0;
		c->state = QUOTA_RUNNING;
		move_to_done(q, &q->in_debt, c, 0);
	}
}

static bool is_message_pending(const struct quota *q)
{
	uint32_t i;

	for (i = 0; i < q->remote_n; i++)
		if (q->remote[i].pending_seq)
			return true;
	return false;
}

/*
 * Returns true if the lenders outside the mask may have enough together, by
 * their last responses. One without a recent response may have any amount.
 */
static bool may_suffice(const struct quota *q, uint32_t mask, uint64_t missing,
			int64_t now_us)
{
	const struct quota_remote_lender *r;
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < q->remote_n; i++) {
		r = &q->remote[i];
		if (mask & 1U << i || !can_borrow(r, now_us))
			continue;
		if (!r->last_response_us ||
		    now_us - r->last_response_us > RESPONSE_STALE_US)
			return true;
		sum += estimate_available(r, now_us);
	}
	return sum >= missing;
}

/* Borrows what a waiting charge is missing. Returns true if it can. */
static bool borrow_for_charge(struct quota *q, struct quota_charge *c,
			      int64_t now_us, struct quota_outbox *out)
{
	uint64_t missing = c->tokens - available_to_prompts(q);
	struct quota_remote_lender *r;
	struct quota_borrow *b;
	bool sent = false;

	if (!may_suffice(q, c->excluded_mask, missing, now_us))
		return false;
	while (missing &&
	       (r = choose_lender(q, c->excluded_mask, missing, now_us))) {
		c->excluded_mask |= 1U << (r - q->remote);
		b = add_message(q, r, now_us, out);
		b->prompt_tokens = missing;
		b->extra_tokens = EXTRA_FACTOR * missing;
		missing -= min_u64(missing, estimate_available(r, now_us));
		sent = true;
	}
	return sent;
}

/*
 * Decides waiting charges in order. A charge is refused if no lender can help
 * and no message is pending.
 */
static void decide_waiting(struct quota *q, int64_t now_us,
			   struct quota_outbox *out)
{
	struct quota_charge *c;

	while ((c = TAILQ_FIRST(&q->waiting))) {
		if (try_reserve(q, c)) {
			move_to_done(q, &q->waiting, c, 0);
			continue;
		}
		if (borrow_for_charge(q, c, now_us, out) ||
		    is_message_pending(q))
			return;
		c->state = QUOTA_NONE;
		move_to_done(q, &q->waiting, c, -EAGAIN);
	}
}

static uint64_t total_debt(const struct quota *q)
{
	struct quota_charge *c;
	uint64_t sum = 0;

	TAILQ_FOREACH(c, &q->in_debt, entry)
	sum += c->debt_tokens;
	return sum;
}

/*
 * Borrows for the running streams, from one lender at a time. Starts as soon as
 * less than half of the wanted tokens is available, so that the streams need
 * not wait for the response.
 */
static void borrow_for_streams(struct quota *q, int64_t now_us,
			       struct quota_outbox *out)
{
	uint64_t wanted = total_debt(q) + 2 * headroom_tokens(q);
	uint64_t available = available_to_streams(q);
	struct quota_remote_lender *r;
	struct quota_borrow *b;

	if (available * 2 >= wanted || is_message_pending(q))
		return;
	r = choose_lender(q, 0, wanted - available, now_us);
	if (!r)
		return;
	b = add_message(q, r, now_us, out);
	b->stream_tokens = wanted - available;
	b->extra_tokens = q->stream_rate_tokens_s;
}

void quota_advance(struct quota *q, int64_t now_us, struct quota_outbox *out)
{
	update(q, now_us);
	pay_debts(q);
	decide_waiting(q, now_us, out);
	borrow_for_streams(q, now_us, out);
}

/*
 * Returns true if much of what the lender counts as outstanding is spent. Until
 * that is reported, the lender's bucket refills only up to its burst less the
 * outstanding tokens.
 */
static bool is_report_due(const struct quota_remote_lender *r)
{
	uint64_t spent = r->outstanding_tokens > r->unspent_tokens
				 ? r->outstanding_tokens - r->unspent_tokens
				 : 0;

	return spent >= REPORT_TOKENS_MIN && 2 * spent >= r->outstanding_tokens;
}

static void return_tokens(struct quota *q, struct quota_remote_lender *r,
			  int64_t now_us, struct quota_outbox *out)
{
	uint64_t tokens = r->unspent_tokens;

	r->unspent_tokens = 0;
	add_message(q, r, now_us, out)->returned_tokens = tokens;
}

void quota_tick(struct quota *q, int64_t now_us, struct quota_outbox *out)
{
	bool idle = quota_is_idle(q) && now_us - q->last_used_us >= IDLE_US;
	struct quota_remote_lender *r;
	uint32_t i;

	update(q, now_us);
	for (i = 0; i < q->remote_n; i++) {
		r = &q->remote[i];
		if (r->pending_seq &&
		    now_us - r->sent_us >= RESPONSE_TIMEOUT_US)
			quota_borrow_failed(q, r->id, r->pending_seq, now_us);
		if (!can_borrow(r, now_us))
			continue;
		if (r->unspent_tokens && idle)
			return_tokens(q, r, now_us, out);
		else if (is_report_due(r) ||
			 (r->unspent_tokens &&
			  r->expires_us - now_us < RENEW_US))
			add_message(q, r, now_us, out);
	}
	quota_advance(q, now_us, out);
}

bool quota_is_idle(const struct quota *q)
{
	return TAILQ_EMPTY(&q->waiting) && TAILQ_EMPTY(&q->in_debt) &&
	       q->stream_rate_tokens_s == 0 && q->reserved_tokens == 0;
}
