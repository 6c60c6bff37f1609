#include "claim.h"

#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "jread.h"

#define HASH_BYTES 16
#define UUID_CHARS 36
#define UUID_VERSION_INDEX 14
#define CLOCK_ERROR_MS (60LL * 1000) /* between any two clocks */
#define READ_MAX_MS (60LL * 1000) /* from checking a key to reading its claim */

static const char *const kind_names[CLAIM_RECORD_KINDS] = {"claim", "outcome",
							   "given-up"};

/*
 * Writes a hash of a list of strings that ends with NULL. Their terminators are
 * hashed too, so that {"a", "bc"} differs from {"ab", "c"}.
 */
static void hash_strings(const char *const *strings, char out[CLAIM_ID_BYTES])
{
	uint8_t hash[HASH_BYTES];
	crypto_generichash_state st;

	crypto_generichash_init(&st, NULL, 0, sizeof(hash));
	for (; *strings; strings++)
		crypto_generichash_update(&st, (const uint8_t *)*strings,
					  strlen(*strings) + 1);
	crypto_generichash_final(&st, hash, sizeof(hash));
	sodium_bin2hex(out, CLAIM_ID_BYTES, hash, sizeof(hash));
}

void claim_make_id(const char *account, const char *key,
		   char id[CLAIM_ID_BYTES])
{
	const char *const strings[] = {account, key, NULL};

	hash_strings(strings, id);
}

void claim_hash_call(const char *method, const char *path, const char *body,
		     size_t body_n, char hash[CLAIM_ID_BYTES])
{
	char body_hex[CLAIM_ID_BYTES];
	const char *const strings[] = {method, path, body_hex, NULL};
	uint8_t h[HASH_BYTES];

	crypto_generichash(h, sizeof(h), (const uint8_t *)body, body_n, NULL,
			   0);
	sodium_bin2hex(body_hex, sizeof(body_hex), h, sizeof(h));
	hash_strings(strings, hash);
}

void claim_make_nonce(char nonce[CLAIM_NONCE_BYTES])
{
	uint8_t bytes[HASH_BYTES];

	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2hex(nonce, CLAIM_NONCE_BYTES, bytes, sizeof(bytes));
}

/* Returns the Unix time of a version 7 UUID in milliseconds; -1 for others. */
static int64_t uuid7_time_ms(const char *key)
{
	int64_t ms = 0;
	char digit;
	int i;

	if (strlen(key) != UUID_CHARS || key[UUID_VERSION_INDEX] != '7')
		return -1;
	for (i = 0; i < UUID_CHARS; i++) {
		if (i == 8 || i == 13 || i == 18 || i == 23) {
			if (key[i] != '-')
				return -1;
			continue;
		}
		if (!isxdigit((unsigned char)key[i]))
			return -1;
		/* The first 12 digits (48 bits) are the time. */
		digit = (char)tolower((unsigned char)key[i]);
		if (i < 13)
			ms = ms * 16 +
			     (digit <= '9' ? digit - '0' : digit - 'a' + 10);
	}
	return ms;
}

enum claim_key_validity claim_check_key(const char *key, int64_t wall_ms,
					int64_t retention_ms)
{
	int64_t ms = uuid7_time_ms(key);

	if (ms < 0)
		return CLAIM_KEY_OPAQUE;
	if (ms > wall_ms + CLOCK_ERROR_MS)
		return CLAIM_KEY_IN_FUTURE;
	/* Errors of the caller's and of the log's clock add up. */
	if (ms < wall_ms - retention_ms + 2 * CLOCK_ERROR_MS + READ_MAX_MS)
		return CLAIM_KEY_EXPIRED;
	return CLAIM_KEY_VALID;
}

static void add_string(struct json_object *o, const char *key, const char *s)
{
	json_object_object_add(o, key, json_object_new_string(s));
}

static struct json_object *record_object(const struct claim_record *r)
{
	struct json_object *o = json_object_new_object();

	add_string(o, "kind", kind_names[r->kind]);
	add_string(o, "id", r->id);
	add_string(o, "nonce", r->nonce);
	if (r->kind == CLAIM_RECORD_GIVEN_UP)
		return o;
	add_string(o, "call", r->call_hash);
	if (r->kind == CLAIM_RECORD_CLAIM)
		return o;
	json_object_object_add(o, "status", json_object_new_int64(r->status));
	add_string(o, "body", r->body ? r->body : "");
	return o;
}

char *claim_encode(const char *host, const struct claim_record *r, uint32_t n)
{
	struct json_object *root = json_object_new_object();
	struct json_object *array = json_object_new_array();
	uint32_t i;
	char *s;

	add_string(root, "host", host);
	for (i = 0; i < n; i++)
		json_object_array_add(array, record_object(&r[i]));
	json_object_object_add(root, "records", array);
	s = strdup(
		json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
	return s;
}

static int parse_kind(const char *name)
{
	int i;

	for (i = 0; i < CLAIM_RECORD_KINDS; i++)
		if (strcmp(kind_names[i], name) == 0)
			return i;
	return -EBADMSG;
}

static void decode_record(struct jread_node *at, const char *host,
			  claim_record_fn visit, void *ctx)
{
	struct claim_record r = {.body = ""};
	struct jread_node body;
	char kind[16];

	jread_string(at, "kind", kind, sizeof(kind));
	jread_string(at, "id", r.id, sizeof(r.id));
	jread_string(at, "nonce", r.nonce, sizeof(r.nonce));
	jread_string_or(at, "call", "", r.call_hash, sizeof(r.call_hash));
	r.status = (uint32_t)jread_int_or(at, "status", 0, 0, 999);
	if (jread_member(at, "body", &body))
		r.body = json_object_get_string(body.value);
	if (at->errors->n || parse_kind(kind) < 0)
		return;
	r.kind = (enum claim_record_kind)parse_kind(kind);
	snprintf(r.host, sizeof(r.host), "%s", host);
	visit(ctx, &r);
}

int claim_decode(const char *text, size_t n, claim_record_fn visit, void *ctx)
{
	struct jread_errors errors;
	struct jread_node root, array, item;
	char host[CLAIM_HOST_BYTES];
	int r = -EBADMSG;
	uint32_t i;

	jread_errors_init(&errors);
	if (jread_parse(text, n, "claims", &errors, &root) < 0)
		goto out;
	jread_string_or(&root, "host", "", host, sizeof(host));
	if (jread_member(&root, "records", &array)) {
		r = 0;
		for (i = 0; jread_item(&array, i, &item); i++) {
			jread_errors_free(&errors);
			jread_errors_init(&errors);
			decode_record(&item, host, visit, ctx);
		}
	}
	json_object_put(root.value);
out:
	jread_errors_free(&errors);
	return r;
}
