#include "sse.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Starts before the first event. */
void sse_init(struct sse_parser *e)
{
	memset(e, 0, sizeof(*e));
	e->last_id = -1;
}

/* Frees what is held. */
void sse_finish(struct sse_parser *e)
{
	h1_buf_finish(&e->partial);
}

/* See events.h. */
void sse_drop_partial(struct sse_parser *e)
{
	h1_buf_finish(&e->partial);
}

/* Returns the size of the first event with its empty line, or 0. */
static size_t event_bytes(const char *p, size_t n)
{
	size_t i;

	for (i = 0; i + 1 < n; i++) {
		if (p[i] != '\n')
			continue;
		if (p[i + 1] == '\n')
			return i + 2;
		if (p[i + 1] == '\r' && i + 2 < n && p[i + 2] == '\n')
			return i + 3;
	}
	return 0;
}

/* Returns the event's id, or -1 if it has none that is a number. */
static int64_t event_id(const char *p, size_t n)
{
	const char *end = p + n, *line = p, *next;

	while (line < end) {
		next = memchr(line, '\n', (size_t)(end - line));
		if (!next)
			break;
		if (next - line > 3 && memcmp(line, "id:", 3) == 0) {
			line += 3;
			while (*line == ' ')
				line++;
			return *line >= '0' && *line <= '9'
				       ? strtoll(line, NULL, 10)
				       : -1;
		}
		line = next + 1;
	}
	return -1;
}

/* See events.h. */
int sse_feed(struct sse_parser *e, const void *p, size_t n, struct h1_buf *out)
{
	int count = 0;
	size_t size;
	int64_t id;

	if (h1_buf_append(&e->partial, p, n) < 0)
		return -ENOMEM;
	for (;;) {
		const char *at = h1_buf_data(&e->partial);

		size = event_bytes(at, h1_buf_len(&e->partial));
		if (!size)
			break;
		id = event_id(at, size);
		if (id >= 0 && id <= e->last_id)
			return -EBADMSG;
		if (id >= 0)
			e->last_id = id;
		if (h1_buf_append(out, at, size) < 0)
			return -ENOMEM;
		h1_buf_consume(&e->partial, size);
		e->n_events++;
		count++;
	}
	return h1_buf_len(&e->partial) > SSE_PARTIAL_MAX_BYTES ? -EMSGSIZE
							       : count;
}
