#include "req.h"

/*
 * The KV memory and the work that a request to a model engine is expected to need.
 */

/* Engines allocate memory in blocks, and a stream may end inside one. */
#define BLOCK_TOKENS 16
/* Share of a request's expected output that is counted as used memory. Streams
 * at an endpoint are at different positions, so they do not need the memory of
 * their whole output at once; a larger share would leave memory idle. */
#define COUNTED_OUTPUT_SHARE 0.45
/* A reservation also covers a share of the expected output, as an allowance for
 * the growth of the streams already at the endpoint. Reports of other hosts
 * account for that growth while they are recent, so the share rises linearly
 * with the heartbeat interval, from the fresh to the stale value. */
#define FRESH_INTERVAL_S 0.2
#define FRESH_OUTPUT_SHARE 0.35
#define STALE_INTERVAL_S 0.6
#define STALE_OUTPUT_SHARE 1.0
/* Half of the outputs are longer than the caller's estimate. */
#define EXPECTED_OUTPUT_FACTOR 1.3

/* Returns the expected output in tokens, at most the caller's limit. */
static double expected_output(const struct call_prompt *p)
{
	double expected = p->output_expected_tokens * EXPECTED_OUTPUT_FACTOR;

	if (expected > 0 && expected < p->output_max_tokens)
		return expected;
	return p->output_max_tokens;
}

/* A running stream has half of its output in memory on average. */
double pools_estimate_work(const struct req *r)
{
	double out = expected_output(&r->call.prompt);

	return (r->call.prompt.prompt_tokens + out / 2) * out;
}

/*
 * Returns the KV memory, in tokens, for the prompt and a share of the expected
 * output: the next larger multiple of BLOCK_TOKENS, at most the memory of one
 * endpoint.
 */
static uint32_t kv_demand_tokens(const struct req *r, double output_share)
{
	const struct call_prompt *p = &r->call.prompt;
	uint32_t capacity = r->service->engine.kv_capacity_tokens;
	uint32_t n;

	n = p->prompt_tokens + (uint32_t)(expected_output(p) * output_share);
	n = n / BLOCK_TOKENS * BLOCK_TOKENS + BLOCK_TOKENS;
	return capacity && n > capacity ? capacity : n;
}

/* Returns the share of the expected output that a reservation covers. */
static double reserved_output_share(const struct gateway *g)
{
	double staleness = (heartbeat_interval_s(g) - FRESH_INTERVAL_S) /
			   (STALE_INTERVAL_S - FRESH_INTERVAL_S);

	if (staleness < 0)
		staleness = 0;
	if (staleness > 1)
		staleness = 1;
	return FRESH_OUTPUT_SHARE +
	       (STALE_OUTPUT_SHARE - FRESH_OUTPUT_SHARE) * staleness;
}

uint32_t pools_counted_tokens(const struct req *r)
{
	return kv_demand_tokens(r, COUNTED_OUTPUT_SHARE);
}

uint32_t pools_reserved_tokens(const struct req *r)
{
	return kv_demand_tokens(r, reserved_output_share(r->g));
}
