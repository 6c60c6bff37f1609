#ifndef FIGBEND_CHART_H
#define FIGBEND_CHART_H

#include <stdint.h>

/* Goodput and lost requests over time, drawn as SVG. */

#define CHART_POINTS_MAX 512

struct chart_point {
	int64_t at_s; /* time of day at which the slot began */
	uint64_t good;
	uint64_t bad;
};

struct chart {
	uint32_t slot_s;
	struct chart_point point[CHART_POINTS_MAX];
	uint32_t n;
};

/* Adds a host's slot to the one of the same time. */
void chart_add(struct chart *c, const struct chart_point *p);
int chart_write(const struct chart *c, const char *path);

#endif
