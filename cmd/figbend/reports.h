#ifndef FIGBEND_REPORTS_H
#define FIGBEND_REPORTS_H

#include "daemon.h"

/* Pages of the admin address on what a host did: burn and explain. */

void reports_handle_burn(struct daemon *d, struct httpd_call *c);
void reports_handle_explain(struct daemon *d, struct httpd_call *c);

#endif
