#ifndef FIGBEND_CLAIM_H
#define FIGBEND_CLAIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * At-most-once execution of calls that may not be repeated, by
 * first-writer-wins claims in a shared append-only log.
 *
 * The id of a call is a hash of its account and idempotency key. A host that
 * receives the call appends a claim with a random nonce, and reads the log up
 * to that claim. The first claim of an id, in the order of the log, wins; only
 * its host sends the call to the service. It then appends the outcome, with
 * which all hosts answer other calls of that id. A host that claimed a call but
 * will not send it appends a given-up record; after it the next claim with a
 * new nonce wins.
 *
 * Invariant: the service receives a call at most once for each id. If the
 * winner fails before its outcome is in the log, the call is in doubt for all
 * other hosts, and none of them sends it.
 *
 * Assumptions:
 * - All hosts read the same records in the same order. An append whose result
 *   is unknown may take effect at any later time, or never.
 * - The log keeps each record for the retention period at least. For a key
 *   without a timestamp the invariant holds no longer than that. A key with a
 *   timestamp is refused before its first claim can have expired, and a claim
 *   that wins later than SEND_TIMEOUT_US (step.c) after its call was received
 *   is given up.
 * - Wall clocks of callers, hosts and the log differ by no more than
 *   CLOCK_ERROR_MS (record.c). Timeouts are measured by the monotonic clock of
 *   one host.
 *
 * The package reads no clock and does no I/O. It allocates index entries and
 * encoded batches; claim_make_nonce() draws random bytes.
 */

#define CLAIM_ID_BYTES 33    /* 128 bits in hexadecimal and a NUL */
#define CLAIM_NONCE_BYTES 33 /* likewise */
#define CLAIM_HOST_BYTES 64
#define CLAIM_NONCES_MAX 8	 /* of one id; further nonces cannot win */
#define CLAIM_ENTRIES_MAX 100000 /* at this size new calls are refused */
#define CLAIM_BUCKETS 16384
#define CLAIM_ACTIONS_MAX 6 /* of one step */
#define CLAIM_STREAM "claims"

/* Writes the id of an account's calls with one idempotency key. */
void claim_make_id(const char *account, const char *key,
		   char id[CLAIM_ID_BYTES]);
/*
 * Writes a hash of method, path and body, by which a key that is reused for a
 * different call is detected. The body has body_n bytes.
 */
void claim_hash_call(const char *method, const char *path, const char *body,
		     size_t body_n, char hash[CLAIM_ID_BYTES]);
/* Writes a random nonce. */
void claim_make_nonce(char nonce[CLAIM_NONCE_BYTES]);

/* Timestamp of an idempotency key, compared with the log's retention. */
enum claim_key_validity {
	CLAIM_KEY_OPAQUE, /* the key has no timestamp */
	CLAIM_KEY_VALID,
	CLAIM_KEY_EXPIRED, /* an earlier claim may have expired in the log */
	CLAIM_KEY_IN_FUTURE,
};

/*
 * Checks the timestamp of a key, which a version 7 UUID has. wall_ms is Unix
 * time. retention_ms is the time for which the log keeps each record at least.
 * Claims of a key are no older than its timestamp. So if the key is valid, all
 * of them are still in the log when a claim appended now is read back.
 */
enum claim_key_validity claim_check_key(const char *key, int64_t wall_ms,
					int64_t retention_ms);

/* A record of the log contains a batch of these. */
enum claim_record_kind {
	CLAIM_RECORD_CLAIM,
	CLAIM_RECORD_OUTCOME,
	CLAIM_RECORD_GIVEN_UP, /* the call is never sent under this nonce */
	CLAIM_RECORD_KINDS,
};

struct claim_record {
	enum claim_record_kind kind;
	char id[CLAIM_ID_BYTES];
	char nonce[CLAIM_NONCE_BYTES];
	char call_hash[CLAIM_ID_BYTES];
	char host[CLAIM_HOST_BYTES]; /* name of the host that appended it */
	uint32_t status;  /* HTTP status of an outcome; 0 if in doubt */
	const char *body; /* response body of an outcome; not owned */
};

/* Called for each record of a batch. The record is valid during the call. */
typedef void (*claim_record_fn)(void *ctx, const struct claim_record *r);

/*
 * Encodes n records of a host as one record of the log. Returns a string that
 * the caller frees, or NULL if out of memory.
 */
char *claim_encode(const char *host, const struct claim_record *r, uint32_t n);
/*
 * Decodes a batch of n bytes and calls visit for each record in order. Records
 * with errors are skipped. Returns 0, or -EBADMSG if the text is not a batch.
 */
int claim_decode(const char *text, size_t n, claim_record_fn visit, void *ctx);

/* State of one id after the records applied so far. */
struct claim_entry {
	char id[CLAIM_ID_BYTES];
	char winner[CLAIM_NONCE_BYTES]; /* nonce; "" before the first record */
	char call_hash[CLAIM_ID_BYTES]; /* of the winner */
	char winner_host[CLAIM_HOST_BYTES];
	/* First 64 bits of each nonce that claimed or gave up. */
	uint64_t nonces[CLAIM_NONCES_MAX];
	uint32_t nonce_n;
	bool given_up; /* the winner gave up */
	bool has_outcome;
	uint32_t status;	 /* HTTP status of the outcome; 0 if in doubt */
	uint64_t outcome_offset; /* log offset of the batch with the outcome */
	uint64_t last_offset; /* log offset of the latest batch with the id */
	TAILQ_ENTRY(claim_entry) by_offset;
	LIST_ENTRY(claim_entry) by_id;
};
TAILQ_HEAD(claim_entries, claim_entry);
LIST_HEAD(claim_bucket, claim_entry);

/* Table of the ids in the log, built by applying its records in order. */
struct claim_index {
	struct claim_bucket bucket[CLAIM_BUCKETS];
	struct claim_entries entries; /* in the order of last_offset */
	uint32_t entry_n;
	uint64_t next_offset; /* records before this offset were applied */
};

/* What the index holds about an id, seen from one nonce. */
enum claim_verdict {
	CLAIM_NOT_FOUND, /* no record of the id */
	CLAIM_WON,	 /* this nonce is the winner */
	CLAIM_LOST,	 /* another nonce is the winner; no outcome yet */
	CLAIM_COMPLETED, /* the winner recorded a response */
	CLAIM_IN_DOUBT,	 /* the winner sent and received no response */
	CLAIM_GIVEN_UP,	 /* the winner gave up; a new nonce can win */
	CLAIM_MISMATCH,	 /* the winner's call has another hash */
};

struct claim_view {
	enum claim_verdict verdict;
	bool nonce_seen;	 /* a claim or given-up record has this nonce */
	uint32_t status;	 /* as in struct claim_entry */
	uint64_t outcome_offset; /* as in struct claim_entry */
	const char *winner_host; /* valid until the index changes */
};

/*
 * Starts an empty index, which expects offset 1. The struct is too large for
 * the stack.
 */
void claim_index_init(struct claim_index *ix);
/* Frees the entries. */
void claim_index_finish(struct claim_index *ix);
/*
 * Applies the record of the log at an offset, of n bytes. The caller passes
 * records in the order of the log; those before next_offset are ignored.
 * Returns 0, -EBADMSG if the text is not a batch (it is skipped), or -ENOMEM,
 * after which the index is incomplete and must be built anew from the log.
 */
int claim_index_apply(struct claim_index *ix, uint64_t offset, const char *text,
		      size_t n);
/*
 * Notes that the log was read up to the offset next, and evicts entries whose
 * records have all expired. first is the oldest offset still in the log.
 */
void claim_index_advance(struct claim_index *ix, uint64_t first, uint64_t next);
/* Looks up an id for a call with this nonce and hash. */
struct claim_view claim_index_lookup(const struct claim_index *ix,
				     const char *id, const char *nonce,
				     const char *call_hash);

/* State machine of one call on the host that received it. */
enum claim_state {
	CLAIM_NEW,
	CLAIM_CLAIMING,	 /* appends a claim and waits to read it back */
	CLAIM_WAITING,	 /* lost; waits for the winner's outcome */
	CLAIM_SENDING,	 /* won; waits for the result of the send */
	CLAIM_RECORDING, /* appends the outcome */
	CLAIM_GIVING_UP, /* never sends; appends a given-up record */
	CLAIM_DONE,
};

struct claim_call {
	char id[CLAIM_ID_BYTES];
	char nonce[CLAIM_NONCE_BYTES];
	char call_hash[CLAIM_ID_BYTES];
	enum claim_state state;
	uint32_t round;	     /* number of earlier nonces of this call */
	bool append_pending; /* the result of an append is outstanding */
	bool may_be_logged;  /* the log has or may get a claim of this nonce */
	bool answered;
	uint32_t status; /* HTTP status of the outcome; 0 if in doubt */
	uint32_t append_failures; /* in this state, for the backoff */
	int64_t start_us;
	int64_t retry_us; /* when to repeat a failed append; 0 if none failed */
};

enum claim_event_kind {
	CLAIM_EV_START,
	CLAIM_EV_APPENDED, /* result of CLAIM_DO_APPEND */
	CLAIM_EV_READ,	   /* the index advanced */
	CLAIM_EV_SENT,	   /* result of CLAIM_DO_SEND */
	CLAIM_EV_TIMER,	   /* wake_us was reached */
};

enum claim_send_result {
	CLAIM_SEND_RESPONSE, /* a complete response was received */
	CLAIM_SEND_NOT_SENT, /* certainly no byte was sent */
	CLAIM_SEND_IN_DOUBT, /* possibly executed, and no response */
};

struct claim_event {
	enum claim_event_kind kind;
	union {
		struct {
			enum claim_record_kind kind;
			uint32_t round; /* of the action */
			/*
			 * 0, -EAGAIN if the record is not in the log and never
			 * will be, or -EIO if it may be there now or later.
			 */
			int error;
		} appended;
		/* Of START and READ: the call's id in the index. */
		struct claim_view read;
		struct {
			enum claim_send_result how;
			uint32_t status; /* HTTP status of the response */
		} sent;
	};
};

/* Answer to the caller. */
enum claim_answer {
	CLAIM_ANSWER_OUTCOME,  /* the response to this host's own send */
	CLAIM_ANSWER_RECORDED, /* the outcome in the log at outcome_offset */
	CLAIM_ANSWER_MISMATCH, /* the key was used for a different call */
	CLAIM_ANSWER_IN_DOUBT, /* the call may have been executed */
	/* Not sent by this host; other calls with the key may have executed. */
	CLAIM_ANSWER_NOT_SENT,
};

enum claim_action_kind {
	CLAIM_DO_APPEND,
	CLAIM_DO_SEND, /* on a new connection, without retries */
	CLAIM_DO_ANSWER,
};

struct claim_action {
	enum claim_action_kind kind;
	union {
		struct {
			enum claim_record_kind kind;
			uint32_t round; /* to be returned with the result */
		} append;
		struct {
			enum claim_answer how;
			uint64_t outcome_offset; /* of ANSWER_RECORDED only */
		} answer;
	};
};

struct claim_actions {
	struct claim_action item[CLAIM_ACTIONS_MAX];
	uint32_t n;
	int64_t wake_us; /* when CLAIM_EV_TIMER is due; 0 if never */
};

/* Initializes a call, which waits for CLAIM_EV_START. Copies the strings. */
void claim_call_init(struct claim_call *c, const char *id, const char *nonce,
		     const char *call_hash);
/*
 * Handles an event and writes actions, which the caller carries out in order.
 * now_us is the time of a monotonic clock. *out must be zero before the call.
 * out->wake_us replaces the value of earlier steps. Once the state is
 * CLAIM_DONE, c may be freed.
 */
void claim_step(struct claim_call *c, const struct claim_event *ev,
		int64_t now_us, struct claim_actions *out);
/* Fills in a record, except its host and the body of an outcome. */
void claim_call_fill_record(const struct claim_call *c,
			    enum claim_record_kind kind,
			    struct claim_record *r);

#endif
