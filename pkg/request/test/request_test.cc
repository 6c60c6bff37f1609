#include <gtest/gtest.h>

extern "C" {
#include "request.h"
}

namespace
{

/* Drives a request through its states by events. */
class Request : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct request_policy policy = {3};

		request_init(&r, "r1", "acc", "m", &policy);
		r.prompt_tokens = 100;
		r.output_max_tokens = 10;
	}

	int Step(struct request_event ev)
	{
		out = {};
		if (!ev.attempt)
			ev.attempt = r.attempt;
		return request_step(&r, &ev, now_us += 1000, &out);
	}

	int Step(enum request_event_kind kind)
	{
		struct request_event ev = {};

		ev.kind = kind;
		return Step(ev);
	}

	int Reserved(const char *prefill, const char *decode)
	{
		struct request_event ev = {};

		ev.kind = REQUEST_EV_RESERVED;
		ev.reserved.prefill_endpoint = prefill;
		ev.reserved.decode_endpoint = decode;
		return Step(ev);
	}

	int Tokens(uint32_t position, uint32_t n, bool retry_allowed = true)
	{
		struct request_event ev = {};

		ev.kind = REQUEST_EV_TOKENS;
		ev.tokens.position = position;
		ev.tokens.n = n;
		ev.tokens.retry_allowed = retry_allowed;
		return Step(ev);
	}

	int Ended(uint32_t tokens, bool retry_allowed = true)
	{
		struct request_event ev = {};

		ev.kind = REQUEST_EV_ENDED;
		ev.ended.tokens = tokens;
		ev.ended.retry_allowed = retry_allowed;
		return Step(ev);
	}

	int Failed(bool retry_allowed)
	{
		struct request_event ev = {};

		ev.kind = REQUEST_EV_FAILED;
		ev.failed.fault = REQUEST_FAULT_CONN_LOST;
		ev.failed.retry_allowed = retry_allowed;
		return Step(ev);
	}

	/* Fails once, which is resumed at the endpoint, and then again. */
	int FailedAfterResume(bool retry_allowed)
	{
		EXPECT_EQ(0, Failed(retry_allowed));
		EXPECT_EQ(1u, out.n);
		EXPECT_TRUE(Has(REQUEST_DO_DECODE));
		EXPECT_EQ(1u, r.attempt);
		return Failed(retry_allowed);
	}

	void AdvanceToDecoding()
	{
		Step(REQUEST_EV_START);
		Step(REQUEST_EV_CHARGED);
		Step(REQUEST_EV_SCHEDULED);
		Reserved("p1", "d1");
		Step(REQUEST_EV_PREFILLED);
		Step(REQUEST_EV_TRANSFERRED);
	}

	bool Has(enum request_action_kind kind) const
	{
		for (uint32_t i = 0; i < out.n; i++)
			if (out.item[i].kind == kind)
				return true;
		return false;
	}

	struct request r = {};
	struct request_actions out = {};
	int64_t now_us = 0;
};

TEST_F(Request, Finishes)
{
	AdvanceToDecoding();
	EXPECT_EQ(0, Tokens(0, 3));
	EXPECT_TRUE(Has(REQUEST_DO_FORWARD));
	EXPECT_EQ(0, Ended(3));
	EXPECT_TRUE(Has(REQUEST_DO_RELEASE));
	EXPECT_TRUE(Has(REQUEST_DO_SETTLE));
	EXPECT_TRUE(Has(REQUEST_DO_FINISH));
	EXPECT_FALSE(Has(REQUEST_DO_CANCEL));
	EXPECT_EQ(REQUEST_DONE, r.state);
}

TEST_F(Request, DropsDuplicateTokens)
{
	AdvanceToDecoding();
	Tokens(0, 3);
	Tokens(1, 4);
	ASSERT_TRUE(Has(REQUEST_DO_FORWARD));
	EXPECT_EQ(2u, out.item[0].forward.skip);
	EXPECT_EQ(2u, out.item[0].forward.n);
	Tokens(0, 5);
	EXPECT_FALSE(Has(REQUEST_DO_FORWARD));
}

TEST_F(Request, GapInTokensFailsTheAttempt)
{
	AdvanceToDecoding();
	Tokens(0, 1);
	Tokens(2, 1);
	EXPECT_FALSE(Has(REQUEST_DO_FORWARD));
	EXPECT_TRUE(Has(REQUEST_DO_RESERVE));
	EXPECT_EQ(2u, r.attempt);
}

TEST_F(Request, IncompleteOutputFailsTheAttempt)
{
	AdvanceToDecoding();
	Tokens(0, 3);
	Ended(5);
	EXPECT_FALSE(Has(REQUEST_DO_FINISH));
	EXPECT_TRUE(Has(REQUEST_DO_RESERVE));
}

/* Guards against retries beyond the retry budget. */
TEST_F(Request, OutputWithAGapIsNotRetriedWithoutTheBudget)
{
	AdvanceToDecoding();
	Tokens(0, 1);
	Tokens(2, 1, false);
	EXPECT_TRUE(Has(REQUEST_DO_ABORT));
	EXPECT_EQ(1u, r.attempt);
	EXPECT_EQ(REQUEST_DONE, r.state);
}

TEST_F(Request, IncompleteOutputIsNotRetriedWithoutTheBudget)
{
	AdvanceToDecoding();
	Tokens(0, 3);
	Ended(5, false);
	EXPECT_TRUE(Has(REQUEST_DO_ABORT));
	EXPECT_EQ(1u, r.attempt);
	EXPECT_EQ(REQUEST_DONE, r.state);
}

TEST_F(Request, RetryExcludesTheFailedEndpoint)
{
	AdvanceToDecoding();
	Tokens(0, 2);
	FailedAfterResume(true);
	EXPECT_TRUE(Has(REQUEST_DO_CANCEL));
	EXPECT_TRUE(Has(REQUEST_DO_RELEASE));
	EXPECT_TRUE(Has(REQUEST_DO_RESERVE));
	EXPECT_TRUE(request_excludes(&r, "d1"));
	EXPECT_FALSE(request_excludes(&r, "p1"));
}

TEST_F(Request, IgnoresEventsOfAnEarlierAttempt)
{
	struct request_event ev = {};

	AdvanceToDecoding();
	FailedAfterResume(true);
	ev.kind = REQUEST_EV_TOKENS;
	ev.attempt = 1;
	ev.tokens.n = 1;
	EXPECT_EQ(-EALREADY, Step(ev));
	EXPECT_EQ(1u, r.late_events);
	EXPECT_EQ(0u, r.sent_tokens);
}

TEST_F(Request, AbortsAfterTokensIfNoRetryIsAllowed)
{
	AdvanceToDecoding();
	Tokens(0, 2);
	FailedAfterResume(false);
	EXPECT_TRUE(Has(REQUEST_DO_ABORT));
	EXPECT_FALSE(Has(REQUEST_DO_REFUSE));
}

TEST_F(Request, RefusalBeforePrefillIsNotExecuted)
{
	struct request_event ev = {};

	Step(REQUEST_EV_START);
	Step(REQUEST_EV_CHARGED);
	ev.kind = REQUEST_EV_REFUSED;
	ev.error = REQUEST_ERR_OVERLOADED;
	Step(ev);
	ASSERT_TRUE(Has(REQUEST_DO_REFUSE));
	EXPECT_TRUE(out.item[out.n - 1].refuse.not_executed);
}

TEST_F(Request, DisconnectCancelsReleasesAndSettles)
{
	AdvanceToDecoding();
	Tokens(0, 2);
	Step(REQUEST_EV_CALLER_DISCONNECTED);
	EXPECT_TRUE(Has(REQUEST_DO_CANCEL));
	EXPECT_TRUE(Has(REQUEST_DO_RELEASE));
	EXPECT_TRUE(Has(REQUEST_DO_SETTLE));
	EXPECT_EQ(REQUEST_DONE, r.state);
}

TEST_F(Request, ResumesAgainAfterProgress)
{
	AdvanceToDecoding();
	Tokens(0, 2);
	Failed(true);
	EXPECT_TRUE(Has(REQUEST_DO_DECODE));
	Tokens(2, 1);
	Failed(true);
	EXPECT_TRUE(Has(REQUEST_DO_DECODE));
	EXPECT_EQ(1u, r.attempt);
}

TEST_F(Request, RefusedPrefillIsNotExecuted)
{
	struct request_event ev = {};

	Step(REQUEST_EV_START);
	Step(REQUEST_EV_CHARGED);
	Step(REQUEST_EV_SCHEDULED);
	Reserved("p1", "d1");
	ev.kind = REQUEST_EV_FAILED;
	ev.failed.fault = REQUEST_FAULT_REFUSED;
	ev.failed.blame_prefill = true;
	Step(ev);
	EXPECT_FALSE(Has(REQUEST_DO_CANCEL));
	ASSERT_TRUE(Has(REQUEST_DO_REFUSE));
	EXPECT_TRUE(out.item[out.n - 1].refuse.not_executed);
}

} // namespace
