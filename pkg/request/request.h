#ifndef FIGBEND_REQUEST_H
#define FIGBEND_REQUEST_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The life of one model request as a finite state machine: charge, queue,
 * reserve, prefill, transfer, decode, finish. Input is one event at a time;
 * output is a list of actions, which the caller carries out in order. The
 * machine does no I/O, reads no clock and allocates nothing.
 *
 * A decode stream that breaks is first resumed at the same endpoint. Any other
 * failed step is retried from the reservation, as a new attempt that excludes
 * the endpoint at fault, if the policy and the retry budget allow it.
 *
 * Attempts are numbered. An event that belongs to an earlier attempt, or to a
 * step that is over, is late: it is counted and otherwise ignored. Events may
 * therefore be delayed and reordered, except REQUEST_EV_REFUSED: it is not
 * matched against the attempt, and must not be passed for an earlier one.
 *
 * Invariants: output tokens are forwarded to the caller in order, without gaps
 * or duplicates. In REQUEST_DONE nothing is left behind: all that was
 * outstanding at endpoints was completed or canceled, the reservation was
 * released, and the charge was settled once.
 *
 * now_us is the caller's monotonic clock in microseconds; it is only recorded.
 */

/* Sizes of strings, with the terminating zero. */
#define REQUEST_ID_BYTES 48
#define REQUEST_NAME_BYTES 64

#define REQUEST_EXCLUDED_MAX 8
#define REQUEST_ACTIONS_MAX 12 /* for one event */

enum request_state {
	REQUEST_NEW,
	REQUEST_CHARGING, /* waits until its account is charged */
	REQUEST_QUEUED,
	REQUEST_RESERVING, /* waits for slots at both endpoints */
	REQUEST_PREFILLING,
	REQUEST_TRANSFERRING, /* the decode endpoint imports the KV cache */
	REQUEST_DECODING,
	REQUEST_DONE,
};

/* Why a step failed at an endpoint, as far as the transport can tell. */
enum request_fault {
	REQUEST_FAULT_REFUSED,	    /* by the endpoint; not executed */
	REQUEST_FAULT_NOT_SENT,	    /* no byte was sent; not executed */
	REQUEST_FAULT_CONN_LOST,    /* may have been executed */
	REQUEST_FAULT_TIMEOUT,	    /* no progress; may have been executed */
	REQUEST_FAULT_BAD_RESPONSE, /* malformed, incomplete or misrouted */
	REQUEST_FAULT_EXPIRED,	    /* the KV cache no longer exists */
	REQUEST_FAULT_CRASHED,	    /* the endpoint restarted meanwhile */
};

/* Why a request ends without a complete response; with the HTTP status. */
enum request_error {
	REQUEST_ERR_RATE_LIMITED,  /* 429 */
	REQUEST_ERR_OVER_BURST,	   /* 413: prompt larger than the burst */
	REQUEST_ERR_OVERLOADED,	   /* 503: first token would be too late */
	REQUEST_ERR_UNAVAILABLE,   /* 503: no endpoint can be reserved */
	REQUEST_ERR_STOPPING,	   /* 503: this host is shutting down */
	REQUEST_ERR_QUARANTINED,   /* 503: the request crashed endpoints */
	REQUEST_ERR_FAILED,	   /* 502: attempts or retry budget used up */
	REQUEST_ERR_TIMED_OUT,	   /* 504 */
	REQUEST_ERR_KEY_WITHDRAWN, /* 401 */
	REQUEST_ERR_COUNT,
};

struct request_policy {
	uint32_t attempts_max; /* includes the first */
};

struct request {
	char id[REQUEST_ID_BYTES];
	char account[REQUEST_NAME_BYTES];
	char model[REQUEST_NAME_BYTES];
	enum request_state state;
	struct request_policy policy;
	uint32_t prompt_tokens; /* an estimate until the prefill is done */
	uint32_t output_max_tokens;
	uint32_t sent_tokens;	   /* forwarded to the caller */
	uint32_t attempt;	   /* number of the current attempt, from 1 */
	uint32_t resumes;	   /* in this attempt since its last token */
	uint32_t late_events;	   /* events that were ignored */
	uint32_t duplicate_tokens; /* repeated by an endpoint and dropped */
	bool charged;
	bool reserved;
	/* Set if the step has to be canceled when the attempt is given up. */
	bool prefill_outstanding; /* running, or its KV cache is kept */
	bool decode_outstanding;  /* importing the KV cache, or decoding */
	/* Set if a step that costs engine time may have been executed. */
	bool maybe_executed;	    /* in any attempt */
	bool maybe_executed_before; /* in an earlier attempt */
	/* Endpoints of the current attempt, "" before the first. */
	char prefill_endpoint[REQUEST_NAME_BYTES];
	char decode_endpoint[REQUEST_NAME_BYTES];
	/* Endpoints that failed this request; the oldest is overwritten. */
	char excluded[REQUEST_EXCLUDED_MAX][REQUEST_NAME_BYTES];
	uint32_t excluded_n; /* number excluded, overwritten ones included */
	int64_t arrived_us;
	int64_t first_token_deadline_us; /* latest time for the first token */
	int64_t deadline_us;	/* latest time for the complete response */
	int64_t first_token_us; /* 0 before the first token */
	int64_t last_token_us;	/* 0 before the first token */
};

enum request_event_kind {
	REQUEST_EV_START,
	REQUEST_EV_CHARGED,
	REQUEST_EV_REFUSED,   /* charge, queueing or reservation denied */
	REQUEST_EV_SCHEDULED, /* removed from the queue as the next one */
	REQUEST_EV_RESERVED,
	REQUEST_EV_PREFILLED,
	REQUEST_EV_TRANSFERRED,
	REQUEST_EV_TOKENS,
	REQUEST_EV_ENDED,  /* the endpoint has sent its last token */
	REQUEST_EV_FAILED, /* a step at an endpoint failed */
	REQUEST_EV_CALLER_DISCONNECTED,
	REQUEST_EV_KEY_WITHDRAWN,
	REQUEST_EV_DEADLINE, /* deadline_us has passed, or a forced stop */
};

/* Strings are borrowed for the call of request_step(). */
struct request_event {
	enum request_event_kind kind;
	/*
	 * The attempt it belongs to. Ignored in REFUSED, CALLER_DISCONNECTED,
	 * KEY_WITHDRAWN and DEADLINE.
	 */
	uint32_t attempt;
	union {
		enum request_error error; /* of REFUSED */
		struct {
			const char *prefill_endpoint;
			const char *decode_endpoint;
		} reserved;
		struct {
			uint32_t prompt_tokens; /* as counted by the endpoint */
		} prefilled;
		struct {
			uint32_t position; /* of the first token, from 0 */
			uint32_t n;
			/* By the retry budget; needed after a gap. */
			bool retry_allowed;
		} tokens;
		struct {
			uint32_t tokens; /* length of the complete output */
			/* By the retry budget; needed if it is incomplete. */
			bool retry_allowed;
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
	REQUEST_DO_CANCEL_WAIT, /* for the charge, queue or reservation */
	REQUEST_DO_RESERVE,
	REQUEST_DO_PREFILL,
	REQUEST_DO_TRANSFER,
	REQUEST_DO_DECODE,  /* start or resume at position sent_tokens */
	REQUEST_DO_FORWARD, /* tokens to the caller */
	REQUEST_DO_FINISH,  /* the response is complete */
	REQUEST_DO_REFUSE,  /* an error before the first token */
	REQUEST_DO_ABORT,   /* an error after some tokens */
	REQUEST_DO_CANCEL,  /* at the endpoints, until they confirm it */
	REQUEST_DO_RELEASE, /* the reservation */
	REQUEST_DO_SETTLE,  /* the charge */
};

struct request_action {
	enum request_action_kind kind;
	uint32_t attempt; /* the attempt it belongs to */
	union {
		struct {
			uint32_t skip; /* first tokens of the event to drop */
			uint32_t n;    /* tokens to forward after them */
		} forward;
		struct {
			enum request_error error;
			bool not_executed; /* certainly, by any endpoint */
		} refuse;		   /* also of REQUEST_DO_ABORT */
		struct {
			bool prefill; /* at the prefill endpoint */
			bool decode;  /* at the decode endpoint */
		} cancel;
		struct {
			bool not_executed; /* refund the prompt tokens */
		} settle;
	};
};

struct request_actions {
	struct request_action item[REQUEST_ACTIONS_MAX];
	uint32_t n;
};

/*
 * Initializes a request in REQUEST_NEW; REQUEST_EV_START starts it. Strings and
 * policy are copied, and strings are truncated to the size of their fields. The
 * caller then sets token counts and deadlines. Nothing has to be freed.
 */
void request_init(struct request *r, const char *id, const char *account,
		  const char *model, const struct request_policy *policy);
/*
 * Processes an event and appends the resulting actions to out, of which n must
 * be 0. Returns 0, or -EALREADY for a late event, which has no actions.
 */
int request_step(struct request *r, const struct request_event *ev,
		 int64_t now_us, struct request_actions *out);
/*
 * Returns true if the current step would be resumed after the fault, so that no
 * retry has to be consumed from the budget.
 */
bool request_can_resume(const struct request *r, enum request_fault f);
/* Returns true if the endpoint failed this request and is to be avoided. */
bool request_excludes(const struct request *r, const char *endpoint);
const char *request_state_name(enum request_state s);
/* Returns the error code that callers receive in the response body. */
const char *request_error_code(enum request_error e);
const char *request_fault_name(enum request_fault f);

#endif
