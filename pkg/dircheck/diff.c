#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "dircheck.h"
#include "namehash.h"

/* Longest text of a list in a finding; a longer list is cut. */
#define LIST_BYTES 120

/* The entry that is compared, and where its differences go. */
struct entry {
	struct dircheck_list *out;
	const char *part;
	const char *name;
};

static void compare_number(const struct entry *e, const char *field,
			   double before, double after)
{
	if (before != after)
		dircheck_add(e->out, DIRCHECK_CHANGE, e->part, e->name,
			     "%s changed from %.10g to %.10g", field, before,
			     after);
}

static void compare_text(const struct entry *e, const char *field,
			 const char *before, const char *after)
{
	if (strcmp(before, after) != 0)
		dircheck_add(e->out, DIRCHECK_CHANGE, e->part, e->name,
			     "%s changed from %.120s to %.120s", field,
			     *before ? before : "(none)",
			     *after ? after : "(none)");
}

static const char *regions_text(char out[LIST_BYTES],
				const char region[][CALL_NAME_BYTES],
				uint32_t n)
{
	size_t used = 0;
	uint32_t i;

	out[0] = '\0';
	for (i = 0; i < n && used < LIST_BYTES; i++)
		used += (size_t)snprintf(out + used, LIST_BYTES - used, "%s%s",
					 i ? "," : "", region[i]);
	return out;
}

static void compare_regions(const struct entry *e,
			    const char before[][CALL_NAME_BYTES],
			    uint32_t n_before,
			    const char after[][CALL_NAME_BYTES],
			    uint32_t n_after)
{
	char from[LIST_BYTES], to[LIST_BYTES];

	if (n_before == n_after &&
	    memcmp(before, after, n_after * sizeof(before[0])) == 0)
		return;
	dircheck_add(e->out, DIRCHECK_CHANGE, e->part, e->name,
		     "regions changed from %s to %s",
		     n_before ? regions_text(from, before, n_before) : "all",
		     n_after ? regions_text(to, after, n_after) : "all");
}

static const char *split_text(char out[LIST_BYTES],
			      const struct directory_route *r)
{
	size_t used = 0;
	uint32_t i;

	out[0] = '\0';
	for (i = 0; i < r->n_split && used < LIST_BYTES; i++)
		used += (size_t)snprintf(out + used, LIST_BYTES - used,
					 "%s%s:%u", i ? "," : "",
					 r->split[i].service,
					 r->split[i].weight);
	return out;
}

static void compare_split(const struct entry *e,
			  const struct directory_route *a,
			  const struct directory_route *b)
{
	char from[LIST_BYTES], to[LIST_BYTES];
	bool same = a->n_split == b->n_split;
	uint32_t i;

	for (i = 0; same && i < a->n_split; i++)
		same = a->split[i].weight == b->split[i].weight &&
		       strcmp(a->split[i].service, b->split[i].service) == 0;
	if (!same)
		dircheck_add(e->out, DIRCHECK_CHANGE, e->part, e->name,
			     "split changed from %s to %s", split_text(from, a),
			     split_text(to, b));
}

static void compare_route(const struct entry *e,
			  const struct directory_route *a,
			  const struct directory_route *b)
{
	static const char *const kinds[] = {
		[CALL_IDEMPOTENT] = "idempotent",
		[CALL_NON_IDEMPOTENT] = "non-idempotent",
		[CALL_STREAM] = "streaming",
	};

	compare_text(e, "name", a->name, b->name);
	compare_text(e, "kind", kinds[a->kind], kinds[b->kind]);
	compare_number(e, "resumable", a->resumable, b->resumable);
	compare_number(e, "anonymous", a->anonymous, b->anonymous);
	compare_number(e, "session affinity", a->session_affinity,
		       b->session_affinity);
	compare_number(e, "time-out in ms", a->timeout_ms, b->timeout_ms);
	compare_number(e, "latency target in ms", a->target_latency_ms,
		       b->target_latency_ms);
	compare_number(e, "gap target in ms", a->target_gap_ms,
		       b->target_gap_ms);
	compare_number(e, "attempts", a->attempts_max, b->attempts_max);
	compare_number(e, "priority", a->priority, b->priority);
	compare_split(e, a, b);
	compare_regions(e, a->region, a->n_regions, b->region, b->n_regions);
}

/* Finds the route that has the host and path prefix of r. */
static const struct directory_route *find_route(const struct directory *d,
						const struct directory_route *r)
{
	uint32_t i;

	for (i = 0; i < d->n_routes; i++)
		if (strcmp(d->route[i].path_prefix, r->path_prefix) == 0 &&
		    strcasecmp(d->route[i].host, r->host) == 0)
			return &d->route[i];
	return NULL;
}

static void report_removed_route(const struct directory *after,
				 const struct directory_route *r,
				 const struct entry *e)
{
	const struct directory_route *next =
		directory_find_route(after, r->host, r->path_prefix);

	if (next)
		dircheck_add(e->out, DIRCHECK_CHANGE, e->part, e->name,
			     "removed; its requests go to %.250s",
			     next->path_prefix);
	else
		dircheck_add(e->out, DIRCHECK_CHANGE, e->part, e->name,
			     "removed; its requests get 404");
}

static void compare_routes(const struct directory *a, const struct directory *b,
			   struct dircheck_list *out)
{
	const struct directory_route *r;
	char name[sizeof(r->host) + sizeof(r->path_prefix)];
	struct entry e = {out, "route", name};
	uint32_t i;

	for (i = 0; i < a->n_routes; i++) {
		snprintf(name, sizeof(name), "%s%s", a->route[i].host,
			 a->route[i].path_prefix);
		r = find_route(b, &a->route[i]);
		if (r)
			compare_route(&e, &a->route[i], r);
		else
			report_removed_route(b, &a->route[i], &e);
	}
	for (i = 0; i < b->n_routes; i++) {
		if (find_route(a, &b->route[i]))
			continue;
		snprintf(name, sizeof(name), "%s%s", b->route[i].host,
			 b->route[i].path_prefix);
		dircheck_add(out, DIRCHECK_CHANGE, "route", name, "added");
	}
}

static void compare_services(const struct directory *a,
			     const struct directory *b,
			     struct dircheck_list *out)
{
	const struct directory_service *s, *t;
	struct entry e = {out, "service", NULL};
	uint32_t i;

	for (i = 0; i < a->n_services; i++) {
		s = &a->service[i];
		t = directory_find_service(b, s->name);
		e.name = s->name;
		if (!t) {
			dircheck_add(out, DIRCHECK_CHANGE, "service", s->name,
				     "removed");
			continue;
		}
		compare_number(&e, "cold requests per s",
			       s->cold_requests_per_s, t->cold_requests_per_s);
		compare_number(&e, "engine", s->engine.present,
			       t->engine.present);
		compare_number(&e, "engine memory in tokens",
			       s->engine.kv_capacity_tokens,
			       t->engine.kv_capacity_tokens);
		compare_number(&e, "longest reservation in ms",
			       s->engine.reservation_max_ms,
			       t->engine.reservation_max_ms);
		compare_number(&e, "tokens per event",
			       s->engine.tokens_per_event,
			       t->engine.tokens_per_event);
	}
	for (i = 0; i < b->n_services; i++)
		if (!directory_find_service(a, b->service[i].name))
			dircheck_add(out, DIRCHECK_CHANGE, "service",
				     b->service[i].name, "added");
}

static const struct directory_account *find_account(const struct directory *d,
						    const char *name)
{
	uint32_t i;

	for (i = 0; i < d->n_accounts; i++)
		if (strcmp(d->account[i].name, name) == 0)
			return &d->account[i];
	return NULL;
}

static void compare_accounts(const struct directory *a,
			     const struct directory *b,
			     struct dircheck_list *out)
{
	const struct directory_account *s, *t;
	struct entry e = {out, "account", NULL};
	uint32_t i;

	for (i = 0; i < a->n_accounts; i++) {
		s = &a->account[i];
		t = find_account(b, s->name);
		e.name = s->name;
		if (!t) {
			dircheck_add(out, DIRCHECK_CHANGE, "account", s->name,
				     "removed");
			continue;
		}
		compare_number(&e, "priority", s->priority, t->priority);
		compare_number(&e, "rate per s", s->rate_per_s, t->rate_per_s);
		compare_number(&e, "burst", s->burst, t->burst);
		compare_text(&e, "unit",
			     s->limit_in_tokens ? "tokens" : "requests",
			     t->limit_in_tokens ? "tokens" : "requests");
		compare_number(&e, "default cost in tokens",
			       s->default_cost_tokens, t->default_cost_tokens);
		compare_regions(&e, s->region, s->n_regions, t->region,
				t->n_regions);
	}
	for (i = 0; i < b->n_accounts; i++)
		if (!find_account(a, b->account[i].name))
			dircheck_add(out, DIRCHECK_CHANGE, "account",
				     b->account[i].name, "added");
}

static void compare_keys(const struct directory *a, const struct directory *b,
			 struct dircheck_list *out)
{
	const struct directory_account *from, *to;
	uint32_t i;

	for (i = 0; i < a->n_keys; i++) {
		from = &a->account[a->key[i].account];
		to = directory_find_account(b, a->key[i].key);
		if (to && strcmp(from->name, to->name) == 0)
			continue;
		dircheck_add(out, DIRCHECK_CHANGE, "account", from->name,
			     to ? "key %08x moved to account %s"
				: "key %08x withdrawn, its requests are "
				  "refused%s",
			     (uint32_t)(namehash(a->key[i].key) >> 32),
			     to ? to->name : "");
	}
	for (i = 0; i < b->n_keys; i++)
		if (!directory_find_account(a, b->key[i].key))
			dircheck_add(out, DIRCHECK_CHANGE, "account",
				     b->account[b->key[i].account].name,
				     "key %08x added",
				     (uint32_t)(namehash(b->key[i].key) >> 32));
}

void dircheck_compare(const struct directory *before,
		      const struct directory *after, struct dircheck_list *out)
{
	const struct directory_limits *a = &before->limits, *b = &after->limits;
	struct entry e = {out, "limits", "callers"};

	compare_routes(before, after, out);
	compare_services(before, after, out);
	compare_accounts(before, after, out);
	compare_keys(before, after, out);
	compare_number(&e, "header bytes", a->header_max_bytes,
		       b->header_max_bytes);
	compare_number(&e, "body bytes", a->body_max_bytes, b->body_max_bytes);
	compare_number(&e, "header time-out in ms", a->header_timeout_ms,
		       b->header_timeout_ms);
	compare_number(&e, "idle time-out in ms", a->idle_timeout_ms,
		       b->idle_timeout_ms);
}
