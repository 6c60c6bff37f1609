#include "daemon.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logline.h"

#define SILENCE_MS 500
#define RETRY_MIN_S 0.25
#define RETRY_MAX_S 8.
#define GIVE_UP_US (600LL * 1000000)
#define ORDERS_MAX 8192
#define ORPHAN_AFTER_US (1LL * 1000000) /* reported with no host behind it */
#define ORPHAN_FORGET_US (10LL * 1000000)

/* A cancel that is repeated until the endpoint confirms it. */
struct cancel_request {
	struct daemon *daemon;
	char addr[ENGINE_ADDR_BYTES];
	char run[ENGINE_RUN_BYTES];
	int64_t since_us;
	double retry_s;
	struct engine_call call;
	ev_timer retry;
	TAILQ_ENTRY(cancel_request) entry;
};

static void cancel_free(struct cancel_request *o)
{
	engine_cancel_call(&o->call);
	ev_timer_stop(o->daemon->loop, &o->retry);
	TAILQ_REMOVE(&o->daemon->cancels, o, entry);
	o->daemon->cancels_n--;
	free(o);
}

static void on_answer(void *ctx, struct engine_call *c,
		      const struct engine_event *ev)
{
	struct cancel_request *o = ctx;

	if (ev->kind == ENGINE_EV_CANCELLED) {
		metrics_add(&o->daemon->board.metrics, METRIC_cancels_confirmed,
			    1);
		cancel_free(o);
		return;
	}
	if (daemon_now_us(o->daemon) - o->since_us > GIVE_UP_US) {
		logline(LOG_WARNING, "cancel-given-up", "run=%s addr=%s",
			o->run, o->addr);
		cancel_free(o);
		return;
	}
	ev_timer_set(&o->retry, o->retry_s, 0.);
	ev_timer_start(o->daemon->loop, &o->retry);
	o->retry_s *= 2;
	if (o->retry_s > RETRY_MAX_S)
		o->retry_s = RETRY_MAX_S;
}

static void send_order(struct cancel_request *o)
{
	struct engine_order order = {.op = ENGINE_CANCEL,
				     .addr = o->addr,
				     .run = o->run,
				     .silence_ms = SILENCE_MS,
				     .fresh = true};

	metrics_add(&o->daemon->board.metrics, METRIC_cancels, 1);
	engine_start(&o->daemon->engine, &o->call, &order, on_answer, o);
}

static void on_retry(struct ev_loop *loop, ev_timer *w, int revents)
{
	send_order(w->data);
}

/*
 * Orders an endpoint to drop a run, again and again, until it says that it does
 * not have it; one that has started anew says so too. The oldest order makes
 * room for one over the limit: what it was for, the load reports still show.
 */
void cancel_control_add(struct daemon *d, const char *addr, const char *run)
{
	struct cancel_request *o = calloc(1, sizeof(*o));

	if (!o)
		return;
	if (d->cancels_n == ORDERS_MAX)
		cancel_free(TAILQ_FIRST(&d->cancels));
	d->cancels_n++;
	o->retry_s = RETRY_MIN_S;
	o->daemon = d;
	o->since_us = daemon_now_us(d);
	snprintf(o->addr, sizeof(o->addr), "%s", addr);
	snprintf(o->run, sizeof(o->run), "%s", run);
	ev_timer_init(&o->retry, on_retry, 0., 0.);
	o->retry.data = o;
	TAILQ_INSERT_TAIL(&d->cancels, o, entry);
	send_order(o);
}

/*
 * Takes the host's name and the start of its process, in milliseconds, out of a
 * run's id, HOST-BOOT-NUMBER.ATTEMPT; false if it is not one of ours.
 */
static bool read_run(const char *run, char *host, size_t size, uint64_t *boot)
{
	const char *number = strrchr(run, '-');
	const char *start = number;

	while (start && start > run && start[-1] != '-')
		start--;
	if (!start || start <= run + 1 || (size_t)(start - run) > size)
		return false;
	memcpy(host, run, (size_t)(start - run) - 1);
	host[start - run - 1] = '\0';
	*boot = strtoull(start, NULL, 16);
	return true;
}

/*
 * Tells whether the epoch holds the process that a run belongs to, or a later. A
 * domain whose hosts are all gone has nobody who takes them out of the epoch.
 */
static bool has_host(const struct daemon *d, const char *host, uint64_t boot_ms)
{
	const struct member_epoch *e = &d->board.epoch;
	size_t n = strlen(host);
	uint32_t i;

	for (i = 0; i < e->n; i++) {
		if (strncmp(e->host[i].name, host, n) ||
		    (e->host[i].name[n] && n < DAEMON_RUN_HOST_CHARS))
			continue;
		if (e->host[i].boot / 1000 <= boot_ms &&
		    !member_domain_is_unreachable(&d->host_control.core,
						  e->host[i].domain))
			return true;
	}
	return false;
}

static struct orphan_run *find_orphan(struct daemon *d, const char *run,
				      int64_t now_us)
{
	struct orphan_run *oldest = &d->orphan[0];
	struct orphan_run *o;
	uint32_t i;

	for (i = 0; i < ORPHAN_RUNS_MAX; i++) {
		o = &d->orphan[i];
		if (strcmp(o->run, run) == 0 &&
		    now_us - o->last_seen_us < ORPHAN_FORGET_US)
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
 * Cancels what an endpoint reports as running for hosts that are no longer there:
 * an endpoint that we admit to, or one of a domain whose hosts are all gone. A
 * process that the epoch does not hold yet gets a while.
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
		if (!read_run(l->running[i], host, sizeof(host), &boot_ms) ||
		    has_host(d, host, boot_ms))
			continue;
		o = find_orphan(d, l->running[i], now_us);
		o->last_seen_us = now_us;
		if (o->canceled || now_us - o->first_seen_us < ORPHAN_AFTER_US)
			continue;
		o->canceled = true;
		logline(LOG_NOTICE, "orphan-canceled", "run=%s addr=%s", o->run,
			addr);
		metrics_add(&d->board.metrics, METRIC_orphans, 1);
		cancel_control_add(d, addr, o->run);
	}
}

/* Forgets the cancels under way, at the end of the process. */
void cancel_control_finish(struct daemon *d)
{
	struct cancel_request *o;

	while ((o = TAILQ_FIRST(&d->cancels)))
		cancel_free(o);
}
