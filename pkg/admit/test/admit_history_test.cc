#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "admit.h"
}

/*
 * Simulation in virtual time: several hosts run pkg/admit over shared endpoints
 * and a network that delays, loses and duplicates messages. Hosts are killed
 * and paused, leave and join; endpoints crash. At each start of a run the test
 * checks the runs that the endpoint holds against its slots, its pieces and
 * slow start.
 */

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000 * MS;
constexpr int64_t POLL_US = ADMIT_REPORT_INTERVAL_US;
constexpr int64_t SIMULATED_US = 60 * S;
constexpr uint32_t SLOTS = 8;
constexpr uint32_t PIECES = 12;
/* Time after a restart in which the owner may not know of it yet. */
constexpr int64_t DETECT_US = 3000 * MS;

/* Bugs that are injected to show that the checks detect them. */
enum class Bug {
	NONE,
	EVERY_HOST_GRANTS,
	NO_HANDOVER_WAIT,
	LATE_STARTS,
	CANCEL_FREES_SLOT,
	NO_SLOW_START,
};

struct Run {
	uint32_t pieces;
	int64_t requested_us;
	int holder;
};

struct Endpoint {
	std::map<std::string, Run> runs, snapshot;
	uint64_t boot = 1, snapshot_boot = 1;
	int64_t restarted_us = -100 * S, snapshot_us = 0;
	uint32_t completed = 0; /* runs since the restart */
	/* Most runs held at once that were requested before DETECT_US. */
	uint32_t early_max = 0;

	uint32_t pieces() const
	{
		uint32_t n = 0;

		for (auto &r : runs)
			n += r.second.pieces;
		return n;
	}
};

struct Host {
	struct admit a = {};
	bool up = false, leaving = false;
	uint32_t generation = 0;
	int64_t paused_until_us = 0;
	std::string name;
};

struct History {
	using Event = std::function<void()>;
	struct TimedEvent {
		int64_t at_us;
		uint64_t seq;
		Event run;
		bool operator<(const TimedEvent &o) const
		{
			return at_us != o.at_us ? at_us > o.at_us : seq > o.seq;
		}
	};

	std::mt19937_64 random;
	Bug bug;
	int64_t now_us = 100 * S;
	uint64_t next_id = 0;
	std::priority_queue<TimedEvent> event_queue;
	std::vector<Host> hosts;
	std::vector<Endpoint> endpoints;
	std::shared_ptr<struct member_epoch> epoch;
	struct config conf = {};
	std::vector<struct config_endpoint> declared;
	struct config_domain domain = {};
	/* Starts of runs after which an endpoint held too much. */
	uint32_t over_slots = 0, over_pieces = 0, over_slow_start = 0;
	uint32_t granted = 0, runs = 0, handovers = 0;
	uint64_t outcomes[5] = {};

	History(uint64_t seed, Bug b) : random(seed), bug(b)
	{
		hosts = std::vector<Host>(3 + random() % 4);
		endpoints.resize(3);
		declared.resize(endpoints.size());
		strcpy(domain.name, "d");
		conf.domain = &domain;
		conf.domain_n = 1;
		conf.endpoint = declared.data();
		conf.endpoint_n = declared.size();
		for (size_t i = 0; i < declared.size(); i++) {
			snprintf(declared[i].name, 64, "e%zu", i);
			strcpy(declared[i].domain, "d");
			strcpy(declared[i].serves, "m");
			declared[i].slots = SLOTS;
			declared[i].pieces = PIECES;
		}
		for (size_t i = 0; i < hosts.size(); i++) {
			hosts[i].name = "h" + std::to_string(i);
			start_host(i);
		}
		publish();
		for (size_t i = 0; i < endpoints.size(); i++)
			schedule(between(5, 30) * S,
				 [=] { crash_endpoint(i); });
		schedule(between(2, 6) * S, [=] { inject_host_fault(); });
	}

	~History()
	{
		for (auto &h : hosts)
			admit_finish(&h.a);
	}

	int64_t between(int64_t a, int64_t b)
	{
		return a + (int64_t)(random() % (uint64_t)(b - a + 1));
	}

	bool chance(int percent)
	{
		return (int)(random() % 100) < percent;
	}

	void schedule(int64_t in_us, Event e)
	{
		event_queue.push({now_us + in_us, next_id++, std::move(e)});
	}

	/* Schedules an action of a host; a pause delays it, a kill drops it. */
	void on_host(int h, int64_t in_us, Event e)
	{
		on_generation(h, hosts[h].generation, in_us, std::move(e));
	}

	void on_generation(int h, uint32_t generation, int64_t in_us, Event e)
	{
		schedule(in_us, [=] {
			Host &to = hosts[h];

			if (!to.up || to.generation != generation)
				return;
			if (to.paused_until_us > now_us)
				on_generation(h, generation,
					      to.paused_until_us - now_us, e);
			else
				e();
		});
	}

	/* Sends a message to a host, with delay, loss and duplication. */
	void send(int h, Event e)
	{
		int copies = chance(5) ? 0 : chance(5) ? 2 : 1;

		for (int i = 0; i < copies; i++)
			on_host(h,
				chance(3) ? between(0, 1500 * MS)
					  : between(0, 30 * MS),
				e);
	}

	int host_named(const char *name)
	{
		for (size_t i = 0; i < hosts.size(); i++)
			if (hosts[i].name == name)
				return i;
		return -1;
	}

	void start_host(int h)
	{
		Host &me = hosts[h];

		admit_finish(&me.a);
		admit_init(&me.a);
		strcpy(me.a.host, me.name.c_str());
		admit_configure(&me.a, &conf);
		me.up = true;
		me.leaving = false;
		me.generation++;
		me.paused_until_us = 0;
		on_host(h, between(0, 100) * MS, [=] { tick(h); });
		on_host(h, between(0, 500) * MS, [=] { poll_load(h); });
		on_host(h, between(0, 500) * MS, [=] { request_grant(h); });
		on_host(h, 2 * S, [=] { read_epoch(h); });
	}

	/* Makes a new epoch of the hosts that are up, and delivers it. */
	void publish()
	{
		auto e = std::make_shared<struct member_epoch>();

		e->number = epoch ? epoch->number + 1 : 1;
		for (auto &h : hosts) {
			if (!h.up || h.paused_until_us > now_us + 3 * S)
				continue;
			struct member_host &m = e->host[e->n++];
			strcpy(m.name, h.name.c_str());
			strcpy(m.domain, "d");
			m.leaving = h.leaving;
		}
		epoch = e;
		for (size_t h = 0; h < hosts.size(); h++)
			if (hosts[h].up)
				on_host(h, between(0, 1500) * MS,
					[=] { apply_epoch(h, e); });
	}

	void apply_epoch(int h, std::shared_ptr<struct member_epoch> e)
	{
		struct admit *a = &hosts[h].a;

		if (!member_find(e.get(), a->host))
			return;
		admit_apply_epoch(a, e.get(), now_us);
		if (bug == Bug::EVERY_HOST_GRANTS)
			for (uint32_t i = 0; i < a->n; i++)
				make_owner(a, &a->endpoint[i]);
		query_prev_owners(h);
	}

	/* Injects a bug: every host grants, whether it is the owner or not. */
	void make_owner(struct admit *a, struct admit_endpoint *e)
	{
		strcpy(e->owner, a->host);
		if (!e->alloc) {
			e->alloc = (struct admit_allocator *)calloc(
				1, sizeof(*e->alloc));
			admit_alloc_init(e->alloc, SLOTS, PIECES);
		}
		if (e->alloc->state != ADMIT_ACTIVE) {
			e->alloc->state = ADMIT_ACTIVE;
			e->alloc->window = SLOTS;
		}
	}

	void read_epoch(int h)
	{
		auto e = epoch;

		on_host(h, between(0, 300) * MS, [=] { apply_epoch(h, e); });
		on_host(h, 2 * S, [=] { read_epoch(h); });
	}

	void tick(int h)
	{
		admit_tick(&hosts[h].a, now_us);
		query_prev_owners(h);
		on_host(h, 100 * MS, [=] { tick(h); });
	}

	void query_prev_owners(int h)
	{
		struct admit *a = &hosts[h].a;
		struct admit_prev_owner *p;

		for (uint32_t i = 0; i < a->n; i++) {
			struct admit_allocator *al = a->endpoint[i].alloc;

			if (!al)
				continue;
			if (bug == Bug::NO_HANDOVER_WAIT &&
			    al->state > ADMIT_INACTIVE)
				al->state = ADMIT_ACTIVE, al->window = SLOTS;
			while ((p = admit_next_prev_owner(al, now_us)))
				query_prev_owner(h, i, host_named(p->name));
		}
	}

	void query_prev_owner(int h, uint32_t ep, int prev)
	{
		uint64_t number = hosts[h].a.epoch;

		send(prev, [=] {
			struct admit_handover out;
			std::vector<struct admit_grant> g;

			admit_hand_over(&hosts[prev].a, declared[ep].name,
					number, now_us, &out);
			g.assign(out.grant, out.grant + out.grant_n);
			for (auto &i : g)
				i.start_deadline_us -= now_us;
			send(h, [=] { apply_handover(h, ep, prev, out, g); });
		});
	}

	void apply_handover(int h, uint32_t ep, int prev,
			    struct admit_handover out,
			    std::vector<struct admit_grant> g)
	{
		struct admit_allocator *al = hosts[h].a.endpoint[ep].alloc;

		/* The host has restarted; the daemon ignores it, too. */
		if (!al)
			return;
		for (auto &i : g) {
			i.start_deadline_us += now_us;
			if (i.released_us)
				i.released_us = now_us;
		}
		out.grant = g.data();
		admit_apply_handover(al, hosts[prev].name.c_str(), &out,
				     now_us);
		handovers += al->state == ADMIT_ACTIVE;
	}

	void poll_load(int h)
	{
		struct admit *a = &hosts[h].a;

		for (uint32_t i = 0; i < a->n; i++)
			if (a->endpoint[i].alloc)
				query_load(h, i);
		on_host(h, POLL_US, [=] { poll_load(h); });
	}

	void query_load(int h, uint32_t i)
	{
		Endpoint &e = endpoints[i];
		int64_t queried_us = now_us;

		if (now_us - e.snapshot_us >= 400 * MS) {
			e.snapshot = e.runs;
			e.snapshot_us = now_us;
			e.snapshot_boot = e.boot;
		}
		auto seen = e.snapshot;
		uint64_t boot = e.snapshot_boot;
		on_host(h, between(0, 100) * MS,
			[=] { apply_report(h, i, queried_us, boot, seen); });
	}

	void apply_report(int h, uint32_t i, int64_t queried_us, uint64_t boot,
			  const std::map<std::string, Run> &seen)
	{
		std::vector<char> names(64 * (seen.size() + 1));
		struct admit_report r = {};

		for (auto &run : seen) {
			strcpy(&names[64 * r.running_n++], run.first.c_str());
			r.pieces_used += run.second.pieces;
		}
		r.queried_us = queried_us;
		r.boot = boot;
		r.slots_used = r.running_n;
		r.running = reinterpret_cast<const char(*)[64]>(names.data());
		admit_alloc_apply_report(hosts[h].a.endpoint[i].alloc, &r,
					 now_us);
		if (bug == Bug::NO_SLOW_START)
			hosts[h].a.endpoint[i].alloc->window = SLOTS;
	}

	/* A host requests a grant for a new run, and schedules the next. */
	void request_grant(int h)
	{
		uint32_t ep = random() % endpoints.size();
		struct admit_endpoint *e = &hosts[h].a.endpoint[ep];
		std::string run = hosts[h].name + "-" + std::to_string(next_id);
		Run r = {(uint32_t)between(1, 3), now_us, h};
		int owner = host_named(e->owner);

		on_host(h, between(10, 250) * MS, [=] { request_grant(h); });
		if (owner < 0)
			return;
		auto responded = std::make_shared<bool>(false);
		send(owner, [=] { grant(owner, h, ep, run, r, responded); });
		on_host(h, 500 * MS, [=] {
			if (!*responded)
				release(h, ep, run, ADMIT_END_UNUSED);
			*responded = true;
		});
	}

	void grant(int owner, int h, uint32_t ep, const std::string &run, Run r,
		   std::shared_ptr<bool> responded)
	{
		struct admit *a = &hosts[owner].a;
		struct admit_request req = {};

		req.run = run.c_str();
		req.pieces = r.pieces;
		enum admit_outcome outcome =
			admit_grant(a, &a->endpoint[ep], &req, now_us);
		outcomes[outcome]++;
		if (outcome != ADMIT_GRANTED)
			return;
		send(h, [=] {
			if (*responded)
				return;
			*responded = true;
			granted++;
			on_host(h, between(0, 2200) * MS,
				[=] { start_run(h, ep, run, r); });
		});
	}

	void start_run(int h, uint32_t ep, const std::string &run, Run r)
	{
		if (now_us >= r.requested_us + ADMIT_START_TIMEOUT_US &&
		    bug != Bug::LATE_STARTS) {
			release(h, ep, run, ADMIT_END_UNUSED);
			return;
		}
		schedule(chance(5) ? between(0, ADMIT_DELIVERY_MAX_US)
				   : between(0, MS),
			 [=] { run_started(ep, run, r); });
		if (chance(15))
			on_host(h, between(0, 2000) * MS,
				[=] { cancel_run(h, ep, run); });
	}

	void cancel_run(int h, uint32_t ep, const std::string &run)
	{
		release(h, ep, run,
			bug == Bug::CANCEL_FREES_SLOT ? ADMIT_END_UNUSED
						      : ADMIT_END_UNKNOWN);
		schedule(between(0, 2000) * MS,
			 [=] { endpoints[ep].runs.erase(run); });
	}

	void release(int h, uint32_t ep, const std::string &run,
		     enum admit_end how)
	{
		int owner = host_named(hosts[h].a.endpoint[ep].owner);

		if (owner < 0)
			return;
		send(owner, [=] {
			struct admit_allocator *al =
				hosts[owner].a.endpoint[ep].alloc;
			if (al)
				admit_alloc_release(al, run.c_str(), 0, how,
						    now_us);
		});
	}

	void run_started(uint32_t ep, const std::string &run, Run r)
	{
		Endpoint &e = endpoints[ep];
		/* Runs requested when the owner had to know of the restart. */
		uint32_t late = 0;

		e.runs[run] = r;
		runs++;
		over_slots += e.runs.size() > SLOTS;
		over_pieces += e.pieces() > PIECES;
		for (auto &i : e.runs)
			late += i.second.requested_us >
				e.restarted_us + DETECT_US;
		if (e.runs.size() - late > e.early_max)
			e.early_max = e.runs.size() - late;
		if (e.boot > 1 && late > SLOTS / 8 + e.completed + e.early_max)
			over_slow_start++;
		uint64_t boot = e.boot;
		schedule(between(300, 4000) * MS,
			 [=] { complete_run(ep, run, boot); });
	}

	void complete_run(uint32_t ep, const std::string &run, uint64_t boot)
	{
		Endpoint &e = endpoints[ep];
		auto i = e.runs.find(run);

		if (e.boot != boot || i == e.runs.end())
			return;
		int h = i->second.holder;
		e.runs.erase(i);
		e.completed++;
		on_host(h, MS,
			[=] { release(h, ep, run, ADMIT_END_COMPLETE); });
	}

	void crash_endpoint(uint32_t ep)
	{
		Endpoint &e = endpoints[ep];

		for (auto &i : e.runs) {
			int h = i.second.holder;
			std::string run = i.first;
			on_host(h, MS,
				[=] { release(h, ep, run, ADMIT_END_FAILED); });
		}
		e.runs.clear();
		e.boot++;
		e.restarted_us = now_us;
		e.completed = e.early_max = 0;
		schedule(between(5, 30) * S, [=] { crash_endpoint(ep); });
	}

	/* Kills, pauses or drains a host, which comes back later. */
	void inject_host_fault()
	{
		int h = random() % hosts.size();

		schedule(between(2, 12) * S, [=] { inject_host_fault(); });
		if (!hosts[h].up || hosts[h].paused_until_us > now_us ||
		    hosts[h].leaving)
			return;
		switch (random() % 3) {
		case 0:
			hosts[h].up = false;
			schedule(between(500, 3000) * MS, [=] { publish(); });
			schedule(between(3, 9) * S,
				 [=] { start_host(h), publish(); });
			break;
		case 1:
			pause_host(h, between(100, 9000) * MS);
			break;
		case 2:
			hosts[h].leaving = true;
			publish();
			schedule(between(2, 6) * S,
				 [=] { hosts[h].up = false, publish(); });
			schedule(between(6, 9) * S,
				 [=] { start_host(h), publish(); });
			break;
		}
	}

	/* A pause of 4 s or more takes the host out of the epoch for a time. */
	void pause_host(int h, int64_t for_us)
	{
		hosts[h].paused_until_us = now_us + for_us;
		if (for_us < 4 * S)
			return;
		schedule(for_us - 3500 * MS, [=] { publish(); });
		on_host(h, for_us + between(0, 2000) * MS, [=] { publish(); });
	}

	void simulate()
	{
		int64_t end_us = now_us + SIMULATED_US;

		while (!event_queue.empty() &&
		       event_queue.top().at_us < end_us) {
			TimedEvent ev = event_queue.top();
			event_queue.pop();
			now_us = ev.at_us;
			ev.run();
		}
	}

	uint32_t violations() const
	{
		return over_slots + over_pieces + over_slow_start;
	}
};

uint64_t env_number(const char *name, uint64_t fallback)
{
	const char *n = getenv(name);

	return n ? strtoull(n, nullptr, 10) : fallback;
}

uint32_t seeds_with_violations(Bug bug, uint64_t n)
{
	uint32_t failing = 0;

	for (uint64_t seed = 1; seed <= n; seed++) {
		History h(seed, bug);

		h.simulate();
		failing += h.violations() > 0;
	}
	return failing;
}

TEST(AdmitHistory, EndpointsNeverExceedTheirCapacity)
{
	uint64_t n = env_number("FIGBEND_SCHEDULES", 40);
	uint64_t first = env_number("FIGBEND_SEED", 1);
	uint64_t granted = 0, runs = 0, handovers = 0, unavailable = 0,
		 full = 0;

	for (uint64_t seed = first; seed < first + n; seed++) {
		History h(seed, Bug::NONE);

		h.simulate();
		EXPECT_EQ(0u, h.over_slots) << "seed " << seed;
		EXPECT_EQ(0u, h.over_pieces) << "seed " << seed;
		EXPECT_EQ(0u, h.over_slow_start) << "seed " << seed;
		granted += h.granted;
		runs += h.runs;
		handovers += h.handovers;
		unavailable += h.outcomes[ADMIT_UNAVAILABLE];
		full += h.outcomes[ADMIT_FULL];
	}
	printf("%llu schedules, %llu grants, %llu runs, %llu handovers, "
	       "%llu full, %llu unavailable\n",
	       (unsigned long long)n, (unsigned long long)granted,
	       (unsigned long long)runs, (unsigned long long)handovers,
	       (unsigned long long)full, (unsigned long long)unavailable);
	EXPECT_GT(runs, n * 100);
	EXPECT_GT(handovers, 0u);
}

TEST(AdmitHistory, ChecksDetectInjectedBugs)
{
	EXPECT_GT(seeds_with_violations(Bug::EVERY_HOST_GRANTS, 10), 0u);
	EXPECT_GT(seeds_with_violations(Bug::NO_HANDOVER_WAIT, 20), 0u);
	EXPECT_GT(seeds_with_violations(Bug::LATE_STARTS, 20), 0u);
	EXPECT_GT(seeds_with_violations(Bug::CANCEL_FREES_SLOT, 20), 0u);
	EXPECT_GT(seeds_with_violations(Bug::NO_SLOW_START, 20), 0u);
}

} // namespace
