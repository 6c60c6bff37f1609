#include <gtest/gtest.h>

#include <cstring>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "admit.h"
}

namespace
{

constexpr int64_t S = 1000000;

struct Allocator : ::testing::Test {
	struct admit_allocator al = {};
	uint64_t boot = 1;

	void SetUp() override
	{
		ASSERT_EQ(0, admit_alloc_init(&al, 16, 32));
	}

	void TearDown() override
	{
		admit_alloc_finish(&al);
	}

	void apply_report(int64_t at_us,
			  const std::vector<std::string> &running,
			  bool cold = false, bool draining = false)
	{
		std::vector<char> names(64 * (running.size() + 1));
		struct admit_report r = {};

		for (size_t i = 0; i < running.size(); i++)
			strcpy(&names[64 * i], running[i].c_str());
		r.queried_us = at_us;
		r.boot = boot;
		r.slots_used = r.running_n = running.size();
		r.pieces_used = running.size();
		r.cold = cold;
		r.draining = draining;
		r.running = reinterpret_cast<const char(*)[64]>(names.data());
		admit_alloc_apply_report(&al, &r, at_us);
	}

	/* Makes an owner without previous owners that grants from 10 s on. */
	void activate()
	{
		admit_alloc_take_over(&al, 1, 0);
		admit_alloc_await_expiry(&al, 0);
		apply_report(10 * S, {});
		al.window = al.slots;
	}

	enum admit_outcome request(const char *run, int64_t at_us,
				   uint32_t pieces = 1)
	{
		struct admit_request req = {};

		req.run = run;
		req.pieces = pieces;
		return admit_alloc_grant(&al, &req, at_us);
	}
};

TEST_F(Allocator, GrantsEachRunOnceAndNeverExceedsSlotsOrPieces)
{
	activate();
	EXPECT_EQ(ADMIT_GRANTED, request("a", 10 * S, 30));
	EXPECT_EQ(ADMIT_GRANTED, request("a", 10 * S, 30));
	EXPECT_EQ(1u, al.grant_n);
	EXPECT_EQ(ADMIT_FULL, request("b", 10 * S, 3));
	EXPECT_EQ(ADMIT_GRANTED, request("b", 10 * S, 2));
	admit_alloc_release(&al, "a", 0, ADMIT_END_COMPLETE, 11 * S);
	admit_alloc_release(&al, "a", 0, ADMIT_END_COMPLETE, 11 * S);
	EXPECT_EQ(1u, al.grant_n);
	EXPECT_EQ(ADMIT_ALREADY_RELEASED, request("a", 11 * S));
	for (int i = 0; i < 15; i++)
		EXPECT_EQ(ADMIT_GRANTED,
			  request(std::to_string(i).c_str(), 11 * S));
	EXPECT_EQ(ADMIT_FULL, request("z", 11 * S));
}

TEST_F(Allocator, ReleaseThatOvertakesItsRequestLeaksNothing)
{
	activate();
	admit_alloc_release(&al, "a", 0, ADMIT_END_UNUSED, 10 * S);
	EXPECT_EQ(ADMIT_ALREADY_RELEASED, request("a", 10 * S));
	EXPECT_EQ(0u, al.grant_n);
}

TEST_F(Allocator, RunThatReleasedItsSlotUnusedMayRequestAgain)
{
	struct admit_request req = {};

	activate();
	request("a", 10 * S);
	admit_alloc_release(&al, "a", 0, ADMIT_END_UNUSED, 10 * S);
	req.run = "a";
	req.pieces = 1;
	req.serial = 1;
	EXPECT_EQ(ADMIT_GRANTED, admit_alloc_grant(&al, &req, 10 * S));
	admit_alloc_release(&al, "a", 0, ADMIT_END_UNUSED, 10 * S);
	EXPECT_EQ(1u, al.grant_n);
	req.serial = 2;
	EXPECT_EQ(ADMIT_GRANTED, admit_alloc_grant(&al, &req, 11 * S));
	EXPECT_EQ(1u, al.grant_n);
	admit_alloc_release(&al, "a", 2, ADMIT_END_UNUSED, 11 * S);
	EXPECT_EQ(0u, al.grant_n);
	EXPECT_EQ(ADMIT_ALREADY_RELEASED, admit_alloc_grant(&al, &req, 11 * S));
}

TEST_F(Allocator, PopsAsManyWaitersAsThereAreFreeSlots)
{
	char out[ADMIT_WAITERS_MAX][MEMBER_NAME_BYTES];

	activate();
	for (int i = 0; i < 16; i++)
		request(std::to_string(i).c_str(), 10 * S);
	admit_alloc_add_waiter(&al, "h1");
	admit_alloc_add_waiter(&al, "h2");
	admit_alloc_add_waiter(&al, "h1");
	EXPECT_EQ(0u, admit_alloc_pop_waiters(&al, out));
	admit_alloc_release(&al, "3", 0, ADMIT_END_COMPLETE, 11 * S);
	ASSERT_EQ(1u, admit_alloc_pop_waiters(&al, out));
	EXPECT_STREQ("h1", out[0]);
	ASSERT_EQ(1u, admit_alloc_pop_waiters(&al, out));
	EXPECT_STREQ("h2", out[0]);
	EXPECT_EQ(0u, admit_alloc_pop_waiters(&al, out));
}

TEST_F(Allocator, KeepsSlotOfCanceledRunUntilReportOmitsIt)
{
	activate();
	request("a", 10 * S);
	apply_report(11 * S, {"a"});
	admit_alloc_release(&al, "a", 0, ADMIT_END_UNKNOWN, 12 * S);
	apply_report(13 * S, {"a"});
	EXPECT_EQ(1u, al.grant_n);
	apply_report(14 * S, {});
	EXPECT_EQ(0u, al.grant_n);
}

TEST_F(Allocator, UnusedGrantExpiresOnlyWhenRunCannotStartAnyMore)
{
	activate();
	request("a", 10 * S);
	apply_report(13 * S, {});
	EXPECT_EQ(1u, al.grant_n);
	apply_report(13 * S + S / 2, {});
	EXPECT_EQ(0u, al.grant_n);
}

TEST_F(Allocator, NewOwnerWaitsForExpiryAndCountsUntrackedRuns)
{
	admit_alloc_take_over(&al, 2, 10 * S);
	admit_alloc_await_expiry(&al, 10 * S);
	apply_report(13 * S, {});
	EXPECT_EQ(ADMIT_UNAVAILABLE, request("a", 13 * S));
	apply_report(16 * S, {"x", "y", "z"});
	EXPECT_EQ(3u, al.untracked_slots);
	EXPECT_EQ(3u, al.window);
	EXPECT_EQ(ADMIT_FULL, request("a", 16 * S));
	apply_report(17 * S, {"x"});
	EXPECT_EQ(ADMIT_GRANTED, request("a", 17 * S));
}

TEST_F(Allocator, NewOwnerGrantsNothingUntilHandoverOrExpiry)
{
	struct admit_handover h = {};
	struct admit_grant g = {};

	admit_alloc_take_over(&al, 2, 0);
	apply_report(60 * S, {});
	EXPECT_EQ(ADMIT_UNAVAILABLE, request("a", 60 * S));
	strcpy(g.run, "old");
	g.pieces = 4;
	g.start_deadline_us = 62 * S;
	h.grant = &g;
	h.grant_n = 1;
	h.fence = 1;
	admit_alloc_adopt(&al, &h, 60 * S);
	EXPECT_EQ(1u, al.fence);
	EXPECT_EQ(ADMIT_GRANTED, request("a", 60 * S));
	EXPECT_EQ(2u, al.grant_n);
	admit_alloc_yield(&al, 3, false);
	EXPECT_EQ(ADMIT_NOT_OWNER, request("b", 60 * S));
	admit_alloc_take_over(&al, 4, 61 * S);
	admit_alloc_await_expiry(&al, 61 * S);
	apply_report(64 * S, {});
	EXPECT_EQ(ADMIT_UNAVAILABLE, request("b", 64 * S));
	apply_report(65 * S, {});
	EXPECT_EQ(ADMIT_GRANTED, request("b", 65 * S));
}

/* Guards against granting slots again that runs of the previous owner use: it had
 * granted more than are declared now. */
TEST_F(Allocator, NewOwnerAdoptsGrantsBeyondItsSlots)
{
	struct admit_grant g[30] = {};
	struct admit_handover h = {};

	for (int i = 0; i < 30; i++) {
		snprintf(g[i].run, sizeof(g[i].run), "old%d", i);
		g[i].start_deadline_us = 62 * S;
	}
	admit_alloc_take_over(&al, 2, 0);
	apply_report(60 * S, {});
	h.grant = g;
	h.grant_n = 30;
	h.window = 16;
	admit_alloc_adopt(&al, &h, 60 * S);
	EXPECT_EQ(30u, al.grant_n);
	for (int i = 0; i < 14; i++)
		admit_alloc_release(&al, g[i].run, 0, ADMIT_END_COMPLETE,
				    60 * S);
	EXPECT_EQ(ADMIT_FULL, request("a", 60 * S));
	admit_alloc_release(&al, g[14].run, 0, ADMIT_END_COMPLETE, 60 * S);
	EXPECT_EQ(ADMIT_GRANTED, request("a", 60 * S));
}

TEST_F(Allocator, WindowGrowsOnCompletionAndShrinksOnFailureColdOrRestart)
{
	activate();
	al.window = 2;
	EXPECT_EQ(ADMIT_GRANTED, request("a", 10 * S));
	EXPECT_EQ(ADMIT_GRANTED, request("b", 10 * S));
	EXPECT_EQ(ADMIT_FULL, request("c", 10 * S));
	admit_alloc_release(&al, "a", 0, ADMIT_END_COMPLETE, 11 * S);
	EXPECT_EQ(ADMIT_GRANTED, request("c", 11 * S));
	EXPECT_EQ(ADMIT_GRANTED, request("d", 11 * S));
	al.window = 16;
	admit_alloc_release(&al, "b", 0, ADMIT_END_FAILED, 12 * S);
	EXPECT_EQ(8u, al.window);
	EXPECT_EQ(ADMIT_FULL, request("e", 12 * S));
	apply_report(13 * S, {"c", "d"});
	EXPECT_EQ(ADMIT_GRANTED, request("e", 13 * S));
	boot = 2;
	apply_report(14 * S, {});
	EXPECT_EQ(2u, al.window);
	al.window = 16;
	apply_report(15 * S, {}, true);
	EXPECT_EQ(2u, al.window);
	apply_report(16 * S, {}, false, true);
	EXPECT_EQ(ADMIT_UNAVAILABLE, request("f", 16 * S));
}

TEST_F(Allocator, LimitFallsFastAndRisesSlowly)
{
	activate();
	for (int i = 0; i < 10; i++)
		request(std::to_string(i).c_str(), 10 * S);
	admit_alloc_observe_gap(&al, 60000, 40000, 11 * S);
	EXPECT_EQ(8u, al.limit);
	EXPECT_EQ(ADMIT_FULL, request("x", 11 * S));
	admit_alloc_observe_gap(&al, 30000, 40000, 11 * S + S / 2);
	EXPECT_EQ(8u, al.limit);
	admit_alloc_observe_gap(&al, 30000, 40000, 12 * S);
	EXPECT_EQ(9u, al.limit);
}

TEST_F(Allocator, BoundsQueuedPrefillWork)
{
	struct admit_request req = {};

	activate();
	req.run = "a";
	req.tokens = 5000;
	req.queue_max_tokens = 1000;
	EXPECT_EQ(ADMIT_GRANTED, admit_alloc_grant(&al, &req, 10 * S));
	req.run = "b";
	EXPECT_EQ(ADMIT_GRANTED, admit_alloc_grant(&al, &req, 10 * S + 1));
	req.run = "c";
	EXPECT_EQ(ADMIT_FULL, admit_alloc_grant(&al, &req, 10 * S + 2));
	admit_alloc_release(&al, "a", 0, ADMIT_END_COMPLETE, 10 * S + 3);
	EXPECT_EQ(ADMIT_GRANTED, admit_alloc_grant(&al, &req, 10 * S + 4));
}

/*
 * Found by seed 4468 of admit_history_test: a host that had been paused
 * declared its handover complete, although another host could have granted in
 * the meantime.
 */
TEST(Owner, HandoverOfPausedHostIsNotComplete)
{
	auto e = std::make_unique<struct member_epoch>();
	struct config_endpoint declared = {};
	struct admit_handover h;
	struct config c = {};
	struct admit a;

	strcpy(declared.name, "e");
	strcpy(declared.domain, "d");
	declared.slots = 4;
	c.endpoint = &declared;
	c.endpoint_n = 1;
	e->number = 5;
	e->n = 1;
	strcpy(e->host[0].name, "me");
	strcpy(e->host[0].domain, "d");
	admit_init(&a);
	strcpy(a.host, "me");
	ASSERT_EQ(0, admit_configure(&a, &c));
	admit_apply_epoch(&a, e.get(), 1 * S);
	ASSERT_NE(nullptr, a.endpoint[0].alloc);
	a.endpoint[0].alloc->state = ADMIT_ACTIVE;
	admit_hand_over(&a, "e", 7, 5 * S, &h);
	EXPECT_FALSE(h.complete);
	a.endpoint[0].alloc->state = ADMIT_ACTIVE;
	a.paused = false;
	admit_hand_over(&a, "e", 8, 5 * S, &h);
	EXPECT_TRUE(h.complete);
	admit_hand_over(&a, "e", 4, 5 * S, &h);
	EXPECT_TRUE(h.stale);
	admit_finish(&a);
}

TEST(Owner, EndpointThatReturnsToServiceStartsSlowly)
{
	struct config_endpoint declared = {};
	struct config_domain domain = {};
	struct admit_allocator al = {};
	struct config c = {};
	struct admit a;

	strcpy(declared.name, "e");
	strcpy(declared.domain, "d");
	strcpy(domain.name, "d");
	declared.slots = 16;
	c.endpoint = &declared;
	c.endpoint_n = 1;
	c.domain = &domain;
	c.domain_n = 1;
	admit_init(&a);
	ASSERT_EQ(0, admit_configure(&a, &c));
	ASSERT_EQ(0, admit_alloc_init(&al, 16, 0));
	al.window = 16;
	a.endpoint[0].alloc = &al;
	ASSERT_EQ(0, admit_configure(&a, &c));
	EXPECT_EQ(16u, al.window);
	domain.state = CONFIG_DOMAIN_WITHDRAWN;
	ASSERT_EQ(0, admit_configure(&a, &c));
	EXPECT_FALSE(a.endpoint[0].in_service);
	domain.state = CONFIG_DOMAIN_IN_SERVICE;
	ASSERT_EQ(0, admit_configure(&a, &c));
	EXPECT_EQ(2u, al.window);
	a.endpoint[0].alloc = nullptr;
	admit_alloc_finish(&al);
	admit_finish(&a);
}

/* Guards against endpoints that stay for ever after they were declared: since the
 * last view showed slots in use, or since an earlier owner keeps its grants. */
TEST(Owner, EndpointThatIsNoLongerDeclaredIsRemoved)
{
	struct config_endpoint declared[2] = {};
	struct admit_grant *grant;
	struct config c = {};
	struct admit a;

	strcpy(declared[0].name, "viewed");
	strcpy(declared[1].name, "yielded");
	declared[0].slots = declared[1].slots = 4;
	c.endpoint = declared;
	c.endpoint_n = 2;
	admit_init(&a);
	ASSERT_EQ(0, admit_configure(&a, &c));
	admit_view_update(&a.endpoint[0], 2, 0, 0, false, 1 * S);
	a.endpoint[1].alloc = (struct admit_allocator *)calloc(
		1, sizeof(*a.endpoint[1].alloc));
	ASSERT_EQ(0, admit_alloc_init(a.endpoint[1].alloc, 4, 4));
	grant = &a.endpoint[1].alloc->grant[a.endpoint[1].alloc->grant_n++];
	strcpy(grant->run, "run");
	a.endpoint[1].alloc->state = ADMIT_ACTIVE;
	c.endpoint_n = 0;
	ASSERT_EQ(0, admit_configure(&a, &c));
	EXPECT_EQ(2u, a.n) << "both are in use";
	admit_alloc_yield(a.endpoint[1].alloc, 2, false);
	for (int64_t now_us = 1 * S; now_us < 3 * S; now_us += S / 10)
		admit_tick(&a, now_us);
	ASSERT_EQ(0, admit_configure(&a, &c));
	EXPECT_EQ(0u, a.n);
	admit_finish(&a);
}

TEST(View, UnconfirmedReservationExpires)
{
	struct admit_endpoint e = {};
	struct admit a = {};

	a.endpoint = &e;
	a.n = 1;
	e.in_service = true;
	e.slots = 1;
	e.pieces = 9;
	admit_view_reserve(&e, 1);
	admit_tick(&a, 1 * S);
	EXPECT_FALSE(admit_has_capacity(&e, 1));
	admit_tick(&a, 2 * S);
	EXPECT_TRUE(admit_has_capacity(&e, 1));
}

TEST(View, PausedHostResumesOnlyAfterEpochIsAppliedAgain)
{
	auto e = std::make_unique<struct member_epoch>();
	struct admit a;

	admit_init(&a);
	admit_tick(&a, 10 * S);
	admit_tick(&a, 11 * S);
	EXPECT_FALSE(a.paused);
	admit_tick(&a, 13 * S);
	EXPECT_TRUE(a.paused);
	admit_apply_epoch(&a, e.get(), 13 * S);
	EXPECT_TRUE(a.paused);
	admit_tick(&a, 14 * S);
	admit_apply_epoch(&a, e.get(), 15 * S);
	EXPECT_FALSE(a.paused);
	admit_finish(&a);
}

} // namespace
