#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "record.h"
}

struct Stream {
	struct records records = {};
	std::vector<std::string> deleted;

	~Stream()
	{
		records_finish(&records);
	}
	int put(const char *key, const char *value, uint64_t offset)
	{
		return records_put(&records, key, value,
				   value ? strlen(value) : 0, offset);
	}
	/* Puts a record of a snapshot that is being read. */
	void list(const char *key, const char *value, uint64_t offset,
		  enum records_source from = RECORDS_STORE)
	{
		put(key, value, offset);
		records_snapshot_has(&records, from, key);
	}
	void start(enum records_source from = RECORDS_STORE)
	{
		records_snapshot_start(&records, from);
	}
	void end(uint64_t position, enum records_source from = RECORDS_STORE)
	{
		records_snapshot_end(&records, from, position, on_deleted,
				     this);
	}
	static void on_deleted(void *ctx, const char *key, const char *, size_t,
			       uint64_t)
	{
		((Stream *)ctx)->deleted.push_back(key);
	}
};

TEST(Records, KeepTheNewestOfEachKeyInAnyOrder)
{
	Stream stream;

	EXPECT_EQ(stream.put("a", "2", 2), 1);
	EXPECT_EQ(stream.put("a", "1", 1), 0) << "older";
	EXPECT_EQ(stream.put("a", "2", 2), 0) << "a repeated record";
	EXPECT_STREQ(records_find(&stream.records, "a")->value, "2");
	EXPECT_EQ(stream.put("a", NULL, 3), 1);
	EXPECT_EQ(stream.put("a", "2", 2), 0) << "a deleted key stays deleted";
	EXPECT_EQ(records_find(&stream.records, "a")->value, nullptr);
}

TEST(Records, AreDeletedIfASnapshotLacksThem)
{
	Stream stream;

	stream.put("a", "1", 0);
	stream.put("b", "1", 1);
	stream.put("new", "1", 9);
	stream.start();
	stream.list("b", "1", 1);
	stream.end(5);
	EXPECT_EQ(stream.deleted, std::vector<std::string>{"a"})
		<< "\"new\" is newer than the snapshot";
	EXPECT_EQ(stream.records.next_position, 5u);
}

/* Guards against the first record after a snapshot that is taken for an old one,
 * since its key was deleted at the end of the snapshot. */
TEST(Records, AreNewAtTheEndOfTheSnapshotThatDeletedThem)
{
	Stream stream;

	stream.put("a", "1", 0);
	stream.start();
	stream.end(5);
	EXPECT_EQ(stream.deleted, std::vector<std::string>{"a"});
	EXPECT_EQ(stream.put("a", "1", 4), 0) << "before the end";
	EXPECT_EQ(stream.put("a", "2", 5), 1);
	EXPECT_STREQ(records_find(&stream.records, "a")->value, "2");
}

/* Guards against hosts that miss a deletion: the host from which they take the records
 * since a position started from a later snapshot. */
TEST(Records, KnowFromWhichPositionTheyAreComplete)
{
	Stream stream;

	EXPECT_EQ(stream.records.complete_from, 0u);
	stream.start();
	stream.list("a", "1", 3);
	stream.end(5);
	EXPECT_EQ(stream.records.complete_from, 5u);
	stream.put("a", NULL, 5);
	stream.records.next_position = 6;
	EXPECT_EQ(stream.records.complete_from, 5u);
	stream.start();
	stream.list("b", "1", 8);
	stream.end(9);
	EXPECT_EQ(stream.records.complete_from, 9u) << "b may have had others";
	stream.start();
	stream.end(7);
	EXPECT_EQ(stream.records.next_position, 9u);
	EXPECT_EQ(stream.records.complete_from, 9u);
	EXPECT_TRUE(stream.deleted.empty()) << "b is newer";
}

/* Guards against a key that a snapshot of the store lacks and that stays, because a
 * host that is behind sent it meanwhile, and against the opposite. */
TEST(Records, OfTwoSnapshotsAtOnceAreKeptApart)
{
	Stream stream;

	stream.put("deleted", "1", 1);
	stream.put("present", "1", 2);
	stream.start(RECORDS_STORE);
	stream.list("present", "1", 2);
	stream.start(RECORDS_HOST);
	stream.list("deleted", "1", 1, RECORDS_HOST);
	stream.list("present", "1", 2, RECORDS_HOST);
	stream.list("new", "1", 3, RECORDS_HOST);
	stream.end(4, RECORDS_HOST);
	EXPECT_TRUE(stream.deleted.empty());
	stream.list("new", "1", 3);
	stream.end(6, RECORDS_STORE);
	EXPECT_EQ(stream.deleted, std::vector<std::string>{"deleted"});
	EXPECT_EQ(stream.records.complete_from, 6u);
}

/* Guards against a record that is taken for an old one, since the store gave its
 * offset out before it came back from an older copy. */
TEST(Records, OfALaterEraAreNewerAtAnyOffset)
{
	Stream stream;

	EXPECT_EQ(stream.put("a", "1", record_position(1, 70)), 1);
	EXPECT_EQ(stream.put("a", "2", record_position(2, 3)), 1);
	EXPECT_EQ(stream.put("a", "1", record_position(1, 71)), 0);
	EXPECT_STREQ(records_find(&stream.records, "a")->value, "2");
	EXPECT_EQ(record_era(record_position(7, 12)), 7u);
	EXPECT_EQ(record_offset(record_position(7, 12)), 12u);
	EXPECT_LT(record_position(7, UINT64_MAX), record_position(8, 0));
}

/* Guards against keys that are deleted because a copy lacks them, before they
 * could be written again. */
TEST(Records, OfAnEarlierEraStayUntilTheyAreSettled)
{
	Stream stream;

	stream.put("lost", "1", record_position(1, 5));
	stream.put("again", "1", record_position(1, 6));
	stream.put("deleted", NULL, record_position(1, 7));
	stream.put("kept", "2", record_position(1, 8));
	stream.start();
	stream.list("old", "1", record_position(2, 0));
	records_keep(&stream.records, "kept", record_position(2, 1));
	records_snapshot_has(&stream.records, RECORDS_STORE, "kept");
	stream.end(record_position(2, 2));
	EXPECT_TRUE(stream.deleted.empty());
	EXPECT_STREQ(records_find(&stream.records, "lost")->value, "1");
	EXPECT_EQ(stream.put("again", "2", record_position(2, 2)), 1);
	records_settle(&stream.records, Stream::on_deleted, &stream);
	EXPECT_EQ(stream.deleted, std::vector<std::string>{"lost"});
	EXPECT_STREQ(records_find(&stream.records, "again")->value, "2");
	EXPECT_STREQ(records_find(&stream.records, "kept")->value, "2");
	EXPECT_EQ(stream.put("kept", "1", record_position(2, 1)), 0);
	EXPECT_EQ(stream.put("lost", "2", record_position(2, 0)), 1)
		<< "any record of the present era is newer";
	records_settle(&stream.records, Stream::on_deleted, &stream);
	EXPECT_EQ(stream.deleted.size(), 1u);
}

TEST(Records, AreHeldUntilTheNextOneOfTheirKey)
{
	Stream stream;

	stream.put("a", "1", 1);
	records_hold(&stream.records, "a", 7);
	EXPECT_EQ(stream.put("a", "1", 1), 0);
	EXPECT_EQ(records_find(&stream.records, "a")->held_until_us, 7);
	EXPECT_EQ(stream.put("a", "2", 2), 1);
	EXPECT_EQ(records_find(&stream.records, "a")->held_until_us, 0);
}

TEST(Records, LagIsFoundWhileAnotherReaderIsAsFarBehind)
{
	struct records_lag l = {};
	int64_t now_us = 1000;
	int found = 0;

	/*
	 * Guards against resetting the lag when a peer that is as far behind
	 * reports its offset: three hosts could not read the store, and their
	 * heartbeats arrived between those of hosts that were ahead.
	 */
	for (int heartbeat = 0; heartbeat < 4; heartbeat++, now_us += 200000) {
		found += records_lag_update(&l, 5, 6, 80000, now_us);
		records_lag_update(&l, 5, 5, 80000, now_us + 40000);
	}
	EXPECT_EQ(found, 3);
}

TEST(Records, LagEndsWithProgressOfTheReader)
{
	struct records_lag l = {};

	EXPECT_FALSE(records_lag_update(&l, 5, 6, 80000, 1000));
	EXPECT_FALSE(records_lag_update(&l, 6, 6, 80000, 90000));
	EXPECT_FALSE(records_lag_update(&l, 6, 7, 80000, 100000))
		<< "a new lag";
	EXPECT_FALSE(records_lag_update(&l, 6, 7, 80000, 179000));
	EXPECT_TRUE(records_lag_update(&l, 6, 7, 80000, 180000));
	EXPECT_FALSE(records_lag_update(&l, 6, 7, 80000, 190000))
		<< "reported a moment ago";
	EXPECT_FALSE(records_lag_update(&l, 7, 9, 80000, 400000))
		<< "progress ends the lag";
}

static std::string large_value()
{
	std::string value;

	for (int i = 0; i < 1000; i++)
		value += "{\"Name\":\"r-" + std::to_string(i * 7919) + "\"},";
	return value;
}

TEST(Records, ArePackedAndUnpacked)
{
	std::string value = large_value();
	Stream stream;
	const char *packed;
	char *unpacked;
	size_t n = 0;

	stream.put("a", value.c_str(), 1);
	packed = records_pack(&stream.records, 0, &n);
	ASSERT_NE(packed, nullptr);
	EXPECT_LT(n, value.size() / 3);
	EXPECT_EQ(records_pack(&stream.records, 0, &n), packed) << "kept";
	unpacked = record_unpack(packed, n, value.size());
	ASSERT_NE(unpacked, nullptr);
	EXPECT_EQ(unpacked, value);
	free(unpacked);
	EXPECT_EQ(record_unpack(packed, n, value.size() - 1), nullptr);
	EXPECT_EQ(record_unpack(packed, n, value.size() + 1), nullptr);
	EXPECT_EQ(record_unpack(packed, n / 2, value.size()), nullptr);
	EXPECT_EQ(record_unpack(value.c_str(), value.size(), 100), nullptr);
	EXPECT_EQ(record_unpack(packed, n, (size_t)1 << 40), nullptr);
}

TEST(Records, ArePackedAnewWhenTheirValueChanges)
{
	std::string value = large_value(), changed = value + "x";
	Stream stream;
	char *unpacked;
	const char *packed;
	size_t n = 0;

	stream.put("a", value.c_str(), 1);
	records_pack(&stream.records, 0, &n);
	stream.put("a", changed.c_str(), 2);
	packed = records_pack(&stream.records, 0, &n);
	ASSERT_NE(packed, nullptr);
	unpacked = record_unpack(packed, n, changed.size());
	ASSERT_NE(unpacked, nullptr);
	EXPECT_EQ(unpacked, changed);
	free(unpacked);
	stream.put("a", nullptr, 3);
	EXPECT_EQ(records_pack(&stream.records, 0, &n), nullptr);
	stream.put("b", "small", 4);
	EXPECT_EQ(records_pack(&stream.records, 1, &n), nullptr);
}
