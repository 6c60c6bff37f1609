#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "settings.h"
}

namespace
{

std::string Faults(const std::string &text, struct settings *s)
{
	struct jread_errors faults;
	std::string all;

	jread_errors_init(&faults);
	settings_parse(s, text.data(), text.size(), "s", &faults);
	for (uint32_t i = 0; i < faults.n; i++)
		all += std::string(faults.message[i]) + "\n";
	jread_errors_free(&faults);
	return all;
}

const std::string kGood = R"({ /* minimal */
	"host": "h1", "domain": "d1", "caller_addr": "127.0.0.1:1",
	"admin_addr": "127.0.0.1:2", "peer_addr": "127.0.0.1:3",
	"platform_url": "http://127.0.0.1:4" })";

TEST(Settings, TakesDefaults)
{
	struct settings s;

	EXPECT_EQ("", Faults(kGood, &s));
	EXPECT_EQ(1600u, s.first_token_ms);
	EXPECT_STREQ("h1", s.host);
}

TEST(Settings, NamesTheNearestKnownKey)
{
	struct settings s;
	std::string f = Faults(
		R"({"hosst": "h", "admin_addr": "nowhere", "heartbeat_ms": 1})",
		&s);

	EXPECT_NE(std::string::npos, f.find("nearest known one is \"host\""));
	EXPECT_NE(std::string::npos, f.find("\"domain\" is missing"));
	EXPECT_NE(std::string::npos, f.find("s.admin_addr"));
	EXPECT_NE(std::string::npos, f.find("from 50 to 10000"));
}

} // namespace
