#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct json_object *records(const struct engine *e)
{
	struct json_object *array = json_object_new_array();
	struct json_object *o;
	uint32_t i;

	for (i = 0; i < e->record_n; i++) {
		o = json_object_new_object();
		json_object_object_add(
			o, "at_us", json_object_new_int64(e->record[i].at_us));
		json_object_object_add(
			o, "what", json_object_new_string(e->record[i].what));
		json_object_object_add(
			o, "run", json_object_new_string(e->record[i].run));
		json_object_object_add(
			o, "tokens",
			json_object_new_int64(e->record[i].tokens));
		json_object_array_add(array, o);
	}
	return array;
}

static void answer_records(struct engine *e, struct httpd_call *c)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "prefills",
			       json_object_new_int64((int64_t)e->prefills));
	json_object_object_add(
		o, "prefills_wasted",
		json_object_new_int64((int64_t)e->prefills_wasted));
	json_object_object_add(o, "tokens",
			       json_object_new_int64((int64_t)e->tokens));
	json_object_object_add(o, "crashes",
			       json_object_new_int64((int64_t)e->crashes));
	json_object_object_add(o, "running",
			       json_object_new_int64(engine_slots_used(e)));
	json_object_object_add(o, "records", records(e));
	reply(c, 200, o);
}

/* Switches one fault; false if there is none of that name. */
static bool set_fault(struct engine *e, const char *name, bool on,
		      uint32_t value)
{
	const struct {
		const char *name;
		bool *flag;
	} flags[] = {
		{"hang", &e->faults.hang},
		{"stall-transfer", &e->faults.stall_transfer},
		{"crossed", &e->faults.crossed},
		{"ignore-fence", &e->faults.stale_ok},
		{"full", &e->faults.full},
		{"leaving", &e->leaving},
		{"late", &e->faults.late},
		{"lose-events", &e->faults.lose_events},
	};
	size_t i;

	if (strcmp(name, "late") == 0)
		e->faults.late_ms = value;
	if (strcmp(name, "silent") == 0) {
		e->faults.silent_to = on ? e->httpd.connections : 0;
		return true;
	}
	for (i = 0; i < sizeof(flags) / sizeof(flags[0]); i++)
		if (strcmp(flags[i].name, name) == 0) {
			*flags[i].flag = on;
			return true;
		}
	return false;
}

static void answer_fault(struct engine *e, struct httpd_call *c,
			 struct jread_node *root)
{
	char name[NAME_BYTES];
	uint32_t value;
	bool on;

	jread_string(root, "name", name, sizeof(name));
	value = (uint32_t)jread_int_or(root, "value", 1000, 0, 600000);
	on = jread_bool_or(root, "on", true);
	if (strcmp(name, "crash") == 0)
		engine_crash(e);
	else if (!set_fault(e, name, on, value)) {
		reply_error(c, 404, "no such fault");
		return;
	}
	reply(c, 200, json_object_new_object());
	if (!e->faults.hang) {
		prefill_next(e);
		decode_steps(e);
	}
}

/*
 * Serves the admin address: GET /record and POST /fault {"name","on","value"}.
 * "silent" takes the connections that are open now; "late" takes milliseconds.
 */
void faults_handle(void *ctx, struct httpd_call *c)
{
	struct engine *e = ctx;
	struct jread_errors faults;
	struct jread_node root;
	const char *body;
	size_t n;

	if (strcmp(httpd_path(c), "/record") == 0) {
		answer_records(e, c);
		return;
	}
	jread_errors_init(&faults);
	body = httpd_body(c, &n);
	if (strcmp(httpd_path(c), "/fault") ||
	    jread_parse(body, n, "body", &faults, &root) < 0) {
		reply_error(c, 400, "expected POST /fault or GET /record");
	} else {
		answer_fault(e, c, &root);
		json_object_put(root.value);
	}
	jread_errors_free(&faults);
}
