#include "ratelimit.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Total of a host that has not reported yet; all bits are set, for memset. */
#define NOT_REPORTED UINT64_MAX
#define DEFAULT_HOST_TIMEOUT_US 1000000LL

int ratelimit_init(struct ratelimit *rl)
{
	memset(rl, 0, sizeof(*rl));
	rl->host_timeout_us = DEFAULT_HOST_TIMEOUT_US;
	return 0;
}

void ratelimit_finish(struct ratelimit *rl)
{
	uint32_t i;

	for (i = 0; i < rl->n_accounts; i++)
		free(rl->account[i].peer_consumed);
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

/* Returns how many of the other hosts are unreachable. */
static uint32_t unreachable_hosts(const struct ratelimit *rl, int64_t now_us)
{
	uint32_t i, n = 0;

	for (i = 0; i < rl->n_hosts; i++)
		n += rl->host[i].name[0] &&
		     now_us - rl->host[i].last_heartbeat_us >
			     rl->host_timeout_us;
	return n;
}

uint32_t ratelimit_host_count(const struct ratelimit *rl)
{
	uint32_t i, n = 1;

	for (i = 0; i < rl->n_hosts; i++)
		n += rl->host[i].name[0] != '\0';
	return n;
}

/* Refills a bucket up to now, less the part that unreachable hosts may use. */
static void refill(struct ratelimit *rl, struct ratelimit_account *a,
		   int64_t now_us)
{
	double hosts = ratelimit_host_count(rl);
	double part = (hosts - unreachable_hosts(rl, now_us)) / hosts;

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
		a->peer_consumed =
			malloc(RATELIMIT_HOSTS_MAX * sizeof(*a->peer_consumed));
		if (!a->peer_consumed)
			return -ENOMEM;
		memset(a->peer_consumed, 0xff,
		       RATELIMIT_HOSTS_MAX * sizeof(*a->peer_consumed));
		strncpy(a->name, name, sizeof(a->name) - 1);
		a->refilled_us = now_us;
		rl->n_accounts++;
	}
	refill(rl, a, now_us);
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
	}
	a->level -= amount;
	a->consumed += (uint64_t)amount;
	return true;
}

void ratelimit_refund(struct ratelimit *rl, const char *name, double amount)
{
	struct ratelimit_account *a = find(rl, name);
	uint64_t whole = (uint64_t)amount;

	if (!a)
		return;
	a->level += amount;
	a->consumed -= whole < a->consumed ? whole : a->consumed;
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

/*
 * Sets the last totals of a host: to 0 after its restart, or to NOT_REPORTED,
 * so that what it consumed before this host knew of it is not deducted.
 */
static void host_reset(struct ratelimit *rl, int host, uint64_t consumed)
{
	uint32_t i;

	for (i = 0; i < rl->n_accounts; i++)
		rl->account[i].peer_consumed[host] = consumed;
}

int ratelimit_host_update(struct ratelimit *rl, const char *name, uint64_t boot,
			  int64_t now_us)
{
	int free_row = -1;
	uint32_t i;

	for (i = 0; i < rl->n_hosts; i++) {
		if (!rl->host[i].name[0])
			free_row = (int)i;
		else if (strcmp(rl->host[i].name, name) == 0)
			break;
	}
	if (i == rl->n_hosts && free_row >= 0)
		i = (uint32_t)free_row;
	if (i == RATELIMIT_HOSTS_MAX)
		return -ENOSPC;
	if (i == rl->n_hosts)
		rl->n_hosts++;
	if (!rl->host[i].name[0])
		host_reset(rl, (int)i, NOT_REPORTED);
	else if (rl->host[i].boot != boot)
		host_reset(rl, (int)i, 0);
	strncpy(rl->host[i].name, name, sizeof(rl->host[i].name) - 1);
	rl->host[i].boot = boot;
	rl->host[i].last_heartbeat_us = now_us;
	return (int)i;
}

void ratelimit_apply_report(struct ratelimit *rl, int host, const char *account,
			    uint64_t consumed, int64_t now_us)
{
	struct ratelimit_account *a = find(rl, account);

	if (a && a->peer_consumed[host] == NOT_REPORTED)
		a->peer_consumed[host] = consumed;
	if (!a || consumed == a->peer_consumed[host])
		return;
	refill(rl, a, now_us);
	/* Refunds lower the total: the difference may be negative. */
	a->level -= (double)(int64_t)(consumed - a->peer_consumed[host]);
	a->peer_consumed[host] = consumed;
	if (a->level < -a->burst)
		a->level = -a->burst;
}

void ratelimit_mark_reported(struct ratelimit *rl)
{
	uint32_t i;

	for (i = 0; i < rl->n_accounts; i++)
		rl->account[i].reported = rl->account[i].consumed;
}

bool ratelimit_report_urgent(struct ratelimit *rl, int64_t now_us)
{
	struct ratelimit_account *a;
	uint32_t i;

	for (i = 0; i < rl->n_accounts; i++) {
		a = &rl->account[i];
		if (a->rate_per_s <= 0 || a->reported == a->consumed)
			continue;
		refill(rl, a, now_us);
		if (a->level < a->burst / 2)
			return true;
	}
	return false;
}

void ratelimit_host_remove(struct ratelimit *rl, const char *name)
{
	uint32_t i;

	for (i = 0; i < rl->n_hosts; i++)
		if (strcmp(rl->host[i].name, name) == 0)
			memset(&rl->host[i], 0, sizeof(rl->host[i]));
}
