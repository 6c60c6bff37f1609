#ifndef FIGBEND_ROLLOUT_SIM_H
#define FIGBEND_ROLLOUT_SIM_H

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "namehash.h"
#include "record.h"
#include "rollout.h"
#include "totals.h"
}

/*
 * Hosts that run the real decisions over a model of messages, store and
 * endpoints, under a random schedule of faults. Times in microseconds; the
 * order comes at 2 s.
 */
namespace rollout_sim
{

constexpr int64_t kMs = 1000, kS = 1000 * kMs;
constexpr int64_t kOrderUs = 2 * kS, kDurationUs = 12 * kS;
constexpr int64_t kDeadlineUs = kOrderUs + kDurationUs;
constexpr int64_t kContactUs = 3500 * kMs, kRollbackUs = 5 * kS;
constexpr double kShare = 0.1;
constexpr int kSlack = 50;
/* Up to this number of hosts, each reports to all others. */
constexpr size_t kDirectHosts = 24, kGroups = kDirectHosts + 4;

enum class Bad { kNever, kFails, kSlow };
enum class When { kAtOnce, kLater, kUnderLoad, kOneRoute };
/* Faults of the decisions or messages that the properties must find. */
enum class Plant { kNone, kLevelAtOne, kTwice, kForgets };

struct Scenario {
	int hosts = 12;
	double rate = 150; /* requests a second, over all hosts */
	Bad bad = Bad::kNever;
	When when = When::kAtOnce;
	double crashes = 0; /* share of failures of both versions */
	double burst = 1;   /* factor in 3 s to 5 s of every 6 s */
	bool faults = false;
	Plant plant = Plant::kNone;
	uint64_t seed = 1;
};

struct Result {
	double requests = 0; /* between the order and its deadline */
	int sent_new = 0;    /* of these, by hosts in contact */
	int late = 0; /* by hosts in contact, 5 s after the 50th bad answer */
	int to_present = 0; /* hosts in contact not moved at completed */
	rollout_stage at_deadline = ROLLOUT_NONE, at_end = ROLLOUT_NONE;
	int finals = 0;
	int counted_twice = 0; /* hosts whose evidence exceeds the truth */
};

struct Host {
	std::unique_ptr<rollout> r = std::make_unique<rollout>();
	bool alive = true;
	int domain = 0;
	uint64_t boot = 0;
	int64_t start_us = 0, frozen_until = 0, cut_until = 0, blind_until = 0;
	int64_t disturbed_us = -kS * 100; /* last disturbance */
	size_t read = 0;		  /* records of the store */
	bool ordered = false;
	std::map<uint64_t, int64_t> counters; /* as reported */
	totals_keys keys{};
	std::vector<totals_group> groups;

	~Host()
	{
		for (auto &g : groups)
			totals_group_finish(&g);
		totals_keys_finish(&keys);
	}
};

class Sim
{
      public:
	explicit Sim(const Scenario &s) : s_(s), rng_(s.seed)
	{
		for (int i = 0; i < s_.hosts; i++)
			start_host(i % 3);
		if (s_.faults)
			plan_faults();
	}
	Result run()
	{
		for (; now_ < kDeadlineUs + 8 * kS; now_ += 10 * kMs)
			step();
		out_.at_end = stored();
		for (auto &h : hosts_)
			out_.counted_twice += counts_twice(h->r.get());
		return out_;
	}

      private:
	struct Ctx {
		Sim *sim;
		Host *to;
	};

	Scenario s_;
	std::mt19937_64 rng_;
	int64_t now_ = 0;
	std::vector<std::unique_ptr<Host>> hosts_;
	std::multimap<int64_t, std::function<void()>> events_;
	std::vector<rollout_progress> log_; /* the store's records */
	int64_t store_down_until_ = 0;
	int64_t stop_us_ = INT64_MAX; /* second half of EXPOSURE */
	int bad_answers_ = 0;
	double new_load_ = 0; /* part of the requests, smoothed */
	uint64_t report_ = 0;
	Result out_;

	double uniform()
	{
		return std::uniform_real_distribution<>(0, 1)(rng_);
	}
	int64_t between(int64_t a, int64_t b)
	{
		return a + (int64_t)(uniform() * (double)(b - a));
	}
	void at(int64_t t, std::function<void()> f)
	{
		events_.emplace(t, std::move(f));
	}
	bool runs(const Host &h)
	{
		return h.alive && h.frozen_until <= now_;
	}
	bool reaches(const Host &a, const Host &b)
	{
		return runs(a) && runs(b) &&
		       (a.domain == b.domain ||
			(a.cut_until <= now_ && b.cut_until <= now_));
	}
	bool has_store(const Host &h)
	{
		return store_down_until_ <= now_ && h.blind_until <= now_;
	}
	bool in_contact(const Host &h)
	{
		return runs(h) && has_store(h) &&
		       h.disturbed_us + kContactUs < now_ &&
		       store_down_until_ + kContactUs < now_;
	}
	rollout_stage stored()
	{
		return log_.empty() ? ROLLOUT_NONE : log_.back().stage;
	}

	bool counts_twice(const rollout *r)
	{
		for (uint32_t i = 0; i < r->n_rows; i++)
			for (int side = 0; side < 2; side++) {
				int64_t truth = 0;

				for (auto &h : hosts_)
					truth += h->r->row[i].own[side].answers;
				if (r->row[i].own[side].answers +
					    r->row[i].others[side].answers >
				    truth)
					return true;
			}
		return false;
	}

	void start_host(int domain)
	{
		rollout_limits limits{kShare, kSlack, kRollbackUs};
		auto h = std::make_unique<Host>();

		h->domain = domain;
		h->boot = hosts_.size() + 1;
		h->start_us = now_;
		h->disturbed_us = now_;
		rollout_init(h->r.get(), "svc", &limits, rng_(), now_);
		for (const char *row : {"a", "b", "c"})
			rollout_add_row(h->r.get(), row);
		h->groups.resize(kGroups);
		for (auto &g : h->groups)
			totals_group_init(&g);
		hosts_.push_back(std::move(h));
		Host *p = hosts_.back().get();
		at(now_ + between(0, 100 * kMs), [this, p] { tick(p); });
		at(now_ + between(0, 300 * kMs), [this, p] { report(p); });
		at(now_ + between(0, 500 * kMs), [this, p] { gossip(p); });
	}
	void kill(Host *h)
	{
		h->alive = false;
		h->disturbed_us = now_;
	}
	void plan_faults()
	{
		int n = (int)between(3, 9);

		for (int i = 0; i < n; i++) {
			int64_t t = between(kOrderUs, kDeadlineUs);
			int kind = (int)between(0, 6);
			uint64_t pick = rng_();
			int64_t until = t + between(kS, 4 * kS);

			at(t, [=] { fault(kind, pick, until); });
		}
	}
	void fault(int kind, uint64_t pick, int64_t until)
	{
		Host *h = hosts_[pick % hosts_.size()].get();
		size_t n = hosts_.size();

		switch (kind) {
		case 0: /* a third die, and start again as new processes */
			for (size_t i = 0; i < n; i += 3) {
				int domain = hosts_[i]->domain;

				kill(hosts_[i].get());
				at(until, [=] { start_host(domain); });
			}
			break;
		case 1:
			h->frozen_until = h->disturbed_us = until;
			break;
		case 2: /* a domain is cut off from the others */
			for (auto &o : hosts_)
				if (o->domain == h->domain)
					o->cut_until = until;
			for (auto &o : hosts_)
				o->disturbed_us = until;
			break;
		case 3:
			store_down_until_ = until;
			bad_answers_ = 0;
			stop_us_ = INT64_MAX;
			break;
		case 4: /* some hosts lose their path to the store */
			for (size_t i = pick % 2; i < n; i += 2)
				hosts_[i]->blind_until =
					hosts_[i]->disturbed_us = until;
			break;
		default:
			if (n > 200)
				break;
			for (size_t i = 0; i < n * 3 / 4; i++)
				start_host((int)i % 3);
		}
	}

	/* Reports go to all hosts, or as sums of a domain if there are many. */
	void report(Host *h)
	{
		rollout_counter c[ROLLOUT_COUNTERS_MAX];

		if (!h->alive)
			return;
		at(now_ + 250 * kMs, [=] { report(h); });
		if (!runs(*h))
			return;
		uint32_t n = rollout_fill_counters(h->r.get(), c);

		for (uint32_t i = 0; i < n; i++)
			h->counters[namehash(c[i].name)] = (int64_t)c[i].amount;
		if (hosts_.size() <= kDirectHosts) {
			for (auto &o : hosts_)
				if (o.get() != h && reaches(*h, *o))
					send(o.get(), 3 + h->boot, h->boot,
					     h->boot, h->counters);
			return;
		}
		for (int domain = 0; domain < 3; domain++)
			receive_sum(h, domain);
	}
	void receive_sum(Host *h, int domain)
	{
		std::map<uint64_t, int64_t> sum;

		if (domain != h->domain && h->cut_until > now_)
			return;
		for (auto &o : hosts_)
			if (o->domain == domain && o.get() != h)
				for (auto &c : o->counters)
					sum[c.first] += c.second;
		send(h, (uint64_t)domain, 1, 1, sum);
	}
	void send(Host *to, uint64_t group, uint64_t source, uint64_t boot,
		  const std::map<uint64_t, int64_t> &counters)
	{
		std::vector<totals_row> rows;
		uint64_t counter = ++report_;
		bool young = hosts_.size() <= kDirectHosts && boot > to->boot;

		if (uniform() < 0.15)
			return;
		for (auto &c : counters) {
			totals_column(&to->keys, c.first);
			rows.push_back({c.first, c.second});
		}
		auto arrive = [=] {
			totals_report r{source,	     boot,
					counter,     young,
					rows.data(), (uint32_t)rows.size()};

			Ctx ctx{this, to};

			if (runs(*to))
				totals_apply(&to->groups[group], &to->keys, &r,
					     now_, changed, &ctx);
		};
		at(now_ + between(kMs, 300 * kMs), arrive);
		if (uniform() < 0.05)
			at(now_ + between(kMs, kS), arrive);
	}
	static void changed(void *ctx, uint64_t key, int64_t change);

	void announce(Host *h, Host *to)
	{
		rollout_progress p;

		if (h == to || uniform() < 0.1 || !reaches(*h, *to) ||
		    !rollout_get_progress(h->r.get(), &p, now_))
			return;
		auto arrive = [=] {
			if (runs(*to) && s_.plant != Plant::kForgets)
				rollout_on_progress(to->r.get(), &p,
						    ROLLOUT_FROM_HOST, now_);
		};
		at(now_ + between(kMs, 50 * kMs), arrive);
		if (uniform() < 0.05)
			at(now_ + between(kMs, 2 * kS), arrive);
	}
	void gossip(Host *h)
	{
		if (!h->alive)
			return;
		at(now_ + 500 * kMs, [=] { gossip(h); });
		for (int i = 0; i < 2; i++)
			announce(h, hosts_[rng_() % hosts_.size()].get());
	}
	void read_store(Host *h)
	{
		if (now_ < kOrderUs || !has_store(*h))
			return;
		if (!h->ordered) {
			rollout_order o{"v2", kDurationUs, 10, 77};

			h->ordered = true;
			rollout_on_order(h->r.get(), &o, now_);
			for (uint32_t i = 0; i < h->r->n_rows; i++)
				if (s_.plant == Plant::kLevelAtOne)
					h->r->row[i].level = 1;
		}
		bool forgets = s_.plant == Plant::kForgets &&
			       h->start_us > kOrderUs;

		for (; h->read < log_.size(); h->read++)
			if (!forgets)
				rollout_on_progress(h->r.get(), &log_[h->read],
						    ROLLOUT_FROM_STORE, now_);
	}
	void write(Host *h, rollout_stage stage)
	{
		rollout_progress p;

		if (!has_store(*h) || h->read != log_.size())
			return;
		rollout_get_progress(h->r.get(), &p, now_);
		p.stage = stage;
		log_.push_back(p);
		if (stage >= ROLLOUT_COMPLETED)
			out_.finals++;
		if (stage == ROLLOUT_COMPLETED)
			for (auto &o : hosts_)
				out_.to_present += in_contact(*o) &&
						   choose(o.get(), "x") !=
							   ROLLOUT_NEW;
		/* The response may be lost: then the host reads its record. */
		if (uniform() < 0.1)
			return;
		h->read++;
		rollout_on_written(h->r.get(), stage, now_);
	}
	void tick(Host *h)
	{
		rollout_view view{0, has_store(*h), 6, 6, 3, 0};
		rollout_actions actions;

		if (!h->alive)
			return;
		at(now_ + 100 * kMs, [=] { tick(h); });
		if (!runs(*h))
			return;
		for (auto &o : hosts_)
			view.rank += o->boot < h->boot && reaches(*o, *h);
		read_store(h);
		rollout_tick(h->r.get(), &view, now_, &actions);
		if (actions.write != ROLLOUT_NONE)
			write(h, actions.write);
		for (auto &o : hosts_)
			if (actions.announce)
				announce(h, o.get());
	}

	rollout_side choose(Host *h, const char *route)
	{
		return rollout_choose(h->r.get(), route, true, now_);
	}
	bool is_bad_now(const char *route)
	{
		switch (s_.when) {
		case When::kAtOnce:
			return true;
		case When::kLater:
			return now_ > kOrderUs + 5 * kS;
		case When::kUnderLoad:
			return new_load_ > 0.3;
		case When::kOneRoute:
			return route[0] == 'b';
		}
		return true;
	}
	void attempt(Host *h, const char *route, rollout_side side, int n)
	{
		bool is_new = side == ROLLOUT_NEW, bad = uniform() < s_.crashes;
		double log2_ms = route[0] == 'a' ? 5 : 7;
		bool slow = false;

		if (is_new && now_ <= kDeadlineUs && in_contact(*h))
			out_.sent_new++;
		if (is_new && now_ > stop_us_ && in_contact(*h))
			out_.late++;
		if (is_new && s_.bad != Bad::kNever && is_bad_now(route)) {
			bad = bad || (s_.bad == Bad::kFails && uniform() < 0.3);
			slow = s_.bad == Bad::kSlow;
		}
		log2_ms += std::normal_distribution<>(slow ? 2 : 0, 0.6)(rng_);
		auto took = (int64_t)(std::exp2(log2_ms) * 1000);

		at(now_ + took, [=] {
			if (!runs(*h))
				return;
			if (is_new && (bad || slow) && ++bad_answers_ == kSlack)
				stop_us_ = now_ + kRollbackUs;
			rollout_observe(h->r.get(), route, is_new,
					bad ? ROLLOUT_ANSWER_BAD
					    : ROLLOUT_ANSWER_GOOD,
					took, now_);
			if (bad && n < 2)
				attempt(h, route,
					rollout_choose_again(h->r.get(), side),
					n + 1);
		});
	}
	void step()
	{
		double rate = s_.rate;

		if (now_ % (6 * kS) > 3 * kS && now_ % (6 * kS) < 5 * kS)
			rate *= s_.burst;
		int n = std::poisson_distribution<>(rate / 100)(rng_);

		for (; !events_.empty() && events_.begin()->first <= now_;) {
			auto f = std::move(events_.begin()->second);

			events_.erase(events_.begin());
			f();
		}
		for (int i = 0; i < n; i++) {
			Host *h = hosts_[rng_() % hosts_.size()].get();
			double u = uniform();
			const char *route = u < 0.6 ? "a" : u < 0.9 ? "b" : "c";

			if (!runs(*h))
				continue;
			if (now_ >= kOrderUs && now_ <= kDeadlineUs)
				out_.requests++;
			rollout_side side = choose(h, route);

			new_load_ += ((side == ROLLOUT_NEW) - new_load_) / 40;
			attempt(h, route, side, 1);
		}
		if (now_ == kDeadlineUs)
			out_.at_deadline = stored();
	}
};

inline void Sim::changed(void *ctx, uint64_t key, int64_t change)
{
	auto *c = static_cast<Ctx *>(ctx);
	int times = c->sim->s_.plant == Plant::kTwice ? 2 : 1;

	for (int i = 0; i < times; i++)
		rollout_apply_counter(c->to->r.get(), key, change,
				      c->sim->now_);
}

} // namespace rollout_sim

#endif
