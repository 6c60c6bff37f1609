#ifndef FIGBEND_WIRE_H
#define FIGBEND_WIRE_H

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fig_msg.h"

/*
 * Bytes of the messages between hosts: an ONC RPC header, then a sealed body.
 * The seal proves with a shared secret that the sender belongs to the hosts,
 * and its counter lets a receiver refuse a message it has seen before.
 */

#define WIRE_SECRET_BYTES 32
#define WIRE_MESSAGE_MAX (FIG_BODY_MAX + 1024)
/* Goes up by one with each field added to a message that there was before. */
#define WIRE_MINOR 6

enum wire_direction {
	WIRE_CALL,
	WIRE_REPLY,
};

struct wire_sealer {
	uint8_t secret[WIRE_SECRET_BYTES];
	char sender[FIG_NAME_MAX + 1];
	uint64_t boot; /* start of the process, microseconds since the epoch */
	uint64_t counter;
	uint64_t sent_ms; /* time since the epoch; set before each message */
};

/* What a receiver keeps of one sender. */
struct wire_window {
	uint64_t boot;
	uint64_t highest;
	uint64_t seen[16]; /* bit of each of the last 1024 counters */
};

/* A message, opened. Strings inside are freed by wire_open_finish(). */
struct wire_opened {
	enum wire_direction direction;
	uint32_t xid;
	char sender[FIG_NAME_MAX + 1];
	uint64_t boot;
	uint64_t counter;
	uint64_t sent_ms;
	struct fig_call call;
	struct fig_reply reply;
};

int wire_seal_call(struct wire_sealer *s, uint32_t xid,
		   const struct fig_call *call, uint8_t **bytes, size_t *n);
int wire_seal_reply(struct wire_sealer *s, uint32_t xid,
		    const struct fig_reply *reply, uint8_t **bytes, size_t *n);
/* The kind is the one that the call had; it is used for replies only. */
int wire_open(const uint8_t secret[WIRE_SECRET_BYTES], const uint8_t *bytes,
	      size_t n, struct wire_opened *out);
void wire_open_finish(struct wire_opened *o);
bool wire_window_accept(struct wire_window *w, uint64_t boot, uint64_t counter);

#endif
