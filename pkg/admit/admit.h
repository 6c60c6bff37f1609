#ifndef FIGBEND_ADMIT_H
#define FIGBEND_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "config.h"
#include "member.h"
#include "plan.h"

/*
 * Slots and memory pieces of the endpoints. Each endpoint has one admitting host
 * of its own failure domain, which keeps its book: the grants that are out and
 * what the endpoint says of itself. All hosts keep a view of every endpoint: the
 * room that its admitting host named last, as a hint of where to ask.
 */

#define ADMIT_PIECE_TOKENS 4096
#define ADMIT_RUN_BYTES 64
#define ADMIT_RELEASED_MAX 128
#define ADMIT_WAITERS_MAX 64

#define ADMIT_PREV_OWNERS_MAX 2

#define ADMIT_START_TIMEOUT_US (2LL * 1000000) /* grant to order, at most */
#define ADMIT_DELIVERY_MAX_US (1LL * 1000000)  /* an order is under way */
#define ADMIT_REPORT_LAG_US (500LL * 1000)     /* age of a load report */
#define ADMIT_REPORT_INTERVAL_US (1LL * 1000000)
#define ADMIT_HANDOVER_RETRY_US (300LL * 1000) /* a host that did not answer */
#define ADMIT_REPORT_EXPIRY_US                                                 \
	(5LL * 1000000) /* no room without a younger one */
#define ADMIT_PAUSE_THRESHOLD_US (1500LL * 1000) /* between ticks: was paused */

enum admit_state {
	ADMIT_INACTIVE, /* another host's */
	ADMIT_HANDOVER, /* the owner before has to answer, or to be gone */
	ADMIT_EXPIRING, /* for the grants of the owner before to lapse */
	ADMIT_ACTIVE,
};

enum admit_outcome {
	ADMIT_GRANTED,
	ADMIT_FULL,	   /* no room now */
	ADMIT_NOT_OWNER,   /* ask the admitting host */
	ADMIT_UNAVAILABLE, /* leaving, withdrawn, taking over, or not reporting */
	ADMIT_ALREADY_RELEASED, /* the run was released before: a late message */
};

/* How a grant came to its end, as the host that held it saw. */
enum admit_end {
	ADMIT_END_COMPLETE, /* the endpoint finished the run */
	ADMIT_END_UNUSED,   /* no order was sent */
	ADMIT_END_UNKNOWN,  /* the endpoint may still hold the run */
	ADMIT_END_FAILED,   /* the endpoint failed and may still hold it */
};

struct admit_request {
	const char *run;
	uint32_t serial; /* grows where a run is asked for again */
	uint32_t pieces;
	uint32_t tokens;	   /* prefill work */
	uint32_t queue_max_tokens; /* that wait behind one; 0: no bound */
};

struct admit_grant {
	char run[ADMIT_RUN_BYTES];
	uint32_t serial; /* of the ask */
	uint32_t pieces;
	uint32_t tokens;
	int64_t granted_us;
	int64_t start_deadline_us; /* no order is sent later */
	int64_t released_us;	   /* 0: held */
	bool seen_running;	   /* in a load report */
};

struct admit_released {
	uint64_t run_hash;
	uint32_t serial;
	int64_t at_us;
};

/* What an endpoint said of itself; asked_us is when the question was sent. */
struct admit_report {
	int64_t queried_us;
	uint64_t boot;
	uint32_t slots_used;
	uint32_t pieces_used;
	bool cold;
	bool draining;
	const char (*running)[ADMIT_RUN_BYTES];
	uint32_t running_n;
};

/* A host that may have been the owner before and has to answer. */
struct admit_prev_owner {
	char name[MEMBER_NAME_BYTES];
	char addr[MEMBER_NAME_BYTES];
	int64_t queried_us; /* 0: not yet */
};

struct admit_allocator {
	enum admit_state state;
	uint64_t fence;		/* number of the epoch that made us the owner */
	uint64_t yielded_epoch; /* closed by this epoch */
	bool was_active;	/* when it was closed */
	struct admit_prev_owner prev_owner[ADMIT_PREV_OWNERS_MAX];
	uint32_t prev_owner_n;
	uint32_t slots;
	uint32_t pieces;
	uint32_t window;	  /* slow start: slots open so far */
	uint32_t limit;		  /* by measured latency */
	int64_t limit_changed_us; /* when the limit last changed */
	int64_t prev_expiry_us;	  /* end of the wait for the owner before */
	int64_t crash_suspected_us; /* a run broke: it may have restarted; 0: no */
	int64_t report_queried_us; /* question of the last report; 0: none */
	uint64_t boot;
	bool cold;
	bool draining;
	bool unreachable;	   /* it did not answer */
	struct admit_grant *grant; /* room for slots */
	uint32_t grant_n;
	uint32_t
		untracked_slots; /* runs at the endpoint that are no grant here */
	uint32_t untracked_pieces;
	struct admit_released released[ADMIT_RELEASED_MAX];
	uint32_t released_n;
	char waiter[ADMIT_WAITERS_MAX]
		   [MEMBER_NAME_BYTES]; /* hosts told it is full */
	uint32_t waiter_n;
};

struct admit_endpoint {
	char name[CONFIG_NAME_BYTES];
	char addr[CONFIG_ADDR_BYTES];
	char domain[CONFIG_NAME_BYTES];
	char serves[CONFIG_NAME_BYTES];
	enum config_role role;
	uint32_t slots;
	uint32_t slots_used; /* hint, with what this host is asking for */
	uint32_t pieces;
	uint32_t pieces_used;
	uint32_t queued_tokens;
	uint32_t link_kbytes_s; /* in kB/s */
	struct plan_speed speed;
	int64_t view_updated_us;   /* of the hint; 0: none */
	int64_t view_age_start_us; /* since when it ages; 0: not yet */
	bool fences;
	bool in_service;  /* declared, in service, not leaving */
	bool unavailable; /* its admitting host said so, or does not answer */
	char owner[CONFIG_NAME_BYTES];
	char owner_addr[CONFIG_ADDR_BYTES];
	struct admit_allocator
		*alloc; /* NULL unless this host is or was the owner */
};

struct admit {
	char host[MEMBER_NAME_BYTES];	/* this host */
	char domain[CONFIG_NAME_BYTES]; /* of this host; "" for no preference */
	uint64_t epoch;			/* number of the last one taken */
	struct admit_endpoint *endpoint;
	uint32_t n;
	int64_t last_tick_us;
	int64_t pause_detected_us; /* when that was noticed */
	bool paused; /* trusts no book until it has heard the epoch again */
};

/* Says no to an endpoint; the context is the caller's. */
typedef bool (*admit_exclude_fn)(const void *ctx, const char *endpoint);

void admit_init(struct admit *a);
void admit_finish(struct admit *a);
int admit_configure(struct admit *a, const struct config *c);
struct admit_endpoint *admit_find(struct admit *a, const char *name);
bool admit_has_capacity(const struct admit_endpoint *e, uint32_t pieces);
struct admit_endpoint *admit_pick(struct admit *a, enum config_role role,
				  const char *serves, uint32_t pieces,
				  admit_exclude_fn excludes, const void *ctx);
void admit_view_reserve(struct admit_endpoint *e, uint32_t pieces);
void admit_view_release(struct admit_endpoint *e, uint32_t pieces);
/* The room that the admitting host named. */
void admit_view_update(struct admit_endpoint *e, uint32_t slots_free,
		       uint32_t pieces_free, uint32_t queued_tokens, bool shut,
		       int64_t now_us);
/* Once an interval: forgets old hints, notices that this host was paused. */
void admit_tick(struct admit *a, int64_t now_us);
void admit_detect_pause(struct admit *a, int64_t now_us);
bool admit_may_start(const struct admit_endpoint *e, int64_t asked_us,
		     int64_t now_us);
uint32_t admit_tokens_to_pieces(uint32_t tokens);

/* owner.c: who admits, and how it changes. */

/* What the owner before tells the new one. */
struct admit_handover {
	bool stale;    /* the asker has an old epoch and is no owner */
	bool complete; /* no grant but these is out, none will be made */
	uint64_t fence;
	uint64_t boot; /* of the endpoint; 0: not known */
	uint32_t window;
	const struct admit_grant *grant;
	uint32_t grant_n;
};

void admit_apply_epoch(struct admit *a, const struct member_epoch *e,
		       int64_t now_us);
void admit_assign_owners(struct admit *a, const struct member_epoch *e,
			 int64_t now_us);
struct admit_prev_owner *admit_next_prev_owner(struct admit_allocator *b,
					       int64_t now_us);
enum admit_outcome admit_grant(struct admit *a, struct admit_endpoint *e,
			       const struct admit_request *ask, int64_t now_us);
void admit_hand_over(struct admit *a, const char *endpoint, uint64_t epoch,
		     int64_t now_us, struct admit_handover *out);
void admit_apply_handover(struct admit_allocator *b, const char *host,
			  const struct admit_handover *h, int64_t now_us);

/* book.c: what one endpoint bears and who has it. */

int admit_alloc_init(struct admit_allocator *b, uint32_t slots,
		     uint32_t pieces);
void admit_alloc_finish(struct admit_allocator *b);
int admit_alloc_resize(struct admit_allocator *b, uint32_t slots,
		       uint32_t pieces);
void admit_alloc_slow_start(struct admit_allocator *b);
void admit_alloc_take_over(struct admit_allocator *b, uint64_t fence,
			   int64_t now_us);
void admit_alloc_await_expiry(struct admit_allocator *b, int64_t now_us);
void admit_alloc_adopt(struct admit_allocator *b,
		       const struct admit_handover *h, int64_t now_us);
void admit_alloc_yield(struct admit_allocator *b, uint64_t epoch,
		       bool lost_touch);
enum admit_outcome admit_alloc_grant(struct admit_allocator *b,
				     const struct admit_request *ask,
				     int64_t now_us);
void admit_alloc_release(struct admit_allocator *b, const char *run,
			 uint32_t serial, enum admit_end end, int64_t now_us);
void admit_alloc_add_waiter(struct admit_allocator *b, const char *host);
uint32_t
admit_alloc_pop_waiters(struct admit_allocator *b,
			char out[ADMIT_WAITERS_MAX][MEMBER_NAME_BYTES]);
void admit_alloc_apply_report(struct admit_allocator *b,
			      const struct admit_report *r, int64_t now_us);
void admit_alloc_set_unreachable(struct admit_allocator *b);
bool admit_alloc_report_due(const struct admit_allocator *b, int64_t asked_us,
			    int64_t now_us);
void admit_alloc_observe_gap(struct admit_allocator *b, uint32_t gap_us,
			     uint32_t target_us, int64_t now_us);
bool admit_alloc_is_available(const struct admit_allocator *b);
uint32_t admit_alloc_slots_free(const struct admit_allocator *b);
uint32_t admit_alloc_pieces_free(const struct admit_allocator *b);
uint32_t admit_alloc_queued_tokens(const struct admit_allocator *b);

#endif
