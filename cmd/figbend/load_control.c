#include "daemon.h"

#include <errno.h>
#include <stdlib.h>
#include <stdio.h>
#include <string.h>

#include "logline.h"

/*
 * Queries the load of the endpoints that this host owns and of the model
 * endpoints of unreachable failure domains. The reports go to the allocators
 * and to cancel_control, which cancels orphan runs.
 */

#define QUERY_TIMEOUT_MS 1000
/*
 * Interval of load queries to an endpoint of an unreachable domain. A run is
 * canceled when a second report lists it, so within a few seconds.
 */
#define ORPHANED_INTERVAL_US 2000000LL

/* The load queries to one endpoint. */
struct load_poll {
	struct daemon *daemon;
	char endpoint[CONFIG_NAME_BYTES];
	struct engine_call call;
	int64_t queried_us; /* when the last query was sent; 0 if none was */
	bool in_flight;
	TAILQ_ENTRY(load_poll) entry;
};

static void log_availability(const struct admit_endpoint *e, bool was_open)
{
	const struct admit_allocator *al = e->alloc;
	bool open = admit_alloc_is_available(al);

	if (open != was_open)
		logline(LOG_NOTICE, open ? "endpoint-open" : "endpoint-shut",
			"endpoint=%s boot=%llu cold=%d leaving=%d window=%u "
			"running=%u foreign=%u",
			e->name, (unsigned long long)al->boot, al->cold,
			al->draining, al->window, al->grant_n,
			al->untracked_slots);
}

static void apply_report(struct load_poll *p, struct admit_endpoint *e,
			 const struct engine_load *l)
{
	struct admit_report r = {.queried_us = p->queried_us,
				 .boot = l->boot,
				 .slots_used = l->slots_used,
				 .pieces_used = l->pieces_used,
				 .cold = l->cold,
				 .draining = l->leaving,
				 .running = l->running,
				 .running_n = l->running_n};

	admit_alloc_apply_report(e->alloc, &r, daemon_now_us(p->daemon));
	cancel_control_cancel_orphans(p->daemon, e->addr, l);
}

static void on_load(void *ctx, struct engine_call *c,
		    const struct engine_event *ev)
{
	struct load_poll *p = ctx;
	struct admit_endpoint *e;
	bool was_open;

	p->in_flight = false;
	e = admit_find(&p->daemon->board.admit, p->endpoint);
	if (e && !e->alloc && ev->kind == ENGINE_EV_LOAD)
		cancel_control_cancel_orphans(p->daemon, e->addr, &ev->load);
	if (!e || !e->alloc)
		return;
	was_open = admit_alloc_is_available(e->alloc);
	if (ev->kind == ENGINE_EV_LOAD)
		apply_report(p, e, &ev->load);
	else
		admit_alloc_set_unreachable(e->alloc);
	log_availability(e, was_open);
	owner_control_notify_waiters(p->daemon, e);
	queue_control_schedule(p->daemon);
}

static void send_query(struct load_poll *p, const char *addr, int64_t now_us)
{
	struct engine_order o = {.op = ENGINE_LOAD,
				 .addr = addr,
				 .run = "",
				 .silence_ms = QUERY_TIMEOUT_MS};

	p->queried_us = now_us;
	p->in_flight = true;
	if (engine_start(&p->daemon->engine, &p->call, &o, on_load, p) < 0)
		p->in_flight = false;
}

/*
 * Returns the poll of an endpoint, created on first use, or NULL if out of
 * memory.
 */
static struct load_poll *get_poll(struct daemon *d, const char *endpoint)
{
	struct load_poll *p;

	TAILQ_FOREACH(p, &d->load_polls, entry)
	if (strcmp(p->endpoint, endpoint) == 0)
		return p;
	p = calloc(1, sizeof(*p));
	if (!p)
		return NULL;
	p->daemon = d;
	snprintf(p->endpoint, sizeof(p->endpoint), "%s", endpoint);
	TAILQ_INSERT_TAIL(&d->load_polls, p, entry);
	return p;
}

/*
 * Returns true if this host queries the endpoint: as its owner, or because no
 * host of its domain is reachable to cancel orphan runs there.
 */
static bool is_polled(const struct daemon *d, const struct admit_endpoint *e)
{
	if (e->alloc)
		return e->alloc->state != ADMIT_INACTIVE;
	return e->role != CONFIG_ROLE_SERVICE &&
	       member_domain_is_unreachable(&d->host_control.core, e->domain);
}

static bool is_due(const struct load_poll *p, const struct admit_endpoint *e,
		   int64_t now_us)
{
	if (e->alloc)
		return admit_alloc_report_due(e->alloc, p->queried_us, now_us);
	return now_us - p->queried_us >= ORPHANED_INTERVAL_US;
}

/* Sends the load queries that are due, at most one at a time to an endpoint. */
void load_control_tick(struct daemon *d)
{
	struct admit *a = &d->board.admit;
	int64_t now_us = daemon_now_us(d);
	struct admit_endpoint *e;
	struct load_poll *p;
	uint32_t i;

	for (i = 0; i < a->n; i++) {
		e = &a->endpoint[i];
		if (!is_polled(d, e))
			continue;
		p = get_poll(d, e->name);
		if (p && !p->in_flight && is_due(p, e, now_us))
			send_query(p, e->addr, now_us);
	}
}

void load_control_stop(struct daemon *d)
{
	struct load_poll *p;

	while ((p = TAILQ_FIRST(&d->load_polls))) {
		TAILQ_REMOVE(&d->load_polls, p, entry);
		engine_cancel_call(&p->call);
		free(p);
	}
}
