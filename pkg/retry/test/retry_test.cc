#include <gtest/gtest.h>

extern "C" {
#include "retry.h"
}

#include <string>

namespace
{

TEST(Retry, AddsAtMostATenthBeyondTheInitialBalance)
{
	static struct retry_budgets b;
	int retries = 0;

	retry_init(&b);
	for (int i = 0; i < 100000; i++) {
		retry_deposit(&b, "acc");
		retries += retry_consume(&b, "acc");
	}
	EXPECT_LE(retries, 100000 / 10 + RETRY_ACCOUNT_MAX_MILLI / 1000);
	EXPECT_GE(retries, 100000 / 10);
}

TEST(Retry, OneAccountCannotUseUpTheHostBudget)
{
	static struct retry_budgets b;

	retry_init(&b);
	while (retry_consume(&b, "greedy"))
		;
	EXPECT_TRUE(retry_consume(&b, "other"));
}

TEST(Retry, HostBudgetLimitsAllAccountsTogether)
{
	static struct retry_budgets b;
	int retries = 0;

	retry_init(&b);
	for (int i = 0; i < 2000; i++)
		while (retry_consume(&b, ("acc" + std::to_string(i)).c_str()))
			retries++;
	EXPECT_EQ(RETRY_HOST_MAX_MILLI / 1000, retries);
}

} // namespace
