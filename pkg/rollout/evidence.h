#ifndef FIGBEND_ROLLOUT_EVIDENCE_H
#define FIGBEND_ROLLOUT_EVIDENCE_H

#include <stddef.h>

#include "rollout.h"

/* Private to the package: rows of evidence and how it is judged. */

#define ROLLOUT_PRESENT_SIDE 0
#define ROLLOUT_NEW_SIDE 1

enum evidence_verdict {
	EVIDENCE_NOTHING, /* against the new version */
	EVIDENCE_FAILURES,
	EVIDENCE_SLOW,
};

/* An order begins: counters of other hosts, snapshots and shares start anew. */
void evidence_start(struct rollout *r);
/* The order is replaced or deleted: its counters are kept for a repetition. */
void evidence_stop(struct rollout *r);
/* Returns the row of a name, which is added if need be. */
struct rollout_row *evidence_row(struct rollout *r, const char *name);
/* Takes a snapshot when it is time. */
void evidence_tick(struct rollout *r, int64_t now_us);
/*
 * Compares the sides since the order and over the last 3 s, by this host's own
 * evidence or by that of all. reason gets counts for the log if it is not NULL.
 */
enum evidence_verdict evidence_judge(const struct rollout *r, bool own,
				     int64_t now_us, char *reason,
				     size_t reason_bytes);
/* Returns true if the new version had enough answers to be relied on. */
bool evidence_enough(const struct rollout *r);
/* Returns the sums of all routes and hosts since the order, of one side. */
struct rollout_sums evidence_sum(const struct rollout *r, int side);

/* Returns the answers a second of a route, of both sides and all hosts, over the last
 * 3 s; 0 if the order is younger. */
double evidence_rate(const struct rollout *r, const struct rollout_row *row,
		     int64_t now_us);

/* Returns the answers of the new version on a route, of all hosts since the order. */
int64_t evidence_new_answers(const struct rollout *r,
			     const struct rollout_row *row);

/* Start of the accumulators, in [0, 1). Defined in share.c. */
double share_random(const struct rollout *r, const char *row);

#endif
