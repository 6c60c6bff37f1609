#include "directory.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

struct directory *directory_new(uint32_t routes, uint32_t services,
				uint32_t accounts, uint32_t keys)
{
	struct directory *d = calloc(1, sizeof(*d));

	if (!d)
		return NULL;
	d->refs = 1;
	d->n_routes = routes;
	d->n_services = services;
	d->n_accounts = accounts;
	d->n_keys = keys;
	/* calloc(0, ...) may return NULL: one more row than needed. */
	d->route = calloc(routes + 1, sizeof(*d->route));
	d->service = calloc(services + 1, sizeof(*d->service));
	d->account = calloc(accounts + 1, sizeof(*d->account));
	d->key = calloc(keys + 1, sizeof(*d->key));
	if (!d->route || !d->service || !d->account || !d->key) {
		directory_unref(d);
		return NULL;
	}
	return d;
}

struct directory *directory_ref(struct directory *d)
{
	d->refs++;
	return d;
}

void directory_unref(struct directory *d)
{
	if (!d || --d->refs)
		return;
	free(d->route);
	free(d->service);
	free(d->account);
	free(d->key);
	free(d);
}

static int compare_keys(const void *a, const void *b)
{
	const struct directory_key *x = a, *y = b;

	return strcmp(x->key, y->key);
}

void directory_sort_keys(struct directory *d)
{
	qsort(d->key, d->n_keys, sizeof(*d->key), compare_keys);
}

/* Compares a host name with a Host header, which may include a port. */
static bool host_matches(const char *host, const char *header)
{
	size_t n = strlen(host);

	return strncasecmp(host, header, n) == 0 &&
	       (header[n] == '\0' || header[n] == ':');
}

const struct directory_route *directory_find_route(const struct directory *d,
						   const char *host,
						   const char *path)
{
	const struct directory_route *best = NULL;
	size_t best_n = 0, n;
	uint32_t i;

	for (i = 0; i < d->n_routes; i++) {
		n = strlen(d->route[i].path_prefix);
		if (n <= best_n ||
		    strncmp(path, d->route[i].path_prefix, n) != 0 ||
		    !host_matches(d->route[i].host, host))
			continue;
		best = &d->route[i];
		best_n = n;
	}
	return best;
}

const struct directory_account *
directory_find_account(const struct directory *d, const char *key)
{
	struct directory_key query = {.account = 0};
	const struct directory_key *k;

	if (!*key || strlen(key) >= sizeof(query.key))
		return NULL;
	memcpy(query.key, key, strlen(key) + 1);
	k = bsearch(&query, d->key, d->n_keys, sizeof(*k), compare_keys);
	return k ? &d->account[k->account] : NULL;
}

const struct directory_service *
directory_find_service(const struct directory *d, const char *name)
{
	uint32_t i;

	for (i = 0; i < d->n_services; i++)
		if (strcmp(d->service[i].name, name) == 0)
			return &d->service[i];
	return NULL;
}

const char *directory_pick_service(const struct directory_route *r,
				   uint64_t random)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < r->n_split; i++)
		sum += r->split[i].weight;
	if (!sum)
		return NULL;
	random %= sum;
	for (i = 0; i + 1 < r->n_split && random >= r->split[i].weight; i++)
		random -= r->split[i].weight;
	return r->split[i].service;
}
