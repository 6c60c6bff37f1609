#ifndef FIGBEND_SHARE_H
#define FIGBEND_RATELIMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Limits that bind all hosts together, kept by each host alone. Every host tells
 * the others, in counters that only grow, what it let through; each takes what
 * it hears off its own bucket, so that all buckets show the same level but for
 * what is on its way. A host that is not heard is taken to spend an equal part,
 * so that hosts that are cut off from each other stay within the limit together.
 */

#define RATELIMIT_NAME_BYTES 64
#define RATELIMIT_ACCOUNTS_MAX 1024
#define RATELIMIT_HOSTS_MAX 512
#define RATELIMIT_SERVICES_MAX 64

struct ratelimit_account {
	char name[RATELIMIT_NAME_BYTES];
	double rate_per_s; /* 0: no limit */
	double burst;
	double level;
	int64_t refilled_us; /* when the level was right */
	uint64_t reported;   /* what the other hosts were told of spent */
	uint64_t
		consumed; /* by this host since its start, less what came back */
	uint64_t *peer_consumed; /* by each other host, as it said last */
};

struct ratelimit_host {
	char name[RATELIMIT_NAME_BYTES]; /* "": free */
	uint64_t boot;
	int64_t last_heartbeat_us;
};

struct ratelimit {
	struct ratelimit_account account[RATELIMIT_ACCOUNTS_MAX];
	uint32_t n_accounts;
	struct ratelimit_host host[RATELIMIT_HOSTS_MAX];
	uint32_t n_hosts;	 /* rows in use, free ones among them */
	double slack;		 /* added to every burst */
	int64_t host_timeout_us; /* without a word a host is taken to spend its part */
};

int ratelimit_init(struct ratelimit *s);
void ratelimit_finish(struct ratelimit *s);
/*
 * Sets the limits of an account. A new one starts with an empty bucket: a host
 * that starts does not know what others have let through.
 */
int ratelimit_account_set(struct ratelimit *s, const char *name,
			  double rate_per_s, double burst, int64_t now_us);
/* Takes an amount if the account is within its limit. */
bool ratelimit_consume(struct ratelimit *s, const char *name, double amount,
		       int64_t now_us);
/* Gives back an amount that was taken for a request that did not run. */
void ratelimit_refund(struct ratelimit *s, const char *name, double amount);
/* Seconds until the amount would be let through. */
double ratelimit_wait_s(struct ratelimit *s, const char *name, double amount,
			int64_t now_us);
/* Another host is there; returns its number, or -ENOSPC. */
int ratelimit_host_update(struct ratelimit *s, const char *name, uint64_t boot,
			  int64_t now_us);
/* The host says that it has let so much through since its start. */
void ratelimit_apply_report(struct ratelimit *s, int host, const char *account,
			    uint64_t spent, int64_t now_us);
/* The other hosts are told what this one has let through so far. */
void ratelimit_mark_reported(struct ratelimit *s);
/*
 * Tells whether the others should hear soon what this host let through: of an
 * account whose bucket is less than half full, all hosts let too much through
 * until they hear of each other.
 */
bool ratelimit_report_urgent(struct ratelimit *s, int64_t now_us);
void ratelimit_host_remove(struct ratelimit *s, const char *name);
uint32_t
ratelimit_host_count(const struct ratelimit *s); /* this one among them */

/* A budget for second sends: this host's part of the slack, and of its own
 * requests. */
struct ratelimit_retry_budget {
	char service[RATELIMIT_NAME_BYTES];
	double tokens;
	int64_t refilled_us;
	bool initialized;
};

struct ratelimit_retry_budgets {
	struct ratelimit_retry_budget row[RATELIMIT_SERVICES_MAX];
	uint32_t n;
	double ratio;
	double slack;
	double window_s;
};

void ratelimit_retry_deposit(struct ratelimit_retry_budgets *b,
			     const char *service, uint32_t hosts,
			     int64_t now_us);
/* Tells whether a second send is left, without taking it. */
bool ratelimit_retry_available(struct ratelimit_retry_budgets *b,
			       const char *service);
bool ratelimit_retry_consume(struct ratelimit_retry_budgets *b,
			     const char *service, uint32_t hosts,
			     int64_t now_us);

#endif
