#include "claim.h"

#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define PREFIX_CHARS 16 /* 64 bits in hexadecimal */

/* Returns the first 64 bits of an id or nonce. */
static uint64_t hex_prefix(const char *hex)
{
	char prefix[PREFIX_CHARS + 1] = "";

	memcpy(prefix, hex, strnlen(hex, PREFIX_CHARS));
	return strtoull(prefix, NULL, 16);
}

void claim_index_init(struct claim_index *ix)
{
	memset(ix, 0, sizeof(*ix));
	TAILQ_INIT(&ix->entries);
	ix->next_offset = 1;
}

static void remove_entry(struct claim_index *ix, struct claim_entry *e)
{
	TAILQ_REMOVE(&ix->entries, e, by_offset);
	LIST_REMOVE(e, by_id);
	ix->entry_n--;
	free(e);
}

void claim_index_finish(struct claim_index *ix)
{
	while (!TAILQ_EMPTY(&ix->entries))
		remove_entry(ix, TAILQ_FIRST(&ix->entries));
}

static struct claim_entry *find_entry(const struct claim_index *ix,
				      const char *id)
{
	struct claim_entry *e;

	LIST_FOREACH(e, &ix->bucket[hex_prefix(id) % CLAIM_BUCKETS], by_id)
	if (strcmp(e->id, id) == 0)
		return e;
	return NULL;
}

static struct claim_entry *add_entry(struct claim_index *ix,
				     const struct claim_record *r)
{
	struct claim_entry *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	memcpy(e->id, r->id, sizeof(e->id));
	LIST_INSERT_HEAD(&ix->bucket[hex_prefix(r->id) % CLAIM_BUCKETS], e,
			 by_id);
	TAILQ_INSERT_TAIL(&ix->entries, e, by_offset);
	ix->entry_n++;
	return e;
}

static bool nonce_seen(const struct claim_entry *e, const char *nonce)
{
	uint64_t n = hex_prefix(nonce);
	uint32_t i;

	for (i = 0; i < e->nonce_n; i++)
		if (e->nonces[i] == n)
			return true;
	return false;
}

/* Records a nonce as seen. Returns false if the table is full. */
static bool add_nonce(struct claim_entry *e, const char *nonce)
{
	if (nonce_seen(e, nonce))
		return true;
	if (e->nonce_n == CLAIM_NONCES_MAX)
		return false;
	e->nonces[e->nonce_n++] = hex_prefix(nonce);
	return true;
}

static void set_winner(struct claim_entry *e, const struct claim_record *r)
{
	memcpy(e->winner, r->nonce, sizeof(e->winner));
	memcpy(e->call_hash, r->call_hash, sizeof(e->call_hash));
	memcpy(e->winner_host, r->host, sizeof(e->winner_host));
	e->given_up = false;
}

/*
 * A nonce can win only by its first record. The log may contain copies of a
 * claim, since a host repeats an append whose result is unknown. A copy after
 * the nonce lost or gave up must not win: its host does not wait for that any
 * more. Once the table of nonces is full, no other claim of the id wins.
 */
static void apply_claim(struct claim_entry *e, const struct claim_record *r)
{
	bool is_free = !e->winner[0] || e->given_up;

	if (nonce_seen(e, r->nonce))
		return;
	if (add_nonce(e, r->nonce) && is_free)
		set_winner(e, r);
}

/* An outcome without a winner is one whose claim has expired in the log. */
static void apply_outcome(struct claim_entry *e, const struct claim_record *r,
			  uint64_t offset)
{
	if (!e->winner[0])
		set_winner(e, r);
	if (e->has_outcome || strcmp(e->winner, r->nonce))
		return;
	e->has_outcome = true;
	e->status = r->status;
	e->outcome_offset = offset;
}

/* The record may precede its own claim, if that append was delayed. */
static void apply_given_up(struct claim_entry *e, const struct claim_record *r)
{
	add_nonce(e, r->nonce);
	if (!e->winner[0])
		set_winner(e, r);
	if (strcmp(e->winner, r->nonce) == 0 && !e->has_outcome)
		e->given_up = true;
}

struct apply_ctx {
	struct claim_index *index;
	uint64_t offset;
	int error;
};

static void apply_record(void *arg, const struct claim_record *r)
{
	struct apply_ctx *ctx = arg;
	struct claim_entry *e = find_entry(ctx->index, r->id);

	if (!e)
		e = add_entry(ctx->index, r);
	if (!e) {
		ctx->error = -ENOMEM;
		return;
	}
	e->last_offset = ctx->offset;
	TAILQ_REMOVE(&ctx->index->entries, e, by_offset);
	TAILQ_INSERT_TAIL(&ctx->index->entries, e, by_offset);
	switch (r->kind) {
	case CLAIM_RECORD_CLAIM:
		apply_claim(e, r);
		return;
	case CLAIM_RECORD_OUTCOME:
		apply_outcome(e, r, ctx->offset);
		return;
	case CLAIM_RECORD_GIVEN_UP:
		apply_given_up(e, r);
		return;
	case CLAIM_RECORD_KINDS:
		break;
	}
	assert(!"unknown record kind");
}

int claim_index_apply(struct claim_index *ix, uint64_t offset, const char *text,
		      size_t n)
{
	struct apply_ctx ctx = {.index = ix, .offset = offset};
	int r;

	if (offset < ix->next_offset)
		return 0;
	ix->next_offset = offset + 1;
	r = claim_decode(text, n, apply_record, &ctx);
	return ctx.error ? ctx.error : r;
}

void claim_index_advance(struct claim_index *ix, uint64_t first, uint64_t next)
{
	struct claim_entry *e;

	if (next > ix->next_offset)
		ix->next_offset = next;
	while ((e = TAILQ_FIRST(&ix->entries)) && e->last_offset < first)
		remove_entry(ix, e);
}

static enum claim_verdict verdict_of(const struct claim_entry *e,
				     const char *nonce, const char *call_hash)
{
	if (e->given_up)
		return CLAIM_GIVEN_UP;
	if (strcmp(e->call_hash, call_hash))
		return CLAIM_MISMATCH;
	if (e->has_outcome)
		return e->status ? CLAIM_COMPLETED : CLAIM_IN_DOUBT;
	return strcmp(e->winner, nonce) ? CLAIM_LOST : CLAIM_WON;
}

struct claim_view claim_index_lookup(const struct claim_index *ix,
				     const char *id, const char *nonce,
				     const char *call_hash)
{
	const struct claim_entry *e = find_entry(ix, id);
	struct claim_view v = {.verdict = CLAIM_NOT_FOUND, .winner_host = ""};

	if (!e)
		return v;
	v.verdict = verdict_of(e, nonce, call_hash);
	v.nonce_seen = nonce_seen(e, nonce);
	v.status = e->status;
	v.outcome_offset = e->outcome_offset;
	v.winner_host = e->winner_host;
	return v;
}
