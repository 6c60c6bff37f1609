#include "daemon.h"

#include <errno.h>
#include <stdlib.h>
#include <stdio.h>
#include <string.h>

#include "logline.h"

#define SILENCE_MS 1000
/* Between reports of an endpoint whose domain has no hosts left: what it holds
 * for them is seen twice and cancelled within a few seconds. */
#define ORPHANED_INTERVAL_US 2000000LL

/* The load reports of one endpoint that this host admits to. */
struct load_poll {
	struct daemon *daemon;
	char endpoint[CONFIG_NAME_BYTES];
	struct engine_call call;
	int64_t asked_us;
	bool asking;
	TAILQ_ENTRY(load_poll) entry;
};

static void log_state(const struct admit_endpoint *e, bool was_open)
{
	const struct admit_allocator *b = e->alloc;
	bool open = admit_alloc_is_available(b);

	if (open != was_open)
		logline(LOG_NOTICE, open ? "endpoint-open" : "endpoint-shut",
			"endpoint=%s boot=%llu cold=%d leaving=%d window=%u "
			"running=%u foreign=%u",
			e->name, (unsigned long long)b->boot, b->cold,
			b->draining, b->window, b->grant_n, b->untracked_slots);
}

static void take_report(struct load_poll *p, struct admit_endpoint *e,
			const struct engine_load *l)
{
	struct admit_report r = {.queried_us = p->asked_us,
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

	p->asking = false;
	e = admit_find(&p->daemon->board.admit, p->endpoint);
	if (e && !e->alloc && ev->kind == ENGINE_EV_LOAD)
		cancel_control_cancel_orphans(p->daemon, e->addr, &ev->load);
	if (!e || !e->alloc)
		return;
	was_open = admit_alloc_is_available(e->alloc);
	if (ev->kind == ENGINE_EV_LOAD)
		take_report(p, e, &ev->load);
	else
		admit_alloc_set_unreachable(e->alloc);
	log_state(e, was_open);
	owner_control_notify_waiters(p->daemon, e);
	queue_control_schedule(p->daemon);
}

static void ask_load(struct load_poll *p, const char *addr, int64_t now_us)
{
	struct engine_order o = {.op = ENGINE_LOAD,
				 .addr = addr,
				 .run = "",
				 .silence_ms = SILENCE_MS};

	p->asked_us = now_us;
	p->asking = true;
	if (engine_start(&p->daemon->engine, &p->call, &o, on_load, p) < 0)
		p->asking = false;
}

/* Returns the poll of an endpoint, made on first sight, or NULL. */
static struct load_poll *find_poll(struct daemon *d, const char *endpoint)
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

/* Tells whether this host reads the endpoint's reports. */
static bool reads(const struct daemon *d, const struct admit_endpoint *e)
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
		return admit_alloc_report_due(e->alloc, p->asked_us, now_us);
	return now_us - p->asked_us >= ORPHANED_INTERVAL_US;
}

/* Asks each endpoint whose reports this host reads, when it is time. */
void load_control_tick(struct daemon *d)
{
	struct admit *a = &d->board.admit;
	int64_t now_us = daemon_now_us(d);
	struct admit_endpoint *e;
	struct load_poll *p;
	uint32_t i;

	for (i = 0; i < a->n; i++) {
		e = &a->endpoint[i];
		if (!reads(d, e))
			continue;
		p = find_poll(d, e->name);
		if (p && !p->asking && is_due(p, e, now_us))
			ask_load(p, e->addr, now_us);
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
