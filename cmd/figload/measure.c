#include "measure.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

static const char *const names[OUTCOMES] = {
	"open", "whole", "wrong", "cut", "refused", "cancelled", "lost"};

const char *outcome_name(enum outcome o)
{
	return names[o];
}

static int64_t mean_gap_us(const struct result *r)
{
	return r->tokens > 1 ? (r->last_us - r->first_us) / (r->tokens - 1) : 0;
}

/* Tells whether a request was answered whole and within both targets. */
bool result_is_good(const struct scenario *s, const struct result *r)
{
	return r->outcome == OUTCOME_WHOLE &&
	       r->first_us <= s->first_token_ms * 1000LL &&
	       mean_gap_us(r) <= s->token_gap_ms * 1000LL;
}

static int smaller(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

static double at_ms(const int64_t *sorted, uint32_t n, double q)
{
	uint32_t i = (uint32_t)(q * n);

	if (!n)
		return 0.;
	return (double)sorted[i < n ? i : n - 1] / 1000.;
}

static void quantiles(int64_t *us, uint32_t n, struct quantiles *out)
{
	qsort(us, n, sizeof(*us), smaller);
	out->p50_ms = at_ms(us, n, .5);
	out->p95_ms = at_ms(us, n, .95);
	out->p99_ms = at_ms(us, n, .99);
}

static bool counts(const struct scenario *s, const struct planned *p)
{
	return p->at_us >= (int64_t)(s->warmup_s * 1e6);
}

/*
 * Quantiles over requests that got a first token. Refused ones have none; how
 * many there are is among the outcomes.
 */
static int find_quantiles(struct measure *m, const struct scenario *s,
			  const struct schedule *plan, const struct result *r)
{
	int64_t *us = calloc(4 * (size_t)plan->n + 1, sizeof(*us));
	int64_t *gap = us + plan->n;
	int64_t *gap_max = gap + plan->n;
	int64_t *late = gap_max + plan->n;
	uint32_t n = 0;
	uint32_t late_n = 0;
	uint32_t i;

	if (!us)
		return -ENOMEM;
	for (i = 0; i < plan->n; i++) {
		if (!counts(s, &plan->planned[i]))
			continue;
		late[late_n++] = r[i].late_us;
		if (!r[i].tokens)
			continue;
		us[n] = r[i].first_us;
		gap[n] = mean_gap_us(&r[i]);
		gap_max[n++] = r[i].gap_max_us;
	}
	quantiles(us, n, &m->first);
	quantiles(gap, n, &m->gap);
	quantiles(gap_max, n, &m->gap_max);
	qsort(late, late_n, sizeof(*late), smaller);
	m->late_p99_ms = at_ms(late, late_n, .99);
	free(us);
	return 0;
}

/* One bucket over all hosts, as ideal as there can be. */
struct bucket {
	double level;
	int64_t at_us;
};

static bool bucket_admits(struct bucket *b, const struct scenario_account *a,
			  const struct planned *p, const struct result *r)
{
	double cost = (double)p->prompt_tokens + r->due_tokens;

	if (!a->rate_tokens_s)
		return true;
	b->level +=
		(double)(p->at_us - b->at_us) * 1e-6 * (double)a->rate_tokens_s;
	b->at_us = p->at_us;
	if (b->level > (double)a->burst_tokens)
		b->level = (double)a->burst_tokens;
	if (b->level < cost)
		return false;
	b->level -= cost;
	return true;
}

static void add_result(struct measure *m, const struct scenario *s,
		       const struct planned *p, const struct result *r,
		       bool inside)
{
	struct account_measure *a = &m->account[p->account];
	struct second_measure *second = &m->second[p->at_us / 1000000];
	bool good = result_is_good(s, r);

	second->offered++;
	second->good += good;
	if (!counts(s, p))
		return;
	m->offered++;
	m->outcome[r->outcome]++;
	m->good += good;
	m->moved += r->tries > 1;
	m->tokens += r->tokens;
	a->offered++;
	a->good += good;
	a->refused += r->outcome == OUTCOME_REFUSED;
	a->refused_inside += r->over_rate && inside;
	a->tokens += r->tokens;
	a->offered_tokens += r->due_tokens;
}

/*
 * Works the measures out of the results, which stand in the order of the plan.
 * Returns 0 or -ENOMEM; the caller finishes it.
 */
int measure_make(struct measure *m, const struct scenario *s,
		 const struct schedule *plan, const struct result *results)
{
	struct bucket bucket[SCENARIO_ACCOUNTS_MAX];
	const struct planned *p;
	uint32_t i;
	bool inside;

	memset(m, 0, sizeof(*m));
	m->prefills = -1;
	m->second_n = (uint32_t)s->duration_s + 1;
	m->second = calloc(m->second_n, sizeof(*m->second));
	if (!m->second)
		return -ENOMEM;
	for (i = 0; i < s->account_n; i++) {
		bucket[i].level = (double)s->account[i].burst_tokens;
		bucket[i].at_us = 0;
	}
	for (i = 0; i < plan->n; i++) {
		p = &plan->planned[i];
		inside = bucket_admits(&bucket[p->account],
				       &s->account[p->account], p, &results[i]);
		add_result(m, s, p, &results[i], inside);
	}
	return find_quantiles(m, s, plan, results);
}

void measure_finish(struct measure *m)
{
	free(m->second);
}
