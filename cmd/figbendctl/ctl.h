#ifndef FIGBEND_CTL_H
#define FIGBEND_CTL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config.h"
#include "jread.h"

/* Exit codes of every command. */
#define CTL_OK 0
#define CTL_FAILED 1   /* the other side said no, or can't be reached */
#define CTL_USAGE 2    /* the command line or the file is wrong */
#define CTL_STALE 3    /* another change came first */
#define CTL_IN_DOUBT 4 /* the change may or may not be in force */

struct ctl_args {
	const char *platform_url; /* http://IP:PORT */
	const char *admin_addr;	  /* of a host, IP:PORT */
	const char *const *admin; /* all that were given */
	int admin_n;
	int64_t against;       /* version; -1: the one in force */
	const char *by;	       /* who makes the change */
	const char *separator; /* of CSV fields */
	bool dry_run;	       /* show what would change, and stop */
	bool json;
	bool again; /* keys that were withdrawn may be valid again */
	bool anew;  /* begin anew after the log lost every version */
	const char *const *word; /* what follows the command */
	int word_n;
};

/* What became of the record with an id. */
struct ctl_found {
	const char *id;
	bool found;
	enum config_outcome outcome;
	uint64_t offset;
};

struct ctl_answer {
	int error;
	uint32_t status;
	char *body; /* freed by the caller; never NULL on error 0 */
	size_t n;
};

/* http.c: one call, waited for. */
void ctl_fetch(const char *method, const char *url, const char *body, size_t n,
	       uint32_t timeout_ms, struct ctl_answer *out);
/* Folds the configuration stream as it is now. Returns 0 or -EIO. */
int ctl_fold(const char *platform_url, struct config_state *fold,
	     struct ctl_found *found);
void ctl_sleep_ms(uint32_t ms);

/* declare.c: reading and checking declarations. */
int ctl_load(const char *path, char **text, struct config **out);
int ctl_parse(const char *text, const char *name, struct config **out);
int ctl_in_force(const struct ctl_args *a, struct config_state *fold);
int64_t ctl_version_line(const char *text);
const char *ctl_body(const char *text);
/* diff.c: a line for each item and value that differs. Returns how many. */
uint32_t ctl_print_diff(const char *from, const char *to);
/* apply.c: publishes a text; path is the file it stands in, or NULL. */
int ctl_publish(const struct ctl_args *a, const struct config_state *fold,
		const char *path, const char *text, bool edited);

int ctl_check(const struct ctl_args *a);
int ctl_diff(const struct ctl_args *a);
int ctl_withdraw_key(const struct ctl_args *a);
int ctl_drain(const struct ctl_args *a);
int ctl_return(const struct ctl_args *a);
int ctl_limits(const struct ctl_args *a);
int ctl_apply(const struct ctl_args *a);
int ctl_show(const struct ctl_args *a);
int ctl_keygen(const struct ctl_args *a);
int ctl_status(const struct ctl_args *a);
int ctl_burn(const struct ctl_args *a);
int ctl_explain(const struct ctl_args *a);

#endif
