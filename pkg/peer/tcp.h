#ifndef FIGBEND_PEER_TCP_H
#define FIGBEND_PEER_TCP_H

#include "peer.h"

struct peer_buffer {
	uint8_t *bytes;
	size_t n;
	size_t capacity;
};

/* A call that waits for its reply. */
struct peer_pending_call {
	struct peer_conn *conn;
	uint32_t xid;
	ev_timer timer;
	peer_reply_fn on_reply;
	void *ctx;
	TAILQ_ENTRY(peer_pending_call) entry;
};
TAILQ_HEAD(peer_pending_calls, peer_pending_call);

/* A TCP connection, made by us (addr is set) or by another host. */
struct peer_conn {
	struct peer *peer;
	int fd;
	ev_io io;
	char addr[64];
	struct peer_buffer in;
	struct peer_buffer out;
	struct peer_pending_calls pending;
	ev_tstamp last_progress_s; /* bytes last went either way */
	bool unauthenticated;	   /* made by another, who proved nothing yet */
	TAILQ_ENTRY(peer_conn) entry;
};

uint64_t peer_wall_clock_ms(void);
int peer_parse_addr(const char *addr, struct sockaddr_in *sin);
/* Opens and admits a message; counts and refuses what is not one. */
int peer_receive(struct peer *p, const uint8_t *bytes, size_t n,
		 struct wire_opened *o);
void peer_conn_accept(struct peer *p, int fd);
void peer_conn_sweep(struct peer *p, ev_tstamp now);
void peer_conn_close(struct peer_conn *l, int error);
struct peer_conn *peer_conn_get(struct peer *p, const char *addr);
int peer_conn_write(struct peer_conn *l, const uint8_t *bytes, size_t n);

#endif
