#include "claim_control.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "logline.h"

/*
 * How long records are collected for one append. Doubled after -EAGAIN, and
 * reduced by a step after each success.
 */
#define BATCH_DELAY_MIN_S 0.004
#define BATCH_DELAY_MAX_S 0.128
#define BATCH_DELAY_STEP_S 0.001
#define READ_WAIT_MS 10000 /* long poll of the log */
#define BATCH_RECORDS_MAX 128
/* A batch takes no further record once its bodies have this size. */
#define BATCH_BODY_BYTES (256U << 10)

/* A record that waits for its append or is part of the current one. */
struct claim_append {
	struct claim_record record;
	char *body; /* owned; record.body points to it */
	uint32_t round;
	claim_append_fn done; /* NULL once detached */
	void *ctx;
	TAILQ_ENTRY(claim_append) entry;
};

static void append_free(struct claim_appends *list, struct claim_append *a)
{
	TAILQ_REMOVE(list, a, entry);
	free(a->body);
	free(a);
}

/* Starts the batch delay if records wait and no append is running. */
static void start_batch_timer(struct daemon *d)
{
	struct claim_control *cc = &d->claim_control;

	if (cc->appending || ev_is_active(&cc->batch_timer) ||
	    TAILQ_EMPTY(&cc->waiting))
		return;
	ev_timer_set(&cc->batch_timer, cc->batch_delay_s, 0.);
	ev_timer_start(d->loop, &cc->batch_timer);
}

/*
 * Adapts the batch delay to the result of an append. While the log refuses
 * appends because of their rate, batches become fewer and larger.
 */
static void adapt_batch_delay(struct claim_control *cc, int error)
{
	if (error == -EAGAIN)
		cc->batch_delay_s *= 2;
	else if (!error)
		cc->batch_delay_s -= BATCH_DELAY_STEP_S;
	if (cc->batch_delay_s > BATCH_DELAY_MAX_S)
		cc->batch_delay_s = BATCH_DELAY_MAX_S;
	if (cc->batch_delay_s < BATCH_DELAY_MIN_S)
		cc->batch_delay_s = BATCH_DELAY_MIN_S;
}

/* Passes the result of an append to the owners of its records. */
static void on_appended(void *ctx, int error, uint64_t offset)
{
	struct daemon *d = ctx;
	struct claim_control *cc = &d->claim_control;
	struct claim_appends batch = TAILQ_HEAD_INITIALIZER(batch);
	struct claim_append *a;

	cc->appending = false;
	adapt_batch_delay(cc, error);
	TAILQ_CONCAT(&batch, &cc->in_flight, entry);
	while ((a = TAILQ_FIRST(&batch))) {
		if (a->done)
			a->done(a->ctx, a->record.kind, a->round, error);
		append_free(&batch, a);
	}
	start_batch_timer(d);
}

/*
 * Moves waiting records to the batch in flight and copies them to r, which has
 * BATCH_RECORDS_MAX elements. Returns their number.
 */
static uint32_t fill_batch(struct claim_control *cc, struct claim_record *r)
{
	struct claim_append *a;
	size_t bytes = 0;
	uint32_t n = 0;

	while (n < BATCH_RECORDS_MAX && bytes < BATCH_BODY_BYTES &&
	       (a = TAILQ_FIRST(&cc->waiting))) {
		TAILQ_REMOVE(&cc->waiting, a, entry);
		TAILQ_INSERT_TAIL(&cc->in_flight, a, entry);
		r[n++] = a->record;
		bytes += strlen(a->body);
	}
	return n;
}

static void on_batch_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct claim_record r[BATCH_RECORDS_MAX];
	struct daemon *d = w->data;
	struct claim_control *cc = &d->claim_control;
	struct metrics *m = &d->board.metrics;
	uint32_t n = fill_batch(cc, r);
	char *text;

	if (!n)
		return;
	text = claim_encode(d->settings.host, r, n);
	cc->appending = true;
	metrics_add(m, METRIC_CLAIM_APPENDS, 1);
	metrics_add(m, METRIC_CLAIM_RECORDS, n);
	if (!text ||
	    platform_append_start(&d->platform, &cc->append, CLAIM_STREAM, text,
				  strlen(text), on_appended, d) < 0)
		on_appended(d, -EAGAIN, 0);
	free(text);
}

int claim_control_append(struct daemon *d, const struct claim_record *r,
			 uint32_t round, claim_append_fn done, void *ctx)
{
	struct claim_append *a = calloc(1, sizeof(*a));

	if (!a)
		return -ENOMEM;
	a->record = *r;
	a->body = strdup(r->body);
	if (!a->body) {
		free(a);
		return -ENOMEM;
	}
	a->record.body = a->body;
	a->round = round;
	a->done = done;
	a->ctx = ctx;
	TAILQ_INSERT_TAIL(&d->claim_control.waiting, a, entry);
	start_batch_timer(d);
	return 0;
}

void claim_control_detach(struct daemon *d, const void *ctx)
{
	struct claim_append *a;

	TAILQ_FOREACH(a, &d->claim_control.waiting, entry)
	if (a->ctx == ctx)
		a->done = NULL;
	TAILQ_FOREACH(a, &d->claim_control.in_flight, entry)
	if (a->ctx == ctx)
		a->done = NULL;
}

bool claim_control_is_available(const struct daemon *d)
{
	return !d->claim_control.out_of_memory &&
	       !d->claim_control.unavailable &&
	       d->claim_control.index.entry_n < CLAIM_ENTRIES_MAX;
}

static void on_record(void *ctx, const struct platform_record *r)
{
	struct daemon *d = ctx;
	int error;

	error = claim_index_apply(&d->claim_control.index, r->offset, r->data,
				  r->data_n);
	if (error == -EBADMSG)
		logline(LOG_WARNING, "claims-malformed", "offset=%llu",
			(unsigned long long)r->offset);
	if (error == -ENOMEM)
		d->claim_control.out_of_memory = true;
}

static void on_read(void *ctx, int error, uint64_t first, uint64_t next)
{
	struct daemon *d = ctx;

	d->claim_control.unavailable = error != 0;
	if (error)
		return;
	claim_index_advance(&d->claim_control.index, first,
			    d->claim_control.log_reader.next);
	service_on_index_advance(d);
}

void claim_control_start(struct daemon *d)
{
	struct claim_control *cc = &d->claim_control;

	claim_index_init(&cc->index);
	TAILQ_INIT(&cc->waiting);
	TAILQ_INIT(&cc->in_flight);
	ev_timer_init(&cc->batch_timer, on_batch_timer, 0., 0.);
	cc->batch_timer.data = d;
	cc->batch_delay_s = BATCH_DELAY_MIN_S;
	cc->unavailable = true;
	platform_follow_start(&d->platform, &cc->log_reader, CLAIM_STREAM, 1,
			      READ_WAIT_MS, on_record, on_read, d);
}

void claim_control_stop(struct daemon *d)
{
	struct claim_control *cc = &d->claim_control;

	platform_follow_stop(&cc->log_reader);
	fetch_cancel(&cc->append.call);
	ev_timer_stop(d->loop, &cc->batch_timer);
	while (!TAILQ_EMPTY(&cc->waiting))
		append_free(&cc->waiting, TAILQ_FIRST(&cc->waiting));
	while (!TAILQ_EMPTY(&cc->in_flight))
		append_free(&cc->in_flight, TAILQ_FIRST(&cc->in_flight));
	claim_index_finish(&cc->index);
}
