#include <gtest/gtest.h>

extern "C" {
#include "quota.h"
}

namespace
{

constexpr int64_t kSecondUs = 1000000;
constexpr struct quota_limits kPart = {100, 1000};

/* A home whose part is in use and full. */
struct Home {
	struct quota_lender h;
	int64_t now_us = kSecondUs;

	Home()
	{
		quota_lender_init(&h, now_us);
		quota_lender_assign(&h, &kPart, 1, now_us);
		confirm_for(QUOTA_ACTIVATION_DELAY_US + 20 * kSecondUs);
	}

	~Home()
	{
		quota_lender_finish(&h);
	}

	void confirm_for(int64_t us)
	{
		int64_t end_us = now_us + us;

		quota_lender_confirm(&h, now_us, now_us);
		for (; now_us < end_us; now_us += kSecondUs)
			quota_lender_confirm(&h, now_us, now_us);
		now_us = end_us;
		quota_lender_confirm(&h, now_us, now_us);
	}

	uint64_t draw(uint64_t seq, uint64_t unspent, uint64_t tokens,
		      uint64_t returned = 0)
	{
		struct quota_borrow d = {};
		struct quota_grant g = {};

		d.borrower_id = 7;
		d.seq = seq;
		d.unspent_tokens = unspent;
		d.returned_tokens = returned;
		d.prompt_tokens = tokens;
		return quota_lender_lend(&h, &d, now_us, &g) ? UINT64_MAX
							     : g.tokens;
	}
};

TEST(QuotaHome, LendsTheBurstAndThenTheRate)
{
	Home t;

	EXPECT_EQ(1000U, t.draw(1, 0, 5000));
	EXPECT_EQ(0U, t.draw(2, 0, 5000));
	t.confirm_for(kSecondUs);
	EXPECT_EQ(100U, t.draw(3, 0, 5000));
}

TEST(QuotaHome, CountsALeaseAgainstTheBurstUntilItExpires)
{
	Home t;

	EXPECT_EQ(1000U, t.draw(1, 0, 1000));
	t.confirm_for(QUOTA_LENDER_LEASE_US - 1);
	EXPECT_EQ(0, t.h.level_mtokens);
	EXPECT_EQ(1000U, quota_lender_outstanding_tokens(&t.h));
	t.confirm_for(2 * kSecondUs);
	EXPECT_EQ(0U, quota_lender_outstanding_tokens(&t.h));
	EXPECT_GT(t.h.level_mtokens, 0);
}

TEST(QuotaHome, AnswersADoubledDrawOnceAndAnOldOneNotAtAll)
{
	Home t;

	EXPECT_EQ(300U, t.draw(2, 0, 300));
	EXPECT_EQ(300U, t.draw(2, 0, 300));
	EXPECT_EQ(300U, quota_lender_outstanding_tokens(&t.h));
	EXPECT_EQ(UINT64_MAX, t.draw(1, 0, 300));
}

TEST(QuotaHome, TakesBackNoMoreThanItLent)
{
	Home t;

	EXPECT_EQ(300U, t.draw(1, 0, 300));
	t.draw(2, 0, 0, 900);
	EXPECT_EQ(1000 * QUOTA_MILLI, t.h.level_mtokens);
	EXPECT_EQ(0U, quota_lender_outstanding_tokens(&t.h));
}

TEST(QuotaHome, StartsEmptyOnceOthersHaveStopped)
{
	Home t;
	struct quota_limits more = {200, 2000};

	t.draw(1, 0, 1000);
	quota_lender_assign(&t.h, &more, 2, t.now_us);
	EXPECT_FALSE(quota_lender_is_active(&t.h));
	t.confirm_for(QUOTA_ACTIVATION_DELAY_US - 1);
	EXPECT_EQ(100U, t.h.active.rate_tokens_s);
	t.confirm_for(1);
	EXPECT_EQ(200U, t.h.active.rate_tokens_s);
	EXPECT_LE(t.h.level_mtokens, 1000 * QUOTA_MILLI);
}

TEST(QuotaHome, LapsesWithoutNewEvidence)
{
	Home t;

	t.now_us += QUOTA_CONFIRM_TTL_US;
	EXPECT_EQ(0U, t.draw(1, 0, 10));
	quota_lender_confirm(&t.h, t.now_us, t.now_us);
	EXPECT_EQ(0U, t.draw(2, 0, 10));
	t.confirm_for(QUOTA_ACTIVATION_DELAY_US + kSecondUs);
	EXPECT_EQ(10U, t.draw(3, 0, 10));
}

/* An account on one host that is its only home. */
struct Alone {
	Home home;
	struct quota q;

	Alone()
	{
		quota_init(&q, 1, home.now_us);
		q.account_limits = kPart;
		std::swap(q.lender, home.h);
	}

	~Alone()
	{
		quota_finish(&q);
	}

	int charge(struct quota_charge *c, uint64_t tokens, uint32_t pace = 0)
	{
		struct quota_outbox out = {};
		int r;

		*c = {};
		c->tokens = tokens;
		c->stream_rate_tokens_s = pace;
		r = quota_reserve(&q, c, home.now_us);
		if (r != -EINPROGRESS)
			return r;
		quota_advance(&q, home.now_us, &out);
		TAILQ_REMOVE(&q.done, c, entry);
		return c->outcome;
	}
};

TEST(Quota, RefusesForGoodWhatIsLargerThanTheBurst)
{
	Alone a;
	struct quota_charge c;

	EXPECT_EQ(-E2BIG, a.charge(&c, 1001));
	EXPECT_EQ(0, a.charge(&c, 1000));
}

TEST(Quota, WhatDidNotRunCanBeUsedAgainAndNotTwice)
{
	Alone a;
	struct quota_charge c, d;

	EXPECT_EQ(0, a.charge(&c, 1000));
	EXPECT_EQ(-EAGAIN, a.charge(&d, 1));
	quota_release(&a.q, &c);
	EXPECT_EQ(0, a.charge(&d, 1000));
	quota_commit(&a.q, &d);
	quota_release(&a.q, &d);
	EXPECT_EQ(-EAGAIN, a.charge(&c, 1));
}

TEST(Quota, OutputWaitsUntilItIsPaid)
{
	Alone a;
	struct quota_charge c;
	struct quota_outbox out = {};

	ASSERT_EQ(0, a.charge(&c, 990, 20));
	quota_commit(&a.q, &c);
	EXPECT_TRUE(quota_consume(&a.q, &c, 10, a.home.now_us));
	EXPECT_FALSE(quota_consume(&a.q, &c, 30, a.home.now_us));
	quota_advance(&a.q, a.home.now_us + kSecondUs / 5, &out);
	EXPECT_TRUE(TAILQ_EMPTY(&a.q.done));
	quota_advance(&a.q, a.home.now_us + kSecondUs / 2, &out);
	EXPECT_EQ(&c, TAILQ_FIRST(&a.q.done));
}

} // namespace
