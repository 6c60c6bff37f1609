#ifndef FIGBEND_FLEET_COMPLETION_H
#define FIGBEND_FLEET_COMPLETION_H

#include "fleet.h"

/* completion.c: when an endpoint that states its slowness completes a request. */

/* Learns how long a call takes at the endpoint from one that took took_us. */
void completion_learn(struct fleet_endpoint *e, int64_t took_us);
/*
 * Returns the cost of a request at the endpoint, which has the given load: its
 * expected completion, relative to that at a usual endpoint without other work.
 * usual_us is the mean time of a call at the endpoints of the service, 0 if
 * unknown.
 */
double completion_cost(const struct fleet_endpoint *e, enum fleet_stage stage,
		       double load, double usual_us, int64_t now_us);

#endif
