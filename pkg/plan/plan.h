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
#define PLAN_BLOCK_TOKENS 256
#define PLAN_PREFIXES 8192 /* remembered, over all endpoints */

/* How fast an endpoint works, measured as it does. */
struct plan_speed {
	double prefill_token_us;
	double transfer_token_us; /* of the KV result over the link */
	double prefill_us; /* sums that fade, of which they are quotients */
	double prefill_tokens;
	double transfer_us;
	double transfer_tokens;
};

struct plan_prefill {
	const struct plan_speed *speed;
	uint32_t queued_tokens; /* work in front */
	uint32_t link_tokens;	/* KV that waits for the link */
	uint32_t cached_tokens; /* of the prompt, as far as is known */
	uint64_t affinity;	/* rank for the prefix where nothing is known */
	bool has_capacity;
};

struct plan_decode {
	uint32_t slots_used;
	uint32_t slots;
	bool has_capacity;
};

struct plan_job {
	uint32_t prompt_tokens;
	int64_t due_us;	   /* the first token */
	uint32_t step_us;  /* a decode step, for the first token */
	bool after_target; /* a retry: runs also where the target is missed */
};

enum plan_outcome {
	PLAN_PAIR,
	PLAN_WAIT, /* no room now, but in time later */
	PLAN_LATE, /* the first token can't come in time */
};

struct plan_pair {
	uint32_t prefill;
	uint32_t decode;
	uint32_t tokens;	   /* prefill work that is not cached */
	uint32_t queue_max_tokens; /* do not queue behind more */
	int64_t first_token_us;	   /* from now */
};

void plan_speed_init(struct plan_speed *s);
/* A prefill of so much work, with what was in front of it, took so long. */
void plan_speed_prefill(struct plan_speed *s, uint32_t tokens, int64_t took_us);
void plan_speed_transfer(struct plan_speed *s, uint32_t tokens,
			 int64_t took_us);

int64_t plan_first_token_us(const struct plan_job *j,
			    const struct plan_prefill *p);
enum plan_outcome plan_choose(const struct plan_job *j,
			      const struct plan_prefill *prefill, uint32_t n,
			      const struct plan_decode *decode, uint32_t m,
			      int64_t now_us, struct plan_pair *out);
/* Rank of an endpoint for a prefix: the same on every host. */
uint64_t plan_affinity(uint64_t prefix, const char *endpoint);

/* What endpoints' prefix caches hold: hints, forgotten oldest first. */
struct plan_prefix {
	uint64_t hash;	   /* of the prompt up to the end of a block */
	uint32_t endpoint; /* hash of its name; 0: the place is free */
};

struct plan_prefixes {
	struct plan_prefix entry[PLAN_PREFIXES];
};

void plan_prefixes_init(struct plan_prefixes *p);
void plan_prefixes_add(struct plan_prefixes *p, const char *endpoint,
		       uint64_t hash);
void plan_prefixes_remove(struct plan_prefixes *p, const char *endpoint,
			  uint64_t hash);
uint32_t plan_prefixes_cached_tokens(const struct plan_prefixes *p,
				     const char *endpoint, const uint64_t *hash,
				     uint32_t blocks);

#endif
