/* Hosts that read, start late, lose records and learn from each other agree. */
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

struct Fold {
	struct config_state f;

	Fold()
	{
		config_state_init(&f);
	}
	~Fold()
	{
		config_state_finish(&f);
	}
	uint64_t Version() const
	{
		return f.current ? f.current->version : 0;
	}
	enum config_outcome Take(uint64_t offset, const std::string &r)
	{
		return config_state_apply(&f, offset, r.data(), r.size());
	}
};

std::string Text(int rate)
{
	return "{ \"domains\": [ { \"name\": \"d" + std::to_string(rate) +
	       "\" } ] }";
}

std::string Own(char *s)
{
	std::string out = s;

	free(s);
	return out;
}

/* One record made from the state some offsets ago, as racing writers make it. */
std::string Record(const std::vector<uint64_t> &version,
		   const std::vector<std::string> &text)
{
	uint64_t behind = *rc::gen::inRange<uint64_t>(0, 3);
	uint64_t at = version.size() - 1;

	at = at > behind ? at - behind : 0;
	switch (*rc::gen::inRange(0, 5)) {
	case 0:
		return "not a record";
	case 1:
		if (version[at])
			return Own(config_record_checkpoint(
				version[at], at + 1, "h", text[at].c_str()));
		[[fallthrough]];
	default:
		return Own(config_record_change(
			version[at], "op", "",
			Text(*rc::gen::inRange(0, 9)).c_str()));
	}
}

struct History {
	std::vector<std::string> record{""};
	std::vector<uint64_t> version{
		0}; /* after each offset, from the start */
	std::vector<std::string> text{""};
};

History Write(size_t n)
{
	History h;
	Fold reference;

	for (size_t i = 1; i <= n; i++) {
		h.record.push_back(Record(h.version, h.text));
		reference.Take(i, h.record[i]);
		h.version.push_back(reference.Version());
		h.text.push_back(reference.f.current ? reference.f.current->text
						     : "");
	}
	return h;
}

/* A host that is whole holds what the reference held at the same offset. */
void CheckAgrees(const Fold &a, const History &h)
{
	if (a.f.has_gap)
		return;
	RC_ASSERT(a.Version() == h.version[a.f.next_offset - 1]);
	if (a.f.current)
		RC_ASSERT(h.text[a.f.next_offset - 1] == a.f.current->text);
}

void Adopt(Fold *to, const Fold &from)
{
	if (from.f.has_gap || !from.f.current)
		return;
	config_state_install(&to->f, from.Version(), from.f.next_offset,
			     from.f.current->text, from.f.current->text_n);
}

void Read(Fold *a, const History &h, uint64_t first)
{
	uint64_t n = *rc::gen::inRange<uint64_t>(1, 6);

	config_state_set_log_start(&a->f, first);
	while (n-- && a->f.next_offset < h.record.size())
		a->Take(a->f.next_offset, h.record[a->f.next_offset]);
}

void AgreeWhateverTheOrder()
{
	History h = Write(40);
	std::vector<std::unique_ptr<Fold>> hosts;
	uint64_t first = 1;

	for (int i = 0; i < 4; i++)
		hosts.push_back(std::make_unique<Fold>());
	for (int i = 0; i < 60; i++) {
		auto &a = hosts[*rc::gen::inRange<size_t>(0, 4)];
		auto &b = hosts[*rc::gen::inRange<size_t>(0, 4)];
		uint64_t before = a->Version();

		switch (*rc::gen::inRange(0, 8)) {
		case 0:
			first += *rc::gen::inRange<uint64_t>(0, 4);
			first = std::min<uint64_t>(first, h.record.size());
			break;
		case 1:
			a = std::make_unique<Fold>(); /* restarts */
			before = 0;
			break;
		case 2:
		case 3:
			Adopt(a.get(), *b);
			break;
		default:
			Read(a.get(), h, first);
		}
		RC_ASSERT(a->Version() >= before);
		CheckAgrees(*a, h);
	}
}

/* What the checkers are worth: a fold that trusts a raced checkpoint fails. */
void TrustsRacedCheckpoints()
{
	History h = Write(40);
	Fold a;
	uint64_t first = *rc::gen::inRange<uint64_t>(2, 20);

	config_state_set_log_start(&a.f, first);
	while (a.f.next_offset < h.record.size()) {
		a.f.last_change = 0;
		a.f.gap_end = 0;
		a.Take(a.f.next_offset, h.record[a.f.next_offset]);
		CheckAgrees(a, h);
	}
}

/* rapidcheck reads its seed and number of runs here, before the first check. */
const int kSeeded = setenv("RC_PARAMS", "seed=20261204 max_success=2000", 1);

TEST(ConfigProperty, HostsAgreeAndVersionsNeverGoBack)
{
	ASSERT_EQ(0, kSeeded);
	EXPECT_TRUE(rc::check(AgreeWhateverTheOrder));
}

TEST(ConfigProperty, CatchesAPlantedFault)
{
	EXPECT_FALSE(rc::check(TrustsRacedCheckpoints));
}

} // namespace
