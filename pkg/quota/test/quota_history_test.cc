#include <gtest/gtest.h>

#include <cstdlib>

#include "quota_sim.h"

namespace
{

using quota_sim::Host;
using quota_sim::kPlatform;
using quota_sim::kSecondUs;
using quota_sim::Simulation;

constexpr uint64_t kRate = 3000;
constexpr uint64_t kBurst = 6000;
constexpr int64_t kLengthUs = 60 * kSecondUs;

/* FIGBEND_SCHEDULES: number of histories, FIGBEND_SEED: seed of the first. */
uint64_t from_env(const char *name, uint64_t fallback)
{
	const char *v = getenv(name);

	return v ? strtoull(v, nullptr, 10) : fallback;
}

/*
 * Cycles of 7 s: light traffic, which spreads leases over the hosts, then an
 * overload of many times the rate, then a pause in which the buckets fill. The
 * overload spends all there is, so that an excess over the limits shows.
 */
void generate_traffic(Simulation &sim)
{
	int64_t phase = sim.network.now_us / 100000 % 70;
	bool overload = phase >= 20 && phase < 40;
	Host &h = sim.hosts[sim.network.uniform(0, sim.hosts.size() - 1)];
	int64_t mean_gap_us = overload ? 3000 : 60000;

	sim.start_delay_max_us = overload ? 20000 : 1400000;
	if (overload)
		sim.request(h, sim.network.uniform(1, 200), 0, 0);
	else if (phase < 20 && sim.network.chance(0.8))
		sim.request(h, sim.network.uniform(1, 200), 0, 0.9);
	else if (phase < 20)
		sim.request(h, sim.network.uniform(1, 60),
			    sim.network.uniform(0, 20), 0.1);
	sim.network.at(sim.network.now_us +
			       sim.network.uniform(1, 2 * mean_gap_us),
		       [&sim] { generate_traffic(sim); });
}

void append_epoch(Simulation &sim, int host, bool present)
{
	auto &hosts = sim.log.hosts;

	hosts.erase(std::remove(hosts.begin(), hosts.end(), host), hosts.end());
	if (present) {
		hosts.push_back(host);
		std::sort(hosts.begin(), hosts.end());
	}
	sim.log.number++;
}

void partition_domain(Simulation &sim, int domain, bool platform, bool on)
{
	if (platform)
		sim.network.partition(domain, kPlatform, on);
	for (int d = 0; d < sim.domains; d++)
		if (d != domain)
			sim.network.partition(domain, d, on);
}

/* Injects one fault, which ends some time later. */
void inject_fault(Simulation &sim)
{
	Host &h = sim.hosts[sim.network.uniform(0, sim.hosts.size() - 1)];
	int64_t heal_us = sim.network.now_us +
			  sim.network.uniform(100000, 15 * kSecondUs);
	int64_t lag_us = sim.network.uniform(0, 6 * kSecondUs);
	int d = h.domain;

	switch (sim.network.uniform(0, 5)) {
	case 0: /* killed, removed later, then replaced */
		sim.kill(h);
		sim.network.at(sim.network.now_us + lag_us,
			       [&sim, &h] { append_epoch(sim, h.id, false); });
		sim.network.at(heal_us + lag_us, [&sim, &h] {
			if (!h.up)
				sim.start(h);
			append_epoch(sim, h.id, true);
		});
		break;
	case 1: /* restarts without being removed */
		sim.kill(h);
		sim.start(h);
		break;
	case 2: /* paused and removed as suspected */
		sim.network.pause(h.id, heal_us);
		sim.network.at(sim.network.now_us + lag_us,
			       [&sim, &h] { append_epoch(sim, h.id, false); });
		sim.network.at(heal_us + lag_us,
			       [&sim, &h] { append_epoch(sim, h.id, true); });
		break;
	case 3: /* its domain is partitioned from others, maybe from the log */
		partition_domain(sim, d, sim.network.chance(0.5), true);
		sim.network.at(heal_us, [&sim, d] {
			partition_domain(sim, d, true, false);
		});
		break;
	case 4: /* removed by mistake while it runs */
		append_epoch(sim, h.id, false);
		sim.network.at(heal_us,
			       [&sim, &h] { append_epoch(sim, h.id, true); });
		break;
	case 5: /* its domain cannot reach the log */
		sim.network.partition(d, kPlatform, true);
		sim.network.at(heal_us, [&sim, d] {
			sim.network.partition(d, kPlatform, false);
		});
		break;
	}
}

void run_history(Simulation &sim)
{
	double share = sim.network.uniform(0, 2) * 0.02;

	sim.network.faults = {share, share, 300, 3000, share, 400000};
	for (int64_t t = 10 * kSecondUs; t < kLengthUs;
	     t += sim.network.uniform(kSecondUs / 2, 12 * kSecondUs))
		sim.network.at(t, [&sim] { inject_fault(sim); });
	generate_traffic(sim);
	sim.network.run(kLengthUs);
}

TEST(QuotaHistory, NoWindowExceedsRateAndBurst)
{
	uint64_t first = from_env("FIGBEND_SEED", 1);
	uint64_t n = from_env("FIGBEND_SCHEDULES", 30);
	uint64_t admitted = 0;

	for (uint64_t seed = first; seed < first + n; seed++) {
		Simulation sim(seed, 8, 2 + seed % 2, kRate, kBurst);

		run_history(sim);
		ASSERT_LE(quota_sim::needed_burst(sim.admissions, kRate),
			  kBurst)
			<< "seed " << seed;
		admitted += sim.admissions.size();
	}
	EXPECT_GT(admitted, n * 100);
}

/* Returns true if one of 30 histories with an injected bug fails the check. */
template <typename Inject> bool detects(Inject inject_bug)
{
	for (uint64_t seed = 1; seed <= 30; seed++) {
		Simulation sim(seed, 8, 2, kRate, kBurst);

		inject_bug(sim);
		run_history(sim);
		if (quota_sim::needed_burst(sim.admissions, kRate) > kBurst)
			return true;
	}
	return false;
}

TEST(QuotaHistory, CheckDetectsLenderThatForgetsLeases)
{
	EXPECT_TRUE(detects(
		[](Simulation &sim) { sim.bug_lender_forgets_leases = true; }));
}

TEST(QuotaHistory, CheckDetectsBucketsThatStartFull)
{
	EXPECT_TRUE(detects(
		[](Simulation &sim) { sim.bug_bucket_starts_full = true; }));
}

TEST(QuotaHistory, CheckDetectsRefundAfterCommit)
{
	EXPECT_TRUE(detects(
		[](Simulation &sim) { sim.bug_refund_after_commit = true; }));
}

TEST(QuotaHistory, PartitionedDomainKeepsItsShare)
{
	Simulation sim(1, 8, 2, kRate, kBurst);

	sim.network.run(15 * kSecondUs);
	partition_domain(sim, 0, true, true);
	sim.network.run(25 * kSecondUs);
	sim.admissions.clear();
	for (int i = 0; i < 400; i++)
		sim.network.at((25 + i / 20.0) * kSecondUs, [&sim] {
			sim.request(sim.hosts[0], 200, 0, 0);
		});
	sim.network.run(46 * kSecondUs);

	uint64_t sum = 0;

	for (auto &a : sim.admissions)
		sum += a.tokens;
	EXPECT_GE(sum, kRate / 2 * 19);
	EXPECT_LE(sum, kRate / 2 * 21 + kBurst / 2);
}

} // namespace
