#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RECORDS_A_READ 1024

static struct log_stream *find_stream(struct platform *p, const char *name)
{
	struct log_stream *s;

	TAILQ_FOREACH(s, &p->streams, entry)
	if (strcmp(s->name, name) == 0)
		return s;
	s = calloc(1, sizeof(*s));
	if (!s)
		abort();
	s->first = 1;
	snprintf(s->name, sizeof(s->name), "%s", name);
	TAILQ_INSERT_TAIL(&p->streams, s, entry);
	return s;
}

static struct log_record *record_at(struct log_stream *s, uint64_t offset)
{
	return &s->record[offset - 1];
}

/* Drops the records that are older than the retention. */
static void expire(struct platform *p, struct log_stream *s)
{
	int64_t oldest_us = now_us() - p->retention_ms * 1000LL;
	struct log_record *r;

	if (!p->retention_ms)
		return;
	for (; s->first <= s->n; s->first++) {
		r = record_at(s, s->first);
		if (r->at_us >= oldest_us)
			return;
		free(r->data);
		r->data = NULL;
	}
}

static void answer_read(struct platform *p, struct log_stream *s,
			struct httpd_call *c, uint64_t from, uint64_t max)
{
	struct json_object *o = json_object_new_object();
	struct json_object *array = json_object_new_array();
	struct json_object *item;
	struct log_record *r;

	expire(p, s);
	if (from < s->first)
		from = s->first;
	json_object_object_add(o, "first",
			       json_object_new_int64((int64_t)s->first));
	json_object_object_add(o, "next",
			       json_object_new_int64((int64_t)s->n + 1));
	for (; from <= s->n && max; from++, max--) {
		r = record_at(s, from);
		item = json_object_new_object();
		json_object_object_add(
			item, "offset",
			json_object_new_int64((int64_t)r->offset));
		json_object_object_add(item, "data",
				       json_object_new_string_len(r->data,
								  (int)r->n));
		json_object_array_add(array, item);
	}
	json_object_object_add(o, "records", array);
	reply(c, 200, o);
}

static void reader_free(struct log_reader *r)
{
	ev_timer_stop(r->platform->loop, &r->timer);
	TAILQ_REMOVE(&r->platform->readers, r, entry);
	free(r);
}

static void reader_answer(struct log_reader *r)
{
	answer_read(r->platform, r->stream, r->call, r->from, r->max);
	reader_free(r);
}

static void on_reader_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	reader_answer(w->data);
}

static void on_reader_gone(void *ctx, struct httpd_call *c)
{
	reader_free(ctx);
	httpd_stream_abort(c);
}

/* Cuts every read that waits, as an outage does. */
void log_cut_readers(struct platform *p)
{
	struct log_reader *r;
	struct httpd_call *c;

	while ((r = TAILQ_FIRST(&p->readers))) {
		c = r->call;
		reader_free(r);
		httpd_stream_abort(c);
	}
}

static uint64_t query_number(struct httpd_call *c, const char *name,
			     uint64_t fallback)
{
	const char *s = httpd_query(c, name);

	return s ? strtoull(s, NULL, 10) : fallback;
}

static void handle_read(struct platform *p, struct httpd_call *c,
			struct log_stream *s)
{
	uint64_t from = query_number(c, "from", 1);
	uint64_t wait_ms = query_number(c, "wait_ms", 0);
	uint64_t max = query_number(c, "max", RECORDS_A_READ);
	struct log_reader *r;

	p->total_reads++;
	if (from <= s->n || !wait_ms) {
		answer_read(p, s, c, from, max);
		return;
	}
	r = calloc(1, sizeof(*r));
	if (!r)
		abort();
	r->platform = p;
	r->stream = s;
	r->call = c;
	r->from = from;
	r->max = max;
	ev_timer_init(&r->timer, on_reader_timer, (double)wait_ms / 1000., 0.);
	r->timer.data = r;
	ev_timer_start(p->loop, &r->timer);
	TAILQ_INSERT_TAIL(&p->readers, r, entry);
	httpd_on_gone(c, on_reader_gone, r);
}

static void wake_readers(struct platform *p, struct log_stream *s)
{
	struct log_reader *r, *next;

	for (r = TAILQ_FIRST(&p->readers); r; r = next) {
		next = TAILQ_NEXT(r, entry);
		if (r->stream == s)
			reader_answer(r);
	}
}

static bool over_rate(struct platform *p)
{
	int64_t second = now_us() / 1000000;

	if (p->second != second) {
		p->second = second;
		p->appends = 0;
	}
	return ++p->appends > p->appends_a_s;
}

static uint64_t append(struct log_stream *s, const char *data, size_t n)
{
	struct log_record *r;

	if (s->n == s->capacity) {
		s->capacity = s->capacity ? 2 * s->capacity : 64;
		r = realloc(s->record, s->capacity * sizeof(*r));
		if (!r)
			abort();
		s->record = r;
	}
	r = &s->record[s->n++];
	r->offset = s->n;
	r->at_us = now_us();
	r->data = malloc(n + 1);
	if (!r->data)
		abort();
	memcpy(r->data, data, n);
	r->n = n;
	return r->offset;
}

static void handle_append(struct platform *p, struct httpd_call *c,
			  struct log_stream *s)
{
	struct json_object *o;
	const char *data;
	uint64_t offset;
	size_t n;

	if (over_rate(p)) {
		o = json_object_new_object();
		reply(c, 429, o);
		return;
	}
	data = httpd_body(c, &n);
	offset = append(s, data, n);
	p->total_appends++;
	if (p->lose_answers) {
		p->lose_answers--;
		httpd_stream_abort(c);
	} else {
		o = json_object_new_object();
		json_object_object_add(o, "offset",
				       json_object_new_int64((int64_t)offset));
		reply(c, 200, o);
	}
	wake_readers(p, s);
}

/* Serves GET and POST of /log/STREAM. */
void log_handle(struct platform *p, struct httpd_call *c, const char *stream)
{
	struct log_stream *s = find_stream(p, stream);

	if (strcmp(httpd_method(c), "POST") == 0)
		handle_append(p, c, s);
	else
		handle_read(p, c, s);
}
