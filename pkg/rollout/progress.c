#include "evidence.h"

#include <string.h>

#include "record.h"

/* A host that started this recently takes the elapsed time from the store. */
#define YOUNG_US 5000000LL
/* Limit for an elapsed time that the store states for the canary: it rests on
 * wall clocks, one of which may have been stepped. */
#define STORE_ELAPSED_PART 0.65

static const char *const stage_name[] = {
	[ROLLOUT_NONE] = "none",
	[ROLLOUT_CANARY] = "canary",
	[ROLLOUT_SHIFT] = "shift",
	[ROLLOUT_COMPLETED] = "completed",
	[ROLLOUT_ROLLED_BACK] = "rolled_back",
};

#define STAGES (int)(sizeof(stage_name) / sizeof(stage_name[0]))

const char *rollout_stage_name(enum rollout_stage stage)
{
	return stage_name[stage];
}

int rollout_stage_of_name(const char *name)
{
	int i;

	for (i = 0; i < STAGES; i++)
		if (strcmp(stage_name[i], name) == 0)
			return i;
	return -1;
}

void rollout_init(struct rollout *r, const char *service,
		  const struct rollout_limits *limits, uint64_t seed,
		  int64_t now_us)
{
	memset(r, 0, sizeof(*r));
	strncpy(r->service, service, sizeof(r->service) - 1);
	r->limits = *limits;
	r->seed = seed;
	r->init_us = now_us;
}

void rollout_finish(struct rollout *r)
{
	memset(r, 0, sizeof(*r));
}

static bool is_final(enum rollout_stage stage)
{
	return stage == ROLLOUT_COMPLETED || stage == ROLLOUT_ROLLED_BACK;
}

/* Precedence among stages that hosts tell: completed is told by hosts that saw it in
 * the store, rolled_back also by those that only judge so. */
static int precedence(enum rollout_stage stage)
{
	switch (stage) {
	case ROLLOUT_CANARY:
		return 1;
	case ROLLOUT_SHIFT:
		return 2;
	case ROLLOUT_ROLLED_BACK:
		return 3;
	case ROLLOUT_COMPLETED:
		return 4;
	case ROLLOUT_NONE:
		break;
	}
	return 0;
}

static void enter(struct rollout *r, enum rollout_stage stage, int64_t now_us)
{
	r->stage = stage;
	if (stage == ROLLOUT_SHIFT)
		r->shift_us = now_us;
	if (stage == ROLLOUT_COMPLETED)
		r->suspect = false;
	if (stage == ROLLOUT_ROLLED_BACK)
		r->suspect = true;
}

/* The store has this stage, or had it a moment ago. */
static bool on_stored(struct rollout *r, enum rollout_stage stage,
		      int64_t now_us)
{
	bool changed = stage != r->stage;

	if (stage == ROLLOUT_SHIFT && r->stored != stage)
		r->shift_stored_us = now_us;
	r->stored = stage;
	if (is_final(stage)) {
		r->final = true;
		if (changed)
			enter(r, stage, now_us);
		return changed;
	}
	/* A store that lost records may be behind this host. */
	if (r->final || precedence(stage) <= precedence(r->stage))
		return false;
	enter(r, stage, now_us);
	return true;
}

/* Returns true if a progress belongs to the present order. */
static bool matches(const struct rollout *r, const struct rollout_progress *p)
{
	if (p->text_hash != r->order.text_hash)
		return false;
	if (p->position == r->order.position ||
	    p->position == r->first_position)
		return true;
	/* Positions of an older run of the same text. */
	if (p->position <= r->ended_position)
		return false;
	/* The operator repeats an order in a new era. */
	if (record_era(p->position) != record_era(r->order.position))
		return true;
	/* While an order runs, the same text again is the same order. */
	if (p->position > r->order.position)
		return !r->final;
	return p->position > r->first_position || !is_final(p->stage);
}

static void take_elapsed(struct rollout *r, const struct rollout_progress *p,
			 enum rollout_source from, int64_t age_us,
			 int64_t now_us)
{
	int64_t elapsed_us = p->elapsed_us + age_us, limit_us;

	if (from == ROLLOUT_FROM_STORE) {
		if (r->heard_elapsed || r->seen_us > r->init_us + YOUNG_US)
			return;
		limit_us = (int64_t)(STORE_ELAPSED_PART *
				     (double)r->order.duration_us);
		if (p->stage == ROLLOUT_CANARY && elapsed_us > limit_us)
			elapsed_us = limit_us;
	} else {
		r->heard_elapsed = true;
	}
	if (elapsed_us > now_us - r->ordered_us)
		r->ordered_us = now_us - elapsed_us;
}

static bool apply(struct rollout *r, const struct rollout_progress *p,
		  enum rollout_source from, int64_t age_us, int64_t now_us)
{
	if (p->stage == ROLLOUT_NONE || !matches(r, p))
		return false;
	take_elapsed(r, p, from, age_us, now_us);
	if (from == ROLLOUT_FROM_STORE)
		return on_stored(r, p->stage, now_us);
	if (r->final || precedence(p->stage) <= precedence(r->stage))
		return false;
	enter(r, p->stage, now_us);
	return true;
}

/* Forgets an order, so that what belongs to it does not apply to a later one. */
static void end_order(struct rollout *r)
{
	evidence_stop(r);
	r->replaced[r->n_replaced++ % ROLLOUT_REPLACED_MAX] =
		r->order.text_hash;
	if (r->order.position > r->ended_position)
		r->ended_position = r->order.position;
	r->stage = ROLLOUT_NONE;
	r->stored = ROLLOUT_NONE;
	r->wanted = ROLLOUT_NONE;
	r->write = ROLLOUT_NONE;
	r->suspect = false;
	r->final = false;
	r->announce = false;
	r->heard_elapsed = false;
	r->own_bad = false;
	r->own_bad_us = 0;
	r->bad_us = 0;
	r->others_us = 0;
	r->shift_us = 0;
	r->shift_stored_us = 0;
	r->idle_us = 0;
}

static void start_order(struct rollout *r, const struct rollout_order *order,
			int64_t now_us)
{
	const struct rollout_early *early;
	int i;

	r->order = *order;
	r->first_position = order->position;
	r->ordered_us = now_us;
	r->seen_us = now_us;
	r->stage = ROLLOUT_CANARY;
	evidence_start(r);
	/* What hosts say comes first: it does not rest on wall clocks. */
	for (i = ROLLOUT_FROM_HOST; i >= ROLLOUT_FROM_STORE; i--) {
		early = &r->early[i];
		if (early->present)
			apply(r, &early->progress, (enum rollout_source)i,
			      now_us - early->at_us, now_us);
	}
	memset(r->early, 0, sizeof(r->early));
}

/* Returns true if this is the text of an order that the present one replaced. */
static bool was_replaced(const struct rollout *r, uint64_t text_hash)
{
	int i;

	for (i = 0; i < ROLLOUT_REPLACED_MAX; i++)
		if (r->replaced[i] == text_hash)
			return true;
	return false;
}

/*
 * Returns true if this is the present order, and takes over its new position, or if it
 * is an older one that a store shows which came back from a copy: the operator writes
 * the present one again.
 */
static bool repeats(struct rollout *r, const struct rollout_order *order)
{
	bool new_era = record_era(order->position) >
		       record_era(r->order.position);

	if (r->stage == ROLLOUT_NONE)
		return false;
	if (order->position <= r->order.position)
		return true;
	if (order->text_hash != r->order.text_hash)
		return new_era && was_replaced(r, order->text_hash);
	if (r->final && !new_era)
		return false;
	r->order.position = order->position;
	if (new_era)
		rollout_on_store_restored(r);
	return true;
}

bool rollout_on_order(struct rollout *r, const struct rollout_order *order,
		      int64_t now_us)
{
	if (r->limits.share <= 0 || order->duration_us <= 0 || !order->to[0])
		return false;
	if (repeats(r, order))
		return false;
	if (r->stage != ROLLOUT_NONE)
		end_order(r);
	start_order(r, order, now_us);
	return true;
}

void rollout_on_order_deleted(struct rollout *r, int64_t now_us)
{
	(void)now_us;
	memset(r->early, 0, sizeof(r->early));
	if (r->stage != ROLLOUT_NONE && !r->final)
		end_order(r);
}

void rollout_on_store_restored(struct rollout *r)
{
	r->stored = ROLLOUT_NONE;
	r->wanted = ROLLOUT_NONE;
	r->write = ROLLOUT_NONE;
}

/* Keeps a progress until its order is known: the latest one. */
static void keep_early(struct rollout_early *e,
		       const struct rollout_progress *p, int64_t now_us)
{
	if (e->present &&
	    (p->position < e->progress.position ||
	     (p->position == e->progress.position &&
	      precedence(p->stage) < precedence(e->progress.stage))))
		return;
	e->present = true;
	e->progress = *p;
	e->at_us = now_us;
}

bool rollout_on_progress(struct rollout *r, const struct rollout_progress *p,
			 enum rollout_source from, int64_t now_us)
{
	/* Also while an older order is in force, whose successor may be on its
	 * way. */
	if (r->stage == ROLLOUT_NONE || p->position > r->order.position)
		keep_early(&r->early[from], p, now_us);
	if (r->stage == ROLLOUT_NONE)
		return false;
	return apply(r, p, from, 0, now_us);
}

bool rollout_get_progress(const struct rollout *r, struct rollout_progress *out,
			  int64_t now_us)
{
	if (r->stage == ROLLOUT_NONE)
		return false;
	out->position = r->order.position;
	out->text_hash = r->order.text_hash;
	out->stage = r->stage;
	out->elapsed_us = now_us - r->ordered_us;
	return true;
}

bool rollout_is_new(const struct rollout *r, const char *version)
{
	return r->stage != ROLLOUT_NONE && strcmp(r->order.to, version) == 0;
}

void rollout_on_written(struct rollout *r, enum rollout_stage stage,
			int64_t now_us)
{
	if (r->stage == ROLLOUT_NONE ||
	    r->write_text_hash != r->order.text_hash)
		return;
	if (on_stored(r, stage, now_us) || is_final(stage))
		r->announce = true;
}
