#include <gtest/gtest.h>

#include <cerrno>
#include <string>

extern "C" {
#include "sse.h"
}

struct Stream {
	struct sse_parser e;
	struct h1_buf out = {};

	Stream()
	{
		sse_init(&e);
	}
	~Stream()
	{
		sse_finish(&e);
		h1_buf_finish(&out);
	}
	int feed(const std::string &s)
	{
		return sse_feed(&e, s.data(), s.size(), &out);
	}
	std::string text()
	{
		return std::string(h1_buf_data(&out), h1_buf_len(&out));
	}
};

TEST(Events, AreHandedOnWholeHoweverTheyAreCut)
{
	std::string all = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n"
			  "id: 3\r\ndata: d\r\n\r\n";

	for (size_t step = 1; step <= all.size(); step++) {
		Stream s;

		for (size_t at = 0; at < all.size(); at += step)
			ASSERT_GE(s.feed(all.substr(at, step)), 0);
		EXPECT_EQ(s.text(), all);
		EXPECT_EQ(s.e.last_id, 3);
		EXPECT_EQ(s.e.n_events, 3u);
	}
}

TEST(Events, ThatAreCutInTheMiddleAreKeptBack)
{
	Stream s;

	EXPECT_EQ(s.feed("id: 1\ndata: a\n\nid: 2\nda"), 1);
	EXPECT_EQ(s.text(), "id: 1\ndata: a\n\n");
	sse_drop_partial(&s.e);
	EXPECT_EQ(s.feed("id: 2\ndata: b\n\n"), 1);
	EXPECT_EQ(s.text(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST(Events, WhoseIdsDoNotGrowAreRefused)
{
	Stream s;

	EXPECT_EQ(s.feed("id: 2\ndata: a\n\n"), 1);
	EXPECT_EQ(s.feed("id: 2\ndata: a\n\n"), -EBADMSG);
}

TEST(Events, WithoutAnEndAreBounded)
{
	Stream s;
	std::string piece(65536, 'x');
	int r = 0;

	for (int i = 0; i < 20 && r == 0; i++)
		r = s.feed(piece);
	EXPECT_EQ(r, -EMSGSIZE);
}
