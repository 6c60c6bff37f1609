#include <gtest/gtest.h>

extern "C" {
#include "fetch.h"
#include "httpd.h"
}

#include <arpa/inet.h>
#include <cstdlib>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

/* Server and client on one loop, in one process. */
class Http : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct httpd_limits limits = {};
		const char *ip = getenv("FIGBEND_TEST_IP");

		limits.connections = 4;
		limits.body_bytes = 1000;
		limits.connection_bytes = 8192;
		limits.idle_s = 1;
		loop = ev_loop_new(0);
		ASSERT_EQ(0, fetch_init(&fetch, loop, 8));
		for (port = 24000; port < 24100; port++) {
			addr = std::string(ip ? ip : "127.0.0.1") + ":" +
			       std::to_string(port);
			if (httpd_init(&httpd, loop, addr.c_str(), &limits,
				       NULL, Handle, this) == 0)
				return;
		}
		FAIL() << "no port is free";
	}

	void TearDown() override
	{
		fetch_cancel(&call);
		httpd_finish(&httpd);
		fetch_finish(&fetch);
		ev_loop_destroy(loop);
	}

	static void Handle(void *ctx, struct httpd_call *c)
	{
		Http *t = static_cast<Http *>(ctx);
		std::string path = httpd_path(c);
		const char *body;
		size_t n;

		t->connection = httpd_connection(c);
		if (path == "/abort") {
			httpd_stream_abort(c);
		} else if (path == "/silent") {
			httpd_on_gone(c, Gone, t);
		} else {
			body = httpd_body(c, &n);
			httpd_answer(c, 200, "text/plain", NULL, body, n);
		}
	}

	static void Gone(void *ctx, struct httpd_call *c)
	{
		Http *t = static_cast<Http *>(ctx);

		t->gone++;
		httpd_stream_abort(c);
		ev_break(t->loop, EVBREAK_ALL);
	}

	static void Done(void *ctx, const struct fetch_result *r)
	{
		Http *t = static_cast<Http *>(ctx);

		t->result = *r;
		t->body = std::string(r->body, r->body_n);
		ev_break(t->loop, EVBREAK_ALL);
	}

	void Post(const char *path, const std::string &ask, bool fresh = false,
		  uint32_t silence_ms = 0)
	{
		std::string url = "http://" + addr + path;
		struct fetch_request q = {};

		q.method = "POST";
		q.url = url.c_str();
		q.body = ask.c_str();
		q.body_n = ask.size();
		q.connect_ms = 1000;
		q.silence_ms = silence_ms;
		q.fresh = fresh;
		q.on_done = Done;
		q.ctx = this;
		ASSERT_EQ(0, fetch_start(&fetch, &call, &q));
		ev_run(loop, 0);
	}

	/* Opens a plain connection and sends some bytes on it. */
	int Raw(const char *bytes)
	{
		struct sockaddr_in sin = {};
		std::string ip = addr.substr(0, addr.find(':'));
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		sin.sin_family = AF_INET;
		sin.sin_port = htons((uint16_t)port);
		inet_pton(AF_INET, ip.c_str(), &sin.sin_addr);
		EXPECT_EQ(0, connect(fd, (struct sockaddr *)&sin, sizeof(sin)));
		EXPECT_LT(0, send(fd, bytes, strlen(bytes), MSG_NOSIGNAL));
		return fd;
	}

	struct ev_loop *loop = nullptr;
	struct fetch fetch = {};
	struct httpd httpd = {};
	struct fetch_call call = {};
	struct fetch_result result = {};
	std::string addr;
	std::string body;
	uint64_t connection = 0;
	int port = 0;
	int gone = 0;
};

TEST_F(Http, AnswersOnOneConnectionUnlessAFreshOneIsWanted)
{
	Post("/echo", "hello");
	EXPECT_EQ(200u, result.status);
	EXPECT_EQ("hello", body);
	Post("/echo", "again");
	EXPECT_EQ(1u, connection);
	Post("/echo", "again", true);
	EXPECT_EQ(2u, connection);
}

TEST_F(Http, ABodyOverTheLimitIsRefused)
{
	Post("/echo", std::string(1001, 'x'));
	EXPECT_EQ(413u, result.status);
	EXPECT_EQ(1u, httpd.too_large);
}

TEST_F(Http, AnAbortedCallIsCutAtOnce)
{
	Post("/abort", "x", false, 20000);
	EXPECT_EQ(-ECONNRESET, result.error);
	EXPECT_TRUE(result.sent);
}

TEST_F(Http, SilenceIsNoticedAndTheServerHearsOfTheHangUp)
{
	Post("/silent", "x", false, 100);
	EXPECT_EQ(-ETIMEDOUT, result.error);
	EXPECT_TRUE(result.sent);
	ev_run(loop, 0);
	EXPECT_EQ(1, gone);
}

TEST_F(Http, NothingWasSentWhereNobodyListens)
{
	httpd_finish(&httpd);
	Post("/echo", "x");
	EXPECT_EQ(-ECONNREFUSED, result.error);
	EXPECT_FALSE(result.sent);
}

/* A caller that sends a byte now and then is cut all the same. */
TEST_F(Http, ACallThatDoesNotComeWholeInTimeIsCut)
{
	int fd = Raw("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n");
	char byte;

	while (recv(fd, &byte, 1, MSG_DONTWAIT) < 0 && errno == EAGAIN) {
		send(fd, "A", 1, MSG_NOSIGNAL);
		usleep(20000);
		ev_run(loop, EVRUN_NOWAIT);
	}
	EXPECT_EQ(1u, httpd.too_slow);
	close(fd);
}

TEST_F(Http, HeadsThatCanBeReadInTwoWaysAreRefused)
{
	const std::string smuggled = "GET /echo HTTP/1.1\r\nHost: x\r\n\r\n";
	const std::string length =
		"Content-Length: " + std::to_string(smuggled.size()) + "\r\n";
	const std::string bad[] = {
		"Host: x\r\nContent-Length: 0\r\n" + length,
		"Host: x\r\n" + length + "Content-Length: 0\r\n",
		"Host: x\r\n" + length + "Transfer-Encoding: chunked\r\n",
		"Host: x\r\nTransfer-Encoding: gzip\r\n",
		"Host: x\r\nTransfer-Encoding: chunked, gzip\r\n",
		"Host: x\r\nHost: y\r\n" + length,
		length,
	};

	for (const std::string &b : bad) {
		std::string answer;
		char buf[512];
		int fd = Raw(("POST /echo HTTP/1.1\r\n" + b + "\r\n" + smuggled)
				     .c_str());
		ssize_t n = -1;

		for (int i = 0; i < 200 && n != 0; i++) {
			ev_run(loop, EVRUN_NOWAIT);
			n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
			if (n > 0)
				answer.append(buf, (size_t)n);
			else if (n < 0 && errno == ECONNRESET)
				n = 0;
			else if (n < 0)
				usleep(1000);
		}
		EXPECT_EQ(0, n) << "not closed: " << b;
		EXPECT_EQ(0u, answer.find("HTTP/1.1 400")) << b << answer;
		EXPECT_EQ(std::string::npos, answer.find("HTTP/1.1 ", 1)) << b;
		close(fd);
	}
	EXPECT_EQ(0u, httpd.calls);
}

TEST_F(Http, MalformedCallsNeverReachTheHandler)
{
	const char *const bad[] = {"\r\n\r\n\x01\x02 garbage\r\n\r\n",
				   "POST /echo HTTP/9.9\r\n\r\n",
				   "POST /echo HTTP/1.1\r\nContent-Length: "
				   "-5\r\n\r\n"};

	for (const char *b : bad)
		close(Raw(b));
	Post("/echo", "still here");
	EXPECT_EQ("still here", body);
	EXPECT_EQ(1u, httpd.calls);
}

} // namespace
