#ifndef FIGBEND_STATS_H
#define FIGBEND_STATS_H

#include <stddef.h>
#include <stdint.h>

/*
 * Counters and latency histograms of a host before a platform's pools, in the
 * Prometheus text form. The buckets are the same on every host, so that sums
 * over hosts are histograms too.
 */

#define STATS_COUNTERS(X)                                                      \
	X(requests, "requests read from callers")                              \
	X(rejected, "requests that could not be read")                         \
	X(answered, "endpoints' answers handed on whole")                      \
	X(refused_limit, "requests over their account's limit")                \
	X(refused_full, "requests that found no room in time")                 \
	X(refused_held, "requests that crash endpoints")                       \
	X(refused_unknown, "requests with an unknown route or key")            \
	X(failed_sent, "requests that failed after they were sent")            \
	X(streams_cut, "streams that broke off")                               \
	X(callers_gone, "callers that left before their answer")               \
	X(sends, "requests sent to endpoints")                                 \
	X(sends_again, "sends after the first of a request")                   \
	X(sends_denied, "second sends that the budget did not allow")          \
	X(prefills, "prompts read at a prefill endpoint")                      \
	X(prefills_lost, "prefills that failed or were not taken over")        \
	X(holds, "reservations of memory that were given")                     \
	X(holds_denied, "reservations that found no room")                     \
	X(resumed, "streams that went on at another endpoint")                 \
	X(answers_foreign, "answers of another request, skipped")              \
	X(crash_suspects, "runs that were at an endpoint as it crashed")       \
	X(store_calls, "calls to the store")                                   \
	X(store_failures, "calls to the store that failed")                    \
	X(connects, "connections opened to endpoints")                         \
	X(peer_messages, "messages from other hosts")                          \
	X(log_lines_dropped, "log lines left out")

enum stats_counter {
#define STATS_ENUM(name, help) STATS_##name,
	STATS_COUNTERS(STATS_ENUM)
#undef STATS_ENUM
		STATS_COUNTER_COUNT,
};

#define STATS_HISTOGRAMS(X)                                                    \
	X(answer, "time until a whole answer, streams left out")               \
	X(first_event, "time until the first event of a stream")               \
	X(event_gap, "longest pause between events of a stream")               \
	X(wait, "time that a request waited for room")                         \
	X(prefill, "time that a prefill took")

enum stats_histogram {
#define STATS_ENUM(name, help) STATS_##name##_s,
	STATS_HISTOGRAMS(STATS_ENUM)
#undef STATS_ENUM
		STATS_HISTOGRAM_COUNT,
};

/* Upper bounds double from 1 ms to 32 s; one more bucket has no bound. */
#define STATS_BUCKETS 17

struct stats_spread {
	uint64_t bucket[STATS_BUCKETS];
	uint64_t n;
	uint64_t sum_us;
};

struct stats {
	uint64_t counter[STATS_COUNTER_COUNT];
	struct stats_spread spread[STATS_HISTOGRAM_COUNT];
};

void stats_add(struct stats *s, enum stats_counter which, uint64_t n);
void stats_took(struct stats *s, enum stats_histogram which, int64_t took_us);
/* Returns the bytes written, or -ENOSPC. */
int stats_write(const struct stats *s, char *out, size_t size);

#endif
