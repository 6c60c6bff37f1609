#ifndef FIGBEND_QUOTA_SIM_H
#define FIGBEND_QUOTA_SIM_H

#include <algorithm>
#include <memory>
#include <vector>

#include "sim_network.h"

extern "C" {
#include "quota.h"
}

/*
 * One account on several hosts in several domains, joined by a fake link, with
 * a log of membership epochs that hosts read late or not at all.
 */
namespace quota_world
{

constexpr int64_t kSecondUs = 1000000;
constexpr int kHomes = 3;
constexpr int kPlatform = 1000; /* its group on the link */

struct Admitted {
	int64_t when_us;
	uint64_t tokens;
};

/* The least burst with which every window has at most rate * t + burst. */
inline double needed_burst(const std::vector<Admitted> &history, uint64_t rate)
{
	double most = 0;
	double over = 0;
	int64_t last_us = 0;

	for (const auto &a : history) {
		over -= (double)rate * (a.when_us - last_us) / kSecondUs;
		over = std::max(over, 0.0) + a.tokens;
		last_us = a.when_us;
		most = std::max(most, over);
	}
	return most;
}

struct Epoch {
	uint64_t number = 0;
	std::vector<int> hosts;
};

struct Host {
	int id = 0, domain = 0;
	uint64_t boot = 0;
	bool up = false;
	double drift = 1;
	int64_t offset_us = 0;
	Epoch epoch;
	std::vector<std::pair<int64_t, uint64_t>> beats; /* by host */
	struct quota quota = {};
	struct Request {
		struct quota_charge charge = {};
		int left = 0;
		size_t counted = 0;
		bool fails = false;
		size_t number = 0;
	};
	std::vector<std::unique_ptr<Request>> requests;
};

struct World {
	FakeLink link;
	int domains;
	uint64_t rate, burst;
	std::vector<Host> hosts;
	Epoch log;
	std::vector<Admitted> admitted;
	std::vector<bool> admitted_by_request;
	uint64_t stalls = 0, passes = 0, draws = 0;
	uint32_t pace = 25;
	int64_t hold_max_us = 1400000;
	/* Faults planted to see that the checker finds them. */
	bool forgets_leases = false, starts_full = false, refunds = false;

	World(uint64_t seed, int n, int domains, uint64_t rate, uint64_t burst)
	    : link(seed), domains(domains), rate(rate), burst(burst), hosts(n)
	{
		for (int i = 0; i < n; i++) {
			hosts[i].id = i;
			hosts[i].domain = i % domains;
			log.hosts.push_back(i);
		}
		log.number = 1;
		for (auto &h : hosts)
			start(h);
	}

	~World()
	{
		for (auto &h : hosts)
			quota_finish(&h.quota);
	}

	int64_t clock(const Host &h) const
	{
		return h.offset_us + (int64_t)(link.now_us * h.drift);
	}

	/* A host's own timer: waits while it is paused, ends with its start. */
	void after(Host &h, int64_t delay_us, FakeLink::Action a)
	{
		uint64_t boot = h.boot;

		link.at(link.now_us + delay_us, [this, &h, boot, a] {
			if (h.boot != boot || !h.up)
				return;
			if (link.paused(h.id))
				after(h, 50000, a);
			else
				a();
		});
	}

	void every(Host &h, int64_t period_us, FakeLink::Action a)
	{
		after(h, period_us, [this, &h, period_us, a] {
			a();
			every(h, period_us, a);
		});
	}

	void start(Host &h)
	{
		quota_finish(&h.quota);
		h.requests.clear();
		h.boot++;
		h.up = true;
		h.epoch = Epoch();
		h.beats.assign(hosts.size(), {INT64_MIN / 2, 0});
		h.drift = 1 + link.number(-1000, 1000) * 1e-6;
		h.offset_us = link.number(1, 1000) * kSecondUs;
		quota_init(&h.quota, h.boot * 1000 + h.id, clock(h));
		h.quota.account_limits = {rate, burst};
		every(h, kSecondUs, [this, &h] { read_log(h); });
		every(h, kSecondUs, [this, &h] { beat(h); });
		every(h, 100000, [this, &h] { tick(h); });
		read_log(h);
	}

	void kill(Host &h)
	{
		h.up = false;
		h.boot++;
	}

	void read_log(Host &h)
	{
		int64_t as_of = clock(h);
		uint64_t boot = h.boot;

		link.send(h.domain, kPlatform, kPlatform, [=, &h] {
			Epoch e = log;

			link.send(kPlatform, h.domain, h.id, [=, &h] {
				if (h.boot != boot || !h.up)
					return;
				learn(h, e);
				if (e.number == h.epoch.number)
					quota_lender_confirm(&h.quota.lender,
							     as_of, clock(h));
			});
		});
	}

	/* The homes of a domain by the epoch: every account's are the first. */
	std::vector<int> homes(const Epoch &e, int domain) const
	{
		std::vector<int> out;

		for (int i : e.hosts)
			if (hosts[i].domain == domain && out.size() < kHomes)
				out.push_back(i);
		return out;
	}

	void learn(Host &h, const Epoch &e)
	{
		struct quota_remote_lender sources[QUOTA_LENDERS_MAX] = {};
		struct quota_limits part = {0, 0};
		uint64_t set = 0;
		uint32_t n = 0;

		if (e.number <= h.epoch.number)
			return;
		h.epoch = e;
		for (int d = 0; d < domains; d++) {
			auto in = homes(e, d);

			for (size_t i = 0; i < in.size(); i++) {
				if (d == h.domain)
					set = set * 1000 + in[i] + 1;
				if (in[i] == h.id) {
					part = {rate / domains / in.size(),
						burst / domains / in.size()};
					continue;
				}
				sources[n].id = in[i] + 1;
				sources[n++].same_domain = d == h.domain;
			}
		}
		quota_set_lenders(&h.quota, sources, n);
		quota_lender_assign(&h.quota.lender, &part, set, clock(h));
		if (starts_full && h.quota.lender.activate_us)
			start_full(h);
		step(h);
	}

	static void start_full(Host &h)
	{
		struct quota_lender &q = h.quota.lender;

		q.active = q.assigned;
		q.activate_us = 0;
		q.level_mtokens = (int64_t)q.active.burst_tokens * QUOTA_MILLI;
	}

	void beat(Host &h)
	{
		uint64_t number = h.epoch.number;
		int from = h.id;

		for (auto &to : hosts) {
			if (to.domain != h.domain || to.id == h.id)
				continue;
			link.send(h.domain, to.domain, to.id,
				  [this, &to, from, number] {
					  to.beats[from] = {clock(to), number};
				  });
		}
	}

	/* Evidence without the log: most of the domain, and none that knows more. */
	void confirm_by_peers(Host &h)
	{
		std::vector<int64_t> heard;

		for (auto &b : h.beats)
			if (b.second > h.epoch.number)
				return;
		for (int i : h.epoch.hosts)
			if (hosts[i].domain == h.domain)
				heard.push_back(i == h.id ? clock(h)
							  : h.beats[i].first);
		quota_lender_confirm(&h.quota.lender,
				     quota_lender_quorum_us(heard.data(),
							    heard.size()),
				     clock(h));
	}

	void tick(Host &h)
	{
		struct quota_outbox out = {};

		confirm_by_peers(h);
		quota_tick(&h.quota, clock(h), &out);
		carry_out(h, out);
	}

	void step(Host &h)
	{
		struct quota_outbox out = {};

		quota_advance(&h.quota, clock(h), &out);
		carry_out(h, out);
	}

	void carry_out(Host &h, const struct quota_outbox &out)
	{
		struct quota_charge *c;

		for (uint32_t i = 0; i < out.n; i++)
			send_draw(h, out.item[i]);
		while ((c = TAILQ_FIRST(&h.quota.done))) {
			TAILQ_REMOVE(&h.quota.done, c, entry);
			decided(h, c, c->outcome);
		}
	}

	void send_draw(Host &h, struct quota_message o)
	{
		Host &home = hosts[o.lender_id - 1];
		uint64_t boot = h.boot;

		draws++;
		link.send(h.domain, home.domain, home.id, [=, &h, &home] {
			struct quota_grant g;

			if (!home.up ||
			    quota_lend(&home.quota, &o.borrow, clock(home), &g))
				return;
			if (forgets_leases)
				home.quota.lender.lease_n = 0;
			link.send(home.domain, h.domain, h.id, [=, &h] {
				if (!h.up || h.boot != boot)
					return;
				quota_apply_grant(&h.quota, o.lender_id, &g,
						  clock(h));
				step(h);
			});
		});
	}

	void count(uint64_t tokens)
	{
		admitted.push_back({link.now_us, tokens});
	}

	static Host::Request *request_of(Host &h, struct quota_charge *c)
	{
		for (auto &r : h.requests)
			if (&r->charge == c)
				return r.get();
		return nullptr;
	}

	/* A request arrives at a host; it may turn out not to run. */
	void request(Host &h, uint64_t prompt, int output, double fails)
	{
		admitted_by_request.push_back(false);
		if (!h.up || link.paused(h.id))
			return;
		h.requests.push_back(std::make_unique<Host::Request>());
		auto *r = h.requests.back().get();

		r->charge.tokens = prompt;
		r->charge.stream_rate_tokens_s = output ? pace : 0;
		r->left = output;
		r->fails = link.chance(fails);
		r->number = admitted_by_request.size() - 1;
		int outcome = quota_reserve(&h.quota, &r->charge, clock(h));

		if (outcome != -EINPROGRESS)
			decided(h, &r->charge, outcome);
		step(h);
	}

	void decided(Host &h, struct quota_charge *c, int outcome)
	{
		auto *r = request_of(h, c);

		if (c->state == QUOTA_RUNNING) {
			count(1);
			return stream(h, r);
		}
		if (outcome < 0)
			return end(h, r);
		admitted_by_request[r->number] = true;
		r->counted = admitted.size();
		count(c->tokens);
		if (refunds)
			quota_commit(&h.quota, c);
		after(h, link.number(1000, hold_max_us), [this, &h, r] {
			if (r->fails)
				return not_run(h, r);
			quota_commit(&h.quota, &r->charge);
			stream(h, r);
		});
	}

	void not_run(Host &h, Host::Request *r)
	{
		admitted[r->counted].tokens = 0;
		if (refunds)
			h.quota.lender.level_mtokens +=
				QUOTA_MILLI * (int64_t)r->charge.tokens;
		end(h, r);
		step(h);
	}

	/* A token each pace; one that can't be paid waits, and is then counted. */
	void stream(Host &h, Host::Request *r)
	{
		if (r->left == 0) {
			end(h, r);
			return step(h);
		}
		after(h, kSecondUs / pace, [this, &h, r] {
			r->left--;
			passes++;
			if (quota_consume(&h.quota, &r->charge, 1, clock(h))) {
				count(1);
				stream(h, r);
			} else {
				stalls++;
			}
			step(h);
		});
	}

	void end(Host &h, Host::Request *r)
	{
		quota_release(&h.quota, &r->charge);
		for (auto i = h.requests.begin(); i != h.requests.end(); ++i)
			if (i->get() == r) {
				h.requests.erase(i);
				return;
			}
	}
};

} // namespace quota_world

#endif
