#include <gtest/gtest.h>
#include <rapidcheck.h>

extern "C" {
#include "claim.h"
}

#include <algorithm>
#include <cerrno>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

/*
 * Several claim cores over one fake log, in virtual time: append answers lost,
 * effects that come late, outages, expiry, hosts killed and paused. The checker
 * wants at most one run of each key and no "not run" of a sending that ran.
 */

namespace
{

constexpr int64_t kMs = 1000;
constexpr int64_t kSecond = 1000 * kMs;
constexpr int64_t kRetention = 400 * kSecond;
constexpr int64_t kEnd = 3000 * kSecond;
constexpr int kHosts = 3;

enum Fault { kKill, kPause, kLongPause, kOutage, kSlow, kFaults };
enum Plant { kNone, kNoReadBack, kNoKeyAge, kBrokenIsNotSent };

struct Sending {
	int64_t at;
	int key;
	int host;
};

struct Trouble {
	int fault;
	int64_t at;
	int host;
};

struct Plan {
	std::vector<Sending> sendings;
	std::vector<Trouble> troubles;
	uint32_t seed = 1;
	bool calm = false;	    /* the log and the service never fail */
	int trap_state = CLAIM_NEW; /* the first call to enter it: trap_fault */
	int trap_fault = kKill;
	Plant plant = kNone;
};

struct Call {
	struct claim_call core;
	int key;
	int host;
	int64_t wake = 0;
	bool alive = true;
	bool ran = false;
	int answer = -1;
};

struct Host {
	std::unique_ptr<struct claim_index> ix;
	int64_t paused_until = 0;
	int life = 0;
	bool polls = false;
};

struct LogRecord {
	int64_t at;
	std::string text;
};

class World
{
      public:
	explicit World(const Plan &p) : plan(p), random(p.seed)
	{
		for (auto &h : hosts)
			Start(h);
		for (const Sending &s : plan.sendings)
			At(s.at, [this, s] { Send(s); });
		for (const Trouble &t : plan.troubles)
			At(t.at, [this, t] { Strike(t.fault, t.host); });
		while (!events.empty() && events.top().at < kEnd) {
			Event e = events.top();

			events.pop();
			now = e.at;
			e.what();
		}
		for (auto &h : hosts)
			claim_index_finish(h.ix.get());
	}

	/* Returns what is wrong, or "". */
	std::string Check() const
	{
		std::map<int, int> runs;

		for (const auto &c : calls) {
			runs[c->key] += c->ran;
			if (c->ran && c->answer == CLAIM_ANSWER_NOT_SENT)
				return "not sent was said of what was sent";
		}
		for (const auto &r : runs)
			if (r.second > 1)
				return "a key ran " + std::to_string(r.second) +
				       " times";
		for (const auto &c : calls)
			if (c->answer == CLAIM_ANSWER_RECORDED && !runs[c->key])
				return "an outcome of what never ran";
		return "";
	}

	int Answers(int how) const
	{
		int n = 0;

		for (const auto &c : calls)
			n += c->answer == how;
		return n;
	}

	std::vector<std::unique_ptr<Call>> calls;

      private:
	struct Event {
		int64_t at;
		uint64_t order;
		std::function<void()> what;
		bool operator<(const Event &o) const
		{
			return at != o.at ? at > o.at : order > o.order;
		}
	};

	void At(int64_t at, std::function<void()> what)
	{
		events.push({at, ++order, std::move(what)});
	}

	/* Runs something on a host once it is not paused, unless it died. */
	void On(int host, int64_t delay, std::function<void()> what)
	{
		int life = hosts[host].life;

		At(now + delay, [=] {
			if (hosts[host].life != life)
				return;
			if (hosts[host].paused_until > now)
				On(host, hosts[host].paused_until - now, what);
			else
				what();
		});
	}

	int64_t Some(int64_t below)
	{
		return (int64_t)(random() % (uint64_t)below);
	}

	bool Chance(int percent)
	{
		return !plan.calm && Some(100) < percent;
	}

	void Start(Host &h)
	{
		h.ix = std::make_unique<struct claim_index>();
		claim_index_init(h.ix.get());
	}

	void Strike(int fault, int host)
	{
		Host &h = hosts[host];

		if (fault == kOutage)
			down_until = now + 20 * kSecond;
		if (fault == kSlow)
			slow_until = now + 20 * kSecond;
		if (fault == kPause)
			h.paused_until = now + 6 * kSecond;
		if (fault == kLongPause)
			h.paused_until = now + kRetention + 50 * kSecond;
		if (fault != kKill)
			return;
		for (auto &c : calls)
			c->alive &= c->host != host;
		claim_index_finish(h.ix.get());
		h.life++;
		h.polls = false;
		Start(h);
	}

	/* Reads on, as a long poll does, and tells the calls of the host. */
	void Poll(int host)
	{
		struct claim_index *ix = hosts[host].ix.get();
		uint64_t first = 1;
		bool wanted = false;

		for (auto &c : calls)
			wanted |= c->host == host && c->alive &&
				  (c->core.state == CLAIM_CLAIMING ||
				   c->core.state == CLAIM_WAITING);
		hosts[host].polls = wanted;
		if (!wanted)
			return;
		On(host, 20 * kMs + Some(30 * kMs),
		   [this, host] { Poll(host); });
		if (now < down_until || (now < slow_until && Chance(80)))
			return;
		while (first <= log.size() &&
		       log[first - 1].at < now - kRetention)
			first++;
		for (uint64_t o = std::max(ix->next_offset, first);
		     o <= log.size(); o++)
			claim_index_apply(ix, o, log[o - 1].text.data(),
					  log[o - 1].text.size());
		claim_index_advance(ix, first, log.size() + 1);
		for (size_t i = 0; i < calls.size(); i++)
			if (calls[i]->host == host && calls[i]->alive)
				Read(*calls[i]);
	}

	void Read(Call &c)
	{
		struct claim_event ev = {};

		ev.kind = CLAIM_EV_READ;
		ev.read = claim_index_lookup(hosts[c.host].ix.get(), c.core.id,
					     c.core.nonce, c.core.call_hash);
		Step(c, ev);
	}

	void Send(const Sending &s)
	{
		char key[64], id[CLAIM_ID_BYTES], nonce[CLAIM_NONCE_BYTES];
		char hash[CLAIM_ID_BYTES];
		int64_t made_ms = plan.sendings[0].at / kMs;
		struct claim_event ev = {};
		Call *c;

		for (const Sending &o : plan.sendings)
			if (o.key == s.key && o.at / kMs < made_ms)
				made_ms = o.at / kMs;
		if (hosts[s.host].paused_until > now) {
			On(s.host, 0, [this, s] { Send(s); });
			return;
		}
		snprintf(key, sizeof(key), "%08llx-%04llx-7000-8000-%012d",
			 (unsigned long long)(made_ms >> 16) & 0xffffffff,
			 (unsigned long long)made_ms & 0xffff, s.key);
		if (plan.plant != kNoKeyAge &&
		    claim_check_key(key, now / kMs, kRetention / kMs) !=
			    CLAIM_KEY_VALID)
			return;
		claim_make_id("acc", key, id);
		claim_hash_call("POST", "/", "", 0, hash);
		snprintf(nonce, sizeof(nonce), "%032zx", calls.size() + 1);
		std::reverse(nonce, nonce + 32);
		calls.push_back(std::make_unique<Call>());
		c = calls.back().get();
		c->key = s.key;
		c->host = s.host;
		claim_call_init(&c->core, id, nonce, hash);
		ev.kind = CLAIM_EV_START;
		ev.read = claim_index_lookup(hosts[s.host].ix.get(), id, nonce,
					     hash);
		Step(*c, ev);
		if (hosts[s.host].polls)
			return;
		hosts[s.host].polls = true;
		On(s.host, 0, [this, s] { Poll(s.host); });
	}

	void Step(Call &c, const struct claim_event &ev)
	{
		struct claim_actions out = {};
		enum claim_state before = c.core.state;

		if (!c.alive || before == CLAIM_DONE)
			return;
		claim_step(&c.core, &ev, now, &out);
		for (uint32_t i = 0; i < out.n; i++)
			Do(c, out.item[i]);
		c.wake = out.wake_us;
		if (c.wake)
			Arm(c);
		if (c.core.state != before && c.core.state == plan.trap_state &&
		    !trapped) {
			trapped = true;
			Strike(plan.trap_fault, c.host);
		}
	}

	void Arm(Call &c)
	{
		int64_t at = c.wake;

		On(c.host, std::max<int64_t>(0, at - now), [this, &c, at] {
			struct claim_event ev = {};

			ev.kind = CLAIM_EV_TIMER;
			if (c.wake == at)
				Step(c, ev);
		});
	}

	void Do(Call &c, const struct claim_action &a)
	{
		if (a.kind == CLAIM_DO_APPEND)
			Append(c, a.append.kind, a.append.round);
		if (a.kind == CLAIM_DO_SEND)
			Run(c);
		if (a.kind == CLAIM_DO_ANSWER) {
			EXPECT_EQ(-1, c.answer) << "answered twice";
			c.answer = a.answer.how;
		}
	}

	void Append(Call &c, enum claim_record_kind kind, uint32_t round)
	{
		struct claim_record r;
		struct claim_event ev = {};
		char *text;
		std::string s;
		int64_t effect = 2 * kMs + Some(10 * kMs);
		bool lost = Chance(15), late = Chance(10);

		claim_call_fill_record(&c.core, kind, &r);
		text = claim_encode("h", &r, 1);
		s = text;
		free(text);
		ev.kind = CLAIM_EV_APPENDED;
		ev.appended.kind = kind;
		ev.appended.round = round;
		if (now < slow_until)
			effect += Some(3 * kSecond);
		if (now < down_until || Chance(10)) {
			ev.appended.error = -EAGAIN;
		} else if (late || effect > 2 * kSecond) {
			effect += late ? Some(kRetention) : 0;
			ev.appended.error = -EIO;
			At(now + effect, [this, s] {
				log.push_back({now, s});
			});
			effect = 2 * kSecond;
		} else {
			At(now + effect, [this, s] {
				log.push_back({now, s});
			});
			ev.appended.error = lost ? -EIO : 0;
		}
		On(c.host, effect + kMs, [this, &c, ev] {
			Step(c, ev);
			if (plan.plant == kNoReadBack && !ev.appended.error)
				PretendWon(c);
		});
	}

	/* The planted fault of a host that takes an append for a win. */
	void PretendWon(Call &c)
	{
		struct claim_event ev = {};

		ev.kind = CLAIM_EV_READ;
		ev.read.verdict = CLAIM_WON;
		Step(c, ev);
	}

	void Run(Call &c)
	{
		struct claim_event ev = {};
		bool unreached = Chance(10), broken = Chance(15);

		ev.kind = CLAIM_EV_SENT;
		ev.sent.status = 200;
		if (unreached)
			ev.sent.how = CLAIM_SEND_NOT_SENT;
		else if (broken)
			ev.sent.how = plan.plant == kBrokenIsNotSent
					      ? CLAIM_SEND_NOT_SENT
					      : CLAIM_SEND_IN_DOUBT;
		if (!unreached)
			At(now + Some(100 * kMs), [&c] {
				EXPECT_FALSE(c.ran) << "sent twice";
				c.ran = true;
			});
		On(c.host, 110 * kMs, [this, &c, ev] { Step(c, ev); });
	}

	Plan plan;
	std::mt19937_64 random;
	std::priority_queue<Event> events;
	uint64_t order = 0;
	int64_t now = 0;
	Host hosts[kHosts];
	std::vector<LogRecord> log;
	int64_t down_until = 0;
	int64_t slow_until = 0;
	bool trapped = false;
};

/* Sendings of a few keys, some close together and some far apart. */
Plan MakePlan(uint32_t seed)
{
	std::mt19937_64 random(seed);
	int64_t spread[] = {20 * kMs, kSecond, 15 * kSecond, 300 * kSecond,
			    800 * kSecond};
	Plan p;

	p.seed = seed;
	for (int key = 0; key < 3; key++) {
		int64_t at = (int64_t)(random() % (100 * kSecond));

		for (uint64_t n = 1 + random() % 4; n; n--) {
			p.sendings.push_back(
				{at, key, (int)(random() % kHosts)});
			at += (int64_t)(random() % spread[random() % 5]);
		}
	}
	for (uint64_t n = random() % 6; n; n--) {
		const Sending &s = p.sendings[random() % p.sendings.size()];

		p.troubles.push_back({(int)(random() % kFaults),
				      s.at + (int64_t)(random() % (300 * kMs)),
				      (int)(random() % kHosts)});
	}
	return p;
}

TEST(ClaimHistory, EachKeyRunsAtMostOnce)
{
	EXPECT_TRUE(rc::check([](uint32_t seed) {
		RC_ASSERT(World(MakePlan(seed)).Check() == "");
	}));
}

/* FIGBEND_SCHEDULES schedules from seed 1 on; a few in CI. */
TEST(ClaimHistory, ManySchedules)
{
	const char *count = getenv("FIGBEND_SCHEDULES");
	uint32_t n = count ? (uint32_t)atoi(count) : 200;
	int answers[5] = {};
	int calls = 0;

	for (uint32_t seed = 1; seed <= n; seed++) {
		World w(MakePlan(seed));

		ASSERT_EQ("", w.Check()) << "seed " << seed;
		calls += (int)w.calls.size();
		for (int how = 0; how < 5; how++)
			answers[how] += w.Answers(how);
	}
	printf("schedules=%u calls=%d outcome=%d recorded=%d in_doubt=%d "
	       "not_sent=%d\n",
	       n, calls, answers[CLAIM_ANSWER_OUTCOME],
	       answers[CLAIM_ANSWER_RECORDED], answers[CLAIM_ANSWER_IN_DOUBT],
	       answers[CLAIM_ANSWER_NOT_SENT]);
}

TEST(ClaimHistory, EveryStateKilledAndPaused)
{
	for (int state = CLAIM_CLAIMING; state <= CLAIM_GIVING_UP; state++)
		for (int fault : {kKill, kPause, kLongPause})
			for (uint32_t seed = 1; seed <= 20; seed++) {
				Plan p = MakePlan(seed);

				p.trap_state = state;
				p.trap_fault = fault;
				ASSERT_EQ("", World(p).Check())
					<< "state " << state << " fault "
					<< fault << " seed " << seed;
			}
}

TEST(ClaimHistory, WithoutFaultsTheFirstGetsItsOutcomeAndTheRestTheRecord)
{
	Plan p;

	p.calm = true;
	p.sendings = {{0, 0, 0}, {kMs, 0, 1}, {2 * kMs, 0, 2}, {kSecond, 0, 1}};
	World w(p);
	EXPECT_EQ("", w.Check());
	EXPECT_EQ(1, w.Answers(CLAIM_ANSWER_OUTCOME));
	EXPECT_EQ(3, w.Answers(CLAIM_ANSWER_RECORDED));
}

class Planted : public ::testing::TestWithParam<Plant>
{
};

TEST_P(Planted, FaultIsCaught)
{
	int caught = 0;

	for (uint32_t seed = 1; seed <= 300 && !caught; seed++) {
		Plan p = MakePlan(seed);

		p.plant = GetParam();
		caught += World(p).Check() != "";
	}
	EXPECT_GT(caught, 0);
}

INSTANTIATE_TEST_SUITE_P(Claim, Planted,
			 ::testing::Values(kNoReadBack, kNoKeyAge,
					   kBrokenIsNotSent));

} // namespace
