#include "admit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct admit_allocator *make_book(struct admit_endpoint *e)
{
	struct admit_allocator *b = calloc(1, sizeof(*b));

	if (b && admit_alloc_init(b, e->slots, e->pieces) < 0) {
		free(b);
		b = NULL;
	}
	e->alloc = b;
	return b;
}

static void add_prior(struct admit_allocator *b, const struct member_host *h)
{
	struct admit_prev_owner *p;

	if (b->prev_owner_n == ADMIT_PREV_OWNERS_MAX)
		return;
	if (b->prev_owner_n && strcmp(b->prev_owner[0].name, h->name) == 0)
		return;
	p = &b->prev_owner[b->prev_owner_n++];
	memcpy(p->name, h->name, sizeof(p->name));
	memcpy(p->addr, h->addr, sizeof(p->addr));
	p->queried_us = 0;
}

/*
 * Becomes the owner. The owner before is the one that this host saw last, or
 * else the one that would be the owner without this host.
 */
static void take_over(struct admit *a, struct admit_endpoint *e,
		      const struct member_epoch *epoch, int64_t now_us)
{
	const struct member_host *home[2];
	const struct member_host *last = member_find(epoch, e->owner);
	struct admit_allocator *b = e->alloc ? e->alloc : make_book(e);
	uint32_t n;

	if (!b)
		return;
	admit_alloc_take_over(b, epoch->number, now_us);
	if (last && strcmp(last->name, a->host))
		add_prior(b, last);
	n = member_owners(epoch, e->domain, e->name, home, 2);
	if (n == 2)
		add_prior(b, home[1]);
	if (!b->prev_owner_n)
		admit_alloc_await_expiry(b, now_us);
}

/* Drops the hosts that are gone from the list of those that have to answer. */
static void drop_gone(struct admit_allocator *b,
		      const struct member_epoch *epoch, int64_t now_us)
{
	uint32_t i = 0;

	while (i < b->prev_owner_n) {
		if (member_find(epoch, b->prev_owner[i].name))
			i++;
		else
			b->prev_owner[i] = b->prev_owner[--b->prev_owner_n];
	}
	if (!b->prev_owner_n)
		admit_alloc_await_expiry(b, now_us);
}

static void set_owner(struct admit_endpoint *e, const struct member_host *h)
{
	if (h && strcmp(e->owner, h->name))
		e->unavailable = false;
	snprintf(e->owner, sizeof(e->owner), "%s", h ? h->name : "");
	snprintf(e->owner_addr, sizeof(e->owner_addr), "%s", h ? h->addr : "");
}

static void place(struct admit *a, struct admit_endpoint *e,
		  const struct member_epoch *epoch, int64_t now_us)
{
	const struct member_host *home = NULL;
	bool lost_touch = a->paused && epoch->number != a->epoch;
	bool ours;

	if (!member_owners(epoch, e->domain, e->name, &home, 1))
		home = NULL;
	ours = home && strcmp(home->name, a->host) == 0;
	if (!ours && e->alloc)
		admit_alloc_yield(e->alloc, epoch->number, lost_touch);
	if (ours &&
	    (!e->alloc || e->alloc->state == ADMIT_INACTIVE || lost_touch))
		take_over(a, e, epoch, now_us);
	else if (ours && e->alloc->state == ADMIT_HANDOVER)
		drop_gone(e->alloc, epoch, now_us);
	set_owner(e, home);
}

/*
 * Names the admitting host of each model endpoint under an epoch that was heard
 * before, where endpoints were declared since.
 */
void admit_assign_owners(struct admit *a, const struct member_epoch *e,
			 int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < a->n; i++)
		if (a->endpoint[i].role != CONFIG_ROLE_SERVICE)
			place(a, &a->endpoint[i], e, now_us);
}

/*
 * Takes the membership epoch that was heard, new or again: names the admitting
 * host of each endpoint, closes the books of those that are another host's, and
 * takes over those that are this host's. An older epoch is left alone, and so is
 * one that may have been on its way to this host while it was paused.
 */
void admit_apply_epoch(struct admit *a, const struct member_epoch *e,
		       int64_t now_us)
{
	admit_detect_pause(a, now_us);
	if (e->number < a->epoch ||
	    (a->paused &&
	     now_us - a->pause_detected_us < ADMIT_PAUSE_THRESHOLD_US))
		return;
	admit_assign_owners(a, e, now_us);
	a->epoch = e->number;
	a->paused = false;
}

/*
 * Returns a host that has to be asked now for the grants that it has out, noting
 * that it is, or NULL.
 */
struct admit_prev_owner *admit_next_prev_owner(struct admit_allocator *b,
					       int64_t now_us)
{
	struct admit_prev_owner *p;
	uint32_t i;

	if (b->state != ADMIT_HANDOVER)
		return NULL;
	for (i = 0; i < b->prev_owner_n; i++) {
		p = &b->prev_owner[i];
		if (p->queried_us &&
		    now_us - p->queried_us < ADMIT_HANDOVER_RETRY_US)
			continue;
		p->queried_us = now_us;
		return p;
	}
	return NULL;
}

/*
 * Grants as the admitting host, unless this host is not, was paused, or the
 * endpoint takes no new work.
 */
enum admit_outcome admit_grant(struct admit *a, struct admit_endpoint *e,
			       const struct admit_request *ask, int64_t now_us)
{
	admit_detect_pause(a, now_us);
	if (!e->alloc)
		return ADMIT_NOT_OWNER;
	if (a->paused || !e->in_service)
		return ADMIT_UNAVAILABLE;
	return admit_alloc_grant(e->alloc, ask, now_us);
}

/*
 * Answers a host that an epoch made the owner of an endpoint. This host grants
 * nothing more there, also where it has not heard of that epoch. Where it was
 * paused, another host may have granted in between, and its book is not complete.
 * The grants are borrowed from the book.
 */
void admit_hand_over(struct admit *a, const char *endpoint, uint64_t epoch,
		     int64_t now_us, struct admit_handover *out)
{
	struct admit_endpoint *e = admit_find(a, endpoint);
	struct admit_allocator *b = e ? e->alloc : NULL;

	memset(out, 0, sizeof(*out));
	admit_detect_pause(a, now_us);
	out->stale = epoch < a->epoch ||
		     (e && epoch == a->epoch && strcmp(e->owner, a->host) == 0);
	if (out->stale || !b)
		return;
	admit_alloc_yield(b, epoch, a->paused);
	out->complete = b->was_active && b->yielded_epoch == epoch;
	out->fence = b->fence;
	out->boot = b->boot;
	out->window = b->window;
	out->grant = b->grant;
	out->grant_n = b->grant_n;
}

/* Takes the answer of a host that was asked. */
void admit_apply_handover(struct admit_allocator *b, const char *host,
			  const struct admit_handover *h, int64_t now_us)
{
	uint32_t i;

	if (b->state != ADMIT_HANDOVER || h->stale)
		return;
	for (i = 0; i < b->prev_owner_n; i++)
		if (strcmp(b->prev_owner[i].name, host) == 0)
			break;
	if (i == b->prev_owner_n)
		return;
	if (h->complete) {
		admit_alloc_adopt(b, h, now_us);
		return;
	}
	b->prev_owner[i] = b->prev_owner[--b->prev_owner_n];
	if (!b->prev_owner_n)
		admit_alloc_await_expiry(b, now_us);
}
