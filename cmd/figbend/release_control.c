#include "serving.h"

#include <stdio.h>
#include <string.h>

/*
 * Sends the releases of grants to the owners, in batches of one message per
 * owner, and updates this host's view by the capacity that owners report. A
 * release that is lost does no lasting harm: the load reports of the endpoint
 * show the owner that the run has ended.
 */

#define FLUSH_DELAY_S 0.005 /* time in which releases are collected */
#define CALL_TIMEOUT_MS 500

/*
 * Fills out with the pending releases at endpoints of one owner, at most
 * FIG_ROOMS_MAX. Returns their number. The strings stay those of the items.
 */
static uint32_t fill_releases(struct daemon *d, struct fig_released *out,
			      const char *owner)
{
	struct admit_control *k = &d->admit_control;
	struct admit_endpoint *e;
	struct release_item *item;
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < k->release_n && n < FIG_ROOMS_MAX; i++) {
		item = &k->release[i];
		e = admit_find(&d->board.admit, item->endpoint);
		if (!e || strcmp(e->owner, owner))
			continue;
		out[n].endpoint = item->endpoint;
		out[n].run = item->run;
		out[n].serial = item->serial;
		out[n].end = item->end;
		out[n].gap_us = item->gap_us;
		out[n++].gap_target_us = item->gap_target_us;
	}
	return n;
}

/* Updates the view of an endpoint by the capacity that its owner reported. */
void release_control_update_view(struct daemon *d, const struct fig_room *r,
				 bool unavailable)
{
	struct admit_endpoint *e = admit_find(&d->board.admit, r->endpoint);

	if (e)
		admit_view_update(e, r->slots_free, r->pieces_free,
				  r->queued_tokens, unavailable,
				  daemon_now_us(d));
}

/*
 * Updates the views by a message in which nothing was granted: the outcome of
 * an available endpoint is ADMIT_FULL there, whatever its free capacity.
 */
void release_control_update_views(struct daemon *d,
				  const struct fig_rooms *rooms)
{
	const struct fig_room *r;
	uint32_t i;

	for (i = 0; i < rooms->room.room_len; i++) {
		r = &rooms->room.room_val[i];
		release_control_update_view(d, r, r->outcome != ADMIT_FULL);
	}
}

static void on_released(void *ctx, int error, const struct fig_reply *reply)
{
	struct daemon *d = ctx;

	if (error)
		return;
	release_control_update_views(d, &reply->fig_reply_u.released);
	admit_control_schedule(d);
}

/*
 * Removes the pending releases of one owner, and those at endpoints that are no
 * longer known; at most FIG_ROOMS_MAX.
 */
static void remove_releases(struct daemon *d, const char *owner)
{
	struct admit_control *k = &d->admit_control;
	struct admit_endpoint *e;
	uint32_t kept = 0;
	uint32_t dropped = 0;
	uint32_t i;

	for (i = 0; i < k->release_n; i++) {
		e = admit_find(&d->board.admit, k->release[i].endpoint);
		if (dropped < FIG_ROOMS_MAX &&
		    (!e || strcmp(e->owner, owner) == 0))
			dropped++;
		else
			k->release[kept++] = k->release[i];
	}
	k->release_n = kept;
}

/*
 * Sends a batch of releases to an owner and removes them from the pending ones.
 * They are not sent again if the call fails, or if there is no owner.
 */
static void send_releases(struct daemon *d, const char *owner, const char *addr)
{
	struct fig_released items[FIG_ROOMS_MAX];
	struct fig_call call = {.kind = FIG_RELEASE};
	struct fig_release *r = &call.fig_call_u.release;
	uint32_t i;

	r->released.released_val = items;
	r->released.released_len = fill_releases(d, items, owner);
	if (strcmp(owner, d->settings.host) == 0)
		for (i = 0; i < r->released.released_len; i++)
			owner_control_release(d, &items[i]);
	else if (addr[0])
		peer_call(&d->peer, addr, &call, CALL_TIMEOUT_MS, on_released,
			  d);
	remove_releases(d, owner);
}

/* Sends all pending releases. */
static void on_flush(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct daemon *d = w->data;
	struct admit_control *k = &d->admit_control;
	struct admit_endpoint *e;
	char owner[CONFIG_NAME_BYTES];
	char addr[CONFIG_ADDR_BYTES];

	while (k->release_n) {
		e = admit_find(&d->board.admit, k->release[0].endpoint);
		snprintf(owner, sizeof(owner), "%s", e ? e->owner : "");
		snprintf(addr, sizeof(addr), "%s", e ? e->owner_addr : "");
		send_releases(d, owner, addr);
	}
	admit_control_schedule(d);
}

/*
 * Releases a grant: the owner is notified with the next batch. gap_us is the
 * mean time between tokens, 0 if not measured. If too many releases are
 * pending, this one is dropped, as if the message had been lost.
 */
void release_control_add(struct daemon *d, const char *endpoint,
			 const char *run, uint32_t serial, enum admit_end end,
			 uint32_t gap_us)
{
	struct admit_control *k = &d->admit_control;
	struct release_item *item;

	if (k->release_n == RELEASE_ITEMS_MAX)
		return;
	item = &k->release[k->release_n++];
	snprintf(item->endpoint, sizeof(item->endpoint), "%s", endpoint);
	snprintf(item->run, sizeof(item->run), "%s", run);
	item->serial = serial;
	item->end = end;
	item->gap_us = gap_us;
	item->gap_target_us = d->settings.token_gap_ms * 1000;
	if (!ev_is_active(&k->flush_timer)) {
		ev_timer_set(&k->flush_timer, FLUSH_DELAY_S, 0.);
		ev_timer_start(d->loop, &k->flush_timer);
	}
}

void release_control_start(struct daemon *d)
{
	ev_timer *w = &d->admit_control.flush_timer;

	ev_timer_init(w, on_flush, FLUSH_DELAY_S, 0.);
	w->data = d;
}

void release_control_stop(struct daemon *d)
{
	ev_timer_stop(d->loop, &d->admit_control.flush_timer);
}
