#include "plan.h"

#include <string.h>

#define PROBES 4 /* places where an entry may stand */

void plan_prefix_index_init(struct plan_prefix_index *p)
{
	memset(p, 0, sizeof(*p));
}

static uint32_t name_hash(const char *name)
{
	return (uint32_t)plan_affinity(0, name) | 1;
}

static uint32_t place(uint64_t hash, uint32_t endpoint, uint32_t probe)
{
	uint64_t h = (hash ^ endpoint) * 0x9e3779b97f4a7c15ULL;

	return (uint32_t)((h >> 32) + probe) % PLAN_PREFIX_INDEX_ENTRIES;
}

static bool is_entry(const struct plan_prefix_entry *e, uint64_t hash,
		     uint32_t endpoint)
{
	return e->endpoint_hash == endpoint && e->prefix_hash == hash;
}

/*
 * Notes that an endpoint's cache holds a prefix, by a cache event or since it has
 * just worked on it. The entry goes first among its places; the last one is
 * forgotten.
 */
void plan_prefix_index_add(struct plan_prefix_index *p, const char *endpoint,
			   uint64_t hash)
{
	uint32_t name = name_hash(endpoint);
	struct plan_prefix_entry moved = {.prefix_hash = hash,
					  .endpoint_hash = name};
	struct plan_prefix_entry *e, old;
	uint32_t i;

	for (i = 0; i < PROBES; i++) {
		e = &p->entry[place(hash, name, i)];
		old = *e;
		*e = moved;
		if (!old.endpoint_hash || is_entry(&old, hash, name))
			return;
		moved = old;
	}
}

/* Notes that an endpoint's cache lacks a prefix. */
void plan_prefix_index_remove(struct plan_prefix_index *p, const char *endpoint,
			      uint64_t hash)
{
	uint32_t name = name_hash(endpoint);
	struct plan_prefix_entry *e;
	uint32_t i;

	for (i = 0; i < PROBES; i++) {
		e = &p->entry[place(hash, name, i)];
		if (is_entry(e, hash, name))
			memset(e, 0, sizeof(*e));
	}
}

static bool holds(const struct plan_prefix_index *p, uint32_t name,
		  uint64_t hash)
{
	uint32_t i;

	for (i = 0; i < PROBES; i++)
		if (is_entry(&p->entry[place(hash, name, i)], hash, name))
			return true;
	return false;
}

/* Returns how many tokens of a prompt, by its blocks, the endpoint may hold. */
uint32_t plan_prefix_index_cached_tokens(const struct plan_prefix_index *p,
					 const char *endpoint,
					 const uint64_t *hash, uint32_t blocks)
{
	uint32_t name = name_hash(endpoint);
	uint32_t n = 0;

	while (n < blocks && holds(p, name, hash[n]))
		n++;
	return n * PLAN_PREFIX_BLOCK_TOKENS;
}
