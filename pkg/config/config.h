#ifndef FIGBEND_CONFIG_H
#define FIGBEND_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "jread.h"

/*
 * The operators' declarations: what they keep in version control, publish in
 * the platform's log, and every host folds to the same result.
 */

#define CONFIG_NAME_BYTES 64
#define CONFIG_ADDR_BYTES 64
#define CONFIG_PATH_BYTES 128
#define CONFIG_SALT_BYTES 16
#define CONFIG_HASH_BYTES 32
#define CONFIG_KEY_ID_BYTES 24
#define CONFIG_KEY_TEXT_BYTES 96
#define CONFIG_PPM 1000000 /* parts in a whole: shares are in millionths */

enum config_domain_state {
	CONFIG_DOMAIN_IN_SERVICE,
	CONFIG_DOMAIN_WITHDRAWN,
};

struct config_domain {
	char name[CONFIG_NAME_BYTES];
	char region[CONFIG_NAME_BYTES];
	enum config_domain_state state;
};

/* A key: its public id, and the salted hash of its whole text. */
struct config_key {
	char id[CONFIG_KEY_ID_BYTES];
	uint8_t salt[CONFIG_SALT_BYTES];
	uint8_t hash[CONFIG_HASH_BYTES];
	bool withdrawn;
};

/* The part of an account's rate and burst that one failure domain holds. */
struct config_share {
	char domain[CONFIG_NAME_BYTES];
	uint32_t ppm;
};

struct config_account {
	char name[CONFIG_NAME_BYTES];
	uint32_t weight;
	uint64_t rate_tokens_s;
	uint64_t burst_tokens;
	uint32_t stream_tokens_s; /* pace of one stream, reserved of the rate */
	struct config_share *share;
	uint32_t share_n;
	struct config_key *key;
	uint32_t key_n;
};

struct config_model {
	char name[CONFIG_NAME_BYTES];
	uint32_t output_max_tokens;
	uint32_t first_token_ms; /* objective */
	uint32_t token_gap_ms;	 /* objective */
	uint32_t objective_ppm;	 /* share of requests, in millionths */
};

enum config_role {
	CONFIG_ROLE_PREFILL,
	CONFIG_ROLE_DECODE,
	CONFIG_ROLE_SERVICE,
};

struct config_endpoint {
	char name[CONFIG_NAME_BYTES];
	char domain[CONFIG_NAME_BYTES];
	char addr[CONFIG_ADDR_BYTES];
	char serves[CONFIG_NAME_BYTES]; /* a model or a service */
	enum config_role role;
	uint32_t slots;		/* requests at once */
	uint32_t pieces;	/* memory pieces of 4096 tokens */
	uint32_t link_kbytes_s; /* rate of its KV transfer link, in kB/s */
	bool fences;		/* refuses orders with an old fencing number */
	bool leaving;
};

struct config_call {
	char method[8];
	char path[CONFIG_PATH_BYTES];
	bool repeatable;
};

struct config_service {
	char name[CONFIG_NAME_BYTES];
	struct config_call *call;
	uint32_t call_n;
};

/* A route open to all: requests without a key run for this account. */
struct config_route {
	char serves[CONFIG_NAME_BYTES];
	char account[CONFIG_NAME_BYTES];
};

struct config {
	uint64_t version; /* offset of its record in the log; 0: none */
	uint32_t refs;
	char *text; /* the JSON it was read from */
	size_t text_n;
	struct config_domain *domain;
	uint32_t domain_n;
	struct config_account *account;
	uint32_t account_n;
	struct config_model *model;
	uint32_t model_n;
	struct config_endpoint *endpoint;
	uint32_t endpoint_n;
	struct config_service *service;
	uint32_t service_n;
	struct config_route *route;
	uint32_t route_n;
};

/* A configuration is shared by reference count: the one that reads holds one. */
int config_parse(const char *text, size_t n, const char *name,
		 struct jread_errors *faults, struct config **out);
struct config *config_get(struct config *c);
void config_put(struct config *c);

const struct config_account *config_find_account(const struct config *c,
						 const char *name);
const struct config_model *config_find_model(const struct config *c,
					     const char *name);
const struct config_service *config_find_service(const struct config *c,
						 const char *name);
const struct config_endpoint *config_find_endpoint(const struct config *c,
						   const char *name);
const struct config_domain *config_find_domain(const struct config *c,
					       const char *name);
const struct config_route *config_find_route(const struct config *c,
					     const char *serves);
const struct config_call *config_find_call(const struct config_service *s,
					   const char *method,
					   const char *path);
uint32_t config_share_ppm(const struct config_account *a, const char *domain);

/* Keys: "fb_ID_SECRET". */
int config_key_generate(char text[CONFIG_KEY_TEXT_BYTES], struct config_key *k);
int config_key_verify(const struct config *c, const char *text,
		      const struct config_account **account);
void config_key_hex(const uint8_t *bytes, size_t n, char *out);

/* The fold of the log's configuration stream, the same on every host. */
enum config_record_kind {
	CONFIG_RECORD_CHANGE,	  /* a change by an operator */
	CONFIG_RECORD_CHECKPOINT, /* the version in force, appended again */
	CONFIG_RECORD_INVALID,
};

struct config_state {
	struct config *current;	  /* NULL: nothing was accepted yet */
	uint64_t next_offset;	  /* first offset not yet folded */
	uint64_t last_change;	  /* last record that was no checkpoint */
	uint64_t last_checkpoint; /* last checkpoint that stands */
	uint64_t gap_end;	  /* records below are unknown while lost */
	uint64_t rejected_n;
	bool has_gap; /* records expired unread: needs a checkpoint or a peer */
};

enum config_outcome {
	CONFIG_ACCEPTED,
	CONFIG_STALE, /* made against a version no longer in force */
	CONFIG_INVALID,
	CONFIG_UNCHANGED, /* nothing new: a checkpoint, or folded before */
	CONFIG_UNDECIDED, /* a change, which a lost fold can't judge */
};

void config_state_init(struct config_state *f);
void config_state_finish(struct config_state *f);
void config_state_set_log_start(struct config_state *f, uint64_t first);
enum config_outcome config_state_apply(struct config_state *f, uint64_t offset,
				       const char *record, size_t n);
/* Takes over a version that a peer has; older ones are left alone. */
enum config_outcome config_state_install(struct config_state *f,
					 uint64_t version, uint64_t upto,
					 const char *text, size_t n);
/* Write the record of a change made against a version, and of a checkpoint. */
char *config_record_change(uint64_t against, const char *by, const char *id,
			   const char *text);
char *config_record_checkpoint(uint64_t version, uint64_t upto, const char *by,
			       const char *text);

/* Changes a value in the text of declarations; comments and layout stay. */
int config_edit(const char *text, const char *const *path, const char *key,
		const char *value, char **out);

#endif
