#ifndef FIGBEND_QUOTA_H
#define FIGBEND_QUOTA_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Rate limits of one account over all hosts: a distributed token bucket with
 * leases. A few hosts of each failure domain are lenders of the account. Each
 * lender refills a bucket with its share of the account's rate and burst, and
 * lends tokens to other hosts. A host spends from its own bucket, if it is a
 * lender, and from its leases.
 *
 * Invariant: over all hosts, at most rate * t + burst tokens are spent in any
 * window of t seconds. It holds because
 * - a lender's level and its outstanding leases together stay within its burst;
 * - a lease expires at the borrower before it expires at the lender;
 * - a lender spends and lends only while the epoch that assigned its limits has
 *   been confirmed recently, and uses raised limits only once every host that
 *   may have held them has stopped.
 *
 * Times are in microseconds of this host's monotonic clock. Clocks of hosts are
 * not compared, but must run at nearly the same rate. Messages may be lost,
 * delayed, duplicated or reordered; sequence numbers reveal stale ones. Only
 * confirmation by heartbeats assumes a maximum delay.
 */

#define QUOTA_MILLI 1000 /* millitokens per token */
#define QUOTA_LENDERS_MAX 16

/*
 * Life of a lease. The lender counts from the arrival of the borrow message,
 * the borrower from its sending, so the borrower's lease ends first.
 */
#define QUOTA_LENDER_LEASE_US 2000000LL
#define QUOTA_BORROWER_LEASE_US 1500000LL
/* How long a lender acts on a confirmation that its epoch is the newest. */
#define QUOTA_CONFIRM_TTL_US 3000000LL
/*
 * Delay before raised limits become active. By then the confirmations and the
 * leases of every host that held a part of them have expired. Twice the life of
 * a confirmation, because a host may skip an epoch.
 */
#define QUOTA_ACTIVATION_DELAY_US                                              \
	(2 * QUOTA_CONFIRM_TTL_US + QUOTA_LENDER_LEASE_US + 1000000LL)
/* Assumed maximum time between the sending and the receipt of a heartbeat. */
#define QUOTA_HEARTBEAT_DELAY_US 500000LL

/* Tokens lent to one borrower. */
struct quota_lease {
	uint64_t borrower_id;	 /* differs for each start of a host */
	uint64_t seq;		 /* of the last borrow message applied */
	uint64_t granted_tokens; /* in reply to that message */
	uint64_t unspent_tokens; /* upper bound of what it can still spend */
	uint64_t stream_rate_tokens_s; /* of the borrower's running streams */
	int64_t expires_us;
};

/* Parameters of a token bucket. */
struct quota_limits {
	uint64_t rate_tokens_s;
	uint64_t burst_tokens;
};

/* This host as a lender of an account. */
struct quota_lender {
	struct quota_limits active; /* limits in use */
	/* By the newest epoch and configuration known here. */
	struct quota_limits assigned;
	int64_t activate_us;   /* when assigned becomes active; 0 if it is */
	uint64_t lenders_hash; /* hash of the lenders in this domain */
	int64_t confirmed_us;  /* when the epoch was known to be the newest */
	bool lapsed;	       /* the confirmation expired: nothing is active */
	int64_t level_mtokens; /* of the bucket */
	int64_t refilled_us;   /* time up to which the level is refilled */
	/* Part of this host's own stream rate that this lender sustains. */
	uint64_t local_stream_rate_tokens_s;
	/* Part of the level that requests of this host have reserved. */
	uint64_t reserved_tokens;
	struct quota_lease *lease; /* owned */
	uint32_t lease_n;
	uint32_t lease_capacity;
};

/* Message from a borrower to a lender, with the whole state of its lease. */
struct quota_borrow {
	uint64_t borrower_id;
	uint64_t seq;		  /* increases with every message */
	uint64_t unspent_tokens;  /* of earlier grants, still to be spent */
	uint64_t returned_tokens; /* of earlier grants, not needed any more */
	uint64_t prompt_tokens;	  /* needed by waiting requests */
	uint64_t stream_tokens;	  /* needed by running streams */
	uint64_t extra_tokens;	  /* useful if the lender has plenty */
	uint64_t stream_rate_tokens_s; /* of the borrower's running streams */
};

/* Reply of a lender to a borrow message. */
struct quota_grant {
	uint64_t seq;		   /* of the borrow message */
	uint64_t tokens;	   /* lent in reply to it */
	uint64_t available_tokens; /* still available to new requests */
	uint64_t rate_tokens_s;	   /* at which the lender's bucket refills */
};

/* Starts a lender without limits, tokens and confirmation. */
void quota_lender_init(struct quota_lender *l, int64_t now_us);
void quota_lender_finish(struct quota_lender *l);
/*
 * Assigns the limits that the epoch and the configuration give this host.
 * lenders_hash is a hash of the set of lenders in this domain. Lower limits are
 * active at once. Higher limits become active after QUOTA_ACTIVATION_DELAY_US;
 * a change of the lenders during that delay starts it again.
 */
void quota_lender_assign(struct quota_lender *l,
			 const struct quota_limits *limits,
			 uint64_t lenders_hash, int64_t now_us);
/*
 * Makes the assigned limits active at once, with a full bucket. Only for a new
 * account of which no host can have held limits before. as_of_us is a time at
 * which the epoch was the newest; no effect if it is QUOTA_CONFIRM_TTL_US old
 * or more.
 */
void quota_lender_activate(struct quota_lender *l, int64_t as_of_us,
			   int64_t now_us);
/*
 * Confirms that the epoch in use was the newest at as_of_us; no effect if that
 * is QUOTA_CONFIRM_TTL_US old or more. A lapsed lender becomes active with an
 * empty bucket after QUOTA_ACTIVATION_DELAY_US.
 */
void quota_lender_confirm(struct quota_lender *l, int64_t as_of_us,
			  int64_t now_us);
/*
 * Applies a borrow message: takes what it returns, debits what is lent and
 * renews the lease. A duplicate gets the same grant again and nothing more.
 * Returns 0, -EALREADY if a later message of the borrower has been applied, or
 * -ENOMEM.
 */
int quota_lender_lend(struct quota_lender *l, const struct quota_borrow *b,
		      int64_t now_us, struct quota_grant *out);
/* Brings the lender up to now_us: lapse, refill, lease expiry, activation. */
void quota_lender_update(struct quota_lender *l, int64_t now_us);
/* Returns the tokens lent that borrowers may still spend. */
uint64_t quota_lender_outstanding_tokens(const struct quota_lender *l);
/*
 * Returns the tokens available to new requests: the unreserved level less a
 * headroom for the running streams, or 0 while these use the whole rate.
 */
uint64_t quota_lender_available_tokens(const struct quota_lender *l);
/*
 * Returns the latest time at which a majority of n hosts, this one included,
 * had no newer epoch: a confirmation that needs no read of the log.
 * heartbeat_us holds when the last heartbeat of each host was received, and
 * now_us for this host; the array is reordered. The caller makes sure that none
 * of the hosts reported a newer epoch. With n = 0 the result is long past.
 */
int64_t quota_lender_quorum_us(int64_t *heartbeat_us, uint32_t n);
/* Returns true if the assigned limits are active. */
bool quota_lender_is_active(const struct quota_lender *l);

/* A lender on another host, as this host sees it. */
struct quota_remote_lender {
	uint64_t id;
	uint64_t unspent_tokens;     /* borrowed from it and not spent */
	uint64_t outstanding_tokens; /* what the lender counts as unspent */
	int64_t expires_us;	     /* of the lease, at the borrower */
	uint64_t pending_seq;	     /* of the message in flight, 0 if none */
	int64_t sent_us;	     /* when the last message was sent */
	int64_t backoff_until_us;    /* after a message without response */
	uint64_t available_tokens;   /* by its last response */
	uint64_t rate_tokens_s;	     /* by its last response */
	int64_t last_response_us;    /* 0 if it never responded */
	bool same_domain;	     /* it is in this host's failure domain */
};

enum quota_charge_state {
	QUOTA_NONE,
	QUOTA_WAITING,	/* for tokens to be reserved */
	QUOTA_RESERVED, /* tokens are reserved; the request has not started */
	QUOTA_RUNNING,	/* prompt tokens are spent; output may be consumed */
	QUOTA_IN_DEBT,	/* output waits for tokens */
};

/* The charge of one request. Its memory belongs to the caller. */
struct quota_charge {
	enum quota_charge_state state;
	uint64_t tokens;	       /* of the prompt; set by the caller */
	uint32_t stream_rate_tokens_s; /* of its output; set by the caller */
	uint64_t debt_tokens;	       /* output that is not paid yet */
	uint32_t excluded_mask; /* bit i: remote[i] was asked for it already */
	int outcome;		/* on the done list: 0 or -EAGAIN */
	TAILQ_ENTRY(quota_charge) entry; /* in waiting, in_debt or done */
};
TAILQ_HEAD(quota_charges, quota_charge);

/* One account on this host. */
struct quota {
	struct quota_lender lender;	    /* this host as a lender */
	struct quota_limits account_limits; /* over all hosts */
	struct quota_remote_lender remote[QUOTA_LENDERS_MAX];
	uint32_t remote_n;
	uint64_t borrower_id;	  /* of this host, in its borrow messages */
	uint64_t seq;		  /* of the last borrow message */
	uint64_t reserved_tokens; /* of charges in QUOTA_RESERVED */
	uint64_t stream_rate_tokens_s; /* of admitted requests */
	int64_t last_used_us; /* when a request last reserved or consumed */
	struct quota_charges waiting; /* in order of arrival */
	struct quota_charges in_debt; /* in order of arrival */
	/*
	 * Decided charges. The outcome is 0 if tokens were reserved
	 * (QUOTA_RESERVED) or the debt is paid (QUOTA_RUNNING), -EAGAIN if the
	 * charge is refused. The caller removes them.
	 */
	struct quota_charges done;
};

/* A borrow message to be sent. */
struct quota_message {
	uint64_t lender_id;
	struct quota_borrow borrow;
};

struct quota_outbox {
	struct quota_message item[QUOTA_LENDERS_MAX];
	uint32_t n;
};

/*
 * Starts an account without limits, remote lenders and tokens. borrower_id
 * identifies this start of this host. The caller sets account_limits.
 */
void quota_init(struct quota *q, uint64_t borrower_id, int64_t now_us);
void quota_finish(struct quota *q);
/*
 * Sets the remote lenders of an epoch, at most QUOTA_LENDERS_MAX, without
 * this host. Of each, id and same_domain are set and the rest is 0. Lenders
 * that stay keep their state; tokens borrowed from removed lenders are dropped.
 */
void quota_set_lenders(struct quota *q,
		       const struct quota_remote_lender *remote, uint32_t n);
/*
 * Reserves c->tokens for a request. Returns 0 if they are reserved, -E2BIG if
 * they exceed the account's burst, or -EINPROGRESS if the charge waits for
 * other lenders or behind other charges: quota_advance then decides it. The
 * memory of c must stay valid until quota_release.
 */
int quota_reserve(struct quota *q, struct quota_charge *c, int64_t now_us);
/* Spends the tokens reserved for a request that starts. */
void quota_commit(struct quota *q, struct quota_charge *c);
/*
 * Ends a charge in any state; it must not be on the done list. Tokens that are
 * reserved and not committed can be used again.
 */
void quota_release(struct quota *q, struct quota_charge *c);
/*
 * Pays for output tokens before they are sent to the caller. Returns false if
 * that is not possible now: they must not be sent until the charge is on the
 * done list.
 */
bool quota_consume(struct quota *q, struct quota_charge *c, uint64_t tokens,
		   int64_t now_us);
/* Lends tokens of this host; as quota_lender_lend. */
int quota_lend(struct quota *q, const struct quota_borrow *b, int64_t now_us,
	       struct quota_grant *out);
/*
 * Applies the response to the pending message to a lender. Returns 0, -EALREADY
 * if the grant belongs to another message, or -ETIMEDOUT if the lease has
 * expired already. The lender counts the tokens of a grant that is not applied
 * as outstanding until the next message or the end of its lease.
 */
int quota_apply_grant(struct quota *q, uint64_t lender_id,
		      const struct quota_grant *g, int64_t now_us);
/*
 * Ends the wait for a response and starts a backoff, in which the lender is
 * sent no message. Returns 0, or -EALREADY if the message is not the pending
 * one.
 */
int quota_borrow_failed(struct quota *q, uint64_t lender_id, uint64_t seq,
			int64_t now_us);
/*
 * Decides charges and borrows what is missing. To be called after every other
 * call. Adds messages to out, which starts with n = 0, and decided charges to
 * the done list.
 */
void quota_advance(struct quota *q, int64_t now_us, struct quota_outbox *out);
/*
 * Periodic work, then quota_advance: gives up messages without response,
 * returns tokens of an idle account, renews leases and reports spent tokens.
 */
void quota_tick(struct quota *q, int64_t now_us, struct quota_outbox *out);
/* Returns true if no request of the account is in progress on this host. */
bool quota_is_idle(const struct quota *q);

#endif
