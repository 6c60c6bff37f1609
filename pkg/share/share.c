#include "share.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* Of a host that has not told what it let through; all bits set. */
#define UNHEARD UINT64_MAX
/* Until it is set otherwise. */
#define SILENT_US 1000000LL

/* Starts without accounts and hosts. Returns 0. */
int share_init(struct share *s)
{
	memset(s, 0, sizeof(*s));
	s->silent_us = SILENT_US;
	return 0;
}

/* Frees what is known. */
void share_finish(struct share *s)
{
	uint32_t i;

	for (i = 0; i < s->n_accounts; i++)
		free(s->account[i].heard);
	memset(s, 0, sizeof(*s));
}

static struct share_account *find(struct share *s, const char *name)
{
	uint32_t i;

	for (i = 0; i < s->n_accounts; i++)
		if (strcmp(s->account[i].name, name) == 0)
			return &s->account[i];
	return NULL;
}

/* Returns how many of the other hosts are silent. */
static uint32_t silent_hosts(const struct share *s, int64_t now_us)
{
	uint32_t i, n = 0;

	for (i = 0; i < s->n_hosts; i++)
		n += s->host[i].name[0] &&
		     now_us - s->host[i].heard_us > s->silent_us;
	return n;
}

/* See share.h. */
uint32_t share_hosts(const struct share *s)
{
	uint32_t i, n = 1;

	for (i = 0; i < s->n_hosts; i++)
		n += s->host[i].name[0] != '\0';
	return n;
}

/* Brings the level up to now: what flowed in, less what silent hosts spend. */
static void refill(struct share *s, struct share_account *a, int64_t now_us)
{
	double hosts = share_hosts(s);
	double part = (hosts - silent_hosts(s, now_us)) / hosts;

	if (now_us > a->level_us)
		a->level += a->rate_per_s * part *
			    (double)(now_us - a->level_us) / 1e6;
	if (a->level > a->burst)
		a->level = a->burst;
	a->level_us = now_us;
}

/* See share.h. Returns 0, -ENOSPC or -ENOMEM. */
int share_account_set(struct share *s, const char *name, double rate_per_s,
		      double burst, int64_t now_us)
{
	struct share_account *a = find(s, name);

	burst += s->slack;
	if (!a) {
		if (s->n_accounts == SHARE_ACCOUNTS_MAX)
			return -ENOSPC;
		a = &s->account[s->n_accounts];
		memset(a, 0, sizeof(*a));
		a->heard = malloc(SHARE_HOSTS_MAX * sizeof(*a->heard));
		if (!a->heard)
			return -ENOMEM;
		memset(a->heard, 0xff, SHARE_HOSTS_MAX * sizeof(*a->heard));
		strncpy(a->name, name, sizeof(a->name) - 1);
		a->level_us = now_us;
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
bool share_spend(struct share *s, const char *name, double amount,
		 int64_t now_us)
{
	struct share_account *a = find(s, name);
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
	a->spent += (uint64_t)amount;
	return true;
}

/* See share.h. */
void share_return(struct share *s, const char *name, double amount)
{
	struct share_account *a = find(s, name);
	uint64_t whole = (uint64_t)amount;

	if (!a)
		return;
	a->level += amount;
	a->spent -= whole < a->spent ? whole : a->spent;
}

/* See share.h. */
double share_wait_s(struct share *s, const char *name, double amount,
		    int64_t now_us)
{
	struct share_account *a = find(s, name);

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
static void host_reset(struct share *s, int host, uint64_t upto)
{
	uint32_t i;

	for (i = 0; i < s->n_accounts; i++)
		s->account[i].heard[host] = upto;
}

/* See share.h. */
int share_host_heard(struct share *s, const char *name, uint64_t boot,
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
	if (i == SHARE_HOSTS_MAX)
		return -ENOSPC;
	if (i == s->n_hosts)
		s->n_hosts++;
	if (!s->host[i].name[0])
		host_reset(s, (int)i, UNHEARD);
	else if (s->host[i].boot != boot)
		host_reset(s, (int)i, 0);
	strncpy(s->host[i].name, name, sizeof(s->host[i].name) - 1);
	s->host[i].boot = boot;
	s->host[i].heard_us = now_us;
	return (int)i;
}

/* See share.h. */
void share_heard(struct share *s, int host, const char *account, uint64_t spent,
		 int64_t now_us)
{
	struct share_account *a = find(s, account);

	if (a && a->heard[host] == UNHEARD)
		a->heard[host] = spent;
	if (!a || spent == a->heard[host])
		return;
	refill(s, a, now_us);
	a->level -= (double)(int64_t)(spent - a->heard[host]);
	a->heard[host] = spent;
	if (a->level < -a->burst)
		a->level = -a->burst;
}

/* See share.h. */
void share_told(struct share *s)
{
	uint32_t i;

	for (i = 0; i < s->n_accounts; i++)
		s->account[i].told = s->account[i].spent;
}

/* See share.h. */
bool share_is_scarce(struct share *s, int64_t now_us)
{
	struct share_account *a;
	uint32_t i;

	for (i = 0; i < s->n_accounts; i++) {
		a = &s->account[i];
		if (a->rate_per_s <= 0 || a->told == a->spent)
			continue;
		refill(s, a, now_us);
		if (a->level < a->burst / 2)
			return true;
	}
	return false;
}

/* Forgets a host. */
void share_host_gone(struct share *s, const char *name)
{
	uint32_t i;

	for (i = 0; i < s->n_hosts; i++)
		if (strcmp(s->host[i].name, name) == 0)
			memset(&s->host[i], 0, sizeof(s->host[i]));
}
