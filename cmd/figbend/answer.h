#ifndef FIGBEND_ANSWER_H
#define FIGBEND_ANSWER_H

#include "httpd.h"
#include "request.h"

/* What callers get: error objects, completion objects and stream chunks. */

struct answer_error {
	unsigned int status;
	const char *code;
	const char *message;
	const char *request_id;
	bool not_run;
	uint32_t retry_after_s; /* 0: none */
};

struct answer_form {
	const char *id;
	const char *model;
	bool chat;
};

void answer_error(struct httpd_call *c, const struct answer_error *e);
void answer_refusal(struct httpd_call *c, const char *request_id,
		    enum request_error why, bool not_run,
		    uint32_t retry_after_s);
void answer_stream_open(struct httpd_call *c, const struct answer_form *f);
int answer_stream_token(struct httpd_call *c, const struct answer_form *f,
			const char *text);
void answer_stream_end(struct httpd_call *c, const struct answer_form *f,
		       const char *finish, uint32_t prompt_tokens,
		       uint32_t output_tokens);
void answer_stream_cut(struct httpd_call *c, const char *request_id,
		       enum request_error why);
void answer_whole(struct httpd_call *c, const struct answer_form *f,
		  const char *text, const char *finish, uint32_t prompt_tokens,
		  uint32_t output_tokens);

#endif
