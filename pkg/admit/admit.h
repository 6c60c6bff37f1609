#ifndef FIGBEND_ADMIT_H
#define FIGBEND_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "config.h"
#include "member.h"
#include "plan.h"

/*
 * Admission control: allocates the slots and the memory of model endpoints to
 * runs. A run is one attempt of one request at an endpoint.
 *
 * Each endpoint has one owner, a host of the endpoint's failure domain that
 * rendezvous hashing over the membership epoch selects (member_owners). The
 * owner grants slots and memory pieces to the hosts that ask for them. A grant
 * is a lease until its run has started: the holder starts the run within
 * ADMIT_START_TIMEOUT_US of its request, or not at all. After that the grant
 * lasts until it is released or a load report of the endpoint shows that the
 * run has ended. Fewer slots than declared may be in use: slow start begins
 * with an eighth of the slots when an endpoint has a new owner, is cold, has
 * restarted or returns to service, and opens one slot for each completed run;
 * and an additive-increase/multiplicative-decrease (AIMD) limit follows the
 * measured time between tokens.
 *
 * Ownership moves by epoch. A new owner first queries the hosts that may have
 * owned the endpoint before. It adopts the grants of the one that hands over
 * completely; if none does, it waits until each grant of an earlier owner has
 * either expired or become a run that a load report shows.
 *
 * All hosts, owners or not, keep a view of every endpoint: the capacity that
 * its owner last reported. A view only selects where to send a request for a
 * grant; it may be out of date without harm.
 *
 * Invariant: if every run is started under a grant and the declared sizes do
 * not shrink, the runs at an endpoint never exceed its slots and pieces, even
 * when hosts crash, pause, join or leave.
 *
 * Assumptions: times are microseconds of a monotonic clock. The clocks of
 * different hosts run at the same rate but show different times; a handover
 * carries remaining times only. Messages between hosts may be delayed, lost,
 * duplicated or reordered. A message that starts a run reaches its endpoint
 * within ADMIT_DELIVERY_MAX_US or never. A load report shows the endpoint at
 * most ADMIT_REPORT_LAG_US before its query was sent.
 *
 * The package reads no clock and does no I/O. It allocates memory in
 * admit_configure, admit_apply_epoch, admit_assign_owners, admit_alloc_init and
 * admit_alloc_resize only. A struct admit belongs to one event loop.
 */

#define ADMIT_PIECE_TOKENS 4096 /* tokens of KV cache in a memory piece */
#define ADMIT_RUN_BYTES 64	/* run ID with its NUL */
#define ADMIT_RELEASED_MAX 128	/* releases that an allocator remembers */
#define ADMIT_WAITERS_MAX 64
/* The owner seen last, and the owner that the epoch without this host gives. */
#define ADMIT_PREV_OWNERS_MAX 2

/* Longest time from the request for a grant to the start of its run. */
#define ADMIT_START_TIMEOUT_US (2LL * 1000000)
/* Longest time that a message that starts a run is in transit. */
#define ADMIT_DELIVERY_MAX_US (1LL * 1000000)
/* Greatest age of a load report's contents when its query is sent. */
#define ADMIT_REPORT_LAG_US (500LL * 1000)
/* Interval of load queries to an endpoint. */
#define ADMIT_REPORT_INTERVAL_US (1LL * 1000000)
/* Nothing is granted if the last load report is older. */
#define ADMIT_REPORT_EXPIRY_US (5LL * 1000000)
/* Time after which a previous owner that has not answered is queried again. */
#define ADMIT_HANDOVER_RETRY_US (300LL * 1000)
/* A host that does not run for longer than this counts as paused. */
#define ADMIT_PAUSE_THRESHOLD_US (1500LL * 1000)

enum admit_state {
	ADMIT_INACTIVE, /* another host is the owner */
	ADMIT_HANDOVER, /* queries the previous owners that are in the epoch */
	ADMIT_EXPIRING, /* waits until earlier owners' grants have expired */
	ADMIT_ACTIVE,	/* grants */
};

/* Outcome of a request for a grant. Sent to other hosts by number. */
enum admit_outcome {
	ADMIT_GRANTED,
	ADMIT_FULL,		/* no free capacity now */
	ADMIT_NOT_OWNER,	/* another host is the owner */
	ADMIT_UNAVAILABLE,	/* draining, out of service, in handover, no
				 * recent load report, or its owner paused */
	ADMIT_ALREADY_RELEASED, /* the release overtook the request */
};

/* How a grant ended, as its holder saw it. Sent to other hosts by number. */
enum admit_end {
	ADMIT_END_COMPLETE, /* the endpoint completed the run */
	ADMIT_END_UNUSED,   /* the run was not started */
	ADMIT_END_UNKNOWN,  /* canceled; the endpoint may still hold the run */
	ADMIT_END_FAILED,   /* the connection failed during the run, which the
			     * endpoint may still hold */
};

/* A request for a grant. */
struct admit_request {
	const char *run; /* run ID */
	uint32_t serial; /* grows with each request for the same run */
	uint32_t pieces; /* memory, see ADMIT_PIECE_TOKENS */
	uint32_t tokens; /* prefill work; 0 at a decode endpoint */
	uint32_t queue_max_tokens; /* no grant if more prefill work is queued
				    * behind the oldest grant; 0 if unlimited */
};

/* A slot and memory pieces that a run may use. */
struct admit_grant {
	char run[ADMIT_RUN_BYTES];
	uint32_t serial; /* of the latest request */
	uint32_t pieces;
	uint32_t tokens; /* prefill work; 0 at a decode endpoint */
	int64_t granted_us;
	int64_t start_deadline_us; /* the run is not started after this time */
	int64_t released_us; /* when it was released although the endpoint may
			      * still hold the run; 0 if not released */
	bool seen_running;   /* a load report listed the run */
};

/* A grant that has ended, kept to recognize late and duplicate messages. */
struct admit_released {
	uint64_t run_hash;
	uint32_t serial;
	int64_t at_us;
};

/* Load report of an endpoint. */
struct admit_report {
	int64_t queried_us;   /* when the query was sent, local clock */
	uint64_t boot;	      /* changes when the endpoint restarts */
	uint32_t slots_used;  /* all runs, also those that are not listed */
	uint32_t pieces_used; /* by all runs */
	bool cold;	      /* the endpoint is warming up */
	bool draining;	      /* it accepts no new runs */
	const char (*running)[ADMIT_RUN_BYTES]; /* IDs, the caller's memory */
	uint32_t running_n; /* below slots_used if the list is truncated */
};

/* A host that may have owned the endpoint before and must hand over. */
struct admit_prev_owner {
	char name[MEMBER_NAME_BYTES];
	char addr[MEMBER_NAME_BYTES];
	int64_t queried_us; /* when the last query was sent; 0 if none was */
};

/* Slot allocator of one endpoint. Kept when ownership moves away. */
struct admit_allocator {
	enum admit_state state;
	uint64_t fence;		/* fencing token of the grants: the epoch that
				 * made this host the owner, or the token of the
				 * owner that handed over */
	uint64_t yielded_epoch; /* epoch by which the endpoint was yielded */
	bool was_active;	/* it was ACTIVE then, with no epoch missed */
	struct admit_prev_owner prev_owner[ADMIT_PREV_OWNERS_MAX];
	uint32_t prev_owner_n; /* hosts that still have to answer */
	uint32_t slots;	       /* declared */
	uint32_t pieces;       /* declared */
	uint32_t window;       /* slots that slow start has opened */
	uint32_t limit;	       /* AIMD limit on slots in use */
	int64_t limit_changed_us;
	int64_t prev_expiry_us;	    /* when all grants of earlier owners have
				     * expired; valid while EXPIRING */
	int64_t crash_suspected_us; /* a run failed: the endpoint may have
				     * restarted; 0 if not suspected */
	int64_t report_queried_us;  /* query time of the last report applied;
				     * 0 if none */
	uint64_t boot;		    /* of the endpoint; 0 if not known */
	bool cold;		    /* as last reported */
	bool draining;		    /* as last reported */
	bool unreachable;	    /* the last load query failed */
	struct admit_grant *grant;  /* owned array, at least slots long */
	uint32_t grant_n;
	uint32_t untracked_slots;  /* runs at the endpoint without a grant */
	uint32_t untracked_pieces; /* memory of those runs */
	struct admit_released released[ADMIT_RELEASED_MAX]; /* ring buffer */
	uint32_t released_n; /* next index, modulo the size of the ring */
	/* Hosts to notify of free capacity, longest waiting first. */
	char waiter[ADMIT_WAITERS_MAX][MEMBER_NAME_BYTES];
	uint32_t waiter_n;
};

/* Declaration and view of one endpoint, and its allocator if there is one. */
struct admit_endpoint {
	char name[CONFIG_NAME_BYTES];
	char addr[CONFIG_ADDR_BYTES];
	char domain[CONFIG_NAME_BYTES]; /* its failure domain */
	char serves[CONFIG_NAME_BYTES]; /* model or service */
	enum config_role role;
	uint32_t slots;
	uint32_t slots_used; /* view, with requests of this host in flight */
	uint32_t pieces;
	uint32_t pieces_used;	/* view, like slots_used */
	uint32_t queued_tokens; /* view: prefill work of unreleased grants */
	uint32_t link_kbytes_s; /* rate of its KV transfer link */
	struct plan_estimator estimator;
	int64_t view_updated_us;   /* 0 if the view has expired or none came */
	int64_t view_age_start_us; /* start of the view's lifetime; 0 if not
				    * started */
	bool fences;		   /* the endpoint checks fencing tokens */
	bool in_service;  /* declared, its domain in service, not draining */
	bool unavailable; /* view: its owner grants nothing, for a reason other
			   * than capacity, or does not respond */
	char owner[CONFIG_NAME_BYTES]; /* "" if no host can be the owner */
	char owner_addr[CONFIG_ADDR_BYTES];
	struct admit_allocator *alloc; /* owned; NULL if this host has not been
					* the owner */
};

/* Admission state of one host. */
struct admit {
	char host[MEMBER_NAME_BYTES];	/* this host */
	char domain[CONFIG_NAME_BYTES]; /* of this host; "" for no preference */
	uint64_t epoch;			/* number of the last epoch applied */
	struct admit_endpoint *endpoint; /* owned array */
	uint32_t n;
	int64_t last_tick_us;
	int64_t pause_detected_us;
	bool paused; /* grants nothing until the epoch is applied again */
};

/* Returns true if the endpoint must not be chosen. ctx is the caller's. */
typedef bool (*admit_exclude_fn)(const void *ctx, const char *endpoint);

/* admit.c: the endpoints and this host's view of them. */

/* Initializes a without endpoints; the caller then sets host and domain. */
void admit_init(struct admit *a);
void admit_finish(struct admit *a);
/*
 * Applies the endpoints of a configuration. Views and allocators of endpoints
 * that stay are kept. An endpoint that is no longer declared goes out of
 * service and is removed by the first call that finds no slot in use in its
 * view and no grant in its allocator. Invalidates pointers to endpoints.
 * Returns 0, or -ENOMEM with nothing changed.
 */
int admit_configure(struct admit *a, const struct config *c);
/* Returns NULL if there is no such endpoint. */
struct admit_endpoint *admit_find(struct admit *a, const char *name);
/* Returns true if the view shows a free slot and so many free pieces. */
bool admit_has_capacity(const struct admit_endpoint *e, uint32_t pieces);
/*
 * Returns the endpoint with the smallest share of its slots in use among those
 * that serve the model or service in the role and have capacity, or NULL.
 * Endpoints of other failure domains are chosen only if none in this host's own
 * domain is available; one that is merely full is available.
 */
struct admit_endpoint *admit_pick(struct admit *a, enum config_role role,
				  const char *serves, uint32_t pieces,
				  admit_exclude_fn excluded, const void *ctx);
/* Counts a slot and pieces as used in the view, before the owner grants. */
void admit_view_reserve(struct admit_endpoint *e, uint32_t pieces);
/*
 * Reverts admit_view_reserve. The counts stop at 0, because the view may have
 * been updated in between.
 */
void admit_view_release(struct admit_endpoint *e, uint32_t pieces);
/* Replaces the view by what the owner reported. */
void admit_view_update(struct admit_endpoint *e, uint32_t slots_free,
		       uint32_t pieces_free, uint32_t queued_tokens,
		       bool unavailable, int64_t now_us);
/* Expires old views and detects pauses; called at a fixed interval. */
void admit_tick(struct admit *a, int64_t now_us);
/*
 * Detects that this host was paused: more than ADMIT_PAUSE_THRESHOLD_US have
 * passed since the last call. Other hosts may have taken over its endpoints in
 * that time, so its allocators grant nothing until the epoch is applied again.
 * Called more often than the threshold, and before each grant.
 */
void admit_detect_pause(struct admit *a, int64_t now_us);
/*
 * Returns true if the holder of a grant, which it requested at requested_us,
 * may still start the run.
 */
bool admit_may_start(const struct admit_endpoint *e, int64_t requested_us,
		     int64_t now_us);
/* Returns the memory pieces that so many tokens need. */
uint32_t admit_tokens_to_pieces(uint32_t tokens);

/* owner.c: which host is the owner, and how ownership moves. */

/* Response of a previous owner to the new one. */
struct admit_handover {
	bool stale;    /* the query's epoch is older than this host's, or equal
		     * while this host is the owner */
	bool complete; /* grant[] is all that is granted, and stays so */
	uint64_t fence;
	uint64_t boot;			 /* of the endpoint; 0 if not known */
	uint32_t window;		 /* slots that slow start has opened */
	const struct admit_grant *grant; /* valid until the allocator changes */
	uint32_t grant_n;
};

/*
 * Applies a membership epoch, new or received again: assigns the owners, yields
 * the endpoints that another host owns, takes over those that this host owns,
 * and ends the state after a pause. Ignores an older epoch, and any epoch
 * within ADMIT_PAUSE_THRESHOLD_US of a pause, which may have been sent before
 * it.
 */
void admit_apply_epoch(struct admit *a, const struct member_epoch *e,
		       int64_t now_us);
/*
 * Assigns the owner of each model endpoint under an epoch that has been
 * applied, after admit_configure has added endpoints.
 */
void admit_assign_owners(struct admit *a, const struct member_epoch *e,
			 int64_t now_us);
/*
 * Returns a previous owner that is due for a handover query and marks it as
 * queried now; NULL if none is due. The pointer is valid until the allocator
 * changes.
 */
struct admit_prev_owner *admit_next_prev_owner(struct admit_allocator *al,
					       int64_t now_us);
/*
 * Calls admit_alloc_grant if this host is the owner. Returns ADMIT_UNAVAILABLE
 * if this host was paused or the endpoint is out of service.
 */
enum admit_outcome admit_grant(struct admit *a, struct admit_endpoint *e,
			       const struct admit_request *req, int64_t now_us);
/*
 * Answers the handover query of the host that an epoch made the owner of an
 * endpoint. Unless the query is stale, this host grants nothing there any more,
 * even if it has not received that epoch. If it was paused, another host may
 * have granted in between, and the handover is not complete. The grants in out
 * belong to the allocator.
 */
void admit_hand_over(struct admit *a, const char *endpoint, uint64_t epoch,
		     int64_t now_us, struct admit_handover *out);
/*
 * Applies the response of a previous owner, with start_deadline_us converted to
 * the local clock. Copies the grants. Ignores a stale response; that host is
 * queried again.
 */
void admit_apply_handover(struct admit_allocator *al, const char *host,
			  const struct admit_handover *h, int64_t now_us);

/* alloc.c: the slot allocator of one endpoint. */

/* Starts as INACTIVE. Returns 0 or -ENOMEM. */
int admit_alloc_init(struct admit_allocator *al, uint32_t slots,
		     uint32_t pieces);
void admit_alloc_finish(struct admit_allocator *al);
/*
 * Sets the declared sizes. Grants beyond a smaller size stay until they end.
 * Returns 0, or -ENOMEM with nothing changed.
 */
int admit_alloc_resize(struct admit_allocator *al, uint32_t slots,
		       uint32_t pieces);
/* Begins slow start again. */
void admit_alloc_slow_start(struct admit_allocator *al);
/*
 * Makes this host the owner, with a fencing token. The caller then fills
 * prev_owner[]. Nothing is granted until admit_alloc_adopt, or, after
 * admit_alloc_await_expiry, until a load report ends EXPIRING.
 */
void admit_alloc_take_over(struct admit_allocator *al, uint64_t fence,
			   int64_t now_us);
/*
 * No previous owner is left that could hand over: waits from now on until all
 * grants of earlier owners have expired.
 */
void admit_alloc_await_expiry(struct admit_allocator *al, int64_t now_us);
/*
 * Adopts a complete handover: copies the grants, with start_deadline_us in the
 * local clock, and continues with the fencing token and the slow-start window
 * of the previous owner.
 */
void admit_alloc_adopt(struct admit_allocator *al,
		       const struct admit_handover *h, int64_t now_us);
/*
 * Another host is the owner from an epoch on. The grants are kept for the
 * handover. missed_epochs is true if this host may have missed an epoch with
 * another owner; the handover is then not complete.
 */
void admit_alloc_yield(struct admit_allocator *al, uint64_t epoch,
		       bool missed_epochs);
/*
 * Grants a slot and memory pieces to a run. Idempotent: a run that has a grant
 * keeps it, and a request with a higher serial renews the start deadline.
 */
enum admit_outcome admit_alloc_grant(struct admit_allocator *al,
				     const struct admit_request *req,
				     int64_t now_us);
/*
 * Releases a grant; idempotent. If the endpoint may still hold the run, its
 * slot stays in use until a load report shows that it does not. The release of
 * an unknown run is remembered, in case it overtook the request for its grant.
 * A release with an older serial than the grant's is ignored.
 */
void admit_alloc_release(struct admit_allocator *al, const char *run,
			 uint32_t serial, enum admit_end end, int64_t now_us);
/* Adds a host to notify of free capacity; ignored if the list is full. */
void admit_alloc_add_waiter(struct admit_allocator *al, const char *host);
/*
 * Removes as many waiters as there are free slots, longest waiting first, and
 * writes their names to out. Returns their number.
 */
uint32_t
admit_alloc_pop_waiters(struct admit_allocator *al,
			char out[ADMIT_WAITERS_MAX][MEMBER_NAME_BYTES]);
/*
 * Applies a load report. Ignores one whose query is not newer than that of the
 * last report applied. Ends EXPIRING if the report was sampled after all grants
 * of earlier owners had expired.
 */
void admit_alloc_apply_report(struct admit_allocator *al,
			      const struct admit_report *r, int64_t now_us);
/* A load query failed: nothing is granted until the next report. */
void admit_alloc_set_unreachable(struct admit_allocator *al);
/*
 * Returns true if a load query is due: at each interval, and as soon as a
 * report can end EXPIRING. queried_us is the time of the last query, 0 if none.
 */
bool admit_alloc_report_due(const struct admit_allocator *al,
			    int64_t queried_us, int64_t now_us);
/*
 * Adjusts the AIMD limit by a run's mean time between tokens. Above the target
 * the limit falls to four fifths of itself, or of the slots in use if these are
 * fewer, at most five times a second. At or below the target it rises by one,
 * at most once a second, and only if at most one of the slots that it permits
 * is unused.
 */
void admit_alloc_observe_gap(struct admit_allocator *al, uint32_t gap_us,
			     uint32_t target_us, int64_t now_us);
/* Returns true if the endpoint accepts runs, provided that it has capacity. */
bool admit_alloc_is_available(const struct admit_allocator *al);
/* Returns the slots that may be granted now. */
uint32_t admit_alloc_slots_free(const struct admit_allocator *al);
/* Returns the memory pieces that may be granted now. */
uint32_t admit_alloc_pieces_free(const struct admit_allocator *al);
/* Returns the prefill work of the grants that are not released, in tokens. */
uint32_t admit_alloc_queued_tokens(const struct admit_allocator *al);

#endif
