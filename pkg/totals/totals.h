#ifndef FIGBEND_TOTALS_H
#define FIGBEND_TOTALS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Merges counters that other processes report as totals since their start, so
 * that lost, repeated, late and reordered reports neither count an amount twice
 * nor take one back.
 *
 * A source is a process; its reports are ordered by the time of its start and a
 * counter. Sources that report on the same hosts form a group, of which one
 * source at a time counts. If it falls silent another one takes over. All sources
 * are aligned with the group's total as long as the current one reports, so that
 * whoever takes over goes on from there and adds what only it knows. What it
 * learns later than its predecessor did is not added again. A total may fall by
 * refunds.
 */

/* A report's row: the total of one key, for example of an account. */
struct totals_row {
	uint64_t key;
	int64_t amount;
};

/* The keys in use. Zeroed memory is an empty set. */
struct totals_keys {
	uint64_t *key; /* by column, in order of first use; owned */
	uint32_t n;
	uint32_t capacity;
	uint32_t *sorted; /* columns in ascending order of their keys; owned */
};

#define TOTALS_KEYS_MAX 2048

struct totals_source {
	TAILQ_ENTRY(totals_source) entry;
	uint64_t id;
	uint64_t boot;
	uint64_t counter; /* of the last report */
	int64_t last_us;  /* time of the last report */
	/* By column. The group's total as this source knows it is the sum of
	 * what it reported and base. */
	int64_t *reported;
	int64_t *base;
	/* Part of base that the previous source had counted and this one has
	 * not reported yet. Its reports consume this first. */
	int64_t *missing;
	uint32_t capacity;
};

TAILQ_HEAD(totals_sources, totals_source);

struct totals_group {
	struct totals_sources sources;
	struct totals_source *current; /* the one that counts, or NULL */
	int64_t *total;		       /* by column */
	int64_t *counted;	       /* part of total that was passed on */
	uint32_t capacity;
};

/* Called with what a key's total has changed by. */
typedef void (*totals_fn)(void *ctx, uint64_t key, int64_t change);

struct totals_report {
	uint64_t source;
	uint64_t boot;
	uint64_t counter;
	/* The source started after this host did, so that all that it reports
	 * at first is new; otherwise its first report counts nothing. */
	bool young;
	const struct totals_row *row;
	uint32_t n;
};

void totals_keys_finish(struct totals_keys *k);
/* Returns the column of a key, added if need be; -ENOSPC or -ENOMEM. */
int totals_column(struct totals_keys *k, uint64_t key);

void totals_group_init(struct totals_group *g);
/* Forgets all sources; they are new when they report again. */
void totals_group_finish(struct totals_group *g);
/*
 * Applies a report, and passes the changes of the group's total to changed,
 * which may be NULL: then the total changes, but nothing is passed on. Older
 * reports than the source's last one are ignored. now_us is of a monotonic
 * clock. Returns 0, or -ENOMEM or -ENOSPC; a row without a column is left out.
 */
int totals_apply(struct totals_group *g, struct totals_keys *k,
		 const struct totals_report *report, int64_t now_us,
		 totals_fn changed, void *ctx);
/* Returns what was passed on of a column. */
int64_t totals_counted(const struct totals_group *g, uint32_t column);

#endif
