#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "stream.h"
#include "textgen.h"

#define TIMEOUT_MS 60000
#define PROMPT_BYTES 256

/* One request, and what has arrived of its answer. */
struct caller {
	struct load *load;
	struct fetch_call call;
	uint32_t number;
	uint32_t tries;
	char prompt[PROMPT_BYTES];
	uint64_t hash;
	struct stream stream;
};

static void send_request(struct caller *c);

static void finish(struct caller *c, uint32_t *counter)
{
	struct load *l = c->load;

	++*counter;
	l->open--;
	free(c);
	caller_start_next(l);
}

static void on_bytes(void *ctx, const char *bytes, size_t n)
{
	struct caller *c = ctx;
	uint32_t before = c->stream.position;

	stream_bytes(&c->stream, bytes, n);
	c->load->tokens += c->stream.position - before;
}

static void on_done(void *ctx, const struct fetch_result *r)
{
	struct caller *c = ctx;
	struct load *l = c->load;
	uint32_t due = textgen_output_tokens(c->hash, l->max_tokens);

	if (c->stream.wrong || (c->stream.done && c->stream.position != due)) {
		finish(c, &l->wrong);
	} else if (c->stream.done) {
		finish(c, &l->whole);
	} else if (++c->tries < l->tries_max) {
		l->tried_again++;
		send_request(c);
	} else {
		fprintf(stderr, "figload: request %u: status %u error %d %s\n",
			c->number, r->status, r->error, r->body);
		finish(c, &l->failed);
	}
}

/* Sends a request, or sends it again to the next entry host. */
static void send_request(struct caller *c)
{
	struct load *l = c->load;
	char url[128], auth[160], body[2 * PROMPT_BYTES];
	const char *headers[] = {"Content-Type: application/json", auth, NULL};
	struct fetch_request q = {.method = "POST",
				  .url = url,
				  .body = body,
				  .headers = headers,
				  .connect_ms = 1000,
				  .total_ms = TIMEOUT_MS,
				  .on_bytes = on_bytes,
				  .on_done = on_done,
				  .ctx = c};

	stream_init(&c->stream, c->hash);
	snprintf(url, sizeof(url), "http://%s/v1/completions",
		 l->target[(c->number + c->tries) % l->target_n]);
	snprintf(auth, sizeof(auth), "Authorization: Bearer %s", l->key);
	q.body_n = (size_t)snprintf(
		body, sizeof(body),
		"{\"model\":\"%s\",\"prompt\":\"%s\",\"max_tokens\":%u,"
		"\"seed\":%u,\"stream\":true}",
		l->model, c->prompt, l->max_tokens, c->number);
	if (fetch_start(&l->fetch, &c->call, &q) < 0)
		abort();
}

/* Starts requests until as many are open as allowed. */
void caller_start_next(struct load *l)
{
	struct caller *c;

	while (l->open < l->concurrency && l->started < l->requests) {
		c = calloc(1, sizeof(*c));
		if (!c)
			abort();
		c->load = l;
		c->number = l->started++;
		l->open++;
		snprintf(c->prompt, sizeof(c->prompt),
			 "Write a drill scenario, number %u.", c->number);
		c->hash = textgen_hash(c->prompt, strlen(c->prompt), c->number);
		send_request(c);
	}
	if (!l->open)
		ev_break(l->loop, EVBREAK_ALL);
}
