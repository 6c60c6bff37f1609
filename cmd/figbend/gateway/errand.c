#include "gateway.h"

#include <stdlib.h>

#include "logline.h"

/*
 * Gives back at endpoints what requests have reserved and not used; no request
 * waits for the outcome, and what fails lapses by itself.
 */

/* Reservations and results live about a second. */
#define TIMEOUT_S 0.6

struct errand {
	TAILQ_ENTRY(errand) entry;
	struct gateway *g;
	struct fleet_endpoint *endpoint;
	struct h1_exchange exchange;
	ev_timer timer;
};

static void errand_free(struct errand *a)
{
	ev_timer_stop(a->g->loop, &a->timer);
	h1_exchange_cancel(&a->exchange);
	fleet_unref(a->endpoint);
	TAILQ_REMOVE(&a->g->errands, a, entry);
	free(a);
}

static enum h1_verdict on_head(void *ctx, const struct h1_head *h)
{
	return H1_TAKE;
}

static void on_body(void *ctx, const void *p, size_t n)
{
}

static void on_end(void *ctx, enum h1_end end, const char *reason)
{
	struct errand *a = ctx;

	if (end != H1_WHOLE)
		logline(LOG_INFO, "release_failed", "endpoint=%s why=\"%s\"",
			a->endpoint->says.id, reason);
	errand_free(a);
}

static const struct h1_exchange_handlers handlers = {on_head, on_body, on_end};

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct errand *a = w->data;

	logline(LOG_INFO, "release_failed", "endpoint=%s why=timeout",
		a->endpoint->says.id);
	errand_free(a);
}

/* Starts a call; the request's bytes are freed. */
static void start(struct gateway *g, struct fleet_endpoint *e,
		  struct h1_buf *request)
{
	struct errand *a = calloc(1, sizeof(*a));

	if (a) {
		a->g = g;
		a->endpoint = fleet_ref(e);
		TAILQ_INSERT_TAIL(&g->errands, a, entry);
		ev_timer_init(&a->timer, on_timer, TIMEOUT_S, 0.);
		a->timer.data = a;
		ev_timer_start(g->loop, &a->timer);
		if (h1_exchange_start(&g->endpoints, &a->exchange,
				      &e->says.addr, h1_buf_data(request),
				      h1_buf_bytes(request), &handlers, a) < 0)
			errand_free(a);
	}
	h1_buf_finish(request);
}

/* Gives a reservation back. */
void errand_hold_drop(struct gateway *g, struct fleet_endpoint *e,
		      const char *hold)
{
	struct adapter_target t = {e->says.addr_text, e->says.id};
	struct h1_buf request = {0};

	adapter_write_hold_drop(&request, &t, hold);
	start(g, e, &request);
}

/* Frees a prefill's result that nobody will take. */
void errand_handle_drop(struct gateway *g, struct fleet_endpoint *e,
			const char *handle)
{
	struct adapter_target t = {e->says.addr_text, e->says.id};
	struct h1_buf request = {0};

	adapter_write_handle_drop(&request, &t, handle);
	start(g, e, &request);
}

/* Ends all calls. */
void errand_finish(struct gateway *g)
{
	while (!TAILQ_EMPTY(&g->errands))
		errand_free(TAILQ_FIRST(&g->errands));
}
