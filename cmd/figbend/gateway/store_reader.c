#include "gateway.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logline.h"

/*
 * Reads the store's streams: a snapshot first, then new records by long
 * polling.
 *
 * A dead connection looks like a stream without new records. Heartbeats
 * therefore carry the offsets that a host has reached: a host that lags finds
 * out as soon as any other host has a newer record. They also carry as of when
 * there were no further records: a host that learns of no newer response of the
 * store reads again, whether it reads the store or leaves that to others
 * (pkg/freshness).
 *
 * Two hosts of a domain read the streams. The others are passive: they fetch
 * records from peers, or read them from the store if a peer says that they are
 * too large. A host that starts first looks for hosts of its domain in one page
 * of the hosts' snapshot, and reads nothing else until then; if two of them rank
 * before it, it leaves the rest to them.
 */

/* How long the store may hold a poll for records of hosts open, which are needed
 * less urgently than the others. */
#define HOSTS_WAIT_MIN_MS 600
#define HOSTS_WAIT_MAX_MS 23400
/* A host behind two others of its domain leaves the reading to them once it hears that
 * they read, which it looks at between its polls. One that has just started may not know
 * them yet. */
#define JUNIOR_WAIT_MAX_MS 2000
#define NEW_HOST_US 10000000LL
/* Time-out of a read after its wait, and between parts of the response. A slow
 * store responds within 0.4 s. */
#define READ_TIMEOUT_S 0.8
/* The same after a read that timed out. A store that is busy with the reads of many
 * hosts is so for longer if they give up, since it sends what they asked for all the
 * same. */
#define READ_TIMEOUT_AGAIN_S 1.6
/* The store sends 1 MiB of records at most in one response, a third more if they are
 * encoded. */
#define RESPONSE_MAX_BYTES 4194304
/* Pause after new records of endpoints. A rollout changes many entries, and
 * each would end a poll of every reader. The pause is a tenth of the time
 * within which hosts must know that an endpoint is leaving. */
#define ENDPOINTS_PAUSE_S 0.2
/* Time between checks whether a passive reader must read again. */
#define PASSIVE_CHECK_S 0.4
/* A host that turns to the store since its records are old reads the second stream
 * after the first, but after this time at the latest, and the records of hosts if it
 * still reads then. */
#define SECOND_STREAM_US 100000LL
#define HOSTS_STREAM_US 1000000LL
_Static_assert(SECOND_STREAM_US < FRESHNESS_READ_US,
	       "both streams are read within the time for it");
/* Records that a peer has had for this time should have arrived here. */
#define LAG_MAX_US 80000LL
/* Pause after new records of hosts, which are needed less urgently: many hosts
 * may start at the same time. */
#define HOSTS_PAUSE_S 1.0
/* A host that starts gives the readers of its domain this time to provide the
 * records, before it reads the store itself. */
#define START_WAIT_US 3000000LL
/* Time for a first message of theirs. */
#define START_PAUSE_S 0.5
/* The other streams are read after this time even if the page with the hosts of the
 * domain is still missing. A host that knows no others reads all by itself. */
#define START_PAGE_S 5.0
#define BACKOFF_MIN_S 0.15
#define BACKOFF_MAX_S 1.0
/* While no host of a domain can read the store, those beyond its first two try it as
 * often as this many. */
#define TRIERS 2
/* Mean time until one of that many hosts tries it first. */
#define FIRST_TRY_S 0.25
/* After the store came back from an older copy, operators, endpoints and hosts write
 * again what they wrote; what is missing after this time is taken as gone. Entries of
 * endpoints are back within about 2 s. */
#define SETTLE_US 2500000LL
static void start_read(struct store_reader *sr);

static void set_timer(struct store_reader *sr, double after_s)
{
	ev_timer_stop(sr->g->loop, &sr->timer);
	ev_timer_set(&sr->timer, after_s, 0.);
	ev_timer_start(sr->g->loop, &sr->timer);
}

/* Returns the era of the store in which the response was given. */
static uint32_t response_era(const struct store_reader *sr)
{
	return sr->era >= 0
		       ? (uint32_t)sr->era
		       : record_era(sr->g->records[sr->topic].next_position);
}

static void on_record(void *ctx, const char *key, const char *value, size_t n,
		      uint64_t offset)
{
	struct store_reader *sr = ctx;

	store_apply(sr->g, sr->topic, key, value, n,
		    record_position(response_era(sr), offset), "store");
	if (sr->in_snapshot)
		records_snapshot_has(&sr->g->records[sr->topic], RECORDS_STORE,
				     key);
}

static void on_missing_key(void *ctx, const char *key, const char *value,
			   size_t n, uint64_t position)
{
	struct store_reader *sr = ctx;

	store_apply_missing(sr->g, sr->topic, key, position, "snapshot");
}

/* Nobody wrote the record again after the store came back without it. */
static void on_lost_key(void *ctx, const char *key, const char *value, size_t n,
			uint64_t position)
{
	struct store_reader *sr = ctx;

	store_apply_lost(sr->g, sr->topic, key, position);
}

/* Reads the stream anew: a read in progress waits for records of an earlier era. */
static void read_anew(struct store_reader *sr)
{
	if (sr->in_snapshot || sr->passive)
		return;
	h1_exchange_cancel(&sr->exchange);
	sr->poll_now = true;
	set_timer(sr, 0.);
}

/* Handles that the stream's next position is in a later era than before. */
static void enter_era(struct store_reader *sr, uint32_t era)
{
	struct gateway *g = sr->g;
	int64_t now_us = gateway_now_us(g);
	int64_t before = sr->present_era;
	int t;

	sr->present_era = era;
	host_record_renew(g, era);
	/* A stream without a position may hold records of an earlier era, too: of
	 * its first snapshot, or of a host that has not dropped them yet. */
	sr->restored = before >= 0;
	if (sr->restored)
		logline(LOG_WARNING, "store_restored",
			"stream=%d era=%u before=%lld", sr->topic, era,
			(long long)before);
	if (sr->restored && sr->topic == ADAPTER_HOSTS)
		rollouts_store_restored(g);
	sr->settle_us = now_us + SETTLE_US;
	for (t = 0; t < ADAPTER_TOPICS; t++)
		if (g->reader[t].present_era < era)
			read_anew(&g->reader[t]);
}

/* See gateway.h. */
void store_reader_advance(struct gateway *g, enum adapter_topic t,
			  uint64_t position)
{
	struct store_reader *sr = &g->reader[t];
	uint32_t i;

	if (position > g->records[t].next_position) {
		g->records[t].next_position = position;
		for (i = 0; i < g->relay.n_hosts; i++)
			records_age_told(g, g->relay.host[i]);
	}
	if ((int64_t)record_era(position) > sr->present_era)
		enter_era(sr, record_era(position));
}

/* Returns true if no host of the domain reads the stream, as far as this one knows. */
static bool store_is_away(const struct store_reader *sr)
{
	return sr->failures || sr->awaits_turn;
}

/* See gateway.h. While the store is away, nobody can write a record again. */
void store_reader_settle(struct gateway *g)
{
	int64_t now_us = gateway_now_us(g);
	int t;

	for (t = 0; t < ADAPTER_TOPICS; t++) {
		struct store_reader *sr = &g->reader[t];

		if (sr->settle_us && store_is_away(sr))
			sr->settle_us = now_us + SETTLE_US;
		if (sr->release_us && store_is_away(sr))
			sr->release_us = now_us + STORE_APPLY_HOLD_US;
		if (sr->settle_us && now_us >= sr->settle_us) {
			sr->settle_us = 0;
			sr->restored = false;
			records_settle(&g->records[t], on_lost_key, sr);
		}
		if (sr->release_us && now_us >= sr->release_us)
			sr->release_us = store_apply_held(g, now_us);
	}
}

static void start_snapshot(struct store_reader *sr)
{
	sr->in_snapshot = true;
	sr->after_key[0] = '\0';
	records_snapshot_start(&sr->g->records[sr->topic], RECORDS_STORE);
}

/* Returns true if the age of the stream's records is bounded. */
static bool is_bounded(const struct store_reader *sr)
{
	return sr->topic < FRESHNESS_STREAMS;
}

/* Returns true if this host reads since its records are old, and other hosts do not
 * hear of it: a member reports to delegates only. */
static bool asks(const struct store_reader *sr)
{
	return is_bounded(sr) && sr->g->freshness.reads &&
	       sr->g->relay.mode == RELAY_MEMBER;
}

/*
 * How long the store may hold the next read open when it has no new records. After a
 * failure a read does not wait: its response shows at once that the store has
 * recovered.
 */
static uint32_t poll_wait_ms(struct store_reader *sr)
{
	double random = gateway_random_fraction(sr->g);
	uint32_t ms;

	if (sr->failures || sr->poll_now || asks(sr))
		return 0;
	if (!is_bounded(sr))
		return HOSTS_WAIT_MIN_MS +
		       (uint32_t)(random *
				  (HOSTS_WAIT_MAX_MS - HOSTS_WAIT_MIN_MS));
	ms = freshness_wait_ms(heartbeat_reader_rank(sr->g), random);
	if (ms > JUNIOR_WAIT_MAX_MS &&
	    (relay_has_seniors(&sr->g->relay) ||
	     gateway_now_us(sr->g) - sr->g->relay.start_us < NEW_HOST_US))
		return JUNIOR_WAIT_MAX_MS;
	return ms;
}

/* Pause between a successful read and the next one. */
static double read_interval_s(struct store_reader *sr)
{
	bool news = sr->from_position < sr->g->records[sr->topic].next_position;

	if (asks(sr))
		return (FRESHNESS_ASK_MIN_MS +
			gateway_random_fraction(sr->g) *
				(FRESHNESS_ASK_MAX_MS - FRESHNESS_ASK_MIN_MS)) /
		       1e3;
	switch (sr->topic) {
	case ADAPTER_ENDPOINTS:
		return news ? ENDPOINTS_PAUSE_S : 0;
	case ADAPTER_HOSTS:
		return news ? HOSTS_PAUSE_S : 0;
	default:
		return 0;
	}
}

/*
 * Returns how many times as long this host waits between two tries as it would if it
 * were one of the first two of its domain. Hosts that are not heard of take no turns;
 * without any records, this host may not have heard of the others yet.
 */
static double turns(const struct store_reader *sr)
{
	const struct gateway *g = sr->g;
	uint32_t hosts = g->relay.own_domain->known + 1;
	double n;

	if (record_offset(g->records[sr->topic].next_position))
		hosts = relay_living_in_domain(&g->relay, gateway_now_us(g));
	n = (double)hosts / TRIERS;
	return relay_has_seniors(&g->relay) && n > 1 ? n : 1;
}

/* Returns the time at which a host whose records are old reads the stream. */
static int64_t old_turn_us(const struct store_reader *sr, int64_t now_us)
{
	switch (sr->topic) {
	case ADAPTER_OPERATORS:
		return now_us;
	case ADAPTER_ENDPOINTS:
		return now_us + SECOND_STREAM_US;
	default:
		return now_us + HOSTS_STREAM_US;
	}
}

/*
 * No host of the domain reads the stream any more, as far as this one knows: it
 * tries after a random time, so that the hosts do not all try at once. If its records
 * are old, pkg/freshness has waited for a random time.
 */
static void wait_for_turn(struct store_reader *sr)
{
	struct gateway *g = sr->g;

	sr->turn_us = gateway_now_us(g);
	if (g->freshness.reads)
		sr->turn_us = old_turn_us(sr, sr->turn_us);
	else if (turns(sr) > 1)
		sr->turn_us += (int64_t)(2e6 * FIRST_TRY_S * turns(sr) *
					 gateway_random_fraction(g));
}

/* The other streams of a host that reads the store since its records are old. */
static void delay_others(struct store_reader *sr)
{
	struct gateway *g = sr->g;
	int t;

	if (sr->topic != ADAPTER_OPERATORS || !g->freshness.reads)
		return;
	for (t = 0; t < ADAPTER_TOPICS; t++)
		if (g->reader[t].awaits_turn &&
		    g->reader[t].turn_us < sr->turn_us)
			g->reader[t].turn_us = sr->turn_us;
}

/* Schedules the next read after a failed one, with exponential backoff. */
static void read_failed(struct store_reader *sr, const char *reason)
{
	double after_s = BACKOFF_MIN_S;
	uint32_t i;

	stats_add(&sr->g->stats, STATS_STORE_FAILURES, 1);
	if (!sr->failures++)
		logline(LOG_WARNING, "store_lost",
			"stream=%d why=\"%s\" status=%u", sr->topic, reason,
			sr->status);
	for (i = 1; i < sr->failures && after_s < BACKOFF_MAX_S; i++)
		after_s *= 2;
	if (after_s > BACKOFF_MAX_S)
		after_s = BACKOFF_MAX_S;
	if (turns(sr) > 1)
		after_s = BACKOFF_MAX_S * turns(sr) *
			  (0.5 + gateway_random_fraction(sr->g));
	sr->turn_us = gateway_now_us(sr->g) + (int64_t)(after_s * 1e6);
	delay_others(sr);
	set_timer(sr, after_s < PASSIVE_CHECK_S ? after_s : PASSIVE_CHECK_S);
}

/*
 * Applies a page of the snapshot. Returns 0, or a negative error number if it
 * cannot be read.
 */
static int apply_page(struct store_reader *sr)
{
	bool first = sr->after_key[0] == '\0', more = false;
	uint64_t end = 0;
	int r = adapter_read_snapshot(h1_buf_data(&sr->body),
				      h1_buf_len(&sr->body), on_record, sr,
				      &more, sr->after_key,
				      sizeof(sr->after_key), &end);

	if (r < 0)
		return r;
	if (first) {
		sr->snapshot_end = record_position(response_era(sr), end);
		sr->snapshot_us = sr->answered_us;
	}
	if (more)
		return 0;
	logline(LOG_INFO, "snapshot", "stream=%d era=%u end=%llu", sr->topic,
		record_era(sr->snapshot_end),
		(unsigned long long)record_offset(sr->snapshot_end));
	records_snapshot_end(&sr->g->records[sr->topic], RECORDS_STORE,
			     sr->snapshot_end, on_missing_key, sr);
	store_reader_advance(sr->g, sr->topic, sr->snapshot_end);
	if (is_bounded(sr))
		freshness_set_read(&sr->g->freshness, sr->topic,
				   sr->snapshot_us);
	sr->in_snapshot = false;
	return 0;
}

/* Starts the streams that wait for the hosts of the domain. */
static void start_others(struct gateway *g)
{
	int t;

	for (t = 0; t < ADAPTER_HOSTS; t++)
		if (!g->reader[t].exchange.conn && !g->reader[t].last_ok_us &&
		    !g->reader[t].failures)
			set_timer(&g->reader[t], 0);
}

/*
 * Applies the first page of the hosts' snapshot that begins with this domain.
 * The snapshot itself begins after a pause, if it is still needed.
 */
static int apply_domain_page(struct store_reader *sr)
{
	char last_key[ADAPTER_PAGE_KEY_BYTES] = "";
	uint64_t end = 0;
	bool more = false;
	int r = adapter_read_snapshot(h1_buf_data(&sr->body),
				      h1_buf_len(&sr->body), on_record, sr,
				      &more, last_key, sizeof(last_key), &end);

	sr->domain_page = false;
	start_snapshot(sr);
	start_others(sr->g);
	return r;
}

static int apply_records(struct store_reader *sr)
{
	struct records *r = &sr->g->records[sr->topic];
	uint64_t next = record_offset(sr->from_position), end = 0;
	int error = adapter_read_records(h1_buf_data(&sr->body),
					 h1_buf_len(&sr->body), on_record, sr,
					 next, &next, &end);

	if (error == 0 && next >= end && is_bounded(sr))
		freshness_set_read(&sr->g->freshness, sr->topic,
				   sr->answered_us);
	next = record_position(response_era(sr), next);
	if (error == 0 && next > r->next_position) {
		store_reader_advance(sr->g, sr->topic, next);
		/* The heartbeat makes passive hosts fetch the new records. */
		heartbeat_send_domain(sr->g);
	}
	return error;
}

/*
 * Returns true if the response cannot be used because the store's era has changed.
 * The stream is then read from a snapshot: its offsets have gone back, and a read
 * from an offset that was given out again would skip the records before it.
 */
static bool era_has_changed(struct store_reader *sr)
{
	uint32_t era = response_era(sr);
	uint64_t from = sr->in_snapshot ? sr->snapshot_end : sr->from_position;

	if (sr->status != 200 && sr->status != 410)
		return false;
	if ((int64_t)era < sr->present_era) {
		read_failed(sr, "response of an earlier era");
		return true;
	}
	if (sr->domain_page || (sr->in_snapshot && !sr->after_key[0]) ||
	    era == record_era(from))
		return false;
	start_snapshot(sr);
	start_read(sr);
	return true;
}

/* A host that turned to the store reads the second stream once the first is there. */
static void read_second_stream(struct store_reader *sr)
{
	struct store_reader *second = &sr->g->reader[ADAPTER_ENDPOINTS];

	if (sr->topic != ADAPTER_OPERATORS || !sr->g->freshness.reads ||
	    !second->awaits_turn)
		return;
	second->turn_us = gateway_now_us(sr->g);
	set_timer(second, 0.);
}

/* Applies a complete response and schedules the next read. */
static void on_response(struct store_reader *sr)
{
	bool was_snapshot = sr->in_snapshot;
	double after_s = 0;
	int r = 0;

	if (era_has_changed(sr))
		return;
	/* 410 Gone: the store no longer has the record at from_position. */
	if (sr->status == 410 && !sr->in_snapshot) {
		logline(LOG_NOTICE, "store_history_gone", "stream=%d from=%llu",
			sr->topic,
			(unsigned long long)record_offset(sr->from_position));
		start_snapshot(sr);
		start_read(sr);
		return;
	}
	if (sr->status != 200) {
		read_failed(sr, "refused");
		return;
	}
	if (sr->failures)
		sr->recovered_us = gateway_now_us(sr->g);
	if (sr->domain_page) {
		r = apply_domain_page(sr);
		after_s = relay_has_seniors(&sr->g->relay) ? START_PAUSE_S : 0;
	} else {
		r = sr->in_snapshot ? apply_page(sr) : apply_records(sr);
	}
	if (r < 0) {
		read_failed(sr, "unreadable");
		return;
	}
	if (sr->failures)
		logline(LOG_NOTICE, "store_back", "stream=%d failures=%u",
			sr->topic, sr->failures);
	sr->failures = 0;
	sr->last_ok_us = gateway_now_us(sr->g);
	read_second_stream(sr);
	/* The next page of the snapshot. */
	if (was_snapshot && sr->after_key[0] && sr->in_snapshot) {
		start_read(sr);
		return;
	}
	set_timer(sr, was_snapshot ? after_s : read_interval_s(sr));
}

static double read_timeout_s(const struct store_reader *sr)
{
	return sr->timed_out ? READ_TIMEOUT_AGAIN_S : READ_TIMEOUT_S;
}

static enum h1_verdict on_head(void *ctx, const struct h1_head *h)
{
	struct store_reader *sr = ctx;
	int64_t era = adapter_read_era(h);

	sr->status = h->status;
	sr->answered_us = gateway_input_us(sr->g);
	if (era != sr->era)
		logline(LOG_NOTICE, "store_era",
			"stream=%d era=%lld before=%lld status=%u", sr->topic,
			(long long)era, (long long)sr->era, h->status);
	sr->era = era;
	return H1_ACCEPT;
}

static void on_body(void *ctx, const void *p, size_t n)
{
	struct store_reader *sr = ctx;

	if (h1_buf_len(&sr->body) + n > RESPONSE_MAX_BYTES ||
	    h1_buf_append(&sr->body, p, n) < 0) {
		h1_exchange_cancel(&sr->exchange);
		h1_buf_finish(&sr->body);
		read_failed(sr, "response too large");
		return;
	}
	/* A large response may take longer over a slow link. */
	set_timer(sr, read_timeout_s(sr));
}

static void on_end(void *ctx, enum h1_outcome outcome, const char *reason)
{
	struct store_reader *sr = ctx;

	ev_timer_stop(sr->g->loop, &sr->timer);
	sr->reissued = false;
	sr->timed_out = false;
	if (outcome == H1_COMPLETE)
		on_response(sr);
	else
		read_failed(sr, reason);
	/* The next read may be long in coming. */
	h1_buf_finish(&sr->body);
}

static const struct h1_exchange_handlers handlers = {on_head, on_body, on_end};

static void start_read(struct store_reader *sr)
{
	struct gateway *g = sr->g;
	struct sockaddr_in addr;
	struct h1_buf request = {0};
	double timeout_s = read_timeout_s(sr);
	uint32_t wait_ms = poll_wait_ms(sr);

	if (sr->domain_page) {
		adapter_write_snapshot_query(&request, g->settings->store_addr,
					     sr->topic, g->settings->domain);
	} else if (sr->in_snapshot) {
		adapter_write_snapshot_query(&request, g->settings->store_addr,
					     sr->topic, sr->after_key);
	} else {
		/* A peer's records may advance next_position during the read. */
		sr->from_position = g->records[sr->topic].next_position;
		adapter_write_records_query(&request, g->settings->store_addr,
					    sr->topic,
					    record_offset(sr->from_position),
					    wait_ms);
		timeout_s += wait_ms / 1000.;
	}
	sr->poll_now = false;
	h1_buf_finish(&sr->body);
	sr->status = 0;
	stats_add(&g->stats, STATS_STORE_CALLS, 1);
	if (h1_parse_addr(g->settings->store_addr, &addr) < 0 ||
	    h1_exchange_start(&g->store, &sr->exchange, &addr,
			      h1_buf_data(&request), h1_buf_len(&request),
			      &handlers, sr) < 0)
		read_failed(sr, "cannot connect");
	else
		set_timer(sr, timeout_s);
	h1_buf_finish(&request);
}

/*
 * Returns true if other hosts of the domain read the stream, or if this host
 * starts and they are about to. A member goes by the age of what its delegates tell,
 * wherever they got it.
 */
static bool may_be_passive(const struct store_reader *sr)
{
	const struct gateway *g = sr->g;
	bool empty = !record_offset(g->records[sr->topic].next_position);

	if (sr->domain_page)
		return false;
	if (gateway_now_us(g) - g->relay.start_us < START_WAIT_US &&
	    relay_has_seniors(&g->relay))
		return true;
	if (empty || g->freshness.reads)
		return false;
	return g->relay.mode == RELAY_MEMBER || heartbeat_may_be_passive(g);
}

/* Reads, or waits: for other hosts of the domain that do, or for this host's turn. */
static void schedule(struct store_reader *sr)
{
	int64_t now_us = gateway_now_us(sr->g);
	bool others_read = may_be_passive(sr);
	double wait_s;

	if (sr->poll_now) {
		start_read(sr);
		return;
	}
	if (others_read && sr->failures) {
		logline(LOG_NOTICE, "store_left_to_others",
			"stream=%d failures=%u", sr->topic, sr->failures);
		sr->failures = 0;
		sr->recovered_us = now_us;
	}
	if (!others_read && sr->passive && !sr->awaits_turn)
		wait_for_turn(sr);
	wait_s = (double)(sr->turn_us - now_us) / 1e6;
	sr->awaits_turn = !others_read && sr->passive && wait_s > 0;
	sr->passive = others_read || sr->awaits_turn;
	if (!others_read && wait_s <= 0)
		start_read(sr);
	else if (others_read || wait_s > PASSIVE_CHECK_S)
		set_timer(sr, PASSIVE_CHECK_S);
	else
		set_timer(sr, wait_s);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct store_reader *sr = w->data;
	uint64_t next = sr->g->records[sr->topic].next_position;

	if (sr->exchange.conn) {
		h1_exchange_cancel(&sr->exchange);
		sr->reissued = false;
		sr->timed_out = true;
		read_failed(sr, "timed out");
		return;
	}
	/* Peers may have provided what the snapshot would. */
	if (sr->in_snapshot && !sr->after_key[0] && record_offset(next) &&
	    record_era(next) >= response_era(sr))
		sr->in_snapshot = false;
	schedule(sr);
}

/* See gateway.h. */
void store_reader_reissue(struct store_reader *sr)
{
	h1_exchange_cancel(&sr->exchange);
	h1_client_close_idle(&sr->g->store);
	sr->reissued = true;
	sr->poll_now = true;
	set_timer(sr, 0.);
}

/*
 * See gateway.h. If peers have been ahead for LAG_MAX_US, the connection of the
 * read in progress counts as dead: the read is canceled and sent again.
 */
bool store_reader_check_lag(struct gateway *g, enum adapter_topic t,
			    uint64_t peer_position)
{
	struct store_reader *sr = &g->reader[t];
	bool stuck = records_lag_update(&sr->lag, g->records[t].next_position,
					peer_position, LAG_MAX_US,
					gateway_now_us(g));

	if (peer_position <= g->records[t].next_position)
		return false;
	if (sr->passive)
		return true;
	if (!stuck)
		return false;
	/* A read that was sent again, or follows a failed one, may only be
	 * slow: it is not canceled. */
	if (sr->exchange.conn && !sr->reissued && !sr->failures) {
		logline(LOG_WARNING, "store_behind",
			"stream=%d era=%u upto=%llu others_era=%u others=%llu",
			t, record_era(g->records[t].next_position),
			(unsigned long long)record_offset(
				g->records[t].next_position),
			record_era(peer_position),
			(unsigned long long)record_offset(peer_position));
		store_reader_reissue(sr);
	}
	return true;
}

/* See gateway.h. */
void store_reader_look(struct store_reader *sr)
{
	sr->awaits_turn = false;
	set_timer(sr, 0.);
}

/* See gateway.h. */
void store_reader_poll(struct gateway *g, enum adapter_topic t)
{
	struct store_reader *sr = &g->reader[t];

	if (sr->exchange.conn || sr->poll_now)
		return;
	sr->poll_now = true;
	set_timer(sr, 0.);
}

/* See gateway.h. */
void store_reader_init(struct gateway *g)
{
	uint32_t bound_ms = g->settings->config_apply_ms;
	int t;

	if (g->settings->drain_timeout_ms < bound_ms)
		bound_ms = g->settings->drain_timeout_ms;
	freshness_init(&g->freshness, bound_ms * 1000LL, gateway_now_us(g));
	for (t = 0; t < ADAPTER_TOPICS; t++) {
		struct store_reader *sr = &g->reader[t];

		sr->g = g;
		sr->topic = (enum adapter_topic)t;
		sr->era = sr->present_era = -1;
		ev_timer_init(&sr->timer, on_timer, 0., 0.);
		sr->timer.data = sr;
		start_snapshot(sr);
		sr->domain_page = t == ADAPTER_HOSTS;
		set_timer(sr, t == ADAPTER_HOSTS ? 0. : START_PAGE_S);
	}
}

/* See gateway.h. */
void store_reader_finish(struct gateway *g)
{
	int t;

	for (t = 0; t < ADAPTER_TOPICS; t++) {
		ev_timer_stop(g->loop, &g->reader[t].timer);
		h1_exchange_cancel(&g->reader[t].exchange);
		h1_buf_finish(&g->reader[t].body);
		records_finish(&g->records[t]);
	}
	directory_unref(g->directory);
	g->directory = NULL;
}
