#ifndef FIGBEND_RETRY_H
#define FIGBEND_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Retry budgets: each request earns a tenth of a retry, for its account and for
 * the host; a retry needs a whole one of both. So retries add at most a tenth to
 * the traffic, beyond a stated start.
 */

#define RETRY_ACCOUNTS_MAX 1024
#define RETRY_DEPOSIT_MILLI 100	      /* of a retry, earned by each request */
#define RETRY_ACCOUNT_MAX_MILLI 32000 /* also what a budget starts with */
#define RETRY_HOST_MAX_MILLI 128000

struct retry_account {
	uint64_t name_hash; /* 0: free */
	uint32_t balance_milli;
};

struct retry_budgets {
	uint32_t host_balance_milli;
	struct retry_account account[RETRY_ACCOUNTS_MAX];
};

void retry_init(struct retry_budgets *b);
void retry_deposit(struct retry_budgets *b, const char *account);
bool retry_consume(struct retry_budgets *b, const char *account);

#endif
