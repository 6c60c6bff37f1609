#include "detector.h"

#include <string.h>

#define APPEND_RETRY_US 3000000LL /* of this host's join or leave */
#define FETCH_ANY_INTERVAL_US 500000LL
#define CHECKPOINT_RETRY_US 10000000LL
#define CHECKPOINT_WRITERS 4	/* hosts of each domain that append them */
#define RANK_DELAY_US 2000000LL /* between writers of successive rank */
#define GAP_TIMEOUT_US 20000000LL
#define GAP_JITTER_US 10000000LL /* so that hosts act one after another */
#define PAUSE_HEARTBEATS 2	 /* heartbeat intervals that make a pause */
#define PAUSE_MIN_US 1000000LL

void member_core_init(struct member_core *c, const struct member_host *self,
		      struct member_epoch *epoch, struct member_peer *peer,
		      uint32_t heartbeat_ms, uint32_t suspect_ms,
		      uint32_t checkpoint_s, int64_t now_us)
{
	memset(c, 0, sizeof(*c));
	memset(peer, 0, MEMBER_HOSTS_MAX * sizeof(*peer));
	c->self = *self;
	c->peer = peer;
	member_state_init(&c->state, epoch);
	c->heartbeat_interval_us = heartbeat_ms * 1000LL;
	c->suspect_timeout_us = suspect_ms * 1000LL;
	c->checkpoint_interval_us = checkpoint_s * 1000000LL;
	c->last_step_us = now_us;
	c->heartbeat_sent_us = now_us;
	c->checkpoint_seen_us = now_us;
	c->fetch_any_us = now_us;
}

/*
 * Returns the shortest time without events that counts as a pause of this
 * process. It is at most the suspect timeout, after which the other hosts may
 * remove this one.
 */
static int64_t pause_threshold_us(const struct member_core *c)
{
	int64_t threshold_us = PAUSE_HEARTBEATS * c->heartbeat_interval_us;

	if (threshold_us < PAUSE_MIN_US)
		threshold_us = PAUSE_MIN_US;
	return threshold_us < c->suspect_timeout_us ? threshold_us
						    : c->suspect_timeout_us;
}

bool member_is_current(const struct member_core *c, int64_t now_us)
{
	return c->current && now_us - c->last_step_us < pause_threshold_us(c) &&
	       member_self(c);
}

uint32_t member_heartbeat_age_ms(const struct member_core *c, const char *host,
				 uint64_t boot, int64_t now_us)
{
	const struct member_host *h = member_find(c->state.epoch, host);
	const struct member_peer *p;

	if (!h || h->boot != boot)
		return UINT32_MAX;
	p = member_peer_of(c, h);
	if (!p->monitored || p->suspected_us || !p->last_heartbeat_us)
		return UINT32_MAX;
	return (uint32_t)((now_us - p->last_heartbeat_us) / 1000);
}

static void send_heartbeats(struct member_core *c, int64_t now_us,
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

/* Announces a new epoch at once, by heartbeats that carry its number. */
static void epoch_changed(struct member_core *c, int64_t now_us,
			  struct member_actions *out)
{
	member_detector_rebuild(c, now_us);
	member_add_action(out, MEMBER_ACT_EPOCH_CHANGED);
	send_heartbeats(c, now_us, out);
}

/* Appends the join or leave of this host, repeatedly until it takes effect. */
static void append_own_record(struct member_core *c, int64_t now_us,
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
	if (c->own_append_us && now_us - c->own_append_us < APPEND_RETRY_US)
		return;
	c->own_append_us = now_us;
	member_add_action(out, kind)->host = c->self;
}

/*
 * Returns the rank of this host among those of its domain that append
 * checkpoints, or CHECKPOINT_WRITERS if it is not one of them.
 */
static uint32_t checkpoint_rank(const struct member_core *c)
{
	const struct member_host *h[CHECKPOINT_WRITERS];
	uint32_t i, n;

	n = member_owners(c->state.epoch, c->self.domain, "checkpoint", h,
			  CHECKPOINT_WRITERS);
	for (i = 0; i < n; i++)
		if (strcmp(h[i]->name, c->self.name) == 0)
			return i;
	return CHECKPOINT_WRITERS;
}

/*
 * Appends a checkpoint if none was read for an interval, or at once if the last
 * one expired. The writers of a domain are staggered by rank: each acts only if
 * no checkpoint of another one was read by then.
 */
static void append_checkpoint(struct member_core *c, int64_t now_us,
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
	if (rank == CHECKPOINT_WRITERS ||
	    now_us < due_us + rank * RANK_DELAY_US)
		return;
	if (c->checkpoint_append_us &&
	    now_us - c->checkpoint_append_us < CHECKPOINT_RETRY_US)
		return;
	c->checkpoint_append_us = now_us;
	member_add_action(out, MEMBER_ACT_CHECKPOINT);
}

/*
 * Ends a gap that is not closed in time. Hosts without a gap append a
 * checkpoint as soon as the last one expires, so by then probably no host has
 * the epoch. A host that never had an epoch then appends an empty checkpoint,
 * after which all hosts join anew.
 */
static void check_gap(struct member_core *c, int64_t now_us,
		      struct member_actions *out)
{
	int64_t wait_us = GAP_TIMEOUT_US;

	if (!c->state.has_gap) {
		c->gap_since_us = 0;
		return;
	}
	if (!c->gap_since_us)
		c->gap_since_us = now_us;
	wait_us += (int64_t)(c->self.boot % (uint64_t)GAP_JITTER_US);
	if (!c->log_caught_up || now_us - c->gap_since_us < wait_us)
		return;
	c->gap_since_us = now_us;
	if (c->state.epoch->number == 0)
		member_add_action(out, MEMBER_ACT_CHECKPOINT);
}

/*
 * Fetches the epoch while this host is not a member or its state has a gap.
 * Otherwise heartbeats, which only members receive, announce a newer epoch.
 */
static void fetch_any(struct member_core *c, int64_t now_us,
		      struct member_actions *out)
{
	bool ready = member_self(c) && !c->state.has_gap;

	if (ready || c->leaving ||
	    now_us - c->fetch_any_us < FETCH_ANY_INTERVAL_US)
		return;
	c->fetch_any_us = now_us;
	member_add_action(out, MEMBER_ACT_FETCH_ANY);
}

static void tick(struct member_core *c, int64_t now_us,
		 struct member_actions *out)
{
	if (now_us - c->heartbeat_sent_us >= c->heartbeat_interval_us)
		send_heartbeats(c, now_us, out);
	append_own_record(c, now_us, out);
	append_checkpoint(c, now_us, out);
	check_gap(c, now_us, out);
	fetch_any(c, now_us, out);
	member_detector_run(c, now_us, out);
}

/* With a gap the epoch is not current: this host may have been removed. */
static void set_log_start(struct member_core *c, uint64_t log_start)
{
	c->log_start = log_start;
	member_state_set_log_start(&c->state, log_start);
	if (c->state.has_gap)
		c->current = false;
}

static void on_record(struct member_core *c, const struct member_event *ev,
		      int64_t now_us, struct member_actions *out)
{
	uint64_t checkpoint = c->state.last_checkpoint;

	set_log_start(c, ev->record.first);
	if (member_state_apply(&c->state, ev->record.offset, ev->record.data,
			       ev->record.n) == MEMBER_CHANGED)
		epoch_changed(c, now_us, out);
	if (c->state.last_checkpoint != checkpoint)
		c->checkpoint_seen_us = now_us;
}

static void on_tail(struct member_core *c, uint64_t log_start)
{
	set_log_start(c, log_start);
	c->log_caught_up = true;
	if (!c->state.has_gap)
		c->current = true;
}

/*
 * Counts a host of this domain that confirms the epoch after a pause, for the
 * case that the log cannot be read. Hosts are removed only by hosts of their
 * own domain, which would have a newer epoch. Two hosts must confirm it, or one
 * if the domain has no more. Heartbeats in the first interval after the pause
 * do not count: they may have been queued in the socket during the pause.
 */
static void confirm_epoch(struct member_core *c, uint64_t boot, int64_t now_us)
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

/* Records a heartbeat, which ends the suspicion; an older one is ignored. */
static void record_heartbeat(struct member_peer *p, int64_t at_us)
{
	if (at_us < p->last_heartbeat_us)
		return;
	p->last_heartbeat_us = at_us;
	p->suspected_us = 0;
	p->probed_us = 0;
	p->remove_append_us = 0;
}

static void on_heartbeat(struct member_core *c, const struct member_event *ev,
			 int64_t now_us, struct member_actions *out)
{
	const struct member_host *h;

	h = member_find(c->state.epoch, ev->heartbeat.host);
	if (h && h->boot == ev->heartbeat.boot) {
		record_heartbeat(member_peer_of(c, h), now_us);
		if (!c->current && ev->heartbeat.current &&
		    ev->heartbeat.epoch_number == c->state.epoch->number &&
		    strcmp(h->domain, c->self.domain) == 0)
			confirm_epoch(c, ev->heartbeat.boot, now_us);
	}
	if (ev->heartbeat.epoch_number > c->state.epoch->number)
		memcpy(member_add_action(out, MEMBER_ACT_FETCH_SNAPSHOT)->addr,
		       ev->heartbeat.addr,
		       strnlen(ev->heartbeat.addr, MEMBER_NAME_BYTES - 1));
}

static void on_probe_reply(struct member_core *c, const struct member_event *ev,
			   int64_t now_us)
{
	const struct member_host *h;

	h = member_find(c->state.epoch, ev->heartbeat.host);
	if (h && h->boot == ev->heartbeat.boot &&
	    ev->heartbeat.age_ms * 1000LL < c->suspect_timeout_us)
		record_heartbeat(member_peer_of(c, h),
				 now_us - ev->heartbeat.age_ms * 1000LL);
}

/* A snapshot that was requested before a pause does not confirm the epoch. */
static void on_snapshot(struct member_core *c, const struct member_event *ev,
			int64_t now_us, struct member_actions *out)
{
	if (member_state_install(&c->state, ev->record.data, ev->record.n) !=
	    MEMBER_CHANGED)
		return;
	if (ev->record.requested_us >= c->resumed_us)
		c->current = true;
	epoch_changed(c, now_us, out);
}

/*
 * Returns true if this process was paused until now. The epoch is not current
 * from then on, until the log is read to its end, a newer epoch is fetched or
 * other hosts confirm it.
 */
static bool detect_pause(struct member_core *c, int64_t now_us,
			 struct member_actions *out)
{
	bool paused = now_us - c->last_step_us >= pause_threshold_us(c);

	c->last_step_us = now_us;
	if (!paused)
		return false;
	c->resumed_us = now_us;
	c->current = false;
	c->log_caught_up = false;
	memset(c->confirmed_by, 0, sizeof(c->confirmed_by));
	member_detector_reset(c, now_us);
	member_add_action(out, MEMBER_ACT_REREAD_LOG);
	return true;
}

void member_step(struct member_core *c, const struct member_event *ev,
		 int64_t now_us, struct member_actions *out)
{
	bool resumes;

	out->n = 0;
	resumes = detect_pause(c, now_us, out);
	switch (ev->kind) {
	case MEMBER_EV_TICK:
		tick(c, now_us, out);
		break;
	case MEMBER_EV_RECORD:
		on_record(c, ev, now_us, out);
		break;
	case MEMBER_EV_TAIL:
		/* The event that ends a pause may have been queued in it. */
		if (!resumes)
			on_tail(c, ev->record.first);
		break;
	case MEMBER_EV_LOG_DOWN:
		c->log_caught_up = false;
		break;
	case MEMBER_EV_HEARTBEAT:
		on_heartbeat(c, ev, now_us, out);
		break;
	case MEMBER_EV_HOST_LIST:
		member_detector_set_list(c, ev->list.name, ev->list.n, now_us);
		break;
	case MEMBER_EV_PROBE_REPLY:
		on_probe_reply(c, ev, now_us);
		break;
	case MEMBER_EV_SNAPSHOT:
		on_snapshot(c, ev, now_us, out);
		break;
	case MEMBER_EV_LEAVE:
		c->leaving = true;
		break;
	}
}
