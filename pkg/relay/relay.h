#ifndef FIGBEND_RELAY_H
#define FIGBEND_RELAY_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "fig_msg.h"
#include "ratelimit.h"
#include "totals.h"

/*
 * What a host knows of all other hosts: their loads at endpoints, their
 * consumption of accounts, and which of them are alive.
 *
 * Few hosts form a mesh: each one reports to all others. With more hosts, two of
 * each failure domain are its delegates, chosen by the hash of their names among
 * those that answer (rendezvous hashing). Every host reports to the delegates of
 * its domain and asks one of them, by turns, for a digest: the sums over all
 * hosts but itself. Delegates send each other a row for each host that reports
 * to them. So the messages of a host do not depend on the number of hosts, and
 * those of a delegate depend on the hosts of its domain and the number of
 * domains.
 *
 * Nobody is appointed: a host is a delegate as long as others report to it. Rows are
 * ordered by the start of a host's process and a counter, so that lost, repeated
 * and late messages, or several delegates at once, do no harm. Consumption is
 * merged by pkg/totals and deducted from the buckets of pkg/ratelimit.
 *
 * No I/O and no clock: now_us is of a monotonic clock of this host. Messages are
 * those of pkg/wire.
 */

#define RELAY_NAME_BYTES 64
#define RELAY_ADDR_BYTES 32
#define RELAY_DOMAINS_MAX FIG_DOMAINS_MAX
/* Up to this many hosts form a mesh. */
#define RELAY_MESH_HOSTS_MAX 24
#define RELAY_DELEGATES 2 /* of a domain */
/* Interval of reports, and of requests for a digest; more in a large mesh. */
#define RELAY_REPORT_US 200000LL
/* Interval of the rows that delegates send each other, if links allow it. */
#define RELAY_ROWS_US 100000LL
/* A host from which nothing new was heard for this time is not alive. */
#define RELAY_ALIVE_US 1500000LL

/* Load at an endpoint, which is named by namehash32() of its id. */
struct relay_load {
	uint32_t endpoint;
	uint32_t running;
	uint32_t tokens; /* KV tokens in use, or prompt tokens to process */
};

struct relay_host;

struct relay_domain {
	char name[RELAY_NAME_BYTES];
	struct relay_host **host; /* ascending ids; owned */
	uint32_t n;
	uint32_t capacity;
	bool heard; /* a host of it was alive, by a message or a digest */
	/* Known hosts, and of these the living ones; without this one. */
	uint32_t known;
	uint32_t alive;
	/* The same by the last digest, with this one. */
	uint32_t digest_known;
	uint32_t digest_alive;
	int64_t rows_us;	   /* last rows of a delegate of the domain */
	uint32_t probe;		   /* counts rows sent to find delegates */
	struct totals_group spent; /* sources: its delegates */
};

struct relay_host {
	/* On the list of living hosts, by the time they were heard of, or of
	 * silent ones, by the start of their silence; or on none. */
	TAILQ_ENTRY(relay_host) entry;
	uint64_t id;		     /* namehash() of its name */
	char name[RELAY_NAME_BYTES]; /* "" if only its id is known */
	char addr[RELAY_ADDR_BYTES]; /* "" if unknown */
	struct relay_domain *domain; /* NULL if unknown */
	bool recorded;		     /* has a record in the store */
	bool leaving; /* its record was deleted: removed once it is silent */
	bool alive;
	bool known;	   /* alive, or silent for a short time */
	uint64_t boot;	   /* of its last report */
	uint64_t counter;  /* the same */
	int64_t heard_us;  /* when that report was made, by this host's clock */
	int64_t direct_us; /* last report received from the host itself */
	int64_t silent_us; /* start of its silence, if not alive */
	int64_t row_sent_us; /* when its load was last sent; 0 if it changed */
	struct relay_load *load; /* owned */
	uint32_t n_loads;
	uint32_t waiting;	   /* its requests that wait */
	struct totals_group spent; /* source: the host */
	/* As a delegate of this host: requests without an answer, and when to
	 * ask again if it is down, after too many of them. */
	uint32_t unanswered;
	bool down;
	int64_t retry_us;
	/* On the list of delegates while is_delegate; its last rows. */
	TAILQ_ENTRY(relay_host) delegate_entry;
	bool is_delegate;
	int64_t rows_us;
	/* Streams of the store, by its last message. */
	uint64_t next_position[FIG_STREAMS];
	enum fig_following reader_state;
	int64_t offsets_us; /* when these were received; 0 if never */
	/* When the store held no records of the topic after next_position, by this
	 * host's clock; 0 if unknown. */
	int64_t as_of_us[FIG_TOPICS];
	bool fetching; /* for the caller: records are being fetched */
};
TAILQ_HEAD(relay_hosts, relay_host);

enum relay_mode {
	RELAY_MESH,	/* reports to all hosts */
	RELAY_MEMBER,	/* gets digests from delegates */
	RELAY_DELEGATE, /* hosts report to it, or it finds no delegate */
};

/* This host's own state, borrowed until the next call of relay_set_self(). */
struct relay_self {
	const struct relay_load *load;
	uint32_t n_loads;
	uint32_t waiting;
	uint64_t counter; /* of the last message sent */
	uint64_t next_position[FIG_STREAMS];
	enum fig_following reader_state;
	/* As in struct relay_host. */
	int64_t as_of_us[FIG_TOPICS];
	/* Totals of this host beside those of accounts, since its start. */
	const struct totals_row *total;
	uint32_t n_own_totals;
};

/* A message that relay_tick() wants to be sent. */
enum relay_send_kind {
	RELAY_SEND_REPORT,
	RELAY_SEND_ROWS,
};

struct relay_send {
	enum relay_send_kind kind;
	const char *addr; /* borrowed until the next call */
	bool asks;	  /* the report asks for a digest */
};

#define RELAY_SENDS_MAX 512

struct relay {
	char name[RELAY_NAME_BYTES];
	uint64_t id;
	uint64_t boot;
	int64_t start_us;
	struct relay_host **host; /* all others, ascending ids; owned */
	uint32_t n_hosts;
	uint32_t hosts_capacity;
	struct relay_hosts alive;
	struct relay_hosts silent;
	struct relay_hosts delegates; /* that sent rows lately */
	uint32_t waiting;	      /* of living hosts */
	struct relay_domain *domain;  /* RELAY_DOMAINS_MAX rows; owned */
	uint32_t n_domains;
	struct relay_domain *own_domain;
	struct relay_load *total; /* of living hosts, ascending; owned */
	uint32_t n_totals;
	uint32_t totals_capacity;
	struct relay_self self;

	bool partial; /* hosts may be missing; see relay_set_partial() */
	enum relay_mode mode;
	int64_t mode_us;     /* since when */
	int64_t reported_us; /* last report of its domain; 0 if none */
	int64_t now_us;	     /* time of the last event */
	int64_t input_us;    /* see relay_set_input_time() */
	int64_t report_us;   /* last report sent */
	int64_t rows_us;     /* last rows sent */
	uint32_t rows_bytes; /* their size, about */
	uint32_t rows_sends; /* the number of hosts that they were sent to */
	uint32_t turn;	     /* counts requests for a digest */

	int64_t answer_us; /* last digest received, complete or not */
	/* The last complete digest. */
	int64_t digest_us; /* when it was received; 0 if none */
	uint32_t digest_waiting;
	uint32_t digest_oldest_ms;
	struct relay_load *digest_load; /* ascending; owned */
	uint32_t n_digest_loads;

	/* Consumption. */
	struct totals_keys accounts;
	struct totals_group others; /* sources: delegates, by digests */
	/* By column: what was counted of the own domain's and of all hosts. */
	int64_t *domain_spent;
	int64_t *all_spent;
	uint32_t spent_capacity;
	struct ratelimit *limits; /* borrowed */
	/* Set by the caller, or NULL: called with each change of what other hosts
	 * report together, of accounts and of other totals. */
	totals_fn on_total;
	void *on_total_ctx;
};

/*
 * Starts without other hosts. What they consume is deducted from limits, whose
 * own consumption is reported to them. Returns 0 or -ENOMEM.
 */
int relay_init(struct relay *r, const char *name, const char *domain,
	       uint64_t boot, struct ratelimit *limits, int64_t now_us);
void relay_finish(struct relay *r);
/* Names a later start of this host's process in the messages from now on. */
void relay_raise_start(struct relay *r, uint64_t boot);

/*
 * Adds or updates a host that has a record; domain is "" if the record does not
 * name it. Ignores this host itself. Returns true if the host is new.
 */
bool relay_add(struct relay *r, const char *name, const char *domain,
	       const char *addr, int64_t now_us);
/*
 * Removes a host whose record was deleted, at once or, if it is alive, as soon as
 * it is not. Returns true if it was known.
 */
bool relay_remove(struct relay *r, const char *name);
/* Returns the host with this name, or NULL. */
struct relay_host *relay_find(const struct relay *r, const char *name);

/*
 * Says whether the hosts that were added may be only a part of all, such as those of
 * this host's domain while the list of all hosts is being read. A part may look like a
 * mesh, but if there are more hosts, those that know them report to delegates only:
 * this host then asks delegates of its domain, however few hosts it knows.
 */
void relay_set_partial(struct relay *r, bool partial);
/*
 * Tells the earliest time at which the messages that are handled next may have
 * arrived. What a message says is taken to be true as of then: a process that was
 * stopped for a while finds messages that have waited as long.
 */
void relay_set_input_time(struct relay *r, int64_t input_us);
/* Sets this host's own state, for the messages that it sends. */
void relay_set_self(struct relay *r, const struct relay_self *self);

/*
 * Handle messages of the host with this name, by its process that started at
 * boot; counter orders its messages. They return the host, or NULL if memory is
 * exhausted or it is this host. On a report whose asks is set the caller sends
 * the digest of relay_fill_digest().
 */
struct relay_host *relay_on_report(struct relay *r, const char *name,
				   uint64_t boot, uint64_t counter,
				   const struct fig_share *s, int64_t now_us);
struct relay_host *relay_on_rows(struct relay *r, const char *name,
				 uint64_t boot, uint64_t counter,
				 const struct fig_rows *rows, int64_t now_us);
struct relay_host *relay_on_digest(struct relay *r, const char *name,
				   uint64_t boot, uint64_t counter,
				   const struct fig_digest *d, int64_t now_us);

/*
 * Advances time; to be called every RELAY_ROWS_US. Fills out with the messages
 * to send now and returns their number, at most RELAY_SENDS_MAX.
 */
uint32_t relay_tick(struct relay *r, int64_t now_us, struct relay_send *out);

/*
 * Fill the arrays and numbers of a message; domain and addr are the caller's to
 * set. They return 0 or -ENOMEM; the arrays are freed by relay_free_rows() and
 * relay_free_digest() in either case.
 */
int relay_fill_rows(struct relay *r, struct fig_rows *rows, int64_t now_us);
void relay_free_rows(struct fig_rows *rows);
int relay_fill_digest(struct relay *r, const struct relay_host *to,
		      struct fig_digest *d, int64_t now_us);
void relay_free_digest(struct fig_digest *d);

/* view.c: what this host knows. */

/* Sets the load of all other hosts at an endpoint. */
void relay_get_load(const struct relay *r, uint32_t endpoint, int64_t now_us,
		    uint32_t *running, uint32_t *tokens);
/* Returns the number of known hosts, this one included. */
uint32_t relay_known(const struct relay *r, int64_t now_us);
/* Returns how many of these are alive, as far as this host hears. */
uint32_t relay_living(const struct relay *r, int64_t now_us);
/* Returns the place of this host among all hosts with a record or heard of, in the
 * order of their ids, and sets *n to their number. */
uint32_t relay_rank(const struct relay *r, uint32_t *n);
/*
 * Returns the place of this host for a task, by a hash of the task's name and of the
 * hosts' names (rendezvous hashing), among the living hosts. A member hears delegates
 * only, and counts all hosts that are not known to be gone.
 */
uint32_t relay_rank_for(const struct relay *r, const char *task);
/* Returns the number of requests that wait at other hosts. */
uint32_t relay_waiting(const struct relay *r, int64_t now_us);
/* Returns true if a host of the domain is alive. */
bool relay_domain_is_alive(const struct relay *r, const struct relay_domain *d,
			   int64_t now_us);
/* Returns the age of the oldest part of what this host knows; -1 if nothing. */
int64_t relay_age_us(const struct relay *r, int64_t now_us);
/* Returns how old what this host knows of consumption usually is by now. */
int64_t relay_staleness_us(const struct relay *r, int64_t now_us);
/* Returns true if this host's sums come from digests, not from rows. */
bool relay_uses_digest(const struct relay *r, int64_t now_us);
/* Returns true if a delegate has been one for long enough to know all hosts. */
bool relay_is_complete(const struct relay *r, int64_t now_us);
/*
 * Returns true if another host of the domain that ranks before this one, or
 * answered it lately as a delegate, reads the store's streams itself.
 */
bool relay_has_reader(const struct relay *r, int64_t now_us);
/*
 * Returns true if RELAY_DELEGATES other hosts of the domain that are not down
 * rank before this one.
 */
bool relay_has_seniors(const struct relay *r);
/*
 * Returns the place of this host among the hosts that read the store's streams
 * themselves, by their ids and as far as it has heard of them lately. It counts as
 * one of them.
 */
uint32_t relay_reader_rank(const struct relay *r, int64_t now_us);
/* Returns how many hosts of this host's domain are alive, this one included. */
uint32_t relay_living_in_domain(const struct relay *r, int64_t now_us);
/* Returns the ages to send of a host's knowledge of the store, from times as in
 * struct relay_self. */
void relay_fill_ages(const int64_t *as_of_us, int64_t now_us,
		     unsigned int out[FIG_TOPICS]);

#endif
