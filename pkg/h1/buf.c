#include "h1.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_BYTES 512
/* Memory that an empty buffer keeps for its next content, at most. Connections stay
 * open for long after a large message. */
#define EMPTY_MAX_BYTES 4096

void h1_buf_finish(struct h1_buf *b)
{
	free(b->data);
	memset(b, 0, sizeof(*b));
}

/*
 * Makes space for n more bytes at the end; moves the bytes to the front before
 * it grows the memory. Returns 0 or -ENOMEM.
 */
static int reserve(struct h1_buf *b, size_t n)
{
	size_t capacity = b->capacity ? b->capacity : INITIAL_BYTES;
	char *p;

	if (b->end + n <= b->capacity)
		return 0;
	if (b->start) {
		memmove(b->data, b->data + b->start, b->end - b->start);
		b->end -= b->start;
		b->start = 0;
	}
	while (b->end + n > capacity)
		capacity *= 2;
	if (capacity == b->capacity)
		return 0;
	p = realloc(b->data, capacity);
	if (!p)
		return -ENOMEM;
	b->data = p;
	b->capacity = capacity;
	return 0;
}

int h1_buf_append(struct h1_buf *b, const void *p, size_t n)
{
	if (!n)
		return 0;
	if (reserve(b, n) < 0)
		return -ENOMEM;
	memcpy(b->data + b->end, p, n);
	b->end += n;
	return 0;
}

int h1_buf_printf(struct h1_buf *b, const char *format, ...)
{
	va_list ap;
	int n;

	va_start(ap, format);
	n = vsnprintf(NULL, 0, format, ap);
	va_end(ap);
	if (n < 0 || reserve(b, (size_t)n + 1) < 0)
		return -ENOMEM;
	va_start(ap, format);
	vsnprintf(b->data + b->end, (size_t)n + 1, format, ap);
	va_end(ap);
	b->end += (size_t)n;
	return 0;
}

void h1_buf_consume(struct h1_buf *b, size_t n)
{
	b->start += n;
	if (b->start < b->end)
		return;
	b->start = b->end = 0;
	if (b->capacity > EMPTY_MAX_BYTES)
		h1_buf_finish(b);
}

size_t h1_buf_len(const struct h1_buf *b)
{
	return b->end - b->start;
}

const char *h1_buf_data(const struct h1_buf *b)
{
	return b->data ? b->data + b->start : "";
}
