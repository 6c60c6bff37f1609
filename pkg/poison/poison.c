#include "poison.h"

#include <string.h>

/* A break counts this long; the first value applies until it is confirmed. */
#define UNCONFIRMED_US 30000000LL
#define CONFIRMED_US 1200000000LL
/* Time from the accusation to the judgement: connections to an endpoint break at
 * nearly the same time, and their hosts' reports take a few milliseconds. */
#define SETTLE_US 30000LL
/* Length of a block that is not proven: the store shows a crash within 5 s. */
#define UNPROVEN_US 8000000LL
/* Length of the first proven block; each further one is twice as long. */
#define BLOCK_US 60000000LL
#define BLOCK_MAX_US 600000000LL
/* Length of a host's turn after a block: most answers begin within it. */
#define PROBE_US 3000000LL
/* How long an acquittal is kept, so that late reports do not undo it. */
#define ACQUITTAL_US 60000000LL
/* How long an answer speaks for its keys. */
#define ANSWERED_US 600000000LL
/* Times of other hosts are later by the time that their message took. Without a
 * tolerance they would move on each time that hosts tell each other the same. */
#define TRANSIT_US 100000LL

void poison_init(struct poison *p)
{
	memset(p, 0, sizeof(*p));
}

void poison_set_store_lost(struct poison *p, bool lost)
{
	p->store_lost = lost;
}

void poison_set_hosts(struct poison *p, uint64_t host, uint32_t hosts)
{
	p->host = host;
	p->hosts = hosts;
}

bool poison_suspects_any(const struct poison *p)
{
	return p->n_suspects != 0;
}

bool poison_is_accusing(const struct poison *p)
{
	return p->n_accused != 0;
}

static const struct poison_entry *find(const struct poison *p, uint64_t key)
{
	uint32_t i;

	for (i = 0; i < POISON_ENTRIES_MAX; i++)
		if (p->entry[i].key == key)
			return &p->entry[i];
	return NULL;
}

static struct poison_entry *find_mutable(struct poison *p, uint64_t key)
{
	return (struct poison_entry *)find(p, key);
}

/* Returns when the last block of a key ends or has ended; 0 if there is none. */
static int64_t block_end_us(const struct poison *p,
			    const struct poison_entry *e)
{
	int64_t length_us = BLOCK_US;
	uint32_t i;

	if (e->blocked_us <= e->acquitted_us)
		return 0;
	if (!e->proven && !p->store_lost)
		return e->blocked_us + UNPROVEN_US;
	for (i = 1; i < e->blocks && length_us < BLOCK_MAX_US; i++)
		length_us *= 2;
	if (length_us > BLOCK_MAX_US)
		length_us = BLOCK_MAX_US;
	return e->blocked_us + length_us;
}

static bool is_blocked(const struct poison *p, const struct poison_entry *e,
		       int64_t now_us)
{
	return block_end_us(p, e) > now_us;
}

/* Returns how much is lost with an entry. */
static int value_of(const struct poison *p, const struct poison_entry *e,
		    int64_t now_us)
{
	if (!e->key)
		return 0;
	if (is_blocked(p, e, now_us))
		return 3;
	return e->n_breaks > 1 ? 2 : 1;
}

/* Creates an entry, in place of the least valuable one that has not changed for
 * longest. */
static struct poison_entry *find_or_create(struct poison *p, uint64_t key,
					   int64_t now_us)
{
	struct poison_entry *e = find_mutable(p, key), *victim;
	int value, least;
	uint32_t i;

	if (e)
		return e;
	victim = &p->entry[0];
	least = value_of(p, victim, now_us);
	for (i = 1; i < POISON_ENTRIES_MAX; i++) {
		e = &p->entry[i];
		value = value_of(p, e, now_us);
		if (value > least ||
		    (value == least && e->changed_us >= victim->changed_us))
			continue;
		victim = e;
		least = value;
	}
	memset(victim, 0, sizeof(*victim));
	victim->key = key;
	return victim;
}

/* Brings the fields of struct poison that sum up its entries up to date. */
static void sum_up(struct poison *p)
{
	const struct poison_entry *e;
	uint32_t i;

	p->n_suspects = 0;
	p->n_accused = 0;
	for (i = 0; i < POISON_ENTRIES_MAX; i++) {
		e = &p->entry[i];
		if (e->n_breaks || e->blocked_us > e->acquitted_us)
			p->n_suspects++;
		if (e->accused_us)
			p->n_accused++;
	}
}

/* Returns true if the break still counts. */
static bool counts(const struct poison_entry *e, const struct poison_break *b,
		   int64_t now_us)
{
	return b->at_us > e->acquitted_us &&
	       now_us - b->at_us <
		       (b->confirmed ? CONFIRMED_US : UNCONFIRMED_US);
}

/* Removes the breaks that no longer count, and frees an entry without content. */
static void expire(const struct poison *p, struct poison_entry *e,
		   int64_t now_us)
{
	uint32_t i, n = 0;

	for (i = 0; i < e->n_breaks; i++)
		if (counts(e, &e->brk[i], now_us))
			e->brk[n++] = e->brk[i];
	e->n_breaks = n;
	if (!n && !is_blocked(p, e, now_us) &&
	    (!e->acquitted_us || now_us - e->acquitted_us >= ACQUITTAL_US))
		memset(e, 0, sizeof(*e));
}

static void expire_all(struct poison *p, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < POISON_ENTRIES_MAX; i++)
		if (p->entry[i].key)
			expire(p, &p->entry[i], now_us);
}

int64_t poison_blocked_us(const struct poison *p, const uint64_t *key,
			  uint32_t n, int64_t now_us)
{
	const struct poison_entry *e;
	int64_t end_us = now_us;
	uint32_t i;

	if (!poison_suspects_any(p))
		return 0;
	for (i = 0; i < n; i++) {
		e = find(p, key[i]);
		if (e && block_end_us(p, e) > end_us)
			end_us = block_end_us(p, e);
	}
	return end_us - now_us;
}

/* Returns the place of this host among those that take turns for a key. */
static uint32_t turn_of(const struct poison *p, uint64_t key)
{
	return (uint32_t)(((key ^ p->host) * 0x9e3779b97f4a7c15ULL) >> 32) %
	       (p->hosts ? p->hosts : 1);
}

/*
 * Returns 0 if a request with the key may be let through now, else the time until
 * the turn of the next host, when more is known.
 */
static int64_t probe_wait_us(const struct poison *p,
			     const struct poison_entry *e, int64_t now_us)
{
	int64_t end_us = block_end_us(p, e), turn, start_us;

	if (!end_us || !e->proven)
		return 0;
	turn = (now_us - end_us) / PROBE_US;
	start_us = end_us + turn * PROBE_US;
	if (turn % (p->hosts ? p->hosts : 1) == turn_of(p, e->key) &&
	    e->probed_us < start_us)
		return 0;
	return start_us + PROBE_US - now_us;
}

int64_t poison_admit_us(struct poison *p, const uint64_t *key, uint32_t n,
			int64_t now_us)
{
	int64_t wait_us = poison_blocked_us(p, key, n, now_us), probe_us;
	struct poison_entry *e;
	uint32_t i;

	if (wait_us || !poison_suspects_any(p))
		return wait_us;
	for (i = 0; i < n; i++) {
		e = find_mutable(p, key[i]);
		probe_us = e ? probe_wait_us(p, e, now_us) : 0;
		if (probe_us > wait_us)
			wait_us = probe_us;
	}
	for (i = 0; i < n && !wait_us; i++) {
		e = find_mutable(p, key[i]);
		if (e)
			e->probed_us = now_us;
	}
	return wait_us;
}

/* Returns true if the key broke there; unknown if it has broken often since. */
static bool may_have_broken_at(const struct poison_entry *e,
			       const struct poison_break *b)
{
	uint32_t i;

	for (i = 0; i < e->n_breaks; i++)
		if (e->brk[i].endpoint == b->endpoint)
			return true;
	return i == POISON_BREAKS_MAX && b->at_us < e->brk[i - 1].at_us;
}

/* Counts the breaks that accuse the key: they are the newest ones. */
static uint32_t count_accusing(const struct poison_entry *e)
{
	uint32_t n = 0;

	while (n < e->n_breaks && e->brk[n].at_us > e->explained_us)
		n++;
	return n;
}

/* Accuses the key if it has enough breaks, and ends an accusation if not. */
static void accuse(const struct poison *p, struct poison_entry *e,
		   int64_t now_us)
{
	if (is_blocked(p, e, now_us) || count_accusing(e) < POISON_BREAKS)
		e->accused_us = 0;
	else if (!e->accused_us)
		e->accused_us = now_us;
}

/* Keeps the newest breaks, newest first. */
static void insert_break(struct poison_entry *e, const struct poison_break *b)
{
	uint32_t i = 0, n = e->n_breaks;

	while (i < n && e->brk[i].at_us >= b->at_us)
		i++;
	if (i == POISON_BREAKS_MAX)
		return;
	if (n == POISON_BREAKS_MAX)
		n--;
	memmove(&e->brk[i + 1], &e->brk[i], (n - i) * sizeof(*b));
	e->brk[i] = *b;
	e->n_breaks = n + 1;
}

/* Adds a break, unless the key has broken at that endpoint already. */
static void add_break(struct poison_entry *e, const struct poison_break *b,
		      int64_t now_us)
{
	uint32_t i;

	if (!counts(e, b, now_us))
		return;
	for (i = 0; i < e->n_breaks; i++) {
		if (e->brk[i].endpoint != b->endpoint)
			continue;
		e->brk[i].confirmed |= b->confirmed;
		return;
	}
	insert_break(e, b);
	e->changed_us = now_us;
}

/* Proves the block of a key if enough of its breaks are confirmed. */
static void prove(struct poison_entry *e, int64_t now_us)
{
	uint32_t i, n = 0;

	for (i = 0; i < e->n_breaks; i++)
		n += e->brk[i].confirmed;
	if (!e->blocks || e->proven || n < POISON_BREAKS)
		return;
	e->proven = true;
	e->changed_us = now_us;
}

static void block(struct poison_entry *e, int64_t now_us)
{
	if (!e->blocks || e->proven)
		e->blocks++;
	e->blocked_us = now_us;
	e->changed_us = now_us;
	prove(e, now_us);
}

/* Breaks until then do not accuse the key any more. */
static void explain(struct poison_entry *e, int64_t until_us, int64_t now_us)
{
	e->explained_us = until_us;
	e->changed_us = now_us;
}

/*
 * Explains all breaks but the newest. The time is halfway between the newest two,
 * since other hosts know it less exactly.
 */
static void explain_all_but_newest(struct poison_entry *e, int64_t now_us)
{
	int64_t gap_us = e->brk[0].at_us - e->brk[1].at_us;

	explain(e, e->brk[1].at_us + gap_us / 2, now_us);
}

/* Returns true if the key was answered since its breaks were last explained. */
static bool was_answered(const struct poison *p, const struct poison_entry *e,
			 int64_t now_us)
{
	const struct poison_answered *a =
		&p->answered[e->key % POISON_ANSWERED_MAX];
	int64_t answered_us = e->acquitted_us;

	if (a->key == e->key && now_us - a->at_us < ANSWERED_US &&
	    a->at_us > answered_us)
		answered_us = a->at_us;
	return answered_us > e->explained_us;
}

/*
 * Returns true if d broke at all endpoints at which breaks accuse e. The newest
 * ones are left out, as hosts may not have reported them for d yet.
 */
static bool covers(const struct poison_entry *d, const struct poison_entry *e,
		   int64_t now_us)
{
	uint32_t i, n = count_accusing(e);

	for (i = 0; i < n; i++)
		if (now_us - e->brk[i].at_us >= SETTLE_US &&
		    !may_have_broken_at(d, &e->brk[i]))
			return false;
	return true;
}

/* Returns true if d explains the breaks that accuse e. */
static bool explains(const struct poison *p, const struct poison_entry *d,
		     const struct poison_entry *e, int64_t now_us)
{
	return d && d->key && d->depth > e->depth &&
	       (is_blocked(p, d, now_us) || !was_answered(p, d, now_us)) &&
	       covers(d, e, now_us);
}

/*
 * Returns the next deeper key that explains the breaks of an accused one, or
 * NULL. After the first explanation only the same key is accepted: that one
 * deadly key is the cause is likelier than that several below it are.
 */
static const struct poison_entry *find_explanation(const struct poison *p,
						   const struct poison_entry *e,
						   int64_t now_us)
{
	const struct poison_entry *d, *best = NULL;
	uint32_t i;

	if (e->explained_by) {
		d = find(p, e->explained_by);
		return explains(p, d, e, now_us) ? d : NULL;
	}
	for (i = 0; i < POISON_ENTRIES_MAX; i++) {
		d = &p->entry[i];
		if ((!best || d->depth < best->depth) &&
		    explains(p, d, e, now_us))
			best = d;
	}
	return best;
}

/* Returns true if the accused key is blocked. */
static bool judge(struct poison *p, struct poison_entry *e, int64_t now_us)
{
	const struct poison_entry *d = find_explanation(p, e, now_us);

	e->accused_us = 0;
	if (d) {
		e->explained_by = d->key;
		explain_all_but_newest(e, now_us);
		return false;
	}
	if (was_answered(p, e, now_us)) {
		explain(e, e->brk[0].at_us, now_us);
		return false;
	}
	block(e, now_us);
	return true;
}

void poison_charge(struct poison *p, const uint64_t *key, uint32_t n,
		   const struct poison_break *brk, int64_t now_us)
{
	struct poison_entry *e;
	bool blocked = false;
	uint32_t i;

	expire_all(p, now_us);
	for (i = 0; i < n; i++) {
		e = find_mutable(p, key[i]);
		if (!e || !is_blocked(p, e, now_us))
			continue;
		add_break(e, brk, now_us);
		blocked = true;
	}
	for (i = 0; i < n && !blocked; i++) {
		e = find_or_create(p, key[i], now_us);
		e->depth = i + 1 < n ? i : POISON_KEYS_MAX;
		add_break(e, brk, now_us);
		accuse(p, e, now_us);
	}
	sum_up(p);
}

/* The deepest keys first: they explain the breaks of those above. */
uint32_t poison_judge(struct poison *p, uint64_t *blocked, uint32_t max,
		      int64_t now_us)
{
	struct poison_entry *e;
	uint32_t i, n = 0;
	int depth;

	for (depth = POISON_KEYS_MAX; depth >= 0 && p->n_accused; depth--) {
		for (i = 0; i < POISON_ENTRIES_MAX; i++) {
			e = &p->entry[i];
			if (!e->accused_us || e->depth != (uint32_t)depth ||
			    now_us - e->accused_us < SETTLE_US ||
			    !judge(p, e, now_us))
				continue;
			if (n < max)
				blocked[n] = e->key;
			n++;
		}
	}
	sum_up(p);
	return n;
}

uint32_t poison_confirm(struct poison *p, uint64_t endpoint, int64_t now_us)
{
	struct poison_entry *e;
	uint32_t i, j, n = 0;

	for (i = 0; i < POISON_ENTRIES_MAX; i++) {
		e = &p->entry[i];
		for (j = 0; j < e->n_breaks; j++)
			if (e->brk[j].endpoint == endpoint &&
			    !e->brk[j].confirmed) {
				e->brk[j].confirmed = true;
				e->changed_us = now_us;
				n++;
			}
		prove(e, now_us);
	}
	return n;
}

/* Removes all that speaks against the key. */
static void acquit(struct poison_entry *e, int64_t now_us)
{
	e->acquitted_us = now_us;
	e->explained_us = 0;
	e->explained_by = 0;
	e->accused_us = 0;
	e->blocked_us = 0;
	e->proven = false;
	e->blocks = 0;
	e->n_breaks = 0;
	e->changed_us = now_us;
}

bool poison_acquit(struct poison *p, const uint64_t *key, uint32_t n,
		   int64_t now_us)
{
	struct poison_answered *a;
	struct poison_entry *e;
	bool any = false;
	uint32_t i;

	for (i = 0; i < n; i++) {
		a = &p->answered[key[i] % POISON_ANSWERED_MAX];
		a->key = key[i];
		a->at_us = now_us;
		e = p->n_suspects ? find_mutable(p, key[i]) : NULL;
		if (!e || (!e->n_breaks && !is_blocked(p, e, now_us)))
			continue;
		acquit(e, now_us);
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

static uint32_t age_if_any_ms(int64_t at_us, int64_t now_us)
{
	return at_us ? age_ms(at_us, now_us) : UINT32_MAX;
}

static void fill_report(const struct poison_entry *e, struct poison_report *r,
			int64_t now_us)
{
	uint32_t i;

	memset(r, 0, sizeof(*r));
	r->key = e->key;
	r->depth = e->depth;
	r->acquitted_ms = age_if_any_ms(e->acquitted_us, now_us);
	r->explained_ms = age_if_any_ms(e->explained_us, now_us);
	r->explained_by = e->explained_by;
	r->blocked_ms = age_if_any_ms(e->blocked_us, now_us);
	r->proven = e->proven;
	r->blocks = e->blocks;
	r->n_breaks = e->n_breaks;
	for (i = 0; i < e->n_breaks; i++) {
		r->brk[i].endpoint = e->brk[i].endpoint;
		r->brk[i].age_ms = age_ms(e->brk[i].at_us, now_us);
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
			    is_blocked(p, e, now_us) != (pass == 0))
				continue;
			fill_report(e, &out[n++], now_us);
		}
	}
	return n;
}

/* Moves a time forward to that of a reported age. Returns true if it has moved. */
static bool merge_age(struct poison_entry *e, int64_t *at_us, uint32_t ms,
		      int64_t max_us, int64_t now_us)
{
	int64_t reported_us = now_us - ms * 1000LL;

	if (ms >= max_us / 1000 || reported_us <= *at_us + TRANSIT_US)
		return false;
	*at_us = reported_us;
	e->changed_us = now_us;
	return true;
}

/* Merges the last block of a report, unless this host has explained all breaks
 * of the key otherwise. */
static void merge_block(struct poison_entry *e, const struct poison_report *r,
			int64_t now_us)
{
	if (e->explained_us && !count_accusing(e))
		return;
	if (!merge_age(e, &e->blocked_us, r->blocked_ms, BLOCK_MAX_US,
		       now_us) &&
	    (!e->blocks || e->blocks != r->blocks))
		return;
	if (r->blocks > e->blocks)
		e->blocks = r->blocks;
	if (r->proven && !e->proven) {
		e->proven = true;
		e->changed_us = now_us;
	}
}

bool poison_merge(struct poison *p, const struct poison_report *r,
		  int64_t now_us)
{
	struct poison_break b;
	struct poison_entry *e;
	bool was_blocked;
	uint32_t i;

	if (!r->key)
		return false;
	e = find_or_create(p, r->key, now_us);
	was_blocked = is_blocked(p, e, now_us);
	if (r->depth <= POISON_KEYS_MAX)
		e->depth = r->depth;
	merge_age(e, &e->acquitted_us, r->acquitted_ms, ACQUITTAL_US, now_us);
	if (merge_age(e, &e->explained_us, r->explained_ms, UNCONFIRMED_US,
		      now_us) &&
	    !e->explained_by)
		e->explained_by = r->explained_by;
	for (i = 0; i < r->n_breaks && i < POISON_BREAKS_MAX; i++) {
		b.endpoint = r->brk[i].endpoint;
		b.at_us = now_us - r->brk[i].age_ms * 1000LL;
		b.confirmed = r->brk[i].confirmed;
		add_break(e, &b, now_us);
	}
	merge_block(e, r, now_us);
	prove(e, now_us);
	accuse(p, e, now_us);
	expire(p, e, now_us);
	sum_up(p);
	return !was_blocked && is_blocked(p, e, now_us);
}
