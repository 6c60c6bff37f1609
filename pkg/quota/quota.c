#include "quota.h"

#include <assert.h>
#include <errno.h>
#include <string.h>

#define US_A_S 1000000
#define RESERVE_MS 150	       /* of the running streams' pace, kept in hand */
#define RENEW_US 500000LL      /* before a lease's end */
#define IDLE_US 500000LL       /* after which unspent tokens go back */
#define ANSWER_MAX_US 250000LL /* then a draw counts as lost */
#define ANSWER_OLD_US 100000LL /* a home's last answer, to go by */
#define AVOID_US 1000000LL
#define REPORT_TOKENS 32U /* spent, worth a message to the home */
#define EXTRA_FACTOR 2

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/* Starts the account of a host with no part, no homes and no tokens. */
void quota_init(struct quota *q, uint64_t borrower, int64_t now_us)
{
	memset(q, 0, sizeof(*q));
	quota_lender_init(&q->lender, now_us);
	q->borrower_id = borrower;
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

static struct quota_remote_lender *find_source(struct quota *q, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < q->remote_n; i++)
		if (q->remote[i].id == id)
			return &q->remote[i];
	return NULL;
}

static void hold_at_most(struct quota *q);

/*
 * Takes the homes of a new epoch, this host left out. What is known of those
 * that stay is kept; tokens of those that went are dropped.
 */
void quota_set_lenders(struct quota *q,
		       const struct quota_remote_lender *source, uint32_t n)
{
	struct quota_remote_lender next[QUOTA_LENDERS_MAX];
	struct quota_charge *c;
	struct quota_remote_lender *old;
	uint32_t i;

	assert(n <= QUOTA_LENDERS_MAX);
	for (i = 0; i < n; i++) {
		old = find_source(q, source[i].id);
		next[i] = old ? *old : source[i];
		next[i].same_domain = source[i].same_domain;
	}
	memcpy(q->remote, next, n * sizeof(next[0]));
	q->remote_n = n;
	hold_at_most(q);
	TAILQ_FOREACH(c, &q->waiting, entry)
	c->excluded_mask = 0;
}

static uint64_t lent_tokens(const struct quota *q)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < q->remote_n; i++)
		sum += q->remote[i].unspent_tokens;
	return sum;
}

/* Returns all that this host has in hand, tokens held for requests included. */
static uint64_t in_hand(const struct quota *q)
{
	return lent_tokens(q) + (uint64_t)q->lender.level_mtokens / QUOTA_MILLI;
}

/* Cuts the tokens held to those in hand, after some expired. */
static void hold_at_most(struct quota *q)
{
	uint64_t lent = lent_tokens(q);

	q->reserved_tokens = min_u64(q->reserved_tokens, in_hand(q));
	q->lender.reserved_tokens =
		q->reserved_tokens > lent ? q->reserved_tokens - lent : 0;
}

static void drop_expired(struct quota *q, int64_t now_us)
{
	struct quota_remote_lender *s;
	uint32_t i;

	quota_lender_update(&q->lender, now_us);
	for (i = 0; i < q->remote_n; i++) {
		s = &q->remote[i];
		if (s->unspent_tokens && s->expires_us <= now_us)
			s->unspent_tokens = 0;
	}
	hold_at_most(q);
}

/* Returns the source with tokens whose lease ends first, or NULL. */
static struct quota_remote_lender *first_to_expire(struct quota *q)
{
	struct quota_remote_lender *best = NULL;
	struct quota_remote_lender *s;
	uint32_t i;

	for (i = 0; i < q->remote_n; i++) {
		s = &q->remote[i];
		if (s->unspent_tokens &&
		    (!best || s->expires_us < best->expires_us))
			best = s;
	}
	return best;
}

/* Takes tokens out of what is in hand, leases first; less if there is less. */
static void spend(struct quota *q, uint64_t tokens)
{
	struct quota_remote_lender *s;
	uint64_t n;

	while (tokens && (s = first_to_expire(q))) {
		n = min_u64(tokens, s->unspent_tokens);
		s->unspent_tokens -= n;
		tokens -= n;
	}
	n = min_u64(tokens, (uint64_t)q->lender.level_mtokens / QUOTA_MILLI);
	q->lender.level_mtokens -= (int64_t)n * QUOTA_MILLI;
	hold_at_most(q);
}

static uint64_t reserve_tokens(const struct quota *q)
{
	return q->stream_rate_tokens_s * RESERVE_MS / 1000;
}

static uint64_t for_streams(const struct quota *q)
{
	return in_hand(q) - q->reserved_tokens;
}

/* Returns what new requests may have; running streams keep a reserve. */
static uint64_t for_prompts(const struct quota *q)
{
	uint64_t lent = lent_tokens(q);
	uint64_t held = min_u64(q->reserved_tokens, lent);
	uint64_t sum = lent - held + quota_lender_available_tokens(&q->lender);
	uint64_t kept = reserve_tokens(q);

	return sum > kept ? sum - kept : 0;
}

static void set_pace(struct quota *q, uint64_t pace_tokens_s)
{
	q->stream_rate_tokens_s = pace_tokens_s;
	q->lender.local_stream_rate_tokens_s =
		pace_tokens_s / (q->remote_n + 1);
}

static bool admit(struct quota *q, struct quota_charge *c)
{
	if (for_prompts(q) < c->tokens)
		return false;
	q->reserved_tokens += c->tokens;
	hold_at_most(q);
	set_pace(q, q->stream_rate_tokens_s + c->stream_rate_tokens_s);
	c->state = QUOTA_RESERVED;
	return true;
}

/*
 * Charges a request its tokens and pace. Returns 0 if it is admitted,
 * -EINPROGRESS if other homes have to be asked: the charge is then on the done
 * list later, -E2BIG if it can never run within the burst.
 */
int quota_reserve(struct quota *q, struct quota_charge *c, int64_t now_us)
{
	drop_expired(q, now_us);
	q->last_used_us = now_us;
	c->debt_tokens = 0;
	c->excluded_mask = 0;
	c->state = QUOTA_NONE;
	if (c->tokens > q->account_limits.burst_tokens)
		return -E2BIG;
	if (TAILQ_EMPTY(&q->waiting) && admit(q, c))
		return 0;
	c->state = QUOTA_WAITING;
	TAILQ_INSERT_TAIL(&q->waiting, c, entry);
	return -EINPROGRESS;
}

/* The request may start to run from now on: what is held for it is spent. */
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

/*
 * Ends a charge in any state. One that was admitted and never committed did not
 * run; what is still held for it can be used again.
 */
void quota_release(struct quota *q, struct quota_charge *c)
{
	enum quota_charge_state was = c->state;

	c->state = QUOTA_NONE;
	switch (was) {
	case QUOTA_NONE:
		return;
	case QUOTA_WAITING:
		TAILQ_REMOVE(&q->waiting, c, entry);
		return;
	case QUOTA_RESERVED:
		q->reserved_tokens -= min_u64(c->tokens, q->reserved_tokens);
		hold_at_most(q);
		break;
	case QUOTA_IN_DEBT:
		TAILQ_REMOVE(&q->in_debt, c, entry);
		break;
	case QUOTA_RUNNING:
		break;
	}
	set_pace(q, q->stream_rate_tokens_s - c->stream_rate_tokens_s);
}

/*
 * Pays output tokens that are about to pass to the caller. Returns false if
 * they can't be paid now: they must not pass until the charge is on the done
 * list.
 */
bool quota_consume(struct quota *q, struct quota_charge *c, uint64_t tokens,
		   int64_t now_us)
{
	drop_expired(q, now_us);
	q->last_used_us = now_us;
	c->debt_tokens += tokens;
	if (c->state == QUOTA_IN_DEBT)
		return false;
	if (TAILQ_EMPTY(&q->in_debt) && for_streams(q) >= c->debt_tokens) {
		spend(q, c->debt_tokens);
		c->debt_tokens = 0;
		return true;
	}
	c->state = QUOTA_IN_DEBT;
	TAILQ_INSERT_TAIL(&q->in_debt, c, entry);
	return false;
}

/* Answers a draw by another host, as a home of the account. */
int quota_lend(struct quota *q, const struct quota_borrow *d, int64_t now_us,
	       struct quota_grant *out)
{
	drop_expired(q, now_us);
	return quota_lender_lend(&q->lender, d, now_us, out);
}

/*
 * Takes the answer to the draw that is under way. Any other answer is dropped
 * with -EALREADY: its draw was given up, and the home learns so by the next.
 */
int quota_apply_grant(struct quota *q, uint64_t source,
		      const struct quota_grant *g, int64_t now_us)
{
	struct quota_remote_lender *s = find_source(q, source);

	if (!s || !s->pending_seq || s->pending_seq != g->seq)
		return -EALREADY;
	s->pending_seq = 0;
	s->available_tokens = g->available_tokens;
	s->rate_tokens_s = g->rate_tokens_s;
	s->last_response_us = now_us;
	s->backoff_until_us = 0;
	drop_expired(q, now_us);
	if (s->sent_us + QUOTA_BORROWER_LEASE_US <= now_us)
		return -ETIMEDOUT;
	s->unspent_tokens += g->tokens;
	s->outstanding_tokens += g->tokens;
	s->expires_us = s->sent_us + QUOTA_BORROWER_LEASE_US;
	return 0;
}

/* The draw got no answer: the home is left alone for a while. */
int quota_borrow_failed(struct quota *q, uint64_t source, uint64_t seq,
			int64_t now_us)
{
	struct quota_remote_lender *s = find_source(q, source);

	if (!s || s->pending_seq != seq)
		return -EALREADY;
	s->pending_seq = 0;
	s->backoff_until_us = now_us + AVOID_US;
	return 0;
}

/* Returns how much a home can probably lend; one not known yet, everything. */
static uint64_t estimate(const struct quota_remote_lender *s, int64_t now_us)
{
	if (!s->last_response_us)
		return UINT64_MAX;
	return s->available_tokens +
	       s->rate_tokens_s * (uint64_t)(now_us - s->last_response_us) /
		       US_A_S;
}

static bool can_ask(const struct quota_remote_lender *s, int64_t now_us)
{
	return !s->pending_seq && s->backoff_until_us <= now_us;
}

/* Returns the best source not in the mask: near first where both can do. */
static struct quota_remote_lender *choose(struct quota *q, uint32_t mask,
					  uint64_t want, int64_t now_us)
{
	struct quota_remote_lender *best = NULL;
	struct quota_remote_lender *s;
	uint64_t best_score = 0;
	uint64_t score;
	uint32_t i;

	for (i = 0; i < q->remote_n; i++) {
		s = &q->remote[i];
		if (mask & 1U << i || !can_ask(s, now_us))
			continue;
		score = min_u64(estimate(s, now_us), want) * 2 + s->same_domain;
		if (best && score <= best_score)
			continue;
		best = s;
		best_score = score;
	}
	return best;
}

static struct quota_borrow *ask(struct quota *q, struct quota_remote_lender *s,
				int64_t now_us, struct quota_outbox *out)
{
	struct quota_message *o;

	assert(out->n < QUOTA_LENDERS_MAX);
	o = &out->item[out->n++];
	memset(o, 0, sizeof(*o));
	s->pending_seq = ++q->seq;
	s->sent_us = now_us;
	s->outstanding_tokens = s->unspent_tokens;
	o->lender_id = s->id;
	o->borrow.borrower_id = q->borrower_id;
	o->borrow.seq = s->pending_seq;
	o->borrow.unspent_tokens = s->unspent_tokens;
	o->borrow.stream_rate_tokens_s =
		q->stream_rate_tokens_s / (q->remote_n + 1);
	return &o->borrow;
}

static void decide(struct quota *q, struct quota_charges *from,
		   struct quota_charge *c, int outcome)
{
	TAILQ_REMOVE(from, c, entry);
	c->outcome = outcome;
	TAILQ_INSERT_TAIL(&q->done, c, entry);
}

static void pay_owing(struct quota *q)
{
	struct quota_charge *c;

	while ((c = TAILQ_FIRST(&q->in_debt))) {
		if (for_streams(q) < c->debt_tokens)
			return;
		spend(q, c->debt_tokens);
		c->debt_tokens = 0;
		c->state = QUOTA_RUNNING;
		decide(q, &q->in_debt, c, 0);
	}
}

static bool is_asking(const struct quota *q)
{
	uint32_t i;

	for (i = 0; i < q->remote_n; i++)
		if (q->remote[i].pending_seq)
			return true;
	return false;
}

/*
 * Tells whether the homes could have as much together, by their last answers;
 * one that did not answer lately could have anything.
 */
static bool could_have(const struct quota *q, uint32_t mask, uint64_t lacks,
		       int64_t now_us)
{
	const struct quota_remote_lender *s;
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < q->remote_n; i++) {
		s = &q->remote[i];
		if (mask & 1U << i || !can_ask(s, now_us))
			continue;
		if (!s->last_response_us ||
		    now_us - s->last_response_us > ANSWER_OLD_US)
			return true;
		sum += estimate(s, now_us);
	}
	return sum >= lacks;
}

/* Asks homes for what a waiting request lacks. Returns whether any was asked. */
static bool ask_for(struct quota *q, struct quota_charge *c, int64_t now_us,
		    struct quota_outbox *out)
{
	uint64_t lacks = c->tokens - for_prompts(q);
	struct quota_remote_lender *s;
	struct quota_borrow *d;
	bool asked = false;

	if (!could_have(q, c->excluded_mask, lacks, now_us))
		return false;
	while (lacks && (s = choose(q, c->excluded_mask, lacks, now_us))) {
		c->excluded_mask |= 1U << (s - q->remote);
		d = ask(q, s, now_us, out);
		d->prompt_tokens = lacks;
		d->extra_tokens = EXTRA_FACTOR * lacks;
		lacks -= min_u64(lacks, estimate(s, now_us));
		asked = true;
	}
	return asked;
}

static void admit_waiting(struct quota *q, int64_t now_us,
			  struct quota_outbox *out)
{
	struct quota_charge *c;

	while ((c = TAILQ_FIRST(&q->waiting))) {
		if (admit(q, c)) {
			decide(q, &q->waiting, c, 0);
			continue;
		}
		if (ask_for(q, c, now_us, out) || is_asking(q))
			return;
		c->state = QUOTA_NONE;
		decide(q, &q->waiting, c, -EAGAIN);
	}
}

static uint64_t owed(const struct quota *q)
{
	struct quota_charge *c;
	uint64_t sum = 0;

	TAILQ_FOREACH(c, &q->in_debt, entry)
	sum += c->debt_tokens;
	return sum;
}

/* Draws ahead for the running streams, from one home at a time. */
static void ask_for_streams(struct quota *q, int64_t now_us,
			    struct quota_outbox *out)
{
	uint64_t want = owed(q) + 2 * reserve_tokens(q);
	uint64_t have = for_streams(q);
	struct quota_remote_lender *s;
	struct quota_borrow *d;

	if (have * 2 >= want || is_asking(q))
		return;
	s = choose(q, 0, want - have, now_us);
	if (!s)
		return;
	d = ask(q, s, now_us, out);
	d->stream_tokens = want - have;
	d->extra_tokens = q->stream_rate_tokens_s;
}

/*
 * Decides what can be decided and asks homes for what is lacking. To be called
 * after every other call; orders are added to out, which the caller has zeroed,
 * and decided charges are on the done list.
 */
void quota_advance(struct quota *q, int64_t now_us, struct quota_outbox *out)
{
	drop_expired(q, now_us);
	pay_owing(q);
	admit_waiting(q, now_us, out);
	ask_for_streams(q, now_us, out);
}

/* Tells whether a home counts much as lent that was spent: it refills less. */
static bool is_overdue(const struct quota_remote_lender *s)
{
	uint64_t spent = s->outstanding_tokens > s->unspent_tokens
				 ? s->outstanding_tokens - s->unspent_tokens
				 : 0;

	return spent >= REPORT_TOKENS && 2 * spent >= s->outstanding_tokens;
}

static void give_back(struct quota *q, struct quota_remote_lender *s,
		      int64_t now_us, struct quota_outbox *out)
{
	uint64_t tokens = s->unspent_tokens;

	s->unspent_tokens = 0;
	ask(q, s, now_us, out)->returned_tokens = tokens;
}

/* Gives up draws without answer, returns idle tokens and renews leases in use. */
void quota_tick(struct quota *q, int64_t now_us, struct quota_outbox *out)
{
	bool idle = quota_is_idle(q) && now_us - q->last_used_us >= IDLE_US;
	struct quota_remote_lender *s;
	uint32_t i;

	drop_expired(q, now_us);
	for (i = 0; i < q->remote_n; i++) {
		s = &q->remote[i];
		if (s->pending_seq && now_us - s->sent_us >= ANSWER_MAX_US)
			quota_borrow_failed(q, s->id, s->pending_seq, now_us);
		if (!can_ask(s, now_us))
			continue;
		if (s->unspent_tokens && idle)
			give_back(q, s, now_us, out);
		else if (is_overdue(s) || (s->unspent_tokens &&
					   s->expires_us - now_us < RENEW_US))
			ask(q, s, now_us, out);
	}
	quota_advance(q, now_us, out);
}

/* Tells whether no request of the account is under way here. */
bool quota_is_idle(const struct quota *q)
{
	return TAILQ_EMPTY(&q->waiting) && TAILQ_EMPTY(&q->in_debt) &&
	       q->stream_rate_tokens_s == 0 && q->reserved_tokens == 0;
}
