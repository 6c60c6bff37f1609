#ifndef FIGBEND_STATS_H
#define FIGBEND_STATS_H

#include <stddef.h>
#include <stdint.h>

/*
 * Counters and latency histograms of a host that runs with --pools, in the
 * Prometheus text format. All hosts use the same buckets, so histograms can be
 * summed over hosts. Rows are X(ID, name, help): the enumerator is STATS_<ID>,
 * and name and help are printed.
 */

/* Printed as figbend_<name>_total. */
#define STATS_COUNTERS(X)                                                      \
	X(REQUESTS, "requests", "requests read from callers")                  \
	X(REJECTED, "rejected", "requests that could not be read")             \
	X(ANSWERED, "answered", "endpoints' answers handed on whole")          \
	X(REFUSED_LIMIT, "refused_limit",                                      \
	  "requests over their account's limit")                               \
	X(REFUSED_FULL, "refused_full", "requests that found no room in time") \
	X(REFUSED_BLOCKED, "refused_held", "requests that crash endpoints")    \
	X(REFUSED_UNKNOWN, "refused_unknown",                                  \
	  "requests with an unknown route or key")                             \
	X(FAILED, "failed_sent", "requests that failed after they were sent")  \
	X(STREAMS_CUT, "streams_cut", "streams that broke off")                \
	X(DISCONNECTED, "callers_gone",                                        \
	  "callers that left before their answer")                             \
	X(SENDS, "sends", "requests sent to endpoints")                        \
	X(RETRIES, "sends_again", "sends after the first of a request")        \
	X(RETRIES_DENIED, "sends_denied",                                      \
	  "second sends that the budget did not allow")                        \
	X(PREFILLS, "prefills", "prompts read at a prefill endpoint")          \
	X(PREFILLS_WASTED, "prefills_lost",                                    \
	  "prefills that failed or were not taken over")                       \
	X(WASTED_NO_MEMORY, "wasted_tokens_no_memory",                         \
	  "prompt tokens read in vain: no decode memory after the prefill")    \
	X(WASTED_PREFILL, "wasted_tokens_prefill_late",                        \
	  "prompt tokens read in vain: the prefill took too long")             \
	X(WASTED_IMPORT, "wasted_tokens_not_taken",                            \
	  "prompt tokens read in vain: result expired or not taken over")      \
	X(WASTED_NO_EVENT, "wasted_tokens_silent",                             \
	  "prompt tokens read in vain: no event within the time-out")          \
	X(WASTED_ENDPOINT, "wasted_tokens_endpoint",                           \
	  "prompt tokens read in vain: endpoint lost, or stream evicted")      \
	X(WASTED_CALLER_GONE, "wasted_tokens_caller_gone",                     \
	  "prompt tokens read in vain: the caller left")                       \
	X(WASTED_DEADLINE, "wasted_tokens_deadline",                           \
	  "prompt tokens read in vain: the deadline passed")                   \
	X(WASTED_STOPPED, "wasted_tokens_stopped",                             \
	  "prompt tokens read in vain: this host stopped")                     \
	X(RESERVATIONS, "holds", "reservations of memory that were given")     \
	X(RESERVATIONS_DENIED, "holds_denied",                                 \
	  "reservations that found no room")                                   \
	X(RESUMED, "resumed", "streams that went on at another endpoint")      \
	X(RESPONSES_MISMATCHED, "answers_foreign",                             \
	  "answers of another request, skipped")                               \
	X(ENDPOINTS_LEAVING, "endpoints_leaving",                              \
	  "endpoints that said in an answer that they leave")                  \
	X(ENDPOINTS_UNWANTED, "endpoints_unwanted",                            \
	  "answers 503 that asked this host to keep away for a time")          \
	X(CRASH_SUSPECTS, "crash_suspects",                                    \
	  "connections that broke before the answer had begun")                \
	X(HEDGES, "hedges", "second attempts sent beside a first one")         \
	X(HEDGES_WON, "hedges_won", "second attempts that answered first")     \
	X(HEDGE_LOSER_MS, "hedge_loser_ms",                                    \
	  "milliseconds that attempts ran which lost to the other one")        \
	X(HEDGES_DENIED_FEW_ANSWERS, "hedges_denied_few_answers",              \
	  "calls without a hedge: too few answers seen")                       \
	X(HEDGES_DENIED_ATTEMPTS, "hedges_denied_attempts",                    \
	  "calls without a hedge: no attempt left")                            \
	X(HEDGES_DENIED_DEADLINE, "hedges_denied_deadline",                    \
	  "calls without a hedge: near the deadline, or the host stops")       \
	X(HEDGES_DENIED_FULL, "hedges_denied_full",                            \
	  "calls without a hedge: the service is full")                        \
	X(HEDGES_DENIED_LIMITED, "hedges_denied_limited",                      \
	  "calls without a hedge: an endpoint names a limit or wants nothing") \
	X(HEDGES_DENIED_NO_ENDPOINT, "hedges_denied_no_endpoint",              \
	  "calls without a hedge: no other endpoint is sound")                 \
	X(HEDGES_DENIED_BUDGET, "hedges_denied_budget",                        \
	  "calls without a hedge: the retry budget is used")                   \
	X(HEDGES_DENIED_ALL_SLOW, "hedges_denied_all_slow",                    \
	  "calls without a hedge: many at once were slow")                     \
	X(HEDGES_DENIED_SHARE, "hedges_denied_share",                          \
	  "calls without a hedge: the share is used")                          \
	X(ROLLOUT_SENDS, "rollout_sends",                                      \
	  "requests sent to the new version of a rollout")                     \
	X(ROLLOUT_BAD, "rollout_bad_answers",                                  \
	  "bad answers of the new version of a rollout")                       \
	X(ROLLOUTS_COMPLETED, "rollouts_completed",                            \
	  "rollouts that this host wrote as completed")                        \
	X(ROLLOUTS_ROLLED_BACK, "rollouts_rolled_back",                        \
	  "rollouts that this host wrote as rolled back")                      \
	X(STORE_CALLS, "store_calls", "calls to the store")                    \
	X(STORE_FAILURES, "store_failures", "calls to the store that failed")  \
	X(RECORDS_OLD, "records_old",                                          \
	  "turns to the store as what other hosts told was old")               \
	X(CONNECTS, "connects", "connections opened to endpoints")             \
	X(PEER_MESSAGES, "peer_messages", "messages from other hosts")         \
	X(PEER_BYTES, "peer_bytes", "bytes exchanged with other hosts")        \
	X(FETCHES_REFUSED, "fetches_refused",                                  \
	  "fetches of records that were directed to other hosts")              \
	X(LOG_LINES_DROPPED, "log_lines_dropped", "log lines left out")

enum stats_counter {
#define STATS_ENUM(id, name, help) STATS_##id,
	STATS_COUNTERS(STATS_ENUM)
#undef STATS_ENUM
		STATS_COUNTER_COUNT,
};

/* Observed in microseconds, printed in seconds as figbend_<name>_seconds. */
#define STATS_HISTOGRAMS(X)                                                    \
	X(RESPONSE_S, "answer", "time until a whole answer, streams left out") \
	X(FIRST_EVENT_S, "first_event",                                        \
	  "time until the first event of a stream")                            \
	X(EVENT_GAP_S, "event_gap",                                            \
	  "longest pause between events of a stream")                          \
	X(WAIT_S, "wait", "time that a request waited for room")               \
	X(PREFILL_S, "prefill", "time that a prefill took")                    \
	X(RECORDS_AGE_S, "records_age",                                        \
	  "age of what is known of the store's streams")                       \
	X(KNOWLEDGE_AGE_S, "knowledge_age",                                    \
	  "age of the oldest part of what is known of other hosts")

enum stats_histogram {
#define STATS_ENUM(id, name, help) STATS_##id,
	STATS_HISTOGRAMS(STATS_ENUM)
#undef STATS_ENUM
		STATS_HISTOGRAM_COUNT,
};

/* Upper bounds double from 1 ms to 32.768 s; the last bucket is unbounded. */
#define STATS_BUCKETS 17

struct stats_hist {
	uint64_t bucket[STATS_BUCKETS]; /* not cumulative */
	uint64_t count;
	uint64_t sum_us;
};

struct stats {
	uint64_t counter[STATS_COUNTER_COUNT];
	struct stats_hist hist[STATS_HISTOGRAM_COUNT];
};

/* Returns the name of a counter, without prefix and suffix. */
const char *stats_counter_name(enum stats_counter counter);
/* Adds n to a counter. */
void stats_add(struct stats *s, enum stats_counter counter, uint64_t n);
/* Adds a duration to a histogram; a negative one counts as 0. */
void stats_observe(struct stats *s, enum stats_histogram histogram,
		   int64_t duration_us);
/*
 * Writes all metrics to out as a string. Returns its length without the NUL, or
 * -ENOSPC if it does not fit in size bytes.
 */
int stats_write(const struct stats *s, char *out, size_t size);

#endif
