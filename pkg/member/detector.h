#ifndef FIGBEND_MEMBER_DETECTOR_H
#define FIGBEND_MEMBER_DETECTOR_H

#include "member.h"

/*
 * The timeout-based failure detector of pkg/member, and what core.c and
 * detector.c share. See member.h for the rules by which a host is removed.
 */

/*
 * Appends an action with a zeroed address and host, and returns it to be filled
 * in. If the list is full, the new action replaces the last one.
 */
struct member_action *member_add_action(struct member_actions *out,
					enum member_action_kind kind);
/* Returns this start of this host in the epoch; NULL if it is not a member. */
const struct member_host *member_self(const struct member_core *c);
/* Returns the detector's state of a host of the epoch. */
struct member_peer *member_peer_of(const struct member_core *c,
				   const struct member_host *h);
/*
 * Adapts the detector to a new epoch: matches peers to hosts by join_offset,
 * and selects which hosts are monitored and to which heartbeats are sent. The
 * timeout of a newly monitored host starts now.
 */
void member_detector_rebuild(struct member_core *c, int64_t now_us);
/*
 * Restarts all heartbeat timeouts after a pause of this process, in which it
 * read no heartbeats.
 */
void member_detector_reset(struct member_core *c, int64_t now_us);
/* Sets which hosts are in the platform's list of hosts, read just now. */
void member_detector_set_list(struct member_core *c, const char *const *name,
			      uint32_t n, int64_t now_us);
/*
 * Checks the timeouts of all monitored hosts and of the relays of other
 * domains. Called on each tick.
 */
void member_detector_run(struct member_core *c, int64_t now_us,
			 struct member_actions *out);

#endif
