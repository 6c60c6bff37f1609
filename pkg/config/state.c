#include "config.h"

#include <stdlib.h>
#include <string.h>

/* A record of the configuration stream, taken apart. */
struct record {
	enum config_record_kind kind;
	uint64_t against;
	uint64_t version;
	uint64_t upto; /* of a checkpoint: it holds up to this offset */
	const char *text;
	size_t text_n;
};

/* Starts with no version, before the first record of the stream. */
void config_state_init(struct config_state *f)
{
	memset(f, 0, sizeof(*f));
	f->next_offset = 1;
}

/*
 * Tells the oldest offset that the log still has. If records expired before
 * they were folded, what is in force stays, but the fold is lost until a
 * checkpoint that stands, or a peer's version, makes it whole.
 */
void config_state_set_log_start(struct config_state *f, uint64_t first)
{
	if (first <= f->next_offset)
		return;
	f->has_gap = true;
	f->next_offset = first;
	f->gap_end = first;
}

/*
 * Tells whether a version that was in force up to an offset is so now: no change
 * was seen from there on, nor may one have been missed.
 */
static bool stands(const struct config_state *f, uint64_t upto)
{
	return f->last_change < upto && (!f->has_gap || upto >= f->gap_end);
}

/* Gives back the version in force. */
void config_state_finish(struct config_state *f)
{
	config_put(f->current);
	memset(f, 0, sizeof(*f));
}

static uint64_t version_of(const struct config_state *f)
{
	return f->current ? f->current->version : 0;
}

/* Takes a record apart; its text lives as long as root->value. */
static void read_record(struct jread_node *root, struct record *r)
{
	char kind[16];
	struct jread_node text;

	r->kind = CONFIG_RECORD_INVALID;
	jread_string(root, "kind", kind, sizeof(kind));
	r->against = (uint64_t)jread_int_or(root, "against", 0, 0, INT64_MAX);
	r->version = (uint64_t)jread_int_or(root, "version", 0, 0, INT64_MAX);
	r->upto = (uint64_t)jread_int_or(root, "upto", 0, 0, INT64_MAX);
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

/* Puts a text in force under a version. */
static enum config_outcome install(struct config_state *f, uint64_t version,
				   const char *text, size_t n)
{
	struct jread_errors faults;
	struct config *c;
	int r;

	jread_errors_init(&faults);
	r = config_parse(text, n, "record", &faults, &c);
	jread_errors_free(&faults);
	if (r < 0)
		return CONFIG_INVALID;
	c->version = version;
	config_put(f->current);
	f->current = c;
	return CONFIG_ACCEPTED;
}

/* Makes a lost or older fold that of a version known up to an offset. */
static enum config_outcome take_over(struct config_state *f, uint64_t version,
				     uint64_t upto, const char *text, size_t n)
{
	enum config_outcome outcome = CONFIG_UNCHANGED;

	if (version < version_of(f))
		return CONFIG_INVALID;
	if (version > version_of(f))
		outcome = install(f, version, text, n);
	if (outcome == CONFIG_INVALID)
		return outcome;
	f->has_gap = false;
	if (upto > f->next_offset)
		f->next_offset = upto;
	return outcome;
}

/*
 * A checkpoint carries the version in force and the offset up to which that
 * holds. Where a change came in between, every host ignores it.
 */
static enum config_outcome apply_checkpoint(struct config_state *f,
					    uint64_t offset,
					    const struct record *r)
{
	if (r->upto > offset || r->version >= r->upto)
		return CONFIG_INVALID;
	if (!stands(f, r->upto))
		return CONFIG_UNCHANGED;
	if (!f->has_gap && r->version != version_of(f))
		return CONFIG_INVALID;
	f->last_checkpoint = offset;
	if (!f->has_gap)
		return CONFIG_UNCHANGED;
	return take_over(f, r->version, r->upto, r->text, r->text_n);
}

static enum config_outcome apply_change(struct config_state *f, uint64_t offset,
					const struct record *r)
{
	f->last_change = offset;
	if (f->has_gap)
		return CONFIG_UNDECIDED;
	if (r->against != version_of(f))
		return CONFIG_STALE;
	return install(f, offset, r->text, r->text_n);
}

static enum config_outcome apply(struct config_state *f, uint64_t offset,
				 const struct record *r)
{
	switch (r->kind) {
	case CONFIG_RECORD_CHANGE:
		return apply_change(f, offset, r);
	case CONFIG_RECORD_CHECKPOINT:
		return apply_checkpoint(f, offset, r);
	case CONFIG_RECORD_INVALID:
		break;
	}
	return CONFIG_INVALID;
}

/*
 * Folds the record at an offset. Records below the next offset were folded
 * before and change nothing. Every host that folds the same records comes to
 * the same version.
 */
enum config_outcome config_state_apply(struct config_state *f, uint64_t offset,
				       const char *record, size_t n)
{
	struct jread_errors faults;
	struct record r = {.kind = CONFIG_RECORD_INVALID};
	enum config_outcome outcome = CONFIG_INVALID;
	struct jread_node root;

	if (offset < f->next_offset)
		return CONFIG_UNCHANGED;
	f->next_offset = offset + 1;
	jread_errors_init(&faults);
	if (jread_parse(record, n, "record", &faults, &root) == 0) {
		read_record(&root, &r);
		outcome = apply(f, offset, &r);
		json_object_put(root.value);
	}
	jread_errors_free(&faults);
	if (outcome == CONFIG_STALE || outcome == CONFIG_INVALID)
		f->rejected_n++;
	return outcome;
}

/*
 * Takes over a version that a peer folded, which was in force up to an offset
 * (0: only that it was once). Versions never go back: one that is behind this
 * fold is left.
 */
enum config_outcome config_state_install(struct config_state *f,
					 uint64_t version, uint64_t upto,
					 const char *text, size_t n)
{
	if (upto <= version)
		upto = version + 1;
	if (!version || version < version_of(f) || !stands(f, upto))
		return CONFIG_UNCHANGED;
	if (!f->has_gap && version < f->next_offset)
		return CONFIG_UNCHANGED;
	return take_over(f, version, upto, text, n);
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

static char *text_of(struct json_object *o)
{
	char *s = strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));

	json_object_put(o);
	return s;
}

/*
 * Writes the record of a change made against a version. The id is the writer's,
 * by which it finds its record again. Returns memory that the caller frees, or
 * NULL.
 */
char *config_record_change(uint64_t against, const char *by, const char *id,
			   const char *text)
{
	struct json_object *o = new_record("change", by, text);

	add_number(o, "against", against);
	json_object_object_add(o, "id", json_object_new_string(id));
	return text_of(o);
}

/*
 * Writes the record that repeats the version in force, as folded up to an
 * offset. Returns memory that the caller frees, or NULL.
 */
char *config_record_checkpoint(uint64_t version, uint64_t upto, const char *by,
			       const char *text)
{
	struct json_object *o = new_record("checkpoint", by, text);

	add_number(o, "version", version);
	add_number(o, "upto", upto);
	return text_of(o);
}
