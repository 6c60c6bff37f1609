#include "ratelimit.h"

#include <string.h>

/*
 * Hosts use only these parts of the configured ratio and slack: the bound must
 * hold over any window, and a host that restarts begins with a new budget.
 */
#define RATIO_PART 0.7
#define SLACK_PART 0.35

/* Finds or adds the budget of a service. Returns NULL if there are too many. */
static struct ratelimit_retry_budget *find(struct ratelimit_retry_budgets *b,
					   const char *service)
{
	struct ratelimit_retry_budget *row;
	uint32_t i;

	for (i = 0; i < b->n; i++)
		if (strcmp(b->row[i].service, service) == 0)
			return &b->row[i];
	if (b->n == RATELIMIT_SERVICES_MAX)
		return NULL;
	row = &b->row[b->n++];
	memset(row, 0, sizeof(*row));
	strncpy(row->service, service, sizeof(row->service) - 1);
	return row;
}

/*
 * Brings a budget up to now. It begins with this host's part of the slack and
 * gets that part again over each window. It holds what is left of its share of
 * the slack beside that part, so that all hosts together stay within the slack in
 * any window, but at least one retry: the slack is not stranded in fractions.
 */
static void refill(const struct ratelimit_retry_budgets *b,
		   struct ratelimit_retry_budget *row, uint32_t hosts,
		   int64_t now_us)
{
	double share = b->slack / (hosts ? hosts : 1);
	double part = share * SLACK_PART, most = share - part;

	if (!row->initialized) {
		row->initialized = true;
		row->tokens = part;
	} else if (now_us > row->refilled_us) {
		row->tokens += part * (double)(now_us - row->refilled_us) /
			       1e6 / b->window_s;
	}
	row->refilled_us = now_us;
	if (most < 1)
		most = 1;
	if (row->tokens > most)
		row->tokens = most;
}

void ratelimit_retry_deposit(struct ratelimit_retry_budgets *b,
			     const char *service, uint32_t hosts,
			     int64_t now_us)
{
	struct ratelimit_retry_budget *row = find(b, service);

	if (!row)
		return;
	refill(b, row, hosts, now_us);
	row->tokens += b->ratio * RATIO_PART;
}

bool ratelimit_retry_consume(struct ratelimit_retry_budgets *b,
			     const char *service, uint32_t hosts,
			     int64_t now_us)
{
	struct ratelimit_retry_budget *row = find(b, service);

	if (!row)
		return false;
	refill(b, row, hosts, now_us);
	if (row->tokens < 1)
		return false;
	row->tokens--;
	return true;
}

bool ratelimit_retry_available(struct ratelimit_retry_budgets *b,
			       const char *service, uint32_t hosts,
			       int64_t now_us)
{
	struct ratelimit_retry_budget *row = find(b, service);

	if (!row)
		return false;
	refill(b, row, hosts, now_us);
	return row->tokens >= 1;
}
