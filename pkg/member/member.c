#include "member.h"

#include <stddef.h>
#include <stdio.h>
#include <string.h>

#define FNV_OFFSET 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL

/* Adds a string and a separator byte to an FNV-1a hash. */
static uint64_t fnv_add(uint64_t h, const char *s)
{
	for (; *s; s++)
		h = (h ^ (uint8_t)*s) * FNV_PRIME;
	return (h ^ 0xff) * FNV_PRIME;
}

/*
 * Returns the rendezvous score of a host for a key: FNV-1a, with the final mix
 * of MurmurHash3. All hosts must use the same function.
 */
static uint64_t score(const char *key, const char *host)
{
	uint64_t h = fnv_add(fnv_add(FNV_OFFSET, key), host);

	h ^= h >> 33;
	h *= 0xff51afd7ed558ccdULL;
	h ^= h >> 33;
	h *= 0xc4ceb9fe1a85ec53ULL;
	return h ^ h >> 33;
}

const struct member_host *member_find(const struct member_epoch *e,
				      const char *name)
{
	uint32_t i;

	for (i = 0; i < e->n; i++)
		if (strcmp(e->host[i].name, name) == 0)
			return &e->host[i];
	return NULL;
}

/*
 * Inserts a host into the list of the k best, by descending score. Returns the
 * new length of the list.
 */
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

uint32_t member_monitors(const struct member_epoch *e,
			 const struct member_host *h,
			 const struct member_host **out)
{
	const struct member_host *owners[MEMBER_MONITORS + 1];
	char key[MEMBER_NAME_BYTES + 8];
	uint32_t n = 0;
	uint32_t i, k;

	snprintf(key, sizeof(key), "monitor/%s", h->name);
	k = member_owners(e, h->domain, key, owners, MEMBER_MONITORS + 1);
	for (i = 0; i < k && n < MEMBER_MONITORS; i++)
		if (strcmp(owners[i]->name, h->name))
			out[n++] = owners[i];
	return n;
}
