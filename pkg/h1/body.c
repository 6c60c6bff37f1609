#include "h1.h"

#include <ctype.h>
#include <errno.h>
#include <string.h>

/* Hexadecimal digits in a chunk size; a chunk has less than 4 GiB. */
#define SIZE_DIGITS_MAX 8
/*
 * Chunk extensions and trailers of one body, which are discarded. No caller or
 * endpoint is expected to send any.
 */
#define OVERHEAD_MAX_BYTES 4096

void h1_body_init(struct h1_body *b, const struct h1_head *h)
{
	memset(b, 0, sizeof(*b));
	b->framing = h->framing;
	b->remaining_bytes = h->framing == H1_CONTENT_LENGTH ? h->length_bytes
							     : 0;
	b->complete = h->framing == H1_NO_BODY ||
		      (h->framing == H1_CONTENT_LENGTH && h->length_bytes == 0);
}

/* Returns the value of a hexadecimal digit, or -1. */
static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	c = (char)tolower((unsigned char)c);
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

/* Parses one byte of a chunk size. Returns 0 or -EBADMSG. */
static int parse_size_byte(struct h1_body *b, char c)
{
	int digit = hex_digit(c);

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

/* Enters the next state if c is the expected byte, else returns -EBADMSG. */
static int expect_byte(struct h1_body *b, char c, char expected,
		       enum h1_chunk_state next)
{
	if (c != expected)
		return -EBADMSG;
	b->chunk_state = next;
	return 0;
}

/*
 * Skips a byte of an extension or a trailer line; the CR at the end of the line
 * enters the next state. Returns 0 or -EBADMSG.
 */
static int skip_line_byte(struct h1_body *b, char c, enum h1_chunk_state next)
{
	if (++b->overhead_bytes > OVERHEAD_MAX_BYTES)
		return -EBADMSG;
	if (c == '\r')
		b->chunk_state = next;
	else if ((unsigned char)c < ' ' && c != '\t')
		return -EBADMSG;
	return 0;
}

/* Parses one byte outside the data of a chunk. Returns 0 or -EBADMSG. */
static int parse_chunk_byte(struct h1_body *b, char c)
{
	switch (b->chunk_state) {
	case H1_CHUNK_SIZE:
		return parse_size_byte(b, c);
	case H1_CHUNK_EXTENSION:
		return skip_line_byte(b, c, H1_CHUNK_SIZE_LF);
	case H1_CHUNK_SIZE_LF:
		return expect_byte(b, c, '\n',
				   b->remaining_bytes ? H1_CHUNK_DATA
						      : H1_CHUNK_TRAILER);
	case H1_CHUNK_DATA_CR:
		return expect_byte(b, c, '\r', H1_CHUNK_DATA_LF);
	case H1_CHUNK_DATA_LF:
		b->size_digits = 0;
		return expect_byte(b, c, '\n', H1_CHUNK_SIZE);
	case H1_CHUNK_TRAILER:
		b->chunk_state = c == '\r' ? H1_CHUNK_END_LF
					   : H1_CHUNK_TRAILER_LINE;
		return c == '\r' ? 0
				 : skip_line_byte(b, c, H1_CHUNK_TRAILER_LF);
	case H1_CHUNK_TRAILER_LINE:
		return skip_line_byte(b, c, H1_CHUNK_TRAILER_LF);
	case H1_CHUNK_TRAILER_LF:
		return expect_byte(b, c, '\n', H1_CHUNK_TRAILER);
	case H1_CHUNK_END_LF:
		b->complete = c == '\n';
		return b->complete ? 0 : -EBADMSG;
	case H1_CHUNK_DATA:
		break;
	}
	return -EBADMSG;
}

static int decode_chunked(struct h1_body *b, const char *p, size_t n,
			  size_t *used, struct h1_buf *out)
{
	size_t len;
	int r;

	while (*used < n && !b->complete) {
		if (b->chunk_state != H1_CHUNK_DATA) {
			r = parse_chunk_byte(b, p[(*used)++]);
			if (r < 0)
				return r;
			continue;
		}
		len = n - *used;
		if (len > b->remaining_bytes)
			len = (size_t)b->remaining_bytes;
		if (h1_buf_append(out, p + *used, len) < 0)
			return -ENOMEM;
		*used += len;
		b->remaining_bytes -= len;
		if (!b->remaining_bytes)
			b->chunk_state = H1_CHUNK_DATA_CR;
	}
	return 0;
}

int h1_body_feed(struct h1_body *b, const char *p, size_t n, size_t *used,
		 struct h1_buf *out)
{
	size_t len = n;

	*used = 0;
	if (b->complete)
		return 0;
	if (b->framing == H1_CHUNKED)
		return decode_chunked(b, p, n, used, out);
	if (b->framing == H1_CONTENT_LENGTH && len > b->remaining_bytes)
		len = (size_t)b->remaining_bytes;
	if (h1_buf_append(out, p, len) < 0)
		return -ENOMEM;
	*used = len;
	if (b->framing == H1_CONTENT_LENGTH) {
		b->remaining_bytes -= len;
		b->complete = b->remaining_bytes == 0;
	}
	return 0;
}
