#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "textgen.h"

#define IMPORT_TIMEOUT_MS 5000

static void answer_run(struct run *r, unsigned int status, const char *error)
{
	struct json_object *o = json_object_new_object();
	struct httpd_call *c = r->call;

	r->call = NULL;
	if (error)
		json_object_object_add(o, "error",
				       json_object_new_string(error));
	json_object_object_add(o, "run", json_object_new_string(r->id));
	if (c)
		reply_run(r->engine, c, status, o);
	else
		json_object_put(o);
}

static void read_import(struct run *r, struct jread_node *root)
{
	r->hash = (uint64_t)jread_int(root, "hash", INT64_MIN, INT64_MAX);
	r->prompt_tokens =
		(uint32_t)jread_int(root, "prompt_tokens", 0, INT32_MAX);
	r->generated = (uint32_t)jread_int(root, "generated", 0, INT32_MAX);
	r->length = (uint32_t)jread_int(root, "length", 0, INT32_MAX);
	r->max_tokens = (uint32_t)jread_int(root, "max_tokens", 1, INT32_MAX);
	r->position = r->generated;
	r->pieces = (r->prompt_tokens + r->max_tokens + PIECE_TOKENS - 1) /
		    PIECE_TOKENS;
}

static void on_imported(void *ctx, const struct fetch_result *f)
{
	struct run *r = ctx;
	struct jread_errors faults;
	struct jread_node root;

	jread_errors_init(&faults);
	if (f->error || f->status != 200 ||
	    jread_parse(f->body, f->body_n, "import", &faults, &root) < 0) {
		answer_run(r, 410, "the KV result can not be had");
		run_free(r);
	} else {
		read_import(r, &root);
		json_object_put(root.value);
		r->state = RUN_READY;
		engine_record(r->engine, "import", r->id, r->prompt_tokens);
		answer_run(r, 200, NULL);
	}
	jread_errors_free(&faults);
}

static void on_gone(void *ctx, struct httpd_call *c)
{
	struct run *r = ctx;

	r->call = NULL;
	httpd_stream_abort(c);
}

static void start_import(struct run *r, const char *from, const char *kv)
{
	struct fetch_request q = {.method = "POST",
				  .connect_ms = 1000,
				  .total_ms = IMPORT_TIMEOUT_MS,
				  .on_done = on_imported,
				  .ctx = r};
	char url[2 * NAME_BYTES + 32];
	char body[2 * NAME_BYTES];

	snprintf(url, sizeof(url), "http://%s/export", from);
	q.url = url;
	q.body_n = (size_t)snprintf(body, sizeof(body), "{\"run\":\"%s\"}", kv);
	q.body = body;
	if (fetch_start(&r->engine->fetch, &r->import, &q) < 0)
		abort();
}

/* Takes a KV result over from a prefill engine. */
void decode_transfer(struct engine *e, struct httpd_call *c,
		     struct jread_node *root)
{
	char id[NAME_BYTES], kv[NAME_BYTES], from[NAME_BYTES];
	struct run *r;

	jread_string(root, "run", id, sizeof(id));
	jread_string(root, "kv", kv, sizeof(kv));
	jread_string(root, "from", from, sizeof(from));
	engine_record(e, "order-transfer", id, 0);
	if (e->leaving || e->faults.full || engine_slots_used(e) >= e->slots) {
		reply_error(c, 503, e->leaving ? "leaving" : "full");
		return;
	}
	if (engine_is_cold(e) && engine_slots_used(e) >= e->timing.cold_slots) {
		httpd_stream_abort(c);
		engine_crash(e);
		return;
	}
	if (!id[0] || run_find(e, id)) {
		reply_error(c, 400, "bad or known run");
		return;
	}
	r = run_new(e, id);
	r->state = RUN_IMPORTING;
	r->call = c;
	httpd_on_gone(c, on_gone, r);
	start_import(r, from, kv);
}

static void write_line(struct run *r, const char *line, size_t n)
{
	if (r->call && !r->engine->faults.hang &&
	    !engine_is_silent(r->engine, r->call))
		httpd_stream_write(r->call, line, n);
}

static void write_token(struct run *r, uint32_t position)
{
	char token[TEXTGEN_TOKEN_BYTES];
	char line[256];
	int n;

	textgen_write_token(r->hash, position, token);
	n = snprintf(line, sizeof(line),
		     "{\"run\":\"%s\",\"position\":%u,\"text\":\"%s\"}\n",
		     r->engine->faults.crossed ? "crossed" : r->id, position,
		     token);
	write_line(r, line, (size_t)n);
}

static void on_unwatched_gone(void *ctx, struct httpd_call *c)
{
	httpd_stream_abort(c);
}

static void end_run(struct run *r)
{
	char line[256];
	int n;

	n = snprintf(line, sizeof(line),
		     "{\"run\":\"%s\",\"tokens\":%u,\"reason\":\"%s\"}\n",
		     r->id, r->length,
		     r->length == r->max_tokens ? "length" : "stop");
	write_line(r, line, (size_t)n);
	engine_record(r->engine, "decode", r->id, r->length);
	if (r->call && engine_is_silent(r->engine, r->call))
		httpd_on_gone(r->call, on_unwatched_gone, NULL);
	else if (r->call)
		httpd_stream_end(r->call);
	r->call = NULL;
	run_free(r);
}

/* Makes one token for each run of the batch. */
static void on_step(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct engine *e = w->data;
	struct run *r, *next;

	if (e->faults.hang)
		return;
	for (r = TAILQ_FIRST(&e->runs); r; r = next) {
		next = TAILQ_NEXT(r, entry);
		if (r->state != RUN_DECODING)
			continue;
		if (r->position >= r->length) {
			end_run(r);
			continue;
		}
		write_token(r, r->position++);
		e->tokens++;
	}
	decode_steps(e);
}

/* Sets the timer of the next step by the size of the batch. */
void decode_steps(struct engine *e)
{
	uint32_t batch = 0;
	struct run *r;
	double s;

	TAILQ_FOREACH(r, &e->runs, entry)
	batch += r->state == RUN_DECODING;
	if (!batch || ev_is_active(&e->step_timer))
		return;
	s = (e->timing.step_us + batch * e->timing.step_run_us) / 1e6;
	ev_timer_init(&e->step_timer, on_step, s, 0.);
	e->step_timer.data = e;
	ev_timer_start(e->loop, &e->step_timer);
}

/* Starts a run's stream or resumes it from a position that was made before. */
void decode_order(struct engine *e, struct httpd_call *c,
		  struct jread_node *root)
{
	char id[NAME_BYTES];
	uint32_t position;
	struct run *r;

	jread_string(root, "run", id, sizeof(id));
	position = (uint32_t)jread_int(root, "position", 0, INT32_MAX);
	engine_record(e, "order-decode", id, position);
	r = run_find(e, id);
	if (!r || r->state < RUN_READY || position > r->position) {
		reply_error(c, 404, "no such run");
		return;
	}
	if (r->call)
		httpd_stream_abort(r->call);
	r->call = c;
	httpd_on_gone(c, on_gone, r);
	httpd_stream_start(c, 200, "application/x-ndjson", NULL);
	r->state = RUN_DECODING;
	for (; position < r->position; position++)
		write_token(r, position);
	decode_steps(e);
}
