#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include "fetch.h"
}

/* A client, and a plain socket as its server, so that the test controls each byte. */
struct Fetch {
	struct ev_loop *loop = ev_loop_new(0);
	struct fetch fetch;
	struct fetch_call call = {};
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	bool done = false;
	int error = 0;
	uint32_t status = 0;
	std::string body;

	Fetch()
	{
		struct sockaddr_in a = {};
		int small = 4096;

		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &small,
			   sizeof(small));
		bind(listener, (struct sockaddr *)&a, sizeof(a));
		listen(listener, 10);
		fetch_init(&fetch, loop, 4);
	}
	~Fetch()
	{
		fetch_cancel(&call);
		fetch_finish(&fetch);
		ev_loop_destroy(loop);
		close(listener);
	}
	void run(double s)
	{
		ev_timer t;

		ev_timer_init(
			&t,
			[](struct ev_loop *l, ev_timer *, int) {
				ev_break(l, EVBREAK_ALL);
			},
			s, 0.);
		ev_timer_start(loop, &t);
		ev_run(loop, 0);
	}
	static void on_done(void *ctx, const struct fetch_result *r)
	{
		Fetch *f = (Fetch *)ctx;

		f->done = true;
		f->error = r->error;
		f->status = r->status;
		f->body = r->body;
	}
	/* Starts a call and accepts its connection. */
	int start(const std::string &upload)
	{
		struct sockaddr_in a;
		socklen_t n = sizeof(a);
		struct fetch_request q = {};
		std::string url;

		getsockname(listener, (struct sockaddr *)&a, &n);
		url = "http://127.0.0.1:" + std::to_string(ntohs(a.sin_port)) +
		      "/x";
		q.method = "POST";
		q.url = url.c_str();
		q.body = upload.data();
		q.body_n = upload.size();
		q.connect_ms = 1000;
		q.total_ms = 1500;
		q.max_body_bytes = 100000;
		q.fresh = true;
		q.on_done = on_done;
		q.ctx = this;
		done = false;
		EXPECT_EQ(fetch_start(&fetch, &call, &q), 0);
		run(0.05);
		return accept(listener, NULL, NULL);
	}
	void respond(int fd, const std::string &s)
	{
		send(fd, s.data(), s.size(), MSG_NOSIGNAL);
		run(0.05);
	}
};

static const std::string UPLOAD(16 << 20, 'x');

/* Guards against an answer with a status that does not exist, which callers get. */
TEST(Fetch, AnAnswerWithAnOddStatusIsAnError)
{
	for (const char *status :
	     {"000", "099", "600", "999", "20", "2000", "+20", "two"}) {
		Fetch f;
		char p[1000];
		int fd = f.start("{}");

		EXPECT_GT(recv(fd, p, sizeof(p), 0), 0);
		f.respond(fd, std::string("HTTP/1.1 ") + status +
				      " OK\r\nContent-Length: 2\r\n\r\n{}");
		close(fd);
		f.run(0.05);
		EXPECT_TRUE(f.done) << status;
		EXPECT_NE(f.error, 0) << status << " became " << f.status;
	}
}

/* Guards against a part of an answer that counts as all of it. */
TEST(Fetch, AnAnswerThatEndsDuringTheUploadIsAnError)
{
	for (bool reset : {false, true}) {
		struct linger linger = {1, 0};
		Fetch f;
		int fd = f.start(UPLOAD);

		f.respond(fd, "HTTP/1.1 200 OK\r\n\r\npart");
		shutdown(fd, SHUT_WR);
		f.run(0.1);
		if (reset) {
			setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger,
				   sizeof(linger));
			close(fd);
		}
		f.run(2);
		EXPECT_TRUE(f.done);
		EXPECT_NE(f.error, 0) << f.status << " " << f.body;
		if (!reset)
			close(fd);
	}
}

/* Guards against sound answers that count as errors. */
TEST(Fetch, AnAnswerIsWholeWithALengthOrAfterTheUpload)
{
	Fetch f;
	char p[1000];
	int fd = f.start("{}");

	EXPECT_GT(recv(fd, p, sizeof(p), 0), 0);
	f.respond(fd, "HTTP/1.1 200 OK\r\n\r\nall");
	close(fd);
	f.run(0.05);
	EXPECT_TRUE(f.done);
	EXPECT_EQ(f.error, 0);
	EXPECT_EQ(f.status, 200u);
	EXPECT_EQ(f.body, "all");
	fd = f.start("{}");
	EXPECT_GT(recv(fd, p, sizeof(p), 0), 0);
	f.respond(fd, "HTTP/1.1 503 X\r\nContent-Length: 4\r\n\r\nfull");
	EXPECT_EQ(f.error, 0);
	EXPECT_EQ(f.status, 503u);
	close(fd);
}
