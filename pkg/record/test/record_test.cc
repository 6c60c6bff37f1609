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
	EXPECT_EQ(f.r.upto, 5u);
}
