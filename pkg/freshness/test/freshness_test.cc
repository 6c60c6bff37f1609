#include <gtest/gtest.h>

extern "C" {
#include "freshness.h"
}

static const int64_t MS = 1000, S = 1000000;

static struct freshness make(int64_t bound_us = 2 * S)
{
	struct freshness f;

	freshness_init(&f, bound_us, 100 * S);
	return f;
}

static void tell(struct freshness *f, int64_t as_of_us)
{
	for (int s = 0; s < FRESHNESS_STREAMS; s++)
		freshness_set_told(f, s, as_of_us);
}

/* Guards against a delay that is added to the way of a record, or made longer, so
 * that the parts exceed the time within which it must be in force. */
TEST(Freshness, PartsAddUpToTheBound)
{
	for (int64_t bound_us :
	     {(int64_t)FRESHNESS_BOUND_MIN_US, 2 * S, 3 * S, 4 * S}) {
		struct freshness f = make(bound_us);

		EXPECT_LE(f.stale_us + FRESHNESS_CHECK_US + FRESHNESS_TURN_US +
				  FRESHNESS_READ_US + FRESHNESS_DELAY_US +
				  FRESHNESS_APPLY_US,
			  bound_us);
		/* A reader asks again in time for the others to hear of it. */
		EXPECT_LE(FRESHNESS_OVERDUE_US +
				  FRESHNESS_RANK_STEPS_MAX *
					  FRESHNESS_RANK_STEP_US +
				  FRESHNESS_CHECK_US + FRESHNESS_READ_US +
				  FRESHNESS_DELAY_US + FRESHNESS_APPLY_US,
			  bound_us);
		/* What is told of a response that came in time is not old. */
		EXPECT_GE(f.stale_us, FRESHNESS_FIRST_WAIT_MS * MS + 600 * MS);
	}
	EXPECT_LE(FRESHNESS_BOUND_MIN_US, 2 * S);
}

/* Guards against a host that relies on hosts that say nothing new, for longer than
 * the age allowed and a turn. */
TEST(Freshness, AHostReadsOnceItsKnowledgeIsOld)
{
	for (double random : {0., 0.5, 1.}) {
		struct freshness f = make();
		int64_t now_us = 110 * S, told_us = now_us - 200 * MS;

		tell(&f, told_us);
		while (!freshness_step(&f, random, now_us))
			now_us += 1 * MS;
		EXPECT_GE(now_us - told_us, f.stale_us);
		EXPECT_LE(now_us - told_us,
			  f.stale_us + FRESHNESS_TURN_US + 1 * MS);
	}
}

/* Guards against one stream that is known to be new and hides that another is old. */
TEST(Freshness, TheOldestStreamCounts)
{
	struct freshness f = make();

	tell(&f, 110 * S);
	freshness_set_read(&f, 0, 112 * S);
	EXPECT_EQ(freshness_age_us(&f, 112 * S), 2 * S);
	freshness_set_told(&f, 1, 109 * S);
	EXPECT_EQ(freshness_as_of_us(&f, 1), 110 * S) << "an older message";
}

/* Guards against a host that leaves the store to others since they tell it what it
 * told them, so that nobody reads until all are old again. */
TEST(Freshness, AHostLeavesItToOthersOnceTheyTellSomethingNewer)
{
	struct freshness f = make();

	tell(&f, 110 * S);
	EXPECT_TRUE(freshness_step(&f, 0, 112 * S));
	freshness_set_read(&f, 0, 112 * S);
	freshness_set_read(&f, 1, 112 * S);
	tell(&f, 112 * S + 20 * MS);
	EXPECT_TRUE(freshness_step(&f, 0, 112 * S + 400 * MS));
	freshness_set_told(&f, 0, 112 * S + 200 * MS);
	EXPECT_TRUE(freshness_step(&f, 0, 112 * S + 400 * MS))
		<< "nothing newer of the other stream";
	freshness_set_told(&f, 1, 112 * S + 200 * MS);
	EXPECT_FALSE(freshness_step(&f, 0, 112 * S + 400 * MS));
}

/* Guards against a host that starts and reads the store beside all others, before it
 * can have heard of those that read; and one that never hears of any. */
TEST(Freshness, AHostThatStartsHasTime)
{
	struct freshness f = make();

	EXPECT_FALSE(freshness_step(&f, 0, 103 * S));
	EXPECT_FALSE(freshness_step(&f, 0, 104 * S));
	EXPECT_TRUE(freshness_step(&f, 0, 105 * S));
}

/* Guards against readers that all ask at once when the first one is silent. */
TEST(Freshness, ReadersAskOneAfterTheOther)
{
	struct freshness f = make();
	int64_t last_us = 0;

	tell(&f, 110 * S);
	for (uint32_t rank = 0; rank <= FRESHNESS_RANK_STEPS_MAX; rank++) {
		int64_t now_us = 110 * S;

		while (!freshness_is_overdue(&f, 0, rank, now_us))
			now_us += 1 * MS;
		EXPECT_GT(now_us, last_us) << "rank " << rank;
		last_us = now_us;
	}
	EXPECT_TRUE(freshness_is_overdue(&f, 0, 1000, last_us));
}

/* Guards against hundreds of readers that each ask as often as one. */
TEST(Freshness, OnlyTheFirstReaderAsksOften)
{
	EXPECT_LE(freshness_wait_ms(0, 0.5), 500u);
	for (double random : {0., 1.}) {
		EXPECT_GE(freshness_wait_ms(1, random), 20000u);
		EXPECT_LE(freshness_wait_ms(1, random), 30000u);
	}
}
