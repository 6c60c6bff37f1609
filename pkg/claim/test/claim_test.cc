#include <gtest/gtest.h>

extern "C" {
#include "claim.h"
}

#include <memory>
#include <string>

namespace
{

/* A reader of the stream and the records that tests append to it. */
class Claim : public ::testing::Test
{
      protected:
	Claim() : ix(new struct claim_index)
	{
		claim_index_init(ix.get());
	}

	~Claim() override
	{
		claim_index_finish(ix.get());
	}

	/* Appends a record of key "k" by a nonce that starts with a letter. */
	uint64_t Append(enum claim_record_kind kind, char nonce,
			const char *body = "x", uint32_t status = 200)
	{
		struct claim_record r = Record(kind, nonce, body, status);
		char *text = claim_encode("h", &r, 1);
		uint64_t offset = ++n;

		EXPECT_EQ(0, claim_index_apply(ix.get(), offset, text,
					       strlen(text)));
		free(text);
		return offset;
	}

	struct claim_record Record(enum claim_record_kind kind, char nonce,
				   const char *body, uint32_t status)
	{
		struct claim_record r = {};

		r.kind = kind;
		claim_make_id("acc", "k", r.id);
		memset(r.nonce, nonce, sizeof(r.nonce) - 1);
		claim_hash_call("POST", "/sign-off", body, strlen(body),
				r.call_hash);
		r.status = status;
		r.body = "done";
		return r;
	}

	struct claim_view View(char nonce, const char *body = "x")
	{
		struct claim_record r =
			Record(CLAIM_RECORD_CLAIM, nonce, body, 0);

		return claim_index_lookup(ix.get(), r.id, r.nonce, r.call_hash);
	}

	std::unique_ptr<struct claim_index> ix;
	uint64_t n = 0;
};

TEST_F(Claim, TheFirstInTheLogWins)
{
	uint64_t offset;

	EXPECT_EQ(CLAIM_NOT_FOUND, View('a').verdict);
	Append(CLAIM_RECORD_CLAIM, 'a');
	Append(CLAIM_RECORD_CLAIM, 'b');
	EXPECT_EQ(CLAIM_WON, View('a').verdict);
	EXPECT_EQ(CLAIM_LOST, View('b').verdict);
	offset = Append(CLAIM_RECORD_OUTCOME, 'a');
	EXPECT_EQ(CLAIM_COMPLETED, View('b').verdict);
	EXPECT_EQ(offset, View('b').outcome_offset);
}

TEST_F(Claim, AnotherBodyUnderTheSameKeyIsAMismatch)
{
	Append(CLAIM_RECORD_CLAIM, 'a');
	EXPECT_EQ(CLAIM_MISMATCH, View('b', "y").verdict);
}

TEST_F(Claim, AfterTheWinnerGaveUpTheNextNewNonceWins)
{
	Append(CLAIM_RECORD_CLAIM, 'a');
	Append(CLAIM_RECORD_CLAIM, 'b');
	Append(CLAIM_RECORD_GIVEN_UP, 'a');
	EXPECT_EQ(CLAIM_GIVEN_UP, View('b').verdict);
	EXPECT_TRUE(View('b').nonce_seen);
	Append(CLAIM_RECORD_CLAIM, 'b');
	EXPECT_EQ(CLAIM_GIVEN_UP, View('b').verdict) << "b had its chance";
	Append(CLAIM_RECORD_CLAIM, 'a');
	EXPECT_EQ(CLAIM_GIVEN_UP, View('a').verdict) << "a gave up for good";
	Append(CLAIM_RECORD_CLAIM, 'c');
	EXPECT_EQ(CLAIM_WON, View('c').verdict);
}

TEST_F(Claim, AClaimThatTakesEffectAfterItWasGivenUpNeverWins)
{
	Append(CLAIM_RECORD_GIVEN_UP, 'a');
	Append(CLAIM_RECORD_CLAIM, 'a');
	EXPECT_EQ(CLAIM_GIVEN_UP, View('a').verdict);
	Append(CLAIM_RECORD_CLAIM, 'b');
	EXPECT_EQ(CLAIM_WON, View('b').verdict);
}

TEST_F(Claim, AnOutcomeOutlivesItsClaimAndLeavesWithTheLog)
{
	Append(CLAIM_RECORD_OUTCOME, 'a');
	EXPECT_EQ(CLAIM_COMPLETED, View('b').verdict);
	EXPECT_EQ(CLAIM_MISMATCH, View('b', "y").verdict);
	claim_index_advance(ix.get(), 2, 2);
	EXPECT_EQ(CLAIM_NOT_FOUND, View('b').verdict);
	EXPECT_EQ(0u, ix->entry_n);
}

TEST_F(Claim, ALostAnswerIsInDoubt)
{
	Append(CLAIM_RECORD_CLAIM, 'a');
	Append(CLAIM_RECORD_OUTCOME, 'a', "x", 0);
	EXPECT_EQ(CLAIM_IN_DOUBT, View('b').verdict);
}

TEST_F(Claim, ABatchCountsInItsOrderAndMalformedOnesAreSkipped)
{
	struct claim_record r[2] = {Record(CLAIM_RECORD_CLAIM, 'b', "x", 0),
				    Record(CLAIM_RECORD_CLAIM, 'a', "x", 0)};
	char *text = claim_encode("h", r, 2);

	EXPECT_EQ(-EBADMSG, claim_index_apply(ix.get(), 1, "{", 1));
	EXPECT_EQ(0, claim_index_apply(ix.get(), 2, "{\"records\":[{}]}", 16));
	EXPECT_EQ(0, claim_index_apply(ix.get(), 3, text, strlen(text)));
	EXPECT_EQ(CLAIM_WON, View('b').verdict);
	EXPECT_STREQ("h", View('a').winner_host);
	free(text);
}

TEST(ClaimKey, IsJudgedByTheTimeThatItCarries)
{
	const int64_t hour_ms = 3600 * 1000;
	const char *key = "0193900a-0000-7000-8000-000000000001";
	const int64_t made_ms = 0x0193900a0000;

	EXPECT_EQ(CLAIM_KEY_OPAQUE, claim_check_key("sign-off-1", 0, hour_ms));
	EXPECT_EQ(CLAIM_KEY_VALID, claim_check_key(key, made_ms, hour_ms));
	EXPECT_EQ(CLAIM_KEY_EXPIRED,
		  claim_check_key(key, made_ms + hour_ms, hour_ms));
	EXPECT_EQ(CLAIM_KEY_IN_FUTURE,
		  claim_check_key(key, made_ms - hour_ms, hour_ms));
}

} // namespace
