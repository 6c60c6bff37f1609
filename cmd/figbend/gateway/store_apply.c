#include "gateway.h"

#include <string.h>

#include "logline.h"

/*
 * Puts records of the store's streams into effect, whether they come from the store
 * or from another host.
 */

/* Entries that expired while the store was unavailable are published again
 * within about 2 s of its recovery. */
#define RECOVERY_US 2000000LL
/* The store shows a crash this long after it, at the latest: an entry expires
 * after three heartbeats, of about 1.2 s each. */
#define CRASH_SHOWN_US 5000000LL
/* How long an endpoint stays in use after its entry expired while the store was
 * unavailable. An endpoint that is in fact leaving serves for another 2 s; the
 * delay of a read and the time that a request takes to arrive are subtracted
 * from that. */
#define EXPIRED_GRACE_US 1100000LL
/* Callers know of a lower idle timeout this long after this host. */
#define IDLE_TIMEOUT_HOLD_US 5000000LL

/*
 * A lower idle timeout than that of the directory in force holds only after a
 * while: a caller that does not know it yet reuses connections by the old one.
 */
static void set_idle_timeout(struct gateway *g, uint32_t timeout_ms)
{
	bool falls = g->directory && timeout_ms < g->limits.idle_timeout_ms;

	if (g->directory && g->directory->limits.idle_timeout_ms == timeout_ms)
		return;
	g->idle_timeout_falls_us =
		falls ? gateway_now_us(g) + IDLE_TIMEOUT_HOLD_US : 0;
	if (!falls)
		g->limits.idle_timeout_ms = timeout_ms;
}

void store_apply_settle(struct gateway *g, int64_t now_us)
{
	if (!g->idle_timeout_falls_us || now_us < g->idle_timeout_falls_us)
		return;
	g->idle_timeout_falls_us = 0;
	g->limits.idle_timeout_ms = g->directory->limits.idle_timeout_ms;
}

/* Puts a configuration in force if it is newer than the current one. */
static void apply_directory(struct gateway *g, const char *value, size_t n,
			    uint64_t position, const char *source)
{
	char reason[ADAPTER_REASON_BYTES] = "";
	struct directory *d = adapter_read_directory(value, n, reason);
	uint32_t i;

	if (!d) {
		logline(LOG_ERR, "config_rejected",
			"offset=%llu source=%s why=\"%s\"",
			(unsigned long long)record_offset(position), source,
			reason);
		return;
	}
	if (g->directory && d->version <= g->directory->version) {
		logline(LOG_INFO, "config_old",
			"version=%lld held=%lld source=%s",
			(long long)d->version, (long long)g->directory->version,
			source);
		directory_unref(d);
		return;
	}
	logline(LOG_NOTICE, "config_in_force",
		"version=%lld before=%lld offset=%llu source=%s routes=%u "
		"accounts=%u",
		(long long)d->version,
		g->directory ? (long long)g->directory->version : -1LL,
		(unsigned long long)record_offset(position), source,
		d->n_routes, d->n_accounts);
	set_idle_timeout(g, d->limits.idle_timeout_ms);
	directory_unref(g->directory);
	g->directory = d;
	g->limits.header_max_bytes = d->limits.header_max_bytes;
	g->limits.body_max_bytes = d->limits.body_max_bytes;
	g->limits.header_timeout_ms = d->limits.header_timeout_ms;
	for (i = 0; i < d->n_accounts; i++)
		if (ratelimit_account_set(&g->ratelimit, d->account[i].name,
					  d->account[i].rate_per_s,
					  d->account[i].burst,
					  gateway_now_us(g)) < 0)
			logline(LOG_ERR, "account_unlimited",
				"account=%s why=\"out of memory\"",
				d->account[i].name);
	rollouts_apply_directory(g);
}

static void apply_operator_record(struct gateway *g, const char *key,
				  const char *value, size_t n,
				  uint64_t position, const char *source)
{
	const char *name = "";

	switch (adapter_operator_record_kind(key, &name)) {
	case ADAPTER_DIRECTORY:
		if (value)
			apply_directory(g, value, n, position, source);
		return;
	case ADAPTER_WITHDRAW:
		logline(LOG_NOTICE, value ? "domain_out" : "domain_back",
			"domain=%s offset=%llu source=%s", name,
			(unsigned long long)record_offset(position), source);
		fleet_set_withdrawn(&g->fleet, name, value != NULL);
		return;
	case ADAPTER_ORDER:
		rollouts_apply_order(g, name, value, n, position, source);
		return;
	case ADAPTER_OTHER:
		return;
	}
}

/* Returns true if the store is unavailable or recovered less than after_us ago. */
static bool store_was_unavailable(const struct gateway *g, int64_t after_us)
{
	const struct store_reader *sr = &g->reader[ADAPTER_ENDPOINTS];

	return sr->failures ||
	       (sr->recovered_us &&
		gateway_now_us(g) - sr->recovered_us < after_us);
}

/*
 * Returns true if the store has just come back from an older copy, as far as this
 * host knows or the position of a new record shows.
 */
static bool store_was_restored(const struct gateway *g, uint64_t position)
{
	const struct store_reader *sr = &g->reader[ADAPTER_ENDPOINTS];

	return sr->restored ||
	       (sr->present_era >= 0 &&
		(int64_t)record_era(position) > sr->present_era);
}

/* See gateway.h. */
bool store_apply_shows_crashes(const struct gateway *g)
{
	return !store_was_unavailable(g, CRASH_SHOWN_US);
}

static void remove_endpoint(struct gateway *g, const char *id,
			    uint64_t position, const char *source)
{
	struct fleet_endpoint *e = fleet_find(&g->fleet, id);
	int64_t now_us = gateway_now_us(g);
	bool expired;

	if (!e)
		return;
	/* A host that leaves reading to others sees no failure of the store. */
	expired = !e->entry.draining &&
		  (store_was_unavailable(g, RECOVERY_US) ||
		   store_was_restored(g, position));
	/* An endpoint drains before it stops in order: without that, the loss
	 * of its entry counts as a crash, unless it could not renew it. */
	if (!e->entry.draining && !expired)
		crash_confirm(g, e);
	logline(LOG_NOTICE, expired ? "endpoint_lapsed" : "endpoint_gone",
		"endpoint=%s offset=%llu source=%s running=%u", id,
		(unsigned long long)record_offset(position), source,
		e->running);
	fleet_remove(&g->fleet, id, position,
		     now_us + (expired ? EXPIRED_GRACE_US : 0), now_us);
}

/* Puts an entry into effect; entry is NULL if it was deleted. */
static void apply_endpoint(struct gateway *g, const char *id,
			   const struct fleet_entry *entry, uint64_t position,
			   const char *source)
{
	struct fleet_endpoint *e = fleet_find(&g->fleet, id), *before;
	bool known = e != NULL, was_draining = e && e->entry.draining;

	if (!entry) {
		remove_endpoint(g, id, position, source);
		return;
	}
	/* A new start time: the endpoint crashed and restarted. */
	before = known ? e : fleet_find_lapsed(&g->fleet, id);
	if (before && before->entry.started_ms != entry->started_ms)
		crash_confirm(g, before);
	if (!fleet_upsert(&g->fleet, entry, position, gateway_now_us(g)))
		return;
	rollouts_apply_version(g, entry->service, entry->version);
	if (!known || was_draining != entry->draining)
		logline(LOG_NOTICE,
			entry->draining ? "endpoint_leaves" : "endpoint",
			"endpoint=%s service=%s domain=%s addr=%s stage=%d "
			"cold_ms=%u offset=%llu source=%s",
			id, entry->service, entry->domain, entry->addr_text,
			entry->stage, entry->cold_remaining_ms,
			(unsigned long long)record_offset(position), source);
}

/* The value of a host's record is the address for messages of other hosts. States of
 * rollouts are for operators. */
static void apply_host(struct gateway *g, const char *name, const char *value,
		       size_t n)
{
	char addr[POOL_SETTINGS_ADDR_BYTES];
	const char *service;

	switch (adapter_status_record_kind(name, value, n, &service)) {
	case ADAPTER_HOST:
		break;
	case ADAPTER_ROLLOUT_PROGRESS:
		rollouts_apply_progress(g, service, value, n);
		return;
	case ADAPTER_ROLLOUT_STATE:
		return;
	}
	if (!value) {
		heartbeat_remove_peer(g, name);
		return;
	}
	if (n >= sizeof(addr))
		return;
	memcpy(addr, value, n);
	addr[n] = '\0';
	heartbeat_add_peer(g, name, addr);
}

/*
 * Returns true if the operators' record may be of the older copy from which the store
 * came back, so that what is known of its key may be newer.
 */
static bool may_be_outdated(const struct gateway *g, const char *key,
			    uint64_t position)
{
	const struct store_reader *sr = &g->reader[ADAPTER_OPERATORS];
	const struct record *row =
		records_find(&g->records[ADAPTER_OPERATORS], key);

	return row && position > row->position &&
	       (sr->restored ||
		(int64_t)record_era(position) > sr->present_era);
}

/* Returns true if the configuration is older than the one in force. */
static bool is_older_directory(const struct gateway *g, const char *key,
			       const char *value, size_t n)
{
	char reason[ADAPTER_REASON_BYTES];
	const char *domain;
	struct directory *d;
	bool older;

	if (!value || !g->directory ||
	    adapter_operator_record_kind(key, &domain) != ADAPTER_DIRECTORY)
		return false;
	d = adapter_read_directory(value, n, reason);
	older = d && d->version < g->directory->version;
	directory_unref(d);
	return older;
}

static void log_outdated(enum adapter_topic t, const char *key,
			 uint64_t position, const char *source)
{
	logline(LOG_NOTICE, "record_outdated",
		"stream=%d key=%s offset=%llu source=%s", t, key,
		(unsigned long long)record_offset(position), source);
}

static void apply_operators(struct gateway *g, const char *key,
			    const char *value, size_t n, uint64_t position,
			    const char *source)
{
	struct records *r = &g->records[ADAPTER_OPERATORS];

	if (may_be_outdated(g, key, position) &&
	    is_older_directory(g, key, value, n)) {
		log_outdated(ADAPTER_OPERATORS, key, position, source);
		records_keep(r, key, position);
		return;
	}
	if (records_put(r, key, value, n, position) > 0)
		apply_operator_record(g, key, value, n, position, source);
}

/* Keeps the entry that was put last out of effect for a time. */
static void hold_endpoint(struct gateway *g, const char *key)
{
	struct store_reader *sr = &g->reader[ADAPTER_ENDPOINTS];
	int64_t until_us = gateway_now_us(g) + STORE_APPLY_HOLD_US;

	records_hold(&g->records[ADAPTER_ENDPOINTS], key, until_us);
	if (!sr->release_us)
		sr->release_us = until_us;
}

/*
 * An entry that cannot be read names no endpoint, and counts as deleted. One that is
 * older than what is known of its endpoint comes from an older copy of the store, or
 * from a write that the store carried out late.
 */
static void apply_endpoints(struct gateway *g, const char *key,
			    const char *value, size_t n, uint64_t position,
			    const char *source)
{
	struct records *r = &g->records[ADAPTER_ENDPOINTS];
	const struct record *row = records_find(r, key);
	char reason[ADAPTER_REASON_BYTES] = "";
	struct fleet_entry entry;

	if (value && (!row || position > row->position) &&
	    adapter_read_endpoint(key, value, n, &entry, reason) < 0) {
		logline(LOG_WARNING, "endpoint_unreadable",
			"endpoint=%s offset=%llu source=%s why=\"%s\"", key,
			(unsigned long long)record_offset(position), source,
			reason);
		value = NULL;
		n = 0;
	}
	if (records_put(r, key, value, n, position) <= 0)
		return;
	if (value && fleet_knows_newer(&g->fleet, &entry)) {
		log_outdated(ADAPTER_ENDPOINTS, key, position, source);
		hold_endpoint(g, key);
		return;
	}
	apply_endpoint(g, key, value ? &entry : NULL, position, source);
}

/* See gateway.h. */
void store_apply(struct gateway *g, enum adapter_topic t, const char *key,
		 const char *value, size_t n, uint64_t position,
		 const char *source)
{
	switch (t) {
	case ADAPTER_OPERATORS:
		apply_operators(g, key, value, n, position, source);
		break;
	case ADAPTER_ENDPOINTS:
		apply_endpoints(g, key, value, n, position, source);
		break;
	case ADAPTER_HOSTS:
		if (records_put(&g->records[t], key, value, n, position) > 0)
			apply_host(g, key, value, n);
		break;
	case ADAPTER_TOPICS:
		break;
	}
}

/* See gateway.h. */
void store_apply_missing(struct gateway *g, enum adapter_topic t,
			 const char *key, uint64_t position, const char *source)
{
	switch (t) {
	case ADAPTER_OPERATORS:
		apply_operator_record(g, key, NULL, 0, position, source);
		break;
	case ADAPTER_ENDPOINTS:
		remove_endpoint(g, key, position, source);
		break;
	case ADAPTER_HOSTS:
		apply_host(g, key, NULL, 0);
		break;
	case ADAPTER_TOPICS:
		break;
	}
}

/* See gateway.h. */
void store_apply_lost(struct gateway *g, enum adapter_topic t, const char *key,
		      uint64_t position)
{
	struct fleet_endpoint *e;

	if (t != ADAPTER_ENDPOINTS) {
		store_apply_missing(g, t, key, position, "restored");
		return;
	}
	/* No crash: the store lost the entry, whatever became of the endpoint. */
	e = fleet_find(&g->fleet, key);
	if (!e)
		return;
	logline(LOG_NOTICE, "endpoint_gone",
		"endpoint=%s offset=%llu source=restored running=%u", key,
		(unsigned long long)record_offset(position), e->running);
	fleet_remove(&g->fleet, key, position, 0, gateway_now_us(g));
}

/* See gateway.h. An entry of an era that the stream has not entered yet waits for
 * that. */
int64_t store_apply_held(struct gateway *g, int64_t now_us)
{
	struct records *r = &g->records[ADAPTER_ENDPOINTS];
	int64_t era = g->reader[ADAPTER_ENDPOINTS].present_era;
	char reason[ADAPTER_REASON_BYTES];
	struct fleet_entry entry;
	int64_t next_us = 0;
	uint32_t i;

	for (i = 0; i < r->n; i++) {
		struct record *row = &r->row[i];

		if (!row->held_until_us)
			continue;
		if (now_us < row->held_until_us ||
		    (int64_t)record_era(row->position) > era) {
			if (!next_us || row->held_until_us < next_us)
				next_us = row->held_until_us;
			continue;
		}
		row->held_until_us = 0;
		if (adapter_read_endpoint(row->key, row->value,
					  row->value_bytes, &entry,
					  reason) == 0)
			apply_endpoint(g, row->key, &entry, row->position,
				       "held");
	}
	return next_us;
}
