#include <gtest/gtest.h>

#include <cstring>
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

/* Half of the share in the canary; a request that finds no room counts once. */
TEST(Rollout, TheShareIsHalfInTheCanaryAndDoubledWithoutEvidence)
{
	Host h;
	int sent = 0;

	h.order();
	for (int i = 0; i < 1000; i++)
		sent += h.choose() == ROLLOUT_NEW;
	EXPECT_NEAR(sent, 50, 1);
	for (int i = 0; i < 1000; i++)
		EXPECT_EQ(h.choose("a", false), ROLLOUT_PRESENT);
	EXPECT_EQ(h.choose(), ROLLOUT_NEW);
	EXPECT_EQ(h.choose(), ROLLOUT_PRESENT);
	h.run(7900 * kMs);
	sent = 0;
	for (int i = 0; i < 1000; i++)
		sent += h.choose() == ROLLOUT_NEW;
	EXPECT_NEAR(sent, 100, 1);
}

/* If all accumulators started at 0 or 1, hosts with few requests would send nothing,
 * or all of them at once. */
TEST(Rollout, FirstRequestsOfManyHostsHaveTheShareOnAverage)
{
	int sent = 0;

	for (uint64_t seed = 1; seed <= 2000; seed++) {
		Host h(0.1, seed);

		h.order();
		sent += h.choose() == ROLLOUT_NEW;
	}
	EXPECT_NEAR(sent, 100, 25);
}

TEST(Rollout, ARouteOfFewRequestsGetsMore)
{
	Host h;
	int sent = 0;

	h.order();
	h.answers(1, false, false, 50 * kMs, "a");
	h.run(3 * kS);
	h.answers(6, false, false, 50 * kMs, "a");
	h.run(500 * kMs);
	for (int i = 0; i < 100; i++)
		sent += h.choose() == ROLLOUT_NEW;
	EXPECT_NEAR(sent, 30, 1);
}

TEST(Rollout, AVersionIsBadByFailuresOrTimesOfOneRouteOrAll)
{
	for (bool slow : {false, true}) {
		Host h;

		h.order();
		h.run(kS);
		h.answers(300, false);
		h.answers(60, true);
		h.answers(100, false, false, 50 * kMs, "b");
		h.answers(8, true, !slow, 150 * kMs, "b");
		EXPECT_EQ(h.run(500 * kMs), ROLLOUT_NONE);
		EXPECT_TRUE(h.r->suspect);
		EXPECT_EQ(h.choose(), ROLLOUT_PRESENT);
		EXPECT_EQ(h.run(kS), ROLLOUT_ROLLED_BACK);
		EXPECT_EQ(h.choose(), ROLLOUT_PRESENT);
		EXPECT_EQ(h.run(20 * kS), ROLLOUT_NONE);
	}
}

/* Since the order its failures are too few among good answers; not in 3 s. */
TEST(Rollout, AVersionThatTurnsBadLaterIsFound)
{
	Host h;

	h.order();
	for (int i = 0; i < 50; i++, h.run(100 * kMs)) {
		h.answers(40, false);
		h.answers(6, true);
	}
	h.answers(100, false);
	h.answers(12, true, true); /* of 312 since the order, of 192 in 3 s */
	EXPECT_EQ(h.run(1200 * kMs), ROLLOUT_ROLLED_BACK);
}

TEST(Rollout, FewOrCommonFailuresProveNothing)
{
	Host few, both;

	few.order();
	few.answers(100, false);
	few.answers(3, true, true);
	few.run(2 * kS);
	EXPECT_EQ(few.r->stage, ROLLOUT_CANARY);
	both.order();
	for (bool is_new : {false, true}) {
		both.answers(60, is_new);
		both.answers(40, is_new, true);
	}
	both.run(2 * kS);
	EXPECT_EQ(both.r->stage, ROLLOUT_CANARY);
}

/* Moves the evidence of one host to another, as the gateway does. */
void exchange(Host &from, Host &to)
{
	rollout_counter c[ROLLOUT_COUNTERS_MAX];
	uint32_t n = rollout_fill_counters(from.r.get(), c);

	for (uint32_t i = 0; i < n; i++) {
		ASSERT_LT(strlen(c[i].name), 48u);
		EXPECT_TRUE(
			rollout_apply_counter(to.r.get(), namehash(c[i].name),
					      (int64_t)c[i].amount, to.now));
	}
}

/* A host whose own path fails must follow the sums, and must not judge for all. */
TEST(Rollout, OwnEvidenceStopsThisHostUntilOthersRefuteIt)
{
	Host h, other;

	rollout_add_row(h.r.get(), "a");
	h.order();
	other.order();
	other.answers(2000, false);
	other.answers(300, true);
	exchange(other, h);
	h.answers(100, false);
	h.answers(6, true, true);
	h.run(300 * kMs);
	EXPECT_TRUE(h.r->suspect);
	EXPECT_EQ(h.r->stage, ROLLOUT_CANARY);
	h.run(800 * kMs);
	other.r->row[0].own[1] = {};
	other.answers(1, true);
	exchange(other, h);
	h.run(200 * kMs);
	EXPECT_FALSE(h.r->suspect);
}

TEST(Rollout, WithoutEndpointOrEvidenceItIsRolledBackAtTheEnd)
{
	Host none, absent;

	none.order();
	EXPECT_EQ(none.run(11 * kS), ROLLOUT_CANARY);
	EXPECT_EQ(none.run(500 * kMs), ROLLOUT_ROLLED_BACK);
	absent.order();
	absent.good_evidence();
	absent.view.new_endpoints = 0;
	EXPECT_EQ(absent.run(11 * kS), ROLLOUT_CANARY);
	EXPECT_EQ(absent.run(500 * kMs), ROLLOUT_ROLLED_BACK);
}

TEST(Rollout, ThinEvidenceDecidesLater)
{
	Host h;

	h.order();
	h.answers(100, false);
	h.answers(5, true);
	EXPECT_EQ(h.run(9500 * kMs), ROLLOUT_CANARY);
	EXPECT_EQ(h.run(200 * kMs), ROLLOUT_SHIFT);
	EXPECT_EQ(h.run(1600 * kMs), ROLLOUT_COMPLETED);
}

/* Old endpoints stop at once at completed. */
TEST(Rollout, CompletedEarlyOnlyIfNothingRunsAtTheOldOnes)
{
	Host h;

	h.view.present_running = 0;
	h.order();
	h.good_evidence();
	EXPECT_EQ(h.run(7900 * kMs), ROLLOUT_SHIFT);
	EXPECT_EQ(h.run(2300 * kMs), ROLLOUT_NONE);
	EXPECT_EQ(h.choose("a", false), ROLLOUT_PRESENT);
	EXPECT_EQ(h.choose(), ROLLOUT_NEW);
	EXPECT_EQ(h.run(300 * kMs), ROLLOUT_COMPLETED);
}

/* Guards against an end at a moment without a request while hosts still fall back. */
TEST(Rollout, AMomentWithoutRequestsAtTheOldOnesIsNotTheEnd)
{
	Host h;

	h.order();
	h.good_evidence();
	EXPECT_EQ(h.run(10300 * kMs), ROLLOUT_SHIFT);
	h.view.present_running = 0;
	EXPECT_NE(h.run(200 * kMs), ROLLOUT_COMPLETED);
	h.view.present_running = 1;
	EXPECT_NE(h.run(100 * kMs), ROLLOUT_COMPLETED);
}

TEST(Rollout, WithoutTheStoreTheStageStaysAndABadVersionGetsNothing)
{
	Host good, bad;

	for (Host *h : {&good, &bad}) {
		h->order();
		h->run(kS);
		h->view.store_ok = false;
		h->good_evidence();
	}
	bad.answers(30, true, true);
	EXPECT_EQ(good.run(20 * kS), ROLLOUT_NONE);
	EXPECT_EQ(good.r->stage, ROLLOUT_CANARY);
	EXPECT_EQ(bad.run(20 * kS), ROLLOUT_NONE);
	EXPECT_EQ(bad.choose(), ROLLOUT_PRESENT);
	bad.view.store_ok = true;
	EXPECT_EQ(bad.run(200 * kMs), ROLLOUT_ROLLED_BACK);
}

/* A write without a result is repeated, and a higher rank waits 0.3 s each. */
TEST(Rollout, ARankWaitsAndAWriteIsRepeated)
{
	Host h;

	h.view.rank = 3;
	h.confirm = false;
	h.order();
	EXPECT_EQ(h.run(900 * kMs), ROLLOUT_NONE);
	EXPECT_EQ(h.run(100 * kMs), ROLLOUT_CANARY);
	EXPECT_EQ(h.run(400 * kMs), ROLLOUT_NONE);
	EXPECT_EQ(h.run(100 * kMs), ROLLOUT_CANARY);
	EXPECT_FALSE(h.progress(ROLLOUT_CANARY, ROLLOUT_FROM_STORE));
	EXPECT_EQ(h.run(2 * kS), ROLLOUT_NONE);
}

TEST(Rollout, LaterStagesAndTheStoreTakePrecedence)
{
	Host h;

	h.order();
	h.run(100 * kMs);
	EXPECT_TRUE(h.progress(ROLLOUT_SHIFT, ROLLOUT_FROM_HOST));
	EXPECT_EQ(rollout_choose_again(h.r.get(), ROLLOUT_NEW), ROLLOUT_NEW);
	EXPECT_FALSE(h.progress(ROLLOUT_CANARY, ROLLOUT_FROM_STORE));
	EXPECT_TRUE(h.progress(ROLLOUT_ROLLED_BACK, ROLLOUT_FROM_HOST));
	EXPECT_FALSE(h.progress(ROLLOUT_SHIFT, ROLLOUT_FROM_HOST));
	EXPECT_EQ(rollout_choose_again(h.r.get(), ROLLOUT_NEW),
		  ROLLOUT_PRESENT);
	EXPECT_TRUE(h.progress(ROLLOUT_COMPLETED, ROLLOUT_FROM_STORE));
	EXPECT_FALSE(h.progress(ROLLOUT_ROLLED_BACK, ROLLOUT_FROM_HOST));
	EXPECT_EQ(h.choose(), ROLLOUT_NEW);
}

/* After the store was restored the operator's record comes again. */
TEST(Rollout, ARepeatedOrderIsTheSameUntilItEnded)
{
	Host h;

	EXPECT_TRUE(h.order("v2", 10));
	EXPECT_FALSE(h.order("v2", 10));
	EXPECT_FALSE(h.order("v2", 12));
	EXPECT_TRUE(h.progress(ROLLOUT_ROLLED_BACK, ROLLOUT_FROM_STORE, 12));
	EXPECT_FALSE(h.order("v2", 5, 1));
	EXPECT_EQ(h.r->stage, ROLLOUT_ROLLED_BACK);
	EXPECT_EQ(h.run(1500 * kMs), ROLLOUT_ROLLED_BACK);
	EXPECT_TRUE(h.order("v2", 8, 1));
	EXPECT_EQ(h.r->stage, ROLLOUT_CANARY);
	/* A record of the run that ended. */
	EXPECT_FALSE(h.progress(ROLLOUT_ROLLED_BACK, ROLLOUT_FROM_STORE, 12));
	EXPECT_TRUE(h.order("v3", 9, 1));
	EXPECT_TRUE(rollout_is_new(h.r.get(), "v3"));
	EXPECT_FALSE(rollout_is_new(h.r.get(), "v2"));
	rollout_on_order_deleted(h.r.get(), h.now);
	EXPECT_EQ(h.choose(), ROLLOUT_ANY);
}

/* A wall clock that was stepped must not end a rollout early. */
/* Otherwise, the present version of the older order, which is the new one of the
 * running order, gets nearly all requests after a restore. */
TEST(Rollout, AnOlderOrderOfARestoredStoreDoesNotReplaceThePresentOne)
{
	Host h;

	rollout_add_row(h.r.get(), "route");
	ASSERT_TRUE(h.order("v2", 10));
	h.progress(ROLLOUT_COMPLETED, ROLLOUT_FROM_STORE);
	ASSERT_TRUE(h.order("v3", 20));
	rollout_on_store_restored(h.r.get());
	EXPECT_FALSE(h.order("v2", 10, 1));
	EXPECT_TRUE(rollout_is_new(h.r.get(), "v3"));
	EXPECT_FALSE(h.order("v3", 15, 1)) << "the present one, repeated";
	EXPECT_TRUE(h.order("v2", 30, 1)) << "a later order of the operator";
}

TEST(Rollout, AHostThatStartsTakesStageAndTimeFromOthersOrTheStore)
{
	Host old, young, early;

	old.order();
	old.progress(ROLLOUT_CANARY, ROLLOUT_FROM_STORE, 10, 100 * kS);
	EXPECT_EQ(old.now - old.r->ordered_us, 0);
	young.now -= 59 * kS;
	young.order();
	young.progress(ROLLOUT_CANARY, ROLLOUT_FROM_STORE, 10, 100 * kS);
	EXPECT_EQ(young.now - young.r->ordered_us, 7800 * kMs);
	early.progress(ROLLOUT_SHIFT, ROLLOUT_FROM_HOST, 10, 8 * kS);
	early.now += kS;
	early.order();
	EXPECT_EQ(early.r->stage, ROLLOUT_SHIFT);
	EXPECT_EQ(early.now - early.r->ordered_us, 9 * kS);
}

/* A total that fell would be taken as a refund by other hosts. */
TEST(Rollout, CountersNeverFallAndFitAnyNumberOfRoutes)
{
	Host h;
	rollout_counter c[ROLLOUT_COUNTERS_MAX];

	h.order("v2", 10);
	for (int i = 0; i < 100; i++)
		h.answers(1, i % 2, false, kMs, std::to_string(i).c_str());
	EXPECT_STREQ(h.r->row[ROLLOUT_ROWS_MAX - 1].name, ROLLOUT_OTHER_ROW);
	EXPECT_EQ(h.r->row[ROLLOUT_ROWS_MAX - 1].own[0].answers, 34);
	EXPECT_LE(rollout_fill_counters(h.r.get(), c), ROLLOUT_COUNTERS_MAX);
	h.order("v3", 11);
	EXPECT_EQ(rollout_fill_counters(h.r.get(), c), 0u);
	h.order("v2", 12);
	EXPECT_EQ(h.r->row[ROLLOUT_ROWS_MAX - 1].own[0].answers, 34);
	EXPECT_FALSE(rollout_apply_counter(h.r.get(), 1, 1, h.now));
}
} // namespace
