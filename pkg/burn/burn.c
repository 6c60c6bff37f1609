#include "burn.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_CAPACITY 16
#define FIRST_BUCKET_US 1000

static const char *const names[BURN_CAUSE_COUNT] = {
	"good", "queue", "prefill", "transfer", "decode", "refused", "cut"};

const char *burn_cause_name(enum burn_cause c)
{
	return names[c];
}

void burn_init(struct burn *b)
{
	memset(b, 0, sizeof(*b));
}

void burn_finish(struct burn *b)
{
	free(b->pair);
	memset(b, 0, sizeof(*b));
}

/* Returns the stage that took the most of a first token that came late. */
static enum burn_cause slowest(const struct burn_sample *s)
{
	int64_t decode_us = s->first_token_us - s->queue_us - s->prefill_us -
			    s->transfer_us;
	enum burn_cause worst = BURN_QUEUE;
	int64_t worst_us = s->queue_us;

	if (s->prefill_us > worst_us) {
		worst = BURN_PREFILL;
		worst_us = s->prefill_us;
	}
	if (s->transfer_us > worst_us) {
		worst = BURN_TRANSFER;
		worst_us = s->transfer_us;
	}
	return decode_us > worst_us ? BURN_DECODE : worst;
}

/* Tells whether a request was good and, if not, what it was lost to. */
enum burn_cause burn_classify(const struct burn_sample *s)
{
	switch (s->end) {
	case BURN_END_REFUSED:
		return BURN_REFUSED;
	case BURN_END_ABORTED:
		return BURN_ABORTED;
	case BURN_END_COMPLETE:
		break;
	}
	if (s->first_token_us > s->objective.first_token_ms * 1000LL)
		return slowest(s);
	if (s->token_gap_us > s->objective.token_gap_ms * 1000LL)
		return BURN_DECODE;
	return BURN_GOOD;
}

/* Returns the upper limit of a bucket: powers of two of a millisecond. */
uint64_t burn_bucket_limit_us(uint32_t bucket)
{
	return (uint64_t)FIRST_BUCKET_US << bucket;
}

static uint32_t bucket_of(int64_t us)
{
	uint32_t i;

	for (i = 0; i < BURN_BUCKETS - 1; i++)
		if (us <= (int64_t)burn_bucket_limit_us(i))
			return i;
	return BURN_BUCKETS - 1;
}

static void slot_count(struct burn_slot *ring, uint32_t slots, int64_t slot_us,
		       int64_t now_us, enum burn_cause c)
{
	int64_t number = now_us / slot_us;
	struct burn_slot *s = &ring[number % slots];

	if (s->number != number) {
		memset(s, 0, sizeof(*s));
		s->number = number;
	}
	s->n[c]++;
}

/* Adds up the slots that lie within the window ending now. */
static void slot_sum(const struct burn_slot *ring, uint32_t slots,
		     int64_t slot_us, int64_t now_us, struct burn_counts *out)
{
	int64_t number = now_us / slot_us;
	uint32_t i, c;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < slots; i++) {
		if (ring[i].number <= number - (int64_t)slots)
			continue;
		for (c = 0; c < BURN_CAUSE_COUNT; c++)
			out->n[c] += ring[i].n[c];
	}
}

static struct burn_pair *find(struct burn *b, const char *account,
			      const char *model)
{
	uint32_t i;

	for (i = 0; i < b->pair_n; i++)
		if (strcmp(b->pair[i].account, account) == 0 &&
		    strcmp(b->pair[i].model, model) == 0)
			return &b->pair[i];
	return NULL;
}

static struct burn_pair *idle_longest(struct burn *b)
{
	struct burn_pair *oldest = &b->pair[1];
	uint32_t i;

	for (i = 2; i < b->pair_n; i++)
		if (b->pair[i].last_request_us < oldest->last_request_us)
			oldest = &b->pair[i];
	return oldest;
}

static void slots_merge(struct burn_slot *to, const struct burn_slot *from,
			uint32_t slots)
{
	uint32_t i, c;

	for (i = 0; i < slots; i++) {
		if (from[i].number < to[i].number)
			continue;
		if (from[i].number > to[i].number)
			memset(&to[i], 0, sizeof(to[i]));
		to[i].number = from[i].number;
		for (c = 0; c < BURN_CAUSE_COUNT; c++)
			to[i].n[c] += from[i].n[c];
	}
}

/* Adds a pair to the one that stands for all that had to make room. */
static void move_out(struct burn *b, const struct burn_pair *p)
{
	struct burn_pair *other = &b->pair[0];
	uint32_t i;

	slots_merge(other->short_slot, p->short_slot, BURN_SHORT_SLOTS);
	slots_merge(other->long_slot, p->long_slot, BURN_LONG_SLOTS);
	for (i = 0; i < BURN_BUCKETS; i++) {
		other->first_token_bucket[i] += p->first_token_bucket[i];
		other->token_gap_bucket[i] += p->token_gap_bucket[i];
	}
	if (p->objective_ppm > other->objective_ppm)
		other->objective_ppm = p->objective_ppm;
	b->evicted_n++;
}

static int grow(struct burn *b)
{
	uint32_t n = b->capacity ? 2 * b->capacity : FIRST_CAPACITY;
	struct burn_pair *p = realloc(b->pair, n * sizeof(*p));

	if (!p)
		return -ENOMEM;
	b->pair = p;
	b->capacity = n;
	return 0;
}

static void pair_init(struct burn_pair *p, const char *account,
		      const char *model)
{
	memset(p, 0, sizeof(*p));
	snprintf(p->account, sizeof(p->account), "%s", account);
	snprintf(p->model, sizeof(p->model), "%s", model);
}

static struct burn_pair *pair_new(struct burn *b, const char *account,
				  const char *model)
{
	struct burn_pair *p;

	if (b->pair_n == BURN_PAIRS_MAX) {
		p = idle_longest(b);
		move_out(b, p);
	} else {
		if (b->pair_n == b->capacity && grow(b) < 0)
			return NULL;
		if (!b->pair_n)
			pair_init(&b->pair[b->pair_n++], BURN_OTHER,
				  BURN_OTHER);
		p = &b->pair[b->pair_n++];
	}
	pair_init(p, account, model);
	return p;
}

/* Counts a request that ended. Returns 0 or -ENOMEM. */
int burn_add(struct burn *b, const struct burn_sample *s, int64_t now_us)
{
	struct burn_pair *p = find(b, s->account, s->model);
	enum burn_cause c = burn_classify(s);

	if (!p)
		p = pair_new(b, s->account, s->model);
	if (!p)
		return -ENOMEM;
	p->objective_ppm = s->objective.good_ppm;
	p->last_request_us = now_us;
	slot_count(b->timeline, BURN_TIMELINE_SLOTS, BURN_TIMELINE_SLOT_US,
		   now_us, c);
	slot_count(p->short_slot, BURN_SHORT_SLOTS, BURN_SHORT_SLOT_US, now_us,
		   c);
	slot_count(p->long_slot, BURN_LONG_SLOTS, BURN_LONG_SLOT_US, now_us, c);
	if (s->end == BURN_END_COMPLETE) {
		p->first_token_bucket[bucket_of(s->first_token_us)]++;
		p->token_gap_bucket[bucket_of(s->token_gap_us)]++;
	}
	return 0;
}

void burn_sum_short_window(const struct burn_pair *p, int64_t now_us,
			   struct burn_counts *out)
{
	slot_sum(p->short_slot, BURN_SHORT_SLOTS, BURN_SHORT_SLOT_US, now_us,
		 out);
}

void burn_sum_long_window(const struct burn_pair *p, int64_t now_us,
			  struct burn_counts *out)
{
	slot_sum(p->long_slot, BURN_LONG_SLOTS, BURN_LONG_SLOT_US, now_us, out);
}

/* Returns the i-th oldest slot of the timeline, or NULL if it has no request. */
const struct burn_slot *burn_timeline_slot(const struct burn *b, uint32_t i,
					   int64_t now_us)
{
	int64_t number = now_us / BURN_TIMELINE_SLOT_US -
			 (BURN_TIMELINE_SLOTS - 1) + (int64_t)i;
	const struct burn_slot *s;

	if (number < 0)
		return NULL;
	s = &b->timeline[number % BURN_TIMELINE_SLOTS];
	if (s->number != number || (!s->n[BURN_GOOD] && !burn_slot_bad(s)))
		return NULL;
	return s;
}

uint64_t burn_slot_bad(const struct burn_slot *s)
{
	uint64_t n = 0;
	uint32_t c;

	for (c = BURN_GOOD + 1; c < BURN_CAUSE_COUNT; c++)
		n += s->n[c];
	return n;
}

void burn_counts_add(struct burn_counts *to, const struct burn_counts *from)
{
	uint32_t c;

	for (c = 0; c < BURN_CAUSE_COUNT; c++)
		to->n[c] += from->n[c];
}

uint64_t burn_counts_total(const struct burn_counts *s)
{
	return s->n[BURN_GOOD] + burn_counts_bad(s);
}

uint64_t burn_counts_bad(const struct burn_counts *s)
{
	uint64_t n = 0;
	uint32_t c;

	for (c = BURN_GOOD + 1; c < BURN_CAUSE_COUNT; c++)
		n += s->n[c];
	return n;
}

/*
 * Returns how many times faster than allowed the budget is used: 1 uses it up
 * exactly over the objective's time; 0 without requests.
 */
double burn_rate(const struct burn_counts *s, uint32_t objective_parts)
{
	uint64_t total = burn_counts_total(s);
	double allowed = 1. - (double)objective_parts / BURN_PPM;

	if (!total)
		return 0.;
	if (allowed <= 0.)
		allowed = 1. / BURN_PPM;
	return (double)burn_counts_bad(s) / (double)total / allowed;
}

/* Returns the share of the budget that is left; below 0 it is overdrawn. */
double burn_remaining_budget(const struct burn_counts *s,
			     uint32_t objective_parts)
{
	return 1. - burn_rate(s, objective_parts);
}
