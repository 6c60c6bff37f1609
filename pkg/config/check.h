#ifndef FIGBEND_CONFIG_CHECK_H
#define FIGBEND_CONFIG_CHECK_H

#include "config.h"

/*
 * Validates what the declarations of c say of each other: names and ids must be
 * unique, references must name an existing declaration, shares must add up to
 * one. Adds an error for each violation; name is the first part of its path.
 */
void config_check(const struct config *c, const char *name,
		  struct jread_errors *errors);

#endif
