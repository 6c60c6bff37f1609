#include <gtest/gtest.h>

extern "C" {
#include "quarantine.h"
}

namespace
{

constexpr int64_t kSecond = 1000000;

class Quarantine : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		quarantine_init(&q);
	}

	/* A request runs on an endpoint that crashes. */
	bool Crash(uint64_t print, const char *endpoint)
	{
		bool held;

		quarantine_started(&q, print, endpoint, now_us);
		held = quarantine_record_crash(&q, print, endpoint, now_us);
		quarantine_ended(&q, print, now_us);
		return held;
	}

	struct quarantine q;
	int64_t now_us = kSecond;
};

TEST_F(Quarantine, HoldsARequestAfterItsSecondCrash)
{
	EXPECT_EQ(QUARANTINE_CLEAR, quarantine_check(&q, 1, now_us));
	EXPECT_FALSE(Crash(1, "p1"));
	EXPECT_EQ(QUARANTINE_SUSPECT, quarantine_check(&q, 1, now_us));
	now_us += kSecond;
	EXPECT_TRUE(Crash(1, "p2"));
	EXPECT_EQ(QUARANTINE_BLOCKED, quarantine_check(&q, 1, now_us));
}

TEST_F(Quarantine, CountsCrashesThatOtherHostsSaw)
{
	quarantine_apply_report(&q, 1, false, now_us);
	EXPECT_TRUE(Crash(1, "p1"));
	quarantine_apply_report(&q, 2, true, now_us);
	EXPECT_EQ(QUARANTINE_BLOCKED, quarantine_check(&q, 2, now_us));
}

TEST_F(Quarantine, InnocentRequestsRetriedApartAreNotHeld)
{
	for (uint64_t print = 1; print <= 20; print++)
		Crash(print, "p1");
	now_us += kSecond;
	for (uint64_t print = 2; print <= 20; print++) {
		quarantine_started(&q, print, "p2", now_us);
		quarantine_ended(&q, print, now_us);
		now_us += kSecond;
	}
	EXPECT_TRUE(Crash(1, "p2"));
	for (uint64_t print = 2; print <= 20; print++)
		EXPECT_EQ(QUARANTINE_SUSPECT,
			  quarantine_check(&q, print, now_us));
}

TEST_F(Quarantine, TwoCrashesInCompanyProveNothing)
{
	Crash(1, "p1");
	Crash(2, "p1");
	now_us += kSecond;
	quarantine_started(&q, 1, "p2", now_us);
	quarantine_started(&q, 2, "p2", now_us);
	EXPECT_FALSE(quarantine_record_crash(&q, 1, "p2", now_us));
	EXPECT_FALSE(quarantine_record_crash(&q, 2, "p2", now_us));
}

TEST_F(Quarantine, DecaysAndIsBounded)
{
	Crash(1, "p1");
	now_us += 601 * kSecond;
	EXPECT_EQ(QUARANTINE_CLEAR, quarantine_check(&q, 1, now_us));
	for (uint64_t print = 1; print < 3 * QUARANTINE_ENTRIES_MAX; print++)
		quarantine_apply_report(&q, print, false, now_us += 1000);
	EXPECT_EQ(QUARANTINE_CLEAR, quarantine_check(&q, 1, now_us));
}

TEST_F(Quarantine, TellsModelsAndPromptsApart)
{
	EXPECT_NE(quarantine_fingerprint("a", "b"),
		  quarantine_fingerprint("ab", ""));
	EXPECT_EQ(quarantine_fingerprint("a", "b"),
		  quarantine_fingerprint("a", "b"));
}

} // namespace
