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
 * Makes room for the items of an array member. Returns their memory, zeroed, or
 * NULL; *n is 0 where the member is missing or is no array.
 */
static void *read_array(struct jread_node *at, const char *key, size_t size,
			struct jread_node *array, uint32_t *n)
{
	*n = 0;
	if (!jread_member(at, key, array))
		return NULL;
	*n = jread_count(array);
	if (!*n)
		return NULL;
	return calloc(*n, size);
}

/* Reads one of the words of a list, by its index; adds a fault otherwise. */
static int read_word(struct jread_node *at, const char *key,
		     const char *const *words)
{
	char expected[128] = "one of";
	char word[32];
	struct jread_node v;
	size_t n;
	int i;

	if (!jread_member(at, key, &v))
		return 0;
	jread_string(at, key, word, sizeof(word));
	for (i = 0; words[i]; i++)
		if (strcmp(word, words[i]) == 0)
			return i;
	for (i = 0; words[i]; i++) {
		n = strlen(expected);
		snprintf(expected + n, sizeof(expected) - n, " %s", words[i]);
	}
	jread_error_expected(&v, expected);
	return 0;
}

static void read_domain(struct jread_node *at, struct config_domain *d)
{
	static const char *const keys[] = {"name", "region", "state", NULL};
	static const char *const states[] = {"in-service", "withdrawn", NULL};

	jread_check_keys(at, keys);
	jread_string(at, "name", d->name, sizeof(d->name));
	jread_string_or(at, "region", "", d->region, sizeof(d->region));
	d->state = (enum config_domain_state)read_word(at, "state", states);
}

static void read_hex(struct jread_node *at, const char *key, uint8_t *out,
		     size_t n)
{
	char text[2 * CONFIG_HASH_BYTES + 1];
	struct jread_node v;
	size_t got = 0;

	jread_string(at, key, text, sizeof(text));
	if (sodium_hex2bin(out, n, text, strlen(text), NULL, &got, NULL) == 0 &&
	    got == n)
		return;
	if (jread_member(at, key, &v))
		jread_error_expected(&v, n == CONFIG_SALT_BYTES
						 ? "32 hex digits"
						 : "64 hex digits");
}

static void read_key(struct jread_node *at, struct config_key *k)
{
	static const char *const keys[] = {"id", "salt", "hash", "withdrawn",
					   NULL};

	jread_check_keys(at, keys);
	jread_string(at, "id", k->id, sizeof(k->id));
	read_hex(at, "salt", k->salt, sizeof(k->salt));
	read_hex(at, "hash", k->hash, sizeof(k->hash));
	k->withdrawn = jread_bool_or(at, "withdrawn", false);
}

static void read_share(struct jread_node *at, struct config_share *s)
{
	static const char *const keys[] = {"domain", "part", NULL};
	double part;

	jread_check_keys(at, keys);
	jread_string(at, "domain", s->domain, sizeof(s->domain));
	part = jread_double_or(at, "part", 0., 0., 1.);
	s->ppm = (uint32_t)lround(part * CONFIG_PPM);
}

static void read_account(struct jread_node *at, struct config_account *a)
{
	static const char *const keys[] = {
		"name",	  "weight", "rate_tokens_s",   "burst_tokens",
		"shares", "keys",   "stream_tokens_s", NULL};
	struct jread_node array, item;
	uint32_t i;

	jread_check_keys(at, keys);
	jread_string(at, "name", a->name, sizeof(a->name));
	a->weight = (uint32_t)jread_int_or(at, "weight", 1, 1, WEIGHT_MAX);
	a->rate_tokens_s =
		(uint64_t)jread_int(at, "rate_tokens_s", 1, RATE_MAX_TOKENS);
	a->burst_tokens =
		(uint64_t)jread_int(at, "burst_tokens", 1, RATE_MAX_TOKENS);
	a->stream_tokens_s =
		(uint32_t)jread_int_or(at, "stream_tokens_s", 40, 1, 10000);
	a->share = read_array(at, "shares", sizeof(*a->share), &array,
			      &a->share_n);
	for (i = 0; i < a->share_n && jread_item(&array, i, &item); i++)
		read_share(&item, &a->share[i]);
	a->key = read_array(at, "keys", sizeof(*a->key), &array, &a->key_n);
	for (i = 0; i < a->key_n && jread_item(&array, i, &item); i++)
		read_key(&item, &a->key[i]);
}

static void read_model(struct jread_node *at, struct config_model *m)
{
	static const char *const keys[] = {
		"name",		"output_max_tokens", "first_token_ms",
		"token_gap_ms", "objective",	     NULL};
	double objective;

	jread_check_keys(at, keys);
	jread_string(at, "name", m->name, sizeof(m->name));
	m->output_max_tokens = (uint32_t)jread_int_or(at, "output_max_tokens",
						      4096, 1, 1 << 20);
	m->first_token_ms =
		(uint32_t)jread_int_or(at, "first_token_ms", 1600, 1, 600000);
	m->token_gap_ms =
		(uint32_t)jread_int_or(at, "token_gap_ms", 40, 1, 60000);
	objective = jread_double_or(at, "objective", 0.95, 0., 1.);
	m->objective_ppm = (uint32_t)lround(objective * CONFIG_PPM);
}

static void read_endpoint(struct jread_node *at, struct config_endpoint *e)
{
	static const char *const keys[] = {"name",    "domain", "addr",
					   "serves",  "role",	"slots",
					   "pieces",  "fences", "link_kbytes_s",
					   "leaving", NULL};
	static const char *const roles[] = {"prefill", "decode", "service",
					    NULL};

	jread_check_keys(at, keys);
	jread_string(at, "name", e->name, sizeof(e->name));
	jread_string(at, "domain", e->domain, sizeof(e->domain));
	jread_string(at, "addr", e->addr, sizeof(e->addr));
	jread_string(at, "serves", e->serves, sizeof(e->serves));
	e->role = (enum config_role)read_word(at, "role", roles);
	e->slots = (uint32_t)jread_int_or(at, "slots", 20, 1, 4096);
	e->pieces = (uint32_t)jread_int_or(at, "pieces", 80, 1, 1 << 20);
	e->link_kbytes_s = (uint32_t)jread_int_or(at, "link_kbytes_s", 10000000,
						  1, UINT32_MAX);
	e->fences = jread_bool_or(at, "fences", false);
	e->leaving = jread_bool_or(at, "leaving", false);
}

static void read_call(struct jread_node *at, struct config_call *k)
{
	static const char *const keys[] = {"method", "path", "repeatable",
					   NULL};

	jread_check_keys(at, keys);
	jread_string(at, "method", k->method, sizeof(k->method));
	jread_string(at, "path", k->path, sizeof(k->path));
	k->repeatable = jread_bool_or(at, "repeatable", false);
}

static void read_service(struct jread_node *at, struct config_service *s)
{
	static const char *const keys[] = {"name", "calls", NULL};
	struct jread_node array, item;
	uint32_t i;

	jread_check_keys(at, keys);
	jread_string(at, "name", s->name, sizeof(s->name));
	s->call = read_array(at, "calls", sizeof(*s->call), &array, &s->call_n);
	for (i = 0; i < s->call_n && jread_item(&array, i, &item); i++)
		read_call(&item, &s->call[i]);
}

static void read_route(struct jread_node *at, struct config_route *r)
{
	static const char *const keys[] = {"serves", "account", NULL};

	jread_check_keys(at, keys);
	jread_string(at, "serves", r->serves, sizeof(r->serves));
	jread_string(at, "account", r->account, sizeof(r->account));
}

/* Reads every item of one array of the declarations. */
#define READ_ALL(root, c, member, key, reader)                                 \
	do {                                                                   \
		struct jread_node array, item;                                 \
		uint32_t i;                                                    \
                                                                               \
		(c)->member = read_array(root, key, sizeof(*(c)->member),      \
					 &array, &(c)->member##_n);            \
		for (i = 0; i < (c)->member##_n; i++)                          \
			if (jread_item(&array, i, &item))                      \
				reader(&item, &(c)->member[i]);                \
	} while (0)

static void read_whole(struct jread_node *root, struct config *c)
{
	static const char *const keys[] = {"domains",	"accounts", "models",
					   "endpoints", "services", "routes",
					   NULL};

	jread_check_keys(root, keys);
	READ_ALL(root, c, domain, "domains", read_domain);
	READ_ALL(root, c, account, "accounts", read_account);
	READ_ALL(root, c, model, "models", read_model);
	READ_ALL(root, c, endpoint, "endpoints", read_endpoint);
	READ_ALL(root, c, service, "services", read_service);
	READ_ALL(root, c, route, "routes", read_route);
}

/*
 * Reads and checks declarations. On success *out holds one reference that the
 * caller gives back. Returns 0, -ENOMEM, or -EINVAL with every fault added.
 */
int config_parse(const char *text, size_t n, const char *name,
		 struct jread_errors *faults, struct config **out)
{
	uint32_t before = faults->n;
	struct jread_node root;
	struct config *c;

	*out = NULL;
	if (jread_parse(text, n, name, faults, &root) < 0)
		return -EINVAL;
	c = calloc(1, sizeof(*c));
	if (!c) {
		json_object_put(root.value);
		return -ENOMEM;
	}
	c->refs = 1;
	read_whole(&root, c);
	json_object_put(root.value);
	config_check(c, name, faults);
	c->text = strndup(text, n);
	c->text_n = n;
	if (faults->n == before && c->text) {
		*out = c;
		return 0;
	}
	config_put(c);
	return -EINVAL;
}
