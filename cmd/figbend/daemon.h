#ifndef FIGBEND_DAEMON_H
#define FIGBEND_DAEMON_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "board.h"
#include "claim_control.h"
#include "engine.h"
#include "fetch.h"
#include "httpd.h"
#include "peer.h"
#include "platform.h"
#include "settings.h"

/* One figbend process: the board, its transports, and its controllers. */

struct cancel_request;
TAILQ_HEAD(cancel_requests, cancel_request);
struct serving;
TAILQ_HEAD(suspects, serving);
struct admit_call;
TAILQ_HEAD(admit_calls, admit_call);
struct admit_wait;
TAILQ_HEAD(admit_waits, admit_wait);
struct load_poll;
TAILQ_HEAD(load_polls, load_poll);
struct service_call;
TAILQ_HEAD(service_calls, service_call);

/* config_control.c: follows the log's configuration, asks peers for newer. */
struct config_control {
	struct platform_follow log_reader;
	struct config_state state; /* of the log; in force once it was read */
	ev_timer check_timer;
	struct platform_append append;
	char *checkpoint_text;
	int64_t checkpoint_seen_us;   /* a checkpoint was last seen to stand */
	int64_t checkpoint_append_us; /* and last appended by this host */
	bool appending;
	bool fetching;
	bool platform_ok;
	bool gap_logged;
};

struct host_append;
TAILQ_HEAD(host_appends, host_append);

/* host_control.c: the members by the log, heartbeats, announcing ourselves. */
struct host_control {
	struct member_core core;
	struct member_peer member_peer[MEMBER_HOSTS_MAX];
	struct platform_follow log_reader;
	struct host_appends appends;
	ev_timer heartbeat_timer;
	ev_timer announce_timer;
	struct platform_append announce;
	struct platform_list list;
	const char *list_name[MEMBER_HOSTS_MAX]; /* while a list is taken */
	uint32_t next_seed;			 /* next host to ask */
	int64_t heartbeats_sent_us;
	bool announcing;
	bool listing;
	bool fetching;
};

/* suspect_control.c: runs requests that crashed an endpoint apart. */
struct quarantine_control {
	struct suspects waiting;
	struct serving *active; /* until its first token, or its failure */
	struct fig_crashed report[FIG_CRASHES_MAX]; /* not told yet */
	uint32_t report_n;
	ev_timer report_timer;
	ev_timer next_timer;
};

/* Grants that ended, on their way to the admitting hosts. */
#define RELEASE_ITEMS_MAX 256

struct release_item {
	char endpoint[CONFIG_NAME_BYTES];
	char run[ADMIT_RUN_BYTES];
	uint32_t serial;
	enum admit_end end;
	uint32_t gap_us;
	uint32_t gap_target_us;
};

/* admit_control.c: asks for slots as an entry host. */
struct admit_control {
	ev_timer tick_timer;
	ev_timer flush_timer;
	ev_timer wait_timer;
	struct admit_calls calls;
	struct admit_waits waiting;
	struct release_item release[RELEASE_ITEMS_MAX];
	uint32_t release_n;
	int64_t queried_us;
	bool ready;
};

/* cancel_control.c: a reported run whose entry host is gone. */
#define ORPHAN_RUNS_MAX 256
#define DAEMON_RUN_ID_HOST_CHARS                                               \
	20 /* of a host's name in the ids of its runs */

struct orphan_run {
	char run[ENGINE_RUN_BYTES];
	int64_t first_seen_us;
	int64_t last_seen_us;
	bool canceled;
};

/* quota_control.c: evidence that the homes by the epoch still stand. */
struct quota_control {
	ev_timer tick_timer;
	int64_t log_read_us; /* start of the read of the log's tail under way */
	int64_t log_confirmed_us; /* start of the last one that was answered */
	uint64_t newest_epoch;	  /* highest number that another host told of */
	int64_t epoch_changed_us; /* when the epoch was learned */
	int64_t first_configured_us; /* first; 0: not yet */
	bool ready;
	bool finished;
};

struct daemon {
	struct ev_loop *loop;
	struct settings settings;
	struct board board;
	struct httpd caller_httpd;
	struct httpd_tls tls;
	struct httpd admin_httpd;
	struct fetch fetch;
	struct engine engine;
	struct platform platform;
	struct peer peer;
	struct config_control config_control;
	struct host_control host_control;
	struct admit_control admit_control;
	struct load_polls load_polls;
	struct quota_control quota_control;
	struct plan_prefix_index prefix_index; /* plan_control.c */
	ev_timer queue_timer;
	struct cancel_requests cancels;
	uint32_t cancels_n;
	struct orphan_run orphan[ORPHAN_RUNS_MAX];
	struct service_calls service_calls;
	uint32_t service_call_n;
	struct claim_control claim_control;
	struct quarantine_control quarantine_control;
	ev_signal sigterm;
	ev_signal sigint;
	ev_signal sighup;
	ev_timer drain_timer;
	int64_t drain_deadline_us;
	int64_t last_busy_us; /* at a stop: since when no request is open */
	uint64_t boot_us;
	uint64_t last_request_number; /* to number them */
	bool stopping;
};

int daemon_init(struct daemon *d, const struct settings *s,
		const uint8_t secret[SETTINGS_SECRET_BYTES]);
void daemon_finish(struct daemon *d);
int64_t daemon_now_us(const struct daemon *d);
void daemon_next_request_id(struct daemon *d, char *out, size_t size);

void callers_handle(void *ctx, struct httpd_call *c);
void admin_handle(void *ctx, struct httpd_call *c);

int tls_control_load(struct daemon *d);
void tls_control_start(struct daemon *d);

int observe_control_init(struct daemon *d);
void observe_control_finish(struct daemon *d);

int config_control_start(struct daemon *d);
void config_control_stop(struct daemon *d);
void config_control_on_heartbeat(struct daemon *d, const char *addr,
				 uint64_t version);
void config_control_fetch(struct daemon *d, const char *addr);
int config_control_reply(struct daemon *d, const struct fig_config_get *get,
			 struct fig_config_got *got);

void host_control_start(struct daemon *d);
void host_control_stop(struct daemon *d);
void host_control_on_heartbeat(struct daemon *d, const struct fig_heartbeat *hb,
			       uint64_t boot);
int host_control_reply_snapshot(struct daemon *d,
				const struct fig_member_get *get,
				struct fig_member_got *got);
int host_control_reply_probe(struct daemon *d, const struct fig_heard_get *get,
			     struct fig_heard_got *got);
void host_control_send_heartbeats(struct daemon *d);
void host_control_leave(struct daemon *d);
/* Whether what this host holds by the epoch may be used. */
bool host_control_is_current(const struct daemon *d);

void quota_control_start(struct daemon *d);
void quota_control_configure(struct daemon *d);
/* The members' log was read to its end, by a read started after the time. */
void quota_control_on_log_read(struct daemon *d);
/* Answers a host that draws tokens from this one as a home. */
int quota_control_lend(struct daemon *d, const struct wire_opened *from,
		       struct fig_quota_grant *out);
/* Whether this host's part of the accounts is in use. */
bool quota_control_is_ready(struct daemon *d);
/* The membership epoch on the board is a new one. */
void quota_control_apply_epoch(struct daemon *d);
void quota_control_finish(struct daemon *d);
void queue_control_start(struct daemon *d);
void queue_control_stop(struct daemon *d);
void queue_control_schedule(struct daemon *d);
void admit_control_configure(struct daemon *d);
/* The membership epoch was heard, new or again. */
void admit_control_apply_epoch(struct daemon *d);
void admit_control_start(struct daemon *d);
void admit_control_stop(struct daemon *d);
void admit_control_schedule(struct daemon *d);
/* Ends of grants, in batches to the admitting hosts. */
void release_control_start(struct daemon *d);
void release_control_stop(struct daemon *d);
void release_control_add(struct daemon *d, const char *endpoint,
			 const char *run, uint32_t serial, enum admit_end end,
			 uint32_t gap_us);
void release_control_update_view(struct daemon *d, const struct fig_room *r,
				 bool shut);
void release_control_update_views(struct daemon *d,
				  const struct fig_rooms *rooms);
/* An admitting host has room again. */
void admit_control_on_capacity(struct daemon *d, const struct fig_rooms *r);
/* An endpoint for each role was heard to take work, once. */
bool admit_control_is_ready(const struct daemon *d);

/* The part of the admitting host. */
enum admit_outcome owner_control_grant(struct daemon *d, const char *endpoint,
				       const struct admit_request *ask);
void owner_control_release(struct daemon *d, const struct fig_released *r);
int owner_control_reply_grant(struct daemon *d, const char *host,
			      const struct fig_grant *g, struct fig_rooms *out);
void owner_control_notify_waiters(struct daemon *d, struct admit_endpoint *e);
int owner_control_reply_release(struct daemon *d, const struct fig_release *r,
				struct fig_rooms *out);
int owner_control_reply_handover(struct daemon *d, const struct fig_book *ask,
				 struct fig_booked *out);
void owner_control_tick(struct daemon *d);

/* Asks the endpoints that we admit to for their load. */
void load_control_tick(struct daemon *d);
void load_control_stop(struct daemon *d);

/* Orders an endpoint to drop a run, again and again until it confirms. */
void cancel_control_add(struct daemon *d, const char *addr, const char *run);
void cancel_control_cancel_orphans(struct daemon *d, const char *addr,
				   const struct engine_load *l);
void cancel_control_finish(struct daemon *d);

/* Ends requests and calls whose key a configuration withdrew. */
void serving_abort_withdrawn_keys(struct daemon *d);
void serving_abort_all(struct daemon *d);
void service_handle(struct daemon *d, struct httpd_call *c,
		    const struct config_service *s,
		    const struct config_account *a);
/* The index of claims has read on. */
void service_on_index_advance(struct daemon *d);
void quarantine_control_start(struct daemon *d);
void quarantine_control_stop(struct daemon *d);
void quarantine_control_apply_report(struct daemon *d,
				     const struct fig_crash *crash);
void service_abort_all(struct daemon *d);

#endif
