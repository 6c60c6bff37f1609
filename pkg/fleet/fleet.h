#ifndef FIGBEND_FLEET_H
#define FIGBEND_FLEET_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "call.h"

/*
 * The table of endpoints, and the choice of one for each attempt (load
 * balancing). An endpoint's load is what this host and its peers run there; its
 * health follows from the outcomes of this host's own attempts: exponential
 * averages of latency and failure rate, and outlier ejection with exponential
 * backoff, after which a single probe request decides whether it returns.
 *
 * No I/O and no clock: now_us is the caller's clock in microseconds, which must
 * not run backwards. Endpoint pointers are borrowed unless fleet_ref() is called
 * on them.
 */

#define FLEET_ADDR_BYTES 32

enum fleet_stage {
	FLEET_PLAIN,   /* a plain service, not a model engine */
	FLEET_PREFILL, /* prefill only */
	FLEET_DECODE,  /* decode, and prefill at a lower speed */
};

/* What an endpoint publishes of itself in the store. */
struct fleet_entry {
	char id[CALL_ID_BYTES];
	char service[CALL_NAME_BYTES];
	char domain[CALL_NAME_BYTES];	  /* failure domain */
	char addr_text[FLEET_ADDR_BYTES]; /* address:port, as published */
	struct sockaddr_in addr;	  /* addr_text, parsed */
	char version[CALL_NAME_BYTES];	  /* of its software, "" if unknown */
	enum fleet_stage stage;
	uint32_t slots;		    /* requests that can run at once */
	uint32_t cold_remaining_ms; /* remaining warm-up time, 0 if warm */
	int64_t started_ms; /* start time since the Unix epoch, 0 if unknown */
	uint64_t
		sequence; /* rises with each entry of one start; 0 if unknown */
	bool draining;	  /* finishes its requests, accepts no new ones */
};

/* The outcome of an attempt at an endpoint. */
enum fleet_outcome {
	FLEET_SUCCESS,
	FLEET_OVERLOADED, /* refused for lack of capacity */
	FLEET_FAILED,	  /* response missing, incomplete or not authentic */
	FLEET_CONNECT_FAILED,
	FLEET_TIMED_OUT,
	/* Canceled, as another endpoint was faster; this one has responded to
	 * nothing since the attempt was sent. Several in a row eject it. */
	FLEET_SILENT,
	FLEET_MISDIRECTED, /* another endpoint has the address (HTTP 421) */
};

/*
 * This host's share of the rate limit of a cold endpoint, by windows of one
 * second.
 */
struct fleet_rate {
	int64_t window_us;  /* start of the present window */
	uint32_t sent;	    /* requests sent in it */
	uint32_t allowance; /* requests that may be sent in it */
};

/* The limit that an endpoint names, and this host's share of it; see rate.c. */
struct fleet_limit {
	/* Requests a second from all hosts together, in thousandths; 0 for no
	 * limit. */
	uint32_t milli_per_s;
	int64_t named_us;    /* when it was named, 0 if never */
	double level;	     /* requests that may be sent */
	int64_t refilled_us; /* when level was last brought up to date */
	int64_t turn;	     /* number of this host's last turn */
	int64_t used_turn;   /* the last one in which a request was sent */
	uint32_t schedule;   /* fleet.schedule for which these are, or 0 */
	int64_t schedule_us; /* since when */
};

/* How long work takes on an endpoint's machine, as its responses state it. */
struct fleet_slowness {
	int64_t stated_us; /* when it was last stated, 0 if never */
	double last;	   /* as last stated; 1 is usual */
	double mean;	   /* exponential average */
	double work_us; /* average time of a call at slowness 1, 0 if unknown */
};

struct fleet_endpoint {
	TAILQ_ENTRY(fleet_endpoint) link;
	uint32_t refs;
	struct fleet_entry entry;
	uint32_t key;	      /* namehash32() of its id */
	uint64_t start_key;   /* hash of its id and the time of its start */
	bool listed;	      /* in the table, not among the removed ones */
	int64_t removed_us;   /* when it was removed */
	int64_t remove_at_us; /* when to remove it, 0 if not scheduled */
	bool lapsed;	      /* its removal was or is scheduled */
	uint64_t offset;      /* store offset of the last record applied */

	/* Requests of this host. */
	uint32_t running;
	uint64_t kv_tokens;	 /* KV memory they use */
	uint32_t prefill_tokens; /* prompt tokens of prefills in flight */
	/* The same of all other hosts, as their heartbeats report it. The
	 * caller keeps these up to date. */
	uint32_t peer_running;
	uint64_t peer_kv_tokens;
	uint32_t peer_prefill_tokens;

	/* Load that the endpoint reported in its last response. */
	uint32_t load_running;
	uint32_t load_waiting;
	int64_t load_us; /* when it was received, 0 if never */
	struct fleet_slowness slowness;

	uint32_t consecutive_failures;
	/* End of the ejection. Stays set until a request succeeds; until then
	 * the endpoint gets one probe at a time. 0 if not ejected. */
	int64_t ejected_until_us;
	int64_t full_until_us; /* end of the backoff after a refusal */
	uint32_t refusals;     /* consecutive, for lack of capacity */
	double failure_rate;   /* exponential average, 0 to 1 */
	double latency_us;     /* exponential average, 0 if unknown */
	int64_t cold_until_us; /* end of the warm-up */
	struct fleet_rate cold_rate;
	uint32_t probes; /* probe requests in flight */
	struct fleet_limit limit;
	int64_t leaving_us; /* when it said that it leaves, 0 if it did not */
	/* It wants nothing from this host until then, and one request after
	 * that; 0 once it has capacity again. */
	int64_t unwanted_until_us;
};

TAILQ_HEAD(fleet_endpoints, fleet_endpoint);

#define FLEET_DOMAINS_MAX 16

/* A set of failure domains. A domain is not added to a full set. */
struct fleet_domains {
	char name[FLEET_DOMAINS_MAX][CALL_NAME_BYTES];
	uint32_t n;
};

struct fleet {
	struct fleet_endpoints list;
	uint32_t n_endpoints;
	/* Endpoints whose entry lapsed. They may still be running, cut off from
	 * the store, and return as they were. */
	struct fleet_endpoints removed;
	struct fleet_domains withdrawn;	    /* by operators */
	struct fleet_domains unreachable;   /* no host there is reachable */
	char local_domain[CALL_NAME_BYTES]; /* this host's domain */
	/* Hosts that share the rate limit of a cold endpoint, including this
	 * one. */
	uint32_t hosts;
	double limit_share; /* this host's part of the limits of endpoints */
	/* This host's place among those that take turns, and the clock by which
	 * they do. */
	uint32_t rank;
	uint32_t ranks;
	int64_t wall_offset_us;
	/* A step of that clock that is not followed yet, and how many calls of
	 * fleet_set_rank() had it. */
	int64_t clock_step_us;
	uint32_t clock_step_calls;
	/* Counts changes of these: what was a turn before may be none now. */
	uint32_t schedule;
	int64_t schedule_us; /* when it changed last */
	uint64_t random;     /* state of the random generator */
};

/* Which versions of endpoints satisfy a query. */
enum fleet_version_match {
	FLEET_VERSION_ANY,
	FLEET_VERSION_IS,
	FLEET_VERSION_IS_NOT,
};

/* The requirements of one attempt. */
struct fleet_query {
	const char *service;
	enum fleet_stage stage;
	enum fleet_version_match version_match;
	const char *version; /* borrowed; ignored for FLEET_VERSION_ANY */
	const char *excluded_version; /* borrowed; NULL for none */
	uint32_t kv_tokens;	      /* KV memory needed, 0 for none */
	uint32_t headroom_tokens;     /* KV memory that must remain free */
	uint32_t kv_capacity_tokens;  /* KV memory of an endpoint */
	/* Rate limit for an endpoint that is warming up, over all hosts; 0 if
	 * unlimited. */
	double cold_requests_per_s;
	const char *preferred_domain; /* NULL for the local domain */
	const struct fleet_endpoint *excluded[4];
	uint32_t n_excluded;
};

/*
 * The result of a query. The failures are in order of priority: of those that
 * apply to the endpoints considered, the last one is reported.
 */
enum fleet_result {
	FLEET_FOUND,
	/* The service and stage have no usable endpoint, except those that the
	 * query excludes. */
	FLEET_NO_ENDPOINT,
	FLEET_ALL_EJECTED,
	FLEET_ALL_FULL, /* no capacity, or a rate limit is reached */
};

/*
 * Initializes an empty table for a host in the given domain. seed makes the
 * choices among equally good endpoints reproducible.
 */
void fleet_init(struct fleet *f, const char *domain, uint64_t seed);
/* Removes all endpoints; those with other references stay allocated. */
void fleet_finish(struct fleet *f);
/* Returns the listed endpoint with this id, or NULL. */
struct fleet_endpoint *fleet_find(struct fleet *f, const char *id);
/*
 * Returns the endpoint with this id that was removed last, if its removal was a
 * scheduled one, else NULL.
 */
struct fleet_endpoint *fleet_find_lapsed(struct fleet *f, const char *id);
/* Returns the listed endpoint with this start_key, or NULL. */
struct fleet_endpoint *fleet_find_start(struct fleet *f, uint64_t start_key);
/*
 * Inserts or updates the endpoint of an entry that was read at offset, and
 * cancels a scheduled removal. An endpoint that was removed returns with all
 * that is known of it. If its start time or address has changed, the endpoint
 * was restarted: a new one without load or health history replaces it.
 * Returns the endpoint, or NULL if a later record was applied already or memory
 * is exhausted.
 */
struct fleet_endpoint *fleet_upsert(struct fleet *f,
				    const struct fleet_entry *entry,
				    uint64_t offset, int64_t now_us);
/*
 * Returns true if a newer entry of the endpoint was applied before, or if the
 * endpoint was removed and the entry is not newer than its last one. Entries are
 * ordered by their start, then by their sequence; false if these are unknown.
 */
bool fleet_knows_newer(const struct fleet *f, const struct fleet_entry *entry);
/*
 * Removes the endpoint whose entry was deleted by the record at offset: at once
 * if at_us has passed, else by the first fleet_expire() from at_us on. Ignored
 * if a later record was applied already. A removal that is scheduled already
 * keeps its time, unless at_us has passed.
 */
void fleet_remove(struct fleet *f, const char *id, uint64_t offset,
		  int64_t at_us, int64_t now_us);
/* Removes the endpoints whose scheduled removal is due, and forgets those that
 * were removed long ago. */
void fleet_expire(struct fleet *f, int64_t now_us);
/* Withdraws a domain's endpoints from service, or restores them. */
void fleet_set_withdrawn(struct fleet *f, const char *domain, bool withdrawn);
/*
 * Marks a domain as unreachable, or as reachable again. It may be partitioned
 * from this host, so its endpoints are chosen only if the others are much more
 * loaded.
 */
void fleet_set_unreachable(struct fleet *f, const char *domain,
			   bool unreachable);
/* Returns true if the endpoint's domain is marked as unreachable. */
bool fleet_is_unreachable(const struct fleet *f,
			  const struct fleet_endpoint *e);
/* Returns true if the endpoint is listed, does not leave and is not withdrawn. */
bool fleet_is_usable(const struct fleet *f, const struct fleet_endpoint *e);

/*
 * Returns the endpoint with the lowest cost that satisfies the query and sets
 * *result to FLEET_FOUND, or returns NULL with the reason in *result. If endpoints
 * of the service and stage stated their slowness, it is the better one of two that
 * are drawn at random.
 */
struct fleet_endpoint *fleet_choose(struct fleet *f,
				    const struct fleet_query *query,
				    int64_t now_us, enum fleet_result *result);
/*
 * Returns the endpoint's KV memory less what the requests of all hosts use, by
 * this host's estimate; may be negative.
 */
int64_t fleet_free_tokens(const struct fleet_endpoint *e,
			  uint32_t kv_capacity_tokens);

/*
 * Counts a request that is sent to the endpoint, with the KV memory it is
 * expected to use and the prompt tokens to be prefilled.
 */
void fleet_request_start(struct fleet_endpoint *e, uint32_t kv_tokens,
			 uint32_t prefill_tokens);
/* Counts a prefill that is sent to the endpoint. */
void fleet_prefill_start(struct fleet_endpoint *e, uint32_t prefill_tokens);
/* Ends a prefill that was counted, whether it succeeded or not. */
void fleet_prefill_end(struct fleet_endpoint *e, uint32_t prefill_tokens);
/* Counts KV memory that a running request uses beyond the expected. */
void fleet_request_grow(struct fleet_endpoint *e, uint32_t kv_tokens);
/* Ends a request; kv_tokens is all that was counted for it. */
void fleet_request_end(struct fleet_endpoint *e, uint32_t kv_tokens);
/*
 * Updates the endpoint's health with the outcome of an attempt that took
 * took_us.
 */
void fleet_record_outcome(struct fleet_endpoint *e, enum fleet_outcome outcome,
			  int64_t took_us, int64_t now_us);
/*
 * Sets this host's part of the limits that endpoints name: hosts share them by the
 * requests that wait, waiting of all_waiting at this host, and one for each host.
 */
void fleet_set_demand(struct fleet *f, uint32_t hosts, uint32_t waiting,
		      uint32_t all_waiting);
/*
 * Sets this host's place among all hosts, 0 to ranks - 1, and what is added to
 * now_us to get a time that all hosts agree on. Called several times per second. A
 * step of that time is followed after one to three minutes.
 */
void fleet_set_rank(struct fleet *f, uint32_t rank, uint32_t ranks,
		    int64_t wall_offset_us, int64_t now_us);
/* Returns true if the endpoint named a limit in its last answer. */
bool fleet_is_limited(const struct fleet_endpoint *e);
/*
 * The endpoint had capacity for a request that was sent at the given time: refusals
 * before do not count. What it had accepted earlier does not end a time for which
 * it wants nothing.
 */
void fleet_record_capacity(struct fleet_endpoint *e, int64_t sent_us);
/* Records the load that the endpoint reported in a response. */
void fleet_record_load(struct fleet_endpoint *e, uint32_t running,
		       uint32_t waiting, int64_t now_us);
/*
 * Records how long work takes on the endpoint's machine, in percent of the usual
 * time, as a response stated it.
 */
void fleet_record_slowness(struct fleet_endpoint *e, uint32_t percent,
			   int64_t now_us);

/*
 * Records the limit that the endpoint named in an answer at the given time, 0 if
 * it named none; older answers are ignored. Returns true if the limit changed.
 */
bool fleet_record_limit(struct fleet *f, struct fleet_endpoint *e,
			uint32_t limit_milli_per_s, int64_t at_us);

/*
 * Records that the endpoint said at the given time that it leaves: it is not
 * chosen any more while its start lives, or for a few minutes. Returns true if that
 * is new.
 */
bool fleet_record_leaving(struct fleet_endpoint *e, int64_t at_us);
/* The endpoint wants nothing from this host for that long. */
void fleet_record_unwanted(struct fleet *f, struct fleet_endpoint *e,
			   int64_t for_us, int64_t now_us);
/* Returns true if the last request there was refused, or the last ones failed. */
bool fleet_is_doubtful(const struct fleet_endpoint *e);
/* Returns true if the endpoint wants nothing from this host now. */
bool fleet_is_unwanted(const struct fleet_endpoint *e, int64_t now_us);
/*
 * Returns how long no endpoint can serve the query, by what they said: all leave,
 * or want nothing for a time. 0 if one may serve it at any time, or if there is
 * none.
 */
int64_t fleet_wait_us(const struct fleet *f, const struct fleet_query *query,
		      int64_t now_us);

/* Adds a reference and returns e. */
struct fleet_endpoint *fleet_ref(struct fleet_endpoint *e);
/* Drops a reference; the last one frees the endpoint. e may be NULL. */
void fleet_unref(struct fleet_endpoint *e);

#endif
