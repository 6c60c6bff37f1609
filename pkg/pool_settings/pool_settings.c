#include "pool_settings.h"

#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "h1.h"
#include "settings.h"

enum row_type {
	ROW_NAME,
	ROW_ADDR,
	ROW_COUNT, /* whole, uint32_t */
	ROW_RATIO, /* double */
};

struct row {
	const char *key;
	enum row_type type;
	size_t offset;
	double min;
	double max;
};

#define AT(field) offsetof(struct pool_settings, field)

static const struct row rows[] = {
	{"host", ROW_NAME, AT(host), 0, 0},
	{"domain", ROW_NAME, AT(domain), 0, 0},
	{"callers_addr", ROW_ADDR, AT(callers_addr), 0, 0},
	{"ready_addr", ROW_ADDR, AT(ready_addr), 0, 0},
	{"metrics_addr", ROW_ADDR, AT(metrics_addr), 0, 0},
	{"peer_addr", ROW_ADDR, AT(peer_addr), 0, 0},
	{"store_addr", ROW_ADDR, AT(store_addr), 0, 0},
	{"memory_mb", ROW_COUNT, AT(memory_mb), 32, 1e6},
	{"descriptors", ROW_COUNT, AT(descriptors), 256, 1e7},
	{"stop_s", ROW_RATIO, AT(stop_s), 0.5, 3600},
	{"retry_ratio", ROW_RATIO, AT(retry_ratio), 0, 10},
	{"retry_window_s", ROW_RATIO, AT(retry_window_s), 0.1, 3600},
	{"retry_slack", ROW_RATIO, AT(retry_slack), 0, 1e6},
	{"limit_slack", ROW_RATIO, AT(limit_slack), 0, 1e12},
};

static void read_addr(struct jread_node *root, const char *key, char *out)
{
	struct sockaddr_in addr;
	struct jread_node at;

	jread_string(root, key, out, POOL_SETTINGS_ADDR_BYTES);
	if (*out && h1_parse_addr(out, &addr) < 0 &&
	    jread_member(root, key, &at))
		jread_error_expected(&at, "IP:PORT");
}

static void read_row(struct jread_node *root, const struct row *r,
		     struct pool_settings *s)
{
	char *out = (char *)s + r->offset;
	struct jread_node at;
	double v;

	switch (r->type) {
	case ROW_NAME:
		jread_string(root, r->key, out, POOL_SETTINGS_NAME_BYTES);
		return;
	case ROW_ADDR:
		read_addr(root, r->key, out);
		return;
	case ROW_COUNT:
	case ROW_RATIO:
		if (!jread_require(root, r->key, &at))
			return;
		v = jread_double_or(root, r->key, 0, r->min, r->max);
		if (r->type == ROW_COUNT)
			*(uint32_t *)out = (uint32_t)v;
		else
			*(double *)out = v;
	}
}

/* The secret stands as 64 hexadecimal digits. */
static void read_secret(struct jread_node *root, struct pool_settings *s)
{
	char text[2 * POOL_SETTINGS_SECRET_BYTES + 1];
	struct jread_node at;
	size_t n = 0;

	jread_string(root, "secret", text, sizeof(text));
	sodium_hex2bin(s->secret, sizeof(s->secret), text, strlen(text), NULL,
		       &n, NULL);
	if (n != sizeof(s->secret) && jread_member(root, "secret", &at))
		jread_errorf(at.errors, at.path,
			     "expected 64 hexadecimal digits");
}

/*
 * Reads settings from JSON with comments. Unknown keys are ignored: the
 * platform may add some. Returns 0, or -EINVAL with every fault listed.
 */
int pool_settings_parse(struct pool_settings *s, const char *text, size_t n,
			const char *name, struct jread_errors *faults)
{
	struct jread_node root;
	size_t i;

	memset(s, 0, sizeof(*s));
	if (jread_parse(text, n, name, faults, &root) < 0)
		return -EINVAL;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		read_row(&root, &rows[i], s);
	read_secret(&root, s);
	json_object_put(root.value);
	return faults->n ? -EINVAL : 0;
}

/* Reads settings from a file; see setup_parse(). */
int pool_settings_load(struct pool_settings *s, const char *path,
		       struct jread_errors *faults)
{
	char *text;
	size_t n;
	int r = settings_read_file(path, &text, &n);

	if (r < 0) {
		jread_errorf(faults, path, "%s", strerror(-r));
		return r;
	}
	r = pool_settings_parse(s, text, n, path, faults);
	free(text);
	return r;
}
