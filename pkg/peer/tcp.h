#ifndef FIGBEND_PEER_TCP_H
#define FIGBEND_PEER_TCP_H

#include "peer.h"

/*
 * Connections between hosts; internal to this package. A connection carries
 * calls in both directions: each record is a call or a reply, and a reply is
 * matched to its call by the transaction id (xid).
 */

/* A growable byte queue. The zero value is an empty one. */
struct peer_buffer {
	uint8_t *bytes;
	size_t n; /* bytes in use */
	size_t capacity;
};

/* A call without a reply so far. */
struct peer_pending_call {
	struct peer_conn *conn;
	uint32_t xid;
	ev_timer timer;
	peer_reply_fn on_reply;
	void *ctx;
	TAILQ_ENTRY(peer_pending_call) entry;
};
TAILQ_HEAD(peer_pending_calls, peer_pending_call);

struct peer_conn {
	struct peer *peer;
	int fd;
	ev_io io;
	char addr[64];		/* "IP:PORT" connected to; "" if accepted */
	struct peer_buffer in;	/* received, not a complete record yet */
	struct peer_buffer out; /* not sent yet */
	struct peer_pending_calls pending;
	/*
	 * Loop time of the last bytes sent or received. While output is queued,
	 * only sending counts, so that a host that does not read is found. An
	 * unauthenticated connection keeps the time of its acceptance.
	 */
	ev_tstamp last_progress_s;
	bool unauthenticated; /* accepted, without a valid message so far */
	TAILQ_ENTRY(peer_conn) entry;
};

/* Returns the wall clock time, in milliseconds since the epoch. */
uint64_t peer_wall_clock_ms(void);
/* Parses "IP:PORT" with an IPv4 address. Returns 0 or -EINVAL. */
int peer_parse_addr(const char *addr, struct sockaddr_in *sin);
/*
 * Decodes and authenticates a message of n bytes, rejects replays, and counts
 * the message. Returns 0, and the caller releases *m with wire_open_finish();
 * or an error of wire_open(), -EALREADY for a replay, or -ESTALE if its time of
 * sending is out of range.
 */
int peer_receive(struct peer *p, const uint8_t *bytes, size_t n,
		 struct wire_opened *m);
/*
 * Takes over fd, a new non-blocking connection from another host. Closes it if
 * a limit on connections is reached or memory runs out.
 */
void peer_conn_accept(struct peer *p, int fd);
/*
 * Closes expired connections: those still unauthenticated, those whose output
 * cannot be sent, and idle ones, each after its time-out. now is loop time.
 */
void peer_conn_sweep(struct peer *p, ev_tstamp now);
/* Closes and frees a connection. Its pending calls end with the error. */
void peer_conn_close(struct peer_conn *c, int error);
/* Returns the connection to an address, opened if there is none, or NULL. */
struct peer_conn *peer_conn_get(struct peer *p, const char *addr);
/*
 * Queues one record of n bytes. Returns 0, -ENOMEM, or -ENOBUFS if the other
 * host does not read and too much is queued.
 */
int peer_conn_write(struct peer_conn *c, const uint8_t *bytes, size_t n);

#endif
