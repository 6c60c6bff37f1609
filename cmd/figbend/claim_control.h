#ifndef FIGBEND_CLAIM_CONTROL_H
#define FIGBEND_CLAIM_CONTROL_H

#include <ev.h>
#include <sys/queue.h>

#include "claim.h"
#include "platform.h"

/*
 * Connects pkg/claim to the platform's log: reads the stream of claims into an
 * index, and appends records to the stream in batches, one append at a time.
 */

struct daemon;
struct claim_append;
TAILQ_HEAD(claim_appends, claim_append);

/*
 * Called with the result of claim_control_append(). error is 0, -EAGAIN if the
 * record is not in the log and never will be, or -EIO if it may be there now or
 * later.
 */
typedef void (*claim_append_fn)(void *ctx, enum claim_record_kind kind,
				uint32_t round, int error);

struct claim_control {
	struct claim_index index;
	struct platform_follow log_reader;
	struct claim_appends waiting;	/* for the next batch */
	struct claim_appends in_flight; /* the batch of the current append */
	struct platform_append append;
	ev_timer batch_timer; /* runs while records are collected */
	double batch_delay_s; /* how long records are collected */
	bool appending;
	bool unavailable;   /* the latest read failed, or none has ended */
	bool out_of_memory; /* the index lacks a record; lasts until restart */
};

/*
 * Starts to read the stream from its oldest record. Calls
 * service_on_index_advance() after each successful read.
 */
void claim_control_start(struct daemon *d);
/* Cancels the read and the append, and frees records without their callback. */
void claim_control_stop(struct daemon *d);
/*
 * Appends a record, together with those of other calls that arrive within the
 * batch delay. Copies the record and its body. Calls done once with the result,
 * and round unchanged, on a later iteration of the loop, unless the record is
 * detached or the controller stops before. Returns 0, or -ENOMEM without
 * calling done.
 */
int claim_control_append(struct daemon *d, const struct claim_record *r,
			 uint32_t round, claim_append_fn done, void *ctx);
/*
 * Drops the callbacks of all records with this ctx, which may be freed then.
 * The records are still appended.
 */
void claim_control_detach(struct daemon *d, const void *ctx);
/*
 * Returns true if new calls can be claimed: the log could be read, and the
 * index is complete and has free entries.
 */
bool claim_control_is_available(const struct daemon *d);

#endif
