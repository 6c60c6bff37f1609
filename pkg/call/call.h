#ifndef FIGBEND_CALL_H
#define FIGBEND_CALL_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The routing metadata of a caller's request, independent of the protocol it
 * arrived by: client account, deadline and token counts. The method, the target,
 * the body and all other headers are not interpreted.
 */

#define CALL_ID_BYTES 64
#define CALL_NAME_BYTES 64
#define CALL_KEY_BYTES 96

enum call_kind {
	CALL_IDEMPOTENT,     /* may be executed more than once */
	CALL_NON_IDEMPOTENT, /* may be executed at most once */
	CALL_STREAM, /* event stream; executed again only if resumable */
};

#define CALL_PARTS_MAX 16

/* What the caller declares of a prompt for a model engine. */
struct call_prompt {
	bool present; /* false if the request declares no token counts */
	uint32_t prompt_tokens;
	uint32_t output_max_tokens;
	uint32_t output_expected_tokens; /* caller's estimate, 0 if none */
	/* Hashes of the ids of the parts that other prompts may share, in their
	 * order; the last part of a prompt is its own and not among them. */
	uint64_t shared_part[CALL_PARTS_MAX];
	uint32_t n_shared_parts;
};

/* Routing metadata from a request head. All strings are copies. */
struct call_head {
	char id[CALL_ID_BYTES];	  /* request id that the caller chose */
	char key[CALL_KEY_BYTES]; /* API key, "" if none */
	char host[256];		  /* Host header, possibly with a port */
	char path[1024];	  /* without the query */
	uint32_t deadline_ms;	  /* time allowed, 0 if not given */
	int64_t last_event_id;	  /* last event the caller has, -1 if none */
	struct call_prompt prompt;
};

/* The part of a request that one attempt asks an endpoint to execute. */
enum call_phase {
	CALL_FULL,    /* the whole request */
	CALL_PREFILL, /* prefill only; the endpoint keeps the result */
	CALL_DECODE,  /* decode only; the endpoint imports a prefill result */
};

/* Parameters of one attempt at an endpoint. All strings are borrowed. */
struct call_attempt {
	enum call_phase phase;
	const char *endpoint_id; /* expected endpoint, NULL for any */
	const char *account;	 /* NULL if none */
	uint32_t deadline_ms;	 /* time remaining, 0 if unlimited */
	int priority;		 /* 0 (highest) to 9, -1 if not given */
	/* For CALL_DECODE: the endpoint that keeps the prefill result, and the
	 * handle of the result there. */
	const char *prefill_addr;
	const char *prefill_handle;
	/* Address of an endpoint that may cache the prompt, or NULL. */
	const char *kv_fetch_addr;
	const char *reservation; /* id of the reservation to use, or NULL */
	int64_t last_event_id;	 /* event to resume after, -1 to start anew */
};

/*
 * Metadata of an endpoint's response, without its status and body. Strings are
 * borrowed from the response head.
 */
struct call_response {
	const char *request_id; /* id of the request answered, or NULL */
	/* NULL if the response does not come from the endpoint itself. */
	const char *signature;
	bool not_executed; /* the endpoint states that it executed nothing */
	bool encoded;	   /* an intermediary added a content coding */
	bool has_load;	   /* running, waiting and slots are valid */
	uint32_t running;  /* requests being executed */
	uint32_t waiting;  /* requests in the endpoint's queue */
	uint32_t slots;	   /* requests that can run at once */
	bool has_slowness; /* slowness_percent is valid */
	/* How long work takes on the endpoint's machine now; 100 is usual. */
	uint32_t slowness_percent;
	/* Requests a second that the endpoint takes from all hosts together, in
	 * thousandths; 0 if it names no limit. */
	uint32_t limit_milli_per_s;
	bool leaving; /* the endpoint is about to stop */
	/* For how long the endpoint wants nothing more from this host; 0 if it
	 * does not say so. */
	uint32_t retry_after_ms;
};

#endif
