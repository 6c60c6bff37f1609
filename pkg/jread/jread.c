#include "jread.h"

#include <errno.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ERRORS_MAX 1000
#define NESTING_MAX 32
#define WORD_MAX_BYTES 63
#define VALUE_SHOWN_BYTES 80 /* a longer value is cut in messages */

void jread_errors_init(struct jread_errors *errors)
{
	memset(errors, 0, sizeof(*errors));
}

void jread_errors_free(struct jread_errors *errors)
{
	free(errors->message);
	memset(errors, 0, sizeof(*errors));
}

/* Makes space for one more message. Returns 0, -ENOSPC or -ENOMEM. */
static int errors_grow(struct jread_errors *errors)
{
	uint32_t capacity = errors->capacity ? 2 * errors->capacity : 8;
	void *p;

	if (errors->n < errors->capacity)
		return 0;
	if (errors->n >= ERRORS_MAX)
		return -ENOSPC;
	p = realloc(errors->message, (size_t)capacity * JREAD_ERROR_BYTES);
	if (!p)
		return -ENOMEM;
	errors->message = p;
	errors->capacity = capacity;
	return 0;
}

void jread_errorf(struct jread_errors *errors, const char *path,
		  const char *format, ...)
{
	char *message;
	va_list ap;
	int n;

	if (errors_grow(errors) < 0)
		return;
	message = errors->message[errors->n++];
	n = snprintf(message, JREAD_ERROR_BYTES, "%s: ", path);
	if (n < 0 || n >= JREAD_ERROR_BYTES)
		return;
	va_start(ap, format);
	vsnprintf(message + n, JREAD_ERROR_BYTES - n, format, ap);
	va_end(ap);
}

void jread_error_expected(struct jread_node *node, const char *expected)
{
	char found[VALUE_SHOWN_BYTES];

	snprintf(found, sizeof(found), "%s",
		 node->value ? json_object_to_json_string(node->value)
			     : "null");
	jread_errorf(node->errors, node->path, "found %s, expected %s", found,
		     expected);
}

/* Returns the line, from 1, that holds the byte offset. */
static uint32_t line_of(const char *text, size_t offset)
{
	uint32_t line = 1;
	size_t i;

	for (i = 0; i < offset; i++)
		if (text[i] == '\n')
			line++;
	return line;
}

int jread_parse(const char *text, size_t n, const char *name,
		struct jread_errors *errors, struct jread_node *root)
{
	struct json_tokener *tok = json_tokener_new_ex(NESTING_MAX);
	enum json_tokener_error err;
	size_t end;

	memset(root, 0, sizeof(*root));
	if (!tok)
		return -ENOMEM;
	root->errors = errors;
	snprintf(root->path, sizeof(root->path), "%s", name);
	root->value = json_tokener_parse_ex(tok, text, (int)n);
	err = json_tokener_get_error(tok);
	end = json_tokener_get_parse_end(tok);
	if (err == json_tokener_continue && root->value == NULL)
		err = json_tokener_error_parse_eof;
	while (err == json_tokener_success && end < n &&
	       strchr(" \t\r\n", text[end]))
		end++;
	if (err == json_tokener_success && end < n)
		err = json_tokener_error_parse_unexpected;
	json_tokener_free(tok);
	if (err == json_tokener_success)
		return 0;
	json_object_put(root->value);
	root->value = NULL;
	jread_errorf(errors, name, "line %u: %s", line_of(text, end),
		     json_tokener_error_desc(err));
	return -EBADMSG;
}

/* Sets out to the member of node with this key and value. */
static void member_node(const struct jread_node *node, const char *key,
			struct json_object *value, struct jread_node *out)
{
	struct jread_node p = {.value = value, .errors = node->errors};

	if (snprintf(p.path, sizeof(p.path), "%s.%s", node->path, key) < 0)
		p.path[0] = '\0';
	*out = p;
}

bool jread_member(const struct jread_node *node, const char *key,
		  struct jread_node *out)
{
	struct json_object *v;

	if (!json_object_is_type(node->value, json_type_object))
		return false;
	if (!json_object_object_get_ex(node->value, key, &v))
		return false;
	member_node(node, key, v, out);
	return true;
}

bool jread_require(struct jread_node *node, const char *key,
		   struct jread_node *out)
{
	if (jread_member(node, key, out))
		return true;
	jread_errorf(node->errors, node->path, "\"%s\" is missing", key);
	return false;
}

uint32_t jread_count(struct jread_node *node)
{
	if (json_object_is_type(node->value, json_type_array))
		return (uint32_t)json_object_array_length(node->value);
	jread_error_expected(node, "an array");
	return 0;
}

bool jread_item(const struct jread_node *node, uint32_t index,
		struct jread_node *out)
{
	struct jread_node p = {.errors = node->errors};

	if (!json_object_is_type(node->value, json_type_array))
		return false;
	if (index >= json_object_array_length(node->value))
		return false;
	p.value = json_object_array_get_idx(node->value, index);
	if (snprintf(p.path, sizeof(p.path), "%s[%u]", node->path, index) < 0)
		p.path[0] = '\0';
	*out = p;
	return true;
}

/*
 * Returns the Levenshtein distance of two words in bytes. Only the first
 * WORD_MAX_BYTES bytes of each are compared.
 */
static uint32_t edit_distance(const char *a, const char *b)
{
	uint32_t row[WORD_MAX_BYTES + 1];
	uint32_t diagonal, above, i, j;
	size_t an = strnlen(a, WORD_MAX_BYTES);
	size_t bn = strnlen(b, WORD_MAX_BYTES);

	for (j = 0; j <= bn; j++)
		row[j] = j;
	for (i = 1; i <= an; i++) {
		diagonal = row[0];
		row[0] = i;
		for (j = 1; j <= bn; j++) {
			above = row[j];
			row[j] = diagonal + (a[i - 1] != b[j - 1]);
			if (above + 1 < row[j])
				row[j] = above + 1;
			if (row[j - 1] + 1 < row[j])
				row[j] = row[j - 1] + 1;
			diagonal = above;
		}
	}
	return row[bn];
}

const char *jread_suggest(const char *word, const char *const *known)
{
	const char *best = NULL;
	uint32_t best_distance = UINT32_MAX;
	uint32_t distance;

	for (; *known; known++) {
		distance = edit_distance(word, *known);
		if (distance < best_distance) {
			best_distance = distance;
			best = *known;
		}
	}
	return best;
}

static bool is_known(const char *key, const char *const *keys)
{
	for (; *keys; keys++)
		if (strcmp(key, *keys) == 0)
			return true;
	return false;
}

void jread_check_keys(struct jread_node *node, const char *const *keys)
{
	if (!json_object_is_type(node->value, json_type_object)) {
		jread_error_expected(node, "an object");
		return;
	}
	json_object_object_foreach(node->value, key, v)
	{
		(void)v;
		if (!is_known(key, keys))
			jread_errorf(node->errors, node->path,
				     "unknown key \"%s\"; the nearest "
				     "known one is \"%s\"",
				     key, jread_suggest(key, keys));
	}
}

/* Copies a string that fits into size bytes; otherwise adds an error. */
static void copy_string(struct jread_node *v, char *out, size_t size)
{
	char expected[64];
	const char *s;

	s = json_object_is_type(v->value, json_type_string)
		    ? json_object_get_string(v->value)
		    : NULL;
	if (s && strlen(s) < size) {
		memcpy(out, s, strlen(s) + 1);
		return;
	}
	snprintf(expected, sizeof(expected), "a string of at most %zu bytes",
		 size - 1);
	jread_error_expected(v, expected);
}

void jread_string(struct jread_node *node, const char *key, char *out,
		  size_t size)
{
	struct jread_node v;

	out[0] = '\0';
	if (jread_require(node, key, &v))
		copy_string(&v, out, size);
}

void jread_string_or(struct jread_node *node, const char *key,
		     const char *fallback, char *out, size_t size)
{
	struct jread_node v;

	snprintf(out, size, "%s", fallback);
	if (jread_member(node, key, &v))
		copy_string(&v, out, size);
}

/* Returns an integer from min to max; otherwise min, with an error. */
static int64_t int_in_range(struct jread_node *v, int64_t min, int64_t max)
{
	char expected[96];
	int64_t n;

	if (json_object_is_type(v->value, json_type_int)) {
		n = json_object_get_int64(v->value);
		if (n >= min && n <= max)
			return n;
	}
	snprintf(expected, sizeof(expected), "an integer from %lld to %lld",
		 (long long)min, (long long)max);
	jread_error_expected(v, expected);
	return min;
}

int64_t jread_int(struct jread_node *node, const char *key, int64_t min,
		  int64_t max)
{
	struct jread_node v;

	if (!jread_require(node, key, &v))
		return min;
	return int_in_range(&v, min, max);
}

int64_t jread_int_or(struct jread_node *node, const char *key, int64_t fallback,
		     int64_t min, int64_t max)
{
	struct jread_node v;

	if (!jread_member(node, key, &v))
		return fallback;
	return int_in_range(&v, min, max);
}

double jread_double_or(struct jread_node *node, const char *key,
		       double fallback, double min, double max)
{
	char expected[96];
	struct jread_node v;
	double d;

	if (!jread_member(node, key, &v))
		return fallback;
	if (json_object_is_type(v.value, json_type_double) ||
	    json_object_is_type(v.value, json_type_int)) {
		d = json_object_get_double(v.value);
		if (isfinite(d) && d >= min && d <= max)
			return d;
	}
	snprintf(expected, sizeof(expected), "a number from %g to %g", min,
		 max);
	jread_error_expected(&v, expected);
	return fallback;
}

bool jread_bool_or(struct jread_node *node, const char *key, bool fallback)
{
	struct jread_node v;

	if (!jread_member(node, key, &v))
		return fallback;
	if (json_object_is_type(v.value, json_type_boolean))
		return json_object_get_boolean(v.value);
	jread_error_expected(&v, "true or false");
	return fallback;
}
