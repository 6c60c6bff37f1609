#include "serving.h"

#include <string.h>

#include "logline.h"

#define TELL_S 0.05

/* Tells whether the request is quarantined. */
bool suspect_control_is_blocked(struct serving *s)
{
	struct board *b = &s->daemon->board;
	bool held;

	held = quarantine_check(&b->quarantine, s->fingerprint,
				daemon_now_us(s->daemon)) == QUARANTINE_BLOCKED;
	if (held)
		metrics_add(&b->metrics, METRIC_quarantined, 1);
	return held;
}

static void take_turn(struct serving *s)
{
	s->daemon->suspects.turn = s;
	admit_control_reserve(s);
}

/*
 * Reserves for a request. Suspects go one at a time until their first token, so
 * that one that crashes endpoints does so alone, and so that the many that a
 * crash sent back do not all prefill at once.
 */
void suspect_control_reserve(struct serving *s)
{
	struct daemon *d = s->daemon;
	struct suspect_control *k = &d->suspects;

	switch (quarantine_check(&d->board.quarantine, s->fingerprint,
				 daemon_now_us(d))) {
	case QUARANTINE_CLEAR:
		admit_control_reserve(s);
		return;
	case QUARANTINE_BLOCKED:
		metrics_add(&d->board.metrics, METRIC_quarantined, 1);
		serving_refuse(s, REQUEST_ERR_QUARANTINED);
		return;
	case QUARANTINE_SUSPECT:
		break;
	}
	if (!k->turn) {
		take_turn(s);
		return;
	}
	s->suspect_waits = true;
	TAILQ_INSERT_TAIL(&k->waiting, s, suspect_entry);
}

static void wake_next(struct daemon *d)
{
	struct suspect_control *k = &d->suspects;

	if (TAILQ_EMPTY(&k->waiting) || ev_is_active(&k->next))
		return;
	ev_timer_set(&k->next, 0., 0.);
	ev_timer_start(d->loop, &k->next);
}

static void on_next(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct daemon *d = w->data;
	struct suspect_control *k = &d->suspects;
	struct serving *s = TAILQ_FIRST(&k->waiting);

	if (!s || k->turn)
		return;
	TAILQ_REMOVE(&k->waiting, s, suspect_entry);
	s->suspect_waits = false;
	suspect_control_reserve(s);
	if (!k->turn)
		wake_next(d);
}

static void end_turn(struct serving *s)
{
	struct suspect_control *k = &s->daemon->suspects;

	if (k->turn != s)
		return;
	k->turn = NULL;
	wake_next(s->daemon);
}

/* A suspect is about to run on an endpoint; it has left the one before. */
void suspect_control_ordered(struct serving *s, const char *endpoint)
{
	struct quarantine *q = &s->daemon->board.quarantine;
	int64_t now_us = daemon_now_us(s->daemon);

	if (s->suspect)
		quarantine_ended(q, s->fingerprint, now_us);
	s->suspect = quarantine_check(q, s->fingerprint, now_us) !=
		     QUARANTINE_CLEAR;
	if (s->suspect)
		quarantine_started(q, s->fingerprint, endpoint, now_us);
}

/* Its first token is there: the next suspect may go. */
void suspect_control_survived(struct serving *s)
{
	end_turn(s);
}

/* The attempt is over, in whatever way. */
void suspect_control_ended(struct serving *s)
{
	struct daemon *d = s->daemon;

	if (s->suspect_waits)
		TAILQ_REMOVE(&d->suspects.waiting, s, suspect_entry);
	if (s->suspect)
		quarantine_ended(&d->board.quarantine, s->fingerprint,
				 daemon_now_us(d));
	s->suspect_waits = false;
	s->suspect = false;
	end_turn(s);
}

static void on_tell(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct daemon *d = w->data;
	struct suspect_control *k = &d->suspects;
	const struct member_epoch *e = &d->board.epoch;
	struct fig_call call = {.kind = FIG_CRASH};
	uint32_t i;

	call.fig_call_u.crash.crashed.crashed_val = k->crashed;
	call.fig_call_u.crash.crashed.crashed_len = k->crashed_n;
	for (i = 0; i < e->n; i++)
		if (strcmp(e->host[i].name, d->settings.host))
			peer_send(&d->peer, e->host[i].addr, &call);
	k->crashed_n = 0;
}

/* The endpoint crashed under the request: counts it here and at other hosts. */
void suspect_control_crashed(struct serving *s, const char *endpoint)
{
	struct daemon *d = s->daemon;
	struct suspect_control *k = &d->suspects;
	struct fig_crashed *c;
	bool held;

	held = quarantine_record_crash(&d->board.quarantine, s->fingerprint,
				       endpoint, daemon_now_us(d));
	metrics_add(&d->board.metrics, METRIC_crash_suspects, 1);
	logline(LOG_WARNING, "endpoint-crashed",
		"request=%s endpoint=%s fingerprint=%016llx quarantined=%d",
		s->request.id, endpoint, (unsigned long long)s->fingerprint,
		held);
	if (k->crashed_n == FIG_CRASHES_MAX)
		return; /* told once the crowd has calmed down */
	c = &k->crashed[k->crashed_n++];
	c->fingerprint = s->fingerprint;
	c->held = held;
	if (ev_is_active(&k->tell))
		return;
	ev_timer_set(&k->tell, TELL_S, 0.);
	ev_timer_start(d->loop, &k->tell);
}

/* Another host saw requests crash endpoints. */
void suspect_control_heard(struct daemon *d, const struct fig_crash *crash)
{
	const struct fig_crashed *c = crash->crashed.crashed_val;
	uint32_t i;

	for (i = 0; i < crash->crashed.crashed_len; i++)
		quarantine_apply_report(&d->board.quarantine, c[i].fingerprint,
					c[i].held, daemon_now_us(d));
}

void suspect_control_start(struct daemon *d)
{
	struct suspect_control *k = &d->suspects;

	TAILQ_INIT(&k->waiting);
	quarantine_init(&d->board.quarantine);
	retry_init(&d->board.retries);
	ev_timer_init(&k->tell, on_tell, 0., 0.);
	k->tell.data = d;
	ev_timer_init(&k->next, on_next, 0., 0.);
	k->next.data = d;
}

void suspect_control_stop(struct daemon *d)
{
	ev_timer_stop(d->loop, &d->suspects.tell);
	ev_timer_stop(d->loop, &d->suspects.next);
}
