#ifndef FIGBEND_SETUP_H
#define FIGBEND_POOL_SETTINGS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "jread.h"

/* Settings of a host that serves a platform's pools; see deploy/settings.jsonc. */

#define POOL_SETTINGS_NAME_BYTES 64
#define POOL_SETTINGS_ADDR_BYTES 32
#define POOL_SETTINGS_SECRET_BYTES 32

struct pool_settings {
	char host[POOL_SETTINGS_NAME_BYTES];
	char domain[POOL_SETTINGS_NAME_BYTES];
	char callers_addr[POOL_SETTINGS_ADDR_BYTES];
	char ready_addr[POOL_SETTINGS_ADDR_BYTES];
	char metrics_addr[POOL_SETTINGS_ADDR_BYTES];
	char peer_addr[POOL_SETTINGS_ADDR_BYTES];
	char store_addr[POOL_SETTINGS_ADDR_BYTES];
	uint8_t secret[POOL_SETTINGS_SECRET_BYTES]; /* that hosts share */
	uint32_t memory_mb;
	uint32_t descriptors;
	double stop_s; /* from SIGTERM to SIGKILL */
	double retry_ratio;
	double retry_window_s;
	double retry_slack;
	double limit_slack; /* by which accounts' limits may be exceeded */
};

int pool_settings_parse(struct pool_settings *s, const char *text, size_t n,
			const char *name, struct jread_errors *faults);
int pool_settings_load(struct pool_settings *s, const char *path,
		       struct jread_errors *faults);

#endif
