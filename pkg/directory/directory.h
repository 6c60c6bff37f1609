#ifndef FIGBEND_DIRECTORY_H
#define FIGBEND_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "call.h"

/*
 * A snapshot of the operators' configuration: routes, services and client
 * accounts. It is immutable after directory_sort_keys() and is reference
 * counted, so that a request keeps the version it started with.
 */

#define DIRECTORY_SPLIT_MAX 8
#define DIRECTORY_REGIONS_MAX 16

/* One service of a route's traffic split. */
struct directory_split {
	char service[CALL_NAME_BYTES];
	uint32_t weight;
};

struct directory_route {
	char name[CALL_NAME_BYTES];
	char host[256];	       /* name in the Host header, without a port */
	char path_prefix[256]; /* begins and ends with a slash */
	enum call_kind kind;
	bool resumable; /* a stream can be resumed at another endpoint */
	bool anonymous; /* requests need no API key */
	bool session_affinity;
	uint32_t timeout_ms; /* 0 if unlimited */
	/* Latency objective for the response, or a stream's first event. */
	uint32_t target_latency_ms;
	uint32_t target_gap_ms; /* objective for gaps between events */
	/* Limit on endpoints that may have executed one request. */
	uint32_t attempts_max;
	int priority;
	struct directory_split split[DIRECTORY_SPLIT_MAX];
	uint32_t n_split;
	char region[DIRECTORY_REGIONS_MAX][CALL_NAME_BYTES];
	uint32_t n_regions; /* 0 if all regions are allowed */
};

/* The model engine that a service's endpoints run. */
struct directory_engine {
	bool present;		     /* false for a plain service */
	uint32_t kv_capacity_tokens; /* KV memory of one endpoint */
	/* Longest time to reserve memory for; 0 if it cannot be reserved. */
	uint32_t reservation_max_ms;
	/* Output tokens in each event of a stream; the last may have fewer. */
	uint32_t tokens_per_event;
};

struct directory_service {
	char name[CALL_NAME_BYTES];
	/* Rate limit for an endpoint that is warming up, over all hosts; 0 if
	 * unlimited. */
	double cold_requests_per_s;
	struct directory_engine engine;
};

struct directory_account {
	char name[CALL_NAME_BYTES];
	int priority; /* -1 to use the route's */
	/* Token bucket: refill rate (0 if unlimited) and size, in tokens if
	 * limit_in_tokens, else in requests. */
	double rate_per_s;
	double burst;
	bool limit_in_tokens;
	/* Charged for a request that declares no token counts, if
	 * limit_in_tokens. */
	uint32_t default_cost_tokens;
	char region[DIRECTORY_REGIONS_MAX][CALL_NAME_BYTES];
	uint32_t n_regions; /* 0 if all regions are allowed */
};

struct directory_key {
	char key[CALL_KEY_BYTES];
	uint32_t account; /* index in directory.account */
};

/* Limits on callers' requests and connections. */
struct directory_limits {
	uint32_t header_max_bytes;
	uint32_t body_max_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct directory {
	uint32_t refs;
	int64_t version; /* a higher version replaces a lower one */
	struct directory_route *route;
	uint32_t n_routes;
	struct directory_service *service;
	uint32_t n_services;
	struct directory_account *account;
	uint32_t n_accounts;
	struct directory_key *key; /* sorted by directory_sort_keys() */
	uint32_t n_keys;
	struct directory_limits limits;
};

/*
 * Allocates a directory with the given number of zeroed routes, services,
 * accounts and keys for the caller to fill in. Returns it with one reference,
 * or NULL if memory is exhausted.
 */
struct directory *directory_new(uint32_t routes, uint32_t services,
				uint32_t accounts, uint32_t keys);
/* Adds a reference and returns d. */
struct directory *directory_ref(struct directory *d);
/* Drops a reference; the last one frees the directory. d may be NULL. */
void directory_unref(struct directory *d);
/* Sorts the keys for lookup. Call once, after all keys are filled in. */
void directory_sort_keys(struct directory *d);

/*
 * The lookups return a pointer into the directory, valid as long as the caller
 * holds a reference, or NULL if nothing matches.
 */

/*
 * Finds the route with the longest path_prefix that path begins with, among the
 * routes for host. host is the value of a Host header; its port and the case of
 * letters are ignored.
 */
const struct directory_route *directory_find_route(const struct directory *d,
						   const char *host,
						   const char *path);
/* Finds the account to which an API key belongs. */
const struct directory_account *
directory_find_account(const struct directory *d, const char *key);
const struct directory_service *
directory_find_service(const struct directory *d, const char *name);
/*
 * Chooses a service from the route's traffic split in proportion to the weights;
 * random is a uniformly distributed random number. Returns the service's name,
 * or NULL if all weights are 0.
 */
const char *directory_pick_service(const struct directory_route *r,
				   uint64_t random);

#endif
