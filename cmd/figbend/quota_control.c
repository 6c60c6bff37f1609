#include "serving.h"

#include <assert.h>
#include <errno.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logline.h"

#define TICK_S 0.1
#define HOMES_A_DOMAIN 3
#define DRAW_TIMEOUT_MS 250
#define READ_AGAIN_US 1000000LL
#define READY_MAX_US (2 * QUOTA_ACTIVATION_DELAY_US)
#define WATCHED_MAX 64
#define FNV_START 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL

/* A draw under way. */
struct quota_call {
	struct daemon *daemon;
	struct board_account *account;
	uint64_t source;
	uint64_t seq;
};

static void run(struct daemon *d, struct board_account *a);

static uint64_t hash_name(const char *name, uint64_t boot)
{
	uint64_t h = FNV_START;
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

/* Returns a new account on the board, which holds the one reference to it. */
static struct board_account *account_new(struct daemon *d, const char *name)
{
	struct board_account *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	snprintf(a->name, sizeof(a->name), "%s", name);
	a->refs = 1;
	a->is_new = true;
	quota_init(&a->quota, hash_name(d->settings.host, d->boot_us),
		   daemon_now_us(d));
	TAILQ_INSERT_TAIL(&d->board.accounts, a, entry);
	return a;
}

/* Returns the i-th of n nearly equal parts; they add up to the whole. */
static uint64_t part_of(uint64_t whole, uint32_t i, uint32_t n)
{
	return whole * (i + 1) / n - whole * i / n;
}

/* The homes of an account as they are worked out, domain by domain. */
struct home_set {
	struct quota_remote_lender source[QUOTA_LENDERS_MAX];
	uint32_t at[QUOTA_LENDERS_MAX];
	uint32_t n;
	struct quota_limits part; /* of this host */
	uint64_t near;		  /* hash of the homes in this domain */
};

static void add_domain(struct daemon *d, const struct config_account *c,
		       const struct config_share *share, struct home_set *set)
{
	const struct member_epoch *e = &d->board.epoch;
	bool near = strcmp(share->domain, d->settings.domain) == 0;
	const struct member_host *home[HOMES_A_DOMAIN];
	uint64_t rate = c->rate_tokens_s * share->ppm / CONFIG_PPM;
	uint64_t burst = c->burst_tokens * share->ppm / CONFIG_PPM;
	uint32_t i, n;

	n = member_owners(e, share->domain, c->name, home, HOMES_A_DOMAIN);
	for (i = 0; i < n; i++) {
		if (near)
			set->near = set->near * FNV_PRIME +
				    hash_name(home[i]->name, home[i]->boot);
		if (strcmp(home[i]->name, d->settings.host) == 0) {
			set->part.rate_tokens_s = part_of(rate, i, n);
			set->part.burst_tokens = part_of(burst, i, n);
			continue;
		}
		if (set->n == QUOTA_LENDERS_MAX)
			return;
		set->at[set->n] = (uint32_t)(home[i] - e->host);
		set->source[set->n].id = hash_name(home[i]->name, 0);
		set->source[set->n++].same_domain = near;
	}
}

/* Returns as of when the domain's other hosts hold no newer epoch. */
static int64_t heard_us(const struct daemon *d)
{
	const struct member_core *c = &d->host_control.core;
	int64_t heard[WATCHED_MAX];
	uint32_t n = 1;
	uint32_t i;

	heard[0] = daemon_now_us(d);
	for (i = 0; i < d->board.epoch.n && n < WATCHED_MAX; i++)
		if (c->peer[i].monitored)
			heard[n++] = c->peer[i].last_heartbeat_us;
	return quota_lender_quorum_us(heard, n);
}

/*
 * Returns as of when the epoch on the board was certainly the newest: by what
 * other hosts say or, where they are silent, by the log's tail, which is then
 * read anew.
 */
static int64_t evidence_us(struct daemon *d)
{
	struct quota_control *k = &d->quota_control;
	int64_t now_us = daemon_now_us(d);
	int64_t as_of_us = INT64_MIN / 2;

	if (!host_control_is_current(d))
		return as_of_us;
	if (k->newest_epoch <= d->board.epoch.number)
		as_of_us = heard_us(d);
	if (k->log_confirmed_us > as_of_us)
		as_of_us = k->log_confirmed_us;
	if (now_us - as_of_us > QUOTA_CONFIRM_TTL_US / 2 &&
	    now_us - k->log_read_us > READ_AGAIN_US) {
		k->log_read_us = now_us;
		platform_follow_again(&d->host_control.log_reader);
	}
	return as_of_us;
}

/*
 * Tells whether no host can have had a part of an account that the configuration
 * before did not declare: the homes have been the same for long enough.
 */
static bool none_before(const struct daemon *d)
{
	const struct quota_control *k = &d->quota_control;

	return k->configured_us && k->epoch_changed_us &&
	       daemon_now_us(d) - k->epoch_changed_us >
		       QUOTA_ACTIVATION_DELAY_US;
}

/* Gives an account the homes of the epoch and the limits it was declared. */
static void place(struct daemon *d, struct board_account *a,
		  const struct config_account *c)
{
	struct home_set set = {.n = 0};
	uint32_t i;

	for (i = 0; i < c->share_n; i++)
		add_domain(d, c, &c->share[i], &set);
	a->quota.account_limits.rate_tokens_s = c->rate_tokens_s;
	a->quota.account_limits.burst_tokens = c->burst_tokens;
	memcpy(a->lender_index, set.at, sizeof(a->lender_index));
	quota_set_lenders(&a->quota, set.source, set.n);
	quota_lender_assign(&a->quota.lender, &set.part, set.near,
			    daemon_now_us(d));
	if (a->is_new && none_before(d))
		quota_lender_activate(&a->quota.lender, evidence_us(d),
				      daemon_now_us(d));
	a->is_new = false;
	run(d, a);
}

/*
 * Takes the part of accounts that are no longer declared. What was lent stays
 * counted, in case they are declared again.
 */
static void drop_undeclared(struct daemon *d)
{
	struct quota_limits none = {0, 0};
	struct board_account *a;

	TAILQ_FOREACH(a, &d->board.accounts, entry)
	if (!config_find_account(d->board.config.current, a->name))
		quota_lender_assign(&a->quota.lender, &none, 0,
				    daemon_now_us(d));
}

/* Takes over the accounts of the configuration in force, and their homes. */
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
		place(d, a, &c->account[i]);
	}
	drop_undeclared(d);
	if (!d->quota_control.configured_us)
		d->quota_control.configured_us = daemon_now_us(d);
}

void quota_control_apply_epoch(struct daemon *d)
{
	d->quota_control.epoch_changed_us = daemon_now_us(d);
	if (d->board.config.current)
		quota_control_configure(d);
}

static void on_granted(void *ctx, int error, const struct fig_reply *reply)
{
	struct quota_call *call = ctx;
	struct board_account *a = call->account;
	struct daemon *d = call->daemon;
	const struct fig_quota_grant *got;
	struct quota_grant g;

	if (error) {
		metrics_add(&d->board.metrics, METRIC_quota_draws_failed, 1);
		quota_borrow_failed(&a->quota, call->source, call->seq,
				    daemon_now_us(d));
	} else {
		got = &reply->fig_reply_u.quota_grant;
		g.seq = got->seq;
		g.tokens = got->tokens;
		g.available_tokens = got->left_tokens;
		g.rate_tokens_s = got->rate_tokens_s;
		quota_apply_grant(&a->quota, call->source, &g,
				  daemon_now_us(d));
	}
	if (!d->quota_control.finished)
		run(d, a);
	account_put(d, a);
	free(call);
}

static const char *home_addr(const struct daemon *d,
			     const struct board_account *a, uint64_t source)
{
	uint32_t i;

	for (i = 0; i < a->quota.remote_n; i++)
		if (a->quota.remote[i].id == source)
			return d->board.epoch.host[a->lender_index[i]].addr;
	return "";
}

static void draw(struct daemon *d, struct board_account *a,
		 const struct quota_message *o)
{
	struct fig_call call = {.kind = FIG_QUOTA_DRAW};
	struct fig_quota_draw *m = &call.fig_call_u.quota_draw;
	struct quota_call *c = calloc(1, sizeof(*c));

	if (!c)
		return;
	c->daemon = d;
	c->account = a;
	c->source = o->lender_id;
	c->seq = o->borrow.seq;
	m->account = a->name;
	m->seq = o->borrow.seq;
	m->unspent_tokens = o->borrow.unspent_tokens;
	m->returned_tokens = o->borrow.returned_tokens;
	m->prompt_tokens = o->borrow.prompt_tokens;
	m->stream_tokens = o->borrow.stream_tokens;
	m->extra_tokens = o->borrow.extra_tokens;
	m->pace_tokens_s = o->borrow.stream_rate_tokens_s;
	metrics_add(&d->board.metrics, METRIC_quota_draws, 1);
	if (peer_call(&d->peer, home_addr(d, a, o->lender_id), &call,
		      DRAW_TIMEOUT_MS, on_granted, c) < 0) {
		free(c);
		return;
	}
	a->refs++;
}

static struct serving *serving_of(struct quota_charge *c)
{
	return (struct serving *)((char *)c - offsetof(struct serving, charge));
}

static void decided(struct quota_charge *c)
{
	struct serving *s = serving_of(c);
	struct request_event ev = {.kind = REQUEST_EV_CHARGED, .attempt = 1};

	if (c->state == QUOTA_RUNNING)
		serving_tokens_granted(s);
	else if (c->outcome == 0)
		serving_event(s, &ev);
	else
		serving_refuse(s, REQUEST_ERR_RATE_LIMITED);
}

/* Sends the draws that the core orders and tells the requests it decided. */
static void carry_out(struct daemon *d, struct board_account *a,
		      const struct quota_outbox *out)
{
	struct quota_charge *c;
	uint32_t i;

	a->refs++;
	for (i = 0; i < out->n; i++)
		draw(d, a, &out->item[i]);
	while ((c = TAILQ_FIRST(&a->quota.done))) {
		TAILQ_REMOVE(&a->quota.done, c, entry);
		decided(c);
	}
	account_put(d, a);
}

static void run(struct daemon *d, struct board_account *a)
{
	struct quota_outbox out = {.n = 0};

	quota_advance(&a->quota, daemon_now_us(d), &out);
	carry_out(d, a, &out);
}

/* Answers a host that draws from this one. Returns 0, -ENOENT or an error. */
int quota_control_lend(struct daemon *d, const struct wire_opened *from,
		       struct fig_quota_grant *out)
{
	const struct fig_quota_draw *m = &from->call.fig_call_u.quota_draw;
	struct board_account *a = find_account(d, m->account);
	struct quota_grant g;
	struct quota_borrow w = {
		.borrower_id = hash_name(from->sender, from->boot),
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
	r = quota_lend(&a->quota, &w, daemon_now_us(d), &g);
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
	int64_t as_of_us = evidence_us(d);
	struct quota_outbox out;
	struct board_account *a, *next;

	for (a = TAILQ_FIRST(&d->board.accounts); a; a = next) {
		a->refs++;
		quota_lender_confirm(&a->quota.lender, as_of_us,
				     daemon_now_us(d));
		out.n = 0;
		quota_tick(&a->quota, daemon_now_us(d), &out);
		carry_out(d, a, &out);
		next = TAILQ_NEXT(a, entry);
		account_put(d, a);
	}
}

/* Starts with no account; the configuration brings them. */
void quota_control_start(struct daemon *d)
{
	struct quota_control *k = &d->quota_control;

	TAILQ_INIT(&d->board.accounts);
	ev_timer_init(&k->tick, on_tick, TICK_S, TICK_S);
	k->tick.data = d;
	ev_timer_start(d->loop, &k->tick);
}

/* An account is freed once the draws that are under way have ended. */
void quota_control_finish(struct daemon *d)
{
	struct board_account *a, *next;

	ev_timer_stop(d->loop, &d->quota_control.tick);
	d->quota_control.finished = true;
	for (a = TAILQ_FIRST(&d->board.accounts); a; a = next) {
		next = TAILQ_NEXT(a, entry);
		account_put(d, a);
	}
}

/*
 * Tells whether this host's part of every account is in use, or was at any time
 * since the start: later waits concern single accounts.
 */
bool quota_control_is_ready(struct daemon *d)
{
	struct quota_control *k = &d->quota_control;
	const struct board_account *a;

	if (k->ready)
		return true;
	if (k->configured_us &&
	    daemon_now_us(d) - k->configured_us > READY_MAX_US)
		return true;
	TAILQ_FOREACH(a, &d->board.accounts, entry)
	if (!quota_lender_is_active(&a->quota.lender))
		return false;
	k->ready = true;
	return true;
}

/* Charges a request: at once, or once other homes have answered. */
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
		run(d, a);
}

/* Ends the charge of a request that is over, in whatever state. */
void quota_control_release(struct serving *s)
{
	struct board_account *a = s->charged_account;

	if (!a)
		return;
	s->charged_account = NULL;
	quota_release(&a->quota, &s->charge);
	account_put(s->daemon, a);
}

/* The request starts to run: its prompt counts from now on, whatever comes. */
void quota_control_commit(struct serving *s)
{
	if (s->charged_account)
		quota_commit(&s->charged_account->quota, &s->charge);
}

/*
 * Pays output and, before the first of it, what an endpoint counted in the prompt
 * over the estimate. Returns false if it may not pass before serving_paid().
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
		metrics_add(&s->daemon->board.metrics, METRIC_tokens_held_back,
			    tokens);
	run(s->daemon, s->charged_account);
	return paid;
}

/* A request that never committed did not run: its tokens can be used again. */
void quota_control_settle(struct serving *s, bool not_run)
{
	assert(!not_run || s->charge.state != QUOTA_IN_DEBT);
	quota_control_release(s);
}
