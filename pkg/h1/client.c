#include "h1.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 16384
#define ANSWER_HEAD_MAX_BYTES 65536
#define SWEEP_S 0.5
/* An idle connection is given up this long before its endpoint does. */
#define KEEP_ALIVE_MARGIN_S 0.7
/* After this long without an acknowledgement a connection is taken as dead. */
#define USER_TIMEOUT_MS 2000

static void link_free(struct h1_client_conn *k)
{
	struct h1_client *c = k->client;

	ev_io_stop(c->loop, &k->io);
	ev_timer_stop(c->loop, &k->timer);
	if (k->fd >= 0)
		close(k->fd);
	k->fd = -1;
	if (k->exchange)
		k->exchange->conn = NULL;
	k->exchange = NULL;
	if (k->in_handler) {
		k->free_pending = true;
		return;
	}
	h1_buf_finish(&k->in);
	h1_buf_finish(&k->out);
	h1_head_finish(&k->head);
	LIST_REMOVE(k, entry);
	c->conns_n--;
	free(k);
}

/* Ends the exchange of a link, whose connection is closed. */
static void fail(struct h1_client_conn *k, const char *reason)
{
	struct h1_exchange *x = k->exchange;
	enum h1_outcome end = H1_NOT_SENT;

	if (k->have_head && !k->skipping)
		end = H1_INCOMPLETE;
	else if (k->sent_bytes)
		end = H1_NO_RESPONSE;
	link_free(k);
	if (x)
		x->handlers->end(x->ctx, end, reason);
}

static void watch(struct h1_client_conn *k)
{
	int events = EV_READ;

	if (!k->connected || h1_buf_len(&k->out))
		events |= EV_WRITE;
	if (ev_is_active(&k->io) && (k->io.events & 3) == events)
		return;
	ev_io_stop(k->client->loop, &k->io);
	ev_io_set(&k->io, k->fd, events);
	ev_io_start(k->client->loop, &k->io);
}

/* The answer is whole: the link is idle, or closed if it cannot be kept. */
static void finished(struct h1_client_conn *k)
{
	struct h1_exchange *x = k->exchange;
	struct h1_client *c = k->client;
	double now = ev_now(c->loop);
	bool keep = !k->head.close && !h1_buf_len(&k->in) &&
		    !h1_buf_len(&k->out) && k->body.framing != H1_UNTIL_CLOSE;

	k->idle_until = now + c->idle_max_s;
	if (k->head.keep_alive_s &&
	    now + k->head.keep_alive_s - KEEP_ALIVE_MARGIN_S < k->idle_until)
		k->idle_until =
			now + k->head.keep_alive_s - KEEP_ALIVE_MARGIN_S;
	h1_head_finish(&k->head);
	k->have_head = false;
	k->exchange = NULL;
	x->conn = NULL;
	if (keep)
		watch(k);
	else
		link_free(k);
	x->handlers->end(x->ctx, H1_COMPLETE, "");
}

/*
 * Calls a handler with the link held in memory. Evaluates to false if the
 * handler gave the link up.
 */
static bool give_body(struct h1_client_conn *k, const struct h1_buf *b)
{
	bool alive;

	if (!h1_buf_len(b))
		return true;
	k->in_handler = true;
	k->exchange->handlers->body(k->exchange->ctx, h1_buf_data(b),
				    h1_buf_len(b));
	k->in_handler = false;
	alive = !k->free_pending;
	if (!alive)
		link_free(k);
	return alive;
}

static bool give_head(struct h1_client_conn *k)
{
	enum h1_verdict v;
	bool alive;

	k->in_handler = true;
	v = k->exchange->handlers->head(k->exchange->ctx, &k->head);
	k->in_handler = false;
	alive = !k->free_pending;
	k->skipping = v == H1_DISCARD;
	if (!alive)
		link_free(k);
	return alive;
}

/* Takes an answer's head off the input. Returns false if the link is done. */
static bool read_head(struct h1_client_conn *k)
{
	size_t n = h1_head_end(h1_buf_data(&k->in), h1_buf_len(&k->in));

	if (!n && h1_buf_len(&k->in) > ANSWER_HEAD_MAX_BYTES) {
		fail(k, "answer head too large");
		return false;
	}
	if (!n)
		return true;
	if (h1_parse_response(&k->head, h1_buf_data(&k->in), n) < 0) {
		fail(k, "answer head malformed");
		return false;
	}
	h1_buf_consume(&k->in, n);
	if (k->head.status < 200) {
		h1_head_finish(&k->head);
		return true;
	}
	if (k->exchange->no_body)
		k->head.framing = H1_NO_BODY;
	h1_body_init(&k->body, &k->head);
	k->have_head = true;
	return give_head(k);
}

/* Reads on in the answer's body. Returns false if the link is done. */
static bool read_body(struct h1_client_conn *k)
{
	struct h1_buf piece = {0};
	size_t used;
	bool alive = true;
	int r = h1_body_feed(&k->body, h1_buf_data(&k->in), h1_buf_len(&k->in),
			     &used, &piece);

	h1_buf_consume(&k->in, used);
	if (!k->skipping)
		alive = give_body(k, &piece);
	h1_buf_finish(&piece);
	if (!alive)
		return false;
	if (r < 0) {
		fail(k, "answer body malformed");
		return false;
	}
	if (!k->body.complete)
		return true;
	if (!k->skipping) {
		finished(k);
		return false;
	}
	h1_head_finish(&k->head);
	k->have_head = false;
	k->skipping = false;
	return true;
}

/*
 * Works through the input of a link that has an exchange: heads of interim and
 * of other answers first, then the body.
 */
static void process(struct h1_client_conn *k)
{
	size_t before;

	do {
		before = h1_buf_len(&k->in);
		if (!k->have_head && !read_head(k))
			return;
		if (k->have_head && !read_body(k))
			return;
	} while (h1_buf_len(&k->in) && h1_buf_len(&k->in) != before);
}

/* The endpoint closed, cleanly or not. */
static void ended(struct h1_client_conn *k, bool clean)
{
	if (!k->exchange)
		link_free(k);
	else if (clean && k->have_head && !k->skipping &&
		 k->body.framing == H1_UNTIL_CLOSE)
		finished(k);
	else
		fail(k, clean ? "endpoint closed" : "connection reset");
}

static void read_some(struct h1_client_conn *k)
{
	char p[READ_BYTES];
	ssize_t n = recv(k->fd, p, sizeof(p), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		ended(k, n == 0);
		return;
	}
	if (!k->exchange) {
		/* Nothing was asked: these bytes belong to no request. */
		link_free(k);
		return;
	}
	if (h1_buf_append(&k->in, p, (size_t)n) < 0) {
		fail(k, "out of memory");
		return;
	}
	process(k);
}

/* Writes what can be written. Returns false if the link is done. */
static bool flush(struct h1_client_conn *k)
{
	ssize_t n;

	while (h1_buf_len(&k->out)) {
		n = send(k->fd, h1_buf_data(&k->out), h1_buf_len(&k->out),
			 MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n <= 0) {
			fail(k, "connection reset while sending");
			return false;
		}
		k->sent_bytes += (uint64_t)n;
		h1_buf_consume(&k->out, (size_t)n);
	}
	watch(k);
	return true;
}

static bool connected(struct h1_client_conn *k)
{
	socklen_t size = sizeof(int);
	int error = 0;

	getsockopt(k->fd, SOL_SOCKET, SO_ERROR, &error, &size);
	if (error) {
		fail(k, strerror(error));
		return false;
	}
	k->connected = true;
	ev_timer_stop(k->client->loop, &k->timer);
	return true;
}

static void on_io(struct ev_loop *loop, ev_io *w, int events)
{
	struct h1_client_conn *k = w->data;

	if (events & EV_WRITE) {
		if (!k->connected && !connected(k))
			return;
		if (!flush(k))
			return;
	}
	if (events & EV_READ)
		read_some(k);
}

static void on_connect_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
	fail(w->data, "connect timed out");
}

/* Opens a connection. Returns NULL if no socket can be had. */
static struct h1_client_conn *link_open(struct h1_client *c,
					const struct sockaddr_in *addr)
{
	struct h1_client_conn *k = calloc(1, sizeof(*k));
	unsigned int user_timeout_ms = c->user_timeout_ms;
	int on = 1;

	if (!k)
		return NULL;
	k->client = c;
	k->addr = *addr;
	k->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (k->fd < 0) {
		free(k);
		return NULL;
	}
	setsockopt(k->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(k->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
		   sizeof(user_timeout_ms));
	ev_io_init(&k->io, on_io, k->fd, EV_WRITE);
	ev_timer_init(&k->timer, on_connect_timeout, c->connect_timeout_s, 0.);
	k->io.data = k->timer.data = k;
	if (connect(k->fd, (const struct sockaddr *)addr, sizeof(*addr)) < 0 &&
	    errno != EINPROGRESS) {
		close(k->fd);
		free(k);
		return NULL;
	}
	LIST_INSERT_HEAD(&c->conns, k, entry);
	c->conns_n++;
	c->connects++;
	ev_timer_start(c->loop, &k->timer);
	return k;
}

static bool same_addr(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

/* Returns the idle link that was used last, or NULL. */
static struct h1_client_conn *find_idle(struct h1_client *c,
					const struct sockaddr_in *addr)
{
	struct h1_client_conn *k, *best = NULL;

	LIST_FOREACH(k, &c->conns, entry)
	if (!k->exchange && !k->free_pending && same_addr(&k->addr, addr) &&
	    k->idle_until > ev_now(c->loop) &&
	    (!best || k->idle_until > best->idle_until))
		best = k;
	return best;
}

/* See h1.h. */
int h1_exchange_start(struct h1_client *c, struct h1_exchange *x,
		      const struct sockaddr_in *addr, const void *request,
		      size_t n, const struct h1_exchange_handlers *h, void *ctx)
{
	struct h1_client_conn *k = find_idle(c, addr);

	if (!k)
		k = link_open(c, addr);
	if (!k)
		return -ENOBUFS;
	if (h1_buf_append(&k->out, request, n) < 0) {
		link_free(k);
		return -ENOMEM;
	}
	x->handlers = h;
	x->ctx = ctx;
	x->conn = k;
	k->exchange = x;
	k->sent_bytes = 0;
	k->skipping = false;
	watch(k);
	if (k->connected)
		ev_feed_event(c->loop, &k->io, EV_WRITE);
	return 0;
}

/* See h1.h. */
void h1_exchange_cancel(struct h1_exchange *x)
{
	struct h1_client_conn *k = x->conn;

	if (k)
		link_free(k);
	x->conn = NULL;
}

/* See h1.h. */
bool h1_exchange_sent(const struct h1_exchange *x)
{
	return x->conn && x->conn->sent_bytes > 0;
}

static void on_sweep(struct ev_loop *loop, ev_timer *w, int events)
{
	struct h1_client *c = w->data;
	struct h1_client_conn *k, *next;

	for (k = LIST_FIRST(&c->conns); k; k = next) {
		next = LIST_NEXT(k, entry);
		if (!k->exchange && !k->free_pending &&
		    k->idle_until <= ev_now(loop))
			link_free(k);
	}
}

/* Starts without connections. Idle ones are kept for at most idle_max_s. */
void h1_client_init(struct h1_client *c, struct ev_loop *loop,
		    double connect_timeout_s, double idle_max_s)
{
	memset(c, 0, sizeof(*c));
	LIST_INIT(&c->conns);
	c->loop = loop;
	c->connect_timeout_s = connect_timeout_s;
	c->idle_max_s = idle_max_s;
	c->user_timeout_ms = USER_TIMEOUT_MS;
	ev_timer_init(&c->sweep, on_sweep, SWEEP_S, SWEEP_S);
	c->sweep.data = c;
	ev_timer_start(loop, &c->sweep);
}

/* Closes all connections; no handler is called. */
void h1_client_finish(struct h1_client *c)
{
	ev_timer_stop(c->loop, &c->sweep);
	while (!LIST_EMPTY(&c->conns))
		link_free(LIST_FIRST(&c->conns));
}

/* Reads "IP:PORT". Returns 0 or -EINVAL. */
int h1_parse_addr(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];
	char *end;
	unsigned long port;

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return -EINVAL;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	port = strtoul(colon + 1, &end, 10);
	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	if (*end || end == colon + 1 || port < 1 || port > 65535 ||
	    inet_pton(AF_INET, ip, &out->sin_addr) != 1)
		return -EINVAL;
	return 0;
}
