#ifndef FIGBEND_CALL_H
#define FIGBEND_CALL_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A caller's request as the rest of the system sees it, whatever protocol it
 * came in: who asks, for how long, and how large the prompt is. The method, the
 * path, the body and other headers are passed through and not looked at.
 */

#define CALL_ID_BYTES 64
#define CALL_NAME_BYTES 64
#define CALL_KEY_BYTES 96

enum call_kind {
	CALL_IDEMPOTENT,     /* may run more than once */
	CALL_NON_IDEMPOTENT, /* may run once at most */
	CALL_STREAM, /* a stream of events; once, unless it can be resumed */
};

struct call_prompt {
	bool present;
	uint32_t prompt_tokens;
	uint32_t output_max_tokens;
	uint32_t output_expected_tokens; /* the caller's estimate; 0: none */
};

/* What the head of a request says. Strings are copies. */
struct call_head {
	char id[CALL_ID_BYTES];
	char key[CALL_KEY_BYTES];
	char host[256];
	char path[1024];       /* without the query */
	uint32_t deadline_ms;  /* 0: not said */
	int64_t last_event_id; /* the last event the caller has; -1: none */
	struct call_prompt prompt;
};

/* What kind of send to an endpoint a request makes. */
enum call_phase {
	CALL_FULL,    /* the endpoint does all of it */
	CALL_PREFILL, /* the endpoint reads the prompt and keeps the result */
	CALL_DECODE,  /* the endpoint takes a prefill's result and goes on */
};

/* How the request goes to an endpoint. */
struct call_attempt {
	enum call_phase phase;
	const char *endpoint_id;
	const char *account;	  /* NULL: none */
	uint32_t deadline_ms;	  /* what is left; 0: none */
	int priority;		  /* 0 first .. 9; -1: not said */
	const char *prefill_addr; /* of the prefill's result */
	const char *prefill_handle;
	const char *kv_fetch_addr; /* an endpoint that may keep the prompt */
	const char *reservation;   /* memory reserved before, or NULL */
	int64_t last_event_id; /* event to go on after; -1: from the start */
};

/* What an endpoint's answer says besides its status and body. */
struct call_response {
	const char *request_id; /* the request that it answers, or NULL */
	const char *signature;	/* NULL: not the endpoint's own answer */
	bool not_executed;	/* the endpoint's word that it ran nothing */
	bool encoded;		/* something on the way changed the body */
	bool has_load;
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
};

#endif
