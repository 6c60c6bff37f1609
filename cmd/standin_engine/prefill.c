#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "textgen.h"

/* From engine.h of the router: prefix hashes have one definition. */
uint64_t engine_prefix_hash(const char *prompt, size_t n);

static bool is_cached(const struct engine *e, uint64_t prefix)
{
	uint32_t i;

	for (i = 0; i < e->cache_n; i++)
		if (e->cache[i] == prefix)
			return true;
	return false;
}

static void add_event(struct engine *e, uint64_t prefix, bool evicted)
{
	struct cache_event *ev = &e->event[e->event_n % CACHE_EVENTS];

	ev->number = ++e->event_n;
	ev->prefix = prefix;
	ev->evicted = evicted;
	ev->at_us = now_us();
}

/* Adds a block to the cache; the oldest makes room. */
static void cache_add(struct engine *e, uint64_t prefix)
{
	if (is_cached(e, prefix))
		return;
	if (e->cache_n == CACHE_BLOCKS) {
		add_event(e, e->cache[0], true);
		memmove(e->cache, e->cache + 1,
			(CACHE_BLOCKS - 1) * sizeof(e->cache[0]));
		e->cache_n--;
	}
	e->cache[e->cache_n++] = prefix;
	add_event(e, prefix, false);
}

/* Gives the cache events from a number on, but for those younger than the lag. */
void cache_events(struct engine *e, struct httpd_call *c,
		  struct jread_node *root)
{
	uint64_t from = (uint64_t)jread_int_or(root, "from", 1, 0, INT64_MAX);
	int64_t until_us = now_us() - e->timing.event_lag_ms * 1000LL;
	struct json_object *o = json_object_new_object();
	struct json_object *array = json_object_new_array();
	const struct cache_event *ev;
	struct json_object *item;

	if (from + CACHE_EVENTS <= e->event_n)
		from = e->event_n - CACHE_EVENTS + 1;
	if (from == 0)
		from = 1;
	for (; from <= e->event_n; from++) {
		ev = &e->event[(from - 1) % CACHE_EVENTS];
		if (ev->at_us > until_us)
			break;
		if (e->faults.lose_events && ev->number % 2 == 0)
			continue;
		item = json_object_new_object();
		json_object_object_add(
			item, "event",
			json_object_new_int64((int64_t)ev->number));
		json_object_object_add(
			item, "prefix",
			json_object_new_int64((int64_t)ev->prefix));
		json_object_object_add(item, "evicted",
				       json_object_new_boolean(ev->evicted));
		json_object_array_add(array, item);
	}
	json_object_object_add(o, "run", json_object_new_string(""));
	json_object_object_add(o, "events", array);
	json_object_object_add(o, "next", json_object_new_int64((int64_t)from));
	reply(c, 200, o);
}

static void on_expired(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct run *r = w->data;

	r->engine->prefills_wasted++;
	engine_record(r->engine, "expired", r->id, r->prompt_tokens);
	run_free(r);
}

static void answer_prefilled(struct run *r)
{
	struct engine *e = r->engine;
	struct json_object *o = json_object_new_object();

	json_object_object_add(
		o, "run",
		json_object_new_string(e->faults.crossed ? "crossed" : r->id));
	json_object_object_add(o, "kv", json_object_new_string(r->id));
	json_object_object_add(o, "prompt_tokens",
			       json_object_new_int64(r->prompt_tokens));
	json_object_object_add(o, "cached_tokens",
			       json_object_new_int64(r->cached_tokens));
	json_object_object_add(o, "lifetime_ms",
			       json_object_new_int64(e->timing.kv_lifetime_ms));
	if (r->call)
		reply_run(e, r->call, 200, o);
	else
		json_object_put(o);
	r->call = NULL;
}

static void on_prefilled(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct engine *e = w->data;
	struct run *r = e->prefilling;
	uint32_t i;

	e->prefilling = NULL;
	if (r->marked) {
		engine_crash(e);
		return;
	}
	e->prefills++;
	engine_record(e, "prefill", r->id, r->prompt_tokens);
	for (i = 0; i < r->block_n; i++)
		cache_add(e, r->block[i]);
	r->state = RUN_HELD;
	ev_timer_init(&r->timer, on_expired, e->timing.kv_lifetime_ms / 1000.,
		      0.);
	r->timer.data = r;
	ev_timer_start(loop, &r->timer);
	answer_prefilled(r);
	prefill_next(e);
}

static void count_cached(struct run *r)
{
	uint32_t blocks = 0;

	while (blocks < r->block_n && is_cached(r->engine, r->block[blocks]))
		blocks++;
	r->cached_tokens = blocks * BLOCK_BYTES / 4;
	if (r->cached_tokens > r->prompt_tokens)
		r->cached_tokens = r->prompt_tokens;
}

/* Starts the prefill that has waited longest, if none is under way. */
void prefill_next(struct engine *e)
{
	struct run *r;
	double s;

	if (e->prefilling || e->faults.hang || e->down)
		return;
	TAILQ_FOREACH(r, &e->runs, entry)
	if (r->state == RUN_QUEUED)
		break;
	if (!r)
		return;
	e->prefilling = r;
	r->state = RUN_PREFILLING;
	count_cached(r);
	s = e->timing.prefill_us / 1e6;
	s += (r->prompt_tokens + r->generated - r->cached_tokens) *
	     (e->timing.prefill_token_us / 1e6);
	ev_timer_stop(e->loop, &e->prefill_timer);
	ev_timer_init(&e->prefill_timer, on_prefilled, s, 0.);
	e->prefill_timer.data = e;
	ev_timer_start(e->loop, &e->prefill_timer);
}

/* Checks that text generated elsewhere is what this prompt gives. */
static bool fits(const struct run *r, const char *generated)
{
	char token[TEXTGEN_TOKEN_BYTES];
	uint32_t i;

	for (i = 0; i < r->generated; i++) {
		textgen_write_token(r->hash, i, token);
		if (strncmp(generated, token, strlen(token)))
			return false;
		generated += strlen(token);
	}
	return *generated == '\0';
}

static void hash_blocks(struct run *r, const char *prompt, size_t n)
{
	uint32_t i;

	r->block_n = (uint32_t)(n / BLOCK_BYTES);
	r->block = calloc(r->block_n + 1, sizeof(*r->block));
	if (!r->block)
		abort();
	for (i = 0; i < r->block_n; i++)
		r->block[i] = engine_prefix_hash(prompt,
						 (size_t)(i + 1) * BLOCK_BYTES);
}

static void on_gone(void *ctx, struct httpd_call *c)
{
	struct run *r = ctx;

	r->call = NULL;
	httpd_stream_abort(c);
}

/* Fills in a run from an order; false where a field is wrong. */
static bool read_order(struct run *r, struct jread_node *root)
{
	struct jread_node prompt, generated;
	uint64_t seed;
	size_t n;

	if (!jread_require(root, "prompt", &prompt) ||
	    !jread_require(root, "generated", &generated))
		return false;
	seed = (uint64_t)jread_int(root, "seed", 0, INT64_MAX);
	r->max_tokens = (uint32_t)jread_int(root, "max_tokens", 1, 1 << 20);
	n = (size_t)json_object_get_string_len(prompt.value);
	r->hash = textgen_hash(json_object_get_string(prompt.value), n, seed);
	r->prompt_tokens = textgen_prompt_tokens(n);
	r->generated =
		textgen_count_tokens(json_object_get_string(generated.value));
	r->length = textgen_output_tokens(r->hash, r->max_tokens);
	r->pieces = (r->prompt_tokens + r->max_tokens + PIECE_TOKENS - 1) /
		    PIECE_TOKENS;
	r->marked = strstr(json_object_get_string(prompt.value),
			   "CRASH-THE-ENGINE") != NULL;
	hash_blocks(r, json_object_get_string(prompt.value), n);
	return fits(r, json_object_get_string(generated.value));
}

void prefill_order(struct engine *e, struct httpd_call *c,
		   struct jread_node *root)
{
	char id[NAME_BYTES];
	struct run *r;

	jread_string(root, "run", id, sizeof(id));
	engine_record(e, "order-prefill", id, 0);
	if (e->leaving || e->faults.full) {
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
	if (!read_order(r, root) || engine_pieces_used(e) > e->pieces) {
		run_free(r);
		reply_error(c, 400, "bad order or no memory");
		return;
	}
	r->call = c;
	httpd_on_gone(c, on_gone, r);
	prefill_next(e);
}

/* Answers a decode engine that imports a KV result, after the link's time. */
static void on_exported(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct run *r = w->data;
	struct json_object *o = json_object_new_object();
	struct httpd_call *c = r->call;
	struct engine *e = r->engine;

	json_object_object_add(o, "run", json_object_new_string(r->id));
	json_object_object_add(o, "hash",
			       json_object_new_int64((int64_t)r->hash));
	json_object_object_add(o, "prompt_tokens",
			       json_object_new_int64(r->prompt_tokens));
	json_object_object_add(o, "generated",
			       json_object_new_int64(r->generated));
	json_object_object_add(o, "length", json_object_new_int64(r->length));
	json_object_object_add(o, "max_tokens",
			       json_object_new_int64(r->max_tokens));
	r->call = NULL;
	engine_record(r->engine, "export", r->id, r->prompt_tokens);
	run_free(r);
	reply_run(e, c, 200, o);
}

void prefill_export(struct engine *e, struct httpd_call *c,
		    struct jread_node *root)
{
	char id[NAME_BYTES];
	int64_t now = now_us();
	int64_t bytes;
	struct run *r;

	jread_string(root, "run", id, sizeof(id));
	r = run_find(e, id);
	if (!r || r->state != RUN_HELD || r->call) {
		reply_error(c, 410, "no such KV result");
		return;
	}
	r->call = c;
	httpd_on_gone(c, on_gone, r);
	if (e->faults.stall_transfer)
		return;
	bytes = (int64_t)r->prompt_tokens * e->timing.kv_token_bytes;
	if (e->link_free_us < now)
		e->link_free_us = now;
	e->link_free_us += bytes * 1000000 / (int64_t)e->timing.link_bytes_s;
	ev_timer_stop(e->loop, &r->timer);
	ev_timer_init(&r->timer, on_exported,
		      (double)(e->link_free_us - now) / 1e6, 0.);
	r->timer.data = r;
	ev_timer_start(e->loop, &r->timer);
}
