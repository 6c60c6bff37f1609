#ifndef FIGBEND_RECORD_H
#define FIGBEND_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * A compacted copy of a stream of the store: the newest record of each key.
 * Records may arrive repeatedly and out of order, from the store or from
 * another host; of two records of a key the one with the higher position is
 * newer. A deleted key keeps its position, so that an older record does not
 * restore it.
 *
 * A snapshot of the store lacks the keys that were deleted before its end. Whoever
 * has started from it knows all changes since then, but not which keys existed
 * before: it can tell another host that was further behind what exists, as a
 * snapshot of its own, but not what changed.
 *
 * The store may come back from an older copy. It then gives out offsets again
 * that it gave to records which are lost, in a new era. A position is the era
 * and the offset in it, so that positions never go back.
 */

#define RECORD_KEY_BYTES 256
#define RECORD_UNPACKED_MAX_BYTES 8388608
#define RECORD_OFFSET_BITS 40
#define RECORD_OFFSET_MAX ((1ULL << RECORD_OFFSET_BITS) - 1)

static inline uint64_t record_position(uint32_t era, uint64_t offset)
{
	return (uint64_t)era << RECORD_OFFSET_BITS |
	       (offset < RECORD_OFFSET_MAX ? offset : RECORD_OFFSET_MAX);
}

static inline uint32_t record_era(uint64_t position)
{
	return (uint32_t)(position >> RECORD_OFFSET_BITS);
}

static inline uint64_t record_offset(uint64_t position)
{
	return position & RECORD_OFFSET_MAX;
}

/* From whom a snapshot is read; one of each may be in progress. */
enum records_source {
	RECORDS_STORE,
	RECORDS_HOST,
	RECORDS_SOURCES,
};

struct record {
	char key[RECORD_KEY_BYTES];
	char *value; /* owned; NULL if the key was deleted */
	size_t value_bytes;
	uint64_t position;
	bool in_snapshot[RECORDS_SOURCES]; /* that is being read */
	/* Not put into effect before this time, since what is known by other means
	 * is newer; 0 if it is in effect. */
	int64_t held_until_us;
	/* The value compressed, once it was asked for; owned. */
	char *packed;
	size_t packed_bytes;
};

/*
 * Called with a record, whose value has n bytes, or is NULL if the key was
 * deleted. key and value are borrowed for the call.
 */
typedef void (*record_fn)(void *ctx, const char *key, const char *value,
			  size_t n, uint64_t position);

/* Zeroed memory is an empty set of records. */
struct records {
	struct record *row;
	uint32_t n;
	uint32_t capacity;
	uint64_t next_position; /* all records before it have been received */
	/* All changes from it on are among the records, deletions included. */
	uint64_t complete_from;
};

/* Frees all records; r is empty afterwards. */
void records_finish(struct records *r);
/*
 * Stores a copy of a record if it is newer than the one of its key; value is
 * NULL if the key was deleted. Returns 1 if the record is newer, 0 if it is not
 * or deletes an unknown key, or -ENOMEM, also for a key of RECORD_KEY_BYTES or
 * more.
 */
int records_put(struct records *r, const char *key, const char *value, size_t n,
		uint64_t position);
/*
 * Moves the record of a key to a later position and keeps its value, which is
 * newer than that of the record there.
 */
void records_keep(struct records *r, const char *key, uint64_t position);
/* Marks the record of a key as held, until a time or the next one of its key. */
void records_hold(struct records *r, const char *key, int64_t until_us);
/*
 * Returns the record of a key, also of a deleted one, or NULL. It is valid
 * until the next call that changes r.
 */
const struct record *records_find(const struct records *r, const char *key);
/*
 * Returns the compressed value (zlib) of the record in row i and sets *n to its
 * bytes. It is made once and kept until the value changes. NULL if the value is
 * small, does not become smaller, or memory is exhausted.
 */
const char *records_pack(struct records *r, uint32_t i, size_t *n);
/*
 * Returns a value of value_bytes bytes from its compressed form of n bytes, in
 * memory that the caller frees, followed by a 0; NULL if it is malformed, larger
 * than RECORD_UNPACKED_MAX_BYTES, or memory is exhausted.
 */
char *record_unpack(const char *packed, size_t n, size_t value_bytes);
/*
 * A snapshot begins, has a key, and ends at the position end. records_snapshot_end()
 * deletes the keys that the snapshot lacks, unless their record is at or after end
 * or of another era, and calls deleted for each. All records before end have then
 * been received.
 */
void records_snapshot_start(struct records *r, enum records_source from);
void records_snapshot_has(struct records *r, enum records_source from,
			  const char *key);
void records_snapshot_end(struct records *r, enum records_source from,
			  uint64_t end, record_fn deleted, void *ctx);
/*
 * Deletes the keys whose records are of an earlier era than next_position and
 * calls deleted for each: nobody wrote them again. The records keep their
 * positions, so that any record of the present era is newer.
 */
void records_settle(struct records *r, record_fn deleted, void *ctx);

/* State that shows whether this reader of a stream lags behind others. */
struct records_lag {
	uint64_t own_position;	 /* next_position of this reader, last update */
	uint64_t max_position;	 /* highest offset of another reader */
	int64_t behind_since_us; /* start of the lag; 0 if there is none */
};

/*
 * Called with the next_position of this reader and that of another one. Returns
 * true if this reader has been behind for max_lag_us without any progress, and
 * then again after each further max_lag_us. All times are in microseconds of
 * one monotonic clock.
 */
bool records_lag_update(struct records_lag *l, uint64_t own_position,
			uint64_t peer_position, int64_t max_lag_us,
			int64_t now_us);

#endif
