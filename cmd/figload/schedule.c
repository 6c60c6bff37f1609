#include <errno.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "scenario.h"
#include "textgen.h"

#define BYTES_A_TOKEN 4

/* A generator whose sequence depends on nothing but its seed. */
struct random {
	uint64_t state;
};

static uint64_t random_next(struct random *r)
{
	uint64_t z = (r->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ z >> 27) * 0x94d049bb133111ebULL;
	return z ^ z >> 31;
}

/* Returns a number in [0, 1). */
static double random_unit(struct random *r)
{
	return (double)(random_next(r) >> 11) / 9007199254740992.;
}

static double random_normal(struct random *r)
{
	double u = 1. - random_unit(r);

	return sqrt(-2. * log(u)) * cos(2. * M_PI * random_unit(r));
}

static uint32_t draw_length(struct random *r, const struct lengths *l)
{
	double x = l->median;

	switch (l->kind) {
	case LENGTHS_FIXED:
		break;
	case LENGTHS_UNIFORM:
		x = l->min + random_unit(r) * (l->max - l->min + 1.);
		break;
	case LENGTHS_LOGNORMAL:
		x = l->median * exp(l->sigma * random_normal(r));
		break;
	}
	if (x < l->min)
		return l->min;
	return x > l->max ? l->max : (uint32_t)x;
}

/* Returns the multiple of its rate that an account sends at a time. */
static double times_at(const struct scenario_account *a, double at_s)
{
	uint32_t i;

	for (i = 0; i < a->phase_n; i++)
		if (at_s >= a->phase[i].from_s && at_s < a->phase[i].to_s)
			return a->phase[i].times;
	return 1.;
}

static double times_max(const struct scenario_account *a)
{
	double max = 1.;
	uint32_t i;

	for (i = 0; i < a->phase_n; i++)
		if (a->phase[i].times > max)
			max = a->phase[i].times;
	return max;
}

static struct planned *add(struct schedule *s)
{
	struct planned *p;

	if (s->n == s->capacity) {
		s->capacity = s->capacity ? 2 * s->capacity : 1024;
		p = realloc(s->planned, s->capacity * sizeof(*p));
		if (!p)
			return NULL;
		s->planned = p;
	}
	return &s->planned[s->n++];
}

static void fill(struct planned *p, struct random *r,
		 const struct scenario_account *a, uint32_t account,
		 double at_s)
{
	p->at_us = (int64_t)(at_s * 1e6);
	p->account = account;
	p->prompt_tokens = draw_length(r, &a->prompt);
	p->max_tokens = draw_length(r, &a->output);
	p->prefix = SCENARIO_NO_PREFIX;
	if (random_unit(r) < a->prefix_share)
		p->prefix = (uint32_t)(random_next(r) % a->prefixes);
	p->cancel_after_tokens = SCENARIO_NO_CANCEL;
	if (random_unit(r) < a->cancel_share)
		p->cancel_after_tokens =
			(uint32_t)(random_next(r) % p->max_tokens);
}

/* Adds one account's requests: arrivals at its highest rate, then thinned. */
static int add_account(struct schedule *out, const struct scenario *s,
		       uint32_t i)
{
	const struct scenario_account *a = &s->account[i];
	struct random r = {s->seed * 1000003 + i};
	double max = times_max(a);
	double mean_s = 1. / (a->requests_s * max);
	double at_s = 0.;
	struct planned *p;

	for (;;) {
		at_s += a->arrivals == ARRIVALS_EVEN
				? mean_s
				: -log(1. - random_unit(&r)) * mean_s;
		if (at_s >= s->duration_s)
			return 0;
		if (random_unit(&r) * max >= times_at(a, at_s))
			continue;
		p = add(out);
		if (!p)
			return -ENOMEM;
		fill(p, &r, a, i, at_s);
	}
}

static int earlier(const void *a, const void *b)
{
	const struct planned *p = a;
	const struct planned *q = b;

	if (p->at_us != q->at_us)
		return p->at_us < q->at_us ? -1 : 1;
	return p->account < q->account ? -1 : p->account > q->account;
}

/*
 * Makes the requests of a scenario in the order of their times, the same for
 * the same seed. Returns 0 or -ENOMEM; the caller finishes it.
 */
int schedule_make(struct schedule *out, const struct scenario *s)
{
	uint32_t i;
	int r;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < s->account_n; i++) {
		r = add_account(out, s, i);
		if (r < 0) {
			schedule_finish(out);
			return r;
		}
	}
	if (out->n)
		qsort(out->planned, out->n, sizeof(*out->planned), earlier);
	for (i = 0; i < out->n; i++)
		out->planned[i].number = i;
	return 0;
}

void schedule_finish(struct schedule *s)
{
	free(s->planned);
	s->planned = NULL;
}

static size_t put_words(char *out, size_t n, uint64_t hash)
{
	char word[TEXTGEN_TOKEN_BYTES];
	uint32_t i;
	size_t at = 0;

	for (i = 0; at < n; i++) {
		textgen_write_token(hash, i, word);
		at += (size_t)snprintf(out + at, n - at + 1, "%s", word);
	}
	return n;
}

void schedule_prompt(const struct scenario *s, const struct planned *p,
		     char *out)
{
	const struct scenario_account *a = &s->account[p->account];
	size_t n = (size_t)p->prompt_tokens * BYTES_A_TOKEN;
	size_t shared = 0;
	uint64_t own = s->seed << 32 | p->number;

	out[0] = '\0';
	if (p->prefix != SCENARIO_NO_PREFIX) {
		shared = (size_t)a->prefix_tokens * BYTES_A_TOKEN;
		shared = shared < n ? shared : n;
		put_words(out, shared,
			  textgen_hash(a->name, strlen(a->name), p->prefix));
	}
	put_words(out + shared, n - shared, textgen_hash("own", 3, own));
}
