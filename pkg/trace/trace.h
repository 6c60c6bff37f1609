#ifndef FIGBEND_TRACE_H
#define FIGBEND_TRACE_H

#include <stdint.h>

/*
 * The last decisions of a host, in a ring: what happened to a request, when,
 * and why. The oldest make room for new ones.
 */

#define TRACE_REQUEST_ID_BYTES 48
#define TRACE_EVENT_BYTES 16
#define TRACE_TEXT_BYTES 128

struct trace_record {
	int64_t at_us;
	uint32_t attempt;
	char request_id[TRACE_REQUEST_ID_BYTES];
	char event[TRACE_EVENT_BYTES];
	char text[TRACE_TEXT_BYTES];
};

struct trace {
	struct trace_record *ring;
	uint32_t capacity;
	uint64_t next; /* number of the next record, from 0 */
};

typedef void (*trace_record_fn)(void *ctx, const struct trace_record *r);

int trace_init(struct trace *t, uint32_t records);
void trace_finish(struct trace *t);
void trace_add(struct trace *t, int64_t at_us, const char *request,
	       uint32_t attempt, const char *what, const char *format, ...)
	__attribute__((format(printf, 6, 7)));
uint32_t trace_find(const struct trace *t, const char *request,
		    trace_record_fn take, void *ctx);

#endif
