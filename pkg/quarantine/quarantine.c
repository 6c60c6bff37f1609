#include "quarantine.h"

#include <stdio.h>
#include <string.h>

#define DECAY_US (600LL * 1000000)
#define TOGETHER_US (500LL * 1000) /* of runs that one crash ended */
#define CRASHES_MAX 2
#define CRASHES_IN_COMPANY 2 /* more that it takes beside other suspects */
#define FNV_OFFSET 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL

void quarantine_init(struct quarantine *q)
{
	memset(q, 0, sizeof(*q));
	q->crashes_max = CRASHES_MAX;
}

/* Starts a fingerprint of several parts. */
uint64_t quarantine_hash_start(void)
{
	return FNV_OFFSET;
}

/* Adds n bytes to a fingerprint. */
uint64_t quarantine_hash(uint64_t h, const void *p, size_t n)
{
	const uint8_t *byte = p;

	while (n--)
		h = (h ^ *byte++) * FNV_PRIME;
	return h;
}

/* Returns a number, never 0, that stands for a model and a prompt. */
uint64_t quarantine_fingerprint(const char *model, const char *prompt)
{
	uint64_t h = quarantine_hash(FNV_OFFSET, model, strlen(model) + 1);

	h = quarantine_hash(h, prompt, strlen(prompt));
	return h ? h : 1;
}

static bool is_old(const struct quarantine_entry *e, int64_t now_us)
{
	return !e->running && now_us - e->last_crash_us > DECAY_US;
}

static struct quarantine_entry *find(struct quarantine *q, uint64_t print,
				     int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < QUARANTINE_ENTRIES_MAX; i++)
		if (q->entry[i].fingerprint == print &&
		    !is_old(&q->entry[i], now_us))
			return &q->entry[i];
	return NULL;
}

/* Finds a suspect's entry or makes one of that which crashed longest ago. */
static struct quarantine_entry *get(struct quarantine *q, uint64_t print,
				    int64_t now_us)
{
	struct quarantine_entry *e = find(q, print, now_us);
	uint32_t i;

	if (e)
		return e;
	e = &q->entry[0];
	for (i = 1; i < QUARANTINE_ENTRIES_MAX; i++)
		if (q->entry[i].last_crash_us < e->last_crash_us)
			e = &q->entry[i];
	memset(e, 0, sizeof(*e));
	e->fingerprint = print;
	return e;
}

/* Tells how to treat a request. */
enum quarantine_verdict quarantine_check(struct quarantine *q, uint64_t print,
					 int64_t now_us)
{
	const struct quarantine_entry *e = find(q, print, now_us);

	if (!e)
		return QUARANTINE_CLEAR;
	return e->blocked ? QUARANTINE_BLOCKED : QUARANTINE_SUSPECT;
}

/* A suspect starts to run on an endpoint; other requests are not noted. */
void quarantine_started(struct quarantine *q, uint64_t print,
			const char *endpoint, int64_t now_us)
{
	struct quarantine_entry *e = find(q, print, now_us);

	if (!e)
		return;
	snprintf(e->endpoint, sizeof(e->endpoint), "%s", endpoint);
	e->running++;
}

/* A suspect's run ended, in whatever way. */
void quarantine_ended(struct quarantine *q, uint64_t print, int64_t now_us)
{
	struct quarantine_entry *e = find(q, print, now_us);

	if (!e || !e->running)
		return;
	e->running--;
	e->ended_us = now_us;
}

static bool has_company(const struct quarantine *q,
			const struct quarantine_entry *of, const char *endpoint,
			int64_t now_us)
{
	const struct quarantine_entry *e;
	uint32_t i;

	for (i = 0; i < QUARANTINE_ENTRIES_MAX; i++) {
		e = &q->entry[i];
		if (!e->fingerprint || e == of || strcmp(e->endpoint, endpoint))
			continue;
		if (e->running || now_us - e->ended_us < TOGETHER_US)
			return true;
	}
	return false;
}

static void note_held(struct quarantine *q, const struct quarantine_entry *e)
{
	if (e->blocked)
		q->blocked_until_us = e->last_crash_us + DECAY_US;
}

/* See quarantine.h. */
bool quarantine_blocks_any(const struct quarantine *q, int64_t now_us)
{
	return q->blocked_until_us && now_us <= q->blocked_until_us;
}

/*
 * A request was running on an endpoint as it crashed. Returns whether it is
 * quarantined from now on.
 */
bool quarantine_record_crash(struct quarantine *q, uint64_t print,
			     const char *endpoint, int64_t now_us)
{
	struct quarantine_entry *e = get(q, print, now_us);
	uint32_t max = q->crashes_max;

	if (has_company(q, e, endpoint, now_us))
		max += CRASHES_IN_COMPANY;
	e->crashes++;
	e->last_crash_us = now_us;
	e->ended_us = now_us;
	snprintf(e->endpoint, sizeof(e->endpoint), "%s", endpoint);
	e->blocked |= e->crashes >= max;
	note_held(q, e);
	return e->blocked;
}

/* Another host saw a request crash an endpoint. */
void quarantine_apply_report(struct quarantine *q, uint64_t print, bool held,
			     int64_t now_us)
{
	struct quarantine_entry *e = get(q, print, now_us);

	e->crashes++;
	e->last_crash_us = now_us;
	e->blocked |= held;
	note_held(q, e);
}
