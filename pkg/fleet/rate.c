#include "rate.h"

#include <math.h>
#include <stdlib.h>

#define COLD_WINDOW_US 1000000LL
/* Part of the rate that is used if hosts draw their requests at random: then a
 * window may have more of them than the average. */
#define COLD_SPREAD 0.6
/* An endpoint with a limit allows half more in a few seconds, and some requests. */
#define LIMIT_WINDOW_S 4
#define LIMIT_TOLERANCE 1.5
#define LIMIT_TOLERANCE_REQUESTS 5
/* How long a request that a share of less than one a second allows can be put off;
 * and for how long a larger share accumulates. */
#define LIMIT_HOLD_S 2.0
#define LIMIT_BURST_S 0.5
/*
 * How long a turn can be put off. After a pause all hosts whose turns began within
 * that time send at once; with 2 s and clocks that differ by up to 1 s the
 * tolerance of the limit was used up entirely.
 */
#define LIMIT_TURN_HOLD_S 1.5
/*
 * For this time after a change of its schedule a host uses every other turn. While
 * hosts are added the schedule changes several times per second, and turns come at
 * random instead of one after the other.
 */
#define UNSETTLED_US 1000000LL
/* Hosts that an endpoint told at the same time to keep away return at different
 * times, later by up to this part of the wait and this time. */
#define RETURN_SPREAD 0.25
#define RETURN_SPREAD_MAX_US 1000000.
/* Change of the time of day that counts as a step, and for how many calls of
 * fleet_set_rank() it has to last before turns follow it: one to three
 * minutes. */
#define CLOCK_STEP_US 250000LL
#define CLOCK_STEP_CALLS 300
/* Lowest limit of an endpoint that is kept: its answers tell when it ends. */
#define LIMIT_MIN_MILLI 100

double fleet_random(struct fleet *f)
{
	f->random = f->random * 6364136223846793005ULL + 1442695040888963407ULL;
	return (double)(f->random >> 40) / (double)(1 << 24);
}

/*
 * Returns how many requests this host may send to a cold endpoint in a window, so
 * that all hosts together stay within rate_per_s. A share of less than one
 * request is one request in some windows.
 */
static uint32_t draw_allowance(struct fleet *f, double rate_per_s)
{
	double share = rate_per_s / (f->hosts ? f->hosts : 1);
	double whole = floor(share);

	if (share < 1)
		share *= COLD_SPREAD;
	return (uint32_t)whole + (fleet_random(f) < share - whole);
}

/*
 * Returns true if the endpoint is warming up and this host has used its share of
 * the rate limit in the present one-second window.
 */
static bool cold_limit_reached(struct fleet *f, const struct fleet_query *q,
			       struct fleet_endpoint *e, int64_t now_us)
{
	struct fleet_rate *r = &e->cold_rate;

	if (now_us >= e->cold_until_us || q->cold_requests_per_s <= 0)
		return false;
	if (now_us - r->window_us >= COLD_WINDOW_US) {
		r->window_us = now_us;
		r->sent = 0;
		r->allowance = draw_allowance(f, q->cold_requests_per_s);
	}
	return r->sent >= r->allowance;
}

/*
 * A limit is shared in one of two ways.
 *
 * Few hosts share it by demand. A share accumulates: from one request on the next
 * one may be sent. What is not used for a while is lost, so that shares do not add
 * up meanwhile. The hosts do not coordinate, and their requests may come together:
 * the endpoint tolerates that if so many as each of them may send within a few
 * seconds are within its tolerance.
 *
 * Otherwise hosts take turns, by the time of day and their place among all hosts, so
 * that no two of them have the same one. A turn that is not used for a while is lost.
 */
static bool is_shared_by_demand(const struct fleet *f, double limit)
{
	double most = f->hosts * (1 + floor(limit / f->hosts * LIMIT_WINDOW_S));

	return most <= limit * LIMIT_WINDOW_S * LIMIT_TOLERANCE +
			       LIMIT_TOLERANCE_REQUESTS;
}

/* Returns true if this host has used its share by demand. */
static bool is_share_used(const struct fleet *f, struct fleet_limit *l,
			  double limit, int64_t now_us)
{
	double share = limit * f->limit_share;

	if (now_us > l->refilled_us)
		l->level += share * (double)(now_us - l->refilled_us) / 1e6;
	l->refilled_us = now_us;
	if (share < 1)
		l->level = fmod(l->level, 1 + share * LIMIT_HOLD_S);
	else if (l->level > 1 + share * LIMIT_BURST_S)
		l->level = 1 + share * LIMIT_BURST_S;
	return l->level < 1;
}

/* Returns true if this host has no turn at the endpoint now, or has used it. */
static bool is_turn_used(const struct fleet *f, struct fleet_endpoint *e,
			 double limit, int64_t now_us)
{
	double turns_per_s = limit / f->ranks;
	/* The turns of a host at different endpoints are spread over time. */
	double offset = (double)f->rank / f->ranks +
			(double)(e->start_key >> 40) / (1 << 24);
	double turn = (double)(now_us + f->wall_offset_us) / 1e6 * turns_per_s +
		      offset;
	double since_s;

	e->limit.turn = (int64_t)turn;
	/* A change of the schedule gives turns to other hosts: who had one just
	 * before and who has one just after would be too many together. */
	if (e->limit.schedule != f->schedule) {
		e->limit.schedule_us = e->limit.schedule ? f->schedule_us
							 : now_us;
		e->limit.schedule = f->schedule;
		since_s = (double)(now_us - e->limit.schedule_us) / 1e6;
		e->limit.used_turn = (int64_t)(turn - since_s * turns_per_s);
	}
	if (now_us - e->limit.schedule_us < UNSETTLED_US &&
	    (e->limit.turn + f->rank) % 2)
		return true;
	return e->limit.turn == e->limit.used_turn ||
	       turn - floor(turn) >=
		       (LIMIT_TURN_HOLD_S + 1 / limit) * turns_per_s;
}

/* Returns true if this host may not send to the endpoint because of its limit. */
static bool limit_reached(const struct fleet *f, struct fleet_endpoint *e,
			  int64_t now_us)
{
	double limit = e->limit.milli_per_s / 1000.;

	if (!e->limit.milli_per_s)
		return false;
	if (is_shared_by_demand(f, limit))
		return is_share_used(f, &e->limit, limit, now_us);
	return is_turn_used(f, e, limit, now_us);
}

bool fleet_rate_reached(struct fleet *f, const struct fleet_query *q,
			struct fleet_endpoint *e, int64_t now_us)
{
	return cold_limit_reached(f, q, e, now_us) ||
	       limit_reached(f, e, now_us);
}

void fleet_set_demand(struct fleet *f, uint32_t hosts, uint32_t waiting,
		      uint32_t all_waiting)
{
	f->hosts = hosts;
	if (all_waiting < waiting)
		all_waiting = waiting;
	f->limit_share = (1. + waiting) / ((double)hosts + all_waiting);
}

/*
 * Returns the offset by which turns go. A step of the clock is followed only after
 * it has lasted, since the clocks of other hosts did not step.
 */
static int64_t settle_clock(struct fleet *f, int64_t wall_offset_us,
			    int64_t now_us)
{
	if (!f->wall_offset_us ||
	    llabs(wall_offset_us - f->wall_offset_us) <= CLOCK_STEP_US) {
		f->clock_step_calls = 0;
		return wall_offset_us;
	}
	if (llabs(wall_offset_us - f->clock_step_us) > CLOCK_STEP_US)
		f->clock_step_calls = 0;
	f->clock_step_us = wall_offset_us;
	if (++f->clock_step_calls < CLOCK_STEP_CALLS)
		return f->wall_offset_us;
	f->schedule++;
	f->schedule_us = now_us;
	f->clock_step_calls = 0;
	return wall_offset_us;
}

void fleet_set_rank(struct fleet *f, uint32_t rank, uint32_t ranks,
		    int64_t wall_offset_us, int64_t now_us)
{
	if (rank != f->rank || ranks != f->ranks) {
		f->schedule++;
		f->schedule_us = now_us;
	}
	f->rank = rank;
	f->ranks = ranks;
	f->wall_offset_us = settle_clock(f, wall_offset_us, now_us);
}

/* A share begins anywhere below one request, so that the hosts' first ones do not
 * come at the same time. */
bool fleet_record_limit(struct fleet *f, struct fleet_endpoint *e,
			uint32_t limit_milli_per_s, int64_t at_us)
{
	struct fleet_limit *l = &e->limit;
	bool changed;

	if (at_us <= l->named_us || (!l->named_us && !limit_milli_per_s))
		return false;
	if (limit_milli_per_s && limit_milli_per_s < LIMIT_MIN_MILLI)
		limit_milli_per_s = LIMIT_MIN_MILLI;
	changed = l->milli_per_s != limit_milli_per_s;
	if (!l->milli_per_s && limit_milli_per_s) {
		l->level = fleet_random(f);
		l->refilled_us = at_us;
	}
	if (changed)
		l->schedule = 0;
	l->milli_per_s = limit_milli_per_s;
	l->named_us = at_us;
	return changed;
}

bool fleet_is_limited(const struct fleet_endpoint *e)
{
	return e->limit.milli_per_s != 0;
}

void fleet_record_unwanted(struct fleet *f, struct fleet_endpoint *e,
			   int64_t for_us, int64_t now_us)
{
	double spread_us = RETURN_SPREAD * (double)for_us;

	if (spread_us > RETURN_SPREAD_MAX_US)
		spread_us = RETURN_SPREAD_MAX_US;
	for_us += (int64_t)(spread_us * fleet_random(f));
	if (now_us + for_us > e->unwanted_until_us)
		e->unwanted_until_us = now_us + for_us;
}

bool fleet_is_unwanted(const struct fleet_endpoint *e, int64_t now_us)
{
	return now_us < e->unwanted_until_us;
}
