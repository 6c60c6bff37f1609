#include "plan.h"

#include <string.h>

#define PROBES_MAX 4 /* positions where an entry is looked up */

void plan_prefix_index_init(struct plan_prefix_index *p)
{
	memset(p, 0, sizeof(*p));
}

/* Never returns 0, which marks an unused position. */
static uint32_t endpoint_hash(const char *endpoint)
{
	return (uint32_t)plan_affinity(0, endpoint) | 1;
}

/* Linear probing; the multiplier is that of Fibonacci hashing. */
static uint32_t probe_index(uint64_t prefix, uint32_t endpoint, uint32_t probe)
{
	uint64_t h = (prefix ^ endpoint) * 0x9e3779b97f4a7c15ULL;

	return (uint32_t)((h >> 32) + probe) % PLAN_PREFIX_INDEX_ENTRIES;
}

static bool matches(const struct plan_prefix_entry *e, uint64_t prefix,
		    uint32_t endpoint)
{
	return e->endpoint_hash == endpoint && e->prefix_hash == prefix;
}

/*
 * Inserts at the first position and moves the entries there on by one, up to an
 * unused position or an older copy of the same entry. If neither is found, the
 * entry at the last position is dropped.
 */
void plan_prefix_index_add(struct plan_prefix_index *p, const char *endpoint,
			   uint64_t hash)
{
	uint32_t name = endpoint_hash(endpoint);
	struct plan_prefix_entry moved = {.prefix_hash = hash,
					  .endpoint_hash = name};
	struct plan_prefix_entry *e, old;
	uint32_t i;

	for (i = 0; i < PROBES_MAX; i++) {
		e = &p->entry[probe_index(hash, name, i)];
		old = *e;
		*e = moved;
		if (!old.endpoint_hash || matches(&old, hash, name))
			return;
		moved = old;
	}
}

void plan_prefix_index_remove(struct plan_prefix_index *p, const char *endpoint,
			      uint64_t hash)
{
	uint32_t name = endpoint_hash(endpoint);
	struct plan_prefix_entry *e;
	uint32_t i;

	for (i = 0; i < PROBES_MAX; i++) {
		e = &p->entry[probe_index(hash, name, i)];
		if (matches(e, hash, name))
			memset(e, 0, sizeof(*e));
	}
}

static bool contains(const struct plan_prefix_index *p, uint32_t endpoint,
		     uint64_t prefix)
{
	uint32_t i;

	for (i = 0; i < PROBES_MAX; i++)
		if (matches(&p->entry[probe_index(prefix, endpoint, i)], prefix,
			    endpoint))
			return true;
	return false;
}

uint32_t plan_prefix_index_cached_tokens(const struct plan_prefix_index *p,
					 const char *endpoint,
					 const uint64_t *hash, uint32_t blocks)
{
	uint32_t name = endpoint_hash(endpoint);
	uint32_t n = 0;

	while (n < blocks && contains(p, name, hash[n]))
		n++;
	return n * PLAN_PREFIX_BLOCK_TOKENS;
}
