#ifndef FIGBEND_ENGINE_H
#define FIGBEND_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fetch.h"

/*
 * What the router asks of a model engine, and what it hears back. How an engine
 * is spoken to is its form; a form is one file. A run is one attempt of one
 * request; its id stands in every order and every answer, so that an answer that
 * is not ours is told apart.
 */

#define ENGINE_ADDR_BYTES 64
#define ENGINE_RUN_BYTES 64
#define ENGINE_KV_BYTES 64
#define ENGINE_RUNNING_MAX 64

enum engine_form {
	ENGINE_FORM_HTTP,
};

enum engine_op {
	ENGINE_PREFILL,
	ENGINE_TRANSFER,
	ENGINE_DECODE,
	ENGINE_CANCEL,
	ENGINE_LOAD,
	ENGINE_EVENTS,
	ENGINE_ORDER,
};

struct engine_order {
	enum engine_op op;
	const char *addr;
	const char *run;
	uint64_t fence; /* offset of the epoch under which the order is given */
	uint32_t silence_ms; /* longest time without progress */
	bool fresh;	     /* not on a connection that was used before */
	union {
		struct {
			const char *model;
			const char *prompt;
			const char *generated; /* output sent before, or "" */
			uint64_t seed;
			uint32_t max_tokens;
			uint32_t priority;
		} prefill;
		struct {
			const char *kv;
			const char *from; /* address of the prefill endpoint */
		} transfer;
		struct {
			uint32_t position; /* first token that is wanted */
		} decode;
		struct {
			uint64_t from; /* first event that is wanted */
		} events;
		struct {
			const char *name; /* load-model, load-adapter, role */
			const char *argument;
		} order;
	};
};

enum engine_event_kind {
	ENGINE_EV_PREFILLED,
	ENGINE_EV_TRANSFERRED,
	ENGINE_EV_TOKEN,
	ENGINE_EV_ENDED,
	ENGINE_EV_CANCELLED,
	ENGINE_EV_LOAD,
	ENGINE_EV_CACHED,      /* one cache event */
	ENGINE_EV_EVENTS_READ, /* all cache events of an answer were given */
	ENGINE_EV_ORDERED,
	ENGINE_EV_FAILED,
};

enum engine_fault {
	ENGINE_REFUSED,	  /* it said no: full, cold, leaving, stale fence */
	ENGINE_UNREACHED, /* surely nothing was sent */
	ENGINE_BROKEN,	  /* the connection broke in the middle */
	ENGINE_SILENT,	  /* no progress in time */
	ENGINE_WRONG,	  /* malformed, or of another run */
	ENGINE_EXPIRED,	  /* the KV result or the run is gone */
};

struct engine_load {
	uint64_t boot; /* start of the engine, microseconds since the epoch */
	uint32_t slots;
	uint32_t slots_used;
	uint32_t pieces;
	uint32_t pieces_used;
	uint32_t queued_tokens; /* prefill work that waits */
	bool cold;
	bool leaving;
	char running[ENGINE_RUNNING_MAX][ENGINE_RUN_BYTES];
	uint32_t running_n;
};

struct engine_event {
	enum engine_event_kind kind;
	union {
		struct {
			const char *kv;
			uint32_t prompt_tokens;
			uint32_t lifetime_ms;
			uint32_t cached_tokens;
		} prefilled;
		struct {
			uint32_t position;
			const char *text;
		} token;
		struct {
			uint32_t tokens; /* of the whole answer */
			bool length;	 /* ended by the limit on tokens */
		} ended;
		struct {
			bool was_known;
		} cancelled;
		struct engine_load load;
		struct {
			uint64_t event;
			uint64_t prefix; /* hash of a block of prompt */
			bool evicted;
		} cached;
		struct {
			uint64_t next;
		} events_read;
		struct {
			enum engine_fault fault;
			char detail[64];
		} failed;
	};
};

struct engine_call;
typedef void (*engine_take)(void *ctx, struct engine_call *c,
			    const struct engine_event *ev);

/*
 * One order under way, in memory of the caller's. After ENDED, FAILED and the
 * other single answers it may be reused. An owner that frees it from within take
 * calls engine_cancel_call() first, also then.
 */
struct engine_call {
	struct fetch_call fetch;
	struct engine *engine;
	char addr[ENGINE_ADDR_BYTES];
	enum engine_op op;
	char run[ENGINE_RUN_BYTES];
	engine_take take;
	void *ctx;
	char *line; /* an unfinished line of a stream */
	size_t line_n;
	bool *freed; /* set where the owner ends the call from within take */
	bool ended;
};

/* Endpoints whose open connections may have gone silent. */
#define ENGINE_SILENT_MAX 64

struct engine_silent {
	char addr[ENGINE_ADDR_BYTES];
	ev_tstamp until; /* of the loop's clock */
};

struct engine {
	struct fetch *fetch;
	enum engine_form form;
	uint32_t connect_ms;
	struct engine_silent silent[ENGINE_SILENT_MAX];
	uint32_t silent_next;
};

void engine_init(struct engine *e, struct fetch *f, enum engine_form form,
		 uint32_t connect_ms);
int engine_start(struct engine *e, struct engine_call *c,
		 const struct engine_order *o, engine_take take, void *ctx);
void engine_cancel_call(struct engine_call *c);
/* Sends no order to the endpoint on a connection that is open now. */
void engine_distrust(struct engine *e, const char *addr);
bool engine_distrusts(const struct engine *e, const char *addr);
const char *engine_fault_name(enum engine_fault f);
/* Prefix hash of a block of prompt, as cache events name it. */
uint64_t engine_prefix_hash(const char *prompt, size_t n);

#endif
