#ifndef FIGBEND_ENGINE_HTTP_H
#define FIGBEND_ENGINE_HTTP_H

#include "engine.h"

int engine_http_start(struct engine *e, struct engine_call *c,
		      const struct engine_order *o);

#endif
