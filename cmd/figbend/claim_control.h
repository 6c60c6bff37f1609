#ifndef FIGBEND_CLAIM_CONTROL_H
#define FIGBEND_CLAIM_CONTROL_H

#include <ev.h>
#include <sys/queue.h>

#include "claim.h"
#include "platform.h"

/* Reads the stream of claims into an index, and appends to it in batches. */

struct daemon;
struct claim_append;
TAILQ_HEAD(claim_appends, claim_append);

typedef void (*claim_append_fn)(void *ctx, enum claim_record_kind kind,
				uint32_t round, int error);

struct claim_control {
	struct claim_index index;
	struct platform_follow log_reader;
	struct claim_appends waiting;
	struct claim_appends in_flight; /* the one append at a time */
	struct platform_append append;
	ev_timer batch_timer;
	double batch_delay_s;
	bool appending;
	bool unavailable;   /* the log did not answer the last read */
	bool out_of_memory; /* a record was lost for want of memory */
};

void claim_control_start(struct daemon *d);
void claim_control_stop(struct daemon *d);
int claim_control_append(struct daemon *d, const struct claim_record *r,
			 uint32_t round, claim_append_fn done, void *ctx);
void claim_control_detach(struct daemon *d, const void *ctx);
bool claim_control_is_available(const struct daemon *d);

#endif
