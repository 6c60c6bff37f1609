#include "response.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#include <json-c/json.h>

#define ID_HEADER "X-Request-Id"
#define JSON_TYPE "application/json"
#define PLAIN JSON_C_TO_STRING_PLAIN

/* What callers receive for an enum request_error. */
struct request_error_row {
	unsigned int status;
	const char *message;
	uint32_t retry_after_s; /* 0 for no Retry-After header */
};

static const struct request_error_row request_errors[REQUEST_ERR_COUNT] = {
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

static struct json_object *make_error(const struct response_error *e)
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

void response_send_error(struct httpd_call *c, const struct response_error *e)
{
	struct json_object *root = make_error(e);
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

void response_send_request_error(struct httpd_call *c, const char *request_id,
				 enum request_error error, bool not_executed,
				 uint32_t retry_after_s)
{
	const struct request_error_row *row = &request_errors[error];
	struct response_error e = {.status = row->status,
				   .code = request_error_code(error),
				   .message = row->message,
				   .request_id = request_id,
				   .not_executed = not_executed};

	e.retry_after_s = retry_after_s ? retry_after_s : row->retry_after_s;
	response_send_error(c, &e);
}

static struct json_object *make_usage(uint32_t prompt_tokens,
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

static struct json_object *finish_reason_value(const char *finish_reason)
{
	return finish_reason ? json_object_new_string(finish_reason) : NULL;
}

/* Returns a completion object with one choice, which it then owns. */
static struct json_object *
make_completion(const struct response_completion *info, const char *object,
		struct json_object *choice)
{
	struct json_object *root = json_object_new_object();
	struct json_object *choices = json_object_new_array();

	json_object_object_add(root, "id", json_object_new_string(info->id));
	json_object_object_add(root, "object", json_object_new_string(object));
	json_object_object_add(root, "created",
			       json_object_new_int64(time(NULL)));
	json_object_object_add(root, "model",
			       json_object_new_string(info->model));
	json_object_object_add(choice, "index", json_object_new_int(0));
	json_object_array_add(choices, choice);
	json_object_object_add(root, "choices", choices);
	return root;
}

void response_stream_start(struct httpd_call *c,
			   const struct response_completion *info)
{
	const char *const headers[] = {ID_HEADER, info->id, "Cache-Control",
				       "no-store", NULL};

	httpd_stream_start(c, 200, "text/event-stream", headers);
}

/* Writes one server-sent event. Returns 0, -EPIPE or -ENOMEM. */
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

/* Makes a chunk of a stream. text and finish_reason may be NULL. */
static struct json_object *make_chunk(const struct response_completion *info,
				      const char *text,
				      const char *finish_reason)
{
	struct json_object *choice = json_object_new_object();
	struct json_object *delta;

	if (info->chat) {
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
	json_object_object_add(choice, "finish_reason",
			       finish_reason_value(finish_reason));
	return make_completion(
		info, info->chat ? "chat.completion.chunk" : "text_completion",
		choice);
}

int response_stream_token(struct httpd_call *c,
			  const struct response_completion *info,
			  const char *text)
{
	struct json_object *root = make_chunk(info, text, NULL);
	int r;

	r = write_event(c, json_object_to_json_string_ext(root, PLAIN));
	json_object_put(root);
	return r;
}

void response_stream_end(struct httpd_call *c,
			 const struct response_completion *info,
			 const char *finish_reason, uint32_t prompt_tokens,
			 uint32_t output_tokens)
{
	struct json_object *root = make_chunk(info, NULL, finish_reason);

	json_object_object_add(root, "usage",
			       make_usage(prompt_tokens, output_tokens));
	write_event(c, json_object_to_json_string_ext(root, PLAIN));
	json_object_put(root);
	write_event(c, "[DONE]");
	httpd_stream_end(c);
}

void response_stream_error(struct httpd_call *c, const char *request_id,
			   enum request_error error)
{
	struct response_error e = {.code = request_error_code(error),
				   .message = request_errors[error].message,
				   .request_id = request_id};
	struct json_object *root = make_error(&e);

	write_event(c, json_object_to_json_string_ext(root, PLAIN));
	json_object_put(root);
	httpd_stream_end(c);
}

void response_send_completion(struct httpd_call *c,
			      const struct response_completion *info,
			      const char *text, const char *finish_reason,
			      uint32_t prompt_tokens, uint32_t output_tokens)
{
	struct json_object *choice = json_object_new_object();
	const char *headers[] = {ID_HEADER, info->id, NULL};
	struct json_object *message, *root;
	const char *body;

	if (info->chat) {
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
	json_object_object_add(choice, "finish_reason",
			       finish_reason_value(finish_reason));
	root = make_completion(
		info, info->chat ? "chat.completion" : "text_completion",
		choice);
	json_object_object_add(root, "usage",
			       make_usage(prompt_tokens, output_tokens));
	body = json_object_to_json_string_ext(root, PLAIN);
	httpd_answer(c, 200, JSON_TYPE, headers, body, strlen(body));
	json_object_put(root);
}
