#include <gtest/gtest.h>

#include <memory>
#include <string>

extern "C" {
#include "namehash.h"
#include "record.h"
#include "rollout.h"
}

namespace
{

constexpr int64_t kMs = 1000, kS = 1000 * kMs;

/* One host, whose clock starts at 100 s; the store confirms what it writes. */
struct Host {
	std::unique_ptr<rollout> r = std::make_unique<rollout>();
	rollout_view view{0, true, 3, 3, 1, 0};
	rollout_actions last{};
	int64_t now = 100 * kS;
	bool confirm = true;

	explicit Host(double share = 0.1, uint64_t seed = 1)
	{
		rollout_limits limits{share, 50, 5 * kS};

		rollout_init(r.get(), "svc", &limits, seed, now);
		now += 60 * kS;
	}
	bool order(const char *to = "v2", uint64_t offset = 10,
		   uint32_t era = 0, int64_t duration = 12 * kS)
	{
		rollout_order o{};

		snprintf(o.to, sizeof(o.to), "%s", to);
		o.duration_us = duration;
		o.position = record_position(era, offset);
		o.text_hash = namehash(to);
		return rollout_on_order(r.get(), &o, now);
	}
	bool progress(rollout_stage stage, rollout_source from,
		      uint64_t offset = 10, int64_t elapsed = 0,
		      uint32_t era = 0)
	{
		rollout_progress p{record_position(era, offset), namehash("v2"),
				   stage, elapsed};

		return rollout_on_progress(r.get(), &p, from, now);
	}
	/* Ticks for a time and returns the last stage to be written. */
	rollout_stage run(int64_t us)
	{
		rollout_stage written = ROLLOUT_NONE;

		for (int64_t end = now + us; now < end;) {
			now += 100 * kMs;
			rollout_tick(r.get(), &view, now, &last);
			if (last.write == ROLLOUT_NONE)
				continue;
			written = last.write;
			if (confirm)
				rollout_on_written(r.get(), written, now);
		}
		return written;
	}
	rollout_side choose(const char *route = "a", bool usable = true)
	{
		return rollout_choose(r.get(), route, usable, now);
	}
	void answers(int n, bool is_new, bool bad = false,
		     int64_t us = 50 * kMs, const char *row = "a")
	{
		for (int i = 0; i < n; i++)
			rollout_observe(r.get(), row, is_new,
					bad ? ROLLOUT_ANSWER_BAD
					    : ROLLOUT_ANSWER_GOOD,
					us + i % 7 * us / 40, now);
	}
	void good_evidence()
	{
		answers(200, false);
		answers(30, true);
	}
};

/* Off by default: no request may be treated otherwise without the setting. */
TEST(Rollout, NothingChangesWithoutAShareOrAnOrder)
{
	Host off(0), none;

	EXPECT_FALSE(off.order());
	EXPECT_EQ(off.choose(), ROLLOUT_ANY);
	EXPECT_EQ(off.run(kS), ROLLOUT_NONE);
	EXPECT_EQ(none.choose(), ROLLOUT_ANY);
	EXPECT_EQ(none.run(kS), ROLLOUT_NONE);
	EXPECT_EQ(rollout_choose_again(none.r.get(), ROLLOUT_ANY), ROLLOUT_ANY);
}

/* A wrong order must change nothing and write nothing. */
TEST(Rollout, AnOrderWithoutVersionOrDurationChangesNothing)
{
	Host h;

	EXPECT_FALSE(h.order(""));
	EXPECT_FALSE(h.order("v2", 10, 0, 0));
	EXPECT_EQ(h.choose(), ROLLOUT_ANY);
	EXPECT_EQ(h.run(kS), ROLLOUT_NONE);
}

TEST(Rollout, AGoodVersionIsShiftedAndCompletedInTime)
{
	Host h;

	ASSERT_TRUE(h.order());
	EXPECT_EQ(h.run(kS), ROLLOUT_CANARY);
	h.good_evidence();
	EXPECT_EQ(h.run(6700 * kMs), ROLLOUT_NONE);
	EXPECT_EQ(h.run(200 * kMs), ROLLOUT_SHIFT);
	EXPECT_EQ(h.r->stage, ROLLOUT_SHIFT);
	/* Requests still run at the old endpoints: only at 0.93 of 12 s. */
	EXPECT_EQ(h.run(3 * kS), ROLLOUT_NONE);
	EXPECT_EQ(h.run(500 * kMs), ROLLOUT_COMPLETED);
	EXPECT_EQ(h.choose("a", false), ROLLOUT_NEW);
	EXPECT_EQ(rollout_choose_again(h.r.get(), ROLLOUT_PRESENT),
		  ROLLOUT_NEW);
}

} // namespace
