#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>
#include <string>

extern "C" {
#include "settings.h"
}

/* Returns man/figbend.conf.5. */
static std::string page()
{
	std::string path = __FILE__;
	std::stringstream text;

	path = path.substr(0, path.find("pkg/settings/test"));
	text << std::ifstream(path + "man/figbend.conf.5").rdbuf();
	return text.str();
}

/* Returns the text of a setting that the page has to contain. */
static std::string entry(const struct settings_entry &r)
{
	std::string s = std::string(".TP\n.B ") + r.key + "\n" + r.description;
	std::string n;

	if (r.type == SETTINGS_NUMBER) {
		n = "unit " + std::string(r.unit) + ", default " +
		    std::to_string(r.default_number) + ", from " +
		    std::to_string(r.min) + " to " + std::to_string(r.max);
	} else {
		n = r.type == SETTINGS_ADDR ? "an address, IP:PORT" : "text";
		if (!r.default_text)
			n += ", required";
		else if (r.default_text[0])
			n += ", default " + std::string(r.default_text);
		else
			n += ", default empty";
	}
	return s + "\n(" + n + ").\n";
}

TEST(ManPage, DescribesEverySettingAsTheTable)
{
	std::string text = page();

	ASSERT_NE(text.size(), 0u);
	for (uint32_t i = 0; i < settings_table_n; i++)
		EXPECT_NE(text.find(entry(settings_table[i])),
			  std::string::npos)
			<< "expected in man/figbend.conf.5:\n"
			<< entry(settings_table[i]);
}

TEST(ManPage, DescribesNoUnknownSetting)
{
	std::set<std::string> known;
	std::istringstream text(page());
	std::string line;

	for (uint32_t i = 0; i < settings_table_n; i++)
		known.insert(settings_table[i].key);
	while (std::getline(text, line)) {
		if (line.rfind(".B ", 0) == 0) {
			EXPECT_EQ(known.count(line.substr(3)), 1u) << line;
		}
	}
}
