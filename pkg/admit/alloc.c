#include "admit.h"

#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FNV_START 14695981039346656037ULL
#define FNV_PRIME 1099511628211ULL
#define WINDOW_PARTS 8 /* slow start begins with this part of the slots */
#define LIMIT_FALL_US (200LL * 1000)
#define LIMIT_RISE_US (1000LL * 1000)

static uint64_t hash_run(const char *run)
{
	uint64_t h = FNV_START;

	for (; *run; run++)
		h = (h ^ (uint8_t)*run) * FNV_PRIME;
	return h;
}

static uint32_t min_u32(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

static uint32_t first_window(const struct admit_allocator *b)
{
	uint32_t n = b->slots / WINDOW_PARTS;

	return n ? n : 1;
}

/*
 * Starts the book of an endpoint that bears so many runs and memory pieces, as
 * one of another host. Returns 0 or -ENOMEM.
 */
int admit_alloc_init(struct admit_allocator *b, uint32_t slots, uint32_t pieces)
{
	memset(b, 0, sizeof(*b));
	b->grant = calloc(slots + 1, sizeof(*b->grant));
	if (!b->grant)
		return -ENOMEM;
	b->slots = slots;
	b->pieces = pieces;
	b->limit = slots;
	b->window = first_window(b);
	return 0;
}

void admit_alloc_finish(struct admit_allocator *b)
{
	free(b->grant);
	memset(b, 0, sizeof(*b));
}

/*
 * Takes over declared sizes. Grants beyond a smaller size run to their end.
 * Returns 0 or -ENOMEM, and nothing has changed.
 */
int admit_alloc_resize(struct admit_allocator *b, uint32_t slots,
		       uint32_t pieces)
{
	uint32_t room = slots > b->grant_n ? slots : b->grant_n;
	struct admit_grant *p;

	if (slots == b->slots && pieces == b->pieces)
		return 0;
	p = realloc(b->grant, (room + 1) * sizeof(*p));
	if (!p)
		return -ENOMEM;
	b->grant = p;
	if (b->limit == b->slots || b->limit > slots)
		b->limit = slots;
	b->slots = slots;
	b->pieces = pieces;
	b->window = min_u32(b->window, slots);
	return 0;
}

/* Begins slow start again. */
void admit_alloc_slow_start(struct admit_allocator *b)
{
	b->window = first_window(b);
}

/*
 * This host is the admitting host from an epoch on. Nothing is granted until the
 * hosts in prior[], which the caller sets after this, have answered, and the
 * grants of an owner before that did not hand over have lapsed.
 */
void admit_alloc_take_over(struct admit_allocator *b, uint64_t fence,
			   int64_t now_us)
{
	b->state = ADMIT_HANDOVER;
	b->fence = fence;
	b->prev_owner_n = 0;
	b->report_queried_us = 0;
	b->boot = 0;
	b->crash_suspected_us = 0;
	b->window = first_window(b);
	b->limit = b->slots;
	b->grant_n = 0;
	b->untracked_slots = 0;
	b->untracked_pieces = 0;
}

/*
 * No host is left that is the owner before, or may hand over: what it granted
 * lapses from now on.
 */
void admit_alloc_await_expiry(struct admit_allocator *b, int64_t now_us)
{
	if (b->state != ADMIT_HANDOVER)
		return;
	b->state = ADMIT_EXPIRING;
	b->prev_expiry_us =
		now_us + ADMIT_START_TIMEOUT_US + ADMIT_DELIVERY_MAX_US;
}

/*
 * The owner before has handed over: its grants, with start_by_us in our clock,
 * its fencing number, and how far slow start had come.
 */
void admit_alloc_adopt(struct admit_allocator *b,
		       const struct admit_handover *h, int64_t now_us)
{
	uint32_t i;

	if (b->state != ADMIT_HANDOVER)
		return;
	for (i = 0; i < h->grant_n && b->grant_n < b->slots; i++) {
		b->grant[b->grant_n] = h->grant[i];
		b->grant[b->grant_n++].granted_us = now_us;
	}
	b->fence = h->fence;
	b->boot = h->boot;
	b->window = min_u32(h->window, b->slots);
	if (b->window < first_window(b))
		b->window = first_window(b);
	b->prev_owner_n = 0;
	b->state = ADMIT_ACTIVE;
}

/*
 * Another host is the owner from an epoch on; the grants are kept to tell it.
 * Lost touch says that there may have been an owner in between.
 */
void admit_alloc_yield(struct admit_allocator *b, uint64_t epoch,
		       bool lost_touch)
{
	if (b->state == ADMIT_INACTIVE)
		return;
	b->was_active = b->state == ADMIT_ACTIVE && !lost_touch;
	b->state = ADMIT_INACTIVE;
	b->yielded_epoch = epoch;
}

static struct admit_grant *find(struct admit_allocator *b, const char *run)
{
	uint32_t i;

	for (i = 0; i < b->grant_n; i++)
		if (strcmp(b->grant[i].run, run) == 0)
			return &b->grant[i];
	return NULL;
}

/* Returns the last release of a run, or NULL where it is not remembered. */
static const struct admit_released *
find_released(const struct admit_allocator *b, const char *run)
{
	const struct admit_released *last = NULL;
	uint64_t h = hash_run(run);
	uint32_t n = min_u32(b->released_n, ADMIT_RELEASED_MAX);
	uint32_t i;

	for (i = 0; i < n; i++)
		if (b->released[i].run_hash == h &&
		    (!last || b->released[i].serial > last->serial))
			last = &b->released[i];
	return last;
}

static void note_released(struct admit_allocator *b, const char *run,
			  uint32_t serial, int64_t now_us)
{
	struct admit_released *r =
		&b->released[b->released_n++ % ADMIT_RELEASED_MAX];

	if (b->released_n >= 2 * ADMIT_RELEASED_MAX)
		b->released_n -= ADMIT_RELEASED_MAX;
	r->run_hash = hash_run(run);
	r->serial = serial;
	r->at_us = now_us;
}

static void drop(struct admit_allocator *b, uint32_t i)
{
	b->grant[i] = b->grant[--b->grant_n];
}

static uint32_t pieces_granted(const struct admit_allocator *b)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < b->grant_n; i++)
		sum += b->grant[i].pieces;
	return sum;
}

/* Returns how many slots may be in use now: declared, slow start, latency. */
static uint32_t slots_borne(const struct admit_allocator *b)
{
	uint32_t n = min_u32(b->slots, min_u32(b->window, b->limit));

	return b->cold || b->crash_suspected_us ? min_u32(n, first_window(b))
						: n;
}

static bool is_shut(const struct admit_allocator *b)
{
	return b->state != ADMIT_ACTIVE || b->draining || b->unreachable ||
	       !b->report_queried_us;
}

/* Tells whether the endpoint takes work, if there is room. */
bool admit_alloc_is_available(const struct admit_allocator *b)
{
	return !is_shut(b);
}

/* Returns the slots that may be granted now. */
uint32_t admit_alloc_slots_free(const struct admit_allocator *b)
{
	uint32_t used = b->grant_n + b->untracked_slots;
	uint32_t borne = slots_borne(b);

	return is_shut(b) || used >= borne ? 0 : borne - used;
}

/* Returns the memory pieces that may be granted now. */
uint32_t admit_alloc_pieces_free(const struct admit_allocator *b)
{
	uint32_t used = pieces_granted(b) + b->untracked_pieces;

	return is_shut(b) || used >= b->pieces ? 0 : b->pieces - used;
}

/* Returns the prefill work of the grants that are out, in tokens. */
uint32_t admit_alloc_queued_tokens(const struct admit_allocator *b)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < b->grant_n; i++)
		if (!b->grant[i].released_us)
			sum += b->grant[i].tokens;
	return sum;
}

/* Returns the prefill work that waits behind the run that was granted first. */
static uint32_t waiting_tokens(const struct admit_allocator *b)
{
	const struct admit_grant *first = NULL;
	const struct admit_grant *g;
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < b->grant_n; i++) {
		g = &b->grant[i];
		if (g->released_us)
			continue;
		sum += g->tokens;
		if (!first || g->granted_us < first->granted_us)
			first = g;
	}
	return first ? sum - first->tokens : 0;
}

static bool has_room(const struct admit_allocator *b,
		     const struct admit_request *ask)
{
	if (!admit_alloc_slots_free(b) ||
	    admit_alloc_pieces_free(b) < ask->pieces)
		return false;
	return !ask->queue_max_tokens ||
	       waiting_tokens(b) <= ask->queue_max_tokens;
}

static void fill_grant(struct admit_grant *g, const struct admit_request *ask,
		       int64_t now_us)
{
	memset(g, 0, sizeof(*g));
	snprintf(g->run, sizeof(g->run), "%s", ask->run);
	g->serial = ask->serial;
	g->pieces = ask->pieces;
	g->tokens = ask->tokens;
	g->granted_us = now_us;
	g->start_deadline_us = now_us + ADMIT_START_TIMEOUT_US;
}

/* Answers an ask for a run that has a grant. */
static enum admit_outcome grant_again(struct admit_grant *g,
				      const struct admit_request *ask,
				      int64_t now_us)
{
	if (g->released_us)
		return ADMIT_ALREADY_RELEASED;
	if (ask->serial > g->serial) {
		g->serial = ask->serial;
		g->start_deadline_us = now_us + ADMIT_START_TIMEOUT_US;
	}
	return ADMIT_GRANTED;
}

/*
 * Grants a slot and memory pieces to a run, once: the same run asked for again
 * gets the grant that it has. The holder gives its order to the endpoint within
 * ADMIT_START_US of having asked, or not at all.
 */
enum admit_outcome admit_alloc_grant(struct admit_allocator *b,
				     const struct admit_request *ask,
				     int64_t now_us)
{
	const struct admit_released *old;
	struct admit_grant *g;

	if (b->state == ADMIT_INACTIVE)
		return ADMIT_NOT_OWNER;
	old = find_released(b, ask->run);
	if (old && old->serial >= ask->serial)
		return ADMIT_ALREADY_RELEASED;
	g = find(b, ask->run);
	if (g)
		return grant_again(g, ask, now_us);
	if (is_shut(b) ||
	    now_us - b->report_queried_us > ADMIT_REPORT_EXPIRY_US)
		return ADMIT_UNAVAILABLE;
	if (!has_room(b, ask))
		return ADMIT_FULL;
	assert(b->grant_n < b->slots);
	fill_grant(&b->grant[b->grant_n++], ask, now_us);
	return ADMIT_GRANTED;
}

/*
 * A whole run opens one more slot. A broken one halves what is open, and holds
 * it at the start of slow start until a report tells whether the endpoint has
 * restarted.
 */
static void learn(struct admit_allocator *b, enum admit_end end, int64_t now_us)
{
	if (end == ADMIT_END_COMPLETE && !b->cold && b->window < b->slots)
		b->window++;
	if (end == ADMIT_END_FAILED) {
		b->crash_suspected_us = now_us;
		b->window /= 2;
		if (b->window < first_window(b))
			b->window = first_window(b);
	}
}

/*
 * Ends a grant, as often as it is said. Where the endpoint may still hold the
 * run, its slot stays taken until a load report shows that it does not. A run
 * that is not known is remembered, in case its grant is asked for late; the end
 * of an earlier ask changes nothing.
 */
void admit_alloc_release(struct admit_allocator *b, const char *run,
			 uint32_t serial, enum admit_end end, int64_t now_us)
{
	struct admit_grant *g = find(b, run);
	const struct admit_released *old;

	if (!g) {
		old = find_released(b, run);
		if (!old || old->serial < serial)
			note_released(b, run, serial, now_us);
		return;
	}
	if (g->released_us || serial < g->serial)
		return;
	learn(b, end, now_us);
	if (end == ADMIT_END_UNKNOWN || end == ADMIT_END_FAILED) {
		g->released_us = now_us;
		return;
	}
	note_released(b, run, serial, now_us);
	drop(b, (uint32_t)(g - b->grant));
}

/* Notes a host that was told that there is no room, so as to tell it of some. */
void admit_alloc_add_waiter(struct admit_allocator *b, const char *host)
{
	uint32_t i;

	for (i = 0; i < b->waiter_n; i++)
		if (strcmp(b->waiter[i], host) == 0)
			return;
	if (b->waiter_n < ADMIT_WAITERS_MAX)
		snprintf(b->waiter[b->waiter_n++], sizeof(b->waiter[0]), "%s",
			 host);
}

/*
 * Writes the hosts that should hear that there is room: those told first, one for
 * each free slot. They are forgotten. Returns how many there are.
 */
uint32_t admit_alloc_pop_waiters(struct admit_allocator *b,
				 char out[ADMIT_WAITERS_MAX][MEMBER_NAME_BYTES])
{
	uint32_t n = min_u32(admit_alloc_slots_free(b), b->waiter_n);

	memcpy(out, b->waiter, n * sizeof(b->waiter[0]));
	b->waiter_n -= n;
	memmove(b->waiter, b->waiter + n, b->waiter_n * sizeof(b->waiter[0]));
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
 * Tells whether a run that a report does not show is surely not at the endpoint
 * and will not come: it was there before, or no order can reach it any more.
 */
static bool is_over(const struct admit_grant *g, const struct admit_report *r)
{
	int64_t sampled_us = r->queried_us - ADMIT_REPORT_LAG_US;
	int64_t last_us = g->released_us ? g->released_us
					 : g->start_deadline_us;

	return g->seen_running || sampled_us >= last_us + ADMIT_DELIVERY_MAX_US;
}

/* Drops the grants of runs that the endpoint does not hold any more. */
static void match_grants(struct admit_allocator *b,
			 const struct admit_report *r, int64_t now_us)
{
	struct admit_grant *g;
	uint32_t i = 0;

	while (i < b->grant_n) {
		g = &b->grant[i];
		if (is_running(r, g->run)) {
			g->seen_running = true;
		} else if (r->running_n >= r->slots_used && is_over(g, r)) {
			note_released(b, g->run, g->serial, now_us);
			drop(b, i);
			continue;
		}
		i++;
	}
}

/* Counts the runs at the endpoint that were not granted here. */
static void count_foreign(struct admit_allocator *b,
			  const struct admit_report *r)
{
	const struct admit_released *old;
	uint32_t known_pieces = 0;
	uint32_t listed = 0;
	uint32_t i;

	for (i = 0; i < r->running_n; i++) {
		old = find_released(b, r->running[i]);
		if (!find(b, r->running[i]) &&
		    (!old || old->at_us <= r->queried_us - ADMIT_REPORT_LAG_US))
			listed++;
	}
	if (r->slots_used > r->running_n)
		listed += r->slots_used - r->running_n;
	b->untracked_slots = listed;
	for (i = 0; i < b->grant_n; i++)
		if (b->grant[i].seen_running)
			known_pieces += b->grant[i].pieces;
	b->untracked_pieces = 0;
	if (listed && r->pieces_used > known_pieces)
		b->untracked_pieces = r->pieces_used - known_pieces;
	if (b->untracked_pieces < listed)
		b->untracked_pieces = listed;
}

/* A new start of the endpoint: what ran there is gone, slow start begins. */
static void on_boot(struct admit_allocator *b)
{
	uint32_t i = 0;

	while (i < b->grant_n) {
		if (b->grant[i].seen_running)
			drop(b, i);
		else
			i++;
	}
	b->window = first_window(b);
	b->limit = b->slots;
}

/*
 * Takes a load report. A report that was asked for before the last one taken is
 * left alone. Ends the wait of a new owner once the report is young enough.
 */
void admit_alloc_apply_report(struct admit_allocator *b,
			      const struct admit_report *r, int64_t now_us)
{
	bool first = !b->boot;

	if (b->state == ADMIT_INACTIVE || r->queried_us <= b->report_queried_us)
		return;
	b->report_queried_us = r->queried_us;
	b->unreachable = false;
	b->cold = r->cold;
	b->draining = r->draining;
	if (!first && r->boot != b->boot)
		on_boot(b);
	b->boot = r->boot;
	if (r->cold)
		b->window = first_window(b);
	if (b->crash_suspected_us &&
	    r->queried_us - ADMIT_REPORT_LAG_US >= b->crash_suspected_us)
		b->crash_suspected_us = 0;
	match_grants(b, r, now_us);
	count_foreign(b, r);
	if (b->state == ADMIT_EXPIRING &&
	    r->queried_us - ADMIT_REPORT_LAG_US >= b->prev_expiry_us) {
		b->state = ADMIT_ACTIVE;
		if (!r->cold && r->slots_used > b->window)
			b->window = min_u32(r->slots_used, b->slots);
	}
}

/* The endpoint does not answer: nothing is granted until it reports. */
void admit_alloc_set_unreachable(struct admit_allocator *b)
{
	b->unreachable = true;
}

/*
 * Tells whether it is time to ask for a load report: once an interval, and as
 * soon as a wait for the owner before can end.
 */
bool admit_alloc_report_due(const struct admit_allocator *b, int64_t asked_us,
			    int64_t now_us)
{
	int64_t end_us = b->prev_expiry_us + ADMIT_REPORT_LAG_US;

	if (b->state == ADMIT_INACTIVE)
		return false;
	if (b->state == ADMIT_EXPIRING && now_us >= end_us && asked_us < end_us)
		return true;
	return !asked_us || now_us - asked_us >= ADMIT_REPORT_INTERVAL_US;
}

/*
 * Takes the mean time between tokens of a run. Over the target the limit falls
 * by a fifth, five times a second at most; under it, and with the limit in full
 * use, it rises by one, once a second at most.
 */
void admit_alloc_observe_gap(struct admit_allocator *b, uint32_t gap_us,
			     uint32_t target_us, int64_t now_us)
{
	uint32_t used = b->grant_n + b->untracked_slots;

	if (gap_us > target_us) {
		if (now_us - b->limit_changed_us < LIMIT_FALL_US)
			return;
		b->limit_changed_us = now_us;
		b->limit = min_u32(b->limit, used ? used : 1);
		b->limit -= b->limit / 5;
		if (!b->limit)
			b->limit = 1;
		return;
	}
	if (used + 1 < b->limit || b->limit >= b->slots ||
	    now_us - b->limit_changed_us < LIMIT_RISE_US)
		return;
	b->limit_changed_us = now_us;
	b->limit++;
}
