#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "spread.h"
}

static const int64_t MS = 1000;
static const int64_t SECOND = 1000 * MS;

/* A domain whose hosts have links of 10 Mbit/s. Two of them have a record, the
 * others ask these for it by turns, and those that they are directed to. */
class Domain
{
      public:
	Domain(uint32_t hosts, size_t bytes, uint32_t seed)
	    : hosts_(hosts), bytes_(bytes), random_(seed)
	{
		for (Host &h : hosts_)
			spread_init(&h.spread, 0);
		hosts_[0].has_us = hosts_[1].has_us = 0;
		for (uint32_t i = 2; i < hosts; i++)
			At(Uniform(200 * MS), [=] { Ask(i, i % 2); });
	}
	/* Returns the time at which the last host has the record, or -1. */
	int64_t Run(int64_t end_us)
	{
		int64_t last_us = 0;

		while (!events_.empty() && events_.top().at_us <= end_us) {
			Event e = events_.top();

			events_.pop();
			now_us_ = e.at_us;
			e.run();
		}
		for (const Host &h : hosts_) {
			if (h.has_us < 0)
				return -1;
			last_us = std::max(last_us, h.has_us);
		}
		return last_us;
	}
	/* Most bytes that a host sent, and the most times that one received. */
	size_t MostSent() const
	{
		size_t most = 0;

		for (const Host &h : hosts_)
			most = std::max(most, h.sent_bytes);
		return most;
	}
	uint32_t MostReceived() const
	{
		uint32_t most = 0;

		for (const Host &h : hosts_)
			most = std::max(most, h.received);
		return most;
	}
	/* From then on the host neither answers nor asks. */
	void Kill(uint32_t host)
	{
		hosts_[host].dead = true;
		hosts_[host].has_us = 0;
	}

      private:
	struct Host {
		struct spread spread;
		int64_t has_us = -1;
		int64_t link_free_us = 0;
		size_t sent_bytes = 0;
		uint32_t received = 0;
		bool dead = false;
	};
	struct Event {
		int64_t at_us;
		uint64_t order;
		std::function<void()> run;
		bool operator<(const Event &o) const
		{
			return at_us != o.at_us ? at_us > o.at_us
						: order > o.order;
		}
	};
	static constexpr double kLinkBytesPerUs = 1.25;
	static constexpr int kHops = 4;

	void At(int64_t at_us, std::function<void()> run)
	{
		events_.push({at_us, order_++, std::move(run)});
	}
	int64_t Uniform(int64_t most)
	{
		return std::uniform_int_distribution<int64_t>(0, most)(random_);
	}
	void Ask(uint32_t host, uint32_t delegate)
	{
		if (hosts_[host].has_us >= 0)
			return;
		Fetch(host, delegate, kHops);
		At(now_us_ + 200 * MS, [=] { Ask(host, 1 - delegate); });
	}
	void Fetch(uint32_t host, uint32_t from, int hops)
	{
		Host &server = hosts_[from];
		std::string name = std::to_string(host);
		const char *instead;
		int64_t arrives_us;
		uint32_t next;

		if (server.dead || server.has_us < 0 || server.has_us > now_us_)
			return;
		if (!spread_take(&server.spread, name.c_str(), 1, bytes_,
				 now_us_)) {
			instead =
				spread_instead(&server.spread, name.c_str(), 0);
			if (!instead || !hops)
				return;
			next = (uint32_t)std::stoul(instead);
			At(now_us_ + 2 * MS,
			   [=] { Fetch(host, next, hops - 1); });
			return;
		}
		server.link_free_us = std::max(server.link_free_us, now_us_);
		server.link_free_us +=
			(int64_t)((double)bytes_ / kLinkBytesPerUs);
		server.sent_bytes += bytes_;
		arrives_us = server.link_free_us + MS;
		At(arrives_us, [=] {
			hosts_[host].received++;
			if (hosts_[host].has_us < 0)
				hosts_[host].has_us = now_us_;
		});
	}

	std::vector<Host> hosts_;
	size_t bytes_;
	std::mt19937 random_;
	std::priority_queue<Event> events_;
	uint64_t order_ = 0;
	int64_t now_us_ = 0;
};

/* A configuration of 1,600 routes has 400 KB, and 31 KB when compressed. All hosts
 * have 4 s, of which reading it from the store takes less than one. */
TEST(Spread, ReachesAllHostsOfADomainInTime)
{
	for (uint32_t hosts : {3, 10, 75, 300, 1000})
		for (uint32_t seed = 1; seed <= 10; seed++) {
			Domain d(hosts, 31000, seed);
			int64_t last_us = d.Run(10 * SECOND);

			EXPECT_GE(last_us, 0) << hosts;
			EXPECT_LE(last_us, 3 * SECOND) << hosts;
		}
}

TEST(Spread, ReachesAllHostsWithAVeryLargeRecord)
{
	for (uint32_t hosts : {10, 75, 300}) {
		Domain d(hosts, 256000, hosts);
		int64_t last_us = d.Run(30 * SECOND);

		EXPECT_GE(last_us, 0) << hosts;
		EXPECT_LE(last_us, 10 * SECOND) << hosts;
	}
}

/* Guards against a host whose link is full of what it sends to others. */
TEST(Spread, LeavesTwoThirdsOfALinkFree)
{
	Domain d(1000, 31000, 1);
	int64_t last_us = d.Run(10 * SECOND);

	EXPECT_LE((double)d.MostSent(),
		  131072 + 31000 + 1.25e6 / 3 * (double)last_us / SECOND);
	EXPECT_LE(d.MostReceived(), 2u);
}

TEST(Spread, ReachesTheOthersIfOneThatHasTheRecordDies)
{
	Domain d(75, 31000, 1);
	int64_t last_us;

	d.Kill(0);
	last_us = d.Run(10 * SECOND);
	EXPECT_GE(last_us, 0);
	EXPECT_LE(last_us, 4 * SECOND);
}

TEST(Spread, SendsSmallRepliesAtAnyRate)
{
	struct spread s;

	spread_init(&s, 0);
	for (int i = 0; i < 1000; i++)
		EXPECT_TRUE(spread_take(&s, "a", 1, 1000, 0));
	EXPECT_TRUE(spread_take(&s, "a", 1, 500000, 0));
	EXPECT_FALSE(spread_take(&s, "b", 1, 5000, 0));
	EXPECT_TRUE(spread_take(&s, "b", 1, 1000, 0));
	EXPECT_TRUE(spread_take(&s, "b", 1, 5000, 2 * SECOND));
}

TEST(Spread, DirectsToHostsThatHaveMore)
{
	struct spread s;

	spread_init(&s, 0);
	EXPECT_EQ(spread_instead(&s, "x", 0), nullptr);
	EXPECT_TRUE(spread_take(&s, "a", 5, 10000, 0));
	EXPECT_TRUE(spread_take(&s, "b", 7, 10000, 0));
	EXPECT_STREQ(spread_instead(&s, "x", 6), "b");
	EXPECT_STREQ(spread_instead(&s, "b", 4), "a") << "not to itself";
	EXPECT_EQ(spread_instead(&s, "x", 7), nullptr);
	for (int i = 0; i < 100; i++)
		spread_take(&s, std::to_string(i).c_str(), 8, 5000, i * SECOND);
	EXPECT_STRNE(spread_instead(&s, "x", 7), nullptr);
}
