#ifndef FIGBEND_GATEWAY_H
#define FIGBEND_GATEWAY_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "adapter.h"
#include "call.h"
#include "directory.h"
#include "drain.h"
#include "fleet.h"
#include "freshness.h"
#include "h1.h"
#include "hedge.h"
#include "peer.h"
#include "poison.h"
#include "pool_settings.h"
#include "ratelimit.h"
#include "record.h"
#include "relay.h"
#include "rollouts.h"
#include "spread.h"
#include "stats.h"

/*
 * The state of a host that routes requests to a platform's pools (figbend
 * --pools), and what its source files offer each other. Everything runs on one
 * event loop. The comment at the head of a section of struct gateway names the
 * files that write its fields, and the fields that other files write too.
 *
 * Times in microseconds (_us) are those of gateway_now_us, unless a comment
 * names another clock.
 */

struct gateway;
struct req;
TAILQ_HEAD(reqs, req);

/* store_reader.c: the reader of one stream of the store. */
struct store_reader {
	struct gateway *g;
	enum adapter_topic topic;
	struct h1_exchange exchange; /* the read in progress */
	struct h1_buf body;	     /* response body received so far */
	uint16_t status;  /* HTTP status of the response; 0 before its head */
	int64_t era;	  /* of the store, in the last response; -1 if none */
	bool in_snapshot; /* reads pages of the snapshot, not records */
	bool domain_page; /* reads the page with the hosts of this domain */
	bool reissued;	  /* the read was sent again, as this host lagged */
	bool timed_out;	  /* the last read did */
	/* The next read is made even by a passive reader, and does not wait. */
	bool poll_now;
	bool passive; /* leaves the stream to other hosts of the domain */
	char after_key
		[ADAPTER_PAGE_KEY_BYTES]; /* last key read; "": first page */
	/* The stream's end at the first page of the snapshot, and where the read
	 * in progress begins, as positions (pkg/record). */
	uint64_t snapshot_end;
	uint64_t from_position;
	int64_t present_era; /* of the stream's next position; -1 if none */
	bool restored; /* that is later than one before, until settle_us */
	/* After a change of the era, when to drop the records that nobody wrote
	 * again; 0 if done. */
	int64_t settle_us;
	/* When to put records that are held into effect, at the earliest; 0 if
	 * there are none. */
	int64_t release_us;
	ev_timer timer; /* starts the next read, or times one out */
	struct records_lag lag;
	int64_t last_ok_us;   /* last successful read; 0 if none */
	int64_t recovered_us; /* first response after failures; 0 if none */
	uint32_t failures;    /* consecutive */
	int64_t answered_us; /* when the response may have arrived, at the earliest */
	int64_t snapshot_us; /* the same of the first page of the snapshot */
	int64_t turn_us; /* the next read is not before it, but for poll_now */
	/* Passive, although no other host reads, until turn_us. */
	bool awaits_turn;
};

struct cleanup;
TAILQ_HEAD(cleanups, cleanup);

struct gateway {
	struct ev_loop *loop;
	const struct pool_settings *settings; /* borrowed */
	/* Start of the process, since the epoch; later if other hosts know a later
	 * one, see heartbeat.c. */
	uint64_t boot_us;
	uint64_t random;  /* state of gateway_random */
	int64_t input_us; /* when the loop last began to wait for input */

	/* gateway.c; heartbeat.c and req.c also write callers.draining,
	 * store_apply.c also writes limits */
	struct h1_server callers;
	struct h1_server readiness;
	struct h1_server metrics;
	struct h1_client endpoints;
	struct h1_client store;
	struct h1_limits limits;	  /* of callers */
	struct h1_limits internal_limits; /* of readiness and metrics */
	ev_signal on_term;
	ev_signal on_hup;
	ev_timer sweep;
	ev_prepare prepare;
	struct drain drain;

	/* store_reader.c; heartbeat.c also writes records */
	struct store_reader reader[ADAPTER_TOPICS];
	struct records records[ADAPTER_TOPICS];
	struct freshness freshness;  /* of operators' and endpoints' records */
	struct directory *directory; /* NULL before the first one */
	/* When a lower idle timeout of the directory holds; 0 if it does. */
	int64_t idle_timeout_falls_us;

	/* host_record.c */
	struct h1_exchange register_exchange; /* writes this host's record */
	ev_timer register_timer; /* repeats the write until it succeeds */
	bool registered;	 /* the last write succeeded */
	uint32_t registered_era; /* of the store at the last write */
	uint32_t store_era;	 /* the latest one that this host knows */

	/* req.c, plain.c, pools.c; store_apply.c, heartbeat.c and gateway.c
	 * also write fleet */
	struct fleet fleet;
	struct reqs reqs;    /* all requests in progress */
	struct reqs waiting; /* for capacity at an endpoint */
	uint32_t n_reqs;
	uint32_t n_waiting;
	uint64_t response_bytes; /* memory of all buffered responses */
	ev_timer waiting_timer;

	/* heartbeat.c; req.c and store_apply.c also write ratelimit */
	struct peer peer;
	struct relay relay;
	ev_timer heartbeat_timer;
	bool loads_changed; /* since heartbeat_update_loads() */
	enum relay_mode logged_mode;
	int64_t start_told_us; /* last message about a known start */
	uint32_t start_raises;
	struct ratelimit ratelimit;
	/* When the last other domain became unreachable; 0 if one is reachable
	 * or none is known. */
	int64_t isolated_since_us;

	/* req.c: time of the last req_refuse_no_endpoint(); 0 if none */
	int64_t last_unserved_us;

	struct ratelimit_retry_budgets retry_budgets; /* req.c */
	struct stats stats;			      /* all files */

	struct cleanups cleanups; /* cleanup.c: calls in progress */

	/* crash.c */
	struct poison poison;
	int64_t suspects_sent_us; /* last time to a few hosts */

	int64_t notices_sent_us; /* notices.c: last time to a few hosts */

	struct spread spread; /* record_fetch.c */

	struct hedge *hedge;	  /* hedge.c; NULL if hedging is off */
	struct rollouts rollouts; /* rollouts.c, rollouts_req.c */
};

/*
 * Starts all parts on libev's default loop; s is borrowed until
 * gateway_finish(). Returns 0, or a negative error number if an address cannot
 * be used; the parts that were started before are then not stopped.
 */
int gateway_init(struct gateway *g, const struct pool_settings *s);
/*
 * Stops all parts and closes all connections. Requests in progress are not
 * freed: the process exits next.
 */
void gateway_finish(struct gateway *g);

/* Returns the time of CLOCK_BOOTTIME, which also runs during suspension. */
int64_t gateway_clock_us(void);
/* Returns the time on which decisions are based, that of gateway_clock_us(). */
int64_t gateway_now_us(const struct gateway *g);
/*
 * Returns the earliest time at which the input that is being handled may have
 * arrived: this process may have been stopped since the loop last looked for input.
 */
int64_t gateway_input_us(const struct gateway *g);
/* Returns a pseudo-random number of 31 bits; not for secrets. */
uint64_t gateway_random(struct gateway *g);
/* The same as a number from 0 to 1. */
double gateway_random_fraction(struct gateway *g);
/* Returns true if this host should get new connections of callers. */
bool gateway_is_ready(const struct gateway *g);
/*
 * Returns true if no other domain is reachable and req_refuse_no_endpoint() has
 * since been called: other domains then serve callers better than this one.
 */
bool gateway_is_isolated(const struct gateway *g);
/*
 * store_reader.c: the streams of the store. store_reader_init() starts to read
 * them.
 */
void store_reader_init(struct gateway *g);
/* Stops reading and frees the records and the directory. */
void store_reader_finish(struct gateway *g);
/*
 * Compares this host's offset with that of a peer, and may read from the store
 * again at once. Returns true if the records that are missing are to be fetched
 * from the peer.
 */
bool store_reader_check_lag(struct gateway *g, enum adapter_topic t,
			    uint64_t peer_position);
/* Records that all records before the position have been received. */
void store_reader_advance(struct gateway *g, enum adapter_topic t,
			  uint64_t position);
/* Called often: does what is due some time after the store's era changed. */
void store_reader_settle(struct gateway *g);
/* Sends the read in progress again, over a new connection. */
void store_reader_reissue(struct store_reader *sr);
/* Decides at once, and anew, whether this host reads the stream. */
void store_reader_look(struct store_reader *sr);
/* Reads the stream from the store at once, also if this host is passive. */
void store_reader_poll(struct gateway *g, enum adapter_topic t);

/* records_age.c: the age of what this host knows of the store's streams. */
/*
 * Called every FRESHNESS_CHECK_US: reads the store at once if what this host knows of
 * the streams has become too old.
 */
void records_age_check(struct gateway *g);
/* Takes over what another host said of the age of its knowledge. */
void records_age_told(struct gateway *g, const struct relay_host *h);

/* store_apply.c: records of the streams, put into effect. */
/*
 * Puts a record of n bytes into effect if it is newer than the one known for
 * its key; value is NULL if the key was deleted. source is for the log: where
 * the record comes from.
 */
void store_apply(struct gateway *g, enum adapter_topic t, const char *key,
		 const char *value, size_t n, uint64_t position,
		 const char *source);
/* A known key that is missing from the stream's snapshot was deleted. source is for
 * the log. */
void store_apply_missing(struct gateway *g, enum adapter_topic t,
			 const char *key, uint64_t position,
			 const char *source);
/* A key that the store lost was not written again, and counts as deleted. */
void store_apply_lost(struct gateway *g, enum adapter_topic t, const char *key,
		      uint64_t position);
/* An entry of an endpoint that is older than what is known of the endpoint is put into
 * effect if it still stands after this time: the store drops the entry of an endpoint
 * that is gone after three heartbeats, of about 1.2 s each, and one that lives writes
 * its entry at each of them. */
#define STORE_APPLY_HOLD_US 5000000LL
/*
 * Puts the entries of endpoints that were held for long enough into effect. Returns
 * when to call it again, or 0 if no entry is held any more.
 */
int64_t store_apply_held(struct gateway *g, int64_t now_us);
/* Returns true if the crash of an endpoint would show in the records. */
bool store_apply_shows_crashes(const struct gateway *g);
/* Puts a lower idle timeout into effect when callers know it. */
void store_apply_settle(struct gateway *g, int64_t now_us);

/*
 * host_record.c: this host's record in the store. host_record_init() writes it,
 * again each second until that succeeds.
 */
void host_record_init(struct gateway *g);
/* Deletes the record, so that peers need no time-out to remove this host. */
void host_record_delete(struct gateway *g);
/* Writes the record again, or deletes it again if this host stops, if that was done
 * in an earlier era of the store. */
void host_record_renew(struct gateway *g, uint32_t era);
/* Stops writing the record. */
void host_record_finish(struct gateway *g);

/*
 * heartbeat.c: the other hosts and the messages exchanged with them.
 * heartbeat_init() returns 0, or a negative error number if the address for
 * messages of other hosts cannot be used.
 */
int heartbeat_init(struct gateway *g);
void heartbeat_finish(struct gateway *g);
/* Writes the key of this host's record. */
void heartbeat_host_key(const struct gateway *g, char *out, size_t size);
/* Adds the host of a record, or updates its address; ignores this host. */
void heartbeat_add_peer(struct gateway *g, const char *key, const char *addr);
/* Removes a host whose record was deleted; ignores an unknown one. */
void heartbeat_remove_peer(struct gateway *g, const char *key);
/* Brings the loads of other hosts at all endpoints of the fleet up to date. */
void heartbeat_update_loads(struct gateway *g);
/* Returns the place of this host among those that read the streams themselves. */
uint32_t heartbeat_reader_rank(const struct gateway *g);
/*
 * Returns true if enough other hosts of the domain read the store's streams, so
 * that this host need not.
 */
bool heartbeat_may_be_passive(const struct gateway *g);
/* Age of what is known of other hosts, as the interval of their reports. */
double heartbeat_interval_s(const struct gateway *g);
/* Tells the hosts of the domain that this host has new records. */
void heartbeat_send_domain(struct gateway *g);
/* Sends a one-way message to all known hosts; it may be lost. */
void heartbeat_broadcast(struct gateway *g, const struct fig_call *call);
/* Sends a one-way message to a host chosen at random, if any is known. */
void heartbeat_send_random(struct gateway *g, const struct fig_call *call);

/* record_fetch.c: records of the store's streams that hosts send each other. */
void record_fetch_init(struct gateway *g);
/* Fetches records from a host if this one lacks them, according to its message. */
void record_fetch_if_behind(struct gateway *g, struct relay_host *h);
/* Handles such a call of another host, as peer_call_fn; ctx is the gateway. */
int record_fetch_on_call(void *ctx, const struct wire_opened *from,
			 struct fig_reply *reply);

/*
 * cleanup.c: releases what a request no longer needs at an endpoint. No request
 * waits for the outcome; what is not released expires at the endpoint.
 */
void cleanup_release_reservation(struct gateway *g, struct fleet_endpoint *e,
				 const char *reservation);
/* Releases a prefill result that no decode endpoint will import. */
void cleanup_release_handle(struct gateway *g, struct fleet_endpoint *e,
			    const char *handle);
/* Cancels the calls in progress. */
void cleanup_finish(struct gateway *g);

/* crash.c: finds what crashes endpoints, and blocks it. */
void crash_init(struct gateway *g);
/*
 * The connection to an endpoint of the request broke, and the endpoint may have
 * begun to execute the request, but no answer had begun.
 */
void crash_charge(struct req *r, const struct fleet_endpoint *e);
/* An answer to the request has begun: it does not crash endpoints. */
void crash_acquit(struct req *r);
/* The store shows that the endpoint crashed or restarted. */
void crash_confirm(struct gateway *g, const struct fleet_endpoint *e);
/* Merges what another host knows. */
void crash_apply_report(struct gateway *g, const struct fig_suspects *s);
/* Called at each interval of heartbeats: judges suspects, and sends what this
 * host knows to a few hosts. */
void crash_tick(struct gateway *g);
/*
 * Returns the time in microseconds for which the request, or a part of its
 * prompt, is blocked since it crashes endpoints; 0 if it is not.
 */
int64_t crash_blocked_us(struct gateway *g, const struct call_head *call,
			 const struct directory_account *account,
			 const struct h1_buf *body);
/*
 * The same for a request before its first attempt, or before a further one: after
 * a block hosts let few requests through, see poison_admit_us().
 */
int64_t crash_admit_us(struct gateway *g, const struct call_head *call,
		       const struct directory_account *account,
		       const struct h1_buf *body);

/* notices.c: what endpoints say of themselves. */
/*
 * Records what an endpoint says in a response. request is the id of the request,
 * for the log.
 */
void notices_record(struct gateway *g, struct fleet_endpoint *e,
		    const struct call_response *response, uint16_t status,
		    const char *request);
/* Records what another host, source, knows. */
void notices_apply(struct gateway *g, const struct fig_notices *notices,
		   const char *source);
/* Sends what this host knows to a few hosts, if it is time to. */
void notices_send(struct gateway *g);

/* hedge.c: second attempts beside the first ones. Does nothing if the settings turn
 * them off. */
void hedge_start(struct gateway *g);
void hedge_stop(struct gateway *g);

/* view.c: writes what this host knows of each endpoint, one a line. Returns 0 or
 * -ENOMEM. */
int view_write_endpoints(struct gateway *g, struct h1_buf *out);

/* req.c: requests of callers; the handlers' ctx is the struct gateway. */
void req_init(struct gateway *g);
void req_on_request(void *ctx, struct h1_conn *c);
void req_on_disconnect(void *ctx, struct h1_conn *c);
/* Brings the deadlines of the requests in progress forward to the end of the
 * stop that has begun. */
void req_stop_all(struct gateway *g);
/* Tries again to place the requests that wait for capacity. */
void req_advance_waiting(struct gateway *g);

#endif
