#include "ratelimit.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "namehash.h"

/* Time constant of the average of what is requested of other hosts. */
#define DEMAND_S 2.0
/* Distinguishes the key of refusals from the account's own. */
#define REFUSED_MASK 0x5245465553454421ULL

int ratelimit_init(struct ratelimit *rl)
{
	memset(rl, 0, sizeof(*rl));
	rl->n_hosts = rl->living_hosts = 1;
	rl->random = 1;
	return 0;
}

void ratelimit_finish(struct ratelimit *rl)
{
	free(rl->account);
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

static bool is_shared(const struct ratelimit *rl,
		      const struct ratelimit_account *a)
{
	return a - rl->account < RATELIMIT_SHARED_MAX;
}

/*
 * Returns the part of rate and burst that silent hosts leave to the others; all
 * other hosts are silent about an account that is not shared.
 */
static double living_part(const struct ratelimit *rl,
			  const struct ratelimit_account *a)
{
	return (double)(is_shared(rl, a) ? rl->living_hosts : 1) / rl->n_hosts;
}

/* Returns the level of a full bucket. */
static double full_level(const struct ratelimit *rl,
			 const struct ratelimit_account *a)
{
	return a->burst * living_part(rl, a);
}

/* Refills a bucket up to now, less the part that silent hosts may use. */
static void refill(struct ratelimit *rl, struct ratelimit_account *a,
		   int64_t now_us)
{
	if (now_us > a->refilled_us)
		a->level += a->rate_per_s * living_part(rl, a) *
			    (double)(now_us - a->refilled_us) / 1e6;
	if (a->level > full_level(rl, a))
		a->level = full_level(rl, a);
	a->refilled_us = now_us;
}

/* Returns a zeroed account, or NULL if memory is exhausted. */
static struct ratelimit_account *add(struct ratelimit *rl)
{
	uint32_t capacity = rl->capacity ? 2 * rl->capacity : 64;
	struct ratelimit_account *a;

	if (rl->n_accounts == rl->capacity) {
		a = realloc(rl->account, capacity * sizeof(*a));
		if (!a)
			return NULL;
		rl->account = a;
		rl->capacity = capacity;
	}
	a = &rl->account[rl->n_accounts++];
	memset(a, 0, sizeof(*a));
	return a;
}

int ratelimit_account_set(struct ratelimit *rl, const char *name,
			  double rate_per_s, double burst, int64_t now_us)
{
	struct ratelimit_account *a = find(rl, name);

	burst += rl->slack;
	if (!a) {
		a = add(rl);
		if (!a)
			return -ENOMEM;
		strncpy(a->name, name, sizeof(a->name) - 1);
		a->key = namehash(name);
		a->refilled_us = now_us;
	}
	refill(rl, a, now_us);
	/* Without a limit the level is not kept: the bucket is new. */
	if (a->rate_per_s <= 0)
		a->level = 0;
	a->rate_per_s = rate_per_s;
	a->burst = burst;
	refill(rl, a, now_us);
	return 0;
}

/* Returns a number in [0, 1) from a linear congruential generator. */
static double random_fraction(struct ratelimit *rl)
{
	rl->random =
		rl->random * 6364136223846793005ULL + 1442695040888963407ULL;
	return (double)(rl->random >> 40) / (double)(1 << 24);
}

/* Adds to what was requested of other hosts, after its decay up to now. */
static void add_demand(struct ratelimit_account *a, double amount,
		       int64_t now_us)
{
	double s = (double)(now_us - a->others_demand_us) / 1e6;

	if (s > 0)
		a->others_demand *= exp(-s / DEMAND_S);
	a->others_demand_us = now_us;
	a->others_demand += amount;
}

/*
 * Returns a random part of what other hosts may have consumed unseen. Admitting
 * what fits beside it leaves them their part of a bucket that is nearly empty.
 */
static double unseen_part(struct ratelimit *rl, struct ratelimit_account *a,
			  int64_t now_us)
{
	add_demand(a, 0, now_us);
	return a->others_demand / DEMAND_S * (double)rl->staleness_us / 1e6 *
	       random_fraction(rl);
}

/* Returns the level at which an amount is admitted; a full bucket suffices. */
static double required_level(struct ratelimit *rl, struct ratelimit_account *a,
			     double amount, int64_t now_us)
{
	double level = amount + unseen_part(rl, a, now_us);

	return level < full_level(rl, a) ? level : full_level(rl, a);
}

bool ratelimit_consume(struct ratelimit *rl, const char *name, double amount,
		       int64_t now_us)
{
	struct ratelimit_account *a = find(rl, name);

	if (!a)
		return true;
	if (a->rate_per_s > 0) {
		refill(rl, a, now_us);
		if (a->level < required_level(rl, a, amount, now_us)) {
			if (is_shared(rl, a))
				a->refused += (int64_t)amount;
			return false;
		}
		a->level -= amount;
	}
	if (is_shared(rl, a)) {
		a->consumed += (int64_t)amount;
		a->used = true;
	}
	return true;
}

void ratelimit_refund(struct ratelimit *rl, const char *name, double amount)
{
	struct ratelimit_account *a = find(rl, name);

	if (!a)
		return;
	if (a->rate_per_s > 0)
		a->level += amount;
	if (is_shared(rl, a))
		a->consumed -= (int64_t)amount;
}

double ratelimit_wait_s(struct ratelimit *rl, const char *name, double amount,
			int64_t now_us)
{
	struct ratelimit_account *a = find(rl, name);

	if (!a || a->rate_per_s <= 0)
		return 0;
	refill(rl, a, now_us);
	amount = required_level(rl, a, amount, now_us);
	if (a->level >= amount)
		return 0;
	return (amount - a->level) / (a->rate_per_s * living_part(rl, a));
}

uint64_t ratelimit_refused_key(uint64_t key)
{
	return key ^ REFUSED_MASK;
}

void ratelimit_deduct(struct ratelimit *rl, uint64_t key, int64_t amount,
		      int64_t now_us)
{
	struct ratelimit_account *a = find_key(rl, key);

	if (!a) {
		a = find_key(rl, key ^ REFUSED_MASK);
		if (a && amount > 0)
			add_demand(a, (double)amount, now_us);
		return;
	}
	if (a->rate_per_s <= 0)
		return;
	if (amount > 0)
		add_demand(a, (double)amount, now_us);
	refill(rl, a, now_us);
	a->level -= (double)amount;
	if (a->level < -a->burst)
		a->level = -a->burst;
}

void ratelimit_set_hosts(struct ratelimit *rl, uint32_t n, uint32_t living,
			 int64_t staleness_us, int64_t now_us)
{
	uint32_t i;

	rl->staleness_us = staleness_us;
	if (n == rl->n_hosts && living == rl->living_hosts)
		return;
	for (i = 0; i < rl->n_accounts; i++)
		refill(rl, &rl->account[i], now_us);
	rl->n_hosts = n;
	rl->living_hosts = living;
}
