#include "gateway.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "logline.h"

#define SWEEP_S 0.1
/* Endpoints are near: a connection that takes longer goes nowhere. */
#define CONNECT_TIMEOUT_S 0.3
#define IDLE_MAX_S 10.0
#define STORE_CONNECT_TIMEOUT_S 0.4
/* After SIGTERM the balancer takes a host out at its second missed question,
 * and asks once a second: new requests are taken for so long. What comes later
 * would not end in time, and is refused. */
#define STOP_TAKE_US 2900000LL
/* Of the time to stop, at most this part is for taking requests. */
#define STOP_TAKE_PART 0.375
/* What is still running at the end of the time to stop is cut. */
#define STOP_MARGIN_S 0.3
/* Of the process's memory, requests that are being read may take a quarter. */
#define REQUEST_MEMORY_PART 4
/* Descriptors for everything but callers. */
#define DESCRIPTORS_OWN 1200
#define METRICS_BYTES 65536

/* Microseconds of a clock that also runs while the host is suspended. */
int64_t gateway_clock_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

/* The time that decisions use. */
int64_t gateway_now_us(const struct gateway *g)
{
	return gateway_clock_us();
}

/* The next number of a linear congruential sequence. */
uint64_t gateway_random(struct gateway *g)
{
	g->random = g->random * 6364136223846793005ULL + 1442695040888963407ULL;
	return g->random >> 33;
}

/* Tells whether a new connection is served here as well as anywhere. */
bool gateway_is_ready(const struct gateway *g)
{
	return !g->stopping && g->directory && g->fleet.n_endpoints &&
	       !gateway_is_isolated(g);
}

/* See gateway.h. */
bool gateway_is_isolated(const struct gateway *g)
{
	return g->isolated_since_us &&
	       g->last_unserved_us > g->isolated_since_us;
}

/* See gateway.h. */
bool gateway_accepts_requests(const struct gateway *g)
{
	double since_us;

	if (!g->stopping)
		return true;
	since_us = (double)(gateway_now_us(g) - g->stop_start_us);
	return since_us < STOP_TAKE_US &&
	       since_us < g->settings->stop_s * 1e6 * STOP_TAKE_PART;
}

static void on_ready_request(void *ctx, struct h1_conn *c)
{
	struct gateway *g = ctx;

	h1_respond(c, gateway_is_ready(g) ? 200 : 503, NULL, NULL, 0);
}

static void on_metrics_request(void *ctx, struct h1_conn *c)
{
	struct gateway *g = ctx;
	char *text = malloc(METRICS_BYTES);
	int n;

	g->stats.counter[STATS_CONNECTS] = g->endpoints.connects;
	g->stats.counter[STATS_LOG_LINES_DROPPED] = logline_dropped();
	n = text ? stats_write(&g->stats, text, METRICS_BYTES) : -ENOMEM;
	if (n < 0)
		h1_respond(c, 500, NULL, NULL, 0);
	else
		h1_respond(c, 200,
			   "Content-Type: text/plain; version=0.0.4\r\n", text,
			   (size_t)n);
	free(text);
}

static void on_gone(void *ctx, struct h1_conn *c)
{
}

static void on_rejected(void *ctx, uint16_t status, const char *reason)
{
	struct gateway *g = ctx;

	stats_add(&g->stats, STATS_REJECTED, 1);
	logline(LOG_INFO, "request_rejected", "status=%u why=\"%s\"", status,
		reason);
}

static const struct h1_server_handlers caller_handlers = {
	req_on_request, req_on_disconnect, on_rejected};
static const struct h1_server_handlers ready_handlers = {on_ready_request,
							 on_gone, on_rejected};
static const struct h1_server_handlers metrics_handlers = {
	on_metrics_request, on_gone, on_rejected};

static void on_term(struct ev_loop *loop, ev_signal *w, int events)
{
	struct gateway *g = w->data;

	if (g->stopping)
		return;
	g->stopping = true;
	g->stop_start_us = gateway_now_us(g);
	g->callers.draining = true;
	logline(LOG_NOTICE, "stopping", "running=%u connections=%u", g->n_reqs,
		g->callers.conns_n);
	store_reader_unregister(g);
}

/* Settings are read at the start; none of them may change while running. */
static void on_hup(struct ev_loop *loop, ev_signal *w, int events)
{
	logline(LOG_NOTICE, "reload",
		"outcome=\"settings hold until the next "
		"start\"");
}

/* Ends the process once nothing is left to do, or its time is over. */
static void check_stop(struct gateway *g, int64_t now_us)
{
	double since_s = (double)(now_us - g->stop_start_us) / 1e6;

	if (!gateway_accepts_requests(g))
		h1_server_close_idle(&g->callers);
	else
		return;
	if (!g->n_reqs && !g->callers.conns_n)
		ev_break(g->loop, EVBREAK_ALL);
	if (since_s > g->settings->stop_s - STOP_MARGIN_S) {
		logline(LOG_WARNING, "stop_cut", "running=%u", g->n_reqs);
		ev_break(g->loop, EVBREAK_ALL);
	}
}

static void on_sweep(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gateway *g = w->data;
	int64_t now_us = gateway_now_us(g);

	fleet_expire(&g->fleet, now_us);
	if (g->stopping)
		check_stop(g, now_us);
}

static void before_wait(struct ev_loop *loop, ev_prepare *w, int events)
{
	logline_flush();
}

static int listen_at(struct gateway *g, struct h1_server *s, const char *text,
		     const struct h1_limits *l,
		     const struct h1_server_handlers *h)
{
	struct sockaddr_in addr;
	int r = h1_parse_addr(text, &addr);

	if (r == 0)
		r = h1_server_init(s, g->loop, &addr, l, h, g);
	if (r < 0)
		logline(LOG_ERR, "listen_failed", "addr=%s why=\"%s\"", text,
			strerror(-r));
	return r;
}

static void default_limits(struct h1_limits *l)
{
	l->header_max_bytes = 16384;
	l->body_max_bytes = 4194304;
	l->header_timeout_ms = 5000;
	l->idle_timeout_ms = 15000;
}

static void watch_signals(struct gateway *g)
{
	ev_signal_init(&g->on_term, on_term, SIGTERM);
	ev_signal_init(&g->on_hup, on_hup, SIGHUP);
	ev_timer_init(&g->sweep, on_sweep, SWEEP_S, SWEEP_S);
	ev_prepare_init(&g->log_flush, before_wait);
	g->on_term.data = g->on_hup.data = g;
	g->sweep.data = g;
	ev_signal_start(g->loop, &g->on_term);
	ev_signal_start(g->loop, &g->on_hup);
	ev_timer_start(g->loop, &g->sweep);
	ev_prepare_start(g->loop, &g->log_flush);
}

/*
 * Starts all parts on the default loop. Returns 0, or a negative error number
 * if an address cannot be had.
 */
int gateway_init(struct gateway *g, const struct pool_settings *s)
{
	struct timespec ts;
	int r;

	memset(g, 0, sizeof(*g));
	clock_gettime(CLOCK_REALTIME, &ts);
	g->settings = s;
	g->boot_us =
		(uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
	g->random = g->boot_us;
	g->loop = ev_default_loop(0);
	TAILQ_INIT(&g->cleanups);
	default_limits(&g->limits);
	default_limits(&g->internal_limits);
	fleet_init(&g->fleet, s->domain, g->boot_us);
	g->retry_budgets.ratio = s->retry_ratio;
	g->retry_budgets.slack = s->retry_slack;
	g->retry_budgets.window_s = s->retry_window_s;
	h1_client_init(&g->endpoints, g->loop, CONNECT_TIMEOUT_S, IDLE_MAX_S);
	h1_client_init(&g->store, g->loop, STORE_CONNECT_TIMEOUT_S, IDLE_MAX_S);
	crash_init(g);
	req_init(g);
	r = heartbeat_init(g);
	if (r < 0)
		return r;
	r = listen_at(g, &g->callers, s->callers_addr, &g->limits,
		      &caller_handlers);
	if (r == 0)
		r = listen_at(g, &g->readiness, s->ready_addr,
			      &g->internal_limits, &ready_handlers);
	if (r == 0)
		r = listen_at(g, &g->metrics, s->metrics_addr,
			      &g->internal_limits, &metrics_handlers);
	if (r < 0)
		return r;
	g->callers.buffered_max_bytes =
		(uint64_t)s->memory_mb * 1048576 / REQUEST_MEMORY_PART;
	g->callers.conns_max = s->descriptors > 2 * DESCRIPTORS_OWN
				       ? s->descriptors - DESCRIPTORS_OWN
				       : s->descriptors / 2;
	store_reader_init(g);
	watch_signals(g);
	return 0;
}

/* Stops all parts. */
void gateway_finish(struct gateway *g)
{
	cleanup_finish(g);
	ev_timer_stop(g->loop, &g->sweep);
	ev_timer_stop(g->loop, &g->waiting_timer);
	h1_server_finish(&g->callers);
	h1_server_finish(&g->readiness);
	h1_server_finish(&g->metrics);
	store_reader_finish(g);
	heartbeat_finish(g);
	h1_client_finish(&g->endpoints);
	h1_client_finish(&g->store);
	fleet_finish(&g->fleet);
	logline_flush();
}
