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
	uint32_t cold_ms;
	int64_t born_ms; /* since the epoch; 0: not said */
	bool leaving;
};

/* How a request at an endpoint ended. */
enum fleet_outcome {
	FLEET_GOOD,
	FLEET_SHED,   /* the endpoint had no room */
	FLEET_FAILED, /* broken off, no answer, not the endpoint's bytes */
	FLEET_NO_CONNECTION,
	FLEET_SILENT, /* no answer in time */
	FLEET_WRONG,  /* another endpoint answered at the address */
};

struct fleet_endpoint {
	TAILQ_ENTRY(fleet_endpoint) entry;
	uint32_t refs;
	struct fleet_entry says;
	bool listed;
	int64_t leave_us; /* its entry is gone; when it is forgotten. 0: stays */
	uint64_t offset;  /* of its entry in the store */

	/* What this host has there. */
	uint32_t running;
	uint64_t tokens;
	uint32_t prompt_tokens; /* that are being read in */
	/* What the other hosts say they have there. */
	uint32_t peer_running;
	uint64_t peer_tokens;
	uint32_t peer_prompt_tokens;

	uint32_t load_running; /* from answers */
	uint32_t load_waiting;
	int64_t load_us;

	uint32_t failures; /* in a row */
	int64_t out_until_us;
	int64_t full_until_us;
	double failing;	   /* share of late requests that failed, 0 .. 1 */
	double latency_us; /* smoothed; plain services */
	int64_t cold_until_us;
	int64_t cold_second_us;
	uint32_t cold_starts;
	uint32_t probing; /* requests sent while it is on trial */
};

TAILQ_HEAD(fleet_endpoints, fleet_endpoint);

#define FLEET_DOMAINS_MAX 16

struct fleet_domains {
	char name[FLEET_DOMAINS_MAX][CALL_NAME_BYTES];
	uint32_t n;
};

struct fleet {
	struct fleet_endpoints list;
	uint32_t n;
	struct fleet_domains withdrawn;
	struct fleet_domains silent;  /* none of their hosts is heard */
	char domain[CALL_NAME_BYTES]; /* of this host */
	uint32_t hosts; /* that share what a cold endpoint bears */
	uint64_t random;
};

/* What a request looks for. */
struct fleet_want {
	const char *service;
	enum fleet_stage stage;
	uint32_t tokens;	 /* memory it will take; 0: none */
	uint32_t reserve_tokens; /* that it leaves to others */
	uint32_t total_tokens;	 /* memory of an endpoint */
	double cold_per_s;
	const char *near;			/* preferred domain, or NULL */
	const struct fleet_endpoint *not_on[4]; /* tried before */
	uint32_t n_not_on;
};

/* Why there is none. */
enum fleet_none {
	FLEET_FOUND,
	FLEET_NONE_LISTED, /* the service has none that may be used */
	FLEET_ALL_OUT,	   /* all are failing */
	FLEET_ALL_FULL,
};

void fleet_init(struct fleet *f, const char *domain, uint64_t seed);
void fleet_finish(struct fleet *f);
struct fleet_endpoint *fleet_find(struct fleet *f, const char *id);
/* Takes an entry in; a new start of a known endpoint begins without beliefs. */
struct fleet_endpoint *fleet_enter(struct fleet *f, const struct fleet_entry *e,
				   uint64_t offset, int64_t now_us);
/* The entry is gone: at_us the endpoint is forgotten, unless it comes again. */
void fleet_leave(struct fleet *f, const char *id, uint64_t offset,
		 int64_t at_us, int64_t now_us);
/* Forgets endpoints whose time has come. */
void fleet_sweep(struct fleet *f, int64_t now_us);
void fleet_withdraw(struct fleet *f, const char *domain, bool withdrawn);
/* No host of a domain is heard any more, or one is: it may be cut off. */
void fleet_silence(struct fleet *f, const char *domain, bool silent);
bool fleet_is_silent(const struct fleet *f, const struct fleet_endpoint *e);
bool fleet_usable(const struct fleet *f, const struct fleet_endpoint *e);

struct fleet_endpoint *fleet_choose(struct fleet *f,
				    const struct fleet_want *want,
				    int64_t now_us, enum fleet_none *why);
/* Free memory as believed, less what is on its way; may be negative. */
int64_t fleet_free_tokens(const struct fleet_endpoint *e,
			  uint32_t total_tokens);

void fleet_started(struct fleet_endpoint *e, uint32_t tokens,
		   uint32_t prompt_tokens, int64_t now_us);
void fleet_prompt_read(struct fleet_endpoint *e, uint32_t prompt_tokens);
/* A request there takes more memory than was counted. */
void fleet_grew(struct fleet_endpoint *e, uint32_t tokens);
void fleet_ended(struct fleet_endpoint *e, uint32_t tokens);
void fleet_outcome(struct fleet_endpoint *e, enum fleet_outcome o,
		   int64_t took_us, int64_t now_us);
void fleet_load(struct fleet_endpoint *e, uint32_t running, uint32_t waiting,
		int64_t now_us);

struct fleet_endpoint *fleet_ref(struct fleet_endpoint *e);
void fleet_unref(struct fleet_endpoint *e);

#endif
