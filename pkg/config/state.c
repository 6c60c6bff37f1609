#include "config.h"

#include <stdlib.h>
#include <string.h>

struct record {
	enum config_record_kind kind;
	uint64_t against;     /* of a change: version it was made against */
	uint64_t version;     /* of a checkpoint */
	uint64_t next_offset; /* of a checkpoint: of the state that wrote it */
	const char *text;     /* the declarations; borrowed from the JSON */
	size_t text_n;
};

void config_state_init(struct config_state *s)
{
	memset(s, 0, sizeof(*s));
	s->next_offset = 1;
}

void config_state_set_log_start(struct config_state *s, uint64_t first)
{
	if (first <= s->next_offset)
		return;
	s->has_gap = true;
	s->next_offset = first;
	s->gap_end = first;
}

/*
 * Returns true if a version in force before an offset is still in force: no
 * change at or past that offset was applied, and none was missed in a gap.
 */
static bool still_in_force(const struct config_state *s, uint64_t next_offset)
{
	return s->last_change < next_offset &&
	       (!s->has_gap || next_offset >= s->gap_end);
}

void config_state_finish(struct config_state *s)
{
	config_put(s->current);
	memset(s, 0, sizeof(*s));
}

/* Returns the version in force, 0 if none. */
static uint64_t current_version(const struct config_state *s)
{
	return s->current ? s->current->version : 0;
}

/*
 * Parses a record. On any error its kind is CONFIG_RECORD_INVALID. Its text is
 * valid as long as root->value.
 */
static void parse_record(struct jread_node *root, struct record *r)
{
	char kind[16];
	struct jread_node text;

	r->kind = CONFIG_RECORD_INVALID;
	jread_string(root, "kind", kind, sizeof(kind));
	r->against = (uint64_t)jread_int_or(root, "against", 0, 0, INT64_MAX);
	r->version = (uint64_t)jread_int_or(root, "version", 0, 0, INT64_MAX);
	r->next_offset = (uint64_t)jread_int_or(root, "upto", 0, 0, INT64_MAX);
	if (!jread_require(root, "text", &text) ||
	    !json_object_is_type(text.value, json_type_string))
		return;
	r->text = json_object_get_string(text.value);
	r->text_n = (size_t)json_object_get_string_len(text.value);
	if (root->errors->n)
		return;
	if (strcmp(kind, "change") == 0)
		r->kind = CONFIG_RECORD_CHANGE;
	else if (strcmp(kind, "checkpoint") == 0)
		r->kind = CONFIG_RECORD_CHECKPOINT;
}

/* Parses a text and makes it the version in force, unless it has errors. */
static enum config_outcome install_version(struct config_state *s,
					   uint64_t version, const char *text,
					   size_t n)
{
	struct jread_errors errors;
	struct config *c;
	int r;

	jread_errors_init(&errors);
	r = config_parse(text, n, "record", &errors, &c);
	jread_errors_free(&errors);
	if (r < 0)
		return CONFIG_INVALID;
	c->version = version;
	config_put(s->current);
	s->current = c;
	return CONFIG_ACCEPTED;
}

/*
 * Closes a gap, and advances the state to a version that was in force before
 * next_offset. The caller checked that it still is.
 */
static enum config_outcome install_snapshot(struct config_state *s,
					    uint64_t version,
					    uint64_t next_offset,
					    const char *text, size_t n)
{
	enum config_outcome outcome = CONFIG_UNCHANGED;

	if (version < current_version(s))
		return CONFIG_INVALID;
	if (version > current_version(s))
		outcome = install_version(s, version, text, n);
	if (outcome == CONFIG_INVALID)
		return outcome;
	s->has_gap = false;
	if (next_offset > s->next_offset)
		s->next_offset = next_offset;
	return outcome;
}

/*
 * A checkpoint repeats the version that was in force when its writer had
 * applied all records before r->next_offset. Hosts ignore it if a change
 * follows in the log between that offset and the checkpoint.
 */
static enum config_outcome apply_checkpoint(struct config_state *s,
					    uint64_t offset,
					    const struct record *r)
{
	if (r->next_offset > offset || r->version >= r->next_offset)
		return CONFIG_INVALID;
	if (!still_in_force(s, r->next_offset))
		return CONFIG_UNCHANGED;
	if (!s->has_gap && r->version != current_version(s))
		return CONFIG_INVALID;
	s->last_checkpoint = offset;
	if (!s->has_gap)
		return CONFIG_UNCHANGED;
	return install_snapshot(s, r->version, r->next_offset, r->text,
				r->text_n);
}

static enum config_outcome apply_change(struct config_state *s, uint64_t offset,
					const struct record *r)
{
	s->last_change = offset;
	if (s->has_gap)
		return CONFIG_UNDECIDED;
	if (r->against != current_version(s))
		return CONFIG_STALE;
	return install_version(s, offset, r->text, r->text_n);
}

static enum config_outcome apply(struct config_state *s, uint64_t offset,
				 const struct record *r)
{
	switch (r->kind) {
	case CONFIG_RECORD_CHANGE:
		return apply_change(s, offset, r);
	case CONFIG_RECORD_CHECKPOINT:
		return apply_checkpoint(s, offset, r);
	case CONFIG_RECORD_INVALID:
		break;
	}
	return CONFIG_INVALID;
}

enum config_outcome config_state_apply(struct config_state *s, uint64_t offset,
				       const char *record, size_t n)
{
	struct jread_errors errors;
	struct record r = {.kind = CONFIG_RECORD_INVALID};
	enum config_outcome outcome = CONFIG_INVALID;
	struct jread_node root;

	if (offset < s->next_offset)
		return CONFIG_UNCHANGED;
	s->next_offset = offset + 1;
	jread_errors_init(&errors);
	if (jread_parse(record, n, "record", &errors, &root) == 0) {
		parse_record(&root, &r);
		outcome = apply(s, offset, &r);
		json_object_put(root.value);
	}
	jread_errors_free(&errors);
	if (outcome == CONFIG_STALE || outcome == CONFIG_INVALID)
		s->rejected_n++;
	return outcome;
}

enum config_outcome config_state_install(struct config_state *s,
					 uint64_t version, uint64_t next_offset,
					 const char *text, size_t n)
{
	/* A version is in force at least up to its own record. */
	if (next_offset <= version)
		next_offset = version + 1;
	if (!version || version < current_version(s) ||
	    !still_in_force(s, next_offset))
		return CONFIG_UNCHANGED;
	/* The log was applied past this version, so its record was seen. */
	if (!s->has_gap && version < s->next_offset)
		return CONFIG_UNCHANGED;
	return install_snapshot(s, version, next_offset, text, n);
}

static struct json_object *new_record(const char *kind, const char *by,
				      const char *text)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "kind", json_object_new_string(kind));
	json_object_object_add(o, "by", json_object_new_string(by));
	json_object_object_add(o, "text", json_object_new_string(text));
	return o;
}

static void add_number(struct json_object *o, const char *key, uint64_t n)
{
	json_object_object_add(o, key, json_object_new_int64((int64_t)n));
}

/* Returns the JSON as text that the caller frees, and releases the object. */
static char *to_text(struct json_object *o)
{
	char *s = strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));

	json_object_put(o);
	return s;
}

char *config_record_change(uint64_t against, const char *by, const char *id,
			   const char *text)
{
	struct json_object *o = new_record("change", by, text);

	add_number(o, "against", against);
	json_object_object_add(o, "id", json_object_new_string(id));
	return to_text(o);
}

char *config_record_checkpoint(uint64_t version, uint64_t next_offset,
			       const char *by, const char *text)
{
	struct json_object *o = new_record("checkpoint", by, text);

	add_number(o, "version", version);
	add_number(o, "upto", next_offset);
	return to_text(o);
}
