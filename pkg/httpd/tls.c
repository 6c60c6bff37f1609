#include "tls.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define CHAIN_MAX 16
#define KEEP_REPLACED_US (600LL * 1000000) /* longer than any handshake */

struct httpd_identity {
	gnutls_pcert_st chain[CHAIN_MAX];
	unsigned int chain_n;
	gnutls_privkey_t key;
	int64_t replaced_us;
	struct httpd_identity *next;
};

/* The library's callback has no argument of ours: one TLS server a process. */
static const struct httpd_tls *serving;

void httpd_tls_serve(const struct httpd_tls *t)
{
	serving = t;
}

static void identity_free(struct httpd_identity *id)
{
	unsigned int i;

	for (i = 0; i < id->chain_n; i++)
		gnutls_pcert_deinit(&id->chain[i]);
	if (id->key)
		gnutls_privkey_deinit(id->key);
	free(id);
}

/* Tells whether the key is the one of the first certificate. */
static bool belong_together(const gnutls_datum_t *chain,
			    const gnutls_datum_t *key)
{
	gnutls_certificate_credentials_t c;
	int r;

	if (gnutls_certificate_allocate_credentials(&c) < 0)
		return false;
	r = gnutls_certificate_set_x509_key_mem(c, chain, key,
						GNUTLS_X509_FMT_PEM);
	gnutls_certificate_free_credentials(c);
	return r >= 0;
}

static struct httpd_identity *identity_new(const gnutls_datum_t *chain,
					   const gnutls_datum_t *key)
{
	struct httpd_identity *id = calloc(1, sizeof(*id));
	unsigned int n = CHAIN_MAX;

	if (!id)
		return NULL;
	if (gnutls_pcert_list_import_x509_raw(id->chain, &n, chain,
					      GNUTLS_X509_FMT_PEM, 0) < 0)
		goto out_free;
	id->chain_n = n;
	if (gnutls_privkey_init(&id->key) < 0)
		goto out_free;
	if (gnutls_privkey_import_x509_raw(id->key, key, GNUTLS_X509_FMT_PEM,
					   NULL, 0) < 0)
		goto out_free;
	return id;
out_free:
	identity_free(id);
	return NULL;
}

/* Frees what no handshake can still be using. */
static void drop_old(struct httpd_tls *t, int64_t now_us)
{
	struct httpd_identity **p = &t->replaced;
	struct httpd_identity *id;

	while ((id = *p)) {
		if (now_us - id->replaced_us < KEEP_REPLACED_US) {
			p = &id->next;
			continue;
		}
		*p = id->next;
		identity_free(id);
	}
}

/*
 * Takes a certificate chain and its key, both PEM, for the connections to come;
 * open ones go on with what they began with. Returns 0, or -EINVAL if they can't
 * be read or don't belong together: then the ones in use stay.
 */
int httpd_tls_load(struct httpd_tls *t, const char *chain, size_t chain_n,
		   const char *key, size_t key_n, int64_t now_us)
{
	gnutls_datum_t c = {(unsigned char *)chain, (unsigned int)chain_n};
	gnutls_datum_t k = {(unsigned char *)key, (unsigned int)key_n};
	struct httpd_identity *id;

	if (!belong_together(&c, &k))
		return -EINVAL;
	id = identity_new(&c, &k);
	if (!id)
		return -EINVAL;
	drop_old(t, now_us);
	if (t->current) {
		t->current->replaced_us = now_us;
		t->current->next = t->replaced;
		t->replaced = t->current;
	}
	t->current = id;
	return 0;
}

/* Frees everything; the server that used it is finished. */
void httpd_tls_finish(struct httpd_tls *t)
{
	struct httpd_identity *id;

	if (serving == t)
		serving = NULL;
	while ((id = t->replaced)) {
		t->replaced = id->next;
		identity_free(id);
	}
	if (t->current)
		identity_free(t->current);
	t->current = NULL;
}

/* Gives a handshake the identity in use. */
int httpd_tls_retrieve(gnutls_session_t session, const gnutls_datum_t *ca,
		       int ca_n, const gnutls_pk_algorithm_t *algorithms,
		       int algorithms_n, gnutls_pcert_st **chain,
		       unsigned int *chain_n, gnutls_privkey_t *key)
{
	if (!serving || !serving->current)
		return -1;
	*chain = serving->current->chain;
	*chain_n = serving->current->chain_n;
	*key = serving->current->key;
	return 0;
}
