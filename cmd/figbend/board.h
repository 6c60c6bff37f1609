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
 * What the controllers of a host share. Each section has one controller that
 * writes it, named beside it; all may read.
 */

#define BOARD_HOSTS_MAX 1024

struct board_host {
	char name[64];
	char domain[64];
	char addr[64];
	uint64_t config_version;
	int64_t last_heartbeat_us; /* last heartbeat; 0: none */
	bool listed;		   /* by the platform, or a member */
	bool leaving;
};

struct board_hosts {
	struct board_host host[BOARD_HOSTS_MAX];
	uint32_t n;
};

struct board_config {
	struct config *current; /* in force; NULL: none yet */
};

struct board_account {
	char name[CONFIG_NAME_BYTES];
	struct quota quota;
	uint32_t lender_index
		[QUOTA_LENDERS_MAX]; /* of the sources, in the epoch */
	uint32_t refs;		     /* the list, requests, draws */
	bool is_new;		     /* never declared before */
	TAILQ_ENTRY(board_account) entry;
};
TAILQ_HEAD(board_accounts, board_account);

/* The requests that wait for one model. */
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
	struct board_config config;	    /* config_control.c */
	struct board_hosts hosts;	    /* host_control.c */
	struct member_epoch epoch;	    /* host_control.c */
	struct board_accounts accounts;	    /* quota_control.c */
	struct board_queues queues;	    /* queue_control.c */
	struct admit admit;		    /* admit_control.c */
	struct board_requests requests;	    /* serving.c */
	struct retry_budgets retry_budgets; /* serving.c */
	struct quarantine quarantine;	    /* suspect_control.c */
	struct burn burn;		    /* observe_control.c */
	struct trace trace;		    /* observe_control.c */
	struct metrics metrics;		    /* whoever counts */
};

#endif
