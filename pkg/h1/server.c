#include "h1.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 1024
#define READ_BYTES 16384
/* Pipelined input buffered during a response; reading pauses over it. */
#define PIPELINED_MAX_BYTES 65536
/*
 * How long a connection whose sending side is shut down waits for the peer to
 * close. Closing at once with unread input makes the kernel send a reset, and
 * the peer can lose the response.
 */
#define LINGER_S 1.0
/* Time that a new connection has for its first request before
 * h1_server_close_idle() takes it for idle. */
#define FIRST_REQUEST_S 0.5
/* Limits how long a burst of connections delays other events. */
#define ACCEPTS_PER_EVENT 64
/* Pause after a connection could not be accepted for lack of resources. */
#define ACCEPT_PAUSE_S 0.1

struct reason_phrase {
	uint16_t status;
	const char *text;
};

static const struct reason_phrase reason_phrases[] = {
	{100, "Continue"},
	{200, "OK"},
	{400, "Bad Request"},
	{401, "Unauthorized"},
	{404, "Not Found"},
	{408, "Request Timeout"},
	{413, "Content Too Large"},
	{429, "Too Many Requests"},
	{431, "Request Header Fields Too Large"},
	{500, "Internal Server Error"},
	{501, "Not Implemented"},
	{502, "Bad Gateway"},
	{503, "Service Unavailable"},
	{504, "Gateway Timeout"},
};

const char *h1_reason_phrase(uint16_t status)
{
	size_t i;

	for (i = 0; i < sizeof(reason_phrases) / sizeof(reason_phrases[0]); i++)
		if (reason_phrases[i].status == status)
			return reason_phrases[i].text;
	return "Status";
}

static size_t request_bytes(const struct h1_conn *c)
{
	return h1_buf_len(&c->in) + h1_buf_len(&c->request.body);
}

/* Updates buffered_bytes of the connection and of the server. */
static void update_buffered_bytes(struct h1_conn *c)
{
	c->server->buffered_bytes += request_bytes(c) - c->buffered_bytes;
	c->buffered_bytes = request_bytes(c);
}

/* The same of unsent_bytes. */
static void update_unsent_bytes(struct h1_conn *c)
{
	c->server->unsent_bytes += c->out.capacity - c->unsent_bytes;
	c->unsent_bytes = c->out.capacity;
}

static void finish_request(struct h1_conn *c)
{
	h1_head_finish(&c->request.head);
	h1_buf_finish(&c->request.body);
	c->in_body = false;
}

static void conn_free(struct h1_conn *c)
{
	struct h1_server *s = c->server;

	ev_io_stop(s->loop, &c->reader);
	ev_io_stop(s->loop, &c->writer);
	ev_timer_stop(s->loop, &c->timer);
	close(c->fd);
	finish_request(c);
	h1_buf_finish(&c->in);
	h1_buf_finish(&c->out);
	update_buffered_bytes(c);
	update_unsent_bytes(c);
	TAILQ_REMOVE(&s->conns, c, entry);
	s->conns_n--;
	free(c);
}

/*
 * Frees a connection that has ended. The disconnected handler runs first if a
 * request waits for its response.
 */
static void conn_disconnected(struct h1_conn *c)
{
	if (c->state == H1_RESPONDING && !c->closing)
		c->server->handlers->disconnected(c->server->ctx, c);
	conn_free(c);
}

static void restart_timer(struct h1_conn *c, double after_s)
{
	ev_timer_stop(c->server->loop, &c->timer);
	ev_timer_set(&c->timer, after_s, 0.);
	ev_timer_start(c->server->loop, &c->timer);
}

/* The connection is idle, or received a part of a body, just now. */
static void restart_idle_timer(struct h1_conn *c)
{
	c->idle_since_s = ev_now(c->server->loop);
	restart_timer(c, c->server->limits->idle_timeout_ms / 1000.);
}

/*
 * Defers the free to the timer, since callers of the functions that send may
 * still use the connection.
 */
static void conn_free_later(struct h1_conn *c)
{
	c->broken = true;
	ev_io_stop(c->server->loop, &c->writer);
	restart_timer(c, 0.);
}

/* All output is sent: shuts down the sending side and waits for the peer. */
static void linger(struct h1_conn *c)
{
	c->lingering = true;
	ev_io_stop(c->server->loop, &c->writer);
	shutdown(c->fd, SHUT_WR);
	restart_timer(c, LINGER_S);
}

static void send_output(struct h1_conn *c)
{
	bool progress = false;
	ssize_t n;

	while (!c->broken && h1_buf_len(&c->out)) {
		n = send(c->fd, h1_buf_data(&c->out), h1_buf_len(&c->out),
			 MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN) {
			ev_io_start(c->server->loop, &c->writer);
			if (c->closing &&
			    (progress || !ev_is_active(&c->timer)))
				restart_idle_timer(c);
			return;
		}
		if (n <= 0) {
			conn_free_later(c);
			return;
		}
		progress = true;
		h1_buf_consume(&c->out, (size_t)n);
	}
	ev_io_stop(c->server->loop, &c->writer);
	if (c->closing && !c->lingering && !c->broken)
		linger(c);
}

/*
 * Sends as much of the output as the socket accepts. A closing connection starts
 * to linger when all is sent, and ends if its peer reads nothing for the idle
 * timeout.
 */
static void flush(struct h1_conn *c)
{
	send_output(c);
	update_unsent_bytes(c);
}

/* The response is complete or aborted: prepares for the next request. */
static void response_done(struct h1_conn *c)
{
	c->user_data = NULL;
	finish_request(c);
	update_buffered_bytes(c);
	c->closing = c->close_after;
	c->used = true;
	c->state = H1_READING;
	flush(c);
	if (c->closing || c->broken)
		return;
	restart_idle_timer(c);
	/* Pipelined input is processed from the loop, not by recursion. */
	ev_feed_event(c->server->loop, &c->reader, EV_CUSTOM);
}

static void write_head(struct h1_conn *c, uint16_t status, const char *fields)
{
	c->close_after = c->server->draining || c->close_after ||
			 c->request.head.close;
	h1_buf_printf(&c->out, "HTTP/1.1 %u %s\r\n%s%s", status,
		      h1_reason_phrase(status), fields ? fields : "",
		      c->close_after ? "Connection: close\r\n" : "");
}

/*
 * Returns false for the response to a HEAD request. There is no method if the
 * request was rejected before its head was parsed.
 */
static bool response_has_body(const struct h1_conn *c)
{
	return !h1_is_head_request(&c->request.head);
}

void h1_respond(struct h1_conn *c, uint16_t status, const char *fields,
		const void *body, size_t n)
{
	write_head(c, status, fields);
	if (response_has_body(c)) {
		h1_buf_printf(&c->out, "Content-Length: %zu\r\n\r\n", n);
		h1_buf_append(&c->out, body, n);
	} else {
		h1_buf_append(&c->out, "\r\n", 2);
	}
	response_done(c);
}

void h1_stream_start(struct h1_conn *c, uint16_t status, const char *fields)
{
	c->response_chunked = c->request.head.minor_version == 1;
	if (!c->response_chunked)
		c->close_after = true;
	write_head(c, status, fields);
	h1_buf_printf(&c->out, "%s\r\n",
		      c->response_chunked ? "Transfer-Encoding: chunked\r\n"
					  : "");
	flush(c);
}

void h1_stream_write(struct h1_conn *c, const void *p, size_t n)
{
	if (!n || !response_has_body(c))
		return;
	if (c->response_chunked)
		h1_buf_printf(&c->out, "%zx\r\n", n);
	h1_buf_append(&c->out, p, n);
	if (c->response_chunked)
		h1_buf_append(&c->out, "\r\n", 2);
	flush(c);
}

void h1_stream_end(struct h1_conn *c)
{
	if (c->response_chunked && response_has_body(c))
		h1_buf_append(&c->out, "0\r\n\r\n", 5);
	response_done(c);
}

void h1_stream_abort(struct h1_conn *c)
{
	struct linger reset = {.l_onoff = 1, .l_linger = 0};

	c->user_data = NULL;
	if (!c->response_chunked) {
		/* A normal close would mark the end of the content. */
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		c->closing = true;
		conn_free_later(c);
		return;
	}
	c->close_after = true;
	response_done(c);
}

/*
 * Responds to a request that is not accepted, and closes the connection. fields
 * is as in h1_respond().
 */
static void reject_with(struct h1_conn *c, uint16_t status, const char *fields,
			const char *reason)
{
	c->server->handlers->rejected(c->server->ctx, status, reason);
	c->close_after = true;
	h1_respond(c, status, fields, NULL, 0);
}

static void reject(struct h1_conn *c, uint16_t status, const char *reason)
{
	reject_with(c, status, status == 503 ? "Retry-After: 1\r\n" : NULL,
		    reason);
}

size_t h1_unsent_bytes(const struct h1_conn *c)
{
	return h1_buf_len(&c->out);
}

/*
 * Reads the head of a request from the input. Returns false if it is incomplete
 * or was rejected.
 */
static bool read_head(struct h1_conn *c)
{
	const struct h1_limits *l = c->server->limits;
	const char *expect;
	size_t n;
	int r;

	/* Empty lines before a request are ignored (RFC 9112, 2.2). */
	while (h1_buf_len(&c->in) >= 2 &&
	       memcmp(h1_buf_data(&c->in), "\r\n", 2) == 0)
		h1_buf_consume(&c->in, 2);
	n = h1_head_end(h1_buf_data(&c->in), h1_buf_len(&c->in));
	if (n > l->header_max_bytes ||
	    (!n && h1_buf_len(&c->in) > l->header_max_bytes)) {
		reject(c, 431, "request head too large");
		return false;
	}
	if (!n)
		return false;
	r = h1_parse_request(&c->request.head, h1_buf_data(&c->in), n);
	if (r < 0) {
		reject(c,
		       r == -ENOTSUP ? 501
		       : r == -E2BIG ? 431
				     : 400,
		       "request head malformed or not supported");
		return false;
	}
	h1_buf_consume(&c->in, n);
	c->head_started = false;
	h1_body_init(&c->body, &c->request.head);
	c->in_body = true;
	if (c->body.framing == H1_CONTENT_LENGTH &&
	    c->body.remaining_bytes > l->body_max_bytes) {
		reject(c, 413, "request body too large");
		return false;
	}
	/* Other expectations are ignored (RFC 9110, 10.1.1). */
	expect = h1_get_field(&c->request.head, "Expect");
	if (expect && strcasecmp(expect, "100-continue") == 0 &&
	    c->request.head.minor_version == 1 && !c->body.complete)
		h1_buf_printf(&c->out, "HTTP/1.1 100 Continue\r\n\r\n");
	return true;
}

/*
 * Decodes the body of a request from the input. Returns false if it is
 * incomplete or was rejected.
 */
static bool read_body(struct h1_conn *c)
{
	size_t used;
	int r;

	r = h1_body_feed(&c->body, h1_buf_data(&c->in), h1_buf_len(&c->in),
			 &used, &c->request.body);
	h1_buf_consume(&c->in, used);
	if (r < 0) {
		reject(c, 400, "request body malformed");
		return false;
	}
	if (h1_buf_len(&c->request.body) > c->server->limits->body_max_bytes) {
		reject(c, 413, "request body too large");
		return false;
	}
	return c->body.complete;
}

/*
 * Reads requests from the input, until one waits for its response. While a
 * request is incomplete, each input restarts the idle timeout of its body, but
 * the header timeout starts only at the first byte of a head.
 */
static void process_input(struct h1_conn *c)
{
	while (c->state == H1_READING && !c->closing && !c->broken) {
		if (!c->in_body && !read_head(c))
			break;
		if (!read_body(c))
			break;
		c->state = H1_RESPONDING;
		ev_timer_stop(c->server->loop, &c->timer);
		c->server->handlers->request(c->server->ctx, c);
	}
	if (c->closing || c->broken || c->state != H1_READING)
		return;
	flush(c);
	if (c->in_body)
		restart_idle_timer(c);
	else if (request_bytes(c) && !c->head_started)
		restart_timer(c, c->server->limits->header_timeout_ms / 1000.);
	c->head_started = !c->in_body && request_bytes(c);
}

/*
 * Receives into the input; a connection that is closing discards it. Returns the
 * number of bytes added to the input, or -EPIPE if the connection has ended.
 */
static ssize_t receive(struct h1_conn *c)
{
	char p[READ_BYTES];
	ssize_t n = recv(c->fd, p, sizeof(p), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return 0;
	if (n <= 0)
		return -EPIPE;
	if (c->closing)
		return 0;
	if (h1_buf_append(&c->in, p, (size_t)n) < 0)
		return -EPIPE;
	update_buffered_bytes(c);
	return n;
}

static void process_received(struct h1_conn *c)
{
	struct h1_server *s = c->server;

	if (c->state == H1_RESPONDING) {
		if (h1_buf_len(&c->in) > PIPELINED_MAX_BYTES)
			ev_io_stop(s->loop, &c->reader);
		return;
	}
	if (!ev_is_active(&c->reader) && !c->broken)
		ev_io_start(s->loop, &c->reader);
	process_input(c);
	update_buffered_bytes(c);
	if (s->buffered_bytes > s->buffered_max_bytes && !c->closing &&
	    c->state == H1_READING && request_bytes(c))
		reject(c, 503, "too many request bytes buffered");
}

/*
 * Ends a connection that was closed as idle, when its peer has closed it too or
 * has sent a request that crossed the close. Such a request is not read: the
 * kernel resets a connection that is closed with unread input, so the peer
 * learns at once that it was not served.
 */
static void end_closed_idle(struct h1_conn *c)
{
	int unread_bytes = 0;

	if (ioctl(c->fd, FIONREAD, &unread_bytes) == 0 && unread_bytes > 0)
		c->server->handlers->rejected(
			c->server->ctx, 0,
			"request crossed the close of an idle connection");
	conn_free(c);
}

static void on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct h1_conn *c = w->data;

	if (c->closed_idle)
		end_closed_idle(c);
	else if ((events & EV_READ) && receive(c) < 0)
		conn_disconnected(c);
	else
		process_received(c);
}

static void on_writable(struct ev_loop *loop, ev_io *w, int events)
{
	flush(w->data);
}

/*
 * Serves input that has arrived and was not read yet, as after a stall of the
 * process. Returns true if the connection has ended or waits for something else
 * now; its timer is not running before.
 */
static bool serve_waiting_input(struct h1_conn *c)
{
	ssize_t n = receive(c);

	if (n < 0) {
		conn_disconnected(c);
		return true;
	}
	if (n > 0)
		process_received(c);
	return c->state != H1_READING || ev_is_active(&c->timer);
}

static void close_idle(struct h1_conn *c)
{
	c->closing = true;
	c->closed_idle = !h1_buf_len(&c->out);
	flush(c);
}

/* Restarts the timer of an idle connection if the limit has risen meanwhile. */
static bool may_stay_idle(struct h1_conn *c)
{
	double left_s = c->idle_since_s +
			c->server->limits->idle_timeout_ms / 1000. -
			ev_now(c->server->loop);

	if (c->head_started || left_s <= 0)
		return false;
	restart_timer(c, left_s);
	return true;
}

/*
 * A timeout, the end of a closing or the deferred free of a broken connection.
 * Idle connections close without a response.
 */
static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct h1_conn *c = w->data;

	if (c->broken || c->closing)
		conn_disconnected(c);
	else if (serve_waiting_input(c) || may_stay_idle(c))
		return;
	else if (c->in_body || request_bytes(c))
		reject(c, 408, "request not received in time");
	else
		close_idle(c);
}

static void conn_new(struct h1_server *s, int fd)
{
	struct h1_conn *c = calloc(1, sizeof(*c));
	int on = 1;

	if (!c) {
		close(fd);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c->server = s;
	c->fd = fd;
	ev_io_init(&c->reader, on_readable, fd, EV_READ);
	ev_io_init(&c->writer, on_writable, fd, EV_WRITE);
	ev_timer_init(&c->timer, on_timer, 0., 0.);
	c->reader.data = c->writer.data = c->timer.data = c;
	TAILQ_INSERT_TAIL(&s->conns, c, entry);
	s->conns_n++;
	ev_io_start(s->loop, &c->reader);
	restart_idle_timer(c);
}

static void on_accept_pause_end(struct ev_loop *loop, ev_timer *w, int events)
{
	struct h1_server *s = w->data;

	ev_io_start(loop, &s->acceptor);
}

/* Without a pause, the loop would run again and again for what waits. */
static void pause_accepting(struct h1_server *s)
{
	s->handlers->rejected(s->ctx, 0, "no resources for a new connection");
	ev_io_stop(s->loop, &s->acceptor);
	ev_timer_set(&s->accept_pause, ACCEPT_PAUSE_S, 0.);
	ev_timer_start(s->loop, &s->accept_pause);
}

/*
 * Accepts a connection that waits. Returns false if there is none or it cannot
 * be accepted now.
 */
static bool accept_one(struct h1_server *s)
{
	int fd = accept4(s->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0 && (errno == EINTR || errno == ECONNABORTED))
		return true;
	if (fd < 0 && errno != EAGAIN)
		pause_accepting(s);
	if (fd < 0)
		return false;
	if (s->conns_n >= s->conns_max) {
		s->handlers->rejected(s->ctx, 0, "too many connections");
		close(fd);
	} else {
		conn_new(s, fd);
	}
	return true;
}

static void on_accept(struct ev_loop *loop, ev_io *w, int events)
{
	int i;

	for (i = 0; i < ACCEPTS_PER_EVENT; i++)
		if (!accept_one(w->data))
			return;
}

int h1_server_init(struct h1_server *s, struct ev_loop *loop,
		   const struct sockaddr_in *addr, const struct h1_limits *l,
		   const struct h1_server_handlers *h, void *ctx)
{
	int on = 1;

	memset(s, 0, sizeof(*s));
	TAILQ_INIT(&s->conns);
	s->loop = loop;
	s->limits = l;
	s->handlers = h;
	s->ctx = ctx;
	s->conns_max = UINT32_MAX;
	s->buffered_max_bytes = UINT64_MAX;
	s->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (s->fd < 0)
		return -errno;
	setsockopt(s->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(s->fd, (const struct sockaddr *)addr, sizeof(*addr)) < 0 ||
	    listen(s->fd, BACKLOG) < 0) {
		on = errno;
		close(s->fd);
		return -on;
	}
	ev_io_init(&s->acceptor, on_accept, s->fd, EV_READ);
	ev_timer_init(&s->accept_pause, on_accept_pause_end, 0., 0.);
	s->acceptor.data = s->accept_pause.data = s;
	ev_io_start(loop, &s->acceptor);
	return 0;
}

void h1_server_stop_listening(struct h1_server *s)
{
	if (s->fd < 0)
		return;
	ev_io_stop(s->loop, &s->acceptor);
	while (accept_one(s))
		;
	ev_timer_stop(s->loop, &s->accept_pause);
	close(s->fd);
	s->fd = -1;
}

void h1_server_finish(struct h1_server *s)
{
	h1_server_stop_listening(s);
	while (!TAILQ_EMPTY(&s->conns))
		conn_free(TAILQ_FIRST(&s->conns));
}

static bool is_idle(const struct h1_conn *c)
{
	if (c->state != H1_READING || c->closing || c->in_body ||
	    request_bytes(c))
		return false;
	return c->used ||
	       ev_now(c->server->loop) - c->idle_since_s >= FIRST_REQUEST_S;
}

void h1_server_close_idle(struct h1_server *s)
{
	struct h1_conn *c, *next;

	for (c = TAILQ_FIRST(&s->conns); c; c = next) {
		next = TAILQ_NEXT(c, entry);
		if (is_idle(c)) {
			ev_timer_stop(s->loop, &c->timer);
			if (!serve_waiting_input(c))
				close_idle(c);
		}
	}
}

void h1_server_reject_incomplete(struct h1_server *s, const char *fields)
{
	struct h1_conn *c;

	TAILQ_FOREACH(c, &s->conns, entry)
	{
		if (c->state == H1_READING && !c->closing && !c->broken &&
		    (c->in_body || request_bytes(c)))
			reject_with(c, 503, fields,
				    "request not complete when the host stops");
	}
}
