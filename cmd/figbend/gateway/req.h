#ifndef FIGBEND_REQ_H
#define FIGBEND_REQ_H

#include "sse.h"
#include "gateway.h"

/*
 * A caller's request, from the arrival of its last byte to the end of its
 * response. Each request is a state machine that the event loop advances; all
 * times are microseconds of gateway_now_us().
 *
 * A request that an endpoint may have executed is sent again only if its route
 * is idempotent or a resumable stream. Each service has a retry budget.
 */

enum req_step {
	REQ_WAITING,	/* queued until an endpoint has capacity */
	REQ_RESERVING,	/* reserving memory at a decode endpoint */
	REQ_PREFILLING, /* a prefill endpoint processes the prompt */
	REQ_SENT,	/* sent to a plain or decode endpoint */
};

/* The size of excluded in struct fleet_query, to which the array is copied. */
#define REQ_EXCLUDED_MAX 4

struct req {
	TAILQ_ENTRY(req) entry;
	TAILQ_ENTRY(req) waiting_entry;
	struct gateway *g;
	struct h1_conn *conn;
	struct call_head call;
	struct directory *directory; /* reference; it owns the next three */
	const struct directory_route *route;
	const struct directory_account *account; /* NULL if none */
	const struct directory_service *service; /* NULL if not declared */
	double cost;	     /* charged to the account, in requests or tokens */
	int64_t received_us; /* when its last byte was read */
	int64_t deadline_us; /* earliest of the caller's and the route's */
	ev_timer deadline_timer;
	ev_timer step_timer; /* timeout of the current step */
	enum req_step step;
	bool is_waiting;       /* on the gateway's waiting list */
	int64_t wait_start_us; /* start of the present wait; 0 if none */
	double estimated_work; /* KV tokens times output tokens; 0 if plain */

	struct h1_exchange exchange; /* with an endpoint */
	/* The second exchange beside it, or its timer; NULL if none. */
	struct req_hedge *hedge;
	bool hedged;			 /* a second exchange was started */
	bool call_counted;		 /* by pkg/hedge */
	struct fleet_endpoint *endpoint; /* reference, or NULL if none chosen */
	/* Processes the prompt, or has done so; reference, or NULL. */
	struct fleet_endpoint *prefill_endpoint;
	uint32_t counted_tokens; /* KV memory counted at endpoint */
	bool counted;		 /* counted as running at endpoint */
	bool prefill_counted;	 /* prompt counted at prefill_endpoint */
	char reservation[ADAPTER_HANDLE_BYTES];	   /* empty if none */
	char prefill_handle[ADAPTER_HANDLE_BYTES]; /* empty if none */
	bool skip_prefill; /* the decode endpoint processes the prompt */
	int64_t sent_us;   /* start of the current exchange */
	/* An event, or the head of a plain response, arrived in the current
	 * exchange. */
	bool answer_began;
	uint32_t failed_attempts; /* connect failures excluded */
	/* Failed attempts that may have executed the request. */
	uint32_t executions;
	uint32_t reservations_denied;
	bool prefill_sent; /* a prefill was sent; no second one follows */
	/* An endpoint processed the prompt for the present attempt. */
	bool prompt_processed;
	uint32_t wasted_tokens; /* of prompts processed in vain */
	const char *wasted_by;	/* the last cause, or NULL */
	double retry_after_s;	/* of a refusal; 0 for the default */
	/* Endpoints not to choose again; references. */
	struct fleet_endpoint *excluded[REQ_EXCLUDED_MAX];
	uint32_t n_excluded;

	/* Response of the latest exchange. */
	uint16_t status;
	bool not_executed;    /* stated by the endpoint: it executed nothing */
	bool has_signature;   /* signed by the endpoint, body not re-encoded */
	bool until_close;     /* ends when the connection closes */
	struct h1_buf fields; /* header lines that go on to the caller */
	struct h1_buf body;
	size_t response_bytes; /* part of the gateway's response_bytes */

	/* Stream to the caller. */
	bool response_started; /* the header section was sent to the caller */
	struct sse_parser events;
	int64_t first_event_us;
	int64_t last_event_us;
	int64_t max_gap_us; /* longest time between two events */
	uint32_t resumes; /* times that the stream moved to another endpoint */

	struct rollouts_req rollout; /* rollouts_req.c */
};

/* req.c */

/*
 * The next four functions end the request: they log it, respond to the caller
 * and free r. reason is logged as why=.
 */

/*
 * Responds with 503 and Retry-After, and refunds the account. A request that an
 * endpoint may have executed fails with 502 instead, as by req_fail().
 */
void req_refuse(struct req *r, const char *reason);
/*
 * Refuses a request if it, or a part of its prompt, crashes endpoints. Returns
 * true if the request has ended.
 */
bool req_refuse_if_blocked(struct req *r);
/*
 * Refuses a request if no endpoint can serve it within the time for which it may
 * wait, by what the endpoints said. Returns true if the request has ended.
 */
bool req_refuse_if_unservable(struct req *r, const struct fleet_query *query,
			      int64_t may_wait_us);
/*
 * Refuses a request, like req_refuse(), because its service has no endpoint
 * that can be chosen. For a plain service that includes full endpoints; if
 * model engines are only full, req_refuse() is called instead. If this domain
 * is isolated, connections of callers close after their next response, so that
 * callers connect to other hosts.
 */
void req_refuse_no_endpoint(struct req *r, const char *reason);
/*
 * Responds with an error status, or aborts the caller's stream if the response
 * has started. The account is not refunded.
 */
void req_fail(struct req *r, uint16_t status, const char *reason);
/* Passes a complete response on to the caller, or ends its stream. */
void req_complete(struct req *r);

/*
 * Cancels the exchange, releases the reservation and the prefill result, and
 * frees r. The caller must have been responded to or be disconnected.
 */
void req_free(struct req *r);
/* Drops the reference to the endpoint and what is counted there. */
void req_detach_endpoint(struct req *r);
/*
 * Counts the prompt as processed in vain, if it was processed for the present
 * attempt, and logs the cause at the end of the request.
 */
void req_waste_prompt(struct req *r, enum stats_counter cause);
/* Returns true if the responses of all requests take too much memory. */
bool req_responses_are_full(const struct gateway *g);
/*
 * Counts the memory that the response takes by now. Returns NULL, or why it must not
 * go on: it is large, and all responses together take too much.
 */
const char *req_count_response(struct req *r);
/*
 * Buffers a part of the response. Returns NULL, or why the response cannot be
 * buffered: it, or the responses of all requests together, are too large.
 */
const char *req_buffer_response(struct req *r, const void *p, size_t n);
/* Drops what is buffered of the response. */
void req_drop_response(struct req *r);
/* Queues the request until an endpoint may have capacity. */
void req_enqueue(struct req *r);
/* Starts the next step; no exchange may be in progress. May free r. */
void req_advance(struct req *r);
/*
 * Returns true if the request may be sent again after an endpoint may have
 * executed it: on idempotent routes until the response starts, and on routes of
 * resumable streams.
 */
bool req_may_execute_again(const struct req *r);
/*
 * Returns true if a request that waits for its endpoint can go to another one now;
 * query is that for an endpoint. If it cannot, it should stay: the endpoint may be
 * only silent for a moment.
 */
bool req_may_move(struct req *r, struct fleet_query *query);
/* Excludes an endpoint from later choices; the first REQ_EXCLUDED_MAX count. */
void req_exclude_endpoint(struct req *r, struct fleet_endpoint *e);
/* Returns the microseconds until the deadline; negative once it has passed. */
int64_t req_remaining_us(const struct req *r);
/* Restarts the step timer, or only stops it if after_us is 0 or less. */
void req_set_step_timer(struct req *r, int64_t after_us);
/*
 * Consumes one retry of the service's retry budget. Returns false if the budget
 * is exhausted or the request is blocked because it crashed endpoints.
 */
bool req_consume_retry(struct req *r);
/*
 * Starts the exchange of a phase with an endpoint; h are the handlers of that
 * phase, with r as context. Returns 0, or a negative error number if no socket
 * can be opened; no handler is called then.
 */
int req_send(struct req *r, struct fleet_endpoint *e, enum call_phase phase,
	     const struct h1_exchange_handlers *h);

/*
 * The same for an exchange other than that of the request; its start is not recorded
 * in the request.
 */
int req_send_on(struct req *r, struct h1_exchange *x, struct fleet_endpoint *e,
		enum call_phase phase, const struct h1_exchange_handlers *h);

/* To which request a response belongs. */
enum req_answer {
	REQ_ANSWER_OWN,	    /* to the present exchange */
	REQ_ANSWER_FOREIGN, /* to another one */
	/* It names no request, and the connection was used before: the endpoint
	 * may have written an earlier response once more. */
	REQ_ANSWER_UNKNOWN,
};

#define REQ_UNKNOWN_REASON "response without the id of a request"

/*
 * Reads the head of a response of e. If it is the request's own, sets its status
 * and not_executed and records what the endpoint reports of itself; after a
 * refusal the connection is not used again.
 */
enum req_answer req_read_answer(struct req *r, struct fleet_endpoint *e,
				const struct h1_head *h,
				struct call_response *out);
/* The same for a response of the exchange x; sets nothing in the request. */
enum req_answer req_read_answer_on(struct req *r, struct h1_exchange *x,
				   struct fleet_endpoint *e,
				   const struct h1_head *h,
				   struct call_response *out);

/* stop.c: requests during a planned stop of this host. */

/* Returns false if a request that has arrived is refused because of the stop. */
bool stop_accepts(const struct req *r);
/*
 * Returns false if a request that has not been executed would probably not end
 * before this host does.
 */
bool stop_leaves_time(const struct req *r);

/* plain.c: services other than model engines. */

/* Sends the request to an endpoint, queues it or refuses it. May free r. */
void plain_advance(struct req *r);
/* Handles the step timer. May free r. */
void plain_timeout(struct req *r);
/* Fills the query for an endpoint of the request. */
void plain_fill_query(struct req *r, struct fleet_query *query);
/* Starts the time-out of the request's only attempt, if a retry would help. */
void plain_start_timeout(struct req *r);
/* The handlers of the request's own exchange. */
extern const struct h1_exchange_handlers plain_handlers;

/* How an attempt at a plain endpoint ended. */
struct plain_result {
	enum fleet_outcome outcome;
	bool may_have_executed;
	const char *reason; /* "" if it is FLEET_SUCCESS */
};

/* The parts of a response that an attempt is judged by. */
struct plain_response {
	uint16_t status;
	bool not_executed;
	bool has_signature;
};

/* Judges an exchange that has ended. */
struct plain_result plain_judge(const struct plain_response *p,
				enum h1_outcome outcome, const char *reason);
/* Returns true if the endpoint may have crashed during the exchange. */
bool plain_may_have_crashed(enum h1_outcome outcome,
			    const struct plain_result *result);
/*
 * Records a failed attempt at e, which was sent at sent_us, with the request and the
 * endpoint.
 */
void plain_record_failure(struct req *r, struct fleet_endpoint *e,
			  const struct plain_result *result, int64_t sent_us);
/*
 * Retries the request or ends it after its last attempt has failed. Frees r, or
 * goes on.
 */
void plain_retry(struct req *r, const struct plain_result *result);

/* hedge.c: a second attempt beside the first one of a plain request. */

/* How the time with two attempts ends. */
enum hedge_end {
	HEDGE_REQUEST_ENDED, /* by its caller or its deadline */
	HEDGE_FIRST_WON,
	HEDGE_SECOND_WON,
	HEDGE_FIRST_FAILED, /* the other one goes on */
	HEDGE_SECOND_FAILED,
};

/* The first attempt was sent: starts the time after which a second one follows. */
void hedge_watch(struct req *r);
/* Records the time of the first attempt, which was answered, canceled or timed out. */
void hedge_observe_first(struct req *r);
/*
 * Ends the wait for a second attempt, or cancels it, releases what it counted and
 * logs how it ended. Does nothing if there is neither.
 */
void hedge_finish(struct req *r, enum hedge_end end);
/*
 * The first attempt has failed and is detached: the second one, if it runs, takes its
 * place. Returns false if none runs.
 */
bool hedge_take_over(struct req *r);
/* Returns true if the second attempt may be executed. */
bool hedge_was_sent(const struct req *r);
/* Returns the memory of the second attempt's response. */
size_t hedge_response_bytes(const struct req *r);

/* pools.c: model engines with separate prefill and decode pools. */

/* Chooses a decode endpoint, queues the request or refuses it. May free r. */
void pools_advance(struct req *r);
/* Returns true if the first event can no longer meet the route's target. */
bool pools_is_late(const struct req *r, int64_t now_us);
/* Handles the step timer. May free r. */
void pools_timeout(struct req *r);
/* Releases the reservation and the prefill result at their endpoints. */
void pools_release(struct req *r);

/*
 * Sends the request to its decode endpoint, with the prefill result if any, or chooses
 * another one if it accepts no requests any more. May free r.
 */
void pools_start_decode(struct req *r);

/* pools_steps.c: the steps before the decode request. They may free r. */

/* Reserves a slot and memory at the decode endpoint. */
void pools_start_reserve(struct req *r);
/*
 * Sends the prompt to a prefill endpoint, preferably in the decode endpoint's
 * domain. Skips to the decode step if the request has a prefill result or had
 * its one prefill, if it resumes a stream or if no endpoint is available. Without a
 * retry to pay for a refusal, only endpoints that accepted the last request count.
 */
void pools_start_prefill(struct req *r);
/* The step has timed out, and its exchange was canceled. */
void pools_step_timeout(struct req *r);
/* Releases the prefill result, if any, and forgets its endpoint: no decode endpoint
 * takes it over. */
void pools_drop_prefill(struct req *r);
/* Releases the reservation at the decode endpoint, if there is one. */
void pools_release_reservation(struct req *r);
/* Logs why a step at an endpoint failed. */
void pools_log_step_failed(const struct req *r, const struct fleet_endpoint *e,
			   const char *step, const char *reason);

/* pools_demand.c: what a request is expected to need of a model engine. */

/* Returns the estimated work: KV tokens in use times output tokens. */
double pools_estimate_work(const struct req *r);
/* Returns the KV tokens to count as used by the request at its endpoint. */
uint32_t pools_counted_tokens(const struct req *r);
/* Returns the KV tokens to reserve for it. */
uint32_t pools_reserved_tokens(const struct req *r);

#endif
