#include "sse.h"

#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

void sse_init(struct sse_parser *p)
{
	memset(p, 0, sizeof(*p));
	p->last_id = -1;
}

void sse_finish(struct sse_parser *p)
{
	h1_buf_finish(&p->partial);
}

void sse_drop_partial(struct sse_parser *p)
{
	h1_buf_finish(&p->partial);
}

/*
 * Returns the length of the first event including the empty line that ends it,
 * or 0 if no event is complete.
 */
static size_t event_len(const char *s, size_t n)
{
	size_t i;

	for (i = 0; i + 1 < n; i++) {
		if (s[i] != '\n')
			continue;
		if (s[i + 1] == '\n')
			return i + 2;
		if (s[i + 1] == '\r' && i + 2 < n && s[i + 2] == '\n')
			return i + 3;
	}
	return 0;
}

/* Returns the event's id, or -1 if it has no numeric id. */
static int64_t event_id(const char *s, size_t n)
{
	const char *end = s + n, *line = s, *next;

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

/* Returns true if the block has a line that is not a comment. */
static bool is_event(const char *s, size_t n)
{
	const char *end = s + n, *next;

	for (; s < end; s = next + 1) {
		if (*s != ':' && *s != '\n' && *s != '\r')
			return true;
		next = memchr(s, '\n', (size_t)(end - s));
		if (!next)
			break;
	}
	return false;
}

int sse_feed(struct sse_parser *p, const void *data, size_t n,
	     struct h1_buf *out)
{
	size_t len;
	int64_t id;

	if (h1_buf_append(&p->partial, data, n) < 0)
		return -ENOMEM;
	for (;;) {
		const char *event = h1_buf_data(&p->partial);

		len = event_len(event, h1_buf_len(&p->partial));
		if (!len)
			break;
		id = event_id(event, len);
		if (id >= 0 && id <= p->last_id)
			return id > p->previous_id + 1 ? -EILSEQ : -EBADMSG;
		if (h1_buf_append(out, event, len) < 0)
			return -ENOMEM;
		if (id >= 0) {
			p->previous_id = p->last_id > 0 ? p->last_id : 0;
			p->last_id = id;
		}
		p->n_events += is_event(event, len);
		h1_buf_consume(&p->partial, len);
	}
	return h1_buf_len(&p->partial) > SSE_PARTIAL_MAX_BYTES ? -EMSGSIZE : 0;
}
