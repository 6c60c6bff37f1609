#include "gateway.h"

#include <string.h>

#include "logline.h"

/* This host's record in the store, which tells other hosts its address. */

/* Time between two tries to write the record. */
#define RETRY_S 1.0
/* All hosts write their records again within this time after the store came back
 * from a copy that may lack them. */
#define RENEW_SPREAD_S 2.0

static void on_register_end(void *ctx, enum h1_outcome outcome,
			    const char *reason);

static enum h1_verdict on_register_head(void *ctx, const struct h1_head *h)
{
	struct gateway *g = ctx;
	int64_t era = adapter_read_era(h);

	g->registered = h->status == 200;
	g->registered_era = era >= 0 ? (uint32_t)era : g->store_era;
	return H1_ACCEPT;
}

static void on_register_body(void *ctx, const void *p, size_t n)
{
}

static const struct h1_exchange_handlers register_handlers = {
	on_register_head, on_register_body, on_register_end};

/* Writes this host's record; an empty value deletes it. */
static void write_host_record(struct gateway *g, const char *value)
{
	char key[2 * POOL_SETTINGS_NAME_BYTES];
	struct sockaddr_in addr;
	struct h1_buf request = {0};

	heartbeat_host_key(g, key, sizeof(key));
	adapter_write_record(&request, g->settings->store_addr, ADAPTER_HOSTS,
			     key, value, strlen(value));
	stats_add(&g->stats, STATS_STORE_CALLS, 1);
	if (h1_parse_addr(g->settings->store_addr, &addr) == 0)
		h1_exchange_start(&g->store, &g->register_exchange, &addr,
				  h1_buf_data(&request), h1_buf_len(&request),
				  &register_handlers, g);
	h1_buf_finish(&request);
}

static void on_register_end(void *ctx, enum h1_outcome outcome,
			    const char *reason)
{
	struct gateway *g = ctx;

	if (outcome == H1_COMPLETE && g->registered) {
		if (g->registered_era >= g->store_era)
			ev_timer_stop(g->loop, &g->register_timer);
		return;
	}
	logline(LOG_WARNING, "host_record_failed", "why=\"%s\"", reason);
}

static void on_register_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct gateway *g = w->data;

	h1_exchange_cancel(&g->register_exchange);
	write_host_record(g, g->settings->peer_addr);
}

/* See gateway.h. */
void host_record_init(struct gateway *g)
{
	ev_timer_init(&g->register_timer, on_register_timer, 0., RETRY_S);
	g->register_timer.data = g;
	ev_timer_start(g->loop, &g->register_timer);
}

/* See gateway.h. */
void host_record_renew(struct gateway *g, uint32_t era)
{
	if (era <= g->store_era)
		return;
	g->store_era = era;
	if (g->drain.stopping) {
		if (g->registered_era < era)
			host_record_delete(g);
		return;
	}
	if (!g->registered || g->registered_era >= era)
		return;
	ev_timer_stop(g->loop, &g->register_timer);
	ev_timer_set(&g->register_timer,
		     RENEW_SPREAD_S * (double)gateway_random(g) / (1U << 31),
		     RETRY_S);
	ev_timer_start(g->loop, &g->register_timer);
}

/* See gateway.h. */
void host_record_delete(struct gateway *g)
{
	ev_timer_stop(g->loop, &g->register_timer);
	h1_exchange_cancel(&g->register_exchange);
	write_host_record(g, "");
}

/* See gateway.h. */
void host_record_finish(struct gateway *g)
{
	ev_timer_stop(g->loop, &g->register_timer);
	h1_exchange_cancel(&g->register_exchange);
}
