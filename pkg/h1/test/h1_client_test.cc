#include <gtest/gtest.h>

#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "loopback.h"

extern "C" {
#include "h1.h"
}

/* A client, and a listener on which the test is the server. */
struct Client {
	struct ev_loop *loop = ev_loop_new(0);
	struct h1_client client;
	int listener;
	std::vector<std::string> ids;
	std::string body;
	std::string discard_id;
	int outcome = -1; /* -1 until the exchange ends */
	std::string reason;
	struct h1_exchange x = {};

	static enum h1_verdict on_head(void *ctx, const struct h1_head *h)
	{
		Client *c = (Client *)ctx;
		const char *id = h1_get_field(h, "Id");

		c->ids.push_back(id ? id : "");
		c->first = h1_exchange_is_first(&c->x);
		if (c->close_after)
			h1_exchange_close_after(&c->x);
		return id && c->discard_id == id ? H1_DISCARD : H1_ACCEPT;
	}
	static void on_body(void *ctx, const void *p, size_t n)
	{
		((Client *)ctx)->body.append((const char *)p, n);
	}
	static void on_end(void *ctx, enum h1_outcome outcome,
			   const char *reason)
	{
		((Client *)ctx)->outcome = outcome;
		((Client *)ctx)->reason = reason;
	}
	bool first = false, close_after = false;
	struct h1_exchange_handlers handlers = {on_head, on_body, on_end};

	Client()
	{
		struct sockaddr_in a = loopback(0);

		h1_client_init(&client, loop, 0.2, 5);
		listener = socket(AF_INET, SOCK_STREAM, 0);
		bind(listener, (struct sockaddr *)&a, sizeof(a));
		listen(listener, 10);
	}
	~Client()
	{
		h1_client_finish(&client);
		ev_loop_destroy(loop);
		close(listener);
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
	void start(const std::string &request = "GET /\r\n")
	{
		struct sockaddr_in a = loopback(port_of(listener));

		outcome = -1;
		body.clear();
		ASSERT_EQ(h1_exchange_start(&client, &x, &a, request.data(),
					    request.size(), &handlers, this),
			  0);
		run_loop(0.02);
	}
	/* Accepts the connection and reads the request. */
	int accept_request()
	{
		int fd = accept(listener, NULL, NULL);
		char p[100];

		EXPECT_GT(recv(fd, p, sizeof(p), 0), 0);
		return fd;
	}
	void send_bytes(int fd, const std::string &s)
	{
		send(fd, s.data(), s.size(), MSG_NOSIGNAL);
		run_loop(0.02);
	}
};

TEST(Client, ReusesConnectionAfterCompleteResponse)
{
	Client c;

	c.start();
	int fd = c.accept_request();
	c.send_bytes(fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
	EXPECT_EQ(c.outcome, H1_COMPLETE);
	EXPECT_EQ(c.body, "ok");
	c.start();
	c.send_bytes(fd, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
	EXPECT_EQ(c.outcome, H1_COMPLETE);
	EXPECT_EQ(c.client.connects, 1u);
	close(fd);
}

TEST(Client, TellsWhetherAnEarlierRequestUsedTheConnection)
{
	Client c;

	c.start();
	int fd = c.accept_request();
	EXPECT_TRUE(h1_exchange_is_first(&c.x));
	c.send_bytes(fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	EXPECT_TRUE(c.first);
	EXPECT_FALSE(h1_exchange_is_first(&c.x)) << "not running";
	c.start();
	c.send_bytes(fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	EXPECT_FALSE(c.first);
	close(fd);
}

TEST(Client, ClosesTheConnectionIfItsUserAsksForIt)
{
	Client c;

	c.close_after = true;
	c.start();
	int fd = c.accept_request();
	c.send_bytes(fd, "HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\nno");
	EXPECT_EQ(c.outcome, H1_COMPLETE);
	EXPECT_EQ(c.body, "no");
	EXPECT_EQ(c.client.conns_n, 0u);
	close(fd);
}

TEST(Client, ClosesConnectionAfterUnexpectedBytes)
{
	Client c;

	c.start();
	int fd = c.accept_request();
	c.send_bytes(fd,
		     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok and more");
	EXPECT_EQ(c.outcome, H1_COMPLETE);
	EXPECT_EQ(c.body, "ok");
	EXPECT_EQ(c.client.conns_n, 0u);
	close(fd);
}

TEST(Client, DiscardsResponseToAnotherRequest)
{
	Client c;

	c.discard_id = "old";
	c.start();
	int fd = c.accept_request();
	c.send_bytes(
		fd,
		"HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold");
	EXPECT_EQ(c.outcome, -1);
	c.send_bytes(
		fd,
		"HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 3\r\n\r\nnew");
	EXPECT_EQ(c.outcome, H1_COMPLETE);
	EXPECT_EQ(c.body, "new");
	close(fd);
}

/*
 * Without Content-Length, a clean close completes the response. A reset, or a
 * close before Content-Length bytes, does not.
 */
TEST(Client, DistinguishesEndByCloseFromIncompleteResponse)
{
	struct linger reset = {1, 0};
	Client c;

	c.start();
	int fd = c.accept_request();
	c.send_bytes(fd, "HTTP/1.1 200 OK\r\n\r\nall");
	close(fd);
	c.run_loop(0.02);
	EXPECT_EQ(c.outcome, H1_COMPLETE);
	c.start();
	fd = c.accept_request();
	c.send_bytes(fd, "HTTP/1.1 200 OK\r\n\r\nhal");
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	c.run_loop(0.02);
	EXPECT_EQ(c.outcome, H1_INCOMPLETE);
	c.start();
	fd = c.accept_request();
	c.send_bytes(fd, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal");
	close(fd);
	c.run_loop(0.02);
	EXPECT_EQ(c.outcome, H1_INCOMPLETE);
}

/*
 * Guards against a part of a response that counts as all of it: the server ends it in
 * order, without a length, while it is still being sent the request.
 */
TEST(Client, AResponseThatEndsBeforeTheRequestIsNotComplete)
{
	/* More than the kernel takes, and less. */
	for (size_t request_bytes : {32u << 20, 1u << 20}) {
		int small = 4096;
		Client c;

		setsockopt(c.listener, SOL_SOCKET, SO_RCVBUF, &small,
			   sizeof(small));
		c.start(std::string(request_bytes, 'x'));
		int fd = c.accept_request();
		c.send_bytes(fd, "HTTP/1.1 200 OK\r\n\r\npart");
		shutdown(fd, SHUT_WR);
		c.run_loop(0.05);
		EXPECT_EQ(c.outcome, H1_INCOMPLETE) << request_bytes;
		EXPECT_EQ(c.body, "part");
		close(fd);
	}
}

/* Guards against the same where the reset has arrived when the end is read. */
TEST(Client, AResponseThatEndsAndIsResetIsNotComplete)
{
	struct linger reset = {1, 0};
	Client c;

	c.start();
	int fd = c.accept_request();
	c.send_bytes(fd, "HTTP/1.1 200 OK\r\n\r\npart");
	shutdown(fd, SHUT_WR);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	c.run_loop(0.02);
	EXPECT_EQ(c.outcome, H1_INCOMPLETE);
}

/* Guards against a sound answer that is lost: an early one with a length is whole. */
TEST(Client, AResponseWithALengthIsCompleteBeforeTheRequest)
{
	Client c;

	c.start(std::string(32 << 20, 'x'));
	int fd = c.accept_request();
	c.send_bytes(fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nall");
	EXPECT_EQ(c.outcome, H1_COMPLETE);
	close(fd);
}

TEST(Client, ReportsWhetherRequestBytesWereSent)
{
	Client c;

	c.start();
	int fd = c.accept_request();
	EXPECT_TRUE(h1_exchange_sent(&c.x));
	close(fd);
	c.run_loop(0.02);
	EXPECT_EQ(c.outcome, H1_NO_RESPONSE);
	close(c.listener);
	c.listener = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in a = loopback(1);
	ASSERT_EQ(h1_exchange_start(&c.client, &c.x, &a, "x", 1, &c.handlers,
				    &c),
		  0);
	c.run_loop(0.05);
	EXPECT_EQ(c.outcome, H1_NOT_SENT);
}

TEST(Client, CancelClosesConnection)
{
	Client c;
	char p[100];

	c.start();
	int fd = c.accept_request();
	h1_exchange_cancel(&c.x);
	EXPECT_EQ(recv(fd, p, sizeof(p), 0), 0);
	EXPECT_EQ(c.outcome, -1);
	close(fd);
}

TEST(Client, RejectsMalformedResponseHead)
{
	Client c;

	c.start();
	int fd = c.accept_request();
	c.send_bytes(fd, "\x01\x02garbage\r\n\r\n");
	EXPECT_EQ(c.outcome, H1_NO_RESPONSE);
	close(fd);
}
