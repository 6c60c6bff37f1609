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
 * Histories of several admit cores that share endpoints, joined by a link that
 * delays, loses and doubles, while hosts are killed, paused, leave and join, and
 * endpoints crash. The checker counts at the endpoints.
 */

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t S = 1000 * MS;
constexpr int64_t POLL_US = ADMIT_REPORT_INTERVAL_US;
constexpr int64_t RUN_US = 60 * S;
constexpr uint32_t SLOTS = 8;
constexpr uint32_t PIECES = 12;
/* Within this time of a restart the admitting host can not know of it. */
constexpr int64_t DETECT_US = 3000 * MS;

enum class Plant {
	NONE,
	EVERY_HOST_GRANTS,
	NO_WAIT,
	LATE_ORDERS,
	CANCEL_FREES,
	NO_SLOW_START,
};

struct Run {
	uint32_t pieces;
	int64_t asked_us;
	int holder;
};

struct Endpoint {
	std::map<std::string, Run> runs, snapshot;
	uint64_t boot = 1, snapshot_boot = 1;
	int64_t booted_us = -100 * S, snapshot_us = 0;
	uint32_t whole = 0, early_max = 0;

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
	uint32_t life = 0;
	int64_t paused_until_us = 0;
	std::string name;
};

struct History {
	using Event = std::function<void()>;
	struct Due {
		int64_t at_us;
		uint64_t order;
		Event run;
		bool operator<(const Due &o) const
		{
			return at_us != o.at_us ? at_us > o.at_us
						: order > o.order;
		}
	};

	std::mt19937_64 random;
	Plant plant;
	int64_t now_us = 100 * S;
	uint64_t order = 0;
	std::priority_queue<Due> due;
	std::vector<Host> hosts;
	std::vector<Endpoint> ends;
	std::shared_ptr<struct member_epoch> epoch;
	struct config conf = {};
	std::vector<struct config_endpoint> declared;
	struct config_domain domain = {};
	uint32_t over_slots = 0, over_pieces = 0, over_start = 0;
	uint32_t granted = 0, runs = 0, take_overs = 0;
	uint64_t outcomes[5] = {};

	History(uint64_t seed, Plant p) : random(seed), plant(p)
	{
		hosts = std::vector<Host>(3 + random() % 4);
		ends.resize(3);
		declared.resize(ends.size());
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
			start(i);
		}
		publish();
		for (size_t i = 0; i < ends.size(); i++)
			at(between(5, 30) * S, [=] { crash(i); });
		at(between(2, 6) * S, [=] { disturb(); });
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

	void at(int64_t in_us, Event e)
	{
		due.push({now_us + in_us, order++, std::move(e)});
	}

	/* Something that a host does, unless it died since; a pause delays it. */
	void on(int h, int64_t in_us, Event e)
	{
		on_life(h, hosts[h].life, in_us, std::move(e));
	}

	void on_life(int h, uint32_t life, int64_t in_us, Event e)
	{
		at(in_us, [=] {
			Host &to = hosts[h];

			if (!to.up || to.life != life)
				return;
			if (to.paused_until_us > now_us)
				on_life(h, life, to.paused_until_us - now_us,
					e);
			else
				e();
		});
	}

	/* A message to a host: late, lost or doubled. */
	void send(int h, Event e)
	{
		int copies = chance(5) ? 0 : chance(5) ? 2 : 1;

		for (int i = 0; i < copies; i++)
			on(h,
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

	void start(int h)
	{
		Host &me = hosts[h];

		admit_finish(&me.a);
		admit_init(&me.a);
		strcpy(me.a.host, me.name.c_str());
		admit_configure(&me.a, &conf);
		me.up = true;
		me.leaving = false;
		me.life++;
		me.paused_until_us = 0;
		on(h, between(0, 100) * MS, [=] { tick(h); });
		on(h, between(0, 500) * MS, [=] { poll(h); });
		on(h, between(0, 500) * MS, [=] { request(h); });
		on(h, 2 * S, [=] { read_epoch(h); });
	}

	/* Makes a new epoch of the hosts that are up, and tells them in time. */
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
				on(h, between(0, 1500) * MS,
				   [=] { hear(h, e); });
	}

	void hear(int h, std::shared_ptr<struct member_epoch> e)
	{
		struct admit *a = &hosts[h].a;

		if (!member_find(e.get(), a->host))
			return;
		admit_apply_epoch(a, e.get(), now_us);
		if (plant == Plant::EVERY_HOST_GRANTS)
			for (uint32_t i = 0; i < a->n; i++)
				own(a, &a->endpoint[i]);
		ask_priors(h);
	}

	/* What was before: every host keeps a book of its own. */
	void own(struct admit *a, struct admit_endpoint *e)
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

		on(h, between(0, 300) * MS, [=] { hear(h, e); });
		on(h, 2 * S, [=] { read_epoch(h); });
	}

	void tick(int h)
	{
		admit_tick(&hosts[h].a, now_us);
		ask_priors(h);
		on(h, 100 * MS, [=] { tick(h); });
	}

	void ask_priors(int h)
	{
		struct admit *a = &hosts[h].a;
		struct admit_prev_owner *p;

		for (uint32_t i = 0; i < a->n; i++) {
			struct admit_allocator *b = a->endpoint[i].alloc;

			if (!b)
				continue;
			if (plant == Plant::NO_WAIT &&
			    b->state > ADMIT_INACTIVE)
				b->state = ADMIT_ACTIVE, b->window = SLOTS;
			while ((p = admit_next_prev_owner(b, now_us)))
				ask_prior(h, i, host_named(p->name));
		}
	}

	void ask_prior(int h, uint32_t end, int prior)
	{
		uint64_t number = hosts[h].a.epoch;

		send(prior, [=] {
			struct admit_handover out;
			std::vector<struct admit_grant> g;

			admit_hand_over(&hosts[prior].a, declared[end].name,
					number, now_us, &out);
			g.assign(out.grant, out.grant + out.grant_n);
			for (auto &i : g)
				i.start_deadline_us -= now_us;
			send(h, [=] { handed(h, end, prior, out, g); });
		});
	}

	void handed(int h, uint32_t end, int prior, struct admit_handover out,
		    std::vector<struct admit_grant> g)
	{
		struct admit_allocator *b = hosts[h].a.endpoint[end].alloc;

		/* It restarted since it asked: the daemon drops that too. */
		if (!b)
			return;
		for (auto &i : g) {
			i.start_deadline_us += now_us;
			if (i.released_us)
				i.released_us = now_us;
		}
		out.grant = g.data();
		admit_apply_handover(b, hosts[prior].name.c_str(), &out,
				     now_us);
		take_overs += b->state == ADMIT_ACTIVE;
	}

	void poll(int h)
	{
		struct admit *a = &hosts[h].a;

		for (uint32_t i = 0; i < a->n; i++)
			if (a->endpoint[i].alloc)
				ask_load(h, i);
		on(h, POLL_US, [=] { poll(h); });
	}

	void ask_load(int h, uint32_t i)
	{
		Endpoint &e = ends[i];
		int64_t asked_us = now_us;

		if (now_us - e.snapshot_us >= 400 * MS) {
			e.snapshot = e.runs;
			e.snapshot_us = now_us;
			e.snapshot_boot = e.boot;
		}
		auto seen = e.snapshot;
		uint64_t boot = e.snapshot_boot;
		on(h, between(0, 100) * MS,
		   [=] { report(h, i, asked_us, boot, seen); });
	}

	void report(int h, uint32_t i, int64_t asked_us, uint64_t boot,
		    const std::map<std::string, Run> &seen)
	{
		std::vector<char> names(64 * (seen.size() + 1));
		struct admit_report r = {};

		for (auto &run : seen) {
			strcpy(&names[64 * r.running_n++], run.first.c_str());
			r.pieces_used += run.second.pieces;
		}
		r.queried_us = asked_us;
		r.boot = boot;
		r.slots_used = r.running_n;
		r.running = reinterpret_cast<const char(*)[64]>(names.data());
		admit_alloc_apply_report(hosts[h].a.endpoint[i].alloc, &r,
					 now_us);
		if (plant == Plant::NO_SLOW_START)
			hosts[h].a.endpoint[i].alloc->window = SLOTS;
	}

	/* An entry host asks for a slot, and then for another. */
	void request(int h)
	{
		uint32_t end = random() % ends.size();
		struct admit_endpoint *e = &hosts[h].a.endpoint[end];
		std::string run = hosts[h].name + "-" + std::to_string(order);
		Run r = {(uint32_t)between(1, 3), now_us, h};
		int owner = host_named(e->owner);

		on(h, between(10, 250) * MS, [=] { request(h); });
		if (owner < 0)
			return;
		auto answered = std::make_shared<bool>(false);
		send(owner, [=] { ask(owner, h, end, run, r, answered); });
		on(h, 500 * MS, [=] {
			if (!*answered)
				release(h, end, run, ADMIT_END_UNUSED);
			*answered = true;
		});
	}

	void ask(int owner, int h, uint32_t end, const std::string &run, Run r,
		 std::shared_ptr<bool> answered)
	{
		struct admit *a = &hosts[owner].a;
		struct admit_request q = {};

		q.run = run.c_str();
		q.pieces = r.pieces;
		enum admit_outcome got =
			admit_grant(a, &a->endpoint[end], &q, now_us);
		outcomes[got]++;
		if (got != ADMIT_GRANTED)
			return;
		send(h, [=] {
			if (*answered)
				return;
			*answered = true;
			granted++;
			on(h, between(0, 2200) * MS,
			   [=] { give_order(h, end, run, r); });
		});
	}

	void give_order(int h, uint32_t end, const std::string &run, Run r)
	{
		if (now_us >= r.asked_us + ADMIT_START_TIMEOUT_US &&
		    plant != Plant::LATE_ORDERS) {
			release(h, end, run, ADMIT_END_UNUSED);
			return;
		}
		at(chance(5) ? between(0, ADMIT_DELIVERY_MAX_US)
			     : between(0, MS),
		   [=] { arrive(end, run, r); });
		if (chance(15))
			on(h, between(0, 2000) * MS,
			   [=] { cancel(h, end, run); });
	}

	void cancel(int h, uint32_t end, const std::string &run)
	{
		release(h, end, run,
			plant == Plant::CANCEL_FREES ? ADMIT_END_UNUSED
						     : ADMIT_END_UNKNOWN);
		at(between(0, 2000) * MS, [=] { ends[end].runs.erase(run); });
	}

	void release(int h, uint32_t end, const std::string &run,
		     enum admit_end how)
	{
		int owner = host_named(hosts[h].a.endpoint[end].owner);

		if (owner < 0)
			return;
		send(owner, [=] {
			struct admit_allocator *b =
				hosts[owner].a.endpoint[end].alloc;
			if (b)
				admit_alloc_release(b, run.c_str(), 0, how,
						    now_us);
		});
	}

	void arrive(uint32_t end, const std::string &run, Run r)
	{
		Endpoint &e = ends[end];
		uint32_t late = 0;

		e.runs[run] = r;
		runs++;
		over_slots += e.runs.size() > SLOTS;
		over_pieces += e.pieces() > PIECES;
		for (auto &i : e.runs)
			late += i.second.asked_us > e.booted_us + DETECT_US;
		if (e.runs.size() - late > e.early_max)
			e.early_max = e.runs.size() - late;
		if (e.boot > 1 && late > SLOTS / 8 + e.whole + e.early_max)
			over_start++;
		uint64_t boot = e.boot;
		at(between(300, 4000) * MS, [=] { finish(end, run, boot); });
	}

	void finish(uint32_t end, const std::string &run, uint64_t boot)
	{
		Endpoint &e = ends[end];
		auto i = e.runs.find(run);

		if (e.boot != boot || i == e.runs.end())
			return;
		int h = i->second.holder;
		e.runs.erase(i);
		e.whole++;
		on(h, MS, [=] { release(h, end, run, ADMIT_END_COMPLETE); });
	}

	void crash(uint32_t end)
	{
		Endpoint &e = ends[end];

		for (auto &i : e.runs) {
			int h = i.second.holder;
			std::string run = i.first;
			on(h, MS,
			   [=] { release(h, end, run, ADMIT_END_FAILED); });
		}
		e.runs.clear();
		e.boot++;
		e.booted_us = now_us;
		e.whole = e.early_max = 0;
		at(between(5, 30) * S, [=] { crash(end); });
	}

	/* Kills, pauses or stops a host, which comes back later. */
	void disturb()
	{
		int h = random() % hosts.size();

		at(between(2, 12) * S, [=] { disturb(); });
		if (!hosts[h].up || hosts[h].paused_until_us > now_us ||
		    hosts[h].leaving)
			return;
		switch (random() % 3) {
		case 0:
			hosts[h].up = false;
			at(between(500, 3000) * MS, [=] { publish(); });
			at(between(3, 9) * S, [=] { start(h), publish(); });
			break;
		case 1:
			pause(h, between(100, 9000) * MS);
			break;
		case 2:
			hosts[h].leaving = true;
			publish();
			at(between(2, 6) * S,
			   [=] { hosts[h].up = false, publish(); });
			at(between(6, 9) * S, [=] { start(h), publish(); });
			break;
		}
	}

	/* The platform drops a host that is paused for long until it is back. */
	void pause(int h, int64_t for_us)
	{
		hosts[h].paused_until_us = now_us + for_us;
		if (for_us < 4 * S)
			return;
		at(for_us - 3500 * MS, [=] { publish(); });
		on(h, for_us + between(0, 2000) * MS, [=] { publish(); });
	}

	void play()
	{
		int64_t end_us = now_us + RUN_US;

		while (!due.empty() && due.top().at_us < end_us) {
			Due d = due.top();
			due.pop();
			now_us = d.at_us;
			d.run();
		}
	}

	uint32_t faults() const
	{
		return over_slots + over_pieces + over_start;
	}
};

uint64_t number(const char *variable, uint64_t otherwise)
{
	const char *n = getenv(variable);

	return n ? strtoull(n, nullptr, 10) : otherwise;
}

uint32_t seeds_with_faults(Plant plant, uint64_t n)
{
	uint32_t bad = 0;

	for (uint64_t seed = 1; seed <= n; seed++) {
		History h(seed, plant);

		h.play();
		bad += h.faults() > 0;
	}
	return bad;
}

TEST(AdmitHistory, NoEndpointEverHoldsMoreThanItBears)
{
	uint64_t n = number("FIGBEND_SCHEDULES", 40);
	uint64_t first = number("FIGBEND_SEED", 1);
	uint64_t granted = 0, runs = 0, take_overs = 0, shut = 0, full = 0;

	for (uint64_t seed = first; seed < first + n; seed++) {
		History h(seed, Plant::NONE);

		h.play();
		EXPECT_EQ(0u, h.over_slots) << "seed " << seed;
		EXPECT_EQ(0u, h.over_pieces) << "seed " << seed;
		EXPECT_EQ(0u, h.over_start) << "seed " << seed;
		granted += h.granted;
		runs += h.runs;
		take_overs += h.take_overs;
		shut += h.outcomes[ADMIT_UNAVAILABLE];
		full += h.outcomes[ADMIT_FULL];
	}
	printf("%llu schedules, %llu grants, %llu runs, %llu hand-overs, "
	       "%llu full, %llu shut\n",
	       (unsigned long long)n, (unsigned long long)granted,
	       (unsigned long long)runs, (unsigned long long)take_overs,
	       (unsigned long long)full, (unsigned long long)shut);
	EXPECT_GT(runs, n * 100);
	EXPECT_GT(take_overs, 0u);
}

TEST(AdmitHistory, TheCheckerCatchesPlantedFaults)
{
	EXPECT_GT(seeds_with_faults(Plant::EVERY_HOST_GRANTS, 10), 0u);
	EXPECT_GT(seeds_with_faults(Plant::NO_WAIT, 20), 0u);
	EXPECT_GT(seeds_with_faults(Plant::LATE_ORDERS, 20), 0u);
	EXPECT_GT(seeds_with_faults(Plant::CANCEL_FREES, 20), 0u);
	EXPECT_GT(seeds_with_faults(Plant::NO_SLOW_START, 20), 0u);
}

} // namespace
