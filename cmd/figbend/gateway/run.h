#ifndef FIGBEND_RUN_H
#define FIGBEND_RUN_H

#include "events.h"
#include "gateway.h"

/* One request of a caller, from its last byte to its answer. */

enum run_step {
	RUN_WAIT,    /* for room */
	RUN_HOLD,    /* memory is being reserved */
	RUN_PREFILL, /* the prompt is being read */
	RUN_SENT,    /* an endpoint has the request */
};

#define RUN_TRIED_MAX 4

struct run {
	TAILQ_ENTRY(run) entry;
	TAILQ_ENTRY(run) waiting_entry;
	struct gateway *g;
	struct h1_conn *conn;
	struct call_head call;
	struct directory *directory;
	const struct directory_route *route;
	const struct directory_account *account; /* NULL: none */
	const struct directory_service *service;
	double cost;	  /* that its account was charged */
	int64_t read_us;  /* when its last byte was read */
	int64_t limit_us; /* when its caller or route gives it up */
	ev_timer limit;
	ev_timer step_timer;
	enum run_step step;
	bool is_waiting;
	int64_t wait_us; /* when it began to wait */
	double work;	 /* likely, in tokens of memory x tokens made */

	struct h1_exchange exchange;
	struct fleet_endpoint *endpoint;  /* that runs it, or will */
	struct fleet_endpoint *prefiller; /* that has read the prompt */
	uint32_t need_tokens;		  /* memory counted at the endpoint */
	bool counted;			  /* at the endpoint */
	bool prefill_counted;
	char hold[ADAPTER_HANDLE_BYTES];
	char handle[ADAPTER_HANDLE_BYTES];
	bool no_prefill; /* the endpoint reads the prompt itself */
	int64_t sent_us;
	uint32_t sends; /* that endpoints may have taken */
	uint32_t ran;	/* endpoints that may have run it */
	uint32_t holds_denied;
	bool prefilled_once;
	const struct fleet_endpoint *tried[RUN_TRIED_MAX];
	uint32_t n_tried;

	/* The answer. */
	uint16_t status;
	bool not_run;	/* the endpoint's word */
	bool signature; /* it is the endpoint's own */
	struct h1_buf fields;
	struct h1_buf body;
	bool started; /* the caller has its head */
	struct events events;
	int64_t event_us;
	int64_t gap_us;
	uint32_t resumes;
};

/* run.c */
void run_refuse(struct run *r, const char *reason);
/* Refuses a request because no endpoint that it needs works. */
void run_starve(struct run *r, const char *reason);
void run_fail(struct run *r, uint16_t status, const char *reason);
void run_deliver(struct run *r);
void run_free(struct run *r);
void run_leave_endpoint(struct run *r);
void run_wait(struct run *r);
void run_advance(struct run *r);
bool run_may_repeat(const struct run *r);
void run_tried(struct run *r, const struct fleet_endpoint *e);
int64_t run_left_us(const struct run *r);
void run_step_timer(struct run *r, int64_t after_us);
bool run_spend_again(struct run *r);
/* Sends the request; the handlers are those of the phase. */
int run_send(struct run *r, struct fleet_endpoint *e, enum call_phase phase,
	     const struct h1_exchange_handlers *h);

/* plain.c: services beside the model engines. */
void plain_advance(struct run *r);
void plain_timeout(struct run *r);

/* pools.c: reservation, prefill, decode. */
void pools_advance(struct run *r);
double pools_work(const struct run *r);
bool pools_is_late(const struct run *r, int64_t now_us);
void pools_timeout(struct run *r);
void pools_release(struct run *r);

#endif
