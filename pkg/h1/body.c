#include "h1.h"

#include <ctype.h>
#include <errno.h>
#include <string.h>

/* A chunk's size has at most 8 hex digits: 4 GB. */
#define SIZE_DIGITS_MAX 8
/* Extensions and trailers of one body; nobody here sends any. */
#define OVERHEAD_MAX_BYTES 4096

/* Starts to decode the body that the head announces. */
void h1_body_init(struct h1_body *b, const struct h1_head *h)
{
	memset(b, 0, sizeof(*b));
	b->framing = h->framing;
	b->remaining_bytes = h->framing == H1_CONTENT_LENGTH ? h->length_bytes
							     : 0;
	b->complete = h->framing == H1_NO_BODY ||
		      (h->framing == H1_CONTENT_LENGTH && h->length_bytes == 0);
}

static int hex(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	c = (char)tolower((unsigned char)c);
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

/* Reads one byte of a chunk's size. */
static int size_byte(struct h1_body *b, char c)
{
	int digit = hex(c);

	if (digit >= 0) {
		if (++b->size_digits > SIZE_DIGITS_MAX)
			return -EBADMSG;
		b->remaining_bytes = b->remaining_bytes * 16 + (uint64_t)digit;
		return 0;
	}
	if (!b->size_digits)
		return -EBADMSG;
	if (c == '\r')
		b->chunk_state = H1_CHUNK_SIZE_LF;
	else if (c == ';')
		b->chunk_state = H1_CHUNK_EXTENSION;
	else
		return -EBADMSG;
	return 0;
}

/* Moves on if the byte is the one expected. */
static int expect(struct h1_body *b, char c, char wanted,
		  enum h1_chunk_state next)
{
	if (c != wanted)
		return -EBADMSG;
	b->chunk_state = next;
	return 0;
}

/* Reads a byte of text up to the CR of its line. */
static int text_byte(struct h1_body *b, char c, enum h1_chunk_state at_end)
{
	if (++b->overhead_bytes > OVERHEAD_MAX_BYTES)
		return -EBADMSG;
	if (c == '\r')
		b->chunk_state = at_end;
	else if ((unsigned char)c < ' ' && c != '\t')
		return -EBADMSG;
	return 0;
}

/* Reads one byte outside of a chunk's data. */
static int chunk_byte(struct h1_body *b, char c)
{
	switch (b->chunk_state) {
	case H1_CHUNK_SIZE:
		return size_byte(b, c);
	case H1_CHUNK_EXTENSION:
		return text_byte(b, c, H1_CHUNK_SIZE_LF);
	case H1_CHUNK_SIZE_LF:
		return expect(b, c, '\n',
			      b->remaining_bytes ? H1_CHUNK_DATA
						 : H1_CHUNK_TRAILER);
	case H1_CHUNK_DATA_CR:
		return expect(b, c, '\r', H1_CHUNK_DATA_LF);
	case H1_CHUNK_DATA_LF:
		b->size_digits = 0;
		return expect(b, c, '\n', H1_CHUNK_SIZE);
	case H1_CHUNK_TRAILER:
		b->chunk_state = c == '\r' ? H1_CHUNK_END_LF
					   : H1_CHUNK_TRAILER_LINE;
		return c == '\r' ? 0 : text_byte(b, c, H1_CHUNK_TRAILER_LF);
	case H1_CHUNK_TRAILER_LINE:
		return text_byte(b, c, H1_CHUNK_TRAILER_LF);
	case H1_CHUNK_TRAILER_LF:
		return expect(b, c, '\n', H1_CHUNK_TRAILER);
	case H1_CHUNK_END_LF:
		b->complete = c == '\n';
		return b->complete ? 0 : -EBADMSG;
	case H1_CHUNK_DATA:
		break;
	}
	return -EBADMSG;
}

static int feed_chunked(struct h1_body *b, const char *p, size_t n,
			size_t *used, struct h1_buf *out)
{
	size_t take;
	int r;

	while (*used < n && !b->complete) {
		if (b->chunk_state != H1_CHUNK_DATA) {
			r = chunk_byte(b, p[(*used)++]);
			if (r < 0)
				return r;
			continue;
		}
		take = n - *used;
		if (take > b->remaining_bytes)
			take = (size_t)b->remaining_bytes;
		if (h1_buf_append(out, p + *used, take) < 0)
			return -ENOMEM;
		*used += take;
		b->remaining_bytes -= take;
		if (!b->remaining_bytes)
			b->chunk_state = H1_CHUNK_DATA_CR;
	}
	return 0;
}

/* See h1.h. */
int h1_body_feed(struct h1_body *b, const char *p, size_t n, size_t *used,
		 struct h1_buf *out)
{
	size_t take = n;

	*used = 0;
	if (b->complete)
		return 0;
	if (b->framing == H1_CHUNKED)
		return feed_chunked(b, p, n, used, out);
	if (b->framing == H1_CONTENT_LENGTH && take > b->remaining_bytes)
		take = (size_t)b->remaining_bytes;
	if (h1_buf_append(out, p, take) < 0)
		return -ENOMEM;
	*used = take;
	if (b->framing == H1_CONTENT_LENGTH) {
		b->remaining_bytes -= take;
		b->complete = b->remaining_bytes == 0;
	}
	return 0;
}
