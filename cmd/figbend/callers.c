#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <errno.h>

#include "jread.h"
#include "logline.h"
#include "serving.h"

#define SERVICES_PATH "/v1/services/"
#define BEARER "Bearer "
#define MESSAGE_BYTES 512

/*
 * Refuses a call before it is served, under a new request id. not_executed is
 * true only if the call has no idempotency key: with one, an earlier call with
 * the same key may have been executed.
 */
static void refuse(struct daemon *d, struct httpd_call *c, unsigned int status,
		   const char *code, const char *message)
{
	char id[REQUEST_ID_BYTES];
	struct response_error e = {.status = status,
				   .code = code,
				   .message = message,
				   .request_id = id};

	daemon_next_request_id(d, id, sizeof(id));
	e.not_executed = httpd_header(c, "Idempotency-Key") == NULL;
	if (status == 503)
		e.retry_after_s = 1;
	logline(LOG_INFO, "call-refused", "request=%s status=%u code=%s", id,
		status, code);
	response_send_error(c, &e);
}

/* Refuses a call that has no valid key. Returns NULL, for authenticate(). */
static const struct config_account *
refuse_key(struct daemon *d, struct httpd_call *c, const char *message)
{
	metrics_add(&d->board.metrics, METRIC_AUTH_REFUSED, 1);
	refuse(d, c, 401, "bad_key", message);
	return NULL;
}

/* Copies the public id out of a verified key, "fb_ID_SECRET". */
static void copy_key_id(const char *key, char id[CONFIG_KEY_ID_BYTES])
{
	const char *start = strchr(key, '_') + 1;
	size_t n = strcspn(start, "_");

	memcpy(id, start, n);
	id[n] = '\0';
}

/*
 * Returns the account to charge for a call to a model or service: that of its
 * API key or, without a key, that of the open route to the target. Writes the
 * public id of the key, or "" without one. If the call needs a key and has no
 * valid one, refuses it and returns NULL.
 */
static const struct config_account *
authenticate(struct daemon *d, struct httpd_call *c, const char *target,
	     char key_id[CONFIG_KEY_ID_BYTES])
{
	const struct config *conf = d->board.config.current;
	const char *auth = httpd_header(c, "Authorization");
	const struct config_account *a = NULL;
	const struct config_route *open_route;

	key_id[0] = '\0';
	open_route = config_find_route(conf, target);
	if (!auth && open_route)
		return config_find_account(conf, open_route->account);
	if (!auth)
		return refuse_key(d, c, "a key is needed");
	if (strncmp(auth, BEARER, strlen(BEARER)))
		return refuse_key(d, c, "expected Authorization: Bearer KEY");
	auth += strlen(BEARER);
	switch (config_key_verify(conf, auth, &a)) {
	case 0:
		copy_key_id(auth, key_id);
		return a;
	case -EKEYREVOKED:
		return refuse_key(d, c, "the key was withdrawn");
	default:
		return refuse_key(d, c, "the key is not known");
	}
}

/*
 * A string that grows. bytes is NULL until text is added. Text for which there
 * is no memory is left out.
 */
struct text {
	char *bytes;
	size_t n;
};

static void text_add(struct text *t, const char *s)
{
	size_t n = strlen(s);
	char *p = realloc(t->bytes, t->n + n + 1);

	if (!p)
		return;
	memcpy(p + t->n, s, n + 1);
	t->bytes = p;
	t->n += n;
}

/* Joins chat messages to a prompt, as lines of the form "ROLE: CONTENT". */
static void read_messages(struct jread_node *root, struct text *prompt)
{
	struct jread_node array, item, content;
	char role[32];
	uint32_t i, n;

	if (!jread_require(root, "messages", &array))
		return;
	n = jread_count(&array);
	if (n == 0 && json_object_is_type(array.value, json_type_array))
		jread_error_expected(&array, "at least one message");
	for (i = 0; i < n && jread_item(&array, i, &item); i++) {
		jread_string(&item, "role", role, sizeof(role));
		if (!jread_require(&item, "content", &content))
			continue;
		if (!json_object_is_type(content.value, json_type_string)) {
			jread_error_expected(&content, "a string");
			continue;
		}
		text_add(prompt, role);
		text_add(prompt, ": ");
		text_add(prompt, json_object_get_string(content.value));
		text_add(prompt, "\n");
	}
}

static void read_prompt(struct jread_node *root, struct text *prompt)
{
	struct jread_node v;

	if (!jread_require(root, "prompt", &v))
		return;
	if (json_object_is_type(v.value, json_type_string) &&
	    json_object_get_string_len(v.value) > 0)
		text_add(prompt, json_object_get_string(v.value));
	else
		jread_error_expected(&v, "a string that is not empty");
}

/* The body of a call, parsed but not checked against the configuration. */
struct body {
	char model[CONFIG_NAME_BYTES];
	struct text prompt;
	uint32_t max_tokens; /* 0 for the model's maximum */
	uint64_t seed;
	bool stream;
};

/*
 * Parses the body of a call. Returns 0, or -EINVAL: then errors lists the
 * reasons, or is empty if the prompt is empty.
 */
static int read_body(struct httpd_call *c, bool chat, struct body *b,
		     struct jread_errors *errors)
{
	struct jread_node root;
	const char *text;
	size_t n;

	text = httpd_body(c, &n);
	if (jread_parse(text, n, "body", errors, &root) < 0)
		return -EINVAL;
	if (!json_object_is_type(root.value, json_type_object)) {
		jread_error_expected(&root, "an object");
	} else {
		jread_string(&root, "model", b->model, sizeof(b->model));
		b->stream = jread_bool_or(&root, "stream", false);
		b->max_tokens = (uint32_t)jread_int_or(&root, "max_tokens", 0,
						       1, 1 << 20);
		b->seed =
			(uint64_t)jread_int_or(&root, "seed", 0, 0, INT64_MAX);
		if (chat)
			read_messages(&root, &b->prompt);
		else
			read_prompt(&root, &b->prompt);
	}
	json_object_put(root.value);
	return errors->n || !b->prompt.bytes ? -EINVAL : 0;
}

static void refuse_body(struct daemon *d, struct httpd_call *c,
			const struct jread_errors *errors)
{
	char message[MESSAGE_BYTES] = "the prompt is empty";

	if (errors->n)
		snprintf(message, sizeof(message), "%s", errors->message[0]);
	refuse(d, c, 400, "bad_request", message);
}

/* Authenticates a call for a completion and starts to serve it. */
static void serve(struct daemon *d, struct httpd_call *c, struct body *b,
		  bool chat)
{
	const struct config *conf = d->board.config.current;
	struct serving_params params = {.prompt = b->prompt.bytes,
					.seed = b->seed,
					.stream = b->stream,
					.chat = chat};
	char key_id[CONFIG_KEY_ID_BYTES];

	params.account = authenticate(d, c, b->model, key_id);
	if (!params.account)
		return;
	params.key_id = key_id;
	params.model = config_find_model(conf, b->model);
	if (!params.model) {
		refuse(d, c, 404, "no_such_model", "the model is not served");
		return;
	}
	params.max_tokens = params.model->output_max_tokens;
	if (b->max_tokens && b->max_tokens < params.max_tokens)
		params.max_tokens = b->max_tokens;
	if (serving_start(d, c, &params) < 0)
		refuse(d, c, 503, "out_of_memory", "out of memory");
}

static void handle_completion(struct daemon *d, struct httpd_call *c, bool chat)
{
	struct body b = {.model = ""};
	struct jread_errors errors;

	jread_errors_init(&errors);
	if (read_body(c, chat, &b, &errors) < 0)
		refuse_body(d, c, &errors);
	else
		serve(d, c, &b, chat);
	jread_errors_free(&errors);
	free(b.prompt.bytes);
}

static void handle_models(struct daemon *d, struct httpd_call *c)
{
	const struct config *conf = d->board.config.current;
	struct json_object *root = json_object_new_object();
	struct json_object *data = json_object_new_array();
	struct json_object *o;
	const char *text;
	uint32_t i;

	json_object_object_add(root, "object", json_object_new_string("list"));
	for (i = 0; i < conf->model_n; i++) {
		o = json_object_new_object();
		json_object_object_add(
			o, "id", json_object_new_string(conf->model[i].name));
		json_object_object_add(o, "object",
				       json_object_new_string("model"));
		json_object_array_add(data, o);
	}
	json_object_object_add(root, "data", data);
	text = json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN);
	httpd_answer(c, 200, "application/json", NULL, text, strlen(text));
	json_object_put(root);
}

/* Passes a call of /v1/services/NAME/... to the service of that name. */
static void handle_service(struct daemon *d, struct httpd_call *c)
{
	const char *rest = httpd_path(c) + strlen(SERVICES_PATH);
	const struct config *conf = d->board.config.current;
	size_t n = strcspn(rest, "/");
	const struct config_account *a;
	const struct config_service *s;
	char key_id[CONFIG_KEY_ID_BYTES];
	char name[CONFIG_NAME_BYTES];

	if (n >= sizeof(name))
		n = sizeof(name) - 1;
	memcpy(name, rest, n);
	name[n] = '\0';
	a = authenticate(d, c, name, key_id);
	if (!a)
		return;
	s = config_find_service(conf, name);
	if (s)
		service_handle(d, c, s, a);
	else
		refuse(d, c, 404, "no_such_service",
		       "the service is not known");
}

static void route(struct daemon *d, struct httpd_call *c)
{
	const char *path = httpd_path(c);
	const char *method = httpd_method(c);

	if (strncmp(path, SERVICES_PATH, strlen(SERVICES_PATH)) == 0)
		handle_service(d, c);
	else if (strcmp(path, "/v1/models") == 0 && strcmp(method, "GET") == 0)
		handle_models(d, c);
	else if (strcmp(method, "POST"))
		refuse(d, c, 404, "no_such_route", "no such path or method");
	else if (strcmp(path, "/v1/chat/completions") == 0)
		handle_completion(d, c, true);
	else if (strcmp(path, "/v1/completions") == 0)
		handle_completion(d, c, false);
	else
		refuse(d, c, 404, "no_such_route", "no such path or method");
}

/* Handles a complete call from the HTTP server for callers. */
void callers_handle(void *ctx, struct httpd_call *c)
{
	struct daemon *d = ctx;

	if (d->stopping)
		refuse(d, c, 503, "stopping", "this host is stopping");
	else if (!d->board.config.current)
		refuse(d, c, 503, "not_ready", "no configuration yet");
	else
		route(d, c);
}
