#include <cstdio>
#include <cstdlib>

#include "quota_sim.h"

/*
 * Measures false refusals: of the requests that one ideal bucket for all hosts
 * admits, the share refused by an equal static split over the hosts, and by
 * leases from lenders. All three see the same arrivals.
 *
 *     quota_measure [SECONDS [SEEDS [BURST_TOKENS [HOSTS]]]]
 */
namespace
{

using quota_sim::Host;
using quota_sim::kSecondUs;
using quota_sim::Simulation;

constexpr uint64_t kRate = 10000;
uint64_t burst = 20000; /* tokens */

int host_n = 8;
constexpr int kDomains = 2;
constexpr uint32_t kStreamRate = 25;
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
			 one_host ? host_n - 1 : (int)(random() % host_n),
			 std::min<uint64_t>(1 + prompt(random), kPromptMax),
			 std::min<int>(output(random), kOutputMax)});
	return out;
}

/* Buckets without messages: one for the ideal, one per host for the split. */
struct Buckets {
	struct Bucket {
		double level;
		int64_t refilled_us = 0;
	};
	SimNetwork network{1};
	std::vector<Bucket> bucket;

	explicit Buckets(int n) : bucket(n)
	{
		for (auto &b : bucket)
			b.level = (double)burst / n;
	}

	bool consume(Bucket &b, double tokens)
	{
		double n = bucket.size();

		b.level = std::min(
			burst / n,
			b.level + kRate / n * (network.now_us - b.refilled_us) /
					  kSecondUs);
		b.refilled_us = network.now_us;
		if (b.level < tokens)
			return false;
		b.level -= tokens;
		return true;
	}

	/* Consumes output tokens; a refused one is retried. */
	void stream(Bucket &b, int remaining)
	{
		if (remaining == 0)
			return;
		network.at(network.now_us + kSecondUs / kStreamRate,
			   [this, &b, remaining] {
				   stream(b, remaining - consume(b, 1));
			   });
	}

	std::vector<bool> run(const std::vector<Arrival> &in)
	{
		std::vector<bool> admitted(in.size());

		for (size_t i = 0; i < in.size(); i++)
			network.at(in[i].when_us, [this, i, &in, &admitted] {
				Bucket &b = bucket[in[i].host % bucket.size()];

				admitted[i] = consume(b, in[i].prompt);
				if (admitted[i])
					stream(b, in[i].output);
			});
		network.run(in.back().when_us + kSecondUs);
		return admitted;
	}
};

struct Result {
	std::vector<bool> admitted;
	uint64_t messages, held_back, output;
	double needed_burst;
};

Result run_leases(const std::vector<Arrival> &in, uint64_t seed)
{
	Simulation sim(seed, host_n, kDomains, kRate, burst);
	Result r;

	sim.start_delay_max_us = 20000;
	sim.network.run(kStartUs - 1);

	for (auto &a : in) {
		sim.network.run(a.when_us);
		sim.request(sim.hosts[a.host], a.prompt, a.output, 0);
	}
	sim.network.run(in.back().when_us + kSecondUs);
	r.admitted = sim.admitted_by_request;
	r.messages = sim.messages;
	r.held_back = sim.held_back;
	r.output = sim.output;
	r.needed_burst = quota_sim::needed_burst(sim.admissions, kRate);
	return r;
}

/* Returns the percentage of ideally admitted requests that were refused. */
double refused_percent(const std::vector<bool> &ideal,
		       const std::vector<bool> &admitted)
{
	uint64_t ideal_n = 0, refused_n = 0;

	for (size_t i = 0; i < ideal.size(); i++) {
		ideal_n += ideal[i];
		refused_n += ideal[i] && !admitted[i];
	}
	return 100.0 * refused_n / ideal_n;
}

void measure(const char *name, bool one_host, double load, uint64_t seed,
	     int64_t length_us)
{
	auto in = arrivals(seed, load, one_host, length_us);
	auto ideal = Buckets(1).run(in);
	auto split = Buckets(host_n).run(in);
	auto leases = run_leases(in, seed);
	uint64_t admitted = std::count(ideal.begin(), ideal.end(), true);

	printf("%s load=%.1f seed=%lu requests=%zu ideal_admits=%lu "
	       "refused_split=%.2f%% refused_leases=%.3f%% "
	       "waited_tokens=%.3f%% messages_per_request=%.2f "
	       "needed_burst=%.0f\n",
	       name, load, seed, in.size(), admitted,
	       refused_percent(ideal, split),
	       refused_percent(ideal, leases.admitted),
	       100.0 * leases.held_back / leases.output,
	       (double)leases.messages / in.size(), leases.needed_burst);
}

} // namespace

int main(int argc, char **argv)
{
	int64_t length_us = (argc > 1 ? atoi(argv[1]) : 300) * kSecondUs;
	uint64_t seeds = argc > 2 ? atoi(argv[2]) : 3;

	if (argc > 3)
		burst = strtoull(argv[3], nullptr, 10);
	if (argc > 4)
		host_n = atoi(argv[4]);
	printf("rate=%lu burst=%lu hosts=%d domains=%d sizeof_quota=%zu "
	       "sizeof_lease=%zu\n",
	       kRate, burst, host_n, kDomains, sizeof(struct quota),
	       sizeof(struct quota_lease));
	for (double load : {0.8, 1.2})
		for (uint64_t seed = 1; seed <= seeds; seed++) {
			measure("even_spread", false, load, seed, length_us);
			measure("one_host", true, load, seed, length_us);
		}
	return 0;
}
