#include "config.h"
#include "check.h"

#include <errno.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#define RATE_MAX_TOKENS 1000000000LL
#define WEIGHT_MAX 10000

/*
 * Allocates zeroed memory for the items of an array member, each of size bytes,
 * and sets *n to their number: 0 if the member is missing or not an array.
 * Returns NULL if there are none or without memory.
 */
static void *alloc_array(struct jread_node *node, const char *key, size_t size,
			 struct jread_node *array, uint32_t *n)
{
	*n = 0;
	if (!jread_member(node, key, array))
		return NULL;
	*n = jread_count(array);
	if (!*n)
		return NULL;
	return calloc(*n, size);
}

/*
 * Returns the index of the member's value in a NULL-terminated list of names.
 * Returns 0 without an error if the member is missing, and 0 with an error for
 * any other value.
 */
static int read_enum(struct jread_node *node, const char *key,
		     const char *const *names)
{
	char expected[128] = "one of";
	char name[32];
	struct jread_node v;
	size_t n;
	int i;

	if (!jread_member(node, key, &v))
		return 0;
	jread_string(node, key, name, sizeof(name));
	for (i = 0; names[i]; i++)
		if (strcmp(name, names[i]) == 0)
			return i;
	for (i = 0; names[i]; i++) {
		n = strlen(expected);
		snprintf(expected + n, sizeof(expected) - n, " %s", names[i]);
	}
	jread_error_expected(&v, expected);
	return 0;
}

static void read_domain(struct jread_node *node, struct config_domain *d)
{
	static const char *const keys[] = {"name", "region", "state", NULL};
	static const char *const states[] = {"in-service", "withdrawn", NULL};

	jread_check_keys(node, keys);
	jread_string(node, "name", d->name, sizeof(d->name));
	jread_string_or(node, "region", "", d->region, sizeof(d->region));
	d->state = (enum config_domain_state)read_enum(node, "state", states);
}

/* Reads exactly n bytes, written as 2n hexadecimal digits. */
static void read_hex(struct jread_node *node, const char *key, uint8_t *out,
		     size_t n)
{
	char text[2 * CONFIG_HASH_BYTES + 1];
	struct jread_node v;
	size_t got = 0;

	jread_string(node, key, text, sizeof(text));
	if (sodium_hex2bin(out, n, text, strlen(text), NULL, &got, NULL) == 0 &&
	    got == n)
		return;
	if (jread_member(node, key, &v))
		jread_error_expected(&v, n == CONFIG_SALT_BYTES
						 ? "32 hex digits"
						 : "64 hex digits");
}

static void read_key(struct jread_node *node, struct config_key *k)
{
	static const char *const keys[] = {"id", "salt", "hash", "withdrawn",
					   NULL};

	jread_check_keys(node, keys);
	jread_string(node, "id", k->id, sizeof(k->id));
	read_hex(node, "salt", k->salt, sizeof(k->salt));
	read_hex(node, "hash", k->hash, sizeof(k->hash));
	k->withdrawn = jread_bool_or(node, "withdrawn", false);
}

static void read_share(struct jread_node *node, struct config_share *s)
{
	static const char *const keys[] = {"domain", "part", NULL};
	double part;

	jread_check_keys(node, keys);
	jread_string(node, "domain", s->domain, sizeof(s->domain));
	part = jread_double_or(node, "part", 0., 0., 1.);
	s->ppm = (uint32_t)lround(part * CONFIG_PPM);
}

static void read_account(struct jread_node *node, struct config_account *a)
{
	static const char *const keys[] = {
		"name",	  "weight", "rate_tokens_s",   "burst_tokens",
		"shares", "keys",   "stream_tokens_s", NULL};
	struct jread_node array, item;
	uint32_t i;

	jread_check_keys(node, keys);
	jread_string(node, "name", a->name, sizeof(a->name));
	a->weight = (uint32_t)jread_int_or(node, "weight", 1, 1, WEIGHT_MAX);
	a->rate_tokens_s =
		(uint64_t)jread_int(node, "rate_tokens_s", 1, RATE_MAX_TOKENS);
	a->burst_tokens =
		(uint64_t)jread_int(node, "burst_tokens", 1, RATE_MAX_TOKENS);
	a->stream_tokens_s =
		(uint32_t)jread_int_or(node, "stream_tokens_s", 40, 1, 10000);
	a->share = alloc_array(node, "shares", sizeof(*a->share), &array,
			       &a->share_n);
	for (i = 0; i < a->share_n && jread_item(&array, i, &item); i++)
		read_share(&item, &a->share[i]);
	a->key = alloc_array(node, "keys", sizeof(*a->key), &array, &a->key_n);
	for (i = 0; i < a->key_n && jread_item(&array, i, &item); i++)
		read_key(&item, &a->key[i]);
}

static void read_model(struct jread_node *node, struct config_model *m)
{
	static const char *const keys[] = {
		"name",		"output_max_tokens", "first_token_ms",
		"token_gap_ms", "objective",	     NULL};
	double objective;

	jread_check_keys(node, keys);
	jread_string(node, "name", m->name, sizeof(m->name));
	m->output_max_tokens = (uint32_t)jread_int_or(node, "output_max_tokens",
						      4096, 1, 1 << 20);
	m->first_token_ms =
		(uint32_t)jread_int_or(node, "first_token_ms", 1600, 1, 600000);
	m->token_gap_ms =
		(uint32_t)jread_int_or(node, "token_gap_ms", 40, 1, 60000);
	objective = jread_double_or(node, "objective", 0.95, 0., 1.);
	m->objective_ppm = (uint32_t)lround(objective * CONFIG_PPM);
}

static void read_endpoint(struct jread_node *node, struct config_endpoint *e)
{
	static const char *const keys[] = {"name",    "domain", "addr",
					   "serves",  "role",	"slots",
					   "pieces",  "fences", "link_kbytes_s",
					   "leaving", NULL};
	static const char *const roles[] = {"prefill", "decode", "service",
					    NULL};

	jread_check_keys(node, keys);
	jread_string(node, "name", e->name, sizeof(e->name));
	jread_string(node, "domain", e->domain, sizeof(e->domain));
	jread_string(node, "addr", e->addr, sizeof(e->addr));
	jread_string(node, "serves", e->serves, sizeof(e->serves));
	e->role = (enum config_role)read_enum(node, "role", roles);
	e->slots = (uint32_t)jread_int_or(node, "slots", 20, 1, 4096);
	e->pieces = (uint32_t)jread_int_or(node, "pieces", 80, 1, 1 << 20);
	e->link_kbytes_s = (uint32_t)jread_int_or(node, "link_kbytes_s",
						  10000000, 1, UINT32_MAX);
	e->fences = jread_bool_or(node, "fences", false);
	e->leaving = jread_bool_or(node, "leaving", false);
}

static void read_call(struct jread_node *node, struct config_call *k)
{
	static const char *const keys[] = {"method", "path", "repeatable",
					   NULL};

	jread_check_keys(node, keys);
	jread_string(node, "method", k->method, sizeof(k->method));
	jread_string(node, "path", k->path, sizeof(k->path));
	k->repeatable = jread_bool_or(node, "repeatable", false);
}

static void read_service(struct jread_node *node, struct config_service *s)
{
	static const char *const keys[] = {"name", "calls", NULL};
	struct jread_node array, item;
	uint32_t i;

	jread_check_keys(node, keys);
	jread_string(node, "name", s->name, sizeof(s->name));
	s->call = alloc_array(node, "calls", sizeof(*s->call), &array,
			      &s->call_n);
	for (i = 0; i < s->call_n && jread_item(&array, i, &item); i++)
		read_call(&item, &s->call[i]);
}

static void read_route(struct jread_node *node, struct config_route *r)
{
	static const char *const keys[] = {"serves", "account", NULL};

	jread_check_keys(node, keys);
	jread_string(node, "serves", r->serves, sizeof(r->serves));
	jread_string(node, "account", r->account, sizeof(r->account));
}

/* Allocates and reads all items of an array into c->member. */
#define READ_ARRAY(root, c, member, key, reader)                               \
	do {                                                                   \
		struct jread_node array, item;                                 \
		uint32_t i;                                                    \
                                                                               \
		(c)->member = alloc_array(root, key, sizeof(*(c)->member),     \
					  &array, &(c)->member##_n);           \
		for (i = 0; i < (c)->member##_n; i++)                          \
			if (jread_item(&array, i, &item))                      \
				reader(&item, &(c)->member[i]);                \
	} while (0)

static void read_config(struct jread_node *root, struct config *c)
{
	static const char *const keys[] = {"domains",	"accounts", "models",
					   "endpoints", "services", "routes",
					   NULL};

	jread_check_keys(root, keys);
	READ_ARRAY(root, c, domain, "domains", read_domain);
	READ_ARRAY(root, c, account, "accounts", read_account);
	READ_ARRAY(root, c, model, "models", read_model);
	READ_ARRAY(root, c, endpoint, "endpoints", read_endpoint);
	READ_ARRAY(root, c, service, "services", read_service);
	READ_ARRAY(root, c, route, "routes", read_route);
}

int config_parse(const char *text, size_t n, const char *name,
		 struct jread_errors *errors, struct config **out)
{
	uint32_t errors_before = errors->n;
	struct jread_node root;
	struct config *c;

	*out = NULL;
	if (jread_parse(text, n, name, errors, &root) < 0)
		return -EINVAL;
	c = calloc(1, sizeof(*c));
	if (!c) {
		json_object_put(root.value);
		return -ENOMEM;
	}
	c->refs = 1;
	read_config(&root, c);
	json_object_put(root.value);
	config_check(c, name, errors);
	c->text = strndup(text, n);
	c->text_n = n;
	if (errors->n == errors_before && c->text) {
		*out = c;
		return 0;
	}
	config_put(c);
	return -EINVAL;
}
