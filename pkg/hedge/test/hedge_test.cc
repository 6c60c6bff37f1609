#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "hedge.h"
}

static const int64_t MS = 1000;
static const int64_t SECOND = 1000 * MS;

static struct hedge_facts sound_facts()
{
	struct hedge_facts f = {};

	f.executions = 1;
	f.attempts_max = 2;
	f.remaining_us = 5 * SECOND;
	f.has_endpoint = f.retry_available = true;
	return f;
}

static std::unique_ptr<struct hedge> make(double share, uint64_t seed = 1)
{
	auto h = std::make_unique<struct hedge>();

	hedge_init(h.get(), share, seed);
	return h;
}

/* Guards against hedges by the first few answers, and by a fixed time. */
TEST(Hedge, TheDelayIsTheQuantileOfEnoughAnswers)
{
	auto h = make(0.1);
	int64_t delay_us;

	for (int i = 0; i < 19; i++)
		hedge_observe(h.get(), "s", "r", 20 * MS, i * MS);
	EXPECT_EQ(hedge_delay_us(h.get(), "s", "r", 20 * MS), 0);
	for (int i = 0; i < 181; i++)
		hedge_observe(h.get(), "s", "r", i % 10 ? 20 * MS : 300 * MS,
			      20 * MS);
	delay_us = hedge_delay_us(h.get(), "s", "r", 20 * MS);
	EXPECT_GE(delay_us, 300 * MS);
	EXPECT_LE(delay_us, 330 * MS);
	EXPECT_EQ(hedge_delay_us(h.get(), "s", "other", 20 * MS), 0);
	/* Answers of long ago are no base for a decision. */
	EXPECT_EQ(hedge_delay_us(h.get(), "s", "r", 90 * SECOND), 0);
}

TEST(Hedge, ForgetsASlowTimeWithinSeconds)
{
	auto h = make(0.1);
	int64_t now_us = 0;

	for (; now_us < 10 * SECOND; now_us += 20 * MS)
		hedge_observe(h.get(), "s", "r", 800 * MS, now_us);
	for (; now_us < 45 * SECOND; now_us += 20 * MS)
		hedge_observe(h.get(), "s", "r", 20 * MS, now_us);
	EXPECT_LE(hedge_delay_us(h.get(), "s", "r", now_us), 30 * MS);
}

TEST(Hedge, StatesTheCauseOfADenial)
{
	auto h = make(0.5), off = make(0);
	struct hedge_facts f = sound_facts();
	auto decide = [&] {
		return hedge_decide(h.get(), "s", "r", &f, SECOND);
	};

	EXPECT_EQ(hedge_decide(off.get(), "s", "r", &f, 0), HEDGE_DENIED_OFF);
	EXPECT_EQ(decide(), HEDGE_DENIED_FEW_ANSWERS);
	for (int i = 0; i < 30; i++)
		hedge_observe(h.get(), "s", "r", 50 * MS, SECOND);
	EXPECT_EQ(decide(), HEDGE_DENIED_SHARE) << "no call was counted";
	hedge_count_call(h.get(), "s");
	f.retry_available = false;
	EXPECT_EQ(decide(), HEDGE_DENIED_BUDGET);
	f.has_endpoint = false;
	EXPECT_EQ(decide(), HEDGE_DENIED_NO_ENDPOINT);
	f.endpoint_limited = true;
	EXPECT_EQ(decide(), HEDGE_DENIED_LIMITED);
	f.service_full = true;
	EXPECT_EQ(decide(), HEDGE_DENIED_FULL);
	f.remaining_us = 40 * MS;
	EXPECT_EQ(decide(), HEDGE_DENIED_DEADLINE);
	f.attempts_max = 1;
	EXPECT_EQ(decide(), HEDGE_DENIED_ATTEMPTS);
	f = sound_facts();
	EXPECT_EQ(decide(), HEDGE_DENIED_ALL_SLOW);
	for (int i = 0; i < 100; i++)
		hedge_count_call(h.get(), "s");
	EXPECT_EQ(decide(), HEDGE_SEND);
	EXPECT_EQ(decide(), HEDGE_DENIED_SHARE) << "one a call at most";
}

/* Guards against memory that grows with names, and against rows lost for good. */
TEST(Hedge, HoldsABoundedNumberOfNames)
{
	auto h = make(0.1);

	for (int i = 0; i < 3 * HEDGE_ROUTES_MAX; i++) {
		std::string name = std::to_string(i);

		hedge_count_call(h.get(), name.c_str());
		for (int j = 0; j < 20; j++)
			hedge_observe(h.get(), "s", name.c_str(), MS, i * MS);
		EXPECT_GT(hedge_delay_us(h.get(), "s", name.c_str(), i * MS),
			  0);
	}
	EXPECT_EQ(h->n_services, (uint32_t)HEDGE_SERVICES_MAX);
	EXPECT_EQ(h->n_routes, (uint32_t)HEDGE_ROUTES_MAX);
}

/*
 * Hosts with calls at random. Hosts die and start again, and are added. Partitions
 * change nothing, as hosts exchange no messages: nothing here counts the others.
 */
class Hosts
{
      public:
	Hosts(uint32_t hosts, double share, uint32_t seed)
	    : share_(share), random_(seed)
	{
		while (hosts--)
			Start();
	}
	/*
	 * Runs calls of all hosts for a time, with their usual duration. A call is due
	 * for a hedge after the quantile or, with due above 0, at that probability.
	 */
	void Run(int64_t us, double calls_per_s, double usual_ms,
		 double due = 0)
	{
		int64_t end_us = now_us_ + us;
		double gap_us = 1e6 / calls_per_s / (double)host_.size();

		while ((now_us_ += (int64_t)gap_us + 1) < end_us)
			Call(&host_[random_() % host_.size()], usual_ms, due);
	}
	void Start()
	{
		host_.push_back({make(share_, random_())});
	}
	void Restart()
	{
		host_.erase(host_.begin() + random_() % host_.size());
		Start();
	}
	void Grow()
	{
		for (size_t n = host_.size() * 3 / 4; n; n--)
			Start();
	}
	uint64_t hedges() const
	{
		return hedges_;
	}

      private:
	struct Host {
		std::unique_ptr<struct hedge> hedge;
		uint64_t calls = 0, hedges = 0;
	};

	void Call(Host *host, double usual_ms, double due)
	{
		struct hedge *h = host->hedge.get();
		double factor = random_() % 100 < 3 ? 6 : 1;
		int64_t took_us = (int64_t)(usual_ms * factor * 1e3 *
					    (0.8 + (random_() % 40) / 100.));
		int64_t delay_us = hedge_delay_us(h, "s", "r", now_us_);
		struct hedge_facts f = sound_facts();
		bool is_due = due > 0 ? (random_() % 1000) / 1e3 < due
				      : delay_us && took_us > delay_us;

		host->calls++;
		hedge_count_call(h, "s");
		if (is_due &&
		    hedge_decide(h, "s", "r", &f, now_us_) == HEDGE_SEND) {
			host->hedges++;
			hedges_++;
		}
		hedge_observe(h, "s", "r", took_us, now_us_);
		/* The sum over all hosts follows: their share of all calls, and 1
		 * for each start of a host. */
		ASSERT_LE((double)host->hedges,
			  share_ * (double)host->calls + 1 + 1e-6);
	}

	double share_;
	std::mt19937 random_;
	std::vector<Host> host_;
	int64_t now_us_ = 0;
	uint64_t hedges_ = 0;
};

/* Guards against a sum above the share of the calls and 1 a start, also when more
 * calls are due than the share allows. */
TEST(Hedge, AllHostsTogetherStayWithinTheShare)
{
	for (uint32_t seed = 1; seed <= 40; seed++) {
		std::mt19937 random(seed);
		double share = (random() % 21) / 100.;
		Hosts hosts(1 + random() % 140, share, seed);

		for (int step = 0; step < 12; step++) {
			hosts.Run(1500 * MS, 1 + random() % 40,
				  10 + random() % 300,
				  (random() % 1000) / 4000.);
			if (random() % 3 == 0)
				hosts.Restart();
			if (random() % 8 == 0)
				hosts.Grow();
		}
		if (share == 0) {
			EXPECT_EQ(hosts.hedges(), 0u);
		}
	}
}

/* Guards against a burst of what was saved up: after quiet minutes a host that has
 * few calls sends one hedge. */
TEST(Hedge, SavesUpOneHedgeAtMost)
{
	auto h = make(0.2);
	struct hedge_facts f = sound_facts();
	int sent = 0;

	for (int i = 0; i < 1000; i++) {
		hedge_count_call(h.get(), "s");
		hedge_observe(h.get(), "s", "r", 10 * MS, i * SECOND / 10);
	}
	for (int i = 0; i < 100; i++)
		sent += hedge_decide(h.get(), "s", "r", &f, 100 * SECOND) ==
			HEDGE_SEND;
	EXPECT_EQ(sent, 1);
}

/* Guards against a storm: slow endpoints everywhere, which make every call late. */
TEST(Hedge, SlowEndpointsEverywhereLeadToFewerHedges)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		Hosts hosts(7, 0.1, seed);
		uint64_t before, usual, slow;

		hosts.Run(20 * SECOND, 30, 20);
		before = hosts.hedges();
		hosts.Run(20 * SECOND, 30, 20);
		usual = hosts.hedges() - before;
		before = hosts.hedges();
		hosts.Run(20 * SECOND, 30, 100);
		hosts.Run(20 * SECOND, 30, 20);
		slow = hosts.hedges() - before;
		EXPECT_GT(usual, 7u) << "hedges are sent at all";
		EXPECT_LT(slow, 2 * usual) << "over twice the time";
	}
}
