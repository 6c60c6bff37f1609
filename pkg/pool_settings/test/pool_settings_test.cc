#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "pool_settings.h"
}

/* Returns settings without errors but for the given secret. */
static std::string settings_with_secret(const std::string &secret)
{
	return R"({"host": "h1", "domain": "a", "callers_addr": "127.0.0.1:1",
		"ready_addr": "127.0.0.1:2", "metrics_addr": "127.0.0.1:3",
		"peer_addr": "127.0.0.1:4", "store_addr": "127.0.0.1:5",
		"memory_mb": 110, "descriptors": 4100, "stop_s": 8,
		"retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56,
		"limit_slack": 0, "secret": )" +
	       secret + "}";
}

struct Parsed {
	struct pool_settings s;
	struct jread_errors errors;
	int r;

	explicit Parsed(const std::string &text)
	{
		jread_errors_init(&errors);
		r = pool_settings_parse(&s, text.c_str(), text.size(), "f",
					&errors);
	}
	~Parsed()
	{
		jread_errors_free(&errors);
	}
};

TEST(PoolSettings, ReadsTheSecret)
{
	Parsed p(settings_with_secret("\"" + std::string(64, 'a') + "\""));

	EXPECT_EQ(p.r, 0);
	EXPECT_EQ(p.s.secret[0], 0xaa);
	EXPECT_EQ(p.s.secret[31], 0xaa);
}

/* Guards against a feature that is on although nobody asked for it. */
TEST(PoolSettings, OptionalFeaturesAreOffUnlessTheyAreSet)
{
	const std::string secret = "\"" + std::string(64, 'a') + "\"";
	Parsed none(settings_with_secret(secret));
	Parsed set(settings_with_secret(
		secret + R"(, "rollout_share": 0.1, "rollout_slack": 50,
		"rollout_stop_ms": 4000, "hedge_share": 0.05)"));
	Parsed wrong(settings_with_secret(
		secret + R"(, "rollout_share": 2, "hedge_share": 0.5)"));

	EXPECT_EQ(none.r, 0);
	EXPECT_EQ(none.s.rollout_share, 0);
	EXPECT_EQ(none.s.hedge_share, 0);
	EXPECT_EQ(set.r, 0);
	EXPECT_EQ(set.s.rollout_share, 0.1);
	EXPECT_EQ(set.s.rollout_slack, 50);
	EXPECT_EQ(set.s.rollout_stop_ms, 4000u);
	EXPECT_EQ(set.s.hedge_share, 0.05);
	EXPECT_EQ(wrong.errors.n, 2u);
}

TEST(PoolSettings, NeverShowsTheSecretInAnError)
{
	const std::string digits = "5ec7e75ec7e75ec7e75ec7e75ec7e75e";
	const std::string wrong[] = {
		"\"" + digits + "\"",			/* too short */
		"\"" + digits + digits + digits + "\"", /* too long */
		"\"" + digits + digits + "ff\"",
		"\"" + digits + digits.substr(1) + "z\"", /* not digits */
		"[\"" + digits + digits + "\"]",	  /* not a string */
	};

	for (const std::string &secret : wrong) {
		Parsed p(settings_with_secret(secret));

		EXPECT_EQ(p.r, -EINVAL) << secret;
		ASSERT_EQ(p.errors.n, 1u) << secret;
		EXPECT_STREQ(p.errors.message[0],
			     "f.secret: expected 64 hexadecimal digits");
	}
}

TEST(PoolSettings, ReportsAMissingSecretOnce)
{
	std::string text = settings_with_secret("0");
	size_t at = text.find(", \"secret\"");
	Parsed p(text.substr(0, at) + "}");

	EXPECT_EQ(p.r, -EINVAL);
	ASSERT_EQ(p.errors.n, 1u);
	EXPECT_STREQ(p.errors.message[0], "f: \"secret\" is missing");
}

/* A count with a fraction is a mistake, not a count that is rounded. */
TEST(PoolSettings, RejectsFractionsOfCounts)
{
	std::string text =
		settings_with_secret("\"" + std::string(64, 'a') + "\"");
	size_t at = text.find("\"descriptors\": 4100");
	Parsed p(text.replace(at, 19, "\"descriptors\": 4100.5"));

	EXPECT_EQ(p.r, -EINVAL);
	ASSERT_EQ(p.errors.n, 1u);
	EXPECT_NE(std::string(p.errors.message[0]).find("f.descriptors"),
		  std::string::npos);
}

/* Guards against a host that takes the users' bounds for longer than they are. */
TEST(PoolSettings, ReadsTheBoundsOfRecords)
{
	const std::string secret = "\"" + std::string(64, 'a') + "\"";
	Parsed none(settings_with_secret(secret));
	Parsed set(settings_with_secret(
		secret +
		R"(, "config_apply_ms": 4000, "drain_timeout_ms": 3000)"));

	EXPECT_EQ(none.s.config_apply_ms, 2000u);
	EXPECT_EQ(none.s.drain_timeout_ms, 2000u);
	EXPECT_EQ(set.r, 0);
	EXPECT_EQ(set.s.config_apply_ms, 4000u);
	EXPECT_EQ(set.s.drain_timeout_ms, 3000u);
}
