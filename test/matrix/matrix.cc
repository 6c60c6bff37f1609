/*
 * The fault matrix: every fault of the brief at every step of a request. Each
 * cell is a run in virtual time; its invariants are checked at the end. Then
 * pairs of faults, by a fixed list of seeds.
 */

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>

#include "checks.h"

namespace matrix
{

namespace
{

constexpr int64_t kRunUs = 60 * kSecondUs;

const char *const kStepNames[kSteps] = {
	"authenticate", "charge",   "queue",	     "reserve",
	"prefill",	"transfer", "decode before", "decode after",
	"last token",	"settle",   "claim",	     "read back",
	"send",		"record",
};

/* Starts the subject and one other request of the same account at host a1. */
void Submit(World &w, bool service)
{
	Caller *other, *subject;

	other = w.Add("another request");
	if (service)
		subject = w.AddService("{\"pay\":17}", "key-17");
	else
		subject = w.Add("the subject's prompt");
	subject->subject = true;
	w.Send(other, w.hosts[0].get());
	w.Send(subject, w.hosts[0].get());
}

void RunToEnd()
{
	TheClock().RunUntil(TheClock().now_us + kRunUs);
}

/* Runs one cell. Returns "" if it passed, else what it has against it. */
std::string RunCell(Step step, const Fault &f)
{
	bool service = step >= kModelSteps;
	World w;
	Verdict v;

	w.strike_at = step;
	w.strike = f.strike;
	Submit(w, service);
	RunToEnd();
	v.Check(w.struck, "the step was not reached");
	CheckOutcome(w, *Subject(w), service ? f.service : f.model, &v);
	v.Check(w.callers[0]->Ended(), "the other got no answer");
	CheckAll(w, &v);
	return v.text();
}

/* Two faults, the first at a step, chosen by the seed; what must always hold. */
std::string RunPair(uint32_t seed, std::string *what)
{
	std::mt19937 random(seed);
	const Fault &first = kFaults[random() % kFaultsN];
	const Fault &second = kFaults[random() % kFaultsN];
	Step step = static_cast<Step>(random() % kSteps);
	int64_t gap_us = static_cast<int64_t>(random() % 2000) * kMsUs;
	World w;
	Verdict v;

	*what = std::string(first.name) + " at " + kStepNames[step] + ", " +
		second.name + " " + std::to_string(gap_us / kMsUs) +
		" ms later";
	w.strike_at = step;
	w.strike = [&](World &world) {
		first.strike(world);
		TheClock().After(gap_us, [&] { second.strike(world); });
	};
	Submit(w, step >= kModelSteps);
	RunToEnd();
	v.Check(Subject(w)->Ended(), "the subject got no answer");
	CheckAll(w, &v);
	return v.text();
}

/* The part of the cells and pairs that this process runs, of so many. */
uint32_t shard = 0, shards = 1;

/* The cells and pairs that KNOWN-RED.txt lists, by the text before " | ". */
std::set<std::string> known_red;

void ReadKnownRed(const char *path)
{
	std::ifstream in(path);
	std::string line;

	while (std::getline(in, line))
		known_red.insert(line.substr(0, line.find(" | ")));
}

/* Counts a failure, unless it is listed: then it is printed as known. */
int Count(const std::string &name, const std::string &against)
{
	bool known = known_red.count("matrix: " + name) != 0;

	printf("%s: %s: %s\n", known ? "known red" : "FAILED", name.c_str(),
	       against.c_str());
	return known ? 0 : 1;
}

/* A fault of a run's record that one check must find. */
struct Planted {
	const char *name;
	void (*plant)(World &w);
	const char *found; /* part of what the check says */
};

const Planted kPlanted[] = {
	{"a run left behind",
	 [](World &w) { w.engines[0]->runs["left"] = Run(); }, "still holds"},
	{"a slot too many", [](World &w) { w.engines[0]->slots_most = 5; },
	 "oversubscribed"},
	{"a key at an engine", [](World &w) { w.engines[0]->saw_key = true; },
	 "saw a key"},
	{"a call that ran twice",
	 [](World &w) { w.services[0]->ran["pay"] = 2; }, "ran twice"},
	{"a call that ran at two services",
	 [](World &w) {
		 w.services[0]->ran["pay"] = 1;
		 w.services[1]->ran["pay"] = 1;
	 },
	 "ran at both"},
	{"a version that went back",
	 [](World &w) { w.hosts[0]->versions.push_back(0); }, "went back"},
	{"a burst too large",
	 [](World &w) {
		 w.engines[0]->prefilled.push_back(
			 {TheClock().now_us, w.burst_tokens + 1});
	 },
	 "over rate"},
	{"a token of another answer",
	 [](World &w) {
		 Client *c = Subject(w)->Last();

		 c->body.replace(c->body.find("\"text\":\"") + 8, 3, "???");
	 },
	 "not whole or not own"},
	{"a token that is missing",
	 [](World &w) {
		 std::string &s = Subject(w)->Last()->body;
		 size_t at = s.find("data: ");

		 s.erase(at, s.find("data: ", at + 1) - at);
	 },
	 "not whole or not own"},
	{"not run said of what ran",
	 [](World &w) {
		 Client *c = Subject(w)->Last();

		 c->status = 503;
		 c->body = "{\"error\":{\"code\":\"x\",\"request_id\":\"" +
			   w.subject_id + "\",\"not_run\":true}}";
	 },
	 "said not run"},
	{"an answer that never came",
	 [](World &w) { Subject(w)->Last()->complete = false; },
	 "not answered whole"},
};

/* Each check must find the fault that is planted for it in a good run. */
int RunPlanted()
{
	int failed = 0;

	for (auto &p : kPlanted) {
		World w;
		Verdict before, after;

		Submit(w, false);
		RunToEnd();
		CheckOutcome(w, *Subject(w), kMustBeWhole, &before);
		CheckAll(w, &before);
		p.plant(w);
		CheckOutcome(w, *Subject(w), kMustBeWhole, &after);
		CheckAll(w, &after);
		if (before.text().empty() &&
		    after.text().find(p.found) != std::string::npos)
			continue;
		printf("FAILED: planted %s was not found: %s%s\n", p.name,
		       before.text().c_str(), after.text().c_str());
		failed++;
	}
	printf("%zu planted faults, %d not found\n",
	       sizeof(kPlanted) / sizeof(kPlanted[0]), failed);
	return failed;
}

/*
 * Guards against a cancel that is not repeated if it cannot be started, as without
 * memory or descriptors: its run would stay at the engine. The caller hangs up at
 * each step.
 */
int RunFailedCancels()
{
	int failed = 0;

	for (int step = 0; step < kModelSteps; step++) {
		World w;
		Verdict v;

		w.strike_at = static_cast<Step>(step);
		w.strike = [](World &world) {
			Caller *c = Subject(world);

			if (c->Ended())
				return;
			TheNet().fail_cancels = 2;
			c->gone = true;
			c->ended_us = TheClock().now_us;
			ClientHangUp(c->Last());
		};
		Submit(w, false);
		RunToEnd();
		v.Check(w.struck, "the step was not reached");
		CheckAll(w, &v);
		TheNet().fail_cancels = 0;
		if (v.text().empty())
			continue;
		printf("FAILED: cancels that cannot be started at %s: %s\n",
		       kStepNames[step], v.text().c_str());
		failed++;
	}
	printf("cancels that cannot be started: %d of %d steps failed\n",
	       failed, kModelSteps);
	return failed;
}

int RunMatrix()
{
	std::vector<std::pair<std::string, std::string>> against;
	int failed = 0, passed = 0, impossible = 0;

	printf("%-26s", "");
	for (auto name : kStepNames)
		printf("%-15s", name);
	printf("\n");
	for (size_t f = 0; f < kFaultsN; f++) {
		printf("%-26s", kFaults[f].name);
		for (int step = 0; step < kSteps; step++) {
			if ((f * kSteps + step) % shards != shard) {
				printf("%-15s", "");
				continue;
			}
			if (step >= kModelSteps && kFaults[f].no_service) {
				printf("%-15s", "can't occur");
				impossible++;
				continue;
			}
			std::string r =
				RunCell(static_cast<Step>(step), kFaults[f]);

			printf("%-15s", r.empty() ? "pass" : "FAIL");
			passed += r.empty();
			if (!r.empty())
				against.push_back(
					{std::string(kFaults[f].name) + " at " +
						 kStepNames[step],
					 r});
		}
		printf("\n");
	}
	for (auto &a : against)
		failed += Count(a.first, a.second);
	for (size_t f = 0; f < kFaultsN; f++)
		if (kFaults[f].no_service)
			printf("%s can't occur at a service call: %s\n",
			       kFaults[f].name, kFaults[f].no_service);
	printf("%d cells passed, %zu failed, %d can't occur\n", passed,
	       against.size(), impossible);
	return failed;
}

int RunPairs(uint32_t n)
{
	int failed = 0, red = 0;

	for (uint32_t seed = 1; seed <= n; seed++) {
		if (seed % shards != shard)
			continue;
		std::string what;
		std::string r = RunPair(seed, &what);

		if (r.empty())
			continue;
		failed +=
			Count("pair " + std::to_string(seed), what + ": " + r);
		red++;
	}
	printf("%u pairs, %d failed\n", n, red);
	return failed;
}

} // namespace

} // namespace matrix

static uint32_t Number(const char *text)
{
	return static_cast<uint32_t>(strtoul(text, nullptr, 10));
}

/* Options: --pairs N, --known-red FILE, --shard I --shards N. */
int main(int argc, char **argv)
{
	uint32_t pairs = 0;
	int failed, i;

	for (i = 1; i + 1 < argc; i += 2) {
		if (strcmp(argv[i], "--pairs") == 0)
			pairs = Number(argv[i + 1]);
		else if (strcmp(argv[i], "--known-red") == 0)
			matrix::ReadKnownRed(argv[i + 1]);
		else if (strcmp(argv[i], "--shard") == 0)
			matrix::shard = Number(argv[i + 1]);
		else if (strcmp(argv[i], "--shards") == 0)
			matrix::shards = Number(argv[i + 1]);
	}
	if (!matrix::shards || matrix::shard >= matrix::shards) {
		fprintf(stderr, "matrix: no such shard\n");
		return 2;
	}
	failed = matrix::RunPlanted();
	failed += matrix::RunFailedCancels();
	failed += matrix::RunMatrix();
	failed += matrix::RunPairs(pairs);
	return failed ? 1 : 0;
}
