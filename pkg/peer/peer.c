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

#define DATAGRAM_MAX_BYTES 9000 /* a longer one is truncated and rejected */
#define DATAGRAMS_PER_EVENT 64
#define LISTEN_BACKLOG 128
#define CLOCK_SKEW_MAX_MS 30000 /* between the wall clocks of two hosts */
#define SWEEP_INTERVAL_S 1.

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
 * Returns the row of a sender; adds one if there is none. If the table is full,
 * evicts the least recently received sender together with its replay window.
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

uint64_t peer_wall_clock_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

/*
 * Returns true if the time of sending differs too much from this host's clock,
 * or, for a sender without a replay window, is before this host's start: the
 * previous process may have accepted the message.
 */
static bool is_stale(const struct peer *p, const struct peer_sender *s,
		     const struct wire_opened *m)
{
	uint64_t now_ms = peer_wall_clock_ms();

	if (m->sent_ms + CLOCK_SKEW_MAX_MS < now_ms ||
	    m->sent_ms > now_ms + CLOCK_SKEW_MAX_MS)
		return true;
	return s->replay_window.boot == 0 && m->sent_ms < p->start_ms;
}

static void count_rejected(struct peer *p, int error)
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

int peer_receive(struct peer *p, const uint8_t *bytes, size_t n,
		 struct wire_opened *m)
{
	struct peer_sender *s;
	int r;

	p->counters.received++;
	p->counters.received_bytes += n;
	r = wire_open(p->sealer.secret, bytes, n, m);
	if (r < 0) {
		count_rejected(p, r);
		return r;
	}
	s = find_sender(p, m->sender);
	r = -EALREADY;
	if (is_stale(p, s, m)) {
		p->counters.stale++;
		r = -ESTALE;
	} else if (wire_window_accept(&s->replay_window, m->boot, m->counter)) {
		s->last_received = p->counters.received;
		return 0;
	} else {
		p->counters.replayed++;
		if (p->on_refused && m->boot < s->replay_window.boot)
			p->on_refused(p->ctx, m, s->replay_window.boot);
	}
	wire_open_finish(m);
	return r;
}

static void on_sweep(struct ev_loop *loop, ev_timer *w, int revents)
{
	peer_conn_sweep(w->data, ev_now(loop));
}

static void on_datagrams(struct ev_loop *loop, ev_io *w, int revents)
{
	struct peer *p = w->data;
	uint8_t bytes[DATAGRAM_MAX_BYTES];
	struct wire_opened m;
	ssize_t n;
	int i;

	for (i = 0; i < DATAGRAMS_PER_EVENT; i++) {
		n = recv(p->udp_fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (n < 0)
			return;
		if (peer_receive(p, bytes, (size_t)n, &m) < 0)
			continue;
		if (m.direction == WIRE_CALL)
			p->on_message(p->ctx, &m);
		wire_open_finish(&m);
	}
}

static void on_connection(struct ev_loop *loop, ev_io *w, int revents)
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

int peer_init(struct peer *p, struct ev_loop *loop, const char *addr,
	      const char *host, const uint8_t secret[WIRE_SECRET_BYTES],
	      uint64_t boot_us, peer_call_fn on_call,
	      peer_message_fn on_message, void *ctx)
{
	int r;

	memset(p, 0, sizeof(*p));
	p->loop = loop;
	p->on_call = on_call;
	p->on_message = on_message;
	p->ctx = ctx;
	TAILQ_INIT(&p->conns);
	memcpy(p->sealer.secret, secret, WIRE_SECRET_BYTES);
	snprintf(p->sealer.sender, sizeof(p->sealer.sender), "%s", host);
	p->sealer.boot = boot_us;
	p->start_ms = boot_us / 1000;
	p->sender = calloc(PEER_SENDERS_MAX, sizeof(*p->sender));
	if (!p->sender)
		return -ENOMEM;
	r = open_sockets(p, addr);
	if (r < 0) {
		free(p->sender);
		return r;
	}
	ev_io_init(&p->udp_io, on_datagrams, p->udp_fd, EV_READ);
	p->udp_io.data = p;
	ev_io_start(loop, &p->udp_io);
	ev_io_init(&p->listen_io, on_connection, p->listen_fd, EV_READ);
	p->listen_io.data = p;
	ev_io_start(loop, &p->listen_io);
	ev_timer_init(&p->sweep_timer, on_sweep, SWEEP_INTERVAL_S,
		      SWEEP_INTERVAL_S);
	p->sweep_timer.data = p;
	ev_timer_start(loop, &p->sweep_timer);
	return 0;
}

void peer_raise_start(struct peer *p, uint64_t boot_us)
{
	if (boot_us > p->sealer.boot)
		p->sealer.boot = boot_us;
}

void peer_finish(struct peer *p)
{
	struct peer_conn *c;

	while ((c = TAILQ_FIRST(&p->conns)))
		peer_conn_close(c, -EPIPE);
	ev_io_stop(p->loop, &p->udp_io);
	ev_io_stop(p->loop, &p->listen_io);
	ev_timer_stop(p->loop, &p->sweep_timer);
	close(p->udp_fd);
	close(p->listen_fd);
	free(p->sender);
}

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

static void on_call_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct peer_pending_call *pc = w->data;
	struct peer *p = pc->conn->peer;

	p->counters.calls_timed_out++;
	peer_conn_close(pc->conn, -ETIMEDOUT);
}

static struct peer_pending_call *
add_pending_call(struct peer_conn *c, uint32_t xid, uint32_t timeout_ms,
		 peer_reply_fn on_reply, void *ctx)
{
	struct peer_pending_call *pc = calloc(1, sizeof(*pc));

	if (!pc)
		return NULL;
	pc->conn = c;
	pc->xid = xid;
	pc->on_reply = on_reply;
	pc->ctx = ctx;
	ev_timer_init(&pc->timer, on_call_timeout, timeout_ms / 1000., 0.);
	pc->timer.data = pc;
	ev_timer_start(c->peer->loop, &pc->timer);
	TAILQ_INSERT_TAIL(&c->pending, pc, entry);
	return pc;
}

static void remove_pending_call(struct peer_pending_call *pc)
{
	ev_timer_stop(pc->conn->peer->loop, &pc->timer);
	TAILQ_REMOVE(&pc->conn->pending, pc, entry);
	free(pc);
}

int peer_call(struct peer *p, const char *addr, const struct fig_call *call,
	      uint32_t timeout_ms, peer_reply_fn on_reply, void *ctx)
{
	uint32_t xid = ++p->next_xid;
	struct peer_pending_call *pc;
	struct peer_conn *c;
	uint8_t *bytes;
	size_t n;
	int r;

	c = peer_conn_get(p, addr);
	if (!c)
		return -ECONNREFUSED;
	p->sealer.sent_ms = peer_wall_clock_ms();
	r = wire_seal_call(&p->sealer, xid, call, &bytes, &n);
	if (r < 0)
		return r;
	pc = add_pending_call(c, xid, timeout_ms, on_reply, ctx);
	r = pc ? peer_conn_write(c, bytes, n) : -ENOMEM;
	free(bytes);
	if (pc && r < 0)
		remove_pending_call(pc);
	return r;
}
