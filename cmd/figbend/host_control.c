#include "daemon.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logline.h"

#define STREAM "members"
#define READ_WAIT_MS 5000
#define ANNOUNCE_INTERVAL_S 2.
#define TICKS_PER_HEARTBEAT 2.
#define PEER_TIMEOUT_MS 800
/* Time without heartbeats after which the board drops a host. */
#define HOST_EXPIRY_US (60LL * 1000000)
/* Minimum time between heartbeats that are sent outside their interval. */
#define EXTRA_HEARTBEATS_INTERVAL_US 200000LL

/* An append of a record to the log that has not completed. */
struct host_append {
	struct daemon *daemon;
	struct platform_append append;
	char *text; /* owned */
	TAILQ_ENTRY(host_append) entry;
};

/* A call to another host: for its epoch, or an indirect probe of a host. */
struct host_call {
	struct daemon *daemon;
	int64_t sent_us;
	/* The probed host. */
	uint64_t boot;
	char host[MEMBER_NAME_BYTES];
};

static void step(struct daemon *d, const struct member_event *ev);

/* Returns a host on the board, added if new, or NULL if the board is full. */
static struct board_host *find_or_add_host(struct board_hosts *hosts,
					   const char *name)
{
	struct board_host *h;
	uint32_t i;

	for (i = 0; i < hosts->n; i++)
		if (strcmp(hosts->host[i].name, name) == 0)
			return &hosts->host[i];
	if (hosts->n == BOARD_HOSTS_MAX)
		return NULL;
	h = &hosts->host[hosts->n++];
	memset(h, 0, sizeof(*h));
	snprintf(h->name, sizeof(h->name), "%s", name);
	return h;
}

/* Updates a host on the board. Returns it, or NULL if the board is full. */
static struct board_host *update_host(struct daemon *d, const char *name,
				      const char *domain, const char *addr,
				      bool leaving)
{
	struct board_host *h = find_or_add_host(&d->board.hosts, name);

	if (!h)
		return NULL;
	snprintf(h->domain, sizeof(h->domain), "%s", domain);
	snprintf(h->addr, sizeof(h->addr), "%s", addr);
	h->leaving = leaving;
	return h;
}

/*
 * Removes from the board the hosts that are no members, are not on the host
 * list and have sent no heartbeat for HOST_EXPIRY_US.
 */
static void remove_expired_hosts(struct daemon *d)
{
	struct board_hosts *hosts = &d->board.hosts;
	int64_t oldest_us = daemon_now_us(d) - HOST_EXPIRY_US;
	const struct board_host *h;
	uint32_t i, n = 0;

	for (i = 0; i < hosts->n; i++) {
		h = &hosts->host[i];
		if (!h->listed && h->last_heartbeat_us < oldest_us &&
		    !member_find(&d->board.epoch, h->name))
			continue;
		hosts->host[n++] = *h;
	}
	hosts->n = n;
}

/* Applies a new epoch to the board and the controllers that depend on it. */
static void apply_epoch(struct daemon *d)
{
	const struct member_epoch *e = &d->board.epoch;
	const struct member_host *h;
	struct board_host *bh;
	uint32_t i;

	for (i = 0; i < e->n; i++) {
		h = &e->host[i];
		bh = update_host(d, h->name, h->domain, h->addr, h->leaving);
		if (bh)
			bh->listed = true;
	}
	remove_expired_hosts(d);
	logline(LOG_INFO, "epoch", "number=%llu hosts=%u member=%d",
		(unsigned long long)e->number, e->n,
		host_control_is_current(d));
	quota_control_apply_epoch(d);
	admit_control_apply_epoch(d);
}

static void append_free(struct host_append *a)
{
	TAILQ_REMOVE(&a->daemon->host_control.appends, a, entry);
	free(a->text);
	free(a);
}

/*
 * The error is ignored: the core appends the record again until it reads its
 * effect from the log.
 */
static void on_appended(void *ctx, int error, uint64_t offset)
{
	append_free(ctx);
}

/* Appends a record to the log. Takes ownership of text, which may be NULL. */
static void append(struct daemon *d, char *text)
{
	struct host_append *a = calloc(1, sizeof(*a));

	if (!a || !text) {
		free(a);
		free(text);
		return;
	}
	a->daemon = d;
	a->text = text;
	TAILQ_INSERT_TAIL(&d->host_control.appends, a, entry);
	if (platform_append_start(&d->platform, &a->append, STREAM, text,
				  strlen(text), on_appended, a) < 0)
		append_free(a);
}

static void on_list(void *ctx, int error, const struct platform_host *list,
		    uint32_t n)
{
	struct daemon *d = ctx;
	struct member_event ev = {.kind = MEMBER_EV_HOST_LIST};
	const char **name = d->host_control.list_name;
	struct board_host *bh;
	uint32_t i;

	d->host_control.listing = false;
	if (error)
		return;
	for (i = 0; i < d->board.hosts.n; i++)
		d->board.hosts.host[i].listed = false;
	for (i = 0; i < n && i < MEMBER_HOSTS_MAX; i++) {
		name[i] = list[i].name;
		bh = update_host(d, list[i].name, list[i].domain, list[i].addr,
				 list[i].leaving);
		if (bh)
			bh->listed = true;
	}
	ev.list.name = name;
	ev.list.n = i;
	step(d, &ev);
}

static void request_list(struct daemon *d)
{
	if (d->host_control.listing)
		return;
	if (platform_list_start(&d->platform, &d->host_control.list, on_list,
				d) == 0)
		d->host_control.listing = true;
}

static void send_heartbeat(struct daemon *d, const char *addr)
{
	const struct config *c = d->board.config.current;
	struct fig_call call = {.kind = FIG_HEARTBEAT};
	struct fig_heartbeat *hb = &call.fig_call_u.heartbeat;

	hb->host = d->settings.host;
	hb->domain = d->settings.domain;
	hb->addr = d->settings.peer_addr;
	hb->config_version = c ? c->version : 0;
	hb->state = d->stopping;
	hb->epoch_number = d->board.epoch.number;
	hb->epoch_is_current = d->host_control.core.current;
	peer_send(&d->peer, addr, &call);
}

static struct host_call *host_call_new(struct daemon *d)
{
	struct host_call *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->daemon = d;
	c->sent_us = daemon_now_us(d);
	return c;
}

static void on_probe_reply(void *ctx, int error, const struct fig_reply *reply)
{
	struct member_event ev = {.kind = MEMBER_EV_PROBE_REPLY};
	struct host_call *c = ctx;

	if (error == 0) {
		ev.heartbeat.host = c->host;
		ev.heartbeat.boot = c->boot;
		ev.heartbeat.age_ms = reply->fig_reply_u.heard_got.silent_ms;
		step(c->daemon, &ev);
	}
	free(c);
}

/* Requests the age of the last heartbeat of a host from another monitor. */
static void send_probe(struct daemon *d, const struct member_action *a)
{
	struct fig_call call = {.kind = FIG_HEARD_GET};
	struct host_call *c = host_call_new(d);

	if (!c)
		return;
	c->boot = a->host.boot;
	memcpy(c->host, a->host.name, sizeof(c->host));
	call.fig_call_u.heard_get.host = c->host;
	call.fig_call_u.heard_get.boot = c->boot;
	if (peer_call(&d->peer, a->addr, &call, PEER_TIMEOUT_MS, on_probe_reply,
		      c) < 0)
		free(c);
}

static void on_snapshot(void *ctx, int error, const struct fig_reply *reply)
{
	struct member_event ev = {.kind = MEMBER_EV_SNAPSHOT};
	struct host_call *c = ctx;

	c->daemon->host_control.fetching = false;
	if (error == 0 && reply->fig_reply_u.member_got.text[0]) {
		ev.record.data = reply->fig_reply_u.member_got.text;
		ev.record.n = strlen(ev.record.data);
		ev.record.requested_us = c->sent_us;
		step(c->daemon, &ev);
		platform_follow_skip(
			&c->daemon->host_control.log_reader,
			c->daemon->host_control.core.state.next_offset);
	}
	free(c);
}

static void fetch_snapshot(struct daemon *d, const char *addr)
{
	struct fig_call call = {.kind = FIG_MEMBER_GET};
	struct host_call *c;

	if (d->host_control.fetching)
		return;
	c = host_call_new(d);
	if (!c)
		return;
	call.fig_call_u.member_get.held_number = d->board.epoch.number;
	if (peer_call(&d->peer, addr, &call, PEER_TIMEOUT_MS, on_snapshot, c) ==
	    0)
		d->host_control.fetching = true;
	else
		free(c);
}

/* Writes address n of the seed_peers setting. Returns false if none is left. */
static bool get_seed_peer(const struct daemon *d, uint32_t n, char *out,
			  size_t size)
{
	const char *at = d->settings.seed_peers;

	for (;;) {
		at += strspn(at, ", ");
		if (!*at)
			return false;
		if (n-- == 0)
			break;
		at += strcspn(at, ", ");
	}
	snprintf(out, size, "%.*s", (int)strcspn(at, ", "), at);
	return true;
}

/*
 * Fetches the epoch and the configuration from one known host. Successive calls
 * go through the hosts on the board, then the seed peers, and start again.
 */
static void fetch_from_next(struct daemon *d)
{
	const struct board_hosts *hosts = &d->board.hosts;
	uint32_t n = d->host_control.next_seed++;
	char addr[MEMBER_NAME_BYTES];

	if (n < hosts->n) {
		memcpy(addr, hosts->host[n].addr, sizeof(addr));
	} else if (!get_seed_peer(d, n - hosts->n, addr, sizeof(addr))) {
		d->host_control.next_seed = 0;
		return;
	}
	if (strcmp(addr, d->settings.peer_addr) == 0)
		return;
	fetch_snapshot(d, addr);
	config_control_fetch(d, addr);
}

static void do_action(struct daemon *d, const struct member_action *a)
{
	struct host_control *k = &d->host_control;

	switch (a->kind) {
	case MEMBER_ACT_HEARTBEAT:
		send_heartbeat(d, a->addr);
		break;
	case MEMBER_ACT_JOIN:
		append(d, member_record_join(&a->host));
		break;
	case MEMBER_ACT_LEAVE:
		append(d, member_record_leave(&a->host));
		break;
	case MEMBER_ACT_REMOVE:
		logline(LOG_NOTICE, "host-removed", "host=%s boot=%llu",
			a->host.name, (unsigned long long)a->host.boot);
		append(d, member_record_remove(&a->host, d->settings.host));
		break;
	case MEMBER_ACT_CHECKPOINT:
		append(d, member_record_checkpoint(&k->core.state));
		break;
	case MEMBER_ACT_PROBE:
		send_probe(d, a);
		break;
	case MEMBER_ACT_FETCH_SNAPSHOT:
		fetch_snapshot(d, a->addr);
		break;
	case MEMBER_ACT_FETCH_ANY:
		fetch_from_next(d);
		break;
	case MEMBER_ACT_READ_LIST:
		request_list(d);
		break;
	case MEMBER_ACT_REREAD_LOG:
		logline(LOG_NOTICE, "paused", "host=%s", d->settings.host);
		platform_follow_again(&k->log_reader);
		break;
	case MEMBER_ACT_EPOCH_CHANGED:
		apply_epoch(d);
		break;
	}
}

/* Passes an event to the core and carries out the actions that it returns. */
static void step(struct daemon *d, const struct member_event *ev)
{
	struct member_actions *out = malloc(sizeof(*out));
	uint32_t i;

	if (!out)
		return;
	member_step(&d->host_control.core, ev, daemon_now_us(d), out);
	for (i = 0; i < out->n; i++)
		do_action(d, &out->action[i]);
	free(out);
}

static void on_record(void *ctx, const struct platform_record *r)
{
	struct daemon *d = ctx;
	struct member_event ev = {.kind = MEMBER_EV_RECORD};

	ev.record.first = d->host_control.log_reader.first;
	ev.record.offset = r->offset;
	ev.record.data = r->data;
	ev.record.n = r->data_n;
	step(d, &ev);
}

static void on_log_state(void *ctx, int error, uint64_t first, uint64_t next)
{
	struct daemon *d = ctx;
	struct member_event ev = {.kind = MEMBER_EV_TAIL};

	ev.record.first = first;
	if (error)
		ev.kind = MEMBER_EV_LOG_DOWN;
	else if (d->host_control.log_reader.next < next && first < next)
		return; /* there are more records to read */
	step(d, &ev);
	if (!error)
		quota_control_on_log_read(d);
}

static void on_announce_reply(void *ctx, int error, uint64_t offset)
{
	struct daemon *d = ctx;

	d->host_control.announcing = false;
}

static void announce(struct daemon *d)
{
	struct platform_host h = {.leaving = d->stopping};

	if (d->host_control.announcing)
		return;
	snprintf(h.name, sizeof(h.name), "%s", d->settings.host);
	snprintf(h.domain, sizeof(h.domain), "%s", d->settings.domain);
	snprintf(h.addr, sizeof(h.addr), "%s", d->settings.peer_addr);
	if (platform_announce(&d->platform, &d->host_control.announce, &h,
			      on_announce_reply, d) == 0)
		d->host_control.announcing = true;
}

static void on_announce_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	announce(w->data);
}

static void on_heartbeat_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct member_event ev = {.kind = MEMBER_EV_TICK};

	step(w->data, &ev);
}

static void init_core(struct daemon *d)
{
	const struct settings *s = &d->settings;
	struct host_control *k = &d->host_control;
	struct member_host self = {.boot = d->boot_us};

	snprintf(self.name, sizeof(self.name), "%s", s->host);
	snprintf(self.domain, sizeof(self.domain), "%s", s->domain);
	snprintf(self.addr, sizeof(self.addr), "%s", s->peer_addr);
	member_core_init(&k->core, &self, &d->board.epoch, k->member_peer,
			 s->heartbeat_ms, s->suspect_ms, s->checkpoint_s,
			 daemon_now_us(d));
}

/*
 * Starts to announce this host to the platform, to read the log of members and
 * to send heartbeats.
 */
void host_control_start(struct daemon *d)
{
	struct host_control *k = &d->host_control;
	double tick_s = d->settings.heartbeat_ms / 1000. / TICKS_PER_HEARTBEAT;

	init_core(d);
	TAILQ_INIT(&k->appends);
	ev_timer_init(&k->heartbeat_timer, on_heartbeat_timer, 0., tick_s);
	k->heartbeat_timer.data = d;
	ev_timer_start(d->loop, &k->heartbeat_timer);
	ev_timer_init(&k->announce_timer, on_announce_timer, 0.,
		      ANNOUNCE_INTERVAL_S);
	k->announce_timer.data = d;
	ev_timer_start(d->loop, &k->announce_timer);
	platform_follow_start(&d->platform, &k->log_reader, STREAM, 1,
			      READ_WAIT_MS, on_record, on_log_state, d);
}

void host_control_stop(struct daemon *d)
{
	struct host_control *k = &d->host_control;
	struct host_append *a;

	ev_timer_stop(d->loop, &k->heartbeat_timer);
	ev_timer_stop(d->loop, &k->announce_timer);
	platform_follow_stop(&k->log_reader);
	if (k->announcing)
		fetch_cancel(&k->announce.call);
	if (k->listing)
		fetch_cancel(&k->list.call);
	while ((a = TAILQ_FIRST(&k->appends))) {
		fetch_cancel(&a->append.call);
		append_free(a);
	}
}

/*
 * Returns true if this host may act under the epoch on the board: this start of
 * the host is a member, and the epoch was confirmed since the last pause of the
 * process.
 */
bool host_control_is_current(const struct daemon *d)
{
	return member_is_current(&d->host_control.core, daemon_now_us(d));
}

/*
 * Sends heartbeats at once, because what they report has changed. Does nothing
 * within EXTRA_HEARTBEATS_INTERVAL_US after the last time.
 */
void host_control_send_heartbeats(struct daemon *d)
{
	struct host_control *k = &d->host_control;
	const struct member_core *c = &k->core;
	int64_t now_us = daemon_now_us(d);
	uint32_t i;

	if (k->heartbeats_sent_us &&
	    now_us - k->heartbeats_sent_us < EXTRA_HEARTBEATS_INTERVAL_US)
		return;
	k->heartbeats_sent_us = now_us;
	for (i = 0; i < c->target_n; i++)
		send_heartbeat(d, d->board.epoch.host[c->target[i]].addr);
}

/*
 * Handles a heartbeat. boot is the sender's boot number, from the authenticated
 * header of the message.
 */
void host_control_on_heartbeat(struct daemon *d, const struct fig_heartbeat *hb,
			       uint64_t boot)
{
	struct member_event ev = {.kind = MEMBER_EV_HEARTBEAT};
	struct board_host *h;

	ev.heartbeat.host = hb->host;
	ev.heartbeat.addr = hb->addr;
	ev.heartbeat.boot = boot;
	ev.heartbeat.epoch_number = hb->epoch_number;
	ev.heartbeat.current = hb->epoch_is_current != 0;
	step(d, &ev);
	if (hb->epoch_number > d->quota_control.newest_epoch)
		d->quota_control.newest_epoch = hb->epoch_number;
	h = update_host(d, hb->host, hb->domain, hb->addr, hb->state != 0);
	if (!h)
		return;
	h->last_heartbeat_us = daemon_now_us(d);
	h->config_version = hb->config_version;
	config_control_on_heartbeat(d, h->addr, hb->config_version);
}

/*
 * Replies with the epoch as a checkpoint record that the caller frees, or with
 * "" if it is not newer than the epoch of the requesting host or if this host's
 * state has a gap. Returns 0 or -ENOMEM.
 */
int host_control_reply_snapshot(struct daemon *d,
				const struct fig_member_get *get,
				struct fig_member_got *got)
{
	const struct member_state *s = &d->host_control.core.state;

	if (s->has_gap || s->epoch->number <= get->held_number)
		got->text = strdup("");
	else
		got->text = member_record_checkpoint(s);
	return got->text ? 0 : -ENOMEM;
}

/* Replies with the age of the last heartbeat of a third host. Returns 0. */
int host_control_reply_probe(struct daemon *d, const struct fig_heard_get *get,
			     struct fig_heard_got *got)
{
	got->silent_ms = member_heartbeat_age_ms(
		&d->host_control.core, get->host, get->boot, daemon_now_us(d));
	return 0;
}

/* Announces to the platform and in the log that this host leaves. */
void host_control_leave(struct daemon *d)
{
	struct member_event ev = {.kind = MEMBER_EV_LEAVE};

	if (d->host_control.announcing)
		fetch_cancel(&d->host_control.announce.call);
	d->host_control.announcing = false;
	announce(d);
	step(d, &ev);
	on_heartbeat_timer(d->loop, &d->host_control.heartbeat_timer, 0);
	logline(LOG_NOTICE, "leaving", "host=%s", d->settings.host);
}
