#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "config.h"
}

namespace
{

const std::string kMinimal = R"({
	// one domain, one account
	"domains": [ { "name": "d1" } ],
	"models": [ { "name": "m1" } ],
	"accounts": [ { "name": "a1", "rate_tokens_s": 1000,
		"burst_tokens": 2000,
		"shares": [ { "domain": "d1", "part": 1 } ],
		"keys": [ KEYS ] } ],
	"endpoints": [ { "name": "e1", "domain": "d1",
		"addr": "127.0.0.1:1000", "serves": "m1",
		"role": "decode" } ]
})";

/* Returns kMinimal with one text replaced, and without keys. */
std::string Replace(const std::string &from, const std::string &to)
{
	std::string s = kMinimal;
	size_t at = s.find(from);

	if (at != std::string::npos)
		s.replace(at, from.size(), to);
	at = s.find("KEYS");
	if (at != std::string::npos)
		s.replace(at, 4, "");
	return s;
}

/* Parses a text and returns its errors, one per line. */
std::string Errors(const std::string &text)
{
	struct jread_errors errors;
	struct config *c;
	std::string s;

	jread_errors_init(&errors);
	config_parse(text.data(), text.size(), "f", &errors, &c);
	for (uint32_t i = 0; i < errors.n; i++)
		s += std::string(errors.message[i]) + "\n";
	jread_errors_free(&errors);
	config_put(c);
	return s;
}

TEST(Config, AcceptsValidDeclarations)
{
	EXPECT_EQ("", Errors(Replace("", "")));
}

TEST(Config, ReportsAllErrorsAtOnce)
{
	std::string s = Replace("\"role\": \"decode\"",
				"\"role\": \"decoder\", \"slotz\": 3");

	s.replace(s.find("\"part\": 1"), 9, "\"part\": 0.5");
	s = Errors(s);
	EXPECT_NE(std::string::npos, s.find("f.endpoints[0].role"));
	EXPECT_NE(std::string::npos, s.find("nearest known one is \"slots\""));
	EXPECT_NE(std::string::npos, s.find("f.accounts[0].shares"));
}

TEST(Config, ReportsTheLineOfASyntaxError)
{
	EXPECT_NE(std::string::npos,
		  Errors("{\n\n\"domains\": [ }\n").find("line 3"));
}

TEST(Config, VerifiesKeysByHashAndRefusesWithdrawnOnes)
{
	const struct config_account *a = nullptr;
	char text[CONFIG_KEY_TEXT_BYTES];
	char salt[64], hash[80];
	struct jread_errors errors;
	struct config_key k;
	struct config *c;
	std::string s = kMinimal;

	ASSERT_EQ(0, config_key_generate(text, &k));
	config_key_hex(k.salt, sizeof(k.salt), salt);
	config_key_hex(k.hash, sizeof(k.hash), hash);
	s.replace(s.find("KEYS"), 4,
		  std::string("{\"id\":\"") + k.id + "\",\"salt\":\"" + salt +
			  "\",\"hash\":\"" + hash + "\"}");
	jread_errors_init(&errors);
	ASSERT_EQ(0, config_parse(s.data(), s.size(), "f", &errors, &c));
	EXPECT_EQ(0, config_key_verify(c, text, &a));
	EXPECT_STREQ("a1", a->name);
	EXPECT_EQ(-EINVAL, config_key_verify(c, "sk-1", &a));
	text[strlen(text) - 1] ^= 1;
	EXPECT_EQ(-ENOENT, config_key_verify(c, text, &a));
	text[strlen(text) - 1] ^= 1;
	c->account[0].key[0].withdrawn = true;
	EXPECT_EQ(-EKEYREVOKED, config_key_verify(c, text, &a));
	config_put(c);
	jread_errors_free(&errors);
}

/* Applies a change and returns the outcome. */
enum config_outcome Apply(struct config_state *state, uint64_t offset,
			  uint64_t against, const std::string &text)
{
	char *record = config_record_change(against, "me", "", text.c_str());
	enum config_outcome o =
		config_state_apply(state, offset, record, strlen(record));

	free(record);
	return o;
}

TEST(ConfigState, FirstOfTwoConcurrentChangesWins)
{
	struct config_state state;

	config_state_init(&state);
	EXPECT_EQ(CONFIG_ACCEPTED, Apply(&state, 1, 0, Replace("", "")));
	EXPECT_EQ(CONFIG_ACCEPTED,
		  Apply(&state, 2, 1, Replace("2000", "2001")));
	EXPECT_EQ(CONFIG_STALE, Apply(&state, 3, 1, Replace("2000", "2002")));
	EXPECT_EQ(2u, state.current->version);
	EXPECT_EQ(2001u, state.current->account[0].burst_tokens);
	config_state_finish(&state);
}

TEST(ConfigState, VersionNeverDecreases)
{
	struct config_state state;
	std::string old = Replace("", "");

	config_state_init(&state);
	Apply(&state, 1, 0, old);
	Apply(&state, 2, 1, Replace("2000", "2001"));
	EXPECT_EQ(CONFIG_UNCHANGED,
		  config_state_install(&state, 1, 0, old.data(), old.size()));
	EXPECT_EQ(CONFIG_UNCHANGED, Apply(&state, 1, 0, old));
	EXPECT_EQ(2u, state.current->version);
	config_state_finish(&state);
}

TEST(ConfigState, ValidCheckpointClosesAGap)
{
	struct config_state state;
	char *record =
		config_record_checkpoint(7, 9, "me", Replace("", "").c_str());

	config_state_init(&state);
	config_state_set_log_start(&state, 9);
	EXPECT_EQ(CONFIG_ACCEPTED,
		  config_state_apply(&state, 9, record, strlen(record)));
	EXPECT_EQ(7u, state.current->version);
	EXPECT_EQ(CONFIG_ACCEPTED,
		  Apply(&state, 10, 7, Replace("2000", "2001")));
	free(record);
	config_state_finish(&state);
}

TEST(ConfigState, GapStaysOpenWithoutAValidCheckpoint)
{
	struct config_state state;
	char *superseded =
		config_record_checkpoint(7, 9, "me", Replace("", "").c_str());

	config_state_init(&state);
	config_state_set_log_start(&state, 9);
	/* against version 0, but earlier changes may have expired */
	EXPECT_EQ(CONFIG_UNDECIDED, Apply(&state, 9, 0, Replace("", "")));
	EXPECT_EQ(CONFIG_UNCHANGED, config_state_apply(&state, 10, superseded,
						       strlen(superseded)));
	EXPECT_EQ(nullptr, state.current);
	EXPECT_TRUE(state.has_gap);
	free(superseded);
	config_state_finish(&state);
}

/* Returns the edited text, or "none" if there is no such object. */
std::string Edit(const std::string &text, std::vector<const char *> path,
		 const char *key, const char *value)
{
	std::string s = "none";
	char *out;

	path.push_back(nullptr);
	if (config_edit(text.c_str(), path.data(), key, value, &out) < 0)
		return s;
	s = out;
	free(out);
	return s;
}

TEST(ConfigEdit, ChangesOneValueAndNothingElse)
{
	std::string text = "// a: { \"domains\": 1 }\n{ \"domains\": [ /* ] */"
			   "{ \"region\": \"}\\\"\", \"name\": \"B\" },"
			   "{ \"name\": \"A\", \"state\": \"x\" // s\n } ] }";

	EXPECT_EQ("none", Edit(text, {"domains", "C"}, "state", "1"));
	EXPECT_EQ("none", Edit(text, {"accounts", "A"}, "state", "1"));
	std::string a = Edit(text, {"domains", "A"}, "state", "\"y\"");
	EXPECT_EQ(text.size(), a.size());
	EXPECT_NE(std::string::npos, a.find("\"state\": \"y\" // s"));
	std::string b = Edit(text, {"domains", "B"}, "state", "\"y\"");
	EXPECT_NE(std::string::npos,
		  b.find("/* ] */{ \"state\": \"y\", \"region\""));
	EXPECT_NE(std::string::npos, Edit(text, {"domains", "*"}, "name", "1")
					     .find("\"name\": 1 }"));
}

} // namespace
