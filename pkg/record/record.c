#include "record.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

void records_finish(struct records *r)
{
	uint32_t i;

	for (i = 0; i < r->n; i++)
		free(r->row[i].value);
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
		uint64_t offset)
{
	struct record *row = find(r, key);
	bool known = row != NULL;
	char *copy = NULL;

	if (row)
		row->in_snapshot = true;
	if (row && offset <= row->offset)
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
	row->in_snapshot = true;
	free(row->value);
	row->value = copy;
	row->value_bytes = copy ? n : 0;
	row->offset = offset;
	return known || copy ? 1 : 0;
}

void records_snapshot_start(struct records *r)
{
	uint32_t i;

	for (i = 0; i < r->n; i++)
		r->row[i].in_snapshot = false;
}

void records_snapshot_end(struct records *r, uint64_t end, record_fn deleted,
			  void *ctx)
{
	struct record *row;
	uint32_t i;

	for (i = 0; i < r->n; i++) {
		row = &r->row[i];
		if (row->in_snapshot || !row->value || row->offset >= end)
			continue;
		free(row->value);
		row->value = NULL;
		row->value_bytes = 0;
		row->offset = end;
		deleted(ctx, row->key, NULL, 0, end);
	}
	r->next_offset = end;
}

/*
 * A reader that is no further than this one does not end the lag behind the
 * others: only progress of this reader does.
 */
bool records_lag_update(struct records_lag *l, uint64_t own_offset,
			uint64_t peer_offset, int64_t max_lag_us,
			int64_t now_us)
{
	if (own_offset != l->own_offset)
		l->behind_since_us = 0;
	l->own_offset = own_offset;
	if (peer_offset > l->max_offset)
		l->max_offset = peer_offset;
	if (own_offset >= l->max_offset)
		l->behind_since_us = 0;
	if (peer_offset <= own_offset)
		return false;
	if (!l->behind_since_us)
		l->behind_since_us = now_us;
	if (now_us - l->behind_since_us < max_lag_us)
		return false;
	l->behind_since_us = now_us;
	return true;
}
