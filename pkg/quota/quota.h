#ifndef FIGBEND_QUOTA_H
#define FIGBEND_QUOTA_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * The rate and burst of one account on one host. A home host refills a part of
 * both and lends tokens to other hosts by leases; a host spends what its own
 * home bucket and its leases hold. Over all hosts and every window of t seconds
 * no more than rate * t + burst tokens are spent: a home counts a lease against
 * its burst until the lease expires on its own clock, which is later than on the
 * borrower's.
 */

#define QUOTA_MILLI 1000
#define QUOTA_LENDERS_MAX 16

/* How long a home counts a lease, and how long its borrower spends from it. */
#define QUOTA_LENDER_LEASE_US 2000000LL
#define QUOTA_BORROWER_LEASE_US 1500000LL
/* How long a home acts on the last evidence that its membership is the newest. */
#define QUOTA_CONFIRM_TTL_US 3000000LL
/* Wait before a part that grew is used: every earlier holder has stopped. */
#define QUOTA_ACTIVATION_DELAY_US                                              \
	(2 * QUOTA_CONFIRM_TTL_US + QUOTA_LENDER_LEASE_US + 1000000LL)

/* A heartbeat that arrives later than this after it was sent is not waited for. */
#define QUOTA_HEARTBEAT_DELAY_US 500000LL

/* What a home lent to one borrower: a host and its start. */
struct quota_lease {
	uint64_t borrower_id;
	uint64_t seq; /* of the last draw taken */
	uint64_t granted_tokens;
	uint64_t unspent_tokens;       /* at most, as far as the home knows */
	uint64_t stream_rate_tokens_s; /* of the borrower's running streams */
	int64_t expires_us;
};

struct quota_limits {
	uint64_t rate_tokens_s;
	uint64_t burst_tokens;
};

/* The lender: this host's part of an account. */
struct quota_lender {
	struct quota_limits active; /* in use */
	struct quota_limits
		assigned;      /* by the newest epoch and configuration */
	int64_t activate_us;   /* when it may be used; 0: it is in use */
	uint64_t lenders_hash; /* hash of the set of homes */
	int64_t confirmed_us;
	bool lapsed;
	int64_t level_mtokens;
	int64_t refilled_us;
	uint64_t local_stream_rate_tokens_s;
	uint64_t reserved_tokens; /* of the level: spoken for, not yet spent */
	struct quota_lease *lease;
	uint32_t lease_n;
	uint32_t lease_capacity;
};

/* A borrower's message to a home; it stands for all that the borrower holds. */
struct quota_borrow {
	uint64_t borrower_id;
	uint64_t seq;
	uint64_t unspent_tokens;  /* of earlier leases, still held */
	uint64_t returned_tokens; /* given back, no longer held */
	uint64_t prompt_tokens;	  /* needed for requests that wait */
	uint64_t stream_tokens;	  /* needed for running streams */
	uint64_t extra_tokens;	  /* welcome */
	uint64_t stream_rate_tokens_s;
};

struct quota_grant {
	uint64_t seq;
	uint64_t tokens;
	uint64_t available_tokens; /* what the home could still lend */
	uint64_t rate_tokens_s;
};

void quota_lender_init(struct quota_lender *h, int64_t now_us);
void quota_lender_finish(struct quota_lender *h);
void quota_lender_assign(struct quota_lender *h,
			 const struct quota_limits *part, uint64_t homes,
			 int64_t now_us);
void quota_lender_activate(struct quota_lender *h, int64_t as_of_us,
			   int64_t now_us);
void quota_lender_confirm(struct quota_lender *h, int64_t as_of_us,
			  int64_t now_us);
int quota_lender_lend(struct quota_lender *h, const struct quota_borrow *d,
		      int64_t now_us, struct quota_grant *out);
void quota_lender_update(struct quota_lender *h, int64_t now_us);
uint64_t quota_lender_outstanding_tokens(const struct quota_lender *h);
uint64_t quota_lender_available_tokens(const struct quota_lender *h);
int64_t quota_lender_quorum_us(int64_t *heard_us, uint32_t n);
bool quota_lender_is_active(const struct quota_lender *h);

/* A home elsewhere, as its borrower sees it. */
struct quota_remote_lender {
	uint64_t id;
	uint64_t unspent_tokens;
	uint64_t outstanding_tokens; /* unspent, as the home counts */
	int64_t expires_us;
	uint64_t pending_seq; /* 0: no draw is under way */
	int64_t sent_us;
	int64_t backoff_until_us;  /* it did not answer */
	uint64_t available_tokens; /* at its last answer */
	uint64_t rate_tokens_s;
	int64_t last_response_us; /* 0: never */
	bool same_domain;	  /* in this failure domain */
};

enum quota_charge_state {
	QUOTA_NONE,
	QUOTA_WAITING,	/* for draws, to be admitted */
	QUOTA_RESERVED, /* admitted, not yet run */
	QUOTA_RUNNING,	/* spent; a stream may run */
	QUOTA_IN_DEBT,	/* running, with output that is not paid yet */
};

/* One request's charge, in memory of its owner. */
struct quota_charge {
	enum quota_charge_state state;
	uint64_t tokens;
	uint32_t stream_rate_tokens_s;
	uint64_t debt_tokens;
	uint32_t excluded_mask; /* sources, by bit */
	int outcome;		/* on the done list: 0 or -EAGAIN */
	TAILQ_ENTRY(quota_charge) entry;
};
TAILQ_HEAD(quota_charges, quota_charge);

struct quota {
	struct quota_lender lender;
	struct quota_limits account_limits; /* of the account */
	struct quota_remote_lender remote[QUOTA_LENDERS_MAX];
	uint32_t remote_n;
	uint64_t borrower_id;
	uint64_t seq;
	uint64_t reserved_tokens; /* of admitted requests that have not run */
	uint64_t stream_rate_tokens_s; /* of running streams */
	int64_t last_used_us;
	struct quota_charges waiting;
	struct quota_charges in_debt;
	struct quota_charges done; /* decided: the controller empties it */
};

struct quota_message {
	uint64_t lender_id; /* id */
	struct quota_borrow borrow;
};

struct quota_outbox {
	struct quota_message item[QUOTA_LENDERS_MAX];
	uint32_t n;
};

void quota_init(struct quota *q, uint64_t borrower, int64_t now_us);
void quota_finish(struct quota *q);
/* Sources: id and near are read. */
void quota_set_lenders(struct quota *q,
		       const struct quota_remote_lender *source, uint32_t n);
int quota_reserve(struct quota *q, struct quota_charge *c, int64_t now_us);
void quota_commit(struct quota *q, struct quota_charge *c);
void quota_release(struct quota *q, struct quota_charge *c);
bool quota_consume(struct quota *q, struct quota_charge *c, uint64_t tokens,
		   int64_t now_us);
int quota_lend(struct quota *q, const struct quota_borrow *d, int64_t now_us,
	       struct quota_grant *out);
int quota_apply_grant(struct quota *q, uint64_t source,
		      const struct quota_grant *g, int64_t now_us);
int quota_borrow_failed(struct quota *q, uint64_t source, uint64_t seq,
			int64_t now_us);
void quota_advance(struct quota *q, int64_t now_us, struct quota_outbox *out);
void quota_tick(struct quota *q, int64_t now_us, struct quota_outbox *out);
bool quota_is_idle(const struct quota *q);

#endif
