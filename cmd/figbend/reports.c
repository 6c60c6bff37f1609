#include <string.h>
#include <time.h>

#include <json-c/json.h>

#include "daemon.h"
#include "reports.h"

static void respond_json(struct httpd_call *c, struct json_object *root)
{
	const char *text =
		json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN);

	httpd_answer(c, 200, "application/json", NULL, text, strlen(text));
	json_object_put(root);
}

static void put_int(struct json_object *o, const char *key, int64_t n)
{
	json_object_object_add(o, key, json_object_new_int64(n));
}

static struct json_object *counts_json(const struct burn_counts *counts)
{
	struct json_object *o = json_object_new_object();
	uint32_t c;

	for (c = 0; c < BURN_CAUSE_COUNT; c++)
		put_int(o, burn_cause_name(c), (int64_t)counts->n[c]);
	return o;
}

static struct json_object *buckets_json(const uint32_t *bucket)
{
	struct json_object *array = json_object_new_array();
	uint32_t i;

	for (i = 0; i < BURN_BUCKETS; i++)
		json_object_array_add(array, json_object_new_int64(bucket[i]));
	return array;
}

static struct json_object *pair_json(const struct burn_pair *p, int64_t now_us)
{
	struct json_object *o = json_object_new_object();
	struct burn_counts counts;

	json_object_object_add(o, "account",
			       json_object_new_string(p->account));
	json_object_object_add(o, "model", json_object_new_string(p->model));
	put_int(o, "objective_parts", p->objective_ppm);
	burn_sum_short_window(p, now_us, &counts);
	json_object_object_add(o, "short", counts_json(&counts));
	burn_sum_long_window(p, now_us, &counts);
	json_object_object_add(o, "long", counts_json(&counts));
	json_object_object_add(o, "first_token_buckets",
			       buckets_json(p->first_token_bucket));
	json_object_object_add(o, "gap_buckets",
			       buckets_json(p->token_gap_bucket));
	return o;
}

/* Lists the slots of the timeline, with their start by the wall clock. */
static struct json_object *timeline_json(const struct burn *b, int64_t now_us)
{
	struct json_object *array = json_object_new_array();
	const struct burn_slot *s;
	struct json_object *o;
	struct timespec ts;
	int64_t clock_offset_us; /* from the monotonic to the wall clock */
	uint32_t i;

	clock_gettime(CLOCK_REALTIME, &ts);
	clock_offset_us = ts.tv_sec * 1000000LL + ts.tv_nsec / 1000 - now_us;
	for (i = 0; i < BURN_TIMELINE_SLOTS; i++) {
		s = burn_timeline_slot(b, i, now_us);
		if (!s)
			continue;
		o = json_object_new_object();
		put_int(o, "at_s",
			(s->number * BURN_TIMELINE_SLOT_US + clock_offset_us) /
				1000000);
		put_int(o, "good", s->n[BURN_GOOD]);
		put_int(o, "bad", (int64_t)burn_slot_bad(s));
		json_object_array_add(array, o);
	}
	return array;
}

/*
 * Responds with the counts of requests by account and model. The client adds up
 * the counts of all hosts.
 */
void reports_handle_burn(struct daemon *d, struct httpd_call *c)
{
	const struct burn *b = &d->board.burn;
	struct json_object *root = json_object_new_object();
	struct json_object *pairs = json_object_new_array();
	int64_t now_us = daemon_now_us(d);
	uint32_t i;

	for (i = 0; i < b->pair_n; i++)
		json_object_array_add(pairs, pair_json(&b->pair[i], now_us));
	json_object_object_add(root, "host",
			       json_object_new_string(d->settings.host));
	json_object_object_add(root, "pairs", pairs);
	put_int(root, "slot_s", BURN_TIMELINE_SLOT_US / 1000000);
	json_object_object_add(root, "timeline", timeline_json(b, now_us));
	respond_json(c, root);
}

static void add_record(void *ctx, const struct trace_record *r)
{
	struct json_object *o = json_object_new_object();

	put_int(o, "at_us", r->at_us);
	put_int(o, "attempt", r->attempt);
	json_object_object_add(o, "what", json_object_new_string(r->event));
	json_object_object_add(o, "text", json_object_new_string(r->text));
	json_object_array_add(ctx, o);
}

/* Responds with the trace records of one request, oldest first. */
void reports_handle_explain(struct daemon *d, struct httpd_call *c)
{
	static const char unknown[] = "request not found in the trace ring\n";
	const char *id = httpd_query(c, "id");
	struct json_object *array = json_object_new_array();

	if (id && trace_find(&d->board.trace, id, add_record, array)) {
		respond_json(c, array);
		return;
	}
	json_object_put(array);
	httpd_answer(c, 404, "text/plain", NULL, unknown, sizeof(unknown) - 1);
}
