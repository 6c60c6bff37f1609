#include "gateway.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logline.h"

/*
 * Records of the store's streams that hosts fetch from each other: a host that
 * cannot read the store, or leaves that to others, gets them from a host that has
 * them. Large values are sent compressed, and at a bounded rate; a host that cannot
 * be served at the moment is directed to one that has been (pkg/spread).
 */

#define FETCH_TIMEOUT_MS 800
/* How often a fetch is directed to another host before it is given up until the next
 * message of a host that is ahead. */
#define DIRECTIONS_MAX 4
/* Larger records of operators are read from the store, whose link is wider. The
 * second value applies to hosts that take no compressed records. */
#define OPERATORS_MAX_BYTES 262144
#define OPERATORS_UNPACKED_MAX_BYTES 32768
/* So are other records that may not fit into a message. */
#define OTHERS_MAX_BYTES 786432
/* What a message holds of a record beside its key and value, at most. */
#define RECORD_FIELDS_BYTES 32

/* A call for records; the host may be removed before the response. */
struct fetch {
	struct gateway *g;
	char name[RELAY_NAME_BYTES];
	enum adapter_topic topic;
	uint64_t position;   /* that this host has reached */
	uint32_t directions; /* that led to this host */
};

static void start_fetch(struct gateway *g, struct relay_host *h, uint32_t topic,
			uint32_t directions);

/* See gateway.h. */
void record_fetch_init(struct gateway *g)
{
	spread_init(&g->spread, gateway_now_us(g));
}

/* Returns false if the record cannot be read. */
static bool apply_record(struct gateway *g, const struct fig_records_got *got,
			 uint32_t i, const char *source)
{
	const struct fig_record *r = &got->record.record_val[i];
	const char *value = r->value.value_val;
	size_t n = r->value.value_len;
	char *unpacked = NULL;

	if (i < got->unpacked_bytes.unpacked_bytes_len &&
	    got->unpacked_bytes.unpacked_bytes_val[i]) {
		n = got->unpacked_bytes.unpacked_bytes_val[i];
		unpacked = record_unpack(value, r->value.value_len, n);
		if (!unpacked) {
			logline(LOG_ERR, "record_unreadable",
				"stream=%u key=%s bytes=%zu source=%s",
				got->topic, r->key, n, source);
			return false;
		}
		value = unpacked;
	}
	store_apply(g, (enum adapter_topic)got->topic, r->key,
		    r->gone ? NULL : value, n, r->offset, source);
	free(unpacked);
	return true;
}

/* Fetches the records from the host that a busy one has named. */
static void follow(struct fetch *f, const struct fig_records_got *got)
{
	struct relay_host *h;

	if (!got->instead || f->directions == DIRECTIONS_MAX)
		return;
	h = relay_find(&f->g->relay, *got->instead);
	if (h && h->addr[0] && !h->fetching)
		start_fetch(f->g, h, got->topic, f->directions + 1);
}

/* The keys that a reply lacks were deleted before it. */
struct missing {
	struct gateway *g;
	enum adapter_topic topic;
	const char *source;
};

static void on_missing_key(void *ctx, const char *key, const char *value,
			   size_t n, uint64_t position)
{
	struct missing *m = ctx;

	store_apply_missing(m->g, m->topic, key, position, m->source);
}

/*
 * Deletes what the sender knew to be deleted, without a record of it. If this host
 * has learned all of it in the meantime, there is nothing to delete.
 */
static void delete_missing(struct gateway *g, const struct fig_records_got *got,
			   const char *source)
{
	struct records *r = &g->records[got->topic];
	struct missing m = {g, (enum adapter_topic)got->topic, source};
	uint32_t i;

	if (r->next_position >= got->upto)
		return;
	records_snapshot_start(r, RECORDS_HOST);
	for (i = 0; i < got->record.record_len; i++)
		records_snapshot_has(r, RECORDS_HOST,
				     got->record.record_val[i].key);
	for (i = 0; i < got->kept.kept_len; i++)
		records_snapshot_has(r, RECORDS_HOST, got->kept.kept_val[i]);
	records_snapshot_end(r, RECORDS_HOST, got->upto, on_missing_key, &m);
}

/* Puts a reply with all records up to a position into effect. */
static void apply_reply(struct gateway *g, const struct fig_records_got *got,
			const char *source)
{
	bool readable = true;
	uint32_t i;

	for (i = 0; i < got->record.record_len; i++)
		readable = apply_record(g, got, i, source) && readable;
	if (!readable)
		return;
	if (got->keeps)
		delete_missing(g, got, source);
	store_reader_advance(g, (enum adapter_topic)got->topic, got->upto);
}

static void on_records(void *ctx, int error, const struct fig_reply *reply)
{
	struct fetch *f = ctx;
	struct gateway *g = f->g;
	struct relay_host *h = relay_find(&g->relay, f->name);
	const struct fig_records_got *got;

	if (h)
		h->fetching = false;
	if (error || !reply ||
	    reply->fig_reply_u.records_got.topic >= FIG_STREAMS) {
		/* This host may be one that others do not answer. */
		if (f->position > g->records[f->topic].next_position) {
			logline(LOG_NOTICE, "records_not_got",
				"stream=%d source=%s error=%d", f->topic,
				f->name, error);
			store_reader_poll(g, f->topic);
		}
		free(f);
		return;
	}
	got = &reply->fig_reply_u.records_got;
	if (got->busy)
		follow(f, got);
	else if (got->upto)
		apply_reply(g, got, f->name);
	else
		store_reader_poll(g, (enum adapter_topic)got->topic);
	free(f);
}

static void start_fetch(struct gateway *g, struct relay_host *h, uint32_t topic,
			uint32_t directions)
{
	struct fig_call call = {.kind = FIG_RECORDS_GET};
	struct fetch *f = calloc(1, sizeof(*f));

	if (!f)
		return;
	f->g = g;
	f->topic = (enum adapter_topic)topic;
	f->position = h->next_position[topic];
	f->directions = directions;
	snprintf(f->name, sizeof(f->name), "%s", h->name);
	call.fig_call_u.records_get.topic = topic;
	call.fig_call_u.records_get.from = g->records[topic].next_position;
	call.fig_call_u.records_get.takes_packed = true;
	call.fig_call_u.records_get.takes_kept = true;
	h->fetching = true;
	if (peer_call(&g->peer, h->addr, &call, FETCH_TIMEOUT_MS, on_records,
		      f) < 0) {
		h->fetching = false;
		free(f);
	}
}

/* See gateway.h. One stream at a time. */
void record_fetch_if_behind(struct gateway *g, struct relay_host *h)
{
	int t;

	for (t = 0; t < FIG_STREAMS && !h->fetching; t++)
		if (store_reader_check_lag(g, (enum adapter_topic)t,
					   h->next_position[t]))
			start_fetch(g, h, (uint32_t)t, 0);
}

/* Returns the value to send of a record, and its bytes; packed tells which. */
static const char *value_to_send(struct records *r, uint32_t i,
				 bool takes_packed, size_t *n, bool *packed)
{
	const char *value = takes_packed ? records_pack(r, i, n) : NULL;

	*packed = value != NULL;
	if (value)
		return value;
	*n = r->row[i].value_bytes;
	return r->row[i].value;
}

/* Returns true if the host must be told which keys exist, as this one does not know
 * all that was deleted since the position that it asked for. */
static bool must_list_kept(const struct records *r,
			   const struct fig_records_get *get)
{
	return get->from < r->complete_from;
}

/* Returns the bytes of all records from a position on, as they are sent, and of the
 * keys of earlier ones if they are. */
static size_t bytes_to_send(struct records *r,
			    const struct fig_records_get *get,
			    uint32_t *n_records)
{
	bool lists_kept = must_list_kept(r, get);
	size_t n, sum = 0;
	uint32_t i;
	bool packed;

	*n_records = 0;
	for (i = 0; i < r->n; i++) {
		if (r->row[i].position < get->from) {
			if (lists_kept && r->row[i].value)
				sum += RECORD_FIELDS_BYTES +
				       strlen(r->row[i].key);
			continue;
		}
		value_to_send(r, i, get->takes_packed, &n, &packed);
		sum += RECORD_FIELDS_BYTES + strlen(r->row[i].key) + n;
		(*n_records)++;
	}
	return sum;
}

/* Returns 0 or -ENOMEM. */
static int fill_record(struct records *r, uint32_t i, bool takes_packed,
		       struct fig_record *out, u_int *unpacked_bytes)
{
	const struct record *row = &r->row[i];
	const char *value;
	bool packed;
	size_t n;

	value = value_to_send(r, i, takes_packed, &n, &packed);
	*unpacked_bytes = packed ? (u_int)row->value_bytes : 0;
	out->key = strdup(row->key);
	out->gone = !row->value;
	out->offset = row->position;
	out->value.value_val = malloc(n + 1);
	if (!out->key || !out->value.value_val)
		return -ENOMEM;
	if (value)
		memcpy(out->value.value_val, value, n);
	out->value.value_len = (u_int)n;
	return 0;
}

/* Tells the host to ask another one, or later. Returns 0 or -ENOMEM. */
static int fill_busy(struct gateway *g, const char *host,
		     const struct fig_records_get *get,
		     struct fig_records_got *got)
{
	const char *instead = spread_instead(&g->spread, host, get->from);

	stats_add(&g->stats, STATS_FETCHES_REFUSED, 1);
	got->busy = true;
	if (!instead)
		return 0;
	got->instead = calloc(1, sizeof(*got->instead));
	if (!got->instead)
		return -ENOMEM;
	*got->instead = strdup(instead);
	return *got->instead ? 0 : -ENOMEM;
}

/* Lists the keys that exist and have a record before a position. Returns 0 or
 * -ENOMEM. */
static int fill_kept(const struct records *r, uint64_t position,
		     struct fig_records_got *got)
{
	uint32_t i;

	got->keeps = true;
	got->kept.kept_val = calloc(r->n + 1, sizeof(*got->kept.kept_val));
	if (!got->kept.kept_val)
		return -ENOMEM;
	for (i = 0; i < r->n; i++) {
		if (!r->row[i].value || r->row[i].position >= position)
			continue;
		got->kept.kept_val[got->kept.kept_len] = strdup(r->row[i].key);
		if (!got->kept.kept_val[got->kept.kept_len++])
			return -ENOMEM;
	}
	return 0;
}

/*
 * Fills a reply to a host: all records from an offset on, none up to offset 0 if
 * they are too large or the host cannot take the reply, or that this host is busy.
 * Returns 0 or a negative error number; the caller frees the reply in either case.
 */
static int fill_records(struct gateway *g, const char *host,
			const struct fig_records_get *get,
			struct fig_records_got *got)
{
	size_t bytes, most = OTHERS_MAX_BYTES;
	struct records *r;
	uint32_t i, k, n;

	if (get->topic >= FIG_STREAMS)
		return -EINVAL;
	r = &g->records[get->topic];
	got->topic = get->topic;
	bytes = bytes_to_send(r, get, &n);
	if (get->topic == ADAPTER_OPERATORS)
		most = get->takes_packed ? OPERATORS_MAX_BYTES
					 : OPERATORS_UNPACKED_MAX_BYTES;
	if (bytes > most || n > FIG_RECORDS_MAX ||
	    (must_list_kept(r, get) &&
	     (!get->takes_kept || r->n > FIG_RECORDS_MAX)))
		return 0;
	if (!spread_take(&g->spread, host, r->next_position, bytes,
			 gateway_now_us(g)))
		return fill_busy(g, host, get, got);
	got->upto = r->next_position;
	got->record.record_val =
		calloc(r->n + 1, sizeof(*got->record.record_val));
	got->unpacked_bytes.unpacked_bytes_val =
		calloc(r->n + 1, sizeof(u_int));
	if (!got->record.record_val || !got->unpacked_bytes.unpacked_bytes_val)
		return -ENOMEM;
	for (i = 0; i < r->n; i++) {
		if (r->row[i].position < get->from)
			continue;
		k = got->record.record_len++;
		got->unpacked_bytes.unpacked_bytes_len++;
		if (fill_record(r, i, get->takes_packed,
				&got->record.record_val[k],
				&got->unpacked_bytes.unpacked_bytes_val[k]) < 0)
			return -ENOMEM;
	}
	return must_list_kept(r, get) ? fill_kept(r, get->from, got) : 0;
}

/* See gateway.h. */
int record_fetch_on_call(void *ctx, const struct wire_opened *from,
			 struct fig_reply *reply)
{
	struct gateway *g = ctx;

	if (from->call.kind != FIG_RECORDS_GET)
		return -ENOSYS;
	return fill_records(g, from->sender, &from->call.fig_call_u.records_get,
			    &reply->fig_reply_u.records_got);
}
