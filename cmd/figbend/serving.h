#ifndef FIGBEND_SERVING_H
#define FIGBEND_SERVING_H

#include "daemon.h"
#include "plan.h"
#include "request.h"
#include "response.h"

/*
 * The requests for model completions that this host serves. serving.c passes
 * events to the state machine of pkg/request and carries out its actions, by
 * itself or by a controller. All times are of the monotonic clock.
 */

/* Latest end of each stage, over all attempts; 0 if it has not ended. */
struct serving_times {
	int64_t reserved_us;
	int64_t prefilled_us;
	int64_t transferred_us;
	uint32_t admissions_recorded; /* admission results so far */
};

/* A slot at an endpoint that its owner granted to the current attempt. */
struct serving_grant {
	char endpoint[CONFIG_NAME_BYTES]; /* "" if there is no grant */
	uint64_t fence;			  /* fencing token */
	uint32_t serial;		  /* of the request for the grant */
	int64_t requested_us;
	int64_t started_us;	/* start of a prefill; unused for a decode */
	int64_t prefilled_us;	/* end of the prefill; 0 before */
	uint32_t queued_tokens; /* prefill queue there, with this run's part */
	bool started;		/* the endpoint may have received the run */
	bool canceled;		/* a cancel was sent; the run may still go on */
	bool failed;		/* connection lost or not established */
};

/* Index in serving.grant. */
enum { SERVING_PREFILL, SERVING_DECODE, SERVING_GRANTS };

struct serving {
	struct daemon *daemon;
	struct request request;
	uint32_t refs;	  /* freed at 0 */
	bool core_active; /* request is not done; holds a reference */
	/* NULL once the response is complete or the caller disconnected. */
	struct httpd_call *call;
	char key_id[CONFIG_KEY_ID_BYTES]; /* "" if the call had no key */
	bool chat;			  /* chat completion; else text */
	bool stream;			  /* the caller requested a stream */
	bool head_sent;			  /* the stream has started */
	bool hit_token_limit;		  /* the output ended at its maximum */
	char *prompt;			  /* owned */
	char *output;	 /* all text so far; owned, NULL before the first */
	size_t output_n; /* bytes, without the terminating zero */
	uint64_t seed;
	uint32_t weight; /* of the account in the fair queue */
	uint32_t stream_rate_tokens_s;
	uint32_t pieces; /* memory at an endpoint, see ADMIT_PIECE_TOKENS */
	struct serving_grant grant[SERVING_GRANTS];
	uint32_t grant_serial;	     /* of the latest request for grants */
	int64_t reserve_deadline_us; /* end of the wait for capacity */
	char kv_handle[ENGINE_KV_BYTES];
	char prefill_addr[ENGINE_ADDR_BYTES];
	char decode_addr[ENGINE_ADDR_BYTES];
	uint64_t fingerprint;	/* of model and prompt, for the quarantine */
	bool suspect_running;	/* the quarantine counts it as running */
	bool suspect_waiting;	/* it is in quarantine_control.waiting */
	bool stream_lost;	/* the last decode stream was broken off */
	const char *token_text; /* of the token event in progress; borrowed */
	struct engine_call prefill_call;
	struct engine_call transfer_call;
	struct engine_call decode_call;
	struct fairq_item queue_item;
	struct serving_times times; /* written by observe_control.c */
	int64_t scheduled_us;	    /* when the queue released it; 0 before */
	/* Account of the charge, with a reference; NULL if there is none. */
	struct board_account *charged_account;
	struct quota_charge charge;
	size_t output_sent_n; /* bytes of output sent to the caller */
	/* The endpoint has finished, but output still waits for quota. */
	uint32_t end_pending_tokens; /* length of the complete output */
	bool end_pending;
	ev_timer deadline_timer;
	TAILQ_ENTRY(serving) entry;	    /* of board.requests */
	TAILQ_ENTRY(serving) suspect_entry; /* of quarantine_control.waiting */
};

/* A validated request of a caller. Pointers are borrowed. */
struct serving_params {
	const struct config_account *account;
	const struct config_model *model;
	const char *key_id; /* "" if the call had no key */
	const char *prompt;
	uint32_t max_tokens; /* of the output */
	uint64_t seed;
	bool chat;
	bool stream;
};

/*
 * Starts to serve a request, which takes over the call and copies the
 * parameters. Returns 0, or -ENOMEM, after which the call is still the caller's
 * to respond to.
 */
int serving_start(struct daemon *d, struct httpd_call *c,
		  const struct serving_params *params);
/*
 * Passes an event to the state machine and carries out the resulting actions.
 * May free s, unless the caller holds a reference.
 */
void serving_event(struct serving *s, const struct request_event *ev);
/* Handles the grant of the tokens that output waited for. May free s. */
void serving_on_tokens_granted(struct serving *s);
/* Reports that a controller denied the current step. May free s. */
void serving_refuse(struct serving *s, enum request_error error);
/* Adds a reference. */
void serving_get(struct serving *s);
/* Drops a reference; the last one cancels all calls and frees s. */
void serving_put(struct serving *s);
/*
 * Writes the id of an attempt's run at the endpoints, REQUEST.ATTEMPT, to out
 * of ENGINE_RUN_BYTES.
 */
void serving_run_id(const struct serving *s, uint32_t attempt, char *out);

/*
 * Controllers that carry out the steps of a request. The result of a step is an
 * event, which comes during the call or later; see also the .c files.
 */
void quota_control_reserve(struct serving *s);
void quota_control_release(struct serving *s);
void quota_control_commit(struct serving *s);
bool quota_control_consume(struct serving *s, uint32_t tokens);
void quota_control_settle(struct serving *s, bool not_executed);

void queue_control_enqueue(struct serving *s);
void queue_control_remove(struct serving *s);
void queue_control_observe_first_token(struct serving *s);
void queue_control_settle(struct serving *s);

/* Reserves like admit_control_reserve(), but for one suspect at a time. */
void quarantine_control_reserve(struct serving *s);
bool quarantine_control_is_blocked(struct serving *s);
void quarantine_control_started(struct serving *s, const char *endpoint);
void quarantine_control_on_first_token(struct serving *s);
void quarantine_control_ended(struct serving *s);
void quarantine_control_record_crash(struct serving *s, const char *endpoint);

void admit_control_reserve(struct serving *s);
void admit_control_release(struct serving *s);
/* Returns false if the decode grant may not be used; the attempt has failed. */
bool admit_control_start_decode(struct serving *s);
void admit_control_release_prefill(struct serving *s);
void admit_control_mark_canceled(struct serving *s, bool prefill, bool decode);
void admit_control_mark_failed(struct serving *s, bool prefill);

enum plan_outcome plan_control_choose(struct serving *s, struct plan_pair *out);
void plan_control_observe_prefill(struct serving *s);
void plan_control_observe_transfer(struct serving *s);

/* Records an event and its actions, before they are carried out. */
void observe_control_record_step(struct serving *s,
				 const struct request_event *ev,
				 const struct request_actions *actions,
				 int64_t now_us);
/* Records what admission did for an attempt, under the name of an event. */
void observe_control_record_admission(struct serving *s, const char *event,
				      const char *endpoint, const char *result);

#endif
