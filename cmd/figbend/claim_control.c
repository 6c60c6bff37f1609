#include "claim_control.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "logline.h"

#define GATHER_MIN_S 0.004 /* claims that arrive together share an append */
#define GATHER_MAX_S 0.128 /* while the log refuses appends */
#define GATHER_LESS_S 0.001
#define READ_WAIT_MS 10000
#define BATCH_RECORDS 128
#define BATCH_BODY_BYTES (256U << 10)

/* A record that waits for its append or is under way in one. */
struct claim_append {
	struct claim_record record;
	char *body;
	uint32_t round;
	claim_append_fn done; /* NULL once its owner has gone */
	void *ctx;
	TAILQ_ENTRY(claim_append) entry;
};

static void append_free(struct claim_appends *list, struct claim_append *a)
{
	TAILQ_REMOVE(list, a, entry);
	free(a->body);
	free(a);
}

/* Waits for more records to share the next append. */
static void gather(struct daemon *d)
{
	struct claim_control *cc = &d->claim_control;

	if (cc->appending || ev_is_active(&cc->batch_timer) ||
	    TAILQ_EMPTY(&cc->waiting))
		return;
	ev_timer_set(&cc->batch_timer, cc->batch_delay_s, 0.);
	ev_timer_start(d->loop, &cc->batch_timer);
}

/* Gathers longer while the log is over its rate: fewer, larger appends. */
static void set_pace(struct claim_control *cc, int error)
{
	if (error == -EAGAIN)
		cc->batch_delay_s *= 2;
	else if (!error)
		cc->batch_delay_s -= GATHER_LESS_S;
	if (cc->batch_delay_s > GATHER_MAX_S)
		cc->batch_delay_s = GATHER_MAX_S;
	if (cc->batch_delay_s < GATHER_MIN_S)
		cc->batch_delay_s = GATHER_MIN_S;
}

/* Tells the owners of the batch that was under way how it went. */
static void on_appended(void *ctx, int error, uint64_t offset)
{
	struct daemon *d = ctx;
	struct claim_control *cc = &d->claim_control;
	struct claim_appends batch = TAILQ_HEAD_INITIALIZER(batch);
	struct claim_append *a;

	cc->appending = false;
	set_pace(cc, error);
	TAILQ_CONCAT(&batch, &cc->in_flight, entry);
	while ((a = TAILQ_FIRST(&batch))) {
		if (a->done)
			a->done(a->ctx, a->record.kind, a->round, error);
		append_free(&batch, a);
	}
	gather(d);
}

/* Moves the next records to the batch and copies them. Returns their number. */
static uint32_t take_batch(struct claim_control *cc, struct claim_record *r)
{
	struct claim_append *a;
	size_t bytes = 0;
	uint32_t n = 0;

	while (n < BATCH_RECORDS && bytes < BATCH_BODY_BYTES &&
	       (a = TAILQ_FIRST(&cc->waiting))) {
		TAILQ_REMOVE(&cc->waiting, a, entry);
		TAILQ_INSERT_TAIL(&cc->in_flight, a, entry);
		r[n++] = a->record;
		bytes += strlen(a->body);
	}
	return n;
}

static void on_gather(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct claim_record r[BATCH_RECORDS];
	struct daemon *d = w->data;
	struct claim_control *cc = &d->claim_control;
	struct metrics *m = &d->board.metrics;
	uint32_t n = take_batch(cc, r);
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

/*
 * Appends a record to the stream of claims, together with others that arrive
 * within a few milliseconds. The record and its body are copied; done is called
 * later, once, unless the owner forgets it. Returns 0 or -ENOMEM.
 */
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
	gather(d);
	return 0;
}

/* Calls nothing of an owner any more; its records are appended all the same. */
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

/* Tells whether calls can be claimed now: the log answers and there is room. */
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

/* Follows the stream of claims from its oldest record on. */
void claim_control_start(struct daemon *d)
{
	struct claim_control *cc = &d->claim_control;

	claim_index_init(&cc->index);
	TAILQ_INIT(&cc->waiting);
	TAILQ_INIT(&cc->in_flight);
	ev_timer_init(&cc->batch_timer, on_gather, 0., 0.);
	cc->batch_timer.data = d;
	cc->batch_delay_s = GATHER_MIN_S;
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
