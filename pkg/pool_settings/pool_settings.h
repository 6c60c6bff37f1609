#ifndef FIGBEND_POOL_SETTINGS_H
#define FIGBEND_POOL_SETTINGS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "jread.h"

/*
 * Settings of a host that serves a platform's pools (figbend --pools). The file
 * is JSON with comments; deploy/settings.jsonc is its template. Members of the
 * struct have the names of their keys, which are required unless they are marked
 * as optional. Unknown keys are ignored, as the platform may add some. Addresses are IP:PORT.
 */

#define POOL_SETTINGS_NAME_BYTES 64
#define POOL_SETTINGS_ADDR_BYTES 32
#define POOL_SETTINGS_SECRET_BYTES 32

struct pool_settings {
	char host[POOL_SETTINGS_NAME_BYTES];
	char domain[POOL_SETTINGS_NAME_BYTES];	     /* failure domain */
	char callers_addr[POOL_SETTINGS_ADDR_BYTES]; /* listens for callers */
	char ready_addr[POOL_SETTINGS_ADDR_BYTES];   /* readiness, HTTP */
	char metrics_addr[POOL_SETTINGS_ADDR_BYTES]; /* metrics, HTTP */
	char peer_addr[POOL_SETTINGS_ADDR_BYTES];    /* hosts, UDP and TCP */
	char store_addr[POOL_SETTINGS_ADDR_BYTES];   /* the platform's store */
	/* Shared by all hosts; 64 hexadecimal digits in the file. */
	uint8_t secret[POOL_SETTINGS_SECRET_BYTES];
	uint32_t memory_mb;    /* memory limit of the process, in MiB */
	uint32_t descriptors;  /* limit on open file descriptors */
	double stop_s;	       /* from SIGTERM to SIGKILL, seconds */
	double retry_ratio;    /* retries allowed per request */
	double retry_window_s; /* window that the ratio applies to */
	double retry_slack;    /* further retries of all hosts per window */
	/* Allowed excess over an account's limit, in the unit of the limit. */
	double limit_slack;
	/* Within what time after the store's acknowledgement a configuration is in force
	 * at this host, and an endpoint that leaves gets nothing more; optional. */
	uint32_t config_apply_ms;
	uint32_t drain_timeout_ms;
	/* Longest response body that is buffered, in KiB; optional. */
	uint32_t response_max_kb;
	/* Rollouts; optional. Part of a service's requests, over all hosts, that a
	 * version may get before it is judged, and a number of requests beside it;
	 * a share of 0, the default, turns rollouts off. A bad version gets nothing
	 * later than rollout_stop_ms after that shows. */
	double rollout_share;
	double rollout_slack;
	uint32_t rollout_stop_ms;
	/* Part of a service's idempotent requests that may be hedged, over all
	 * hosts; optional, 0 by default: none. */
	double hedge_share;
};

/*
 * Parses n bytes of settings; name (of the file, say) is the first part of the
 * paths in errors. Returns 0, or -EINVAL with all errors added to the list,
 * which has to be empty before. On failure the settings are incomplete.
 */
int pool_settings_parse(struct pool_settings *s, const char *text, size_t n,
			const char *name, struct jread_errors *errors);
/*
 * Parses a file. Returns 0, or a negative error number with all errors added:
 * that of reading the file, or as pool_settings_parse().
 */
int pool_settings_load(struct pool_settings *s, const char *path,
		       struct jread_errors *errors);

#endif
