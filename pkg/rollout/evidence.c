#include "evidence.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "namehash.h"

#define SNAPSHOT_US 500000LL
#define RECENT_US 3000000LL
/*
 * Standard errors by which the sides must differ. Three are too few by themselves: the
 * evidence is judged every 100 ms for some rows and two spans, and in trials with
 * few answers 2 of 10 good versions were rolled back. So times must differ by four,
 * and failures must also be as unlikely as 3.5 by the likelihood ratio, which unlike the
 * pooled standard error is not misled by 4 failures of 9.
 */
#define ERRORS_MIN 3.
#define SLOW_ERRORS_MIN 4.
#define LIKELIHOOD_ERRORS_MIN 3.5
#define BAD_MIN 4
#define BAD_SHARE_MIN 0.04
/* Answers of each side below which times are not compared, and below which the
 * recent ones of the present version are replaced by those since the order. */
#define ANSWERS_MIN 8
/* In milli-log2: the new version takes 1.32 times as long. */
#define SLOWER_MIN 400.
#define ENOUGH_ANSWERS 20
#define ENOUGH_ROW_ANSWERS 8
/* A row with this part of all answers must have enough of its own. */
#define ENOUGH_ROW_PART 0.1
/* The log2 of any time in microseconds is below this. */
#define LOG_MAX 63000

static int64_t *field(struct rollout_sums *s, int i)
{
	switch (i) {
	case 0:
		return &s->answers;
	case 1:
		return &s->bad;
	case 2:
		return &s->log_sum;
	default:
		return &s->log_square_sum;
	}
}

static void add(struct rollout_sums *to, const struct rollout_sums *s, int sign)
{
	to->answers += sign * s->answers;
	to->bad += sign * s->bad;
	to->log_sum += sign * s->log_sum;
	to->log_square_sum += sign * s->log_square_sum;
}

static void counter_name(const struct rollout_row *row, int side, int i,
			 char out[ROLLOUT_COUNTER_NAME_BYTES])
{
	snprintf(out, ROLLOUT_COUNTER_NAME_BYTES, "rollout:%016" PRIx64 ":%d%d",
		 row->counter_hash, side, i);
}

/*
 * Returns the set of counters that the order uses. Orders share few sets, since hosts
 * keep a column for each counter that they have heard of (pkg/totals); two orders in
 * a row seldom have the same one, so that what is reported late of one does not
 * count for the next.
 */
static int slot_of(const struct rollout *r)
{
	return (int)(r->order.text_hash % ROLLOUT_SLOTS);
}

static void name_counters(const struct rollout *r, struct rollout_row *row)
{
	char text[CALL_NAME_BYTES + ROLLOUT_ROW_BYTES + 24];
	char name[ROLLOUT_COUNTER_NAME_BYTES];
	int side, i;

	snprintf(text, sizeof(text), "%s\n%d\n%s", r->service, slot_of(r),
		 row->name);
	row->counter_hash = namehash(text);
	for (side = 0; side < 2; side++)
		for (i = 0; i < ROLLOUT_FIELDS; i++) {
			counter_name(row, side, i, name);
			row->key[side][i] = namehash(name);
		}
}

static bool ends_with(const char *s, const char *suffix)
{
	size_t n = strlen(s), m = strlen(suffix);

	return n >= m && strcmp(s + n - m, suffix) == 0;
}

struct rollout_row *evidence_row(struct rollout *r, const char *name)
{
	struct rollout_row *row;
	uint32_t i;

	for (i = 0; i < r->n_rows; i++)
		if (strncmp(r->row[i].name, name, ROLLOUT_ROW_BYTES - 1) == 0)
			return &r->row[i];
	if (r->n_rows == ROLLOUT_ROWS_MAX)
		return &r->row[ROLLOUT_ROWS_MAX - 1];
	row = &r->row[r->n_rows++];
	memset(row, 0, sizeof(*row));
	snprintf(row->name, sizeof(row->name), "%s",
		 r->n_rows == ROLLOUT_ROWS_MAX ? ROLLOUT_OTHER_ROW : name);
	row->is_gap = ends_with(row->name, ROLLOUT_GAP_SUFFIX);
	if (r->stage != ROLLOUT_NONE) {
		row->level = share_random(r, row->name);
		name_counters(r, row);
	}
	return row;
}

void rollout_add_row(struct rollout *r, const char *row)
{
	evidence_row(r, row);
}

void evidence_start(struct rollout *r)
{
	const struct rollout_past *past = &r->past[slot_of(r)];
	struct rollout_row *row;
	uint32_t i;

	memset(r->snapshot, 0, sizeof(r->snapshot));
	r->n_snapshots = 0;
	for (i = 0; i < r->n_rows; i++) {
		row = &r->row[i];
		memset(row->own, 0, sizeof(row->own));
		memset(row->others, 0, sizeof(row->others));
		if (i < past->n_rows)
			memcpy(row->own, past->own[i], sizeof(row->own));
		memcpy(row->own_base, row->own, sizeof(row->own));
		row->level = share_random(r, row->name);
		name_counters(r, row);
	}
}

void evidence_stop(struct rollout *r)
{
	struct rollout_past *past = &r->past[slot_of(r)];
	uint32_t i;

	past->n_rows = r->n_rows;
	for (i = 0; i < r->n_rows; i++)
		memcpy(past->own[i], r->row[i].own, sizeof(past->own[i]));
}

void rollout_observe(struct rollout *r, const char *row, bool is_new,
		     enum rollout_answer answer, int64_t took_us,
		     int64_t now_us)
{
	struct rollout_sums *s;
	int64_t log;

	(void)now_us;
	if (r->stage == ROLLOUT_NONE)
		return;
	s = &evidence_row(r, row)
		     ->own[is_new ? ROLLOUT_NEW_SIDE : ROLLOUT_PRESENT_SIDE];
	s->answers++;
	if (answer == ROLLOUT_ANSWER_BAD) {
		s->bad++;
		return;
	}
	log = took_us > 1 ? llround(log2((double)took_us) * 1000) : 0;
	s->log_sum += log;
	s->log_square_sum += (log * log + 500) / 1000;
}

uint32_t rollout_fill_counters(const struct rollout *r,
			       struct rollout_counter *out)
{
	struct rollout_sums s;
	uint32_t n = 0, i;
	int side, f;

	if (r->stage == ROLLOUT_NONE)
		return 0;
	for (i = 0; i < r->n_rows; i++)
		for (side = 0; side < 2; side++) {
			s = r->row[i].own[side];
			for (f = 0; f < ROLLOUT_FIELDS; f++) {
				if (*field(&s, f) <= 0)
					continue;
				counter_name(&r->row[i], side, f, out[n].name);
				out[n++].amount = (uint64_t)*field(&s, f);
			}
		}
	return n;
}

bool rollout_apply_counter(struct rollout *r, uint64_t key, int64_t change,
			   int64_t now_us)
{
	struct rollout_row *row;
	uint32_t i;
	int side, f;

	if (r->stage == ROLLOUT_NONE)
		return false;
	for (i = 0; i < r->n_rows; i++) {
		row = &r->row[i];
		for (side = 0; side < 2; side++)
			for (f = 0; f < ROLLOUT_FIELDS; f++) {
				if (row->key[side][f] != key)
					continue;
				*field(&row->others[side], f) += change;
				if (side == ROLLOUT_NEW_SIDE && f == 0)
					r->others_us = now_us;
				return true;
			}
	}
	return false;
}

/* Sums of a row and side since the order, which may be inconsistent for a moment
 * while some counters of a host are known and others are not. */
static struct rollout_sums since_order(const struct rollout *r, uint32_t row,
				       int side, bool own)
{
	struct rollout_sums s = r->row[row].own[side];

	add(&s, &r->row[row].own_base[side], -1);
	if (!own)
		add(&s, &r->row[row].others[side], 1);
	return s;
}

void evidence_tick(struct rollout *r, int64_t now_us)
{
	struct rollout_snapshot *s;
	uint32_t i;
	int side;

	if (r->n_snapshots) {
		s = &r->snapshot[(r->n_snapshots - 1) % ROLLOUT_SNAPSHOTS];
		if (now_us < s->at_us + SNAPSHOT_US)
			return;
	}
	s = &r->snapshot[r->n_snapshots++ % ROLLOUT_SNAPSHOTS];
	memset(s, 0, sizeof(*s));
	s->at_us = now_us;
	for (i = 0; i < r->n_rows; i++)
		for (side = 0; side < 2; side++) {
			s->all[i][side] = since_order(r, i, side, false);
			s->own[i][side] = since_order(r, i, side, true);
		}
}

/* Returns the newest snapshot that is 3 s old, or NULL. */
static const struct rollout_snapshot *recent(const struct rollout *r,
					     int64_t now_us)
{
	const struct rollout_snapshot *s, *best = NULL;
	uint32_t i;

	for (i = 0; i < ROLLOUT_SNAPSHOTS && i < r->n_snapshots; i++) {
		s = &r->snapshot[i];
		if (s->at_us <= now_us - RECENT_US &&
		    (!best || s->at_us > best->at_us))
			best = s;
	}
	return best;
}

/* The evidence of one comparison, by row and side. */
struct span {
	struct rollout_sums row[ROLLOUT_ROWS_MAX][2];
	struct rollout_sums all[2]; /* of routes, without gaps */
};

static bool plausible(const struct rollout_sums *s)
{
	int64_t good = s->answers - s->bad;

	return s->bad >= 0 && good >= 0 && s->log_sum >= 0 &&
	       s->log_sum <= good * LOG_MAX;
}

static void fill_span(const struct rollout *r, bool own,
		      const struct rollout_snapshot *from, struct span *out)
{
	struct rollout_sums total, *s;
	uint32_t i;
	int side;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < r->n_rows; i++) {
		for (side = 0; side < 2; side++) {
			s = &out->row[i][side];
			total = since_order(r, i, side, own);
			*s = total;
			if (from)
				add(s,
				    own ? &from->own[i][side]
					: &from->all[i][side],
				    -1);
			/* In the shift the present version gets little. */
			if (side == ROLLOUT_PRESENT_SIDE &&
			    s->answers < ANSWERS_MIN)
				*s = total;
			if (!plausible(s))
				memset(s, 0, sizeof(*s));
		}
		if (r->row[i].is_gap)
			continue;
		add(&out->all[0], &out->row[i][0], 1);
		add(&out->all[1], &out->row[i][1], 1);
	}
}

static double likelihood(double part, double n, double all_part, double all_n)
{
	return part > 0 ? part * log(part / n * all_n / all_part) : 0;
}

/* Returns how unlikely it is that both shares of bad answers are the same, in standard
 * errors: the root of the likelihood ratio's logarithm, doubled (Wilks). */
static double unlikelihood(const struct rollout_sums *present,
			   const struct rollout_sums *new)
{
	double n = (double)new->answers, m = (double)present->answers;
	double x = (double)new->bad, y = (double)present->bad;
	double g = likelihood(x, n, x + y, n + m) +
		   likelihood(y, m, x + y, n + m) +
		   likelihood(n - x, n, n + m - x - y, n + m) +
		   likelihood(m - y, m, n + m - x - y, n + m);

	return g > 0 ? sqrt(2 * g) : 0;
}

/* Two proportions with a pooled variance. */
static bool fails_more(const struct rollout_sums *present,
		       const struct rollout_sums *new)
{
	double n, m, difference, pooled;

	if (new->bad < BAD_MIN || present->answers < ANSWERS_MIN)
		return false;
	n = (double)new->answers;
	m = (double)present->answers;
	difference = (double)new->bad / n - (double)present->bad / m;
	pooled = (double)(new->bad + present->bad) / (n + m);
	return difference > BAD_SHARE_MIN &&
	       difference > ERRORS_MIN * sqrt(pooled * (1 - pooled) *
					      (1 / n + 1 / m)) &&
	       unlikelihood(present, new) > LIKELIHOOD_ERRORS_MIN;
}

static double mean(const struct rollout_sums *s)
{
	return (double)s->log_sum / (double)(s->answers - s->bad);
}

static double variance_of(const struct rollout_sums *s)
{
	double n = (double)(s->answers - s->bad), m = mean(s);
	double v = (double)s->log_square_sum * 1000 / n - m * m;

	return v > 0 ? v * n / (n - 1) : 0;
}

/* Returns the variance of the difference of the means. The variance of few answers is
 * often far too small; that of the present version, with many, is a lower bound. */
static double mean_variance(const struct rollout_sums *present,
			    const struct rollout_sums *new)
{
	double of_present = variance_of(present);

	return fmax(variance_of(new), of_present) /
		       (double)(new->answers - new->bad) +
	       of_present / (double)(present->answers - present->bad);
}

static int64_t good(const struct rollout_sums *s)
{
	return s->answers - s->bad;
}

/* Welch's test. */
static bool is_slower(const struct rollout_sums *present,
		      const struct rollout_sums *new)
{
	double difference;

	if (good(new) < ANSWERS_MIN || good(present) < ANSWERS_MIN)
		return false;
	difference = mean(new) - mean(present);
	return difference > SLOWER_MIN &&
	       difference > SLOW_ERRORS_MIN * sqrt(mean_variance(present, new));
}

/*
 * Welch's test over all routes, each compared with itself and weighted by its
 * answers of the new version: routes differ in their times, and the sides differ in
 * their routes.
 */
static bool is_slower_overall(const struct rollout *r, const struct span *span)
{
	double difference = 0, variance = 0, n = 0, w;
	const struct rollout_sums *present, *new;
	int64_t n_present = 0;
	uint32_t i;

	for (i = 0; i < r->n_rows; i++) {
		present = &span->row[i][0];
		new = &span->row[i][1];
		if (r->row[i].is_gap || good(new) < 2 || good(present) < 2)
			continue;
		w = (double)good(new);
		n += w;
		n_present += good(present);
		difference += w * (mean(new) - mean(present));
		variance += w * w * mean_variance(present, new);
	}
	if (n < ANSWERS_MIN || n_present < ANSWERS_MIN)
		return false;
	return difference / n > SLOWER_MIN &&
	       difference > SLOW_ERRORS_MIN * sqrt(variance);
}

static void explain(char *out, size_t bytes, const char *row, const char *span,
		    const struct rollout_sums *present,
		    const struct rollout_sums *new)
{
	if (!out)
		return;
	snprintf(out, bytes,
		 "row=%s span=%s new_bad=%" PRId64 "/%" PRId64
		 " present_bad=%" PRId64 "/%" PRId64
		 " new_log2_us=%.2f present_log2_us=%.2f",
		 row, span, new->bad, new->answers, present->bad,
		 present->answers, good(new) > 0 ? mean(new) / 1000 : 0,
		 good(present) > 0 ? mean(present) / 1000 : 0);
}

static enum evidence_verdict judge_span(const struct rollout *r,
					const struct span *span,
					const char *name, char *reason,
					size_t reason_bytes)
{
	const struct rollout_sums *present, *new;
	enum evidence_verdict verdict = EVIDENCE_NOTHING;
	uint32_t i;

	for (i = 0; i < r->n_rows && verdict == EVIDENCE_NOTHING; i++) {
		new = &span->row[i][1];
		present = &span->row[i][0];
		/* Times are compared within a route only; failures also with
		 * other routes if this one has too few. */
		if (is_slower(present, new))
			verdict = EVIDENCE_SLOW;
		if (present->answers < ANSWERS_MIN)
			present = &span->all[0];
		if (fails_more(present, new))
			verdict = EVIDENCE_FAILURES;
		if (verdict != EVIDENCE_NOTHING)
			explain(reason, reason_bytes, r->row[i].name, name,
				present, new);
	}
	if (verdict != EVIDENCE_NOTHING)
		return verdict;
	if (fails_more(&span->all[0], &span->all[1]))
		verdict = EVIDENCE_FAILURES;
	else if (is_slower_overall(r, span))
		verdict = EVIDENCE_SLOW;
	if (verdict != EVIDENCE_NOTHING)
		explain(reason, reason_bytes, "all", name, &span->all[0],
			&span->all[1]);
	return verdict;
}

enum evidence_verdict evidence_judge(const struct rollout *r, bool own,
				     int64_t now_us, char *reason,
				     size_t reason_bytes)
{
	const struct rollout_snapshot *from = recent(r, now_us);
	enum evidence_verdict verdict;
	struct span span;

	fill_span(r, own, NULL, &span);
	verdict = judge_span(r, &span, "order", reason, reason_bytes);
	if (verdict != EVIDENCE_NOTHING || !from)
		return verdict;
	fill_span(r, own, from, &span);
	return judge_span(r, &span, "3s", reason, reason_bytes);
}

struct rollout_sums evidence_sum(const struct rollout *r, int side)
{
	struct rollout_sums sum = {0}, s;
	uint32_t i;

	for (i = 0; i < r->n_rows; i++) {
		if (r->row[i].is_gap)
			continue;
		s = since_order(r, i, side, false);
		add(&sum, &s, 1);
	}
	return sum;
}

double evidence_rate(const struct rollout *r, const struct rollout_row *row,
		     int64_t now_us)
{
	const struct rollout_snapshot *from = recent(r, now_us);
	uint32_t i = (uint32_t)(row - r->row);
	int64_t answers = 0;
	int side;

	if (!from)
		return 0;
	for (side = 0; side < 2; side++)
		answers += since_order(r, i, side, false).answers -
			   from->all[i][side].answers;
	return (double)answers * 1e6 / (double)(now_us - from->at_us);
}

int64_t evidence_new_answers(const struct rollout *r,
			     const struct rollout_row *row)
{
	return since_order(r, (uint32_t)(row - r->row), ROLLOUT_NEW_SIDE, false)
		.answers;
}

bool evidence_enough(const struct rollout *r)
{
	struct rollout_sums new = evidence_sum(r, ROLLOUT_NEW_SIDE);
	int64_t all =
		new.answers + evidence_sum(r, ROLLOUT_PRESENT_SIDE).answers;
	int64_t row_new, row_all;
	uint32_t i;

	if (new.answers < ENOUGH_ANSWERS)
		return false;
	for (i = 0; i < r->n_rows; i++) {
		if (r->row[i].is_gap)
			continue;
		row_new = since_order(r, i, ROLLOUT_NEW_SIDE, false).answers;
		row_all =
			row_new +
			since_order(r, i, ROLLOUT_PRESENT_SIDE, false).answers;
		if ((double)row_all >= ENOUGH_ROW_PART * (double)all &&
		    row_new < ENOUGH_ROW_ANSWERS)
			return false;
	}
	return true;
}
