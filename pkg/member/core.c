#include "detector.h"

#include <string.h>

#define APPEND_AGAIN_US 3000000LL
#define SEED_AFTER_US 500000LL
#define CHECKPOINT_AGAIN_US 10000000LL
#define LOST_WAIT_US 20000000LL
#define RANK_WAIT_US 2000000LL
#define JUMP_BEATS 2
#define JUMP_MIN_US 1000000LL
#define LOST_SPREAD_US 10000000LL

/*
 * Starts for one start of one host, which is no member until the log says so.
 * The epoch, and watch with room for MEMBER_HOSTS_MAX, stay the caller's.
 */
void member_core_init(struct member_core *c, const struct member_host *self,
		      struct member_epoch *epoch, struct member_peer *watch,
		      uint32_t beat_ms, uint32_t suspect_ms,
		      uint32_t checkpoint_s, int64_t now_us)
{
	memset(c, 0, sizeof(*c));
	memset(watch, 0, MEMBER_HOSTS_MAX * sizeof(*watch));
	c->self = *self;
	c->peer = watch;
	member_state_init(&c->state, epoch);
	c->heartbeat_interval_us = beat_ms * 1000LL;
	c->suspect_timeout_us = suspect_ms * 1000LL;
	c->checkpoint_interval_us = checkpoint_s * 1000000LL;
	c->last_step_us = now_us;
	c->heartbeat_sent_us = now_us;
	c->checkpoint_seen_us = now_us;
	c->fetch_any_us = now_us;
}

/* A process that did not run for this long may have been taken for dead. */
static int64_t jump_us(const struct member_core *c)
{
	int64_t beats_us = JUMP_BEATS * c->heartbeat_interval_us;

	if (beats_us < JUMP_MIN_US)
		beats_us = JUMP_MIN_US;
	return beats_us < c->suspect_timeout_us ? beats_us
						: c->suspect_timeout_us;
}

bool member_is_current(const struct member_core *c, int64_t now_us)
{
	return c->current && now_us - c->last_step_us < jump_us(c) &&
	       member_self(c);
}

uint32_t member_heartbeat_age_ms(const struct member_core *c, const char *host,
				 uint64_t boot, int64_t now_us)
{
	const struct member_host *h = member_find(c->state.epoch, host);
	const struct member_peer *w;

	if (!h || h->boot != boot)
		return UINT32_MAX;
	w = member_peer_of(c, h);
	if (!w->monitored || w->suspected_us || !w->last_heartbeat_us)
		return UINT32_MAX;
	return (uint32_t)((now_us - w->last_heartbeat_us) / 1000);
}

static void beat(struct member_core *c, int64_t now_us,
		 struct member_actions *out)
{
	const struct member_host *h;
	uint32_t i;

	c->heartbeat_sent_us = now_us;
	for (i = 0; i < c->target_n; i++) {
		h = &c->state.epoch->host[c->target[i]];
		memcpy(member_add_action(out, MEMBER_ACT_HEARTBEAT)->addr,
		       h->addr, sizeof(h->addr));
	}
}

/* The epoch is a new one: everybody who watches us hears of it at once. */
static void new_epoch(struct member_core *c, int64_t now_us,
		      struct member_actions *out)
{
	member_detector_rebuild(c, now_us);
	member_add_action(out, MEMBER_ACT_EPOCH_CHANGED);
	beat(c, now_us, out);
}

static void run_own_record(struct member_core *c, int64_t now_us,
			   struct member_actions *out)
{
	const struct member_host *self = member_self(c);
	enum member_action_kind kind = MEMBER_ACT_JOIN;

	if (self && (!c->leaving || self->leaving))
		return;
	if (!self && c->leaving)
		return;
	if (c->leaving)
		kind = MEMBER_ACT_LEAVE;
	if (!c->log_caught_up || !c->current || c->state.has_gap)
		return;
	if (c->own_append_us && now_us - c->own_append_us < APPEND_AGAIN_US)
		return;
	c->own_append_us = now_us;
	member_add_action(out, kind)->host = c->self;
}

/* Returns this host's place in the order of those that append checkpoints. */
static uint32_t checkpoint_rank(const struct member_core *c)
{
	const struct member_host *h[4];
	uint32_t i, n;

	n = member_owners(c->state.epoch, c->self.domain, "checkpoint", h, 4);
	for (i = 0; i < n; i++)
		if (strcmp(h[i]->name, c->self.name) == 0)
			return i;
	return 4;
}

/*
 * Repeats the epoch in the log before its records expire. The first hosts of
 * each domain by rendezvous do it, one after the other until it is there.
 */
static void run_checkpoint(struct member_core *c, int64_t now_us,
			   struct member_actions *out)
{
	uint32_t rank = checkpoint_rank(c);
	bool expired = c->log_start > 1 &&
		       c->state.last_checkpoint < c->log_start;
	int64_t due_us = c->checkpoint_seen_us + c->checkpoint_interval_us;

	if (expired)
		due_us = c->checkpoint_seen_us;
	if (!c->log_caught_up || !c->current || c->state.has_gap ||
	    !c->state.epoch->n)
		return;
	if (rank == 4 || now_us < due_us + rank * RANK_WAIT_US)
		return;
	if (c->checkpoint_append_us &&
	    now_us - c->checkpoint_append_us < CHECKPOINT_AGAIN_US)
		return;
	c->checkpoint_append_us = now_us;
	member_add_action(out, MEMBER_ACT_CHECKPOINT);
}

/*
 * Without the log's start nobody knows who is a member. A host that has the
 * epoch repeats it at once; if none has, the hosts begin anew at the log's end.
 */
static void run_lost(struct member_core *c, int64_t now_us,
		     struct member_actions *out)
{
	int64_t wait_us = LOST_WAIT_US;

	if (!c->state.has_gap) {
		c->gap_since_us = 0;
		return;
	}
	if (!c->gap_since_us)
		c->gap_since_us = now_us;
	wait_us += (int64_t)(c->self.boot % (uint64_t)LOST_SPREAD_US);
	if (!c->log_caught_up || now_us - c->gap_since_us < wait_us)
		return;
	c->gap_since_us = now_us;
	if (c->state.epoch->number == 0)
		member_add_action(out, MEMBER_ACT_CHECKPOINT);
}

/* A host that is no member hears no heartbeats and asks others instead. */
static void run_seed(struct member_core *c, int64_t now_us,
		     struct member_actions *out)
{
	bool ready = member_self(c) && !c->state.has_gap;

	if (ready || c->leaving || now_us - c->fetch_any_us < SEED_AFTER_US)
		return;
	c->fetch_any_us = now_us;
	member_add_action(out, MEMBER_ACT_FETCH_ANY);
}

static void tick(struct member_core *c, int64_t now_us,
		 struct member_actions *out)
{
	if (now_us - c->heartbeat_sent_us >= c->heartbeat_interval_us)
		beat(c, now_us, out);
	run_own_record(c, now_us, out);
	run_checkpoint(c, now_us, out);
	run_lost(c, now_us, out);
	run_seed(c, now_us, out);
	member_detector_run(c, now_us, out);
}

/* A host that finds that records expired unread may have missed its removal. */
static void log_begins_at(struct member_core *c, uint64_t first)
{
	c->log_start = first;
	member_state_set_log_start(&c->state, first);
	if (c->state.has_gap)
		c->current = false;
}

static void record(struct member_core *c, const struct member_event *ev,
		   int64_t now_us, struct member_actions *out)
{
	uint64_t carrier = c->state.last_checkpoint;

	log_begins_at(c, ev->record.first);
	if (member_state_apply(&c->state, ev->record.offset, ev->record.data,
			       ev->record.n) == MEMBER_CHANGED)
		new_epoch(c, now_us, out);
	if (c->state.last_checkpoint != carrier)
		c->checkpoint_seen_us = now_us;
}

static void tail(struct member_core *c, uint64_t first)
{
	log_begins_at(c, first);
	c->log_caught_up = true;
	if (!c->state.has_gap)
		c->current = true;
}

/*
 * While the log can't be read, a host that was paused goes by others of its
 * domain: a removal is appended by hosts of the domain only, and they would hold
 * a newer epoch. All others, or two of them, have to hold the same. Heartbeats
 * that waited in the socket during the pause prove nothing.
 */
static void confirm(struct member_core *c, uint64_t boot, int64_t now_us)
{
	const struct member_epoch *e = c->state.epoch;
	uint32_t others = 0;
	uint32_t i;

	if (now_us - c->resumed_us < c->heartbeat_interval_us)
		return;
	for (i = 0; i < e->n; i++)
		if (strcmp(e->host[i].domain, c->self.domain) == 0 &&
		    strcmp(e->host[i].name, c->self.name))
			others++;
	if (!c->confirmed_by[0])
		c->confirmed_by[0] = boot;
	else if (c->confirmed_by[0] != boot)
		c->confirmed_by[1] = boot;
	if (!c->state.has_gap && (c->confirmed_by[1] || others == 1))
		c->current = true;
}

static void heard_from(struct member_peer *w, int64_t at_us)
{
	if (at_us < w->last_heartbeat_us)
		return;
	w->last_heartbeat_us = at_us;
	w->suspected_us = 0;
	w->probed_us = 0;
	w->remove_append_us = 0;
}

static void heard(struct member_core *c, const struct member_event *ev,
		  int64_t now_us, struct member_actions *out)
{
	const struct member_host *h;

	h = member_find(c->state.epoch, ev->heartbeat.host);
	if (h && h->boot == ev->heartbeat.boot) {
		heard_from(member_peer_of(c, h), now_us);
		if (!c->current && ev->heartbeat.current &&
		    ev->heartbeat.epoch_number == c->state.epoch->number &&
		    strcmp(h->domain, c->self.domain) == 0)
			confirm(c, ev->heartbeat.boot, now_us);
	}
	if (ev->heartbeat.epoch_number > c->state.epoch->number)
		memcpy(member_add_action(out, MEMBER_ACT_FETCH_SNAPSHOT)->addr,
		       ev->heartbeat.addr,
		       strnlen(ev->heartbeat.addr, MEMBER_NAME_BYTES - 1));
}

static void vouched(struct member_core *c, const struct member_event *ev,
		    int64_t now_us)
{
	const struct member_host *h;

	h = member_find(c->state.epoch, ev->heartbeat.host);
	if (h && h->boot == ev->heartbeat.boot &&
	    ev->heartbeat.age_ms * 1000LL < c->suspect_timeout_us)
		heard_from(member_peer_of(c, h),
			   now_us - ev->heartbeat.age_ms * 1000LL);
}

static void snapshot(struct member_core *c, const struct member_event *ev,
		     int64_t now_us, struct member_actions *out)
{
	if (member_state_install(&c->state, ev->record.data, ev->record.n) !=
	    MEMBER_CHANGED)
		return;
	if (ev->record.requested_us >= c->resumed_us)
		c->current = true;
	new_epoch(c, now_us, out);
}

/*
 * A process that finds that its clock jumped was paused, and trusts nothing that
 * it held until it heard the log's tail or a newer epoch.
 */
static void check_pause(struct member_core *c, int64_t now_us,
			struct member_actions *out)
{
	bool paused = now_us - c->last_step_us >= jump_us(c);

	c->last_step_us = now_us;
	if (!paused)
		return;
	c->resumed_us = now_us;
	c->current = false;
	c->log_caught_up = false;
	memset(c->confirmed_by, 0, sizeof(c->confirmed_by));
	member_detector_reset(c, now_us);
	member_add_action(out, MEMBER_ACT_REREAD_LOG);
}

/* Takes one event at a time and says what has to be done. */
void member_step(struct member_core *c, const struct member_event *ev,
		 int64_t now_us, struct member_actions *out)
{
	out->n = 0;
	check_pause(c, now_us, out);
	switch (ev->kind) {
	case MEMBER_EV_TICK:
		tick(c, now_us, out);
		break;
	case MEMBER_EV_RECORD:
		record(c, ev, now_us, out);
		break;
	case MEMBER_EV_TAIL:
		tail(c, ev->record.first);
		break;
	case MEMBER_EV_LOG_DOWN:
		c->log_caught_up = false;
		break;
	case MEMBER_EV_HEARTBEAT:
		heard(c, ev, now_us, out);
		break;
	case MEMBER_EV_HOST_LIST:
		member_detector_set_list(c, ev->list.name, ev->list.n, now_us);
		break;
	case MEMBER_EV_PROBE_REPLY:
		vouched(c, ev, now_us);
		break;
	case MEMBER_EV_SNAPSHOT:
		snapshot(c, ev, now_us, out);
		break;
	case MEMBER_EV_LEAVE:
		c->leaving = true;
		break;
	}
}
