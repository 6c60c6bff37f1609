#include <arpa/inet.h>
#include <errno.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapter.h"
#include "sse.h"

int LLVMFuzzerTestOneInput(const uint8_t *p, size_t n);

#define PIECES_MAX 8
#define LOOP_RUNS_MAX 100000

/* Bits of the first byte. */
#define NO_BODY 1      /* the request is a HEAD */
#define DISCARD 2      /* the first response belongs to another request */
#define EVENTS 4       /* the body is a stream of events */
#define CANCEL_HEAD 8  /* the exchange is canceled at the head */
#define CANCEL_BODY 16 /* or at the first part of the body */

/* What the caller of an exchange has seen of it. */
struct seen {
	struct h1_exchange exchange;
	uint8_t flags;
	uint32_t heads;
	uint32_t status;
	struct h1_buf body; /* or the events of it */
	struct sse_parser events;
	bool canceled;
	bool ended;
	enum h1_outcome outcome;
};

static void cancel(struct seen *s)
{
	h1_exchange_cancel(&s->exchange);
	s->canceled = true;
}

/* An endpoint's notices and header lines are read as by the gateway. */
static enum h1_verdict on_head(void *ctx, const struct h1_head *h)
{
	struct seen *s = ctx;
	struct call_response response;
	struct h1_buf fields = {0};

	if (s->canceled || s->ended)
		abort();
	adapter_read_response(h, &response);
	adapter_read_era(h);
	adapter_write_response_fields(h, &fields);
	h1_buf_finish(&fields);
	s->status = h->status;
	s->heads++;
	if (s->flags & CANCEL_HEAD)
		cancel(s);
	return s->flags & DISCARD && s->heads == 1 ? H1_DISCARD : H1_ACCEPT;
}

static void on_body(void *ctx, const void *p, size_t n)
{
	struct seen *s = ctx;
	struct h1_buf out = {0};
	int64_t last_id = s->events.last_id;
	int r = 0;

	if (s->canceled || s->ended || !n)
		abort();
	if (s->flags & EVENTS)
		r = sse_feed(&s->events, p, n, &out);
	else
		h1_buf_append(&out, p, n);
	if (s->events.last_id < last_id)
		abort();
	h1_buf_append(&s->body, h1_buf_data(&out), h1_buf_len(&out));
	h1_buf_finish(&out);
	if (r < 0 || s->flags & CANCEL_BODY)
		cancel(s);
}

static void on_end(void *ctx, enum h1_outcome outcome, const char *reason)
{
	struct seen *s = ctx;

	if (s->canceled || s->ended || s->exchange.conn || !reason)
		abort();
	s->ended = true;
	s->outcome = outcome;
}

static const struct h1_exchange_handlers handlers = {on_head, on_body, on_end};

/* Returns a listening socket and sets addr to its address. */
static int open_endpoint(struct sockaddr_in *addr)
{
	socklen_t size = sizeof(*addr);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	memset(addr, 0, sizeof(*addr));
	addr->sin_family = AF_INET;
	addr->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)addr, sizeof(*addr)) < 0 ||
	    listen(fd, 16) < 0 ||
	    getsockname(fd, (struct sockaddr *)addr, &size) < 0)
		abort();
	return fd;
}

/* Lets the endpoint write in pieces of at most step bytes, then close. */
static void serve(struct ev_loop *loop, int fd, const char *p, size_t n,
		  size_t step, struct seen *s)
{
	size_t done = 0, part;
	uint32_t i;

	while (done < n && !s->ended && !s->canceled) {
		part = n - done < step ? n - done : step;
		if (send(fd, p + done, part, MSG_NOSIGNAL) != (ssize_t)part)
			break;
		done += part;
		ev_run(loop, EVRUN_NOWAIT);
	}
	shutdown(fd, SHUT_WR);
	for (i = 0; !s->ended && !s->canceled; i++) {
		if (i == LOOP_RUNS_MAX)
			abort();
		ev_run(loop, EVRUN_NOWAIT);
	}
}

static void run_exchange(struct ev_loop *loop, uint8_t flags, const char *p,
			 size_t n, size_t step, struct seen *s)
{
	static const char request[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
	static struct sockaddr_in addr;
	static int listen_fd = -1;
	struct h1_client client;
	int fd;

	if (listen_fd < 0)
		listen_fd = open_endpoint(&addr);
	memset(s, 0, sizeof(*s));
	s->flags = flags;
	s->exchange.no_body = flags & NO_BODY;
	sse_init(&s->events);
	h1_client_init(&client, loop, 10., 10.);
	if (h1_exchange_start(&client, &s->exchange, &addr, request,
			      sizeof(request) - 1, &handlers, s) < 0)
		abort();
	fd = accept(listen_fd, NULL, NULL);
	if (fd < 0)
		abort();
	serve(loop, fd, p, n, step, s);
	h1_client_finish(&client);
	close(fd);
	sse_finish(&s->events);
}

/*
 * What an endpoint writes, and then closes, at once and in pieces: both must be
 * the same to the caller.
 */
int LLVMFuzzerTestOneInput(const uint8_t *p, size_t n)
{
	static struct ev_loop *loop;
	const char *text = (const char *)p + 2;
	struct seen whole, parts;
	size_t step;

	if (n < 2)
		return 0;
	if (!loop)
		loop = ev_loop_new(EVFLAG_AUTO);
	n -= 2;
	step = 1 + p[1];
	if (step * PIECES_MAX < n)
		step = n / PIECES_MAX + 1;
	run_exchange(loop, p[0], text, n, n ? n : 1, &whole);
	run_exchange(loop, p[0], text, n, step, &parts);
	if (whole.canceled != parts.canceled ||
	    whole.outcome != parts.outcome || whole.status != parts.status ||
	    whole.heads != parts.heads)
		abort();
	/* A part of the body is as long as what arrived with it. */
	if (!(p[0] & CANCEL_BODY) &&
	    (h1_buf_len(&whole.body) != h1_buf_len(&parts.body) ||
	     memcmp(h1_buf_data(&whole.body), h1_buf_data(&parts.body),
		    h1_buf_len(&whole.body)) != 0))
		abort();
	h1_buf_finish(&whole.body);
	h1_buf_finish(&parts.body);
	return 0;
}
