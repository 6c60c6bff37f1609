#include "gateway.h"

#include "logline.h"

/*
 * The age of what this host knows of the store's streams, as pkg/freshness bounds it:
 * by its own reads (store_reader.c) and by what other hosts tell.
 */

_Static_assert(FRESHNESS_STREAMS == FIG_TOPICS,
	       "messages tell the age of each bounded stream");

/* Lets the passive readers of this host read the store. */
static void turn_to_store(struct gateway *g)
{
	int t;

	logline(LOG_NOTICE, "records_old", "age_ms=%lld max_ms=%lld",
		(long long)freshness_age_us(&g->freshness, gateway_now_us(g)) /
			1000,
		(long long)g->freshness.stale_us / 1000);
	stats_add(&g->stats, STATS_RECORDS_OLD, 1);
	/* A connection that has been idle may be dead. */
	h1_client_close_idle(&g->store);
	for (t = 0; t < ADAPTER_TOPICS; t++) {
		struct store_reader *sr = &g->reader[t];

		if (sr->passive && !sr->failures)
			store_reader_look(sr);
	}
}

/*
 * See gateway.h. A read that was sent again, or follows a failed one, may only be
 * slow: it is not canceled.
 */
void records_age_check(struct gateway *g)
{
	int64_t now_us = gateway_now_us(g);
	uint32_t rank = heartbeat_reader_rank(g);
	bool read = g->freshness.reads;
	int t;

	stats_observe(&g->stats, STATS_RECORDS_AGE_S,
		      freshness_age_us(&g->freshness, now_us));
	if (freshness_step(&g->freshness, gateway_random_fraction(g), now_us) &&
	    !read)
		turn_to_store(g);
	for (t = 0; t < FRESHNESS_STREAMS; t++) {
		struct store_reader *sr = &g->reader[t];

		if (sr->exchange.conn && !sr->in_snapshot && !sr->reissued &&
		    !sr->failures && !sr->poll_now &&
		    freshness_is_overdue(&g->freshness, t, rank, now_us))
			store_reader_reissue(sr);
	}
}

/* See gateway.h. Records after those that this host holds may be missing. */
void records_age_told(struct gateway *g, const struct relay_host *h)
{
	int t;

	for (t = 0; t < FRESHNESS_STREAMS; t++)
		if (h->as_of_us[t] &&
		    h->next_position[t] <= g->records[t].next_position)
			freshness_set_told(&g->freshness, t, h->as_of_us[t]);
}
