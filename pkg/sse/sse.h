#ifndef FIGBEND_EVENTS_H
#define FIGBEND_SSE_H

#include <stddef.h>
#include <stdint.h>

#include "h1.h"

/*
 * Cuts a stream of server-sent events at their ends, so that only whole events
 * are handed on and a stream can go on after the last of them elsewhere.
 */

#define SSE_PARTIAL_MAX_BYTES 1048576

struct sse_parser {
	struct h1_buf partial; /* bytes after the last whole event */
	int64_t last_id;       /* of the last whole event; -1: none had one */
	uint64_t n_events;
};

void sse_init(struct sse_parser *e);
void sse_finish(struct sse_parser *e);
/* Forgets the bytes after the last whole event. */
void sse_drop_partial(struct sse_parser *e);
/*
 * Adds bytes and moves the whole events to out. Returns how many there are, or
 * -ENOMEM, -EMSGSIZE for an event without an end, -EBADMSG for one whose id does
 * not follow.
 */
int sse_feed(struct sse_parser *e, const void *p, size_t n, struct h1_buf *out);

#endif
