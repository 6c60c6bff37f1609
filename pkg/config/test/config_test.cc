#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "config.h"
}

namespace
{

const std::string kSmall = R"({
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

std::string With(const std::string &what, const std::string &by)
{
	std::string s = kSmall;
	size_t at = s.find(what);

	if (at != std::string::npos)
		s.replace(at, what.size(), by);
	at = s.find("KEYS");
	if (at != std::string::npos)
		s.replace(at, 4, "");
	return s;
}

/* Parses a text and returns its faults, a line each. */
std::string Faults(const std::string &text)
{
	struct jread_errors faults;
	struct config *c;
	std::string s;

	jread_errors_init(&faults);
	config_parse(text.data(), text.size(), "f", &faults, &c);
	for (uint32_t i = 0; i < faults.n; i++)
		s += std::string(faults.message[i]) + "\n";
	jread_errors_free(&faults);
	config_put(c);
	return s;
}

TEST(Config, TakesWhatIsValid)
{
	EXPECT_EQ("", Faults(With("", "")));
}

TEST(Config, ReportsEveryFaultAtOnce)
{
	std::string s = With("\"role\": \"decode\"",
			     "\"role\": \"decoder\", \"slotz\": 3");

	s.replace(s.find("\"part\": 1"), 9, "\"part\": 0.5");
	s = Faults(s);
	EXPECT_NE(std::string::npos, s.find("f.endpoints[0].role"));
	EXPECT_NE(std::string::npos, s.find("nearest known one is \"slots\""));
	EXPECT_NE(std::string::npos, s.find("f.accounts[0].shares"));
}

TEST(Config, NamesTheLineOfASyntaxError)
{
	EXPECT_NE(std::string::npos,
		  Faults("{\n\n\"domains\": [ }\n").find("line 3"));
}

TEST(Config, KeysAreCheckedByHashAndMayBeWithdrawn)
{
	const struct config_account *a = nullptr;
	char text[CONFIG_KEY_TEXT_BYTES];
	char salt[64], hash[80];
	struct jread_errors faults;
	struct config_key k;
	struct config *c;
	std::string s = kSmall;

	ASSERT_EQ(0, config_key_generate(text, &k));
	config_key_hex(k.salt, sizeof(k.salt), salt);
	config_key_hex(k.hash, sizeof(k.hash), hash);
	s.replace(s.find("KEYS"), 4,
		  std::string("{\"id\":\"") + k.id + "\",\"salt\":\"" + salt +
			  "\",\"hash\":\"" + hash + "\"}");
	jread_errors_init(&faults);
	ASSERT_EQ(0, config_parse(s.data(), s.size(), "f", &faults, &c));
	EXPECT_EQ(0, config_key_verify(c, text, &a));
	EXPECT_STREQ("a1", a->name);
	EXPECT_EQ(-EINVAL, config_key_verify(c, "sk-1", &a));
	text[strlen(text) - 1] ^= 1;
	EXPECT_EQ(-ENOENT, config_key_verify(c, text, &a));
	text[strlen(text) - 1] ^= 1;
	c->account[0].key[0].withdrawn = true;
	EXPECT_EQ(-EKEYREVOKED, config_key_verify(c, text, &a));
	config_put(c);
	jread_errors_free(&faults);
}

/* Folds a change and returns the outcome. */
enum config_outcome Fold(struct config_state *f, uint64_t offset,
			 uint64_t against, const std::string &text)
{
	char *record = config_record_change(against, "me", "", text.c_str());
	enum config_outcome o =
		config_state_apply(f, offset, record, strlen(record));

	free(record);
	return o;
}

TEST(ConfigFold, OfTwoRacingChangesTheFirstWins)
{
	struct config_state f;

	config_state_init(&f);
	EXPECT_EQ(CONFIG_ACCEPTED, Fold(&f, 1, 0, With("", "")));
	EXPECT_EQ(CONFIG_ACCEPTED, Fold(&f, 2, 1, With("2000", "2001")));
	EXPECT_EQ(CONFIG_STALE, Fold(&f, 3, 1, With("2000", "2002")));
	EXPECT_EQ(2u, f.current->version);
	EXPECT_EQ(2001u, f.current->account[0].burst_tokens);
	config_state_finish(&f);
}

TEST(ConfigFold, NeverGoesBack)
{
	struct config_state f;
	std::string old = With("", "");

	config_state_init(&f);
	Fold(&f, 1, 0, old);
	Fold(&f, 2, 1, With("2000", "2001"));
	EXPECT_EQ(CONFIG_UNCHANGED,
		  config_state_install(&f, 1, 0, old.data(), old.size()));
	EXPECT_EQ(CONFIG_UNCHANGED, Fold(&f, 1, 0, old));
	EXPECT_EQ(2u, f.current->version);
	config_state_finish(&f);
}

TEST(ConfigFold, StartsFromACheckpoint)
{
	struct config_state f;
	char *record =
		config_record_checkpoint(7, 9, "me", With("", "").c_str());

	config_state_init(&f);
	config_state_set_log_start(&f, 9);
	EXPECT_EQ(CONFIG_ACCEPTED,
		  config_state_apply(&f, 9, record, strlen(record)));
	EXPECT_EQ(7u, f.current->version);
	EXPECT_EQ(CONFIG_ACCEPTED, Fold(&f, 10, 7, With("2000", "2001")));
	free(record);
	config_state_finish(&f);
}

TEST(ConfigFold, AnExpiredLogWithoutACheckpointYieldsNothing)
{
	struct config_state f;
	char *raced =
		config_record_checkpoint(7, 9, "me", With("", "").c_str());

	config_state_init(&f);
	config_state_set_log_start(&f, 9);
	/* a change against nothing, from the log's start, is not the first */
	EXPECT_EQ(CONFIG_UNDECIDED, Fold(&f, 9, 0, With("", "")));
	EXPECT_EQ(CONFIG_UNCHANGED,
		  config_state_apply(&f, 10, raced, strlen(raced)));
	EXPECT_EQ(nullptr, f.current);
	EXPECT_TRUE(f.has_gap);
	free(raced);
	config_state_finish(&f);
}

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
