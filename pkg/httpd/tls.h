#ifndef FIGBEND_HTTPD_TLS_H
#define FIGBEND_HTTPD_TLS_H

#include <gnutls/abstract.h>
#include <gnutls/gnutls.h>

#include "httpd.h"

/* Inside the package: what the server asks at each handshake. */

void httpd_tls_serve(const struct httpd_tls *t);
int httpd_tls_retrieve(gnutls_session_t session, const gnutls_datum_t *ca,
		       int ca_n, const gnutls_pk_algorithm_t *algorithms,
		       int algorithms_n, gnutls_pcert_st **chain,
		       unsigned int *chain_n, gnutls_privkey_t *key);

#endif
