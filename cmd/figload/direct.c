#include "direct.h"

#include <stdio.h>
#include <string.h>

#define SILENCE_MS 10000

static void on_engine(void *ctx, struct engine_call *c,
		      const struct engine_event *ev);

/* Ends the call before its memory goes, as it may be in the midst of bytes. */
static void finish(struct direct *d, bool whole)
{
	engine_cancel_call(&d->call);
	d->on_done(d->ctx, whole);
}

static void fill(struct direct *d, struct engine_order *o, enum engine_op op,
		 const char *addr)
{
	memset(o, 0, sizeof(*o));
	o->op = op;
	o->addr = addr;
	o->run = d->run;
	o->silence_ms = SILENCE_MS;
}

static void start(struct direct *d, const struct engine_order *o)
{
	if (engine_start(d->engine, &d->call, o, on_engine, d) < 0)
		finish(d, false);
}

static void transfer(struct direct *d, const char *kv)
{
	struct engine_order o;

	fill(d, &o, ENGINE_TRANSFER, d->decode);
	o.transfer.kv = kv;
	o.transfer.from = d->prefill;
	start(d, &o);
}

static void decode(struct direct *d)
{
	struct engine_order o;

	fill(d, &o, ENGINE_DECODE, d->decode);
	start(d, &o);
}

static void on_engine(void *ctx, struct engine_call *c,
		      const struct engine_event *ev)
{
	struct direct *d = ctx;

	switch (ev->kind) {
	case ENGINE_EV_PREFILLED:
		transfer(d, ev->prefilled.kv);
		break;
	case ENGINE_EV_TRANSFERRED:
		decode(d);
		break;
	case ENGINE_EV_TOKEN:
		stream_text(d->stream, ev->token.text);
		d->on_token(d->ctx);
		break;
	case ENGINE_EV_ENDED:
		d->stream->done = true;
		finish(d, true);
		break;
	default:
		finish(d, false);
		break;
	}
}

/*
 * Starts a request in memory of the caller's, whose first six fields are set;
 * on_done is called once. Returns 0 or -ENOMEM.
 */
int direct_start(struct direct *d, const struct direct_ask *ask)
{
	struct engine_order o;

	snprintf(d->run, sizeof(d->run), "direct-%u.1", ask->number);
	fill(d, &o, ENGINE_PREFILL, d->prefill);
	o.prefill.model = ask->model;
	o.prefill.prompt = ask->prompt;
	o.prefill.generated = "";
	o.prefill.seed = ask->seed;
	o.prefill.max_tokens = ask->max_tokens;
	return engine_start(d->engine, &d->call, &o, on_engine, d);
}
