#ifndef FIGBEND_PEER_H
#define FIGBEND_PEER_H

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "wire.h"

/*
 * Messages to and from other hosts on the loop: UDP for those without a reply,
 * TCP with record marking for calls. A connection to a host is opened when the
 * first call needs it and closed when a call on it times out.
 */

struct peer_conn;
struct peer_pending_call;
TAILQ_HEAD(peer_conns, peer_conn);

/* Fills in the reply to a call; its kind is set before. Returns 0 or an error. */
typedef int (*peer_call_fn)(void *ctx, const struct wire_opened *from,
			    struct fig_reply *reply);

/* Takes a one-way message. */
typedef void (*peer_message_fn)(void *ctx, const struct wire_opened *from);

/* reply is NULL where error is not 0: -ETIMEDOUT, -ECONNREFUSED, -EPIPE. */
typedef void (*peer_reply_fn)(void *ctx, int error,
			      const struct fig_reply *reply);

struct peer_counters {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
	uint64_t malformed;
	uint64_t unknown_version;
	uint64_t unauthenticated;
	uint64_t replayed;
	uint64_t stale; /* sealed before this start, or long ago */
	uint64_t conns_refused;
	uint64_t conns_expired;
	uint64_t calls_timed_out;
};

#define PEER_SENDERS_MAX 1024
#define PEER_CONNS_MAX 1024 /* open connections, in and out */
#define PEER_UNAUTHENTICATED_MAX                                               \
	32 /* connections that did not prove themselves */

struct peer_sender {
	char name[FIG_NAME_MAX + 1];
	struct wire_window replay_window;
	uint64_t last_received; /* number of its last message among all */
};

struct peer {
	struct ev_loop *loop;
	int udp_fd;
	int listen_fd;
	ev_io udp_io;
	ev_io listen_io;
	ev_timer sweep_timer; /* closes links that are of no use */
	struct wire_sealer sealer;
	struct peer_conns conns;
	uint32_t conn_n;
	uint32_t unauthenticated_n;
	uint32_t next_xid;
	peer_call_fn on_call;
	peer_message_fn on_message;
	void *ctx;
	struct peer_sender *sender;
	uint32_t sender_n;
	struct peer_counters counters;
};

int peer_init(struct peer *p, struct ev_loop *loop, const char *addr,
	      const char *host, const uint8_t secret[WIRE_SECRET_BYTES],
	      uint64_t boot, peer_call_fn handler, peer_message_fn receiver,
	      void *ctx);
void peer_finish(struct peer *p);
int peer_send(struct peer *p, const char *addr, const struct fig_call *call);
/* Done is called exactly once, never from within this function. */
int peer_call(struct peer *p, const char *addr, const struct fig_call *call,
	      uint32_t timeout_ms, peer_reply_fn done, void *ctx);

#endif
