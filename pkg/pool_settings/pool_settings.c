#include "pool_settings.h"

#include <errno.h>
#include <math.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "h1.h"
#include "settings.h"

/* Fits the smallest hosts, which have 88 MB. */
#define RESPONSE_MAX_KB_DEFAULT 4096
#define ROLLOUT_STOP_MS_DEFAULT 5000
#define CONFIG_APPLY_MS_DEFAULT 2000
#define DRAIN_TIMEOUT_MS_DEFAULT 2000
/* Hedges use the retry budget, of which the rest is left for failures. */
#define HEDGE_SHARE_MAX 0.2

enum row_type {
	ROW_NAME,
	ROW_ADDR,
	ROW_UINT32,
	ROW_DOUBLE,
};

struct row {
	const char *key;
	enum row_type type;
	size_t offset;
	double min;
	double max;
};

#define OFFSET(field) offsetof(struct pool_settings, field)

static const struct row rows[] = {
	{"host", ROW_NAME, OFFSET(host), 0, 0},
	{"domain", ROW_NAME, OFFSET(domain), 0, 0},
	{"callers_addr", ROW_ADDR, OFFSET(callers_addr), 0, 0},
	{"ready_addr", ROW_ADDR, OFFSET(ready_addr), 0, 0},
	{"metrics_addr", ROW_ADDR, OFFSET(metrics_addr), 0, 0},
	{"peer_addr", ROW_ADDR, OFFSET(peer_addr), 0, 0},
	{"store_addr", ROW_ADDR, OFFSET(store_addr), 0, 0},
	{"memory_mb", ROW_UINT32, OFFSET(memory_mb), 32, 1e6},
	{"descriptors", ROW_UINT32, OFFSET(descriptors), 256, 1e7},
	{"stop_s", ROW_DOUBLE, OFFSET(stop_s), 0.5, 3600},
	{"retry_ratio", ROW_DOUBLE, OFFSET(retry_ratio), 0, 10},
	{"retry_window_s", ROW_DOUBLE, OFFSET(retry_window_s), 0.1, 3600},
	{"retry_slack", ROW_DOUBLE, OFFSET(retry_slack), 0, 1e6},
	{"limit_slack", ROW_DOUBLE, OFFSET(limit_slack), 0, 1e12},
};

static void read_addr(struct jread_node *root, const char *key, char *out)
{
	struct sockaddr_in addr;
	struct jread_node node;

	jread_string(root, key, out, POOL_SETTINGS_ADDR_BYTES);
	if (*out && h1_parse_addr(out, &addr) < 0 &&
	    jread_member(root, key, &node))
		jread_error_expected(&node, "IP:PORT");
}

static void read_row(struct jread_node *root, const struct row *r,
		     struct pool_settings *s)
{
	char *out = (char *)s + r->offset;
	struct jread_node node;
	double v;

	switch (r->type) {
	case ROW_NAME:
		jread_string(root, r->key, out, POOL_SETTINGS_NAME_BYTES);
		return;
	case ROW_ADDR:
		read_addr(root, r->key, out);
		return;
	case ROW_UINT32:
	case ROW_DOUBLE:
		if (!jread_require(root, r->key, &node))
			return;
		v = jread_double_or(root, r->key, 0, r->min, r->max);
		if (r->type == ROW_UINT32 && v != floor(v))
			jread_error_expected(&node, "an integer");
		if (r->type == ROW_UINT32)
			*(uint32_t *)out = (uint32_t)v;
		else
			*(double *)out = v;
	}
}

static void read_optional(struct jread_node *root, struct pool_settings *s)
{
	s->config_apply_ms = (uint32_t)jread_double_or(
		root, "config_apply_ms", CONFIG_APPLY_MS_DEFAULT, 100, 3.6e6);
	s->drain_timeout_ms = (uint32_t)jread_double_or(
		root, "drain_timeout_ms", DRAIN_TIMEOUT_MS_DEFAULT, 100, 3.6e6);
	s->response_max_kb = (uint32_t)jread_double_or(
		root, "response_max_kb", RESPONSE_MAX_KB_DEFAULT, 16, 1e6);
	s->rollout_share = jread_double_or(root, "rollout_share", 0, 0, 1);
	s->rollout_slack = jread_double_or(root, "rollout_slack", 0, 0, 1e9);
	s->rollout_stop_ms = (uint32_t)jread_double_or(
		root, "rollout_stop_ms", ROLLOUT_STOP_MS_DEFAULT, 100, 3.6e6);
	s->hedge_share =
		jread_double_or(root, "hedge_share", 0, 0, HEDGE_SHARE_MAX);
}

/* No error shows the value, since it may be the secret with a typing error. */
static void read_secret(struct jread_node *root, struct pool_settings *s)
{
	struct jread_node node;
	const char *text, *end;
	size_t n = 0;

	if (!jread_require(root, "secret", &node))
		return;
	text = json_object_is_type(node.value, json_type_string)
		       ? json_object_get_string(node.value)
		       : "";
	if (sodium_hex2bin(s->secret, sizeof(s->secret), text, strlen(text),
			   NULL, &n, &end) < 0 ||
	    n != sizeof(s->secret) || *end)
		jread_errorf(node.errors, node.path,
			     "expected 64 hexadecimal digits");
}

int pool_settings_parse(struct pool_settings *s, const char *text, size_t n,
			const char *name, struct jread_errors *errors)
{
	struct jread_node root;
	size_t i;

	memset(s, 0, sizeof(*s));
	if (jread_parse(text, n, name, errors, &root) < 0)
		return -EINVAL;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		read_row(&root, &rows[i], s);
	read_secret(&root, s);
	read_optional(&root, s);
	json_object_put(root.value);
	return errors->n ? -EINVAL : 0;
}

int pool_settings_load(struct pool_settings *s, const char *path,
		       struct jread_errors *errors)
{
	char *text;
	size_t n;
	int r = settings_read_file(path, &text, &n);

	if (r < 0) {
		jread_errorf(errors, path, "cannot read: %s", strerror(-r));
		return r;
	}
	r = pool_settings_parse(s, text, n, path, errors);
	free(text);
	return r;
}
