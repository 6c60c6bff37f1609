#include "gateway.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "logline.h"

/*
 * Start and stop of the daemon that runs with --pools, and its listeners for
 * callers, readiness probes and metrics.
 *
 * After SIGTERM the host reports that it is not ready, accepts what it can
 * complete (pkg/drain), closes idle connections once the load balancer has
 * removed it, and exits when all are closed, at the latest shortly before stop_s
 * is over.
 */

#define SWEEP_INTERVAL_S 0.1
/* Endpoints are a short round trip away; a slower connect will not succeed. */
#define CONNECT_TIMEOUT_S 0.3
#define IDLE_MAX_S 10.0
#define STORE_CONNECT_TIMEOUT_S 0.4
/* Requests that are being read may use a quarter of memory_mb. */
#define REQUEST_MEMORY_DIVISOR 4
/* File descriptors kept for everything but callers' connections. */
#define RESERVED_DESCRIPTORS 1200
#define METRICS_MAX_BYTES 65536
/* Other hosts accept at once what this one refuses while it stops. */
#define RETRY_ELSEWHERE "Retry-After: 0.05\r\n"

int64_t gateway_clock_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t gateway_now_us(const struct gateway *g)
{
	return gateway_clock_us();
}

int64_t gateway_input_us(const struct gateway *g)
{
	return g->input_us;
}

/* Linear congruential generator; its high 31 bits are the most random. */
uint64_t gateway_random(struct gateway *g)
{
	g->random = g->random * 6364136223846793005ULL + 1442695040888963407ULL;
	return g->random >> 33;
}

double gateway_random_fraction(struct gateway *g)
{
	return (double)(gateway_random(g) % 1000000) / 1e6;
}

/* The readiness probe's result: true if callers should connect to this host. */
bool gateway_is_ready(const struct gateway *g)
{
	return !g->drain.stopping && g->directory && g->fleet.n_endpoints &&
	       !gateway_is_isolated(g);
}

bool gateway_is_isolated(const struct gateway *g)
{
	return g->isolated_since_us &&
	       g->last_unserved_us > g->isolated_since_us;
}

static void on_ready_request(void *ctx, struct h1_conn *c)
{
	struct gateway *g = ctx;

	h1_respond(c, gateway_is_ready(g) ? 200 : 503, NULL, NULL, 0);
}

/* Responds with a page that write fills. */
static void respond_view(struct gateway *g, struct h1_conn *c,
			 int (*write)(struct gateway *g, struct h1_buf *out))
{
	struct h1_buf text = {0};

	if (write(g, &text) < 0)
		h1_respond(c, 500, NULL, NULL, 0);
	else
		h1_respond(c, 200, "Content-Type: text/plain\r\n",
			   h1_buf_data(&text), h1_buf_len(&text));
	h1_buf_finish(&text);
}

static void on_metrics_request(void *ctx, struct h1_conn *c)
{
	struct gateway *g = ctx;
	char *text;
	int n;

	if (strcmp(c->request.head.target, "/endpoints") == 0) {
		respond_view(g, c, view_write_endpoints);
		return;
	}
	if (strcmp(c->request.head.target, "/rollouts") == 0) {
		respond_view(g, c, rollouts_write_view);
		return;
	}
	text = malloc(METRICS_MAX_BYTES);

	g->stats.counter[STATS_CONNECTS] = g->endpoints.connects;
	g->stats.counter[STATS_LOG_LINES_DROPPED] = logline_dropped();
	n = text ? stats_write(&g->stats, text, METRICS_MAX_BYTES) : -ENOMEM;
	if (n < 0)
		h1_respond(c, 500, NULL, NULL, 0);
	else
		h1_respond(c, 200,
			   "Content-Type: text/plain; version=0.0.4\r\n", text,
			   (size_t)n);
	free(text);
}

/* Readiness and metrics requests get their response at once. */
static void on_disconnect(void *ctx, struct h1_conn *c)
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
static const struct h1_server_handlers ready_handlers = {
	on_ready_request, on_disconnect, on_rejected};
static const struct h1_server_handlers metrics_handlers = {
	on_metrics_request, on_disconnect, on_rejected};

static void on_term(struct ev_loop *loop, ev_signal *w, int events)
{
	struct gateway *g = w->data;

	if (g->drain.stopping)
		return;
	drain_start(&g->drain, gateway_now_us(g));
	g->callers.draining = true;
	req_stop_all(g);
	logline(LOG_NOTICE, "stopping", "running=%u connections=%u", g->n_reqs,
		g->callers.conns_n);
	host_record_delete(g);
}

/* Settings are read at startup only. */
static void on_hup(struct ev_loop *loop, ev_signal *w, int events)
{
	logline(LOG_NOTICE, "reload",
		"outcome=\"settings are read at startup only; "
		"restart to apply changes\"");
}

/* Ends the loop once all connections are closed or the stop is nearly over. */
static void check_stop(struct gateway *g, int64_t now_us)
{
	bool last = now_us >= drain_deadline_us(&g->drain);

	if (drain_is_listening(&g->drain, now_us))
		return;
	h1_server_close_idle(&g->callers);
	if (last || (!g->n_reqs && !g->callers.conns_n))
		h1_server_stop_listening(&g->callers);
	if (last)
		h1_server_reject_incomplete(&g->callers, RETRY_ELSEWHERE);
	if (!g->n_reqs && !g->callers.conns_n)
		ev_break(g->loop, EVBREAK_ALL);
	if (drain_is_over(&g->drain, now_us)) {
		logline(LOG_WARNING, "stop_cut", "running=%u", g->n_reqs);
		ev_break(g->loop, EVBREAK_ALL);
	}
}

static void on_sweep(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gateway *g = w->data;
	int64_t now_us = gateway_now_us(g);

	fleet_expire(&g->fleet, now_us);
	store_reader_settle(g);
	store_apply_settle(g, now_us);
	if (g->drain.stopping)
		check_stop(g, now_us);
}

/* Called before the loop waits for events. */
static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events)
{
	struct gateway *g = w->data;

	logline_flush();
	g->input_us = gateway_now_us(g);
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

/* Limits until a configuration is read, and those of the internal servers. */
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
	ev_timer_init(&g->sweep, on_sweep, SWEEP_INTERVAL_S, SWEEP_INTERVAL_S);
	ev_prepare_init(&g->prepare, on_prepare);
	g->on_term.data = g->on_hup.data = g;
	g->sweep.data = g->prepare.data = g;
	ev_signal_start(g->loop, &g->on_term);
	ev_signal_start(g->loop, &g->on_hup);
	ev_timer_start(g->loop, &g->sweep);
	ev_prepare_start(g->loop, &g->prepare);
}

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
	drain_init(&g->drain, s->stop_s);
	crash_init(g);
	hedge_start(g);
	req_init(g);
	r = heartbeat_init(g);
	if (r < 0)
		return r;
	rollouts_init(g);
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
		(uint64_t)s->memory_mb * 1048576 / REQUEST_MEMORY_DIVISOR;
	g->callers.conns_max = s->descriptors > 2 * RESERVED_DESCRIPTORS
				       ? s->descriptors - RESERVED_DESCRIPTORS
				       : s->descriptors / 2;
	store_reader_init(g);
	host_record_init(g);
	watch_signals(g);
	return 0;
}

void gateway_finish(struct gateway *g)
{
	cleanup_finish(g);
	ev_timer_stop(g->loop, &g->sweep);
	ev_timer_stop(g->loop, &g->waiting_timer);
	h1_server_finish(&g->callers);
	h1_server_finish(&g->readiness);
	h1_server_finish(&g->metrics);
	host_record_finish(g);
	store_reader_finish(g);
	rollouts_finish(g);
	heartbeat_finish(g);
	h1_client_finish(&g->endpoints);
	h1_client_finish(&g->store);
	fleet_finish(&g->fleet);
	hedge_stop(g);
	logline_flush();
}
