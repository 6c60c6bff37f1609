#include "poison.h"

#include <string.h>

/* A break counts this long; the first value applies until it is confirmed. The
 * store shows a crash within 5 s, if it is available. */
#define UNCONFIRMED_US 30000000LL
#define CONFIRMED_US 600000000LL
/* Breaks that are closer to each other have a cause in common. */
#define SIMULTANEOUS_US 100000LL
/* Length of the first block; each further one is twice as long. */
#define BLOCK_US 60000000LL
#define BLOCK_MAX_US 600000000LL
/* How long an acquittal is kept, so that late reports do not undo it. */
#define ACQUITTAL_US 60000000LL

void poison_init(struct poison *p)
{
	memset(p, 0, sizeof(*p));
}

bool poison_suspects_any(const struct poison *p)
{
	return p->n_suspects != 0;
}

bool poison_blocks_any(const struct poison *p, int64_t now_us)
{
	return now_us < p->blocked_until_us;
}

static struct poison_entry *find(struct poison *p, uint64_t key)
{
	uint32_t i;

	for (i = 0; i < POISON_ENTRIES_MAX; i++)
		if (p->entry[i].key == key)
			return &p->entry[i];
	return NULL;
}

/* Creates an entry, in place of the one that has not changed for longest. */
static struct poison_entry *find_or_create(struct poison *p, uint64_t key)
{
	struct poison_entry *e = find(p, key);
	uint32_t i;

	if (e)
		return e;
	e = &p->entry[0];
	for (i = 1; i < POISON_ENTRIES_MAX; i++)
		if (p->entry[i].changed_us < e->changed_us)
			e = &p->entry[i];
	memset(e, 0, sizeof(*e));
	e->key = key;
	return e;
}

/* Brings the fields of struct poison that sum up its entries up to date. */
static void sum_up(struct poison *p)
{
	const struct poison_entry *e;
	uint32_t i;

	p->n_suspects = 0;
	p->blocked_until_us = 0;
	for (i = 0; i < POISON_ENTRIES_MAX; i++) {
		e = &p->entry[i];
		if (e->key && e->n_breaks)
			p->n_suspects++;
		if (e->blocked_until_us > p->blocked_until_us)
			p->blocked_until_us = e->blocked_until_us;
	}
}

static bool counts(const struct poison_entry *e, const struct poison_break *b,
		   int64_t now_us)
{
	return b->at_us > e->acquitted_us &&
	       now_us - b->at_us <
		       (b->confirmed ? CONFIRMED_US : UNCONFIRMED_US);
}

/* Removes the breaks that no longer count, and entries without any. */
static void expire(struct poison_entry *e, int64_t now_us)
{
	uint32_t i, n = 0;

	for (i = 0; i < e->n_breaks; i++)
		if (counts(e, &e->brk[i], now_us))
			e->brk[n++] = e->brk[i];
	e->n_breaks = n;
	if (!n &&
	    (!e->acquitted_us || now_us - e->acquitted_us >= ACQUITTAL_US))
		memset(e, 0, sizeof(*e));
}

static void expire_all(struct poison *p, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < POISON_ENTRIES_MAX; i++)
		if (p->entry[i].key)
			expire(&p->entry[i], now_us);
	sum_up(p);
}

int64_t poison_blocked_us(struct poison *p, const uint64_t *key, uint32_t n,
			  int64_t now_us)
{
	const struct poison_entry *e;
	int64_t blocked_us = 0;
	uint32_t i;

	if (!p->n_suspects)
		return 0;
	expire_all(p, now_us);
	for (i = 0; i < n; i++) {
		e = find(p, key[i]);
		if (e && e->n_breaks >= POISON_BREAKS &&
		    e->blocked_until_us - now_us > blocked_us)
			blocked_us = e->blocked_until_us - now_us;
	}
	return blocked_us;
}

/* Returns true if the two breaks may have a cause in common. */
static bool is_related(const struct poison_break *a,
		       const struct poison_break *b)
{
	if (a->endpoint == b->endpoint)
		return true;
	if (a->sent_us >= b->at_us || b->sent_us >= a->at_us)
		return false;
	return a->at_us - b->at_us < SIMULTANEOUS_US &&
	       b->at_us - a->at_us < SIMULTANEOUS_US;
}

/* Keeps the newest breaks, newest first. */
static void insert_break(struct poison_entry *e, const struct poison_break *b)
{
	uint32_t i = 0, n = e->n_breaks;

	while (i < n && e->brk[i].at_us >= b->at_us)
		i++;
	if (i == POISON_BREAKS)
		return;
	if (n == POISON_BREAKS)
		n--;
	memmove(&e->brk[i + 1], &e->brk[i], (n - i) * sizeof(*b));
	e->brk[i] = *b;
	e->n_breaks = n + 1;
}

static void add_break(struct poison_entry *e, const struct poison_break *b,
		      int64_t now_us)
{
	uint32_t i;

	if (!counts(e, b, now_us))
		return;
	for (i = 0; i < e->n_breaks; i++) {
		if (!is_related(&e->brk[i], b))
			continue;
		if (e->brk[i].endpoint == b->endpoint)
			e->brk[i].confirmed |= b->confirmed;
		return;
	}
	insert_break(e, b);
	e->changed_us = now_us;
}

static void block(struct poison_entry *e, int64_t now_us)
{
	int64_t block_us = BLOCK_US;
	uint32_t i;

	for (i = 0; i < e->blocks && block_us < BLOCK_MAX_US; i++)
		block_us *= 2;
	if (block_us > BLOCK_MAX_US)
		block_us = BLOCK_MAX_US;
	if (e->blocked_until_us <= now_us)
		e->blocks++;
	e->blocked_until_us = now_us + block_us;
}

/* Drops all breaks but the newest. */
static void keep_newest(struct poison_entry *e, int64_t now_us)
{
	if (e->n_breaks < 2)
		return;
	e->acquitted_us = e->brk[1].at_us;
	e->changed_us = now_us;
	expire(e, now_us);
}

uint64_t poison_charge(struct poison *p, const uint64_t *key, uint32_t n,
		       const struct poison_break *brk, int64_t now_us)
{
	struct poison_entry *e;
	uint64_t blocked = 0;
	uint32_t i;

	expire_all(p, now_us);
	for (i = n; i-- > 0;) {
		e = find_or_create(p, key[i]);
		add_break(e, brk, now_us);
		if (blocked) {
			keep_newest(e, now_us);
		} else if (e->n_breaks >= POISON_BREAKS) {
			block(e, now_us);
			blocked = e->key;
		}
	}
	sum_up(p);
	return blocked;
}

uint32_t poison_confirm(struct poison *p, uint64_t endpoint)
{
	struct poison_entry *e;
	uint32_t i, j, n = 0;

	for (i = 0; i < POISON_ENTRIES_MAX; i++) {
		e = &p->entry[i];
		for (j = 0; j < e->n_breaks; j++)
			if (e->brk[j].endpoint == endpoint &&
			    !e->brk[j].confirmed) {
				e->brk[j].confirmed = true;
				n++;
			}
	}
	return n;
}

bool poison_acquit(struct poison *p, const uint64_t *key, uint32_t n,
		   int64_t now_us)
{
	struct poison_entry *e;
	bool any = false;
	uint32_t i;

	for (i = 0; i < n && p->n_suspects; i++) {
		e = find(p, key[i]);
		if (!e || !e->n_breaks)
			continue;
		e->acquitted_us = now_us;
		e->blocked_until_us = 0;
		e->blocks = 0;
		e->n_breaks = 0;
		e->changed_us = now_us;
		any = true;
	}
	if (any)
		sum_up(p);
	return any;
}

static uint32_t age_ms(int64_t at_us, int64_t now_us)
{
	return now_us > at_us ? (uint32_t)((now_us - at_us) / 1000) : 0;
}

static void fill_report(const struct poison_entry *e, struct poison_report *r,
			int64_t now_us)
{
	uint32_t i;

	memset(r, 0, sizeof(*r));
	r->key = e->key;
	r->acquitted_ms = e->acquitted_us ? age_ms(e->acquitted_us, now_us)
					  : UINT32_MAX;
	if (e->blocked_until_us > now_us)
		r->blocked_ms =
			(uint32_t)((e->blocked_until_us - now_us) / 1000);
	r->blocks = e->blocks;
	r->n_breaks = e->n_breaks;
	for (i = 0; i < e->n_breaks; i++) {
		r->brk[i].endpoint = e->brk[i].endpoint;
		r->brk[i].age_ms = age_ms(e->brk[i].at_us, now_us);
		r->brk[i].took_ms = age_ms(e->brk[i].sent_us, e->brk[i].at_us);
		r->brk[i].confirmed = e->brk[i].confirmed;
	}
}

uint32_t poison_report(const struct poison *p, struct poison_report *out,
		       uint32_t max, int64_t since_us, int64_t now_us)
{
	const struct poison_entry *e;
	uint32_t i, n = 0;
	int pass;

	for (pass = 0; pass < 2; pass++) {
		for (i = 0; i < POISON_ENTRIES_MAX && n < max; i++) {
			e = &p->entry[i];
			if (!e->key || e->changed_us < since_us ||
			    (e->blocked_until_us > now_us) != (pass == 0))
				continue;
			fill_report(e, &out[n++], now_us);
		}
	}
	return n;
}

bool poison_merge(struct poison *p, const struct poison_report *r,
		  int64_t now_us)
{
	struct poison_break b;
	struct poison_entry *e;
	int64_t acquitted_us, blocked_us = r->blocked_ms * 1000LL;
	bool blocked = false;
	uint32_t i;

	if (!r->key)
		return false;
	if (blocked_us > BLOCK_MAX_US)
		blocked_us = BLOCK_MAX_US;
	e = find_or_create(p, r->key);
	if (r->acquitted_ms < ACQUITTAL_US / 1000) {
		acquitted_us = now_us - r->acquitted_ms * 1000LL;
		if (acquitted_us > e->acquitted_us) {
			e->acquitted_us = acquitted_us;
			e->changed_us = now_us;
		}
	}
	for (i = 0; i < r->n_breaks && i < POISON_BREAKS; i++) {
		b.endpoint = r->brk[i].endpoint;
		b.at_us = now_us - r->brk[i].age_ms * 1000LL;
		b.sent_us = b.at_us - r->brk[i].took_ms * 1000LL;
		b.confirmed = r->brk[i].confirmed;
		add_break(e, &b, now_us);
	}
	expire(e, now_us);
	if (e->n_breaks < POISON_BREAKS)
		e->blocked_until_us = 0;
	else if (now_us + blocked_us > e->blocked_until_us) {
		blocked = e->blocked_until_us <= now_us;
		e->blocked_until_us = now_us + blocked_us;
		if (r->blocks > e->blocks)
			e->blocks = r->blocks;
	}
	sum_up(p);
	return blocked;
}
