#include "tcp.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define DATAGRAM_MAX_BYTES 9000
#define DATAGRAMS_A_TURN 64
#define LISTEN_BACKLOG 128
#define CLOCKS_APART_MS 30000 /* most that hosts' clocks may differ */
#define SWEEP_S 1.

/* Reads "IP:PORT". Returns 0 or -EINVAL. */
int peer_parse_addr(const char *addr, struct sockaddr_in *sin)
{
	char ip[64];
	char *colon;
	long port;

	memset(sin, 0, sizeof(*sin));
	snprintf(ip, sizeof(ip), "%s", addr);
	colon = strrchr(ip, ':');
	if (!colon)
		return -EINVAL;
	*colon = '\0';
	port = strtol(colon + 1, NULL, 10);
	if (port <= 0 || port > UINT16_MAX)
		return -EINVAL;
	sin->sin_family = AF_INET;
	sin->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &sin->sin_addr) == 1 ? 0 : -EINVAL;
}

/*
 * Returns the record of a sender, made on first sight. Where there is no room it
 * takes the place of the one that was silent for longest.
 */
static struct peer_sender *find_sender(struct peer *p, const char *name)
{
	struct peer_sender *oldest = p->sender;
	struct peer_sender *s;
	uint32_t i;

	assert(p->sender);
	for (i = 0; i < p->sender_n; i++) {
		s = &p->sender[i];
		if (strcmp(s->name, name) == 0)
			return s;
		if (s->last_received < oldest->last_received)
			oldest = s;
	}
	s = oldest;
	if (p->sender_n < PEER_SENDERS_MAX)
		s = &p->sender[p->sender_n++];
	memset(s, 0, sizeof(*s));
	snprintf(s->name, sizeof(s->name), "%s", name);
	return s;
}

/* Returns the time since the epoch, in milliseconds. */
uint64_t peer_wall_clock_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

/*
 * Tells whether a message was sealed too long ago, or, by a sender not heard
 * since this host started, before that: it may have been taken then.
 */
static bool is_outdated(const struct peer *p, const struct peer_sender *s,
			const struct wire_opened *o)
{
	uint64_t now_ms = peer_wall_clock_ms();

	if (o->sent_ms + CLOCKS_APART_MS < now_ms ||
	    o->sent_ms > now_ms + CLOCKS_APART_MS)
		return true;
	return s->replay_window.boot == 0 && o->sent_ms < p->sealer.boot / 1000;
}

static void count_bad(struct peer *p, int error)
{
	switch (error) {
	case -EACCES:
		p->counters.unauthenticated++;
		break;
	case -EPROTONOSUPPORT:
		p->counters.unknown_version++;
		break;
	default:
		p->counters.malformed++;
	}
}

/*
 * Opens a message that another host sealed. Returns 0 and the caller finishes
 * *o, or an error if it is malformed, not sealed by a host, seen before
 * (-EALREADY) or too old (-ESTALE); each is counted.
 */
int peer_receive(struct peer *p, const uint8_t *bytes, size_t n,
		 struct wire_opened *o)
{
	struct peer_sender *s;
	int r;

	p->counters.received++;
	p->counters.received_bytes += n;
	r = wire_open(p->sealer.secret, bytes, n, o);
	if (r < 0) {
		count_bad(p, r);
		return r;
	}
	s = find_sender(p, o->sender);
	r = -EALREADY;
	if (is_outdated(p, s, o)) {
		p->counters.stale++;
		r = -ESTALE;
	} else if (wire_window_accept(&s->replay_window, o->boot, o->counter)) {
		s->last_received = p->counters.received;
		return 0;
	} else {
		p->counters.replayed++;
	}
	wire_open_finish(o);
	return r;
}

static void on_sweep(struct ev_loop *loop, ev_timer *w, int revents)
{
	peer_conn_sweep(w->data, ev_now(loop));
}

static void on_udp(struct ev_loop *loop, ev_io *w, int revents)
{
	struct peer *p = w->data;
	uint8_t bytes[DATAGRAM_MAX_BYTES];
	struct wire_opened o;
	ssize_t n;
	int i;

	for (i = 0; i < DATAGRAMS_A_TURN; i++) {
		n = recv(p->udp_fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (n < 0)
			return;
		if (peer_receive(p, bytes, (size_t)n, &o) < 0)
			continue;
		if (o.direction == WIRE_CALL)
			p->on_message(p->ctx, &o);
		wire_open_finish(&o);
	}
}

static void on_listener(struct ev_loop *loop, ev_io *w, int revents)
{
	struct peer *p = w->data;
	int fd;

	fd = accept4(p->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd >= 0)
		peer_conn_accept(p, fd);
}

static int bind_socket(int type, const struct sockaddr_in *sin)
{
	int one = 1;
	int fd, r;

	fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -errno;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (const struct sockaddr *)sin, sizeof(*sin)) == 0)
		return fd;
	r = -errno;
	close(fd);
	return r;
}

static int open_sockets(struct peer *p, const char *addr)
{
	struct sockaddr_in sin;
	int r;

	r = peer_parse_addr(addr, &sin);
	if (r < 0)
		return r;
	p->udp_fd = bind_socket(SOCK_DGRAM, &sin);
	if (p->udp_fd < 0)
		return p->udp_fd;
	p->listen_fd = bind_socket(SOCK_STREAM, &sin);
	if (p->listen_fd >= 0 && listen(p->listen_fd, LISTEN_BACKLOG) == 0)
		return 0;
	r = p->listen_fd < 0 ? p->listen_fd : -errno;
	if (p->listen_fd >= 0)
		close(p->listen_fd);
	close(p->udp_fd);
	return r;
}

/*
 * Listens for other hosts on addr, "IP:PORT", over UDP and TCP. The boot is the
 * start of this process in microseconds since the epoch. Returns 0, -EINVAL,
 * -ENOMEM, or the error of the sockets.
 */
int peer_init(struct peer *p, struct ev_loop *loop, const char *addr,
	      const char *host, const uint8_t secret[WIRE_SECRET_BYTES],
	      uint64_t boot, peer_call_fn handler, peer_message_fn receiver,
	      void *ctx)
{
	int r;

	memset(p, 0, sizeof(*p));
	p->loop = loop;
	p->on_call = handler;
	p->on_message = receiver;
	p->ctx = ctx;
	TAILQ_INIT(&p->conns);
	memcpy(p->sealer.secret, secret, WIRE_SECRET_BYTES);
	snprintf(p->sealer.sender, sizeof(p->sealer.sender), "%s", host);
	p->sealer.boot = boot;
	p->sender = calloc(PEER_SENDERS_MAX, sizeof(*p->sender));
	if (!p->sender)
		return -ENOMEM;
	r = open_sockets(p, addr);
	if (r < 0) {
		free(p->sender);
		return r;
	}
	ev_io_init(&p->udp_io, on_udp, p->udp_fd, EV_READ);
	p->udp_io.data = p;
	ev_io_start(loop, &p->udp_io);
	ev_io_init(&p->listen_io, on_listener, p->listen_fd, EV_READ);
	p->listen_io.data = p;
	ev_io_start(loop, &p->listen_io);
	ev_timer_init(&p->sweep_timer, on_sweep, SWEEP_S, SWEEP_S);
	p->sweep_timer.data = p;
	ev_timer_start(loop, &p->sweep_timer);
	return 0;
}

/* Closes every link; calls that still wait are done with -EPIPE. */
void peer_finish(struct peer *p)
{
	struct peer_conn *l;

	while ((l = TAILQ_FIRST(&p->conns)))
		peer_conn_close(l, -EPIPE);
	ev_io_stop(p->loop, &p->udp_io);
	ev_io_stop(p->loop, &p->listen_io);
	ev_timer_stop(p->loop, &p->sweep_timer);
	close(p->udp_fd);
	close(p->listen_fd);
	free(p->sender);
}

/*
 * Sends a one-way message over UDP. Returns 0, or an error if it surely was not
 * sent; 0 does not mean that it arrives.
 */
int peer_send(struct peer *p, const char *addr, const struct fig_call *call)
{
	struct sockaddr_in sin;
	uint8_t *bytes;
	size_t n;
	int r;

	r = peer_parse_addr(addr, &sin);
	if (r < 0)
		return r;
	p->sealer.sent_ms = peer_wall_clock_ms();
	r = wire_seal_call(&p->sealer, ++p->next_xid, call, &bytes, &n);
	if (r < 0)
		return r;
	if (sendto(p->udp_fd, bytes, n, MSG_DONTWAIT, (struct sockaddr *)&sin,
		   sizeof(sin)) < 0)
		r = -errno;
	p->counters.sent++;
	p->counters.sent_bytes += n;
	free(bytes);
	return r;
}

static void on_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct peer_pending_call *q = w->data;
	struct peer *p = q->conn->peer;

	p->counters.calls_timed_out++;
	peer_conn_close(q->conn, -ETIMEDOUT);
}

static struct peer_pending_call *pending_new(struct peer_conn *l, uint32_t xid,
					     uint32_t timeout_ms,
					     peer_reply_fn done, void *ctx)
{
	struct peer_pending_call *q = calloc(1, sizeof(*q));

	if (!q)
		return NULL;
	q->conn = l;
	q->xid = xid;
	q->on_reply = done;
	q->ctx = ctx;
	ev_timer_init(&q->timer, on_timeout, timeout_ms / 1000., 0.);
	q->timer.data = q;
	ev_timer_start(l->peer->loop, &q->timer);
	TAILQ_INSERT_TAIL(&l->pending, q, entry);
	return q;
}

/*
 * Calls another host over TCP. A call that times out closes its link, since the
 * connection may be one that went silent; the next call opens a new one.
 * Returns 0, or an error if the call surely was not sent: then done is not
 * called.
 */
int peer_call(struct peer *p, const char *addr, const struct fig_call *call,
	      uint32_t timeout_ms, peer_reply_fn done, void *ctx)
{
	uint32_t xid = ++p->next_xid;
	struct peer_conn *l;
	uint8_t *bytes;
	size_t n;
	int r;

	l = peer_conn_get(p, addr);
	if (!l)
		return -ECONNREFUSED;
	p->sealer.sent_ms = peer_wall_clock_ms();
	r = wire_seal_call(&p->sealer, xid, call, &bytes, &n);
	if (r < 0)
		return r;
	r = peer_conn_write(l, bytes, n);
	free(bytes);
	if (r < 0)
		return r;
	return pending_new(l, xid, timeout_ms, done, ctx) ? 0 : -ENOMEM;
}
