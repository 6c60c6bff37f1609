#ifndef FIGBEND_STANDIN_ENGINE_H
#define FIGBEND_STANDIN_ENGINE_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "fetch.h"
#include "httpd.h"
#include "jread.h"

/*
 * An emulator of a batching model engine, for tests and measurement: prefill
 * time grows with the prompt tokens that its prefix cache lacks, a decode step
 * with the batch; a KV result lives for a while; memory comes in pieces.
 */

#define NAME_BYTES 64
#define PIECE_TOKENS 4096
#define BLOCK_BYTES 1024 /* of prompt, as the prefix cache counts */
#define CACHE_BLOCKS 4096
#define CACHE_EVENTS 1024

struct timing {
	uint32_t prefill_us;	   /* constant part */
	uint32_t prefill_token_us; /* for each token not cached */
	uint32_t step_us;	   /* constant part of a decode step */
	uint32_t step_run_us;	   /* for each run of the batch */
	uint32_t kv_token_bytes;   /* of the transfer */
	uint64_t link_bytes_s;
	uint32_t kv_lifetime_ms;
	uint32_t load_lag_ms;
	uint32_t event_lag_ms;
	uint32_t cold_ms;    /* after the start */
	uint32_t cold_slots; /* it falls over beyond these while cold */
};

enum run_state {
	RUN_QUEUED, /* waits for its prefill */
	RUN_PREFILLING,
	RUN_HELD, /* the KV result waits to be exported */
	RUN_IMPORTING,
	RUN_READY, /* imported, waits for the decode order */
	RUN_DECODING,
};

struct engine;

/* One run: on a prefill engine until exported, on a decode engine until done. */
struct run {
	struct engine *engine;
	char id[NAME_BYTES];
	enum run_state state;
	uint64_t hash;
	uint64_t expected_hash; /* of generated text that does not fit */
	uint32_t prompt_tokens;
	uint32_t cached_tokens;
	uint32_t generated; /* tokens made before this run */
	uint32_t position;  /* next token */
	uint32_t length;
	uint32_t max_tokens;
	uint32_t pieces;
	bool marked;	 /* crashes the engine */
	uint64_t *block; /* prefix hashes of the prompt */
	uint32_t block_n;
	struct httpd_call *call; /* that waits for an answer or a stream */
	struct fetch_call import;
	ev_timer timer;
	TAILQ_ENTRY(run) entry;
};
TAILQ_HEAD(runs, run);

struct faults {
	bool hang; /* takes orders and answers nothing */
	bool stall_transfer;
	bool late;     /* answers are held back by late_ms */
	bool crossed;  /* answers carry the run of another */
	bool stale_ok; /* takes orders with an old fencing number */
	bool full;
	bool lose_events; /* every second cache event is never told */
	uint32_t late_ms;
	uint64_t silent_to; /* connections up to this number carry nothing */
};

struct cache_event {
	uint64_t number;
	uint64_t prefix;
	bool evicted;
	int64_t at_us;
};

struct record {
	int64_t at_us;
	char what[16];
	char run[NAME_BYTES];
	uint32_t tokens;
};

struct engine {
	struct ev_loop *loop;
	struct httpd httpd;
	struct httpd admin;
	struct fetch fetch;
	struct timing timing;
	struct faults faults;
	struct runs runs;
	ev_timer prefill_timer;
	ev_timer step_timer;
	ev_timer restart_timer;
	struct run *prefilling;
	int64_t link_free_us;
	uint64_t boot_us;
	int64_t started_us;
	uint64_t fence;
	uint32_t slots;
	uint32_t pieces;
	bool leaving;
	bool down;
	struct json_object *load; /* reported, with a lag */
	int64_t load_at_us;
	uint64_t cache[CACHE_BLOCKS];
	uint32_t cache_n;
	struct cache_event event[CACHE_EVENTS];
	uint64_t event_n;
	struct record *record;
	uint32_t record_n;
	uint32_t record_capacity;
	uint64_t prefills;
	uint64_t prefills_wasted;
	uint64_t tokens;
	uint64_t crashes;
};

int64_t now_us(void);
int engine_open(struct engine *e, const char *addr, const char *admin_addr);
void engine_crash(struct engine *e);
void engine_record(struct engine *e, const char *what, const char *run,
		   uint32_t tokens);
struct run *run_find(struct engine *e, const char *id);
struct run *run_new(struct engine *e, const char *id);
void run_free(struct run *r);
uint32_t engine_slots_used(const struct engine *e);
uint32_t engine_pieces_used(const struct engine *e);
bool engine_is_cold(const struct engine *e);

void reply(struct httpd_call *c, unsigned int status, struct json_object *o);
void reply_run(struct engine *e, struct httpd_call *c, unsigned int status,
	       struct json_object *o);
bool engine_is_silent(const struct engine *e, const struct httpd_call *c);
void reply_error(struct httpd_call *c, unsigned int status, const char *what);

void prefill_order(struct engine *e, struct httpd_call *c,
		   struct jread_node *root);
void prefill_export(struct engine *e, struct httpd_call *c,
		    struct jread_node *root);
void prefill_next(struct engine *e);
void cache_events(struct engine *e, struct httpd_call *c,
		  struct jread_node *root);
void decode_transfer(struct engine *e, struct httpd_call *c,
		     struct jread_node *root);
void decode_order(struct engine *e, struct httpd_call *c,
		  struct jread_node *root);
void decode_steps(struct engine *e);
void faults_handle(void *ctx, struct httpd_call *c);

#endif
