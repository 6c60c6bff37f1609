#include "serving.h"

#include <assert.h>
#include <errno.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logline.h"

#define TICK_S 0.1
#define LENDERS_PER_DOMAIN 3
#define BORROW_TIMEOUT_MS 250
/* Minimum time between reads of the log for a confirmation of the epoch. */
#define LOG_READ_INTERVAL_US 1000000LL
/* Time after which the host counts as ready without active limits. */
#define READY_TIMEOUT_US (2 * QUOTA_ACTIVATION_DELAY_US)
/* Maximum number of hosts in the quorum for a confirmation. */
#define QUORUM_HOSTS_MAX 64
#define FNV_OFFSET_BASIS 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL

/* A borrow message that waits for its reply. */
struct borrow_call {
	struct daemon *daemon;
	struct board_account *account; /* a reference */
	uint64_t lender_id;
	uint64_t seq;
};

static void advance(struct daemon *d, struct board_account *a);

/* Returns the 64-bit FNV-1a hash of a host's name and boot number. */
static uint64_t hash_host(const char *name, uint64_t boot)
{
	uint64_t h = FNV_OFFSET_BASIS;
	uint32_t i;

	for (; *name; name++)
		h = (h ^ (uint8_t)*name) * FNV_PRIME;
	for (i = 0; i < sizeof(boot); i++)
		h = (h ^ (boot >> 8 * i & 0xff)) * FNV_PRIME;
	return h;
}

static struct board_account *find_account(struct daemon *d, const char *name)
{
	struct board_account *a;

	TAILQ_FOREACH(a, &d->board.accounts, entry)
	if (strcmp(a->name, name) == 0)
		return a;
	return NULL;
}

static void account_put(struct daemon *d, struct board_account *a)
{
	if (--a->refs)
		return;
	TAILQ_REMOVE(&d->board.accounts, a, entry);
	quota_finish(&a->quota);
	free(a);
}

/*
 * Adds a new account to the board, which holds the only reference to it.
 * Returns NULL if out of memory.
 */
static struct board_account *account_new(struct daemon *d, const char *name)
{
	struct board_account *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	snprintf(a->name, sizeof(a->name), "%s", name);
	a->refs = 1;
	a->is_new = true;
	quota_init(&a->quota, hash_host(d->settings.host, d->boot_us),
		   daemon_now_us(d));
	TAILQ_INSERT_TAIL(&d->board.accounts, a, entry);
	return a;
}

/* Returns part i of n nearly equal parts, whose sum is the total. */
static uint64_t split(uint64_t total, uint32_t i, uint32_t n)
{
	return total * (i + 1) / n - total * i / n;
}

/* The lenders of an account; collected domain by domain. */
struct lender_set {
	struct quota_remote_lender remote[QUOTA_LENDERS_MAX];
	uint32_t index[QUOTA_LENDERS_MAX]; /* of remote[i] in the epoch */
	uint32_t n;
	struct quota_limits own_limits; /* 0 if this host is no lender */
	uint64_t local_hash; /* of the lenders in this host's domain */
};

/*
 * Adds a domain's lenders, the owners of the account's name there. They divide
 * the domain's share of the account's limits.
 */
static void add_domain(struct daemon *d, const struct config_account *c,
		       const struct config_share *share, struct lender_set *set)
{
	const struct member_epoch *e = &d->board.epoch;
	bool local = strcmp(share->domain, d->settings.domain) == 0;
	const struct member_host *owner[LENDERS_PER_DOMAIN];
	uint64_t rate = c->rate_tokens_s * share->ppm / CONFIG_PPM;
	uint64_t burst = c->burst_tokens * share->ppm / CONFIG_PPM;
	uint32_t i, n;

	n = member_owners(e, share->domain, c->name, owner, LENDERS_PER_DOMAIN);
	for (i = 0; i < n; i++) {
		if (local)
			set->local_hash =
				set->local_hash * FNV_PRIME +
				hash_host(owner[i]->name, owner[i]->boot);
		if (strcmp(owner[i]->name, d->settings.host) == 0) {
			set->own_limits.rate_tokens_s = split(rate, i, n);
			set->own_limits.burst_tokens = split(burst, i, n);
			continue;
		}
		if (set->n == QUOTA_LENDERS_MAX)
			return;
		set->index[set->n] = (uint32_t)(owner[i] - e->host);
		set->remote[set->n].id = hash_host(owner[i]->name, 0);
		set->remote[set->n++].same_domain = local;
	}
}

/*
 * Returns the latest time at which a majority of this host and the hosts that
 * it monitors had no newer epoch. The caller checks that no heartbeat reported
 * a newer one.
 */
static int64_t quorum_us(const struct daemon *d)
{
	const struct member_core *c = &d->host_control.core;
	int64_t heartbeat_us[QUORUM_HOSTS_MAX];
	uint32_t n = 1;
	uint32_t i;

	heartbeat_us[0] = daemon_now_us(d);
	for (i = 0; i < d->board.epoch.n && n < QUORUM_HOSTS_MAX; i++)
		if (c->peer[i].monitored)
			heartbeat_us[n++] = c->peer[i].last_heartbeat_us;
	return quota_lender_quorum_us(heartbeat_us, n);
}

/*
 * Returns the latest time at which the epoch on the board was known to be the
 * newest: by heartbeats of other hosts, or by a read of the log to its end. The
 * result is long past while this host is not current. Starts a read of the log
 * when half of the life of the last confirmation is over.
 */
static int64_t epoch_as_of_us(struct daemon *d)
{
	struct quota_control *k = &d->quota_control;
	int64_t now_us = daemon_now_us(d);
	int64_t as_of_us = INT64_MIN / 2;

	if (!host_control_is_current(d))
		return as_of_us;
	if (k->newest_epoch <= d->board.epoch.number)
		as_of_us = quorum_us(d);
	if (k->log_confirmed_us > as_of_us)
		as_of_us = k->log_confirmed_us;
	if (now_us - as_of_us > QUOTA_CONFIRM_TTL_US / 2 &&
	    now_us - k->log_read_us > LOG_READ_INTERVAL_US) {
		k->log_read_us = now_us;
		platform_follow_again(&d->host_control.log_reader);
	}
	return as_of_us;
}

/*
 * Returns true if no host can hold limits of an account that the previous
 * configuration did not declare: there was a previous configuration, and the
 * epoch, and so the lenders, have not changed for QUOTA_ACTIVATION_DELAY_US.
 */
static bool no_earlier_limits(const struct daemon *d)
{
	const struct quota_control *k = &d->quota_control;

	return k->first_configured_us && k->epoch_changed_us &&
	       daemon_now_us(d) - k->epoch_changed_us >
		       QUOTA_ACTIVATION_DELAY_US;
}

/* Sets the lenders and the limits of an account by epoch and configuration. */
static void update_account(struct daemon *d, struct board_account *a,
			   const struct config_account *c)
{
	struct lender_set set = {.n = 0};
	uint32_t i;

	for (i = 0; i < c->share_n; i++)
		add_domain(d, c, &c->share[i], &set);
	a->quota.account_limits.rate_tokens_s = c->rate_tokens_s;
	a->quota.account_limits.burst_tokens = c->burst_tokens;
	memcpy(a->lender_index, set.index, sizeof(a->lender_index));
	quota_set_lenders(&a->quota, set.remote, set.n);
	quota_lender_assign(&a->quota.lender, &set.own_limits, set.local_hash,
			    daemon_now_us(d));
	if (a->is_new && no_earlier_limits(d))
		quota_lender_activate(&a->quota.lender, epoch_as_of_us(d),
				      daemon_now_us(d));
	a->is_new = false;
	advance(d, a);
}

/*
 * Sets this host's limits of accounts that are not declared to 0. Their leases
 * stay counted, in case the accounts are declared again.
 */
static void clear_undeclared(struct daemon *d)
{
	struct quota_limits none = {0, 0};
	struct board_account *a;

	TAILQ_FOREACH(a, &d->board.accounts, entry)
	if (!config_find_account(d->board.config.current, a->name))
		quota_lender_assign(&a->quota.lender, &none, 0,
				    daemon_now_us(d));
}

/*
 * Applies the accounts of the configuration in force. The caller ensures that
 * there is one.
 */
void quota_control_configure(struct daemon *d)
{
	const struct config *c = d->board.config.current;
	struct board_account *a;
	uint32_t i;

	for (i = 0; i < c->account_n; i++) {
		a = find_account(d, c->account[i].name);
		if (!a)
			a = account_new(d, c->account[i].name);
		if (!a) {
			logline(LOG_ERR, "out-of-memory", "in=accounts");
			continue;
		}
		update_account(d, a, &c->account[i]);
	}
	clear_undeclared(d);
	if (!d->quota_control.first_configured_us)
		d->quota_control.first_configured_us = daemon_now_us(d);
}

void quota_control_apply_epoch(struct daemon *d)
{
	d->quota_control.epoch_changed_us = daemon_now_us(d);
	if (d->board.config.current)
		quota_control_configure(d);
}

static void on_borrow_reply(void *ctx, int error, const struct fig_reply *reply)
{
	struct borrow_call *call = ctx;
	struct board_account *a = call->account;
	struct daemon *d = call->daemon;
	const struct fig_quota_grant *got;
	struct quota_grant g;

	if (error) {
		metrics_add(&d->board.metrics, METRIC_QUOTA_BORROWS_FAILED, 1);
		quota_borrow_failed(&a->quota, call->lender_id, call->seq,
				    daemon_now_us(d));
	} else {
		got = &reply->fig_reply_u.quota_grant;
		g.seq = got->seq;
		g.tokens = got->tokens;
		g.available_tokens = got->left_tokens;
		g.rate_tokens_s = got->rate_tokens_s;
		quota_apply_grant(&a->quota, call->lender_id, &g,
				  daemon_now_us(d));
	}
	if (!d->quota_control.finished)
		advance(d, a);
	account_put(d, a);
	free(call);
}

static const char *lender_addr(const struct daemon *d,
			       const struct board_account *a,
			       uint64_t lender_id)
{
	uint32_t i;

	for (i = 0; i < a->quota.remote_n; i++)
		if (a->quota.remote[i].id == lender_id)
			return d->board.epoch.host[a->lender_index[i]].addr;
	return "";
}

static void send_borrow(struct daemon *d, struct board_account *a,
			const struct quota_message *msg)
{
	struct fig_call call = {.kind = FIG_QUOTA_DRAW};
	struct fig_quota_draw *m = &call.fig_call_u.quota_draw;
	struct borrow_call *c = calloc(1, sizeof(*c));

	if (!c)
		return;
	c->daemon = d;
	c->account = a;
	c->lender_id = msg->lender_id;
	c->seq = msg->borrow.seq;
	m->account = a->name;
	m->seq = msg->borrow.seq;
	m->unspent_tokens = msg->borrow.unspent_tokens;
	m->returned_tokens = msg->borrow.returned_tokens;
	m->prompt_tokens = msg->borrow.prompt_tokens;
	m->stream_tokens = msg->borrow.stream_tokens;
	m->extra_tokens = msg->borrow.extra_tokens;
	m->pace_tokens_s = msg->borrow.stream_rate_tokens_s;
	metrics_add(&d->board.metrics, METRIC_QUOTA_BORROWS, 1);
	if (peer_call(&d->peer, lender_addr(d, a, msg->lender_id), &call,
		      BORROW_TIMEOUT_MS, on_borrow_reply, c) < 0) {
		free(c);
		return;
	}
	a->refs++;
}

static struct serving *serving_from_charge(struct quota_charge *c)
{
	return (struct serving *)((char *)c - offsetof(struct serving, charge));
}

/* Continues a request whose charge was decided. */
static void on_decided(struct quota_charge *c)
{
	struct serving *s = serving_from_charge(c);
	struct request_event ev = {.kind = REQUEST_EV_CHARGED, .attempt = 1};

	if (c->state == QUOTA_RUNNING)
		serving_on_tokens_granted(s);
	else if (c->outcome == 0)
		serving_event(s, &ev);
	else
		serving_refuse(s, REQUEST_ERR_RATE_LIMITED);
}

/*
 * Sends the borrow messages and continues the requests whose charges were
 * decided. Its reference keeps the account while these end.
 */
static void dispatch(struct daemon *d, struct board_account *a,
		     const struct quota_outbox *out)
{
	struct quota_charge *c;
	uint32_t i;

	a->refs++;
	for (i = 0; i < out->n; i++)
		send_borrow(d, a, &out->item[i]);
	while ((c = TAILQ_FIRST(&a->quota.done))) {
		TAILQ_REMOVE(&a->quota.done, c, entry);
		on_decided(c);
	}
	account_put(d, a);
}

/* Decides the charges that can be decided, and borrows for the others. */
static void advance(struct daemon *d, struct board_account *a)
{
	struct quota_outbox out = {.n = 0};

	quota_advance(&a->quota, daemon_now_us(d), &out);
	dispatch(d, a, &out);
}

/*
 * Replies to a host that borrows tokens. Returns 0, -ENOENT if the account is
 * unknown here, or an error of quota_lend().
 */
int quota_control_lend(struct daemon *d, const struct wire_opened *from,
		       struct fig_quota_grant *out)
{
	const struct fig_quota_draw *m = &from->call.fig_call_u.quota_draw;
	struct board_account *a = find_account(d, m->account);
	struct quota_grant g;
	struct quota_borrow b = {
		.borrower_id = hash_host(from->sender, from->boot),
		.seq = m->seq,
		.unspent_tokens = m->unspent_tokens,
		.returned_tokens = m->returned_tokens,
		.prompt_tokens = m->prompt_tokens,
		.stream_tokens = m->stream_tokens,
		.extra_tokens = m->extra_tokens,
		.stream_rate_tokens_s = m->pace_tokens_s,
	};
	int r;

	if (!a)
		return -ENOENT;
	r = quota_lend(&a->quota, &b, daemon_now_us(d), &g);
	if (r < 0)
		return r;
	out->seq = g.seq;
	out->tokens = g.tokens;
	out->left_tokens = g.available_tokens;
	out->rate_tokens_s = g.rate_tokens_s;
	return 0;
}

void quota_control_on_log_read(struct daemon *d)
{
	d->quota_control.log_confirmed_us = d->quota_control.log_read_us;
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct daemon *d = w->data;
	int64_t as_of_us = epoch_as_of_us(d);
	struct quota_outbox out;
	struct board_account *a, *next;

	for (a = TAILQ_FIRST(&d->board.accounts); a; a = next) {
		a->refs++;
		quota_lender_confirm(&a->quota.lender, as_of_us,
				     daemon_now_us(d));
		out.n = 0;
		quota_tick(&a->quota, daemon_now_us(d), &out);
		dispatch(d, a, &out);
		next = TAILQ_NEXT(a, entry);
		account_put(d, a);
	}
}

void quota_control_start(struct daemon *d)
{
	struct quota_control *k = &d->quota_control;

	TAILQ_INIT(&d->board.accounts);
	ev_timer_init(&k->tick_timer, on_tick, TICK_S, TICK_S);
	k->tick_timer.data = d;
	ev_timer_start(d->loop, &k->tick_timer);
}

/*
 * Drops the board's references. An account is freed when the last request and
 * the last borrow call that refer to it have ended.
 */
void quota_control_finish(struct daemon *d)
{
	struct board_account *a, *next;

	ev_timer_stop(d->loop, &d->quota_control.tick_timer);
	d->quota_control.finished = true;
	for (a = TAILQ_FIRST(&d->board.accounts); a; a = next) {
		next = TAILQ_NEXT(a, entry);
		account_put(d, a);
	}
}

/*
 * Returns true once this host's limits of all accounts were active at the same
 * time, or READY_TIMEOUT_US after the first configuration. It does not become
 * false again: later activation delays concern only single accounts.
 */
bool quota_control_is_ready(struct daemon *d)
{
	struct quota_control *k = &d->quota_control;
	const struct board_account *a;

	if (k->ready)
		return true;
	if (k->first_configured_us &&
	    daemon_now_us(d) - k->first_configured_us > READY_TIMEOUT_US)
		return true;
	TAILQ_FOREACH(a, &d->board.accounts, entry)
	if (!quota_lender_is_active(&a->quota.lender))
		return false;
	k->ready = true;
	return true;
}

/*
 * Reserves the prompt tokens of a request. The request gets the result as an
 * event, at once or when other lenders have replied.
 */
void quota_control_reserve(struct serving *s)
{
	struct daemon *d = s->daemon;
	struct request_event ev = {.kind = REQUEST_EV_CHARGED, .attempt = 1};
	struct board_account *a = find_account(d, s->request.account);
	int r;

	if (!a) {
		serving_refuse(s, REQUEST_ERR_RATE_LIMITED);
		return;
	}
	a->refs++;
	s->charged_account = a;
	s->charge.tokens = s->request.prompt_tokens;
	s->charge.stream_rate_tokens_s = s->stream_rate_tokens_s;
	r = quota_reserve(&a->quota, &s->charge, daemon_now_us(d));
	if (r == 0)
		serving_event(s, &ev);
	else if (r == -E2BIG)
		serving_refuse(s, REQUEST_ERR_OVER_BURST);
	else
		advance(d, a);
}

/* Ends the charge of a request in any state, if there is one. */
void quota_control_release(struct serving *s)
{
	struct board_account *a = s->charged_account;

	if (!a)
		return;
	s->charged_account = NULL;
	quota_release(&a->quota, &s->charge);
	account_put(s->daemon, a);
}

/* Spends the reserved tokens of a request that starts, without refund. */
void quota_control_commit(struct serving *s)
{
	if (s->charged_account)
		quota_commit(&s->charged_account->quota, &s->charge);
}

/*
 * Pays for output tokens, and first for prompt tokens that the endpoint counted
 * above the estimate. Returns false if the output must wait for
 * serving_on_tokens_granted().
 */
bool quota_control_consume(struct serving *s, uint32_t tokens)
{
	uint32_t prompt_tokens = s->request.prompt_tokens;
	bool paid;

	if (!s->charged_account)
		return true;
	if (prompt_tokens > s->charge.tokens) {
		tokens += prompt_tokens - s->charge.tokens;
		s->charge.tokens = prompt_tokens;
	}
	paid = quota_consume(&s->charged_account->quota, &s->charge, tokens,
			     daemon_now_us(s->daemon));
	if (!paid)
		metrics_add(&s->daemon->board.metrics, METRIC_TOKENS_DELAYED,
			    tokens);
	advance(s->daemon, s->charged_account);
	return paid;
}

/*
 * Ends the charge of a request that is over. Tokens that were reserved and not
 * committed can be used again.
 */
void quota_control_settle(struct serving *s, bool not_executed)
{
	assert(!not_executed || s->charge.state != QUOTA_IN_DEBT);
	quota_control_release(s);
}
