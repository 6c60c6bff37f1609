#ifndef FIGBEND_HEDGE_H
#define FIGBEND_HEDGE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides when a second attempt of an idempotent call runs beside its first one
 * (a hedge): after the 0.95 quantile of the time of first attempts, within a
 * share of the service's calls. Each host accumulates its own share, so the sum
 * over all hosts is bounded without a message, whichever hosts die or are added.
 *
 * No I/O, no allocation and no clock: now_us is the caller's monotonic clock in
 * microseconds.
 */

#define HEDGE_NAME_BYTES 64
#define HEDGE_SERVICES_MAX 64 /* services over this are not hedged */
#define HEDGE_ROUTES_MAX 256  /* the least recently used one is replaced */
/* Upper bounds of buckets begin at 0.5 ms and grow by an eighth of a doubling, to
 * 32 s; the last bucket has no bound. */
#define HEDGE_BUCKETS 129

/* The times of first attempts of a service and route. */
struct hedge_route {
	char service[HEDGE_NAME_BYTES];
	char route[HEDGE_NAME_BYTES];
	int64_t used_us;
	int64_t decayed_us; /* the weights are those of this time */
	uint32_t seen;	    /* answers, without decay */
	double total;	    /* sum of the weights */
	float weight[HEDGE_BUCKETS];
};

struct hedge_service {
	char name[HEDGE_NAME_BYTES];
	double level; /* hedges that may be sent, 1 at most */
	double due;   /* part of the last calls that were due for one */
};

struct hedge {
	double share; /* hedges for each call; 0: off */
	uint64_t random;
	struct hedge_service service[HEDGE_SERVICES_MAX];
	uint32_t n_services;
	struct hedge_route route[HEDGE_ROUTES_MAX];
	uint32_t n_routes;
};

/* HEDGE_SEND, or why no hedge is sent. */
enum hedge_decision {
	HEDGE_SEND,
	HEDGE_DENIED_OFF,
	HEDGE_DENIED_FEW_ANSWERS,
	HEDGE_DENIED_ATTEMPTS, /* all that the route allows are used */
	HEDGE_DENIED_DEADLINE,
	HEDGE_DENIED_FULL,	  /* the service has no capacity left */
	HEDGE_DENIED_LIMITED,	  /* an endpoint wants fewer requests */
	HEDGE_DENIED_NO_ENDPOINT, /* no other one */
	HEDGE_DENIED_BUDGET,	  /* no retry left */
	HEDGE_DENIED_ALL_SLOW,	  /* many calls at once are due */
	HEDGE_DENIED_SHARE,
};

/* What a decision depends on beside the quantile and the share. */
struct hedge_facts {
	uint32_t executions; /* attempts that may have executed the request, the
			      * first one included */
	uint32_t attempts_max;
	int64_t remaining_us; /* until the deadline */
	bool service_full;    /* an endpoint refused lately, or requests wait */
	bool endpoint_limited; /* one names a limit or wants hosts to stay away */
	bool has_endpoint;     /* another one can take the request */
	bool retry_available; /* in the retry budget */
};

/* share is the number of hedges for each call; seed is that of the levels at which
 * services begin, and differs between hosts. */
void hedge_init(struct hedge *h, double share, uint64_t seed);
/* Counts an idempotent call of a service, once for each call. */
void hedge_count_call(struct hedge *h, const char *service);
/*
 * Records the time of a first attempt: until its response was complete, or until
 * it was canceled or timed out, which is less than its response would have taken.
 */
void hedge_observe(struct hedge *h, const char *service, const char *route,
		   int64_t took_us, int64_t now_us);
/* Returns the quantile in microseconds, or 0 if too few answers are known. */
int64_t hedge_delay_us(struct hedge *h, const char *service, const char *route,
		       int64_t now_us);
/*
 * Decides on a hedge for a request that has run for the time of hedge_delay_us().
 * HEDGE_SEND takes a hedge from the service's share.
 */
enum hedge_decision hedge_decide(struct hedge *h, const char *service,
				 const char *route,
				 const struct hedge_facts *facts,
				 int64_t now_us);
/* Returns the name of a cause, "" for HEDGE_SEND. */
const char *hedge_cause_name(enum hedge_decision d);

#endif
