#include "member.h"

#include <stddef.h>
#include <stdio.h>
#include <string.h>

#define FNV_START 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL

static uint64_t hash_add(uint64_t h, const char *s)
{
	for (; *s; s++)
		h = (h ^ (uint8_t)*s) * FNV_PRIME;
	return (h ^ 0xff) * FNV_PRIME;
}

/* Returns the rendezvous score of a host for a key. */
static uint64_t score(const char *key, const char *host)
{
	uint64_t h = hash_add(hash_add(FNV_START, key), host);

	h ^= h >> 33;
	h *= 0xff51afd7ed558ccdULL;
	h ^= h >> 33;
	h *= 0xc4ceb9fe1a85ec53ULL;
	return h ^ h >> 33;
}

/* Returns the host of that name in the epoch, or NULL. */
const struct member_host *member_find(const struct member_epoch *e,
				      const char *name)
{
	uint32_t i;

	for (i = 0; i < e->n; i++)
		if (strcmp(e->host[i].name, name) == 0)
			return &e->host[i];
	return NULL;
}

/* Puts a host into the list of the best k so far, highest score first. */
static uint32_t insert(const struct member_host **out, uint64_t *scores,
		       uint32_t n, uint32_t k, const struct member_host *h,
		       uint64_t s)
{
	uint32_t i;

	if (n == k && s <= scores[k - 1])
		return n;
	if (n < k)
		n++;
	for (i = n - 1; i > 0 && scores[i - 1] < s; i--) {
		scores[i] = scores[i - 1];
		out[i] = out[i - 1];
	}
	scores[i] = s;
	out[i] = h;
	return n;
}

/*
 * Writes the first k hosts of a failure domain by rendezvous hashing of the key,
 * the same on every host that holds the epoch. Hosts that are leaving are left
 * out. Returns how many there are, at most k, which is at most 16.
 */
uint32_t member_owners(const struct member_epoch *e, const char *domain,
		       const char *key, const struct member_host **out,
		       uint32_t k)
{
	uint64_t scores[16];
	const struct member_host *h;
	uint32_t n = 0;
	uint32_t i;

	if (k > 16)
		k = 16;
	if (k == 0)
		return 0;
	for (i = 0; i < e->n; i++) {
		h = &e->host[i];
		if (h->leaving || strcmp(h->domain, domain))
			continue;
		n = insert(out, scores, n, k, h, score(key, h->name));
	}
	return n;
}

/*
 * Writes the hosts that watch a host by its heartbeats, in the order in which
 * they act when it falls silent. Returns how many there are.
 */
uint32_t member_monitors(const struct member_epoch *e,
			 const struct member_host *h,
			 const struct member_host **out)
{
	const struct member_host *homes[MEMBER_MONITORS + 1];
	char key[MEMBER_NAME_BYTES + 8];
	uint32_t n = 0;
	uint32_t i, k;

	snprintf(key, sizeof(key), "monitor/%s", h->name);
	k = member_owners(e, h->domain, key, homes, MEMBER_MONITORS + 1);
	for (i = 0; i < k && n < MEMBER_MONITORS; i++)
		if (strcmp(homes[i]->name, h->name))
			out[n++] = homes[i];
	return n;
}
