#include <gtest/gtest.h>

#include <cstdlib>

#include "quota_sim.h"

namespace
{

using quota_world::Epoch;
using quota_world::Host;
using quota_world::kPlatform;
using quota_world::kSecondUs;
using quota_world::World;

constexpr uint64_t kRate = 3000;
constexpr uint64_t kBurst = 6000;
constexpr int64_t kLengthUs = 60 * kSecondUs;

/* FIGBEND_SCHEDULES: how many, FIGBEND_SEED: the first. */
uint64_t from_env(const char *name, uint64_t fallback)
{
	const char *v = getenv(name);

	return v ? strtoull(v, nullptr, 10) : fallback;
}

/*
 * Light traffic, by which leases are handed out, then a rush of many times the
 * rate, then silence, in which buckets fill: what goes over a limit shows here.
 */
void traffic(World &w)
{
	int64_t phase = w.link.now_us / 100000 % 70;
	bool rush = phase >= 20 && phase < 40;
	Host &h = w.hosts[w.link.number(0, w.hosts.size() - 1)];
	int64_t gap_us = rush ? 3000 : 60000;

	w.hold_max_us = rush ? 20000 : 1400000;
	if (rush)
		w.request(h, w.link.number(1, 200), 0, 0);
	else if (phase < 20 && w.link.chance(0.8))
		w.request(h, w.link.number(1, 200), 0, 0.9);
	else if (phase < 20)
		w.request(h, w.link.number(1, 60), w.link.number(0, 20), 0.1);
	w.link.at(w.link.now_us + w.link.number(1, 2 * gap_us),
		  [&w] { traffic(w); });
}

void append_epoch(World &w, int host, bool present)
{
	auto &hosts = w.log.hosts;

	hosts.erase(std::remove(hosts.begin(), hosts.end(), host), hosts.end());
	if (present) {
		hosts.push_back(host);
		std::sort(hosts.begin(), hosts.end());
	}
	w.log.number++;
}

void cut_domain(World &w, int domain, bool platform, bool on)
{
	if (platform)
		w.link.cut(domain, kPlatform, on);
	for (int d = 0; d < w.domains; d++)
		if (d != domain)
			w.link.cut(domain, d, on);
}

/* One fault, healed some time later. */
void fault(World &w)
{
	Host &h = w.hosts[w.link.number(0, w.hosts.size() - 1)];
	int64_t heal_us = w.link.now_us + w.link.number(100000, 15 * kSecondUs);
	int64_t lag_us = w.link.number(0, 6 * kSecondUs);
	int d = h.domain;

	switch (w.link.number(0, 5)) {
	case 0: /* dies; its membership ends later; it is replaced */
		w.kill(h);
		w.link.at(w.link.now_us + lag_us,
			  [&w, &h] { append_epoch(w, h.id, false); });
		w.link.at(heal_us + lag_us, [&w, &h] {
			if (!h.up)
				w.start(h);
			append_epoch(w, h.id, true);
		});
		break;
	case 1: /* restarts before anybody notices */
		w.kill(h);
		w.start(h);
		break;
	case 2: /* is paused, and taken for dead */
		w.link.pause(h.id, heal_us);
		w.link.at(w.link.now_us + lag_us,
			  [&w, &h] { append_epoch(w, h.id, false); });
		w.link.at(heal_us + lag_us,
			  [&w, &h] { append_epoch(w, h.id, true); });
		break;
	case 3: /* its domain is cut off from the others, and from the log */
		cut_domain(w, d, w.link.chance(0.5), true);
		w.link.at(heal_us, [&w, d] { cut_domain(w, d, true, false); });
		break;
	case 4: /* is taken out by mistake while it serves */
		append_epoch(w, h.id, false);
		w.link.at(heal_us, [&w, &h] { append_epoch(w, h.id, true); });
		break;
	case 5: /* only the log is away from its domain */
		w.link.cut(d, kPlatform, true);
		w.link.at(heal_us,
			  [&w, d] { w.link.cut(d, kPlatform, false); });
		break;
	}
}

void run_history(World &w)
{
	double bad = w.link.number(0, 2) * 0.02;

	w.link.faults = {bad, bad, 300, 3000, bad, 400000};
	for (int64_t t = 10 * kSecondUs; t < kLengthUs;
	     t += w.link.number(kSecondUs / 2, 12 * kSecondUs))
		w.link.at(t, [&w] { fault(w); });
	traffic(w);
	w.link.run(kLengthUs);
}

TEST(QuotaHistory, NoWindowHasMoreThanRateAndBurst)
{
	uint64_t first = from_env("FIGBEND_SEED", 1);
	uint64_t n = from_env("FIGBEND_SCHEDULES", 30);
	uint64_t admitted = 0;

	for (uint64_t seed = first; seed < first + n; seed++) {
		World w(seed, 8, 2 + seed % 2, kRate, kBurst);

		run_history(w);
		ASSERT_LE(quota_world::needed_burst(w.admitted, kRate), kBurst)
			<< "seed " << seed;
		admitted += w.admitted.size();
	}
	EXPECT_GT(admitted, n * 100);
}

/* Whether the checker finds a planted fault in any of a few histories. */
template <typename Plant> bool finds(Plant plant)
{
	for (uint64_t seed = 1; seed <= 30; seed++) {
		World w(seed, 8, 2, kRate, kBurst);

		plant(w);
		run_history(w);
		if (quota_world::needed_burst(w.admitted, kRate) > kBurst)
			return true;
	}
	return false;
}

TEST(QuotaHistory, TheCheckerFindsLeasesThatAreNotCounted)
{
	EXPECT_TRUE(finds([](World &w) { w.forgets_leases = true; }));
}

TEST(QuotaHistory, TheCheckerFindsHomesThatStartFull)
{
	EXPECT_TRUE(finds([](World &w) { w.starts_full = true; }));
}

TEST(QuotaHistory, TheCheckerFindsPlainRefunds)
{
	EXPECT_TRUE(finds([](World &w) { w.refunds = true; }));
}

TEST(QuotaHistory, ADomainCutOffGoesOnWithItsOwnPart)
{
	World w(1, 8, 2, kRate, kBurst);

	w.link.run(15 * kSecondUs);
	cut_domain(w, 0, true, true);
	w.link.run(25 * kSecondUs);
	w.admitted.clear();
	for (int i = 0; i < 400; i++)
		w.link.at((25 + i / 20.0) * kSecondUs,
			  [&w] { w.request(w.hosts[0], 200, 0, 0); });
	w.link.run(46 * kSecondUs);

	uint64_t sum = 0;

	for (auto &a : w.admitted)
		sum += a.tokens;
	EXPECT_GE(sum, kRate / 2 * 19);
	EXPECT_LE(sum, kRate / 2 * 21 + kBurst / 2);
}

} // namespace
