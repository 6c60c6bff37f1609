#include "quarantine.h"

#include <stdio.h>
#include <string.h>

/* An entry expires this long after its last crash. */
#define EXPIRY_US (600LL * 1000000)
/* One crash ends all runs of an endpoint within this time of each other. */
#define CONCURRENT_US (500LL * 1000)
#define CRASHES_MAX 2
/* Added to crashes_max if other suspects ran on the endpoint at the crash. */
#define CRASHES_MAX_SHARED 2
#define FNV_OFFSET 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL

void quarantine_init(struct quarantine *q)
{
	memset(q, 0, sizeof(*q));
	q->crashes_max = CRASHES_MAX;
}

uint64_t quarantine_hash_start(void)
{
	return FNV_OFFSET;
}

uint64_t quarantine_hash(uint64_t h, const void *p, size_t n)
{
	const uint8_t *byte = p;

	while (n--)
		h = (h ^ *byte++) * FNV_PRIME;
	return h;
}

uint64_t quarantine_fingerprint(const char *model, const char *prompt)
{
	uint64_t h = quarantine_hash(FNV_OFFSET, model, strlen(model) + 1);

	h = quarantine_hash(h, prompt, strlen(prompt));
	return h ? h : 1;
}

static bool is_expired(const struct quarantine_entry *e, int64_t now_us)
{
	return !e->running && now_us - e->last_crash_us > EXPIRY_US;
}

static struct quarantine_entry *find(struct quarantine *q, uint64_t fingerprint,
				     int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < QUARANTINE_ENTRIES_MAX; i++)
		if (q->entry[i].fingerprint == fingerprint &&
		    !is_expired(&q->entry[i], now_us))
			return &q->entry[i];
	return NULL;
}

/*
 * Finds an entry, or creates one in place of that with the oldest crash. Free
 * entries are used first, as their last_crash_us is 0.
 */
static struct quarantine_entry *
find_or_create(struct quarantine *q, uint64_t fingerprint, int64_t now_us)
{
	struct quarantine_entry *e = find(q, fingerprint, now_us);
	uint32_t i;

	if (e)
		return e;
	e = &q->entry[0];
	for (i = 1; i < QUARANTINE_ENTRIES_MAX; i++)
		if (q->entry[i].last_crash_us < e->last_crash_us)
			e = &q->entry[i];
	memset(e, 0, sizeof(*e));
	e->fingerprint = fingerprint;
	return e;
}

enum quarantine_verdict quarantine_check(struct quarantine *q,
					 uint64_t fingerprint, int64_t now_us)
{
	const struct quarantine_entry *e = find(q, fingerprint, now_us);

	if (!e)
		return QUARANTINE_CLEAR;
	return e->blocked ? QUARANTINE_BLOCKED : QUARANTINE_SUSPECT;
}

void quarantine_started(struct quarantine *q, uint64_t fingerprint,
			const char *endpoint, int64_t now_us)
{
	struct quarantine_entry *e = find(q, fingerprint, now_us);

	if (!e)
		return;
	snprintf(e->endpoint, sizeof(e->endpoint), "%s", endpoint);
	e->running++;
}

void quarantine_ended(struct quarantine *q, uint64_t fingerprint,
		      int64_t now_us)
{
	struct quarantine_entry *e = find(q, fingerprint, now_us);

	if (!e || !e->running)
		return;
	e->running--;
	e->ended_us = now_us;
}

/* Returns true if another suspect runs on the endpoint, or just ended there. */
static bool has_other_suspects(const struct quarantine *q,
			       const struct quarantine_entry *self,
			       const char *endpoint, int64_t now_us)
{
	const struct quarantine_entry *e;
	uint32_t i;

	for (i = 0; i < QUARANTINE_ENTRIES_MAX; i++) {
		e = &q->entry[i];
		if (!e->fingerprint || e == self ||
		    strcmp(e->endpoint, endpoint))
			continue;
		if (e->running || now_us - e->ended_us < CONCURRENT_US)
			return true;
	}
	return false;
}

static void update_blocked_until(struct quarantine *q,
				 const struct quarantine_entry *e)
{
	if (e->blocked)
		q->blocked_until_us = e->last_crash_us + EXPIRY_US;
}

bool quarantine_blocks_any(const struct quarantine *q, int64_t now_us)
{
	return q->blocked_until_us && now_us <= q->blocked_until_us;
}

bool quarantine_record_crash(struct quarantine *q, uint64_t fingerprint,
			     const char *endpoint, int64_t now_us)
{
	struct quarantine_entry *e = find_or_create(q, fingerprint, now_us);
	uint32_t max = q->crashes_max;

	if (has_other_suspects(q, e, endpoint, now_us))
		max += CRASHES_MAX_SHARED;
	e->crashes++;
	e->last_crash_us = now_us;
	e->ended_us = now_us;
	snprintf(e->endpoint, sizeof(e->endpoint), "%s", endpoint);
	e->blocked |= e->crashes >= max;
	update_blocked_until(q, e);
	return e->blocked;
}

void quarantine_apply_report(struct quarantine *q, uint64_t fingerprint,
			     bool blocked, int64_t now_us)
{
	struct quarantine_entry *e = find_or_create(q, fingerprint, now_us);

	e->crashes++;
	e->last_crash_us = now_us;
	e->blocked |= blocked;
	update_blocked_until(q, e);
}
