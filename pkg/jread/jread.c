#include "jread.h"

#include <errno.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FAULTS_MAX 1000
#define DEPTH_MAX 32
#define WORD_BYTES_MAX 63
#define VALUE_SHOWN_BYTES 80

/* Starts an empty list of faults in memory that the caller owns. */
void jread_errors_init(struct jread_errors *f)
{
	memset(f, 0, sizeof(*f));
}

/* Frees the lines of the list. */
void jread_errors_free(struct jread_errors *f)
{
	free(f->message);
	memset(f, 0, sizeof(*f));
}

/* Makes room for one more line. Returns 0, -ENOSPC or -ENOMEM. */
static int faults_grow(struct jread_errors *f)
{
	uint32_t capacity = f->capacity ? 2 * f->capacity : 8;
	void *p;

	if (f->n < f->capacity)
		return 0;
	if (f->n >= FAULTS_MAX)
		return -ENOSPC;
	p = realloc(f->message, (size_t)capacity * JREAD_ERROR_BYTES);
	if (!p)
		return -ENOMEM;
	f->message = p;
	f->capacity = capacity;
	return 0;
}

/* Adds a fault at the path, in words of the caller's. */
void jread_errorf(struct jread_errors *f, const char *path, const char *format,
		  ...)
{
	char *line;
	va_list ap;
	int n;

	if (faults_grow(f) < 0)
		return;
	line = f->message[f->n++];
	n = snprintf(line, JREAD_ERROR_BYTES, "%s: ", path);
	va_start(ap, format);
	vsnprintf(line + n, JREAD_ERROR_BYTES - n, format, ap);
	va_end(ap);
}

/* Adds a fault: the value at this place is not what was expected. */
void jread_error_expected(struct jread_node *at, const char *expected)
{
	char shown[VALUE_SHOWN_BYTES];

	snprintf(shown, sizeof(shown), "%s",
		 at->value ? json_object_to_json_string(at->value) : "nothing");
	jread_errorf(at->errors, at->path, "found %s, expected %s", shown,
		     expected);
}

/* Returns the line number of a byte offset in the text, from 1. */
static uint32_t line_of(const char *text, size_t offset)
{
	uint32_t line = 1;
	size_t i;

	for (i = 0; i < offset; i++)
		if (text[i] == '\n')
			line++;
	return line;
}

/*
 * Parses text of n bytes. The name (a file's, say) opens every path. On success
 * the caller owns root->value and gives it to json_object_put(). Returns 0,
 * -EBADMSG with one fault added, or -ENOMEM.
 */
int jread_parse(const char *text, size_t n, const char *name,
		struct jread_errors *faults, struct jread_node *root)
{
	struct json_tokener *tok = json_tokener_new_ex(DEPTH_MAX);
	enum json_tokener_error err;
	size_t end;

	memset(root, 0, sizeof(*root));
	if (!tok)
		return -ENOMEM;
	root->errors = faults;
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
	jread_errorf(faults, name, "line %u: %s", line_of(text, end),
		     json_tokener_error_desc(err));
	return -EBADMSG;
}

/* Fills out with the place below at; the value may be NULL (JSON null). */
static void place(const struct jread_node *at, const char *key,
		  struct json_object *value, struct jread_node *out)
{
	struct jread_node p = {.value = value, .errors = at->errors};

	if (snprintf(p.path, sizeof(p.path), "%s.%s", at->path, key) < 0)
		p.path[0] = '\0';
	*out = p;
}

/* Finds a member. Returns false, without a fault, if there is none. */
bool jread_member(const struct jread_node *at, const char *key,
		  struct jread_node *out)
{
	struct json_object *v;

	if (!json_object_is_type(at->value, json_type_object))
		return false;
	if (!json_object_object_get_ex(at->value, key, &v))
		return false;
	place(at, key, v, out);
	return true;
}

/* Finds a member that must be there; adds a fault if it is not. */
bool jread_require(struct jread_node *at, const char *key,
		   struct jread_node *out)
{
	if (jread_member(at, key, out))
		return true;
	jread_errorf(at->errors, at->path, "\"%s\" is missing", key);
	return false;
}

/* Returns the length of the array, or 0 with a fault if it is not one. */
uint32_t jread_count(struct jread_node *at)
{
	if (json_object_is_type(at->value, json_type_array))
		return (uint32_t)json_object_array_length(at->value);
	jread_error_expected(at, "an array");
	return 0;
}

/* Gives the item of an array by its index; false past its end. */
bool jread_item(const struct jread_node *at, uint32_t index,
		struct jread_node *out)
{
	struct jread_node p = {.errors = at->errors};

	if (!json_object_is_type(at->value, json_type_array))
		return false;
	if (index >= json_object_array_length(at->value))
		return false;
	p.value = json_object_array_get_idx(at->value, index);
	if (snprintf(p.path, sizeof(p.path), "%s[%u]", at->path, index) < 0)
		p.path[0] = '\0';
	*out = p;
	return true;
}

/* Returns the number of single-byte edits between two short words. */
static uint32_t edit_distance(const char *a, const char *b)
{
	uint32_t row[WORD_BYTES_MAX + 1];
	uint32_t diagonal, above, i, j;
	size_t an = strnlen(a, WORD_BYTES_MAX);
	size_t bn = strnlen(b, WORD_BYTES_MAX);

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

/* Returns the known word with the fewest edits from this one, or NULL. */
const char *jread_suggest(const char *word, const char *const *known)
{
	const char *best = NULL;
	uint32_t least = UINT32_MAX;
	uint32_t d;

	for (; *known; known++) {
		d = edit_distance(word, *known);
		if (d < least) {
			least = d;
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

/*
 * Adds a fault for each member whose key is not in the list, which a NULL ends,
 * with the nearest known key as a hint; or one fault if this is no object.
 */
void jread_check_keys(struct jread_node *at, const char *const *keys)
{
	if (!json_object_is_type(at->value, json_type_object)) {
		jread_error_expected(at, "an object");
		return;
	}
	json_object_object_foreach(at->value, key, v)
	{
		(void)v;
		if (!is_known(key, keys))
			jread_errorf(at->errors, at->path,
				     "unknown key \"%s\"; the nearest "
				     "known one is \"%s\"",
				     key, jread_suggest(key, keys));
	}
}

/* Copies a string value that fits in size bytes; adds a fault otherwise. */
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

/* Reads a string that must be there into out, which is "" on a fault. */
void jread_string(struct jread_node *at, const char *key, char *out,
		  size_t size)
{
	struct jread_node v;

	out[0] = '\0';
	if (jread_require(at, key, &v))
		copy_string(&v, out, size);
}

/* Reads a string, or copies the fallback where there is none. */
void jread_string_or(struct jread_node *at, const char *key,
		     const char *fallback, char *out, size_t size)
{
	struct jread_node v;

	snprintf(out, size, "%s", fallback);
	if (jread_member(at, key, &v))
		copy_string(&v, out, size);
}

/* Reads a whole number from min to max, or returns min with a fault. */
static int64_t take_int(struct jread_node *v, int64_t min, int64_t max)
{
	char expected[96];
	int64_t n;

	if (json_object_is_type(v->value, json_type_int)) {
		n = json_object_get_int64(v->value);
		if (n >= min && n <= max)
			return n;
	}
	snprintf(expected, sizeof(expected), "a whole number from %lld to %lld",
		 (long long)min, (long long)max);
	jread_error_expected(v, expected);
	return min;
}

/* Reads a whole number that must be there, from min to max. */
int64_t jread_int(struct jread_node *at, const char *key, int64_t min,
		  int64_t max)
{
	struct jread_node v;

	if (!jread_require(at, key, &v))
		return min;
	return take_int(&v, min, max);
}

/* Reads a whole number from min to max, or the fallback where there is none. */
int64_t jread_int_or(struct jread_node *at, const char *key, int64_t fallback,
		     int64_t min, int64_t max)
{
	struct jread_node v;

	if (!jread_member(at, key, &v))
		return fallback;
	return take_int(&v, min, max);
}

/* Reads a number from min to max, or the fallback where there is none. */
double jread_double_or(struct jread_node *at, const char *key, double fallback,
		       double min, double max)
{
	char expected[96];
	struct jread_node v;
	double d;

	if (!jread_member(at, key, &v))
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

/* Reads true or false, or the fallback where there is none. */
bool jread_bool_or(struct jread_node *at, const char *key, bool fallback)
{
	struct jread_node v;

	if (!jread_member(at, key, &v))
		return fallback;
	if (json_object_is_type(v.value, json_type_boolean))
		return json_object_get_boolean(v.value);
	jread_error_expected(&v, "true or false");
	return fallback;
}
