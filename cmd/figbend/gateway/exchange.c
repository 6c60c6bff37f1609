#include "req.h"

/*
 * The exchange of a request that its steps use one after the other, by the functions
 * for any exchange of it.
 */

/* See req.h. */
int req_send(struct req *r, struct fleet_endpoint *e, enum call_phase phase,
	     const struct h1_exchange_handlers *h)
{
	r->sent_us = gateway_now_us(r->g);
	r->answer_began = false;
	return req_send_on(r, &r->exchange, e, phase, h);
}

/* See req.h. */
enum req_answer req_read_answer(struct req *r, struct fleet_endpoint *e,
				const struct h1_head *h,
				struct call_response *out)
{
	enum req_answer answer = req_read_answer_on(r, &r->exchange, e, h, out);

	if (answer != REQ_ANSWER_OWN)
		return answer;
	r->status = h->status;
	r->not_executed = out->not_executed;
	return answer;
}
