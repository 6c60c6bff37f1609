#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "record.h"
}

struct Followed {
	struct records r = {};
	std::vector<std::string> gone;

	~Followed()
	{
		records_finish(&r);
	}
	int put(const char *key, const char *value, uint64_t offset)
	{
		return records_put(&r, key, value, value ? strlen(value) : 0,
				   offset);
	}
	static void take(void *ctx, const char *key, const char *, size_t,
			 uint64_t)
	{
		((Followed *)ctx)->gone.push_back(key);
	}
};

TEST(Records, KeepTheNewestOfEachKeyWhateverTheOrder)
{
	Followed f;

	EXPECT_EQ(f.put("a", "2", 2), 1);
	EXPECT_EQ(f.put("a", "1", 1), 0) << "older, from another host";
	EXPECT_EQ(f.put("a", "2", 2), 0) << "again";
	EXPECT_STREQ(records_find(&f.r, "a")->value, "2");
	EXPECT_EQ(f.put("a", NULL, 3), 1);
	EXPECT_EQ(f.put("a", "2", 2), 0) << "does not come back";
	EXPECT_EQ(records_find(&f.r, "a")->value, nullptr);
}

TEST(Records, ThatASnapshotLacksAreGone)
{
	Followed f;

	f.put("a", "1", 0);
	f.put("b", "1", 1);
	f.put("new", "1", 9);
	records_snapshot_start(&f.r);
	f.put("b", "1", 1);
	records_snapshot_end(&f.r, 5, Followed::take, &f);
	EXPECT_EQ(f.gone, std::vector<std::string>{"a"})
		<< "not what came after the snapshot";
	EXPECT_EQ(f.r.next_offset, 5u);
}

TEST(Records, LagIsFoundWhileAnotherReaderIsJustAsFarBack)
{
	struct records_lag l = {};
	int64_t now_us = 1000;
	int found = 0;

	/* CONFIG, ogha trouble-1: three hosts that the store turns away tell
	 * each other between what the others tell them. */
	for (int beat = 0; beat < 4; beat++, now_us += 200000) {
		found += records_lag_update(&l, 5, 6, 80000, now_us);
		records_lag_update(&l, 5, 5, 80000, now_us + 40000);
	}
	EXPECT_EQ(found, 3);
}

TEST(Records, LagEndsWithOwnProgress)
{
	struct records_lag l = {};

	EXPECT_FALSE(records_lag_update(&l, 5, 6, 80000, 1000));
	EXPECT_FALSE(records_lag_update(&l, 6, 6, 80000, 90000));
	EXPECT_FALSE(records_lag_update(&l, 6, 7, 80000, 100000)) << "news";
	EXPECT_FALSE(records_lag_update(&l, 6, 7, 80000, 179000));
	EXPECT_TRUE(records_lag_update(&l, 6, 7, 80000, 180000));
	EXPECT_FALSE(records_lag_update(&l, 6, 7, 80000, 190000))
		<< "just asked";
	EXPECT_FALSE(records_lag_update(&l, 7, 9, 80000, 400000))
		<< "a stream that moves is not stuck";
}
