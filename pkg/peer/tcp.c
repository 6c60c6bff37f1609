#include "tcp.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MARK_BYTES 4
#define MARK_LAST 0x80000000u
#define READ_BYTES 65536
#define OUT_MAX_BYTES (8U << 20)
#define STRANGER_S 2. /* to prove that it belongs */
#define STUCK_S 5.    /* a reader that takes nothing */
#define IDLE_S 60.

static int buffer_add(struct peer_buffer *b, const void *bytes, size_t n)
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

static void buffer_drop(struct peer_buffer *b, size_t n)
{
	memmove(b->bytes, b->bytes + n, b->n - n);
	b->n -= n;
}

/* Closes a link. Each call that waits on it is done with the error. */
void peer_conn_close(struct peer_conn *l, int error)
{
	struct peer *p = l->peer;
	struct peer_pending_call *q;

	ev_io_stop(p->loop, &l->io);
	close(l->fd);
	TAILQ_REMOVE(&p->conns, l, entry);
	p->conn_n--;
	p->unauthenticated_n -= l->unauthenticated;
	while ((q = TAILQ_FIRST(&l->pending))) {
		TAILQ_REMOVE(&l->pending, q, entry);
		ev_timer_stop(p->loop, &q->timer);
		q->on_reply(q->ctx, error, NULL);
		free(q);
	}
	free(l->in.bytes);
	free(l->out.bytes);
	free(l);
}

static void link_watch(struct peer_conn *l)
{
	int events = l->out.n ? EV_READ | EV_WRITE : EV_READ;

	if (l->io.events == events)
		return;
	ev_io_stop(l->peer->loop, &l->io);
	ev_io_set(&l->io, l->fd, events);
	ev_io_start(l->peer->loop, &l->io);
}

static int link_flush(struct peer_conn *l)
{
	ssize_t n;

	while (l->out.n) {
		n = send(l->fd, l->out.bytes, l->out.n, MSG_NOSIGNAL);
		if (n < 0)
			return errno == EAGAIN ? 0 : -errno;
		l->last_progress_s = ev_now(l->peer->loop);
		buffer_drop(&l->out, (size_t)n);
	}
	return 0;
}

/* Queues one record. Returns 0, -ENOMEM, or -ENOBUFS if the other is stuck. */
int peer_conn_write(struct peer_conn *l, const uint8_t *bytes, size_t n)
{
	uint32_t mark = htonl(MARK_LAST | (uint32_t)n);

	if (l->out.n + n > OUT_MAX_BYTES)
		return -ENOBUFS;
	if (buffer_add(&l->out, &mark, sizeof(mark)) < 0 ||
	    buffer_add(&l->out, bytes, n) < 0)
		return -ENOMEM;
	l->peer->counters.sent++;
	l->peer->counters.sent_bytes += n + MARK_BYTES;
	link_watch(l);
	return 0;
}

static int answer_call(struct peer_conn *l, const struct wire_opened *o)
{
	struct peer *p = l->peer;
	struct fig_reply reply;
	uint8_t *bytes = NULL;
	size_t n = 0;
	int r;

	memset(&reply, 0, sizeof(reply));
	reply.kind = o->call.kind;
	r = p->on_call(p->ctx, o, &reply);
	p->sealer.sent_ms = peer_wall_clock_ms();
	if (r == 0)
		r = wire_seal_reply(&p->sealer, o->xid, &reply, &bytes, &n);
	xdr_free((xdrproc_t)xdr_fig_reply, &reply);
	if (r < 0)
		return r;
	r = peer_conn_write(l, bytes, n);
	free(bytes);
	return r;
}

static void take_reply(struct peer_conn *l, const struct wire_opened *o)
{
	struct peer_pending_call *q;

	TAILQ_FOREACH(q, &l->pending, entry)
	{
		if (q->xid != o->xid)
			continue;
		TAILQ_REMOVE(&l->pending, q, entry);
		ev_timer_stop(l->peer->loop, &q->timer);
		q->on_reply(q->ctx, 0, &o->reply);
		free(q);
		return;
	}
}

/* Takes one record. An error means that the link has to be closed. */
static int take_record(struct peer_conn *l, const uint8_t *bytes, size_t n)
{
	struct wire_opened o;
	int r;

	r = peer_receive(l->peer, bytes, n, &o);
	if (r < 0)
		return r;
	l->peer->unauthenticated_n -= l->unauthenticated;
	l->unauthenticated = false;
	if (o.direction == WIRE_CALL)
		r = answer_call(l, &o);
	else
		take_reply(l, &o);
	wire_open_finish(&o);
	return r;
}

static int take_records(struct peer_conn *l)
{
	uint32_t mark;
	size_t n;
	int r;

	while (l->in.n >= MARK_BYTES) {
		memcpy(&mark, l->in.bytes, sizeof(mark));
		mark = ntohl(mark);
		n = mark & ~MARK_LAST;
		if (!(mark & MARK_LAST) || n > WIRE_MESSAGE_MAX) {
			l->peer->counters.malformed++;
			return -EBADMSG;
		}
		if (l->in.n < MARK_BYTES + n)
			return 0;
		r = take_record(l, l->in.bytes + MARK_BYTES, n);
		if (r < 0)
			return r;
		buffer_drop(&l->in, MARK_BYTES + n);
	}
	return 0;
}

static int link_read(struct peer_conn *l)
{
	uint8_t bytes[READ_BYTES];
	ssize_t n;

	n = recv(l->fd, bytes, sizeof(bytes), 0);
	if (n < 0)
		return errno == EAGAIN ? 0 : -errno;
	if (n == 0)
		return -EPIPE;
	if (!l->out.n && !l->unauthenticated)
		l->last_progress_s = ev_now(l->peer->loop);
	if (buffer_add(&l->in, bytes, (size_t)n) < 0)
		return -ENOMEM;
	return take_records(l);
}

static void on_link(struct ev_loop *loop, ev_io *w, int revents)
{
	struct peer_conn *l = w->data;
	int r = 0;

	if (revents & EV_READ)
		r = link_read(l);
	if (r == 0)
		r = link_flush(l);
	if (r < 0)
		peer_conn_close(l, r);
	else
		link_watch(l);
}

static struct peer_conn *link_new(struct peer *p, int fd)
{
	struct peer_conn *l = NULL;
	int one = 1;

	if (p->conn_n < PEER_CONNS_MAX)
		l = calloc(1, sizeof(*l));
	if (!l) {
		p->counters.conns_refused++;
		close(fd);
		return NULL;
	}
	p->conn_n++;
	l->last_progress_s = ev_now(p->loop);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	l->peer = p;
	l->fd = fd;
	TAILQ_INIT(&l->pending);
	TAILQ_INSERT_TAIL(&p->conns, l, entry);
	ev_io_init(&l->io, on_link, fd, EV_READ);
	l->io.data = l;
	ev_io_start(p->loop, &l->io);
	return l;
}

/* Takes a connection of another host, which has yet to prove that it is one. */
void peer_conn_accept(struct peer *p, int fd)
{
	struct peer_conn *l;

	if (p->unauthenticated_n >= PEER_UNAUTHENTICATED_MAX) {
		p->counters.conns_refused++;
		close(fd);
		return;
	}
	l = link_new(p, fd);
	if (!l)
		return;
	l->unauthenticated = true;
	p->unauthenticated_n++;
}

static bool is_expired(const struct peer_conn *l, ev_tstamp now)
{
	if (l->unauthenticated)
		return now - l->last_progress_s > STRANGER_S;
	if (l->out.n)
		return now - l->last_progress_s > STUCK_S;
	return TAILQ_EMPTY(&l->pending) && now - l->last_progress_s > IDLE_S;
}

/*
 * Closes links of strangers that said nothing true in time, of readers that take
 * nothing, and those not used for a while.
 */
void peer_conn_sweep(struct peer *p, ev_tstamp now)
{
	struct peer_conn *l, *next;

	for (l = TAILQ_FIRST(&p->conns); l; l = next) {
		next = TAILQ_NEXT(l, entry);
		if (!is_expired(l, now))
			continue;
		p->counters.conns_expired++;
		peer_conn_close(l, -ETIMEDOUT);
	}
}

/* Returns the link to an address, opening one if there is none, or NULL. */
struct peer_conn *peer_conn_get(struct peer *p, const char *addr)
{
	struct sockaddr_in sin;
	struct peer_conn *l;
	int fd;

	TAILQ_FOREACH(l, &p->conns, entry)
	if (strcmp(l->addr, addr) == 0)
		return l;
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
	l = link_new(p, fd);
	if (l)
		snprintf(l->addr, sizeof(l->addr), "%s", addr);
	return l;
}
