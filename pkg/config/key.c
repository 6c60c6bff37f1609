#include "config.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#define KEY_PREFIX "fb_"
#define KEY_ID_RANDOM_BYTES 6
#define KEY_SECRET_RANDOM_BYTES 24

static void hash_key(const struct config_key *k, const char *text,
		     uint8_t hash[CONFIG_HASH_BYTES])
{
	crypto_generichash(hash, CONFIG_HASH_BYTES, (const uint8_t *)text,
			   strlen(text), k->salt, sizeof(k->salt));
}

void config_key_hex(const uint8_t *bytes, size_t n, char *out)
{
	sodium_bin2hex(out, 2 * n + 1, bytes, n);
}

int config_key_generate(char text[CONFIG_KEY_TEXT_BYTES], struct config_key *k)
{
	uint8_t random[KEY_SECRET_RANDOM_BYTES];
	char secret[2 * KEY_SECRET_RANDOM_BYTES + 1];

	if (sodium_init() < 0)
		return -EIO;
	memset(k, 0, sizeof(*k));
	randombytes_buf(random, KEY_ID_RANDOM_BYTES);
	config_key_hex(random, KEY_ID_RANDOM_BYTES, k->id);
	randombytes_buf(random, sizeof(random));
	config_key_hex(random, sizeof(random), secret);
	snprintf(text, CONFIG_KEY_TEXT_BYTES, KEY_PREFIX "%s_%s", k->id,
		 secret);
	randombytes_buf(k->salt, sizeof(k->salt));
	hash_key(k, text, k->hash);
	return 0;
}

/* Copies the id from a key's text "fb_ID_SECRET". Returns 0 or -EINVAL. */
static int parse_key_id(const char *text, char id[CONFIG_KEY_ID_BYTES])
{
	const char *end;
	size_t n;

	if (strncmp(text, KEY_PREFIX, strlen(KEY_PREFIX)))
		return -EINVAL;
	text += strlen(KEY_PREFIX);
	end = strchr(text, '_');
	n = end ? (size_t)(end - text) : 0;
	if (n == 0 || n >= CONFIG_KEY_ID_BYTES)
		return -EINVAL;
	memcpy(id, text, n);
	id[n] = '\0';
	return 0;
}

/* Returns the key with this id, and its owner in account; NULL if none. */
static const struct config_key *find_key(const struct config *c, const char *id,
					 const struct config_account **account)
{
	const struct config_account *a;
	uint32_t i, j;

	for (i = 0; i < c->account_n; i++) {
		a = &c->account[i];
		for (j = 0; j < a->key_n; j++) {
			if (strcmp(a->key[j].id, id))
				continue;
			*account = a;
			return &a->key[j];
		}
	}
	return NULL;
}

int config_key_verify(const struct config *c, const char *text,
		      const struct config_account **account)
{
	uint8_t hash[CONFIG_HASH_BYTES];
	char id[CONFIG_KEY_ID_BYTES];
	const struct config_account *a;
	const struct config_key *k;

	if (parse_key_id(text, id) < 0)
		return -EINVAL;
	k = find_key(c, id, &a);
	if (!k)
		return -ENOENT;
	hash_key(k, text, hash);
	if (sodium_memcmp(hash, k->hash, sizeof(hash)))
		return -ENOENT;
	if (k->withdrawn)
		return -EKEYREVOKED;
	*account = a;
	return 0;
}
