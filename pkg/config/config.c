#include "config.h"

#include <stdlib.h>
#include <string.h>

struct config *config_get(struct config *c)
{
	c->refs++;
	return c;
}

void config_put(struct config *c)
{
	uint32_t i;

	if (!c || --c->refs)
		return;
	for (i = 0; i < c->account_n; i++) {
		free(c->account[i].share);
		free(c->account[i].key);
	}
	for (i = 0; i < c->service_n; i++)
		free(c->service[i].call);
	free(c->domain);
	free(c->account);
	free(c->model);
	free(c->endpoint);
	free(c->service);
	free(c->route);
	free(c->text);
	free(c);
}

/*
 * Returns the first of n items of size bytes whose name equals the argument, or
 * NULL. Every item must start with its name, a string.
 */
static const void *find(const void *items, uint32_t n, size_t size,
			const char *name)
{
	const char *p = items;
	uint32_t i;

	for (i = 0; i < n; i++, p += size)
		if (strcmp(p, name) == 0)
			return p;
	return NULL;
}

const struct config_account *config_find_account(const struct config *c,
						 const char *name)
{
	return find(c->account, c->account_n, sizeof(*c->account), name);
}

const struct config_model *config_find_model(const struct config *c,
					     const char *name)
{
	return find(c->model, c->model_n, sizeof(*c->model), name);
}

const struct config_service *config_find_service(const struct config *c,
						 const char *name)
{
	return find(c->service, c->service_n, sizeof(*c->service), name);
}

const struct config_endpoint *config_find_endpoint(const struct config *c,
						   const char *name)
{
	return find(c->endpoint, c->endpoint_n, sizeof(*c->endpoint), name);
}

const struct config_domain *config_find_domain(const struct config *c,
					       const char *name)
{
	return find(c->domain, c->domain_n, sizeof(*c->domain), name);
}

const struct config_route *config_find_route(const struct config *c,
					     const char *serves)
{
	return find(c->route, c->route_n, sizeof(*c->route), serves);
}

const struct config_call *config_find_call(const struct config_service *s,
					   const char *method, const char *path)
{
	const struct config_call *k;
	uint32_t i;

	for (i = 0; i < s->call_n; i++) {
		k = &s->call[i];
		if (strcmp(k->method, method) == 0 &&
		    strcmp(k->path, path) == 0)
			return k;
	}
	return NULL;
}

uint32_t config_share_ppm(const struct config_account *a, const char *domain)
{
	uint32_t i;

	for (i = 0; i < a->share_n; i++)
		if (strcmp(a->share[i].domain, domain) == 0)
			return a->share[i].ppm;
	return 0;
}
