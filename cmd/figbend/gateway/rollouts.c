#include "req.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "logline.h"
#include "namehash.h"

/* Rollouts: orders, states in the store, and messages between hosts. */

/* The progress goes to this many hosts each interval while a rollout runs. */
#define GOSSIP_HOSTS 2
#define GOSSIP_INTERVAL_US 500000LL
/* A store that is 50 times slower than usual responds after 0.2 s. */
#define WRITE_TIMEOUT_US 1500000LL
/* An order can reach a host this much later than the entries of its version. */
#define HOLD_US 2000000LL
/* A service has a version for this long before others are new to it: a host that
 * starts reads entries of several versions at once. */
#define ESTABLISHED_US 2000000LL
/* Other versions have been out of use for this long when a rollout is over. */
#define OVER_US 5000000LL
/* Time since a write, by wall clocks that may have been stepped. */
#define WRITTEN_AGE_MAX_MS 3600000LL

static int64_t wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static bool is_on(const struct gateway *g)
{
	return g->settings->rollout_share > 0;
}

static struct gateway_rollout *find(const struct gateway *g,
				    const char *service)
{
	struct gateway_rollout *gr;

	TAILQ_FOREACH(gr, &g->rollouts.list, entry)
	{
		if (strcmp(gr->r.service, service) == 0)
			return gr;
	}
	return NULL;
}

static bool is_final(enum rollout_stage stage)
{
	return stage == ROLLOUT_COMPLETED || stage == ROLLOUT_ROLLED_BACK;
}

/* Adds rows of evidence for all routes to the service. */
static void add_rows(struct gateway_rollout *gr)
{
	const struct directory *d = gr->g->directory;
	char name[ROLLOUT_ROW_BYTES];
	uint32_t i, j;

	for (i = 0; i < d->n_routes; i++)
		for (j = 0; j < d->route[i].n_split; j++) {
			if (strcmp(d->route[i].split[j].service,
				   gr->r.service) != 0)
				continue;
			rollout_add_row(&gr->r, d->route[i].name);
			if (d->route[i].kind != CALL_STREAM)
				continue;
			snprintf(name, sizeof(name), "%s" ROLLOUT_GAP_SUFFIX,
				 d->route[i].name);
			rollout_add_row(&gr->r, name);
		}
}

static struct gateway_rollout *add(struct gateway *g, const char *service)
{
	struct rollout_limits limits = {
		.share = g->settings->rollout_share,
		.slack_requests = g->settings->rollout_slack,
		.stop_us = g->settings->rollout_stop_ms * 1000LL,
	};
	struct gateway_rollout *gr = calloc(1, sizeof(*gr));

	if (!gr)
		return NULL;
	gr->g = g;
	rollout_init(&gr->r, service, &limits,
		     gateway_random(g) << 31 | gateway_random(g),
		     gateway_now_us(g));
	TAILQ_INSERT_TAIL(&g->rollouts.list, gr, entry);
	add_rows(gr);
	return gr;
}

/* Notes a change that concerns the side of requests. source is for the log. */
static void note_change(struct gateway_rollout *gr, const char *source)
{
	if (gr->stage != gr->r.stage || gr->position != gr->r.order.position) {
		logline(LOG_NOTICE, "rollout_stage",
			"service=%s to=%s stage=%s before=%s offset=%llu "
			"source=%s",
			gr->r.service, gr->r.order.to,
			rollout_stage_name(gr->r.stage),
			rollout_stage_name(gr->stage),
			(unsigned long long)record_offset(gr->r.order.position),
			source);
		gr->over = false;
		gr->alone_us = 0;
	} else if (gr->suspect == gr->r.suspect) {
		return;
	}
	gr->stage = gr->r.stage;
	gr->suspect = gr->r.suspect;
	gr->position = gr->r.order.position;
	gr->generation++;
	if (gr->g->n_waiting)
		ev_feed_event(gr->g->loop, &gr->g->waiting_timer, EV_CUSTOM);
}

/* Applies the progress that was read before the order. */
static void apply_known_progress(struct gateway *g, const char *service)
{
	const struct records *rs = &g->records[ADAPTER_HOSTS];
	const char *name;
	uint32_t i;

	for (i = 0; i < rs->n; i++) {
		const struct record *row = &rs->row[i];

		if (row->value &&
		    adapter_status_record_kind(row->key, row->value,
					       row->value_bytes, &name) ==
			    ADAPTER_ROLLOUT_PROGRESS &&
		    strcmp(name, service) == 0)
			rollouts_apply_progress(g, service, row->value,
						row->value_bytes);
	}
}

static void log_bad_order(const char *service, uint64_t position,
			  const char *source, const char *reason)
{
	logline(LOG_ERR, "rollout_rejected",
		"service=%s offset=%llu source=%s why=\"%s\"", service,
		(unsigned long long)record_offset(position), source, reason);
}

/* A new order begins after one for the version before, which had reached the stage. */
static void exclude_rolled_back(struct gateway_rollout *gr,
				enum rollout_stage stage, const char *before)
{
	if (stage == ROLLOUT_ROLLED_BACK)
		snprintf(gr->rolled_back, sizeof(gr->rolled_back), "%s",
			 before);
	if (strcmp(gr->rolled_back, gr->r.order.to) == 0)
		gr->rolled_back[0] = '\0';
}

/* See rollouts.h. Without a configuration the order waits for it. */
void rollouts_apply_order(struct gateway *g, const char *service,
			  const char *value, size_t n, uint64_t position,
			  const char *source)
{
	struct gateway_rollout *gr = find(g, service);
	char reason[ADAPTER_REASON_BYTES] = "out of memory";
	struct rollout_order order, before;
	enum rollout_stage stage_before;

	if (!is_on(g))
		return;
	if (!value) {
		if (!gr)
			return;
		rollout_on_order_deleted(&gr->r, gateway_now_us(g));
		note_change(gr, source);
		return;
	}
	if (!g->directory)
		return;
	if (adapter_read_order(service, value, n, &order, reason) < 0) {
		log_bad_order(service, position, source, reason);
		return;
	}
	if (!directory_find_service(g->directory, service)) {
		log_bad_order(service, position, source,
			      "service is not declared");
		return;
	}
	if (!gr)
		gr = add(g, service);
	if (!gr) {
		log_bad_order(service, position, source, reason);
		return;
	}
	order.position = position;
	before = gr->r.order;
	stage_before = gr->r.stage;
	if (rollout_on_order(&gr->r, &order, gateway_now_us(g))) {
		exclude_rolled_back(gr, stage_before, before.to);
		logline(LOG_NOTICE, "rollout_ordered",
			"service=%s to=%s duration_ms=%lld offset=%llu "
			"source=%s",
			service, order.to, (long long)order.duration_us / 1000,
			(unsigned long long)record_offset(position), source);
		apply_known_progress(g, service);
	}
	note_change(gr, source);
}

/* See rollouts.h. */
void rollouts_apply_progress(struct gateway *g, const char *service,
			     const char *value, size_t n)
{
	struct gateway_rollout *gr = find(g, service);
	struct rollout_progress p;
	int64_t written_ms, age_ms;

	if (!gr || !value)
		return;
	if (adapter_read_progress(value, n, &p, &written_ms) < 0) {
		logline(LOG_WARNING, "rollout_progress_unreadable",
			"service=%s bytes=%zu", service, n);
		return;
	}
	age_ms = wall_ms() - written_ms;
	if (age_ms > 0 && age_ms < WRITTEN_AGE_MAX_MS)
		p.elapsed_us += age_ms * 1000;
	rollout_on_progress(&gr->r, &p, ROLLOUT_FROM_STORE, gateway_now_us(g));
	note_change(gr, "store");
}

/* See rollouts.h. */
void rollouts_apply_message(struct gateway *g, const struct fig_rollout *m,
			    const char *source)
{
	struct gateway_rollout *gr = find(g, m->service);
	struct rollout_progress p = {
		.position = m->position,
		.text_hash = m->text_hash,
		.stage = (enum rollout_stage)m->stage,
		.elapsed_us = (int64_t)(m->elapsed_ms & INT32_MAX) * 1000,
	};

	if (!gr || m->stage <= ROLLOUT_NONE || m->stage > ROLLOUT_ROLLED_BACK)
		return;
	rollout_on_progress(&gr->r, &p, ROLLOUT_FROM_HOST, gateway_now_us(g));
	note_change(gr, source);
}

/* See rollouts.h. An order for an unknown service is logged once. */
void rollouts_apply_directory(struct gateway *g)
{
	const struct records *rs = &g->records[ADAPTER_OPERATORS];
	struct gateway_rollout *gr;
	bool first = !g->rollouts.configured;
	const char *service;
	uint32_t i;

	if (!is_on(g))
		return;
	g->rollouts.configured = true;
	TAILQ_FOREACH(gr, &g->rollouts.list, entry)
	{
		add_rows(gr);
	}
	for (i = 0; i < rs->n; i++) {
		service = adapter_order_service(rs->row[i].key);
		if (service && rs->row[i].value && !find(g, service) &&
		    (first || directory_find_service(g->directory, service)))
			rollouts_apply_order(g, service, rs->row[i].value,
					     rs->row[i].value_bytes,
					     rs->row[i].position, "known");
	}
}

/* See rollouts.h. */
void rollouts_apply_version(struct gateway *g, const char *service,
			    const char *version)
{
	struct rollouts *rs = &g->rollouts;
	int64_t now_us = gateway_now_us(g);
	struct rollouts_version *v;
	bool established = false;
	uint32_t i;

	if (!is_on(g))
		return;
	for (i = 0; i < rs->n_versions && i < ROLLOUTS_VERSIONS_MAX; i++) {
		v = &rs->version[i];
		if (strcmp(v->service, service) != 0)
			continue;
		if (strcmp(v->version, version) == 0)
			return;
		if (now_us - v->first_us >= ESTABLISHED_US)
			established = true;
	}
	v = &rs->version[rs->n_versions++ % ROLLOUTS_VERSIONS_MAX];
	memset(v, 0, sizeof(*v));
	snprintf(v->service, sizeof(v->service), "%s", service);
	snprintf(v->version, sizeof(v->version), "%s", version);
	v->first_us = now_us;
	if (!established)
		return;
	v->held_until_us = rs->held_until_us = now_us + HOLD_US;
	logline(LOG_NOTICE, "version_held", "service=%s version=%s for_ms=%d",
		service, version, (int)(HOLD_US / 1000));
}

/* See rollouts.h. */
void rollouts_store_restored(struct gateway *g)
{
	struct gateway_rollout *gr;

	TAILQ_FOREACH(gr, &g->rollouts.list, entry)
	{
		gr->refused_end = 0;
		/* What is being written may be lost with the era. */
		gr->writing_position = UINT64_MAX;
		rollout_on_store_restored(&gr->r);
	}
}

static enum h1_verdict on_write_head(void *ctx, const struct h1_head *h)
{
	struct gateway_rollout *gr = ctx;

	gr->status = h->status;
	return H1_ACCEPT;
}

static void on_write_body(void *ctx, const void *p, size_t n)
{
	struct gateway_rollout *gr = ctx;

	if (h1_buf_len(&gr->body) + n > 4096 ||
	    h1_buf_append(&gr->body, p, n) < 0)
		h1_buf_finish(&gr->body);
}

static void log_write(struct gateway_rollout *gr, int level,
		      const char *outcome)
{
	logline(level, "rollout_write",
		"service=%s to=%s stage=%s outcome=%s status=%u took_ms=%lld",
		gr->r.service, gr->r.order.to, rollout_stage_name(gr->writing),
		outcome, gr->status,
		(long long)(gateway_now_us(gr->g) - gr->write_us) / 1000);
}

static void on_written(struct gateway_rollout *gr)
{
	log_write(gr, LOG_NOTICE, "written");
	if (gr->writing == ROLLOUT_COMPLETED)
		stats_add(&gr->g->stats, STATS_ROLLOUTS_COMPLETED, 1);
	if (gr->writing == ROLLOUT_ROLLED_BACK)
		stats_add(&gr->g->stats, STATS_ROLLOUTS_ROLLED_BACK, 1);
	/* The order may have been replaced while the write was under way. */
	if (gr->writing_position == gr->r.first_position)
		rollout_on_written(&gr->r, gr->writing, gateway_now_us(gr->g));
	note_change(gr, "own");
}

static void on_write_end(void *ctx, enum h1_outcome outcome, const char *reason)
{
	struct gateway_rollout *gr = ctx;
	uint64_t end = 0;
	int r = -EBADMSG;

	if (outcome == H1_COMPLETE)
		r = adapter_read_append(gr->status, h1_buf_data(&gr->body),
					h1_buf_len(&gr->body), &end);
	h1_buf_finish(&gr->body);
	if (r == 0) {
		on_written(gr);
		return;
	}
	if (r == -EAGAIN) {
		log_write(gr, LOG_INFO, "refused");
		gr->refused_end = end;
	} else {
		log_write(gr, LOG_WARNING, "failed");
		stats_add(&gr->g->stats, STATS_STORE_FAILURES, 1);
	}
	store_reader_poll(gr->g, ADAPTER_HOSTS);
}

static const struct h1_exchange_handlers write_handlers = {
	on_write_head, on_write_body, on_write_end};

/*
 * Writes the progress with this stage, unless this host lacks records that another
 * one wrote: they may be a state.
 */
static void start_write(struct gateway_rollout *gr, enum rollout_stage stage)
{
	struct gateway *g = gr->g;
	uint64_t end = record_offset(g->records[ADAPTER_HOSTS].next_position);
	struct h1_buf request = {0};
	struct rollout_progress p;
	struct sockaddr_in addr;

	if (gr->exchange.conn ||
	    !rollout_get_progress(&gr->r, &p, gateway_now_us(g)))
		return;
	if (end < gr->refused_end) {
		store_reader_poll(g, ADAPTER_HOSTS);
		return;
	}
	gr->refused_end = 0;
	p.stage = stage;
	gr->writing = stage;
	gr->writing_position = gr->r.first_position;
	gr->status = 0;
	gr->write_us = gateway_now_us(g);
	h1_buf_finish(&gr->body);
	adapter_write_rollout(&request, g->settings->store_addr, end,
			      gr->r.service, gr->r.order.to, &p, wall_ms());
	stats_add(&g->stats, STATS_STORE_CALLS, 1);
	if (h1_parse_addr(g->settings->store_addr, &addr) == 0)
		h1_exchange_start(&g->store, &gr->exchange, &addr,
				  h1_buf_data(&request), h1_buf_len(&request),
				  &write_handlers, gr);
	h1_buf_finish(&request);
}

/* Fills a message with the progress. Returns false if there is none. */
static bool fill_message(struct gateway_rollout *gr, struct fig_call *call)
{
	struct fig_rollout *m = &call->fig_call_u.rollout;
	struct rollout_progress p;

	if (!rollout_get_progress(&gr->r, &p, gateway_now_us(gr->g)))
		return false;
	call->kind = FIG_ROLLOUT;
	m->service = gr->r.service;
	m->position = p.position;
	m->text_hash = p.text_hash;
	m->stage = p.stage;
	m->elapsed_ms = (uint64_t)p.elapsed_us / 1000;
	return true;
}

static void send_progress(struct gateway *g)
{
	int64_t now_us = gateway_now_us(g);
	struct gateway_rollout *gr;
	struct fig_call call;
	int i;

	if (now_us - g->rollouts.sent_us < GOSSIP_INTERVAL_US)
		return;
	g->rollouts.sent_us = now_us;
	TAILQ_FOREACH(gr, &g->rollouts.list, entry)
	{
		if (is_final(gr->r.stage) || !fill_message(gr, &call))
			continue;
		for (i = 0; i < GOSSIP_HOSTS; i++)
			heartbeat_send_random(g, &call);
	}
}

/* Fills what concerns the endpoints of the service. */
static void count_endpoints(const struct gateway_rollout *gr,
			    struct rollout_view *view)
{
	const struct gateway *g = gr->g;
	const struct fleet_endpoint *e;
	const struct req *r;

	TAILQ_FOREACH(e, &g->fleet.list, link)
	{
		bool usable;

		if (strcmp(e->entry.service, gr->r.service) != 0)
			continue;
		usable = fleet_is_usable(&g->fleet, e);
		if (rollout_is_new(&gr->r, e->entry.version)) {
			view->new_endpoints += usable;
			continue;
		}
		view->present_endpoints += usable;
		view->present_running += e->running + e->peer_running;
	}
	TAILQ_FOREACH(r, &g->reqs, entry)
	{
		if (r->endpoint && r->step == REQ_SENT &&
		    strcmp(r->endpoint->entry.service, gr->r.service) == 0 &&
		    !rollout_is_new(&gr->r, r->endpoint->entry.version))
			view->present_pinned += !req_may_execute_again(r);
	}
}

static void check_over(struct gateway_rollout *gr,
		       const struct rollout_view *view, int64_t now_us)
{
	if (gr->r.stage != ROLLOUT_COMPLETED || gr->over)
		return;
	if (view->present_endpoints)
		gr->alone_us = 0;
	else if (!gr->alone_us)
		gr->alone_us = now_us;
	gr->over = gr->alone_us && now_us - gr->alone_us >= OVER_US;
}

/* See heartbeat.c for reads that are left to other hosts. */
static bool store_is_ok(const struct gateway *g)
{
	const struct store_reader *op = &g->reader[ADAPTER_OPERATORS];
	const struct store_reader *hosts = &g->reader[ADAPTER_HOSTS];

	return !op->failures && !hosts->failures && !hosts->in_snapshot &&
	       record_offset(g->records[ADAPTER_HOSTS].next_position);
}

static void tick(struct gateway_rollout *gr)
{
	struct gateway *g = gr->g;
	int64_t now_us = gateway_now_us(g);
	struct rollout_view view = {.store_ok = store_is_ok(g)};
	struct rollout_actions act;
	struct fig_call call;

	if (gr->exchange.conn && now_us - gr->write_us > WRITE_TIMEOUT_US) {
		h1_exchange_cancel(&gr->exchange);
		on_write_end(gr, H1_NOT_SENT, "timed out");
	}
	if (gr->r.stage == ROLLOUT_NONE)
		return;
	view.rank = relay_rank_for(&g->relay, gr->r.service);
	count_endpoints(gr, &view);
	rollout_tick(&gr->r, &view, now_us, &act);
	note_change(gr, "decision");
	check_over(gr, &view, now_us);
	if (act.logged)
		logline(LOG_NOTICE, "rollout",
			"service=%s to=%s stage=%s suspect=%d write=%s "
			"rank=%u hosts=%u age_ms=%lld %s",
			gr->r.service, gr->r.order.to,
			rollout_stage_name(gr->r.stage), gr->r.suspect,
			rollout_stage_name(act.write), view.rank,
			relay_living(&g->relay, now_us),
			(long long)relay_age_us(&g->relay, now_us) / 1000,
			act.reason);
	if (act.announce && fill_message(gr, &call))
		heartbeat_broadcast(g, &call);
	if (act.write != ROLLOUT_NONE)
		start_write(gr, act.write);
}

/* See rollouts.h. */
void rollouts_tick(struct gateway *g)
{
	struct gateway_rollout *gr;

	if (g->rollouts.held_until_us &&
	    gateway_now_us(g) >= g->rollouts.held_until_us)
		g->rollouts.held_until_us = 0;
	if (TAILQ_EMPTY(&g->rollouts.list))
		return;
	heartbeat_update_loads(g);
	TAILQ_FOREACH(gr, &g->rollouts.list, entry)
	{
		tick(gr);
	}
	send_progress(g);
}

/* See rollouts.h. */
void rollouts_update_counters(struct gateway *g)
{
	struct rollouts *rs = &g->rollouts;
	struct gateway_rollout *gr;
	uint32_t i, n = 0;

	rs->n_counters = 0;
	if (TAILQ_EMPTY(&rs->list))
		return;
	TAILQ_FOREACH(gr, &rs->list, entry)
	{
		n += ROLLOUT_COUNTERS_MAX;
	}
	free(rs->counter);
	free(rs->total);
	rs->counter = calloc(n, sizeof(*rs->counter));
	rs->total = calloc(n, sizeof(*rs->total));
	if (!rs->counter || !rs->total)
		return;
	TAILQ_FOREACH(gr, &rs->list, entry)
	{
		rs->n_counters += rollout_fill_counters(
			&gr->r, rs->counter + rs->n_counters);
	}
	for (i = 0; i < rs->n_counters; i++) {
		rs->total[i].key = namehash(rs->counter[i].name);
		rs->total[i].amount = (int64_t)rs->counter[i].amount;
	}
}

static void on_total(void *ctx, uint64_t key, int64_t change)
{
	struct gateway *g = ctx;
	struct gateway_rollout *gr;

	TAILQ_FOREACH(gr, &g->rollouts.list, entry)
	{
		if (rollout_apply_counter(&gr->r, key, change,
					  gateway_now_us(g)))
			return;
	}
}

/* See rollouts.h. */
int rollouts_write_view(struct gateway *g, struct h1_buf *out)
{
	int64_t now_us = gateway_now_us(g);
	struct gateway_rollout *gr;
	int r = 0;

	TAILQ_FOREACH(gr, &g->rollouts.list, entry)
	{
		struct rollout_view view = {0};
		struct rollout_progress p = {0};

		count_endpoints(gr, &view);
		rollout_get_progress(&gr->r, &p, now_us);
		r = h1_buf_printf(
			out,
			"service=%s to=%s stage=%s suspect=%d over=%d "
			"elapsed_ms=%lld duration_ms=%lld new_endpoints=%u "
			"other_endpoints=%u other_running=%u writing=%d\n",
			gr->r.service, gr->r.order.to,
			rollout_stage_name(gr->r.stage), gr->r.suspect,
			gr->over, (long long)p.elapsed_us / 1000,
			(long long)gr->r.order.duration_us / 1000,
			view.new_endpoints, view.present_endpoints,
			view.present_running, gr->exchange.conn != NULL);
		if (r < 0)
			break;
	}
	return r;
}

/* See rollouts.h. */
void rollouts_init(struct gateway *g)
{
	TAILQ_INIT(&g->rollouts.list);
	g->relay.on_total = on_total;
	g->relay.on_total_ctx = g;
}

/* See rollouts.h. */
void rollouts_finish(struct gateway *g)
{
	struct gateway_rollout *gr;

	while ((gr = TAILQ_FIRST(&g->rollouts.list)) != NULL) {
		TAILQ_REMOVE(&g->rollouts.list, gr, entry);
		h1_exchange_cancel(&gr->exchange);
		h1_buf_finish(&gr->body);
		rollout_finish(&gr->r);
		free(gr);
	}
	free(g->rollouts.counter);
	free(g->rollouts.total);
	g->rollouts.counter = NULL;
	g->rollouts.total = NULL;
}
