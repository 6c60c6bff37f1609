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

/*
 * Settings of a host that runs without --pools, read from a file at the start.
 * The file is JSON with comments. Members have the names of their keys;
 * settings_table describes their values. All other configuration comes from the
 * platform's log.
 */
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

enum settings_type {
	SETTINGS_STRING,
	SETTINGS_ADDR, /* IP:PORT, with an IPv4 address */
	SETTINGS_NUMBER,
};

/*
 * Describes one setting. man/figbend.conf.5 repeats the descriptions;
 * man_page_test compares them.
 */
struct settings_entry {
	const char *key;
	enum settings_type type;
	size_t offset;		  /* of the member in struct settings */
	size_t size;		  /* of the member; 0 for numbers */
	const char *default_text; /* NULL for numbers and required settings */
	uint32_t default_number;
	uint32_t min; /* of numbers, min and max included */
	uint32_t max;
	const char *unit;	 /* "IP:PORT" for addresses, "" for strings */
	const char *description; /* the text of the manual page */
};

extern const struct settings_entry settings_table[];
extern const uint32_t settings_table_n;

/*
 * Parses n bytes of settings; name (of the file, say) is the first part of the
 * paths in errors. Returns 0, or -EINVAL with all errors added to the list
 * (none if memory runs out).
 */
int settings_parse(struct settings *s, const char *text, size_t n,
		   const char *name, struct jread_errors *errors);
/*
 * Reads a file into memory that the caller frees. A null byte follows the n
 * bytes. Returns 0, -EFBIG for a file of 16 MiB or more, -ENOMEM, or the error
 * of opening or reading the file.
 */
int settings_read_file(const char *path, char **text, size_t *n);
/*
 * Reads and parses a file. Returns and adds errors as settings_parse(), also if
 * the file cannot be read.
 */
int settings_load(struct settings *s, const char *path,
		  struct jread_errors *errors);
/*
 * Reads the secret shared by all hosts, 64 lower-case hexadecimal digits, from
 * secret_file or, if that is empty, from the environment variable
 * FIGBEND_SECRET. Ignores what follows the digits. Returns 0, -EINVAL if the
 * text is malformed, -ENOENT if neither is set, or the error of reading the
 * file.
 */
int settings_load_secret(const struct settings *s,
			 uint8_t secret[SETTINGS_SECRET_BYTES]);

#endif
