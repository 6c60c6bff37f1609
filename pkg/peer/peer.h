#ifndef FIGBEND_PEER_H
#define FIGBEND_PEER_H

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "wire.h"

/*
 * Transport of messages between hosts: ONC RPC over UDP for one-way messages,
 * and over TCP with record marking (RFC 5531) for calls with a reply. Calls to
 * one address share a connection. It is opened by the first call, and closed
 * when a call on it times out.
 *
 * Messages are authenticated with a secret shared by all hosts, but not
 * encrypted. An anti-replay window for each sender (as in RFC 4303) rejects
 * messages that were received before. Windows are lost on a restart; therefore
 * the first message accepted from a sender must have been sent after this host
 * started, by their wall clocks. Datagrams may be lost, duplicated and
 * reordered. Wall clocks may differ by up to 30 s: a message whose time of
 * sending differs more from the time of receipt is rejected.
 *
 * All functions and handlers run in the thread of the loop.
 */

struct peer_conn;
struct peer_pending_call;
TAILQ_HEAD(peer_conns, peer_conn);

/*
 * Handles a call. Fills in the reply, whose kind is already set; memory in it
 * comes from malloc() and is released with xdr_free() after the handler
 * returns. Returns 0 or a negative error number; on an error no reply is sent
 * and the connection is closed. The message is valid until the handler returns.
 */
typedef int (*peer_call_fn)(void *ctx, const struct wire_opened *from,
			    struct fig_reply *reply);

/* Handles a one-way message, which is valid until the handler returns. */
typedef void (*peer_message_fn)(void *ctx, const struct wire_opened *from);

/*
 * Handles an authentic message that is refused, since a later start of its sender, at
 * boot_us, is known. The message is valid until the handler returns.
 */
typedef void (*peer_refused_fn)(void *ctx, const struct wire_opened *from,
				uint64_t boot_us);

/*
 * Handles the end of a call. If error is 0, the reply is valid until the
 * handler returns. Otherwise reply is NULL and the other host may have executed
 * the call. Then error is the reason why the connection was closed: -ETIMEDOUT
 * if this call or another one on it timed out, or output could not be sent;
 * -EPIPE if the other host closed it, or in peer_finish(); or another error of
 * the socket or of a message.
 */
typedef void (*peer_reply_fn)(void *ctx, int error,
			      const struct fig_reply *reply);

/* Totals since peer_init(), of UDP and TCP together. */
struct peer_counters {
	uint64_t sent; /* messages sent, or queued on a connection */
	uint64_t sent_bytes;
	uint64_t received; /* rejected messages included */
	uint64_t received_bytes;
	/* Rejected messages, by reason. */
	uint64_t malformed;
	uint64_t unknown_version;
	uint64_t unauthenticated;
	uint64_t replayed;
	uint64_t stale;		/* by the time of sending */
	uint64_t conns_refused; /* limit reached or out of memory */
	uint64_t conns_expired; /* see peer_conn_sweep() */
	uint64_t calls_timed_out;
};

#define PEER_SENDERS_MAX 1024 /* hosts whose replay windows are kept */
#define PEER_CONNS_MAX 1024   /* open connections, both directions */
/* Accepted connections that have not sent a valid message yet. */
#define PEER_UNAUTHENTICATED_MAX 32

/* A host from which an authentic message was received. */
struct peer_sender {
	char name[FIG_NAME_MAX + 1];
	struct wire_window replay_window;
	/* counters.received at its last message; lowest is evicted first. */
	uint64_t last_received;
};

struct peer {
	struct ev_loop *loop;
	int udp_fd;
	int listen_fd;
	ev_io udp_io;
	ev_io listen_io;
	ev_timer sweep_timer; /* closes expired connections */
	struct wire_sealer sealer;
	struct peer_conns conns;
	uint32_t conn_n;
	uint32_t unauthenticated_n; /* part of conn_n */
	uint32_t next_xid; /* transaction id of the last message sent */
	peer_call_fn on_call;
	peer_message_fn on_message;
	/* NULL for none; may be set after peer_init(). */
	peer_refused_fn on_refused;
	void *ctx;		    /* of all handlers */
	uint64_t start_ms;	    /* start of this process since the epoch */
	struct peer_sender *sender; /* PEER_SENDERS_MAX rows; owned */
	uint32_t sender_n;	    /* rows in use */
	struct peer_counters counters;
};

/*
 * Listens on addr, "IP:PORT", over UDP and TCP. host is the name of this host;
 * boot_us is the start of this process in microseconds since the epoch. It has
 * to increase with each start, since other hosts reject messages of an earlier
 * start. Copies the strings and the secret. The struct must not move until
 * peer_finish(). Returns 0, -EINVAL if the address is malformed, -ENOMEM, or
 * the error of the sockets.
 */
int peer_init(struct peer *p, struct ev_loop *loop, const char *addr,
	      const char *host, const uint8_t secret[WIRE_SECRET_BYTES],
	      uint64_t boot_us, peer_call_fn on_call,
	      peer_message_fn on_message, void *ctx);
/*
 * Names a later start in the messages of this host from now on, if others know one
 * that is later than its own.
 */
void peer_raise_start(struct peer *p, uint64_t boot_us);
/*
 * Closes the sockets and all connections. Pending calls end with -EPIPE before
 * this function returns.
 */
void peer_finish(struct peer *p);
/*
 * Sends a one-way message to addr, "IP:PORT", over UDP. Returns 0, which does
 * not mean that it arrives, or a negative error number if it was not sent:
 * -EINVAL for the address, -EMSGSIZE, -ENOMEM, or the error of the socket.
 */
int peer_send(struct peer *p, const char *addr, const struct fig_call *call);
/*
 * Calls the host at addr, "IP:PORT", over TCP. A call that times out closes its
 * connection, since a dead connection may report no error; the next call opens
 * a new one. All other calls on the closed connection fail as well.
 *
 * Returns 0, and on_reply is called exactly once after this function returned.
 * Or returns an error, and on_reply is not called: -ECONNREFUSED if a
 * connection is needed and cannot be opened, -EMSGSIZE, -ENOBUFS if too much
 * output is queued on the connection, or -ENOMEM (then the call may be sent
 * nevertheless).
 */
int peer_call(struct peer *p, const char *addr, const struct fig_call *call,
	      uint32_t timeout_ms, peer_reply_fn on_reply, void *ctx);

#endif
