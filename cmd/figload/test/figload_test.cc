#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "measure.h"
#include "scenario.h"
#include "stream.h"
#include "textgen.h"
}

static const char text[] = R"({
	// comment
	"name": "t", "seed": 3, "duration_s": 20,
	"accounts": [
		{ "name": "a", "model": "m", "requests_s": 50,
		  "prompt_tokens": { "kind": "uniform", "min": 10, "max": 20 },
		  "output_tokens": { "kind": "fixed", "median": 8 },
		  "prefix_share": 0.5, "prefix_tokens": 8, "cancel_share": 0.1,
		  "rate_tokens_s": 100, "burst_tokens": 100,
		  "phases": [ { "from_s": 10, "to_s": 20, "times": 5 } ] }
	]
})";

class Figload : public testing::Test
{
      protected:
	void SetUp() override
	{
		jread_errors_init(&faults);
		ASSERT_EQ(scenario_parse(&s, text, sizeof(text) - 1, "t",
					 &faults),
			  0);
	}
	void TearDown() override
	{
		jread_errors_free(&faults);
	}
	struct scenario s;
	struct jread_errors faults;
};

TEST_F(Figload, SameSeedSameSchedule)
{
	struct schedule a, b;

	ASSERT_EQ(schedule_make(&a, &s), 0);
	ASSERT_EQ(schedule_make(&b, &s), 0);
	ASSERT_EQ(a.n, b.n);
	for (uint32_t i = 0; i < a.n; i++) {
		EXPECT_EQ(a.planned[i].at_us, b.planned[i].at_us);
		EXPECT_EQ(a.planned[i].prompt_tokens,
			  b.planned[i].prompt_tokens);
		EXPECT_EQ(a.planned[i].number, i);
		EXPECT_GE(a.planned[i].prompt_tokens, 10u);
		EXPECT_LE(a.planned[i].prompt_tokens, 20u);
	}
	schedule_finish(&a);
	schedule_finish(&b);
}

/* 50 a second for 10 s, then five times as many: 500 and 2500, 5 sigma. */
TEST_F(Figload, PhaseMultipliesTheRate)
{
	uint32_t before = 0, within = 0;
	struct schedule a;

	ASSERT_EQ(schedule_make(&a, &s), 0);
	for (uint32_t i = 0; i < a.n; i++)
		(a.planned[i].at_us < 10000000 ? before : within)++;
	EXPECT_NEAR(before, 500, 112);
	EXPECT_NEAR(within, 2500, 250);
	schedule_finish(&a);
}

TEST_F(Figload, PromptHasItsLengthAndSharedPrefix)
{
	struct planned p = {0, 1, 0, 12, 8, 2, SCENARIO_NO_CANCEL};
	struct planned q = {0, 2, 0, 12, 8, 2, SCENARIO_NO_CANCEL};
	std::vector<char> a(64), b(64);

	schedule_prompt(&s, &p, a.data());
	schedule_prompt(&s, &q, b.data());
	EXPECT_EQ(std::string(a.data()).size(), 48u);
	EXPECT_EQ(std::string(a.data(), 32), std::string(b.data(), 32));
	EXPECT_NE(std::string(a.data()), std::string(b.data()));
}

TEST_F(Figload, StreamSeesAWrongToken)
{
	uint64_t hash = textgen_hash("x", 1, 1);
	char token[TEXTGEN_TOKEN_BYTES];
	struct stream st;
	std::string line;

	stream_init(&st, hash);
	textgen_write_token(hash, 0, token);
	line = std::string("data: {\"choices\":[{\"text\":\"") + token +
	       "\"}]}\n\n";
	stream_bytes(&st, line.data(), 10);
	stream_bytes(&st, line.data() + 10, line.size() - 10);
	EXPECT_EQ(st.position, 1u);
	EXPECT_FALSE(st.wrong);
	stream_bytes(&st, line.data(), line.size());
	EXPECT_TRUE(st.wrong);
}

TEST_F(Figload, GoodNeedsBothTargets)
{
	struct result r = {};

	r.outcome = OUTCOME_WHOLE;
	r.tokens = 11;
	r.first_us = 1600000;
	r.last_us = 2000000;
	EXPECT_TRUE(result_is_good(&s, &r));
	r.first_us++;
	EXPECT_FALSE(result_is_good(&s, &r));
	r.first_us = 1000000;
	EXPECT_FALSE(result_is_good(&s, &r));
	r.last_us = 1400000;
	r.outcome = OUTCOME_CUT;
	EXPECT_FALSE(result_is_good(&s, &r));
}

/* Burst 100, each request 20 + 5: four are inside, the fifth is not. */
TEST_F(Figload, RefusedInsideTheRate)
{
	std::vector<struct planned> p;
	std::vector<struct result> r(6);
	struct schedule plan = {};
	struct measure m;

	for (uint32_t i = 0; i < 6; i++) {
		p.push_back({0, i, 0, 20, 8, SCENARIO_NO_PREFIX,
			     SCENARIO_NO_CANCEL});
		r[i].due_tokens = 5;
		r[i].outcome = OUTCOME_REFUSED;
		r[i].over_rate = true;
	}
	plan.planned = p.data();
	plan.n = 6;
	ASSERT_EQ(measure_make(&m, &s, &plan, r.data()), 0);
	EXPECT_EQ(m.account[0].refused, 6u);
	EXPECT_EQ(m.account[0].refused_inside, 4u);
	measure_finish(&m);
}
