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
	strncpy(f->local_domain, domain, sizeof(f->local_domain) - 1);
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
	TAILQ_REMOVE(&f->list, e, link);
	f->n_endpoints--;
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

	TAILQ_FOREACH(e, &f->list, link)
	if (strcmp(e->entry.id, id) == 0)
		return e;
	return NULL;
}

static struct fleet_endpoint *add(struct fleet *f)
{
	struct fleet_endpoint *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	e->refs = 1;
	TAILQ_INSERT_TAIL(&f->list, e, link);
	f->n_endpoints++;
	return e;
}

/* See fleet.h. Returns NULL if there is no memory or the entry is outdated. */
struct fleet_endpoint *fleet_upsert(struct fleet *f,
				    const struct fleet_entry *e,
				    uint64_t offset, int64_t now_us)
{
	struct fleet_endpoint *known = fleet_find(f, e->id);

	if (known && offset < known->offset)
		return NULL;
	if (known &&
	    (known->entry.started_ms != e->started_ms ||
	     known->entry.addr.sin_addr.s_addr != e->addr.sin_addr.s_addr ||
	     known->entry.addr.sin_port != e->addr.sin_port)) {
		drop(f, known);
		known = NULL;
	}
	if (!known)
		known = add(f);
	if (!known)
		return NULL;
	known->entry = *e;
	known->listed = true;
	known->offset = offset;
	known->remove_at_us = 0;
	if (e->cold_remaining_ms)
		known->cold_until_us = now_us + e->cold_remaining_ms * 1000LL;
	return known;
}

/* See fleet.h. */
void fleet_remove(struct fleet *f, const char *id, uint64_t offset,
		  int64_t at_us, int64_t now_us)
{
	struct fleet_endpoint *e = fleet_find(f, id);

	if (!e || offset < e->offset)
		return;
	e->offset = offset;
	if (at_us <= now_us)
		drop(f, e);
	else if (!e->remove_at_us)
		e->remove_at_us = at_us;
}

/* See fleet.h. */
void fleet_expire(struct fleet *f, int64_t now_us)
{
	struct fleet_endpoint *e, *next;

	for (e = TAILQ_FIRST(&f->list); e; e = next) {
		next = TAILQ_NEXT(e, link);
		if (e->remove_at_us && e->remove_at_us <= now_us)
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
void fleet_set_withdrawn(struct fleet *f, const char *domain, bool withdrawn)
{
	put(&f->withdrawn, domain, withdrawn);
}

/* See fleet.h. */
void fleet_set_unreachable(struct fleet *f, const char *domain, bool silent)
{
	put(&f->unreachable, domain, silent);
}

/* Tells whether no host of the endpoint's domain is heard. */
bool fleet_is_unreachable(const struct fleet *f, const struct fleet_endpoint *e)
{
	return has(&f->unreachable, e->entry.domain);
}

/* Tells whether new requests may go to the endpoint at all. */
bool fleet_is_usable(const struct fleet *f, const struct fleet_endpoint *e)
{
	return e->listed && !e->entry.draining &&
	       !has(&f->withdrawn, e->entry.domain);
}

/* A request goes to the endpoint. */
void fleet_request_start(struct fleet_endpoint *e, uint32_t tokens,
			 uint32_t prompt_tokens, int64_t now_us)
{
	e->running++;
	e->kv_tokens += tokens;
	e->prefill_tokens += prompt_tokens;
	if (now_us - e->cold_window_us >= 1000000) {
		e->cold_window_us = now_us;
		e->cold_requests = 0;
	}
	e->cold_requests++;
	if (e->ejected_until_us)
		e->probes++;
}

/* The prompt of a request was read in. */
void fleet_prefill_end(struct fleet_endpoint *e, uint32_t prompt_tokens)
{
	e->prefill_tokens -= prompt_tokens < e->prefill_tokens
				     ? prompt_tokens
				     : e->prefill_tokens;
}

/* See fleet.h. */
void fleet_request_grow(struct fleet_endpoint *e, uint32_t tokens)
{
	e->kv_tokens += tokens;
}

/* A request is no longer at the endpoint. */
void fleet_request_end(struct fleet_endpoint *e, uint32_t tokens)
{
	if (e->running)
		e->running--;
	e->kv_tokens -= tokens < e->kv_tokens ? tokens : e->kv_tokens;
	if (e->probes)
		e->probes--;
}

/* Takes the endpoint out for a while that doubles with each failure. */
static void take_out(struct fleet_endpoint *e, int64_t now_us)
{
	int64_t pause_us = OUT_FIRST_US;
	uint32_t i;

	for (i = FAILURES_MAX;
	     i < e->consecutive_failures && pause_us < OUT_MAX_US; i++)
		pause_us *= 2;
	e->ejected_until_us = now_us + pause_us;
}

/* Learns from how a request ended, and how long the endpoint took. */
void fleet_record_outcome(struct fleet_endpoint *e, enum fleet_outcome o,
			  int64_t took_us, int64_t now_us)
{
	switch (o) {
	case FLEET_SUCCESS:
		e->consecutive_failures = 0;
		e->ejected_until_us = 0;
		e->failure_rate *= 1 - FAILING_WEIGHT;
		if (e->latency_us == 0)
			e->latency_us = (double)took_us;
		e->latency_us +=
			((double)took_us - e->latency_us) * LATENCY_WEIGHT;
		break;
	case FLEET_OVERLOADED:
		e->full_until_us = now_us + FULL_PAUSE_US;
		break;
	case FLEET_MISDIRECTED:
		e->consecutive_failures = FAILURES_MAX;
		take_out(e, now_us);
		break;
	case FLEET_CONNECT_FAILED:
	case FLEET_TIMED_OUT:
		e->consecutive_failures += FAILURES_MAX - 1;
		/* fall through */
	case FLEET_FAILED:
		e->consecutive_failures++;
		e->failure_rate += (1 - e->failure_rate) * FAILING_WEIGHT;
		if (e->consecutive_failures >= FAILURES_MAX)
			take_out(e, now_us);
		break;
	}
}

/* Takes in the load that came with an answer. */
void fleet_record_load(struct fleet_endpoint *e, uint32_t running,
		       uint32_t waiting, int64_t now_us)
{
	e->load_running = running;
	e->load_waiting = waiting;
	e->load_us = now_us;
}
