#include "check.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct checker {
	const struct config *c;
	const char *name; /* first part of every path */
	struct jread_errors *errors;
	char path[JREAD_PATH_BYTES]; /* result of the last item_path() */
};

/* Formats the path "NAME.ARRAY[I].MEMBER", valid until the next call. */
static const char *item_path(struct checker *k, const char *array, uint32_t i,
			     const char *member)
{
	snprintf(k->path, sizeof(k->path), "%s.%s[%u].%s", k->name, array, i,
		 member);
	return k->path;
}

/*
 * Adds an error for each name that is empty or a duplicate in its array. Every
 * item of size bytes must start with its name.
 */
static void check_names(struct checker *k, const char *array, const void *items,
			uint32_t n, size_t size)
{
	const char *p = items;
	uint32_t i, j;

	for (i = 0; i < n; i++) {
		if (!p[i * size])
			jread_errorf(k->errors, item_path(k, array, i, "name"),
				     "found \"\", expected a name");
		for (j = 0; j < i; j++)
			if (strcmp(p + i * size, p + j * size) == 0)
				jread_errorf(k->errors,
					     item_path(k, array, i, "name"),
					     "found \"%s\", already the name "
					     "of %s[%u]",
					     p + i * size, array, j);
	}
}

static void check_domain_exists(struct checker *k, const char *where,
				const char *domain)
{
	if (!config_find_domain(k->c, domain))
		jread_errorf(k->errors, where,
			     "found \"%s\", expected the name of a domain",
			     domain);
}

static void check_shares(struct checker *k, uint32_t i)
{
	const struct config_account *a = &k->c->account[i];
	uint64_t sum = 0;
	uint32_t j;

	for (j = 0; j < a->share_n; j++) {
		sum += a->share[j].ppm;
		check_domain_exists(k, item_path(k, "accounts", i, "shares"),
				    a->share[j].domain);
	}
	if (sum != CONFIG_PPM)
		jread_errorf(k->errors, item_path(k, "accounts", i, "shares"),
			     "the parts add up to %.6f, expected 1",
			     (double)sum / CONFIG_PPM);
}

/*
 * Key ids must be unique over all accounts. They contain no underscore, because
 * one separates the id from the secret in the text of a key.
 */
static void check_key_id(struct checker *k, uint32_t i, const char *id)
{
	uint32_t j, m, found_n = 0;

	for (j = 0; j < k->c->account_n; j++)
		for (m = 0; m < k->c->account[j].key_n; m++)
			if (strcmp(k->c->account[j].key[m].id, id) == 0)
				found_n++;
	if (found_n > 1)
		jread_errorf(k->errors, item_path(k, "accounts", i, "keys"),
			     "found key id \"%s\" %u times, expected once", id,
			     found_n);
	if (!id[0] || strchr(id, '_'))
		jread_errorf(k->errors, item_path(k, "accounts", i, "keys"),
			     "found key id \"%s\", expected one that is not "
			     "empty and has no underscore",
			     id);
}

static void check_account(struct checker *k, uint32_t i)
{
	const struct config_account *a = &k->c->account[i];
	uint32_t j;

	check_shares(k, i);
	for (j = 0; j < a->key_n; j++)
		check_key_id(k, i, a->key[j].id);
	if (a->stream_tokens_s > a->rate_tokens_s)
		jread_errorf(k->errors,
			     item_path(k, "accounts", i, "stream_tokens_s"),
			     "found %u, expected at most rate_tokens_s "
			     "(%llu)",
			     a->stream_tokens_s,
			     (unsigned long long)a->rate_tokens_s);
}

static bool is_addr(const char *addr)
{
	char ip[CONFIG_ADDR_BYTES];
	struct in_addr in;
	char *colon;
	long port;

	snprintf(ip, sizeof(ip), "%s", addr);
	colon = strrchr(ip, ':');
	if (!colon)
		return false;
	*colon = '\0';
	port = strtol(colon + 1, NULL, 10);
	return port > 0 && port <= UINT16_MAX &&
	       inet_pton(AF_INET, ip, &in) == 1;
}

static void check_endpoint(struct checker *k, uint32_t i)
{
	const struct config_endpoint *e = &k->c->endpoint[i];
	bool known;

	check_domain_exists(k, item_path(k, "endpoints", i, "domain"),
			    e->domain);
	if (!is_addr(e->addr))
		jread_errorf(k->errors, item_path(k, "endpoints", i, "addr"),
			     "found \"%s\", expected IP:PORT", e->addr);
	known = e->role == CONFIG_ROLE_SERVICE
			? config_find_service(k->c, e->serves) != NULL
			: config_find_model(k->c, e->serves) != NULL;
	if (!known)
		jread_errorf(
			k->errors, item_path(k, "endpoints", i, "serves"),
			"found \"%s\", expected the name of a %s", e->serves,
			e->role == CONFIG_ROLE_SERVICE ? "service" : "model");
}

static void check_route(struct checker *k, uint32_t i)
{
	const struct config_route *r = &k->c->route[i];

	if (!config_find_model(k->c, r->serves) &&
	    !config_find_service(k->c, r->serves))
		jread_errorf(
			k->errors, item_path(k, "routes", i, "serves"),
			"found \"%s\", expected the name of a model or service",
			r->serves);
	if (!config_find_account(k->c, r->account))
		jread_errorf(k->errors, item_path(k, "routes", i, "account"),
			     "found \"%s\", expected the name of an account",
			     r->account);
}

void config_check(const struct config *c, const char *name,
		  struct jread_errors *errors)
{
	struct checker k = {.c = c, .name = name, .errors = errors};
	uint32_t i;

	check_names(&k, "domains", c->domain, c->domain_n, sizeof(*c->domain));
	check_names(&k, "accounts", c->account, c->account_n,
		    sizeof(*c->account));
	check_names(&k, "models", c->model, c->model_n, sizeof(*c->model));
	check_names(&k, "endpoints", c->endpoint, c->endpoint_n,
		    sizeof(*c->endpoint));
	check_names(&k, "services", c->service, c->service_n,
		    sizeof(*c->service));
	for (i = 0; i < c->account_n; i++)
		check_account(&k, i);
	for (i = 0; i < c->endpoint_n; i++)
		check_endpoint(&k, i);
	for (i = 0; i < c->route_n; i++)
		check_route(&k, i);
}
