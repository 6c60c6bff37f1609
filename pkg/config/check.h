#ifndef FIGBEND_CONFIG_CHECK_H
#define FIGBEND_CONFIG_CHECK_H

#include "config.h"

void config_check(const struct config *c, const char *name,
		  struct jread_errors *faults);

#endif
