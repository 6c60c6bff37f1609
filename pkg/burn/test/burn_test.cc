#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "burn.h"
}

static const int64_t second_us = 1000000;

static struct burn_sample sample(const char *account, int64_t first_token_ms,
				 int64_t token_gap_ms)
{
	struct burn_sample s = {};

	s.account = account;
	s.model = "m";
	s.objective = {1600, 40, 950000};
	s.first_token_us = first_token_ms * 1000;
	s.token_gap_us = token_gap_ms * 1000;
	return s;
}

TEST(BurnClassify, ChecksBothTargetsAndFindsLongestStage)
{
	struct burn_sample s = sample("a", 1600, 40);

	EXPECT_EQ(burn_classify(&s), BURN_GOOD);
	s.token_gap_us++;
	EXPECT_EQ(burn_classify(&s), BURN_DECODE);
	s = sample("a", 2000, 10);
	s.queue_us = 1500000;
	s.prefill_us = 400000;
	EXPECT_EQ(burn_classify(&s), BURN_QUEUE);
	s.prefill_us = 1600000;
	EXPECT_EQ(burn_classify(&s), BURN_PREFILL);
	s.transfer_us = 1700000;
	EXPECT_EQ(burn_classify(&s), BURN_TRANSFER);
	s.end = BURN_END_REFUSED;
	EXPECT_EQ(burn_classify(&s), BURN_REFUSED);
	s.end = BURN_END_ABORTED;
	EXPECT_EQ(burn_classify(&s), BURN_ABORTED);
}

TEST(Burn, ComputesRateAndRemainingBudget)
{
	struct burn b;
	struct burn_counts counts;

	burn_init(&b);
	for (int i = 0; i < 100; i++) {
		struct burn_sample s = sample("a", i < 10 ? 5000 : 100, 20);

		ASSERT_EQ(burn_add(&b, &s, i * second_us), 0);
	}
	ASSERT_EQ(b.pair_n, 2u);
	burn_sum_long_window(&b.pair[1], 100 * second_us, &counts);
	EXPECT_EQ(burn_counts_total(&counts), 100u);
	EXPECT_EQ(burn_counts_bad(&counts), 10u);
	EXPECT_NEAR(burn_rate(&counts, 950000), 2., 1e-9);
	EXPECT_NEAR(burn_remaining_budget(&counts, 950000), -1., 1e-9);
	EXPECT_EQ(burn_rate(&counts, 1000000), 0.1 / 1e-6);
	burn_finish(&b);
}

TEST(Burn, SlotsExpireFromWindows)
{
	struct burn_sample s = sample("a", 5000, 20);
	struct burn_counts counts;
	struct burn b;

	burn_init(&b);
	burn_add(&b, &s, 0);
	burn_sum_short_window(&b.pair[1], 299 * second_us, &counts);
	EXPECT_EQ(burn_counts_bad(&counts), 1u);
	burn_sum_short_window(&b.pair[1], 300 * second_us, &counts);
	EXPECT_EQ(burn_counts_bad(&counts), 0u);
	burn_sum_long_window(&b.pair[1], 3599 * second_us, &counts);
	EXPECT_EQ(burn_counts_bad(&counts), 1u);
	burn_sum_long_window(&b.pair[1], 3600 * second_us, &counts);
	EXPECT_EQ(burn_counts_bad(&counts), 0u);
	burn_finish(&b);
}

/*
 * 610 accounts times 33 models are more pairs than fit. Evicted pairs must be
 * merged into BURN_OTHER, so that memory stays bounded and no request is lost.
 */
TEST(Burn, EvictionBoundsMemoryAndLosesNoRequest)
{
	const uint32_t pairs = 610 * 33;
	struct burn_counts counts, total = {};
	struct burn b;

	burn_init(&b);
	for (uint32_t i = 0; i < pairs; i++) {
		std::string name = "account-" + std::to_string(i);
		struct burn_sample s = sample(name.c_str(), 100, 10);

		ASSERT_EQ(burn_add(&b, &s, 100 * second_us + i), 0);
	}
	EXPECT_EQ(b.pair_n, (uint32_t)BURN_PAIRS_MAX);
	EXPECT_LE(b.capacity * sizeof(struct burn_pair), 4u << 20);
	for (uint32_t i = 0; i < b.pair_n; i++) {
		burn_sum_short_window(&b.pair[i], 101 * second_us, &counts);
		burn_counts_add(&total, &counts);
	}
	EXPECT_EQ(burn_counts_total(&total), pairs);
	EXPECT_STREQ(b.pair[0].account, BURN_OTHER);
	burn_finish(&b);
}
