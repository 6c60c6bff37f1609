#include "response.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#include <json-c/json.h>

#define ID_HEADER "X-Request-Id"
#define JSON_TYPE "application/json"
#define PLAIN JSON_C_TO_STRING_PLAIN

struct refusal_row {
	unsigned int status;
	const char *message;
	uint32_t retry_after_s;
};

static const struct refusal_row refusals[REQUEST_ERR_COUNT] = {
	[REQUEST_ERR_RATE_LIMITED] = {429, "the account is over its rate", 1},
	[REQUEST_ERR_OVER_BURST] = {413, "the prompt is larger than the burst",
				    0},
	[REQUEST_ERR_OVERLOADED] = {503, "the first token would be late", 1},
	[REQUEST_ERR_UNAVAILABLE] = {503, "no endpoint can be had", 1},
	[REQUEST_ERR_STOPPING] = {503, "this host is stopping", 1},
	[REQUEST_ERR_QUARANTINED] = {503, "the request crashed endpoints", 60},
	[REQUEST_ERR_FAILED] = {502, "the endpoints failed", 1},
	[REQUEST_ERR_TIMED_OUT] = {504, "the request took too long", 0},
	[REQUEST_ERR_KEY_WITHDRAWN] = {401, "the key was withdrawn", 0},
};

static struct json_object *error_object(const struct response_error *e)
{
	struct json_object *root = json_object_new_object();
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "code", json_object_new_string(e->code));
	json_object_object_add(o, "message",
			       json_object_new_string(e->message));
	json_object_object_add(o, "request_id",
			       json_object_new_string(e->request_id));
	json_object_object_add(o, "not_run",
			       json_object_new_boolean(e->not_executed));
	json_object_object_add(root, "error", o);
	return root;
}

/*
 * Answers a call with the usual error object and lets go of the call. not_run
 * is set only where it is known that the call did not run.
 */
void response_send_error(struct httpd_call *c, const struct response_error *e)
{
	struct json_object *root = error_object(e);
	const char *text = json_object_to_json_string_ext(root, PLAIN);
	char seconds[16];
	const char *headers[] = {ID_HEADER, e->request_id, NULL, NULL, NULL};

	snprintf(seconds, sizeof(seconds), "%u", e->retry_after_s);
	if (e->retry_after_s) {
		headers[2] = "Retry-After";
		headers[3] = seconds;
	}
	httpd_answer(c, e->status, JSON_TYPE, headers, text, strlen(text));
	json_object_put(root);
}

/* Answers a refused request; retry_after_s 0 takes the refusal's own. */
void response_send_request_error(struct httpd_call *c, const char *request_id,
				 enum request_error why, bool not_run,
				 uint32_t retry_after_s)
{
	const struct refusal_row *row = &refusals[why];
	struct response_error e = {.status = row->status,
				   .code = request_error_code(why),
				   .message = row->message,
				   .request_id = request_id,
				   .not_executed = not_run};

	e.retry_after_s = retry_after_s ? retry_after_s : row->retry_after_s;
	response_send_error(c, &e);
}

static struct json_object *usage_object(uint32_t prompt_tokens,
					uint32_t output_tokens)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "prompt_tokens",
			       json_object_new_int64(prompt_tokens));
	json_object_object_add(o, "completion_tokens",
			       json_object_new_int64(output_tokens));
	json_object_object_add(
		o, "total_tokens",
		json_object_new_int64((int64_t)prompt_tokens + output_tokens));
	return o;
}

static struct json_object *finish_value(const char *finish)
{
	return finish ? json_object_new_string(finish) : NULL;
}

/* Makes a completion object around one choice, which it takes over. */
static struct json_object *completion(const struct response_completion *f,
				      const char *object,
				      struct json_object *choice)
{
	struct json_object *root = json_object_new_object();
	struct json_object *choices = json_object_new_array();

	json_object_object_add(root, "id", json_object_new_string(f->id));
	json_object_object_add(root, "object", json_object_new_string(object));
	json_object_object_add(root, "created",
			       json_object_new_int64(time(NULL)));
	json_object_object_add(root, "model", json_object_new_string(f->model));
	json_object_object_add(choice, "index", json_object_new_int(0));
	json_object_array_add(choices, choice);
	json_object_object_add(root, "choices", choices);
	return root;
}

/* Starts a stream of server-sent events; a caller that is gone is no error. */
void response_stream_start(struct httpd_call *c,
			   const struct response_completion *f)
{
	const char *const headers[] = {ID_HEADER, f->id, "Cache-Control",
				       "no-store", NULL};

	httpd_stream_start(c, 200, "text/event-stream", headers);
}

static int write_event(struct httpd_call *c, const char *text)
{
	int r;

	r = httpd_stream_write(c, "data: ", 6);
	if (r == 0)
		r = httpd_stream_write(c, text, strlen(text));
	if (r == 0)
		r = httpd_stream_write(c, "\n\n", 2);
	return r;
}

static struct json_object *chunk(const struct response_completion *f,
				 const char *text, const char *finish)
{
	struct json_object *choice = json_object_new_object();
	struct json_object *delta;

	if (f->chat) {
		delta = json_object_new_object();
		if (text)
			json_object_object_add(delta, "content",
					       json_object_new_string(text));
		json_object_object_add(choice, "delta", delta);
	} else {
		json_object_object_add(choice, "text",
				       json_object_new_string(text ? text
								   : ""));
	}
	json_object_object_add(choice, "finish_reason", finish_value(finish));
	return completion(f,
			  f->chat ? "chat.completion.chunk" : "text_completion",
			  choice);
}

/* Writes one token. Returns 0, -EPIPE or -ENOMEM. */
int response_stream_token(struct httpd_call *c,
			  const struct response_completion *f, const char *text)
{
	struct json_object *root = chunk(f, text, NULL);
	int r;

	r = write_event(c, json_object_to_json_string_ext(root, PLAIN));
	json_object_put(root);
	return r;
}

/* Writes the last chunk, with the usage counts, and ends the stream. */
void response_stream_end(struct httpd_call *c,
			 const struct response_completion *f,
			 const char *finish, uint32_t prompt_tokens,
			 uint32_t output_tokens)
{
	struct json_object *root = chunk(f, NULL, finish);

	json_object_object_add(root, "usage",
			       usage_object(prompt_tokens, output_tokens));
	write_event(c, json_object_to_json_string_ext(root, PLAIN));
	json_object_put(root);
	write_event(c, "[DONE]");
	httpd_stream_end(c);
}

/* Ends a stream whose answer is not whole: an error event, no [DONE]. */
void response_stream_error(struct httpd_call *c, const char *request_id,
			   enum request_error why)
{
	struct response_error e = {.code = request_error_code(why),
				   .message = refusals[why].message,
				   .request_id = request_id};
	struct json_object *root = error_object(&e);

	write_event(c, json_object_to_json_string_ext(root, PLAIN));
	json_object_put(root);
	httpd_stream_end(c);
}

/* Answers in one piece. */
void response_send_completion(struct httpd_call *c,
			      const struct response_completion *f,
			      const char *text, const char *finish,
			      uint32_t prompt_tokens, uint32_t output_tokens)
{
	struct json_object *choice = json_object_new_object();
	const char *headers[] = {ID_HEADER, f->id, NULL};
	struct json_object *message, *root;
	const char *body;

	if (f->chat) {
		message = json_object_new_object();
		json_object_object_add(message, "role",
				       json_object_new_string("assistant"));
		json_object_object_add(message, "content",
				       json_object_new_string(text));
		json_object_object_add(choice, "message", message);
	} else {
		json_object_object_add(choice, "text",
				       json_object_new_string(text));
	}
	json_object_object_add(choice, "finish_reason", finish_value(finish));
	root = completion(f, f->chat ? "chat.completion" : "text_completion",
			  choice);
	json_object_object_add(root, "usage",
			       usage_object(prompt_tokens, output_tokens));
	body = json_object_to_json_string_ext(root, PLAIN);
	httpd_answer(c, 200, JSON_TYPE, headers, body, strlen(body));
	json_object_put(root);
}
