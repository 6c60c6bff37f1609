#ifndef FIGBEND_METRICS_H
#define FIGBEND_METRICS_H

#include <stddef.h>
#include <stdint.h>

/*
 * Counters of a host that runs without --pools, in the Prometheus text format.
 * They only grow and start from 0 with the process. Rows are X(ID, name, help):
 * the enumerator is METRIC_<ID>, and figbend_<name>_total and help are printed.
 */

#define METRICS(X)                                                             \
	X(REQUESTS, "requests", "model requests taken from callers")           \
	X(REQUESTS_FINISHED, "requests_finished",                              \
	  "model requests answered whole")                                     \
	X(REQUESTS_REFUSED, "requests_refused", "model requests refused")      \
	X(REQUESTS_ABORTED, "requests_cut",                                    \
	  "model requests that ended after some tokens")                       \
	X(REQUESTS_DISCONNECTED, "requests_gone",                              \
	  "model requests whose caller hung up")                               \
	X(RETRIES, "retries", "attempts after the first")                      \
	X(RETRIES_DENIED, "retries_denied",                                    \
	  "retries that the budget did not allow")                             \
	X(RESUMES, "resumes", "streams resumed where they run")                \
	X(CRASH_SUSPECTS, "crash_suspects",                                    \
	  "runs that were on an endpoint as it crashed")                       \
	X(QUARANTINED, "quarantined",                                          \
	  "requests refused or ended by the quarantine")                       \
	X(CALLERS_TOO_SLOW, "callers_slow",                                    \
	  "streams cut because the caller did not read")                       \
	X(TOKENS_PROMPT, "tokens_prompt",                                      \
	  "prompt tokens of finished requests")                                \
	X(TOKENS_OUTPUT, "tokens_output", "output tokens handed to callers")   \
	X(TOKENS_DELAYED, "tokens_held_back",                                  \
	  "output tokens that waited to be paid")                              \
	X(QUOTA_BORROWS, "quota_draws", "draws of tokens from home hosts")     \
	X(QUOTA_BORROWS_FAILED, "quota_draws_failed",                          \
	  "draws without an answer")                                           \
	X(REFUSED_BY_DEADLINE, "refused_early",                                \
	  "requests that could not have been in time")                         \
	X(STALE_EVENTS, "late_events", "events of steps that were over")       \
	X(PREFILLS, "prefills", "prefills that finished")                      \
	X(PREFILLS_WASTED, "prefills_wasted",                                  \
	  "prefills whose result no decode took")                              \
	X(GRANTS, "grants", "slots granted as the admitting host")             \
	X(GRANTS_DENIED, "grants_full", "asks for a slot that found no room")  \
	X(GRANTS_EXPIRED, "grants_lapsed", "slots not used in time")           \
	X(ADMIT_TIMEOUTS, "admit_silent",                                      \
	  "asks that no admitting host answered")                              \
	X(SERVICE_CALLS, "service_calls", "service calls taken from callers")  \
	X(SERVICE_REFUSED, "service_refused", "service calls refused")         \
	X(SERVICE_IN_DOUBT, "service_in_doubt",                                \
	  "service calls whose outcome is not known")                          \
	X(CLAIM_APPENDS, "claim_appends", "appends of claims to the log")      \
	X(CLAIM_RECORDS, "claim_records",                                      \
	  "claims, outcomes and give-ups appended")                            \
	X(AUTH_REFUSED, "auth_refused", "calls refused for their key")         \
	X(CONFIG_ACCEPTED, "config_accepted",                                  \
	  "configuration versions put in force")                               \
	X(CONFIG_REJECTED, "config_rejected",                                  \
	  "configuration records rejected")                                    \
	X(ORPHAN_RUNS, "orphans",                                              \
	  "runs canceled because their entry host was gone")                   \
	X(CANCELS, "cancels", "cancel orders sent to endpoints")               \
	X(CANCELS_CONFIRMED, "cancels_confirmed",                              \
	  "cancel orders confirmed by endpoints")                              \
	X(PEER_SENT, "peer_sent", "messages sent to other hosts")              \
	X(PEER_SENT_BYTES, "peer_sent_bytes", "bytes sent to other hosts")     \
	X(PEER_RECEIVED, "peer_received",                                      \
	  "messages received from other hosts")                                \
	X(PEER_RECEIVED_BYTES, "peer_received_bytes",                          \
	  "bytes received from other hosts")                                   \
	X(PEER_REJECTED, "peer_rejected",                                      \
	  "messages refused as malformed, unproved or old")                    \
	X(PEER_TIMED_OUT, "peer_timed_out",                                    \
	  "calls to other hosts without a reply in time")                      \
	X(PLATFORM_CALLS, "platform_calls", "calls to the platform")           \
	X(PLATFORM_SENT_BYTES, "platform_sent_bytes",                          \
	  "bytes sent to the platform")                                        \
	X(PLATFORM_RECEIVED_BYTES, "platform_received_bytes",                  \
	  "bytes received from the platform")

enum metric {
#define METRICS_ENUM(id, name, help) METRIC_##id,
	METRICS(METRICS_ENUM)
#undef METRICS_ENUM
		METRIC_COUNT,
};

/*
 * Zero-initialized by the owner. The PEER_* and PLATFORM_* values are kept by
 * those packages; the owner copies them here before metrics_write.
 */
struct metrics {
	uint64_t value[METRIC_COUNT];
};

/* Adds n to a counter. */
void metrics_add(struct metrics *m, enum metric counter, uint64_t n);
/*
 * Writes all counters to out as a string. Returns its length without the NUL,
 * or -ENOSPC if it does not fit in size bytes.
 */
int metrics_write(const struct metrics *m, char *out, size_t size);

#endif
