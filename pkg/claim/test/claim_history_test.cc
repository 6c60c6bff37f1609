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
 * Simulates several hosts over one log in virtual time. Responses to appends
 * are lost, appends take effect late, the log fails or is slow, its records
 * expire, hosts are killed or paused. A call must be executed at most once for
 * each key, and not be answered as not sent if it was executed.
 */

namespace
{

constexpr int64_t kMsUs = 1000;
constexpr int64_t kSecondUs = 1000 * kMsUs;
constexpr int64_t kRetentionUs = 400 * kSecondUs;
constexpr int64_t kEndUs = 3000 * kSecondUs;
constexpr int kHosts = 3;

enum FaultKind {
	kKill,
	kPause,	    /* of a host, longer than the timeout to send */
	kLongPause, /* of a host, longer than the log's retention */
	kOutage,    /* of the log */
	kSlow,	    /* the log responds late or not at all */
	kFaultKinds
};

/* Defects that the checks must detect. */
enum Defect {
	kNone,
	kNoReadBack,   /* a host sends without reading its claim back */
	kNoKeyCheck,   /* expired keys are accepted */
	kLostIsNotSent /* a lost response counts as not sent */
};

struct Arrival {
	int64_t at_us;
	int key;
	int host;
};

struct Fault {
	int kind;
	int64_t at_us;
	int host;
};

struct Schedule {
	std::vector<Arrival> arrivals;
	std::vector<Fault> faults;
	uint32_t seed = 1;
	bool fault_free = false; /* the log and the service never fail */
	/* state_fault hits the host of the first call in fault_state. */
	int fault_state = CLAIM_NEW;
	int state_fault = kKill;
	Defect defect = kNone;
};

struct Call {
	struct claim_call claim;
	int key;
	int host;
	int64_t wake_us = 0;
	bool alive = true;
	bool executed = false;
	int answer = -1;
};

struct Host {
	std::unique_ptr<struct claim_index> ix;
	int64_t paused_until_us = 0;
	int generation = 0;
	bool polling = false;
};

struct LogRecord {
	int64_t at_us;
	std::string text;
};

class Simulation
{
      public:
	explicit Simulation(const Schedule &s) : schedule(s), random(s.seed)
	{
		for (auto &h : hosts)
			StartHost(h);
		for (const Arrival &a : schedule.arrivals)
			At(a.at_us, [this, a] { Receive(a); });
		for (const Fault &f : schedule.faults)
			At(f.at_us, [this, f] { InjectFault(f.kind, f.host); });
		while (!events.empty() && events.top().at_us < kEndUs) {
			Event e = events.top();

			events.pop();
			now_us = e.at_us;
			e.fn();
		}
		for (auto &h : hosts)
			claim_index_finish(h.ix.get());
	}

	/* Returns the violated invariant, or "". */
	std::string Check() const
	{
		std::map<int, int> executions;

		for (const auto &c : calls) {
			executions[c->key] += c->executed;
			if (c->executed && c->answer == CLAIM_ANSWER_NOT_SENT)
				return "answered as not sent, but executed";
		}
		for (const auto &r : executions)
			if (r.second > 1)
				return "calls of one key executed " +
				       std::to_string(r.second) + " times";
		for (const auto &c : calls)
			if (c->answer == CLAIM_ANSWER_RECORDED &&
			    !executions[c->key])
				return "recorded outcome, but not executed";
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
		int64_t at_us;
		uint64_t order;
		std::function<void()> fn;
		bool operator<(const Event &o) const
		{
			return at_us != o.at_us ? at_us > o.at_us
						: order > o.order;
		}
	};

	void At(int64_t at_us, std::function<void()> fn)
	{
		events.push({at_us, ++order, std::move(fn)});
	}

	/* Calls fn on a host when it is not paused, unless it was killed. */
	void OnHost(int host, int64_t delay_us, std::function<void()> fn)
	{
		int generation = hosts[host].generation;

		At(now_us + delay_us, [=] {
			if (hosts[host].generation != generation)
				return;
			if (hosts[host].paused_until_us > now_us)
				OnHost(host,
				       hosts[host].paused_until_us - now_us,
				       fn);
			else
				fn();
		});
	}

	int64_t RandomBelow(int64_t below)
	{
		return (int64_t)(random() % (uint64_t)below);
	}

	bool Chance(int percent)
	{
		return !schedule.fault_free && RandomBelow(100) < percent;
	}

	void StartHost(Host &h)
	{
		h.ix = std::make_unique<struct claim_index>();
		claim_index_init(h.ix.get());
	}

	void InjectFault(int kind, int host)
	{
		Host &h = hosts[host];

		if (kind == kOutage)
			down_until_us = now_us + 20 * kSecondUs;
		if (kind == kSlow)
			slow_until_us = now_us + 20 * kSecondUs;
		if (kind == kPause)
			h.paused_until_us = now_us + 6 * kSecondUs;
		if (kind == kLongPause)
			h.paused_until_us =
				now_us + kRetentionUs + 50 * kSecondUs;
		if (kind != kKill)
			return;
		for (auto &c : calls)
			c->alive &= c->host != host;
		claim_index_finish(h.ix.get());
		h.generation++;
		h.polling = false;
		StartHost(h);
	}

	/* Reads new records into the index; calls of the host handle them. */
	void ReadLog(int host)
	{
		struct claim_index *ix = hosts[host].ix.get();
		uint64_t first = 1;
		bool waiting = false;

		for (auto &c : calls)
			waiting |= c->host == host && c->alive &&
				   (c->claim.state == CLAIM_CLAIMING ||
				    c->claim.state == CLAIM_WAITING);
		hosts[host].polling = waiting;
		if (!waiting)
			return;
		OnHost(host, 20 * kMsUs + RandomBelow(30 * kMsUs),
		       [this, host] { ReadLog(host); });
		if (now_us < down_until_us ||
		    (now_us < slow_until_us && Chance(80)))
			return;
		while (first <= log.size() &&
		       log[first - 1].at_us < now_us - kRetentionUs)
			first++;
		for (uint64_t o = std::max(ix->next_offset, first);
		     o <= log.size(); o++)
			claim_index_apply(ix, o, log[o - 1].text.data(),
					  log[o - 1].text.size());
		claim_index_advance(ix, first, log.size() + 1);
		for (size_t i = 0; i < calls.size(); i++)
			if (calls[i]->host == host && calls[i]->alive)
				NotifyRead(*calls[i]);
	}

	void NotifyRead(Call &c)
	{
		struct claim_event ev = {};

		ev.kind = CLAIM_EV_READ;
		ev.read = claim_index_lookup(hosts[c.host].ix.get(), c.claim.id,
					     c.claim.nonce, c.claim.call_hash);
		Step(c, ev);
	}

	void Receive(const Arrival &a)
	{
		char key[64], id[CLAIM_ID_BYTES], nonce[CLAIM_NONCE_BYTES];
		char hash[CLAIM_ID_BYTES];
		int64_t key_ms = schedule.arrivals[0].at_us / kMsUs;
		struct claim_event ev = {};
		Call *c;

		for (const Arrival &o : schedule.arrivals)
			if (o.key == a.key && o.at_us / kMsUs < key_ms)
				key_ms = o.at_us / kMsUs;
		if (hosts[a.host].paused_until_us > now_us) {
			OnHost(a.host, 0, [this, a] { Receive(a); });
			return;
		}
		snprintf(key, sizeof(key), "%08llx-%04llx-7000-8000-%012d",
			 (unsigned long long)(key_ms >> 16) & 0xffffffff,
			 (unsigned long long)key_ms & 0xffff, a.key);
		if (schedule.defect != kNoKeyCheck &&
		    claim_check_key(key, now_us / kMsUs,
				    kRetentionUs / kMsUs) != CLAIM_KEY_VALID)
			return;
		claim_make_id("acc", key, id);
		claim_hash_call("POST", "/", "", 0, hash);
		/* The index compares only the first 64 bits. */
		snprintf(nonce, sizeof(nonce), "%032zx", calls.size() + 1);
		std::reverse(nonce, nonce + 32);
		calls.push_back(std::make_unique<Call>());
		c = calls.back().get();
		c->key = a.key;
		c->host = a.host;
		claim_call_init(&c->claim, id, nonce, hash);
		ev.kind = CLAIM_EV_START;
		ev.read = claim_index_lookup(hosts[a.host].ix.get(), id, nonce,
					     hash);
		Step(*c, ev);
		if (hosts[a.host].polling)
			return;
		hosts[a.host].polling = true;
		OnHost(a.host, 0, [this, a] { ReadLog(a.host); });
	}

	void Step(Call &c, const struct claim_event &ev)
	{
		struct claim_actions out = {};
		enum claim_state old_state = c.claim.state;

		if (!c.alive || old_state == CLAIM_DONE)
			return;
		claim_step(&c.claim, &ev, now_us, &out);
		for (uint32_t i = 0; i < out.n; i++)
			DoAction(c, out.item[i]);
		c.wake_us = out.wake_us;
		if (c.wake_us)
			ArmTimer(c);
		if (c.claim.state != old_state &&
		    c.claim.state == schedule.fault_state &&
		    !state_fault_done) {
			state_fault_done = true;
			InjectFault(schedule.state_fault, c.host);
		}
	}

	void ArmTimer(Call &c)
	{
		int64_t at_us = c.wake_us;

		OnHost(c.host, std::max<int64_t>(0, at_us - now_us),
		       [this, &c, at_us] {
			       struct claim_event ev = {};

			       ev.kind = CLAIM_EV_TIMER;
			       if (c.wake_us == at_us)
				       Step(c, ev);
		       });
	}

	void DoAction(Call &c, const struct claim_action &a)
	{
		if (a.kind == CLAIM_DO_APPEND)
			Append(c, a.append.kind, a.append.round);
		if (a.kind == CLAIM_DO_SEND)
			SendToService(c);
		if (a.kind == CLAIM_DO_ANSWER) {
			EXPECT_EQ(-1, c.answer) << "answered twice";
			c.answer = a.answer.how;
		}
	}

	/* An append without a response after 2 s times out, and is in doubt. */
	void Append(Call &c, enum claim_record_kind kind, uint32_t round)
	{
		struct claim_record r;
		struct claim_event ev = {};
		char *text;
		std::string s;
		int64_t effect_us = 2 * kMsUs + RandomBelow(10 * kMsUs);
		bool response_lost = Chance(15), late = Chance(10);

		claim_call_fill_record(&c.claim, kind, &r);
		text = claim_encode("h", &r, 1);
		s = text;
		free(text);
		ev.kind = CLAIM_EV_APPENDED;
		ev.appended.kind = kind;
		ev.appended.round = round;
		if (now_us < slow_until_us)
			effect_us += RandomBelow(3 * kSecondUs);
		if (now_us < down_until_us || Chance(10)) {
			ev.appended.error = -EAGAIN;
		} else if (late || effect_us > 2 * kSecondUs) {
			effect_us += late ? RandomBelow(kRetentionUs) : 0;
			ev.appended.error = -EIO;
			At(now_us + effect_us, [this, s] {
				log.push_back({now_us, s});
			});
			effect_us = 2 * kSecondUs;
		} else {
			At(now_us + effect_us, [this, s] {
				log.push_back({now_us, s});
			});
			ev.appended.error = response_lost ? -EIO : 0;
		}
		OnHost(c.host, effect_us + kMsUs, [this, &c, ev] {
			Step(c, ev);
			if (schedule.defect == kNoReadBack &&
			    !ev.appended.error)
				ReportWon(c);
		});
	}

	/* The defect kNoReadBack: a successful append counts as a win. */
	void ReportWon(Call &c)
	{
		struct claim_event ev = {};

		ev.kind = CLAIM_EV_READ;
		ev.read.verdict = CLAIM_WON;
		Step(c, ev);
	}

	void SendToService(Call &c)
	{
		struct claim_event ev = {};
		bool not_sent = Chance(10), in_doubt = Chance(15);

		ev.kind = CLAIM_EV_SENT;
		ev.sent.status = 200;
		if (not_sent)
			ev.sent.how = CLAIM_SEND_NOT_SENT;
		else if (in_doubt)
			ev.sent.how = schedule.defect == kLostIsNotSent
					      ? CLAIM_SEND_NOT_SENT
					      : CLAIM_SEND_IN_DOUBT;
		if (!not_sent)
			At(now_us + RandomBelow(100 * kMsUs), [&c] {
				EXPECT_FALSE(c.executed) << "sent twice";
				c.executed = true;
			});
		OnHost(c.host, 110 * kMsUs, [this, &c, ev] { Step(c, ev); });
	}

	Schedule schedule;
	std::mt19937_64 random;
	std::priority_queue<Event> events;
	uint64_t order = 0;
	int64_t now_us = 0;
	Host hosts[kHosts];
	std::vector<LogRecord> log;
	int64_t down_until_us = 0;
	int64_t slow_until_us = 0;
	bool state_fault_done = false;
};

/* Calls with a few keys, at short and at long intervals, and faults. */
Schedule MakeSchedule(uint32_t seed)
{
	std::mt19937_64 random(seed);
	int64_t interval_max_us[] = {20 * kMsUs, kSecondUs, 15 * kSecondUs,
				     300 * kSecondUs, 800 * kSecondUs};
	Schedule s;

	s.seed = seed;
	for (int key = 0; key < 3; key++) {
		int64_t at_us = (int64_t)(random() % (100 * kSecondUs));

		for (uint64_t n = 1 + random() % 4; n; n--) {
			s.arrivals.push_back(
				{at_us, key, (int)(random() % kHosts)});
			at_us += (int64_t)(random() %
					   interval_max_us[random() % 5]);
		}
	}
	for (uint64_t n = random() % 6; n; n--) {
		const Arrival &a = s.arrivals[random() % s.arrivals.size()];

		s.faults.push_back(
			{(int)(random() % kFaultKinds),
			 a.at_us + (int64_t)(random() % (300 * kMsUs)),
			 (int)(random() % kHosts)});
	}
	return s;
}

TEST(ClaimHistory, EachKeyIsExecutedAtMostOnce)
{
	EXPECT_TRUE(rc::check([](uint32_t seed) {
		RC_ASSERT(Simulation(MakeSchedule(seed)).Check() == "");
	}));
}

/* Runs FIGBEND_SCHEDULES schedules (200 by default), from seed 1 on. */
TEST(ClaimHistory, ManySchedules)
{
	const char *count = getenv("FIGBEND_SCHEDULES");
	uint32_t n = count ? (uint32_t)atoi(count) : 200;
	int answers[5] = {};
	int calls = 0;

	for (uint32_t seed = 1; seed <= n; seed++) {
		Simulation sim(MakeSchedule(seed));

		ASSERT_EQ("", sim.Check()) << "seed " << seed;
		calls += (int)sim.calls.size();
		for (int how = 0; how < 5; how++)
			answers[how] += sim.Answers(how);
	}
	printf("schedules=%u calls=%d outcome=%d recorded=%d in_doubt=%d "
	       "not_sent=%d\n",
	       n, calls, answers[CLAIM_ANSWER_OUTCOME],
	       answers[CLAIM_ANSWER_RECORDED], answers[CLAIM_ANSWER_IN_DOUBT],
	       answers[CLAIM_ANSWER_NOT_SENT]);
}

TEST(ClaimHistory, HostsAreKilledAndPausedInEachState)
{
	for (int state = CLAIM_CLAIMING; state <= CLAIM_GIVING_UP; state++)
		for (int fault : {kKill, kPause, kLongPause})
			for (uint32_t seed = 1; seed <= 20; seed++) {
				Schedule s = MakeSchedule(seed);

				s.fault_state = state;
				s.state_fault = fault;
				ASSERT_EQ("", Simulation(s).Check())
					<< "state " << state << " fault "
					<< fault << " seed " << seed;
			}
}

TEST(ClaimHistory, WithoutFaultsLaterCallsGetTheRecordedOutcome)
{
	Schedule s;

	s.fault_free = true;
	s.arrivals = {
		{0, 0, 0}, {kMsUs, 0, 1}, {2 * kMsUs, 0, 2}, {kSecondUs, 0, 1}};
	Simulation sim(s);
	EXPECT_EQ("", sim.Check());
	EXPECT_EQ(1, sim.Answers(CLAIM_ANSWER_OUTCOME));
	EXPECT_EQ(3, sim.Answers(CLAIM_ANSWER_RECORDED));
}

class Defects : public ::testing::TestWithParam<Defect>
{
};

TEST_P(Defects, AreDetected)
{
	int detected = 0;

	for (uint32_t seed = 1; seed <= 300 && !detected; seed++) {
		Schedule s = MakeSchedule(seed);

		s.defect = GetParam();
		detected += Simulation(s).Check() != "";
	}
	EXPECT_GT(detected, 0);
}

INSTANTIATE_TEST_SUITE_P(Claim, Defects,
			 ::testing::Values(kNoReadBack, kNoKeyCheck,
					   kLostIsNotSent));

} // namespace
