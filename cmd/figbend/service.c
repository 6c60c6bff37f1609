#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "response.h"
#include "claim_control.h"
#include "daemon.h"
#include "logline.h"

#define KEY_MAX_BYTES 255
#define URL_BYTES 400
#define METHOD_BYTES 16
#define CALLS_MAX 4096
#define RESPONSE_MAX_BYTES (1U << 20)
/* The outcome of a call with a longer response is recorded without its body. */
#define RECORD_BODY_MAX_BYTES (64U << 10)
#define CALL_TIMEOUT_MS 10000
#define READ_WAIT_MS 1000 /* long poll for a recorded outcome */

/*
 * A call of a plain service. A call that may not be repeated is claimed in the
 * log before it is sent, and so is executed at most once; see pkg/claim.
 */
struct service_call {
	struct daemon *daemon;
	/* NULL once the response is sent or the caller disconnected. */
	struct httpd_call *call;
	char id[REQUEST_ID_BYTES];
	char url[URL_BYTES];
	char method[METHOD_BYTES];
	char *body; /* of the call; owned */
	size_t body_n;
	bool at_most_once; /* claim is in use */
	struct claim_call claim;
	uint32_t step_depth;  /* nested calls of service_step() */
	bool reading_outcome; /* by outcome_reader; keeps the call */
	struct platform_follow outcome_reader;
	struct fetch_call fetch;
	ev_timer timer;
	uint32_t status;     /* of the service's response */
	char *response_body; /* owned; NULL before the response */
	TAILQ_ENTRY(service_call) entry;
};

static void service_free(struct service_call *s)
{
	claim_control_detach(s->daemon, s);
	platform_follow_stop(&s->outcome_reader);
	fetch_cancel(&s->fetch);
	ev_timer_stop(s->daemon->loop, &s->timer);
	TAILQ_REMOVE(&s->daemon->service_calls, s, entry);
	s->daemon->service_call_n--;
	free(s->body);
	free(s->response_body);
	free(s);
}

/* Responds with an error, unless the caller disconnected. */
static void send_error(struct service_call *s, unsigned int status,
		       const char *code, const char *message, bool not_executed)
{
	struct response_error e = {.status = status,
				   .code = code,
				   .message = message,
				   .request_id = s->id,
				   .not_executed = not_executed};
	enum metric m = not_executed ? METRIC_SERVICE_REFUSED
				     : METRIC_SERVICE_IN_DOUBT;

	metrics_add(&s->daemon->board.metrics, m, 1);
	logline(LOG_NOTICE, "service-refused",
		"request=%s code=%s not_run=%d claim=%s", s->id, code,
		not_executed, s->at_most_once ? s->claim.id : "");
	if (status == 503)
		e.retry_after_s = 1;
	if (s->call)
		response_send_error(s->call, &e);
	s->call = NULL;
}

/* Responds with a body of JSON, unless the caller disconnected. */
static void send_response(struct service_call *s, uint32_t status,
			  const char *body)
{
	const char *const headers[] = {"X-Request-Id", s->id, NULL};

	logline(LOG_INFO, "service-answered", "request=%s status=%u", s->id,
		status);
	if (s->call)
		httpd_answer(s->call, status, "application/json", headers, body,
			     strlen(body));
	s->call = NULL;
}

static void service_step(struct service_call *s, struct claim_event *ev);

/*
 * Handles the result of a send: passes it to the state machine of the claim or,
 * if the call may be repeated, responds to the caller and frees the call.
 */
static void on_sent(void *ctx, const struct fetch_result *r)
{
	struct service_call *s = ctx;
	struct claim_event ev = {.kind = CLAIM_EV_SENT};

	s->status = r->status;
	s->response_body = strdup(r->body);
	if (!r->error && s->response_body) {
		ev.sent.how = CLAIM_SEND_RESPONSE;
		ev.sent.status = r->status;
	} else {
		ev.sent.how = r->sent ? CLAIM_SEND_IN_DOUBT
				      : CLAIM_SEND_NOT_SENT;
	}
	if (s->at_most_once) {
		service_step(s, &ev);
		return;
	}
	if (ev.sent.how == CLAIM_SEND_RESPONSE)
		send_response(s, s->status, s->response_body);
	else if (ev.sent.how == CLAIM_SEND_NOT_SENT)
		send_error(s, 503, "unavailable", "no endpoint answers", true);
	else
		send_error(s, 504, "in_doubt", "the call may have run", false);
	service_free(s);
}

/*
 * Sends the call to the service; on_sent() gets the result. Returns 0 or
 * -ENOMEM.
 */
static int send_call(struct service_call *s)
{
	struct daemon *d = s->daemon;
	static const char *const headers[] = {"Content-Type: application/json",
					      NULL};
	struct fetch_request q = {.method = s->method,
				  .url = s->url,
				  .body = s->body,
				  .body_n = s->body_n,
				  .headers = headers,
				  .connect_ms = d->settings.connect_timeout_ms,
				  .total_ms = CALL_TIMEOUT_MS,
				  .max_body_bytes = RESPONSE_MAX_BYTES,
				  .fresh = s->at_most_once,
				  .on_done = on_sent,
				  .ctx = s};

	return fetch_start(&d->fetch, &s->fetch, &q);
}

/* The outcome of a call, as found in a record of the log. */
struct recorded_outcome {
	const struct service_call *call;
	uint32_t status;
	char *body; /* owned; NULL if not found */
};

static void copy_outcome(void *ctx, const struct claim_record *r)
{
	struct recorded_outcome *out = ctx;

	if (out->body || r->kind != CLAIM_RECORD_OUTCOME ||
	    strcmp(r->id, out->call->claim.id))
		return;
	out->status = r->status;
	out->body = strdup(r->body);
}

static void on_outcome_record(void *ctx, const struct platform_record *r)
{
	struct service_call *s = ctx;
	struct recorded_outcome out = {.call = s};

	claim_decode(r->data, r->data_n, copy_outcome, &out);
	if (out.body)
		send_response(s, out.status, out.body);
	free(out.body);
}

/*
 * Stops reading after the first response of the log, whether or not it had the
 * outcome. The timer frees the call on the next iteration of the loop.
 */
static void on_outcome_read(void *ctx, int error, uint64_t first, uint64_t next)
{
	struct service_call *s = ctx;

	platform_follow_stop(&s->outcome_reader);
	if (s->call)
		send_error(s, 504, "in_doubt",
			   "the call ran; its outcome can not be read", false);
	s->reading_outcome = false;
	ev_timer_set(&s->timer, 0., 0.);
	ev_timer_start(s->daemon->loop, &s->timer);
}

static void do_answer(struct service_call *s, const struct claim_action *a)
{
	switch (a->answer.how) {
	case CLAIM_ANSWER_OUTCOME:
		send_response(s, s->status, s->response_body);
		return;
	case CLAIM_ANSWER_RECORDED:
		s->reading_outcome = true;
		platform_follow_start(&s->daemon->platform, &s->outcome_reader,
				      CLAIM_STREAM, a->answer.outcome_offset,
				      READ_WAIT_MS, on_outcome_record,
				      on_outcome_read, s);
		return;
	case CLAIM_ANSWER_MISMATCH:
		send_error(s, 409, "key_reused",
			   "the key was used for another call", true);
		return;
	case CLAIM_ANSWER_IN_DOUBT:
		send_error(s, 504, "in_doubt",
			   "the call may have run; ask with the same key",
			   false);
		return;
	case CLAIM_ANSWER_NOT_SENT:
		send_error(s, 503, "not_sent",
			   "the call was not sent; send it again with "
			   "the same key",
			   false);
		return;
	}
}

static void on_appended(void *ctx, enum claim_record_kind kind, uint32_t round,
			int error)
{
	struct claim_event ev = {.kind = CLAIM_EV_APPENDED};

	ev.appended.kind = kind;
	ev.appended.round = round;
	ev.appended.error = error;
	service_step(ctx, &ev);
}

static void do_append(struct service_call *s, const struct claim_action *a)
{
	enum claim_record_kind kind = a->append.kind;
	struct claim_record r;

	claim_call_fill_record(&s->claim, kind, &r);
	if (kind == CLAIM_RECORD_OUTCOME && s->response_body &&
	    strlen(s->response_body) <= RECORD_BODY_MAX_BYTES)
		r.body = s->response_body;
	if (claim_control_append(s->daemon, &r, a->append.round, on_appended,
				 s) < 0)
		on_appended(s, kind, a->append.round, -EAGAIN);
}

static void do_send(struct service_call *s)
{
	struct claim_event ev = {.kind = CLAIM_EV_SENT};

	if (send_call(s) == 0)
		return;
	ev.sent.how = CLAIM_SEND_NOT_SENT;
	service_step(s, &ev);
}

static void do_action(struct service_call *s, const struct claim_action *a)
{
	switch (a->kind) {
	case CLAIM_DO_APPEND:
		do_append(s, a);
		return;
	case CLAIM_DO_SEND:
		do_send(s);
		return;
	case CLAIM_DO_ANSWER:
		do_answer(s, a);
		return;
	}
}

static void set_timer(struct service_call *s, int64_t at_us)
{
	int64_t now_us = daemon_now_us(s->daemon);

	ev_timer_stop(s->daemon->loop, &s->timer);
	if (!at_us)
		return;
	if (at_us < now_us)
		at_us = now_us;
	ev_timer_set(&s->timer, (double)(at_us - now_us) / 1e6, 0.);
	ev_timer_start(s->daemon->loop, &s->timer);
}

/*
 * Passes an event to the state machine and carries out its actions. Frees the
 * call once it is done, unless an outer call of this function or the reader
 * of the outcome still uses it.
 */
static void service_step(struct service_call *s, struct claim_event *ev)
{
	struct claim_actions out = {.n = 0};
	uint32_t i;

	s->step_depth++;
	claim_step(&s->claim, ev, daemon_now_us(s->daemon), &out);
	set_timer(s, out.wake_us);
	for (i = 0; i < out.n; i++)
		do_action(s, &out.item[i]);
	if (!--s->step_depth && s->claim.state == CLAIM_DONE &&
	    !s->reading_outcome)
		service_free(s);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct claim_event ev = {.kind = CLAIM_EV_TIMER};

	service_step(w->data, &ev);
}

static struct claim_view lookup_claim(const struct service_call *s)
{
	return claim_index_lookup(&s->daemon->claim_control.index, s->claim.id,
				  s->claim.nonce, s->claim.call_hash);
}

/* Passes the progress of the index to the calls that wait for it. */
void service_on_index_advance(struct daemon *d)
{
	struct claim_event ev = {.kind = CLAIM_EV_READ};
	struct service_call *s, *next;

	for (s = TAILQ_FIRST(&d->service_calls); s; s = next) {
		next = TAILQ_NEXT(s, entry);
		if (s->claim.state != CLAIM_CLAIMING &&
		    s->claim.state != CLAIM_WAITING)
			continue;
		ev.read = lookup_claim(s);
		service_step(s, &ev);
	}
}

/* The call goes on without its caller, and its outcome is recorded. */
static void on_caller_disconnect(void *ctx, struct httpd_call *c)
{
	struct service_call *s = ctx;

	s->call = NULL;
	httpd_stream_abort(c);
}

static bool excludes_none(const void *ctx, const char *endpoint)
{
	return false;
}

/*
 * Refuses a call before its claim was looked up. not_executed is true only if
 * the call has no idempotency key: with one, an earlier call with the same key
 * may have been executed.
 */
static void refuse(struct httpd_call *c, const char *id, unsigned int status,
		   const char *code, const char *message)
{
	const char *key = httpd_header(c, "Idempotency-Key");
	struct response_error e = {.status = status,
				   .code = code,
				   .message = message,
				   .request_id = id,
				   .retry_after_s = status == 503,
				   .not_executed = !key || !*key};

	response_send_error(c, &e);
}

static struct service_call *call_new(struct daemon *d, struct httpd_call *c)
{
	struct service_call *s = calloc(1, sizeof(*s));
	const char *body;

	if (!s)
		return NULL;
	body = httpd_body(c, &s->body_n);
	s->body = malloc(s->body_n + 1);
	if (!s->body) {
		free(s);
		return NULL;
	}
	memcpy(s->body, body, s->body_n + 1);
	snprintf(s->method, sizeof(s->method), "%s", httpd_method(c));
	s->daemon = d;
	s->call = c;
	ev_timer_init(&s->timer, on_timer, 0., 0.);
	s->timer.data = s;
	TAILQ_INSERT_TAIL(&d->service_calls, s, entry);
	d->service_call_n++;
	return s;
}

static void start_at_most_once(struct service_call *s, const char *account,
			       const char *key, const char *path)
{
	struct claim_event ev = {.kind = CLAIM_EV_START};
	char id[CLAIM_ID_BYTES], nonce[CLAIM_NONCE_BYTES];
	char hash[CLAIM_ID_BYTES];

	claim_make_id(account, key, id);
	claim_make_nonce(nonce);
	claim_hash_call(s->method, path, s->body, s->body_n, hash);
	claim_call_init(&s->claim, id, nonce, hash);
	s->at_most_once = true;
	ev.read = lookup_claim(s);
	service_step(s, &ev);
}

static void start_call(struct daemon *d, struct httpd_call *c, const char *id,
		       const char *addr, const char *path,
		       const struct config_account *a, const char *key)
{
	struct service_call *s = NULL;

	if (d->service_call_n < CALLS_MAX)
		s = call_new(d, c);
	if (!s) {
		refuse(c, id, 503, "overloaded", "too many calls are open");
		return;
	}
	snprintf(s->id, sizeof(s->id), "%s", id);
	snprintf(s->url, sizeof(s->url), "http://%s%s", addr, path);
	httpd_on_gone(c, on_caller_disconnect, s);
	if (key) {
		start_at_most_once(s, a->name, key, path);
	} else if (send_call(s) < 0) {
		send_error(s, 503, "out_of_memory", "out of memory", true);
		service_free(s);
	}
}

/*
 * Refuses a call that may not be repeated if its idempotency key cannot be used
 * or claims are not available now. Returns true if it did.
 */
static bool refuse_unclaimable(struct daemon *d, struct httpd_call *c,
			       const char *id, const char *key)
{
	int64_t retention_ms = d->settings.log_retention_s * 1000LL;
	struct timespec ts;

	if (!key || !*key || strlen(key) > KEY_MAX_BYTES) {
		refuse(c, id, 400, "key_needed",
		       "the call may not be repeated: send Idempotency-Key");
		return true;
	}
	clock_gettime(CLOCK_REALTIME, &ts);
	switch (claim_check_key(key, ts.tv_sec * 1000LL + ts.tv_nsec / 1000000,
				retention_ms)) {
	case CLAIM_KEY_OPAQUE:
	case CLAIM_KEY_VALID:
		break;
	case CLAIM_KEY_EXPIRED:
		refuse(c, id, 409, "key_expired",
		       "the key is too old to tell whether it was used");
		return true;
	case CLAIM_KEY_IN_FUTURE:
		refuse(c, id, 400, "key_in_future",
		       "the time in the key lies ahead");
		return true;
	}
	if (claim_control_is_available(d))
		return false;
	refuse(c, id, 503, "log_unavailable",
	       "calls that may not be repeated can not be claimed now");
	return true;
}

/*
 * Takes over a call of an account to a plain service, and forwards it to an
 * endpoint. A call that is not declared repeatable needs an idempotency key and
 * is executed at most once for each account and key.
 */
void service_handle(struct daemon *d, struct httpd_call *c,
		    const struct config_service *s,
		    const struct config_account *a)
{
	const char *path = strchr(httpd_path(c) + strlen("/v1/services/"), '/');
	const char *key = httpd_header(c, "Idempotency-Key");
	const struct config_call *k;
	const struct admit_endpoint *e;
	char id[REQUEST_ID_BYTES];

	daemon_next_request_id(d, id, sizeof(id));
	metrics_add(&d->board.metrics, METRIC_SERVICE_CALLS, 1);
	k = path ? config_find_call(s, httpd_method(c), path) : NULL;
	if (!k) {
		refuse(c, id, 404, "no_such_call", "the call is not declared");
		return;
	}
	if (!k->repeatable && refuse_unclaimable(d, c, id, key))
		return;
	e = admit_pick(&d->board.admit, CONFIG_ROLE_SERVICE, s->name, 0,
		       excludes_none, NULL);
	if (!e) {
		refuse(c, id, 503, "unavailable", "no endpoint can be had");
		return;
	}
	start_call(d, c, id, e->addr, path, a, k->repeatable ? NULL : key);
}

/* Ends all calls with the error in_doubt, at the end of a shutdown. */
void service_abort_all(struct daemon *d)
{
	struct service_call *s;

	while ((s = TAILQ_FIRST(&d->service_calls))) {
		if (s->call)
			send_error(s, 504, "in_doubt", "this host stopped",
				   false);
		service_free(s);
	}
}
