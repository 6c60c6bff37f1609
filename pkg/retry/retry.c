#include "retry.h"

#include <string.h>

#define ONE_RETRY_MILLI 1000
#define FNV_OFFSET_BASIS 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL

/* FNV-1a, but never 0, which marks a free slot. */
static uint64_t hash_of(const char *name)
{
	uint64_t h = FNV_OFFSET_BASIS;

	while (*name)
		h = (h ^ (uint8_t)*name++) * FNV_PRIME;
	return h ? h : 1;
}

void retry_init(struct retry_budgets *b)
{
	memset(b, 0, sizeof(*b));
	b->host_balance_milli = RETRY_HOST_MAX_MILLI;
}

/*
 * Returns the bucket of an account, adding it with a full balance if it is new.
 * If the table is full, the account shares the bucket that its name hashes to.
 */
static struct retry_account *find_or_add(struct retry_budgets *b,
					 const char *name)
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

static void deposit(uint32_t *balance_milli, uint32_t max_milli)
{
	*balance_milli += RETRY_DEPOSIT_MILLI;
	if (*balance_milli > max_milli)
		*balance_milli = max_milli;
}

void retry_deposit(struct retry_budgets *b, const char *account)
{
	deposit(&b->host_balance_milli, RETRY_HOST_MAX_MILLI);
	deposit(&find_or_add(b, account)->balance_milli,
		RETRY_ACCOUNT_MAX_MILLI);
}

bool retry_consume(struct retry_budgets *b, const char *account)
{
	struct retry_account *a = find_or_add(b, account);

	if (a->balance_milli < ONE_RETRY_MILLI ||
	    b->host_balance_milli < ONE_RETRY_MILLI)
		return false;
	a->balance_milli -= ONE_RETRY_MILLI;
	b->host_balance_milli -= ONE_RETRY_MILLI;
	return true;
}
