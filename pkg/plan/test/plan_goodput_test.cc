#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>

#include "goodput.h"

namespace
{

using goodput::Outcome;
using goodput::Policy;

/* Results of all policies for one load and one seed. */
struct Comparison {
	Outcome planned, round_robin, least_loaded;

	double best_baseline_per_s() const
	{
		return std::max(round_robin.goodput_per_s(),
				least_loaded.goodput_per_s());
	}
};

uint64_t env_number(const char *variable, uint64_t default_value)
{
	const char *n = getenv(variable);

	return n ? strtoull(n, nullptr, 10) : default_value;
}

void print(const char *name, int percent, uint64_t seed, const Outcome &o)
{
	printf("%3d%% seed %llu %-12s offered %6.1f/s goodput %6.1f/s rejected "
	       "%5u late %5u prefills %6u wasted %6.2f%%\n",
	       percent, (unsigned long long)seed, name, o.offered / o.seconds,
	       o.goodput_per_s(), o.rejected, o.finished - o.in_time,
	       o.prefills, 100 * o.wasted_share());
}

Comparison compare(int percent, uint64_t seed)
{
	int64_t us = env_number("FIGBEND_GOODPUT_S", 120) * goodput::S;
	Comparison c;

	c.planned = goodput::simulate(Policy::PLANNED, percent, seed, us);
	c.round_robin =
		goodput::simulate(Policy::ROUND_ROBIN, percent, seed, us);
	c.least_loaded =
		goodput::simulate(Policy::LEAST_LOADED, percent, seed, us);
	print("planned", percent, seed, c.planned);
	print("round-robin", percent, seed, c.round_robin);
	print("least-loaded", percent, seed, c.least_loaded);
	return c;
}

struct Goodput : ::testing::TestWithParam<int> {
};

TEST_P(Goodput, IsAtLeastThatOfTheBetterBaseline)
{
	int percent = GetParam();
	double factor = percent > 100 ? 1.2 : 1.0;

	for (uint64_t seed = 1; seed <= env_number("FIGBEND_GOODPUT_SEEDS", 2);
	     seed++) {
		Comparison c = compare(percent, seed);

		EXPECT_LT(c.planned.wasted_share(), 0.01) << "seed " << seed;
		EXPECT_EQ(0u, c.planned.over_capacity) << "seed " << seed;
		EXPECT_GE(c.planned.goodput_per_s(),
			  factor * c.best_baseline_per_s())
			<< "seed " << seed;
		EXPECT_EQ(c.planned.offered,
			  c.planned.finished + c.planned.rejected);
	}
}

INSTANTIATE_TEST_SUITE_P(Loads, Goodput, ::testing::Values(60, 90, 120));

} // namespace
