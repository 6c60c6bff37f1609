#include "admit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct admit_allocator *create_allocator(struct admit_endpoint *e)
{
	struct admit_allocator *al = calloc(1, sizeof(*al));

	if (al && admit_alloc_init(al, e->slots, e->pieces) < 0) {
		free(al);
		al = NULL;
	}
	e->alloc = al;
	return al;
}

static void add_prev_owner(struct admit_allocator *al,
			   const struct member_host *h)
{
	struct admit_prev_owner *p;

	if (al->prev_owner_n == ADMIT_PREV_OWNERS_MAX)
		return;
	if (al->prev_owner_n && strcmp(al->prev_owner[0].name, h->name) == 0)
		return;
	p = &al->prev_owner[al->prev_owner_n++];
	memcpy(p->name, h->name, sizeof(p->name));
	memcpy(p->addr, h->addr, sizeof(p->addr));
	p->queried_us = 0;
}

/*
 * Becomes the owner. Queries the hosts that may have been the owner before: the
 * one that this host saw last, and the one that would be selected without this
 * host, in case this host has just joined.
 */
static void take_over(struct admit *a, struct admit_endpoint *e,
		      const struct member_epoch *epoch, int64_t now_us)
{
	const struct member_host *owners[2];
	const struct member_host *last = member_find(epoch, e->owner);
	struct admit_allocator *al = e->alloc ? e->alloc : create_allocator(e);
	uint32_t n;

	if (!al)
		return;
	admit_alloc_take_over(al, epoch->number, now_us);
	if (last && strcmp(last->name, a->host))
		add_prev_owner(al, last);
	n = member_owners(epoch, e->domain, e->name, owners, 2);
	if (n == 2)
		add_prev_owner(al, owners[1]);
	if (!al->prev_owner_n)
		admit_alloc_await_expiry(al, now_us);
}

/* Removes previous owners that have left the membership epoch. */
static void drop_removed_owners(struct admit_allocator *al,
				const struct member_epoch *epoch,
				int64_t now_us)
{
	uint32_t i = 0;

	while (i < al->prev_owner_n) {
		if (member_find(epoch, al->prev_owner[i].name))
			i++;
		else
			al->prev_owner[i] = al->prev_owner[--al->prev_owner_n];
	}
	if (!al->prev_owner_n)
		admit_alloc_await_expiry(al, now_us);
}

static void set_owner(struct admit_endpoint *e, const struct member_host *h)
{
	/* What the previous owner reported does not hold for the new one. */
	if (h && strcmp(e->owner, h->name))
		e->unavailable = false;
	snprintf(e->owner, sizeof(e->owner), "%s", h ? h->name : "");
	snprintf(e->owner_addr, sizeof(e->owner_addr), "%s", h ? h->addr : "");
}

/*
 * Assigns the owner of one endpoint. If this host was paused and the epoch has
 * changed, another host may have been the owner in between: then this host
 * takes over anew even if it is the owner before and after.
 */
static void assign_owner(struct admit *a, struct admit_endpoint *e,
			 const struct member_epoch *epoch, int64_t now_us)
{
	const struct member_host *owner = NULL;
	bool missed_epochs = a->paused && epoch->number != a->epoch;
	bool is_owner;

	if (!member_owners(epoch, e->domain, e->name, &owner, 1))
		owner = NULL;
	is_owner = owner && strcmp(owner->name, a->host) == 0;
	if (!is_owner && e->alloc)
		admit_alloc_yield(e->alloc, epoch->number, missed_epochs);
	if (is_owner &&
	    (!e->alloc || e->alloc->state == ADMIT_INACTIVE || missed_epochs))
		take_over(a, e, epoch, now_us);
	else if (is_owner && e->alloc->state == ADMIT_HANDOVER)
		drop_removed_owners(e->alloc, epoch, now_us);
	set_owner(e, owner);
}

void admit_assign_owners(struct admit *a, const struct member_epoch *e,
			 int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < a->n; i++)
		if (a->endpoint[i].role != CONFIG_ROLE_SERVICE)
			assign_owner(a, &a->endpoint[i], e, now_us);
}

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

struct admit_prev_owner *admit_next_prev_owner(struct admit_allocator *al,
					       int64_t now_us)
{
	struct admit_prev_owner *p;
	uint32_t i;

	if (al->state != ADMIT_HANDOVER)
		return NULL;
	for (i = 0; i < al->prev_owner_n; i++) {
		p = &al->prev_owner[i];
		if (p->queried_us &&
		    now_us - p->queried_us < ADMIT_HANDOVER_RETRY_US)
			continue;
		p->queried_us = now_us;
		return p;
	}
	return NULL;
}

enum admit_outcome admit_grant(struct admit *a, struct admit_endpoint *e,
			       const struct admit_request *req, int64_t now_us)
{
	admit_detect_pause(a, now_us);
	if (!e->alloc)
		return ADMIT_NOT_OWNER;
	if (a->paused || !e->in_service)
		return ADMIT_UNAVAILABLE;
	return admit_alloc_grant(e->alloc, req, now_us);
}

void admit_hand_over(struct admit *a, const char *endpoint, uint64_t epoch,
		     int64_t now_us, struct admit_handover *out)
{
	struct admit_endpoint *e = admit_find(a, endpoint);
	struct admit_allocator *al = e ? e->alloc : NULL;

	memset(out, 0, sizeof(*out));
	admit_detect_pause(a, now_us);
	out->stale = epoch < a->epoch ||
		     (e && epoch == a->epoch && strcmp(e->owner, a->host) == 0);
	if (out->stale || !al)
		return;
	admit_alloc_yield(al, epoch, a->paused);
	out->complete = al->was_active && al->yielded_epoch == epoch;
	out->fence = al->fence;
	out->boot = al->boot;
	out->window = al->window;
	out->grant = al->grant;
	out->grant_n = al->grant_n;
}

void admit_apply_handover(struct admit_allocator *al, const char *host,
			  const struct admit_handover *h, int64_t now_us)
{
	uint32_t i;

	if (al->state != ADMIT_HANDOVER || h->stale)
		return;
	for (i = 0; i < al->prev_owner_n; i++)
		if (strcmp(al->prev_owner[i].name, host) == 0)
			break;
	if (i == al->prev_owner_n)
		return;
	if (h->complete) {
		admit_alloc_adopt(al, h, now_us);
		return;
	}
	al->prev_owner[i] = al->prev_owner[--al->prev_owner_n];
	if (!al->prev_owner_n)
		admit_alloc_await_expiry(al, now_us);
}
