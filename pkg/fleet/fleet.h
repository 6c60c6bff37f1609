#ifndef FIGBEND_FLEET_H
#define FIGBEND_FLEET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "call.h"

/*
 * The endpoints that this host knows, what it believes of each, and which one
 * it chooses. Beliefs come from the endpoints' own entries, from what
 * this and the other hosts run there, and from how this host's own requests
 * end. Pure: time comes in as an argument.
 */

#define FLEET_ADDR_BYTES 32

enum fleet_stage {
	FLEET_PLAIN,   /* a service that is no model engine */
	FLEET_PREFILL, /* reads prompts only */
	FLEET_DECODE,  /* makes tokens, and can read prompts slowly */
};

/* What an endpoint says of itself in its entry. */
struct fleet_entry {
	char id[CALL_ID_BYTES];
	char service[CALL_NAME_BYTES];
	char domain[CALL_NAME_BYTES];
	char addr_text[FLEET_ADDR_BYTES];
	struct sockaddr_in addr;
	enum fleet_stage stage;
	uint32_t slots;
	uint32_t cold_remaining_ms;
	int64_t started_ms; /* since the epoch; 0: not said */
	bool draining;
};

/* How a request at an endpoint ended. */
enum fleet_outcome {
	FLEET_SUCCESS,
	FLEET_OVERLOADED, /* the endpoint had no room */
	FLEET_FAILED,	  /* broken off, no answer, not the endpoint's bytes */
	FLEET_CONNECT_FAILED,
	FLEET_TIMED_OUT,   /* no answer in time */
	FLEET_MISDIRECTED, /* another endpoint answered at the address */
};

struct fleet_endpoint {
	TAILQ_ENTRY(fleet_endpoint) link;
	uint32_t refs;
	struct fleet_entry entry;
	bool listed;
	int64_t remove_at_us; /* its entry is gone; when it is forgotten. 0: stays */
	uint64_t offset;      /* of its entry in the store */

	/* What this host has there. */
	uint32_t running;
	uint64_t kv_tokens;
	uint32_t prefill_tokens; /* that are being read in */
	/* What the other hosts say they have there. */
	uint32_t peer_running;
	uint64_t peer_kv_tokens;
	uint32_t peer_prefill_tokens;

	uint32_t load_running; /* from answers */
	uint32_t load_waiting;
	int64_t load_us;

	uint32_t consecutive_failures; /* in a row */
	int64_t ejected_until_us;
	int64_t full_until_us;
	double failure_rate; /* share of late requests that failed, 0 .. 1 */
	double latency_us;   /* smoothed; plain services */
	int64_t cold_until_us;
	int64_t cold_window_us;
	uint32_t cold_requests;
	uint32_t probes; /* requests sent while it is on trial */
};

TAILQ_HEAD(fleet_endpoints, fleet_endpoint);

#define FLEET_DOMAINS_MAX 16

struct fleet_domains {
	char name[FLEET_DOMAINS_MAX][CALL_NAME_BYTES];
	uint32_t n;
};

struct fleet {
	struct fleet_endpoints list;
	uint32_t n_endpoints;
	struct fleet_domains withdrawn;
	struct fleet_domains unreachable;   /* none of their hosts is heard */
	char local_domain[CALL_NAME_BYTES]; /* of this host */
	uint32_t hosts; /* that share what a cold endpoint bears */
	uint64_t random;
};

/* What a request looks for. */
struct fleet_query {
	const char *service;
	enum fleet_stage stage;
	uint32_t kv_tokens;	     /* memory it will take; 0: none */
	uint32_t headroom_tokens;    /* that it leaves to others */
	uint32_t kv_capacity_tokens; /* memory of an endpoint */
	double cold_requests_per_s;
	const char *preferred_domain; /* preferred domain, or NULL */
	const struct fleet_endpoint *excluded[4]; /* tried before */
	uint32_t n_excluded;
};

/* Why there is none. */
enum fleet_result {
	FLEET_FOUND,
	FLEET_NO_ENDPOINT, /* the service has none that may be used */
	FLEET_ALL_EJECTED, /* all are failing */
	FLEET_ALL_FULL,
};

void fleet_init(struct fleet *f, const char *domain, uint64_t seed);
void fleet_finish(struct fleet *f);
struct fleet_endpoint *fleet_find(struct fleet *f, const char *id);
/* Takes an entry in; a new start of a known endpoint begins without beliefs. */
struct fleet_endpoint *fleet_upsert(struct fleet *f,
				    const struct fleet_entry *e,
				    uint64_t offset, int64_t now_us);
/* The entry is gone: at_us the endpoint is forgotten, unless it comes again. */
void fleet_remove(struct fleet *f, const char *id, uint64_t offset,
		  int64_t at_us, int64_t now_us);
/* Forgets endpoints whose time has come. */
void fleet_expire(struct fleet *f, int64_t now_us);
void fleet_set_withdrawn(struct fleet *f, const char *domain, bool withdrawn);
/* No host of a domain is heard any more, or one is: it may be cut off. */
void fleet_set_unreachable(struct fleet *f, const char *domain, bool silent);
bool fleet_is_unreachable(const struct fleet *f,
			  const struct fleet_endpoint *e);
bool fleet_is_usable(const struct fleet *f, const struct fleet_endpoint *e);

struct fleet_endpoint *fleet_choose(struct fleet *f,
				    const struct fleet_query *want,
				    int64_t now_us, enum fleet_result *why);
/* Free memory as believed, less what is on its way; may be negative. */
int64_t fleet_free_tokens(const struct fleet_endpoint *e,
			  uint32_t total_tokens);

void fleet_request_start(struct fleet_endpoint *e, uint32_t tokens,
			 uint32_t prompt_tokens, int64_t now_us);
void fleet_prefill_end(struct fleet_endpoint *e, uint32_t prompt_tokens);
/* A request there takes more memory than was counted. */
void fleet_request_grow(struct fleet_endpoint *e, uint32_t tokens);
void fleet_request_end(struct fleet_endpoint *e, uint32_t tokens);
void fleet_record_outcome(struct fleet_endpoint *e, enum fleet_outcome o,
			  int64_t took_us, int64_t now_us);
void fleet_record_load(struct fleet_endpoint *e, uint32_t running,
		       uint32_t waiting, int64_t now_us);

struct fleet_endpoint *fleet_ref(struct fleet_endpoint *e);
void fleet_unref(struct fleet_endpoint *e);

#endif
