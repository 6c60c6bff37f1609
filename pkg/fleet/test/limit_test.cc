#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

extern "C" {
#include "fleet.h"
}

constexpr int64_t STEP_US = 20000, S = 1000000, FAULT_US = 20 * S;
constexpr int STEPS_PER_S = 50, WINDOW = 4 * STEPS_PER_S;

enum Fault {
	NONE,
	START,
	DIE,
	RESTART,
	FREEZE,
	PARTITION,
	CLOCK,
	CHANGE,
	BURST
};

struct Host {
	struct fleet fleet;
	int64_t start_us, end_us = INT64_MAX;
	int64_t delay_us; /* until it knows of a change */
	int64_t clock_us; /* by which its time of day is ahead */
	int64_t frozen_us = INT64_MAX;
	bool exempt = false, begun = false;
};

/* Hosts that all have work for one endpoint with a limit, and one kind of fault. */
struct Limited {
	std::mt19937 random;
	std::vector<Host> hosts;
	enum Fault fault;
	double before, after;

	Limited(unsigned seed, int n, double limit, enum Fault fault)
	    : random(seed), fault(fault), before(limit),
	      after(fault != CHANGE ? limit : limit * (seed % 2 ? .4 : 3))
	{
		for (int i = 0; i < n; i++)
			add(0);
		for (int i = 0; i < n; i += 2) {
			int64_t at_us = FAULT_US + draw(4 * S);

			if (fault == START && i < n * 3 / 2)
				add(at_us);
			if (fault == DIE || fault == RESTART)
				hosts[i].end_us = at_us;
			if (fault == RESTART)
				add(at_us + S);
			if (fault == FREEZE)
				hosts[i].frozen_us = at_us;
			hosts[i].exempt = fault == FREEZE || fault == PARTITION;
		}
	}
	~Limited()
	{
		for (auto &h : hosts)
			if (h.begun)
				fleet_finish(&h.fleet);
	}
	int64_t draw(int64_t below)
	{
		return (int64_t)(random() / 4294967296. * (double)below);
	}
	void add(int64_t start_us)
	{
		Host h = {};

		h.start_us = start_us;
		h.delay_us = 200000 + draw(2 * S);
		h.clock_us = draw(S) - S / 2;
		h.exempt = fault == RESTART && start_us;
		hosts.push_back(h);
	}
	bool is_frozen(const Host &h, int64_t t, int64_t from, int64_t to) const
	{
		return h.frozen_us != INT64_MAX && t >= h.frozen_us + from &&
		       t < h.frozen_us + 5 * S + to;
	}
	bool knows(const Host &h, const Host &o, int64_t t) const
	{
		if (&o == &h)
			return true;
		if (fault == PARTITION && t > FAULT_US + h.delay_us &&
		    t < 2 * FAULT_US + h.delay_us && h.exempt != o.exempt)
			return false;
		return t >= o.start_us + h.delay_us &&
		       t - S - h.delay_us < o.end_us &&
		       !is_frozen(o, t, S + h.delay_us, h.delay_us);
	}
	/* The requests that wait are at one host, another one each second. */
	void update(Host &h, int64_t t)
	{
		size_t n = hosts.size(), self = &h - &hosts[0];
		bool waits = (size_t)(t / S) % n == self,
		     others = (size_t)((t - 600000) / S) % n != self;
		uint32_t rank = 0, known = 0;

		if (fault == CLOCK && draw(25) == 0)
			h.clock_us = draw(6 * S) - 3 * S;
		for (const Host &o : hosts) {
			if (&o == &h)
				rank = known;
			known += knows(h, o, t);
		}
		fleet_set_rank(&h.fleet, rank, known,
			       1700000000 * S + h.clock_us, t);
		fleet_set_demand(&h.fleet, known, waits ? 100 : 0,
				 100 * (waits + others));
		fleet_record_limit(&h.fleet, TAILQ_FIRST(&h.fleet.list),
				   1000 * (t < FAULT_US + h.delay_us ? before
								     : after),
				   t + 1);
	}
	/* Returns how many requests the hosts send that are not exempt. */
	int step(int64_t t)
	{
		struct fleet_query q = {};
		enum fleet_result result;
		int n = 0;

		q.service = "s";
		for (auto &h : hosts) {
			struct fleet_endpoint *e;

			if (t < h.start_us || t >= h.end_us ||
			    is_frozen(h, t, 0, 0))
				continue;
			if (!h.begun)
				insert(h);
			if (t - h.start_us < STEP_US ||
			    (t / STEP_US + (&h - &hosts[0])) % 10 == 0)
				update(h, t);
			if (fault == BURST && t / S % 16 < 10)
				continue;
			e = fleet_choose(&h.fleet, &q, t + 1, &result);
			if (!e)
				continue;
			fleet_request_start(e, 0, 0);
			fleet_request_end(e, 0);
			n += !h.exempt && t >= h.start_us + S / 2;
		}
		return n;
	}
	/* The table has pointers into itself: the host must not move after this. */
	void insert(Host &h)
	{
		struct fleet_entry e = {};

		fleet_init(&h.fleet, "d", &h - &hosts[0]);
		snprintf(e.id, sizeof(e.id), "e");
		snprintf(e.service, sizeof(e.service), "s");
		e.slots = 6;
		fleet_upsert(&h.fleet, &e, 1, 1);
		h.begun = true;
	}
	/*
	 * Returns by how much the most requests in 4 s exceed once and a half the
	 * limit and 5, from 4 s after it was stated first, or was changed.
	 */
	double excess(double *per_s)
	{
		std::vector<double> sent, allowed;
		double most = -1e9, n = 0, limit = 0, all = 0;

		for (int i = 0; i < 60 * STEPS_PER_S; i++) {
			bool changed = i * STEP_US >= FAULT_US;
			int contact = i - (fault == CHANGE && changed
						   ? 20 * STEPS_PER_S
						   : 0);

			sent.push_back(step(i * STEP_US));
			allowed.push_back((changed ? after : before) * 1.5 /
					  STEPS_PER_S);
			all += sent[i];
			n += sent[i] - (i < WINDOW ? 0 : sent[i - WINDOW]);
			limit += allowed[i] -
				 (i < WINDOW ? 0 : allowed[i - WINDOW]);
			if (contact >= 2 * WINDOW)
				most = std::max(most, n - limit - 5);
		}
		*per_s = all / 60;
		return most;
	}
};

/*
 * Guards against more requests than an endpoint's limit allows while hosts start,
 * die, restart, freeze, are partitioned, have clocks that differ or step, learn of a
 * changed limit late, or get work after a pause; and against a limit that nobody
 * uses. Before, hosts took a new turn whenever the number of known hosts changed.
 */
TEST(Limit, IsKeptInEachFourSeconds)
{
	const char *names[] = {"none",	  "start",  "die",
			       "restart", "freeze", "partition",
			       "clock",	  "change", "burst"};
	double per_s;

	for (int fault = NONE; fault <= BURST; fault++)
		for (int n : {3, 8, 25, 85, 300})
			for (double limit : {.3, .7, 1.5, 3., 10., 40.})
				for (unsigned seed = 1;
				     seed <= (n < 100 ? 3 : 1); seed++) {
					Limited l(seed, n, limit,
						  (enum Fault)fault);
					double excess = l.excess(&per_s);

					EXPECT_LE(excess, 1e-6)
						<< names[fault] << ", " << n
						<< " hosts, limit " << limit
						<< ", seed " << seed;
					if (fault != NONE && fault != START &&
					    fault != CLOCK)
						continue;
					EXPECT_GE(per_s,
						  .6 * std::min(limit, 1. * n))
						<< names[fault] << ", " << n;
				}
}

/*
 * Guards against a host with few requests that gets no turn: it lost its present one
 * if the known hosts had changed at any time since its last request.
 */
TEST(Limit, ATurnThatBeganAfterAChangeCountsWithoutAnEarlierRequest)
{
	struct fleet f[2];
	struct fleet_query q = {};
	enum fleet_result result;
	int64_t t = S;

	q.service = "s";
	for (struct fleet &h : f) {
		struct fleet_entry e = {};

		fleet_init(&h, "d", 1);
		snprintf(e.id, sizeof(e.id), "e");
		snprintf(e.service, sizeof(e.service), "s");
		fleet_set_demand(&h, 30, 0, 0);
		fleet_set_rank(&h, 3, 30, 1700000000 * S, t);
		fleet_record_limit(&h, fleet_upsert(&h, &e, 1, t), 3000, t);
		fleet_choose(&h, &q, t, &result);
		fleet_set_rank(&h, 7, 30, 1700000000 * S, t + S);
	}
	for (t += S; t < 60 * S && !fleet_choose(&f[0], &q, t, &result);)
		t += STEP_US;
	EXPECT_GT(t, 3 * S);
	EXPECT_LT(t, 60 * S);
	EXPECT_NE(fleet_choose(&f[1], &q, t, &result), nullptr);
	for (struct fleet &h : f)
		fleet_finish(&h);
}
