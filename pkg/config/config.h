#ifndef FIGBEND_CONFIG_H
#define FIGBEND_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "jread.h"

/*
 * Configuration of the daemon without --pools: failure domains, client
 * accounts, models, endpoints, services and open routes. Operators declare them
 * as JSON with comments and publish each version in the stream "config" of the
 * platform's log.
 *
 * Hosts agree on the version in force by state machine replication: struct
 * config_state applies the records of the stream in the order of their offsets.
 * Changes use optimistic concurrency control: a change names the version that
 * it was made against and is accepted only if that version is still in force,
 * so that of two concurrent changes the first in the log wins. The version of
 * an accepted change is its offset. Because the log expires its oldest records,
 * hosts append checkpoints that repeat the version in force.
 *
 * Invariants: the version of a state never decreases, and two states without a
 * gap that have the same next_offset hold the same version.
 *
 * Assumptions: the log is totally ordered, its offsets ascend from 1, and only
 * its oldest records expire. Snapshots from peers may be lost, late or
 * repeated. No clock is read; only config_key_generate() reads random bytes.
 */

#define CONFIG_NAME_BYTES 64
#define CONFIG_ADDR_BYTES 64
#define CONFIG_PATH_BYTES 128
#define CONFIG_SALT_BYTES 16
#define CONFIG_HASH_BYTES 32
#define CONFIG_KEY_ID_BYTES 24
#define CONFIG_KEY_TEXT_BYTES 96
#define CONFIG_PPM 1000000 /* parts per million in a whole */

enum config_domain_state {
	CONFIG_DOMAIN_IN_SERVICE,
	CONFIG_DOMAIN_WITHDRAWN, /* its endpoints get no new requests */
};

struct config_domain {
	char name[CONFIG_NAME_BYTES];
	char region[CONFIG_NAME_BYTES]; /* "" if not declared */
	enum config_domain_state state;
};

/* An API key, of which only a salted hash is stored: BLAKE2b of its text. */
struct config_key {
	char id[CONFIG_KEY_ID_BYTES]; /* public; unique over all accounts */
	uint8_t salt[CONFIG_SALT_BYTES];
	uint8_t hash[CONFIG_HASH_BYTES];
	bool withdrawn; /* the key is no longer accepted */
};

/* The fraction of an account's rate and burst assigned to a failure domain. */
struct config_share {
	char domain[CONFIG_NAME_BYTES];
	uint32_t ppm; /* the shares of an account add up to CONFIG_PPM */
};

/* A client account. */
struct config_account {
	char name[CONFIG_NAME_BYTES];
	uint32_t weight;	  /* in the fair queue */
	uint64_t rate_tokens_s;	  /* refill of the token bucket, all hosts */
	uint64_t burst_tokens;	  /* capacity of the token bucket, all hosts */
	uint32_t stream_tokens_s; /* part of the rate reserved for a stream */
	struct config_share *share;
	uint32_t share_n;
	struct config_key *key;
	uint32_t key_n;
};

/* A model and its service level objective. */
struct config_model {
	char name[CONFIG_NAME_BYTES];
	uint32_t output_max_tokens; /* limit on the output of a request */
	uint32_t first_token_ms;    /* target: time to the first token */
	uint32_t token_gap_ms;	    /* target: mean time between tokens */
	uint32_t objective_ppm;	    /* requests that must meet both targets */
};

enum config_role {
	CONFIG_ROLE_PREFILL,
	CONFIG_ROLE_DECODE,
	CONFIG_ROLE_SERVICE,
};

struct config_endpoint {
	char name[CONFIG_NAME_BYTES];
	char domain[CONFIG_NAME_BYTES];
	char addr[CONFIG_ADDR_BYTES];	/* IPv4 address and port: "IP:PORT" */
	char serves[CONFIG_NAME_BYTES]; /* name of a model or a service */
	enum config_role role;
	uint32_t slots;		/* limit on requests running at once */
	uint32_t pieces;	/* KV memory, in pieces of 4096 tokens */
	uint32_t link_kbytes_s; /* rate of its KV transfer link, in kB/s */
	bool fences;		/* rejects orders with an old fencing number */
	bool leaving;		/* drains: gets no new requests */
};

/* A call of a plain service. */
struct config_call {
	char method[8]; /* HTTP method */
	char path[CONFIG_PATH_BYTES];
	bool repeatable; /* idempotent: may be sent again after a failure */
};

struct config_service {
	char name[CONFIG_NAME_BYTES];
	struct config_call *call;
	uint32_t call_n;
};

/* Requests without an API key for this model or service use the account. */
struct config_route {
	char serves[CONFIG_NAME_BYTES]; /* name of a model or a service */
	char account[CONFIG_NAME_BYTES];
};

/* One version of the configuration. Read-only once it was parsed. */
struct config {
	uint64_t version; /* offset in the log; 0 if not published */
	uint32_t refs;	  /* reference count; not atomic */
	char *text;	  /* the JSON that it was parsed from */
	size_t text_n;	  /* bytes of text */
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

/*
 * Parses and validates declarations, a text of n bytes; name (of the file, say)
 * is the first part of the path in every error. On success *out holds one
 * reference, which the caller releases with config_put(); otherwise it is NULL.
 * Returns 0, -ENOMEM, or -EINVAL with all errors added (none if memory ran out
 * while it was read).
 */
int config_parse(const char *text, size_t n, const char *name,
		 struct jread_errors *errors, struct config **out);
/* Adds a reference and returns c. */
struct config *config_get(struct config *c);
/* Releases a reference; the last one frees the configuration. c may be NULL. */
void config_put(struct config *c);

/*
 * Find a declaration by name. They return NULL if there is none. The result
 * belongs to the configuration and is valid as long as the caller's reference.
 */
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
/* Finds the open route of a model or service. NULL: an API key is required. */
const struct config_route *config_find_route(const struct config *c,
					     const char *serves);
const struct config_call *config_find_call(const struct config_service *s,
					   const char *method,
					   const char *path);
/* Returns the share of a failure domain in parts per million, 0 if none. */
uint32_t config_share_ppm(const struct config_account *a, const char *domain);

/*
 * Generates an API key "fb_ID_SECRET": its text, which only the client stores,
 * and its id, salt and hash for the declarations. Returns 0, or -EIO if
 * libsodium cannot be initialized.
 */
int config_key_generate(char text[CONFIG_KEY_TEXT_BYTES], struct config_key *k);
/*
 * Sets account to the owner of the API key. Returns 0, -EINVAL if the text does
 * not have the form of a key, -ENOENT if the id or the secret is not known, or
 * -EKEYREVOKED if the key was withdrawn.
 */
int config_key_verify(const struct config *c, const char *text,
		      const struct config_account **account);
/* Writes n bytes as 2n hexadecimal digits and a terminating zero. */
void config_key_hex(const uint8_t *bytes, size_t n, char *out);

/* Kinds of records in the configuration stream. */
enum config_record_kind {
	CONFIG_RECORD_CHANGE,	  /* an operator's change */
	CONFIG_RECORD_CHECKPOINT, /* repeats the version in force */
	CONFIG_RECORD_INVALID,
};

/*
 * The replicated state. Records that expire before they are applied leave a
 * gap, in which changes may have been missed. The version in force then stays
 * until a valid checkpoint or a peer's snapshot closes the gap.
 */
struct config_state {
	struct config *current;	  /* version in force; NULL if there is none */
	uint64_t next_offset;	  /* first offset not yet applied */
	uint64_t last_change;	  /* offset of the last change, or 0 */
	uint64_t last_checkpoint; /* offset of the last valid one, or 0 */
	uint64_t gap_end;	  /* first offset after the last gap */
	uint64_t rejected_n;	  /* stale and invalid records applied */
	bool has_gap;		  /* changes before gap_end may be missing */
};

enum config_outcome {
	CONFIG_ACCEPTED,  /* a new version is in force */
	CONFIG_STALE,	  /* made against a version no longer in force */
	CONFIG_INVALID,	  /* malformed, or its declarations have errors */
	CONFIG_UNCHANGED, /* a checkpoint, a repetition or an old snapshot */
	CONFIG_UNDECIDED, /* a change that cannot be judged during a gap */
};

/* Initializes a state before the first record, without a version. */
void config_state_init(struct config_state *s);
/* Releases the version in force and clears the state. */
void config_state_finish(struct config_state *s);
/*
 * Sets the oldest offset that the log still holds. If it is past next_offset,
 * the state has a gap and continues at that offset.
 */
void config_state_set_log_start(struct config_state *s, uint64_t first);
/*
 * Applies the record at an offset, n bytes. A record below next_offset was
 * applied before and changes nothing.
 */
enum config_outcome config_state_apply(struct config_state *s, uint64_t offset,
				       const char *record, size_t n);
/*
 * Installs a peer's snapshot, which closes a gap: a version, its text of n
 * bytes, and the peer's next_offset, up to which the version was in force (0 if
 * unknown). A snapshot that is older than the state, or that a later change may
 * have replaced, is ignored with CONFIG_UNCHANGED.
 */
enum config_outcome config_state_install(struct config_state *s,
					 uint64_t version, uint64_t next_offset,
					 const char *text, size_t n);
/*
 * Return the text of a record to append, or NULL without memory. The caller
 * frees it. A change is made against a version; the writer finds its record in
 * the log by the id. A checkpoint repeats the version that a state without a
 * gap has at next_offset. by is the name of the operator or host.
 */
char *config_record_change(uint64_t against, const char *by, const char *id,
			   const char *text);
char *config_record_checkpoint(uint64_t version, uint64_t next_offset,
			       const char *by, const char *text);

/*
 * Sets the member key of one object in the text of declarations to a JSON
 * value and keeps every other byte, comments and layout included. A missing
 * member is added. The path alternates names of arrays and of their items and
 * ends with NULL, as in "accounts", "acme", NULL; the item "*" is the first in
 * which the rest of the path is found. The text must have been parsed without
 * errors. On success the caller frees *out. Returns 0, -ENOENT if there is no
 * such object, or -ENOMEM.
 */
int config_edit(const char *text, const char *const *path, const char *key,
		const char *value, char **out);

#endif
