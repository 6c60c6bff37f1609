#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <errno.h>
#include <functional>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "loopback.h"

extern "C" {
#include "h1.h"
}

/*
 * The server on the loopback interface. Plain sockets of the test are the other
 * side, so that the tests control each byte. The client: h1_client_test.cc.
 */

/*
 * A server that responds at once. If respond is false, it sets waiting to the
 * connection instead.
 */
struct Server {
	struct ev_loop *loop = ev_loop_new(0);
	struct h1_server server;
	struct h1_limits limits = {1024, 4096, 200, 400};
	std::vector<std::string> requests;
	std::vector<uint16_t> rejected;
	int disconnects = 0;
	bool respond = true;
	struct h1_conn *waiting = nullptr;

	static void on_request(void *ctx, struct h1_conn *c)
	{
		Server *s = (Server *)ctx;

		s->requests.push_back(
			std::string(c->request.head.method) + " " +
			c->request.head.target + " " +
			std::string(h1_buf_data(&c->request.body),
				    h1_buf_len(&c->request.body)));
		if (s->respond)
			h1_respond(c, 200, NULL, "ok", 2);
		else
			s->waiting = c;
	}
	static void on_disconnected(void *ctx, struct h1_conn *c)
	{
		((Server *)ctx)->disconnects++;
	}
	static void on_rejected(void *ctx, uint16_t status, const char *reason)
	{
		((Server *)ctx)->rejected.push_back(status);
	}
	struct h1_server_handlers handlers = {on_request, on_disconnected,
					      on_rejected};

	Server()
	{
		struct sockaddr_in a = loopback(0);

		EXPECT_EQ(h1_server_init(&server, loop, &a, &limits, &handlers,
					 this),
			  0);
	}
	~Server()
	{
		h1_server_finish(&server);
		ev_loop_destroy(loop);
	}
	int connect()
	{
		struct sockaddr_in a = loopback(port_of(server.fd));
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

		::connect(fd, (struct sockaddr *)&a, sizeof(a));
		run_loop(0.01);
		return fd;
	}
	void run_loop(double duration_s)
	{
		ev_timer t;

		ev_timer_init(
			&t,
			[](struct ev_loop *l, ev_timer *, int) {
				ev_break(l, EVBREAK_ALL);
			},
			duration_s, 0.);
		ev_timer_start(loop, &t);
		ev_run(loop, 0);
	}
	/* Sends bytes without running the loop. */
	static void send_bytes(int fd, const std::string &bytes)
	{
		EXPECT_EQ(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL),
			  (ssize_t)bytes.size());
	}
	/* Runs the loop and returns the bytes received. */
	std::string receive(int fd, double duration_s = 0.05)
	{
		char p[65536];

		run_loop(duration_s);
		ssize_t n = recv(fd, p, sizeof(p), 0);
		return n > 0 ? std::string(p, (size_t)n) : "";
	}
	std::string exchange(int fd, const std::string &bytes,
			     double duration_s = 0.05)
	{
		send_bytes(fd, bytes);
		return receive(fd, duration_s);
	}
};

TEST(Server, RespondsToPipelinedRequestsInOrder)
{
	Server s;
	int fd = s.connect();

	std::string got = s.exchange(
		fd, "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab"
		    "POST /2 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
		    "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
		    "GET /3 HTTP/1.1\r\nHost: x\r\n\r\n");
	EXPECT_EQ(s.requests, (std::vector<std::string>{
				      "POST /1 ab", "POST /2 abc", "GET /3 "}));
	EXPECT_EQ(got.find("Connection: close"), std::string::npos);
	close(fd);
}

/* The second request is hidden in what may be the body of the first. */
TEST(Server, RejectsAmbiguousFramingAndCloses)
{
	Server s;
	int fd = s.connect();

	std::string got = s.exchange(
		fd, "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
		    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		    "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n");
	EXPECT_EQ(got.substr(0, 12), "HTTP/1.1 400");
	EXPECT_NE(got.find("Connection: close"), std::string::npos);
	EXPECT_TRUE(s.requests.empty());
	EXPECT_EQ(recv(fd, &got[0], 1, 0), 0) << "the connection is closed";
	close(fd);
}

TEST(Server, RejectsRequestsOverSizeAndTimeLimits)
{
	Server s;
	int fd = s.connect();

	EXPECT_EQ(s.exchange(fd, "GET /" + std::string(2000, 'a')).substr(9, 3),
		  "431");
	close(fd);
	fd = s.connect();
	EXPECT_EQ(s.exchange(fd, "POST / HTTP/1.1\r\nHost: x\r\n"
				 "Content-Length: 5000\r\n\r\n")
			  .substr(9, 3),
		  "413");
	close(fd);
	fd = s.connect();
	EXPECT_EQ(s.exchange(fd, "GET / HT", 0.4).substr(9, 3), "408");
	close(fd);
	EXPECT_EQ(s.rejected, (std::vector<uint16_t>{431, 413, 408}));
}

/* Returns the status of the first response, "" if there is none. */
static std::string status_of(const std::string &responses)
{
	return responses.size() < 12 ? "" : responses.substr(9, 3);
}

/* Guards against a connection that closes without a word after the head. */
TEST(Server, AnswersAHeadWhoseBodyDoesNotCome)
{
	Server s;
	int fd = s.connect();

	EXPECT_EQ(status_of(s.exchange(fd,
				       "POST / HTTP/1.1\r\nHost: x\r\n"
				       "Content-Length: 5\r\n\r\n",
				       0.6)),
		  "408");
	EXPECT_EQ(s.rejected, (std::vector<uint16_t>{408}));
	close(fd);
}

/* Guards against a head that may take as long as a connection may be idle. */
TEST(Server, LimitsTheTimeOfAHeadAfterOneInTwoParts)
{
	Server s;
	int fd = s.connect();

	s.limits.idle_timeout_ms = 5000;
	s.exchange(fd, "GET /1 HT");
	std::string got =
		s.exchange(fd, "TP/1.1\r\nHost: x\r\n\r\nGET /2 HT", 0.4);
	EXPECT_NE(got.find("HTTP/1.1 200"), std::string::npos);
	EXPECT_NE(got.find("HTTP/1.1 408"), std::string::npos);
	close(fd);
}

static const char get[] = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";

/*
 * Guards against a request that gets no answer because its connection is closed
 * as idle after the process was stalled.
 */
TEST(Server, ServesInputThatWaitsWhenTheIdleTimeIsOver)
{
	Server s;
	int fd = s.connect();

	s.run_loop(0.3);
	s.send_bytes(fd, get);
	usleep(200000);
	s.run_loop(0);
	EXPECT_EQ(status_of(s.receive(fd)), "200");
	close(fd);
}

/* The same for the end of a request, which was answered with 408. */
TEST(Server, ServesInputThatWaitsWhenTheHeaderTimeIsOver)
{
	Server s;
	int fd = s.connect();

	s.exchange(fd, std::string(get, 10));
	s.send_bytes(fd, get + 10);
	usleep(300000);
	s.run_loop(0);
	EXPECT_EQ(status_of(s.receive(fd)), "200");
	close(fd);
}

/* The same when the server closes its idle connections. */
TEST(Server, ServesInputThatWaitsOnAConnectionToBeClosed)
{
	Server s;
	int fd = s.connect();

	s.exchange(fd, get);
	s.send_bytes(fd, get);
	h1_server_close_idle(&s.server);
	EXPECT_EQ(status_of(s.receive(fd)), "200");
	close(fd);
}

/*
 * Guards against a request that is read and thrown away on a connection that is
 * closed as idle: its caller learns at once that it was not read.
 */
TEST(Server, ResetsAConnectionWhoseRequestCrossesTheClose)
{
	Server s;
	int fd = s.connect(), error = 0;
	socklen_t n = sizeof(error);

	s.exchange(fd, get);
	h1_server_close_idle(&s.server);
	s.send_bytes(fd, get);
	EXPECT_EQ(s.receive(fd, 0.02), "");
	EXPECT_EQ(s.server.conns_n, 0u);
	EXPECT_EQ(s.requests.size(), 1u);
	EXPECT_EQ(s.rejected, (std::vector<uint16_t>{0})) << "it is reported";
	getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n);
	EXPECT_TRUE(error == EPIPE || error == ECONNRESET) << error;
	close(fd);
}

/* Guards against connections that the kernel has completed, and that nobody has
 * accepted when the server stops. */
TEST(Server, TakesTheConnectionsThatWaitWhenItStopsListening)
{
	struct sockaddr_in a;
	std::vector<int> fds;
	Server s;

	a = loopback(port_of(s.server.fd));
	for (int i = 0; i < 100; i++) {
		fds.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
		::connect(fds.back(), (struct sockaddr *)&a, sizeof(a));
		s.send_bytes(fds.back(), get);
	}
	h1_server_stop_listening(&s.server);
	s.run_loop(0.05);
	for (int fd : fds) {
		EXPECT_EQ(status_of(s.receive(fd, 0)), "200");
		close(fd);
	}
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	EXPECT_EQ(::connect(fd, (struct sockaddr *)&a, sizeof(a)), -1);
	close(fd);
}

/* Guards against a connection that is closed before its first request. */
TEST(Server, LeavesANewConnectionTimeForItsFirstRequest)
{
	Server s;
	int fd = s.connect(), idle;

	s.limits.idle_timeout_ms = 5000;
	idle = s.connect();
	h1_server_close_idle(&s.server);
	EXPECT_EQ(status_of(s.exchange(fd, get)), "200");
	EXPECT_EQ(s.server.conns_n, 2u);
	s.run_loop(0.6);
	h1_server_close_idle(&s.server);
	close(fd);
	close(idle);
	s.run_loop(0.02);
	EXPECT_EQ(s.server.conns_n, 0u);
}

/* Guards against callers that are still sending, and get no answer. */
TEST(Server, RejectsIncompleteRequestsBeforeItEnds)
{
	Server s;
	int head = s.connect(), body = s.connect(), idle = s.connect();

	s.send_bytes(head, "GET / HT");
	s.send_bytes(body, "POST / HTTP/1.1\r\nHost: x\r\n"
			   "Content-Length: 5\r\n\r\n");
	s.run_loop(0.02);
	h1_server_reject_incomplete(&s.server, "Retry-After: 0.5\r\n");
	EXPECT_EQ(status_of(s.receive(head)), "503");
	EXPECT_NE(s.receive(body).find("Retry-After: 0.5"), std::string::npos);
	EXPECT_EQ(status_of(s.exchange(idle, get)), "200");
	close(head);
	close(body);
	close(idle);
}

/*
 * Guards against a connection that is closed although its caller may use it
 * again by the limit that is in force now.
 */
TEST(Server, ARaisedIdleTimeHoldsForIdleConnections)
{
	Server s;
	int fd = s.connect();

	s.limits.idle_timeout_ms = 200;
	s.exchange(fd, get);
	s.limits.idle_timeout_ms = 600;
	s.run_loop(0.45);
	EXPECT_EQ(status_of(s.exchange(fd, get)), "200");
	char p;
	s.run_loop(0.7);
	EXPECT_EQ(recv(fd, &p, 1, 0), 0) << "the connection is closed";
	close(fd);
}

/* The same by the limit that was in force when the connection became idle. */
TEST(Server, ALoweredIdleTimeDoesNotHoldForIdleConnections)
{
	Server s;
	int fd = s.connect();

	s.limits.idle_timeout_ms = 600;
	s.exchange(fd, get);
	s.limits.idle_timeout_ms = 200;
	s.run_loop(0.45);
	EXPECT_EQ(status_of(s.exchange(fd, get)), "200");
	close(fd);
}

static const size_t LARGE_BYTES = 32 << 20; /* more than the sockets hold */

/* Guards against connections that stay for good because nobody reads them, and against
 * memory for responses that is not counted, or counted for ever. */
TEST(Server, FreesAConnectionWhosePeerDoesNotRead)
{
	std::string large(LARGE_BYTES, 'a');
	Server s;

	s.respond = false;
	s.limits.idle_timeout_ms = 200;
	for (const char *close_after : {"", "Connection: close\r\n"}) {
		int fd = s.connect();

		s.send_bytes(fd, std::string("GET /1 HTTP/1.1\r\nHost: x\r\n") +
					 close_after + "\r\n");
		s.run_loop(0.02);
		h1_respond(s.waiting, 200, NULL, large.data(), large.size());
		EXPECT_GT(s.server.unsent_bytes, (uint64_t)LARGE_BYTES / 2);
		s.run_loop(0.7);
		EXPECT_EQ(s.server.conns_n, 0u) << close_after;
		EXPECT_EQ(s.server.unsent_bytes, 0u) << close_after;
		close(fd);
	}
}

/* A peer that reads slowly gets the whole response. */
TEST(Server, KeepsAConnectionWhosePeerReadsSlowly)
{
	std::string large(LARGE_BYTES, 'a');
	std::vector<char> p(2 << 20);
	Server s;
	int fd = s.connect();
	size_t got = 0;

	s.respond = false;
	s.limits.idle_timeout_ms = 200;
	s.exchange(fd, get);
	h1_respond(s.waiting, 200, NULL, large.data(), large.size());
	for (int i = 0; i < 200 && got < large.size(); i++) {
		ssize_t n = recv(fd, p.data(), p.size(), 0);

		got += n > 0 ? (size_t)n : 0;
		s.run_loop(0.05);
	}
	EXPECT_GT(got, large.size());
	EXPECT_EQ(s.server.unsent_bytes, 0u);
	close(fd);
}

/* Guards against a server that accepts again and again without a descriptor. */
TEST(Server, WaitsWhenItHasNoDescriptors)
{
	struct rlimit limit, none;
	struct sockaddr_in a;
	Server s;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	a = loopback(port_of(s.server.fd));
	s.run_loop(0.01);
	getrlimit(RLIMIT_NOFILE, &limit);
	none = limit;
	none.rlim_cur = 0;
	setrlimit(RLIMIT_NOFILE, &none);
	::connect(fd, (struct sockaddr *)&a, sizeof(a));
	unsigned before = ev_iteration(s.loop);
	s.run_loop(0.3);
	EXPECT_LT(ev_iteration(s.loop) - before, 20u);
	EXPECT_FALSE(s.rejected.empty()) << "it is reported";
	setrlimit(RLIMIT_NOFILE, &limit);
	EXPECT_EQ(status_of(s.exchange(fd, get, 0.3)), "200");
	close(fd);
}

/* Guards against a 100 that the caller has not asked for (RFC 9110, 10.1.1). */
TEST(Server, ContinuesOnlyWhereItIsExpected)
{
	struct {
		const char *version, *expect, *response;
	} rows[] = {
		{"1.1", "100-Continue", "HTTP/1.1 100"},
		{"1.1", "other", ""},
		{"1.0", "100-continue", ""},
	};

	for (auto &row : rows) {
		Server s;
		int fd = s.connect();

		EXPECT_EQ(s.exchange(fd,
				     std::string("POST /1 HTTP/") +
					     row.version +
					     "\r\nHost: x\r\nExpect: " +
					     row.expect +
					     "\r\nContent-Length: 1\r\n\r\n")
				  .substr(0, 12),
			  row.response);
		close(fd);
	}
}

TEST(Server, ReportsDisconnectWhileRequestWaits)
{
	Server s;
	int fd = s.connect();

	s.respond = false;
	s.exchange(fd, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
	EXPECT_EQ(s.disconnects, 0);
	close(fd);
	s.run_loop(0.02);
	EXPECT_EQ(s.disconnects, 1);
	EXPECT_EQ(s.server.conns_n, 0u);
}

TEST(Server, AbortedStreamHasNoLastChunk)
{
	Server s;
	int fd = s.connect();

	s.respond = false;
	s.exchange(fd, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
	h1_stream_start(s.waiting, 200, NULL);
	h1_stream_write(s.waiting, "abc", 3);
	h1_stream_abort(s.waiting);
	s.run_loop(0.02);
	char p[1000];
	ssize_t n = recv(fd, p, sizeof(p), 0);
	std::string got(p, n > 0 ? (size_t)n : 0);
	EXPECT_NE(got.find("3\r\nabc\r\n"), std::string::npos);
	EXPECT_EQ(got.find("0\r\n\r\n"), std::string::npos);
	EXPECT_EQ(recv(fd, p, sizeof(p), 0), 0);
	close(fd);
}

TEST(Server, LimitsBufferedRequestBytes)
{
	Server s;
	std::vector<int> fds;
	int rejects = 0;

	s.limits.idle_timeout_ms = 60000;
	s.limits.body_max_bytes = 100000;
	s.server.buffered_max_bytes = 50000;
	for (int i = 0; i < 10; i++) {
		fds.push_back(s.connect());
		std::string got =
			s.exchange(fds.back(), "POST / HTTP/1.1\r\nHost: x\r\n"
					       "Content-Length: 90000\r\n\r\n" +
						       std::string(9000, 'a'));
		rejects += got.find(" 503 ") != std::string::npos;
		EXPECT_LE(s.server.buffered_bytes, 50000u);
	}
	EXPECT_EQ(rejects, 5);
	for (int fd : fds)
		close(fd);
	s.run_loop(0.02);
	EXPECT_EQ(s.server.buffered_bytes, 0u);
}
