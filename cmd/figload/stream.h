#ifndef FIGBEND_STREAM_H
#define FIGBEND_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A streamed answer as it arrives, checked against what is due. */

#define STREAM_LINE_BYTES 4096
#define STREAM_CODE_BYTES 32

struct stream {
	uint64_t hash;		      /* of prompt and seed, see textgen */
	uint32_t position;	      /* tokens that arrived */
	bool done;		      /* [DONE] was seen */
	bool wrong;		      /* a token was not the one due */
	bool not_run;		      /* as an error object said */
	char code[STREAM_CODE_BYTES]; /* of an error object, or "" */
	char line[STREAM_LINE_BYTES];
	size_t line_n;
};

void stream_init(struct stream *s, uint64_t hash);
void stream_bytes(struct stream *s, const char *bytes, size_t n);
void stream_text(struct stream *s, const char *text);
/* Takes the error object of an answer that is no stream. */
void stream_error(struct stream *s, const char *body, size_t n);

#endif
