#include "ratelimit.h"

#include <errno.h>
#include <string.h>

#include "namehash.h"

int ratelimit_init(struct ratelimit *rl)
{
	memset(rl, 0, sizeof(*rl));
	rl->n_hosts = rl->living_hosts = 1;
	return 0;
}

void ratelimit_finish(struct ratelimit *rl)
{
	memset(rl, 0, sizeof(*rl));
}

static struct ratelimit_account *find(struct ratelimit *rl, const char *name)
{
	uint32_t i;

	for (i = 0; i < rl->n_accounts; i++)
		if (strcmp(rl->account[i].name, name) == 0)
			return &rl->account[i];
	return NULL;
}

static struct ratelimit_account *find_key(struct ratelimit *rl, uint64_t key)
{
	uint32_t i;

	for (i = 0; i < rl->n_accounts; i++)
		if (rl->account[i].key == key)
			return &rl->account[i];
	return NULL;
}

/* Refills a bucket up to now, less the part that silent hosts may use. */
static void refill(struct ratelimit *rl, struct ratelimit_account *a,
		   int64_t now_us)
{
	double part = (double)rl->living_hosts / rl->n_hosts;

	if (now_us > a->refilled_us)
		a->level += a->rate_per_s * part *
			    (double)(now_us - a->refilled_us) / 1e6;
	if (a->level > a->burst)
		a->level = a->burst;
	a->refilled_us = now_us;
}

int ratelimit_account_set(struct ratelimit *rl, const char *name,
			  double rate_per_s, double burst, int64_t now_us)
{
	struct ratelimit_account *a = find(rl, name);

	burst += rl->slack;
	if (!a) {
		if (rl->n_accounts == RATELIMIT_ACCOUNTS_MAX)
			return -ENOSPC;
		a = &rl->account[rl->n_accounts];
		memset(a, 0, sizeof(*a));
		strncpy(a->name, name, sizeof(a->name) - 1);
		a->key = namehash(name);
		a->refilled_us = now_us;
		rl->n_accounts++;
	}
	refill(rl, a, now_us);
	/* Without a limit the level is not kept: the bucket is new. */
	if (a->rate_per_s <= 0)
		a->level = 0;
	a->rate_per_s = rate_per_s;
	a->burst = burst;
	if (a->level > burst)
		a->level = burst;
	return 0;
}

bool ratelimit_consume(struct ratelimit *rl, const char *name, double amount,
		       int64_t now_us)
{
	struct ratelimit_account *a = find(rl, name);
	double need;

	if (!a)
		return true;
	if (a->rate_per_s > 0) {
		refill(rl, a, now_us);
		need = amount < a->burst ? amount : a->burst;
		if (a->level < need)
			return false;
		a->level -= amount;
	}
	a->consumed += (int64_t)amount;
	return true;
}

void ratelimit_refund(struct ratelimit *rl, const char *name, double amount)
{
	struct ratelimit_account *a = find(rl, name);

	if (!a)
		return;
	if (a->rate_per_s > 0)
		a->level += amount;
	a->consumed -= (int64_t)amount;
}

double ratelimit_wait_s(struct ratelimit *rl, const char *name, double amount,
			int64_t now_us)
{
	struct ratelimit_account *a = find(rl, name);

	if (!a || a->rate_per_s <= 0)
		return 0;
	refill(rl, a, now_us);
	if (amount > a->burst)
		amount = a->burst;
	return a->level >= amount ? 0 : (amount - a->level) / a->rate_per_s;
}

void ratelimit_deduct(struct ratelimit *rl, uint64_t key, int64_t amount,
		      int64_t now_us)
{
	struct ratelimit_account *a = find_key(rl, key);

	if (!a || a->rate_per_s <= 0)
		return;
	refill(rl, a, now_us);
	a->level -= (double)amount;
	if (a->level < -a->burst)
		a->level = -a->burst;
}

void ratelimit_set_hosts(struct ratelimit *rl, uint32_t n, uint32_t living,
			 int64_t now_us)
{
	uint32_t i;

	if (n == rl->n_hosts && living == rl->living_hosts)
		return;
	for (i = 0; i < rl->n_accounts; i++)
		refill(rl, &rl->account[i], now_us);
	rl->n_hosts = n;
	rl->living_hosts = living;
}
