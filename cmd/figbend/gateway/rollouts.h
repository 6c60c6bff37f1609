#ifndef FIGBEND_GATEWAY_ROLLOUTS_H
#define FIGBEND_GATEWAY_ROLLOUTS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "adapter.h"
#include "h1.h"
#include "rollout.h"
#include "totals.h"

/*
 * The rollouts of a host: one for each service that an order was read for. What is
 * decided is in pkg/rollout; here it is connected with the store, the other hosts
 * and the requests.
 */

struct gateway;
struct req;
struct fig_rollout;

/* Versions of services that are remembered; the oldest one is forgotten. */
#define ROLLOUTS_VERSIONS_MAX 64

struct gateway_rollout {
	TAILQ_ENTRY(gateway_rollout) entry;
	struct gateway *g;
	struct rollout r;
	/* Rises when the side of requests that were not sent yet may change. */
	uint32_t generation;
	/* State at the last rise. */
	enum rollout_stage stage;
	bool suspect;
	uint64_t position;
	/* Completed, and no other version has been in use for a while: versions
	 * are alike until the next order. */
	bool over;
	int64_t alone_us; /* since when; 0 if another version is in use */
	/* Version that the order before rolled back, "" if none: its endpoints
	 * drain some seconds later, and get nothing meanwhile. */
	char rolled_back[ROLLOUT_VERSION_BYTES];

	struct h1_exchange exchange; /* writes the state */
	struct h1_buf body;	     /* response received so far */
	uint16_t status;
	enum rollout_stage writing;
	uint64_t writing_position; /* first_position of the order written for */
	int64_t write_us;	   /* start of the last write */
	/* Where the stream ended when it refused a write; 0 if none was refused.
	 * The next write waits until this host has the records before it. */
	uint64_t refused_end;
};
TAILQ_HEAD(gateway_rollouts, gateway_rollout);

/* When a version of a service was first seen. */
struct rollouts_version {
	char service[CALL_NAME_BYTES];
	char version[CALL_NAME_BYTES];
	int64_t first_us;
	int64_t held_until_us; /* 0 if it is not held back */
};

struct rollouts {
	struct gateway_rollouts list;
	bool configured; /* a configuration has been in force */
	int64_t sent_us; /* last time to a few hosts */
	struct rollouts_version version[ROLLOUTS_VERSIONS_MAX];
	uint32_t n_versions;   /* ever seen */
	int64_t held_until_us; /* of any version; 0 if none is held back */
	/* This host's counters, for the reports of pkg/relay; owned. */
	struct rollout_counter *counter;
	struct totals_row *total;
	uint32_t n_counters;
};

/* Side and evidence of one request; the zero value is one without a rollout. */
struct rollouts_req {
	struct gateway_rollout *of; /* NULL if the service has none */
	enum rollout_side side;
	uint32_t generation; /* of the rollout when the side was chosen */
	/* The present attempt: first send, 0 if none; first event of a stream, and
	 * the events before it; whether its outcome was counted. */
	int64_t sent_us;
	int64_t first_event_us;
	uint64_t events_before;
	bool counted;
};

void rollouts_init(struct gateway *g);
void rollouts_finish(struct gateway *g);

/* An order was read, or deleted if value is NULL; source is for the log. */
void rollouts_apply_order(struct gateway *g, const char *service,
			  const char *value, size_t n, uint64_t position,
			  const char *source);
/* A progress was read from the store. */
void rollouts_apply_progress(struct gateway *g, const char *service,
			     const char *value, size_t n);
/* Another host, source, sent its progress. */
void rollouts_apply_message(struct gateway *g, const struct fig_rollout *m,
			    const char *source);
/* Another configuration is in force: its services may have orders. */
void rollouts_apply_directory(struct gateway *g);
/* An endpoint of this service and version has an entry. */
void rollouts_apply_version(struct gateway *g, const char *service,
			    const char *version);
/* The store came back from an older copy. */
void rollouts_store_restored(struct gateway *g);
/* Advances time; called at each interval of heartbeats, after loads changed. */
void rollouts_tick(struct gateway *g);
/* Brings the counters that are reported to other hosts up to date. */
void rollouts_update_counters(struct gateway *g);
/* Writes the rollouts, one a line. Returns 0 or -ENOMEM. */
int rollouts_write_view(struct gateway *g, struct h1_buf *out);

/*
 * Restricts a query for an endpoint of the request to the versions of its side, which
 * is chosen first if that was not done, or if the rollout has changed and nothing was
 * sent yet. If the request has an endpoint, the query is for one after that failed.
 */
void rollouts_fill_query(struct req *r, struct fleet_query *query);
/* Restricts a query for a prefill endpoint to the version of the decode endpoint. */
void rollouts_fill_prefill_query(const struct req *r,
				 struct fleet_query *query);
/* Returns true if the request's prefill result is of another version than its decode
 * endpoint. */
bool rollouts_is_mixed(const struct req *r);
/* A request is sent to the endpoint. */
void rollouts_record_send(struct req *r, const struct fleet_endpoint *e);
/* The first event of an attempt has arrived. */
void rollouts_record_first_event(struct req *r);
/* An attempt at the endpoint ended in order, with the latest status. */
void rollouts_record_answer(struct req *r, const struct fleet_endpoint *e);
/* A step of an attempt failed at the endpoint; refusals are not counted. */
void rollouts_record_step_failure(struct req *r, const struct fleet_endpoint *e,
				  enum fleet_outcome outcome);
/*
 * An attempt failed at the endpoint, as above; the side for the next one is chosen.
 */
void rollouts_record_failure(struct req *r, const struct fleet_endpoint *e,
			     enum fleet_outcome outcome);
/* A response of another request came in place of this one's. */
void rollouts_record_foreign(struct req *r, const struct fleet_endpoint *e);

#endif
