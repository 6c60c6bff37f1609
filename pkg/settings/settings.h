#ifndef FIGBEND_SETTINGS_H
#define FIGBEND_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "jread.h"

#define SETTINGS_NAME_BYTES 64
#define SETTINGS_ADDR_BYTES 64
#define SETTINGS_PATH_BYTES 256
#define SETTINGS_SECRET_BYTES 32

/* What one host is told when it starts; everything else comes from the log. */
struct settings {
	char host[SETTINGS_NAME_BYTES];
	char domain[SETTINGS_NAME_BYTES];
	char region[SETTINGS_NAME_BYTES];
	char caller_addr[SETTINGS_ADDR_BYTES];
	char admin_addr[SETTINGS_ADDR_BYTES];
	char peer_addr[SETTINGS_ADDR_BYTES];
	char platform_url[SETTINGS_PATH_BYTES];
	char secret_file[SETTINGS_PATH_BYTES];
	char tls_certificate_file[SETTINGS_PATH_BYTES];
	char tls_key_file[SETTINGS_PATH_BYTES];
	uint32_t connections_max;
	uint32_t body_max_bytes;
	uint32_t header_max_bytes;
	uint32_t caller_idle_s;
	uint32_t first_token_ms;
	uint32_t token_gap_ms;
	uint32_t request_max_s;
	uint32_t progress_timeout_ms;
	uint32_t connect_timeout_ms;
	uint32_t heartbeat_ms;
	uint32_t suspect_ms;
	uint32_t drain_max_s;
	uint32_t checkpoint_s;
	char seed_peers[SETTINGS_PATH_BYTES];
	uint32_t log_retention_s;
	char log_level[16];
};

/* One row a setting: what the checker, the man page and --check share. */
enum settings_type {
	SETTINGS_STRING,
	SETTINGS_ADDR,
	SETTINGS_NUMBER,
};

struct settings_entry {
	const char *key;
	enum settings_type type;
	size_t offset;
	size_t size;
	const char *default_text; /* strings; NULL: the setting is needed */
	uint32_t default_number;
	uint32_t min;
	uint32_t max;
	const char *unit;
	const char *description;
};

extern const struct settings_entry settings_table[];
extern const uint32_t settings_table_n;

int settings_parse(struct settings *s, const char *text, size_t n,
		   const char *name, struct jread_errors *faults);
int settings_read_file(const char *path, char **text, size_t *n);
int settings_load(struct settings *s, const char *path,
		  struct jread_errors *faults);
int settings_load_secret(const struct settings *s,
			 uint8_t secret[SETTINGS_SECRET_BYTES]);

#endif
