#include "totals.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* A source that is silent for this long is replaced by another of its group.
 * Reports come several times a second. */
#define TAKEOVER_US 900000LL
/* A source is aligned with the current one while that reported within this
 * time. */
#define ALIGN_US 300000LL
#define CAPACITY_MIN 32

void totals_keys_finish(struct totals_keys *k)
{
	free(k->key);
	free(k->sorted);
	memset(k, 0, sizeof(*k));
}

/* Returns the position in sorted of the first key that is not below key. */
static uint32_t lower_bound(const struct totals_keys *k, uint64_t key)
{
	uint32_t low = 0, high = k->n, mid;

	while (low < high) {
		mid = low + (high - low) / 2;
		if (k->key[k->sorted[mid]] < key)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static int keys_grow(struct totals_keys *k)
{
	uint32_t capacity = k->capacity ? 2 * k->capacity : CAPACITY_MIN;
	uint64_t *key;
	uint32_t *sorted;

	if (k->n < k->capacity)
		return 0;
	if (k->n >= TOTALS_KEYS_MAX)
		return -ENOSPC;
	key = realloc(k->key, capacity * sizeof(*key));
	if (!key)
		return -ENOMEM;
	k->key = key;
	sorted = realloc(k->sorted, capacity * sizeof(*sorted));
	if (!sorted)
		return -ENOMEM;
	k->sorted = sorted;
	k->capacity = capacity;
	return 0;
}

int totals_column(struct totals_keys *k, uint64_t key)
{
	uint32_t at = lower_bound(k, key);
	int r;

	if (at < k->n && k->key[k->sorted[at]] == key)
		return (int)k->sorted[at];
	r = keys_grow(k);
	if (r < 0)
		return r;
	memmove(&k->sorted[at + 1], &k->sorted[at],
		(k->n - at) * sizeof(*k->sorted));
	k->sorted[at] = k->n;
	k->key[k->n] = key;
	return (int)k->n++;
}

/* Grows an array by zeros. Returns 0, or -ENOMEM; then it is unchanged. */
static int grow_zeroed(int64_t **array, uint32_t from, uint32_t to)
{
	int64_t *p = realloc(*array, to * sizeof(*p));

	if (!p)
		return -ENOMEM;
	memset(p + from, 0, (to - from) * sizeof(*p));
	*array = p;
	return 0;
}

/* Makes space for as many columns as there are keys, in n arrays. */
static int grow_columns(int64_t **array[], int n, uint32_t *capacity,
			const struct totals_keys *k)
{
	int i;

	if (k->n <= *capacity)
		return 0;
	for (i = 0; i < n; i++)
		if (grow_zeroed(array[i], *capacity, k->capacity) < 0)
			return -ENOMEM;
	*capacity = k->capacity;
	return 0;
}

static int grow_group(struct totals_group *g, const struct totals_keys *k)
{
	int64_t **array[] = {&g->total, &g->counted};

	return grow_columns(array, 2, &g->capacity, k);
}

static int grow_source(struct totals_source *s, const struct totals_keys *k)
{
	int64_t **array[] = {&s->reported, &s->base, &s->missing};

	return grow_columns(array, 3, &s->capacity, k);
}

void totals_group_init(struct totals_group *g)
{
	memset(g, 0, sizeof(*g));
	TAILQ_INIT(&g->sources);
}

void totals_group_finish(struct totals_group *g)
{
	struct totals_source *s;

	while ((s = TAILQ_FIRST(&g->sources)) != NULL) {
		TAILQ_REMOVE(&g->sources, s, entry);
		free(s->reported);
		free(s->base);
		free(s->missing);
		free(s);
	}
	free(g->total);
	free(g->counted);
	totals_group_init(g);
}

int64_t totals_counted(const struct totals_group *g, uint32_t column)
{
	return column < g->capacity ? g->counted[column] : 0;
}

static struct totals_source *find_source(struct totals_group *g, uint64_t id)
{
	struct totals_source *s;

	TAILQ_FOREACH(s, &g->sources, entry)
	if (s->id == id)
		return s;
	return NULL;
}

/* What the source reports from 0 on is added to the present totals. */
static void start_at_total(struct totals_source *s,
			   const struct totals_group *g,
			   const struct totals_keys *k)
{
	uint32_t c;

	for (c = 0; c < k->n; c++) {
		s->reported[c] = 0;
		s->base[c] = g->total[c];
		s->missing[c] = 0;
	}
}

/* Returns the source of a report, a new one if need be, or NULL. */
static struct totals_source *get_source(struct totals_group *g,
					const struct totals_keys *k,
					uint64_t id, bool *is_new)
{
	struct totals_source *s = find_source(g, id);

	*is_new = !s;
	if (!s) {
		s = calloc(1, sizeof(*s));
		if (!s)
			return NULL;
		s->id = id;
		TAILQ_INSERT_TAIL(&g->sources, s, entry);
	}
	return grow_source(s, k) < 0 ? NULL : s;
}

/* Returns the group's total as the source knows it. */
static int64_t known_total(const struct totals_source *s, uint32_t c)
{
	return s->base[c] + s->reported[c];
}

/*
 * Aligns a source that does not count: it must not know more than the group's
 * total. What it knows earlier than the current source is then counted late, if
 * it takes over; otherwise that source will report it.
 */
static void align(struct totals_source *s, const struct totals_group *g,
		  const struct totals_keys *k)
{
	int64_t excess;
	uint32_t c;

	for (c = 0; c < k->n; c++) {
		excess = known_total(s, c) - g->total[c];
		if (excess > 0)
			s->base[c] -= excess;
	}
}

/* Makes a source the one that counts. The totals stay as they are. */
static void take_over(struct totals_group *g, struct totals_source *s,
		      const struct totals_keys *k)
{
	int64_t missing;
	uint32_t c;

	g->current = s;
	for (c = 0; c < k->n; c++) {
		missing = g->total[c] - known_total(s, c);
		if (missing <= 0)
			continue;
		s->base[c] += missing;
		s->missing[c] = missing;
	}
}

static void update_totals(struct totals_group *g, const struct totals_keys *k,
			  totals_fn changed, void *ctx)
{
	int64_t change;
	uint32_t c;

	for (c = 0; c < k->n; c++) {
		change = known_total(g->current, c) - g->total[c];
		if (!change)
			continue;
		g->total[c] += change;
		if (!changed)
			continue;
		g->counted[c] += change;
		changed(ctx, k->key[c], change);
	}
}

static void store_amount(struct totals_source *s, uint32_t c, int64_t amount)
{
	int64_t late = amount - s->reported[c];

	if (late > s->missing[c])
		late = s->missing[c];
	if (late > 0) {
		s->missing[c] -= late;
		s->base[c] -= late;
	}
	s->reported[c] = amount;
}

/* Stores the rows of a report. Returns 0, or the error of a row left out. */
static int store_rows(struct totals_source *s, struct totals_keys *k,
		      const struct totals_report *report, bool baseline)
{
	int error = 0, c;
	uint32_t i;

	for (i = 0; i < report->n; i++) {
		c = totals_column(k, report->row[i].key);
		if (c < 0 || (uint32_t)c >= s->capacity) {
			error = c < 0 ? c : -ENOMEM;
			continue;
		}
		if (baseline)
			s->base[c] -= report->row[i].amount;
		store_amount(s, (uint32_t)c, report->row[i].amount);
	}
	return error;
}

/* Returns true if the group has more than one source. */
static bool is_shared(const struct totals_group *g)
{
	const struct totals_source *first = TAILQ_FIRST(&g->sources);

	return first && TAILQ_NEXT(first, entry);
}

/*
 * A source that is new, or has restarted, counts from zero if it alone knows
 * what it counts; otherwise the rest of its group knows that already.
 */
int totals_apply(struct totals_group *g, struct totals_keys *k,
		 const struct totals_report *report, int64_t now_us,
		 totals_fn changed, void *ctx)
{
	struct totals_source *s;
	bool is_new, restarted, baseline;
	uint32_t i;
	int r;

	/* All columns exist before the arrays are sized. */
	for (i = 0; i < report->n; i++)
		totals_column(k, report->row[i].key);
	if (grow_group(g, k) < 0)
		return -ENOMEM;
	s = get_source(g, k, report->source, &is_new);
	if (!s)
		return -ENOMEM;
	restarted = !is_new && report->boot > s->boot;
	if (!is_new && !restarted &&
	    (report->boot < s->boot || report->counter <= s->counter))
		return 0;
	if (is_new || restarted)
		start_at_total(s, g, k);
	baseline = is_shared(g) ? is_new || restarted
				: is_new && !report->young;
	s->boot = report->boot;
	s->counter = report->counter;
	s->last_us = now_us;
	r = store_rows(s, k, report, baseline);
	if (!g->current ||
	    (s != g->current && now_us - g->current->last_us > TAKEOVER_US))
		take_over(g, s, k);
	if (s == g->current)
		update_totals(g, k, changed, ctx);
	else if (now_us - g->current->last_us < ALIGN_US)
		align(s, g, k);
	return r;
}
