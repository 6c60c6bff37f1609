#include "burn.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_CAPACITY 16
#define FIRST_BUCKET_US 1000

static const char *const cause_names[BURN_CAUSE_COUNT] = {
	"good", "queue", "prefill", "transfer", "decode", "refused", "cut"};

const char *burn_cause_name(enum burn_cause c)
{
	return cause_names[c];
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

/*
 * Returns the longest stage before the first token. Decode is the time that the
 * other stages leave.
 */
static enum burn_cause longest_stage(const struct burn_sample *s)
{
	int64_t decode_us = s->first_token_us - s->queue_us - s->prefill_us -
			    s->transfer_us;
	enum burn_cause longest = BURN_QUEUE;
	int64_t longest_us = s->queue_us;

	if (s->prefill_us > longest_us) {
		longest = BURN_PREFILL;
		longest_us = s->prefill_us;
	}
	if (s->transfer_us > longest_us) {
		longest = BURN_TRANSFER;
		longest_us = s->transfer_us;
	}
	return decode_us > longest_us ? BURN_DECODE : longest;
}

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
		return longest_stage(s);
	if (s->token_gap_us > s->objective.token_gap_ms * 1000LL)
		return BURN_DECODE;
	return BURN_GOOD;
}

uint64_t burn_bucket_limit_us(uint32_t bucket)
{
	return (uint64_t)FIRST_BUCKET_US << bucket;
}

static uint32_t bucket_index(int64_t duration_us)
{
	uint32_t i;

	for (i = 0; i < BURN_BUCKETS - 1; i++)
		if (duration_us <= (int64_t)burn_bucket_limit_us(i))
			return i;
	return BURN_BUCKETS - 1;
}

/* Counts a request in the slot of now_us; an older slot is cleared first. */
static void ring_count(struct burn_slot *ring, uint32_t slots, int64_t slot_us,
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

/* Sums the slots of the window; the ring may hold older ones. */
static void ring_sum(const struct burn_slot *ring, uint32_t slots,
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

static struct burn_pair *find_pair(struct burn *b, const char *account,
				   const char *model)
{
	uint32_t i;

	for (i = 0; i < b->pair_n; i++)
		if (strcmp(b->pair[i].account, account) == 0 &&
		    strcmp(b->pair[i].model, model) == 0)
			return &b->pair[i];
	return NULL;
}

/* Never returns pair 0, which is BURN_OTHER. */
static struct burn_pair *least_recently_used(struct burn *b)
{
	struct burn_pair *oldest = &b->pair[1];
	uint32_t i;

	for (i = 2; i < b->pair_n; i++)
		if (b->pair[i].last_request_us < oldest->last_request_us)
			oldest = &b->pair[i];
	return oldest;
}

/* Adds slots with equal numbers; otherwise keeps the later slot. */
static void ring_merge(struct burn_slot *to, const struct burn_slot *from,
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

/* Merges a pair into BURN_OTHER; the caller reuses its entry. */
static void evict(struct burn *b, const struct burn_pair *p)
{
	struct burn_pair *other = &b->pair[0];
	uint32_t i;

	ring_merge(other->short_slot, p->short_slot, BURN_SHORT_SLOTS);
	ring_merge(other->long_slot, p->long_slot, BURN_LONG_SLOTS);
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

/* Returns a new pair, or NULL if out of memory. */
static struct burn_pair *add_pair(struct burn *b, const char *account,
				  const char *model)
{
	struct burn_pair *p;

	if (b->pair_n == BURN_PAIRS_MAX) {
		p = least_recently_used(b);
		evict(b, p);
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

int burn_add(struct burn *b, const struct burn_sample *s, int64_t now_us)
{
	struct burn_pair *p = find_pair(b, s->account, s->model);
	enum burn_cause c = burn_classify(s);

	if (!p)
		p = add_pair(b, s->account, s->model);
	if (!p)
		return -ENOMEM;
	p->objective_ppm = s->objective.good_ppm;
	p->last_request_us = now_us;
	ring_count(b->timeline, BURN_TIMELINE_SLOTS, BURN_TIMELINE_SLOT_US,
		   now_us, c);
	ring_count(p->short_slot, BURN_SHORT_SLOTS, BURN_SHORT_SLOT_US, now_us,
		   c);
	ring_count(p->long_slot, BURN_LONG_SLOTS, BURN_LONG_SLOT_US, now_us, c);
	if (s->end == BURN_END_COMPLETE) {
		p->first_token_bucket[bucket_index(s->first_token_us)]++;
		p->token_gap_bucket[bucket_index(s->token_gap_us)]++;
	}
	return 0;
}

void burn_sum_short_window(const struct burn_pair *p, int64_t now_us,
			   struct burn_counts *out)
{
	ring_sum(p->short_slot, BURN_SHORT_SLOTS, BURN_SHORT_SLOT_US, now_us,
		 out);
}

void burn_sum_long_window(const struct burn_pair *p, int64_t now_us,
			  struct burn_counts *out)
{
	ring_sum(p->long_slot, BURN_LONG_SLOTS, BURN_LONG_SLOT_US, now_us, out);
}

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

uint64_t burn_counts_total(const struct burn_counts *counts)
{
	return counts->n[BURN_GOOD] + burn_counts_bad(counts);
}

uint64_t burn_counts_bad(const struct burn_counts *counts)
{
	uint64_t n = 0;
	uint32_t c;

	for (c = BURN_GOOD + 1; c < BURN_CAUSE_COUNT; c++)
		n += counts->n[c];
	return n;
}

double burn_rate(const struct burn_counts *counts, uint32_t objective_ppm)
{
	uint64_t total = burn_counts_total(counts);
	double allowed_bad = 1. - (double)objective_ppm / BURN_PPM;

	if (!total)
		return 0.;
	if (allowed_bad <= 0.)
		allowed_bad = 1. / BURN_PPM;
	return (double)burn_counts_bad(counts) / (double)total / allowed_bad;
}

double burn_remaining_budget(const struct burn_counts *counts,
			     uint32_t objective_ppm)
{
	return 1. - burn_rate(counts, objective_ppm);
}
