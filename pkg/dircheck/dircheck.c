#include "dircheck.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "namehash.h"

/* A stream needs a second endpoint to be resumed. */
#define RESUME_ATTEMPTS_MIN 2
/* The smallest host has 88 MB, an eighth of it for buffered responses. */
#define BODY_MAX_BYTES (88u * 1024 * 1024 / 8)

void dircheck_add(struct dircheck_list *out, enum dircheck_severity severity,
		  const char *part, const char *name, const char *format, ...)
{
	struct dircheck_finding *f;
	va_list ap;

	if (out->n >= out->capacity) {
		out->dropped++;
		return;
	}
	f = &out->finding[out->n++];
	f->severity = severity;
	snprintf(f->path, sizeof(f->path), "%s[%.300s]", part, name);
	va_start(ap, format);
	vsnprintf(f->text, sizeof(f->text), format, ap);
	va_end(ap);
}

/* Writes the index as text, to be a name in a path. */
static const char *index_text(uint32_t i, char out[16])
{
	snprintf(out, 16, "%u", i);
	return out;
}

static bool share_region(const struct directory_route *r,
			 const struct directory_account *a)
{
	uint32_t i, k;

	for (i = 0; i < r->n_regions; i++)
		for (k = 0; k < a->n_regions; k++)
			if (strcmp(r->region[i], a->region[k]) == 0)
				return true;
	return !r->n_regions || !a->n_regions;
}

/* Checks whether requests can reach the route at all. */
static void check_reach(const struct directory *d, uint32_t at,
			struct dircheck_list *out)
{
	const struct directory_route *r = &d->route[at];
	char name[16];
	uint32_t i;

	index_text(at, name);
	if (r->path_prefix[0] != '/')
		dircheck_add(out, DIRCHECK_ERROR, "route", name,
			     "path prefix does not begin with a slash and "
			     "never matches");
	if (!r->host[0])
		dircheck_add(out, DIRCHECK_ERROR, "route", name,
			     "host is empty and never matches");
	for (i = 0; i < at; i++) {
		if (strcmp(d->route[i].path_prefix, r->path_prefix) != 0 ||
		    strcasecmp(d->route[i].host, r->host) != 0)
			continue;
		dircheck_add(out, DIRCHECK_ERROR, "route", name,
			     "never matches: route[%u] has the same host and "
			     "path prefix",
			     i);
		break;
	}
	if (r->anonymous || !d->n_accounts)
		return;
	for (i = 0; i < d->n_accounts; i++)
		if (share_region(r, &d->account[i]))
			return;
	dircheck_add(out, DIRCHECK_ERROR, "route", name,
		     "its regions exclude those of every account");
}

static void check_split(const struct directory *d, uint32_t at,
			struct dircheck_list *out)
{
	const struct directory_route *r = &d->route[at];
	const struct directory_service *s;
	uint64_t sum = 0;
	char name[16];
	uint32_t i;

	index_text(at, name);
	for (i = 0; i < r->n_split; i++) {
		sum += r->split[i].weight;
		s = directory_find_service(d, r->split[i].service);
		if (!s)
			dircheck_add(out, DIRCHECK_ERROR, "route", name,
				     "service %s is absent",
				     r->split[i].service);
		else if (r->kind == CALL_STREAM && !s->engine.present)
			dircheck_add(out, DIRCHECK_ERROR, "route", name,
				     "streams need a model engine, which "
				     "service %s has not",
				     s->name);
	}
	if (!sum)
		dircheck_add(out, DIRCHECK_ERROR, "route", name,
			     "all weights of its split are 0");
	for (i = 0; sum && i < r->n_split; i++)
		if (!r->split[i].weight)
			dircheck_add(out, DIRCHECK_WARNING, "route", name,
				     "service %s has weight 0",
				     r->split[i].service);
}

static void check_route(const struct directory *d, uint32_t at,
			struct dircheck_list *out)
{
	const struct directory_route *r = &d->route[at];
	char name[16];

	index_text(at, name);
	check_reach(d, at, out);
	check_split(d, at, out);
	if (r->timeout_ms && r->timeout_ms < r->target_latency_ms)
		dircheck_add(out, DIRCHECK_ERROR, "route", name,
			     "time-out of %u ms is below the latency target of "
			     "%u ms",
			     r->timeout_ms, r->target_latency_ms);
	if (r->resumable && r->attempts_max < RESUME_ATTEMPTS_MIN)
		dircheck_add(out, DIRCHECK_ERROR, "route", name,
			     "resumable with %u attempts, a resume needs %d",
			     r->attempts_max, RESUME_ATTEMPTS_MIN);
}

static void check_service(const struct directory *d, uint32_t at,
			  struct dircheck_list *out)
{
	char name[16];
	uint32_t i;

	for (i = 0; i < at; i++) {
		if (strcmp(d->service[i].name, d->service[at].name) != 0)
			continue;
		dircheck_add(out, DIRCHECK_ERROR, "service",
			     index_text(at, name),
			     "unused: service[%u] has the same name %s", i,
			     d->service[i].name);
		return;
	}
}

/* Returns the memory of the largest model engine, 0 if there is none. */
static uint32_t largest_engine(const struct directory *d)
{
	uint32_t i, most = 0;

	for (i = 0; i < d->n_services; i++)
		if (d->service[i].engine.kv_capacity_tokens > most)
			most = d->service[i].engine.kv_capacity_tokens;
	return most;
}

static void check_rate(const struct directory_account *a, const char *name,
		       uint32_t engine_tokens, struct dircheck_list *out)
{
	if (a->rate_per_s > 0 && a->burst < 1)
		dircheck_add(out, DIRCHECK_ERROR, "account", name,
			     "burst of %g is below one request", a->burst);
	else if (a->rate_per_s > 0 && a->limit_in_tokens &&
		 a->burst < a->default_cost_tokens)
		dircheck_add(out, DIRCHECK_ERROR, "account", name,
			     "burst of %g tokens is below the %u of a request "
			     "that declares none",
			     a->burst, a->default_cost_tokens);
	if (a->limit_in_tokens && engine_tokens &&
	    a->default_cost_tokens > engine_tokens)
		dircheck_add(out, DIRCHECK_WARNING, "account", name,
			     "a request that declares no tokens is charged %u, "
			     "the largest engine holds %u",
			     a->default_cost_tokens, engine_tokens);
}

static void check_account(const struct directory *d, uint32_t at,
			  uint32_t engine_tokens, bool has_key,
			  struct dircheck_list *out)
{
	const struct directory_account *a = &d->account[at];
	char name[16];
	uint32_t i;

	index_text(at, name);
	for (i = 0; i < at; i++) {
		if (strcmp(d->account[i].name, a->name) != 0)
			continue;
		dircheck_add(out, DIRCHECK_ERROR, "account", name,
			     "account[%u] has the same name %s", i, a->name);
		break;
	}
	if (!has_key)
		dircheck_add(out, DIRCHECK_ERROR, "account", name,
			     "account %s has no keys", a->name);
	check_rate(a, name, engine_tokens, out);
	for (i = 0; i < d->n_routes; i++)
		if (share_region(&d->route[i], a))
			return;
	if (d->n_routes)
		dircheck_add(out, DIRCHECK_ERROR, "account", name,
			     "its regions exclude those of every route");
}

static bool account_has_key(const struct directory *d, uint32_t account)
{
	uint32_t i;

	for (i = 0; i < d->n_keys; i++)
		if (d->key[i].account == account)
			return true;
	return false;
}

static void check_keys(const struct directory *d, struct dircheck_list *out)
{
	const struct directory_key *k = d->key;
	char name[16];
	uint32_t i;

	for (i = 1; i < d->n_keys; i++)
		if (strcmp(k[i - 1].key, k[i].key) == 0)
			dircheck_add(out,
				     k[i - 1].account == k[i].account
					     ? DIRCHECK_WARNING
					     : DIRCHECK_ERROR,
				     "account", index_text(k[i].account, name),
				     "key %08x is also in account[%u]",
				     (uint32_t)(namehash(k[i].key) >> 32),
				     k[i - 1].account);
}

void dircheck_check(const struct directory *d, struct dircheck_list *out)
{
	uint32_t i, engine_tokens = largest_engine(d);

	for (i = 0; i < d->n_routes; i++)
		check_route(d, i, out);
	for (i = 0; i < d->n_services; i++)
		check_service(d, i, out);
	for (i = 0; i < d->n_accounts; i++)
		check_account(d, i, engine_tokens, account_has_key(d, i), out);
	check_keys(d, out);
	if (d->limits.body_max_bytes > BODY_MAX_BYTES)
		dircheck_add(out, DIRCHECK_ERROR, "limits", "body",
			     "limit of %u bytes is above the %u that the "
			     "smallest host may hold",
			     d->limits.body_max_bytes, BODY_MAX_BYTES);
}
