#include "engine.h"
#include "http.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Longer than the client keeps an idle connection for reuse. */
#define DISTRUST_S 120.

/* Starts a client of engines of one form; the fetch client is shared. */
void engine_init(struct engine *e, struct fetch *f, enum engine_form form,
		 uint32_t connect_ms)
{
	memset(e, 0, sizeof(*e));
	e->fetch = f;
	e->form = form;
	e->connect_ms = connect_ms;
}

/*
 * Gives an order. What comes back goes to take, never from within this function.
 * Returns 0, or -ENOMEM and then take is not called.
 */
int engine_start(struct engine *e, struct engine_call *c,
		 const struct engine_order *o, engine_take take, void *ctx)
{
	memset(c, 0, sizeof(*c));
	c->engine = e;
	snprintf(c->addr, sizeof(c->addr), "%s", o->addr);
	c->op = o->op;
	c->take = take;
	c->ctx = ctx;
	snprintf(c->run, sizeof(c->run), "%s", o->run ? o->run : "");
	switch (e->form) {
	case ENGINE_FORM_HTTP:
		return engine_http_start(e, c, o);
	}
	return -EINVAL;
}

/*
 * Stops listening to an order; take is not called after this. It does not stop
 * the engine: an order ENGINE_CANCEL does. A call that is over is left alone.
 */
void engine_cancel_call(struct engine_call *c)
{
	fetch_cancel(&c->fetch);
	if (c->freed)
		*c->freed = true;
	c->freed = NULL;
	free(c->line);
	c->line = NULL;
	c->line_n = 0;
}

/*
 * A connection to the endpoint was silent when it should have spoken: something
 * between may have lost track of all that are open. New ones are used until the
 * client has dropped the old.
 */
void engine_distrust(struct engine *e, const char *addr)
{
	struct engine_silent *s = &e->silent[e->silent_next];

	e->silent_next = (e->silent_next + 1) % ENGINE_SILENT_MAX;
	snprintf(s->addr, sizeof(s->addr), "%s", addr);
	s->until = ev_now(e->fetch->loop) + DISTRUST_S;
}

bool engine_distrusts(const struct engine *e, const char *addr)
{
	uint32_t i;

	for (i = 0; i < ENGINE_SILENT_MAX; i++)
		if (strcmp(e->silent[i].addr, addr) == 0 &&
		    ev_now(e->fetch->loop) < e->silent[i].until)
			return true;
	return false;
}

const char *engine_fault_name(enum engine_fault f)
{
	static const char *const names[] = {"refused", "unreached", "broken",
					    "silent",  "wrong",	    "expired"};

	return names[f];
}

/* Returns the hash by which cache events name the first n bytes of a prompt. */
uint64_t engine_prefix_hash(const char *prompt, size_t n)
{
	uint64_t h = 14695981039346656037ULL;
	size_t i;

	for (i = 0; i < n; i++)
		h = (h ^ (uint8_t)prompt[i]) * 1099511628211ULL;
	return h >> 1;
}
