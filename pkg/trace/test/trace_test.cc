#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "trace.h"
}

static void append_text(void *ctx, const struct trace_record *r)
{
	static_cast<std::vector<std::string> *>(ctx)->push_back(r->text);
}

TEST(Trace, FindsRecordsOfOneRequestInOrder)
{
	std::vector<std::string> got;
	struct trace t;

	ASSERT_EQ(trace_init(&t, 8), 0);
	trace_add(&t, 1, "a-1", 1, "arrived", "tokens=%d", 7);
	trace_add(&t, 2, "a-2", 1, "arrived", "other");
	trace_add(&t, 3, "a-1", 2, "failed", "%s",
		  std::string(500, 'x').c_str());
	EXPECT_EQ(trace_find(&t, "a-1", append_text, &got), 2u);
	EXPECT_EQ(got[0], "tokens=7");
	EXPECT_EQ(got[1].size(), TRACE_TEXT_BYTES - 1u);
	trace_finish(&t);
}

TEST(Trace, FullRingOverwritesOldest)
{
	std::vector<std::string> got;
	struct trace t;

	ASSERT_EQ(trace_init(&t, 4), 0);
	for (int i = 0; i < 11; i++)
		trace_add(&t, i, "a", 1, "step", "%d", i);
	EXPECT_EQ(trace_find(&t, "a", append_text, &got), 4u);
	EXPECT_EQ(got, (std::vector<std::string>{"7", "8", "9", "10"}));
	trace_finish(&t);
}
