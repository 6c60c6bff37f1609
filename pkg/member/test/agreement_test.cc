/*
 * Runs several membership cores under a virtual clock, with a simulated network
 * (delay, loss, one-way partitions) and a simulated log and host list.
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

/* All times are in microseconds. */
constexpr int64_t kMs = 1000;
constexpr int64_t kS = 1000 * kMs;
constexpr int64_t kNetworkDelay = 2 * kMs;
constexpr int64_t kAnnouncementTtl = 7 * kS;

struct Host {
	std::string name;
	std::string domain;
	struct member_epoch epoch;
	struct member_peer peer[MEMBER_HOSTS_MAX];
	struct member_core core;
	bool up = true;
	int64_t paused_until = 0;
	bool platform_up = true;  /* the platform is reachable from here */
	uint64_t next_offset = 1; /* of the next record to read */
	int64_t announced = 0;	  /* last announcement to the platform */
	uint64_t max_epoch = 0;
};

struct Simulation {
	int64_t now = kS;
	std::mt19937 rng;
	std::vector<std::unique_ptr<Host>> hosts;
	std::multimap<int64_t, std::function<void()>> events;
	std::vector<std::string> log;
	uint64_t log_start = 1; /* oldest offset in the log */
	bool log_up = true;
	bool timeout_only = false; /* no host list and no probes */
	std::set<std::pair<std::string, std::string>> partition; /* from, to */
	double loss = 0;			  /* probability */
	std::map<uint64_t, std::string> hosts_of; /* by epoch number */
	uint64_t removals = 0;
	uint64_t messages = 0;

	explicit Simulation(unsigned seed) : rng(seed)
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
		member_core_init(&h->core, &self, &h->epoch, h->peer, 1000,
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

	void Schedule(int64_t delay, std::function<void()> f)
	{
		events.emplace(now + delay, std::move(f));
	}

	/* Delivers unless lost; to a paused host when it resumes. */
	void Send(const Host *from, const std::string &to,
		  std::function<void(Host *)> f)
	{
		messages++;
		if (partition.count({from->name, to}) ||
		    std::uniform_real_distribution<>(0, 1)(rng) < loss)
			return;
		Schedule(kNetworkDelay, [this, to, f] {
			Host *h = Find(to);

			if (!h)
				return;
			if (h->paused_until > now)
				Schedule(h->paused_until - now,
					 [h, f] { f(h); });
			else
				f(h);
		});
	}

	void Append(Host *h, char *text)
	{
		if (h->platform_up && log_up)
			log.push_back(text);
		free(text);
	}

	void FetchSnapshot(Host *h, const std::string &to)
	{
		int64_t requested = now;
		std::string self = h->name;

		Send(h, to, [this, self, requested](Host *p) {
			if (p->core.state.has_gap || !p->epoch.number)
				return;
			char *text = member_record_checkpoint(&p->core.state);
			std::string s = text;

			free(text);
			Send(p, self, [this, s, requested](Host *q) {
				struct member_event ev = {};

				ev.kind = MEMBER_EV_SNAPSHOT;
				ev.record.data = s.data();
				ev.record.n = s.size();
				ev.record.requested_us = requested;
				Step(q, ev);
			});
		});
	}

	void Probe(Host *h, const struct member_action &a)
	{
		std::string self = h->name, target = a.host.name;
		uint64_t boot = a.host.boot;

		Send(h, a.addr, [this, self, target, boot](Host *p) {
			uint32_t ms = member_heartbeat_age_ms(
				&p->core, target.c_str(), boot, now);

			Send(p, self, [this, target, boot, ms](Host *q) {
				struct member_event ev = {};

				ev.kind = MEMBER_EV_PROBE_REPLY;
				ev.heartbeat.host = target.c_str();
				ev.heartbeat.boot = boot;
				ev.heartbeat.age_ms = ms;
				Step(q, ev);
			});
		});
	}

	void SendHeartbeat(Host *h, const std::string &to)
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

	void ReadHostList(Host *h)
	{
		std::vector<std::string> names;
		std::vector<const char *> p;
		struct member_event ev = {};

		if (!h->platform_up)
			return;
		for (auto &o : hosts)
			if (!timeout_only &&
			    now - o->announced < kAnnouncementTtl)
				names.push_back(o->name);
		for (auto &n : names)
			p.push_back(n.c_str());
		ev.kind = MEMBER_EV_HOST_LIST;
		ev.list.name = p.data();
		ev.list.n = (uint32_t)p.size();
		Step(h, ev);
	}

	void Execute(Host *h, const struct member_action &a)
	{
		switch (a.kind) {
		case MEMBER_ACT_HEARTBEAT:
			SendHeartbeat(h, a.addr);
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
			if (!timeout_only)
				Probe(h, a);
			break;
		case MEMBER_ACT_FETCH_SNAPSHOT:
			FetchSnapshot(h, a.addr);
			break;
		case MEMBER_ACT_FETCH_ANY:
			FetchSnapshot(h, hosts[rng() % hosts.size()]->name);
			break;
		case MEMBER_ACT_READ_LIST:
			Schedule(kNetworkDelay, [this, h] {
				if (h->up)
					ReadHostList(h);
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
			Execute(h, a);
	}

	/* The number never decreases; one number has one set of hosts. */
	void CheckEpoch(Host *h)
	{
		std::string set;

		EXPECT_GE(h->epoch.number, h->max_epoch) << h->name;
		h->max_epoch = h->epoch.number;
		for (uint32_t i = 0; i < h->epoch.n; i++)
			set += std::string(h->epoch.host[i].name) + "/" +
			       std::to_string(h->epoch.host[i].join_offset) +
			       (h->epoch.host[i].leaving ? "-" : "+");
		auto it = hosts_of.emplace(h->epoch.number, set).first;
		EXPECT_EQ(it->second, set) << h->epoch.number;
	}

	void ReadLog(Host *h)
	{
		struct member_event ev = {};

		if (!h->platform_up || !log_up) {
			ev.kind = MEMBER_EV_LOG_DOWN;
			Step(h, ev);
			return;
		}
		if (h->next_offset < log_start)
			h->next_offset = log_start;
		ev.record.first = log_start;
		for (; h->next_offset <= log.size(); h->next_offset++) {
			std::string s = log[h->next_offset - 1];

			ev.kind = MEMBER_EV_RECORD;
			ev.record.offset = h->next_offset;
			ev.record.data = s.data();
			ev.record.n = s.size();
			Step(h, ev);
		}
		ev = {};
		ev.kind = MEMBER_EV_TAIL;
		ev.record.first = log_start;
		Step(h, ev);
	}

	void Tick(Host *h)
	{
		struct member_event ev = {};

		if (!h->up || h->paused_until > now)
			return;
		if (h->platform_up)
			h->announced = now;
		ev.kind = MEMBER_EV_TICK;
		Step(h, ev);
		ReadLog(h);
	}

	void Run(int64_t us)
	{
		int64_t end = now + us;

		while (now < end) {
			for (size_t i = 0; i < hosts.size(); i++)
				Tick(hosts[i].get());
			int64_t next = now + 250 * kMs;

			while (!events.empty() &&
			       events.begin()->first < next) {
				auto it = events.begin();
				auto f = it->second;

				now = std::max(now, it->first);
				events.erase(it);
				f();
			}
			now = next;
		}
	}

	void StartCluster(int a, int b)
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

	bool HasMember(Host *h, const std::string &name)
	{
		return member_find(&h->epoch, name.c_str()) != nullptr;
	}
};

TEST(Agreement, FailedHostIsRemovedWithin15Seconds)
{
	for (unsigned seed = 1; seed <= 20; seed++) {
		Simulation sim(seed);

		sim.loss = 0.05;
		sim.StartCluster(7, 4);
		sim.Find("a3")->up = false;
		sim.Run(15 * kS);
		for (auto &h : sim.hosts)
			EXPECT_EQ(!h->up, sim.HasMember(h.get(), "a3"))
				<< h->name << " seed " << seed;
	}
}

TEST(Agreement, OneWayPartitionsAndPausesRemoveNoHost)
{
	for (unsigned seed = 1; seed <= 20; seed++) {
		Simulation sim(seed);
		uint64_t number;

		sim.loss = 0.05;
		sim.StartCluster(7, 4);
		number = sim.Find("a0")->epoch.number;
		sim.partition.insert({"a1", "a2"});
		sim.partition.insert({"a1", "a3"});
		sim.partition.insert({"a4", "a1"});
		/* a1 is off the list as well; other monitors get heartbeats. */
		sim.Find("a1")->platform_up = false;
		for (int i = 0; i < 5; i++) {
			sim.Find("a5")->paused_until = sim.now + 5 * kS;
			sim.Run(20 * kS);
		}
		for (auto &h : sim.hosts)
			EXPECT_EQ(number, h->epoch.number)
				<< h->name << " seed " << seed;
	}
}

/*
 * Shows that the checks can fail: without the host list and indirect probes, a
 * one-way partition does remove a host that runs.
 */
TEST(Agreement, RemovalByTimeoutOnlyRemovesRunningHosts)
{
	Simulation sim(1);

	sim.timeout_only = true;
	sim.StartCluster(7, 4);
	for (auto &h : sim.hosts)
		if (h->name != "a1")
			sim.partition.insert({"a1", h->name});
	sim.Run(30 * kS);
	EXPECT_GT(sim.removals, 0u);
}

/* A host that was removed during a pause must not act when it resumes. */
TEST(Agreement, PausedHostIsNotCurrentUntilItReadsTheTail)
{
	Simulation sim(3);
	struct member_event ev = {};
	Host *h;

	sim.StartCluster(4, 2);
	h = sim.Find("a2");
	sim.log_up = false;
	h->paused_until = sim.now + 30 * kS;
	sim.Run(29 * kS);
	EXPECT_FALSE(sim.IsCurrent(h)); /* before it handles any event */
	sim.partition.insert({"a0", "a2"});
	sim.partition.insert({"a1", "a2"});
	sim.partition.insert({"a3", "a2"});
	sim.Run(10 * kS);
	EXPECT_FALSE(sim.IsCurrent(h));
	/* A snapshot requested before the pause does not confirm. */
	ev.kind = MEMBER_EV_SNAPSHOT;
	std::string text = "{\"kind\":\"checkpoint\",\"number\":90,"
			   "\"upto\":91,\"hosts\":[]}";
	ev.record.data = text.data();
	ev.record.n = text.size();
	ev.record.requested_us = kS;
	Simulation other(4);
	Host *o = other.Add("o", "A");
	o->core.resumed_us = 2 * kS;
	other.Step(o, ev);
	EXPECT_FALSE(o->core.current);
	sim.log_up = true;
	sim.Run(2 * kS);
	EXPECT_TRUE(sim.IsCurrent(h) || !sim.HasMember(h, "a2"));
	sim.Run(5 * kS);
	EXPECT_TRUE(sim.IsCurrent(h));
}

/* Guards against a host that acts on an epoch of which it was removed: the first
 * event after its pause is the end of the log, as it was read before the pause. */
TEST(Agreement, EndOfTheLogThatWasReadBeforeAPauseDoesNotConfirm)
{
	Simulation sim(6);
	struct member_event ev = {};
	Host *h;

	sim.StartCluster(4, 2);
	h = sim.Find("a2");
	ASSERT_TRUE(sim.IsCurrent(h));
	sim.log_up = false;
	h->paused_until = sim.now + 30 * kS;
	sim.Run(29 * kS);
	ev.kind = MEMBER_EV_TAIL;
	ev.record.first = 1;
	sim.Step(h, ev);
	EXPECT_FALSE(sim.IsCurrent(h));
	/* The end of the log that is read after the pause does. */
	sim.Step(h, ev);
	EXPECT_TRUE(sim.IsCurrent(h));
}

TEST(Agreement, DomainConfirmsTheEpochAfterAPauseWithoutTheLog)
{
	Simulation sim(5);
	Host *h;

	sim.StartCluster(5, 3);
	h = sim.Find("a2");
	sim.log_up = false;
	h->paused_until = sim.now + 5 * kS;
	sim.Run(10 * kS);
	EXPECT_TRUE(sim.IsCurrent(h));
}

/* A process resumes after a later start of the same host has joined. */
TEST(Agreement, RestartFencesTheEarlierStart)
{
	Simulation sim(6);
	Host *old, *again;

	sim.StartCluster(4, 3);
	old = sim.Find("a1");
	old->paused_until = sim.now + 20 * kS;
	again = sim.Add("a1", "A");
	sim.Run(5 * kS);
	EXPECT_TRUE(sim.IsCurrent(again));
	EXPECT_FALSE(sim.IsCurrent(old));
	sim.Run(30 * kS);
	EXPECT_FALSE(sim.IsCurrent(old));
	EXPECT_EQ(again->core.self.boot,
		  member_find(&sim.Find("a0")->epoch, "a1")->boot);
}

TEST(Agreement, StartWithoutTheLogFetchesTheEpochFromAPeer)
{
	Simulation sim(7);
	Host *h;

	sim.StartCluster(4, 3);
	sim.log_up = false;
	h = sim.Add("a9", "A");
	sim.Run(10 * kS);
	EXPECT_EQ(sim.Find("a0")->epoch.number, h->epoch.number);
	EXPECT_FALSE(sim.IsCurrent(h)); /* not a member yet */
	sim.log_up = true;
	sim.Run(5 * kS);
	EXPECT_TRUE(sim.IsCurrent(h));
}

TEST(Agreement, HostsWithoutThePlatformFetchEpochsFromPeers)
{
	Simulation sim(8);
	Host *h;

	sim.StartCluster(4, 4);
	for (int i = 0; i < 4; i++)
		sim.Find("b" + std::to_string(i))->platform_up = false;
	sim.Add("a7", "A");
	sim.Run(10 * kS);
	h = sim.Find("b2");
	EXPECT_TRUE(sim.HasMember(h, "a7"));
	EXPECT_TRUE(sim.IsCurrent(h));
}

TEST(Agreement, LeavingHostIsAMemberUntilItStops)
{
	Simulation sim(9);
	struct member_event ev = {};
	Host *h;

	sim.StartCluster(4, 3);
	h = sim.Find("a1");
	ev.kind = MEMBER_EV_LEAVE;
	sim.Step(h, ev);
	sim.Run(3 * kS);
	ASSERT_TRUE(sim.HasMember(sim.Find("b1"), "a1"));
	EXPECT_TRUE(member_find(&sim.Find("b1")->epoch, "a1")->leaving);
	sim.Run(20 * kS);
	EXPECT_TRUE(sim.HasMember(sim.Find("b1"), "a1"));
	h->up = false;
	sim.Run(15 * kS);
	EXPECT_FALSE(sim.HasMember(sim.Find("b1"), "a1"));
	h = sim.Add("a1", "A");
	sim.Run(5 * kS);
	EXPECT_TRUE(sim.IsCurrent(h));
}

TEST(Agreement, CheckpointsKeepTheEpochWhenRecordsExpire)
{
	for (unsigned seed = 1; seed <= 20; seed++) {
		Simulation sim(seed);
		Host *h;

		sim.StartCluster(4, 3);
		sim.Run(15 * 60 * kS);
		sim.log_start = sim.log.size() - sim.rng() % 2;
		h = sim.Add("a9", "A");
		sim.Run(15 * kS);
		EXPECT_TRUE(sim.IsCurrent(h)) << seed;
		sim.log_start = sim.log.size() + 1; /* every record expired */
		h = sim.Add("b9", "B");
		sim.Run(30 * kS);
		EXPECT_TRUE(sim.IsCurrent(h)) << seed;
		EXPECT_TRUE(sim.HasMember(h, "a0")) << seed;
	}
}

TEST(Agreement, HostsJoinAnewIfTheLogExpiredWithoutAnEpoch)
{
	Simulation sim(2);

	sim.log.assign(50, "{\"kind\":\"join\"}");
	sim.log_start = 51;
	sim.Add("a0", "A");
	sim.Add("a1", "A");
	sim.Run(60 * kS);
	for (auto &h : sim.hosts) {
		EXPECT_TRUE(sim.IsCurrent(h.get())) << h->name;
		EXPECT_GT(h->epoch.number, 50u);
	}
}

TEST(Agreement, RandomFaultsNeverGiveAnEpochTwoHostSets)
{
	for (unsigned seed = 1; seed <= 60; seed++) {
		Simulation sim(seed);

		sim.loss = 0.1;
		sim.StartCluster(5, 4);
		for (int i = 0; i < 25; i++) {
			Host *h = sim.hosts[sim.rng() % sim.hosts.size()].get();

			switch (sim.rng() % 7) {
			case 0:
				h->paused_until = sim.now + sim.rng() % 12 * kS;
				break;
			case 1:
				h->platform_up = !h->platform_up;
				break;
			case 2:
				sim.log_up = !sim.log_up;
				break;
			case 3:
				sim.partition.insert(
					{h->name,
					 "a" + std::to_string(sim.rng() % 5)});
				break;
			case 4:
				sim.partition.clear();
				break;
			case 5:
				if (sim.log.size() > 4)
					sim.log_start = std::max<uint64_t>(
						sim.log_start,
						sim.log.size() - 3);
				break;
			case 6:
				if (!h->up)
					break;
				h->up = false;
				sim.Add(h->name, h->domain);
				break;
			}
			sim.Run((int64_t)(sim.rng() % 8) * kS);
		}
		sim.log_up = true;
		sim.partition.clear();
		for (auto &h : sim.hosts)
			h->platform_up = true;
		sim.Run(180 * kS);
		for (auto &h : sim.hosts)
			EXPECT_TRUE(!h->up || sim.IsCurrent(h.get()))
				<< h->name << " seed " << seed;
	}
}

TEST(Agreement, MessagesGrowLinearlyWithTheHosts)
{
	Simulation sim(1);
	uint64_t before;

	sim.StartCluster(45, 45);
	before = sim.messages;
	sim.Run(20 * kS);
	/* Each host sends six heartbeats a second; relays send more. */
	EXPECT_LE((sim.messages - before) / 20, 90u * 7);
}

} // namespace
