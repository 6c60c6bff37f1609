#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <string>
#include <vector>

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
	struct fleet_endpoint *upsert(const char *id, const char *domain,
				      enum fleet_stage stage = FLEET_PLAIN,
				      bool draining = false,
				      int64_t started_ms = 1,
				      uint32_t cold_remaining_ms = 0)
	{
		struct fleet_entry e = {};

		snprintf(e.id, sizeof(e.id), "%s", id);
		snprintf(e.service, sizeof(e.service), "s");
		snprintf(e.domain, sizeof(e.domain), "%s", domain);
		e.stage = stage;
		e.slots = 6;
		e.draining = draining;
		e.started_ms = started_ms;
		e.cold_remaining_ms = cold_remaining_ms;
		return fleet_upsert(&f, &e, ++offset, now_us);
	}
	struct fleet_endpoint *choose(enum fleet_stage stage = FLEET_PLAIN,
				      uint32_t kv_tokens = 0,
				      enum fleet_result *result = nullptr,
				      uint32_t headroom = 0)
	{
		struct fleet_query q = {};
		enum fleet_result ignored;

		q.service = "s";
		q.stage = stage;
		q.kv_tokens = kv_tokens;
		q.headroom_tokens = headroom;
		q.kv_capacity_tokens = 1000;
		q.cold_requests_per_s = 16;
		return fleet_choose(&f, &q, now_us, result ? result : &ignored);
	}
};

TEST_F(Fleet, ChoosesTheLeastLoadedEndpoint)
{
	struct fleet_endpoint *a = upsert("a", "d1"), *b = upsert("b", "d1");

	for (int i = 0; i < 3; i++)
		fleet_request_start(a, 0, 0);
	EXPECT_EQ(choose(), b);
	b->peer_running = 6;
	EXPECT_EQ(choose(), a) << "other hosts run requests on b";
}

TEST_F(Fleet, ExcludesDrainingEndpointsAndWithdrawnDomains)
{
	enum fleet_result result;

	upsert("a", "d1", FLEET_PLAIN, true);
	struct fleet_endpoint *b = upsert("b", "d2");
	EXPECT_EQ(choose(), b);
	fleet_set_withdrawn(&f, "d2", true);
	EXPECT_EQ(choose(FLEET_PLAIN, 0, &result), nullptr);
	EXPECT_EQ(result, FLEET_NO_ENDPOINT);
	fleet_set_withdrawn(&f, "d2", false);
	EXPECT_EQ(choose(), b);
}

/* Guards against a request of one side of a rollout at an endpoint of the other. */
TEST_F(Fleet, ChoosesByVersion)
{
	struct fleet_endpoint *a = upsert("a", "d1"), *b = upsert("b", "d1");
	struct fleet_query q = {};
	enum fleet_result result;

	snprintf(a->entry.version, sizeof(a->entry.version), "v1");
	snprintf(b->entry.version, sizeof(b->entry.version), "v2");
	q.service = "s";
	q.stage = FLEET_PLAIN;
	q.version = "v2";
	for (int i = 0; i < 20; i++) {
		q.version_match = FLEET_VERSION_IS;
		EXPECT_EQ(fleet_choose(&f, &q, now_us, &result), b);
		q.version_match = FLEET_VERSION_IS_NOT;
		EXPECT_EQ(fleet_choose(&f, &q, now_us, &result), a);
	}
	q.version_match = FLEET_VERSION_ANY;
	q.excluded_version = "v2";
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(fleet_choose(&f, &q, now_us, &result), a);
	q.excluded_version = nullptr;
	q.version = "v3";
	q.version_match = FLEET_VERSION_IS;
	EXPECT_EQ(fleet_choose(&f, &q, now_us, &result), nullptr);
	EXPECT_EQ(result, FLEET_NO_ENDPOINT);
}

TEST_F(Fleet, EjectsAnEndpointAfterFailuresAndProbesItWithOneRequest)
{
	struct fleet_endpoint *a = upsert("a", "d1");
	enum fleet_result result;

	for (int i = 0; i < 3; i++)
		fleet_record_outcome(a, FLEET_FAILED, 0, now_us);
	EXPECT_EQ(choose(FLEET_PLAIN, 0, &result), nullptr);
	EXPECT_EQ(result, FLEET_ALL_EJECTED);
	now_us += 600 * MS;
	ASSERT_EQ(choose(), a);
	fleet_request_start(a, 0, 0);
	EXPECT_EQ(choose(), nullptr) << "one probe at a time";
	fleet_request_end(a, 0);
	fleet_record_outcome(a, FLEET_SUCCESS, 10 * MS, now_us);
	EXPECT_EQ(choose(), a);
	fleet_request_start(a, 0, 0);
	EXPECT_EQ(choose(), a);
}

TEST_F(Fleet, PrefersEndpointsWithALowFailureRate)
{
	struct fleet_endpoint *a = upsert("a", "d1"), *b = upsert("b", "d1");
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

TEST_F(Fleet, CountsKvMemoryUsedByThisAndOtherHosts)
{
	struct fleet_endpoint *a = upsert("a", "d1", FLEET_DECODE);
	enum fleet_result result;

	fleet_request_start(a, 600, 0);
	a->peer_kv_tokens = 200;
	EXPECT_EQ(fleet_free_tokens(a, 1000), 200);
	EXPECT_EQ(choose(FLEET_DECODE, 200), a);
	EXPECT_EQ(choose(FLEET_DECODE, 201, &result), nullptr);
	EXPECT_EQ(result, FLEET_ALL_FULL);
	EXPECT_EQ(choose(FLEET_DECODE, 100, nullptr, 101), nullptr)
		<< "leaves the headroom free";
	fleet_request_end(a, 600);
	EXPECT_EQ(choose(FLEET_DECODE, 201), a);
}

TEST_F(Fleet, DiscardsTheHealthHistoryOfARestartedEndpoint)
{
	struct fleet_endpoint *a = upsert("a", "d1");

	for (int i = 0; i < 5; i++)
		fleet_record_outcome(a, FLEET_CONNECT_FAILED, 0, now_us);
	EXPECT_EQ(choose(), nullptr);
	struct fleet_endpoint *again = upsert("a", "d1", FLEET_PLAIN, false, 2);
	EXPECT_EQ(choose(), again);
}

TEST_F(Fleet, IgnoresAnEntryWithALowerOffset)
{
	struct fleet_endpoint *a = upsert("a", "d1", FLEET_PLAIN, true);
	struct fleet_entry e = a->entry;

	e.draining = false;
	EXPECT_EQ(fleet_upsert(&f, &e, 0, now_us), nullptr);
	EXPECT_EQ(choose(), nullptr);
}

TEST_F(Fleet, KeepsAnEndpointUntilItsScheduledRemoval)
{
	struct fleet_endpoint *a = upsert("a", "d1");

	fleet_remove(&f, "a", ++offset, now_us + 1000 * MS, now_us);
	fleet_expire(&f, now_us);
	EXPECT_EQ(choose(), a);
	upsert("a", "d1");
	now_us += 2000 * MS;
	fleet_expire(&f, now_us);
	EXPECT_EQ(choose(), a) << "the new entry canceled the removal";
	fleet_remove(&f, "a", ++offset, now_us + 1000 * MS, now_us);
	now_us += 2000 * MS;
	fleet_expire(&f, now_us);
	EXPECT_EQ(choose(), nullptr);
	EXPECT_EQ(f.n_endpoints, 0u);
}

TEST_F(Fleet, LimitsAColdEndpointToThisHostsShareOfItsRate)
{
	int n = 0;

	f.hosts = 4;
	upsert("a", "d1", FLEET_PLAIN, false, 1, 3000);
	while (struct fleet_endpoint *e = choose()) {
		fleet_request_start(e, 0, 0);
		n++;
	}
	EXPECT_EQ(n, 4) << "16 requests a second shared by 4 hosts";
	now_us += 1000 * MS;
	EXPECT_NE(choose(), nullptr);
	now_us += 3000 * MS;
	for (int i = 0; i < 10; i++) {
		ASSERT_NE(choose(), nullptr) << "the warm-up has ended";
		fleet_request_start(choose(), 0, 0);
	}
}

TEST_F(Fleet, KeepsARemovedEndpointAllocatedWhileReferenced)
{
	struct fleet_endpoint *a = fleet_ref(upsert("a", "d1"));

	fleet_remove(&f, "a", ++offset, now_us, now_us);
	EXPECT_EQ(f.n_endpoints, 0u);
	EXPECT_FALSE(a->listed);
	EXPECT_FALSE(fleet_is_usable(&f, a));
	fleet_unref(a);
}

TEST_F(Fleet, CountsKvMemoryBeyondTheExpected)
{
	struct fleet_endpoint *a = upsert("a", "d1", FLEET_DECODE);

	fleet_request_start(a, 600, 0);
	EXPECT_EQ(choose(FLEET_DECODE, 300), a);
	fleet_request_grow(a, 200);
	EXPECT_EQ(choose(FLEET_DECODE, 300), nullptr);
	fleet_request_end(a, 800);
	EXPECT_EQ(fleet_free_tokens(a, 1000), 1000);
}

constexpr int STEPS_PER_S = 100;

/*
 * Hosts that all have work for one endpoint for some seconds. Returns how many
 * requests it got in each hundredth of a second. The endpoint names a limit, or
 * warms up, at rate_per_s over all hosts. The clocks of a third of them are ahead.
 */
static std::vector<int> simulate_hosts(enum fleet_stage stage, int hosts,
				       double rate_per_s, bool limited,
				       int seconds, int64_t ahead_us = 0)
{
	std::vector<struct fleet> host(hosts);
	std::vector<int> sent(seconds * STEPS_PER_S);

	for (int i = 0; i < hosts; i++) {
		struct fleet_entry e = {};
		struct fleet_endpoint *added;

		fleet_init(&host[i], "d1", (uint64_t)i * 7919);
		fleet_set_demand(&host[i], hosts, 0, 0);
		fleet_set_rank(&host[i], i, hosts,
			       123456789 + (i % 3 ? 0 : ahead_us), 1);
		snprintf(e.id, sizeof(e.id), "e");
		snprintf(e.service, sizeof(e.service), "s");
		e.stage = stage;
		e.slots = 6;
		e.cold_remaining_ms = limited ? 0 : 60000;
		added = fleet_upsert(&host[i], &e, 1, 1);
		if (limited)
			fleet_record_limit(&host[i], added, rate_per_s * 1000,
					   1000000);
	}
	for (int t = 0; t < seconds * STEPS_PER_S; t++) {
		for (int i = 0; i < hosts; i++) {
			struct fleet_query q = {};
			enum fleet_result result;
			struct fleet_endpoint *e;
			int64_t now_us = 2000000 + t * 10 * MS;

			if ((t + i) % 25)
				continue;
			q.service = "s";
			q.stage = stage;
			q.cold_requests_per_s = limited ? 0 : rate_per_s;
			e = fleet_choose(&host[i], &q, now_us, &result);
			if (!e)
				continue;
			if (stage == FLEET_PREFILL) {
				fleet_prefill_start(e, 3000);
				fleet_prefill_end(e, 3000);
			} else {
				fleet_request_start(e, 0, 0);
				fleet_request_end(e, 0);
			}
			sent[t]++;
		}
	}
	for (auto &f : host)
		fleet_finish(&f);
	return sent;
}

/* Returns the most requests within any window of so many seconds. */
static int most_within(const std::vector<int> &sent, int seconds)
{
	int most = 0, window = 0;
	size_t n = (size_t)seconds * STEPS_PER_S;

	for (size_t t = 0; t < sent.size(); t++) {
		window += sent[t] - (t >= n ? sent[t - n] : 0);
		most = std::max(most, window);
	}
	return most;
}

static double per_second(const std::vector<int> &sent)
{
	return std::accumulate(sent.begin(), sent.end(), 0.) * STEPS_PER_S /
	       (double)sent.size();
}

/*
 * An endpoint that warms up, among 295 hosts that all have work for it: together
 * they stay within its rate of 10 requests per second (times 1.5, and 5), and
 * use most of it. Guards against a share of less than one request per second
 * that was rounded up for each host, and against prefills that did not count.
 */
static void simulate_cold_endpoint(enum fleet_stage stage)
{
	std::vector<int> sent = simulate_hosts(stage, 295, 10, false, 20);

	printf("most in a second %d, on average %.1f\n", most_within(sent, 1),
	       per_second(sent));
	EXPECT_LE(most_within(sent, 1), 10 * 1.5 + 5);
	EXPECT_GE(per_second(sent), 10 / 2.);
}

/*
 * Guards against more requests from all hosts together than an endpoint names
 * as its limit: in 4 s, once and a half the limit, and 5.
 */
TEST_F(Fleet, AllHostsTogetherKeepToTheLimitOfAnEndpoint)
{
	for (int hosts : {2, 8, 65, 295})
		for (double limit : {1., 2.5, 20., 400.}) {
			std::vector<int> sent = simulate_hosts(
				FLEET_DECODE, hosts, limit, true, 60);

			EXPECT_LE(most_within(sent, 4), 4 * 1.5 * limit + 5)
				<< hosts << " hosts, " << limit;
			EXPECT_GE(per_second(sent),
				  std::min(limit * 0.9, hosts * 2.))
				<< hosts << " hosts, " << limit;
		}
}

/* Guards against hosts that take the turns of others, as their clocks are ahead. */
TEST_F(Fleet, HostsWhoseClocksAreAheadKeepToTheLimitOfAnEndpoint)
{
	for (int hosts : {24, 65, 295})
		for (double limit : {1., 2.5, 20.})
			for (int64_t ahead_us :
			     {-2000 * MS, 700 * MS, 3000 * MS})
				EXPECT_LE(
					most_within(simulate_hosts(FLEET_DECODE,
								   hosts, limit,
								   true, 60,
								   ahead_us),
						    4),
					4 * 1.5 * limit + 5)
					<< hosts << " hosts, " << limit << ", "
					<< ahead_us;
}

/* Guards against a host that wakes from a freeze and takes what an endpoint said as
 * over, or uses up at once what it could have sent meanwhile. */
TEST_F(Fleet, AFreezeDoesNotEndWhatAnEndpointSaid)
{
	struct fleet_endpoint *leaving = upsert("a", "d1"),
			      *unwanted = upsert("b", "d1"),
			      *limited = upsert("c", "d1");
	int sent = 0;

	fleet_record_leaving(leaving, now_us);
	fleet_record_unwanted(&f, unwanted, 3000 * MS, now_us);
	fleet_set_demand(&f, 2, 0, 0);
	fleet_record_limit(&f, limited, 2000, now_us);
	now_us += 30000 * MS;
	fleet_expire(&f, now_us);
	for (int i = 0; i < 20; i++) {
		struct fleet_endpoint *e = choose();

		if (!e)
			continue;
		EXPECT_NE(e, leaving);
		fleet_request_start(e, 0, 0);
		sent++;
	}
	EXPECT_LE(sent, 1 + 1.5 * 2 * 4 + 5);
	EXPECT_EQ(unwanted->running, 1u) << "one request at first";
}

/* Guards against a limit that is left unused, as the hosts with little work have
 * an equal share of it. */
TEST_F(Fleet, AHostWithMoreWaitingRequestsHasMoreOfALimit)
{
	struct fleet_endpoint *e = upsert("a", "d1", FLEET_DECODE);
	int sent = 0;

	fleet_set_demand(&f, 8, 12, 16);
	fleet_record_limit(&f, e, 2000, now_us);
	for (int i = 0; i < 3000; i++, now_us += 20 * MS)
		if (choose(FLEET_DECODE)) {
			fleet_request_start(e, 0, 0);
			fleet_request_end(e, 0);
			sent++;
		}
	EXPECT_NEAR(sent, 60 * 2. * 13 / 24, 2);
}

/* Guards against shares that add up while there is little work, and are all used
 * at once. */
TEST_F(Fleet, ALimitIsKeptAfterATimeOfLittleWork)
{
	std::vector<struct fleet> host(24);
	int sent = 0;

	for (int i = 0; i < 24; i++) {
		struct fleet_entry entry = {};

		fleet_init(&host[i], "d1", (uint64_t)i * 104729);
		fleet_set_demand(&host[i], 24, 0, 0);
		fleet_set_rank(&host[i], i, 24, 0, now_us);
		snprintf(entry.id, sizeof(entry.id), "e");
		snprintf(entry.service, sizeof(entry.service), "s");
		entry.stage = FLEET_DECODE;
		fleet_record_limit(&host[i],
				   fleet_upsert(&host[i], &entry, 1, now_us),
				   2000, now_us);
	}
	now_us += 1000000 * MS;
	for (int t = 0; t < 200; t++, now_us += 20 * MS)
		for (struct fleet &h : host) {
			struct fleet_query q = {};
			enum fleet_result result;
			struct fleet_endpoint *e;

			q.service = "s";
			q.stage = FLEET_DECODE;
			e = fleet_choose(&h, &q, now_us, &result);
			if (!e)
				continue;
			fleet_request_start(e, 0, 0);
			sent++;
		}
	EXPECT_LE(sent, 4 * 1.5 * 2 + 5);
	for (struct fleet &h : host)
		fleet_finish(&h);
}

TEST_F(Fleet, ALimitEndsByAnAnswer)
{
	struct fleet_endpoint *e = upsert("a", "d1", FLEET_PLAIN);

	EXPECT_FALSE(fleet_record_limit(&f, e, 0, now_us));
	EXPECT_TRUE(fleet_record_limit(&f, e, 1, now_us + 1));
	EXPECT_TRUE(fleet_is_limited(e));
	EXPECT_FALSE(fleet_record_limit(&f, e, 0, now_us)) << "older answer";
	EXPECT_TRUE(fleet_is_limited(e));
	EXPECT_EQ(e->limit.milli_per_s, 100u) << "bounded";
	EXPECT_TRUE(fleet_record_limit(&f, e, 0, now_us + 2));
	EXPECT_FALSE(fleet_is_limited(e));
}

/* Guards against a limit that is forgotten when the entry of an endpoint lapses:
 * it may only be cut off from the store. */
TEST_F(Fleet, AnEndpointReturnsAsItWas)
{
	struct fleet_endpoint *e = upsert("a", "d1", FLEET_DECODE);

	fleet_record_limit(&f, e, 1000, now_us);
	fleet_request_start(e, 300, 0);
	fleet_remove(&f, "a", ++offset, now_us, now_us);
	EXPECT_EQ(fleet_find(&f, "a"), nullptr);
	EXPECT_EQ(choose(FLEET_DECODE), nullptr);
	now_us += 500000 * MS;
	fleet_expire(&f, now_us);
	EXPECT_EQ(upsert("a", "d1", FLEET_DECODE), e);
	EXPECT_TRUE(e->listed);
	EXPECT_TRUE(fleet_is_limited(e));
	EXPECT_EQ(fleet_free_tokens(e, 1000), 700);
	fleet_remove(&f, "a", ++offset, now_us, now_us);
	e = upsert("a", "d1", FLEET_DECODE, false, 2);
	EXPECT_FALSE(fleet_is_limited(e)) << "restarted";
	EXPECT_EQ(fleet_free_tokens(e, 1000), 1000);
}

TEST_F(Fleet, ForgetsARemovedEndpointAfterAWhile)
{
	struct fleet_endpoint *e = fleet_ref(upsert("a", "d1"));

	fleet_record_limit(&f, e, 1000, now_us);
	fleet_remove(&f, "a", ++offset, now_us, now_us);
	EXPECT_EQ(e->refs, 2u);
	now_us += 600000 * MS;
	fleet_expire(&f, now_us);
	EXPECT_EQ(e->refs, 1u);
	EXPECT_FALSE(fleet_is_limited(upsert("a", "d1")));
	fleet_unref(e);
}

/* Guards against an endpoint that is used although it said that it leaves: by an
 * entry that says otherwise, or since its entry lapsed. */
TEST_F(Fleet, AnEndpointThatLeavesIsNotChosenWhileItsStartLives)
{
	struct fleet_endpoint *e = upsert("a", "d1");

	EXPECT_TRUE(fleet_record_leaving(e, now_us));
	EXPECT_FALSE(fleet_record_leaving(e, now_us + 1));
	EXPECT_EQ(choose(), nullptr);
	upsert("a", "d1");
	EXPECT_EQ(choose(), nullptr) << "its entry changed";
	fleet_remove(&f, "a", ++offset, now_us, now_us);
	upsert("a", "d1");
	EXPECT_EQ(choose(), nullptr) << "its entry returned";
	e = upsert("a", "d1", FLEET_PLAIN, false, 2);
	EXPECT_EQ(choose(), e) << "it started again";
}

TEST_F(Fleet, AnEndpointThatLeavesForTooLongIsChosenAgain)
{
	struct fleet_endpoint *e = upsert("a", "d1");

	fleet_record_leaving(e, now_us);
	now_us += 299000 * MS;
	fleet_expire(&f, now_us);
	EXPECT_EQ(choose(), nullptr);
	now_us += 1000 * MS;
	fleet_expire(&f, now_us);
	EXPECT_EQ(choose(), e);
}

TEST_F(Fleet, KeepsAwayFromAnEndpointAndReturnsWithOneRequest)
{
	struct fleet_endpoint *e = upsert("a", "d1");
	int64_t until_us;

	fleet_record_unwanted(&f, e, 2000 * MS, now_us);
	until_us = e->unwanted_until_us;
	EXPECT_GE(until_us, now_us + 2000 * MS);
	EXPECT_LE(until_us, now_us + 2500 * MS);
	fleet_record_unwanted(&f, e, 100 * MS, now_us);
	EXPECT_EQ(e->unwanted_until_us, until_us) << "the longer wait holds";
	now_us = until_us - 1;
	EXPECT_EQ(choose(), nullptr);
	now_us = until_us;
	ASSERT_EQ(choose(), e);
	fleet_request_start(e, 0, 0);
	EXPECT_EQ(choose(), nullptr) << "one request at first";
	now_us += MS;
	fleet_request_end(e, 0);
	fleet_record_outcome(e, FLEET_SUCCESS, MS, now_us);
	fleet_request_start(e, 0, 0);
	EXPECT_EQ(choose(), e);
}

/* Guards against requests to an endpoint that wants none, since one that it had
 * accepted before ends well. */
TEST_F(Fleet, AnAnswerToAnEarlierRequestDoesNotEndTheTimeToKeepAway)
{
	struct fleet_endpoint *e = upsert("a", "d1");

	fleet_request_start(e, 0, 0);
	fleet_request_start(e, 0, 0);
	now_us += 1000 * MS;
	fleet_record_unwanted(&f, e, 2000 * MS, now_us);
	now_us += 500 * MS;
	fleet_record_outcome(e, FLEET_SUCCESS, 1500 * MS, now_us);
	fleet_request_end(e, 0);
	EXPECT_EQ(choose(), nullptr);
	now_us = e->unwanted_until_us;
	fleet_record_outcome(e, FLEET_SUCCESS, 3500 * MS, now_us);
	fleet_request_end(e, 0);
	ASSERT_EQ(choose(), e);
	fleet_request_start(e, 0, 0);
	EXPECT_EQ(choose(), nullptr) << "one request at first";
	fleet_record_outcome(e, FLEET_SUCCESS, 0, now_us);
	fleet_request_end(e, 0);
	fleet_request_start(e, 0, 0);
	EXPECT_EQ(choose(), e);
}

/* Guards against hosts that all return at the same moment. */
TEST_F(Fleet, HostsReturnAtDifferentTimes)
{
	std::map<int64_t, int> returns;

	for (uint64_t i = 0; i < 100; i++) {
		struct fleet host;
		struct fleet_entry entry = {};
		struct fleet_endpoint *e;

		fleet_init(&host, "d1", i * 104729);
		e = fleet_upsert(&host, &entry, 1, now_us);
		fleet_record_unwanted(&host, e, 2000 * MS, now_us);
		returns[(e->unwanted_until_us - now_us) / (100 * MS)]++;
		fleet_finish(&host);
	}
	for (auto &[time, hosts] : returns)
		EXPECT_LE(hosts, 50) << time;
}

TEST_F(Fleet, TellsHowLongNoEndpointCanServe)
{
	struct fleet_endpoint *a = upsert("a", "d1"), *b = upsert("b", "d1");
	struct fleet_query q = {};

	q.service = "s";
	q.stage = FLEET_PLAIN;
	EXPECT_EQ(fleet_wait_us(&f, &q, now_us), 0);
	fleet_record_leaving(a, now_us);
	EXPECT_EQ(fleet_wait_us(&f, &q, now_us), 0);
	fleet_record_unwanted(&f, b, 1000 * MS, now_us);
	EXPECT_EQ(fleet_wait_us(&f, &q, now_us), b->unwanted_until_us - now_us);
	fleet_record_leaving(b, now_us);
	EXPECT_GT(fleet_wait_us(&f, &q, now_us), 1000000000 * MS)
		<< "all leave";
	q.stage = FLEET_DECODE;
	EXPECT_EQ(fleet_wait_us(&f, &q, now_us), 0) << "not known";
}

TEST_F(Fleet, HundredsOfHostsShareTheRateOfAColdEndpoint)
{
	simulate_cold_endpoint(FLEET_PLAIN);
}

TEST_F(Fleet, PrefillsCountAgainstTheRateOfAColdEndpoint)
{
	simulate_cold_endpoint(FLEET_PREFILL);
}

/* Guards against an endpoint that is frozen and gets requests for ever, as each of
 * them is answered by another endpoint before it times out. */
TEST_F(Fleet, EjectsAnEndpointThatIsSilentAgainAndAgain)
{
	struct fleet_endpoint *a = upsert("a", "d1");

	fleet_record_outcome(a, FLEET_SILENT, 0, now_us);
	fleet_record_outcome(a, FLEET_SILENT, 0, now_us);
	EXPECT_EQ(choose(), a);
	EXPECT_EQ(a->failure_rate, 0) << "slow now and then is no failure";
	fleet_record_outcome(a, FLEET_SUCCESS, 10 * MS, now_us);
	fleet_record_outcome(a, FLEET_SILENT, 0, now_us);
	EXPECT_EQ(choose(), a);
	fleet_record_outcome(a, FLEET_SILENT, 0, now_us);
	fleet_record_outcome(a, FLEET_SILENT, 0, now_us);
	EXPECT_EQ(choose(), nullptr);
}

TEST_F(Fleet, APrefillIsTheProbeOfAnEjectedEndpoint)
{
	struct fleet_endpoint *e = upsert("a", "d1", FLEET_PREFILL);

	for (int i = 0; i < 3; i++)
		fleet_record_outcome(e, FLEET_FAILED, MS, now_us);
	EXPECT_EQ(choose(FLEET_PREFILL), nullptr);
	now_us += 600 * MS;
	ASSERT_EQ(choose(FLEET_PREFILL), e);
	fleet_prefill_start(e, 3000);
	EXPECT_EQ(choose(FLEET_PREFILL), nullptr) << "one probe at a time";
	fleet_prefill_end(e, 3000);
	EXPECT_EQ(choose(FLEET_PREFILL), e);
}

/* A full endpoint is asked less often with each refusal, until one fits. */
TEST_F(Fleet, BacksOffFromAFullEndpoint)
{
	struct fleet_endpoint *e = upsert("a", "d1", FLEET_DECODE);
	int asked = 0;

	for (int i = 0; i < 200; i++, now_us += 5 * MS)
		if (choose(FLEET_DECODE)) {
			fleet_record_outcome(e, FLEET_OVERLOADED, 0, now_us);
			asked++;
		}
	EXPECT_LE(asked, 8) << "in a second";
	now_us += 300 * MS;
	fleet_record_capacity(e, now_us);
	fleet_record_outcome(e, FLEET_OVERLOADED, 0, now_us);
	EXPECT_EQ(choose(FLEET_DECODE), nullptr);
	now_us += 31 * MS;
	EXPECT_EQ(choose(FLEET_DECODE), e);
}

/* Guards against an endpoint that is used again after it left, because the store came
 * back from a copy that is older than its last entry. */
TEST_F(Fleet, KnowsEntriesThatAreOlderThanTheLastOne)
{
	struct fleet_entry entry = upsert("a", "d1")->entry;

	entry.started_ms = 1700000000000;
	entry.sequence = 5;
	fleet_upsert(&f, &entry, ++offset, now_us);
	EXPECT_FALSE(fleet_knows_newer(&f, &entry)) << "the same entry";
	entry.sequence = 4;
	EXPECT_TRUE(fleet_knows_newer(&f, &entry));
	entry.sequence = 6;
	EXPECT_FALSE(fleet_knows_newer(&f, &entry));
	entry.started_ms--;
	EXPECT_TRUE(fleet_knows_newer(&f, &entry)) << "of an earlier start";
	entry.started_ms += 2;
	entry.sequence = 1;
	EXPECT_FALSE(fleet_knows_newer(&f, &entry)) << "of a later start";

	fleet_remove(&f, "a", ++offset, 0, now_us);
	entry.started_ms--;
	entry.sequence = 5;
	EXPECT_TRUE(fleet_knows_newer(&f, &entry)) << "its last before it left";
	entry.sequence = 6;
	EXPECT_FALSE(fleet_knows_newer(&f, &entry));
	entry.sequence = 0;
	EXPECT_FALSE(fleet_knows_newer(&f, &entry)) << "unknown";
	entry.sequence = 4;
	EXPECT_TRUE(fleet_knows_newer(&f, &entry));
	entry.started_ms = 0;
	EXPECT_FALSE(fleet_knows_newer(&f, &entry)) << "unknown";
	snprintf(entry.id, sizeof(entry.id), "other");
	entry.sequence = 0;
	EXPECT_FALSE(fleet_knows_newer(&f, &entry));
}
