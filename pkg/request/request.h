#ifndef FIGBEND_REQUEST_H
#define FIGBEND_REQUEST_H

#include <stdbool.h>
#include <stdint.h>

/*
 * One model request, step by step, as a pure state machine: charge, queue,
 * reserve, prefill, transfer, decode, finish. The daemon turns what happens
 * into events and carries out the actions; tests do the same with fakes under
 * a virtual clock. Attempts are numbered: an event of an earlier attempt is
 * late and changes nothing but the count of such events.
 */

#define REQUEST_ID_BYTES 48
#define REQUEST_NAME_BYTES 64
#define REQUEST_EXCLUDED_MAX 8
#define REQUEST_ACTIONS_MAX 12

enum request_state {
	REQUEST_NEW,
	REQUEST_CHARGING,
	REQUEST_QUEUED,
	REQUEST_RESERVING,
	REQUEST_PREFILLING,
	REQUEST_TRANSFERRING,
	REQUEST_DECODING,
	REQUEST_DONE,
};

/* Why a step failed, as far as the transport can tell. */
enum request_fault {
	REQUEST_FAULT_REFUSED,	/* the endpoint said so: the step did not run */
	REQUEST_FAULT_NOT_SENT, /* no byte was sent: the step did not run */
	REQUEST_FAULT_CONN_LOST, /* the connection broke; the step may have run */
	REQUEST_FAULT_TIMEOUT, /* no progress in time; the step may have run */
	REQUEST_FAULT_BAD_RESPONSE, /* an answer that is malformed or not ours */
	REQUEST_FAULT_EXPIRED,	    /* the KV result is gone */
	REQUEST_FAULT_CRASHED, /* the endpoint restarted while the step ran */
};

/* Why a request ends without its whole answer. */
enum request_error {
	REQUEST_ERR_RATE_LIMITED,  /* 429 */
	REQUEST_ERR_OVER_BURST,	   /* 413: can never run within the burst */
	REQUEST_ERR_OVERLOADED,	   /* 503: would miss the first token target */
	REQUEST_ERR_UNAVAILABLE,   /* 503: no endpoint can be had */
	REQUEST_ERR_STOPPING,	   /* 503: this host is in a graceful stop */
	REQUEST_ERR_QUARANTINED,   /* 503: it crashed endpoints before */
	REQUEST_ERR_FAILED,	   /* 502: attempts or retry budget used up */
	REQUEST_ERR_TIMED_OUT,	   /* 504 */
	REQUEST_ERR_KEY_WITHDRAWN, /* 401 */
	REQUEST_ERR_COUNT,
};

struct request_policy {
	uint32_t attempts_max;
};

struct request {
	char id[REQUEST_ID_BYTES];
	char account[REQUEST_NAME_BYTES];
	char model[REQUEST_NAME_BYTES];
	enum request_state state;
	struct request_policy policy;
	uint32_t prompt_tokens; /* estimate until an endpoint has counted */
	uint32_t output_max_tokens;
	uint32_t sent_tokens; /* handed to the caller, each once */
	uint32_t attempt;     /* from 1 */
	uint32_t resumes;     /* of this attempt since the last token */
	uint32_t late_events;
	uint32_t duplicate_tokens; /* sent again by an endpoint and dropped */
	bool charged;
	bool reserved;
	bool prefill_outstanding; /* an endpoint may hold a KV result for us */
	bool decode_outstanding;  /* an endpoint may be decoding for us */
	bool maybe_executed; /* a step that costs engine time may have run */
	bool maybe_executed_before; /* in an earlier attempt */
	char prefill_endpoint
		[REQUEST_NAME_BYTES]; /* endpoints of this attempt */
	char decode_endpoint[REQUEST_NAME_BYTES];
	char excluded[REQUEST_EXCLUDED_MAX][REQUEST_NAME_BYTES];
	uint32_t excluded_n;
	int64_t arrived_us;
	int64_t first_token_deadline_us; /* first token is due */
	int64_t deadline_us;		 /* the whole answer is due */
	int64_t first_token_us;		 /* 0 until there is one */
	int64_t last_token_us;
};

enum request_event_kind {
	REQUEST_EV_START,
	REQUEST_EV_CHARGED,
	REQUEST_EV_REFUSED,   /* by the controller of the step under way */
	REQUEST_EV_SCHEDULED, /* the fair queue let it go */
	REQUEST_EV_RESERVED,
	REQUEST_EV_PREFILLED,
	REQUEST_EV_TRANSFERRED,
	REQUEST_EV_TOKENS,
	REQUEST_EV_ENDED, /* the endpoint finished the answer */
	REQUEST_EV_FAILED,
	REQUEST_EV_CALLER_DISCONNECTED,
	REQUEST_EV_KEY_WITHDRAWN,
	REQUEST_EV_DEADLINE,
};

struct request_event {
	enum request_event_kind kind;
	uint32_t attempt; /* of the step it answers */
	union {
		enum request_error error;
		struct {
			const char *prefill_endpoint;
			const char *decode_endpoint;
		} reserved;
		struct {
			uint32_t prompt_tokens;
		} prefilled;
		struct {
			uint32_t position; /* of the first, from 0 */
			uint32_t n;
		} tokens;
		struct {
			uint32_t tokens; /* length of the whole answer */
		} ended;
		struct {
			enum request_fault fault;
			bool retry_allowed; /* by the retry budget */
			bool blame_prefill; /* else the decode endpoint */
		} failed;
	};
};

enum request_action_kind {
	REQUEST_DO_CHARGE,
	REQUEST_DO_ENQUEUE,
	REQUEST_DO_CANCEL_WAIT, /* leave the queue or the reservation */
	REQUEST_DO_RESERVE,
	REQUEST_DO_PREFILL,
	REQUEST_DO_TRANSFER,
	REQUEST_DO_DECODE,  /* from position sent_tokens, also to resume */
	REQUEST_DO_FORWARD, /* tokens to the caller */
	REQUEST_DO_FINISH,  /* the answer is whole */
	REQUEST_DO_REFUSE,  /* an error, nothing was sent */
	REQUEST_DO_ABORT,   /* an error after some tokens */
	REQUEST_DO_CANCEL,  /* until the endpoint confirms */
	REQUEST_DO_RELEASE, /* the reservation */
	REQUEST_DO_SETTLE,  /* the charge */
};

struct request_action {
	enum request_action_kind kind;
	uint32_t attempt;
	union {
		struct {
			uint32_t skip; /* tokens of the event to drop */
			uint32_t n;
		} forward;
		struct {
			enum request_error error;
			bool not_executed;
		} refuse; /* REFUSE and CUT */
		struct {
			bool prefill;
			bool decode;
		} cancel;
		struct {
			bool not_executed; /* give the prompt's charge back */
		} settle;
	};
};

struct request_actions {
	struct request_action item[REQUEST_ACTIONS_MAX];
	uint32_t n;
};

void request_init(struct request *r, const char *id, const char *account,
		  const char *model, const struct request_policy *policy);
int request_step(struct request *r, const struct request_event *ev,
		 int64_t now_us, struct request_actions *out);
/* Whether a fault of the step under way would be answered by a resume. */
bool request_can_resume(const struct request *r, enum request_fault f);
bool request_excludes(const struct request *r, const char *endpoint);
const char *request_state_name(enum request_state s);
const char *request_error_code(enum request_error why);
const char *request_fault_name(enum request_fault f);

#endif
