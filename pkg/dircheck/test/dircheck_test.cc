#include <gtest/gtest.h>

#include <chrono>
#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "dircheck.h"
}

static void put(char *to, const std::string &s)
{
	memcpy(to, s.c_str(), s.size() + 1);
}

/* A configuration without findings: each test changes one thing. */
struct Config {
	struct directory *d;

	Config(uint32_t routes = 2)
	{
		d = directory_new(routes, 2, 2, 2);
		for (uint32_t i = 0; i < routes; i++) {
			put(d->route[i].host, "h.example");
			put(d->route[i].path_prefix,
			    "/p" + std::to_string(i) + "/");
			put(d->route[i].split[0].service, i ? "plain" : "llm");
			d->route[i].kind = i ? CALL_IDEMPOTENT : CALL_STREAM;
			d->route[i].split[0].weight = d->route[i].n_split = 1;
			d->route[i].attempts_max = 2;
		}
		put(d->service[0].name, "llm");
		d->service[0].engine = {true, 1000, 0, 1};
		put(d->service[1].name, "plain");
		put(d->account[0].name, "acme");
		put(d->account[1].name, "bolt");
		put(d->key[0].key, "secret-a");
		put(d->key[1].key, "secret-b");
		d->key[1].account = 1;
	}
	~Config()
	{
		directory_unref(d);
	}
};

static std::string text(const struct dircheck_list &list)
{
	std::string s;

	for (uint32_t i = 0; i < list.n; i++) {
		const struct dircheck_finding &f = list.finding[i];

		s += std::string(1, "EWC"[f.severity]) + " " + f.path + ": " +
		     f.text + "\n";
	}
	return s;
}

static std::string check(const Config &c)
{
	std::vector<struct dircheck_finding> f(100);
	struct dircheck_list list = {f.data(), 100, 0, 0};

	dircheck_check(c.d, &list);
	return text(list);
}

static std::string compare(const Config &a, const Config &b)
{
	std::vector<struct dircheck_finding> f(100);
	struct dircheck_list list = {f.data(), 100, 0, 0};

	dircheck_compare(a.d, b.d, &list);
	return text(list);
}

/* Each fault alone gives exactly its one finding: guards against a check that
 * is missed, and against one that blames a sound entry. */
TEST(Check, FindsEachFaultAlone)
{
	struct fault {
		void (*make)(struct directory *d);
		const char *finding;
	} faults[] = {
		{[](struct directory *d) { put(d->route[1].path_prefix, "x"); },
		 "E route[1]: path prefix does not begin"},
		{[](struct directory *d) { put(d->route[1].host, ""); },
		 "E route[1]: host is empty"},
		{[](struct directory *d) {
			 put(d->route[1].path_prefix, "/p0/");
			 put(d->route[1].host, "H.example");
		 },
		 "E route[1]: never matches: route[0]"},
		{[](struct directory *d) { d->route[1].split[0].weight = 0; },
		 "E route[1]: all weights"},
		{[](struct directory *d) {
			 d->route[1].split[1] = d->route[1].split[0];
			 d->route[1].split[1].weight = 0;
			 d->route[1].n_split = 2;
		 },
		 "W route[1]: service plain has weight 0"},
		{[](struct directory *d) {
			 put(d->route[1].split[0].service, "gone");
		 },
		 "E route[1]: service gone is absent"},
		{[](struct directory *d) { d->route[1].kind = CALL_STREAM; },
		 "E route[1]: streams need a model engine"},
		{[](struct directory *d) {
			 d->route[0].timeout_ms = 899;
			 d->route[0].target_latency_ms = 900;
		 },
		 "E route[0]: time-out of 899 ms"},
		{[](struct directory *d) {
			 d->route[0].resumable = true;
			 d->route[0].attempts_max = 1;
		 },
		 "E route[0]: resumable with 1 attempts"},
		{[](struct directory *d) { put(d->service[1].name, "llm"); },
		 "E route[1]: service plain is absent"},
		{[](struct directory *d) { put(d->account[1].name, "acme"); },
		 "E account[1]: account[0] has the same name acme"},
		{[](struct directory *d) { d->n_keys = 1; },
		 "E account[1]: account bolt has no keys"},
		{[](struct directory *d) { put(d->key[1].key, "secret-a"); },
		 "E account[1]: key "},
		{[](struct directory *d) { d->account[0].rate_per_s = 5; },
		 "E account[0]: burst of 0 is below one request"},
		{[](struct directory *d) {
			 d->account[0].rate_per_s = 5;
			 d->account[0].burst = 99;
			 d->account[0].limit_in_tokens = true;
			 d->account[0].default_cost_tokens = 100;
		 },
		 "E account[0]: burst of 99 tokens is below the 100"},
		{[](struct directory *d) {
			 d->account[0].limit_in_tokens = true;
			 d->account[0].default_cost_tokens = 1001;
		 },
		 "W account[0]: a request that declares no tokens"},
		{[](struct directory *d) {
			 d->limits.body_max_bytes = 11534337;
		 },
		 "E limits[body]: limit of 11534337 bytes"},
	};

	EXPECT_EQ(check(Config()), "");
	for (const fault &f : faults) {
		Config c;

		f.make(c.d);
		std::string s = check(c);
		EXPECT_EQ(s.rfind(f.finding, 0), 0u) << f.finding << "\n" << s;
		EXPECT_EQ(s.find("secret"), std::string::npos) << s;
		if (strstr(f.finding, "plain is absent"))
			EXPECT_NE(s.find("E service[1]: unused"), s.npos) << s;
		else
			EXPECT_EQ(s.find('\n') + 1, s.size()) << s;
	}
}

/* Guards against regions that are reported although one caller can use them. */
TEST(Check, FindsRegionsThatExcludeEachOther)
{
	Config c;

	for (int i = 0; i < 2; i++) {
		c.d->route[i].n_regions = c.d->account[i].n_regions = 1;
		put(c.d->route[i].region[0], "eu");
		put(c.d->account[i].region[0], "eu");
	}
	EXPECT_EQ(check(c), "");
	put(c.d->account[1].region[0], "us");
	EXPECT_EQ(check(c),
		  "E account[1]: its regions exclude those of every route\n");
	put(c.d->account[1].region[0], "eu");
	put(c.d->route[1].region[0], "us");
	EXPECT_EQ(check(c),
		  "E route[1]: its regions exclude those of every account\n");
}

/* Guards against a change that is not listed, or listed with a key in it. */
TEST(Compare, ListsEachDifferenceAlone)
{
	struct change {
		void (*make)(struct directory *d);
		const char *finding;
	} changes[] = {
#define FIELD(set, finding) {[](struct directory *d) { set; }, "C " finding}
		FIELD(put(d->route[0].name, "n"),
		      "route[h.example/p0/]: name changed from (none) to n\n"),
		FIELD(d->route[0].kind = CALL_NON_IDEMPOTENT,
		      "route[h.example/p0/]: kind changed from streaming to "),
		FIELD(d->route[0].resumable = true, "route[h.example/p0/]: r"),
		FIELD(d->route[0].anonymous = true, "route[h.example/p0/]: a"),
		FIELD(d->route[0].session_affinity = true,
		      "route[h.example/p0/]: session affinity"),
		FIELD(d->route[0].timeout_ms = 7,
		      "route[h.example/p0/]: time-out in ms changed from 0 to"),
		FIELD(d->route[0].target_latency_ms = 7,
		      "route[h.example/p0/]: latency target"),
		FIELD(d->route[0].target_gap_ms = 7,
		      "route[h.example/p0/]: gap target"),
		FIELD(d->route[0].attempts_max = 7,
		      "route[h.example/p0/]: attempts changed from 2 to 7"),
		FIELD(d->route[0].priority = 7, "route[h.example/p0/]: prio"),
		FIELD(d->route[0].split[0].weight = 7,
		      "route[h.example/p0/]: split changed from llm:1 to "
		      "llm:7"),
		FIELD(d->route[0].n_regions = 1;
		      put(d->route[0].region[0], "e"),
		      "route[h.example/p0/]: regions changed from all to e\n"),
		FIELD(d->n_routes = 1,
		      "route[h.example/p1/]: removed; its requests get 404\n"),
		FIELD(d->n_services = 1, "service[plain]: removed\n"),
		FIELD(d->service[0].cold_requests_per_s = 7,
		      "service[llm]: cold"),
		FIELD(d->service[0].engine.present = false,
		      "service[llm]: engine changed from 1 to 0"),
		FIELD(d->service[0].engine.kv_capacity_tokens = 7,
		      "service[llm]: engine memory"),
		FIELD(d->service[0].engine.reservation_max_ms = 7,
		      "service[llm]: longest"),
		FIELD(d->service[0].engine.tokens_per_event = 7,
		      "service[llm]: tokens per event"),
		FIELD(d->account[0].priority = 7, "account[acme]: priority"),
		FIELD(d->account[0].rate_per_s = 7, "account[acme]: rate"),
		FIELD(d->account[0].burst = 7, "account[acme]: burst"),
		FIELD(d->account[0].limit_in_tokens = true,
		      "account[acme]: unit changed from requests to tokens"),
		FIELD(d->account[0].default_cost_tokens = 7,
		      "account[acme]: default"),
		FIELD(d->account[0].n_regions = 1, "account[acme]: regions"),
		FIELD(d->n_keys = 1, "account[bolt]: key "),
		FIELD(d->key[1].account = 0, "account[bolt]: key "),
		FIELD(d->limits.header_max_bytes = 7, "limits[callers]: head"),
		FIELD(d->limits.body_max_bytes = 7, "limits[callers]: body"),
		FIELD(d->limits.header_timeout_ms = 7,
		      "limits[callers]: header time-out"),
		FIELD(d->limits.idle_timeout_ms = 7, "limits[callers]: idle"),
	};

	EXPECT_EQ(compare(Config(), Config()), "");
	for (const change &c : changes) {
		Config a, b;

		c.make(b.d);
		std::string s = compare(a, b), back = compare(b, a);
		EXPECT_EQ(s.rfind(c.finding, 0), 0u) << c.finding << "\n" << s;
		EXPECT_EQ(s.find('\n') + 1, s.size()) << s;
		EXPECT_EQ(back.find('\n') + 1, back.size()) << back;
		EXPECT_EQ((s + back).find("secret"), std::string::npos) << s;
	}
}

TEST(Compare, TellsWhatBecomesOfRequestsAndKeys)
{
	Config a, b;

	put(b.d->route[0].path_prefix, "/");
	put(b.d->key[0].key, "secret-0");
	put(b.d->account[1].name, "cut");
	std::string s = compare(a, b);
	for (const char *part :
	     {"route[h.example/p0/]: removed; its requests go to /\n",
	      "route[h.example/]: added\n", "account[bolt]: removed\n",
	      "account[cut]: added\n", "withdrawn, its requests are refused\n",
	      "moved to account cut\n", " added\nC"})
		EXPECT_NE(s.find(part), s.npos) << part << "\n" << s;
}

TEST(Check, Takes1400RoutesInUnderASecond)
{
	Config a(1400), b(1400);
	std::vector<struct dircheck_finding> f(10);
	struct dircheck_list list = {f.data(), 10, 0, 0};
	auto start = std::chrono::steady_clock::now();

	for (int i = 0; i < 1400; i++)
		put(b.d->route[i].path_prefix, "/q" + std::to_string(i) + "/");
	dircheck_check(a.d, &list);
	EXPECT_EQ(list.n, 0u);
	dircheck_compare(a.d, b.d, &list);
	EXPECT_EQ(list.n, 10u);
	EXPECT_EQ(list.dropped, 2790u);
	EXPECT_LT(std::chrono::steady_clock::now() - start,
		  std::chrono::seconds(1));
}
