#include "stats.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>

#define FIRST_BUCKET_US 1000

struct metric {
	const char *name;
	const char *help;
};

static const struct metric counters[] = {
#define STATS_ROW(id, name, help) {name, help},
	STATS_COUNTERS(STATS_ROW)
#undef STATS_ROW
};

static const struct metric histograms[] = {
#define STATS_ROW(id, name, help) {name, help},
	STATS_HISTOGRAMS(STATS_ROW)
#undef STATS_ROW
};

const char *stats_counter_name(enum stats_counter counter)
{
	return counters[counter].name;
}

void stats_add(struct stats *s, enum stats_counter counter, uint64_t n)
{
	s->counter[counter] += n;
}

void stats_observe(struct stats *s, enum stats_histogram histogram,
		   int64_t duration_us)
{
	struct stats_hist *h = &s->hist[histogram];
	int64_t bound_us = FIRST_BUCKET_US;
	int i;

	if (duration_us < 0)
		duration_us = 0;
	for (i = 0; i + 1 < STATS_BUCKETS && duration_us > bound_us; i++)
		bound_us *= 2;
	h->bucket[i]++;
	h->count++;
	h->sum_us += (uint64_t)duration_us;
}

struct writer {
	char *out;
	size_t size;
	size_t used; /* bytes needed so far; may exceed size */
};

static void emit(struct writer *w, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

static void emit(struct writer *w, const char *format, ...)
{
	size_t remaining = w->used < w->size ? w->size - w->used : 0;
	va_list ap;
	int n;

	va_start(ap, format);
	n = vsnprintf(w->out + (remaining ? w->used : 0), remaining, format,
		      ap);
	va_end(ap);
	w->used += n > 0 ? (size_t)n : 0;
}

static void emit_histogram(struct writer *w, const struct metric *m,
			   const struct stats_hist *h)
{
	double bound_s = FIRST_BUCKET_US / 1e6;
	uint64_t cumulative = 0;
	int i;

	emit(w,
	     "# HELP figbend_%s_seconds %s\n# TYPE figbend_%s_seconds "
	     "histogram\n",
	     m->name, m->help, m->name);
	for (i = 0; i + 1 < STATS_BUCKETS; i++, bound_s *= 2) {
		cumulative += h->bucket[i];
		emit(w, "figbend_%s_seconds_bucket{le=\"%g\"} %llu\n", m->name,
		     bound_s, (unsigned long long)cumulative);
	}
	emit(w, "figbend_%s_seconds_bucket{le=\"+Inf\"} %llu\n", m->name,
	     (unsigned long long)h->count);
	emit(w, "figbend_%s_seconds_sum %g\nfigbend_%s_seconds_count %llu\n",
	     m->name, (double)h->sum_us / 1e6, m->name,
	     (unsigned long long)h->count);
}

int stats_write(const struct stats *s, char *out, size_t size)
{
	struct writer w = {.out = out, .size = size};
	int i;

	for (i = 0; i < STATS_COUNTER_COUNT; i++)
		emit(&w,
		     "# HELP figbend_%s_total %s\n# TYPE figbend_%s_total "
		     "counter\nfigbend_%s_total %llu\n",
		     counters[i].name, counters[i].help, counters[i].name,
		     counters[i].name, (unsigned long long)s->counter[i]);
	for (i = 0; i < STATS_HISTOGRAM_COUNT; i++)
		emit_histogram(&w, &histograms[i], &s->hist[i]);
	return w.used < size ? (int)w.used : -ENOSPC;
}
