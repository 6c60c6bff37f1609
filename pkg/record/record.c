#include "record.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <zlib.h>

/* Smaller values are not worth the time to compress them. */
#define PACK_MIN_BYTES 4096
/* Nearly as small as the default level, in half of the time. */
#define PACK_LEVEL 3

/* Replaces the value, which is NULL if the key was deleted; takes it over. */
static void set_value(struct record *row, char *value, size_t n)
{
	free(row->value);
	free(row->packed);
	row->value = value;
	row->value_bytes = n;
	row->packed = NULL;
	row->packed_bytes = 0;
	row->held_until_us = 0;
}

void records_finish(struct records *r)
{
	uint32_t i;

	for (i = 0; i < r->n; i++)
		set_value(&r->row[i], NULL, 0);
	free(r->row);
	memset(r, 0, sizeof(*r));
}

static struct record *find(const struct records *r, const char *key)
{
	uint32_t i;

	for (i = 0; i < r->n; i++)
		if (strcmp(r->row[i].key, key) == 0)
			return &r->row[i];
	return NULL;
}

const struct record *records_find(const struct records *r, const char *key)
{
	return find(r, key);
}

/* Returns NULL if memory is short or the key is too long. */
static struct record *add(struct records *r, const char *key)
{
	uint32_t capacity = r->capacity ? 2 * r->capacity : 16;
	struct record *row;

	if (strlen(key) >= RECORD_KEY_BYTES)
		return NULL;
	if (r->n == r->capacity) {
		row = realloc(r->row, capacity * sizeof(*row));
		if (!row)
			return NULL;
		r->row = row;
		r->capacity = capacity;
	}
	row = &r->row[r->n++];
	memset(row, 0, sizeof(*row));
	memcpy(row->key, key, strlen(key) + 1);
	return row;
}

int records_put(struct records *r, const char *key, const char *value, size_t n,
		uint64_t position)
{
	struct record *row = find(r, key);
	bool known = row != NULL;
	char *copy = NULL;

	if (row && position <= row->position)
		return 0;
	if (value) {
		copy = malloc(n + 1);
		if (!copy)
			return -ENOMEM;
		memcpy(copy, value, n);
		copy[n] = '\0';
	}
	if (!row)
		row = add(r, key);
	if (!row) {
		free(copy);
		return -ENOMEM;
	}
	set_value(row, copy, copy ? n : 0);
	row->position = position;
	return known || copy ? 1 : 0;
}

void records_keep(struct records *r, const char *key, uint64_t position)
{
	struct record *row = find(r, key);

	if (row && position > row->position)
		row->position = position;
}

void records_hold(struct records *r, const char *key, int64_t until_us)
{
	struct record *row = find(r, key);

	if (row)
		row->held_until_us = until_us;
}

const char *records_pack(struct records *r, uint32_t i, size_t *n)
{
	struct record *row = &r->row[i];
	uLongf packed_bytes = compressBound(row->value_bytes);
	char *packed, *shrunk;

	*n = row->packed_bytes;
	if (row->packed || row->value_bytes < PACK_MIN_BYTES)
		return row->packed;
	packed = malloc(packed_bytes);
	if (!packed)
		return NULL;
	if (compress2((Bytef *)packed, &packed_bytes, (Bytef *)row->value,
		      row->value_bytes, PACK_LEVEL) != Z_OK ||
	    packed_bytes >= row->value_bytes) {
		free(packed);
		return NULL;
	}
	/* The bound is larger than the value. */
	shrunk = realloc(packed, packed_bytes);
	row->packed = shrunk ? shrunk : packed;
	row->packed_bytes = packed_bytes;
	*n = packed_bytes;
	return row->packed;
}

char *record_unpack(const char *packed, size_t n, size_t value_bytes)
{
	uLongf unpacked_bytes = value_bytes;
	char *value;

	if (value_bytes > RECORD_UNPACKED_MAX_BYTES)
		return NULL;
	value = malloc(value_bytes + 1);
	if (!value)
		return NULL;
	if (uncompress((Bytef *)value, &unpacked_bytes, (const Bytef *)packed,
		       n) != Z_OK ||
	    unpacked_bytes != value_bytes) {
		free(value);
		return NULL;
	}
	value[value_bytes] = '\0';
	return value;
}

void records_snapshot_start(struct records *r, enum records_source from)
{
	uint32_t i;

	for (i = 0; i < r->n; i++)
		r->row[i].in_snapshot[from] = false;
}

void records_snapshot_has(struct records *r, enum records_source from,
			  const char *key)
{
	struct record *row = find(r, key);

	if (row)
		row->in_snapshot[from] = true;
}

void records_snapshot_end(struct records *r, enum records_source from,
			  uint64_t end, record_fn deleted, void *ctx)
{
	struct record *row;
	uint32_t i;

	for (i = 0; i < r->n; i++) {
		row = &r->row[i];
		if (row->in_snapshot[from] || !row->value ||
		    row->position >= end ||
		    record_era(row->position) != record_era(end))
			continue;
		set_value(row, NULL, 0);
		/* Not end: a record there comes after the snapshot. */
		row->position = end - 1;
		deleted(ctx, row->key, NULL, 0, end - 1);
	}
	if (end <= r->next_position)
		return;
	r->next_position = end;
	r->complete_from = end;
}

void records_settle(struct records *r, record_fn deleted, void *ctx)
{
	struct record *row;
	uint32_t i;

	for (i = 0; i < r->n; i++) {
		row = &r->row[i];
		if (!row->value ||
		    record_era(row->position) >= record_era(r->next_position))
			continue;
		set_value(row, NULL, 0);
		deleted(ctx, row->key, NULL, 0, row->position);
	}
}

/*
 * A reader that is no further than this one does not end the lag behind the
 * others: only progress of this reader does.
 */
bool records_lag_update(struct records_lag *l, uint64_t own_position,
			uint64_t peer_position, int64_t max_lag_us,
			int64_t now_us)
{
	if (own_position != l->own_position)
		l->behind_since_us = 0;
	l->own_position = own_position;
	if (peer_position > l->max_position)
		l->max_position = peer_position;
	if (own_position >= l->max_position)
		l->behind_since_us = 0;
	if (peer_position <= own_position)
		return false;
	if (!l->behind_since_us)
		l->behind_since_us = now_us;
	if (now_us - l->behind_since_us < max_lag_us)
		return false;
	l->behind_since_us = now_us;
	return true;
}
