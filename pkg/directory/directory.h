#ifndef FIGBEND_DIRECTORY_H
#define FIGBEND_DIRECTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "call.h"

/*
 * One version of what operators declared: routes, services and client accounts.
 * It does not change once it is built; holders of a reference keep it in memory.
 */

#define DIRECTORY_SPLIT_MAX 8
#define DIRECTORY_REGIONS_MAX 16

struct directory_split {
	char service[CALL_NAME_BYTES];
	uint32_t weight;
};

struct directory_route {
	char name[CALL_NAME_BYTES];
	char host[256];
	char path_prefix[256]; /* begins and ends with a slash */
	enum call_kind kind;
	bool resumable;
	bool anonymous;
	bool session_affinity;
	uint32_t timeout_ms; /* 0: none */
	uint32_t
		target_latency_ms; /* until the answer, or a stream's first event */
	uint32_t target_gap_ms;
	uint32_t attempts_max; /* endpoints that may run one request */
	int priority;
	struct directory_split split[DIRECTORY_SPLIT_MAX];
	uint32_t n_split;
	char region[DIRECTORY_REGIONS_MAX][CALL_NAME_BYTES];
	uint32_t n_regions; /* 0: all are allowed */
};

/* What a service's model endpoints can do. */
struct directory_engine {
	bool present;
	uint32_t kv_capacity_tokens;
	uint32_t reservation_max_ms; /* 0: memory cannot be reserved */
	uint32_t tokens_per_event;   /* of a stream; the last may have fewer */
};

struct directory_service {
	char name[CALL_NAME_BYTES];
	double cold_requests_per_s;
	struct directory_engine engine;
};

struct directory_account {
	char name[CALL_NAME_BYTES];
	int priority; /* -1: the route's */
	double rate_per_s;
	double burst;
	bool limit_in_tokens;
	uint32_t default_cost_tokens; /* of a request that has no prompt */
	char region[DIRECTORY_REGIONS_MAX][CALL_NAME_BYTES];
	uint32_t n_regions;
};

struct directory_key {
	char key[CALL_KEY_BYTES];
	uint32_t account;
};

struct directory_limits {
	uint32_t header_max_bytes;
	uint32_t body_max_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct directory {
	uint32_t refs;
	int64_t version;
	struct directory_route *route;
	uint32_t n_routes;
	struct directory_service *service;
	uint32_t n_services;
	struct directory_account *account;
	uint32_t n_accounts;
	struct directory_key *key; /* sorted */
	uint32_t n_keys;
	struct directory_limits limits;
};

struct directory *directory_new(uint32_t routes, uint32_t services,
				uint32_t accounts, uint32_t keys);
struct directory *directory_ref(struct directory *d);
void directory_unref(struct directory *d);
/* Call once, after all rows are filled in. */
void directory_sort_keys(struct directory *d);

const struct directory_route *directory_find_route(const struct directory *d,
						   const char *host,
						   const char *path);
const struct directory_account *
directory_find_account(const struct directory *d, const char *key);
const struct directory_service *
directory_find_service(const struct directory *d, const char *name);
/* Chooses among the split by weight; draw is random, 0 or more. */
const char *directory_pick_service(const struct directory_route *r,
				   uint64_t draw);

#endif
