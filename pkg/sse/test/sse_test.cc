#include <gtest/gtest.h>

#include <cerrno>
#include <sstream>
#include <string>

extern "C" {
#include "sse.h"
}

/* A parser with its output. */
struct Parser {
	struct sse_parser state;
	struct h1_buf out = {};

	Parser()
	{
		sse_init(&state);
	}
	~Parser()
	{
		sse_finish(&state);
		h1_buf_finish(&out);
	}
	/* Returns the number of events, or the error. */
	int feed(const std::string &s)
	{
		uint64_t before = state.n_events;
		int r = sse_feed(&state, s.data(), s.size(), &out);

		return r < 0 ? r : (int)(state.n_events - before);
	}
	std::string text()
	{
		return std::string(h1_buf_data(&out), h1_buf_len(&out));
	}
};

TEST(Sse, ParsesEventsSplitAtAnyByte)
{
	std::string all = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n"
			  "id: 3\r\ndata: d\r\n\r\n";

	for (size_t step = 1; step <= all.size(); step++) {
		Parser p;

		for (size_t at = 0; at < all.size(); at += step)
			ASSERT_GE(p.feed(all.substr(at, step)), 0);
		EXPECT_EQ(p.text(), all);
		EXPECT_EQ(p.state.last_id, 3);
		EXPECT_EQ(p.state.n_events, 3u);
	}
}

TEST(Sse, PassesCommentsOnWithoutCountingThem)
{
	Parser p;

	EXPECT_EQ(p.feed(": k\n\n:\r\n\r\n"), 0);
	EXPECT_EQ(p.text(), ": k\n\n:\r\n\r\n");
	EXPECT_EQ(p.state.n_events, 0u);
	EXPECT_EQ(p.feed(": k\nid: 1\ndata: a\n\n: k\n\n"), 1);
	EXPECT_EQ(p.state.n_events, 1u);
	EXPECT_EQ(p.state.last_id, 1);
}

TEST(Sse, WithholdsAnIncompleteEvent)
{
	Parser p;

	EXPECT_EQ(p.feed("id: 1\ndata: a\n\nid: 2\nda"), 1);
	EXPECT_EQ(p.text(), "id: 1\ndata: a\n\n");
	sse_drop_partial(&p.state);
	EXPECT_EQ(p.feed("id: 2\ndata: b\n\n"), 1);
	EXPECT_EQ(p.text(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST(Sse, RejectsAnIdThatDoesNotIncrease)
{
	Parser p;

	EXPECT_EQ(p.feed("id: 1\ndata: a\n\n"), 1);
	EXPECT_EQ(p.feed("id: 2\ndata: a\n\n"), 1);
	EXPECT_EQ(p.feed("id: 2\ndata: a\n\n"), -EBADMSG);
}

/* Guards against sound events that are lost because a faulty one follows them in the
 * same piece of data. */
TEST(Sse, ReleasesTheEventsBeforeAFaultyOne)
{
	Parser p;

	EXPECT_EQ(p.feed("id: 1\ndata: a\n\nid: 0\ndata: b\n\n"), -EBADMSG);
	EXPECT_EQ(p.text(), "id: 1\ndata: a\n\n");
	EXPECT_EQ(p.state.n_events, 1u);
	EXPECT_EQ(p.state.last_id, 1);
}

/* Guards against a stream that is resumed after a wrong id, and lacks what lies between
 * the true id and the wrong one. */
TEST(Sse, TellsWhetherTheEventBeforeMayBeTheFaultyOne)
{
	static const struct {
		const char *ids;
		int error;
	} cases[] = {
		{"1 2 9 4", -EILSEQ}, /* 9 in place of 3 */
		{"1 2 4 4", -EILSEQ}, /* 4 in place of 3 */
		{"7 2", -EILSEQ},     /* 7 in place of 1 */
		{"2 2", -EILSEQ},     /* 2 in place of 1 */
		{"1 2 3 0", -EBADMSG}, {"1 2 3 3", -EBADMSG},
		{"1 2 3 1", -EBADMSG}, {"1 0", -EBADMSG},
		{"1 1", -EBADMSG},     {"0 1 0", -EBADMSG},
		{"10 20 15", -EILSEQ}, /* steps of 10 */
	};

	for (auto &c : cases) {
		std::istringstream ids(c.ids);
		std::string id;
		Parser p;
		int r = 0;

		while (r >= 0 && ids >> id)
			r = p.feed("id: " + id + "\ndata: a\n\n");
		EXPECT_EQ(r, c.error) << c.ids;
		EXPECT_FALSE(ids >> id) << c.ids;
	}
}

TEST(Sse, LimitsTheSizeOfAnIncompleteEvent)
{
	Parser p;
	std::string piece(65536, 'x');
	int r = 0;

	for (int i = 0; i < 20 && r == 0; i++)
		r = p.feed(piece);
	EXPECT_EQ(r, -EMSGSIZE);
}
