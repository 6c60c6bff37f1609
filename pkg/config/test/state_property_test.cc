/*
 * Hosts read the log at different times, restart, miss expired records and
 * install snapshots from each other. A host without a gap must hold the version
 * that a reference, which read every record, has at the same offset, and the
 * version of a host must never decrease.
 */
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "config.h"
}

namespace
{

struct Host {
	struct config_state state;

	Host()
	{
		config_state_init(&state);
	}
	~Host()
	{
		config_state_finish(&state);
	}
	uint64_t Version() const
	{
		return state.current ? state.current->version : 0;
	}
	enum config_outcome Apply(uint64_t offset, const std::string &record)
	{
		return config_state_apply(&state, offset, record.data(),
					  record.size());
	}
};

/* Returns declarations of one domain, different for each number. */
std::string Declarations(int number)
{
	return "{ \"domains\": [ { \"name\": \"d" + std::to_string(number) +
	       "\" } ] }";
}

/* Copies a C string and frees it. */
std::string CopyAndFree(char *s)
{
	std::string out = s;

	free(s);
	return out;
}

/*
 * Returns a random record, made from a state up to two offsets old as by a
 * concurrent writer.
 */
std::string RandomRecord(const std::vector<uint64_t> &version,
			 const std::vector<std::string> &text)
{
	uint64_t age = *rc::gen::inRange<uint64_t>(0, 3);
	uint64_t at = version.size() - 1;

	at = at > age ? at - age : 0;
	switch (*rc::gen::inRange(0, 5)) {
	case 0:
		return "not a record";
	case 1:
		if (version[at])
			return CopyAndFree(config_record_checkpoint(
				version[at], at + 1, "h", text[at].c_str()));
		[[fallthrough]];
	default:
		return CopyAndFree(config_record_change(
			version[at], "op", "",
			Declarations(*rc::gen::inRange(0, 9)).c_str()));
	}
}

/* Log by offset, with the reference's version and text after each record. */
struct History {
	std::vector<std::string> record{""};
	std::vector<uint64_t> version{0};
	std::vector<std::string> text{""};
};

History RandomHistory(size_t n)
{
	History h;
	Host reference;

	for (size_t i = 1; i <= n; i++) {
		h.record.push_back(RandomRecord(h.version, h.text));
		reference.Apply(i, h.record[i]);
		h.version.push_back(reference.Version());
		h.text.push_back(reference.state.current
					 ? reference.state.current->text
					 : "");
	}
	return h;
}

/* Without a gap, a host agrees with the reference at the same offset. */
void CheckAgrees(const Host &host, const History &h)
{
	if (host.state.has_gap)
		return;
	RC_ASSERT(host.Version() == h.version[host.state.next_offset - 1]);
	if (host.state.current)
		RC_ASSERT(h.text[host.state.next_offset - 1] ==
			  host.state.current->text);
}

/* Installs a snapshot of one host on another. */
void Install(Host *to, const Host &from)
{
	if (from.state.has_gap || !from.state.current)
		return;
	config_state_install(&to->state, from.Version(), from.state.next_offset,
			     from.state.current->text,
			     from.state.current->text_n);
}

/* Applies the next 1 to 5 records of a log that starts at offset first. */
void ReadLog(Host *host, const History &h, uint64_t first)
{
	uint64_t n = *rc::gen::inRange<uint64_t>(1, 6);

	config_state_set_log_start(&host->state, first);
	while (n-- && host->state.next_offset < h.record.size())
		host->Apply(host->state.next_offset,
			    h.record[host->state.next_offset]);
}

void HostsAgreeInAnyOrder()
{
	History h = RandomHistory(40);
	std::vector<std::unique_ptr<Host>> hosts;
	uint64_t first = 1;

	for (int i = 0; i < 4; i++)
		hosts.push_back(std::make_unique<Host>());
	for (int i = 0; i < 60; i++) {
		auto &a = hosts[*rc::gen::inRange<size_t>(0, 4)];
		auto &b = hosts[*rc::gen::inRange<size_t>(0, 4)];
		uint64_t before = a->Version();

		switch (*rc::gen::inRange(0, 8)) {
		case 0: /* the oldest records expire */
			first += *rc::gen::inRange<uint64_t>(0, 4);
			first = std::min<uint64_t>(first, h.record.size());
			break;
		case 1:
			a = std::make_unique<Host>(); /* restarts */
			before = 0;
			break;
		case 2:
		case 3:
			Install(a.get(), *b);
			break;
		default:
			ReadLog(a.get(), h, first);
		}
		RC_ASSERT(a->Version() >= before);
		CheckAgrees(*a, h);
	}
}

/* A planted fault: the host installs checkpoints that a change followed. */
void InstallsSupersededCheckpoints()
{
	History h = RandomHistory(40);
	Host host;
	uint64_t first = *rc::gen::inRange<uint64_t>(2, 20);

	config_state_set_log_start(&host.state, first);
	while (host.state.next_offset < h.record.size()) {
		host.state.last_change = 0;
		host.state.gap_end = 0;
		host.Apply(host.state.next_offset,
			   h.record[host.state.next_offset]);
		CheckAgrees(host, h);
	}
}

/* rapidcheck reads its seed and number of runs at the first check. */
const int kSeeded = setenv("RC_PARAMS", "seed=20261204 max_success=2000", 1);

TEST(ConfigProperty, HostsAgreeAndVersionsNeverDecrease)
{
	ASSERT_EQ(0, kSeeded);
	EXPECT_TRUE(rc::check(HostsAgreeInAnyOrder));
}

TEST(ConfigProperty, DetectsInstalledSupersededCheckpoints)
{
	EXPECT_FALSE(rc::check(InstallsSupersededCheckpoints));
}

} // namespace
