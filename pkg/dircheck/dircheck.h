#ifndef FIGBEND_DIRCHECK_H
#define FIGBEND_DIRCHECK_H

#include <stdint.h>

#include "directory.h"

/*
 * Checks a configuration for entries that never match and for settings that
 * contradict each other, and compares two configurations. API keys are never
 * part of a finding; the first 8 hexadecimal digits of their namehash() are.
 */

#define DIRCHECK_PATH_BYTES 320
#define DIRCHECK_TEXT_BYTES 320

enum dircheck_severity {
	DIRCHECK_ERROR,
	DIRCHECK_WARNING,
	DIRCHECK_CHANGE, /* a difference of two configurations */
};

struct dircheck_finding {
	enum dircheck_severity severity;
	/* The entry, as "route[3]", counted from 0 in the order of the
	 * document; in a difference by its name, as "account[acme]". */
	char path[DIRCHECK_PATH_BYTES];
	char text[DIRCHECK_TEXT_BYTES];
};

/* The caller owns the findings and sets them and capacity, with n = 0. */
struct dircheck_list {
	struct dircheck_finding *finding;
	uint32_t capacity;
	uint32_t n;
	uint32_t dropped; /* findings for which there was no space */
};

/* Adds what is wrong in d. */
void dircheck_check(const struct directory *d, struct dircheck_list *out);
/* Adds what changes when after replaces before, except the version. */
void dircheck_compare(const struct directory *before,
		      const struct directory *after, struct dircheck_list *out);
/*
 * Adds a finding whose path is PART[NAME] and whose text is formatted. For the
 * use of this package.
 */
void dircheck_add(struct dircheck_list *out, enum dircheck_severity severity,
		  const char *part, const char *name, const char *format, ...)
	__attribute__((format(printf, 5, 6)));

#endif
