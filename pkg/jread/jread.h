#ifndef FIGBEND_JREAD_H
#define FIGBEND_JREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <json-c/json.h>

/*
 * Typed reading of JSON with comments. Every fault is collected with its path,
 * the value found and what was expected, so that all are reported at once.
 */

#define JREAD_PATH_BYTES 160
#define JREAD_ERROR_BYTES 360

struct jread_errors {
	char (*message)[JREAD_ERROR_BYTES];
	uint32_t n;
	uint32_t capacity;
};

/* One place in a document: the value, its path, and where faults go. */
struct jread_node {
	struct json_object *value;
	struct jread_errors *errors;
	char path[JREAD_PATH_BYTES];
};

void jread_errors_init(struct jread_errors *f);
void jread_errors_free(struct jread_errors *f);
void jread_error_expected(struct jread_node *at, const char *expected);
void jread_errorf(struct jread_errors *f, const char *path, const char *format,
		  ...) __attribute__((format(printf, 3, 4)));

int jread_parse(const char *text, size_t n, const char *name,
		struct jread_errors *faults, struct jread_node *root);
bool jread_member(const struct jread_node *at, const char *key,
		  struct jread_node *out);
bool jread_require(struct jread_node *at, const char *key,
		   struct jread_node *out);
bool jread_item(const struct jread_node *at, uint32_t index,
		struct jread_node *out);
uint32_t jread_count(struct jread_node *at);
void jread_check_keys(struct jread_node *at, const char *const *keys);

void jread_string(struct jread_node *at, const char *key, char *out,
		  size_t size);
void jread_string_or(struct jread_node *at, const char *key,
		     const char *fallback, char *out, size_t size);
int64_t jread_int(struct jread_node *at, const char *key, int64_t min,
		  int64_t max);
int64_t jread_int_or(struct jread_node *at, const char *key, int64_t fallback,
		     int64_t min, int64_t max);
double jread_double_or(struct jread_node *at, const char *key, double fallback,
		       double min, double max);
bool jread_bool_or(struct jread_node *at, const char *key, bool fallback);

const char *jread_suggest(const char *word, const char *const *known);

#endif
