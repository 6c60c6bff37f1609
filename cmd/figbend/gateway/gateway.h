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
#include "setup.h"
#include "share.h"
#include "stats.h"

/*
 * A host before a platform's pools. The struct is the board: each section has
 * one file that writes it, named beside it, and all others only read.
 */

struct gateway;
struct run;
TAILQ_HEAD(runs, run);

/* follow.c: how far this host is with one of the store's streams. */
struct follow {
	struct gateway *g;
	enum adapter_topic topic;
	struct h1_exchange exchange;
	struct h1_buf answer;
	uint16_t status;
	bool in_snapshot;
	bool renewed;	/* the call was made after another host had news */
	bool read_once; /* another host has news: read without waiting */
	bool passive;	/* other hosts of the domain read the stream */
	char after[RECORD_KEY_BYTES];
	uint64_t snapshot_end;
	uint64_t from;	/* that the call in progress asked for */
	ev_timer timer; /* the next call, or the end of the present one */
	struct records_lag lag;
	int64_t ok_us;	   /* last answer */
	int64_t back_us;   /* first answer after failures; 0: none */
	uint32_t failures; /* in a row */
};

/* beats.c: another host. */
struct gateway_peer {
	TAILQ_ENTRY(gateway_peer) entry;
	char name[SETUP_NAME_BYTES];
	char addr[SETUP_ADDR_BYTES];
	int64_t heard_us; /* 0: never */
	uint64_t upto[FIG_TOPICS];
	enum fig_following following;
	char domain[SETUP_NAME_BYTES];
	bool asked;
	struct gateway_peer_load *load;
	uint32_t n_loads;
};
TAILQ_HEAD(gateway_peers, gateway_peer);

struct errand;
TAILQ_HEAD(errands, errand);

/* suspects.c: a run that its endpoint broke off, until it is known why. */
#define GATEWAY_BROKEN_MAX 128

struct gateway_broken {
	uint64_t fingerprint; /* 0: none */
	char endpoint[CALL_ID_BYTES];
	char request[CALL_ID_BYTES];
	int64_t at_us;
};

struct gateway {
	struct ev_loop *loop;
	const struct setup *setup;
	uint64_t boot_us;
	uint64_t random;

	/* gateway.c */
	struct h1_server callers;
	struct h1_server readiness;
	struct h1_server metrics;
	struct h1_client endpoints;
	struct h1_client store;
	struct h1_limits limits;
	struct h1_limits own_limits;
	ev_signal on_term;
	ev_signal on_hup;
	ev_timer sweep;
	ev_prepare before_wait;
	bool stopping;
	int64_t stop_us;

	/* follow.c */
	struct follow follow[ADAPTER_TOPICS];
	struct records records[ADAPTER_TOPICS];
	struct directory *directory; /* NULL: none yet */
	struct h1_exchange put;
	struct h1_buf put_answer;
	ev_timer put_timer;
	bool registered;

	/* run files; beliefs also from follow.c and beats.c */
	struct fleet fleet;
	struct runs runs;
	struct runs waiting; /* for room at an endpoint, by arrival */
	uint32_t n_runs;
	uint32_t n_waiting;
	ev_timer retry_waiting;

	/* beats.c */
	struct peer peer;
	struct gateway_peers peers;
	ev_timer beat;
	int64_t beaten_us; /* last message to all hosts */
	struct share share;
	int64_t alone_us; /* no other domain is heard since; 0: one is */

	/* run files: last request for which no endpoint worked */
	int64_t starved_us;

	struct share_budgets budgets; /* runs */
	struct stats stats;	      /* all */

	struct errands errands; /* errand.c */

	/* suspects.c */
	struct quarantine quarantine;
	struct gateway_broken broken[GATEWAY_BROKEN_MAX]; /* a ring */
	uint32_t broken_next;
};

int gateway_init(struct gateway *g, const struct setup *s);
void gateway_finish(struct gateway *g);

int64_t gateway_now_us(const struct gateway *g);
int64_t gateway_clock_us(void);
uint64_t gateway_random(struct gateway *g);
bool gateway_ready(const struct gateway *g);
/* Tells whether callers are served better elsewhere: the domain is cut off, and
 * endpoints that they need are on the other side. */
bool gateway_is_cut_off(const struct gateway *g);
/* Tells whether a request that comes now can be served before the process ends. */
bool gateway_takes(const struct gateway *g);

/* follow.c */
void follow_init(struct gateway *g);
void follow_finish(struct gateway *g);
void follow_take(struct gateway *g, enum adapter_topic t, const char *key,
		 const char *value, size_t n, uint64_t offset,
		 const char *source);
bool follow_is_behind(struct gateway *g, enum adapter_topic t, uint64_t upto);
void follow_unregister(struct gateway *g);

/* beats.c */
int beats_init(struct gateway *g);
void beats_finish(struct gateway *g);
void beats_host_found(struct gateway *g, const char *name, const char *addr);
/* How many hosts that were heard a short time ago read the store's streams. */
uint32_t beats_followers(const struct gateway *g);
/* Tells whether enough others of the domain read the streams. */
bool beats_may_leave_it(const struct gateway *g);
/* Between two messages of a host. */
double beats_interval_s(const struct gateway *g);
/* Tells the hosts of the domain at once. */
void beats_now(struct gateway *g);
/* Sends a message to all hosts that are known. */
void beats_tell_all(struct gateway *g, const struct fig_call *call);
void beats_host_gone(struct gateway *g, const char *name);

/* errand.c: calls whose outcome no request waits for. */
void errand_hold_drop(struct gateway *g, struct fleet_endpoint *e,
		      const char *hold);
void errand_handle_drop(struct gateway *g, struct fleet_endpoint *e,
			const char *handle);
void errand_finish(struct gateway *g);

/* suspects.c */
void suspects_init(struct gateway *g);
void suspects_broken(struct run *r);
/* The endpoint's entry shows that it crashed or started anew. */
void suspects_endpoint_crashed(struct gateway *g, const char *endpoint);
void suspects_heard(struct gateway *g, const struct fig_crash *c);
bool suspects_hold(struct gateway *g, const struct call_head *call,
		   const struct directory_account *account,
		   const struct h1_buf *body);

/* run.c */
void run_init(struct gateway *g);
void run_request(void *ctx, struct h1_conn *c);
void run_caller_gone(void *ctx, struct h1_conn *c);
void run_retry_waiting(struct gateway *g);

#endif
