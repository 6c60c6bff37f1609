#ifndef FIGBEND_RUN_H
#define FIGBEND_REQ_H

#include "sse.h"
#include "gateway.h"

/* One request of a caller, from its last byte to its answer. */

enum req_step {
	REQ_WAITING,	/* for room */
	REQ_RESERVING,	/* memory is being reserved */
	REQ_PREFILLING, /* the prompt is being read */
	REQ_SENT,	/* an endpoint has the request */
};

#define REQ_EXCLUDED_MAX 4

struct req {
	TAILQ_ENTRY(req) entry;
	TAILQ_ENTRY(req) waiting_entry;
	struct gateway *g;
	struct h1_conn *conn;
	struct call_head call;
	struct directory *directory;
	const struct directory_route *route;
	const struct directory_account *account; /* NULL: none */
	const struct directory_service *service;
	double cost;	     /* that its account was charged */
	int64_t received_us; /* when its last byte was read */
	int64_t deadline_us; /* when its caller or route gives it up */
	ev_timer deadline_timer;
	ev_timer step_timer;
	enum req_step step;
	bool is_waiting;
	int64_t wait_start_us; /* when it began to wait */
	double estimated_work; /* likely, in tokens of memory x tokens made */

	struct h1_exchange exchange;
	struct fleet_endpoint *endpoint;	 /* that runs it, or will */
	struct fleet_endpoint *prefill_endpoint; /* that has read the prompt */
	uint32_t counted_tokens; /* memory counted at the endpoint */
	bool counted;		 /* at the endpoint */
	bool prefill_counted;
	char reservation[ADAPTER_HANDLE_BYTES];
	char prefill_handle[ADAPTER_HANDLE_BYTES];
	bool skip_prefill; /* the endpoint reads the prompt itself */
	int64_t sent_us;
	uint32_t sends;	     /* that endpoints may have taken */
	uint32_t executions; /* endpoints that may have run it */
	uint32_t reservations_denied;
	bool prefill_sent;
	const struct fleet_endpoint *excluded[REQ_EXCLUDED_MAX];
	uint32_t n_excluded;

	/* The answer. */
	uint16_t status;
	bool not_executed;  /* the endpoint's word */
	bool has_signature; /* it is the endpoint's own */
	struct h1_buf fields;
	struct h1_buf body;
	bool response_started; /* the caller has its head */
	struct sse_parser events;
	int64_t last_event_us;
	int64_t max_gap_us;
	uint32_t resumes;
};

/* run.c */
void req_refuse(struct req *r, const char *reason);
/* Refuses a request because no endpoint that it needs works. */
void req_refuse_no_endpoint(struct req *r, const char *reason);
void req_fail(struct req *r, uint16_t status, const char *reason);
void req_complete(struct req *r);
void req_free(struct req *r);
void req_detach_endpoint(struct req *r);
void req_enqueue(struct req *r);
void req_advance(struct req *r);
bool req_may_execute_again(const struct req *r);
void req_exclude_endpoint(struct req *r, const struct fleet_endpoint *e);
int64_t req_remaining_us(const struct req *r);
void req_set_step_timer(struct req *r, int64_t after_us);
bool req_consume_retry(struct req *r);
/* Sends the request; the handlers are those of the phase. */
int req_send(struct req *r, struct fleet_endpoint *e, enum call_phase phase,
	     const struct h1_exchange_handlers *h);

/* plain.c: services beside the model engines. */
void plain_advance(struct req *r);
void plain_timeout(struct req *r);

/* pools.c: reservation, prefill, decode. */
void pools_advance(struct req *r);
double pools_estimate_work(const struct req *r);
bool pools_is_late(const struct req *r, int64_t now_us);
void pools_timeout(struct req *r);
void pools_release(struct req *r);

#endif
