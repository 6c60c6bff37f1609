#include "settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FILE_MAX_BYTES (16U << 20)
#define SECRET_ENV "FIGBEND_SECRET"

#define STRING(k, default_text, description)                                   \
	{                                                                      \
#k, SETTINGS_STRING, offsetof(struct settings, k),             \
			sizeof(((struct settings *)0)->k), default_text, 0, 0, \
			0, "", description                                     \
	}
#define ADDR(k, default_text, description)                                     \
	{                                                                      \
#k, SETTINGS_ADDR, offsetof(struct settings, k),               \
			sizeof(((struct settings *)0)->k), default_text, 0, 0, \
			0, "IP:PORT", description                              \
	}
#define NUMBER(k, default_number, min, max, unit, description)                 \
	{                                                                      \
#k, SETTINGS_NUMBER, offsetof(struct settings, k), 0, NULL,    \
			default_number, min, max, unit, description            \
	}

const struct settings_entry settings_table[] = {
	STRING(host, NULL, "name of this host, unique over all domains"),
	STRING(domain, NULL, "failure domain of this host"),
	STRING(region, "", "region of the failure domain"),
	ADDR(caller_addr, NULL, "where callers connect"),
	ADDR(admin_addr, NULL, "health, metrics and reports"),
	ADDR(peer_addr, NULL, "where other hosts send messages"),
	STRING(platform_url, NULL, "the platform's log and host list"),
	STRING(secret_file, "",
	       "file of the hosts' shared secret; empty: " SECRET_ENV),
	STRING(tls_certificate_file, "", "PEM chain for caller_addr"),
	STRING(tls_key_file, "", "PEM key for caller_addr"),
	NUMBER(connections_max, 4096, 16, 65536, "connections",
	       "open caller connections"),
	NUMBER(body_max_bytes, 1 << 20, 1024, 16 << 20, "bytes",
	       "largest request body"),
	NUMBER(header_max_bytes, 16384, 4096, 262144, "bytes",
	       "memory of a connection, headers included"),
	NUMBER(caller_idle_s, 120, 1, 3600, "s",
	       "time a caller may be silent while it sends"),
	NUMBER(first_token_ms, 1600, 10, 600000, "ms",
	       "target for the first token"),
	NUMBER(token_gap_ms, 40, 1, 60000, "ms", "target between tokens"),
	NUMBER(request_max_s, 300, 1, 3600, "s",
	       "longest time a request may take"),
	NUMBER(progress_timeout_ms, 1000, 50, 60000, "ms",
	       "silence of an endpoint that should send"),
	NUMBER(connect_timeout_ms, 300, 10, 10000, "ms",
	       "time to connect to an endpoint or host"),
	NUMBER(heartbeat_ms, 1000, 50, 10000, "ms", "heartbeat interval"),
	NUMBER(suspect_ms, 3000, 200, 60000, "ms",
	       "heartbeat silence before a host is suspected"),
	NUMBER(drain_max_s, 330, 1, 7200, "s",
	       "longest graceful stop before open requests are cut"),
	NUMBER(checkpoint_s, 3600, 1, 604800, "s",
	       "longest time between checkpoints in the log; under a third of "
	       "the log's retention"),
	STRING(seed_peers, "",
	       "peer addresses to learn from when the platform is away, as "
	       "IP:PORT,IP:PORT"),
	NUMBER(log_retention_s, 86400, 600, 31536000, "s",
	       "how long the platform's log surely keeps a record"),
	STRING(log_level, "info", "debug, info, notice, warning or err"),
};
const uint32_t settings_table_n =
	sizeof(settings_table) / sizeof(settings_table[0]);

#define KEYS_MAX 64

/* Lists all keys, with NULL at the end. */
static void list_keys(const char *keys[KEYS_MAX])
{
	uint32_t i;

	for (i = 0; i < settings_table_n; i++)
		keys[i] = settings_table[i].key;
	keys[i] = NULL;
}

/* Returns true if the text is an IPv4 address, a colon and a port. */
static bool is_addr(const char *text)
{
	char ip[SETTINGS_ADDR_BYTES];
	struct in_addr in;
	char *colon;
	char *end;
	long port;

	snprintf(ip, sizeof(ip), "%s", text);
	colon = strrchr(ip, ':');
	if (!colon)
		return false;
	*colon = '\0';
	port = strtol(colon + 1, &end, 10);
	if (*end || port < 1 || port > UINT16_MAX)
		return false;
	return inet_pton(AF_INET, ip, &in) == 1;
}

static void read_string(struct jread_node *root,
			const struct settings_entry *entry, char *out)
{
	struct jread_node node;

	if (entry->default_text)
		jread_string_or(root, entry->key, entry->default_text, out,
				entry->size);
	else
		jread_string(root, entry->key, out, entry->size);
	if (entry->type != SETTINGS_ADDR || !out[0] || is_addr(out))
		return;
	if (jread_member(root, entry->key, &node))
		jread_error_expected(&node,
				     "an IPv4 address, a colon and a port");
}

static void read_entry(struct jread_node *root,
		       const struct settings_entry *entry, struct settings *s)
{
	void *field = (char *)s + entry->offset;
	uint32_t n;

	if (entry->type != SETTINGS_NUMBER) {
		read_string(root, entry, field);
		return;
	}
	n = (uint32_t)jread_int_or(root, entry->key, entry->default_number,
				   entry->min, entry->max);
	memcpy(field, &n, sizeof(n));
}

/* Checks settings that depend on each other. */
static void check_combinations(const struct settings *s,
			       struct jread_node *root)
{
	if (!s->tls_certificate_file[0] != !s->tls_key_file[0])
		jread_errorf(root->errors, root->path,
			     "tls_certificate_file and tls_key_file go "
			     "together");
	if (s->suspect_ms < 2 * s->heartbeat_ms)
		jread_errorf(root->errors, root->path,
			     "suspect_ms is %u, expected at least twice "
			     "heartbeat_ms (%u)",
			     s->suspect_ms, s->heartbeat_ms);
}

int settings_parse(struct settings *s, const char *text, size_t n,
		   const char *name, struct jread_errors *errors)
{
	const char *keys[KEYS_MAX];
	uint32_t n_before = errors->n;
	struct jread_node root;
	uint32_t i;

	memset(s, 0, sizeof(*s));
	if (jread_parse(text, n, name, errors, &root) < 0)
		return -EINVAL;
	list_keys(keys);
	jread_check_keys(&root, keys);
	for (i = 0; i < settings_table_n; i++)
		read_entry(&root, &settings_table[i], s);
	check_combinations(s, &root);
	json_object_put(root.value);
	return errors->n == n_before ? 0 : -EINVAL;
}

int settings_read_file(const char *path, char **text, size_t *n)
{
	FILE *f = fopen(path, "re");
	char *p = NULL;
	size_t capacity = 0;
	size_t got;
	int r = 0;

	*text = NULL;
	*n = 0;
	if (!f)
		return -errno;
	do {
		capacity += 65536;
		p = realloc(*text, capacity + 1);
		if (!p) {
			r = -ENOMEM;
			goto out_close;
		}
		*text = p;
		got = fread(p + *n, 1, capacity - *n, f);
		*n += got;
	} while (*n == capacity && capacity < FILE_MAX_BYTES);
	p[*n] = '\0';
	if (ferror(f))
		r = -EIO;
	else if (*n == capacity)
		r = -EFBIG;
out_close:
	fclose(f);
	if (r < 0) {
		free(*text);
		*text = NULL;
	}
	return r;
}

int settings_load(struct settings *s, const char *path,
		  struct jread_errors *errors)
{
	char *text;
	size_t n;
	int r;

	r = settings_read_file(path, &text, &n);
	if (r < 0) {
		jread_errorf(errors, path, "cannot read: %s", strerror(-r));
		return -EINVAL;
	}
	r = settings_parse(s, text, n, path, errors);
	free(text);
	return r;
}

static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	return -1;
}

/* Parses 64 lower-case hexadecimal digits. Returns 0 or -EINVAL. */
static int parse_secret(const char *hex, uint8_t *secret)
{
	int high, low;
	size_t i;

	for (i = 0; i < SETTINGS_SECRET_BYTES; i++) {
		high = hex_digit(hex[2 * i]);
		if (high < 0)
			return -EINVAL;
		low = hex_digit(hex[2 * i + 1]);
		if (low < 0)
			return -EINVAL;
		secret[i] = (uint8_t)(high << 4 | low);
	}
	return 0;
}

int settings_load_secret(const struct settings *s,
			 uint8_t secret[SETTINGS_SECRET_BYTES])
{
	const char *env = getenv(SECRET_ENV);
	char *text;
	size_t n;
	int r;

	if (!s->secret_file[0])
		return env ? parse_secret(env, secret) : -ENOENT;
	r = settings_read_file(s->secret_file, &text, &n);
	if (r < 0 || !text)
		return r;
	r = parse_secret(text, secret);
	memset(text, 0, n);
	free(text);
	return r;
}
