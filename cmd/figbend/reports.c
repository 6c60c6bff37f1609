#include <string.h>
#include <time.h>

#include <json-c/json.h>

#include "daemon.h"
#include "reports.h"

static void answer_json(struct httpd_call *c, struct json_object *root)
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

static struct json_object *sum_json(const struct burn_counts *s)
{
	struct json_object *o = json_object_new_object();
	uint32_t c;

	for (c = 0; c < BURN_CAUSE_COUNT; c++)
		put_int(o, burn_cause_name(c), (int64_t)s->n[c]);
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
	struct burn_counts sum;

	json_object_object_add(o, "account",
			       json_object_new_string(p->account));
	json_object_object_add(o, "model", json_object_new_string(p->model));
	put_int(o, "objective_parts", p->objective_ppm);
	burn_sum_short_window(p, now_us, &sum);
	json_object_object_add(o, "short", sum_json(&sum));
	burn_sum_long_window(p, now_us, &sum);
	json_object_object_add(o, "long", sum_json(&sum));
	json_object_object_add(o, "first_token_buckets",
			       buckets_json(p->first_token_bucket));
	json_object_object_add(o, "gap_buckets",
			       buckets_json(p->token_gap_bucket));
	return o;
}

/* Lists the timeline's slots by the time of day at which they began. */
static struct json_object *timeline_json(const struct burn *b, int64_t now_us)
{
	struct json_object *array = json_object_new_array();
	const struct burn_slot *s;
	struct json_object *o;
	struct timespec ts;
	int64_t shift_us;
	uint32_t i;

	clock_gettime(CLOCK_REALTIME, &ts);
	shift_us = ts.tv_sec * 1000000LL + ts.tv_nsec / 1000 - now_us;
	for (i = 0; i < BURN_TIMELINE_SLOTS; i++) {
		s = burn_timeline_slot(b, i, now_us);
		if (!s)
			continue;
		o = json_object_new_object();
		put_int(o, "at_s",
			(s->number * BURN_TIMELINE_SLOT_US + shift_us) /
				1000000);
		put_int(o, "good", s->n[BURN_GOOD]);
		put_int(o, "bad", (int64_t)burn_slot_bad(s));
		json_object_array_add(array, o);
	}
	return array;
}

/* Answers with burn by account and model, in sums that hosts add up. */
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
	answer_json(c, root);
}

static void take_record(void *ctx, const struct trace_record *r)
{
	struct json_object *o = json_object_new_object();

	put_int(o, "at_us", r->at_us);
	put_int(o, "attempt", r->attempt);
	json_object_object_add(o, "what", json_object_new_string(r->event));
	json_object_object_add(o, "text", json_object_new_string(r->text));
	json_object_array_add(ctx, o);
}

/* Answers with the decisions on one request, oldest first. */
void reports_handle_explain(struct daemon *d, struct httpd_call *c)
{
	static const char unknown[] = "no such request in this host's ring\n";
	const char *id = httpd_query(c, "id");
	struct json_object *array = json_object_new_array();

	if (id && trace_find(&d->board.trace, id, take_record, array)) {
		answer_json(c, array);
		return;
	}
	json_object_put(array);
	httpd_answer(c, 404, "text/plain", NULL, unknown, sizeof(unknown) - 1);
}
