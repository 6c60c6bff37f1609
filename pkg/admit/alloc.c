#include "admit.h"

#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* 64-bit FNV-1a. */
#define FNV_OFFSET_BASIS 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL

#define SLOW_START_DIVISOR 8 /* slow start begins with slots / 8 */

/* Minimum time between changes of the AIMD limit. */
#define LIMIT_DECREASE_INTERVAL_US (200LL * 1000)
#define LIMIT_INCREASE_INTERVAL_US (1000LL * 1000)

static uint64_t hash_run(const char *run)
{
	uint64_t h = FNV_OFFSET_BASIS;

	for (; *run; run++)
		h = (h ^ (uint8_t)*run) * FNV_PRIME;
	return h;
}

static uint32_t min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/* Returns the slots that slow start begins with. */
static uint32_t min_window(const struct admit_allocator *al)
{
	uint32_t n = al->slots / SLOW_START_DIVISOR;

	return n ? n : 1;
}

int admit_alloc_init(struct admit_allocator *al, uint32_t slots,
		     uint32_t pieces)
{
	memset(al, 0, sizeof(*al));
	al->grant = calloc(slots + 1, sizeof(*al->grant));
	if (!al->grant)
		return -ENOMEM;
	al->slots = slots;
	al->pieces = pieces;
	al->limit = slots;
	al->window = min_window(al);
	return 0;
}

void admit_alloc_finish(struct admit_allocator *al)
{
	free(al->grant);
	memset(al, 0, sizeof(*al));
}

int admit_alloc_resize(struct admit_allocator *al, uint32_t slots,
		       uint32_t pieces)
{
	uint32_t capacity = slots > al->grant_n ? slots : al->grant_n;
	struct admit_grant *p;

	if (slots == al->slots && pieces == al->pieces)
		return 0;
	p = realloc(al->grant, (capacity + 1) * sizeof(*p));
	if (!p)
		return -ENOMEM;
	al->grant = p;
	if (al->limit == al->slots || al->limit > slots)
		al->limit = slots;
	al->slots = slots;
	al->pieces = pieces;
	al->window = min_u32(al->window, slots);
	return 0;
}

void admit_alloc_slow_start(struct admit_allocator *al)
{
	al->window = min_window(al);
}

void admit_alloc_take_over(struct admit_allocator *al, uint64_t fence,
			   int64_t now_us)
{
	al->state = ADMIT_HANDOVER;
	al->fence = fence;
	al->prev_owner_n = 0;
	al->report_queried_us = 0;
	al->boot = 0;
	al->crash_suspected_us = 0;
	al->window = min_window(al);
	al->limit = al->slots;
	al->grant_n = 0;
	al->untracked_slots = 0;
	al->untracked_pieces = 0;
}

void admit_alloc_await_expiry(struct admit_allocator *al, int64_t now_us)
{
	if (al->state != ADMIT_HANDOVER)
		return;
	al->state = ADMIT_EXPIRING;
	al->prev_expiry_us =
		now_us + ADMIT_START_TIMEOUT_US + ADMIT_DELIVERY_MAX_US;
}

/* Makes room for n grants, also above the slots. */
static int ensure_grants(struct admit_allocator *al, uint32_t n)
{
	struct admit_grant *p;

	if (n <= al->slots)
		return 0;
	p = realloc(al->grant, (n + 1) * sizeof(*p));
	if (!p)
		return -ENOMEM;
	al->grant = p;
	return 0;
}

void admit_alloc_adopt(struct admit_allocator *al,
		       const struct admit_handover *h, int64_t now_us)
{
	uint32_t i;

	if (al->state != ADMIT_HANDOVER)
		return;
	if (ensure_grants(al, h->grant_n) < 0) {
		admit_alloc_await_expiry(al, now_us);
		return;
	}
	/* The slots may have been lowered since they were granted. */
	for (i = 0; i < h->grant_n; i++) {
		al->grant[al->grant_n] = h->grant[i];
		al->grant[al->grant_n++].granted_us = now_us;
	}
	al->fence = h->fence;
	al->boot = h->boot;
	al->window = min_u32(h->window, al->slots);
	if (al->window < min_window(al))
		al->window = min_window(al);
	al->prev_owner_n = 0;
	al->state = ADMIT_ACTIVE;
}

void admit_alloc_yield(struct admit_allocator *al, uint64_t epoch,
		       bool missed_epochs)
{
	if (al->state == ADMIT_INACTIVE)
		return;
	al->was_active = al->state == ADMIT_ACTIVE && !missed_epochs;
	al->state = ADMIT_INACTIVE;
	al->yielded_epoch = epoch;
}

static struct admit_grant *find_grant(struct admit_allocator *al,
				      const char *run)
{
	uint32_t i;

	for (i = 0; i < al->grant_n; i++)
		if (strcmp(al->grant[i].run, run) == 0)
			return &al->grant[i];
	return NULL;
}

/* Returns the release of a run with the highest serial, or NULL. */
static const struct admit_released *
find_released(const struct admit_allocator *al, const char *run)
{
	const struct admit_released *last = NULL;
	uint64_t h = hash_run(run);
	uint32_t n = min_u32(al->released_n, ADMIT_RELEASED_MAX);
	uint32_t i;

	for (i = 0; i < n; i++)
		if (al->released[i].run_hash == h &&
		    (!last || al->released[i].serial > last->serial))
			last = &al->released[i];
	return last;
}

static void remember_release(struct admit_allocator *al, const char *run,
			     uint32_t serial, int64_t now_us)
{
	struct admit_released *r =
		&al->released[al->released_n++ % ADMIT_RELEASED_MAX];

	/* Stays at or above the size of a full ring, for find_released. */
	if (al->released_n >= 2 * ADMIT_RELEASED_MAX)
		al->released_n -= ADMIT_RELEASED_MAX;
	r->run_hash = hash_run(run);
	r->serial = serial;
	r->at_us = now_us;
}

static void remove_grant(struct admit_allocator *al, uint32_t i)
{
	al->grant[i] = al->grant[--al->grant_n];
}

static uint32_t pieces_granted(const struct admit_allocator *al)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < al->grant_n; i++)
		sum += al->grant[i].pieces;
	return sum;
}

/*
 * Returns how many slots may be in use now: the least of the declared slots,
 * the slow-start window and the AIMD limit. An endpoint that is cold, or may
 * have restarted, gets no more than the initial slots of slow start.
 */
static uint32_t usable_slots(const struct admit_allocator *al)
{
	uint32_t n = min_u32(al->slots, min_u32(al->window, al->limit));

	return al->cold || al->crash_suspected_us ? min_u32(n, min_window(al))
						  : n;
}

static bool is_unavailable(const struct admit_allocator *al)
{
	return al->state != ADMIT_ACTIVE || al->draining || al->unreachable ||
	       !al->report_queried_us;
}

bool admit_alloc_is_available(const struct admit_allocator *al)
{
	return !is_unavailable(al);
}

uint32_t admit_alloc_slots_free(const struct admit_allocator *al)
{
	uint32_t used = al->grant_n + al->untracked_slots;
	uint32_t usable = usable_slots(al);

	return is_unavailable(al) || used >= usable ? 0 : usable - used;
}

uint32_t admit_alloc_pieces_free(const struct admit_allocator *al)
{
	uint32_t used = pieces_granted(al) + al->untracked_pieces;

	return is_unavailable(al) || used >= al->pieces ? 0 : al->pieces - used;
}

uint32_t admit_alloc_queued_tokens(const struct admit_allocator *al)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < al->grant_n; i++)
		if (!al->grant[i].released_us)
			sum += al->grant[i].tokens;
	return sum;
}

/* Returns the prefill work queued behind the oldest grant, in tokens. */
static uint32_t tokens_behind_first(const struct admit_allocator *al)
{
	const struct admit_grant *first = NULL;
	const struct admit_grant *g;
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < al->grant_n; i++) {
		g = &al->grant[i];
		if (g->released_us)
			continue;
		sum += g->tokens;
		if (!first || g->granted_us < first->granted_us)
			first = g;
	}
	return first ? sum - first->tokens : 0;
}

static bool has_capacity(const struct admit_allocator *al,
			 const struct admit_request *req)
{
	if (!admit_alloc_slots_free(al) ||
	    admit_alloc_pieces_free(al) < req->pieces)
		return false;
	return !req->queue_max_tokens ||
	       tokens_behind_first(al) <= req->queue_max_tokens;
}

static void fill_grant(struct admit_grant *g, const struct admit_request *req,
		       int64_t now_us)
{
	memset(g, 0, sizeof(*g));
	snprintf(g->run, sizeof(g->run), "%s", req->run);
	g->serial = req->serial;
	g->pieces = req->pieces;
	g->tokens = req->tokens;
	g->granted_us = now_us;
	g->start_deadline_us = now_us + ADMIT_START_TIMEOUT_US;
}

/* Answers a request for a run that has a grant already. */
static enum admit_outcome repeat_grant(struct admit_grant *g,
				       const struct admit_request *req,
				       int64_t now_us)
{
	if (g->released_us)
		return ADMIT_ALREADY_RELEASED;
	if (req->serial > g->serial) {
		g->serial = req->serial;
		g->start_deadline_us = now_us + ADMIT_START_TIMEOUT_US;
	}
	return ADMIT_GRANTED;
}

enum admit_outcome admit_alloc_grant(struct admit_allocator *al,
				     const struct admit_request *req,
				     int64_t now_us)
{
	const struct admit_released *last;
	struct admit_grant *g;

	if (al->state == ADMIT_INACTIVE)
		return ADMIT_NOT_OWNER;
	last = find_released(al, req->run);
	if (last && last->serial >= req->serial)
		return ADMIT_ALREADY_RELEASED;
	g = find_grant(al, req->run);
	if (g)
		return repeat_grant(g, req, now_us);
	if (is_unavailable(al) ||
	    now_us - al->report_queried_us > ADMIT_REPORT_EXPIRY_US)
		return ADMIT_UNAVAILABLE;
	if (!has_capacity(al, req))
		return ADMIT_FULL;
	assert(al->grant_n < al->slots);
	fill_grant(&al->grant[al->grant_n++], req, now_us);
	return ADMIT_GRANTED;
}

/*
 * Slow start. A completed run opens one more slot. A failed run halves the
 * window, and may mean that the endpoint has restarted: until a load report
 * shows whether it has, only the initial slots may be used.
 */
static void update_window(struct admit_allocator *al, enum admit_end end,
			  int64_t now_us)
{
	if (end == ADMIT_END_COMPLETE && !al->cold && al->window < al->slots)
		al->window++;
	if (end == ADMIT_END_FAILED) {
		al->crash_suspected_us = now_us;
		al->window /= 2;
		if (al->window < min_window(al))
			al->window = min_window(al);
	}
}

void admit_alloc_release(struct admit_allocator *al, const char *run,
			 uint32_t serial, enum admit_end end, int64_t now_us)
{
	struct admit_grant *g = find_grant(al, run);
	const struct admit_released *last;

	if (!g) {
		last = find_released(al, run);
		if (!last || last->serial < serial)
			remember_release(al, run, serial, now_us);
		return;
	}
	if (g->released_us || serial < g->serial)
		return;
	update_window(al, end, now_us);
	if (end == ADMIT_END_UNKNOWN || end == ADMIT_END_FAILED) {
		g->released_us = now_us;
		return;
	}
	remember_release(al, run, serial, now_us);
	remove_grant(al, (uint32_t)(g - al->grant));
}

void admit_alloc_add_waiter(struct admit_allocator *al, const char *host)
{
	uint32_t i;

	for (i = 0; i < al->waiter_n; i++)
		if (strcmp(al->waiter[i], host) == 0)
			return;
	if (al->waiter_n < ADMIT_WAITERS_MAX)
		snprintf(al->waiter[al->waiter_n++], sizeof(al->waiter[0]),
			 "%s", host);
}

uint32_t admit_alloc_pop_waiters(struct admit_allocator *al,
				 char out[ADMIT_WAITERS_MAX][MEMBER_NAME_BYTES])
{
	uint32_t n = min_u32(admit_alloc_slots_free(al), al->waiter_n);

	memcpy(out, al->waiter, n * sizeof(al->waiter[0]));
	al->waiter_n -= n;
	memmove(al->waiter, al->waiter + n,
		al->waiter_n * sizeof(al->waiter[0]));
	return n;
}

static bool is_running(const struct admit_report *r, const char *run)
{
	uint32_t i;

	for (i = 0; i < r->running_n; i++)
		if (strcmp(r->running[i], run) == 0)
			return true;
	return false;
}

/*
 * Returns true if a run that the report does not list has ended or cannot start
 * any more: an earlier report listed it, or this report was sampled after the
 * last message that could start the run had been delivered.
 */
static bool has_ended(const struct admit_grant *g, const struct admit_report *r)
{
	int64_t sampled_us = r->queried_us - ADMIT_REPORT_LAG_US;
	int64_t latest_start_us = g->released_us ? g->released_us
						 : g->start_deadline_us;

	return g->seen_running ||
	       sampled_us >= latest_start_us + ADMIT_DELIVERY_MAX_US;
}

/*
 * Removes the grants of runs that the endpoint does not hold any more. A report
 * that does not list all runs removes none.
 */
static void reconcile_grants(struct admit_allocator *al,
			     const struct admit_report *r, int64_t now_us)
{
	struct admit_grant *g;
	uint32_t i = 0;

	while (i < al->grant_n) {
		g = &al->grant[i];
		if (is_running(r, g->run)) {
			g->seen_running = true;
		} else if (r->running_n >= r->slots_used && has_ended(g, r)) {
			remember_release(al, g->run, g->serial, now_us);
			remove_grant(al, i);
			continue;
		}
		i++;
	}
}

/*
 * Counts the runs at the endpoint without a grant, and their memory pieces, at
 * least one for each run. The report may still list a run that was released
 * after the report was sampled; such a run is not counted.
 */
static void count_untracked(struct admit_allocator *al,
			    const struct admit_report *r)
{
	const struct admit_released *last;
	uint32_t tracked_pieces = 0;
	uint32_t untracked = 0;
	uint32_t i;

	for (i = 0; i < r->running_n; i++) {
		last = find_released(al, r->running[i]);
		if (!find_grant(al, r->running[i]) &&
		    (!last ||
		     last->at_us <= r->queried_us - ADMIT_REPORT_LAG_US))
			untracked++;
	}
	if (r->slots_used > r->running_n)
		untracked += r->slots_used - r->running_n;
	al->untracked_slots = untracked;
	for (i = 0; i < al->grant_n; i++)
		if (al->grant[i].seen_running)
			tracked_pieces += al->grant[i].pieces;
	al->untracked_pieces = 0;
	if (untracked && r->pieces_used > tracked_pieces)
		al->untracked_pieces = r->pieces_used - tracked_pieces;
	if (al->untracked_pieces < untracked)
		al->untracked_pieces = untracked;
}

/*
 * The endpoint has restarted: the runs that a report had listed are lost, and
 * slow start begins again. A grant that no report had listed may still be used
 * for a run after the restart.
 */
static void on_restart(struct admit_allocator *al)
{
	uint32_t i = 0;

	while (i < al->grant_n) {
		if (al->grant[i].seen_running)
			remove_grant(al, i);
		else
			i++;
	}
	al->window = min_window(al);
	al->limit = al->slots;
}

void admit_alloc_apply_report(struct admit_allocator *al,
			      const struct admit_report *r, int64_t now_us)
{
	bool is_first = !al->boot;

	if (al->state == ADMIT_INACTIVE ||
	    r->queried_us <= al->report_queried_us)
		return;
	al->report_queried_us = r->queried_us;
	al->unreachable = false;
	al->cold = r->cold;
	al->draining = r->draining;
	if (!is_first && r->boot != al->boot)
		on_restart(al);
	al->boot = r->boot;
	if (r->cold)
		al->window = min_window(al);
	if (al->crash_suspected_us &&
	    r->queried_us - ADMIT_REPORT_LAG_US >= al->crash_suspected_us)
		al->crash_suspected_us = 0;
	reconcile_grants(al, r, now_us);
	count_untracked(al, r);
	if (al->state == ADMIT_EXPIRING &&
	    r->queried_us - ADMIT_REPORT_LAG_US >= al->prev_expiry_us) {
		al->state = ADMIT_ACTIVE;
		/* Runs of earlier owners have opened these slots. */
		if (!r->cold && r->slots_used > al->window)
			al->window = min_u32(r->slots_used, al->slots);
	}
}

void admit_alloc_set_unreachable(struct admit_allocator *al)
{
	al->unreachable = true;
}

bool admit_alloc_report_due(const struct admit_allocator *al,
			    int64_t queried_us, int64_t now_us)
{
	/* A report that is queried from then on can end EXPIRING. */
	int64_t ready_us = al->prev_expiry_us + ADMIT_REPORT_LAG_US;

	if (al->state == ADMIT_INACTIVE)
		return false;
	if (al->state == ADMIT_EXPIRING && now_us >= ready_us &&
	    queried_us < ready_us)
		return true;
	return !queried_us || now_us - queried_us >= ADMIT_REPORT_INTERVAL_US;
}

void admit_alloc_observe_gap(struct admit_allocator *al, uint32_t gap_us,
			     uint32_t target_us, int64_t now_us)
{
	uint32_t used = al->grant_n + al->untracked_slots;

	if (gap_us > target_us) {
		if (now_us - al->limit_changed_us < LIMIT_DECREASE_INTERVAL_US)
			return;
		al->limit_changed_us = now_us;
		al->limit = min_u32(al->limit, used ? used : 1);
		al->limit -= al->limit / 5;
		if (!al->limit)
			al->limit = 1;
		return;
	}
	if (used + 1 < al->limit || al->limit >= al->slots ||
	    now_us - al->limit_changed_us < LIMIT_INCREASE_INTERVAL_US)
		return;
	al->limit_changed_us = now_us;
	al->limit++;
}
