#ifndef FIGBEND_RECORD_H
#define FIGBEND_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The newest record of each key of a stream of the store, as a host follows it.
 * Records may come late and twice, from the store or from another host; the
 * offset in the stream says which is newer.
 */

#define RECORD_KEY_BYTES 256

struct record {
	char key[RECORD_KEY_BYTES];
	char *value; /* NULL: the key is gone */
	size_t value_bytes;
	uint64_t offset;
	bool in_snapshot; /* in the snapshot that is being read */
};

/* Takes a record; value is NULL where the key is gone. */
typedef void (*record_fn)(void *ctx, const char *key, const char *value,
			  size_t n, uint64_t offset);

struct records {
	struct record *row;
	uint32_t n;
	uint32_t capacity;
	uint64_t next_offset; /* all records before this offset are in */
};

void records_finish(struct records *r);
/* Returns 1 if the record is newer than what was held, 0, or -ENOMEM. */
int records_put(struct records *r, const char *key, const char *value, size_t n,
		uint64_t offset);
const struct record *records_find(const struct records *r, const char *key);
/* Around a snapshot: keys that it lacks are gone. */
void records_snapshot_start(struct records *r);
void records_snapshot_end(struct records *r, uint64_t end, record_fn gone,
			  void *ctx);

/* Whether other readers of a stream are ahead of this one. */
struct records_lag {
	uint64_t own_offset; /* how far this reader was when it last looked */
	uint64_t max_offset; /* how far the one that is furthest is */
	int64_t behind_since_us; /* since when this one lacks that; 0: it does not */
};

/*
 * Takes in how far another reader is. Returns true if it has had for patience_us
 * what this one lacks; again each patience_us.
 */
bool records_lag_update(struct records_lag *l, uint64_t held, uint64_t theirs,
			int64_t patience_us, int64_t now_us);

#endif
