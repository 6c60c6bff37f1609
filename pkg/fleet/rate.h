#ifndef FIGBEND_FLEET_RATE_H
#define FIGBEND_FLEET_RATE_H

#include "fleet.h"

/* rate.c: the rates of endpoints that all hosts keep to together. */

/* Returns a number in [0, 1) from a linear congruential generator. */
double fleet_random(struct fleet *f);
/*
 * Returns true if this host has used its share of a rate at the endpoint: of a cold
 * one, or of the limit that it names.
 */
bool fleet_rate_reached(struct fleet *f, const struct fleet_query *q,
			struct fleet_endpoint *e, int64_t now_us);

#endif
