#include "daemon.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logline.h"

#define RESPONSE_TIMEOUT_MS 500
#define RETRY_MIN_S 0.25
#define RETRY_MAX_S 8.
#define GIVE_UP_US (600LL * 1000000)
#define CANCELS_MAX 8192
/* Time between the first report of an orphan run and its cancel. */
#define ORPHAN_DELAY_US (1LL * 1000000)
/* Time without reports after which an orphan run is dropped from the table. */
#define ORPHAN_EXPIRY_US (10LL * 1000000)

/*
 * A cancel of a run at an endpoint, repeated with exponential backoff until the
 * endpoint confirms it.
 */
struct cancel_request {
	struct daemon *daemon;
	char addr[ENGINE_ADDR_BYTES];
	char run[ENGINE_RUN_BYTES];
	int64_t created_us;
	double backoff_s;
	struct engine_call call;
	ev_timer retry_timer;
	TAILQ_ENTRY(cancel_request) entry;
};

static void cancel_free(struct cancel_request *r)
{
	engine_cancel_call(&r->call);
	ev_timer_stop(r->daemon->loop, &r->retry_timer);
	TAILQ_REMOVE(&r->daemon->cancels, r, entry);
	r->daemon->cancels_n--;
	free(r);
}

/* Repeats the cancel after the backoff, or gives it up and frees it. */
static void repeat_later(struct cancel_request *r)
{
	if (daemon_now_us(r->daemon) - r->created_us > GIVE_UP_US) {
		logline(LOG_WARNING, "cancel-given-up", "run=%s addr=%s",
			r->run, r->addr);
		cancel_free(r);
		return;
	}
	ev_timer_set(&r->retry_timer, r->backoff_s, 0.);
	ev_timer_start(r->daemon->loop, &r->retry_timer);
	r->backoff_s *= 2;
	if (r->backoff_s > RETRY_MAX_S)
		r->backoff_s = RETRY_MAX_S;
}

static void on_response(void *ctx, struct engine_call *c,
			const struct engine_event *ev)
{
	struct cancel_request *r = ctx;

	if (ev->kind != ENGINE_EV_CANCELLED) {
		repeat_later(r);
		return;
	}
	metrics_add(&r->daemon->board.metrics, METRIC_CANCELS_CONFIRMED, 1);
	cancel_free(r);
}

static void send_cancel(struct cancel_request *r)
{
	struct engine_order order = {.op = ENGINE_CANCEL,
				     .addr = r->addr,
				     .run = r->run,
				     .silence_ms = RESPONSE_TIMEOUT_MS,
				     .fresh = true};

	metrics_add(&r->daemon->board.metrics, METRIC_CANCELS, 1);
	if (engine_start(&r->daemon->engine, &r->call, &order, on_response, r) <
	    0)
		repeat_later(r);
}

static void on_retry_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	send_cancel(w->data);
}

/*
 * Cancels a run at an endpoint. The cancel is repeated until the endpoint
 * confirms that it does not have the run; it also does so after a restart. With
 * CANCELS_MAX pending requests, the oldest one is dropped: load reports still
 * list its run.
 */
void cancel_control_add(struct daemon *d, const char *addr, const char *run)
{
	struct cancel_request *r = calloc(1, sizeof(*r));

	if (!r)
		return;
	if (d->cancels_n == CANCELS_MAX)
		cancel_free(TAILQ_FIRST(&d->cancels));
	d->cancels_n++;
	r->backoff_s = RETRY_MIN_S;
	r->daemon = d;
	r->created_us = daemon_now_us(d);
	snprintf(r->addr, sizeof(r->addr), "%s", addr);
	snprintf(r->run, sizeof(r->run), "%s", run);
	ev_timer_init(&r->retry_timer, on_retry_timer, 0., 0.);
	r->retry_timer.data = r;
	TAILQ_INSERT_TAIL(&d->cancels, r, entry);
	send_cancel(r);
}

/*
 * Parses the id of a run, HOST-BOOT-NUMBER.ATTEMPT. Writes the name of its
 * entry host, of which the id has only DAEMON_RUN_HOST_CHARS characters, and
 * the start time of that process in milliseconds. Returns false if the id has
 * another form.
 */
static bool parse_run_id(const char *run, char *host, size_t size,
			 uint64_t *boot_ms)
{
	const char *number = strrchr(run, '-');
	const char *start = number;

	while (start && start > run && start[-1] != '-')
		start--;
	if (!start || start <= run + 1 || (size_t)(start - run) > size)
		return false;
	memcpy(host, run, (size_t)(start - run) - 1);
	host[start - run - 1] = '\0';
	*boot_ms = strtoull(start, NULL, 16);
	return true;
}

/*
 * Returns true if the process that started a run is in the epoch, or if the
 * epoch has only an earlier process of the same host. Hosts of an unreachable
 * domain do not count: they stay in the epoch, because only hosts of the same
 * domain can remove them.
 */
static bool has_entry_host(const struct daemon *d, const char *host,
			   uint64_t boot_ms)
{
	const struct member_epoch *e = &d->board.epoch;
	size_t n = strlen(host);
	uint32_t i;

	for (i = 0; i < e->n; i++) {
		if (strncmp(e->host[i].name, host, n) ||
		    (e->host[i].name[n] && n < DAEMON_RUN_ID_HOST_CHARS))
			continue;
		if (e->host[i].boot / 1000 <= boot_ms &&
		    !member_domain_is_unreachable(&d->host_control.core,
						  e->host[i].domain))
			return true;
	}
	return false;
}

/* Returns the entry of an orphan run. A new one replaces the least recent. */
static struct orphan_run *find_or_add_orphan(struct daemon *d, const char *run,
					     int64_t now_us)
{
	struct orphan_run *oldest = &d->orphan[0];
	struct orphan_run *o;
	uint32_t i;

	for (i = 0; i < ORPHAN_RUNS_MAX; i++) {
		o = &d->orphan[i];
		if (strcmp(o->run, run) == 0 &&
		    now_us - o->last_seen_us < ORPHAN_EXPIRY_US)
			return o;
		if (o->last_seen_us < oldest->last_seen_us)
			oldest = o;
	}
	memset(oldest, 0, sizeof(*oldest));
	snprintf(oldest->run, sizeof(oldest->run), "%s", run);
	oldest->first_seen_us = now_us;
	return oldest;
}

/*
 * Cancels the orphan runs in the load report of an endpoint that this host owns
 * or whose domain is unreachable. A run is canceled only after ORPHAN_DELAY_US,
 * because the epoch may not have its host yet.
 */
void cancel_control_cancel_orphans(struct daemon *d, const char *addr,
				   const struct engine_load *l)
{
	const struct member_epoch *e = &d->board.epoch;
	int64_t now_us = daemon_now_us(d);
	struct orphan_run *o;
	char host[ENGINE_RUN_BYTES];
	uint64_t boot_ms;
	uint32_t i;

	for (i = 0; e->number && i < l->running_n; i++) {
		if (!parse_run_id(l->running[i], host, sizeof(host),
				  &boot_ms) ||
		    has_entry_host(d, host, boot_ms))
			continue;
		o = find_or_add_orphan(d, l->running[i], now_us);
		o->last_seen_us = now_us;
		if (o->canceled || now_us - o->first_seen_us < ORPHAN_DELAY_US)
			continue;
		o->canceled = true;
		logline(LOG_NOTICE, "orphan-canceled", "run=%s addr=%s", o->run,
			addr);
		metrics_add(&d->board.metrics, METRIC_ORPHAN_RUNS, 1);
		cancel_control_add(d, addr, o->run);
	}
}

/* Frees the cancel requests; endpoints may not have confirmed them. */
void cancel_control_finish(struct daemon *d)
{
	struct cancel_request *r;

	while ((r = TAILQ_FIRST(&d->cancels)))
		cancel_free(r);
}
