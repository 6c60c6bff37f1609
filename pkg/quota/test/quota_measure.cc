#include <cstdio>
#include <cstdlib>

#include "quota_sim.h"

/*
 * Requests refused although inside the rate: of those that one ideal bucket for
 * all hosts admits, the share that an equal static split over the hosts and that
 * leases from home hosts refuse; all under the same arrivals in one run.
 *
 *     quota_measure [SECONDS [SEEDS [BURST_TOKENS [HOSTS]]]]
 */
namespace
{

using quota_world::Host;
using quota_world::kSecondUs;
using quota_world::World;

constexpr uint64_t kRate = 10000;
uint64_t burst = 20000; /* tokens */

int hosts_n = 8;
constexpr int kDomains = 2;
constexpr uint32_t kPace = 25;
constexpr int kPromptMean = 300, kPromptMax = 3000;
constexpr int kOutputMean = 300, kOutputMax = 1000;
constexpr int64_t kStartUs = 20 * kSecondUs;

struct Arrival {
	int64_t when_us;
	int host;
	uint64_t prompt;
	int output;
};

std::vector<Arrival> arrivals(uint64_t seed, double load, bool one_host,
			      int64_t length_us)
{
	std::mt19937_64 random(seed);
	std::exponential_distribution<> gap(kRate * load /
					    (kPromptMean + kOutputMean));
	std::exponential_distribution<> prompt(1.0 / kPromptMean);
	std::exponential_distribution<> output(1.0 / kOutputMean);
	std::vector<Arrival> out;
	double t = 0;

	while ((t += gap(random)) * kSecondUs < length_us)
		out.push_back(
			{kStartUs + (int64_t)(t * kSecondUs),
			 one_host ? hosts_n - 1 : (int)(random() % hosts_n),
			 std::min<uint64_t>(1 + prompt(random), kPromptMax),
			 std::min<int>(output(random), kOutputMax)});
	return out;
}

/* Buckets without messages: one is the ideal, one a host the static split. */
struct Buckets {
	struct Bucket {
		double level;
		int64_t last_us = 0;
	};
	FakeLink link{1};
	std::vector<Bucket> bucket;

	explicit Buckets(int n) : bucket(n)
	{
		for (auto &b : bucket)
			b.level = (double)burst / n;
	}

	bool take(Bucket &b, double tokens)
	{
		double n = bucket.size();

		b.level = std::min(burst / n,
				   b.level + kRate / n *
						     (link.now_us - b.last_us) /
						     kSecondUs);
		b.last_us = link.now_us;
		if (b.level < tokens)
			return false;
		b.level -= tokens;
		return true;
	}

	void stream(Bucket &b, int left)
	{
		if (left == 0)
			return;
		link.at(link.now_us + kSecondUs / kPace,
			[this, &b, left] { stream(b, left - take(b, 1)); });
	}

	std::vector<bool> run(const std::vector<Arrival> &in)
	{
		std::vector<bool> admitted(in.size());

		for (size_t i = 0; i < in.size(); i++)
			link.at(in[i].when_us, [this, i, &in, &admitted] {
				Bucket &b = bucket[in[i].host % bucket.size()];

				admitted[i] = take(b, in[i].prompt);
				if (admitted[i])
					stream(b, in[i].output);
			});
		link.run(in.back().when_us + kSecondUs);
		return admitted;
	}
};

struct Result {
	std::vector<bool> admitted;
	uint64_t draws, stalls, passes;
	double needed_burst;
};

Result run_leases(const std::vector<Arrival> &in, uint64_t seed)
{
	World w(seed, hosts_n, kDomains, kRate, burst);
	Result r;

	w.hold_max_us = 20000;
	w.link.run(kStartUs - 1);

	for (auto &a : in) {
		w.link.run(a.when_us);
		w.request(w.hosts[a.host], a.prompt, a.output, 0);
	}
	w.link.run(in.back().when_us + kSecondUs);
	r.admitted = w.admitted_by_request;
	r.draws = w.draws;
	r.stalls = w.stalls;
	r.passes = w.passes;
	r.needed_burst = quota_world::needed_burst(w.admitted, kRate);
	return r;
}

double refused(const std::vector<bool> &ideal, const std::vector<bool> &got)
{
	uint64_t all = 0, lost = 0;

	for (size_t i = 0; i < ideal.size(); i++) {
		all += ideal[i];
		lost += ideal[i] && !got[i];
	}
	return 100.0 * lost / all;
}

void measure(const char *name, bool one_host, double load, uint64_t seed,
	     int64_t length_us)
{
	auto in = arrivals(seed, load, one_host, length_us);
	auto ideal = Buckets(1).run(in);
	auto split = Buckets(hosts_n).run(in);
	auto ours = run_leases(in, seed);
	uint64_t admitted = std::count(ideal.begin(), ideal.end(), true);

	printf("%s load=%.1f seed=%lu requests=%zu ideal_admits=%lu "
	       "refused_split=%.2f%% refused_leases=%.3f%% "
	       "waited_tokens=%.3f%% draws_a_request=%.2f "
	       "needed_burst=%.0f\n",
	       name, load, seed, in.size(), admitted, refused(ideal, split),
	       refused(ideal, ours.admitted), 100.0 * ours.stalls / ours.passes,
	       (double)ours.draws / in.size(), ours.needed_burst);
}

} // namespace

int main(int argc, char **argv)
{
	int64_t length_us = (argc > 1 ? atoi(argv[1]) : 300) * kSecondUs;
	uint64_t seeds = argc > 2 ? atoi(argv[2]) : 3;

	if (argc > 3)
		burst = strtoull(argv[3], nullptr, 10);
	if (argc > 4)
		hosts_n = atoi(argv[4]);
	printf("rate=%lu burst=%lu hosts=%d domains=%d sizeof_quota=%zu "
	       "sizeof_lease=%zu\n",
	       kRate, burst, hosts_n, kDomains, sizeof(struct quota),
	       sizeof(struct quota_lease));
	for (double load : {0.8, 1.2})
		for (uint64_t seed = 1; seed <= seeds; seed++) {
			measure("even_spread", false, load, seed, length_us);
			measure("one_host", true, load, seed, length_us);
		}
	return 0;
}
