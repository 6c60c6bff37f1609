#ifndef FIGBEND_TRACE_H
#define FIGBEND_TRACE_H

#include <stdint.h>

/*
 * Ring buffer of the latest events of all requests on this host, to explain
 * how a request was handled. When the ring is full, a new record overwrites the
 * oldest one. Timestamps are given by the caller and only stored; records are
 * ordered by the calls of trace_add.
 */

/* Sizes include the NUL. */
#define TRACE_REQUEST_ID_BYTES 48
#define TRACE_EVENT_BYTES 16
#define TRACE_TEXT_BYTES 128

struct trace_record {
	int64_t at_us;	  /* as given to trace_add */
	uint32_t attempt; /* number of the request's attempt, from 1 */
	char request_id[TRACE_REQUEST_ID_BYTES];
	char event[TRACE_EVENT_BYTES];
	char text[TRACE_TEXT_BYTES]; /* details as key=value */
};

struct trace {
	struct trace_record *ring;
	uint32_t capacity; /* records */
	uint64_t next;	   /* number of records added so far */
};

/* Called for each matching record; r is valid until the handler returns. */
typedef void (*trace_record_fn)(void *ctx, const struct trace_record *r);

/* Allocates the ring; records must be at least 1. Returns 0 or -ENOMEM. */
int trace_init(struct trace *t, uint32_t records);
void trace_finish(struct trace *t);
/*
 * Records an event of a request; format and its arguments give the text. Copies
 * the strings and truncates them to the sizes above. A request with a truncated
 * id is not found by trace_find.
 */
void trace_add(struct trace *t, int64_t at_us, const char *request_id,
	       uint32_t attempt, const char *event, const char *format, ...)
	__attribute__((format(printf, 6, 7)));
/*
 * Calls visit for each record of a request that is still in the ring, oldest
 * first. visit must not add records. Returns the number of records visited.
 */
uint32_t trace_find(const struct trace *t, const char *request_id,
		    trace_record_fn visit, void *ctx);

#endif
