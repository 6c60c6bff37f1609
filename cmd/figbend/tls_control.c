#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "logline.h"

static void wipe(char *text, size_t n)
{
	if (text)
		explicit_bzero(text, n);
	free(text);
}

/* Reads both files anew. Returns 0, or an error and the pair in use stays. */
static int load(struct daemon *d)
{
	const struct settings *s = &d->settings;
	char *chain = NULL;
	char *key = NULL;
	size_t chain_n = 0;
	size_t key_n = 0;
	int r;

	r = settings_read_file(s->tls_certificate_file, &chain, &chain_n);
	if (r == 0)
		r = settings_read_file(s->tls_key_file, &key, &key_n);
	if (r == 0)
		r = httpd_tls_load(&d->tls, chain, chain_n, key, key_n,
				   daemon_now_us(d));
	free(chain);
	wipe(key, key_n);
	return r;
}

/*
 * Takes the certificate and key of the callers' address from their files, at the
 * start and again on SIGHUP. Open connections are left alone. Returns 0, or an
 * error, which is logged, and what was in use stays.
 */
int tls_control_load(struct daemon *d)
{
	int r;

	if (!d->settings.tls_certificate_file[0])
		return 0;
	r = load(d);
	if (r < 0)
		logline(LOG_ERR, "certificate-rejected",
			"file=%s error=\"%s\" in_use=%d",
			d->settings.tls_certificate_file, strerror(-r),
			d->tls.current != NULL);
	else
		logline(LOG_NOTICE, "certificate-loaded", "file=%s",
			d->settings.tls_certificate_file);
	return r;
}

static void on_hup(struct ev_loop *loop, ev_signal *w, int revents)
{
	tls_control_load(w->data);
}

/* Loads again on each SIGHUP. */
void tls_control_start(struct daemon *d)
{
	ev_signal_init(&d->sighup, on_hup, SIGHUP);
	d->sighup.data = d;
	ev_signal_start(d->loop, &d->sighup);
}
