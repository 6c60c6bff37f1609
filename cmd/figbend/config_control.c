#include "daemon.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "logline.h"

#define STREAM "config"
#define READ_WAIT_MS 5000
#define PEER_TIMEOUT_MS 1000
#define CHECK_INTERVAL_S 1.
#define CHECKPOINT_WRITERS 4 /* hosts of a domain that append checkpoints */
/* Delay per rank: a writer appends only if those of lower rank did not. */
#define CHECKPOINT_STAGGER_US 2000000LL
/* Minimum time between appends by this host. */
#define CHECKPOINT_RETRY_US 10000000LL

static uint64_t version_of(const struct config_state *s)
{
	return s->current ? s->current->version : 0;
}

/*
 * Puts the state's version in force, if it is not yet, and updates the
 * controllers that use it. source is "log" or "peer".
 */
static void put_in_force(struct daemon *d, const char *source)
{
	struct config_state *s = &d->config_control.state;
	uint64_t version = version_of(s);

	if (!s->current || s->current == d->board.config.current)
		return;
	config_put(d->board.config.current);
	d->board.config.current = config_get(s->current);
	metrics_add(&d->board.metrics, METRIC_CONFIG_ACCEPTED, 1);
	logline(LOG_NOTICE, "config-accepted", "version=%llu source=%s",
		(unsigned long long)version, source);
	quota_control_configure(d);
	admit_control_configure(d);
	serving_abort_withdrawn_keys(d);
	queue_control_schedule(d);
	host_control_send_heartbeats(d);
}

static void on_record(void *ctx, const struct platform_record *r)
{
	struct daemon *d = ctx;
	struct config_control *k = &d->config_control;
	uint64_t last_checkpoint = k->state.last_checkpoint;
	enum config_outcome outcome;

	config_state_set_log_start(&k->state, k->log_reader.first);
	outcome = config_state_apply(&k->state, r->offset, r->data, r->data_n);
	if (k->state.last_checkpoint != last_checkpoint)
		k->checkpoint_seen_us = daemon_now_us(d);
	switch (outcome) {
	case CONFIG_STALE:
	case CONFIG_INVALID:
		metrics_add(&d->board.metrics, METRIC_CONFIG_REJECTED, 1);
		logline(LOG_NOTICE, "config-rejected", "offset=%llu reason=%s",
			(unsigned long long)r->offset,
			outcome == CONFIG_STALE ? "stale" : "invalid");
		break;
	case CONFIG_ACCEPTED:
	case CONFIG_UNCHANGED:
	case CONFIG_UNDECIDED:
		break;
	}
}

/*
 * Puts the newest version in force when the end of the log is reached, so that
 * a host that starts does not use versions that were replaced long ago.
 */
static void on_log_state(void *ctx, int error, uint64_t first, uint64_t next)
{
	struct daemon *d = ctx;
	struct config_control *k = &d->config_control;
	bool ok = error == 0;

	if (ok != k->platform_ok)
		logline(LOG_NOTICE, "platform-log", "reachable=%d", ok);
	k->platform_ok = ok;
	if (!ok)
		return;
	config_state_set_log_start(&k->state, first);
	if (k->state.has_gap != k->gap_logged)
		logline(LOG_NOTICE, "config-log-expired", "lost=%d first=%llu",
			k->state.has_gap, (unsigned long long)first);
	k->gap_logged = k->state.has_gap;
	if (k->state.next_offset >= next)
		put_in_force(d, "log");
}

/*
 * The error is ignored: on_check appends again until a valid checkpoint is read
 * from the log.
 */
static void on_appended(void *ctx, int error, uint64_t offset)
{
	struct daemon *d = ctx;

	d->config_control.appending = false;
	free(d->config_control.checkpoint_text);
	d->config_control.checkpoint_text = NULL;
}

static void append_checkpoint(struct daemon *d)
{
	struct config_control *k = &d->config_control;
	char *text;

	text = config_record_checkpoint(version_of(&k->state),
					k->state.next_offset, d->settings.host,
					k->state.current->text);
	if (!text)
		return;
	if (platform_append_start(&d->platform, &k->append, STREAM, text,
				  strlen(text), on_appended, d) < 0) {
		free(text);
		return;
	}
	k->checkpoint_text = text;
	k->appending = true;
}

/*
 * Returns this host's rank among the checkpoint writers of its domain, or
 * CHECKPOINT_WRITERS if it is none of them.
 */
static uint32_t writer_rank(const struct daemon *d)
{
	const struct member_host *h[CHECKPOINT_WRITERS];
	uint32_t i, n;

	n = member_owners(&d->board.epoch, d->settings.domain,
			  "config-checkpoint", h, CHECKPOINT_WRITERS);
	for (i = 0; i < n; i++)
		if (strcmp(h[i]->name, d->settings.host) == 0)
			return i;
	return CHECKPOINT_WRITERS;
}

/*
 * Appends a checkpoint, so that the log still has the current version when
 * older records expire. It is due checkpoint_s after the last valid one, or at
 * once if that one has expired.
 */
static void on_check(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct daemon *d = w->data;
	struct config_control *k = &d->config_control;
	int64_t now_us = daemon_now_us(d);
	int64_t due_us =
		k->checkpoint_seen_us + d->settings.checkpoint_s * 1000000LL;
	uint32_t rank = writer_rank(d);

	if (!k->state.current || k->state.has_gap || !k->platform_ok)
		return;
	if (k->log_reader.first > 1 &&
	    k->state.last_checkpoint < k->log_reader.first)
		due_us = k->checkpoint_seen_us;
	if (rank == CHECKPOINT_WRITERS ||
	    now_us < due_us + rank * CHECKPOINT_STAGGER_US)
		return;
	if (k->appending ||
	    now_us < k->checkpoint_append_us + CHECKPOINT_RETRY_US)
		return;
	k->checkpoint_append_us = now_us;
	append_checkpoint(d);
}

/* Starts to read the configuration stream. Returns 0. */
int config_control_start(struct daemon *d)
{
	struct config_control *k = &d->config_control;

	config_state_init(&k->state);
	k->checkpoint_seen_us = daemon_now_us(d);
	k->checkpoint_append_us = k->checkpoint_seen_us - CHECKPOINT_RETRY_US;
	ev_timer_init(&k->check_timer, on_check, CHECK_INTERVAL_S,
		      CHECK_INTERVAL_S);
	k->check_timer.data = d;
	ev_timer_start(d->loop, &k->check_timer);
	return platform_follow_start(&d->platform, &k->log_reader, STREAM, 1,
				     READ_WAIT_MS, on_record, on_log_state, d);
}

void config_control_stop(struct daemon *d)
{
	struct config_control *k = &d->config_control;

	platform_follow_stop(&k->log_reader);
	ev_timer_stop(d->loop, &k->check_timer);
	if (k->appending)
		fetch_cancel(&k->append.call);
	free(k->checkpoint_text);
	config_state_finish(&k->state);
	config_put(d->board.config.current);
	d->board.config.current = NULL;
}

static void on_config_reply(void *ctx, int error, const struct fig_reply *reply)
{
	struct daemon *d = ctx;
	struct config_control *k = &d->config_control;
	const struct fig_config_got *got;

	k->fetching = false;
	if (error)
		return;
	got = &reply->fig_reply_u.config_got;
	config_state_install(&k->state, got->config_version, got->upto,
			     got->text, strlen(got->text));
	platform_follow_skip(&k->log_reader, k->state.next_offset);
	put_in_force(d, "peer");
}

/*
 * Fetches the configuration of another host if its version is newer. With a gap
 * in the log, the same version is fetched as well: the reply has the offset up
 * to which it is in force, which may close the gap.
 */
void config_control_on_heartbeat(struct daemon *d, const char *addr,
				 uint64_t version)
{
	struct config_control *k = &d->config_control;
	struct fig_call call = {.kind = FIG_CONFIG_GET};
	uint64_t held = version_of(&k->state);

	if (k->state.has_gap && held)
		held--;
	if (version <= held || k->fetching)
		return;
	call.fig_call_u.config_get.held_version = held;
	if (peer_call(&d->peer, addr, &call, PEER_TIMEOUT_MS, on_config_reply,
		      d) == 0)
		k->fetching = true;
}

/* Fetches the configuration of a host whose version is not known. */
void config_control_fetch(struct daemon *d, const char *addr)
{
	config_control_on_heartbeat(d, addr, UINT64_MAX);
}

/*
 * Replies with the configuration in force. The reply has version 0 and an empty
 * text if it is not newer than the version of the requesting host, if this
 * host's state has a gap, or if the state has a version that is not in force
 * yet. The caller frees the text. Returns 0 or -ENOMEM.
 */
int config_control_reply(struct daemon *d, const struct fig_config_get *get,
			 struct fig_config_got *got)
{
	const struct config_state *s = &d->config_control.state;
	const struct config *c = d->board.config.current;
	bool newer = c && c == s->current && !s->has_gap &&
		     c->version > get->held_version;

	got->config_version = newer ? c->version : 0;
	got->upto = newer ? s->next_offset : 0;
	got->text = strdup(newer ? c->text : "");
	return got->text ? 0 : -ENOMEM;
}
