#include "serving.h"

#include <string.h>

#define CANDIDATES_MAX 256
#define BLOCKS_MAX 16

/* Endpoints of one role that may take a request, as indices of the board. */
struct candidates {
	uint32_t index[CANDIDATES_MAX];
	uint32_t n;
};

static bool may_serve(const struct serving *s, const struct admit_endpoint *e,
		      enum config_role role)
{
	return e->role == role && e->in_service && !e->unavailable &&
	       strcmp(e->serves, s->request.model) == 0 &&
	       !request_excludes(&s->request, e->name);
}

static void collect(const struct serving *s, enum config_role role, bool here,
		    struct candidates *out)
{
	const struct admit *a = &s->daemon->board.admit;
	const struct admit_endpoint *e;
	uint32_t i;

	out->n = 0;
	for (i = 0; i < a->n && out->n < CANDIDATES_MAX; i++) {
		e = &a->endpoint[i];
		if (may_serve(s, e, role) &&
		    (strcmp(e->domain, a->domain) == 0) == here)
			out->index[out->n++] = i;
	}
}

/*
 * Collects the endpoints of this host's failure domain, or those of others where
 * it has none in service.
 */
static void find_candidates(const struct serving *s, enum config_role role,
			    struct candidates *out)
{
	collect(s, role, true, out);
	if (!out->n)
		collect(s, role, false, out);
}

/* Hashes the prompt up to the end of each of its first blocks. */
static uint32_t hash_blocks(const char *prompt, uint64_t *hash)
{
	size_t n = strlen(prompt);
	uint32_t i;

	for (i = 0; i < BLOCKS_MAX; i++) {
		if ((i + 1) * (size_t)PLAN_PREFIX_BLOCK_BYTES > n)
			break;
		hash[i] = engine_prefix_hash(
			prompt, (i + 1) * (size_t)PLAN_PREFIX_BLOCK_BYTES);
	}
	return i;
}

static struct plan_request job_of(const struct serving *s)
{
	const struct request *r = &s->request;
	struct plan_request j = {
		.prompt_tokens = r->prompt_tokens + r->sent_tokens,
		.first_token_deadline_us = r->first_token_deadline_us,
		.decode_step_us = s->daemon->settings.token_gap_ms * 1000,
		.ignore_deadline = r->attempt > 1};

	return j;
}

static void fill_prefills(const struct serving *s, const struct candidates *c,
			  struct plan_prefill_candidate *out)
{
	const struct admit *a = &s->daemon->board.admit;
	const struct plan_prefix_index *known = &s->daemon->prefix_index;
	uint64_t hash[BLOCKS_MAX] = {0};
	uint32_t blocks = hash_blocks(s->prompt, hash);
	const struct admit_endpoint *e;
	uint32_t i;

	for (i = 0; i < c->n; i++) {
		e = &a->endpoint[c->index[i]];
		memset(&out[i], 0, sizeof(out[i]));
		out[i].estimator = &e->estimator;
		out[i].queued_tokens = e->queued_tokens;
		out[i].has_capacity = admit_has_capacity(e, s->pieces);
		out[i].affinity = plan_affinity(hash[0], e->name);
		out[i].cached_tokens = plan_prefix_index_cached_tokens(
			known, e->name, hash, blocks);
	}
}

static void fill_decodes(const struct serving *s, const struct candidates *c,
			 struct plan_decode_candidate *out)
{
	const struct admit *a = &s->daemon->board.admit;
	const struct admit_endpoint *e;
	uint32_t i;

	for (i = 0; i < c->n; i++) {
		e = &a->endpoint[c->index[i]];
		out[i].slots_used = e->slots_used;
		out[i].slots = e->slots;
		out[i].has_capacity = admit_has_capacity(e, s->pieces);
	}
}

/*
 * Chooses the endpoints of the attempt under way; where it holds a decode slot,
 * that one stays. The pair's indices are those of the board's endpoints.
 */
enum plan_outcome plan_control_choose(struct serving *s, struct plan_pair *out)
{
	struct daemon *d = s->daemon;
	struct plan_prefill_candidate prefill[CANDIDATES_MAX];
	struct plan_decode_candidate decode[CANDIDATES_MAX];
	struct plan_decode_candidate held = {.slots = 1, .has_capacity = true};
	struct candidates p, q;
	struct plan_request j = job_of(s);
	bool holds = s->grant[SERVING_DECODE].endpoint[0] != '\0';
	enum plan_outcome o;

	find_candidates(s, CONFIG_ROLE_PREFILL, &p);
	find_candidates(s, CONFIG_ROLE_DECODE, &q);
	if (!p.n)
		return PLAN_WAIT;
	fill_prefills(s, &p, prefill);
	fill_decodes(s, &q, decode);
	o = plan_choose(&j, prefill, p.n, holds ? &held : decode,
			holds ? 1 : q.n, daemon_now_us(d), out);
	if (o != PLAN_CHOSEN)
		return o;
	out->prefill_index = p.index[out->prefill_index];
	if (!holds)
		out->decode_index = q.index[out->decode_index];
	return o;
}

/* Learns from a prefill that ended: its endpoint's speed and cached prefix. */
void plan_control_observe_prefill(struct serving *s)
{
	struct daemon *d = s->daemon;
	struct serving_grant *h = &s->grant[SERVING_PREFILL];
	struct admit_endpoint *e = admit_find(&d->board.admit, h->endpoint);
	int64_t now_us = daemon_now_us(d);
	uint64_t hash[BLOCKS_MAX];
	uint32_t n, i;

	if (!e)
		return;
	plan_estimator_observe_prefill(&e->estimator, h->queued_tokens,
				       now_us - h->started_us);
	h->prefilled_us = now_us;
	n = hash_blocks(s->prompt, hash);
	for (i = 0; i < n; i++)
		plan_prefix_index_add(&d->prefix_index, e->name, hash[i]);
}

/* Learns from a transfer that ended. */
void plan_control_observe_transfer(struct serving *s)
{
	struct serving_grant *h = &s->grant[SERVING_PREFILL];
	struct admit_endpoint *e =
		admit_find(&s->daemon->board.admit, h->endpoint);

	if (e && h->prefilled_us)
		plan_estimator_observe_transfer(
			&e->estimator, s->request.prompt_tokens,
			daemon_now_us(s->daemon) - h->prefilled_us);
}
