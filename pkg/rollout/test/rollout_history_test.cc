#include <gtest/gtest.h>

#include <cstdlib>

#include "rollout_sim.h"

namespace
{

using namespace rollout_sim;

/* FIGBEND_SCHEDULES: number of schedules, FIGBEND_SEED: seed of the first. */
uint64_t from_env(const char *name, uint64_t fallback)
{
	const char *v = getenv(name);

	return v ? strtoull(v, nullptr, 10) : fallback;
}

std::string describe(const Scenario &s, const Result &r)
{
	char text[300];

	snprintf(text, sizeof(text),
		 "seed %llu hosts %d rate %.0f bad %d when %d crashes %.2f "
		 "burst %.0f: %d of %.0f requests to the new version, %d late, "
		 "stage %s at the deadline, %s at the end, %d finals, %d hosts "
		 "not moved",
		 (unsigned long long)s.seed, s.hosts, s.rate, (int)s.bad,
		 (int)s.when, s.crashes, s.burst, r.sent_new, r.requests,
		 r.late, rollout_stage_name(r.at_deadline),
		 rollout_stage_name(r.at_end), r.finals, r.to_present);
	return text;
}

/* Returns what a schedule violates, or "". */
std::string violation(const Scenario &s, const Result &r)
{
	bool bad = s.bad != Bad::kNever;

	if (bad && r.sent_new > kShare * r.requests + kSlack)
		return "exposure, first half";
	if (bad && r.late > 0)
		return "exposure, second half";
	if (r.finals > 1)
		return "two final states";
	if (r.counted_twice > 0)
		return "evidence counted twice";
	if (r.to_present > 0)
		return "completed before all hosts moved";
	return "";
}

Scenario random_scenario(uint64_t seed)
{
	static const int hosts[] = {3, 5, 8, 12, 20, 40, 80, 140};
	std::mt19937_64 rng(seed);
	Scenario s;

	s.seed = seed;
	s.hosts = hosts[rng() % 8];
	s.rate = (double)(100 + rng() % 200);
	s.bad = (Bad)(rng() % 3);
	s.when = (When)(rng() % 4);
	s.burst = (double)(1 + rng() % 2);
	s.crashes = rng() % 2 ? 0.02 : 0;
	s.faults = true;
	return s;
}

/* Both halves of EXPOSURE, one final state for an order, evidence that exceeds no
 * truth, and nothing completed before all hosts in contact have moved. */
TEST(RolloutHistory, NoScheduleOfFaultsViolatesAProperty)
{
	uint64_t first = from_env("FIGBEND_SEED", 1);
	uint64_t n = from_env("FIGBEND_SCHEDULES", 24);

	for (uint64_t i = first; i < first + n; i++) {
		Scenario s = random_scenario(i);
		Result r = Sim(s).run();

		EXPECT_EQ(violation(s, r), "") << describe(s, r);
		/* The end comes 8 s after the deadline: also after a failure
		 * of the store something is decided. */
		EXPECT_GE(r.at_end, ROLLOUT_COMPLETED) << describe(s, r);
	}
}

/* Returns the first violation of some schedules with a planted fault. */
std::string find(Scenario s, uint64_t seeds)
{
	std::string v;

	for (s.seed = 1; s.seed <= seeds && v.empty(); s.seed++)
		v = violation(s, Sim(s).run());
	return v;
}

/* The properties must be able to fail: each planted fault is found. */
TEST(RolloutHistory, PlantedFaultsAreFound)
{
	Scenario level, twice, forgets;

	level.plant = Plant::kLevelAtOne;
	level.hosts = 140;
	level.rate = 100;
	level.bad = Bad::kSlow;
	level.when = When::kLater;
	EXPECT_EQ(find(level, 3), "exposure, first half");
	twice.plant = Plant::kTwice;
	EXPECT_EQ(find(twice, 1), "evidence counted twice");
	forgets.plant = Plant::kForgets;
	forgets.bad = Bad::kFails;
	forgets.faults = true;
	/* A new host that forgets the end sends requests, or writes again. */
	EXPECT_EQ(find(forgets, 10), "two final states");
}

/* Runs seeds 1 to 5 and checks the state at the deadline and the exposure. */
void expect_decided(Scenario s)
{
	rollout_stage want = s.bad == Bad::kNever ? ROLLOUT_COMPLETED
						  : ROLLOUT_ROLLED_BACK;

	for (s.seed = 1; s.seed <= 5; s.seed++) {
		Result r = Sim(s).run();

		EXPECT_EQ(r.at_deadline, want) << describe(s, r);
		EXPECT_EQ(violation(s, r), "") << describe(s, r);
	}
}

/* A good version must be completed and a bad one rolled back, of each kind, also in
 * bursts of twice the traffic. */
TEST(RolloutHistory, EachKindIsDecidedByTheDeadline)
{
	for (double burst : {1., 2.}) {
		Scenario s;

		s.burst = burst;
		expect_decided(s);
		for (Bad bad : {Bad::kFails, Bad::kSlow})
			for (When when : {When::kAtOnce, When::kLater,
					  When::kUnderLoad, When::kOneRoute}) {
				s.bad = bad;
				s.when = when;
				expect_decided(s);
			}
	}
}

/* Failures of both versions must neither hide a bad one nor condemn a good one. */
TEST(RolloutHistory, CrashesOfBothVersionsProveNothing)
{
	for (Bad bad : {Bad::kNever, Bad::kFails, Bad::kSlow}) {
		Scenario s;

		s.bad = bad;
		s.crashes = 0.05;
		expect_decided(s);
	}
}

/* With 20 requests a second the canary has some 8 answers of its own; the extra share
 * must make up for it. */
TEST(RolloutHistory, ASmallServiceIsDecidedByTheDeadline)
{
	for (Bad bad : {Bad::kNever, Bad::kFails, Bad::kSlow}) {
		Scenario s;

		s.bad = bad;
		s.rate = 20;
		expect_decided(s);
	}
}

} // namespace
