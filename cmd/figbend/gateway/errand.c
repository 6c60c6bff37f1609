#include "gateway.h"

#include <stdlib.h>

#include "logline.h"

/* Calls to endpoints that no request waits for. */

#define TIMEOUT_S 0.6

enum errand_kind {
	ERRAND_DROP,
	ERRAND_REPORT,
};

struct errand {
	TAILQ_ENTRY(errand) entry;
	struct gateway *g;
	enum errand_kind kind;
	struct fleet_endpoint *endpoint;
	struct h1_exchange exchange;
	struct h1_buf answer;
	uint16_t status;
	ev_timer timer;
};

static void errand_free(struct errand *a)
{
	ev_timer_stop(a->g->loop, &a->timer);
	h1_exchange_cancel(&a->exchange);
	h1_buf_finish(&a->answer);
	if (a->kind == ERRAND_REPORT)
		a->endpoint->asked = false;
	fleet_unref(a->endpoint);
	TAILQ_REMOVE(&a->g->errands, a, entry);
	free(a);
}

static enum h1_verdict on_head(void *ctx, const struct h1_head *h)
{
	struct errand *a = ctx;

	a->status = h->status;
	return H1_TAKE;
}

static void on_body(void *ctx, const void *p, size_t n)
{
	struct errand *a = ctx;

	h1_buf_add(&a->answer, p, n);
}

/* A load report that cannot be read says nothing. */
static void take_report(struct errand *a)
{
	struct fleet_report report;

	if (a->status != 200 ||
	    adapter_read_report(h1_buf_data(&a->answer),
				h1_buf_bytes(&a->answer), &report) < 0) {
		logline(LOG_INFO, "report_unreadable", "endpoint=%s status=%u",
			a->endpoint->says.id, a->status);
		return;
	}
	stats_add(&a->g->stats, STATS_reports, 1);
	fleet_reported(a->endpoint, &report, gateway_now_us(a->g));
}

static void on_end(void *ctx, enum h1_end end, const char *reason)
{
	struct errand *a = ctx;

	if (end != H1_WHOLE)
		logline(LOG_INFO, "call_failed",
			"endpoint=%s kind=%d why=\"%s\"", a->endpoint->says.id,
			a->kind, reason);
	else if (a->kind == ERRAND_REPORT)
		take_report(a);
	errand_free(a);
}

static const struct h1_exchange_handlers handlers = {on_head, on_body, on_end};

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct errand *a = w->data;

	logline(LOG_INFO, "call_failed", "endpoint=%s kind=%d why=timeout",
		a->endpoint->says.id, a->kind);
	errand_free(a);
}

/* Starts a call; the request's bytes are freed. */
static void start(struct gateway *g, enum errand_kind kind,
		  struct fleet_endpoint *e, struct h1_buf *request)
{
	struct errand *a = calloc(1, sizeof(*a));

	if (a) {
		a->g = g;
		a->kind = kind;
		a->endpoint = fleet_ref(e);
		TAILQ_INSERT_TAIL(&g->errands, a, entry);
		ev_timer_init(&a->timer, on_timer, TIMEOUT_S, 0.);
		a->timer.data = a;
		ev_timer_start(g->loop, &a->timer);
		if (kind == ERRAND_REPORT)
			e->asked = true;
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
	start(g, ERRAND_DROP, e, &request);
}

/* Frees a prefill's result that nobody will take. */
void errand_handle_drop(struct gateway *g, struct fleet_endpoint *e,
			const char *handle)
{
	struct adapter_target t = {e->says.addr_text, e->says.id};
	struct h1_buf request = {0};

	adapter_write_handle_drop(&request, &t, handle);
	start(g, ERRAND_DROP, e, &request);
}

/* See gateway.h. */
void errand_report(struct gateway *g, struct fleet_endpoint *e)
{
	struct adapter_target t = {e->says.addr_text, e->says.id};
	struct h1_buf request = {0};

	adapter_write_report(&request, &t);
	start(g, ERRAND_REPORT, e, &request);
}

/* Ends all calls. */
void errand_finish(struct gateway *g)
{
	while (!TAILQ_EMPTY(&g->errands))
		errand_free(TAILQ_FIRST(&g->errands));
}
