#ifndef FIGBEND_MEMBER_H
#define FIGBEND_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Cluster membership: which hosts are members, as all hosts agree.
 *
 * Agreement is state machine replication over the platform's log: every host
 * applies the records of one stream in the order of their offsets, so equal
 * prefixes of the stream give equal epochs. The number of an epoch is the
 * offset of the record that made it, and serves as a fencing token. Checkpoints
 * repeat the epoch in the log before its records expire.
 *
 * Failure detection is by timeouts on heartbeats, with indirect probes as in
 * SWIM. A host sends heartbeats to its monitors, a few hosts of its own failure
 * domain. A monitor removes a host only if it received no heartbeat for the
 * suspect timeout, the platform's list of hosts, read after that, does not have
 * the host, and no other monitor reports a recent heartbeat. Hosts of other
 * domains are never removed: the relays of the domains exchange heartbeats, and
 * detect only that a whole domain is unreachable.
 *
 * Invariant: the epoch number on a host never decreases, and an epoch number
 * stands for the same hosts everywhere.
 *
 * Assumptions: the log gives each offset to one record only. Its oldest records
 * may expire, and an append may be lost or repeated. Heartbeats and replies may
 * be lost, delayed, repeated or reordered. Times are of the local monotonic
 * clock, in microseconds, and are not compared between hosts. Of two starts of
 * a host, the later one has the greater boot number.
 *
 * The package does no I/O and reads no clock. It allocates memory only to parse
 * and to write records.
 */

#define MEMBER_NAME_BYTES 64
#define MEMBER_HOSTS_MAX 1024
#define MEMBER_MONITORS 6 /* maximum number of monitors of one host */
#define MEMBER_RELAYS 2	  /* maximum number of relays of a domain */
#define MEMBER_DOMAINS_MAX 16

struct member_host {
	char name[MEMBER_NAME_BYTES];
	char domain[MEMBER_NAME_BYTES];
	char addr[MEMBER_NAME_BYTES]; /* of its peer port, IP:PORT */
	uint64_t boot; /* start time of the process, wall clock, microseconds */
	uint64_t join_offset; /* offset of the record by which it joined */
	bool leaving;	      /* it drains, and owns no keys */
};

struct member_epoch {
	uint64_t number; /* offset of the record that made it; 0: no epoch */
	uint32_t n;
	struct member_host host[MEMBER_HOSTS_MAX];
};

/* Returns the host of that name, in the epoch's memory, or NULL. */
const struct member_host *member_find(const struct member_epoch *e,
				      const char *name);
/*
 * Finds the owners of a key among the hosts of a failure domain by rendezvous
 * hashing. All hosts that have the epoch find the same. Hosts that are leaving
 * own nothing. Writes pointers into the epoch to up to k hosts (16 at most), by
 * descending score, and returns their number.
 */
uint32_t member_owners(const struct member_epoch *e, const char *domain,
		       const char *key, const struct member_host **out,
		       uint32_t k);
/*
 * Writes pointers into the epoch to the hosts that monitor a host, in the order
 * in which they may remove it; out has space for MEMBER_MONITORS. Returns their
 * number.
 */
uint32_t member_monitors(const struct member_epoch *e,
			 const struct member_host *h,
			 const struct member_host **out);

/*
 * The state machine over the membership records of the log. It has a gap if
 * records expired before they were read. With a gap it keeps its epoch, but
 * applies no records until a valid checkpoint or the snapshot of a peer closes
 * the gap.
 */
struct member_state {
	struct member_epoch *epoch; /* owned by the caller */
	uint64_t next_offset;	    /* offset of the next record to apply */
	uint64_t last_change;	  /* offset of the last non-checkpoint record */
	uint64_t last_checkpoint; /* offset of the last valid checkpoint */
	uint64_t gap_end;	  /* oldest offset when the gap was found */
	bool has_gap;
};

enum member_outcome {
	MEMBER_CHANGED, /* there is a new epoch */
	MEMBER_UNCHANGED,
	MEMBER_INVALID, /* the record or snapshot was rejected */
};

/*
 * Initializes the state before the first record of the stream, and empties the
 * epoch, which the caller keeps as long as the state.
 */
void member_state_init(struct member_state *s, struct member_epoch *epoch);
/*
 * Sets the oldest offset that is left in the log. If it is past next_offset,
 * the state has a gap.
 */
void member_state_set_log_start(struct member_state *s, uint64_t log_start);
/*
 * Applies the record at an offset. Records are passed in the order of the log;
 * one below next_offset is ignored. A record that changes the hosts makes a new
 * epoch; one without effect, such as a duplicate, keeps the epoch.
 */
enum member_outcome member_state_apply(struct member_state *s, uint64_t offset,
				       const char *record, size_t n);
/*
 * Installs the snapshot of a peer, which has the form of a checkpoint record,
 * and closes a gap. Ignores a snapshot that is not newer than this state, or
 * that lacks a change which was read from the log or may have expired there
 * unread. Returns MEMBER_INVALID if it is malformed or its epoch number is
 * lower.
 */
enum member_outcome member_state_install(struct member_state *s,
					 const char *text, size_t n);

/* Return a record in JSON that the caller frees, or NULL if out of memory. */
char *member_record_join(const struct member_host *h);
/* Records that the host takes no new work from now on. */
char *member_record_leave(const struct member_host *h);
/*
 * The record names the offset of the join that it reverts, so that it has no
 * effect if the host has joined again. by is the name of the host that appends
 * the record.
 */
char *member_record_remove(const struct member_host *h, const char *by);
/* Records the whole epoch, and the first offset that it does not include. */
char *member_record_checkpoint(const struct member_state *s);

/* The failure detector's state of one host of the epoch. */
struct member_peer {
	uint64_t join_offset;	   /* identifies the host; 0: unused */
	int64_t last_heartbeat_us; /* or restart of the timeout; 0: neither */
	int64_t suspected_us;	   /* suspected since; 0: not suspected */
	int64_t probed_us; /* when indirect probes were sent; 0: not sent */
	int64_t remove_append_us; /* when its removal was appended; 0: never */
	bool monitored;		  /* this host is one of its monitors */
	bool listed; /* in the host list, or none was read since it joined */
};

/* The membership of one host: events and the time in, actions out. */
struct member_core {
	struct member_host self;
	struct member_state state;
	struct member_peer *peer; /* the caller's; indexed like epoch->host */
	/* Indices in the epoch of the hosts to which heartbeats are sent. */
	uint32_t target[MEMBER_MONITORS + MEMBER_RELAYS * MEMBER_DOMAINS_MAX];
	uint32_t target_n;
	/* Names of unreachable domains; they point into the epoch. */
	const char *unreachable[MEMBER_DOMAINS_MAX];
	uint32_t unreachable_n;
	int64_t heartbeat_interval_us;
	int64_t suspect_timeout_us;
	int64_t checkpoint_interval_us;
	int64_t last_step_us;	   /* time of the last event */
	int64_t resumed_us;	   /* end of the last pause; 0: none yet */
	int64_t heartbeat_sent_us; /* when heartbeats were last sent */
	int64_t list_read_us; /* when the host list was received; 0: never */
	int64_t list_requested_us; /* when it was requested; 0: never */
	int64_t own_append_us; /* when the own record was appended; 0: never */
	int64_t checkpoint_seen_us;   /* when a valid one was last read */
	int64_t checkpoint_append_us; /* when this host appended one; 0: never */
	int64_t gap_since_us; /* when the wait for its end began; 0: no gap */
	int64_t fetch_any_us; /* time of the last MEMBER_ACT_FETCH_ANY */
	uint64_t log_start;   /* oldest offset in the log */
	uint64_t confirmed_by[2]; /* boots of hosts that confirmed the epoch */
	bool current;	    /* the epoch was confirmed since the last pause */
	bool log_caught_up; /* read to its end, and readable since then */
	bool leaving;
};

enum member_event_kind {
	MEMBER_EV_TICK,	       /* at least once in a heartbeat interval */
	MEMBER_EV_RECORD,      /* a record was read from the log */
	MEMBER_EV_TAIL,	       /* the log was read to its end */
	MEMBER_EV_LOG_DOWN,    /* the log cannot be read */
	MEMBER_EV_HEARTBEAT,   /* a heartbeat was received */
	MEMBER_EV_HOST_LIST,   /* the platform's list of hosts was read */
	MEMBER_EV_PROBE_REPLY, /* reply of another monitor to a probe */
	MEMBER_EV_SNAPSHOT,    /* a peer's state, as a checkpoint record */
	MEMBER_EV_LEAVE,       /* this host starts to drain */
};

/* All pointers are the caller's, and need not outlive member_step. */
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
			bool current; /* the sender's epoch is confirmed */
			/* PROBE_REPLY: age of the last one; UINT32_MAX: none */
			uint32_t age_ms;
		} heartbeat; /* also PROBE_REPLY (host, boot, age_ms) */
		struct {
			const char *const *name;
			uint32_t n;
		} list;
	};
};

enum member_action_kind {
	MEMBER_ACT_HEARTBEAT, /* send a heartbeat to addr */
	MEMBER_ACT_JOIN,      /* append the join of host */
	MEMBER_ACT_LEAVE,     /* append the leave of host */
	MEMBER_ACT_REMOVE,    /* append the removal of host */
	MEMBER_ACT_CHECKPOINT,
	MEMBER_ACT_PROBE, /* ask addr for the age of host's last heartbeat */
	MEMBER_ACT_FETCH_SNAPSHOT, /* request the state of addr */
	MEMBER_ACT_FETCH_ANY,	   /* request the state of any known host */
	MEMBER_ACT_READ_LIST,
	MEMBER_ACT_REREAD_LOG, /* read new records at once, without waiting */
	MEMBER_ACT_EPOCH_CHANGED,
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

/*
 * Initializes the membership of one start of a host. It becomes a member when
 * its join is read from the log. The caller owns epoch and peer, an array of
 * MEMBER_HOSTS_MAX elements, and keeps both as long as the core. *self is
 * copied.
 */
void member_core_init(struct member_core *c, const struct member_host *self,
		      struct member_epoch *epoch, struct member_peer *peer,
		      uint32_t heartbeat_ms, uint32_t suspect_ms,
		      uint32_t checkpoint_s, int64_t now_us);
/* Handles one event and writes the actions that the caller has to carry out. */
void member_step(struct member_core *c, const struct member_event *ev,
		 int64_t now_us, struct member_actions *out);
/*
 * Returns true if this host may act under its epoch: this start of the host is
 * a member, and the epoch was confirmed since the last pause of the process. A
 * pause counts from the moment it is long enough, not only from the next event.
 */
bool member_is_current(const struct member_core *c, int64_t now_us);
/*
 * Returns true if the hosts of another domain are all off the host list and
 * send no heartbeats. Only relays detect this. The cause may also be a network
 * partition, so the domain stays in the epoch.
 */
bool member_domain_is_unreachable(const struct member_core *c,
				  const char *domain);
/*
 * Returns the age of the last heartbeat of a host, or the time since its
 * timeout was restarted if that is shorter. Returns UINT32_MAX if this host
 * does not monitor it or suspects it, or if boot is not that of a member.
 */
uint32_t member_heartbeat_age_ms(const struct member_core *c, const char *host,
				 uint64_t boot, int64_t now_us);

#endif
