#include "serving.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Queues the requests of each model in a weighted fair queue over the accounts
 * (pkg/fairq) until endpoints have capacity. A request that is expected to miss
 * its first-token deadline is refused at once; one that has waited until its
 * latest start is refused then.
 */

#define PASS_INTERVAL_S 0.05 /* between two passes over the queues */
#define QUEUE_ITEMS_MAX 4096 /* limit on the queue of one model */

static struct board_queue *find_queue(struct daemon *d, const char *model)
{
	struct board_queue *q;

	TAILQ_FOREACH(q, &d->board.queues, entry)
	if (strcmp(q->model, model) == 0)
		return q;
	return NULL;
}

/* Returns the queue of a model, created on first use; NULL if out of memory. */
static struct board_queue *get_queue(struct daemon *d, const char *model)
{
	struct board_queue *q = find_queue(d, model);

	if (q)
		return q;
	q = calloc(1, sizeof(*q));
	if (!q)
		return NULL;
	snprintf(q->model, sizeof(q->model), "%s", model);
	fairq_init(&q->queue);
	q->queue.item_max = QUEUE_ITEMS_MAX;
	TAILQ_INSERT_TAIL(&d->board.queues, q, entry);
	return q;
}

/* Refuses the requests whose latest start has passed. */
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

/*
 * Returns true if a prefill and a decode endpoint, not excluded by the request,
 * have capacity according to the view.
 */
static bool has_capacity(struct daemon *d, const struct serving *s)
{
	return admit_pick(&d->board.admit, CONFIG_ROLE_PREFILL,
			  s->request.model, s->pieces, excludes, &s->request) &&
	       admit_pick(&d->board.admit, CONFIG_ROLE_DECODE, s->request.model,
			  s->pieces, excludes, &s->request);
}

/*
 * Starts the requests at the head of a queue, as long as there is capacity for
 * the first one, and updates the forecast of the queue.
 */
static void start_requests(struct daemon *d, struct board_queue *q)
{
	struct request_event ev = {.kind = REQUEST_EV_SCHEDULED, .attempt = 1};
	int64_t now_us = daemon_now_us(d);
	struct fairq_item *i;
	struct serving *s;

	while ((i = fairq_peek(&q->queue))) {
		s = i->owner;
		if (!has_capacity(d, s))
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
		start_requests(d, q);
	}
	ev_timer_stop(loop, w);
	ev_timer_set(w, PASS_INTERVAL_S, 0.);
	ev_timer_start(loop, w);
}

void queue_control_start(struct daemon *d)
{
	TAILQ_INIT(&d->board.queues);
	ev_timer_init(&d->queue_timer, on_timer, PASS_INTERVAL_S, 0.);
	d->queue_timer.data = d;
	ev_timer_start(d->loop, &d->queue_timer);
}

/* To be called when all requests have ended. */
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

/* Schedules a pass over the queues for the next iteration of the loop. */
void queue_control_schedule(struct daemon *d)
{
	ev_timer_stop(d->loop, &d->queue_timer);
	ev_timer_set(&d->queue_timer, 0., 0.);
	ev_timer_start(d->loop, &d->queue_timer);
}

/*
 * Returns true if the first token of a request is expected before its deadline,
 * by the forecasts of the wait in the queue and of the time from there to the
 * first token. Sets the item's deadline to the latest start that is in time.
 */
static bool is_feasible(struct serving *s, const struct board_queue *q)
{
	int64_t now_us = daemon_now_us(s->daemon);
	double ahead_tokens;

	s->queue_item.deadline_us =
		s->request.first_token_deadline_us -
		fairq_forecast_first_token_us(&q->forecast,
					      s->request.prompt_tokens, now_us);
	ahead_tokens =
		fairq_ahead_tokens(&q->queue, s->request.account, s->weight);
	return now_us + fairq_forecast_wait_us(&q->forecast, ahead_tokens,
					       now_us) <
	       s->queue_item.deadline_us;
}

/*
 * Pushes a request. If the queue is full, refuses the last request of the
 * account with the most queued tokens for its weight instead; returns -ENOSPC
 * if that account is the new request's own. Returns -ENOMEM if out of memory.
 */
static int push(struct serving *s, struct board_queue *q)
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

/*
 * Queues a request, or refuses it. The cost is the prompt plus the longest
 * permitted output; queue_control_settle corrects it at the end.
 */
void queue_control_enqueue(struct serving *s)
{
	struct daemon *d = s->daemon;
	uint32_t tokens =
		s->request.prompt_tokens + s->request.output_max_tokens;
	struct board_queue *q = get_queue(d, s->request.model);

	s->pieces = admit_tokens_to_pieces(tokens);
	s->queue_item.cost_tokens = tokens;
	s->queue_item.owner = s;
	if (!q) {
		serving_refuse(s, REQUEST_ERR_OVERLOADED);
		return;
	}
	if (!is_feasible(s, q)) {
		metrics_add(&d->board.metrics, METRIC_REFUSED_BY_DEADLINE, 1);
		serving_refuse(s, REQUEST_ERR_OVERLOADED);
		return;
	}
	if (push(s, q) < 0)
		serving_refuse(s, REQUEST_ERR_OVERLOADED);
	else
		queue_control_schedule(d);
}

/* Removes a request from the queue; releases a charge that waits for tokens. */
void queue_control_remove(struct serving *s)
{
	struct board_queue *q = find_queue(s->daemon, s->request.model);

	if (q)
		fairq_remove(&q->queue, &s->queue_item);
	if (s->charge.state == QUOTA_WAITING)
		quota_control_release(s);
}

/* Records, for the forecast, a first attempt's time from pop to first token. */
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

/*
 * Corrects the cost of a request that has ended to its prompt and the output
 * sent. Does nothing if the request was never scheduled.
 */
void queue_control_settle(struct serving *s)
{
	struct board_queue *q = find_queue(s->daemon, s->request.model);
	int64_t actual_tokens =
		(int64_t)s->request.prompt_tokens + s->request.sent_tokens;

	if (!q || !s->scheduled_us)
		return;
	fairq_adjust_cost(&q->queue, s->request.account, s->weight,
			  actual_tokens - (int64_t)s->queue_item.cost_tokens);
	s->scheduled_us = 0;
}
