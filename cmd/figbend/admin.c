#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "daemon.h"
#include "reports.h"

#define METRICS_MAX_BYTES 65536

static void respond_text(struct httpd_call *c, unsigned int status,
			 const char *text)
{
	httpd_answer(c, status, "text/plain", NULL, text, strlen(text));
}

/* Responds with 200 if this host can serve requests, else with 503 and why. */
static void handle_ready(struct daemon *d, struct httpd_call *c)
{
	if (d->stopping)
		respond_text(c, 503, "stopping\n");
	else if (!d->board.config.current)
		respond_text(c, 503, "no configuration yet\n");
	else if (!admit_control_is_ready(d))
		respond_text(c, 503, "no endpoint takes work yet\n");
	else if (!quota_control_is_ready(d))
		respond_text(c, 503, "rate limits are not active yet\n");
	else
		respond_text(c, 200, "ready\n");
}

/* Copies the counters of the transports into the metrics. */
static void update_metrics(struct daemon *d)
{
	const struct peer_counters *p = &d->peer.counters;
	const struct platform_counters *pl = &d->platform.counters;
	uint64_t *value = d->board.metrics.value;

	value[METRIC_PEER_SENT] = p->sent;
	value[METRIC_PEER_SENT_BYTES] = p->sent_bytes;
	value[METRIC_PEER_RECEIVED] = p->received;
	value[METRIC_PEER_RECEIVED_BYTES] = p->received_bytes;
	value[METRIC_PEER_REJECTED] = p->malformed + p->unknown_version +
				      p->unauthenticated + p->replayed;
	value[METRIC_PEER_TIMED_OUT] = p->calls_timed_out;
	value[METRIC_PLATFORM_CALLS] = pl->calls;
	value[METRIC_PLATFORM_SENT_BYTES] = pl->sent_bytes;
	value[METRIC_PLATFORM_RECEIVED_BYTES] = pl->received_bytes;
}

static void handle_metrics(struct daemon *d, struct httpd_call *c)
{
	char *text = malloc(METRICS_MAX_BYTES);
	int n = -1;

	update_metrics(d);
	if (text)
		n = metrics_write(&d->board.metrics, text, METRICS_MAX_BYTES);
	if (n >= 0)
		httpd_answer(c, 200, "text/plain; version=0.0.4", NULL, text,
			     (size_t)n);
	else
		respond_text(c, 500, "out of memory\n");
	free(text);
}

static struct json_object *hosts_json(const struct daemon *d)
{
	struct json_object *array = json_object_new_array();
	const struct board_host *h;
	struct json_object *o;
	uint32_t i;

	for (i = 0; i < d->board.hosts.n; i++) {
		h = &d->board.hosts.host[i];
		o = json_object_new_object();
		json_object_object_add(o, "name",
				       json_object_new_string(h->name));
		json_object_object_add(o, "domain",
				       json_object_new_string(h->domain));
		json_object_object_add(
			o, "config_version",
			json_object_new_int64((int64_t)h->config_version));
		json_object_object_add(
			o, "silent_ms",
			json_object_new_int64(h->last_heartbeat_us
						      ? (daemon_now_us(d) -
							 h->last_heartbeat_us) /
								1000
						      : -1));
		json_object_object_add(o, "leaving",
				       json_object_new_boolean(h->leaving));
		json_object_array_add(array, o);
	}
	return array;
}

static struct json_object *endpoints_json(const struct daemon *d)
{
	struct json_object *array = json_object_new_array();
	const struct admit_endpoint *e;
	struct json_object *o;
	uint32_t i;

	for (i = 0; i < d->board.admit.n; i++) {
		e = &d->board.admit.endpoint[i];
		o = json_object_new_object();
		json_object_object_add(o, "name",
				       json_object_new_string(e->name));
		json_object_object_add(o, "slots_used",
				       json_object_new_int64(e->slots_used));
		json_object_object_add(o, "slots",
				       json_object_new_int64(e->slots));
		json_object_object_add(o, "open",
				       json_object_new_boolean(e->in_service));
		json_object_array_add(array, o);
	}
	return array;
}

static void handle_status(struct daemon *d, struct httpd_call *c)
{
	const struct config *conf = d->board.config.current;
	struct json_object *root = json_object_new_object();
	const char *text;

	json_object_object_add(root, "host",
			       json_object_new_string(d->settings.host));
	json_object_object_add(root, "domain",
			       json_object_new_string(d->settings.domain));
	json_object_object_add(
		root, "config_version",
		json_object_new_int64(conf ? (int64_t)conf->version : 0));
	json_object_object_add(
		root, "platform",
		json_object_new_boolean(d->config_control.platform_ok));
	json_object_object_add(root, "stopping",
			       json_object_new_boolean(d->stopping));
	json_object_object_add(
		root, "epoch",
		json_object_new_int64((int64_t)d->board.epoch.number));
	json_object_object_add(root, "epoch_hosts",
			       json_object_new_int64(d->board.epoch.n));
	json_object_object_add(
		root, "epoch_current",
		json_object_new_boolean(host_control_is_current(d)));
	json_object_object_add(root, "hosts", hosts_json(d));
	json_object_object_add(root, "endpoints", endpoints_json(d));
	text = json_object_to_json_string_ext(root, JSON_C_TO_STRING_PRETTY);
	httpd_answer(c, 200, "application/json", NULL, text, strlen(text));
	json_object_put(root);
}

/* Responds as long as the event loop runs. */
static void handle_health(struct daemon *d, struct httpd_call *c)
{
	respond_text(c, 200, "ok\n");
}

static const struct {
	const char *path;
	void (*handle)(struct daemon *d, struct httpd_call *c);
} pages[] = {
	{"/healthz", handle_health},	{"/readyz", handle_ready},
	{"/metrics", handle_metrics},	{"/status", handle_status},
	{"/burn", reports_handle_burn}, {"/explain", reports_handle_explain},
};

/*
 * Handles a call to the admin address: health, readiness, metrics, status and
 * reports. ctx is the daemon.
 */
void admin_handle(void *ctx, struct httpd_call *c)
{
	const char *path = httpd_path(c);
	size_t i;

	if (strcmp(httpd_method(c), "GET")) {
		respond_text(c, 405, "the method must be GET\n");
		return;
	}
	for (i = 0; i < sizeof(pages) / sizeof(pages[0]); i++)
		if (strcmp(path, pages[i].path) == 0) {
			pages[i].handle(ctx, c);
			return;
		}
	respond_text(c, 404, "no such page\n");
}
