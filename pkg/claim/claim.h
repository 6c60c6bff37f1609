#ifndef FIGBEND_CLAIM_H
#define FIGBEND_CLAIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Calls that may not be repeated run at most once by (account, idempotency
 * key). Each sending of a call appends a claim with a nonce of its own to the
 * log; the first claim of an id, in the order of the log, wins, and only its
 * winner may send the call. No clock, socket or random source hides in here.
 */

#define CLAIM_ID_BYTES 33
#define CLAIM_NONCE_BYTES 33
#define CLAIM_HOST_BYTES 64
#define CLAIM_NONCES_MAX 8
#define CLAIM_ENTRIES_MAX 100000
#define CLAIM_BUCKETS 16384
#define CLAIM_ACTIONS_MAX 6
#define CLAIM_STREAM "claims"

/* Names of calls. */
void claim_make_id(const char *account, const char *key,
		   char id[CLAIM_ID_BYTES]);
void claim_hash_call(const char *method, const char *path, const char *body,
		     size_t body_n, char hash[CLAIM_ID_BYTES]);
void claim_make_nonce(char nonce[CLAIM_NONCE_BYTES]);

/* What a key's own time says of it, against what the log still shows. */
enum claim_key_validity {
	CLAIM_KEY_OPAQUE, /* the key carries no time */
	CLAIM_KEY_VALID,
	CLAIM_KEY_EXPIRED, /* its claim may have left the log */
	CLAIM_KEY_IN_FUTURE,
};

enum claim_key_validity claim_check_key(const char *key, int64_t wall_ms,
					int64_t retention_ms);

/* Records of the log. One record of the stream carries a batch of them. */
enum claim_record_kind {
	CLAIM_RECORD_CLAIM,
	CLAIM_RECORD_OUTCOME,  /* status 0: sent, and the answer is not known */
	CLAIM_RECORD_GIVEN_UP, /* this nonce was not sent and never will be */
	CLAIM_RECORD_KINDS,
};

struct claim_record {
	enum claim_record_kind kind;
	char id[CLAIM_ID_BYTES];
	char nonce[CLAIM_NONCE_BYTES];
	char call_hash[CLAIM_ID_BYTES];
	char host[CLAIM_HOST_BYTES];
	uint32_t status;
	const char *body; /* of an outcome; borrowed */
};

typedef void (*claim_record_fn)(void *ctx, const struct claim_record *r);

char *claim_encode(const char *host, const struct claim_record *r, uint32_t n);
int claim_decode(const char *text, size_t n, claim_record_fn take, void *ctx);

/* What the stream, read in order, says of each id. */
struct claim_entry {
	char id[CLAIM_ID_BYTES];
	char winner[CLAIM_NONCE_BYTES];
	char call_hash[CLAIM_ID_BYTES];
	char winner_host[CLAIM_HOST_BYTES]; /* of the winner */
	uint64_t nonces[CLAIM_NONCES_MAX];  /* nonces that had their chance */
	uint32_t nonce_n;
	bool given_up;
	bool has_outcome;
	uint32_t status;
	uint64_t outcome_offset;
	uint64_t last_offset;
	TAILQ_ENTRY(claim_entry) by_offset;
	LIST_ENTRY(claim_entry) by_id;
};
TAILQ_HEAD(claim_entries, claim_entry);
LIST_HEAD(claim_bucket, claim_entry);

struct claim_index {
	struct claim_bucket bucket[CLAIM_BUCKETS];
	struct claim_entries entries; /* by last offset */
	uint32_t entry_n;
	uint64_t next_offset; /* all records before this offset were taken */
};

enum claim_verdict {
	CLAIM_NOT_FOUND, /* no claim was seen */
	CLAIM_WON,	 /* the first claim is ours */
	CLAIM_LOST,	 /* it is another's, with no outcome yet */
	CLAIM_COMPLETED, /* the outcome is known */
	CLAIM_IN_DOUBT,	 /* it was sent and the answer was lost */
	CLAIM_GIVEN_UP,	 /* the winner gave up before sending */
	CLAIM_MISMATCH,	 /* the first claim was for another call */
};

struct claim_view {
	enum claim_verdict verdict;
	bool nonce_seen; /* the nonce stands in the log */
	uint32_t status;
	uint64_t outcome_offset;
	const char *winner_host; /* of the winner; borrowed from the index */
};

void claim_index_init(struct claim_index *ix);
void claim_index_finish(struct claim_index *ix);
int claim_index_apply(struct claim_index *ix, uint64_t offset, const char *text,
		      size_t n);
void claim_index_advance(struct claim_index *ix, uint64_t first, uint64_t next);
struct claim_view claim_index_lookup(const struct claim_index *ix,
				     const char *id, const char *nonce,
				     const char *body_hash);

/* One sending of a call, step by step. */
enum claim_state {
	CLAIM_NEW,
	CLAIM_CLAIMING,	 /* until the log tells who won */
	CLAIM_WAITING,	 /* another won: for its outcome */
	CLAIM_SENDING,	 /* at most once */
	CLAIM_RECORDING, /* the outcome */
	CLAIM_GIVING_UP, /* it won or may win, and will never send */
	CLAIM_DONE,
};

struct claim_call {
	char id[CLAIM_ID_BYTES];
	char nonce[CLAIM_NONCE_BYTES];
	char call_hash[CLAIM_ID_BYTES];
	enum claim_state state;
	uint32_t round;	     /* of the nonce: a new one after a free claim */
	bool append_pending; /* the append under way has no result yet */
	bool may_be_logged;  /* a claim of this nonce is or may come to stand */
	bool answered;
	uint32_t status; /* of the outcome */
	uint32_t append_failures;
	int64_t start_us;
	int64_t retry_us; /* 0: no append is wanted */
};

enum claim_event_kind {
	CLAIM_EV_START,
	CLAIM_EV_APPENDED,
	CLAIM_EV_READ, /* the index has read on */
	CLAIM_EV_SENT,
	CLAIM_EV_TIMER,
};

enum claim_send_result {
	CLAIM_SEND_RESPONSE,
	CLAIM_SEND_NOT_SENT, /* surely no byte left this host */
	CLAIM_SEND_IN_DOUBT,
};

struct claim_event {
	enum claim_event_kind kind;
	union {
		struct {
			enum claim_record_kind kind;
			uint32_t round;
			int error; /* 0, -EAGAIN: surely not, -EIO: maybe */
		} appended;
		struct claim_view read; /* START and READ */
		struct {
			enum claim_send_result how;
			uint32_t status;
		} sent;
	};
};

enum claim_answer {
	CLAIM_ANSWER_OUTCOME,  /* of our own sending */
	CLAIM_ANSWER_RECORDED, /* what the log holds at an offset */
	CLAIM_ANSWER_MISMATCH,
	CLAIM_ANSWER_IN_DOUBT,
	/* Not sent by this host; other calls of the key may have run. */
	CLAIM_ANSWER_NOT_SENT,
};

enum claim_action_kind {
	CLAIM_DO_APPEND,
	CLAIM_DO_SEND, /* on a fresh connection, never again */
	CLAIM_DO_ANSWER,
};

struct claim_action {
	enum claim_action_kind kind;
	union {
		struct {
			enum claim_record_kind kind;
			uint32_t round;
		} append;
		struct {
			enum claim_answer how;
			uint64_t outcome_offset;
		} answer;
	};
};

struct claim_actions {
	struct claim_action item[CLAIM_ACTIONS_MAX];
	uint32_t n;
	int64_t wake_us; /* when a timer event is due; 0: never */
};

void claim_call_init(struct claim_call *c, const char *id, const char *nonce,
		     const char *body_hash);
void claim_step(struct claim_call *c, const struct claim_event *ev,
		int64_t now_us, struct claim_actions *out);
void claim_call_fill_record(const struct claim_call *c,
			    enum claim_record_kind kind,
			    struct claim_record *r);

#endif
