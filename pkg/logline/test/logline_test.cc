#include <gtest/gtest.h>

#include <algorithm>
#include <string>

extern "C" {
#include "logline.h"
}

TEST(Logline, WritesOneLinePerEvent)
{
	std::string out;

	logline_init("figbend", LOG_INFO);
	testing::internal::CaptureStderr();
	logline(LOG_NOTICE, "step-failed", "request=%s detail=\"%s\"", "a-1",
		"two\nlines\tand a tab");
	logline(LOG_DEBUG, "hidden", "x=1");
	out = testing::internal::GetCapturedStderr();
	EXPECT_EQ(std::count(out.begin(), out.end(), '\n'), 1);
	EXPECT_EQ(out.rfind("<5>figbend[", 0), 0u);
	EXPECT_NE(out.find("event=step-failed request=a-1 "
			   "detail=\"two?lines?and a tab\""),
		  std::string::npos);
}

TEST(Logline, TruncatesLongLines)
{
	std::string out;

	testing::internal::CaptureStderr();
	logline(LOG_NOTICE, "long", "text=%s", std::string(5000, 'x').c_str());
	out = testing::internal::GetCapturedStderr();
	EXPECT_LE(out.size(), 1024u);
	EXPECT_EQ(out.back(), '\n');
}

/*
 * Logging 5,000 lines takes less than a second, so they fall into at most two
 * seconds of the clock, each with 200 lines.
 */
TEST(Logline, LimitsTheRateOfAnEvent)
{
	uint64_t before = logline_dropped();
	std::string out;

	testing::internal::CaptureStderr();
	for (int i = 0; i < 5000; i++)
		logline(LOG_NOTICE, "often", "i=%d", i);
	out = testing::internal::GetCapturedStderr();
	EXPECT_GE(logline_dropped() - before, 4600u);
	EXPECT_LE(std::count(out.begin(), out.end(), '\n'), 400);
}
