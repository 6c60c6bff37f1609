#include "metrics.h"

#include <errno.h>
#include <stdio.h>

struct row {
	const char *name;
	const char *help;
};

static const struct row rows[METRIC_COUNT] = {
#define METRICS_ROW(id, name, help) {name, help},
	METRICS(METRICS_ROW)
#undef METRICS_ROW
};

void metrics_add(struct metrics *m, enum metric counter, uint64_t n)
{
	m->value[counter] += n;
}

int metrics_write(const struct metrics *m, char *out, size_t size)
{
	size_t used = 0;
	int n, i;

	for (i = 0; i < METRIC_COUNT; i++) {
		n = snprintf(out + used, size - used,
			     "# HELP figbend_%s_total %s\n"
			     "# TYPE figbend_%s_total counter\n"
			     "figbend_%s_total %llu\n",
			     rows[i].name, rows[i].help, rows[i].name,
			     rows[i].name, (unsigned long long)m->value[i]);
		if (n < 0 || (size_t)n >= size - used)
			return -ENOSPC;
		used += (size_t)n;
	}
	return (int)used;
}
