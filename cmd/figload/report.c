#include <errno.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "measure.h"

#define PATH_BYTES 256
#define FILE_FLAGS (JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE)

static void put_int(struct json_object *o, const char *key, int64_t n)
{
	json_object_object_add(o, key, json_object_new_int64(n));
}

static void put_double(struct json_object *o, const char *key, double x)
{
	json_object_object_add(o, key, json_object_new_double(x));
}

static double share(double part, double whole)
{
	return whole > 0. ? part / whole : 0.;
}

static double counted_s(const struct scenario *s)
{
	return s->duration_s - s->warmup_s;
}

static void put_quantiles(struct json_object *root, const char *key,
			  const struct quantiles *q)
{
	struct json_object *o = json_object_new_object();

	put_double(o, "p50", q->p50_ms);
	put_double(o, "p95", q->p95_ms);
	put_double(o, "p99", q->p99_ms);
	json_object_object_add(root, key, o);
}

/* Returns the smallest share of good requests over all accounts. */
static double worst_share(const struct measure *m, const struct scenario *s)
{
	double worst = 1.;
	double x;
	uint32_t i;

	for (i = 0; i < s->account_n; i++) {
		x = share(m->account[i].good, m->account[i].offered);
		if (m->account[i].offered && x < worst)
			worst = x;
	}
	return worst;
}

static struct json_object *accounts_json(const struct measure *m,
					 const struct scenario *s)
{
	struct json_object *all = json_object_new_object();
	const struct account_measure *a;
	struct json_object *o;
	uint32_t i;

	for (i = 0; i < s->account_n; i++) {
		a = &m->account[i];
		o = json_object_new_object();
		put_int(o, "offered", a->offered);
		put_int(o, "good", a->good);
		put_int(o, "refused", a->refused);
		put_int(o, "refused_inside_rate", a->refused_inside);
		put_int(o, "tokens", (int64_t)a->tokens);
		put_double(o, "share_of_tokens",
			   share((double)a->tokens, (double)m->tokens));
		json_object_object_add(all, s->account[i].name, o);
	}
	return all;
}

static struct json_object *seconds_json(const struct measure *m)
{
	struct json_object *array = json_object_new_array();
	struct json_object *o;
	uint32_t i;

	for (i = 0; i < m->second_n; i++) {
		o = json_object_new_object();
		put_int(o, "offered", m->second[i].offered);
		put_int(o, "good", m->second[i].good);
		json_object_array_add(array, o);
	}
	return array;
}

static struct json_object *measure_json(const struct measure *m,
					const struct scenario *s)
{
	struct json_object *o = json_object_new_object();
	enum outcome i;

	json_object_object_add(o, "scenario", json_object_new_string(s->name));
	put_int(o, "seed", (int64_t)s->seed);
	put_double(o, "counted_s", counted_s(s));
	put_int(o, "offered", m->offered);
	for (i = OUTCOME_WHOLE; i < OUTCOMES; i++)
		put_int(o, outcome_name(i), m->outcome[i]);
	put_int(o, "good", m->good);
	put_double(o, "good_share", share(m->good, m->offered));
	put_double(o, "goodput_requests_s", share(m->good, counted_s(s)));
	put_double(o, "worst_account_good_share", worst_share(m, s));
	put_int(o, "sent_again", m->moved);
	put_double(o, "tokens_s", share((double)m->tokens, counted_s(s)));
	put_quantiles(o, "first_token_ms", &m->first);
	put_quantiles(o, "mean_gap_ms", &m->gap);
	put_quantiles(o, "largest_gap_ms", &m->gap_max);
	put_double(o, "tool_late_p99_ms", m->late_p99_ms);
	put_int(o, "prefills", m->prefills);
	put_int(o, "prefills_wasted", m->prefills_wasted);
	json_object_object_add(o, "accounts", accounts_json(m, s));
	json_object_object_add(o, "seconds", seconds_json(m));
	return o;
}

/* Writes the measures to a file as JSON. Returns 0 or -EIO. */
int measure_write(const struct measure *m, const struct scenario *s,
		  const char *path)
{
	struct json_object *o = measure_json(m, s);
	int r = json_object_to_file_ext(path, o, FILE_FLAGS);

	json_object_put(o);
	return r < 0 ? -EIO : 0;
}

static void print_quantiles(const char *name, const struct quantiles *q)
{
	printf("%-22s p50 %8.1f  p95 %8.1f  p99 %8.1f\n", name, q->p50_ms,
	       q->p95_ms, q->p99_ms);
}

/* Prints the measures as a plain table, one record a line. */
void measure_print(const struct measure *m, const struct scenario *s)
{
	const struct account_measure *a;
	enum outcome o;
	uint32_t i;

	printf("scenario %s seed %llu counted_s %.0f\n", s->name,
	       (unsigned long long)s->seed, counted_s(s));
	printf("offered %u", m->offered);
	for (o = OUTCOME_WHOLE; o < OUTCOMES; o++)
		printf(" %s %u", outcome_name(o), m->outcome[o]);
	printf(" sent_again %u\n", m->moved);
	printf("good %u (%.1f%%) goodput %.2f requests/s, %.0f tokens/s\n",
	       m->good, 100. * share(m->good, m->offered),
	       share(m->good, counted_s(s)),
	       share((double)m->tokens, counted_s(s)));
	print_quantiles("first_token_ms", &m->first);
	print_quantiles("mean_gap_ms", &m->gap);
	print_quantiles("largest_gap_ms", &m->gap_max);
	printf("tool_late_p99_ms %.2f\n", m->late_p99_ms);
	if (m->prefills >= 0)
		printf("prefills %lld wasted %lld\n", (long long)m->prefills,
		       (long long)m->prefills_wasted);
	printf("%-20s %8s %8s %8s %14s %8s\n", "account", "offered", "good",
	       "refused", "refused_inside", "tokens");
	for (i = 0; i < s->account_n; i++) {
		a = &m->account[i];
		printf("%-20s %8u %8u %8u %14u %7.1f%%\n", s->account[i].name,
		       a->offered, a->good, a->refused, a->refused_inside,
		       100. * share((double)a->tokens, (double)m->tokens));
	}
}

static void compare_value(const char *path, struct json_object *a,
			  struct json_object *b);

static void compare_objects(const char *path, struct json_object *a,
			    struct json_object *b)
{
	char below[PATH_BYTES];
	struct json_object *other;

	json_object_object_foreach(a, key, value)
	{
		if (!json_object_object_get_ex(b, key, &other))
			continue;
		snprintf(below, sizeof(below), "%s%s%s", path,
			 path[0] ? "." : "", key);
		compare_value(below, value, other);
	}
}

static void compare_value(const char *path, struct json_object *a,
			  struct json_object *b)
{
	double x, y;

	if (json_object_is_type(a, json_type_object)) {
		compare_objects(path, a, b);
		return;
	}
	if (!json_object_is_type(a, json_type_int) &&
	    !json_object_is_type(a, json_type_double))
		return;
	x = json_object_get_double(a);
	y = json_object_get_double(b);
	printf("%-44s %14.3f %14.3f", path, x, y);
	if (fabs(x) > 0.)
		printf(" %+9.1f%%", 100. * (y - x) / fabs(x));
	printf("\n");
}

/* Prints two result files point by point. Returns 0, or -EIO if one is not. */
int measure_compare(const char *path_a, const char *path_b)
{
	struct json_object *a = json_object_from_file(path_a);
	struct json_object *b = json_object_from_file(path_b);
	int r = -EIO;

	if (a && b) {
		printf("%-44s %14s %14s\n", "measure", "A", "B");
		compare_objects("", a, b);
		r = 0;
	}
	json_object_put(a);
	json_object_put(b);
	return r;
}
