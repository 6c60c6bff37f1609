#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "h1.h"
}

/* Guards against idle connections that hold the memory of their largest message. */
TEST(Buf, KeepsLittleMemoryOnceItIsEmpty)
{
	std::string large(1000000, 'x');
	struct h1_buf b = {};

	ASSERT_EQ(h1_buf_append(&b, large.data(), large.size()), 0);
	h1_buf_consume(&b, large.size() - 1);
	EXPECT_EQ(std::string(h1_buf_data(&b), h1_buf_len(&b)), "x");
	h1_buf_consume(&b, 2);
	EXPECT_EQ(h1_buf_len(&b), 0u);
	EXPECT_LE(b.capacity, 4096u);
	ASSERT_EQ(h1_buf_append(&b, "abc", 3), 0);
	EXPECT_EQ(std::string(h1_buf_data(&b), h1_buf_len(&b)), "abc");
	h1_buf_finish(&b);
}
