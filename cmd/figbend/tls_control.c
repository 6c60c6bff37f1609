#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "daemon.h"
#include "logline.h"

/* Overwrites and frees a text, which may be NULL. */
static void wipe_free(char *text, size_t n)
{
	if (text)
		explicit_bzero(text, n);
	free(text);
}

/*
 * Reads the certificate and the key and replaces the pair in use. Returns 0, or
 * a negative error: of a file that cannot be read, or -EINVAL if the two are
 * malformed or do not match.
 */
static int read_files(struct daemon *d)
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
	wipe_free(key, key_n);
	return r;
}

/*
 * Loads the certificate and the key of the callers' address, if the settings
 * name them. Open connections keep the pair that they use. Returns 0, or a
 * negative error, which is logged; the old pair then stays in use.
 */
int tls_control_load(struct daemon *d)
{
	int r;

	if (!d->settings.tls_certificate_file[0])
		return 0;
	r = read_files(d);
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

static void on_sighup(struct ev_loop *loop, ev_signal *w, int revents)
{
	tls_control_load(w->data);
}

/* Starts to load the files again on each SIGHUP. */
void tls_control_start(struct daemon *d)
{
	ev_signal_init(&d->sighup, on_sighup, SIGHUP);
	d->sighup.data = d;
	ev_signal_start(d->loop, &d->sighup);
}
