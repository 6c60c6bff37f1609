#include "retry.h"

#include <string.h>

#define RETRY_MILLI 1000
#define FNV_OFFSET 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL

static uint64_t hash_of(const char *name)
{
	uint64_t h = FNV_OFFSET;

	while (*name)
		h = (h ^ (uint8_t)*name++) * FNV_PRIME;
	return h ? h : 1;
}

/* Starts with full budgets. */
void retry_init(struct retry_budgets *b)
{
	memset(b, 0, sizeof(*b));
	b->host_balance_milli = RETRY_HOST_MAX_MILLI;
}

/*
 * Finds an account's budget or makes one. Where the table is full, the account
 * shares the slot that its name falls on.
 */
static struct retry_account *find(struct retry_budgets *b, const char *name)
{
	uint64_t h = hash_of(name);
	struct retry_account *a;
	uint32_t i;

	for (i = 0; i < RETRY_ACCOUNTS_MAX; i++) {
		a = &b->account[(h + i) % RETRY_ACCOUNTS_MAX];
		if (a->name_hash == h)
			return a;
		if (a->name_hash)
			continue;
		a->name_hash = h;
		a->balance_milli = RETRY_ACCOUNT_MAX_MILLI;
		return a;
	}
	return &b->account[h % RETRY_ACCOUNTS_MAX];
}

static void add(uint32_t *milli, uint32_t max)
{
	*milli += RETRY_DEPOSIT_MILLI;
	if (*milli > max)
		*milli = max;
}

/* Counts a request of an account: its first attempt. */
void retry_deposit(struct retry_budgets *b, const char *account)
{
	add(&b->host_balance_milli, RETRY_HOST_MAX_MILLI);
	add(&find(b, account)->balance_milli, RETRY_ACCOUNT_MAX_MILLI);
}

/* Takes one retry out of both budgets; false if one of them has none. */
bool retry_consume(struct retry_budgets *b, const char *account)
{
	struct retry_account *a = find(b, account);

	if (a->balance_milli < RETRY_MILLI ||
	    b->host_balance_milli < RETRY_MILLI)
		return false;
	a->balance_milli -= RETRY_MILLI;
	b->host_balance_milli -= RETRY_MILLI;
	return true;
}
