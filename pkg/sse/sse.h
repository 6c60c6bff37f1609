#ifndef FIGBEND_SSE_H
#define FIGBEND_SSE_H

#include <stddef.h>
#include <stdint.h>

#include "h1.h"

/*
 * Incremental parser that splits a byte stream of server-sent events into
 * complete events. Because only complete events are forwarded, a stream that
 * breaks off can be resumed at another endpoint after last_id.
 */

#define SSE_PARTIAL_MAX_BYTES 262144

struct sse_parser {
	struct h1_buf partial; /* bytes of the event not yet complete */
	int64_t last_id;       /* highest event id parsed, -1 if none */
	int64_t previous_id;   /* the one before it, 0 if none */
	uint64_t n_events;     /* complete events parsed */
};

void sse_init(struct sse_parser *p);
/* Frees the buffer, not p itself. */
void sse_finish(struct sse_parser *p);
/* Discards the incomplete event, so that p can parse a resumed stream. */
void sse_drop_partial(struct sse_parser *p);
/*
 * Parses n bytes of data and appends the complete events to out, unchanged, and
 * comments that stand apart. Returns 0, or -ENOMEM, -EMSGSIZE if an incomplete
 * event exceeds SSE_PARTIAL_MAX_BYTES, or -EBADMSG if an event's id is not greater
 * than last_id. -EILSEQ stands for the same if the id would fit before last_id: it
 * is unknown which of the two is wrong, and so after which event the stream could
 * be resumed. On an error out holds the events before the faulty one, and last_id
 * and n_events count them: the caller passes them on in either case, or the stream
 * that resumes after last_id lacks them.
 */
int sse_feed(struct sse_parser *p, const void *data, size_t n,
	     struct h1_buf *out);

#endif
