#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <vector>

extern "C" {
#include "fleet.h"
}

constexpr int ENDPOINTS = 6, SLOTS = 6, WORK_MS = 60, SLOWED_MS = 300;

struct Call {
	int host, endpoint;
	int64_t sent_ms;
};

/* Hosts that choose among endpoints of a plain service, in steps of 1 ms. */
struct Uneven {
	std::mt19937 random{1};
	std::vector<struct fleet> host;
	int domains, way_ms;
	bool states;
	bool slowed[ENDPOINTS] = {};
	std::deque<int> queue[ENDPOINTS];
	std::vector<int> running = std::vector<int>(ENDPOINTS);
	std::vector<Call> call;
	std::multimap<int64_t, int> ends;
	std::deque<std::vector<int>> loads; /* every 50 ms, the latest first */
	std::vector<int64_t> took_ms;
	int remote = 0;

	Uneven(int hosts, int domains, int way_ms, bool states)
	    : host(hosts), domains(domains), way_ms(way_ms), states(states)
	{
		for (int i = 0; i < hosts * ENDPOINTS; i++) {
			struct fleet_entry e = {};
			int h = i / ENDPOINTS, j = i % ENDPOINTS;

			snprintf(e.id, sizeof(e.id), "%d", j);
			snprintf(e.service, sizeof(e.service), "s");
			snprintf(e.domain, sizeof(e.domain), "%d", j % domains);
			e.slots = SLOTS;
			if (!j)
				fleet_init(&host[h],
					   std::to_string(h % domains).c_str(),
					   h);
			fleet_upsert(&host[h], &e, 1, 1);
		}
	}
	~Uneven()
	{
		for (auto &f : host)
			fleet_finish(&f);
	}
	double draw()
	{
		return (double)random() / 4294967296.;
	}
	int64_t way(const Call &c) const
	{
		return c.host % domains == c.endpoint % domains ? 0 : way_ms;
	}
	void begin(int c, int64_t now)
	{
		int j = call[c].endpoint;
		double slow = (j % 2 ? 1.3 : 1) * (slowed[j] ? 2.5 : 1);

		running[j]++;
		ends.emplace(now + int(WORK_MS * slow * (.8 + .4 * draw())), c);
	}
	void send(int64_t now)
	{
		int h = int(draw() * (double)host.size()), j = 0;
		auto &n = loads[std::min<size_t>(4 + (h + now / 100) % 9,
						 loads.size() - 1)];
		struct fleet_query q = {};
		enum fleet_result result;
		struct fleet_endpoint *e;

		TAILQ_FOREACH(e, &host[h].list, link)
		{
			j = atoi(e->entry.id);
			e->peer_running = std::max(0, n[j] - (int)e->running);
		}
		q.service = "s";
		e = fleet_choose(&host[h], &q, now * 1000, &result);
		fleet_request_start(e, 0, 0);
		j = atoi(e->entry.id);
		call.push_back({h, j, now});
		remote += way(call.back()) > 0;
		queue[j].push_back((int)call.size() - 1);
	}
	void end(const Call &c, int64_t now)
	{
		int j = c.endpoint;
		struct fleet_endpoint *e =
			fleet_find(&host[c.host], std::to_string(j).c_str());

		took_ms.push_back(now - c.sent_ms + 2 * way(c));
		running[j]--;
		fleet_record_load(e, running[j], queue[j].size(), now * 1000);
		if (states)
			fleet_record_slowness(e, slowed[j] ? 250 : 100,
					      now * 1000);
		fleet_record_outcome(e, FLEET_SUCCESS, took_ms.back() * 1000,
				     now * 1000);
		fleet_request_end(e, 0);
	}
	/* Returns the 99th percentile, in ms, of the later two thirds. */
	int64_t p99(int64_t until_ms, double per_s)
	{
		for (int64_t now = 2000; now < until_ms; now++) {
			for (int j = 0; j < ENDPOINTS; j++)
				if (draw() * SLOWED_MS <
				    (slowed[j] ? 1 : .15 / .85))
					slowed[j] = !slowed[j];
			for (; !ends.empty() && ends.begin()->first <= now;
			     ends.erase(ends.begin()))
				end(call[ends.begin()->second], now);
			if (now % 50 == 0) {
				loads.push_front(running);
				for (int j = 0; j < ENDPOINTS; j++)
					loads[0][j] += (int)queue[j].size();
			}
			if (draw() < per_s / 1000)
				send(now);
			for (int j = 0; j < ENDPOINTS; j++)
				for (; running[j] < SLOTS && !queue[j].empty();
				     queue[j].pop_front())
					begin(queue[j].front(), now);
		}
		took_ms.erase(took_ms.begin(),
			      took_ms.begin() + (long)took_ms.size() / 3);
		std::sort(took_ms.begin(), took_ms.end());
		return took_ms[took_ms.size() * 99 / 100];
	}
};

/* Guards against calls that wait at slowed endpoints, against hosts that converge on
 * the same endpoint, and against calls that cross domains for nothing. */
TEST(UnevenEndpoints, CompleteSoonerIfTheyStateTheirSlowness)
{
	for (int hosts : {64, 150, 300})
		for (int domains : {1, 3}) {
			Uneven before(hosts, domains, 2, false);
			Uneven after(hosts, domains, 2, true);
			int64_t was = before.p99(182000, 200),
				is = after.p99(182000, 200);

			printf("%d hosts, %d domains: p99 %ld ms, was %ld; "
			       "remote %d, was %d of %zu\n",
			       hosts, domains, (long)is, (long)was,
			       after.remote, before.remote, after.call.size());
			EXPECT_LT((double)is, .8 * (double)was) << hosts;
			EXPECT_LE(after.remote, before.remote) << hosts;
		}
}

/* Chooses at random loads and outcomes. Returns a hash of the choices. */
static uint64_t choices(bool other_states)
{
	std::mt19937 random(3);
	struct fleet f;
	uint64_t hash = 0;

	fleet_init(&f, "0", 5);
	for (uint32_t i = 0; i < (other_states ? 19 : 18); i++) {
		struct fleet_entry entry = {};

		snprintf(entry.id, sizeof(entry.id), "%u", i);
		snprintf(entry.service, sizeof(entry.service), "%s",
			 i < 18 ? "s" : "other");
		snprintf(entry.domain, sizeof(entry.domain), "%u", i % 2);
		entry.stage = (enum fleet_stage)(i % 3);
		entry.slots = 6;
		fleet_upsert(&f, &entry, 1, 1);
	}
	if (other_states)
		fleet_record_slowness(fleet_find(&f, "18"), 250, 1);
	for (int64_t now_us = 1000; now_us < 3000000; now_us += 1000) {
		struct fleet_query q = {};
		enum fleet_result result;
		struct fleet_endpoint *e;

		q.service = "s";
		q.stage = (enum fleet_stage)(random() % 3);
		q.kv_capacity_tokens = 100000;
		e = fleet_choose(&f, &q, now_us, &result);
		hash = hash * 31 + (e ? atoi(e->entry.id) : 99);
		if (!e)
			continue;
		e->peer_running = random() % 12;
		e->peer_kv_tokens = random() % 50000;
		e->peer_prefill_tokens = random() % 20000;
		/* The order of calls in arguments differs between machines. */
		uint32_t running = random() % 6, waiting = random() % 3;
		enum fleet_outcome outcome = random() % 20 ? FLEET_SUCCESS
							   : FLEET_FAILED;
		int64_t took_us = random() % 200000;

		fleet_record_load(e, running, waiting, now_us);
		fleet_record_outcome(e, outcome, took_us, now_us);
	}
	fleet_finish(&f);
	return hash;
}

/* Guards against a change of the choice among endpoints that state no slowness. The
 * hash is that of the choices before endpoints could state it (commit a7a0461). */
TEST(UnevenEndpoints, AreChosenAsBeforeIfTheyStateNothing)
{
	EXPECT_EQ(choices(false), 17382705523037792556u);
	EXPECT_EQ(choices(true), 17382705523037792556u)
		<< "another service's endpoint states it";
}

/* Guards against calls to an unreachable domain or a failing endpoint, which may end
 * in a time-out, because the others are slowed. */
TEST(UnevenEndpoints, AreLeftOnlyForReachableOnes)
{
	Uneven model(1, 3, 2, true);
	struct fleet *f = &model.host[0];
	struct fleet_endpoint *e;
	enum fleet_result result;
	struct fleet_query q = {};

	q.service = "s";
	fleet_set_unreachable(f, "2", true);
	TAILQ_FOREACH(e, &f->list, link)
	{
		int j = atoi(e->entry.id);

		fleet_record_slowness(e, j == 0 || j % 3 == 2 ? 100 : 250, 1);
		if (j == 0)
			fleet_record_outcome(e, FLEET_FAILED, 1, 1);
	}
	for (int i = 0; i < 300; i++) {
		e = fleet_choose(f, &q, 1000, &result);
		EXPECT_NE(e->entry.id[0], '0') << "it failed";
		EXPECT_STRNE(e->entry.domain, "2") << "unreachable";
	}
}
