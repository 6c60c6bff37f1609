#ifndef FIGBEND_REPORTS_H
#define FIGBEND_REPORTS_H

#include "daemon.h"

/*
 * JSON pages of the admin address: /burn, the use of the error budgets on this
 * host, and /explain, the trace of one request. Each function responds to c.
 */

void reports_handle_burn(struct daemon *d, struct httpd_call *c);
void reports_handle_explain(struct daemon *d, struct httpd_call *c);

#endif
