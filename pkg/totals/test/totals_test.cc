#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <vector>

extern "C" {
#include "totals.h"
}

static const int64_t S = 1000000;
/* A silence of 0.9 s, the delay of a report and its interval. */
static const int64_t TAKEOVER_US = 1400000;

struct Merged {
	struct totals_keys keys = {};
	struct totals_group group;
	std::map<uint64_t, int64_t> sum;

	Merged()
	{
		totals_group_init(&group);
	}
	~Merged()
	{
		totals_group_finish(&group);
		totals_keys_finish(&keys);
	}
	void apply(uint64_t source, uint64_t boot, uint64_t counter,
		   std::vector<totals_row> rows, int64_t now_us,
		   bool young = false)
	{
		struct totals_report report = {
			source, boot,	     counter,
			young,	rows.data(), (uint32_t)rows.size()};

		EXPECT_EQ(totals_apply(&group, &keys, &report, now_us, add,
				       this),
			  0);
	}
	static void add(void *ctx, uint64_t key, int64_t change)
	{
		((Merged *)ctx)->sum[key] += change;
	}
};

TEST(Totals, CountsIncreasesSinceTheFirstReport)
{
	Merged m;

	m.apply(1, 1, 1, {{7, 1000}}, 0);
	EXPECT_EQ(m.sum[7], 0) << "what was before this host knew the source";
	m.apply(1, 1, 2, {{7, 1200}, {8, 50}}, S / 5);
	EXPECT_EQ(m.sum[7], 200);
	EXPECT_EQ(m.sum[8], 50) << "a key that is new counts from zero";
	m.apply(1, 1, 3, {{7, 1100}}, 2 * S / 5);
	EXPECT_EQ(m.sum[7], 100) << "refunds";
	EXPECT_EQ(m.sum[8], 50) << "a key that is not listed stays";
}

TEST(Totals, CountsAllOfASourceThatStartedLater)
{
	Merged m;

	m.apply(1, 1, 1, {{7, 1000}}, 0, true);
	EXPECT_EQ(m.sum[7], 1000);
	m.apply(1, 2, 1, {{7, 10}}, S);
	EXPECT_EQ(m.sum[7], 1010) << "after a restart, from zero";
}

TEST(Totals, IgnoresRepeatedAndLateReports)
{
	Merged m;

	m.apply(1, 5, 1, {{7, 0}}, 0);
	m.apply(1, 5, 4, {{7, 400}}, S / 5);
	m.apply(1, 5, 4, {{7, 400}}, S / 5);
	m.apply(1, 5, 2, {{7, 100}}, S / 5);
	m.apply(1, 4, 9, {{7, 9000}}, S / 5);
	EXPECT_EQ(m.sum[7], 400);
}

TEST(Totals, AnotherSourceOfTheGroupTakesOverWithoutCountingTwice)
{
	Merged m;

	m.apply(1, 1, 1, {{7, 0}}, 0);
	m.apply(2, 1, 1, {{7, 5000}}, 0);
	m.apply(1, 1, 2, {{7, 300}}, S / 5);
	m.apply(2, 1, 2, {{7, 5300}}, S / 5);
	EXPECT_EQ(m.sum[7], 300);
	/* The first one is silent; the second one knows of 100 more. */
	m.apply(2, 1, 3, {{7, 5400}}, 4 * S / 5);
	EXPECT_EQ(m.sum[7], 300);
	m.apply(2, 1, 4, {{7, 5400}}, 2 * S);
	EXPECT_EQ(m.sum[7], 400);
	/* The first one wakes up, with the same 100. */
	m.apply(1, 1, 3, {{7, 400}}, 2 * S + 1);
	m.apply(2, 1, 5, {{7, 5450}}, 2 * S + 2);
	EXPECT_EQ(m.sum[7], 450);
}

TEST(Totals, ASourceThatKnowsLessDoesNotTakeAnythingBack)
{
	Merged m;

	m.apply(1, 1, 1, {{7, 0}}, 0);
	m.apply(2, 1, 1, {{7, 0}}, 0);
	m.apply(1, 1, 2, {{7, 500}}, S / 5);
	m.apply(2, 1, 2, {{7, 200}}, 2 * S);
	EXPECT_EQ(m.sum[7], 500);
	m.apply(2, 1, 3, {{7, 480}}, 2 * S + 1);
	EXPECT_EQ(m.sum[7], 500) << "known already";
	m.apply(2, 1, 4, {{7, 560}}, 2 * S + 2);
	EXPECT_EQ(m.sum[7], 560);
}

/*
 * Two delegates report what the same ten hosts consume. Datagrams are lost,
 * repeated and delivered late, delegates freeze, wake and restart. At no time may
 * more be counted than was consumed. A freeze or a restart may leave out what is
 * consumed until another delegate takes over, and nothing else may be missing.
 */
TEST(Totals, PropertyNothingTwiceUnderFaults)
{
	for (uint64_t seed = 1; seed <= 200; seed++) {
		struct Report {
			int64_t at_us;
			uint64_t source, boot, counter;
			int64_t amount;
		};
		std::mt19937_64 random(seed);
		std::deque<Report> in_flight;
		Merged m;
		int64_t consumed = 0, at_start[2] = {0, 0};
		uint64_t boot[2] = {1, 1}, counter[2] = {0, 0};
		int64_t frozen_until_us[2] = {0, 0};
		/* Nobody may count until then, and what is consumed so long. */
		int64_t takeover_until_us = 0, may_miss = 0;

		m.apply(0, 1, 1, {{7, 0}}, 0);
		m.apply(1, 1, 1, {{7, 0}}, 0);
		counter[0] = counter[1] = 1;
		for (int64_t now = 0; now < 30 * S; now += S / 10) {
			bool quiet = now >= 28 * S;
			int64_t amount = quiet ? 0 : (int64_t)(random() % 100);

			consumed += amount;
			if (now < takeover_until_us)
				may_miss += amount;
			for (int d = 0; d < 2; d++) {
				if (!quiet && random() % 60 == 0) {
					frozen_until_us[d] =
						now +
						(int64_t)(random() % (4 * S));
					takeover_until_us = frozen_until_us[d] +
							    TAKEOVER_US;
				}
				if (quiet)
					frozen_until_us[d] = 0;
				if (now < frozen_until_us[d])
					continue;
				/* A restarted delegate counts from zero, and
				 * from what the hosts have consumed then. */
				if (!quiet && random() % 150 == 0) {
					boot[d]++;
					counter[d] = 0;
					at_start[d] = consumed;
					takeover_until_us =
						std::max(takeover_until_us,
							 now + TAKEOVER_US);
				}
				Report report = {
					now + (int64_t)(random() % (S / 3)),
					(uint64_t)d, boot[d], ++counter[d],
					consumed - at_start[d]};

				if (quiet || random() % 5)
					in_flight.push_back(report);
				if (random() % 10 == 0) {
					report.at_us += 3 * S;
					in_flight.push_back(report);
				}
			}
			std::stable_sort(in_flight.begin(), in_flight.end(),
					 [](const Report &a, const Report &b) {
						 return a.at_us < b.at_us;
					 });
			while (!in_flight.empty() &&
			       in_flight.front().at_us <= now) {
				Report &r = in_flight.front();

				m.apply(r.source, r.boot, r.counter,
					{{7, r.amount}}, r.at_us);
				in_flight.pop_front();
			}
			ASSERT_LE(m.sum[7], consumed) << "seed " << seed;
		}
		EXPECT_GE(m.sum[7], consumed - may_miss) << "seed " << seed;
	}
}
