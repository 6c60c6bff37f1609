#include <gtest/gtest.h>
#include <rapidcheck.h>

extern "C" {
#include "request.h"
}

#include <random>
#include <set>
#include <string>

/*
 * Random orders of events, most of them plausible and some late or crossed.
 * However a request goes, it ends with nothing held and its tokens were handed
 * on once each, in order.
 */

namespace
{

/* What the controllers and endpoints hold for the request. */
class Ledger
{
      public:
	void Take(const struct request &r, const struct request_action &a)
	{
		switch (a.kind) {
		case REQUEST_DO_CHARGE:
			charges++;
			break;
		case REQUEST_DO_PREFILL:
			open.insert(Run("p", a.attempt));
			ordered = true;
			break;
		case REQUEST_DO_TRANSFER:
			open.insert(Run("d", a.attempt));
			break;
		case REQUEST_DO_FORWARD:
			RC_ASSERT(a.forward.n > 0u);
			forwarded += a.forward.n;
			RC_ASSERT(forwarded == r.sent_tokens);
			break;
		case REQUEST_DO_CANCEL:
			if (a.cancel.prefill)
				open.erase(Run("p", a.attempt));
			if (a.cancel.decode)
				open.erase(Run("d", a.attempt));
			break;
		case REQUEST_DO_RELEASE:
			reserved--;
			RC_ASSERT(reserved == 0);
			break;
		case REQUEST_DO_SETTLE:
			settles++;
			RC_ASSERT(!(a.settle.not_executed && may_have_run));
			break;
		case REQUEST_DO_FINISH:
			ends++;
			RC_ASSERT(forwarded == length);
			break;
		case REQUEST_DO_REFUSE:
		case REQUEST_DO_ABORT:
			ends++;
			RC_ASSERT(!(a.refuse.not_executed && may_have_run));
			RC_ASSERT((a.kind == REQUEST_DO_ABORT) ==
				  (forwarded > 0));
			break;
		default:
			break;
		}
	}

	/* What an event says of the endpoints, before the core hears it. */
	void Hear(const struct request &r, const struct request_event &ev,
		  bool late)
	{
		bool surely_not = false;

		if (ev.kind == REQUEST_EV_FAILED)
			surely_not = ev.failed.fault == REQUEST_FAULT_REFUSED ||
				     ev.failed.fault == REQUEST_FAULT_NOT_SENT;
		if (late)
			return;
		if (ev.kind == REQUEST_EV_CHARGED)
			charged = true;
		if (ev.kind == REQUEST_EV_RESERVED)
			reserved++;
		if (r.state == REQUEST_PREFILLING && surely_not)
			open.erase(Run("p", r.attempt));
		else if (r.state >= REQUEST_PREFILLING)
			may_have_run = true;
		if (r.state == REQUEST_TRANSFERRING && surely_not)
			open.erase(Run("d", r.attempt));
		if (ev.kind == REQUEST_EV_TRANSFERRED)
			open.erase(Run("p", r.attempt));
		if (ev.kind == REQUEST_EV_ENDED &&
		    ev.ended.tokens == r.sent_tokens)
			open.erase(Run("d", r.attempt));
	}

	static std::string Run(const char *role, uint32_t attempt)
	{
		return role + std::to_string(attempt);
	}

	std::set<std::string> open; /* runs that an endpoint may hold */
	uint32_t length = 0;
	uint32_t forwarded = 0;
	int charges = 0;
	int settles = 0;
	int reserved = 0;
	int ends = 0;
	bool charged = false;
	bool ordered = false;
	bool may_have_run = false;
};

class Life
{
      public:
	explicit Life(uint32_t seed) : random(seed)
	{
		struct request_policy policy = {4};

		request_init(&r, "r", "acc", "m", &policy);
		ledger.length = 1 + Some(12);
		Give(REQUEST_EV_START);
		for (int i = 0; i < 400 && r.state != REQUEST_DONE; i++)
			Next();
		if (r.state != REQUEST_DONE)
			Give(REQUEST_EV_DEADLINE);
		Check();
	}

      private:
	uint32_t Some(uint32_t below)
	{
		return (uint32_t)(random() % below);
	}

	bool Chance(uint32_t percent)
	{
		return Some(100) < percent;
	}

	void Check()
	{
		RC_ASSERT(r.state == REQUEST_DONE);
		RC_ASSERT(ledger.open.empty());
		RC_ASSERT(ledger.reserved == 0);
		RC_ASSERT(ledger.settles == (ledger.charged ? 1 : 0));
		RC_ASSERT(ledger.ends <= 1);
	}

	void Give(enum request_event_kind kind)
	{
		struct request_event ev = {};

		ev.kind = kind;
		Give(ev);
	}

	void Give(struct request_event ev)
	{
		struct request_actions out = {};
		struct request before = r;
		struct request probe = r;
		bool late;

		if (!ev.attempt)
			ev.attempt = r.attempt;
		late = request_step(&probe, &ev, now, &out) != 0;
		ledger.Hear(before, ev, late);
		out = {};
		RC_ASSERT((request_step(&r, &ev, ++now, &out) != 0) == late);
		RC_ASSERT(!late || out.n == 0u);
		for (uint32_t i = 0; i < out.n; i++)
			ledger.Take(r, out.item[i]);
	}

	void Tokens()
	{
		struct request_event ev = {};
		uint32_t back = Chance(20) ? Some(r.sent_tokens + 1) : 0;

		ev.kind = REQUEST_EV_TOKENS;
		ev.tokens.position = r.sent_tokens - back;
		if (Chance(4))
			ev.tokens.position += 2;
		if (ev.tokens.position >= ledger.length)
			return Ended();
		ev.tokens.n = 1 + Some(ledger.length - ev.tokens.position);
		Give(ev);
	}

	void Ended()
	{
		struct request_event ev = {};

		ev.kind = REQUEST_EV_ENDED;
		ev.ended.tokens = ledger.length;
		Give(ev);
	}

	void Failed()
	{
		struct request_event ev = {};

		ev.kind = REQUEST_EV_FAILED;
		ev.failed.fault = (enum request_fault)Some(7);
		ev.failed.retry_allowed = Chance(80);
		ev.failed.blame_prefill = r.state == REQUEST_PREFILLING;
		Give(ev);
	}

	void Reserved()
	{
		struct request_event ev = {};

		ev.kind = REQUEST_EV_RESERVED;
		ev.reserved.prefill_endpoint = "p";
		ev.reserved.decode_endpoint = "d";
		Give(ev);
	}

	/* An event of any kind and attempt, as late and crossed ones come. */
	void Stray()
	{
		struct request_event ev = {};

		ev.kind = (enum request_event_kind)Some(REQUEST_EV_FAILED + 1);
		ev.attempt = r.attempt + Some(3);
		if (ev.attempt <= r.attempt)
			ev.attempt += 7;
		if (ev.kind == REQUEST_EV_RESERVED)
			ev.reserved.prefill_endpoint =
				ev.reserved.decode_endpoint = "x";
		if (ev.kind != REQUEST_EV_REFUSED)
			Give(ev);
	}

	void Next()
	{
		if (Chance(10))
			return Stray();
		if (Chance(2))
			return Give(Chance(50) ? REQUEST_EV_CALLER_DISCONNECTED
					       : REQUEST_EV_KEY_WITHDRAWN);
		if (r.state >= REQUEST_PREFILLING && Chance(20))
			return Failed();
		switch (r.state) {
		case REQUEST_CHARGING:
			return Give(Chance(90) ? REQUEST_EV_CHARGED
					       : REQUEST_EV_REFUSED);
		case REQUEST_QUEUED:
			return Give(Chance(95) ? REQUEST_EV_SCHEDULED
					       : REQUEST_EV_REFUSED);
		case REQUEST_RESERVING:
			return Chance(95) ? Reserved()
					  : Give(REQUEST_EV_REFUSED);
		case REQUEST_PREFILLING:
			return Give(REQUEST_EV_PREFILLED);
		case REQUEST_TRANSFERRING:
			return Give(REQUEST_EV_TRANSFERRED);
		case REQUEST_DECODING:
			return r.sent_tokens == ledger.length ? Ended()
							      : Tokens();
		default:
			return;
		}
	}

	std::mt19937_64 random;
	struct request r = {};
	Ledger ledger;
	int64_t now = 0;
};

TEST(RequestProperty, EveryRequestEndsWithNothingHeldAndEachTokenOnce)
{
	EXPECT_TRUE(rc::check([](uint32_t seed) { Life life(seed); }));
}

/* FIGBEND_SCHEDULES runs from seed 1 on; a few in CI. */
TEST(RequestProperty, ManySchedules)
{
	const char *count = getenv("FIGBEND_SCHEDULES");
	uint32_t n = count ? (uint32_t)atoi(count) : 1000;

	for (uint32_t seed = 1; seed <= n; seed++)
		Life life(seed);
}

} // namespace
