#include "tcp.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Record marking (RFC 5531, section 11). */
#define RECORD_MARK_BYTES 4
#define LAST_FRAGMENT 0x80000000u

#define READ_MAX_BYTES 65536	     /* per read event */
#define OUTPUT_MAX_BYTES (8U << 20)  /* queued on a connection */
#define UNAUTHENTICATED_TIMEOUT_S 2. /* until the first valid message */
#define WRITE_TIMEOUT_S 5.	     /* while the other host reads nothing */
#define IDLE_TIMEOUT_S 60.

static int buffer_append(struct peer_buffer *b, const void *bytes, size_t n)
{
	size_t capacity = b->capacity ? b->capacity : 1024;
	uint8_t *p;

	while (capacity < b->n + n)
		capacity *= 2;
	if (capacity != b->capacity) {
		p = realloc(b->bytes, capacity);
		if (!p)
			return -ENOMEM;
		b->bytes = p;
		b->capacity = capacity;
	}
	memcpy(b->bytes + b->n, bytes, n);
	b->n += n;
	return 0;
}

static void buffer_consume(struct peer_buffer *b, size_t n)
{
	memmove(b->bytes, b->bytes + n, b->n - n);
	b->n -= n;
}

void peer_conn_close(struct peer_conn *c, int error)
{
	struct peer *p = c->peer;
	struct peer_pending_call *pc;

	ev_io_stop(p->loop, &c->io);
	close(c->fd);
	TAILQ_REMOVE(&p->conns, c, entry);
	p->conn_n--;
	p->unauthenticated_n -= c->unauthenticated;
	while ((pc = TAILQ_FIRST(&c->pending))) {
		TAILQ_REMOVE(&c->pending, pc, entry);
		ev_timer_stop(p->loop, &pc->timer);
		pc->on_reply(pc->ctx, error, NULL);
		free(pc);
	}
	free(c->in.bytes);
	free(c->out.bytes);
	free(c);
}

static void conn_update_events(struct peer_conn *c)
{
	int events = c->out.n ? EV_READ | EV_WRITE : EV_READ;

	if (c->io.events == events)
		return;
	ev_io_stop(c->peer->loop, &c->io);
	ev_io_set(&c->io, c->fd, events);
	ev_io_start(c->peer->loop, &c->io);
}

static int conn_flush(struct peer_conn *c)
{
	ssize_t n;

	while (c->out.n) {
		n = send(c->fd, c->out.bytes, c->out.n, MSG_NOSIGNAL);
		if (n < 0)
			return errno == EAGAIN ? 0 : -errno;
		c->last_progress_s = ev_now(c->peer->loop);
		buffer_consume(&c->out, (size_t)n);
	}
	return 0;
}

int peer_conn_write(struct peer_conn *c, const uint8_t *bytes, size_t n)
{
	uint32_t mark = htonl(LAST_FRAGMENT | (uint32_t)n);
	size_t before = c->out.n;

	if (c->out.n + n > OUTPUT_MAX_BYTES)
		return -ENOBUFS;
	if (buffer_append(&c->out, &mark, sizeof(mark)) < 0 ||
	    buffer_append(&c->out, bytes, n) < 0) {
		c->out.n = before;
		return -ENOMEM;
	}
	c->peer->counters.sent++;
	c->peer->counters.sent_bytes += n + RECORD_MARK_BYTES;
	conn_update_events(c);
	return 0;
}

/* An error means that the connection has to be closed. */
static int reply_to_call(struct peer_conn *c, const struct wire_opened *m)
{
	struct peer *p = c->peer;
	struct fig_reply reply;
	uint8_t *bytes = NULL;
	size_t n = 0;
	int r;

	memset(&reply, 0, sizeof(reply));
	reply.kind = m->call.kind;
	r = p->on_call(p->ctx, m, &reply);
	p->sealer.sent_ms = peer_wall_clock_ms();
	if (r == 0)
		r = wire_seal_reply(&p->sealer, m->xid, &reply, &bytes, &n);
	xdr_free((xdrproc_t)xdr_fig_reply, &reply);
	if (r < 0)
		return r;
	r = peer_conn_write(c, bytes, n);
	free(bytes);
	return r;
}

/* Ignores a reply to an unknown call. */
static void handle_reply(struct peer_conn *c, const struct wire_opened *m)
{
	struct peer_pending_call *pc;

	TAILQ_FOREACH(pc, &c->pending, entry)
	{
		if (pc->xid != m->xid)
			continue;
		TAILQ_REMOVE(&c->pending, pc, entry);
		ev_timer_stop(c->peer->loop, &pc->timer);
		pc->on_reply(pc->ctx, 0, &m->reply);
		free(pc);
		return;
	}
}

/* An error means that the connection has to be closed. */
static int handle_record(struct peer_conn *c, const uint8_t *bytes, size_t n)
{
	struct wire_opened m;
	int r;

	r = peer_receive(c->peer, bytes, n, &m);
	if (r < 0)
		return r;
	c->peer->unauthenticated_n -= c->unauthenticated;
	c->unauthenticated = false;
	if (m.direction == WIRE_CALL)
		r = reply_to_call(c, &m);
	else
		handle_reply(c, &m);
	wire_open_finish(&m);
	return r;
}

/*
 * Handles all complete records. Each record has to be a single fragment. An
 * error means that the connection has to be closed.
 */
static int handle_records(struct peer_conn *c)
{
	uint32_t mark;
	size_t n;
	int r;

	while (c->in.n >= RECORD_MARK_BYTES) {
		memcpy(&mark, c->in.bytes, sizeof(mark));
		mark = ntohl(mark);
		n = mark & ~LAST_FRAGMENT;
		if (!(mark & LAST_FRAGMENT) || n > WIRE_MESSAGE_MAX) {
			c->peer->counters.malformed++;
			return -EBADMSG;
		}
		if (c->in.n < RECORD_MARK_BYTES + n)
			return 0;
		r = handle_record(c, c->in.bytes + RECORD_MARK_BYTES, n);
		if (r < 0)
			return r;
		buffer_consume(&c->in, RECORD_MARK_BYTES + n);
	}
	return 0;
}

static int conn_read(struct peer_conn *c)
{
	uint8_t bytes[READ_MAX_BYTES];
	ssize_t n;

	n = recv(c->fd, bytes, sizeof(bytes), 0);
	if (n < 0)
		return errno == EAGAIN ? 0 : -errno;
	if (n == 0)
		return -EPIPE;
	if (!c->out.n && !c->unauthenticated)
		c->last_progress_s = ev_now(c->peer->loop);
	if (buffer_append(&c->in, bytes, (size_t)n) < 0)
		return -ENOMEM;
	return handle_records(c);
}

static void on_conn_event(struct ev_loop *loop, ev_io *w, int revents)
{
	struct peer_conn *c = w->data;
	int r = 0;

	if (revents & EV_READ)
		r = conn_read(c);
	if (r == 0)
		r = conn_flush(c);
	if (r < 0)
		peer_conn_close(c, r);
	else
		conn_update_events(c);
}

/* Takes over fd. Closes it and returns NULL on failure. */
static struct peer_conn *conn_new(struct peer *p, int fd)
{
	struct peer_conn *c = NULL;
	int one = 1;

	if (p->conn_n < PEER_CONNS_MAX)
		c = calloc(1, sizeof(*c));
	if (!c) {
		p->counters.conns_refused++;
		close(fd);
		return NULL;
	}
	p->conn_n++;
	c->last_progress_s = ev_now(p->loop);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	c->peer = p;
	c->fd = fd;
	TAILQ_INIT(&c->pending);
	TAILQ_INSERT_TAIL(&p->conns, c, entry);
	ev_io_init(&c->io, on_conn_event, fd, EV_READ);
	c->io.data = c;
	ev_io_start(p->loop, &c->io);
	return c;
}

void peer_conn_accept(struct peer *p, int fd)
{
	struct peer_conn *c;

	if (p->unauthenticated_n >= PEER_UNAUTHENTICATED_MAX) {
		p->counters.conns_refused++;
		close(fd);
		return;
	}
	c = conn_new(p, fd);
	if (!c)
		return;
	c->unauthenticated = true;
	p->unauthenticated_n++;
}

static bool is_expired(const struct peer_conn *c, ev_tstamp now)
{
	if (c->unauthenticated)
		return now - c->last_progress_s > UNAUTHENTICATED_TIMEOUT_S;
	if (c->out.n)
		return now - c->last_progress_s > WRITE_TIMEOUT_S;
	return TAILQ_EMPTY(&c->pending) &&
	       now - c->last_progress_s > IDLE_TIMEOUT_S;
}

void peer_conn_sweep(struct peer *p, ev_tstamp now)
{
	struct peer_conn *c, *next;

	for (c = TAILQ_FIRST(&p->conns); c; c = next) {
		next = TAILQ_NEXT(c, entry);
		if (!is_expired(c, now))
			continue;
		p->counters.conns_expired++;
		peer_conn_close(c, -ETIMEDOUT);
	}
}

struct peer_conn *peer_conn_get(struct peer *p, const char *addr)
{
	struct sockaddr_in sin;
	struct peer_conn *c;
	int fd;

	TAILQ_FOREACH(c, &p->conns, entry)
	if (strcmp(c->addr, addr) == 0)
		return c;
	if (peer_parse_addr(addr, &sin) < 0)
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	c = conn_new(p, fd);
	if (c)
		snprintf(c->addr, sizeof(c->addr), "%s", addr);
	return c;
}
