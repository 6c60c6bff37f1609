#include "serving.h"

#include <string.h>

/*
 * Chooses the endpoints of an attempt by pkg/plan, from this host's view, and
 * feeds the measured times and cached prefixes back.
 */

#define CANDIDATES_MAX 256 /* of one role; further ones are ignored */
#define BLOCKS_MAX 16	   /* blocks of a prompt that are looked up or added */

/* Candidates of one role, as indices of the endpoints on the board. */
struct candidates {
	uint32_t index[CANDIDATES_MAX];
	uint32_t n;
};

static bool is_candidate(const struct serving *s,
			 const struct admit_endpoint *e, enum config_role role)
{
	return e->role == role && e->in_service && !e->unavailable &&
	       strcmp(e->serves, s->request.model) == 0 &&
	       !request_excludes(&s->request, e->name);
}

static void collect(const struct serving *s, enum config_role role,
		    bool is_local, struct candidates *out)
{
	const struct admit *a = &s->daemon->board.admit;
	const struct admit_endpoint *e;
	uint32_t i;

	out->n = 0;
	for (i = 0; i < a->n && out->n < CANDIDATES_MAX; i++) {
		e = &a->endpoint[i];
		if (is_candidate(s, e, role) &&
		    (strcmp(e->domain, a->domain) == 0) == is_local)
			out->index[out->n++] = i;
	}
}

/*
 * Collects the candidates of this host's failure domain. Those of other domains
 * are used only if it has none.
 */
static void find_candidates(const struct serving *s, enum config_role role,
			    struct candidates *out)
{
	collect(s, role, true, out);
	if (!out->n)
		collect(s, role, false, out);
}

/*
 * Hashes the prompt up to the end of each of its first complete blocks. Returns
 * the number of hashes, at most BLOCKS_MAX.
 */
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

static struct plan_request request_of(const struct serving *s)
{
	const struct request *r = &s->request;
	struct plan_request req = {
		.prompt_tokens = r->prompt_tokens + r->sent_tokens,
		.first_token_deadline_us = r->first_token_deadline_us,
		.decode_step_us = s->daemon->settings.token_gap_ms * 1000,
		.ignore_deadline = r->attempt > 1};

	return req;
}

static void fill_prefills(const struct serving *s, const struct candidates *c,
			  struct plan_prefill_candidate *out)
{
	const struct admit *a = &s->daemon->board.admit;
	const struct plan_prefix_index *prefixes = &s->daemon->prefix_index;
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
			prefixes, e->name, hash, blocks);
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
 * Chooses the endpoints of the current attempt. If it has a decode grant, only
 * the prefill endpoint is chosen and decode_index has no meaning. The indices
 * are those of the endpoints on the board, valid until the next configuration.
 */
enum plan_outcome plan_control_choose(struct serving *s, struct plan_pair *out)
{
	struct daemon *d = s->daemon;
	struct plan_prefill_candidate prefill[CANDIDATES_MAX];
	struct plan_decode_candidate decode[CANDIDATES_MAX];
	struct plan_decode_candidate granted = {.slots = 1,
						.has_capacity = true};
	struct candidates p, q;
	struct plan_request req = request_of(s);
	bool has_decode = s->grant[SERVING_DECODE].endpoint[0] != '\0';
	enum plan_outcome o;

	find_candidates(s, CONFIG_ROLE_PREFILL, &p);
	find_candidates(s, CONFIG_ROLE_DECODE, &q);
	if (!p.n)
		return PLAN_WAIT;
	fill_prefills(s, &p, prefill);
	fill_decodes(s, &q, decode);
	o = plan_choose(&req, prefill, p.n, has_decode ? &granted : decode,
			has_decode ? 1 : q.n, daemon_now_us(d), out);
	if (o != PLAN_CHOSEN)
		return o;
	out->prefill_index = p.index[out->prefill_index];
	if (!has_decode)
		out->decode_index = q.index[out->decode_index];
	return o;
}

/* Records the time of a completed prefill and the prefix that is cached now. */
void plan_control_observe_prefill(struct serving *s)
{
	struct daemon *d = s->daemon;
	struct serving_grant *g = &s->grant[SERVING_PREFILL];
	struct admit_endpoint *e = admit_find(&d->board.admit, g->endpoint);
	int64_t now_us = daemon_now_us(d);
	uint64_t hash[BLOCKS_MAX];
	uint32_t n, i;

	if (!e)
		return;
	plan_estimator_observe_prefill(&e->estimator, g->queued_tokens,
				       now_us - g->started_us);
	g->prefilled_us = now_us;
	n = hash_blocks(s->prompt, hash);
	for (i = 0; i < n; i++)
		plan_prefix_index_add(&d->prefix_index, e->name, hash[i]);
}

/* Records the time of a completed transfer. */
void plan_control_observe_transfer(struct serving *s)
{
	struct serving_grant *g = &s->grant[SERVING_PREFILL];
	struct admit_endpoint *e =
		admit_find(&s->daemon->board.admit, g->endpoint);

	if (e && g->prefilled_us)
		plan_estimator_observe_transfer(
			&e->estimator, s->request.prompt_tokens,
			daemon_now_us(s->daemon) - g->prefilled_us);
}
