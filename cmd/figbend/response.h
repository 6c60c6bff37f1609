#ifndef FIGBEND_RESPONSE_H
#define FIGBEND_RESPONSE_H

#include "httpd.h"
#include "request.h"

/*
 * HTTP responses to callers: error objects, completion objects and streams of
 * server-sent events, in the JSON form of the OpenAI API. The functions copy
 * what they send. Those that end the response also release the call, which must
 * not be used afterwards.
 */

/* An error object. Strings are borrowed. */
struct response_error {
	unsigned int status; /* of HTTP */
	const char *code;    /* stable identifier, for programs */
	const char *message; /* for people */
	const char *request_id;
	bool not_executed;	/* true only if that is certain */
	uint32_t retry_after_s; /* Retry-After header; 0 for none */
};

/* What the parts of one completion have in common. Strings are borrowed. */
struct response_completion {
	const char *id; /* of the request */
	const char *model;
	bool chat; /* a chat completion; else a text completion */
};

/* Sends an error and ends the response. */
void response_send_error(struct httpd_call *c, const struct response_error *e);
/*
 * Sends the error of a request and ends the response. Status and message follow
 * from the error, and so does Retry-After if retry_after_s is 0.
 */
void response_send_request_error(struct httpd_call *c, const char *request_id,
				 enum request_error error, bool not_executed,
				 uint32_t retry_after_s);
/* Sends a completion in one piece, with usage counts, and ends the response. */
void response_send_completion(struct httpd_call *c,
			      const struct response_completion *info,
			      const char *text, const char *finish_reason,
			      uint32_t prompt_tokens, uint32_t output_tokens);

/* Starts a stream. Errors are ignored: the caller may have disconnected. */
void response_stream_start(struct httpd_call *c,
			   const struct response_completion *info);
/* Writes text as one chunk. Returns 0, -EPIPE or -ENOMEM. */
int response_stream_token(struct httpd_call *c,
			  const struct response_completion *info,
			  const char *text);
/* Writes the last chunk, with usage counts, and [DONE]; ends the response. */
void response_stream_end(struct httpd_call *c,
			 const struct response_completion *info,
			 const char *finish_reason, uint32_t prompt_tokens,
			 uint32_t output_tokens);
/*
 * Ends a stream before its output is complete: writes an error event and no
 * [DONE], and ends the response.
 */
void response_stream_error(struct httpd_call *c, const char *request_id,
			   enum request_error error);

#endif
