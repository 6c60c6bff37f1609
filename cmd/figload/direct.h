#ifndef FIGBEND_DIRECT_H
#define FIGBEND_DIRECT_H

#include "engine.h"
#include "scenario.h"
#include "stream.h"

/*
 * One request straight to a pair of stand-in engines, without the router: what
 * the router's own time is compared with.
 */

struct direct;
typedef void (*direct_token)(void *ctx);
typedef void (*direct_done)(void *ctx, bool whole);

struct direct {
	struct engine *engine;
	const char *prefill;
	const char *decode;
	char run[ENGINE_RUN_BYTES];
	struct engine_call call;
	struct stream *stream;
	direct_token on_token;
	direct_done on_done;
	void *ctx;
};

/* What is asked; prompt need only live during the call. */
struct direct_ask {
	const char *model;
	const char *prompt;
	uint64_t seed;
	uint32_t max_tokens;
	uint32_t number;
};

int direct_start(struct direct *d, const struct direct_ask *ask);

#endif
