#include "gateway.h"

#include <stdlib.h>

#include "logline.h"

/*
 * Gives back at endpoints what requests have reserved and not used; no request
 * waits for the outcome, and what fails lapses by itself.
 */

/* Reservations and results live about a second. */
#define TIMEOUT_S 0.6

struct cleanup {
	TAILQ_ENTRY(cleanup) entry;
	struct gateway *g;
	struct fleet_endpoint *endpoint;
	struct h1_exchange exchange;
	ev_timer timer;
};

static void errand_free(struct cleanup *a)
{
	ev_timer_stop(a->g->loop, &a->timer);
	h1_exchange_cancel(&a->exchange);
	fleet_unref(a->endpoint);
	TAILQ_REMOVE(&a->g->cleanups, a, entry);
	free(a);
}

static enum h1_verdict on_head(void *ctx, const struct h1_head *h)
{
	return H1_ACCEPT;
}

static void on_body(void *ctx, const void *p, size_t n)
{
}

static void on_end(void *ctx, enum h1_outcome end, const char *reason)
{
	struct cleanup *a = ctx;

	if (end != H1_COMPLETE)
		logline(LOG_INFO, "release_failed", "endpoint=%s why=\"%s\"",
			a->endpoint->entry.id, reason);
	errand_free(a);
}

static const struct h1_exchange_handlers handlers = {on_head, on_body, on_end};

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct cleanup *a = w->data;

	logline(LOG_INFO, "release_failed", "endpoint=%s why=timeout",
		a->endpoint->entry.id);
	errand_free(a);
}

/* Starts a call; the request's bytes are freed. */
static void start(struct gateway *g, struct fleet_endpoint *e,
		  struct h1_buf *request)
{
	struct cleanup *a = calloc(1, sizeof(*a));

	if (a) {
		a->g = g;
		a->endpoint = fleet_ref(e);
		TAILQ_INSERT_TAIL(&g->cleanups, a, entry);
		ev_timer_init(&a->timer, on_timer, TIMEOUT_S, 0.);
		a->timer.data = a;
		ev_timer_start(g->loop, &a->timer);
		if (h1_exchange_start(&g->endpoints, &a->exchange,
				      &e->entry.addr, h1_buf_data(request),
				      h1_buf_len(request), &handlers, a) < 0)
			errand_free(a);
	}
	h1_buf_finish(request);
}

/* Gives a reservation back. */
void cleanup_release_reservation(struct gateway *g, struct fleet_endpoint *e,
				 const char *hold)
{
	struct adapter_target t = {e->entry.addr_text, e->entry.id};
	struct h1_buf request = {0};

	adapter_write_release_reservation(&request, &t, hold);
	start(g, e, &request);
}

/* Frees a prefill's result that nobody will take. */
void cleanup_release_handle(struct gateway *g, struct fleet_endpoint *e,
			    const char *handle)
{
	struct adapter_target t = {e->entry.addr_text, e->entry.id};
	struct h1_buf request = {0};

	adapter_write_release_handle(&request, &t, handle);
	start(g, e, &request);
}

/* Ends all calls. */
void cleanup_finish(struct gateway *g)
{
	while (!TAILQ_EMPTY(&g->cleanups))
		errand_free(TAILQ_FIRST(&g->cleanups));
}
