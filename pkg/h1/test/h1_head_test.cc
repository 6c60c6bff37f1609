#include <gtest/gtest.h>

#include <cerrno>
#include <string>
#include <vector>

extern "C" {
#include "h1.h"
}

static int parse(const std::string &s, struct h1_head *h)
{
	return h1_parse_request(h, s.data(), s.size());
}

/* Returns the result for a request with these field lines. */
static int parse_result(const std::string &fields)
{
	struct h1_head h;
	int r = parse("POST /a HTTP/1.1\r\n" + fields + "\r\n", &h);

	if (r == 0)
		h1_head_finish(&h);
	return r;
}

TEST(ParseRequest, SetsLineFieldsAndFraming)
{
	struct h1_head h;

	ASSERT_EQ(parse("GET /a/b?c=d HTTP/1.1\r\nHost: x\r\nA:  b c \r\n"
			"Content-Length: 12\r\n\r\n",
			&h),
		  0);
	EXPECT_STREQ(h.method, "GET");
	EXPECT_STREQ(h.target, "/a/b?c=d");
	EXPECT_STREQ(h1_get_field(&h, "a"), "b c");
	EXPECT_EQ(h.framing, H1_CONTENT_LENGTH);
	EXPECT_EQ(h.length_bytes, 12u);
	EXPECT_FALSE(h.close);
	h1_head_finish(&h);
}

/*
 * Request smuggling: recipients that disagree on the end of a body take the rest
 * of it for another request (RFC 9112, sections 6.1 to 6.3).
 */
TEST(ParseRequest, RejectsAmbiguousFraming)
{
	EXPECT_EQ(parse_result("Host: x\r\n"), 0);
	EXPECT_EQ(parse_result("Host: x\r\nContent-Length: 1\r\n"
			       "Content-Length: 2\r\n"),
		  -EBADMSG);
	EXPECT_EQ(parse_result("Host: x\r\nContent-Length: 1\r\n"
			       "Content-Length: 1\r\n"),
		  -EBADMSG);
	EXPECT_EQ(parse_result("Host: x\r\nContent-Length: 1\r\n"
			       "Transfer-Encoding: chunked\r\n"),
		  -EBADMSG);
	EXPECT_EQ(parse_result("Host: x\r\nTransfer-Encoding: chunked\r\n"
			       "Transfer-Encoding: chunked\r\n"),
		  -EBADMSG);
	EXPECT_EQ(
		parse_result("Host: x\r\nTransfer-Encoding: gzip, chunked\r\n"),
		-ENOTSUP);
	EXPECT_EQ(parse_result("Host: x\r\nTransfer-Encoding: xchunked\r\n"),
		  -ENOTSUP);
	for (const char *length :
	     {"+1", "-1", "1 1", "0x1", "", "1,1", "9999999999999999"})
		EXPECT_EQ(parse_result(
				  std::string("Host: x\r\nContent-Length: ") +
				  length + "\r\n"),
			  -EBADMSG)
			<< length;
}

/* RFC 9112, sections 2.2, 3.2 and 5. */
TEST(ParseRequest, RejectsMalformedFieldLines)
{
	EXPECT_EQ(parse_result(""), -EBADMSG) << "no Host field";
	EXPECT_EQ(parse_result("Host: x\r\nHost: y\r\n"), -EBADMSG);
	EXPECT_EQ(parse_result("Host: x\r\nContent-Length : 1\r\n"), -EBADMSG);
	EXPECT_EQ(parse_result("Host: x\r\n Folded: 1\r\n"), -EBADMSG);
	EXPECT_EQ(parse_result("Host: x\r\nA: b\r\n\tfolded\r\n"), -EBADMSG);
	EXPECT_EQ(parse_result("Host: x\r\nno colon\r\n"), -EBADMSG);
	EXPECT_EQ(parse_result("Host: x\nA: b\r\n"), -EBADMSG)
		<< "bare line feed";
	EXPECT_EQ(parse_result("Host: x\rA: b\r\n"), -EBADMSG);
	EXPECT_EQ(parse_result(std::string("Host: x\r\nA: b\0c\r\n", 17)),
		  -EBADMSG);
	EXPECT_EQ(parse_result("Host: x\r\n: empty\r\n"), -EBADMSG);
}

TEST(ParseRequest, RejectsMalformedRequestLine)
{
	for (const char *line :
	     {"GET /a", "GET  /a HTTP/1.1", "GET /a HTTP/2.0",
	      "G@T /a HTTP/1.1", "GET a HTTP/1.1", "GET /a HTTP/1.1 ",
	      "GET /a b HTTP/1.1", "GET /\x80 HTTP/1.1"}) {
		struct h1_head h;

		EXPECT_EQ(parse(std::string(line) + "\r\nHost: x\r\n\r\n", &h),
			  -EBADMSG)
			<< line;
	}
}

/* Guards against the refusal of a form that every server accepts (RFC 9112,
 * section 3.2.2); its authority takes the place of Host. */
TEST(ParseRequest, AcceptsAbsoluteForm)
{
	struct {
		const char *target, *path, *host;
	} rows[] = {
		{"http://x.example/a?b", "/a?b", "x.example"},
		{"HTTPS://x.example:8080/a", "/a", "x.example:8080"},
		{"http://x.example", "/", "x.example"},
		{"http://x.example?b", "/?b", "x.example"},
		{"http://[::1]:80/", "/", "[::1]:80"},
	};

	for (auto &row : rows) {
		std::string s = std::string("GET ") + row.target +
				" HTTP/1.1\r\nHost: other\r\nA: b\r\n\r\n";
		struct h1_head h;

		ASSERT_EQ(parse(s, &h), 0) << row.target;
		EXPECT_STREQ(h.target, row.path);
		EXPECT_STREQ(h1_get_field(&h, "host"), row.host);
		EXPECT_STREQ(h1_get_field(&h, "a"), "b");
		EXPECT_EQ(h.n_fields, 2u);
		h1_head_finish(&h);
	}
}

/* Without Host, which is allowed in HTTP/1.0 only, the authority is added. */
TEST(ParseRequest, TakesHostFromAbsoluteForm)
{
	struct h1_head h;

	ASSERT_EQ(parse("GET http://x/a HTTP/1.0\r\nA: b\r\n\r\n", &h), 0);
	EXPECT_STREQ(h1_get_field(&h, "Host"), "x");
	h1_head_finish(&h);
	EXPECT_EQ(parse("GET http://x/a HTTP/1.1\r\nA: b\r\n\r\n", &h),
		  -EBADMSG);
}

TEST(ParseRequest, RejectsMalformedAbsoluteForm)
{
	for (const char *target :
	     {"http:/x/a", "http://", "http:///a", "http://u@x/a", "ftp://x/a",
	      "http", "http://x\\y/a", "http://?b"}) {
		std::string s = std::string("GET ") + target +
				" HTTP/1.1\r\nHost: x\r\n\r\n";
		struct h1_head h;

		EXPECT_EQ(parse(s, &h), -EBADMSG) << target;
	}
}

TEST(ParseRequest, RejectsTooManyFields)
{
	std::string s = "Host: x\r\n";

	for (int i = 0; i < H1_FIELDS_MAX; i++)
		s += "A: b\r\n";
	EXPECT_EQ(parse_result(s), -E2BIG);
}

TEST(ParseResponse, SetsFramingAndPersistence)
{
	struct {
		const char *text;
		enum h1_framing framing;
		bool close;
	} rows[] = {
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
		 H1_CONTENT_LENGTH, false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		 H1_CHUNKED, false},
		{"HTTP/1.1 200 OK\r\nConnection: keep-alive, Close\r\n\r\n",
		 H1_UNTIL_CLOSE, true},
		{"HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\n",
		 H1_CONTENT_LENGTH, true},
		{"HTTP/1.1 204 No\r\nContent-Length: 3\r\n\r\n", H1_NO_BODY,
		 false},
	};

	for (auto &row : rows) {
		struct h1_head h;

		ASSERT_EQ(h1_parse_response(&h, row.text, strlen(row.text)), 0);
		EXPECT_EQ(h.framing, row.framing) << row.text;
		EXPECT_EQ(h.close, row.close) << row.text;
		h1_head_finish(&h);
	}
}

TEST(ParseResponse, RejectsMalformedStatusLine)
{
	for (const char *line :
	     {"", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 20", "HTTP/1.1 2000 OK",
	      "HTTP/1.1  20 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -99 OK",
	      "HTTP/1.1 099 OK", "HTTP/1.1 000 OK", "HTTP/1.1 999 OK",
	      "HTTP/1.1 two OK", "HTTP/1.1x200 OK", "HTTP/1.1 600 OK",
	      "HTTP/2.0 200 OK"}) {
		std::string s = std::string(line) + "\r\n\r\n";
		struct h1_head h;

		EXPECT_EQ(h1_parse_response(&h, s.data(), s.size()), -EBADMSG)
			<< line;
	}
}

/* Decodes a chunked body that arrives in steps of at most step bytes. */
static std::string decode(const std::string &s, size_t step, int *error,
			  bool *complete)
{
	struct h1_head h = {};
	struct h1_body b;
	struct h1_buf out = {};
	std::string text;
	size_t at = 0, used;

	h.framing = H1_CHUNKED;
	h1_body_init(&b, &h);
	*error = 0;
	while (at < s.size() && !b.complete && !*error) {
		size_t n = std::min(step, s.size() - at);

		*error = h1_body_feed(&b, s.data() + at, n, &used, &out);
		at += used;
	}
	*complete = b.complete;
	text.assign(h1_buf_data(&out), h1_buf_len(&out));
	h1_buf_finish(&out);
	return text;
}

TEST(ChunkedBody, IsDecodedFromInputInStepsOfAnySize)
{
	std::string s =
		"5\r\nhello\r\nA;x=y\r\n, 10 bytes\r\n0\r\nT: v\r\n\r\n";

	for (size_t step = 1; step <= s.size(); step++) {
		int error;
		bool complete;

		EXPECT_EQ(decode(s, step, &error, &complete),
			  "hello, 10 bytes");
		EXPECT_EQ(error, 0);
		EXPECT_TRUE(complete);
	}
}

TEST(ChunkedBody, RejectsMalformedCoding)
{
	for (const char *s :
	     {"+5\r\nhello\r\n0\r\n\r\n", "0x5\r\nhello\r\n0\r\n\r\n",
	      "5 \r\nhello\r\n0\r\n\r\n", "5\nhello\r\n0\r\n\r\n",
	      "5\r\nhello!\r\n0\r\n\r\n", "\r\nhello\r\n0\r\n\r\n",
	      "123456789\r\nhello", "-1\r\n", "5\r\nhello\r\n0\r\n\n",
	      "5;a\nb\r\nhello\r\n0\r\n\r\n"}) {
		int error;
		bool complete;

		decode(s, 1000, &error, &complete);
		EXPECT_EQ(error, -EBADMSG) << s;
		EXPECT_FALSE(complete) << s;
	}
}

TEST(ParseAddr, AcceptsOnlyIpv4AddressAndPort)
{
	struct sockaddr_in a;

	EXPECT_EQ(h1_parse_addr("10.1.2.3:80", &a), 0);
	EXPECT_EQ(ntohs(a.sin_port), 80);
	for (const char *s :
	     {"", "10.1.2.3", "10.1.2.3:", "10.1.2.3:0", "10.1.2.3:65536",
	      "10.1.2:80", "x:80", "10.1.2.3:80x"})
		EXPECT_EQ(h1_parse_addr(s, &a), -EINVAL) << s;
}
