#ifndef FIGBEND_MEMBER_DETECTOR_H
#define FIGBEND_MEMBER_DETECTOR_H

#include "member.h"

struct member_action *member_add_action(struct member_actions *out,
					enum member_action_kind kind);
const struct member_host *member_self(const struct member_core *c);
struct member_peer *member_peer_of(const struct member_core *c,
				   const struct member_host *h);
void member_detector_rebuild(struct member_core *c, int64_t now_us);
void member_detector_reset(struct member_core *c, int64_t now_us);
void member_detector_set_list(struct member_core *c, const char *const *name,
			      uint32_t n, int64_t now_us);
void member_detector_run(struct member_core *c, int64_t now_us,
			 struct member_actions *out);

#endif
