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

	/* Crashes an endpoint that runs a request; returns true if blocked. */
	bool Crash(uint64_t fingerprint, const char *endpoint)
	{
		bool blocked;

		quarantine_started(&q, fingerprint, endpoint, now_us);
		blocked = quarantine_record_crash(&q, fingerprint, endpoint,
						  now_us);
		quarantine_ended(&q, fingerprint, now_us);
		return blocked;
	}

	struct quarantine q;
	int64_t now_us = kSecond;
};

TEST_F(Quarantine, BlocksAfterTheSecondCrash)
{
	EXPECT_EQ(QUARANTINE_CLEAR, quarantine_check(&q, 1, now_us));
	EXPECT_FALSE(Crash(1, "p1"));
	EXPECT_EQ(QUARANTINE_SUSPECT, quarantine_check(&q, 1, now_us));
	now_us += kSecond;
	EXPECT_TRUE(Crash(1, "p2"));
	EXPECT_EQ(QUARANTINE_BLOCKED, quarantine_check(&q, 1, now_us));
}

TEST_F(Quarantine, CountsCrashesReportedByOtherHosts)
{
	quarantine_apply_report(&q, 1, false, now_us);
	EXPECT_TRUE(Crash(1, "p1"));
	quarantine_apply_report(&q, 2, true, now_us);
	EXPECT_EQ(QUARANTINE_BLOCKED, quarantine_check(&q, 2, now_us));
}

TEST_F(Quarantine, DoesNotBlockInnocentRequestsThatRunApart)
{
	for (uint64_t fingerprint = 1; fingerprint <= 20; fingerprint++)
		Crash(fingerprint, "p1");
	now_us += kSecond;
	for (uint64_t fingerprint = 2; fingerprint <= 20; fingerprint++) {
		quarantine_started(&q, fingerprint, "p2", now_us);
		quarantine_ended(&q, fingerprint, now_us);
		now_us += kSecond;
	}
	EXPECT_TRUE(Crash(1, "p2"));
	for (uint64_t fingerprint = 2; fingerprint <= 20; fingerprint++)
		EXPECT_EQ(QUARANTINE_SUSPECT,
			  quarantine_check(&q, fingerprint, now_us));
}

TEST_F(Quarantine, DoesNotBlockAfterTwoCrashesBesideASuspect)
{
	Crash(1, "p1");
	Crash(2, "p1");
	now_us += kSecond;
	quarantine_started(&q, 1, "p2", now_us);
	quarantine_started(&q, 2, "p2", now_us);
	EXPECT_FALSE(quarantine_record_crash(&q, 1, "p2", now_us));
	EXPECT_FALSE(quarantine_record_crash(&q, 2, "p2", now_us));
}

TEST_F(Quarantine, EntriesExpireAndAreBounded)
{
	Crash(1, "p1");
	now_us += 601 * kSecond;
	EXPECT_EQ(QUARANTINE_CLEAR, quarantine_check(&q, 1, now_us));
	for (uint64_t fingerprint = 1; fingerprint < 3 * QUARANTINE_ENTRIES_MAX;
	     fingerprint++)
		quarantine_apply_report(&q, fingerprint, false, now_us += 1000);
	EXPECT_EQ(QUARANTINE_CLEAR, quarantine_check(&q, 1, now_us));
}

TEST_F(Quarantine, FingerprintSeparatesModelFromPrompt)
{
	EXPECT_NE(quarantine_fingerprint("a", "b"),
		  quarantine_fingerprint("ab", ""));
	EXPECT_EQ(quarantine_fingerprint("a", "b"),
		  quarantine_fingerprint("a", "b"));
}

} // namespace
