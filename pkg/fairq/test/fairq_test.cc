#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "fairq.h"
}

namespace
{

constexpr int64_t kSecondUs = 1000000;

TEST(FairQueue, ServesByWeight)
{
	struct fairq q;
	struct fairq_item items[60] = {};
	std::map<std::string, int> served;

	fairq_init(&q);
	for (int i = 0; i < 60; i++) {
		items[i].cost_tokens = 100;
		ASSERT_EQ(0, fairq_push(&q, i % 2 ? "heavy" : "light",
					i % 2 ? 2 : 1, &items[i]));
	}
	for (int i = 0; i < 30; i++)
		served[fairq_peek(&q)->flow->name]++, fairq_pop(&q);
	EXPECT_EQ(20, served["heavy"]);
	EXPECT_EQ(10, served["light"]);
	fairq_finish(&q);
}

TEST(FairQueue, IdleFlowGetsNoMoreThanItsShare)
{
	struct fairq q;
	struct fairq_item a[10] = {}, b[10] = {};
	int served_b = 0;

	fairq_init(&q);
	for (auto &i : a) {
		i.cost_tokens = 100;
		fairq_push(&q, "a", 1, &i);
	}
	for (int i = 0; i < 5; i++)
		fairq_pop(&q);
	for (auto &i : b) {
		i.cost_tokens = 100;
		fairq_push(&q, "b", 1, &i);
	}
	for (int i = 0; i < 6; i++) {
		struct fairq_item *t = fairq_pop(&q);

		served_b += t >= b && t < b + 10;
	}
	EXPECT_LE(served_b, 4);
	EXPECT_GE(served_b, 2);
	fairq_finish(&q);
}

TEST(FairQueue, FindsExpiredItem)
{
	struct fairq q;
	struct fairq_item i = {};

	fairq_init(&q);
	i.deadline_us = 100;
	fairq_push(&q, "a", 1, &i);
	EXPECT_EQ(nullptr, fairq_find_expired(&q, 99));
	EXPECT_EQ(&i, fairq_find_expired(&q, 100));
	fairq_remove(&q, &i);
	EXPECT_EQ(nullptr, fairq_find_expired(&q, 100));
	fairq_finish(&q);
}

TEST(FairQueue, AdjustsCostAfterService)
{
	struct fairq q;
	struct fairq_item a[3] = {}, b[3] = {};

	fairq_init(&q);
	for (auto *i : {&a[0], &a[1], &a[2], &b[0], &b[1], &b[2]}) {
		i->cost_tokens = 1000;
		fairq_push(&q, i < b || i > b + 2 ? "a" : "b", 1, i);
	}
	EXPECT_EQ(&a[0], fairq_pop(&q));
	EXPECT_EQ(&b[0], fairq_pop(&q));
	fairq_adjust_cost(&q, "b", 1, -900);
	fairq_adjust_cost(&q, "a", 1, 500);
	EXPECT_EQ(&b[1], fairq_pop(&q));
	EXPECT_EQ(&b[2], fairq_pop(&q));
	EXPECT_EQ(&a[1], fairq_pop(&q));
	fairq_finish(&q);
}

TEST(FairQueue, VictimIsOfTheFlowWithMostQueued)
{
	struct fairq q;
	struct fairq_item heavy[4] = {}, light = {};

	fairq_init(&q);
	q.item_max = 4;
	for (auto &i : heavy) {
		i.cost_tokens = 10;
		ASSERT_EQ(0, fairq_push(&q, "heavy", 1, &i));
	}
	light.cost_tokens = 10;
	EXPECT_EQ(-ENOSPC, fairq_push(&q, "light", 1, &light));
	EXPECT_EQ(&heavy[3], fairq_find_victim(&q));
	fairq_remove(&q, &heavy[3]);
	EXPECT_EQ(0, fairq_push(&q, "light", 1, &light));
	fairq_finish(&q);
}

/* After random calls, the heads of both heaps are those of a linear search. */
TEST(FairQueue, AgreesWithLinearSearch)
{
	std::mt19937 random(5);
	std::vector<struct fairq_item> items(400);
	struct fairq q;

	fairq_init(&q);
	for (int step = 0; step < 20000; step++) {
		auto &i = items[random() % items.size()];

		if (i.flow) {
			fairq_remove(&q, &i);
		} else if (random() % 4) {
			i.cost_tokens = 1 + random() % 100;
			i.deadline_us = random() % 1000;
			fairq_push(&q, std::to_string(random() % 50).c_str(),
				   1 + random() % 3, &i);
		} else {
			fairq_pop(&q);
		}
		double lowest = 1e300;
		int64_t earliest_us = INT64_MAX;
		uint32_t n = 0;

		for (auto &j : items) {
			if (!j.flow)
				continue;
			n++;
			lowest = std::min(lowest, j.flow->virtual_time);
			earliest_us = std::min(earliest_us, j.deadline_us);
		}
		ASSERT_EQ(n, q.item_n);
		if (n == 0)
			continue;
		ASSERT_EQ(lowest, fairq_peek(&q)->flow->virtual_time);
		ASSERT_EQ(earliest_us, q.deadline_heap[0]->deadline_us);
		ASSERT_EQ(nullptr, fairq_find_expired(&q, earliest_us - 1));
	}
	fairq_finish(&q);
}

TEST(FairQueue, IdleFlowsAreFreed)
{
	struct fairq_item i = {};
	struct fairq q;
	int flow_n = 0;

	fairq_init(&q);
	i.cost_tokens = 10;
	for (int n = 0; n < 2000; n++) {
		fairq_push(&q, std::to_string(n).c_str(), 1, &i);
		fairq_pop(&q);
	}
	for (auto &b : q.bucket) {
		struct fairq_flow *f;

		TAILQ_FOREACH(f, &b, entry)
		flow_n++;
	}
	EXPECT_LE(flow_n, 2 * FAIRQ_BUCKETS);
	fairq_finish(&q);
}

TEST(Forecast, FitsTimeToFirstTokenByPromptLength)
{
	struct fairq_forecast f = {};

	for (int n = 1; n <= 40; n++)
		fairq_forecast_observe_first_token(&f, n * 100,
						   50000 + n * 100 * 30, n);
	EXPECT_NEAR(50000 + 8000 * 30,
		    fairq_forecast_first_token_us(&f, 8000, 50), 1000);
	EXPECT_EQ(0, fairq_forecast_first_token_us(&f, 8000, 10 * kSecondUs));
}

/*
 * A discrete-event simulation of one engine with kSlots slots, a queue and a
 * forecast. Accounts send requests as Poisson processes.
 */
struct Simulation {
	struct Request {
		struct fairq_item item = {};
		std::string flow;
		uint32_t account;
		uint64_t prompt, output; /* tokens */
		int64_t arrived_us;
	};
	struct Event {
		int64_t when_us;
		std::function<void()> run;

		bool operator<(const Event &o) const
		{
			return when_us > o.when_us;
		}
	};

	static constexpr int kAccounts = 5, kSlots = 20;
	static constexpr int64_t kTargetUs = 1600000, kTokenUs = 20000;
	static constexpr int64_t kPrefillUs = 100000;
	static constexpr double kMeanCost = 200 + 100; /* prompt and output */

	struct fairq q;
	struct fairq_forecast forecast = {};
	std::mt19937_64 random;
	std::priority_queue<Event> events;
	std::vector<std::unique_ptr<Request>> requests;
	std::vector<double> offered, served; /* tokens of each account */
	int64_t now_us = 0;
	int free_slots = kSlots;
	int late = 0;	  /* first tokens after the target */
	int refused = 0;  /* by the forecast, before queueing */
	bool fair = true; /* a flow for each account, else one for all */

	const int account_n;

	explicit Simulation(uint64_t seed, int n = kAccounts)
	    : random(seed), offered(n), served(n), account_n(n)
	{
		fairq_init(&q);
	}

	~Simulation()
	{
		fairq_finish(&q);
	}

	/* Returns the tokens per second that the slots can serve. */
	static double capacity_tokens_s()
	{
		double service_s =
			(kPrefillUs + 100 * kTokenUs) / (double)kSecondUs;

		return kSlots * kMeanCost / service_s;
	}

	/* Starts the requests of an account at a rate in tokens per second. */
	void schedule_arrivals(int account, double rate)
	{
		std::exponential_distribution<> gap(rate / kMeanCost);

		events.push({now_us + (int64_t)(gap(random) * kSecondUs), [=] {
				     request(account);
				     schedule_arrivals(account, rate);
			     }});
	}

	void request(int account)
	{
		requests.push_back(std::make_unique<Request>());
		Request *r = requests.back().get();

		r->flow = fair ? std::to_string(account) : "all";
		r->prompt = 100 + random() % 201;
		r->output = 50 + random() % 101;
		r->arrived_us = now_us;
		r->account = account;
		offered[account] += r->prompt + r->output;
		r->item.cost_tokens = r->prompt + 150;
		r->item.owner = r;
		r->item.deadline_us = now_us + kTargetUs -
				      fairq_forecast_first_token_us(
					      &forecast, r->prompt, now_us);
		double ahead = fairq_ahead_tokens(&q, r->flow.c_str(), 1);

		if (now_us + fairq_forecast_wait_us(&forecast, ahead, now_us) >=
		    r->item.deadline_us) {
			refused++;
			return;
		}
		fairq_push(&q, r->flow.c_str(), 1, &r->item);
		dispatch();
	}

	void dispatch()
	{
		struct fairq_item *i;

		while ((i = fairq_find_expired(&q, now_us)))
			fairq_remove(&q, i);
		while (free_slots && (i = fairq_pop(&q))) {
			auto *r = static_cast<Request *>(i->owner);

			fairq_forecast_observe_pop(&forecast, i->cost_tokens,
						   now_us);
			fairq_set_idle_credit(&q, fairq_forecast_rate_tokens_s(
							  &forecast, now_us));
			serve(r);
		}
		fairq_forecast_set_busy(&forecast, q.item_n > 0, now_us);
	}

	void serve(Request *r)
	{
		int64_t first_us = kPrefillUs + kTokenUs;
		int64_t start_us = now_us;

		free_slots--;
		late += now_us + first_us - r->arrived_us > kTargetUs;
		events.push({now_us + first_us, [=] {
				     fairq_forecast_observe_first_token(
					     &forecast, r->prompt,
					     now_us - start_us, now_us);
			     }});
		events.push(
			{now_us + kPrefillUs + (int64_t)r->output * kTokenUs,
			 [=] { finish(r); }});
	}

	void finish(Request *r)
	{
		int64_t tokens = (int64_t)(r->prompt + r->output);

		free_slots++;
		served[r->account] += (double)tokens;
		fairq_adjust_cost(&q, r->flow.c_str(), 1,
				  tokens - (int64_t)r->item.cost_tokens);
		dispatch();
	}

	void run(int64_t until_us)
	{
		while (events.top().when_us <= until_us) {
			Event e = events.top();

			events.pop();
			now_us = e.when_us;
			e.run();
		}
	}

	/*
	 * Runs the simulation. Returns the lowest service of the accounts but
	 * the first, as a fraction of their fair share or lower demand.
	 */
	double lowest_share(double seconds)
	{
		double share = capacity_tokens_s() / account_n;
		double lowest = 1e9;

		run((int64_t)(seconds * kSecondUs));
		for (int a = 1; a < account_n; a++)
			lowest = std::min(
				lowest, served[a] / std::min(offered[a],
							     share * seconds));
		return lowest;
	}
};

/* The first account sends five times its share. */
TEST(FairQueue, OverloadByOneOfFiveAccountsLeavesTheOthersTheirShare)
{
	double share = Simulation::capacity_tokens_s() / Simulation::kAccounts;

	for (uint64_t seed = 1; seed <= 5; seed++) {
		Simulation sim(seed);

		for (int a = 0; a < Simulation::kAccounts; a++)
			sim.schedule_arrivals(a, a ? share : 5 * share);
		EXPECT_GE(sim.lowest_share(300), 0.9) << "seed " << seed;
		EXPECT_EQ(0, sim.late) << "seed " << seed;
		EXPECT_GT(sim.refused, 0) << "seed " << seed;
	}
}

TEST(FairQueue, OverloadByOneOfEightAccountsLeavesTheOthersTheirShare)
{
	double share = Simulation::capacity_tokens_s() / 8;

	for (uint64_t seed = 1; seed <= 5; seed++) {
		Simulation sim(seed, 8);

		for (int a = 0; a < 8; a++)
			sim.schedule_arrivals(a, a ? share : 5 * share);
		EXPECT_GE(sim.lowest_share(300), 0.9) << "seed " << seed;
	}
}

/* Shows that the simulation detects unfairness. */
TEST(FairQueue, SingleFlowIsUnfair)
{
	double share = Simulation::capacity_tokens_s() / Simulation::kAccounts;
	Simulation sim(1);

	sim.fair = false;
	for (int a = 0; a < Simulation::kAccounts; a++)
		sim.schedule_arrivals(a, a ? share : 5 * share);
	EXPECT_LT(sim.lowest_share(300), 0.9);
}

} // namespace
