#ifndef FIGBEND_PLAN_H
#define FIGBEND_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Chooses a prefill and a decode endpoint for a request and decides whether it
 * is sent now, waits or is rejected. The aims are a first token before the
 * deadline and a decode slot that is reserved for little longer than the
 * prefill and the transfer take.
 *
 * Prefill endpoints are compared by the estimated time to the first token: the
 * prefill work queued there, the prefill of the part of the prompt that is not
 * in the prefix cache, the queue of the link for KV results, the transfer and
 * one decode step. Estimates that differ by 30 ms or less count as equal; then
 * the longer cached prefix wins, then the higher rank by rendezvous hashing, so
 * that all hosts send a prefix to the same endpoint. Of the decode endpoints,
 * the one with the smallest share of its slots in use is chosen.
 *
 * The time per token of each prefill endpoint is estimated as a ratio of
 * exponentially decayed sums, from the prefills and transfers of this host.
 *
 * A decode slot is reserved before the prefill is sent and stays idle until the
 * KV result arrives. The prefill may therefore queue behind at most 60 ms of
 * waiting work, or less if the deadline of the first token is near. The owner
 * of the prefill endpoint enforces this limit (queue_max_tokens); a request
 * that is denied a slot waits at this host.
 *
 * Slots, queues and cached prefixes are hints and may be out of date: the owner
 * of an endpoint decides when a slot is requested (pkg/admit). All times are in
 * microseconds; now_us and deadlines are read from one monotonic clock. Nothing
 * here reads a clock, allocates memory or fails.
 */

/* Prompts are compared block by block, from the start. */
#define PLAN_PREFIX_BLOCK_BYTES 1024
#define PLAN_PREFIX_BLOCK_TOKENS 256   /* estimate: 4 bytes per token */
#define PLAN_PREFIX_INDEX_ENTRIES 8192 /* of all endpoints together */

/*
 * Estimated times per token of a prefill endpoint: time over tokens, each a
 * decayed sum over the observations so far.
 */
struct plan_estimator {
	double prefill_token_us;
	double transfer_token_us; /* transfer of the KV result */
	double prefill_decayed_us;
	double prefill_decayed_tokens;
	double transfer_decayed_us;
	double transfer_decayed_tokens;
};

/* A prefill endpoint that may be chosen. */
struct plan_prefill_candidate {
	const struct plan_estimator *estimator;
	uint32_t queued_tokens;	     /* prefill work ahead at the endpoint */
	uint32_t link_queued_tokens; /* KV results ahead on its link */
	uint32_t cached_tokens;	     /* of the prompt, in its prefix cache */
	uint64_t affinity;	     /* from plan_affinity */
	bool has_capacity;	     /* a free slot and enough memory */
};

/* A decode endpoint that may be chosen. */
struct plan_decode_candidate {
	uint32_t slots_used;
	uint32_t slots;
	bool has_capacity; /* a free slot and enough memory */
};

struct plan_request {
	uint32_t prompt_tokens;
	int64_t first_token_deadline_us; /* monotonic clock */
	uint32_t decode_step_us; /* from the transfer to the first token */
	bool ignore_deadline;	 /* true for a retry: never PLAN_REJECT */
};

enum plan_outcome {
	PLAN_CHOSEN,
	PLAN_WAIT, /* no capacity now; the deadline can be met or is ignored */
	PLAN_REJECT, /* no candidate can meet the deadline, even if idle */
};

/* A prefill and a decode endpoint for one request. */
struct plan_pair {
	uint32_t prefill_index;	   /* into the prefill candidates */
	uint32_t decode_index;	   /* into the decode candidates */
	uint32_t prefill_tokens;   /* of the prompt, without the cached ones */
	uint32_t queue_max_tokens; /* limit of waiting work ahead, at least 1 */
	int64_t first_token_us;	   /* estimated time from now */
};

/* Sets the times per token that are assumed before the first observation. */
void plan_estimator_init(struct plan_estimator *e);

/*
 * Adds a prefill that took took_us from its order to its end. tokens is its own
 * uncached work and the work that was queued ahead of it.
 */
void plan_estimator_observe_prefill(struct plan_estimator *e, uint32_t tokens,
				    int64_t took_us);

/*
 * Adds a transfer of the KV result of a prompt. took_us includes the wait for
 * the link.
 */
void plan_estimator_observe_transfer(struct plan_estimator *e, uint32_t tokens,
				     int64_t took_us);

/*
 * Returns the estimated time to the first token, in microseconds, if the
 * prefill is sent to p now.
 */
int64_t plan_estimate_first_token_us(const struct plan_request *r,
				     const struct plan_prefill_candidate *p);

/*
 * Chooses among n prefill and m decode candidates. *out is written only if
 * PLAN_CHOSEN is returned. If there are no prefill candidates, returns
 * PLAN_REJECT, or PLAN_WAIT if the deadline is ignored.
 */
enum plan_outcome plan_choose(const struct plan_request *r,
			      const struct plan_prefill_candidate *prefill,
			      uint32_t n,
			      const struct plan_decode_candidate *decode,
			      uint32_t m, int64_t now_us,
			      struct plan_pair *out);

/*
 * Returns the rank of an endpoint for a prefix by rendezvous hashing; the
 * highest one is preferred. All hosts compute the same rank.
 */
uint64_t plan_affinity(uint64_t prefix, const char *endpoint);

/*
 * Index of the prefixes that the endpoints' caches may hold: a hash table of
 * fixed size with open addressing. Entries are hints. A new entry pushes older
 * ones along its probe sequence and drops the last one, roughly the oldest.
 */
struct plan_prefix_entry {
	uint64_t prefix_hash;	/* of the prompt up to the end of a block */
	uint32_t endpoint_hash; /* of the endpoint's name; 0 if unused */
};

struct plan_prefix_index {
	struct plan_prefix_entry entry[PLAN_PREFIX_INDEX_ENTRIES];
};

void plan_prefix_index_init(struct plan_prefix_index *p);

/*
 * Records that an endpoint has a prefix in its cache, after a cache event or a
 * prefill at the endpoint.
 */
void plan_prefix_index_add(struct plan_prefix_index *p, const char *endpoint,
			   uint64_t hash);

/* Records that an endpoint no longer has a prefix in its cache. */
void plan_prefix_index_remove(struct plan_prefix_index *p, const char *endpoint,
			      uint64_t hash);

/*
 * Returns how many tokens at the start of a prompt the endpoint may have
 * cached. hash[i] is the hash of the prompt up to the end of its block i.
 */
uint32_t plan_prefix_index_cached_tokens(const struct plan_prefix_index *p,
					 const char *endpoint,
					 const uint64_t *hash, uint32_t blocks);

#endif
