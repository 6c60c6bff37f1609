#include "gateway.h"

#include <stdlib.h>

#include "logline.h"

/*
 * Releases reservations and prefill results that requests did not use. No
 * request waits for the outcome; what could not be released expires at the
 * endpoint.
 */

/* Reservations and prefill results expire at the endpoint after about a second:
 * a release that takes much longer is of no use. */
#define TIMEOUT_S 0.6

/* One call in progress. */
struct cleanup {
	TAILQ_ENTRY(cleanup) entry;
	struct gateway *g;
	struct fleet_endpoint *endpoint;
	struct h1_exchange exchange;
	ev_timer timer;
};

static void cleanup_free(struct cleanup *c)
{
	ev_timer_stop(c->g->loop, &c->timer);
	h1_exchange_cancel(&c->exchange);
	fleet_unref(c->endpoint);
	TAILQ_REMOVE(&c->g->cleanups, c, entry);
	free(c);
}

static enum h1_verdict on_head(void *ctx, const struct h1_head *h)
{
	struct cleanup *c = ctx;
	struct call_response response;

	adapter_read_response(h, &response);
	/* These calls carry no request id. */
	if (response.request_id)
		return H1_DISCARD;
	notices_record(c->g, c->endpoint, &response, h->status, "-");
	return H1_ACCEPT;
}

static void on_body(void *ctx, const void *p, size_t n)
{
}

static void on_end(void *ctx, enum h1_outcome outcome, const char *reason)
{
	struct cleanup *c = ctx;

	if (outcome != H1_COMPLETE)
		logline(LOG_INFO, "release_failed", "endpoint=%s why=\"%s\"",
			c->endpoint->entry.id, reason);
	cleanup_free(c);
}

static const struct h1_exchange_handlers handlers = {on_head, on_body, on_end};

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct cleanup *c = w->data;

	logline(LOG_INFO, "release_failed", "endpoint=%s why=timeout",
		c->endpoint->entry.id);
	cleanup_free(c);
}

/* Sends a request and frees its buffer. Sends nothing if memory is exhausted, no
 * socket can be opened or the endpoint wants nothing from this host. */
static void start(struct gateway *g, struct fleet_endpoint *e,
		  struct h1_buf *request)
{
	struct cleanup *c = NULL;

	if (!fleet_is_unwanted(e, gateway_now_us(g)))
		c = calloc(1, sizeof(*c));
	if (c) {
		c->g = g;
		c->endpoint = fleet_ref(e);
		TAILQ_INSERT_TAIL(&g->cleanups, c, entry);
		ev_timer_init(&c->timer, on_timer, TIMEOUT_S, 0.);
		c->timer.data = c;
		ev_timer_start(g->loop, &c->timer);
		if (h1_exchange_start(&g->endpoints, &c->exchange,
				      &e->entry.addr, h1_buf_data(request),
				      h1_buf_len(request), &handlers, c) < 0)
			cleanup_free(c);
	}
	h1_buf_finish(request);
}

/* See gateway.h. */
void cleanup_release_reservation(struct gateway *g, struct fleet_endpoint *e,
				 const char *reservation)
{
	struct adapter_target t = {e->entry.addr_text, e->entry.id};
	struct h1_buf request = {0};

	adapter_write_release_reservation(&request, &t, reservation);
	start(g, e, &request);
}

/* See gateway.h. */
void cleanup_release_handle(struct gateway *g, struct fleet_endpoint *e,
			    const char *handle)
{
	struct adapter_target t = {e->entry.addr_text, e->entry.id};
	struct h1_buf request = {0};

	adapter_write_release_handle(&request, &t, handle);
	start(g, e, &request);
}

/* See gateway.h. */
void cleanup_finish(struct gateway *g)
{
	while (!TAILQ_EMPTY(&g->cleanups))
		cleanup_free(TAILQ_FIRST(&g->cleanups));
}
