#ifndef FIGBEND_RETRY_H
#define FIGBEND_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Retry budgets: token buckets that limit retries to a share of the requests.
 * Each request deposits a tenth of a retry into the bucket of its account and
 * into that of the host. A retry consumes a whole one from both, so that one
 * account cannot use up the retries of the others. Beyond the initial balance,
 * retries add at most a tenth to the traffic. Balances are in thousandths of a
 * retry; no clock is used.
 */

#define RETRY_ACCOUNTS_MAX 1024	      /* more accounts share buckets */
#define RETRY_DEPOSIT_MILLI 100	      /* for each request */
#define RETRY_ACCOUNT_MAX_MILLI 32000 /* also the initial balance */
#define RETRY_HOST_MAX_MILLI 128000   /* also the initial balance */

struct retry_account {
	uint64_t name_hash; /* 0 if the slot is free */
	uint32_t balance_milli;
};

/* Account buckets are a hash table with linear probing. */
struct retry_budgets {
	uint32_t host_balance_milli;
	struct retry_account account[RETRY_ACCOUNTS_MAX];
};

/* Fills all buckets. */
void retry_init(struct retry_budgets *b);
/* Deposits for a request of the account; not to be called for its retries. */
void retry_deposit(struct retry_budgets *b, const char *account);
/*
 * Consumes one retry from the buckets of the account and of the host. Returns
 * false, and consumes nothing, if either holds less than one.
 */
bool retry_consume(struct retry_budgets *b, const char *account);

#endif
