#include "stats.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>

#define FIRST_BUCKET_US 1000

struct row {
	const char *name;
	const char *help;
};

static const struct row counters[] = {
#define STATS_ROW(id, name, help) {name, help},
	STATS_COUNTERS(STATS_ROW)
#undef STATS_ROW
};

static const struct row histograms[] = {
#define STATS_ROW(id, name, help) {name, help},
	STATS_HISTOGRAMS(STATS_ROW)
#undef STATS_ROW
};

/* Adds n to a counter. */
void stats_add(struct stats *s, enum stats_counter which, uint64_t n)
{
	s->counter[which] += n;
}

/* Adds a duration to a histogram. */
void stats_observe(struct stats *s, enum stats_histogram which, int64_t took_us)
{
	struct stats_hist *h = &s->hist[which];
	int64_t bound_us = FIRST_BUCKET_US;
	int i;

	if (took_us < 0)
		took_us = 0;
	for (i = 0; i + 1 < STATS_BUCKETS && took_us > bound_us; i++)
		bound_us *= 2;
	h->bucket[i]++;
	h->count++;
	h->sum_us += (uint64_t)took_us;
}

struct writer {
	char *out;
	size_t size;
	size_t used;
};

static void put(struct writer *w, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static void put(struct writer *w, const char *format, ...)
{
	size_t left = w->used < w->size ? w->size - w->used : 0;
	va_list ap;
	int n;

	va_start(ap, format);
	n = vsnprintf(w->out + (left ? w->used : 0), left, format, ap);
	va_end(ap);
	w->used += n > 0 ? (size_t)n : 0;
}

static void put_histogram(struct writer *w, const struct row *r,
			  const struct stats_hist *h)
{
	double bound_s = FIRST_BUCKET_US / 1e6;
	uint64_t sum = 0;
	int i;

	put(w,
	    "# HELP figbend_%s_seconds %s\n# TYPE figbend_%s_seconds "
	    "histogram\n",
	    r->name, r->help, r->name);
	for (i = 0; i + 1 < STATS_BUCKETS; i++, bound_s *= 2) {
		sum += h->bucket[i];
		put(w, "figbend_%s_seconds_bucket{le=\"%g\"} %llu\n", r->name,
		    bound_s, (unsigned long long)sum);
	}
	put(w, "figbend_%s_seconds_bucket{le=\"+Inf\"} %llu\n", r->name,
	    (unsigned long long)h->count);
	put(w, "figbend_%s_seconds_sum %g\nfigbend_%s_seconds_count %llu\n",
	    r->name, (double)h->sum_us / 1e6, r->name,
	    (unsigned long long)h->count);
}

/* See stats.h. */
int stats_write(const struct stats *s, char *out, size_t size)
{
	struct writer w = {.out = out, .size = size};
	int i;

	for (i = 0; i < STATS_COUNTER_COUNT; i++)
		put(&w,
		    "# HELP figbend_%s_total %s\n# TYPE figbend_%s_total "
		    "counter\nfigbend_%s_total %llu\n",
		    counters[i].name, counters[i].help, counters[i].name,
		    counters[i].name, (unsigned long long)s->counter[i]);
	for (i = 0; i < STATS_HISTOGRAM_COUNT; i++)
		put_histogram(&w, &histograms[i], &s->hist[i]);
	return w.used < size ? (int)w.used : -ENOSPC;
}
