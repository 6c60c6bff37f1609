#ifndef FIGBEND_BOARD_H
#define FIGBEND_BOARD_H

#include <stdint.h>
#include <sys/queue.h>

#include "admit.h"
#include "burn.h"
#include "config.h"
#include "fairq.h"
#include "member.h"
#include "metrics.h"
#include "quarantine.h"
#include "quota.h"
#include "retry.h"
#include "trace.h"

/*
 * The state that the controllers of a host share, after the blackboard pattern.
 * Every controller may read all of it. After the start, each field of struct
 * board is written only by the files named with it. Times are of the monotonic
 * clock, in microseconds.
 */

#define BOARD_HOSTS_MAX 1024

/* A host that this one knows, itself included. */
struct board_host {
	char name[64];
	char domain[64];
	char addr[64];		   /* for messages between hosts */
	uint64_t config_version;   /* of its last heartbeat */
	int64_t last_heartbeat_us; /* 0 if none was received */
	bool listed;		   /* in the platform's list or the epoch */
	bool leaving;
};

struct board_hosts {
	struct board_host host[BOARD_HOSTS_MAX];
	uint32_t n;
};

struct board_config {
	struct config *current; /* in force, a reference; NULL if none yet */
};

/* The rate limit of a client account, as a borrower and as a lender. */
struct board_account {
	char name[CONFIG_NAME_BYTES];
	struct quota quota;
	/* Position of the host of quota.remote[i] in the epoch */
	uint32_t lender_index[QUOTA_LENDERS_MAX];
	uint32_t refs; /* by the list, requests and borrow calls */
	bool is_new;   /* no limits were assigned since it was added */
	TAILQ_ENTRY(board_account) entry;
};
TAILQ_HEAD(board_accounts, board_account);

/* The queued requests for one model. */
struct board_queue {
	char model[CONFIG_NAME_BYTES];
	struct fairq queue;
	struct fairq_forecast forecast;
	TAILQ_ENTRY(board_queue) entry;
};
TAILQ_HEAD(board_queues, board_queue);

struct serving;
TAILQ_HEAD(board_requests, serving);

struct board {
	struct board_config config;	/* config_control.c */
	struct board_hosts hosts;	/* host_control.c */
	struct member_epoch epoch;	/* host_control.c */
	struct board_accounts accounts; /* quota_control.c */
	struct board_queues queues;	/* queue_control.c */
	/* admit_, owner_, load_, release_ and plan_control.c */
	struct admit admit;
	struct board_requests requests;	    /* serving.c */
	struct retry_budgets retry_budgets; /* serving.c */
	struct quarantine quarantine;	    /* quarantine_control.c */
	struct burn burn;		    /* observe_control.c */
	struct trace trace;		    /* observe_control.c */
	struct metrics metrics;		    /* all files that count events */
};

#endif
