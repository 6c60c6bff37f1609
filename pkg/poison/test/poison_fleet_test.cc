#include <gtest/gtest.h>

#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "poison.h"
}

/*
 * Hosts that exchange messages, endpoints that crash, and callers that repeat, in
 * virtual time. The bounds are those of docs/RULES.md: once five endpoints have
 * crashed, and CONTACT_US have passed, at most three requests with the part reach
 * an endpoint, and of the sound requests that share a part with them at least half
 * are served.
 */

namespace
{

constexpr int64_t kMs = 1000;
constexpr int64_t kSecond = 1000000;
constexpr int64_t kContact = 3 * kSecond;
constexpr uint32_t kLateMax = 3;
constexpr uint64_t kFirstPart = 1, kDeadlyPart = 2, kSecondPart = 3;

using Keys = std::vector<uint64_t>;

/* How requests share the parts of their prompts. */
enum Shape {
	DEADLY_AFTER_SHARED, /* the first part is shared with sound requests */
	DEADLY_FIRST,	     /* each request has another second part */
	DEADLY_ONLY,
};

struct Load {
	const char *name;
	Shape shape;
	uint32_t hosts;
	uint32_t endpoints;
	double poison_per_s;
	double sound_per_s;
	double lost; /* part of the messages */
};

class Fleet
{
      public:
	Fleet(const Load &load, uint32_t seed)
	    : load_(load), random_(seed), hosts_(load.hosts),
	      endpoints_(load.endpoints), in_touch_us_(load.hosts)
	{
		for (uint32_t h = 0; h < hosts_.size(); h++)
			Start(h);
	}

	void Run(int64_t duration_us)
	{
		end_us_ = now_us_ + duration_us;
		At(now_us_, [this] { Arrive(true); });
		At(now_us_, [this] { Arrive(false); });
		for (uint32_t h = 0; h < hosts_.size(); h++) {
			At(now_us_ + Uniform(0, kSecond / 2),
			   [this, h] { Gossip(h); });
			At(now_us_ + Uniform(0, 100 * kMs),
			   [this, h] { Tick(h); });
		}
		while (!events_.empty()) {
			Event e = events_.top();

			events_.pop();
			now_us_ = e.at_us;
			e.run();
		}
	}

	/* Endpoints crash at the same moment, whatever runs there. */
	void LoseEndpointsAt(int64_t at_us, uint32_t n)
	{
		At(now_us_ + at_us, [this, n] {
			for (uint32_t e = 0; e < n; e++)
				Crash(e);
		});
	}

	/* A host that restarts has forgotten everything. */
	void RestartAt(int64_t at_us, uint32_t host)
	{
		At(now_us_ + at_us, [this, host] {
			Start(host);
			in_touch_us_[host] = now_us_ + kContact;
		});
	}

	/* Messages to the host from here on arrive when it is over. */
	void FreezeAt(int64_t at_us, uint32_t host, int64_t for_us)
	{
		At(now_us_ + at_us, [this, host, for_us] {
			frozen_host_ = host;
			frozen_until_us_ = now_us_ + for_us;
			in_touch_us_[host] = frozen_until_us_ + kContact;
		});
	}

	uint32_t crashes() const
	{
		return crashes_;
	}

	/* Requests with the deadly part that reached an endpoint too late, from
	 * hosts that had run for a while. */
	uint32_t late() const
	{
		return late_;
	}

	/* Part of the sound requests that were not refused, from the fifth crash
	 * on. */
	double sound_served() const
	{
		return sound_ ? 1 - (double)sound_refused_ / sound_ : 1;
	}

      private:
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

	struct Request {
		Keys keys;
		bool poison;
		int attempts_left;
		int repeats_left;
	};

	struct Running {
		Request request;
		uint32_t host;
		int64_t sent_us;
	};

	struct Endpoint {
		uint64_t start = 0; /* number of its start */
		int64_t down_until_us = 0;
		std::vector<Running> waiting; /* answers that have not begun */
	};

	void Start(uint32_t host)
	{
		poison_init(&hosts_[host]);
		poison_set_hosts(&hosts_[host], host * 1234567ULL,
				 (uint32_t)hosts_.size());
	}

	void At(int64_t at_us, std::function<void()> run)
	{
		events_.push({at_us, order_++, std::move(run)});
	}

	int64_t Uniform(int64_t from, int64_t to)
	{
		return std::uniform_int_distribution<int64_t>(from,
							      to)(random_);
	}

	Request NewRequest(bool poison)
	{
		Request r = {{}, poison, 2, 1};
		uint64_t other = 1000 + (uint64_t)Uniform(0, 2000);

		if (!poison)
			r.keys = {load_.shape == DEADLY_AFTER_SHARED
					  ? kFirstPart
					  : other};
		else if (load_.shape == DEADLY_AFTER_SHARED)
			r.keys = {kFirstPart, kDeadlyPart};
		else if (load_.shape == DEADLY_FIRST)
			r.keys = {kDeadlyPart, other};
		else
			r.keys = {kDeadlyPart};
		r.keys.push_back(1000000 + next_request_++);
		return r;
	}

	void Arrive(bool poison)
	{
		double rate = poison ? load_.poison_per_s : load_.sound_per_s;
		std::exponential_distribution<double> gap(rate);

		if (now_us_ >= end_us_ || rate <= 0)
			return;
		Send(NewRequest(poison), RandomHost());
		At(now_us_ + (int64_t)(gap(random_) * kSecond) + 1,
		   [this, poison] { Arrive(poison); });
	}

	uint32_t RandomHost()
	{
		return (uint32_t)Uniform(0, (int64_t)hosts_.size() - 1);
	}

	bool IsLate() const
	{
		return crashes_ >= 5 && now_us_ > fifth_us_ + kContact;
	}

	/* Sends the request to an endpoint, or refuses it. */
	void Send(Request r, uint32_t host)
	{
		uint32_t e =
			(uint32_t)Uniform(0, (int64_t)endpoints_.size() - 1);
		uint64_t start;

		if (!r.poison && IsLate())
			sound_++;
		Judge(host);
		if (poison_admit_us(&hosts_[host], r.keys.data(),
				    (uint32_t)r.keys.size(), now_us_)) {
			if (!r.poison && IsLate())
				sound_refused_++;
			return;
		}
		if (endpoints_[e].down_until_us > now_us_) {
			At(now_us_ + 20 * kMs, [=] { Send(r, host); });
			return;
		}
		if (r.poison && IsLate() && now_us_ >= in_touch_us_[host])
			late_++;
		start = endpoints_[e].start;
		endpoints_[e].waiting.push_back({r, host, now_us_});
		At(now_us_ + Uniform(20 * kMs, 300 * kMs),
		   [=] { Begin(e, start, r); });
	}

	/* The endpoint begins to answer, unless it has crashed since. */
	void Begin(uint32_t e, uint64_t start, const Request &r)
	{
		Endpoint &endpoint = endpoints_[e];

		if (endpoint.start != start)
			return;
		if (r.poison) {
			Crash(e);
			return;
		}
		for (size_t i = 0; i < endpoint.waiting.size(); i++) {
			if (endpoint.waiting[i].request.keys != r.keys)
				continue;
			Answer(endpoint.waiting[i].host, r);
			endpoint.waiting.erase(endpoint.waiting.begin() +
					       (long)i);
			return;
		}
	}

	void Answer(uint32_t host, const Request &r)
	{
		if (poison_acquit(&hosts_[host], r.keys.data(),
				  (uint32_t)r.keys.size(), now_us_))
			Broadcast(host);
	}

	void Crash(uint32_t e)
	{
		Endpoint &endpoint = endpoints_[e];
		std::vector<Running> broken;
		uint64_t key = e * 1000000ULL + endpoint.start + 1;

		broken.swap(endpoint.waiting);
		endpoint.start++;
		endpoint.down_until_us = now_us_ + 3 * kSecond;
		if (++crashes_ == 5)
			fifth_us_ = now_us_;
		for (const Running &r : broken)
			At(now_us_ + Uniform(1 * kMs, 4 * kMs),
			   [=] { Broken(r, key); });
		At(now_us_ + 3300 * kMs, [=] {
			for (struct poison &h : hosts_)
				poison_confirm(&h, key, now_us_);
		});
	}

	void Broken(const Running &run, uint64_t endpoint)
	{
		struct poison_break b = {endpoint, now_us_, false};
		Request r = run.request;

		poison_charge(&hosts_[run.host], r.keys.data(),
			      (uint32_t)r.keys.size(), &b, now_us_);
		Broadcast(run.host);
		if (--r.attempts_left > 0) {
			Send(r, run.host);
			return;
		}
		if (r.repeats_left-- <= 0)
			return;
		r.attempts_left = 2;
		At(now_us_ + Uniform(50 * kMs, 300 * kMs),
		   [=] { Send(r, RandomHost()); });
	}

	void Judge(uint32_t host)
	{
		if (!poison_is_accusing(&hosts_[host]))
			return;
		poison_judge(&hosts_[host], nullptr, 0, now_us_);
		Broadcast(host);
	}

	/* Each host, at its own times. */
	void Tick(uint32_t host)
	{
		if (now_us_ >= end_us_)
			return;
		Judge(host);
		At(now_us_ + 100 * kMs, [this, host] { Tick(host); });
	}

	/* Sends what changed at this moment to all hosts. */
	void Broadcast(uint32_t from)
	{
		for (uint32_t to = 0; to < hosts_.size(); to++)
			if (to != from)
				SendReports(from, to, now_us_, 64);
	}

	void Gossip(uint32_t from)
	{
		if (now_us_ >= end_us_)
			return;
		for (int i = 0; i < 2; i++)
			SendReports(from, RandomHost(), 0, 16);
		At(now_us_ + kSecond / 2, [this, from] { Gossip(from); });
	}

	void SendReports(uint32_t from, uint32_t to, int64_t since_us,
			 uint32_t max)
	{
		std::vector<struct poison_report> r(max);
		int64_t at_us = now_us_ + Uniform(1 * kMs, 5 * kMs);

		if ((double)Uniform(0, 999999) / 1e6 < load_.lost)
			return;
		r.resize(poison_report(&hosts_[from], r.data(), max, since_us,
				       now_us_));
		if (to == frozen_host_ && at_us < frozen_until_us_)
			at_us = frozen_until_us_;
		if (!r.empty())
			At(at_us, [=] {
				for (const struct poison_report &row : r)
					poison_merge(&hosts_[to], &row,
						     now_us_);
			});
	}

	const Load load_;
	std::mt19937 random_;
	std::vector<struct poison> hosts_;
	std::vector<Endpoint> endpoints_;
	std::vector<int64_t> in_touch_us_;
	std::priority_queue<Event> events_;
	uint64_t order_ = 0;
	uint64_t next_request_ = 0;
	int64_t now_us_ = 1000 * kSecond;
	int64_t end_us_ = 0;
	int64_t fifth_us_ = 0;
	uint32_t crashes_ = 0;
	uint32_t late_ = 0;
	uint32_t sound_ = 0;
	uint32_t sound_refused_ = 0;
	uint32_t frozen_host_ = UINT32_MAX;
	int64_t frozen_until_us_ = 0;
};

class PoisonFleetLoads : public ::testing::TestWithParam<Load>
{
};

/* Guards against a block that is undone when a repeat of a request is blamed, or
 * by a message that arrives late. */
TEST_P(PoisonFleetLoads, KeepsADeadlyPartFromEndpoints)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		Fleet f(GetParam(), seed);

		f.FreezeAt(8 * kSecond, seed % GetParam().hosts, 4 * kSecond);
		f.RestartAt(10 * kSecond, (seed + 1) % GetParam().hosts);
		f.Run(30 * kSecond);
		EXPECT_LE(f.late(), kLateMax)
			<< "seed " << seed << ", " << f.crashes() << " crashes";
		EXPECT_GE(f.sound_served(), 0.5) << "seed " << seed;
	}
}

const Load kLoads[] = {
	{"few", DEADLY_AFTER_SHARED, 8, 9, 0.6, 10, 0},
	{"half_with_losses", DEADLY_AFTER_SHARED, 8, 9, 5, 5, 0.03},
	{"many", DEADLY_AFTER_SHARED, 7, 18, 20, 5, 0},
	{"hardly_any_sound", DEADLY_AFTER_SHARED, 7, 18, 20, 0.2, 0},
	{"deadly_first", DEADLY_FIRST, 7, 18, 10, 10, 0.03},
	{"deadly_first_65_hosts", DEADLY_FIRST, 65, 90, 40, 40, 0},
	{"deadly_only", DEADLY_ONLY, 7, 18, 10, 10, 0},
	{"deadly_only_65_hosts", DEADLY_ONLY, 65, 90, 3, 80, 0.03},
};

/* Guards against requests that all hosts let through when a block ends. */
TEST(PoisonFleet, SendsOneRequestAfterABlock)
{
	for (uint32_t seed = 1; seed <= 5; seed++) {
		Fleet f({"", DEADLY_AFTER_SHARED, 20, 60, 100, 5, 0}, seed);

		f.Run(150 * kSecond);
		EXPECT_LE(f.late(), kLateMax)
			<< "seed " << seed << ", " << f.crashes() << " crashes";
	}
}

/* Guards against a block of parts that broke at many endpoints by chance. */
TEST(PoisonFleet, ALossOfEndpointsBlocksNothing)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		Fleet f({"", DEADLY_AFTER_SHARED, 8, 18, 0, 40, 0}, seed);

		f.LoseEndpointsAt(5 * kSecond, 6);
		f.LoseEndpointsAt(15 * kSecond, 9);
		f.Run(30 * kSecond);
		EXPECT_EQ(f.sound_served(), 1) << "seed " << seed;
	}
}

INSTANTIATE_TEST_SUITE_P(Loads, PoisonFleetLoads, ::testing::ValuesIn(kLoads),
			 [](const auto &info) {
				 return std::string(info.param.name);
			 });

} // namespace
