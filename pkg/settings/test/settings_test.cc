#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "settings.h"
}

namespace
{

/* Parses settings and returns all errors, one a line. */
std::string Errors(const std::string &text, struct settings *s)
{
	struct jread_errors errors;
	std::string all;

	jread_errors_init(&errors);
	settings_parse(s, text.data(), text.size(), "s", &errors);
	for (uint32_t i = 0; i < errors.n; i++)
		all += std::string(errors.message[i]) + "\n";
	jread_errors_free(&errors);
	return all;
}

const std::string kMinimal = R"({ /* minimal */
	"host": "h1", "domain": "d1", "caller_addr": "127.0.0.1:1",
	"admin_addr": "127.0.0.1:2", "peer_addr": "127.0.0.1:3",
	"platform_url": "http://127.0.0.1:4" })";

TEST(Settings, AppliesDefaults)
{
	struct settings s;

	EXPECT_EQ("", Errors(kMinimal, &s));
	EXPECT_EQ(1600u, s.first_token_ms);
	EXPECT_STREQ("h1", s.host);
}

TEST(Settings, ReportsAllErrorsWithNearestKnownKey)
{
	struct settings s;
	std::string errors = Errors(
		R"({"hosst": "h", "admin_addr": "nowhere", "heartbeat_ms": 1})",
		&s);

	EXPECT_NE(std::string::npos,
		  errors.find("nearest known one is \"host\""));
	EXPECT_NE(std::string::npos, errors.find("\"domain\" is missing"));
	EXPECT_NE(std::string::npos, errors.find("s.admin_addr"));
	EXPECT_NE(std::string::npos, errors.find("from 50 to 10000"));
}

} // namespace
