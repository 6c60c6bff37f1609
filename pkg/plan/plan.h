#ifndef FIGBEND_PLAN_H
#define FIGBEND_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Which prefill and which decode endpoint a request goes to, and when: so that
 * its decode slot is held for little longer than the prefill and the transfer
 * take, and its first token comes in time.
 */

#define PLAN_PREFIX_BLOCK_BYTES 1024
#define PLAN_PREFIX_BLOCK_TOKENS 256
#define PLAN_PREFIX_INDEX_ENTRIES 8192 /* remembered, over all endpoints */

/* How fast an endpoint works, measured as it does. */
struct plan_estimator {
	double prefill_token_us;
	double transfer_token_us; /* of the KV result over the link */
	double prefill_decayed_us; /* sums that fade, of which they are quotients */
	double prefill_decayed_tokens;
	double transfer_decayed_us;
	double transfer_decayed_tokens;
};

struct plan_prefill_candidate {
	const struct plan_estimator *estimator;
	uint32_t queued_tokens;	     /* work in front */
	uint32_t link_queued_tokens; /* KV that waits for the link */
	uint32_t cached_tokens;	     /* of the prompt, as far as is known */
	uint64_t affinity; /* rank for the prefix where nothing is known */
	bool has_capacity;
};

struct plan_decode_candidate {
	uint32_t slots_used;
	uint32_t slots;
	bool has_capacity;
};

struct plan_request {
	uint32_t prompt_tokens;
	int64_t first_token_deadline_us; /* the first token */
	uint32_t decode_step_us; /* a decode step, for the first token */
	bool ignore_deadline; /* a retry: runs also where the target is missed */
};

enum plan_outcome {
	PLAN_CHOSEN,
	PLAN_WAIT,   /* no room now, but in time later */
	PLAN_REJECT, /* the first token can't come in time */
};

struct plan_pair {
	uint32_t prefill_index;
	uint32_t decode_index;
	uint32_t prefill_tokens;   /* prefill work that is not cached */
	uint32_t queue_max_tokens; /* do not queue behind more */
	int64_t first_token_us;	   /* from now */
};

void plan_estimator_init(struct plan_estimator *s);
/* A prefill of so much work, with what was in front of it, took so long. */
void plan_estimator_observe_prefill(struct plan_estimator *s, uint32_t tokens,
				    int64_t took_us);
void plan_estimator_observe_transfer(struct plan_estimator *s, uint32_t tokens,
				     int64_t took_us);

int64_t plan_estimate_first_token_us(const struct plan_request *j,
				     const struct plan_prefill_candidate *p);
enum plan_outcome plan_choose(const struct plan_request *j,
			      const struct plan_prefill_candidate *prefill,
			      uint32_t n,
			      const struct plan_decode_candidate *decode,
			      uint32_t m, int64_t now_us,
			      struct plan_pair *out);
/* Rank of an endpoint for a prefix: the same on every host. */
uint64_t plan_affinity(uint64_t prefix, const char *endpoint);

/* What endpoints' prefix caches hold: hints, forgotten oldest first. */
struct plan_prefix_entry {
	uint64_t prefix_hash;	/* of the prompt up to the end of a block */
	uint32_t endpoint_hash; /* hash of its name; 0: the place is free */
};

struct plan_prefix_index {
	struct plan_prefix_entry entry[PLAN_PREFIX_INDEX_ENTRIES];
};

void plan_prefix_index_init(struct plan_prefix_index *p);
void plan_prefix_index_add(struct plan_prefix_index *p, const char *endpoint,
			   uint64_t hash);
void plan_prefix_index_remove(struct plan_prefix_index *p, const char *endpoint,
			      uint64_t hash);
uint32_t plan_prefix_index_cached_tokens(const struct plan_prefix_index *p,
					 const char *endpoint,
					 const uint64_t *hash, uint32_t blocks);

#endif
