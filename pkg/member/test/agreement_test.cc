/*
 * Several cores under a virtual clock, joined by a fake link (delay, loss, cuts)
 * and a fake log and host list of the platform.
 */
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "member.h"
}

namespace
{

constexpr int64_t kMs = 1000;
constexpr int64_t kS = 1000 * kMs;
constexpr int64_t kDelay = 2 * kMs;
constexpr int64_t kListLag = 7 * kS; /* announcements live this long */

struct Host {
	std::string name;
	std::string domain;
	struct member_epoch epoch;
	struct member_peer watch[MEMBER_HOSTS_MAX];
	struct member_core core;
	bool up = true;
	int64_t paused_until = 0;
	bool platform = true; /* reaches the platform */
	uint64_t read = 1;    /* the follower's position */
	int64_t announced = 0;
	uint64_t highest = 0;
};

struct World {
	int64_t now = kS;
	std::mt19937 rng;
	std::vector<std::unique_ptr<Host>> hosts;
	std::multimap<int64_t, std::function<void()>> queue;
	std::vector<std::string> log;
	uint64_t first = 1; /* oldest record kept */
	bool log_up = true;
	bool judge_by_silence = false;			   /* planted fault */
	std::set<std::pair<std::string, std::string>> cut; /* from, to */
	double loss = 0;
	std::map<uint64_t, std::string> sets; /* members by epoch number */
	uint64_t removals = 0;
	uint64_t messages = 0;

	explicit World(unsigned seed) : rng(seed)
	{
	}

	Host *Add(const std::string &name, const std::string &domain)
	{
		auto h = std::make_unique<Host>();
		struct member_host self = {};

		h->name = name;
		h->domain = domain;
		snprintf(self.name, sizeof(self.name), "%s", name.c_str());
		snprintf(self.domain, sizeof(self.domain), "%s",
			 domain.c_str());
		snprintf(self.addr, sizeof(self.addr), "%s", name.c_str());
		self.boot = (uint64_t)now + hosts.size();
		member_core_init(&h->core, &self, &h->epoch, h->watch, 1000,
				 3000, 600, now);
		hosts.push_back(std::move(h));
		return hosts.back().get();
	}

	Host *Find(const std::string &name)
	{
		for (auto &h : hosts)
			if (h->name == name && h->up)
				return h.get();
		return nullptr;
	}

	void After(int64_t delay, std::function<void()> f)
	{
		queue.emplace(now + delay, std::move(f));
	}

	/* Delivers to a host unless lost; a paused one gets it on waking. */
	void Send(const Host *from, const std::string &to,
		  std::function<void(Host *)> f)
	{
		messages++;
		if (cut.count({from->name, to}) ||
		    std::uniform_real_distribution<>(0, 1)(rng) < loss)
			return;
		After(kDelay, [this, to, f] {
			Host *h = Find(to);

			if (!h)
				return;
			if (h->paused_until > now)
				After(h->paused_until - now, [h, f] { f(h); });
			else
				f(h);
		});
	}

	void Append(Host *h, char *text)
	{
		if (h->platform && log_up)
			log.push_back(text);
		free(text);
	}

	void Snapshot(Host *h, const std::string &to)
	{
		int64_t asked = now;
		std::string me = h->name;

		Send(h, to, [this, me, asked](Host *p) {
			if (p->core.state.has_gap || !p->epoch.number)
				return;
			char *text = member_record_checkpoint(&p->core.state);
			std::string s = text;

			free(text);
			Send(p, me, [this, s, asked](Host *q) {
				struct member_event ev = {};

				ev.kind = MEMBER_EV_SNAPSHOT;
				ev.record.data = s.data();
				ev.record.n = s.size();
				ev.record.requested_us = asked;
				Step(q, ev);
			});
		});
	}

	void Ask(Host *h, const struct member_action &a)
	{
		std::string me = h->name, who = a.host.name;
		uint64_t boot = a.host.boot;

		Send(h, a.addr, [this, me, who, boot](Host *p) {
			uint32_t ms = member_heartbeat_age_ms(
				&p->core, who.c_str(), boot, now);

			Send(p, me, [this, who, boot, ms](Host *q) {
				struct member_event ev = {};

				ev.kind = MEMBER_EV_PROBE_REPLY;
				ev.heartbeat.host = who.c_str();
				ev.heartbeat.boot = boot;
				ev.heartbeat.age_ms = ms;
				Step(q, ev);
			});
		});
	}

	void Beat(Host *h, const std::string &to)
	{
		std::string name = h->name;
		uint64_t boot = h->core.self.boot, number = h->epoch.number;
		bool current = h->core.current;

		Send(h, to, [this, name, boot, number, current](Host *p) {
			struct member_event ev = {};

			ev.kind = MEMBER_EV_HEARTBEAT;
			ev.heartbeat.host = name.c_str();
			ev.heartbeat.addr = name.c_str();
			ev.heartbeat.boot = boot;
			ev.heartbeat.epoch_number = number;
			ev.heartbeat.current = current;
			Step(p, ev);
		});
	}

	void List(Host *h)
	{
		std::vector<std::string> names;
		std::vector<const char *> p;
		struct member_event ev = {};

		if (!h->platform)
			return;
		for (auto &o : hosts)
			if (!judge_by_silence && now - o->announced < kListLag)
				names.push_back(o->name);
		for (auto &n : names)
			p.push_back(n.c_str());
		ev.kind = MEMBER_EV_HOST_LIST;
		ev.list.name = p.data();
		ev.list.n = (uint32_t)p.size();
		Step(h, ev);
	}

	void Act(Host *h, const struct member_action &a)
	{
		switch (a.kind) {
		case MEMBER_ACT_HEARTBEAT:
			Beat(h, a.addr);
			break;
		case MEMBER_ACT_JOIN:
			Append(h, member_record_join(&a.host));
			break;
		case MEMBER_ACT_LEAVE:
			Append(h, member_record_leave(&a.host));
			break;
		case MEMBER_ACT_REMOVE:
			removals++;
			Append(h, member_record_remove(&a.host, "x"));
			break;
		case MEMBER_ACT_CHECKPOINT:
			Append(h, member_record_checkpoint(&h->core.state));
			break;
		case MEMBER_ACT_PROBE:
			if (!judge_by_silence)
				Ask(h, a);
			break;
		case MEMBER_ACT_FETCH_SNAPSHOT:
			Snapshot(h, a.addr);
			break;
		case MEMBER_ACT_FETCH_ANY:
			Snapshot(h, hosts[rng() % hosts.size()]->name);
			break;
		case MEMBER_ACT_READ_LIST:
			After(kDelay, [this, h] {
				if (h->up)
					List(h);
			});
			break;
		case MEMBER_ACT_REREAD_LOG:
		case MEMBER_ACT_EPOCH_CHANGED:
			break;
		}
	}

	void Step(Host *h, const struct member_event &ev)
	{
		static struct member_actions out;
		std::vector<struct member_action> list;

		if (!h->up)
			return;
		member_step(&h->core, &ev, now, &out);
		list.assign(out.action, out.action + out.n);
		CheckEpoch(h);
		for (auto &a : list)
			Act(h, a);
	}

	/* Numbers never go back; one number has one set of members. */
	void CheckEpoch(Host *h)
	{
		std::string set;

		EXPECT_GE(h->epoch.number, h->highest) << h->name;
		h->highest = h->epoch.number;
		for (uint32_t i = 0; i < h->epoch.n; i++)
			set += std::string(h->epoch.host[i].name) + "/" +
			       std::to_string(h->epoch.host[i].join_offset) +
			       (h->epoch.host[i].leaving ? "-" : "+");
		auto it = sets.emplace(h->epoch.number, set).first;
		EXPECT_EQ(it->second, set) << h->epoch.number;
	}

	void Follow(Host *h)
	{
		struct member_event ev = {};

		if (!h->platform || !log_up) {
			ev.kind = MEMBER_EV_LOG_DOWN;
			Step(h, ev);
			return;
		}
		if (h->read < first)
			h->read = first;
		ev.record.first = first;
		for (; h->read <= log.size(); h->read++) {
			std::string s = log[h->read - 1];

			ev.kind = MEMBER_EV_RECORD;
			ev.record.offset = h->read;
			ev.record.data = s.data();
			ev.record.n = s.size();
			Step(h, ev);
		}
		ev = {};
		ev.kind = MEMBER_EV_TAIL;
		ev.record.first = first;
		Step(h, ev);
	}

	void Turn(Host *h)
	{
		struct member_event ev = {};

		if (!h->up || h->paused_until > now)
			return;
		if (h->platform)
			h->announced = now;
		ev.kind = MEMBER_EV_TICK;
		Step(h, ev);
		Follow(h);
	}

	void Run(int64_t us)
	{
		int64_t end = now + us;

		while (now < end) {
			for (size_t i = 0; i < hosts.size(); i++)
				Turn(hosts[i].get());
			int64_t next = now + 250 * kMs;

			while (!queue.empty() && queue.begin()->first < next) {
				auto it = queue.begin();
				auto f = it->second;

				now = std::max(now, it->first);
				queue.erase(it);
				f();
			}
			now = next;
		}
	}

	void Cluster(int a, int b)
	{
		for (int i = 0; i < a; i++)
			Add("a" + std::to_string(i), "A");
		for (int i = 0; i < b; i++)
			Add("b" + std::to_string(i), "B");
		Run(10 * kS);
		for (auto &h : hosts)
			ASSERT_TRUE(IsCurrent(h.get())) << h->name;
	}

	bool IsCurrent(Host *h)
	{
		return member_is_current(&h->core, now);
	}

	bool Knows(Host *h, const std::string &name)
	{
		return member_find(&h->epoch, name.c_str()) != nullptr;
	}
};

TEST(Agreement, ADeadHostIsRemovedIn15Seconds)
{
	for (unsigned seed = 1; seed <= 20; seed++) {
		World w(seed);

		w.loss = 0.05;
		w.Cluster(7, 4);
		w.Find("a3")->up = false;
		w.Run(15 * kS);
		for (auto &h : w.hosts)
			EXPECT_EQ(!h->up, w.Knows(h.get(), "a3"))
				<< h->name << " seed " << seed;
	}
}

TEST(Agreement, OneWayCutsAndPausesRemoveNobody)
{
	for (unsigned seed = 1; seed <= 20; seed++) {
		World w(seed);
		uint64_t number;

		w.loss = 0.05;
		w.Cluster(7, 4);
		number = w.Find("a0")->epoch.number;
		w.cut.insert({"a1", "a2"});
		w.cut.insert({"a1", "a3"});
		w.cut.insert({"a4", "a1"});
		/* a1 is off the list as well, but others of its domain hear it. */
		w.Find("a1")->platform = false;
		for (int i = 0; i < 5; i++) {
			w.Find("a5")->paused_until = w.now + 5 * kS;
			w.Run(20 * kS);
		}
		for (auto &h : w.hosts)
			EXPECT_EQ(number, h->epoch.number)
				<< h->name << " seed " << seed;
	}
}

/* A checker that can't fail proves nothing: without the list and the other
   monitors' word, the same faults do remove hosts that live. */
TEST(Agreement, PlantedFaultRemovesLivingHosts)
{
	World w(1);

	w.judge_by_silence = true;
	w.Cluster(7, 4);
	for (auto &h : w.hosts)
		if (h->name != "a1")
			w.cut.insert({"a1", h->name});
	w.Run(30 * kS);
	EXPECT_GT(w.removals, 0u);
}

TEST(Agreement, APausedHostTrustsNothingUntilItHeardTheTail)
{
	World w(3);
	struct member_event ev = {};
	Host *h;

	w.Cluster(4, 2);
	h = w.Find("a2");
	w.log_up = false;
	h->paused_until = w.now + 30 * kS;
	w.Run(29 * kS);
	EXPECT_FALSE(w.IsCurrent(h)); /* before it takes any event */
	w.cut.insert({"a0", "a2"});
	w.cut.insert({"a1", "a2"});
	w.cut.insert({"a3", "a2"});
	w.Run(10 * kS);
	EXPECT_FALSE(w.IsCurrent(h));
	/* a reply that it had asked for before the pause proves nothing */
	ev.kind = MEMBER_EV_SNAPSHOT;
	std::string text = "{\"kind\":\"checkpoint\",\"number\":90,"
			   "\"upto\":91,\"hosts\":[]}";
	ev.record.data = text.data();
	ev.record.n = text.size();
	ev.record.requested_us = kS;
	World other(4);
	Host *o = other.Add("o", "A");
	o->core.resumed_us = 2 * kS;
	other.Step(o, ev);
	EXPECT_FALSE(o->core.current);
	w.log_up = true;
	w.Run(2 * kS);
	EXPECT_TRUE(w.IsCurrent(h) || !w.Knows(h, "a2"));
	w.Run(5 * kS);
	EXPECT_TRUE(w.IsCurrent(h));
}

TEST(Agreement, WithoutTheLogOthersOfTheDomainConfirmAfterAPause)
{
	World w(5);
	Host *h;

	w.Cluster(5, 3);
	h = w.Find("a2");
	w.log_up = false;
	h->paused_until = w.now + 5 * kS;
	w.Run(10 * kS);
	EXPECT_TRUE(w.IsCurrent(h));
}

TEST(Agreement, ARestartEndsTheRightsOfTheEarlierStart)
{
	World w(6);
	Host *old, *again;

	w.Cluster(4, 3);
	old = w.Find("a1");
	old->paused_until = w.now + 20 * kS;
	again = w.Add("a1", "A");
	w.Run(5 * kS);
	EXPECT_TRUE(w.IsCurrent(again));
	EXPECT_FALSE(w.IsCurrent(old));
	w.Run(30 * kS);
	EXPECT_FALSE(w.IsCurrent(old));
	EXPECT_EQ(again->core.self.boot,
		  member_find(&w.Find("a0")->epoch, "a1")->boot);
}

TEST(Agreement, AStartWithoutTheLogLearnsTheEpochFromAPeer)
{
	World w(7);
	Host *h;

	w.Cluster(4, 3);
	w.log_up = false;
	h = w.Add("a9", "A");
	w.Run(10 * kS);
	EXPECT_EQ(w.Find("a0")->epoch.number, h->epoch.number);
	EXPECT_FALSE(w.IsCurrent(h)); /* it is no member yet */
	w.log_up = true;
	w.Run(5 * kS);
	EXPECT_TRUE(w.IsCurrent(h));
}

TEST(Agreement, CutFromThePlatformHearsNewEpochsFromPeers)
{
	World w(8);
	Host *h;

	w.Cluster(4, 4);
	for (int i = 0; i < 4; i++)
		w.Find("b" + std::to_string(i))->platform = false;
	w.Add("a7", "A");
	w.Run(10 * kS);
	h = w.Find("b2");
	EXPECT_TRUE(w.Knows(h, "a7"));
	EXPECT_TRUE(w.IsCurrent(h));
}

TEST(Agreement, ALeavingHostStaysUntilItIsGoneAndTakesNoHomes)
{
	World w(9);
	struct member_event ev = {};
	Host *h;

	w.Cluster(4, 3);
	h = w.Find("a1");
	ev.kind = MEMBER_EV_LEAVE;
	w.Step(h, ev);
	w.Run(3 * kS);
	ASSERT_TRUE(w.Knows(w.Find("b1"), "a1"));
	EXPECT_TRUE(member_find(&w.Find("b1")->epoch, "a1")->leaving);
	w.Run(20 * kS);
	EXPECT_TRUE(w.Knows(w.Find("b1"), "a1"));
	h->up = false;
	w.Run(15 * kS);
	EXPECT_FALSE(w.Knows(w.Find("b1"), "a1"));
	h = w.Add("a1", "A");
	w.Run(5 * kS);
	EXPECT_TRUE(w.IsCurrent(h));
}

TEST(Agreement, CheckpointsCarryTheEpochOverExpiry)
{
	for (unsigned seed = 1; seed <= 20; seed++) {
		World w(seed);
		Host *h;

		w.Cluster(4, 3);
		w.Run(15 * 60 * kS);
		w.first = w.log.size() - w.rng() % 2;
		h = w.Add("a9", "A");
		w.Run(15 * kS);
		EXPECT_TRUE(w.IsCurrent(h)) << seed;
		w.first = w.log.size() + 1; /* nothing left at all */
		h = w.Add("b9", "B");
		w.Run(30 * kS);
		EXPECT_TRUE(w.IsCurrent(h)) << seed;
		EXPECT_TRUE(w.Knows(h, "a0")) << seed;
	}
}

TEST(Agreement, AnExpiredLogWithoutMembersBeginsAnew)
{
	World w(2);

	w.log.assign(50, "{\"kind\":\"join\"}");
	w.first = 51;
	w.Add("a0", "A");
	w.Add("a1", "A");
	w.Run(60 * kS);
	for (auto &h : w.hosts) {
		EXPECT_TRUE(w.IsCurrent(h.get())) << h->name;
		EXPECT_GT(h->epoch.number, 50u);
	}
}

TEST(Agreement, RandomFaultsNeverSplitAnEpoch)
{
	for (unsigned seed = 1; seed <= 60; seed++) {
		World w(seed);

		w.loss = 0.1;
		w.Cluster(5, 4);
		for (int i = 0; i < 25; i++) {
			Host *h = w.hosts[w.rng() % w.hosts.size()].get();

			switch (w.rng() % 7) {
			case 0:
				h->paused_until = w.now + w.rng() % 12 * kS;
				break;
			case 1:
				h->platform = !h->platform;
				break;
			case 2:
				w.log_up = !w.log_up;
				break;
			case 3:
				w.cut.insert(
					{h->name,
					 "a" + std::to_string(w.rng() % 5)});
				break;
			case 4:
				w.cut.clear();
				break;
			case 5:
				if (w.log.size() > 4)
					w.first = std::max<uint64_t>(
						w.first, w.log.size() - 3);
				break;
			case 6:
				if (!h->up)
					break;
				h->up = false;
				w.Add(h->name, h->domain);
				break;
			}
			w.Run((int64_t)(w.rng() % 8) * kS);
		}
		w.log_up = true;
		w.cut.clear();
		for (auto &h : w.hosts)
			h->platform = true;
		w.Run(180 * kS);
		for (auto &h : w.hosts)
			EXPECT_TRUE(!h->up || w.IsCurrent(h.get()))
				<< h->name << " seed " << seed;
	}
}

TEST(Agreement, MessagesDoNotGrowWithTheSquareOfHosts)
{
	World w(1);
	uint64_t before;

	w.Cluster(45, 45);
	before = w.messages;
	w.Run(20 * kS);
	/* six monitors a second, and the relays between domains */
	EXPECT_LE((w.messages - before) / 20, 90u * 7);
}

} // namespace
