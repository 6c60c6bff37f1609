#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "logline.h"

#define RESTART_S 0.5
#define FENCE_ANY 0

/* Returns the time of a clock that only grows, in microseconds. */
int64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000000LL + ts.tv_nsec / 1000;
}

/* Keeps what was ordered and done, for tests to compare. */
void engine_record(struct engine *e, const char *what, const char *run,
		   uint32_t tokens)
{
	struct record *r;

	if (e->record_n == e->record_capacity) {
		e->record_capacity = e->record_capacity ? 2 * e->record_capacity
							: 256;
		r = realloc(e->record, e->record_capacity * sizeof(*r));
		if (!r)
			abort();
		e->record = r;
	}
	r = &e->record[e->record_n++];
	memset(r, 0, sizeof(*r));
	r->at_us = now_us();
	r->tokens = tokens;
	snprintf(r->what, sizeof(r->what), "%s", what);
	snprintf(r->run, sizeof(r->run), "%s", run);
}

struct run *run_find(struct engine *e, const char *id)
{
	struct run *r;

	TAILQ_FOREACH(r, &e->runs, entry)
	if (strcmp(r->id, id) == 0)
		return r;
	return NULL;
}

struct run *run_new(struct engine *e, const char *id)
{
	struct run *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->engine = e;
	snprintf(r->id, sizeof(r->id), "%s", id);
	ev_timer_init(&r->timer, NULL, 0., 0.);
	TAILQ_INSERT_TAIL(&e->runs, r, entry);
	return r;
}

/* Drops a run; a call that waits for it is cut. */
void run_free(struct run *r)
{
	struct engine *e = r->engine;

	if (e->prefilling == r) {
		e->prefilling = NULL;
		ev_timer_stop(e->loop, &e->prefill_timer);
	}
	ev_timer_stop(e->loop, &r->timer);
	fetch_cancel(&r->import);
	if (r->call)
		httpd_stream_abort(r->call);
	TAILQ_REMOVE(&e->runs, r, entry);
	free(r->block);
	free(r);
}

uint32_t engine_slots_used(const struct engine *e)
{
	const struct run *r;
	uint32_t n = 0;

	TAILQ_FOREACH(r, &e->runs, entry)
	n++;
	return n;
}

uint32_t engine_pieces_used(const struct engine *e)
{
	const struct run *r;
	uint32_t n = 0;

	TAILQ_FOREACH(r, &e->runs, entry)
	n += r->pieces;
	return n;
}

bool engine_is_cold(const struct engine *e)
{
	return now_us() - e->started_us < e->timing.cold_ms * 1000LL;
}

static void on_restart(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct engine *e = w->data;
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	e->boot_us = (uint64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
	e->started_us = now_us();
	e->down = false;
	logline(LOG_NOTICE, "restarted", "boot=%llu",
		(unsigned long long)e->boot_us);
}

/* Loses all runs and memory, answers nothing for a while, then starts anew. */
void engine_crash(struct engine *e)
{
	struct run *r;

	e->crashes++;
	e->down = true;
	engine_record(e, "crash", "", engine_slots_used(e));
	logline(LOG_WARNING, "crashed", "runs=%u", engine_slots_used(e));
	while ((r = TAILQ_FIRST(&e->runs)))
		run_free(r);
	e->cache_n = 0;
	ev_timer_stop(e->loop, &e->step_timer);
	ev_timer_stop(e->loop, &e->restart_timer);
	ev_timer_set(&e->restart_timer, RESTART_S, 0.);
	ev_timer_start(e->loop, &e->restart_timer);
}

void reply(struct httpd_call *c, unsigned int status, struct json_object *o)
{
	const char *s = json_object_to_json_string_ext(o, 0);

	httpd_answer(c, status, "application/json", NULL, s, strlen(s));
	json_object_put(o);
}

void reply_error(struct httpd_call *c, unsigned int status, const char *what)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "error", json_object_new_string(what));
	reply(c, status, o);
}

/* Tells whether the call's connection has lost track of its other end. */
bool engine_is_silent(const struct engine *e, const struct httpd_call *c)
{
	return httpd_connection(c) <= e->faults.silent_to;
}

static void on_unanswered_gone(void *ctx, struct httpd_call *c)
{
	httpd_stream_abort(c);
}

/* An answer that is held back. */
struct late_answer {
	struct httpd_call *call; /* NULL once the other side is gone */
	struct json_object *body;
	unsigned int status;
	ev_timer timer;
};

static void on_late_gone(void *ctx, struct httpd_call *c)
{
	struct late_answer *l = ctx;

	l->call = NULL;
	httpd_stream_abort(c);
}

static void on_late(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct late_answer *l = w->data;

	if (l->call)
		reply(l->call, l->status, l->body);
	else
		json_object_put(l->body);
	free(l);
}

static void reply_late(struct engine *e, struct httpd_call *c,
		       unsigned int status, struct json_object *o)
{
	struct late_answer *l = calloc(1, sizeof(*l));

	if (!l)
		abort();
	l->call = c;
	l->body = o;
	l->status = status;
	httpd_on_gone(c, on_late_gone, l);
	ev_timer_init(&l->timer, on_late, e->faults.late_ms / 1000., 0.);
	l->timer.data = l;
	ev_timer_start(e->loop, &l->timer);
}

/* Answers an order of a run, as far as the faults let the answer through. */
void reply_run(struct engine *e, struct httpd_call *c, unsigned int status,
	       struct json_object *o)
{
	if (engine_is_silent(e, c)) {
		httpd_on_gone(c, on_unanswered_gone, NULL);
		json_object_put(o);
	} else if (e->faults.late) {
		reply_late(e, c, status, o);
	} else {
		reply(c, status, o);
	}
}

static struct json_object *load_object(const struct engine *e)
{
	struct json_object *o = json_object_new_object();
	struct json_object *running = json_object_new_array();
	const struct run *r;
	int64_t queued = 0;

	TAILQ_FOREACH(r, &e->runs, entry)
	{
		json_object_array_add(running, json_object_new_string(r->id));
		if (r->state <= RUN_PREFILLING)
			queued += r->prompt_tokens;
	}
	json_object_object_add(o, "run", json_object_new_string(""));
	json_object_object_add(o, "boot",
			       json_object_new_int64((int64_t)e->boot_us));
	json_object_object_add(o, "slots", json_object_new_int64(e->slots));
	json_object_object_add(o, "slots_used",
			       json_object_new_int64(engine_slots_used(e)));
	json_object_object_add(o, "pieces", json_object_new_int64(e->pieces));
	json_object_object_add(o, "pieces_used",
			       json_object_new_int64(engine_pieces_used(e)));
	json_object_object_add(o, "queued_tokens",
			       json_object_new_int64(queued));
	json_object_object_add(o, "cold",
			       json_object_new_boolean(engine_is_cold(e)));
	json_object_object_add(o, "leaving",
			       json_object_new_boolean(e->leaving));
	json_object_object_add(o, "running", running);
	return o;
}

/* Reports load as it was up to the lag ago. */
static void answer_load(struct engine *e, struct httpd_call *c)
{
	int64_t now = now_us();

	if (!e->load || now - e->load_at_us >= e->timing.load_lag_ms * 1000LL) {
		json_object_put(e->load);
		e->load = load_object(e);
		e->load_at_us = now;
	}
	reply(c, 200, json_object_get(e->load));
}

static void answer_cancel(struct engine *e, struct httpd_call *c,
			  struct jread_node *root)
{
	struct json_object *o = json_object_new_object();
	char id[NAME_BYTES];
	struct run *r;

	jread_string(root, "run", id, sizeof(id));
	r = run_find(e, id);
	engine_record(e, "cancel", id, r ? r->position : 0);
	json_object_object_add(o, "run", json_object_new_string(id));
	json_object_object_add(o, "known", json_object_new_boolean(r != NULL));
	if (r && r->state == RUN_HELD)
		e->prefills_wasted++;
	if (r)
		run_free(r);
	prefill_next(e);
	reply_run(e, c, 200, o);
}

static void answer_order(struct engine *e, struct httpd_call *c,
			 struct jread_node *root)
{
	struct json_object *o = json_object_new_object();
	char name[NAME_BYTES];

	jread_string(root, "name", name, sizeof(name));
	engine_record(e, "order", name, 0);
	if (strcmp(name, "leave") == 0)
		e->leaving = true;
	json_object_object_add(o, "run", json_object_new_string(""));
	reply(c, 200, o);
}

/* Tells whether an order's fencing number is older than one seen before. */
static bool is_stale(struct engine *e, struct jread_node *root)
{
	uint64_t fence = (uint64_t)jread_int_or(root, "fence", 0, 0, INT64_MAX);

	if (e->faults.stale_ok || fence == FENCE_ANY)
		return false;
	if (fence < e->fence)
		return true;
	e->fence = fence;
	return false;
}

static void dispatch(struct engine *e, struct httpd_call *c,
		     struct jread_node *root)
{
	const char *path = httpd_path(c);

	if (strcmp(path, "/cancel") == 0)
		answer_cancel(e, c, root);
	else if (strcmp(path, "/load") == 0)
		answer_load(e, c);
	else if (strcmp(path, "/events") == 0)
		cache_events(e, c, root);
	else if (is_stale(e, root))
		reply_error(c, 409, "stale fence");
	else if (strcmp(path, "/prefill") == 0)
		prefill_order(e, c, root);
	else if (strcmp(path, "/export") == 0)
		prefill_export(e, c, root);
	else if (strcmp(path, "/transfer") == 0)
		decode_transfer(e, c, root);
	else if (strcmp(path, "/decode") == 0)
		decode_order(e, c, root);
	else if (strcmp(path, "/order") == 0)
		answer_order(e, c, root);
	else
		reply_error(c, 404, "no such order");
}

static void on_call(void *ctx, struct httpd_call *c)
{
	struct engine *e = ctx;
	struct jread_errors faults;
	struct jread_node root;
	const char *body;
	size_t n;

	if (e->faults.hang || engine_is_silent(e, c)) {
		httpd_on_gone(c, on_unanswered_gone, NULL);
		return;
	}
	if (e->down) {
		httpd_stream_abort(c);
		return;
	}
	jread_errors_init(&faults);
	body = httpd_body(c, &n);
	if (jread_parse(body, n, "body", &faults, &root) < 0) {
		reply_error(c, 400, "not JSON");
	} else {
		dispatch(e, c, &root);
		json_object_put(root.value);
	}
	jread_errors_free(&faults);
}

/* Listens for orders on addr and for faults and records on admin_addr. */
int engine_open(struct engine *e, const char *addr, const char *admin_addr)
{
	struct httpd_limits limits = {.connections = 4096,
				      .body_bytes = 16 << 20,
				      .connection_bytes = 32768,
				      .idle_s = 600};
	int r;

	TAILQ_INIT(&e->runs);
	ev_timer_init(&e->restart_timer, on_restart, 0., 0.);
	e->restart_timer.data = e;
	ev_timer_init(&e->prefill_timer, NULL, 0., 0.);
	ev_timer_init(&e->step_timer, NULL, 0., 0.);
	on_restart(e->loop, &e->restart_timer, 0);
	r = fetch_init(&e->fetch, e->loop, 64);
	if (r < 0)
		return r;
	r = httpd_init(&e->httpd, e->loop, addr, &limits, NULL, on_call, e);
	if (r < 0)
		return r;
	return httpd_init(&e->admin, e->loop, admin_addr, &limits, NULL,
			  faults_handle, e);
}
