#ifndef FIGBEND_GATEWAY_H
#define FIGBEND_GATEWAY_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "adapter.h"
#include "call.h"
#include "directory.h"
#include "fleet.h"
#include "h1.h"
#include "peer.h"
#include "quarantine.h"
#include "record.h"
#include "pool_settings.h"
#include "ratelimit.h"
#include "stats.h"

/*
 * A host before a platform's pools. The struct is the board: each section has
 * one file that writes it, named beside it, and all others only read.
 */

struct gateway;
struct req;
TAILQ_HEAD(reqs, req);

/* follow.c: how far this host is with one of the store's streams. */
struct store_reader {
	struct gateway *g;
	enum adapter_topic topic;
	struct h1_exchange exchange;
	struct h1_buf body;
	uint16_t status;
	bool in_snapshot;
	bool reissued; /* the call was made after another host had news */
	bool poll_now; /* another host has news: read without waiting */
	bool passive;  /* other hosts of the domain read the stream */
	char after_key[RECORD_KEY_BYTES];
	uint64_t snapshot_end;
	uint64_t from_offset; /* that the call in progress asked for */
	ev_timer timer;	      /* the next call, or the end of the present one */
	struct records_lag lag;
	int64_t last_ok_us;   /* last answer */
	int64_t recovered_us; /* first answer after failures; 0: none */
	uint32_t failures;    /* in a row */
};

/* beats.c: another host. */
struct gateway_peer {
	TAILQ_ENTRY(gateway_peer) entry;
	char name[POOL_SETTINGS_NAME_BYTES];
	char addr[POOL_SETTINGS_ADDR_BYTES];
	int64_t last_heartbeat_us; /* 0: never */
	uint64_t next_offset[FIG_TOPICS];
	enum fig_following reader_state;
	char domain[POOL_SETTINGS_NAME_BYTES];
	bool fetching;
	struct gateway_peer_load *load;
	uint32_t n_loads;
};
TAILQ_HEAD(gateway_peers, gateway_peer);

struct cleanup;
TAILQ_HEAD(cleanups, cleanup);

/* suspects.c: a run that its endpoint broke off, until it is known why. */
#define CRASH_CANDIDATES_MAX 128

struct crash_candidate {
	uint64_t fingerprint; /* 0: none */
	char endpoint[CALL_ID_BYTES];
	char request[CALL_ID_BYTES];
	int64_t broken_us;
};

struct gateway {
	struct ev_loop *loop;
	const struct pool_settings *settings;
	uint64_t boot_us;
	uint64_t random;

	/* gateway.c */
	struct h1_server callers;
	struct h1_server readiness;
	struct h1_server metrics;
	struct h1_client endpoints;
	struct h1_client store;
	struct h1_limits limits;
	struct h1_limits internal_limits;
	ev_signal on_term;
	ev_signal on_hup;
	ev_timer sweep;
	ev_prepare log_flush;
	bool stopping;
	int64_t stop_start_us;

	/* follow.c */
	struct store_reader reader[ADAPTER_TOPICS];
	struct records records[ADAPTER_TOPICS];
	struct directory *directory; /* NULL: none yet */
	struct h1_exchange register_exchange;
	struct h1_buf put_answer;
	ev_timer register_timer;
	bool registered;

	/* run files; beliefs also from follow.c and beats.c */
	struct fleet fleet;
	struct reqs reqs;
	struct reqs waiting; /* for room at an endpoint, by arrival */
	uint32_t n_reqs;
	uint32_t n_waiting;
	ev_timer waiting_timer;

	/* beats.c */
	struct peer peer;
	struct gateway_peers peers;
	ev_timer heartbeat_timer;
	int64_t heartbeat_sent_us; /* last message to all hosts */
	struct ratelimit ratelimit;
	int64_t isolated_since_us; /* no other domain is heard since; 0: one is */

	/* run files: last request for which no endpoint worked */
	int64_t last_unserved_us;

	struct ratelimit_retry_budgets retry_budgets; /* runs */
	struct stats stats;			      /* all */

	struct cleanups cleanups; /* errand.c */

	/* suspects.c */
	struct quarantine quarantine;
	struct crash_candidate
		crash_candidates[CRASH_CANDIDATES_MAX]; /* a ring */
	uint32_t crash_candidates_next;
};

int gateway_init(struct gateway *g, const struct pool_settings *s);
void gateway_finish(struct gateway *g);

int64_t gateway_now_us(const struct gateway *g);
int64_t gateway_clock_us(void);
uint64_t gateway_random(struct gateway *g);
bool gateway_is_ready(const struct gateway *g);
/* Tells whether callers are served better elsewhere: the domain is cut off, and
 * endpoints that they need are on the other side. */
bool gateway_is_isolated(const struct gateway *g);
/* Tells whether a request that comes now can be served before the process ends. */
bool gateway_accepts_requests(const struct gateway *g);

/* follow.c */
void store_reader_init(struct gateway *g);
void store_reader_finish(struct gateway *g);
void store_reader_apply(struct gateway *g, enum adapter_topic t,
			const char *key, const char *value, size_t n,
			uint64_t offset, const char *source);
bool store_reader_check_lag(struct gateway *g, enum adapter_topic t,
			    uint64_t upto);
void store_reader_unregister(struct gateway *g);

/* beats.c */
int heartbeat_init(struct gateway *g);
void heartbeat_finish(struct gateway *g);
void heartbeat_add_peer(struct gateway *g, const char *name, const char *addr);
/* How many hosts that were heard a short time ago read the store's streams. */
uint32_t heartbeat_count_readers(const struct gateway *g);
/* Tells whether enough others of the domain read the streams. */
bool heartbeat_may_be_passive(const struct gateway *g);
/* Between two messages of a host. */
double heartbeat_interval_s(const struct gateway *g);
/* Tells the hosts of the domain at once. */
void heartbeat_send_domain(struct gateway *g);
/* Sends a message to all hosts that are known. */
void heartbeat_broadcast(struct gateway *g, const struct fig_call *call);
void heartbeat_remove_peer(struct gateway *g, const char *name);

/* errand.c: calls whose outcome no request waits for. */
void cleanup_release_reservation(struct gateway *g, struct fleet_endpoint *e,
				 const char *hold);
void cleanup_release_handle(struct gateway *g, struct fleet_endpoint *e,
			    const char *handle);
void cleanup_finish(struct gateway *g);

/* suspects.c */
void crash_init(struct gateway *g);
void crash_add_candidate(struct req *r);
/* The endpoint's entry shows that it crashed or started anew. */
void crash_confirm(struct gateway *g, const char *endpoint);
void crash_apply_report(struct gateway *g, const struct fig_crash *c);
bool crash_is_blocked(struct gateway *g, const struct call_head *call,
		      const struct directory_account *account,
		      const struct h1_buf *body);

/* run.c */
void req_init(struct gateway *g);
void req_on_request(void *ctx, struct h1_conn *c);
void req_on_disconnect(void *ctx, struct h1_conn *c);
void req_advance_waiting(struct gateway *g);

#endif
