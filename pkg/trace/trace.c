#include "trace.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int trace_init(struct trace *t, uint32_t records)
{
	memset(t, 0, sizeof(*t));
	t->ring = calloc(records, sizeof(*t->ring));
	if (!t->ring)
		return -ENOMEM;
	t->capacity = records;
	return 0;
}

void trace_finish(struct trace *t)
{
	free(t->ring);
	memset(t, 0, sizeof(*t));
}

void trace_add(struct trace *t, int64_t at_us, const char *request_id,
	       uint32_t attempt, const char *event, const char *format, ...)
{
	struct trace_record *r = &t->ring[t->next++ % t->capacity];
	va_list args;

	r->at_us = at_us;
	r->attempt = attempt;
	snprintf(r->request_id, sizeof(r->request_id), "%s", request_id);
	snprintf(r->event, sizeof(r->event), "%s", event);
	va_start(args, format);
	vsnprintf(r->text, sizeof(r->text), format, args);
	va_end(args);
}

uint32_t trace_find(const struct trace *t, const char *request_id,
		    trace_record_fn visit, void *ctx)
{
	uint64_t i = t->next > t->capacity ? t->next - t->capacity : 0;
	const struct trace_record *r;
	uint32_t n = 0;

	for (; i < t->next; i++) {
		r = &t->ring[i % t->capacity];
		if (strcmp(r->request_id, request_id))
			continue;
		visit(ctx, r);
		n++;
	}
	return n;
}
