#ifndef FIGBEND_JREAD_H
#define FIGBEND_JREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <json-c/json.h>

/*
 * Reads JSON with comments through typed accessors. Errors are collected, each
 * with the path, the value found and the value expected, so that one pass
 * reports all errors of a document.
 */

#define JREAD_PATH_BYTES 160
#define JREAD_ERROR_BYTES 360

/* Messages "PATH: TEXT", cut at JREAD_ERROR_BYTES - 1. Owned by the list. */
struct jread_errors {
	char (*message)[JREAD_ERROR_BYTES];
	uint32_t n;
	uint32_t capacity; /* allocated messages */
};

/*
 * A value within a document. The value belongs to the root and is valid until
 * the root is released; it is NULL for JSON null.
 */
struct jread_node {
	struct json_object *value;
	struct jread_errors *errors; /* accessors add their errors here */
	char path[JREAD_PATH_BYTES]; /* as "config.accounts[2].name" */
};

/* Initializes an empty list. Release it with jread_errors_free(). */
void jread_errors_init(struct jread_errors *errors);
/* Frees the messages and empties the list. */
void jread_errors_free(struct jread_errors *errors);
/*
 * Adds the error "found VALUE, expected EXPECTED" for the node. A value longer
 * than 79 bytes is cut.
 */
void jread_error_expected(struct jread_node *node, const char *expected);
/*
 * Adds a formatted error for the path. The error is lost if the list is full or
 * memory runs out.
 */
void jread_errorf(struct jread_errors *errors, const char *path,
		  const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/*
 * Parses a text of n bytes; name (of the file, say) is the first part of every
 * path. On success the caller owns root->value and releases it with
 * json_object_put(). Returns 0, -EBADMSG with one error added, or -ENOMEM
 * without one. A document nested deeper than 32 levels is an error.
 */
int jread_parse(const char *text, size_t n, const char *name,
		struct jread_errors *errors, struct jread_node *root);

/*
 * Sets out to the member with this key. Returns false, without an error, if
 * there is none or the node is not an object.
 */
bool jread_member(const struct jread_node *node, const char *key,
		  struct jread_node *out);
/* Does the same as jread_member(), but adds an error if it returns false. */
bool jread_require(struct jread_node *node, const char *key,
		   struct jread_node *out);
/*
 * Sets out to an item of the array. Returns false, without an error, if the
 * index is out of range or the node is not an array.
 */
bool jread_item(const struct jread_node *node, uint32_t index,
		struct jread_node *out);
/* Returns the length of the array; 0, with an error, for any other value. */
uint32_t jread_count(struct jread_node *node);
/*
 * Adds an error for each member whose key is not in the NULL-terminated list;
 * the error suggests the nearest known key. Adds one error if the node is not
 * an object.
 */
void jread_check_keys(struct jread_node *node, const char *const *keys);

/*
 * The accessors below read the member with this key. A value of the wrong type
 * or out of range adds an error. If the member is missing, the _or form returns
 * its fallback without an error; the other form adds an error.
 */

/*
 * Copies a string that fits into size bytes with its terminating zero. After an
 * error out is "" or the fallback.
 */
void jread_string(struct jread_node *node, const char *key, char *out,
		  size_t size);
void jread_string_or(struct jread_node *node, const char *key,
		     const char *fallback, char *out, size_t size);
/* Return an integer from min to max; after an error, min. */
int64_t jread_int(struct jread_node *node, const char *key, int64_t min,
		  int64_t max);
int64_t jread_int_or(struct jread_node *node, const char *key, int64_t fallback,
		     int64_t min, int64_t max);
/* Returns a number from min to max; after an error, the fallback. */
double jread_double_or(struct jread_node *node, const char *key,
		       double fallback, double min, double max);
/* Returns a boolean; after an error, the fallback. */
bool jread_bool_or(struct jread_node *node, const char *key, bool fallback);

/*
 * Returns the word of the NULL-terminated list with the smallest edit distance
 * to this one, or NULL if the list is empty.
 */
const char *jread_suggest(const char *word, const char *const *known);

#endif
