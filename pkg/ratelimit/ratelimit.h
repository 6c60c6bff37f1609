#ifndef FIGBEND_RATELIMIT_H
#define FIGBEND_RATELIMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Rate limits of accounts that bind all hosts together: a token bucket for each
 * account, replicated on every host. A host admits requests by its own bucket;
 * what other hosts consume is deducted as it becomes known (pkg/relay). So all
 * buckets have the same level, except for consumption that is not known yet. A
 * host that is not heard of is assumed to consume an equal part of rate and burst,
 * so that hosts that cannot reach each other do not exceed the limit together.
 *
 * What other hosts have consumed since this host last heard of them is estimated
 * from what their callers requested lately. While a bucket holds less than that,
 * a request is admitted with the probability that leaves its part to the other
 * hosts; otherwise all hosts would spend the same tokens.
 *
 * Times are in microseconds of a monotonic clock of this host. Amounts are in
 * the unit of the account's limit: requests or tokens.
 */

#define RATELIMIT_NAME_BYTES 64
/* Accounts whose consumption hosts report to each other, by order of addition.
 * Each host has an equal part of rate and burst of those beyond. */
#define RATELIMIT_SHARED_MAX 1024
#define RATELIMIT_SERVICES_MAX 64

struct ratelimit_account {
	char name[RATELIMIT_NAME_BYTES];
	double rate_per_s; /* 0 if unlimited */
	double burst;	   /* size of the bucket, slack included */
	/* Amount in the bucket. Negative after late reports, or after an amount
	 * above the burst. */
	double level;
	int64_t refilled_us; /* when level was last brought up to date */
	/* By this host since its start, of a shared account: */
	int64_t consumed; /* less refunds */
	bool used;	  /* this host consumed some, if only for a time */
	int64_t refused;
	double others_demand;	  /* requested of other hosts, decaying */
	int64_t others_demand_us; /* when that was last brought up to date */
	uint64_t key;		  /* namehash() of its name */
};

struct ratelimit {
	struct ratelimit_account *account; /* owned */
	uint32_t n_accounts;
	uint32_t capacity;     /* of account */
	uint32_t n_hosts;      /* that share the limits, this one included */
	uint32_t living_hosts; /* of these, the ones that are heard of */
	double slack;	       /* added to every burst */
	/* Age of what is known of other hosts. */
	int64_t staleness_us;
	uint64_t random; /* state of the random generator */
};

/* Starts without accounts, and as the only host. Returns 0. */
int ratelimit_init(struct ratelimit *rl);
/* Frees the accounts, not rl itself. */
void ratelimit_finish(struct ratelimit *rl);
/*
 * Adds an account or changes its limit. rate_per_s is 0 for an unlimited
 * account; burst is the size of the bucket without slack. A new bucket is
 * empty, since a host that starts does not know what other hosts have consumed.
 * Returns 0, or -ENOMEM; the account is then unknown.
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
 * Returns the key under which hosts report what they refused of an account.
 */
uint64_t ratelimit_refused_key(uint64_t key);
/*
 * Deducts what other hosts have consumed of the account with this key; negative
 * for refunds. The level does not fall below -burst. With the key of refusals it
 * only counts as requested.
 */
void ratelimit_deduct(struct ratelimit *rl, uint64_t key, int64_t amount,
		      int64_t now_us);
/*
 * Sets the number of hosts that share the limits, and of those that are heard
 * of, both with this host, and how old what is known of them is. The others may
 * consume their part unseen.
 */
void ratelimit_set_hosts(struct ratelimit *rl, uint32_t n, uint32_t living,
			 int64_t staleness_us, int64_t now_us);

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
/* Returns true if ratelimit_retry_consume() would, without consuming. */
bool ratelimit_retry_available(struct ratelimit_retry_budgets *b,
			       const char *service, uint32_t hosts,
			       int64_t now_us);
/* Consumes one retry. Returns false if the budget has none. */
bool ratelimit_retry_consume(struct ratelimit_retry_budgets *b,
			     const char *service, uint32_t hosts,
			     int64_t now_us);

#endif
