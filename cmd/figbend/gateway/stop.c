#include "req.h"

/*
 * Which requests still fit into a planned stop of this host; pkg/drain decides.
 */

/* Events of a stream with so many output tokens. */
static double events_of(const struct req *r, uint32_t tokens)
{
	uint32_t per_event = r->service->engine.tokens_per_event;

	return (double)tokens / (per_event ? per_event : 1);
}

static struct drain_stream stream_of(const struct req *r)
{
	const struct call_prompt *p = &r->call.prompt;

	return (struct drain_stream){
		.expected_events = events_of(
			r, p->output_expected_tokens ? p->output_expected_tokens
						     : p->output_max_tokens),
		.max_events = events_of(r, p->output_max_tokens),
		.repeatable = req_may_execute_again(r),
	};
}

static struct drain_call call_of(const struct req *r, int64_t now_us)
{
	return (struct drain_call){
		.longest_us = r->deadline_us - now_us,
		.target_us = r->route->target_latency_ms * 1000LL,
		.repeatable = req_may_execute_again(r),
	};
}

bool stop_accepts(const struct req *r)
{
	const struct drain *d = &r->g->drain;
	struct drain_stream s = stream_of(r);
	struct drain_call c = call_of(r, r->received_us);

	if (r->route->kind == CALL_STREAM)
		return drain_accepts_stream(d, &s, r->received_us);
	return drain_accepts_call(d, &c, r->received_us);
}

bool stop_leaves_time(const struct req *r)
{
	const struct drain *d = &r->g->drain;
	int64_t now_us = gateway_now_us(r->g);
	struct drain_stream s = stream_of(r);
	struct drain_call c = call_of(r, now_us);

	if (r->route->kind == CALL_STREAM)
		return drain_fits_stream(d, &s, now_us);
	return drain_fits_call(d, &c, now_us);
}
