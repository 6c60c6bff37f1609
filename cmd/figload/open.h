#ifndef FIGBEND_OPEN_H
#define FIGBEND_OPEN_H

#include <ev.h>

#include "engine.h"
#include "fetch.h"
#include "measure.h"
#include "scenario.h"

/*
 * The open-loop load: each request is sent at its own time, whatever became of
 * those before it.
 */

struct open_load {
	struct ev_loop *loop;
	struct fetch fetch;
	struct engine engine; /* for requests straight to engines */
	const struct scenario *scenario;
	struct schedule plan;
	struct result *result;
	ev_timer next_timer;
	int64_t start_us;
	uint32_t next; /* to be sent */
	uint32_t open;
};

int open_load_run(struct open_load *l, const struct scenario *s);
void open_load_finish(struct open_load *l);
/* Sums what the stand-in engines recorded; leaves -1 if one does not answer. */
void open_load_records(const struct scenario *s, int64_t *prefills,
		       int64_t *wasted);

#endif
