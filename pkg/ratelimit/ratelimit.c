#include "ratelimit.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Of a host that has not told what it let through; all bits set. */
#define UNHEARD UINT64_MAX
/* Until it is set otherwise. */
#define SILENT_US 1000000LL

/* Starts without accounts and hosts. Returns 0. */
int ratelimit_init(struct ratelimit *s)
{
	memset(s, 0, sizeof(*s));
	s->host_timeout_us = SILENT_US;
	return 0;
}

/* Frees what is known. */
void ratelimit_finish(struct ratelimit *s)
{
	uint32_t i;

	for (i = 0; i < s->n_accounts; i++)
		free(s->account[i].peer_consumed);
	memset(s, 0, sizeof(*s));
}

static struct ratelimit_account *find(struct ratelimit *s, const char *name)
{
	uint32_t i;

	for (i = 0; i < s->n_accounts; i++)
		if (strcmp(s->account[i].name, name) == 0)
			return &s->account[i];
	return NULL;
}

/* Returns how many of the other hosts are silent. */
static uint32_t silent_hosts(const struct ratelimit *s, int64_t now_us)
{
	uint32_t i, n = 0;

	for (i = 0; i < s->n_hosts; i++)
		n += s->host[i].name[0] &&
		     now_us - s->host[i].last_heartbeat_us > s->host_timeout_us;
	return n;
}

/* See share.h. */
uint32_t ratelimit_host_count(const struct ratelimit *s)
{
	uint32_t i, n = 1;

	for (i = 0; i < s->n_hosts; i++)
		n += s->host[i].name[0] != '\0';
	return n;
}

/* Brings the level up to now: what flowed in, less what silent hosts spend. */
static void refill(struct ratelimit *s, struct ratelimit_account *a,
		   int64_t now_us)
{
	double hosts = ratelimit_host_count(s);
	double part = (hosts - silent_hosts(s, now_us)) / hosts;

	if (now_us > a->refilled_us)
		a->level += a->rate_per_s * part *
			    (double)(now_us - a->refilled_us) / 1e6;
	if (a->level > a->burst)
		a->level = a->burst;
	a->refilled_us = now_us;
}

/* See share.h. Returns 0, -ENOSPC or -ENOMEM. */
int ratelimit_account_set(struct ratelimit *s, const char *name,
			  double rate_per_s, double burst, int64_t now_us)
{
	struct ratelimit_account *a = find(s, name);

	burst += s->slack;
	if (!a) {
		if (s->n_accounts == RATELIMIT_ACCOUNTS_MAX)
			return -ENOSPC;
		a = &s->account[s->n_accounts];
		memset(a, 0, sizeof(*a));
		a->peer_consumed =
			malloc(RATELIMIT_HOSTS_MAX * sizeof(*a->peer_consumed));
		if (!a->peer_consumed)
			return -ENOMEM;
		memset(a->peer_consumed, 0xff,
		       RATELIMIT_HOSTS_MAX * sizeof(*a->peer_consumed));
		strncpy(a->name, name, sizeof(a->name) - 1);
		a->refilled_us = now_us;
		s->n_accounts++;
	}
	refill(s, a, now_us);
	a->rate_per_s = rate_per_s;
	a->burst = burst;
	if (a->level > burst)
		a->level = burst;
	return 0;
}

/* See share.h. An amount over the burst passes when the bucket is full. */
bool ratelimit_consume(struct ratelimit *s, const char *name, double amount,
		       int64_t now_us)
{
	struct ratelimit_account *a = find(s, name);
	double need;

	if (!a)
		return true;
	if (a->rate_per_s > 0) {
		refill(s, a, now_us);
		need = amount < a->burst ? amount : a->burst;
		if (a->level < need)
			return false;
	}
	a->level -= amount;
	a->consumed += (uint64_t)amount;
	return true;
}

/* See share.h. */
void ratelimit_refund(struct ratelimit *s, const char *name, double amount)
{
	struct ratelimit_account *a = find(s, name);
	uint64_t whole = (uint64_t)amount;

	if (!a)
		return;
	a->level += amount;
	a->consumed -= whole < a->consumed ? whole : a->consumed;
}

/* See share.h. */
double ratelimit_wait_s(struct ratelimit *s, const char *name, double amount,
			int64_t now_us)
{
	struct ratelimit_account *a = find(s, name);

	if (!a || a->rate_per_s <= 0)
		return 0;
	refill(s, a, now_us);
	if (amount > a->burst)
		amount = a->burst;
	return a->level >= amount ? 0 : (amount - a->level) / a->rate_per_s;
}

/*
 * Sets how far a host was heard: from zero if it started anew, or UNHEARD, so
 * that what it let through before this host knew of it does not count.
 */
static void host_reset(struct ratelimit *s, int host, uint64_t upto)
{
	uint32_t i;

	for (i = 0; i < s->n_accounts; i++)
		s->account[i].peer_consumed[host] = upto;
}

/* See share.h. */
int ratelimit_host_update(struct ratelimit *s, const char *name, uint64_t boot,
			  int64_t now_us)
{
	int free_row = -1;
	uint32_t i;

	for (i = 0; i < s->n_hosts; i++) {
		if (!s->host[i].name[0])
			free_row = (int)i;
		else if (strcmp(s->host[i].name, name) == 0)
			break;
	}
	if (i == s->n_hosts && free_row >= 0)
		i = (uint32_t)free_row;
	if (i == RATELIMIT_HOSTS_MAX)
		return -ENOSPC;
	if (i == s->n_hosts)
		s->n_hosts++;
	if (!s->host[i].name[0])
		host_reset(s, (int)i, UNHEARD);
	else if (s->host[i].boot != boot)
		host_reset(s, (int)i, 0);
	strncpy(s->host[i].name, name, sizeof(s->host[i].name) - 1);
	s->host[i].boot = boot;
	s->host[i].last_heartbeat_us = now_us;
	return (int)i;
}

/* See share.h. */
void ratelimit_apply_report(struct ratelimit *s, int host, const char *account,
			    uint64_t spent, int64_t now_us)
{
	struct ratelimit_account *a = find(s, account);

	if (a && a->peer_consumed[host] == UNHEARD)
		a->peer_consumed[host] = spent;
	if (!a || spent == a->peer_consumed[host])
		return;
	refill(s, a, now_us);
	a->level -= (double)(int64_t)(spent - a->peer_consumed[host]);
	a->peer_consumed[host] = spent;
	if (a->level < -a->burst)
		a->level = -a->burst;
}

/* See share.h. */
void ratelimit_mark_reported(struct ratelimit *s)
{
	uint32_t i;

	for (i = 0; i < s->n_accounts; i++)
		s->account[i].reported = s->account[i].consumed;
}

/* See share.h. */
bool ratelimit_report_urgent(struct ratelimit *s, int64_t now_us)
{
	struct ratelimit_account *a;
	uint32_t i;

	for (i = 0; i < s->n_accounts; i++) {
		a = &s->account[i];
		if (a->rate_per_s <= 0 || a->reported == a->consumed)
			continue;
		refill(s, a, now_us);
		if (a->level < a->burst / 2)
			return true;
	}
	return false;
}

/* Forgets a host. */
void ratelimit_host_remove(struct ratelimit *s, const char *name)
{
	uint32_t i;

	for (i = 0; i < s->n_hosts; i++)
		if (strcmp(s->host[i].name, name) == 0)
			memset(&s->host[i], 0, sizeof(s->host[i]));
}
