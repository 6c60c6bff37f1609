#include "config.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * A scanner of JSON with comments that finds the bytes of a value without
 * building a tree. It assumes valid text: config_parse() accepted it before.
 */

struct span {
	const char *start;
	const char *end; /* first byte after the value */
};

/* Returns the first byte after white space and comments. */
static const char *skip_space(const char *p)
{
	const char *end;

	for (;;) {
		p += strspn(p, " \t\r\n");
		if (strncmp(p, "//", 2) == 0) {
			p += strcspn(p, "\n");
		} else if (strncmp(p, "/*", 2) == 0) {
			end = strstr(p + 2, "*/");
			p = end ? end + 2 : p + strlen(p);
		} else {
			return p;
		}
	}
}

/* Returns the first byte after the string at p. */
static const char *skip_string(const char *p)
{
	char quote = *p++;

	while (*p && *p != quote)
		p += *p == '\\' && p[1] ? 2 : 1;
	return *p ? p + 1 : p;
}

/* Returns the first byte after the value at p. */
static const char *skip_value(const char *p)
{
	int depth = 0;

	if (*p != '{' && *p != '[' && *p != '"' && *p != '\'')
		return p + strcspn(p, ",]} \t\r\n/");
	while (*p) {
		p = skip_space(p);
		if (*p == '"' || *p == '\'') {
			p = skip_string(p);
		} else {
			if (*p == '{' || *p == '[')
				depth++;
			if (*p == '}' || *p == ']')
				depth--;
			if (*p)
				p++;
		}
		if (depth == 0)
			return p;
	}
	return p;
}

/* Returns true if a string token equals text; escapes are not decoded. */
static bool string_equals(struct span s, const char *text)
{
	size_t n = strlen(text);

	return (size_t)(s.end - s.start) == n + 2 &&
	       strncmp(s.start + 1, text, n) == 0;
}

/* Sets out to the value of a member. Returns false if there is none. */
static bool find_member(struct span object, const char *key, struct span *out)
{
	const char *p = object.start + 1;
	struct span name;

	for (p = skip_space(p); *p == '"' || *p == '\''; p = skip_space(p)) {
		name.start = p;
		name.end = skip_string(p);
		p = skip_space(name.end);
		if (*p != ':')
			return false;
		out->start = skip_space(p + 1);
		out->end = skip_value(out->start);
		if (string_equals(name, key))
			return true;
		p = skip_space(out->end);
		if (*p == ',')
			p++;
	}
	return false;
}

/* Returns true if the item is an object identified by this name. */
static bool has_name(struct span item, const char *name)
{
	static const char *const id_keys[] = {"name", "id", "domain"};
	struct span value;
	size_t i;

	if (*item.start != '{')
		return false;
	for (i = 0; i < sizeof(id_keys) / sizeof(id_keys[0]); i++)
		if (find_member(item, id_keys[i], &value))
			return string_equals(value, name);
	return false;
}

/*
 * Sets out to the object at the path below root, as for config_edit(). Returns
 * false if there is none.
 */
static bool find_object(struct span root, const char *const *path,
			struct span *out)
{
	struct span array, item;
	const char *p;

	if (!path[0]) {
		*out = root;
		return true;
	}
	if (!find_member(root, path[0], &array) || *array.start != '[')
		return false;
	for (p = skip_space(array.start + 1); *p && *p != ']';
	     p = skip_space(p)) {
		item.start = p;
		item.end = skip_value(p);
		if ((strcmp(path[1], "*") == 0 || has_name(item, path[1])) &&
		    find_object(item, path + 2, out))
			return true;
		p = skip_space(item.end);
		if (*p == ',')
			p++;
	}
	return false;
}

int config_edit(const char *text, const char *const *path, const char *key,
		const char *value, char **out)
{
	struct span root, object, old;
	/* 8 bytes for the punctuation of an added member and the final zero */
	size_t size = strlen(text) + strlen(key) + strlen(value) + 8;
	int prefix_n;

	root.start = skip_space(text);
	root.end = skip_value(root.start);
	if (*root.start != '{' || !find_object(root, path, &object))
		return -ENOENT;
	*out = malloc(size);
	if (!*out)
		return -ENOMEM;
	if (find_member(object, key, &old)) {
		prefix_n = (int)(old.start - text);
		snprintf(*out, size, "%.*s%s%s", prefix_n, text, value,
			 old.end);
		return 0;
	}
	prefix_n = (int)(object.start + 1 - text);
	snprintf(*out, size, "%.*s \"%s\": %s,%s", prefix_n, text, key, value,
		 object.start + 1);
	return 0;
}
