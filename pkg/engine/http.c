#include "http.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jread.h"

#define URL_BYTES 160
#define LINE_MAX_BYTES 65536

static void give(struct engine_call *c, const struct engine_event *ev)
{
	c->take(c->ctx, c, ev);
}

static void give_fault(struct engine_call *c, enum engine_fault fault,
		       const char *detail)
{
	struct engine_event ev = {.kind = ENGINE_EV_FAILED};

	c->ended = true;
	if (fault == ENGINE_SILENT && !engine_distrusts(c->engine, c->addr))
		engine_distrust(c->engine, c->addr);
	ev.failed.fault = fault;
	snprintf(ev.failed.detail, sizeof(ev.failed.detail), "%s", detail);
	give(c, &ev);
}

/* Tells whether an answer names the run of this call. */
static bool is_ours(const struct engine_call *c, struct jread_node *root)
{
	char run[ENGINE_RUN_BYTES];

	jread_string_or(root, "run", "", run, sizeof(run));
	return strcmp(run, c->run) == 0;
}

static void give_prefilled(struct engine_call *c, struct jread_node *root)
{
	struct engine_event ev = {.kind = ENGINE_EV_PREFILLED};
	char kv[ENGINE_KV_BYTES];

	jread_string(root, "kv", kv, sizeof(kv));
	ev.prefilled.kv = kv;
	ev.prefilled.prompt_tokens =
		(uint32_t)jread_int(root, "prompt_tokens", 0, INT32_MAX);
	ev.prefilled.lifetime_ms =
		(uint32_t)jread_int(root, "lifetime_ms", 0, INT32_MAX);
	ev.prefilled.cached_tokens =
		(uint32_t)jread_int_or(root, "cached_tokens", 0, 0, INT32_MAX);
	if (root->errors->n)
		give_fault(c, ENGINE_WRONG, "prefill answer");
	else
		give(c, &ev);
}

static void read_running(struct jread_node *root, struct engine_load *l)
{
	struct jread_node array, item;
	uint32_t i;

	if (!jread_member(root, "running", &array))
		return;
	for (i = 0; i < ENGINE_RUNNING_MAX; i++) {
		if (!jread_item(&array, i, &item))
			break;
		snprintf(l->running[i], sizeof(l->running[i]), "%s",
			 json_object_get_string(item.value));
		l->running_n++;
	}
}

static void give_load(struct engine_call *c, struct jread_node *root)
{
	struct engine_event ev = {.kind = ENGINE_EV_LOAD};
	struct engine_load *l = &ev.load;

	l->boot = (uint64_t)jread_int(root, "boot", 0, INT64_MAX);
	l->slots = (uint32_t)jread_int(root, "slots", 0, INT32_MAX);
	l->slots_used = (uint32_t)jread_int(root, "slots_used", 0, INT32_MAX);
	l->pieces = (uint32_t)jread_int(root, "pieces", 0, INT32_MAX);
	l->pieces_used = (uint32_t)jread_int(root, "pieces_used", 0, INT32_MAX);
	l->queued_tokens =
		(uint32_t)jread_int_or(root, "queued_tokens", 0, 0, INT32_MAX);
	l->cold = jread_bool_or(root, "cold", false);
	l->leaving = jread_bool_or(root, "leaving", false);
	read_running(root, l);
	if (root->errors->n)
		give_fault(c, ENGINE_WRONG, "load report");
	else
		give(c, &ev);
}

static void give_events(struct engine_call *c, struct jread_node *root)
{
	struct engine_event ev = {.kind = ENGINE_EV_CACHED};
	struct engine_event end = {.kind = ENGINE_EV_EVENTS_READ};
	struct jread_node array, item;
	uint32_t i;

	end.events_read.next = (uint64_t)jread_int(root, "next", 0, INT64_MAX);
	if (jread_member(root, "events", &array))
		for (i = 0; jread_item(&array, i, &item); i++) {
			ev.cached.event = (uint64_t)jread_int(&item, "event", 0,
							      INT64_MAX);
			ev.cached.prefix = (uint64_t)jread_int(&item, "prefix",
							       0, INT64_MAX);
			ev.cached.evicted =
				jread_bool_or(&item, "evicted", false);
			give(c, &ev);
		}
	give(c, &end);
}

/* Gives the single answer of an order that is not a stream. */
static void give_answer(struct engine_call *c, struct jread_node *root)
{
	struct engine_event ev = {.kind = ENGINE_EV_FAILED};

	switch (c->op) {
	case ENGINE_PREFILL:
		give_prefilled(c, root);
		return;
	case ENGINE_LOAD:
		give_load(c, root);
		return;
	case ENGINE_EVENTS:
		give_events(c, root);
		return;
	case ENGINE_TRANSFER:
		ev.kind = ENGINE_EV_TRANSFERRED;
		break;
	case ENGINE_CANCEL:
		ev.kind = ENGINE_EV_CANCELLED;
		ev.cancelled.was_known = jread_bool_or(root, "known", false);
		break;
	case ENGINE_ORDER:
		ev.kind = ENGINE_EV_ORDERED;
		break;
	case ENGINE_DECODE:
		break;
	}
	give(c, &ev);
}

static void parse_answer(struct engine_call *c, const struct fetch_result *r)
{
	struct jread_errors faults;
	struct jread_node root;

	jread_errors_init(&faults);
	if (jread_parse(r->body, r->body_n, "answer", &faults, &root) < 0) {
		give_fault(c, ENGINE_WRONG, "not JSON");
	} else {
		if (is_ours(c, &root))
			give_answer(c, &root);
		else
			give_fault(c, ENGINE_WRONG, "answer of another run");
		json_object_put(root.value);
	}
	jread_errors_free(&faults);
}

static enum engine_fault fault_of_error(const struct fetch_result *r)
{
	if (!r->sent)
		return ENGINE_UNREACHED;
	return r->error == -ETIMEDOUT ? ENGINE_SILENT : ENGINE_BROKEN;
}

static enum engine_fault fault_of_status(uint32_t status)
{
	switch (status) {
	case 404:
	case 410:
		return ENGINE_EXPIRED;
	case 409:
	case 429:
	case 503:
		return ENGINE_REFUSED;
	default:
		return ENGINE_WRONG;
	}
}

static void on_done(void *ctx, const struct fetch_result *r)
{
	struct engine_call *c = ctx;

	free(c->line);
	c->line = NULL;
	if (c->ended)
		return;
	if (r->status != 200 && r->status != 0)
		give_fault(c, fault_of_status(r->status), r->body);
	else if (r->error)
		give_fault(c, fault_of_error(r), "connection");
	else if (c->op == ENGINE_DECODE)
		give_fault(c, ENGINE_BROKEN, "stream ended early");
	else
		parse_answer(c, r);
}

/* Gives one line of a decode stream: a token, or the end. */
static void give_line(struct engine_call *c, struct jread_node *root)
{
	struct engine_event ev = {.kind = ENGINE_EV_TOKEN};
	char reason[16];
	struct jread_node text;

	if (!is_ours(c, root)) {
		give_fault(c, ENGINE_WRONG, "token of another run");
		return;
	}
	if (jread_member(root, "text", &text)) {
		ev.token.position =
			(uint32_t)jread_int(root, "position", 0, INT32_MAX);
		ev.token.text = json_object_get_string(text.value);
		give(c, &ev);
		return;
	}
	ev.kind = ENGINE_EV_ENDED;
	ev.ended.tokens = (uint32_t)jread_int(root, "tokens", 0, INT32_MAX);
	jread_string_or(root, "reason", "stop", reason, sizeof(reason));
	ev.ended.length = strcmp(reason, "length") == 0;
	c->ended = true;
	give(c, &ev);
}

static void take_line(struct engine_call *c, const char *line, size_t n)
{
	struct jread_errors faults;
	struct jread_node root;

	jread_errors_init(&faults);
	if (jread_parse(line, n, "line", &faults, &root) < 0) {
		give_fault(c, ENGINE_WRONG, "line of a stream");
	} else {
		give_line(c, &root);
		json_object_put(root.value);
	}
	jread_errors_free(&faults);
}

static int keep_rest(struct engine_call *c, const char *bytes, size_t n)
{
	char *p;

	if (c->line_n + n > LINE_MAX_BYTES)
		return -EMSGSIZE;
	p = realloc(c->line, c->line_n + n);
	if (!p)
		return -ENOMEM;
	memcpy(p + c->line_n, bytes, n);
	c->line = p;
	c->line_n += n;
	return 0;
}

/*
 * Takes bytes of a stream and gives each line. The owner may end the call, and
 * free it, from within take; freed tells.
 */
static void on_bytes(void *ctx, const char *bytes, size_t n)
{
	struct engine_call *c = ctx;
	bool freed = false;
	const char *end;
	char *line;
	size_t line_n;

	c->freed = &freed;
	while (!freed && !c->ended && n &&
	       (end = memchr(bytes, '\n', n)) != NULL) {
		line_n = (size_t)(end - bytes);
		if (c->line) {
			if (keep_rest(c, bytes, line_n) < 0)
				break;
			line = c->line;
			n -= line_n + 1;
			bytes = end + 1;
			line_n = c->line_n;
			c->line = NULL;
			c->line_n = 0;
			take_line(c, line, line_n);
			free(line);
			continue;
		}
		take_line(c, bytes, line_n);
		n -= line_n + 1;
		bytes = end + 1;
	}
	if (freed)
		return;
	c->freed = NULL;
	if (n && !c->ended && keep_rest(c, bytes, n) < 0)
		give_fault(c, ENGINE_WRONG, "line too long");
}

static void add_string(struct json_object *o, const char *key, const char *s)
{
	json_object_object_add(o, key, json_object_new_string(s));
}

static void add_number(struct json_object *o, const char *key, uint64_t n)
{
	json_object_object_add(o, key, json_object_new_int64((int64_t)n));
}

/* Fills in the body of an order and returns its path. */
static const char *fill_order(const struct engine_order *o,
			      struct json_object *body)
{
	switch (o->op) {
	case ENGINE_PREFILL:
		add_string(body, "model", o->prefill.model);
		add_string(body, "prompt", o->prefill.prompt);
		add_string(body, "generated", o->prefill.generated);
		add_number(body, "seed", o->prefill.seed);
		add_number(body, "max_tokens", o->prefill.max_tokens);
		add_number(body, "priority", o->prefill.priority);
		return "/prefill";
	case ENGINE_TRANSFER:
		add_string(body, "kv", o->transfer.kv);
		add_string(body, "from", o->transfer.from);
		return "/transfer";
	case ENGINE_DECODE:
		add_number(body, "position", o->decode.position);
		return "/decode";
	case ENGINE_CANCEL:
		return "/cancel";
	case ENGINE_ORDER:
		add_string(body, "name", o->order.name);
		add_string(body, "argument", o->order.argument);
		return "/order";
	case ENGINE_EVENTS:
		add_number(body, "from", o->events.from);
		return "/events";
	case ENGINE_LOAD:
		break;
	}
	return "/load";
}

/* Sends an order as POST of a JSON object to http://ADDR/OP. */
int engine_http_start(struct engine *e, struct engine_call *c,
		      const struct engine_order *o)
{
	struct json_object *body = json_object_new_object();
	static const char *const headers[] = {"Content-Type: application/json",
					      NULL};
	struct fetch_request q = {.method = "POST", .headers = headers};
	char url[URL_BYTES];
	const char *path;
	int r;

	add_string(body, "run", c->run);
	add_number(body, "fence", o->fence);
	path = fill_order(o, body);
	snprintf(url, sizeof(url), "http://%s%s", o->addr, path);
	q.url = url;
	q.body = json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);
	q.body_n = strlen(q.body);
	q.connect_ms = e->connect_ms;
	q.silence_ms = o->silence_ms;
	q.fresh = o->fresh || engine_distrusts(e, o->addr);
	q.max_body_bytes = 1 << 20;
	q.on_bytes = o->op == ENGINE_DECODE ? on_bytes : NULL;
	q.on_done = on_done;
	q.ctx = c;
	r = fetch_start(e->fetch, &c->fetch, &q);
	json_object_put(body);
	return r;
}
