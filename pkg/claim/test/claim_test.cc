#include <gtest/gtest.h>

extern "C" {
#include "claim.h"
}

#include <memory>
#include <string>

namespace
{

/* An index, which applies each record that a test appends to the log. */
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

	/* Appends a record of key "k"; its nonce repeats one letter. */
	uint64_t Append(enum claim_record_kind kind, char nonce,
			const char *body = "x", uint32_t status = 200)
	{
		struct claim_record r = Record(kind, nonce, body, status);
		char *text = claim_encode("h", &r, 1);
		uint64_t offset = ++last_offset;

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

	struct claim_view Lookup(char nonce, const char *body = "x")
	{
		struct claim_record r =
			Record(CLAIM_RECORD_CLAIM, nonce, body, 0);

		return claim_index_lookup(ix.get(), r.id, r.nonce, r.call_hash);
	}

	std::unique_ptr<struct claim_index> ix;
	uint64_t last_offset = 0;
};

TEST_F(Claim, FirstClaimInTheLogWins)
{
	uint64_t offset;

	EXPECT_EQ(CLAIM_NOT_FOUND, Lookup('a').verdict);
	Append(CLAIM_RECORD_CLAIM, 'a');
	Append(CLAIM_RECORD_CLAIM, 'b');
	EXPECT_EQ(CLAIM_WON, Lookup('a').verdict);
	EXPECT_EQ(CLAIM_LOST, Lookup('b').verdict);
	offset = Append(CLAIM_RECORD_OUTCOME, 'a');
	EXPECT_EQ(CLAIM_COMPLETED, Lookup('b').verdict);
	EXPECT_EQ(offset, Lookup('b').outcome_offset);
}

TEST_F(Claim, KeyReusedWithAnotherBodyIsAMismatch)
{
	Append(CLAIM_RECORD_CLAIM, 'a');
	EXPECT_EQ(CLAIM_MISMATCH, Lookup('b', "y").verdict);
}

TEST_F(Claim, NewNonceWinsAfterTheWinnerGaveUp)
{
	Append(CLAIM_RECORD_CLAIM, 'a');
	Append(CLAIM_RECORD_CLAIM, 'b');
	Append(CLAIM_RECORD_GIVEN_UP, 'a');
	EXPECT_EQ(CLAIM_GIVEN_UP, Lookup('b').verdict);
	EXPECT_TRUE(Lookup('b').nonce_seen);
	Append(CLAIM_RECORD_CLAIM, 'b');
	EXPECT_EQ(CLAIM_GIVEN_UP, Lookup('b').verdict) << "b lost before";
	Append(CLAIM_RECORD_CLAIM, 'a');
	EXPECT_EQ(CLAIM_GIVEN_UP, Lookup('a').verdict) << "a gave up before";
	Append(CLAIM_RECORD_CLAIM, 'c');
	EXPECT_EQ(CLAIM_WON, Lookup('c').verdict);
}

TEST_F(Claim, ClaimLoggedAfterItsGivenUpRecordNeverWins)
{
	Append(CLAIM_RECORD_GIVEN_UP, 'a');
	Append(CLAIM_RECORD_CLAIM, 'a');
	EXPECT_EQ(CLAIM_GIVEN_UP, Lookup('a').verdict);
	Append(CLAIM_RECORD_CLAIM, 'b');
	EXPECT_EQ(CLAIM_WON, Lookup('b').verdict);
}

TEST_F(Claim, OutcomeOutlivesItsClaimUntilItExpires)
{
	Append(CLAIM_RECORD_OUTCOME, 'a');
	EXPECT_EQ(CLAIM_COMPLETED, Lookup('b').verdict);
	EXPECT_EQ(CLAIM_MISMATCH, Lookup('b', "y").verdict);
	claim_index_advance(ix.get(), 2, 2);
	EXPECT_EQ(CLAIM_NOT_FOUND, Lookup('b').verdict);
	EXPECT_EQ(0u, ix->entry_n);
}

TEST_F(Claim, OutcomeWithoutResponseIsInDoubt)
{
	Append(CLAIM_RECORD_CLAIM, 'a');
	Append(CLAIM_RECORD_OUTCOME, 'a', "x", 0);
	EXPECT_EQ(CLAIM_IN_DOUBT, Lookup('b').verdict);
}

TEST_F(Claim, BatchIsAppliedInOrderAndMalformedRecordsAreSkipped)
{
	struct claim_record r[2] = {Record(CLAIM_RECORD_CLAIM, 'b', "x", 0),
				    Record(CLAIM_RECORD_CLAIM, 'a', "x", 0)};
	char *text = claim_encode("h", r, 2);

	EXPECT_EQ(-EBADMSG, claim_index_apply(ix.get(), 1, "{", 1));
	EXPECT_EQ(0, claim_index_apply(ix.get(), 2, "{\"records\":[{}]}", 16));
	EXPECT_EQ(0, claim_index_apply(ix.get(), 3, text, strlen(text)));
	EXPECT_EQ(CLAIM_WON, Lookup('b').verdict);
	EXPECT_STREQ("h", Lookup('a').winner_host);
	free(text);
}

TEST(ClaimKey, IsCheckedByItsTimestamp)
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
