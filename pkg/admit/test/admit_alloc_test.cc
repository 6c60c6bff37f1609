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

struct Book : ::testing::Test {
	struct admit_allocator b = {};
	uint64_t boot = 1;

	void SetUp() override
	{
		ASSERT_EQ(0, admit_alloc_init(&b, 16, 32));
	}

	void TearDown() override
	{
		admit_alloc_finish(&b);
	}

	void report(int64_t at_us, const std::vector<std::string> &running,
		    bool cold = false, bool leaving = false)
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
		r.draining = leaving;
		r.running = reinterpret_cast<const char(*)[64]>(names.data());
		admit_alloc_apply_report(&b, &r, at_us);
	}

	/* An owner without predecessor that may grant from 10 s on. */
	void open()
	{
		admit_alloc_take_over(&b, 1, 0);
		admit_alloc_await_expiry(&b, 0);
		report(10 * S, {});
		b.window = b.slots;
	}

	enum admit_outcome ask(const char *run, int64_t at_us,
			       uint32_t pieces = 1)
	{
		struct admit_request a = {};

		a.run = run;
		a.pieces = pieces;
		return admit_alloc_grant(&b, &a, at_us);
	}
};

TEST_F(Book, GrantsTheSameRunOnceAndNeverBeyondSlotsOrPieces)
{
	open();
	EXPECT_EQ(ADMIT_GRANTED, ask("a", 10 * S, 30));
	EXPECT_EQ(ADMIT_GRANTED, ask("a", 10 * S, 30));
	EXPECT_EQ(1u, b.grant_n);
	EXPECT_EQ(ADMIT_FULL, ask("b", 10 * S, 3));
	EXPECT_EQ(ADMIT_GRANTED, ask("b", 10 * S, 2));
	admit_alloc_release(&b, "a", 0, ADMIT_END_COMPLETE, 11 * S);
	admit_alloc_release(&b, "a", 0, ADMIT_END_COMPLETE, 11 * S);
	EXPECT_EQ(1u, b.grant_n);
	EXPECT_EQ(ADMIT_ALREADY_RELEASED, ask("a", 11 * S));
	for (int i = 0; i < 15; i++)
		EXPECT_EQ(ADMIT_GRANTED,
			  ask(std::to_string(i).c_str(), 11 * S));
	EXPECT_EQ(ADMIT_FULL, ask("z", 11 * S));
}

TEST_F(Book, AReleaseThatOvertookItsAskLeaksNothing)
{
	open();
	admit_alloc_release(&b, "a", 0, ADMIT_END_UNUSED, 10 * S);
	EXPECT_EQ(ADMIT_ALREADY_RELEASED, ask("a", 10 * S));
	EXPECT_EQ(0u, b.grant_n);
}

TEST_F(Book, ARunThatGaveItsSlotBackUnusedMayAskAgain)
{
	struct admit_request a = {};

	open();
	ask("a", 10 * S);
	admit_alloc_release(&b, "a", 0, ADMIT_END_UNUSED, 10 * S);
	a.run = "a";
	a.pieces = 1;
	a.serial = 1;
	EXPECT_EQ(ADMIT_GRANTED, admit_alloc_grant(&b, &a, 10 * S));
	admit_alloc_release(&b, "a", 0, ADMIT_END_UNUSED, 10 * S);
	EXPECT_EQ(1u, b.grant_n);
	a.serial = 2;
	EXPECT_EQ(ADMIT_GRANTED, admit_alloc_grant(&b, &a, 11 * S));
	EXPECT_EQ(1u, b.grant_n);
	admit_alloc_release(&b, "a", 2, ADMIT_END_UNUSED, 11 * S);
	EXPECT_EQ(0u, b.grant_n);
	EXPECT_EQ(ADMIT_ALREADY_RELEASED, admit_alloc_grant(&b, &a, 11 * S));
}

TEST_F(Book, TellsAsManyHostsOfRoomAsThereIs)
{
	char out[ADMIT_WAITERS_MAX][MEMBER_NAME_BYTES];

	open();
	for (int i = 0; i < 16; i++)
		ask(std::to_string(i).c_str(), 10 * S);
	admit_alloc_add_waiter(&b, "h1");
	admit_alloc_add_waiter(&b, "h2");
	admit_alloc_add_waiter(&b, "h1");
	EXPECT_EQ(0u, admit_alloc_pop_waiters(&b, out));
	admit_alloc_release(&b, "3", 0, ADMIT_END_COMPLETE, 11 * S);
	ASSERT_EQ(1u, admit_alloc_pop_waiters(&b, out));
	EXPECT_STREQ("h1", out[0]);
	ASSERT_EQ(1u, admit_alloc_pop_waiters(&b, out));
	EXPECT_STREQ("h2", out[0]);
	EXPECT_EQ(0u, admit_alloc_pop_waiters(&b, out));
}

TEST_F(Book, KeepsTheSlotOfACancelledRunUntilTheEndpointDropsIt)
{
	open();
	ask("a", 10 * S);
	report(11 * S, {"a"});
	admit_alloc_release(&b, "a", 0, ADMIT_END_UNKNOWN, 12 * S);
	report(13 * S, {"a"});
	EXPECT_EQ(1u, b.grant_n);
	report(14 * S, {});
	EXPECT_EQ(0u, b.grant_n);
}

TEST_F(Book, AGrantOfAHolderThatDiedLapsesOnlyWhenNoOrderCanCome)
{
	open();
	ask("a", 10 * S);
	report(13 * S, {});
	EXPECT_EQ(1u, b.grant_n);
	report(13 * S + S / 2, {});
	EXPECT_EQ(0u, b.grant_n);
}

TEST_F(Book, ANewOwnerWaitsTheOldGrantsOutAndCountsWhatItDidNotGrant)
{
	admit_alloc_take_over(&b, 2, 10 * S);
	admit_alloc_await_expiry(&b, 10 * S);
	report(13 * S, {});
	EXPECT_EQ(ADMIT_UNAVAILABLE, ask("a", 13 * S));
	report(16 * S, {"x", "y", "z"});
	EXPECT_EQ(3u, b.untracked_slots);
	EXPECT_EQ(3u, b.window);
	EXPECT_EQ(ADMIT_FULL, ask("a", 16 * S));
	report(17 * S, {"x"});
	EXPECT_EQ(ADMIT_GRANTED, ask("a", 17 * S));
}

TEST_F(Book, AnOwnerThatMustBeAskedKeepsTheNewOneShutUntilItAnswersOrIsGone)
{
	struct admit_handover h = {};
	struct admit_grant g = {};

	admit_alloc_take_over(&b, 2, 0);
	report(60 * S, {});
	EXPECT_EQ(ADMIT_UNAVAILABLE, ask("a", 60 * S));
	strcpy(g.run, "old");
	g.pieces = 4;
	g.start_deadline_us = 62 * S;
	h.grant = &g;
	h.grant_n = 1;
	h.fence = 1;
	admit_alloc_adopt(&b, &h, 60 * S);
	EXPECT_EQ(1u, b.fence);
	EXPECT_EQ(ADMIT_GRANTED, ask("a", 60 * S));
	EXPECT_EQ(2u, b.grant_n);
	admit_alloc_yield(&b, 3, false);
	EXPECT_EQ(ADMIT_NOT_OWNER, ask("b", 60 * S));
	admit_alloc_take_over(&b, 4, 61 * S);
	admit_alloc_await_expiry(&b, 61 * S);
	report(64 * S, {});
	EXPECT_EQ(ADMIT_UNAVAILABLE, ask("b", 64 * S));
	report(65 * S, {});
	EXPECT_EQ(ADMIT_GRANTED, ask("b", 65 * S));
}

TEST_F(Book, SlotsOpenAsRunsSucceedAndCloseAtACrashAColdReportOrANewBoot)
{
	open();
	b.window = 2;
	EXPECT_EQ(ADMIT_GRANTED, ask("a", 10 * S));
	EXPECT_EQ(ADMIT_GRANTED, ask("b", 10 * S));
	EXPECT_EQ(ADMIT_FULL, ask("c", 10 * S));
	admit_alloc_release(&b, "a", 0, ADMIT_END_COMPLETE, 11 * S);
	EXPECT_EQ(ADMIT_GRANTED, ask("c", 11 * S));
	EXPECT_EQ(ADMIT_GRANTED, ask("d", 11 * S));
	b.window = 16;
	admit_alloc_release(&b, "b", 0, ADMIT_END_FAILED, 12 * S);
	EXPECT_EQ(8u, b.window);
	EXPECT_EQ(ADMIT_FULL, ask("e", 12 * S));
	report(13 * S, {"c", "d"});
	EXPECT_EQ(ADMIT_GRANTED, ask("e", 13 * S));
	boot = 2;
	report(14 * S, {});
	EXPECT_EQ(2u, b.window);
	b.window = 16;
	report(15 * S, {}, true);
	EXPECT_EQ(2u, b.window);
	report(16 * S, {}, false, true);
	EXPECT_EQ(ADMIT_UNAVAILABLE, ask("f", 16 * S));
}

TEST_F(Book, TheLimitFallsFastAndRisesSlowly)
{
	open();
	for (int i = 0; i < 10; i++)
		ask(std::to_string(i).c_str(), 10 * S);
	admit_alloc_observe_gap(&b, 60000, 40000, 11 * S);
	EXPECT_EQ(8u, b.limit);
	EXPECT_EQ(ADMIT_FULL, ask("x", 11 * S));
	admit_alloc_observe_gap(&b, 30000, 40000, 11 * S + S / 2);
	EXPECT_EQ(8u, b.limit);
	admit_alloc_observe_gap(&b, 30000, 40000, 12 * S);
	EXPECT_EQ(9u, b.limit);
}

TEST_F(Book, BoundsTheWorkInFrontOfAPrefill)
{
	struct admit_request a = {};

	open();
	a.run = "a";
	a.tokens = 5000;
	a.queue_max_tokens = 1000;
	EXPECT_EQ(ADMIT_GRANTED, admit_alloc_grant(&b, &a, 10 * S));
	a.run = "b";
	EXPECT_EQ(ADMIT_GRANTED, admit_alloc_grant(&b, &a, 10 * S + 1));
	a.run = "c";
	EXPECT_EQ(ADMIT_FULL, admit_alloc_grant(&b, &a, 10 * S + 2));
	admit_alloc_release(&b, "a", 0, ADMIT_END_COMPLETE, 10 * S + 3);
	EXPECT_EQ(ADMIT_GRANTED, admit_alloc_grant(&b, &a, 10 * S + 4));
}

/* History seed 4468: the host that was paused said that its book was whole. */
TEST(Owner, AHostThatWasPausedDoesNotCallItsBookComplete)
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

TEST(Owner, AnEndpointThatReturnsToServiceStartsSlowly)
{
	struct config_endpoint declared = {};
	struct config_domain domain = {};
	struct admit_allocator b = {};
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
	ASSERT_EQ(0, admit_alloc_init(&b, 16, 0));
	b.window = 16;
	a.endpoint[0].alloc = &b;
	ASSERT_EQ(0, admit_configure(&a, &c));
	EXPECT_EQ(16u, b.window);
	domain.state = CONFIG_DOMAIN_WITHDRAWN;
	ASSERT_EQ(0, admit_configure(&a, &c));
	EXPECT_FALSE(a.endpoint[0].in_service);
	domain.state = CONFIG_DOMAIN_IN_SERVICE;
	ASSERT_EQ(0, admit_configure(&a, &c));
	EXPECT_EQ(2u, b.window);
	a.endpoint[0].alloc = nullptr;
	admit_alloc_finish(&b);
	admit_finish(&a);
}

TEST(View, WhatWasTakenWithoutAnAnswerIsForgotten)
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

TEST(View, AHostThatWasPausedTrustsItsBooksOnlyOnceItHeardTheEpoch)
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
