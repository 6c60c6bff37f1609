#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <vector>

extern "C" {
#include "namehash.h"
#include "ratelimit.h"
}

static const int64_t S = 1000000;

struct Host {
	std::unique_ptr<struct ratelimit> rl{new struct ratelimit};

	Host()
	{
		ratelimit_init(rl.get());
	}
	~Host()
	{
		ratelimit_finish(rl.get());
	}
};

TEST(RateLimit, IsATokenBucketOnOneHost)
{
	Host h;

	ratelimit_account_set(h.rl.get(), "a", 10, 20, -3 * S);
	EXPECT_TRUE(ratelimit_consume(h.rl.get(), "a", 20, 0));
	EXPECT_FALSE(ratelimit_consume(h.rl.get(), "a", 1, 0));
	EXPECT_NEAR(ratelimit_wait_s(h.rl.get(), "a", 5, 0), 0.5, 1e-9);
	EXPECT_TRUE(ratelimit_consume(h.rl.get(), "a", 5, S / 2));
	EXPECT_TRUE(ratelimit_consume(h.rl.get(), "unknown", 1e9, 0));
}

TEST(RateLimit, AdmitsAnAmountAboveTheBurstFromAFullBucket)
{
	Host h;

	ratelimit_account_set(h.rl.get(), "a", 10, 20, -3 * S);
	EXPECT_TRUE(ratelimit_consume(h.rl.get(), "a", 50, 0));
	EXPECT_FALSE(ratelimit_consume(h.rl.get(), "a", 1, 3 * S - 1));
	EXPECT_TRUE(ratelimit_consume(h.rl.get(), "a", 1, 4 * S));
}

/*
 * Guards against a limit that refuses everything for long, because what an
 * account consumed while it was unlimited had lowered its level.
 */
TEST(RateLimit, StartsWithAnEmptyBucketWhenAnAccountGetsALimit)
{
	Host h;

	ratelimit_account_set(h.rl.get(), "a", 0, 0, 0);
	EXPECT_TRUE(ratelimit_consume(h.rl.get(), "a", 1e6, 0));
	ratelimit_deduct(h.rl.get(), namehash("a"), 1000000, 0);
	ratelimit_account_set(h.rl.get(), "a", 10, 20, S);
	EXPECT_FALSE(ratelimit_consume(h.rl.get(), "a", 1, S));
	EXPECT_TRUE(ratelimit_consume(h.rl.get(), "a", 10, 2 * S));
	EXPECT_NEAR(ratelimit_wait_s(h.rl.get(), "a", 20, 2 * S), 2, 1e-9);
}

TEST(RateLimit, DeductsWhatOthersConsume)
{
	Host h;

	ratelimit_account_set(h.rl.get(), "a", 10, 20, -3 * S);
	ratelimit_deduct(h.rl.get(), namehash("a"), 15, 0);
	EXPECT_FALSE(ratelimit_consume(h.rl.get(), "a", 6, 0));
	ratelimit_deduct(h.rl.get(), namehash("a"), -5, 0);
	EXPECT_TRUE(ratelimit_consume(h.rl.get(), "a", 6, 0));
	ratelimit_deduct(h.rl.get(), namehash("a"), 1000, 0);
	EXPECT_NEAR(ratelimit_wait_s(h.rl.get(), "a", 10, 0), 3, 1e-9)
		<< "the level does not fall below -burst";
	ratelimit_deduct(h.rl.get(), namehash("unknown"), 1000, 0);
}

TEST(RateLimit, LeavesTheirPartToHostsThatAreNotHeardOf)
{
	Host h;

	ratelimit_account_set(h.rl.get(), "a", 10, 20, -3 * S);
	EXPECT_TRUE(ratelimit_consume(h.rl.get(), "a", 20, 0));
	ratelimit_set_hosts(h.rl.get(), 4, 1, 0, 0);
	EXPECT_NEAR(ratelimit_wait_s(h.rl.get(), "a", 10, 0), 2, 1e-9)
		<< "a quarter of the burst, at a quarter of the rate";
	EXPECT_FALSE(ratelimit_consume(h.rl.get(), "a", 10, S));
	EXPECT_FALSE(ratelimit_consume(h.rl.get(), "a", 10, 2 * S - 1000));
	EXPECT_TRUE(ratelimit_consume(h.rl.get(), "a", 10, 4 * S));
	EXPECT_FALSE(ratelimit_consume(h.rl.get(), "a", 10, 8 * S - 1000));
	EXPECT_TRUE(ratelimit_consume(h.rl.get(), "a", 10, 8 * S));
}

/* Guards against hosts that are cut off, and use a whole burst each. */
TEST(RateLimit, LeavesTheirPartOfTheBurstToHostsThatAreNotHeardOf)
{
	Host h;

	ratelimit_account_set(h.rl.get(), "a", 10, 20, -3 * S);
	ratelimit_set_hosts(h.rl.get(), 4, 1, 0, 0);
	EXPECT_TRUE(ratelimit_consume(h.rl.get(), "a", 4, 0));
	EXPECT_FALSE(ratelimit_consume(h.rl.get(), "a", 4, 0));
	ratelimit_set_hosts(h.rl.get(), 4, 4, 0, 0);
	EXPECT_FALSE(ratelimit_consume(h.rl.get(), "a", 4, 0))
		<< "the rest of the burst is not back at once";
	EXPECT_TRUE(ratelimit_consume(h.rl.get(), "a", 20, 2 * S));
}

/*
 * Guards against accounts without a limit: those beyond the ones that hosts report
 * to each other. Each of four hosts has a quarter of their limit.
 */
TEST(RateLimit, LimitsAccountsBeyondThoseThatHostsShare)
{
	Host h[4];
	char name[16];
	double admitted = 0;

	for (Host &x : h) {
		for (int i = 0; i < 1300; i++) {
			snprintf(name, sizeof(name), "a%d", i);
			EXPECT_EQ(ratelimit_account_set(x.rl.get(), name, 10,
							20, 0),
				  0);
		}
		ratelimit_set_hosts(x.rl.get(), 4, 4, 0, 0);
	}
	for (int64_t now_us = 3 * S; now_us <= 13 * S; now_us += S / 10)
		for (Host &x : h)
			while (admitted < 1000 &&
			       ratelimit_consume(x.rl.get(), "a1299", 1,
						 now_us))
				admitted++;
	EXPECT_LE(admitted, 20 + 10 * 10);
	EXPECT_GE(admitted, 0.9 * 10 * 10);
	EXPECT_TRUE(ratelimit_consume(h[0].rl.get(), "a1023", 20, 13 * S));
}

TEST(RetryBudget, BoundsTheRetriesOfAllHosts)
{
	static struct ratelimit_retry_budgets b[8];
	int64_t now_us = 0;
	double most = 0;
	std::vector<int64_t> retries;

	for (auto &x : b) {
		x.ratio = 0.2;
		x.slack = 56;
		x.window_s = 10;
	}
	/* One request per second and host, and as many retries as allowed. */
	for (; now_us < 60 * S; now_us += 100000)
		for (auto &x : b) {
			if (now_us % S == 0)
				ratelimit_retry_deposit(&x, "s", 8, now_us);
			while (ratelimit_retry_consume(&x, "s", 8, now_us))
				retries.push_back(now_us);
		}
	for (size_t i = 0, first = 0; i < retries.size(); i++) {
		while (retries[first] <= retries[i] - 10 * S)
			first++;
		most = std::max(most, (double)(i - first + 1));
	}
	EXPECT_LE(most, 0.2 * 80 + 56);
	EXPECT_GE(most, 20) << "retries are possible";
}

/* Guards against streams that stay at a dead engine: they ask again and again whether
 * a retry is available, and nothing else refills the budget of a quiet service. */
TEST(RetryBudget, IsAvailableAgainWithTimeAlone)
{
	static struct ratelimit_retry_budgets b;
	int64_t now_us = S;

	b.slack = 56;
	b.window_s = 10;
	while (ratelimit_retry_consume(&b, "s", 1, now_us))
		;
	EXPECT_FALSE(ratelimit_retry_available(&b, "s", 1, now_us));
	now_us += 10 * S;
	EXPECT_TRUE(ratelimit_retry_available(&b, "s", 1, now_us));
	EXPECT_TRUE(ratelimit_retry_consume(&b, "s", 1, now_us));
}

/*
 * Guards against a budget that was saved up while nothing failed: with the part
 * of the window it exceeded the slack, 64 retries for a bound of 56.
 */
TEST(RetryBudget, HoldsAfterAQuietTimeWithAnyNumberOfHosts)
{
	struct Deployment {
		uint32_t hosts;
		double slack;
		double requests_per_s; /* of all hosts */
	};

	for (Deployment d : {Deployment{8, 56, 10}, Deployment{65, 170, 35},
			     Deployment{295, 630, 120}}) {
		std::vector<struct ratelimit_retry_budgets> b(d.hosts);
		std::vector<double> next_s(d.hosts);
		std::mt19937_64 random(d.hosts);
		std::exponential_distribution<> gap(d.requests_per_s / d.hosts);
		int retries = 0, requests = 0, first = 0;

		for (auto &x : b) {
			x = {};
			x.ratio = 0.2;
			x.slack = d.slack;
			x.window_s = 10;
		}
		for (int64_t now_us = 0; now_us < 70 * S; now_us += S / 100) {
			bool faults = now_us >= 60 * S;

			for (uint32_t i = 0; i < d.hosts; i++) {
				for (; next_s[i] * S < (double)now_us;
				     next_s[i] += gap(random)) {
					ratelimit_retry_deposit(
						&b[i], "s", d.hosts, now_us);
					requests += faults;
				}
				while (faults &&
				       ratelimit_retry_consume(
					       &b[i], "s", d.hosts, now_us)) {
					retries++;
					first += now_us < 60 * S + S / 10;
				}
			}
		}
		printf("%u hosts: %d retries in a window, %d at once; %.0f "
		       "allowed\n",
		       d.hosts, retries, first, 0.2 * requests + d.slack);
		EXPECT_LE(retries, 0.2 * requests + d.slack);
		EXPECT_GE(first, (int)d.hosts) << "each host has one at hand";
	}
}
