#include <stdint.h>
#include <stdlib.h>

#include "sse.h"
#include "h1.h"

int LLVMFuzzerTestOneInput(const uint8_t *p, size_t n);

/* Decodes what stands behind a head, in two pieces, and cuts it into events. */
static void decode(const struct h1_head *h, const char *p, size_t n)
{
	struct h1_buf body = {0}, out = {0};
	struct sse_parser events;
	struct h1_body b;
	size_t used, half = n / 2;

	h1_body_init(&b, h);
	sse_init(&events);
	if (h1_body_feed(&b, p, half, &used, &body) == 0 && used <= half)
		h1_body_feed(&b, p + used, n - used, &used, &body);
	sse_feed(&events, h1_buf_data(&body), h1_buf_len(&body), &out);
	if (h1_buf_len(&out) > h1_buf_len(&body))
		abort();
	sse_finish(&events);
	h1_buf_finish(&body);
	h1_buf_finish(&out);
}

/* Heads of requests and answers, chunked bodies, event streams. */
int LLVMFuzzerTestOneInput(const uint8_t *p, size_t n)
{
	const char *text = (const char *)p;
	size_t head = h1_head_end(text, n);
	struct h1_head h;

	if (!head)
		return 0;
	if (h1_parse_request(&h, text, head) == 0) {
		decode(&h, text + head, n - head);
		h1_head_finish(&h);
	}
	if (h1_parse_response(&h, text, head) == 0) {
		decode(&h, text + head, n - head);
		h1_head_finish(&h);
	}
	return 0;
}
