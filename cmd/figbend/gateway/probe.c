#include "gateway.h"

/*
 * Asks model engines for load reports at intervals. The reports lag; between
 * them, what this and the other hosts have there says how much is free.
 */

/* Engines' reports lag by nearly a second; asking more often shows little. */
#define INTERVAL_S 0.8

static void on_probe(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gateway *g = w->data;
	struct fleet_endpoint *e;

	TAILQ_FOREACH(e, &g->fleet.list, entry)
	if (e->says.stage == FLEET_DECODE && !e->asked &&
	    fleet_usable(&g->fleet, e))
		errand_report(g, e);
}

/* Starts to ask. */
void probe_init(struct gateway *g)
{
	ev_timer_init(&g->probe, on_probe,
		      (double)(gateway_random(g) % 1000) / 1000 * INTERVAL_S,
		      INTERVAL_S);
	g->probe.data = g;
	ev_timer_start(g->loop, &g->probe);
}

/* Stops to ask. */
void probe_finish(struct gateway *g)
{
	ev_timer_stop(g->loop, &g->probe);
}
