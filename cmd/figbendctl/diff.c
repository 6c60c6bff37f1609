#include <stdio.h>
#include <string.h>
#include <json-c/json.h>

#include "ctl.h"

#define PATH_BYTES 256

static struct json_object *parse(const char *text)
{
	return json_tokener_parse(text);
}

/* Returns what an item of an array goes by, or NULL. */
static const char *name_of(struct json_object *item)
{
	static const char *const keys[] = {"name", "id", "domain", "serves"};
	struct json_object *v;
	size_t i;

	if (!json_object_is_type(item, json_type_object))
		return NULL;
	for (i = 0; i < sizeof(keys) / sizeof(keys[0]); i++)
		if (json_object_object_get_ex(item, keys[i], &v))
			return json_object_get_string(v);
	return NULL;
}

static struct json_object *item_called(struct json_object *array,
				       const char *name)
{
	struct json_object *item;
	const char *other;
	size_t i;

	for (i = 0; name && i < json_object_array_length(array); i++) {
		item = json_object_array_get_idx(array, i);
		other = name_of(item);
		if (other && strcmp(other, name) == 0)
			return item;
	}
	return NULL;
}

static uint32_t diff(const char *path, struct json_object *from,
		     struct json_object *to);

static uint32_t diff_arrays(const char *path, struct json_object *from,
			    struct json_object *to)
{
	char at[PATH_BYTES];
	struct json_object *item;
	uint32_t n = 0;
	size_t i;

	for (i = 0; i < json_object_array_length(from); i++) {
		item = json_object_array_get_idx(from, i);
		snprintf(at, sizeof(at), "%s/%s", path, name_of(item));
		n += diff(at, item, item_called(to, name_of(item)));
	}
	for (i = 0; i < json_object_array_length(to); i++) {
		item = json_object_array_get_idx(to, i);
		snprintf(at, sizeof(at), "%s/%s", path, name_of(item));
		if (!item_called(from, name_of(item)))
			n += diff(at, NULL, item);
	}
	return n;
}

static uint32_t diff_objects(const char *path, struct json_object *from,
			     struct json_object *to)
{
	const char *separator = path[0] ? "/" : "";
	struct json_object *other;
	char at[PATH_BYTES];
	uint32_t n = 0;

	json_object_object_foreach(from, key, value)
	{
		snprintf(at, sizeof(at), "%s%s%s", path, separator, key);
		other = NULL;
		json_object_object_get_ex(to, key, &other);
		n += diff(at, value, other);
	}
	json_object_object_foreach(to, key2, value2)
	{
		snprintf(at, sizeof(at), "%s%s%s", path, separator, key2);
		if (!json_object_object_get_ex(from, key2, &other))
			n += diff(at, NULL, value2);
	}
	return n;
}

static const char *plain(struct json_object *v)
{
	return json_object_to_json_string_ext(v, JSON_C_TO_STRING_PLAIN);
}

/* Prints how a value differs, NULL for one that is not there. */
static uint32_t diff(const char *path, struct json_object *from,
		     struct json_object *to)
{
	if (!from && !to)
		return 0;
	if (from && to && json_object_equal(from, to))
		return 0;
	if (json_object_is_type(from, json_type_object) &&
	    json_object_is_type(to, json_type_object))
		return diff_objects(path, from, to);
	if (json_object_is_type(from, json_type_array) &&
	    json_object_is_type(to, json_type_array))
		return diff_arrays(path, from, to);
	if (!from)
		printf("+ %s: %s\n", path, plain(to));
	else if (!to)
		printf("- %s: %s\n", path, plain(from));
	else
		printf("~ %s: %s -> %s\n", path, plain(from), plain(to));
	return 1;
}

/*
 * Prints a line for each item and value by which two texts differ; comments and
 * order do not count. Returns the number of lines.
 */
uint32_t ctl_print_diff(const char *from, const char *to)
{
	struct json_object *a = parse(from);
	struct json_object *b = parse(to);
	uint32_t n = diff("", a, b);

	json_object_put(a);
	json_object_put(b);
	return n;
}
