#include "fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Failures in a row after which an endpoint gets no requests for a while. */
#define FAILURES_MAX 3
#define OUT_FIRST_US 500000LL
#define OUT_MAX_US 4000000LL
/* After a refusal for lack of room. */
#define FULL_PAUSE_US 30000LL
/* Weight of the newest request in the share of failures. */
#define FAILING_WEIGHT 0.15
#define LATENCY_WEIGHT 0.2

/* Starts without endpoints; the seed makes choices among equals repeatable. */
void fleet_init(struct fleet *f, const char *domain, uint64_t seed)
{
	memset(f, 0, sizeof(*f));
	TAILQ_INIT(&f->list);
	strncpy(f->domain, domain, sizeof(f->domain) - 1);
	f->hosts = 1;
	f->random = seed * 2 + 1;
}

/* Takes a reference. */
struct fleet_endpoint *fleet_ref(struct fleet_endpoint *e)
{
	e->refs++;
	return e;
}

/* Gives a reference back; the last one frees the endpoint. */
void fleet_unref(struct fleet_endpoint *e)
{
	if (e && --e->refs == 0)
		free(e);
}

static void drop(struct fleet *f, struct fleet_endpoint *e)
{
	e->listed = false;
	TAILQ_REMOVE(&f->list, e, entry);
	f->n--;
	fleet_unref(e);
}

/* Forgets all endpoints; those that requests hold live on. */
void fleet_finish(struct fleet *f)
{
	while (!TAILQ_EMPTY(&f->list))
		drop(f, TAILQ_FIRST(&f->list));
}

/* Returns the endpoint of the id, or NULL. */
struct fleet_endpoint *fleet_find(struct fleet *f, const char *id)
{
	struct fleet_endpoint *e;

	TAILQ_FOREACH(e, &f->list, entry)
	if (strcmp(e->says.id, id) == 0)
		return e;
	return NULL;
}

static struct fleet_endpoint *add(struct fleet *f)
{
	struct fleet_endpoint *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	e->refs = 1;
	TAILQ_INSERT_TAIL(&f->list, e, entry);
	f->n++;
	return e;
}

/* See fleet.h. Returns NULL if there is no memory or the entry is outdated. */
struct fleet_endpoint *fleet_enter(struct fleet *f, const struct fleet_entry *e,
				   uint64_t offset, int64_t now_us)
{
	struct fleet_endpoint *known = fleet_find(f, e->id);

	if (known && offset < known->offset)
		return NULL;
	if (known &&
	    (known->says.born_ms != e->born_ms ||
	     known->says.addr.sin_addr.s_addr != e->addr.sin_addr.s_addr ||
	     known->says.addr.sin_port != e->addr.sin_port)) {
		drop(f, known);
		known = NULL;
	}
	if (!known)
		known = add(f);
	if (!known)
		return NULL;
	known->says = *e;
	known->listed = true;
	known->offset = offset;
	known->leave_us = 0;
	if (e->cold_ms)
		known->cold_until_us = now_us + e->cold_ms * 1000LL;
	return known;
}

/* See fleet.h. */
void fleet_leave(struct fleet *f, const char *id, uint64_t offset,
		 int64_t at_us, int64_t now_us)
{
	struct fleet_endpoint *e = fleet_find(f, id);

	if (!e || offset < e->offset)
		return;
	e->offset = offset;
	if (at_us <= now_us)
		drop(f, e);
	else if (!e->leave_us)
		e->leave_us = at_us;
}

/* See fleet.h. */
void fleet_sweep(struct fleet *f, int64_t now_us)
{
	struct fleet_endpoint *e, *next;

	for (e = TAILQ_FIRST(&f->list); e; e = next) {
		next = TAILQ_NEXT(e, entry);
		if (e->leave_us && e->leave_us <= now_us)
			drop(f, e);
	}
}

static bool has(const struct fleet_domains *d, const char *name)
{
	uint32_t i;

	for (i = 0; i < d->n; i++)
		if (strcmp(d->name[i], name) == 0)
			return true;
	return false;
}

/* Adds a domain to a set or takes it out; one over the room is left out. */
static void put(struct fleet_domains *d, const char *name, bool in)
{
	uint32_t i;

	for (i = 0; i < d->n; i++)
		if (strcmp(d->name[i], name) == 0)
			break;
	if (in && i == d->n && i < FLEET_DOMAINS_MAX)
		snprintf(d->name[d->n++], CALL_NAME_BYTES, "%s", name);
	if (!in && i < d->n)
		memmove(d->name[i], d->name[i + 1],
			(--d->n - i) * sizeof(d->name[0]));
}

/* Takes a domain out, or back in. */
void fleet_withdraw(struct fleet *f, const char *domain, bool withdrawn)
{
	put(&f->withdrawn, domain, withdrawn);
}

/* See fleet.h. */
void fleet_silence(struct fleet *f, const char *domain, bool silent)
{
	put(&f->silent, domain, silent);
}

/* Tells whether no host of the endpoint's domain is heard. */
bool fleet_is_silent(const struct fleet *f, const struct fleet_endpoint *e)
{
	return has(&f->silent, e->says.domain);
}

/* Tells whether new requests may go to the endpoint at all. */
bool fleet_usable(const struct fleet *f, const struct fleet_endpoint *e)
{
	return e->listed && !e->says.leaving &&
	       !has(&f->withdrawn, e->says.domain);
}

/* A request goes to the endpoint. */
void fleet_started(struct fleet_endpoint *e, uint32_t tokens,
		   uint32_t prompt_tokens, int64_t now_us)
{
	e->running++;
	e->tokens += tokens;
	e->prompt_tokens += prompt_tokens;
	if (now_us - e->cold_second_us >= 1000000) {
		e->cold_second_us = now_us;
		e->cold_starts = 0;
	}
	e->cold_starts++;
	if (e->out_until_us)
		e->probing++;
}

/* The prompt of a request was read in. */
void fleet_prompt_read(struct fleet_endpoint *e, uint32_t prompt_tokens)
{
	e->prompt_tokens -= prompt_tokens < e->prompt_tokens ? prompt_tokens
							     : e->prompt_tokens;
}

/* See fleet.h. */
void fleet_grew(struct fleet_endpoint *e, uint32_t tokens)
{
	e->tokens += tokens;
}

/* A request is no longer at the endpoint. */
void fleet_ended(struct fleet_endpoint *e, uint32_t tokens)
{
	if (e->running)
		e->running--;
	e->tokens -= tokens < e->tokens ? tokens : e->tokens;
	if (e->probing)
		e->probing--;
}

/* Takes the endpoint out for a while that doubles with each failure. */
static void take_out(struct fleet_endpoint *e, int64_t now_us)
{
	int64_t pause_us = OUT_FIRST_US;
	uint32_t i;

	for (i = FAILURES_MAX; i < e->failures && pause_us < OUT_MAX_US; i++)
		pause_us *= 2;
	e->out_until_us = now_us + pause_us;
}

/* Learns from how a request ended, and how long the endpoint took. */
void fleet_outcome(struct fleet_endpoint *e, enum fleet_outcome o,
		   int64_t took_us, int64_t now_us)
{
	switch (o) {
	case FLEET_GOOD:
		e->failures = 0;
		e->out_until_us = 0;
		e->failing *= 1 - FAILING_WEIGHT;
		if (e->latency_us == 0)
			e->latency_us = (double)took_us;
		e->latency_us +=
			((double)took_us - e->latency_us) * LATENCY_WEIGHT;
		break;
	case FLEET_SHED:
		e->full_until_us = now_us + FULL_PAUSE_US;
		break;
	case FLEET_WRONG:
		e->failures = FAILURES_MAX;
		take_out(e, now_us);
		break;
	case FLEET_NO_CONNECTION:
	case FLEET_SILENT:
		e->failures += FAILURES_MAX - 1;
		/* fall through */
	case FLEET_FAILED:
		e->failures++;
		e->failing += (1 - e->failing) * FAILING_WEIGHT;
		if (e->failures >= FAILURES_MAX)
			take_out(e, now_us);
		break;
	}
}

/* Takes in the load that came with an answer. */
void fleet_load(struct fleet_endpoint *e, uint32_t running, uint32_t waiting,
		int64_t now_us)
{
	e->load_running = running;
	e->load_waiting = waiting;
	e->load_us = now_us;
}
