#include <gtest/gtest.h>

#include <map>
#include <string>

extern "C" {
#include "fleet.h"
#include "h1.h"
}

static const int64_t MS = 1000;

struct Fleet : testing::Test {
	struct fleet f;
	int64_t now_us = 1000 * MS;
	uint64_t offset = 0;

	void SetUp() override
	{
		fleet_init(&f, "d1", 7);
	}
	void TearDown() override
	{
		fleet_finish(&f);
	}
	struct fleet_endpoint *enter(const char *id, const char *domain,
				     enum fleet_stage stage = FLEET_PLAIN,
				     bool leaving = false, int64_t born_ms = 1,
				     uint32_t cold_ms = 0)
	{
		struct fleet_entry e = {};

		snprintf(e.id, sizeof(e.id), "%s", id);
		snprintf(e.service, sizeof(e.service), "s");
		snprintf(e.domain, sizeof(e.domain), "%s", domain);
		e.stage = stage;
		e.slots = 6;
		e.draining = leaving;
		e.started_ms = born_ms;
		e.cold_remaining_ms = cold_ms;
		return fleet_upsert(&f, &e, ++offset, now_us);
	}
	struct fleet_endpoint *choose(enum fleet_stage stage = FLEET_PLAIN,
				      uint32_t tokens = 0,
				      enum fleet_result *why = nullptr,
				      uint32_t reserve = 0)
	{
		struct fleet_query w = {};
		enum fleet_result ignored;

		w.service = "s";
		w.stage = stage;
		w.kv_tokens = tokens;
		w.headroom_tokens = reserve;
		w.kv_capacity_tokens = 1000;
		w.cold_requests_per_s = 16;
		return fleet_choose(&f, &w, now_us, why ? why : &ignored);
	}
};

TEST_F(Fleet, ChoosesTheLeastLoaded)
{
	struct fleet_endpoint *a = enter("a", "d1"), *b = enter("b", "d1");

	for (int i = 0; i < 3; i++)
		fleet_request_start(a, 0, 0, now_us);
	EXPECT_EQ(choose(), b);
	b->peer_running = 6;
	EXPECT_EQ(choose(), a) << "other hosts have requests there";
}

TEST_F(Fleet, GivesNothingToWhatLeavesOrIsWithdrawn)
{
	enum fleet_result why;

	enter("a", "d1", FLEET_PLAIN, true);
	struct fleet_endpoint *b = enter("b", "d2");
	EXPECT_EQ(choose(), b);
	fleet_set_withdrawn(&f, "d2", true);
	EXPECT_EQ(choose(FLEET_PLAIN, 0, &why), nullptr);
	EXPECT_EQ(why, FLEET_NO_ENDPOINT);
	fleet_set_withdrawn(&f, "d2", false);
	EXPECT_EQ(choose(), b);
}

TEST_F(Fleet, TakesAnEndpointOutAfterFailuresAndTriesItWithOneRequest)
{
	struct fleet_endpoint *a = enter("a", "d1");
	enum fleet_result why;

	for (int i = 0; i < 3; i++)
		fleet_record_outcome(a, FLEET_FAILED, 0, now_us);
	EXPECT_EQ(choose(FLEET_PLAIN, 0, &why), nullptr);
	EXPECT_EQ(why, FLEET_ALL_EJECTED);
	now_us += 600 * MS;
	ASSERT_EQ(choose(), a);
	fleet_request_start(a, 0, 0, now_us);
	EXPECT_EQ(choose(), nullptr) << "one request is on trial";
	fleet_request_end(a, 0);
	fleet_record_outcome(a, FLEET_SUCCESS, 10 * MS, now_us);
	EXPECT_EQ(choose(), a);
	fleet_request_start(a, 0, 0, now_us);
	EXPECT_EQ(choose(), a);
}

TEST_F(Fleet, PrefersEndpointsWhoseRequestsSucceed)
{
	struct fleet_endpoint *a = enter("a", "d1"), *b = enter("b", "d1");
	std::map<struct fleet_endpoint *, int> n;

	for (int i = 0; i < 200; i++) {
		struct fleet_endpoint *e = choose();

		ASSERT_NE(e, nullptr);
		n[e]++;
		fleet_record_outcome(
			e, e == a && i % 3 ? FLEET_FAILED : FLEET_SUCCESS,
			5 * MS, now_us);
		now_us += 20 * MS;
	}
	EXPECT_GT(n[b], 4 * n[a]);
}

TEST_F(Fleet, CountsMemoryOfThisAndOtherHosts)
{
	struct fleet_endpoint *a = enter("a", "d1", FLEET_DECODE);
	enum fleet_result why;

	fleet_request_start(a, 600, 0, now_us);
	a->peer_kv_tokens = 200;
	EXPECT_EQ(fleet_free_tokens(a, 1000), 200);
	EXPECT_EQ(choose(FLEET_DECODE, 200), a);
	EXPECT_EQ(choose(FLEET_DECODE, 201, &why), nullptr);
	EXPECT_EQ(why, FLEET_ALL_FULL);
	EXPECT_EQ(choose(FLEET_DECODE, 100, nullptr, 101), nullptr)
		<< "a late request leaves some";
	fleet_request_end(a, 600);
	EXPECT_EQ(choose(FLEET_DECODE, 201), a);
}

TEST_F(Fleet, StartsWithoutBeliefsWhenAnEndpointStartsAnew)
{
	struct fleet_endpoint *a = enter("a", "d1");

	for (int i = 0; i < 5; i++)
		fleet_record_outcome(a, FLEET_CONNECT_FAILED, 0, now_us);
	EXPECT_EQ(choose(), nullptr);
	struct fleet_endpoint *again = enter("a", "d1", FLEET_PLAIN, false, 2);
	EXPECT_EQ(choose(), again);
}

TEST_F(Fleet, IgnoresAnOlderEntry)
{
	struct fleet_endpoint *a = enter("a", "d1", FLEET_PLAIN, true);
	struct fleet_entry e = a->entry;

	e.draining = false;
	EXPECT_EQ(fleet_upsert(&f, &e, 0, now_us), nullptr);
	EXPECT_EQ(choose(), nullptr);
}

TEST_F(Fleet, KeepsALapsedEndpointUntilItsTime)
{
	struct fleet_endpoint *a = enter("a", "d1");

	fleet_remove(&f, "a", ++offset, now_us + 1000 * MS, now_us);
	fleet_expire(&f, now_us);
	EXPECT_EQ(choose(), a);
	enter("a", "d1");
	now_us += 2000 * MS;
	fleet_expire(&f, now_us);
	EXPECT_EQ(choose(), a) << "it came again";
	fleet_remove(&f, "a", ++offset, now_us + 1000 * MS, now_us);
	now_us += 2000 * MS;
	fleet_expire(&f, now_us);
	EXPECT_EQ(choose(), nullptr);
	EXPECT_EQ(f.n_endpoints, 0u);
}

TEST_F(Fleet, GivesAColdEndpointThisHostsPartOfWhatItBears)
{
	int n = 0;

	f.hosts = 4;
	enter("a", "d1", FLEET_PLAIN, false, 1, 3000);
	while (struct fleet_endpoint *e = choose()) {
		fleet_request_start(e, 0, 0, now_us);
		n++;
	}
	EXPECT_EQ(n, 4) << "16 a second over 4 hosts";
	now_us += 1000 * MS;
	EXPECT_NE(choose(), nullptr);
	now_us += 3000 * MS;
	for (int i = 0; i < 10; i++) {
		ASSERT_NE(choose(), nullptr) << "no longer cold";
		fleet_request_start(choose(), 0, 0, now_us);
	}
}

TEST_F(Fleet, LivesOnWhileARequestHoldsIt)
{
	struct fleet_endpoint *a = fleet_ref(enter("a", "d1"));

	fleet_remove(&f, "a", ++offset, now_us, now_us);
	EXPECT_EQ(f.n_endpoints, 0u);
	EXPECT_FALSE(a->listed);
	EXPECT_FALSE(fleet_is_usable(&f, a));
	fleet_unref(a);
}

TEST_F(Fleet, CountsWhatARequestGrewBy)
{
	struct fleet_endpoint *a = enter("a", "d1", FLEET_DECODE);

	fleet_request_start(a, 600, 0, now_us);
	EXPECT_EQ(choose(FLEET_DECODE, 300), a);
	fleet_request_grow(a, 200);
	EXPECT_EQ(choose(FLEET_DECODE, 300), nullptr);
	fleet_request_end(a, 800);
	EXPECT_EQ(fleet_free_tokens(a, 1000), 1000);
}
