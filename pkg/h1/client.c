#include "h1.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 16384
#define RESPONSE_HEAD_MAX_BYTES 65536
/* Interim responses and discarded ones before the response of an exchange. A
 * late copy of a response is discarded, so that this holds a few of them. */
#define UNRELATED_MAX_BYTES 131072
#define SWEEP_INTERVAL_S 0.5
/*
 * An idle connection is given up this long before the Keep-Alive timeout of the
 * server, so that no request is sent while the server closes the connection.
 */
#define KEEP_ALIVE_MARGIN_S 0.7
/* Default of user_timeout_ms. */
#define USER_TIMEOUT_MS 2000

/*
 * Closes a connection and frees it; if one of its handlers is running, the
 * memory is freed after the handler returns. An exchange on it stops running
 * without a call of its handlers.
 */
static void conn_free(struct h1_client_conn *c)
{
	struct h1_client *client = c->client;

	ev_io_stop(client->loop, &c->io);
	ev_timer_stop(client->loop, &c->timer);
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
	if (c->exchange)
		c->exchange->conn = NULL;
	c->exchange = NULL;
	if (c->in_handler) {
		c->free_pending = true;
		return;
	}
	h1_buf_finish(&c->in);
	h1_buf_finish(&c->out);
	h1_head_finish(&c->head);
	LIST_REMOVE(c, entry);
	client->conns_n--;
	free(c);
}

/* Frees a connection and ends its exchange, if any, with an error. */
static void conn_fail(struct h1_client_conn *c, const char *reason)
{
	struct h1_exchange *x = c->exchange;
	enum h1_outcome outcome = H1_NOT_SENT;

	if (c->have_head && !c->discarding)
		outcome = H1_INCOMPLETE;
	else if (c->sent_bytes)
		outcome = H1_NO_RESPONSE;
	conn_free(c);
	if (x)
		x->handlers->end(x->ctx, outcome, reason);
}

/* Watches for input, and for output or the end of a connection attempt. */
static void update_events(struct h1_client_conn *c)
{
	int events = EV_READ;

	if (!c->connected || h1_buf_len(&c->out))
		events |= EV_WRITE;
	/* The higher bits of io.events are private to libev. */
	if (ev_is_active(&c->io) && (c->io.events & 3) == events)
		return;
	ev_io_stop(c->client->loop, &c->io);
	ev_io_set(&c->io, c->fd, events);
	ev_io_start(c->client->loop, &c->io);
}

/*
 * The response is complete: the connection becomes idle, or closes if it is not
 * persistent or if unexpected input follows. Ends the exchange.
 */
static void exchange_complete(struct h1_client_conn *c)
{
	struct h1_exchange *x = c->exchange;
	struct h1_client *client = c->client;
	double now = ev_now(client->loop);
	bool keep = !c->head.close && !h1_buf_len(&c->in) &&
		    !h1_buf_len(&c->out) && c->body.framing != H1_UNTIL_CLOSE;

	c->idle_until_s = now + client->idle_max_s;
	if (c->head.keep_alive_s &&
	    now + c->head.keep_alive_s - KEEP_ALIVE_MARGIN_S < c->idle_until_s)
		c->idle_until_s =
			now + c->head.keep_alive_s - KEEP_ALIVE_MARGIN_S;
	h1_head_finish(&c->head);
	c->have_head = false;
	c->exchange = NULL;
	x->conn = NULL;
	if (keep)
		update_events(c);
	else
		conn_free(c);
	x->handlers->end(x->ctx, H1_COMPLETE, "");
}

/*
 * Passes content to the body handler. Returns false if the handler canceled the
 * exchange; the connection is then freed.
 */
static bool deliver_body(struct h1_client_conn *c, const struct h1_buf *b)
{
	bool alive;

	if (!h1_buf_len(b))
		return true;
	c->in_handler = true;
	c->exchange->handlers->body(c->exchange->ctx, h1_buf_data(b),
				    h1_buf_len(b));
	c->in_handler = false;
	alive = !c->free_pending;
	if (!alive)
		conn_free(c);
	return alive;
}

/*
 * Passes the head to its handler, whose verdict sets discarding. Returns false
 * as deliver_body() does.
 */
static bool deliver_head(struct h1_client_conn *c)
{
	enum h1_verdict v;
	bool alive;

	c->in_handler = true;
	v = c->exchange->handlers->head(c->exchange->ctx, &c->head);
	c->in_handler = false;
	alive = !c->free_pending;
	c->discarding = v == H1_DISCARD;
	if (!alive)
		conn_free(c);
	return alive;
}

/*
 * Reads the head of a response once the input holds all of it. Discards the head
 * of an interim response (1xx). Returns false if the connection was freed.
 */
static bool read_head(struct h1_client_conn *c)
{
	size_t n = h1_head_end(h1_buf_data(&c->in), h1_buf_len(&c->in));

	if (!n && h1_buf_len(&c->in) > RESPONSE_HEAD_MAX_BYTES) {
		conn_fail(c, "response head too large");
		return false;
	}
	if (!n)
		return true;
	if (h1_parse_response(&c->head, h1_buf_data(&c->in), n) < 0) {
		conn_fail(c, "response head malformed");
		return false;
	}
	h1_buf_consume(&c->in, n);
	if (c->head.status < 200) {
		h1_head_finish(&c->head);
		return true;
	}
	if (c->exchange->no_body)
		c->head.framing = H1_NO_BODY;
	h1_body_init(&c->body, &c->head);
	c->have_head = true;
	return deliver_head(c);
}

/*
 * Decodes the body of a response from the input. Returns false if the exchange
 * ended; the connection may then be freed.
 */
static bool read_body(struct h1_client_conn *c)
{
	struct h1_buf content = {0};
	size_t used;
	bool alive = true;
	int r = h1_body_feed(&c->body, h1_buf_data(&c->in), h1_buf_len(&c->in),
			     &used, &content);

	h1_buf_consume(&c->in, used);
	if (!c->discarding)
		alive = deliver_body(c, &content);
	h1_buf_finish(&content);
	if (!alive)
		return false;
	if (r < 0) {
		conn_fail(c, "response body malformed");
		return false;
	}
	if (!c->body.complete)
		return true;
	if (!c->discarding) {
		exchange_complete(c);
		return false;
	}
	h1_head_finish(&c->head);
	c->have_head = false;
	c->discarding = false;
	return true;
}

/*
 * Processes the input of a connection with an exchange. Interim responses and
 * discarded ones may come before the response of the exchange.
 */
static void process_input(struct h1_client_conn *c)
{
	size_t before;

	do {
		before = h1_buf_len(&c->in);
		if (!c->have_head && !read_head(c))
			return;
		if (c->have_head && !read_body(c))
			return;
	} while (h1_buf_len(&c->in) && h1_buf_len(&c->in) != before);
}

/*
 * Returns true if the server has received the whole request and has not reset the
 * connection, as far as the kernel knows.
 */
static bool request_was_received(const struct h1_client_conn *c)
{
	socklen_t size = sizeof(int);
	int unacknowledged_bytes = 0, error = 0;

	if (h1_buf_len(&c->out))
		return false;
	if (ioctl(c->fd, SIOCOUTQ, &unacknowledged_bytes) == 0 &&
	    unacknowledged_bytes > 0)
		return false;
	/* After the end of the input, reads do not show a reset. */
	getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &size);
	return !error;
}

/*
 * Handles the end of a connection. clean is true if the server closed it, false
 * if it failed. A response without a length ends with the connection, but a server
 * that ends it before it has the request may have broken off.
 */
static void handle_close(struct h1_client_conn *c, bool clean)
{
	bool until_close = clean && c->have_head && !c->discarding &&
			   c->body.framing == H1_UNTIL_CLOSE;

	if (!c->exchange)
		conn_free(c);
	else if (until_close && request_was_received(c))
		exchange_complete(c);
	else if (until_close)
		conn_fail(c, "connection closed before the request was sent");
	else
		conn_fail(c, clean ? "connection closed by server"
				   : "connection failed while receiving");
}

static void receive(struct h1_client_conn *c)
{
	char p[READ_BYTES];
	ssize_t n = recv(c->fd, p, sizeof(p), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		handle_close(c, n == 0);
		return;
	}
	if (!c->exchange) {
		/* No request is outstanding, so this is no response. */
		conn_free(c);
		return;
	}
	if (!c->have_head || c->discarding)
		c->unrelated_bytes += (uint64_t)n;
	if (c->unrelated_bytes > UNRELATED_MAX_BYTES) {
		conn_fail(c, "too many bytes before the response");
		return;
	}
	if (h1_buf_append(&c->in, p, (size_t)n) < 0) {
		conn_fail(c, "out of memory for response");
		return;
	}
	process_input(c);
}

/*
 * Sends as much of the request as the socket accepts. Returns false if the
 * connection failed and was freed.
 */
static bool flush(struct h1_client_conn *c)
{
	ssize_t n;

	while (h1_buf_len(&c->out)) {
		n = send(c->fd, h1_buf_data(&c->out), h1_buf_len(&c->out),
			 MSG_NOSIGNAL);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n <= 0) {
			conn_fail(c, "connection failed while sending");
			return false;
		}
		c->sent_bytes += (uint64_t)n;
		h1_buf_consume(&c->out, (size_t)n);
	}
	update_events(c);
	return true;
}

/*
 * Gets the result of the connection attempt. Returns false if it failed and the
 * connection was freed.
 */
static bool finish_connect(struct h1_client_conn *c)
{
	socklen_t size = sizeof(int);
	int error = 0;

	getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &size);
	if (error) {
		conn_fail(c, strerror(error));
		return false;
	}
	c->connected = true;
	ev_timer_stop(c->client->loop, &c->timer);
	return true;
}

static void on_io(struct ev_loop *loop, ev_io *w, int events)
{
	struct h1_client_conn *c = w->data;

	if (events & EV_WRITE) {
		if (!c->connected && !finish_connect(c))
			return;
		if (!flush(c))
			return;
	}
	if (events & EV_READ)
		receive(c);
}

static void on_connect_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
	conn_fail(w->data, "connection attempt timed out");
}

/* Starts a connection attempt. Returns NULL if that fails. */
static struct h1_client_conn *conn_open(struct h1_client *client,
					const struct sockaddr_in *addr)
{
	struct h1_client_conn *c = calloc(1, sizeof(*c));
	unsigned int user_timeout_ms = client->user_timeout_ms;
	int on = 1;

	if (!c)
		return NULL;
	c->client = client;
	c->addr = *addr;
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->fd < 0) {
		free(c);
		return NULL;
	}
	setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(c->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
		   sizeof(user_timeout_ms));
	ev_io_init(&c->io, on_io, c->fd, EV_WRITE);
	ev_timer_init(&c->timer, on_connect_timeout, client->connect_timeout_s,
		      0.);
	c->io.data = c->timer.data = c;
	if (connect(c->fd, (const struct sockaddr *)addr, sizeof(*addr)) < 0 &&
	    errno != EINPROGRESS) {
		close(c->fd);
		free(c);
		return NULL;
	}
	LIST_INSERT_HEAD(&client->conns, c, entry);
	client->conns_n++;
	client->connects++;
	ev_timer_start(client->loop, &c->timer);
	return c;
}

static bool same_addr(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

/*
 * Returns an idle connection to addr, or NULL. Prefers the one that expires
 * last, which usually is the one used last.
 */
static struct h1_client_conn *find_idle(struct h1_client *client,
					const struct sockaddr_in *addr)
{
	struct h1_client_conn *c, *best = NULL;

	LIST_FOREACH(c, &client->conns, entry)
	if (!c->exchange && !c->free_pending && same_addr(&c->addr, addr) &&
	    c->idle_until_s > ev_now(client->loop) &&
	    (!best || c->idle_until_s > best->idle_until_s))
		best = c;
	return best;
}

int h1_exchange_start(struct h1_client *client, struct h1_exchange *x,
		      const struct sockaddr_in *addr, const void *request,
		      size_t n, const struct h1_exchange_handlers *h, void *ctx)
{
	struct h1_client_conn *c = find_idle(client, addr);

	if (!c)
		c = conn_open(client, addr);
	if (!c)
		return -ENOBUFS;
	if (h1_buf_append(&c->out, request, n) < 0) {
		conn_free(c);
		return -ENOMEM;
	}
	x->handlers = h;
	x->ctx = ctx;
	x->conn = c;
	c->exchange = x;
	c->requests++;
	c->sent_bytes = 0;
	c->unrelated_bytes = 0;
	c->discarding = false;
	update_events(c);
	/* Sends from the loop, as a failed send calls the end handler. */
	if (c->connected)
		ev_feed_event(client->loop, &c->io, EV_WRITE);
	return 0;
}

void h1_exchange_cancel(struct h1_exchange *x)
{
	struct h1_client_conn *c = x->conn;

	if (c)
		conn_free(c);
	x->conn = NULL;
}

void h1_exchange_move(struct h1_exchange *to, struct h1_exchange *from,
		      const struct h1_exchange_handlers *h, void *ctx)
{
	*to = *from;
	to->handlers = h;
	to->ctx = ctx;
	to->conn->exchange = to;
	from->conn = NULL;
}

bool h1_exchange_sent(const struct h1_exchange *x)
{
	return x->conn && x->conn->sent_bytes > 0;
}

bool h1_exchange_is_first(const struct h1_exchange *x)
{
	return x->conn && x->conn->requests == 1;
}

void h1_exchange_close_after(struct h1_exchange *x)
{
	if (x->conn)
		x->conn->head.close = true;
}

void h1_client_close_idle(struct h1_client *client)
{
	struct h1_client_conn *c, *next;

	for (c = LIST_FIRST(&client->conns); c; c = next) {
		next = LIST_NEXT(c, entry);
		if (!c->exchange && !c->free_pending)
			conn_free(c);
	}
}

static void on_sweep(struct ev_loop *loop, ev_timer *w, int events)
{
	struct h1_client *client = w->data;
	struct h1_client_conn *c, *next;

	for (c = LIST_FIRST(&client->conns); c; c = next) {
		next = LIST_NEXT(c, entry);
		if (!c->exchange && !c->free_pending &&
		    c->idle_until_s <= ev_now(loop))
			conn_free(c);
	}
}

void h1_client_init(struct h1_client *client, struct ev_loop *loop,
		    double connect_timeout_s, double idle_max_s)
{
	memset(client, 0, sizeof(*client));
	LIST_INIT(&client->conns);
	client->loop = loop;
	client->connect_timeout_s = connect_timeout_s;
	client->idle_max_s = idle_max_s;
	client->user_timeout_ms = USER_TIMEOUT_MS;
	ev_timer_init(&client->sweep_timer, on_sweep, SWEEP_INTERVAL_S,
		      SWEEP_INTERVAL_S);
	client->sweep_timer.data = client;
	ev_timer_start(loop, &client->sweep_timer);
}

void h1_client_finish(struct h1_client *client)
{
	ev_timer_stop(client->loop, &client->sweep_timer);
	while (!LIST_EMPTY(&client->conns))
		conn_free(LIST_FIRST(&client->conns));
}

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
