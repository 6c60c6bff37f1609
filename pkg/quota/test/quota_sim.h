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
 * Simulation of one account on several hosts in several failure domains. Hosts
 * read membership epochs from a log on the platform, late or not at all, and
 * have clocks that differ in offset and rate.
 */
namespace quota_sim
{

constexpr int64_t kSecondUs = 1000000;
constexpr int kLendersPerDomain = 3;
constexpr int kPlatform = 1000; /* node and group of the log */

/* Tokens of a prompt or of output that were admitted on some host. */
struct Admission {
	int64_t when_us;
	uint64_t tokens;
};

/* Returns the least burst for which rate * t + burst covers every window. */
inline double needed_burst(const std::vector<Admission> &history, uint64_t rate)
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

struct Heartbeat {
	int64_t received_us;
	uint64_t epoch_number;
};

struct Host {
	int id = 0, domain = 0;
	uint64_t boot = 0; /* number of starts and kills */
	bool up = false;
	double clock_rate = 1;
	int64_t clock_offset_us = 0;
	Epoch epoch;
	std::vector<Heartbeat> heartbeats; /* the last one of each host */
	struct quota quota = {};
	struct Request {
		struct quota_charge charge = {};
		int remaining_output = 0; /* tokens */
		size_t admission = 0;	  /* index in admissions */
		bool fails = false;	  /* before it starts */
		size_t number = 0;	  /* index in admitted_by_request */
	};
	std::vector<std::unique_ptr<Request>> requests;
};

struct Simulation {
	SimNetwork network;
	int domains;
	uint64_t rate, burst;
	std::vector<Host> hosts;
	Epoch log; /* the newest epoch */
	std::vector<Admission> admissions;
	std::vector<bool> admitted_by_request;
	uint64_t held_back = 0; /* output tokens that waited to be paid */
	uint64_t output = 0;	/* output tokens */
	uint64_t messages = 0;	/* borrow messages sent */
	uint32_t stream_rate = 25;
	int64_t start_delay_max_us = 1400000; /* of admitted requests */
	/* Bugs that are injected to show that the check detects them. */
	bool bug_lender_forgets_leases = false;
	bool bug_bucket_starts_full = false;
	bool bug_refund_after_commit = false;

	Simulation(uint64_t seed, int n, int domains, uint64_t rate,
		   uint64_t burst)
	    : network(seed), domains(domains), rate(rate), burst(burst),
	      hosts(n)
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

	~Simulation()
	{
		for (auto &h : hosts)
			quota_finish(&h.quota);
	}

	int64_t clock(const Host &h) const
	{
		return h.clock_offset_us +
		       (int64_t)(network.now_us * h.clock_rate);
	}

	/* A timer of a host; waits during a pause, ends with a kill. */
	void after(Host &h, int64_t delay_us, SimNetwork::Action a)
	{
		uint64_t boot = h.boot;

		network.at(network.now_us + delay_us, [this, &h, boot, a] {
			if (h.boot != boot || !h.up)
				return;
			if (network.paused(h.id))
				after(h, 50000, a);
			else
				a();
		});
	}

	void every(Host &h, int64_t period_us, SimNetwork::Action a)
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
		h.heartbeats.assign(hosts.size(), {INT64_MIN / 2, 0});
		h.clock_rate = 1 + network.uniform(-1000, 1000) * 1e-6;
		h.clock_offset_us = network.uniform(1, 1000) * kSecondUs;
		quota_init(&h.quota, h.boot * 1000 + h.id, clock(h));
		h.quota.account_limits = {rate, burst};
		every(h, kSecondUs, [this, &h] { read_log(h); });
		every(h, kSecondUs, [this, &h] { send_heartbeats(h); });
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
		int64_t as_of_us = clock(h);
		uint64_t boot = h.boot;

		network.send(h.domain, kPlatform, kPlatform, [=, &h] {
			Epoch e = log;

			network.send(kPlatform, h.domain, h.id, [=, &h] {
				if (h.boot != boot || !h.up)
					return;
				apply_epoch(h, e);
				if (e.number == h.epoch.number)
					quota_lender_confirm(&h.quota.lender,
							     as_of_us,
							     clock(h));
			});
		});
	}

	/* The lenders of a domain are its first hosts in the epoch. */
	std::vector<int> lenders(const Epoch &e, int domain) const
	{
		std::vector<int> out;

		for (int i : e.hosts)
			if (hosts[i].domain == domain &&
			    out.size() < kLendersPerDomain)
				out.push_back(i);
		return out;
	}

	void apply_epoch(Host &h, const Epoch &e)
	{
		struct quota_remote_lender remote[QUOTA_LENDERS_MAX] = {};
		struct quota_limits limits = {0, 0};
		uint64_t hash = 0;
		uint32_t n = 0;

		if (e.number <= h.epoch.number)
			return;
		h.epoch = e;
		for (int d = 0; d < domains; d++) {
			auto in = lenders(e, d);

			for (size_t i = 0; i < in.size(); i++) {
				if (d == h.domain)
					hash = hash * 1000 + in[i] + 1;
				if (in[i] == h.id) {
					limits = {rate / domains / in.size(),
						  burst / domains / in.size()};
					continue;
				}
				remote[n].id = in[i] + 1;
				remote[n++].same_domain = d == h.domain;
			}
		}
		quota_set_lenders(&h.quota, remote, n);
		quota_lender_assign(&h.quota.lender, &limits, hash, clock(h));
		if (bug_bucket_starts_full && h.quota.lender.activate_us)
			fill_bucket(h);
		advance(h);
	}

	static void fill_bucket(Host &h)
	{
		struct quota_lender &l = h.quota.lender;

		l.active = l.assigned;
		l.activate_us = 0;
		l.level_mtokens = (int64_t)l.active.burst_tokens * QUOTA_MILLI;
	}

	void send_heartbeats(Host &h)
	{
		uint64_t number = h.epoch.number;
		int from = h.id;

		for (auto &to : hosts) {
			if (to.domain != h.domain || to.id == h.id)
				continue;
			network.send(h.domain, to.domain, to.id,
				     [this, &to, from, number] {
					     to.heartbeats[from] = {clock(to),
								    number};
				     });
		}
	}

	/* Confirms the epoch without the log: by a majority of the domain. */
	void confirm_by_peers(Host &h)
	{
		std::vector<int64_t> heartbeat_us;

		for (auto &b : h.heartbeats)
			if (b.epoch_number > h.epoch.number)
				return;
		for (int i : h.epoch.hosts)
			if (hosts[i].domain == h.domain)
				heartbeat_us.push_back(
					i == h.id
						? clock(h)
						: h.heartbeats[i].received_us);
		quota_lender_confirm(
			&h.quota.lender,
			quota_lender_quorum_us(heartbeat_us.data(),
					       heartbeat_us.size()),
			clock(h));
	}

	void tick(Host &h)
	{
		struct quota_outbox out = {};

		confirm_by_peers(h);
		quota_tick(&h.quota, clock(h), &out);
		process(h, out);
	}

	void advance(Host &h)
	{
		struct quota_outbox out = {};

		quota_advance(&h.quota, clock(h), &out);
		process(h, out);
	}

	/* Sends the messages and handles the charges that were decided. */
	void process(Host &h, const struct quota_outbox &out)
	{
		struct quota_charge *c;

		for (uint32_t i = 0; i < out.n; i++)
			send_borrow(h, out.item[i]);
		while ((c = TAILQ_FIRST(&h.quota.done))) {
			TAILQ_REMOVE(&h.quota.done, c, entry);
			on_decision(h, c, c->outcome);
		}
	}

	void send_borrow(Host &h, struct quota_message m)
	{
		Host &lender = hosts[m.lender_id - 1];
		uint64_t boot = h.boot;

		messages++;
		network.send(
			h.domain, lender.domain, lender.id, [=, &h, &lender] {
				struct quota_grant g;

				if (!lender.up ||
				    quota_lend(&lender.quota, &m.borrow,
					       clock(lender), &g))
					return;
				if (bug_lender_forgets_leases)
					lender.quota.lender.lease_n = 0;
				network.send(
					lender.domain, h.domain, h.id, [=, &h] {
						if (!h.up || h.boot != boot)
							return;
						quota_apply_grant(&h.quota,
								  m.lender_id,
								  &g, clock(h));
						advance(h);
					});
			});
	}

	void admit(uint64_t tokens)
	{
		admissions.push_back({network.now_us, tokens});
	}

	static Host::Request *request_of(Host &h, struct quota_charge *c)
	{
		for (auto &r : h.requests)
			if (&r->charge == c)
				return r.get();
		return nullptr;
	}

	/* A request arrives; it may fail before it starts. */
	void request(Host &h, uint64_t prompt, int output_tokens, double fails)
	{
		admitted_by_request.push_back(false);
		if (!h.up || network.paused(h.id))
			return;
		h.requests.push_back(std::make_unique<Host::Request>());
		auto *r = h.requests.back().get();

		r->charge.tokens = prompt;
		r->charge.stream_rate_tokens_s = output_tokens ? stream_rate
							       : 0;
		r->remaining_output = output_tokens;
		r->fails = network.chance(fails);
		r->number = admitted_by_request.size() - 1;
		int outcome = quota_reserve(&h.quota, &r->charge, clock(h));

		if (outcome != -EINPROGRESS)
			on_decision(h, &r->charge, outcome);
		advance(h);
	}

	void on_decision(Host &h, struct quota_charge *c, int outcome)
	{
		auto *r = request_of(h, c);

		if (c->state == QUOTA_RUNNING) {
			admit(1);
			return stream(h, r);
		}
		if (outcome < 0)
			return end(h, r);
		admitted_by_request[r->number] = true;
		r->admission = admissions.size();
		admit(c->tokens);
		if (bug_refund_after_commit)
			quota_commit(&h.quota, c);
		after(h, network.uniform(1000, start_delay_max_us),
		      [this, &h, r] {
			      if (r->fails)
				      return fail(h, r);
			      quota_commit(&h.quota, &r->charge);
			      stream(h, r);
		      });
	}

	/* The request was not executed: its prompt does not count. */
	void fail(Host &h, Host::Request *r)
	{
		admissions[r->admission].tokens = 0;
		if (bug_refund_after_commit)
			h.quota.lender.level_mtokens +=
				QUOTA_MILLI * (int64_t)r->charge.tokens;
		end(h, r);
		advance(h);
	}

	/* Outputs tokens one by one. A token in debt counts when it is paid. */
	void stream(Host &h, Host::Request *r)
	{
		if (r->remaining_output == 0) {
			end(h, r);
			return advance(h);
		}
		after(h, kSecondUs / stream_rate, [this, &h, r] {
			r->remaining_output--;
			output++;
			if (quota_consume(&h.quota, &r->charge, 1, clock(h))) {
				admit(1);
				stream(h, r);
			} else {
				held_back++;
			}
			advance(h);
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

} // namespace quota_sim

#endif
