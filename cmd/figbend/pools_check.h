#ifndef FIGBEND_POOLS_CHECK_H
#define FIGBEND_POOLS_CHECK_H

#include <stdio.h>

/*
 * Checks the platform's configuration in file and, unless against is NULL, lists
 * what changes from the one in against. "store:IP:PORT" names the newest one of a
 * store. Prints one finding per line to out, and
 * on stderr why a file could not be read. Returns the exit code: 0 without
 * findings, 1 with findings, 2 if a file could not be read.
 */
int pools_check(const char *file, const char *against, FILE *out);

#endif
