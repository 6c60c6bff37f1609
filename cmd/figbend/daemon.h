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

/*
 * A figbend process that runs without --pools: the board, the transports and
 * the controllers. A controller connects pure packages such as pkg/admit to the
 * event loop, to messages between hosts and to the platform. All functions run
 * on the loop's thread. Those without a comment here are documented at their
 * definitions. Times are in microseconds of the monotonic clock, except for
 * boot_us.
 */

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
struct host_append;
TAILQ_HEAD(host_appends, host_append);

/*
 * config_control.c: reads the configuration from the platform's log, or from
 * another host that has a newer version, and puts it in force.
 */
struct config_control {
	struct platform_follow log_reader;
	/* Ahead of the configuration in force until the log's end is read */
	struct config_state state;
	ev_timer check_timer; /* checks if a checkpoint is due */
	struct platform_append append;
	char *checkpoint_text;	      /* of the append in flight; owned */
	int64_t checkpoint_seen_us;   /* last valid one read, or the start */
	int64_t checkpoint_append_us; /* last append by this host */
	bool appending;
	bool fetching;	  /* a call to another host is in flight */
	bool platform_ok; /* the last read of the log succeeded */
	bool gap_logged;  /* the value of state.has_gap that was last logged */
};

/*
 * host_control.c: membership. Sends heartbeats, reads and appends the records
 * of the members' log, and announces this host to the platform.
 */
struct host_control {
	struct member_core core;
	struct member_peer member_peer[MEMBER_HOSTS_MAX]; /* of core */
	struct platform_follow log_reader;
	struct host_appends appends; /* in flight */
	ev_timer heartbeat_timer;
	ev_timer announce_timer;
	struct platform_append announce;
	struct platform_list list;
	/* Borrowed from the platform's list while the core processes it */
	const char *list_name[MEMBER_HOSTS_MAX];
	/* Position in the hosts on the board, then in the seed peers */
	uint32_t next_seed;
	int64_t heartbeats_sent_us; /* last sent outside the interval */
	bool announcing;
	bool listing;
	bool fetching; /* a call for a snapshot is in flight */
};

/*
 * quarantine_control.c: runs suspects, requests that may have crashed an
 * endpoint, one at a time, and reports crashes to the other hosts.
 */
struct quarantine_control {
	struct suspects waiting;
	/* Until its first token or the end of its attempt; NULL if none */
	struct serving *active;
	struct fig_crashed report[FIG_CRASHES_MAX]; /* not sent yet */
	uint32_t report_n;
	ev_timer report_timer;
	ev_timer next_timer; /* starts the next suspect */
};

#define RELEASE_ITEMS_MAX 256

/* A release of a grant that is not sent to the endpoint's owner yet. */
struct release_item {
	char endpoint[CONFIG_NAME_BYTES];
	char run[ADMIT_RUN_BYTES];
	uint32_t serial;
	enum admit_end end;
	uint32_t gap_us; /* mean time between tokens, 0 if not measured */
	uint32_t gap_target_us;
};

/*
 * admit_control.c and release_control.c: the requesting side of admission.
 * Obtains and releases grants at the owners of endpoints.
 */
struct admit_control {
	ev_timer tick_timer;
	ev_timer flush_timer; /* sends the releases */
	ev_timer wait_timer;  /* the waiting attempts try again */
	struct admit_calls calls;
	struct admit_waits waiting; /* attempts without capacity */
	struct release_item release[RELEASE_ITEMS_MAX];
	uint32_t release_n;
	int64_t queried_us; /* last capacity query before ready */
	bool ready;
};

#define ORPHAN_RUNS_MAX 256

/* cancel_control.c: a run at an endpoint that has no entry host any more. */
struct orphan_run {
	char run[ENGINE_RUN_BYTES];
	int64_t first_seen_us; /* in a load report */
	int64_t last_seen_us;
	bool canceled; /* the cancel was sent */
};

/*
 * quota_control.c: the accounts' rate limits, and the evidence that the epoch
 * that assigned their lenders is still the newest.
 */
struct quota_control {
	ev_timer tick_timer;
	int64_t log_read_us;	     /* last time a read was started */
	int64_t log_confirmed_us;    /* start of the last complete read */
	uint64_t newest_epoch;	     /* highest number in any heartbeat */
	int64_t epoch_changed_us;    /* when the epoch on the board changed */
	int64_t first_configured_us; /* first configuration; 0 if none yet */
	bool ready;
	bool finished; /* replies only drop their references */
};

/* Characters of the host's name in the ids of its requests and runs. */
#define DAEMON_RUN_ID_HOST_CHARS 20

struct daemon {
	struct ev_loop *loop;
	struct settings settings;
	struct board board;
	struct httpd caller_httpd;
	struct httpd_tls tls; /* of caller_httpd */
	struct httpd admin_httpd;
	struct fetch fetch;
	struct engine engine;
	struct platform platform;
	struct peer peer;
	struct config_control config_control;
	struct host_control host_control;
	struct admit_control admit_control;
	struct load_polls load_polls; /* load_control.c */
	struct quota_control quota_control;
	struct plan_prefix_index prefix_index; /* plan_control.c */
	ev_timer queue_timer;		       /* queue_control.c */
	struct cancel_requests cancels;	       /* cancel_control.c */
	uint32_t cancels_n;
	struct orphan_run orphan[ORPHAN_RUNS_MAX];
	struct service_calls service_calls; /* service.c */
	uint32_t service_call_n;
	struct claim_control claim_control;
	struct quarantine_control quarantine_control;
	ev_signal sigterm;
	ev_signal sigint;
	ev_signal sighup;
	ev_timer drain_timer; /* runs while the daemon stops */
	int64_t drain_deadline_us;
	int64_t last_busy_us; /* while stopping: last time with open requests */
	/* Start of the process by the wall clock, used as the boot number */
	uint64_t boot_us;
	uint64_t last_request_number;
	bool stopping; /* a first signal to stop was received */
};

int daemon_init(struct daemon *d, const struct settings *s,
		const uint8_t secret[SETTINGS_SECRET_BYTES]);
void daemon_finish(struct daemon *d);
int64_t daemon_now_us(const struct daemon *d);
void daemon_next_request_id(struct daemon *d, char *out, size_t size);

/* Handlers of the two HTTP servers; ctx is the daemon. */
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
/* Returns true if this host may act under the epoch on the board. */
bool host_control_is_current(const struct daemon *d);

void quota_control_start(struct daemon *d);
void quota_control_finish(struct daemon *d);
void quota_control_configure(struct daemon *d);
/* The epoch on the board has changed. */
void quota_control_apply_epoch(struct daemon *d);
/* A read of the log that started after log_read_us has reached the end. */
void quota_control_on_log_read(struct daemon *d);
/* Replies to a host that borrows tokens from this one. */
int quota_control_lend(struct daemon *d, const struct wire_opened *from,
		       struct fig_quota_grant *out);
/* Returns true if this host's limits of the accounts are active. */
bool quota_control_is_ready(struct daemon *d);

void queue_control_start(struct daemon *d);
void queue_control_stop(struct daemon *d);
void queue_control_schedule(struct daemon *d);

/* The requesting side of admission. */
void admit_control_start(struct daemon *d);
void admit_control_stop(struct daemon *d);
void admit_control_configure(struct daemon *d);
/* The epoch was received, new or again. */
void admit_control_apply_epoch(struct daemon *d);
void admit_control_schedule(struct daemon *d);
/* An owner notifies this host that it has capacity again. */
void admit_control_on_capacity(struct daemon *d, const struct fig_rooms *r);
/*
 * Returns true once the owners have reported an available endpoint of each
 * role; it stays true.
 */
bool admit_control_is_ready(const struct daemon *d);

/* Releases of grants, in batches to the owners. */
void release_control_start(struct daemon *d);
void release_control_stop(struct daemon *d);
void release_control_add(struct daemon *d, const char *endpoint,
			 const char *run, uint32_t serial, enum admit_end end,
			 uint32_t gap_us);
void release_control_update_view(struct daemon *d, const struct fig_room *r,
				 bool unavailable);
void release_control_update_views(struct daemon *d,
				  const struct fig_rooms *rooms);

/* The owner's side of admission. */
enum admit_outcome owner_control_grant(struct daemon *d, const char *endpoint,
				       const struct admit_request *req);
void owner_control_release(struct daemon *d, const struct fig_released *r);
int owner_control_reply_grant(struct daemon *d, const char *host,
			      const struct fig_grant *g, struct fig_rooms *out);
int owner_control_reply_release(struct daemon *d, const struct fig_release *r,
				struct fig_rooms *out);
int owner_control_reply_handover(struct daemon *d, const struct fig_book *query,
				 struct fig_booked *out);
void owner_control_notify_waiters(struct daemon *d, struct admit_endpoint *e);
void owner_control_tick(struct daemon *d);

/* Queries the load of the endpoints that this host owns. */
void load_control_tick(struct daemon *d);
void load_control_stop(struct daemon *d);

/* Cancels runs at endpoints, with retries until the endpoint confirms. */
void cancel_control_add(struct daemon *d, const char *addr, const char *run);
void cancel_control_cancel_orphans(struct daemon *d, const char *addr,
				   const struct engine_load *l);
void cancel_control_finish(struct daemon *d);

void quarantine_control_start(struct daemon *d);
void quarantine_control_stop(struct daemon *d);
void quarantine_control_apply_report(struct daemon *d,
				     const struct fig_crash *crash);

/* Aborts requests whose key was withdrawn or is no longer declared. */
void serving_abort_withdrawn_keys(struct daemon *d);
void serving_abort_all(struct daemon *d);

/* Handles a call to a plain service. */
void service_handle(struct daemon *d, struct httpd_call *c,
		    const struct config_service *s,
		    const struct config_account *a);
/* The index of claims has been read further. */
void service_on_index_advance(struct daemon *d);
void service_abort_all(struct daemon *d);

#endif
