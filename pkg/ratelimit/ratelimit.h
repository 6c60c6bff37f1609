#ifndef FIGBEND_RATELIMIT_H
#define FIGBEND_RATELIMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Rate limits of accounts that bind all hosts together: a token bucket for each
 * account, replicated on every host. A host admits requests by its own bucket
 * and reports its total consumption to all other hosts, which deduct the
 * increase from their buckets. So all buckets have the same level, except for
 * consumption that is not reported yet. A host without heartbeats is assumed to
 * consume an equal part of the rate, so that hosts that cannot reach each other
 * do not exceed the limit together.
 *
 * Reports may be lost, since each one carries totals. Times are in microseconds
 * of a monotonic clock of this host; clocks of hosts are not compared. Amounts
 * are in the unit of the account's limit: requests or tokens.
 */

#define RATELIMIT_NAME_BYTES 64
#define RATELIMIT_ACCOUNTS_MAX 1024
#define RATELIMIT_HOSTS_MAX 512
#define RATELIMIT_SERVICES_MAX 64

struct ratelimit_account {
	char name[RATELIMIT_NAME_BYTES];
	double rate_per_s; /* 0 if unlimited */
	double burst;	   /* size of the bucket, slack included */
	/* Amount in the bucket. Negative after late reports, or after an amount
	 * above the burst. */
	double level;
	int64_t refilled_us; /* when level was last brought up to date */
	uint64_t reported;   /* value of consumed in the last report to all */
	uint64_t consumed;   /* by this host since its start, less refunds */
	/* Total of each host in its last report, by row; owned. */
	uint64_t *peer_consumed;
};

/* Another host. */
struct ratelimit_host {
	char name[RATELIMIT_NAME_BYTES]; /* "" if the row is free */
	uint64_t boot; /* differs for each start of the host */
	int64_t last_heartbeat_us;
};

struct ratelimit {
	struct ratelimit_account account[RATELIMIT_ACCOUNTS_MAX];
	uint32_t n_accounts;
	struct ratelimit_host host[RATELIMIT_HOSTS_MAX];
	uint32_t n_hosts; /* rows used so far, free ones included */
	double slack;	  /* added to every burst */
	/* A host is unreachable if its last heartbeat is older than this. */
	int64_t host_timeout_us;
};

/* Starts without accounts and hosts. Returns 0. */
int ratelimit_init(struct ratelimit *rl);
/* Frees the accounts, not rl itself. */
void ratelimit_finish(struct ratelimit *rl);
/*
 * Adds an account or changes its limit. rate_per_s is 0 for an unlimited
 * account; burst is the size of the bucket without slack. A new bucket is
 * empty, since a host that starts does not know what other hosts have consumed.
 * Returns 0, -ENOSPC or -ENOMEM.
 */
int ratelimit_account_set(struct ratelimit *rl, const char *name,
			  double rate_per_s, double burst, int64_t now_us);
/*
 * Takes an amount out of an account's bucket. Returns false, and takes nothing,
 * if the level is too low. An amount above the burst needs a full bucket. An
 * unknown account is not limited.
 */
bool ratelimit_consume(struct ratelimit *rl, const char *name, double amount,
		       int64_t now_us);
/* Puts the amount of a request that was not executed back in the bucket. */
void ratelimit_refund(struct ratelimit *rl, const char *name, double amount);
/*
 * Returns the time in seconds until the amount can be consumed, 0 if it can be
 * consumed now.
 */
double ratelimit_wait_s(struct ratelimit *rl, const char *name, double amount,
			int64_t now_us);
/*
 * Records a heartbeat of another host, and adds the host if it is unknown.
 * Returns its row for ratelimit_apply_report(), or -ENOSPC.
 */
int ratelimit_host_update(struct ratelimit *rl, const char *name, uint64_t boot,
			  int64_t now_us);
/*
 * Deducts another host's consumption since its last report; consumed is its
 * total since its start. The first report of a host is not deducted, it only
 * sets the total from which the next one counts. The level does not fall below
 * -burst.
 */
void ratelimit_apply_report(struct ratelimit *rl, int host, const char *account,
			    uint64_t consumed, int64_t now_us);
/* Records that this host's current totals were sent to all other hosts. */
void ratelimit_mark_reported(struct ratelimit *rl);
/*
 * Returns true if the totals should be sent before the next regular report:
 * there is unreported consumption of an account whose bucket is less than half
 * full. Until hosts know of each other's consumption, together they admit too
 * much.
 */
bool ratelimit_report_urgent(struct ratelimit *rl, int64_t now_us);
/* Removes a host; what it has consumed stays deducted. */
void ratelimit_host_remove(struct ratelimit *rl, const char *name);
/* Returns the number of known hosts, this one included. */
uint32_t ratelimit_host_count(const struct ratelimit *rl);

/*
 * The retry budget of a service, a token bucket: each request of a caller
 * deposits a part of a token, and a retry consumes a whole one. Each host also
 * gets its part of a fixed allowance (slack) per window. In any window the
 * retries of all hosts are to stay within ratio times the requests plus slack.
 */
struct ratelimit_retry_budget {
	char service[RATELIMIT_NAME_BYTES];
	double tokens;
	int64_t refilled_us; /* when tokens was last brought up to date */
	bool initialized;    /* the first tokens have been added */
};

/*
 * Zeroed memory with ratio, slack and window_s set is ready for use. Services
 * beyond RATELIMIT_SERVICES_MAX get no retries.
 */
struct ratelimit_retry_budgets {
	struct ratelimit_retry_budget row[RATELIMIT_SERVICES_MAX];
	uint32_t n;
	double ratio;	 /* retries per request */
	double slack;	 /* further retries of all hosts per window */
	double window_s; /* length of the window */
};

/*
 * Deposits the part of a token for a request of a caller. hosts is the number
 * of hosts that share the slack.
 */
void ratelimit_retry_deposit(struct ratelimit_retry_budgets *b,
			     const char *service, uint32_t hosts,
			     int64_t now_us);
/* Returns true if a retry is available, without refilling or consuming. */
bool ratelimit_retry_available(struct ratelimit_retry_budgets *b,
			       const char *service);
/* Consumes one retry. Returns false if the budget has none. */
bool ratelimit_retry_consume(struct ratelimit_retry_budgets *b,
			     const char *service, uint32_t hosts,
			     int64_t now_us);

#endif
