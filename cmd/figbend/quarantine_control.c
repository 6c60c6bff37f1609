#include "serving.h"

#include <string.h>

#include "logline.h"

/* Crashes within this time go to the other hosts in one message. */
#define REPORT_DELAY_S 0.05

/* Returns true, and counts it, if the quarantine blocks the request. */
bool quarantine_control_is_blocked(struct serving *s)
{
	struct board *b = &s->daemon->board;
	bool blocked;

	blocked = quarantine_check(&b->quarantine, s->fingerprint,
				   daemon_now_us(s->daemon)) ==
		  QUARANTINE_BLOCKED;
	if (blocked)
		metrics_add(&b->metrics, METRIC_QUARANTINED, 1);
	return blocked;
}

static void make_active(struct serving *s)
{
	s->daemon->quarantine_control.active = s;
	admit_control_reserve(s);
}

/*
 * Starts the reservation for a request. Suspects run one at a time: the next
 * one starts after the first token of the active one, or the end of its
 * attempt. This shows which request crashes endpoints, and prevents the many
 * requests that a crash interrupted from all starting to prefill at once.
 */
void quarantine_control_reserve(struct serving *s)
{
	struct daemon *d = s->daemon;
	struct quarantine_control *k = &d->quarantine_control;

	switch (quarantine_check(&d->board.quarantine, s->fingerprint,
				 daemon_now_us(d))) {
	case QUARANTINE_CLEAR:
		admit_control_reserve(s);
		return;
	case QUARANTINE_BLOCKED:
		metrics_add(&d->board.metrics, METRIC_QUARANTINED, 1);
		serving_refuse(s, REQUEST_ERR_QUARANTINED);
		return;
	case QUARANTINE_SUSPECT:
		break;
	}
	if (!k->active) {
		make_active(s);
		return;
	}
	s->suspect_waiting = true;
	TAILQ_INSERT_TAIL(&k->waiting, s, suspect_entry);
}

/* Starts the next suspect in the next iteration of the event loop. */
static void schedule_next(struct daemon *d)
{
	struct quarantine_control *k = &d->quarantine_control;

	if (TAILQ_EMPTY(&k->waiting) || ev_is_active(&k->next_timer))
		return;
	ev_timer_set(&k->next_timer, 0., 0.);
	ev_timer_start(d->loop, &k->next_timer);
}

static void on_next_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct daemon *d = w->data;
	struct quarantine_control *k = &d->quarantine_control;
	struct serving *s = TAILQ_FIRST(&k->waiting);

	if (!s || k->active)
		return;
	TAILQ_REMOVE(&k->waiting, s, suspect_entry);
	s->suspect_waiting = false;
	quarantine_control_reserve(s);
	/* It was blocked, refused or cleared; the next one may run. */
	if (!k->active)
		schedule_next(d);
}

static void end_active(struct serving *s)
{
	struct quarantine_control *k = &s->daemon->quarantine_control;

	if (k->active != s)
		return;
	k->active = NULL;
	schedule_next(s->daemon);
}

/*
 * Records that a request starts on an endpoint, if it is a suspect. Its run on
 * the endpoint of the previous step has ended.
 */
void quarantine_control_started(struct serving *s, const char *endpoint)
{
	struct quarantine *q = &s->daemon->board.quarantine;
	int64_t now_us = daemon_now_us(s->daemon);

	if (s->suspect_running)
		quarantine_ended(q, s->fingerprint, now_us);
	s->suspect_running = quarantine_check(q, s->fingerprint, now_us) !=
			     QUARANTINE_CLEAR;
	if (s->suspect_running)
		quarantine_started(q, s->fingerprint, endpoint, now_us);
}

/* The request produced its first token: the next suspect may run. */
void quarantine_control_on_first_token(struct serving *s)
{
	end_active(s);
}

/* Ends an attempt, for whatever reason, also while it waits to run. */
void quarantine_control_ended(struct serving *s)
{
	struct daemon *d = s->daemon;

	if (s->suspect_waiting)
		TAILQ_REMOVE(&d->quarantine_control.waiting, s, suspect_entry);
	if (s->suspect_running)
		quarantine_ended(&d->board.quarantine, s->fingerprint,
				 daemon_now_us(d));
	s->suspect_waiting = false;
	s->suspect_running = false;
	end_active(s);
}

static void on_report_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct daemon *d = w->data;
	struct quarantine_control *k = &d->quarantine_control;
	const struct member_epoch *e = &d->board.epoch;
	struct fig_call call = {.kind = FIG_CRASH};
	uint32_t i;

	call.fig_call_u.crash.crashed.crashed_val = k->report;
	call.fig_call_u.crash.crashed.crashed_len = k->report_n;
	for (i = 0; i < e->n; i++)
		if (strcmp(e->host[i].name, d->settings.host))
			peer_send(&d->peer, e->host[i].addr, &call);
	k->report_n = 0;
}

/*
 * Counts a crash of an endpoint that ran the request, and reports it to all
 * other hosts.
 */
void quarantine_control_record_crash(struct serving *s, const char *endpoint)
{
	struct daemon *d = s->daemon;
	struct quarantine_control *k = &d->quarantine_control;
	struct fig_crashed *c;
	bool blocked;

	blocked = quarantine_record_crash(&d->board.quarantine, s->fingerprint,
					  endpoint, daemon_now_us(d));
	metrics_add(&d->board.metrics, METRIC_CRASH_SUSPECTS, 1);
	logline(LOG_WARNING, "endpoint-crashed",
		"request=%s endpoint=%s fingerprint=%016llx quarantined=%d",
		s->request.id, endpoint, (unsigned long long)s->fingerprint,
		blocked);
	if (k->report_n == FIG_CRASHES_MAX)
		return; /* the message is full: other hosts miss this crash */
	c = &k->report[k->report_n++];
	c->fingerprint = s->fingerprint;
	c->held = blocked;
	if (ev_is_active(&k->report_timer))
		return;
	ev_timer_set(&k->report_timer, REPORT_DELAY_S, 0.);
	ev_timer_start(d->loop, &k->report_timer);
}

/* Counts the crashes that another host reports. */
void quarantine_control_apply_report(struct daemon *d,
				     const struct fig_crash *crash)
{
	const struct fig_crashed *c = crash->crashed.crashed_val;
	uint32_t i;

	for (i = 0; i < crash->crashed.crashed_len; i++)
		quarantine_apply_report(&d->board.quarantine, c[i].fingerprint,
					c[i].held, daemon_now_us(d));
}

void quarantine_control_start(struct daemon *d)
{
	struct quarantine_control *k = &d->quarantine_control;

	TAILQ_INIT(&k->waiting);
	quarantine_init(&d->board.quarantine);
	retry_init(&d->board.retry_budgets);
	ev_timer_init(&k->report_timer, on_report_timer, 0., 0.);
	k->report_timer.data = d;
	ev_timer_init(&k->next_timer, on_next_timer, 0., 0.);
	k->next_timer.data = d;
}

void quarantine_control_stop(struct daemon *d)
{
	ev_timer_stop(d->loop, &d->quarantine_control.report_timer);
	ev_timer_stop(d->loop, &d->quarantine_control.next_timer);
}
