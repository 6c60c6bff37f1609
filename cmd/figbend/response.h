#ifndef FIGBEND_RESPONSE_H
#define FIGBEND_RESPONSE_H

#include "httpd.h"
#include "request.h"

/* What callers get: error objects, completion objects and stream chunks. */

struct response_error {
	unsigned int status;
	const char *code;
	const char *message;
	const char *request_id;
	bool not_executed;
	uint32_t retry_after_s; /* 0: none */
};

struct response_completion {
	const char *id;
	const char *model;
	bool chat;
};

void response_send_error(struct httpd_call *c, const struct response_error *e);
void response_send_request_error(struct httpd_call *c, const char *request_id,
				 enum request_error why, bool not_run,
				 uint32_t retry_after_s);
void response_stream_start(struct httpd_call *c,
			   const struct response_completion *f);
int response_stream_token(struct httpd_call *c,
			  const struct response_completion *f,
			  const char *text);
void response_stream_end(struct httpd_call *c,
			 const struct response_completion *f,
			 const char *finish, uint32_t prompt_tokens,
			 uint32_t output_tokens);
void response_stream_error(struct httpd_call *c, const char *request_id,
			   enum request_error why);
void response_send_completion(struct httpd_call *c,
			      const struct response_completion *f,
			      const char *text, const char *finish,
			      uint32_t prompt_tokens, uint32_t output_tokens);

#endif
