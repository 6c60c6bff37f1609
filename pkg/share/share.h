#ifndef FIGBEND_SHARE_H
#define FIGBEND_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Limits that bind all hosts together, kept by each host alone. Every host tells
 * the others, in counters that only grow, what it let through; each takes what
 * it hears off its own bucket, so that all buckets show the same level but for
 * what is on its way. A host that is not heard is taken to spend an equal part,
 * so that hosts that are cut off from each other stay within the limit together.
 */

#define SHARE_NAME_BYTES 64
#define SHARE_ACCOUNTS_MAX 1024
#define SHARE_HOSTS_MAX 512
#define SHARE_SERVICES_MAX 64

struct share_account {
	char name[SHARE_NAME_BYTES];
	double rate_per_s; /* 0: no limit */
	double burst;
	double level;
	int64_t level_us; /* when the level was right */
	uint64_t told;	  /* what the other hosts were told of spent */
	uint64_t spent;	 /* by this host since its start, less what came back */
	uint64_t *heard; /* by each other host, as it said last */
};

struct share_host {
	char name[SHARE_NAME_BYTES]; /* "": free */
	uint64_t boot;
	int64_t heard_us;
};

struct share {
	struct share_account account[SHARE_ACCOUNTS_MAX];
	uint32_t n_accounts;
	struct share_host host[SHARE_HOSTS_MAX];
	uint32_t n_hosts;  /* rows in use, free ones among them */
	double slack;	   /* added to every burst */
	int64_t silent_us; /* without a word a host is taken to spend its part */
};

int share_init(struct share *s);
void share_finish(struct share *s);
/*
 * Sets the limits of an account. A new one starts with an empty bucket: a host
 * that starts does not know what others have let through.
 */
int share_account_set(struct share *s, const char *name, double rate_per_s,
		      double burst, int64_t now_us);
/* Takes an amount if the account is within its limit. */
bool share_spend(struct share *s, const char *name, double amount,
		 int64_t now_us);
/* Gives back an amount that was taken for a request that did not run. */
void share_return(struct share *s, const char *name, double amount);
/* Seconds until the amount would be let through. */
double share_wait_s(struct share *s, const char *name, double amount,
		    int64_t now_us);
/* Another host is there; returns its number, or -ENOSPC. */
int share_host_heard(struct share *s, const char *name, uint64_t boot,
		     int64_t now_us);
/* The host says that it has let so much through since its start. */
void share_heard(struct share *s, int host, const char *account, uint64_t spent,
		 int64_t now_us);
/* The other hosts are told what this one has let through so far. */
void share_told(struct share *s);
/*
 * Tells whether the others should hear soon what this host let through: of an
 * account whose bucket is less than half full, all hosts let too much through
 * until they hear of each other.
 */
bool share_is_scarce(struct share *s, int64_t now_us);
void share_host_gone(struct share *s, const char *name);
uint32_t share_hosts(const struct share *s); /* this one among them */

/* A budget for second sends: this host's part of the slack, and of its own
 * requests. */
struct share_budget {
	char service[SHARE_NAME_BYTES];
	double tokens;
	int64_t tokens_us;
	bool started;
};

struct share_budgets {
	struct share_budget row[SHARE_SERVICES_MAX];
	uint32_t n;
	double ratio;
	double slack;
	double window_s;
};

void share_budget_earn(struct share_budgets *b, const char *service,
		       uint32_t hosts, int64_t now_us);
/* Tells whether a second send is left, without taking it. */
bool share_budget_left(struct share_budgets *b, const char *service);
bool share_budget_spend(struct share_budgets *b, const char *service,
			uint32_t hosts, int64_t now_us);

#endif
