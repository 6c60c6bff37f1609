#include <gtest/gtest.h>

#include <memory>

extern "C" {
#include "plan.h"
}

namespace
{

struct Plan : ::testing::Test {
	struct plan_estimator estimator;
	struct plan_prefill_candidate p[2] = {};
	struct plan_decode_candidate d[2] = {{5, 20, true}, {2, 20, true}};
	struct plan_request r = {};
	struct plan_pair pair = {};

	void SetUp() override
	{
		plan_estimator_init(&estimator);
		p[0].estimator = p[1].estimator = &estimator;
		p[0].has_capacity = p[1].has_capacity = true;
		r.prompt_tokens = 10000;
		r.first_token_deadline_us = 1600000;
	}

	enum plan_outcome choose(int64_t now_us = 0)
	{
		return plan_choose(&r, p, 2, d, 2, now_us, &pair);
	}
};

TEST_F(Plan, ChoosesEarliestFirstTokenAndLeastUsedDecode)
{
	p[0].queued_tokens = 20000;
	ASSERT_EQ(PLAN_CHOSEN, choose());
	EXPECT_EQ(1u, pair.prefill_index);
	EXPECT_EQ(1u, pair.decode_index);
	EXPECT_EQ(10000u, pair.prefill_tokens);
	EXPECT_EQ(210000, pair.first_token_us);
	p[1].link_queued_tokens = 600000;
	ASSERT_EQ(PLAN_CHOSEN, choose());
	EXPECT_EQ(0u, pair.prefill_index);
}

TEST_F(Plan, PrefersCachedPrefixUntilTheQueueCostsMore)
{
	p[0].cached_tokens = 8000;
	ASSERT_EQ(PLAN_CHOSEN, choose());
	EXPECT_EQ(0u, pair.prefill_index);
	EXPECT_EQ(2000u, pair.prefill_tokens);
	p[0].queued_tokens = 12000;
	ASSERT_EQ(PLAN_CHOSEN, choose());
	EXPECT_EQ(1u, pair.prefill_index);
}

TEST_F(Plan, WaitsForCapacityAndRejectsAnUnreachableDeadline)
{
	d[0].has_capacity = d[1].has_capacity = false;
	EXPECT_EQ(PLAN_WAIT, choose());
	EXPECT_EQ(PLAN_WAIT, choose(1300000));
	EXPECT_EQ(PLAN_REJECT, choose(1500000));
	r.ignore_deadline = true;
	EXPECT_EQ(PLAN_WAIT, choose(1500000));
}

TEST_F(Plan, LimitsTheQueueByTheRemainingTime)
{
	ASSERT_EQ(PLAN_CHOSEN, choose());
	EXPECT_EQ(3001u, pair.queue_max_tokens);
	ASSERT_EQ(PLAN_CHOSEN, choose(1370000));
	EXPECT_EQ(1001u, pair.queue_max_tokens);
}

TEST_F(Plan, EstimatorFollowsObservations)
{
	for (int i = 0; i < 300; i++)
		plan_estimator_observe_prefill(&estimator, 1000, 50000);
	EXPECT_NEAR(50., estimator.prefill_token_us, 0.1);
	/* A single token that takes 5 ms hardly changes the estimate. */
	plan_estimator_observe_prefill(&estimator, 1, 5000);
	EXPECT_NEAR(50., estimator.prefill_token_us, 1.);
}

TEST(PrefixIndex, AddsAndRemoves)
{
	auto p = std::make_unique<struct plan_prefix_index>();
	uint64_t blocks[3] = {11, 22, 33};

	plan_prefix_index_init(p.get());
	plan_prefix_index_add(p.get(), "a", 11);
	plan_prefix_index_add(p.get(), "a", 22);
	plan_prefix_index_add(p.get(), "a", 22);
	EXPECT_EQ(512u,
		  plan_prefix_index_cached_tokens(p.get(), "a", blocks, 3));
	EXPECT_EQ(0u, plan_prefix_index_cached_tokens(p.get(), "b", blocks, 3));
	plan_prefix_index_remove(p.get(), "a", 11);
	EXPECT_EQ(0u, plan_prefix_index_cached_tokens(p.get(), "a", blocks, 3));
}

} // namespace
