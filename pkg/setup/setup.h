#ifndef FIGBEND_SETUP_H
#define FIGBEND_SETUP_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "jread.h"

/* Settings of a host that serves a platform's pools; see deploy/settings.jsonc. */

#define SETUP_NAME_BYTES 64
#define SETUP_ADDR_BYTES 32
#define SETUP_SECRET_BYTES 32

struct setup {
	char host[SETUP_NAME_BYTES];
	char domain[SETUP_NAME_BYTES];
	char callers_addr[SETUP_ADDR_BYTES];
	char ready_addr[SETUP_ADDR_BYTES];
	char metrics_addr[SETUP_ADDR_BYTES];
	char peer_addr[SETUP_ADDR_BYTES];
	char store_addr[SETUP_ADDR_BYTES];
	uint8_t secret[SETUP_SECRET_BYTES]; /* that hosts share */
	uint32_t memory_mb;
	uint32_t descriptors;
	double stop_s; /* from SIGTERM to SIGKILL */
	double retry_ratio;
	double retry_window_s;
	double retry_slack;
	double limit_slack; /* by which accounts' limits may be exceeded */
};

int setup_parse(struct setup *s, const char *text, size_t n, const char *name,
		struct jread_faults *faults);
int setup_load(struct setup *s, const char *path, struct jread_faults *faults);

#endif
