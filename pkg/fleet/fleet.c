#include "fleet.h"
#include "completion.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "namehash.h"

/* Consecutive failures after which an endpoint is ejected. */
#define FAILURES_MAX 3
/* Length of the first ejection; each further failure doubles it. */
#define EJECTION_BASE_US 500000LL
#define EJECTION_MAX_US 4000000LL
/* Time without new requests after one was refused for lack of capacity; each
 * further refusal doubles it. A stream ends at an engine about every 0.5 s. */
#define FULL_BACKOFF_US 30000LL
#define FULL_BACKOFF_MAX_US 240000LL
/* Weights of the newest value in the exponential averages. */
#define FAILURE_RATE_WEIGHT 0.15
#define LATENCY_WEIGHT 0.2
/* An endpoint that says that it leaves, and is still there after this time, may be
 * chosen again. */
#define LEAVING_MAX_US 300000000LL
/* How long a removed endpoint is remembered. */
#define REMEMBER_US 600000000LL

void fleet_init(struct fleet *f, const char *domain, uint64_t seed)
{
	memset(f, 0, sizeof(*f));
	TAILQ_INIT(&f->list);
	TAILQ_INIT(&f->removed);
	strncpy(f->local_domain, domain, sizeof(f->local_domain) - 1);
	f->hosts = 1;
	f->limit_share = 1;
	f->schedule = 1;
	f->ranks = 1;
	f->random = seed * 2 + 1;
}

struct fleet_endpoint *fleet_ref(struct fleet_endpoint *e)
{
	e->refs++;
	return e;
}

void fleet_unref(struct fleet_endpoint *e)
{
	if (e && --e->refs == 0)
		free(e);
}

static void unlist(struct fleet *f, struct fleet_endpoint *e)
{
	e->listed = false;
	TAILQ_REMOVE(&f->list, e, link);
	f->n_endpoints--;
}

static void move_to_removed(struct fleet *f, struct fleet_endpoint *e,
			    int64_t now_us)
{
	unlist(f, e);
	e->removed_us = now_us;
	TAILQ_INSERT_TAIL(&f->removed, e, link);
}

static void forget(struct fleet *f, struct fleet_endpoint *e)
{
	TAILQ_REMOVE(&f->removed, e, link);
	fleet_unref(e);
}

void fleet_finish(struct fleet *f)
{
	struct fleet_endpoint *e;

	while ((e = TAILQ_FIRST(&f->list)) != NULL) {
		unlist(f, e);
		fleet_unref(e);
	}
	while (!TAILQ_EMPTY(&f->removed))
		forget(f, TAILQ_FIRST(&f->removed));
}

struct fleet_endpoint *fleet_find(struct fleet *f, const char *id)
{
	struct fleet_endpoint *e;

	TAILQ_FOREACH(e, &f->list, link)
	if (strcmp(e->entry.id, id) == 0)
		return e;
	return NULL;
}

struct fleet_endpoint *fleet_find_lapsed(struct fleet *f, const char *id)
{
	struct fleet_endpoint *e;

	TAILQ_FOREACH_REVERSE(e, &f->removed, fleet_endpoints, link)
	if (strcmp(e->entry.id, id) == 0)
		return e->lapsed ? e : NULL;
	return NULL;
}

struct fleet_endpoint *fleet_find_start(struct fleet *f, uint64_t start_key)
{
	struct fleet_endpoint *e;

	TAILQ_FOREACH(e, &f->list, link)
	if (e->start_key == start_key)
		return e;
	return NULL;
}

static void list(struct fleet *f, struct fleet_endpoint *e)
{
	e->listed = true;
	TAILQ_INSERT_TAIL(&f->list, e, link);
	f->n_endpoints++;
}

static uint64_t hash_start(const struct fleet_entry *entry)
{
	char text[CALL_ID_BYTES + 24];

	snprintf(text, sizeof(text), "%s %lld", entry->id,
		 (long long)entry->started_ms);
	return namehash(text);
}

/* Returns true if the entry is of the endpoint's own start. */
static bool is_same_start(const struct fleet_endpoint *e,
			  const struct fleet_entry *entry)
{
	return strcmp(e->entry.id, entry->id) == 0 &&
	       e->entry.started_ms == entry->started_ms &&
	       e->entry.addr.sin_addr.s_addr == entry->addr.sin_addr.s_addr &&
	       e->entry.addr.sin_port == entry->addr.sin_port;
}

/* Takes the endpoint of an entry back from the removed ones, or returns NULL. */
static struct fleet_endpoint *restore(struct fleet *f,
				      const struct fleet_entry *entry)
{
	struct fleet_endpoint *e;

	TAILQ_FOREACH(e, &f->removed, link)
	if (entry->started_ms && is_same_start(e, entry)) {
		TAILQ_REMOVE(&f->removed, e, link);
		list(f, e);
		return e;
	}
	return NULL;
}

static struct fleet_endpoint *add_endpoint(struct fleet *f)
{
	struct fleet_endpoint *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	e->refs = 1;
	list(f, e);
	return e;
}

struct fleet_endpoint *fleet_upsert(struct fleet *f,
				    const struct fleet_entry *entry,
				    uint64_t offset, int64_t now_us)
{
	struct fleet_endpoint *e = fleet_find(f, entry->id);

	if (e && offset < e->offset)
		return NULL;
	if (e && !is_same_start(e, entry)) {
		unlist(f, e);
		fleet_unref(e);
		e = NULL;
	}
	if (!e)
		e = restore(f, entry);
	if (!e)
		e = add_endpoint(f);
	if (!e)
		return NULL;
	e->entry = *entry;
	e->key = namehash32(entry->id);
	e->start_key = hash_start(entry);
	e->offset = offset;
	e->remove_at_us = 0;
	e->lapsed = false;
	if (entry->cold_remaining_ms)
		e->cold_until_us = now_us + entry->cold_remaining_ms * 1000LL;
	return e;
}

/* Compares two entries of one id; less than 0 if a is older, 0 also if that is
 * unknown. */
static int compare_age(const struct fleet_entry *a, const struct fleet_entry *b)
{
	if (!a->started_ms || !b->started_ms)
		return 0;
	if (a->started_ms != b->started_ms)
		return a->started_ms < b->started_ms ? -1 : 1;
	if (!a->sequence || !b->sequence || a->sequence == b->sequence)
		return 0;
	return a->sequence < b->sequence ? -1 : 1;
}

static bool is_same_entry(const struct fleet_entry *a,
			  const struct fleet_entry *b)
{
	return a->started_ms && a->started_ms == b->started_ms && a->sequence &&
	       a->sequence == b->sequence;
}

bool fleet_knows_newer(const struct fleet *f, const struct fleet_entry *entry)
{
	const struct fleet_endpoint *e;

	TAILQ_FOREACH(e, &f->list, link)
	if (strcmp(e->entry.id, entry->id) == 0)
		return compare_age(entry, &e->entry) < 0;
	TAILQ_FOREACH(e, &f->removed, link)
	if (strcmp(e->entry.id, entry->id) == 0 &&
	    (compare_age(entry, &e->entry) < 0 ||
	     is_same_entry(entry, &e->entry)))
		return true;
	return false;
}

void fleet_remove(struct fleet *f, const char *id, uint64_t offset,
		  int64_t at_us, int64_t now_us)
{
	struct fleet_endpoint *e = fleet_find(f, id);

	if (!e || offset < e->offset)
		return;
	e->offset = offset;
	e->lapsed = at_us > now_us;
	if (at_us <= now_us)
		move_to_removed(f, e, now_us);
	else if (!e->remove_at_us)
		e->remove_at_us = at_us;
}

void fleet_expire(struct fleet *f, int64_t now_us)
{
	struct fleet_endpoint *e, *next;

	for (e = TAILQ_FIRST(&f->list); e; e = next) {
		next = TAILQ_NEXT(e, link);
		if (e->leaving_us && now_us - e->leaving_us >= LEAVING_MAX_US)
			e->leaving_us = 0;
		if (e->remove_at_us && e->remove_at_us <= now_us)
			move_to_removed(f, e, now_us);
	}
	for (e = TAILQ_FIRST(&f->removed);
	     e && now_us - e->removed_us >= REMEMBER_US;
	     e = TAILQ_FIRST(&f->removed))
		forget(f, e);
}

static bool domains_contain(const struct fleet_domains *d, const char *name)
{
	uint32_t i;

	for (i = 0; i < d->n; i++)
		if (strcmp(d->name[i], name) == 0)
			return true;
	return false;
}

/* Adds a domain to a set, unless the set is full, or removes it. */
static void domains_set(struct fleet_domains *d, const char *name, bool member)
{
	uint32_t i;

	for (i = 0; i < d->n; i++)
		if (strcmp(d->name[i], name) == 0)
			break;
	if (member && i == d->n && i < FLEET_DOMAINS_MAX)
		snprintf(d->name[d->n++], CALL_NAME_BYTES, "%s", name);
	if (!member && i < d->n)
		memmove(d->name[i], d->name[i + 1],
			(--d->n - i) * sizeof(d->name[0]));
}

void fleet_set_withdrawn(struct fleet *f, const char *domain, bool withdrawn)
{
	domains_set(&f->withdrawn, domain, withdrawn);
}

void fleet_set_unreachable(struct fleet *f, const char *domain,
			   bool unreachable)
{
	domains_set(&f->unreachable, domain, unreachable);
}

bool fleet_is_unreachable(const struct fleet *f, const struct fleet_endpoint *e)
{
	return domains_contain(&f->unreachable, e->entry.domain);
}

bool fleet_is_usable(const struct fleet *f, const struct fleet_endpoint *e)
{
	return e->listed && !e->entry.draining && !e->leaving_us &&
	       !domains_contain(&f->withdrawn, e->entry.domain);
}

static void count_sent(struct fleet_endpoint *e)
{
	e->cold_rate.sent++;
	if (e->limit.milli_per_s) {
		e->limit.level -= 1;
		e->limit.used_turn = e->limit.turn;
	}
	if (e->ejected_until_us || e->unwanted_until_us)
		e->probes++;
}

void fleet_request_start(struct fleet_endpoint *e, uint32_t kv_tokens,
			 uint32_t prefill_tokens)
{
	e->running++;
	e->kv_tokens += kv_tokens;
	e->prefill_tokens += prefill_tokens;
	count_sent(e);
}

void fleet_prefill_start(struct fleet_endpoint *e, uint32_t prefill_tokens)
{
	e->prefill_tokens += prefill_tokens;
	count_sent(e);
}

void fleet_prefill_end(struct fleet_endpoint *e, uint32_t prefill_tokens)
{
	e->prefill_tokens -= prefill_tokens < e->prefill_tokens
				     ? prefill_tokens
				     : e->prefill_tokens;
	if (e->probes)
		e->probes--;
}

void fleet_request_grow(struct fleet_endpoint *e, uint32_t kv_tokens)
{
	e->kv_tokens += kv_tokens;
}

void fleet_request_end(struct fleet_endpoint *e, uint32_t kv_tokens)
{
	if (e->running)
		e->running--;
	e->kv_tokens -= kv_tokens < e->kv_tokens ? kv_tokens : e->kv_tokens;
	if (e->probes)
		e->probes--;
}

/* Ejects the endpoint, for twice as long with each further failure. */
static void eject(struct fleet_endpoint *e, int64_t now_us)
{
	int64_t ejection_us = EJECTION_BASE_US;
	uint32_t i;

	for (i = FAILURES_MAX;
	     i < e->consecutive_failures && ejection_us < EJECTION_MAX_US; i++)
		ejection_us *= 2;
	e->ejected_until_us = now_us + ejection_us;
}

static int64_t full_backoff_us(const struct fleet_endpoint *e)
{
	int64_t us = FULL_BACKOFF_US;
	uint32_t i;

	for (i = 0; i < e->refusals && us < FULL_BACKOFF_MAX_US; i++)
		us *= 2;
	return us;
}

void fleet_record_capacity(struct fleet_endpoint *e, int64_t sent_us)
{
	e->refusals = 0;
	if (sent_us >= e->unwanted_until_us)
		e->unwanted_until_us = 0;
}

bool fleet_is_doubtful(const struct fleet_endpoint *e)
{
	return e->refusals || e->consecutive_failures || e->ejected_until_us;
}

void fleet_record_outcome(struct fleet_endpoint *e, enum fleet_outcome outcome,
			  int64_t took_us, int64_t now_us)
{
	switch (outcome) {
	case FLEET_SUCCESS:
		fleet_record_capacity(e, now_us - took_us);
		e->consecutive_failures = 0;
		e->ejected_until_us = 0;
		e->failure_rate *= 1 - FAILURE_RATE_WEIGHT;
		if (e->latency_us == 0)
			e->latency_us = (double)took_us;
		e->latency_us +=
			((double)took_us - e->latency_us) * LATENCY_WEIGHT;
		completion_learn(e, took_us);
		break;
	case FLEET_OVERLOADED:
		e->full_until_us = now_us + full_backoff_us(e);
		e->refusals++;
		break;
	case FLEET_SILENT:
		if (++e->consecutive_failures >= FAILURES_MAX)
			eject(e, now_us);
		break;
	case FLEET_MISDIRECTED:
		e->consecutive_failures = FAILURES_MAX;
		eject(e, now_us);
		break;
	case FLEET_CONNECT_FAILED:
	case FLEET_TIMED_OUT:
		/* One of these is enough to eject the endpoint. */
		e->consecutive_failures += FAILURES_MAX - 1;
		/* fall through */
	case FLEET_FAILED:
		e->consecutive_failures++;
		e->failure_rate += (1 - e->failure_rate) * FAILURE_RATE_WEIGHT;
		if (e->consecutive_failures >= FAILURES_MAX)
			eject(e, now_us);
		break;
	}
}

void fleet_record_load(struct fleet_endpoint *e, uint32_t running,
		       uint32_t waiting, int64_t now_us)
{
	e->load_running = running;
	e->load_waiting = waiting;
	e->load_us = now_us;
}

bool fleet_record_leaving(struct fleet_endpoint *e, int64_t at_us)
{
	if (e->leaving_us)
		return false;
	e->leaving_us = at_us;
	return true;
}
