#ifndef FIGBEND_SERVING_H
#define FIGBEND_SERVING_H

#include "response.h"
#include "daemon.h"
#include "plan.h"
#include "request.h"

/* A model request that this host serves: the pure core and what it works on. */

/* When the stages of the last attempt ended; 0: not yet. */
struct serving_times {
	int64_t reserved_us;
	int64_t prefilled_us;
	int64_t transferred_us;
	uint32_t admissions_recorded;
};

/* A slot that the admitting host granted to an attempt. */
struct serving_grant {
	char endpoint[CONFIG_NAME_BYTES]; /* "": none */
	uint64_t fence;
	uint32_t serial; /* of the ask */
	int64_t requested_us;
	int64_t started_us;
	int64_t prefilled_us;
	uint32_t queued_tokens; /* of prefill work, with what was in front */
	bool started;		/* the endpoint may have the run */
	bool canceled;		/* and may still have it when the hold ends */
	bool failed;		/* it failed */
};

enum { SERVING_PREFILL, SERVING_DECODE, SERVING_GRANTS };

struct serving {
	struct daemon *daemon;
	struct request request;
	uint32_t refs;
	bool core_active; /* the core is not done: it holds a reference */
	struct httpd_call *call;	  /* NULL once answered or gone */
	char key_id[CONFIG_KEY_ID_BYTES]; /* "" on an open route */
	bool chat;
	bool stream;
	bool head_sent; /* the answer's head was sent */
	bool hit_token_limit;
	char *prompt;
	char *output; /* all text so far */
	size_t output_n;
	uint64_t seed;
	uint32_t weight;
	uint32_t stream_rate_tokens_s;
	uint32_t pieces;
	struct serving_grant grant[SERVING_GRANTS];
	uint32_t grant_serial;
	int64_t reserve_deadline_us; /* waits for room no longer */
	char kv_handle[ENGINE_KV_BYTES];
	char prefill_addr[ENGINE_ADDR_BYTES];
	char decode_addr[ENGINE_ADDR_BYTES];
	uint64_t fingerprint;
	bool suspect_running;	/* noted as running by the quarantine */
	bool suspect_waiting;	/* for its turn */
	bool stream_lost;	/* before it was resumed */
	const char *token_text; /* text of the token being handled */
	struct engine_call prefill_call;
	struct engine_call transfer_call;
	struct engine_call decode_call;
	struct fairq_item queue_item;
	struct serving_times times; /* observe_control.c */
	int64_t scheduled_us;	    /* the queue let it go; 0: not yet */
	struct board_account *charged_account; /* NULL until it is charged */
	struct quota_charge charge;
	size_t output_sent_n; /* of output: paid and sent */
	uint32_t
		end_pending_tokens; /* length of an answer that waits to be paid */
	bool end_pending;
	ev_timer deadline_timer;
	TAILQ_ENTRY(serving) entry;
	TAILQ_ENTRY(serving) suspect_entry;
};

/* What a caller asked for, checked. Strings are borrowed. */
struct serving_params {
	const struct config_account *account;
	const struct config_model *model;
	const char *key_id;
	const char *prompt;
	uint32_t max_tokens;
	uint64_t seed;
	bool chat;
	bool stream;
};

int serving_start(struct daemon *d, struct httpd_call *c,
		  const struct serving_params *ask);
void serving_event(struct serving *s, const struct request_event *ev);
/* The output that waited to be paid may pass now. */
void serving_on_tokens_granted(struct serving *s);
void serving_refuse(struct serving *s, enum request_error why);
void serving_get(struct serving *s);
void serving_put(struct serving *s);
void serving_run_id(const struct serving *s, uint32_t attempt, char *out);

void observe_control_record_step(struct serving *s,
				 const struct request_event *ev,
				 const struct request_actions *actions,
				 int64_t now_us);
void observe_control_record_admission(struct serving *s, const char *what,
				      const char *endpoint, const char *answer);

/* The controllers of the steps; each answers by an event, at once or later. */
void quota_control_reserve(struct serving *s);
void quota_control_release(struct serving *s);
void quota_control_commit(struct serving *s);
bool quota_control_consume(struct serving *s, uint32_t tokens);
void quota_control_settle(struct serving *s, bool not_run);
void queue_control_enqueue(struct serving *s);
void queue_control_remove(struct serving *s);
/* Reserves, once no other suspect is on its way to an endpoint. */
void quarantine_control_reserve(struct serving *s);
bool quarantine_control_is_blocked(struct serving *s);
void quarantine_control_started(struct serving *s, const char *endpoint);
void quarantine_control_on_first_token(struct serving *s);
void quarantine_control_ended(struct serving *s);
void quarantine_control_record_crash(struct serving *s, const char *endpoint);
void queue_control_observe_first_token(struct serving *s);
void queue_control_settle(struct serving *s);
void admit_control_reserve(struct serving *s);
void admit_control_release(struct serving *s);
/* A transfer is about to be ordered; false where the slot may not be used. */
bool admit_control_start_decode(struct serving *s);
void admit_control_release_prefill(struct serving *s);
enum plan_outcome plan_control_choose(struct serving *s, struct plan_pair *out);
void plan_control_observe_prefill(struct serving *s);
void plan_control_observe_transfer(struct serving *s);
void admit_control_mark_canceled(struct serving *s, bool prefill, bool decode);
void admit_control_mark_failed(struct serving *s, bool prefill);

#endif
