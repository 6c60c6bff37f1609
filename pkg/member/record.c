#include "member.h"

#include <string.h>
#include <json-c/json.h>

static struct json_object *new_record(const char *kind)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "kind", json_object_new_string(kind));
	return o;
}

static void add_string(struct json_object *o, const char *key, const char *s)
{
	json_object_object_add(o, key, json_object_new_string(s));
}

static void add_number(struct json_object *o, const char *key, uint64_t n)
{
	json_object_object_add(o, key, json_object_new_int64((int64_t)n));
}

static void add_host(struct json_object *o, const struct member_host *h)
{
	add_string(o, "host", h->name);
	add_string(o, "domain", h->domain);
	add_string(o, "addr", h->addr);
	add_number(o, "boot", h->boot);
}

/* Returns an object as text that the caller frees, and frees the object. */
static char *to_text(struct json_object *o)
{
	char *s = strdup(
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));

	json_object_put(o);
	return s;
}

char *member_record_join(const struct member_host *h)
{
	struct json_object *o = new_record("join");

	add_host(o, h);
	return to_text(o);
}

char *member_record_leave(const struct member_host *h)
{
	struct json_object *o = new_record("leave");

	add_string(o, "host", h->name);
	add_number(o, "boot", h->boot);
	return to_text(o);
}

char *member_record_remove(const struct member_host *h, const char *by)
{
	struct json_object *o = new_record("remove");

	add_string(o, "host", h->name);
	add_number(o, "joined", h->join_offset);
	add_string(o, "by", by);
	return to_text(o);
}

char *member_record_checkpoint(const struct member_state *s)
{
	struct json_object *o = new_record("checkpoint");
	struct json_object *array = json_object_new_array();
	const struct member_host *h;
	struct json_object *item;
	uint32_t i;

	add_number(o, "number", s->epoch->number);
	add_number(o, "upto", s->next_offset);
	for (i = 0; i < s->epoch->n; i++) {
		h = &s->epoch->host[i];
		item = json_object_new_object();
		add_host(item, h);
		add_number(item, "joined", h->join_offset);
		json_object_object_add(item, "leaving",
				       json_object_new_boolean(h->leaving));
		json_object_array_add(array, item);
	}
	json_object_object_add(o, "hosts", array);
	return to_text(o);
}
