#include "daemon.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "logline.h"

/*
 * Start and stop of the daemon that runs without --pools, and the dispatch of
 * messages from other hosts.
 *
 * After the first SIGTERM or SIGINT the host announces that it leaves, and
 * exits when no request and no cancel is open, at the latest after drain_max_s.
 * A second signal ends it at once.
 */

#define PLATFORM_TIMEOUT_MS 2000
#define DRAIN_CHECK_INTERVAL_S 0.1
/* Longest wait of a stop for cancels, counted from the end of the requests. */
#define CANCEL_WAIT_MAX_US (3LL * 1000000)
#define IDLE_CONNECTIONS_MAX 1024 /* to endpoints and the platform */

/* Returns the current time of the monotonic clock, in microseconds. */
int64_t daemon_now_us(const struct daemon *d)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000000LL + ts.tv_nsec / 1000;
}

/*
 * Writes a new request id, HOST-BOOT-NUMBER: the host's name, shortened to
 * DAEMON_RUN_ID_HOST_CHARS, the start of the process in milliseconds, and a
 * counter. It is unique over hosts and restarts if the shortened names are.
 */
void daemon_next_request_id(struct daemon *d, char *out, size_t size)
{
	snprintf(out, size, "%.*s-%llx-%llx", DAEMON_RUN_ID_HOST_CHARS,
		 d->settings.host, (unsigned long long)d->boot_us / 1000,
		 (unsigned long long)++d->last_request_number);
}

/*
 * Replies to a call of another host. The caller frees the reply. Returns 0, an
 * error of the controller, or -EPROTO for a kind that has no reply here.
 */
static int on_peer_call(void *ctx, const struct wire_opened *from,
			struct fig_reply *reply)
{
	struct daemon *d = ctx;

	switch (from->call.kind) {
	case FIG_CONFIG_GET:
		return config_control_reply(d,
					    &from->call.fig_call_u.config_get,
					    &reply->fig_reply_u.config_got);
	case FIG_MEMBER_GET:
		return host_control_reply_snapshot(
			d, &from->call.fig_call_u.member_get,
			&reply->fig_reply_u.member_got);
	case FIG_HEARD_GET:
		return host_control_reply_probe(
			d, &from->call.fig_call_u.heard_get,
			&reply->fig_reply_u.heard_got);
	case FIG_GRANT:
		return owner_control_reply_grant(d, from->sender,
						 &from->call.fig_call_u.grant,
						 &reply->fig_reply_u.granted);
	case FIG_RELEASE:
		return owner_control_reply_release(
			d, &from->call.fig_call_u.release,
			&reply->fig_reply_u.released);
	case FIG_BOOK:
		return owner_control_reply_handover(d,
						    &from->call.fig_call_u.book,
						    &reply->fig_reply_u.booked);
	case FIG_QUOTA_DRAW:
		return quota_control_lend(d, from,
					  &reply->fig_reply_u.quota_grant);
	case FIG_HEARTBEAT:
	case FIG_CRASH:
	case FIG_ROOM:
	case FIG_SHARE:
	case FIG_RECORDS_GET:
	case FIG_ROWS:
	case FIG_DIGEST:
	case FIG_SUSPECTS:
	case FIG_NOTICES:
	case FIG_START_KNOWN:
	case FIG_ROLLOUT:
		break;
	}
	return -EPROTO;
}

/* Handles a message without a reply. Kinds that need a reply are ignored. */
static void on_peer_message(void *ctx, const struct wire_opened *from)
{
	struct daemon *d = ctx;

	switch (from->call.kind) {
	case FIG_HEARTBEAT:
		host_control_on_heartbeat(d, &from->call.fig_call_u.heartbeat,
					  from->boot);
		break;
	case FIG_CRASH:
		quarantine_control_apply_report(d,
						&from->call.fig_call_u.crash);
		break;
	case FIG_ROOM:
		admit_control_on_capacity(d, &from->call.fig_call_u.room);
		break;
	case FIG_CONFIG_GET:
	case FIG_MEMBER_GET:
	case FIG_HEARD_GET:
	case FIG_GRANT:
	case FIG_RELEASE:
	case FIG_BOOK:
	case FIG_QUOTA_DRAW:
	case FIG_SHARE:
	case FIG_RECORDS_GET:
	case FIG_ROWS:
	case FIG_DIGEST:
	case FIG_SUSPECTS:
	case FIG_NOTICES:
	case FIG_START_KNOWN:
	case FIG_ROLLOUT:
		break;
	}
}

/* Ends the loop if all requests have ended or the deadline has passed. */
static void on_drain(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct daemon *d = w->data;
	int64_t now_us = daemon_now_us(d);
	bool idle = TAILQ_EMPTY(&d->board.requests) &&
		    TAILQ_EMPTY(&d->service_calls);

	if (!idle)
		d->last_busy_us = now_us;
	if (idle && (TAILQ_EMPTY(&d->cancels) ||
		     now_us - d->last_busy_us > CANCEL_WAIT_MAX_US))
		ev_break(loop, EVBREAK_ALL);
	if (now_us > d->drain_deadline_us)
		ev_break(loop, EVBREAK_ALL);
}

/* The first signal starts a graceful stop, the second ends the loop. */
static void on_signal(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct daemon *d = w->data;

	if (d->stopping) {
		ev_break(loop, EVBREAK_ALL);
		return;
	}
	d->stopping = true;
	d->last_busy_us = daemon_now_us(d);
	d->drain_deadline_us =
		daemon_now_us(d) + d->settings.drain_max_s * 1000000LL;
	host_control_leave(d);
	ev_timer_init(&d->drain_timer, on_drain, DRAIN_CHECK_INTERVAL_S,
		      DRAIN_CHECK_INTERVAL_S);
	d->drain_timer.data = d;
	ev_timer_start(loop, &d->drain_timer);
}

static void start_signal_watchers(struct daemon *d)
{
	ev_signal_init(&d->sigterm, on_signal, SIGTERM);
	d->sigterm.data = d;
	ev_signal_start(d->loop, &d->sigterm);
	ev_signal_init(&d->sigint, on_signal, SIGINT);
	d->sigint.data = d;
	ev_signal_start(d->loop, &d->sigint);
}

static int init_caller_httpd(struct daemon *d)
{
	const struct settings *s = &d->settings;
	struct httpd_limits limits = {.connections = s->connections_max,
				      .body_bytes = s->body_max_bytes,
				      .connection_bytes = s->header_max_bytes,
				      .idle_s = s->caller_idle_s};
	int r;

	r = tls_control_load(d);
	if (r < 0)
		return r;
	return httpd_init(&d->caller_httpd, d->loop, s->caller_addr, &limits,
			  d->tls.current ? &d->tls : NULL, callers_handle, d);
}

static int init_admin_httpd(struct daemon *d)
{
	struct httpd_limits limits = {.connections = 64,
				      .body_bytes = 65536,
				      .connection_bytes = 32768,
				      .idle_s = 30};

	return httpd_init(&d->admin_httpd, d->loop, d->settings.admin_addr,
			  &limits, NULL, admin_handle, d);
}

static int init_peer(struct daemon *d,
		     const uint8_t secret[SETTINGS_SECRET_BYTES])
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	d->boot_us = (uint64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
	return peer_init(&d->peer, d->loop, d->settings.peer_addr,
			 d->settings.host, secret, d->boot_us, on_peer_call,
			 on_peer_message, d);
}

static void start_controllers(struct daemon *d)
{
	admit_control_start(d);
	quota_control_start(d);
	queue_control_start(d);
	config_control_start(d);
	host_control_start(d);
	claim_control_start(d);
	quarantine_control_start(d);
	start_signal_watchers(d);
	tls_control_start(d);
}

/*
 * Initializes a daemon on the default loop and starts its controllers. The
 * settings and the secret are copied. Returns 0, or a negative error, after
 * which daemon_finish() must not be called. A failure to listen on an address
 * or to load the certificate is logged.
 */
int daemon_init(struct daemon *d, const struct settings *s,
		const uint8_t secret[SETTINGS_SECRET_BYTES])
{
	int r;

	memset(d, 0, sizeof(*d));
	d->settings = *s;
	d->loop = ev_default_loop(0);
	TAILQ_INIT(&d->board.requests);
	TAILQ_INIT(&d->cancels);
	TAILQ_INIT(&d->service_calls);
	TAILQ_INIT(&d->load_polls);
	admit_init(&d->board.admit);
	plan_prefix_index_init(&d->prefix_index);
	r = observe_control_init(d);
	if (r < 0)
		return r;
	r = fetch_init(&d->fetch, d->loop, IDLE_CONNECTIONS_MAX);
	if (r < 0)
		return r;
	engine_init(&d->engine, &d->fetch, ENGINE_FORM_HTTP,
		    s->connect_timeout_ms);
	platform_init(&d->platform, &d->fetch, s->platform_url,
		      s->connect_timeout_ms, PLATFORM_TIMEOUT_MS);
	r = init_peer(d, secret);
	if (r < 0)
		goto out_fetch;
	r = init_caller_httpd(d);
	if (r < 0)
		goto out_peer;
	r = init_admin_httpd(d);
	if (r < 0)
		goto out_callers;
	start_controllers(d);
	return 0;
out_callers:
	httpd_finish(&d->caller_httpd);
out_peer:
	peer_finish(&d->peer);
out_fetch:
	fetch_finish(&d->fetch);
	logline(LOG_ERR, "cannot-listen", "error=\"%s\"", strerror(-r));
	return r;
}

/*
 * Aborts open requests as timed out and open service calls as in doubt, stops
 * the controllers and frees everything.
 */
void daemon_finish(struct daemon *d)
{
	admit_control_stop(d);
	serving_abort_all(d);
	service_abort_all(d);
	claim_control_stop(d);
	quarantine_control_stop(d);
	cancel_control_finish(d);
	host_control_stop(d);
	config_control_stop(d);
	queue_control_stop(d);
	quota_control_finish(d);
	load_control_stop(d);
	admit_finish(&d->board.admit);
	httpd_finish(&d->caller_httpd);
	httpd_finish(&d->admin_httpd);
	httpd_tls_finish(&d->tls);
	peer_finish(&d->peer);
	fetch_finish(&d->fetch);
	observe_control_finish(d);
}
