#include "claim.h"

#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define HEX 16

static uint64_t number_of(const char *hex)
{
	char head[HEX + 1] = "";

	memcpy(head, hex, strnlen(hex, HEX));
	return strtoull(head, NULL, HEX);
}

/* Starts an index that has read nothing; it is large, so mind the stack. */
void claim_index_init(struct claim_index *ix)
{
	memset(ix, 0, sizeof(*ix));
	TAILQ_INIT(&ix->entries);
	ix->next_offset = 1;
}

static void drop(struct claim_index *ix, struct claim_entry *e)
{
	TAILQ_REMOVE(&ix->entries, e, by_offset);
	LIST_REMOVE(e, by_id);
	ix->entry_n--;
	free(e);
}

void claim_index_finish(struct claim_index *ix)
{
	while (!TAILQ_EMPTY(&ix->entries))
		drop(ix, TAILQ_FIRST(&ix->entries));
}

static struct claim_entry *find(const struct claim_index *ix, const char *id)
{
	struct claim_entry *e;

	LIST_FOREACH(e, &ix->bucket[number_of(id) % CLAIM_BUCKETS], by_id)
	if (strcmp(e->id, id) == 0)
		return e;
	return NULL;
}

static struct claim_entry *add(struct claim_index *ix,
			       const struct claim_record *r)
{
	struct claim_entry *e = calloc(1, sizeof(*e));

	if (!e)
		return NULL;
	memcpy(e->id, r->id, sizeof(e->id));
	LIST_INSERT_HEAD(&ix->bucket[number_of(r->id) % CLAIM_BUCKETS], e,
			 by_id);
	TAILQ_INSERT_TAIL(&ix->entries, e, by_offset);
	ix->entry_n++;
	return e;
}

static bool was_seen(const struct claim_entry *e, const char *nonce)
{
	uint64_t n = number_of(nonce);
	uint32_t i;

	for (i = 0; i < e->nonce_n; i++)
		if (e->nonces[i] == n)
			return true;
	return false;
}

/* Remembers a nonce; false if there is no room to. */
static bool see(struct claim_entry *e, const char *nonce)
{
	if (was_seen(e, nonce))
		return true;
	if (e->nonce_n == CLAIM_NONCES_MAX)
		return false;
	e->nonces[e->nonce_n++] = number_of(nonce);
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
 * Takes a claim. A nonce has one chance, at its first record: one that lost or
 * gave up never wins by a later copy, because its host no longer waits. Where no
 * more nonces can be remembered none wins any more.
 */
static void take_claim(struct claim_entry *e, const struct claim_record *r)
{
	bool is_free = !e->winner[0] || e->given_up;

	if (was_seen(e, r->nonce))
		return;
	if (see(e, r->nonce) && is_free)
		set_winner(e, r);
}

/* An outcome without its claim in sight outlived it in the log. */
static void take_outcome(struct claim_entry *e, const struct claim_record *r,
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

static void take_given_up(struct claim_entry *e, const struct claim_record *r)
{
	see(e, r->nonce);
	if (!e->winner[0])
		set_winner(e, r);
	if (strcmp(e->winner, r->nonce) == 0 && !e->has_outcome)
		e->given_up = true;
}

struct taking {
	struct claim_index *index;
	uint64_t offset;
	int error;
};

static void take_record(void *ctx, const struct claim_record *r)
{
	struct taking *t = ctx;
	struct claim_entry *e = find(t->index, r->id);

	if (!e)
		e = add(t->index, r);
	if (!e) {
		t->error = -ENOMEM;
		return;
	}
	e->last_offset = t->offset;
	TAILQ_REMOVE(&t->index->entries, e, by_offset);
	TAILQ_INSERT_TAIL(&t->index->entries, e, by_offset);
	switch (r->kind) {
	case CLAIM_RECORD_CLAIM:
		take_claim(e, r);
		return;
	case CLAIM_RECORD_OUTCOME:
		take_outcome(e, r, t->offset);
		return;
	case CLAIM_RECORD_GIVEN_UP:
		take_given_up(e, r);
		return;
	case CLAIM_RECORD_KINDS:
		break;
	}
	assert(!"a record kind");
}

/*
 * Takes the next record of the stream, in the order of the log; one that was
 * taken before is left alone. Returns 0, -EBADMSG if it is no batch, or -ENOMEM,
 * after which the index must be started again.
 */
int claim_index_apply(struct claim_index *ix, uint64_t offset, const char *text,
		      size_t n)
{
	struct taking t = {.index = ix, .offset = offset};
	int r;

	if (offset < ix->next_offset)
		return 0;
	ix->next_offset = offset + 1;
	r = claim_decode(text, n, take_record, &t);
	return t.error ? t.error : r;
}

/* Drops what the log no longer shows, once it was read up to next. */
void claim_index_advance(struct claim_index *ix, uint64_t first, uint64_t next)
{
	struct claim_entry *e;

	if (next > ix->next_offset)
		ix->next_offset = next;
	while ((e = TAILQ_FIRST(&ix->entries)) && e->last_offset < first)
		drop(ix, e);
}

static enum claim_verdict verdict_of(const struct claim_entry *e,
				     const char *nonce, const char *body_hash)
{
	if (e->given_up)
		return CLAIM_GIVEN_UP;
	if (strcmp(e->call_hash, body_hash))
		return CLAIM_MISMATCH;
	if (e->has_outcome)
		return e->status ? CLAIM_COMPLETED : CLAIM_IN_DOUBT;
	return strcmp(e->winner, nonce) ? CLAIM_LOST : CLAIM_WON;
}

/* Tells what the records taken so far say to the sending with a nonce. */
struct claim_view claim_index_lookup(const struct claim_index *ix,
				     const char *id, const char *nonce,
				     const char *body_hash)
{
	const struct claim_entry *e = find(ix, id);
	struct claim_view v = {.verdict = CLAIM_NOT_FOUND, .winner_host = ""};

	if (!e)
		return v;
	v.verdict = verdict_of(e, nonce, body_hash);
	v.nonce_seen = was_seen(e, nonce);
	v.status = e->status;
	v.outcome_offset = e->outcome_offset;
	v.winner_host = e->winner_host;
	return v;
}
