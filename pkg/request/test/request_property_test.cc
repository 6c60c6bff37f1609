#include <gtest/gtest.h>
#include <rapidcheck.h>

extern "C" {
#include "request.h"
}

#include <random>
#include <set>
#include <string>

/*
 * Random sequences of events, most of them valid in the current state and some
 * late or of another attempt. Each request has to end with nothing outstanding
 * and with each token forwarded once, in order.
 */

namespace
{

/* Models what controllers and endpoints have in use for the request. */
class Resources
{
      public:
	/* Called after r has processed the event that caused the action. */
	void OnAction(const struct request &r, const struct request_action &a)
	{
		switch (a.kind) {
		case REQUEST_DO_CHARGE:
			charge_n++;
			break;
		case REQUEST_DO_PREFILL:
			outstanding.insert(StepId("p", a.attempt));
			prefill_sent = true;
			break;
		case REQUEST_DO_TRANSFER:
			outstanding.insert(StepId("d", a.attempt));
			break;
		case REQUEST_DO_FORWARD:
			RC_ASSERT(a.forward.n > 0u);
			forwarded += a.forward.n;
			RC_ASSERT(forwarded == r.sent_tokens);
			break;
		case REQUEST_DO_CANCEL:
			if (a.cancel.prefill)
				outstanding.erase(StepId("p", a.attempt));
			if (a.cancel.decode)
				outstanding.erase(StepId("d", a.attempt));
			break;
		case REQUEST_DO_RELEASE:
			reserved--;
			RC_ASSERT(reserved == 0);
			break;
		case REQUEST_DO_SETTLE:
			settle_n++;
			RC_ASSERT(!(a.settle.not_executed && maybe_executed));
			break;
		case REQUEST_DO_FINISH:
			end_n++;
			RC_ASSERT(forwarded == length);
			break;
		case REQUEST_DO_REFUSE:
		case REQUEST_DO_ABORT:
			end_n++;
			RC_ASSERT(!(a.refuse.not_executed && maybe_executed));
			RC_ASSERT((a.kind == REQUEST_DO_ABORT) ==
				  (forwarded > 0));
			break;
		default:
			break;
		}
	}

	/* Called before r processes the event. */
	void OnEvent(const struct request &r, const struct request_event &ev,
		     bool late)
	{
		bool not_executed = false;

		if (ev.kind == REQUEST_EV_FAILED)
			not_executed =
				ev.failed.fault == REQUEST_FAULT_REFUSED ||
				ev.failed.fault == REQUEST_FAULT_NOT_SENT;
		if (late)
			return;
		if (ev.kind == REQUEST_EV_CHARGED)
			charged = true;
		if (ev.kind == REQUEST_EV_RESERVED)
			reserved++;
		if (r.state == REQUEST_PREFILLING && not_executed)
			outstanding.erase(StepId("p", r.attempt));
		else if (r.state >= REQUEST_PREFILLING)
			maybe_executed = true;
		if (r.state == REQUEST_TRANSFERRING && not_executed)
			outstanding.erase(StepId("d", r.attempt));
		if (ev.kind == REQUEST_EV_TRANSFERRED)
			outstanding.erase(StepId("p", r.attempt));
		if (ev.kind == REQUEST_EV_ENDED &&
		    ev.ended.tokens == r.sent_tokens)
			outstanding.erase(StepId("d", r.attempt));
	}

	static std::string StepId(const char *role, uint32_t attempt)
	{
		return role + std::to_string(attempt);
	}

	std::set<std::string> outstanding; /* StepId() at endpoints */
	uint32_t length = 0;
	uint32_t forwarded = 0;
	int charge_n = 0;
	int settle_n = 0;
	int reserved = 0;
	int end_n = 0;
	bool charged = false;
	bool prefill_sent = false;
	bool maybe_executed = false;
};

class Simulation
{
      public:
	explicit Simulation(uint32_t seed) : random(seed)
	{
		struct request_policy policy = {4};

		request_init(&r, "r", "acc", "m", &policy);
		resources.length = 1 + RandomBelow(12);
		Send(REQUEST_EV_START);
		for (int i = 0; i < 400 && r.state != REQUEST_DONE; i++)
			Next();
		if (r.state != REQUEST_DONE)
			Send(REQUEST_EV_DEADLINE);
		Check();
	}

      private:
	uint32_t RandomBelow(uint32_t limit)
	{
		return (uint32_t)(random() % limit);
	}

	bool Chance(uint32_t percent)
	{
		return RandomBelow(100) < percent;
	}

	void Check()
	{
		RC_ASSERT(r.state == REQUEST_DONE);
		RC_ASSERT(resources.outstanding.empty());
		RC_ASSERT(resources.reserved == 0);
		RC_ASSERT(resources.settle_n == (resources.charged ? 1 : 0));
		RC_ASSERT(resources.end_n <= 1);
	}

	void Send(enum request_event_kind kind)
	{
		struct request_event ev = {};

		ev.kind = kind;
		Send(ev);
	}

	void Send(struct request_event ev)
	{
		struct request_actions out = {};
		struct request before = r;
		struct request probe = r;
		bool late;

		if (!ev.attempt)
			ev.attempt = r.attempt;
		late = request_step(&probe, &ev, now_us, &out) != 0;
		resources.OnEvent(before, ev, late);
		out = {};
		RC_ASSERT((request_step(&r, &ev, ++now_us, &out) != 0) == late);
		RC_ASSERT(!late || out.n == 0u);
		for (uint32_t i = 0; i < out.n; i++)
			resources.OnAction(r, out.item[i]);
	}

	void Tokens()
	{
		struct request_event ev = {};
		uint32_t back = Chance(20) ? RandomBelow(r.sent_tokens + 1) : 0;

		ev.kind = REQUEST_EV_TOKENS;
		ev.tokens.position = r.sent_tokens - back;
		if (Chance(4))
			ev.tokens.position += 2;
		ev.tokens.retry_allowed = Chance(80);
		if (ev.tokens.position >= resources.length)
			return Ended();
		ev.tokens.n =
			1 + RandomBelow(resources.length - ev.tokens.position);
		Send(ev);
	}

	void Ended()
	{
		struct request_event ev = {};

		ev.kind = REQUEST_EV_ENDED;
		ev.ended.tokens = resources.length;
		ev.ended.retry_allowed = Chance(80);
		Send(ev);
	}

	void Failed()
	{
		struct request_event ev = {};

		ev.kind = REQUEST_EV_FAILED;
		ev.failed.fault = (enum request_fault)RandomBelow(7);
		ev.failed.retry_allowed = Chance(80);
		ev.failed.blame_prefill = r.state == REQUEST_PREFILLING;
		Send(ev);
	}

	void Reserved()
	{
		struct request_event ev = {};

		ev.kind = REQUEST_EV_RESERVED;
		ev.reserved.prefill_endpoint = "p";
		ev.reserved.decode_endpoint = "d";
		Send(ev);
	}

	/* An event of a random kind and of another attempt. */
	void LateEvent()
	{
		struct request_event ev = {};

		ev.kind = (enum request_event_kind)RandomBelow(
			REQUEST_EV_FAILED + 1);
		ev.attempt = r.attempt + RandomBelow(3);
		if (ev.attempt <= r.attempt)
			ev.attempt += 7;
		if (ev.kind == REQUEST_EV_RESERVED)
			ev.reserved.prefill_endpoint =
				ev.reserved.decode_endpoint = "x";
		if (ev.kind != REQUEST_EV_REFUSED)
			Send(ev);
	}

	void Next()
	{
		if (Chance(10))
			return LateEvent();
		if (Chance(2))
			return Send(Chance(50) ? REQUEST_EV_CALLER_DISCONNECTED
					       : REQUEST_EV_KEY_WITHDRAWN);
		if (r.state >= REQUEST_PREFILLING && Chance(20))
			return Failed();
		switch (r.state) {
		case REQUEST_CHARGING:
			return Send(Chance(90) ? REQUEST_EV_CHARGED
					       : REQUEST_EV_REFUSED);
		case REQUEST_QUEUED:
			return Send(Chance(95) ? REQUEST_EV_SCHEDULED
					       : REQUEST_EV_REFUSED);
		case REQUEST_RESERVING:
			return Chance(95) ? Reserved()
					  : Send(REQUEST_EV_REFUSED);
		case REQUEST_PREFILLING:
			return Send(REQUEST_EV_PREFILLED);
		case REQUEST_TRANSFERRING:
			return Send(REQUEST_EV_TRANSFERRED);
		case REQUEST_DECODING:
			return r.sent_tokens == resources.length ? Ended()
								 : Tokens();
		default:
			return;
		}
	}

	std::mt19937_64 random;
	struct request r = {};
	Resources resources;
	int64_t now_us = 0;
};

TEST(RequestProperty, RequestEndsWithNothingOutstandingAndEachTokenOnce)
{
	EXPECT_TRUE(rc::check([](uint32_t seed) { Simulation run(seed); }));
}

/* FIGBEND_SCHEDULES is the number of seeds, from 1; by default 1000. */
TEST(RequestProperty, ManySchedules)
{
	const char *count = getenv("FIGBEND_SCHEDULES");
	uint32_t n = count ? (uint32_t)atoi(count) : 1000;

	for (uint32_t seed = 1; seed <= n; seed++)
		Simulation run(seed);
}

} // namespace
