#ifndef FIGBEND_MEMBER_H
#define FIGBEND_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The membership epoch: which hosts there are, as all hosts agree. Its number is
 * the offset of the log record that made it, and serves as fencing number.
 */

#define MEMBER_NAME_BYTES 64
#define MEMBER_HOSTS_MAX 1024
#define MEMBER_MONITORS 6 /* hosts that watch one host of their domain */
#define MEMBER_RELAYS 2	  /* hosts of a domain that tell other domains */
#define MEMBER_DOMAINS_MAX 16

struct member_host {
	char name[MEMBER_NAME_BYTES];
	char domain[MEMBER_NAME_BYTES];
	char addr[MEMBER_NAME_BYTES]; /* of its peer port, IP:PORT */
	uint64_t boot;		      /* start of the process that joined */
	uint64_t join_offset;	      /* offset of the record that let it in */
	bool leaving;
};

struct member_epoch {
	uint64_t number; /* 0: none yet */
	uint32_t n;
	struct member_host host[MEMBER_HOSTS_MAX];
};

const struct member_host *member_find(const struct member_epoch *e,
				      const char *name);
uint32_t member_owners(const struct member_epoch *e, const char *domain,
		       const char *key, const struct member_host **out,
		       uint32_t k);
uint32_t member_monitors(const struct member_epoch *e,
			 const struct member_host *h,
			 const struct member_host **out);

/* The fold of the log's member stream, the same on every host. */
struct member_state {
	struct member_epoch *epoch; /* the caller's memory */
	uint64_t next_offset;	    /* first offset not yet folded */
	uint64_t last_change;	    /* last record that was no checkpoint */
	uint64_t last_checkpoint;   /* last checkpoint that stands */
	uint64_t gap_end;	    /* records below are unknown while lost */
	bool has_gap; /* records expired unread: needs a checkpoint or a peer */
};

enum member_outcome {
	MEMBER_CHANGED, /* the epoch is a new one */
	MEMBER_UNCHANGED,
	MEMBER_INVALID,
};

void member_state_init(struct member_state *f, struct member_epoch *epoch);
void member_state_set_log_start(struct member_state *f, uint64_t first);
enum member_outcome member_state_apply(struct member_state *f, uint64_t offset,
				       const char *record, size_t n);
/* Takes over the checkpoint text that a peer wrote of its own fold. */
enum member_outcome member_state_install(struct member_state *f,
					 const char *text, size_t n);

/* Records, as text that the caller frees; NULL when out of memory. */
char *member_record_join(const struct member_host *h);
char *member_record_leave(const struct member_host *h);
char *member_record_remove(const struct member_host *h, const char *by);
char *member_record_checkpoint(const struct member_state *f);

/* What one host does about membership: events and time in, actions out. */
struct member_peer {
	uint64_t join_offset; /* of the host that is watched */
	int64_t last_heartbeat_us;
	int64_t suspected_us;	  /* suspected since; 0: not */
	int64_t probed_us;	  /* other monitors were asked; 0: not */
	int64_t remove_append_us; /* removal was appended; 0: not */
	bool monitored;		  /* this host watches it */
	bool listed;
};

struct member_core {
	struct member_host self;
	struct member_state state;
	struct member_peer *peer; /* MEMBER_HOSTS_MAX of the caller's */
	uint32_t target[MEMBER_MONITORS +
			MEMBER_RELAYS * MEMBER_DOMAINS_MAX]; /* of beats */
	uint32_t target_n;
	const char *unreachable[MEMBER_DOMAINS_MAX]; /* in the epoch's memory */
	uint32_t unreachable_n;
	int64_t heartbeat_interval_us;
	int64_t suspect_timeout_us;
	int64_t checkpoint_interval_us; /* longest time between checkpoints */
	int64_t last_step_us;		/* time of the last event */
	int64_t resumed_us;		/* end of the last pause */
	int64_t heartbeat_sent_us;
	int64_t list_read_us;	    /* when the platform's list was last read */
	int64_t list_requested_us;  /* and last asked for */
	int64_t own_append_us;	    /* own record */
	int64_t checkpoint_seen_us; /* a checkpoint was last seen to stand */
	int64_t checkpoint_append_us; /* and last appended by this host */
	int64_t gap_since_us;	      /* lost since; 0: not */
	int64_t fetch_any_us;
	uint64_t log_start;
	uint64_t confirmed_by[2]; /* boots of hosts that hold the same epoch */
	bool current; /* since the last pause, the epoch was confirmed */
	bool log_caught_up;
	bool leaving;
};

enum member_event_kind {
	MEMBER_EV_TICK,
	MEMBER_EV_RECORD,
	MEMBER_EV_TAIL, /* the log was read to its end */
	MEMBER_EV_LOG_DOWN,
	MEMBER_EV_HEARTBEAT,   /* a heartbeat */
	MEMBER_EV_HOST_LIST,   /* the platform's list */
	MEMBER_EV_PROBE_REPLY, /* another monitor heard a host */
	MEMBER_EV_SNAPSHOT,    /* a peer's checkpoint text */
	MEMBER_EV_LEAVE,
};

struct member_event {
	enum member_event_kind kind;
	union {
		struct {
			uint64_t first; /* oldest offset in the log */
			uint64_t offset;
			const char *data;
			size_t n;
			int64_t requested_us; /* SNAPSHOT: time of the call */
		} record; /* also TAIL (first) and SNAPSHOT (data, n) */
		struct {
			const char *host;
			const char *addr;
			uint64_t boot;
			uint64_t epoch_number;
			bool current;
			uint32_t age_ms; /* VOUCHED only */
		} heartbeat;
		struct {
			const char *const *name;
			uint32_t n;
		} list;
	};
};

enum member_action_kind {
	MEMBER_ACT_HEARTBEAT, /* a heartbeat to addr */
	MEMBER_ACT_JOIN,
	MEMBER_ACT_LEAVE,
	MEMBER_ACT_REMOVE, /* append the removal of host */
	MEMBER_ACT_CHECKPOINT,
	MEMBER_ACT_PROBE,	   /* ask addr whether it hears host */
	MEMBER_ACT_FETCH_SNAPSHOT, /* get the epoch that addr has */
	MEMBER_ACT_FETCH_ANY,	   /* get the epoch from any host known */
	MEMBER_ACT_READ_LIST,
	MEMBER_ACT_REREAD_LOG, /* read the log's tail anew, without waiting */
	MEMBER_ACT_EPOCH_CHANGED, /* the epoch is a new one */
};

struct member_action {
	enum member_action_kind kind;
	char addr[MEMBER_NAME_BYTES];
	struct member_host host;
};

#define MEMBER_ACTIONS_MAX 96

struct member_actions {
	uint32_t n;
	struct member_action action[MEMBER_ACTIONS_MAX];
};

void member_core_init(struct member_core *c, const struct member_host *self,
		      struct member_epoch *epoch, struct member_peer *watch,
		      uint32_t beat_ms, uint32_t suspect_ms,
		      uint32_t checkpoint_s, int64_t now_us);
void member_step(struct member_core *c, const struct member_event *ev,
		 int64_t now_us, struct member_actions *out);
/* Tells whether what this host holds by the epoch may be used. */
bool member_is_current(const struct member_core *c, int64_t now_us);
/*
 * Tells whether all hosts of another domain are silent and off the list. Only
 * relays know; the domain may as well be cut off, and stays in the epoch.
 */
bool member_domain_is_unreachable(const struct member_core *c,
				  const char *domain);
/* Time since a host was heard; UINT32_MAX: never, or another start of it. */
uint32_t member_heartbeat_age_ms(const struct member_core *c, const char *host,
				 uint64_t boot, int64_t now_us);

#endif
