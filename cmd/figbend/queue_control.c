#include "serving.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SWEEP_S 0.05
#define WAITING_MAX 4096 /* requests of one model */

static struct board_queue *find_queue(struct daemon *d, const char *model)
{
	struct board_queue *q;

	TAILQ_FOREACH(q, &d->board.queues, entry)
	if (strcmp(q->model, model) == 0)
		return q;
	return NULL;
}

/* Returns the queue of a model, made on first use, or NULL. */
static struct board_queue *queue_of(struct daemon *d, const char *model)
{
	struct board_queue *q = find_queue(d, model);

	if (q)
		return q;
	q = calloc(1, sizeof(*q));
	if (!q)
		return NULL;
	snprintf(q->model, sizeof(q->model), "%s", model);
	fairq_init(&q->queue);
	q->queue.item_max = WAITING_MAX;
	TAILQ_INSERT_TAIL(&d->board.queues, q, entry);
	return q;
}

/* Refuses those that waited until their first token would be late. */
static void refuse_expired(struct daemon *d, struct board_queue *q)
{
	struct fairq_item *i;

	while ((i = fairq_find_expired(&q->queue, daemon_now_us(d))))
		serving_refuse(i->owner, REQUEST_ERR_OVERLOADED);
}

static bool excludes(const void *ctx, const char *endpoint)
{
	return request_excludes(ctx, endpoint);
}

/* Tells whether both a prefill and a decode endpoint have room now. */
static bool has_room(struct daemon *d, const struct serving *s)
{
	return admit_pick(&d->board.admit, CONFIG_ROLE_PREFILL,
			  s->request.model, s->pieces, excludes, &s->request) &&
	       admit_pick(&d->board.admit, CONFIG_ROLE_DECODE, s->request.model,
			  s->pieces, excludes, &s->request);
}

static void let_go(struct daemon *d, struct board_queue *q)
{
	struct request_event ev = {.kind = REQUEST_EV_SCHEDULED, .attempt = 1};
	int64_t now_us = daemon_now_us(d);
	struct fairq_item *i;
	struct serving *s;

	while ((i = fairq_peek(&q->queue))) {
		s = i->owner;
		if (!has_room(d, s))
			break;
		fairq_pop(&q->queue);
		fairq_forecast_observe_pop(&q->forecast, i->cost_tokens,
					   now_us);
		s->scheduled_us = now_us;
		serving_event(s, &ev);
	}
	fairq_forecast_set_busy(&q->forecast, q->queue.item_n > 0, now_us);
	fairq_set_idle_credit(
		&q->queue, fairq_forecast_rate_tokens_s(&q->forecast, now_us));
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct daemon *d = w->data;
	struct board_queue *q;

	TAILQ_FOREACH(q, &d->board.queues, entry)
	{
		refuse_expired(d, q);
		let_go(d, q);
	}
	ev_timer_stop(loop, w);
	ev_timer_set(w, SWEEP_S, 0.);
	ev_timer_start(loop, w);
}

void queue_control_start(struct daemon *d)
{
	TAILQ_INIT(&d->board.queues);
	ev_timer_init(&d->queue_timer, on_timer, SWEEP_S, 0.);
	d->queue_timer.data = d;
	ev_timer_start(d->loop, &d->queue_timer);
}

/* To be called once no request is left. */
void queue_control_stop(struct daemon *d)
{
	struct board_queue *q;

	ev_timer_stop(d->loop, &d->queue_timer);
	while ((q = TAILQ_FIRST(&d->board.queues))) {
		TAILQ_REMOVE(&d->board.queues, q, entry);
		fairq_finish(&q->queue);
		free(q);
	}
}

/* Looks at the queues on the next turn of the loop. */
void queue_control_schedule(struct daemon *d)
{
	ev_timer_stop(d->loop, &d->queue_timer);
	ev_timer_set(&d->queue_timer, 0., 0.);
	ev_timer_start(d->loop, &d->queue_timer);
}

/*
 * Tells whether a request can be expected to have its first token in time, by
 * what is in front of it and by how long prompts take; its latest start is set.
 */
static bool can_be_in_time(struct serving *s, const struct board_queue *q)
{
	int64_t now_us = daemon_now_us(s->daemon);
	double ahead;

	s->queue_item.deadline_us =
		s->request.first_token_deadline_us -
		fairq_forecast_first_token_us(&q->forecast,
					      s->request.prompt_tokens, now_us);
	ahead = fairq_ahead_tokens(&q->queue, s->request.account, s->weight);
	return now_us + fairq_forecast_wait_us(&q->forecast, ahead, now_us) <
	       s->queue_item.deadline_us;
}

/* Adds to a queue; when it is full, the account with most in it gives way. */
static int add(struct serving *s, struct board_queue *q)
{
	struct fairq_item *i;
	int r;

	r = fairq_push(&q->queue, s->request.account, s->weight,
		       &s->queue_item);
	if (r != -ENOSPC)
		return r;
	i = fairq_find_victim(&q->queue);
	if (strcmp(i->flow->name, s->request.account) == 0)
		return r;
	serving_refuse(i->owner, REQUEST_ERR_OVERLOADED);
	return fairq_push(&q->queue, s->request.account, s->weight,
			  &s->queue_item);
}

/* Queues a request by its account's weight, at its cost in tokens. */
void queue_control_enqueue(struct serving *s)
{
	struct daemon *d = s->daemon;
	uint32_t tokens =
		s->request.prompt_tokens + s->request.output_max_tokens;
	struct board_queue *q = queue_of(d, s->request.model);

	s->pieces = admit_tokens_to_pieces(tokens);
	s->queue_item.cost_tokens = tokens;
	s->queue_item.owner = s;
	if (!q) {
		serving_refuse(s, REQUEST_ERR_OVERLOADED);
		return;
	}
	if (!can_be_in_time(s, q)) {
		metrics_add(&d->board.metrics, METRIC_refused_early, 1);
		serving_refuse(s, REQUEST_ERR_OVERLOADED);
		return;
	}
	if (add(s, q) < 0)
		serving_refuse(s, REQUEST_ERR_OVERLOADED);
	else
		queue_control_schedule(d);
}

/* Takes a request out of the queue, or out of the charge that waits. */
void queue_control_remove(struct serving *s)
{
	struct board_queue *q = find_queue(s->daemon, s->request.model);

	if (q)
		fairq_remove(&q->queue, &s->queue_item);
	if (s->charge.state == QUOTA_WAITING)
		quota_control_release(s);
}

/* A first attempt had its first token: later forecasts go by it. */
void queue_control_observe_first_token(struct serving *s)
{
	struct board_queue *q = find_queue(s->daemon, s->request.model);
	int64_t now_us = daemon_now_us(s->daemon);

	if (!q || !s->scheduled_us || s->request.attempt > 1)
		return;
	fairq_forecast_observe_first_token(&q->forecast,
					   s->request.prompt_tokens,
					   now_us - s->scheduled_us, now_us);
}

/* The request is over: its account pays what it really took. */
void queue_control_settle(struct serving *s)
{
	struct board_queue *q = find_queue(s->daemon, s->request.model);
	int64_t took =
		(int64_t)s->request.prompt_tokens + s->request.sent_tokens;

	if (!q || !s->scheduled_us)
		return;
	fairq_adjust_cost(&q->queue, s->request.account, s->weight,
			  took - (int64_t)s->queue_item.cost_tokens);
	s->scheduled_us = 0;
}
