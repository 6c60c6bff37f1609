#include "open.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "direct.h"
#include "stream.h"
#include "textgen.h"

#define CONNECT_MS 1000
#define TOTAL_MS 330000
#define IDLE_CONNECTIONS 4096
#define BODY_BYTES_EXTRA 512
#define TOO_MANY_REQUESTS 429
#define RECORD_MS 10000
#define RECORD_MAX_BYTES (256U << 20)

/* One request under way. */
struct flight {
	struct open_load *load;
	const struct planned *planned;
	struct result *result;
	struct fetch_call call;
	struct direct direct;
	struct stream stream;
	char *body;
	size_t body_n;
	uint64_t hash;
	int64_t intended_us;
};

static int64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000000LL + ts.tv_nsec / 1000;
}

static void flight_end(struct flight *f, enum outcome o)
{
	struct open_load *l = f->load;

	f->result->outcome = o;
	f->result->tokens = f->stream.position;
	free(f->body);
	free(f);
	if (--l->open == 0 && l->next == l->plan.n)
		ev_break(l->loop, EVBREAK_ALL);
}

/* Takes the time of tokens that just arrived; the request may be cancelled. */
static void take_tokens(struct flight *f, uint32_t before)
{
	struct result *r = f->result;
	int64_t at_us = now_us() - f->intended_us;

	if (f->stream.position == before)
		return;
	if (!before)
		r->first_us = at_us;
	else if (at_us - r->last_us > r->gap_max_us)
		r->gap_max_us = at_us - r->last_us;
	r->last_us = at_us;
	if (f->stream.position > f->planned->cancel_after_tokens) {
		fetch_cancel(&f->call);
		flight_end(f, OUTCOME_CANCELLED);
	}
}

static void on_bytes(void *ctx, const char *bytes, size_t n)
{
	struct flight *f = ctx;
	uint32_t before = f->stream.position;

	stream_bytes(&f->stream, bytes, n);
	take_tokens(f, before);
}

static void on_direct_token(void *ctx)
{
	struct flight *f = ctx;

	take_tokens(f, f->stream.position - 1);
}

static void on_direct_done(void *ctx, bool whole)
{
	struct flight *f = ctx;

	if (f->stream.wrong ||
	    (whole && f->stream.position != f->result->due_tokens))
		flight_end(f, OUTCOME_WRONG);
	else
		flight_end(f, whole ? OUTCOME_WHOLE : OUTCOME_LOST);
}

static enum outcome outcome_of(const struct flight *f,
			       const struct fetch_result *r)
{
	const struct stream *s = &f->stream;

	if (s->wrong || (s->done && s->position != f->result->due_tokens))
		return OUTCOME_WRONG;
	if (s->done)
		return OUTCOME_WHOLE;
	if (s->position)
		return OUTCOME_CUT;
	return s->code[0] ? OUTCOME_REFUSED : OUTCOME_LOST;
}

static void flight_send(struct flight *f);

/* Only what surely did not run for want of a host or endpoint goes elsewhere. */
static bool may_try_again(const struct flight *f, const struct fetch_result *r)
{
	if (f->result->tries >= f->load->scenario->tries_max)
		return false;
	return !r->sent || (f->stream.not_run && r->status >= 500);
}

static void on_done(void *ctx, const struct fetch_result *r)
{
	struct flight *f = ctx;

	if (r->status && r->status != 200)
		stream_error(&f->stream, r->body, r->body_n);
	if (!f->stream.position && !f->stream.done && may_try_again(f, r)) {
		flight_send(f);
		return;
	}
	f->result->over_rate = r->status == TOO_MANY_REQUESTS;
	flight_end(f, outcome_of(f, r));
}

/* Sends the request to the next host, as a balancer would. */
static void flight_send(struct flight *f)
{
	struct open_load *l = f->load;
	const struct scenario *s = l->scenario;
	uint32_t to = (f->planned->number + f->result->tries) % s->target_n;
	char url[128], auth[SCENARIO_KEY_BYTES + 32];
	const char *headers[] = {"Content-Type: application/json", auth, NULL};
	struct fetch_request q = {.method = "POST",
				  .url = url,
				  .body = f->body,
				  .body_n = f->body_n,
				  .headers = headers,
				  .connect_ms = CONNECT_MS,
				  .total_ms = TOTAL_MS,
				  .on_bytes = on_bytes,
				  .on_done = on_done,
				  .ctx = f};

	f->result->tries++;
	stream_init(&f->stream, f->hash);
	snprintf(url, sizeof(url), "http://%s/v1/completions", s->target[to]);
	snprintf(auth, sizeof(auth), "Authorization: Bearer %s",
		 s->account[f->planned->account].key);
	if (fetch_start(&l->fetch, &f->call, &q) < 0)
		flight_end(f, OUTCOME_LOST);
}

/* Sends the request to a pair of engines by turns. */
static int flight_direct(struct flight *f, const char *prompt)
{
	const struct scenario *s = f->load->scenario;
	const struct planned *p = f->planned;
	struct direct_ask ask = {.model = s->account[p->account].model,
				 .prompt = prompt,
				 .seed = p->number,
				 .max_tokens = p->max_tokens,
				 .number = p->number};

	f->direct.engine = &f->load->engine;
	f->direct.prefill = s->prefill[p->number % s->prefill_n];
	f->direct.decode = s->decode[p->number % s->decode_n];
	f->direct.stream = &f->stream;
	f->direct.on_token = on_direct_token;
	f->direct.on_done = on_direct_done;
	f->direct.ctx = f;
	stream_init(&f->stream, f->hash);
	f->result->tries = 1;
	return direct_start(&f->direct, &ask);
}

static bool is_direct(const struct scenario *s)
{
	return s->prefill_n && s->decode_n;
}

static int flight_body(struct flight *f, const struct scenario *s)
{
	const struct planned *p = f->planned;
	size_t prompt_n = (size_t)p->prompt_tokens * 4;
	char *prompt = malloc(prompt_n + 1);
	int r = 0;

	f->body = malloc(prompt_n + BODY_BYTES_EXTRA);
	if (!f->body || !prompt) {
		free(prompt);
		return -ENOMEM;
	}
	schedule_prompt(s, p, prompt);
	f->hash = textgen_hash(prompt, prompt_n, p->number);
	f->body_n = (size_t)snprintf(
		f->body, prompt_n + BODY_BYTES_EXTRA,
		"{\"model\":\"%s\",\"prompt\":\"%s\",\"max_tokens\":%u,"
		"\"seed\":%u,\"stream\":true}",
		s->account[p->account].model, prompt, p->max_tokens, p->number);
	if (is_direct(s))
		r = flight_direct(f, prompt);
	free(prompt);
	return r;
}

static void launch(struct open_load *l, const struct planned *p)
{
	struct flight *f = calloc(1, sizeof(*f));

	if (!f)
		abort();
	f->load = l;
	f->planned = p;
	f->result = &l->result[p->number];
	f->intended_us = l->start_us + p->at_us;
	f->result->late_us = now_us() - f->intended_us;
	l->open++;
	if (flight_body(f, l->scenario) < 0)
		abort();
	f->result->due_tokens = textgen_output_tokens(f->hash, p->max_tokens);
	if (!is_direct(l->scenario))
		flight_send(f);
}

/* Sends what is due and sleeps until the next one is. */
static void on_next(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct open_load *l = w->data;
	int64_t at_us = now_us() - l->start_us;

	while (l->next < l->plan.n && l->plan.planned[l->next].at_us <= at_us)
		launch(l, &l->plan.planned[l->next++]);
	if (l->next == l->plan.n)
		return;
	ev_now_update(loop);
	ev_timer_set(w, (double)(l->plan.planned[l->next].at_us - at_us) / 1e6,
		     0.);
	ev_timer_start(loop, w);
}

/*
 * Runs a scenario to its end. Returns 0 or -ENOMEM; the caller finishes it
 * either way.
 */
int open_load_run(struct open_load *l, const struct scenario *s)
{
	int r;

	memset(l, 0, sizeof(*l));
	l->scenario = s;
	l->loop = ev_default_loop(0);
	r = fetch_init(&l->fetch, l->loop, IDLE_CONNECTIONS);
	if (r < 0)
		return r;
	engine_init(&l->engine, &l->fetch, ENGINE_FORM_HTTP, CONNECT_MS);
	r = schedule_make(&l->plan, s);
	if (r < 0 || !l->plan.n)
		return r;
	l->result = calloc(l->plan.n, sizeof(*l->result));
	if (!l->result)
		return -ENOMEM;
	l->start_us = now_us();
	ev_timer_init(&l->next_timer, on_next, 0., 0.);
	l->next_timer.data = l;
	ev_timer_start(l->loop, &l->next_timer);
	ev_run(l->loop, 0);
	return 0;
}

void open_load_finish(struct open_load *l)
{
	fetch_finish(&l->fetch);
	schedule_finish(&l->plan);
	free(l->result);
}

struct record_read {
	int64_t prefills;
	int64_t wasted;
	bool ok;
};

static void on_record(void *ctx, const struct fetch_result *r)
{
	struct record_read *rec = ctx;
	struct jread_errors faults;
	struct jread_node root;

	jread_errors_init(&faults);
	if (r->status == 200 &&
	    jread_parse(r->body, r->body_n, "record", &faults, &root) == 0) {
		rec->prefills += jread_int(&root, "prefills", 0, INT64_MAX);
		rec->wasted +=
			jread_int(&root, "prefills_wasted", 0, INT64_MAX);
		rec->ok = true;
		json_object_put(root.value);
	}
	jread_errors_free(&faults);
}

static void read_record(struct fetch *f, const char *addr,
			struct record_read *rec)
{
	char url[128];
	struct fetch_request q = {.method = "GET",
				  .url = url,
				  .connect_ms = CONNECT_MS,
				  .total_ms = RECORD_MS,
				  .max_body_bytes = RECORD_MAX_BYTES,
				  .on_done = on_record,
				  .ctx = rec};
	struct fetch_call call;

	snprintf(url, sizeof(url), "http://%s/record", addr);
	rec->ok = false;
	if (fetch_start(f, &call, &q) == 0)
		while (call.transfer)
			ev_run(f->loop, EVRUN_ONCE);
}

void open_load_records(const struct scenario *s, int64_t *prefills,
		       int64_t *wasted)
{
	struct record_read rec = {.ok = true};
	struct fetch f;
	uint32_t i;

	if (!s->record_n || fetch_init(&f, ev_default_loop(0), 4) < 0)
		return;
	for (i = 0; i < s->record_n && rec.ok; i++)
		read_record(&f, s->record[i], &rec);
	fetch_finish(&f);
	*prefills = rec.ok ? rec.prefills : -1;
	*wasted = rec.ok ? rec.wasted : -1;
}
