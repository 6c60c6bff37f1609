#include <gtest/gtest.h>

extern "C" {
#include "quota.h"
}

namespace
{

constexpr int64_t kSecondUs = 1000000;
constexpr struct quota_limits kLimits = {100, 1000};

/* A lender with active limits and a full bucket. */
struct Lender {
	struct quota_lender l;
	int64_t now_us = kSecondUs;

	Lender()
	{
		quota_lender_init(&l, now_us);
		quota_lender_assign(&l, &kLimits, 1, now_us);
		confirm_for(QUOTA_ACTIVATION_DELAY_US + 20 * kSecondUs);
	}

	~Lender()
	{
		quota_lender_finish(&l);
	}

	void confirm_for(int64_t us)
	{
		int64_t end_us = now_us + us;

		quota_lender_confirm(&l, now_us, now_us);
		for (; now_us < end_us; now_us += kSecondUs)
			quota_lender_confirm(&l, now_us, now_us);
		now_us = end_us;
		quota_lender_confirm(&l, now_us, now_us);
	}

	uint64_t borrow(uint64_t seq, uint64_t unspent, uint64_t tokens,
			uint64_t returned = 0)
	{
		struct quota_borrow b = {};
		struct quota_grant g = {};

		b.borrower_id = 7;
		b.seq = seq;
		b.unspent_tokens = unspent;
		b.returned_tokens = returned;
		b.prompt_tokens = tokens;
		return quota_lender_lend(&l, &b, now_us, &g) ? UINT64_MAX
							     : g.tokens;
	}
};

TEST(QuotaLender, LendsUpToBurstThenAtRate)
{
	Lender t;

	EXPECT_EQ(1000U, t.borrow(1, 0, 5000));
	EXPECT_EQ(0U, t.borrow(2, 0, 5000));
	t.confirm_for(kSecondUs);
	EXPECT_EQ(100U, t.borrow(3, 0, 5000));
}

TEST(QuotaLender, LeaseCountsAgainstBurstUntilItExpires)
{
	Lender t;

	EXPECT_EQ(1000U, t.borrow(1, 0, 1000));
	t.confirm_for(QUOTA_LENDER_LEASE_US - 1);
	EXPECT_EQ(0, t.l.level_mtokens);
	EXPECT_EQ(1000U, quota_lender_outstanding_tokens(&t.l));
	t.confirm_for(2 * kSecondUs);
	EXPECT_EQ(0U, quota_lender_outstanding_tokens(&t.l));
	EXPECT_GT(t.l.level_mtokens, 0);
}

TEST(QuotaLender, RepeatsGrantOfDuplicateAndRejectsStaleMessage)
{
	Lender t;

	EXPECT_EQ(300U, t.borrow(2, 0, 300));
	EXPECT_EQ(300U, t.borrow(2, 0, 300));
	EXPECT_EQ(300U, quota_lender_outstanding_tokens(&t.l));
	EXPECT_EQ(UINT64_MAX, t.borrow(1, 0, 300));
}

TEST(QuotaLender, RefundsNoMoreThanItLent)
{
	Lender t;

	EXPECT_EQ(300U, t.borrow(1, 0, 300));
	t.borrow(2, 0, 0, 900);
	EXPECT_EQ(1000 * QUOTA_MILLI, t.l.level_mtokens);
	EXPECT_EQ(0U, quota_lender_outstanding_tokens(&t.l));
}

TEST(QuotaLender, RaisedLimitsBecomeActiveAfterDelay)
{
	Lender t;
	struct quota_limits more = {200, 2000};

	t.borrow(1, 0, 1000);
	quota_lender_assign(&t.l, &more, 2, t.now_us);
	EXPECT_FALSE(quota_lender_is_active(&t.l));
	t.confirm_for(QUOTA_ACTIVATION_DELAY_US - 1);
	EXPECT_EQ(100U, t.l.active.rate_tokens_s);
	t.confirm_for(1);
	EXPECT_EQ(200U, t.l.active.rate_tokens_s);
	EXPECT_LE(t.l.level_mtokens, 1000 * QUOTA_MILLI);
}

TEST(QuotaLender, LapsesWithoutConfirmation)
{
	Lender t;

	t.now_us += QUOTA_CONFIRM_TTL_US;
	EXPECT_EQ(0U, t.borrow(1, 0, 10));
	quota_lender_confirm(&t.l, t.now_us, t.now_us);
	EXPECT_EQ(0U, t.borrow(2, 0, 10));
	t.confirm_for(QUOTA_ACTIVATION_DELAY_US + kSecondUs);
	EXPECT_EQ(10U, t.borrow(3, 0, 10));
}

/* An account with one host, which is the only lender. */
struct SingleHost {
	Lender lender;
	struct quota q;

	SingleHost()
	{
		quota_init(&q, 1, lender.now_us);
		q.account_limits = kLimits;
		std::swap(q.lender, lender.l);
	}

	~SingleHost()
	{
		quota_finish(&q);
	}

	int reserve(struct quota_charge *c, uint64_t tokens,
		    uint32_t stream_rate = 0)
	{
		struct quota_outbox out = {};
		int r;

		*c = {};
		c->tokens = tokens;
		c->stream_rate_tokens_s = stream_rate;
		r = quota_reserve(&q, c, lender.now_us);
		if (r != -EINPROGRESS)
			return r;
		quota_advance(&q, lender.now_us, &out);
		TAILQ_REMOVE(&q.done, c, entry);
		return c->outcome;
	}
};

TEST(Quota, RejectsChargeLargerThanBurst)
{
	SingleHost a;
	struct quota_charge c;

	EXPECT_EQ(-E2BIG, a.reserve(&c, 1001));
	EXPECT_EQ(0, a.reserve(&c, 1000));
}

TEST(Quota, ReleaseFreesOnlyTokensThatAreNotCommitted)
{
	SingleHost a;
	struct quota_charge c, d;

	EXPECT_EQ(0, a.reserve(&c, 1000));
	EXPECT_EQ(-EAGAIN, a.reserve(&d, 1));
	quota_release(&a.q, &c);
	EXPECT_EQ(0, a.reserve(&d, 1000));
	quota_commit(&a.q, &d);
	quota_release(&a.q, &d);
	EXPECT_EQ(-EAGAIN, a.reserve(&c, 1));
}

TEST(Quota, OutputInDebtWaitsForRefill)
{
	SingleHost a;
	struct quota_charge c;
	struct quota_outbox out = {};

	ASSERT_EQ(0, a.reserve(&c, 990, 20));
	quota_commit(&a.q, &c);
	EXPECT_TRUE(quota_consume(&a.q, &c, 10, a.lender.now_us));
	EXPECT_FALSE(quota_consume(&a.q, &c, 30, a.lender.now_us));
	quota_advance(&a.q, a.lender.now_us + kSecondUs / 5, &out);
	EXPECT_TRUE(TAILQ_EMPTY(&a.q.done));
	quota_advance(&a.q, a.lender.now_us + kSecondUs / 2, &out);
	EXPECT_EQ(&c, TAILQ_FIRST(&a.q.done));
}

} // namespace
