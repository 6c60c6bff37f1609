#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "logline.h"
#include "standin.h"

int64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * 1000000LL + ts.tv_nsec / 1000;
}

void reply(struct httpd_call *c, unsigned int status, struct json_object *o)
{
	const char *s = json_object_to_json_string_ext(o, 0);

	httpd_answer(c, status, "application/json", NULL, s, strlen(s));
	json_object_put(o);
}

static void dispatch(struct platform *p, struct httpd_call *c)
{
	const char *path = httpd_path(c);

	if (strncmp(path, "/log/", 5) == 0)
		log_handle(p, c, path + 5);
	else if (strncmp(path, "/hosts/", 7) == 0)
		hosts_handle(p, c, path + 7);
	else if (strcmp(path, "/hosts") == 0)
		hosts_handle(p, c, "");
	else
		reply(c, 404, json_object_new_object());
}

/* A call that a slow platform holds back. */
struct held {
	struct platform *platform;
	struct httpd_call *call;
	ev_timer timer;
};

static void on_held(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct held *h = w->data;

	dispatch(h->platform, h->call);
	free(h);
}

static void on_call(void *ctx, struct httpd_call *c)
{
	struct platform *p = ctx;
	struct held *h;

	if (p->down) {
		httpd_stream_abort(c);
		return;
	}
	if (!p->slow_ms) {
		dispatch(p, c);
		return;
	}
	h = calloc(1, sizeof(*h));
	if (!h)
		abort();
	h->platform = p;
	h->call = c;
	ev_timer_init(&h->timer, on_held, p->slow_ms / 1000., 0.);
	h->timer.data = h;
	ev_timer_start(p->loop, &h->timer);
}

static void set_fault(struct platform *p, struct jread_node *root)
{
	p->down = jread_bool_or(root, "down", p->down);
	p->slow_ms =
		(uint32_t)jread_int_or(root, "slow_ms", p->slow_ms, 0, 600000);
	p->lose_answers = (uint32_t)jread_int_or(root, "lose_answers",
						 p->lose_answers, 0, 1000000);
	p->appends_a_s = (uint32_t)jread_int_or(root, "appends_a_s",
						p->appends_a_s, 0, 1000000);
	p->retention_ms = (uint32_t)jread_int_or(root, "retention_ms",
						 p->retention_ms, 0, INT32_MAX);
	if (p->down)
		log_cut_readers(p);
}

static struct json_object *counters(const struct platform *p)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(
		o, "appends", json_object_new_int64((int64_t)p->total_appends));
	json_object_object_add(o, "reads",
			       json_object_new_int64((int64_t)p->total_reads));
	return o;
}

/* POST /fault {"down":true,"slow_ms":N,"lose_answers":N,...}; GET counters. */
static void on_admin(void *ctx, struct httpd_call *c)
{
	struct platform *p = ctx;
	struct jread_errors faults;
	struct jread_node root;
	const char *body;
	size_t n;

	jread_errors_init(&faults);
	body = httpd_body(c, &n);
	if (n && jread_parse(body, n, "body", &faults, &root) == 0) {
		set_fault(p, &root);
		json_object_put(root.value);
	}
	jread_errors_free(&faults);
	reply(c, 200, counters(p));
}

static void on_stop(struct ev_loop *loop, ev_signal *w, int revents)
{
	ev_break(loop, EVBREAK_ALL);
}

static int run(struct platform *p, const char *addr, const char *admin_addr)
{
	struct httpd_limits limits = {.connections = 8192,
				      .body_bytes = 16 << 20,
				      .connection_bytes = 32768,
				      .idle_s = 600};
	ev_signal term;

	logline_init("standin_platform", LOG_WARNING);
	signal(SIGPIPE, SIG_IGN);
	p->loop = ev_default_loop(0);
	TAILQ_INIT(&p->streams);
	TAILQ_INIT(&p->readers);
	if (httpd_init(&p->httpd, p->loop, addr, &limits, NULL, on_call, p) < 0)
		return 1;
	if (httpd_init(&p->admin, p->loop, admin_addr, &limits, NULL, on_admin,
		       p) < 0)
		return 1;
	ev_signal_init(&term, on_stop, SIGTERM);
	ev_signal_start(p->loop, &term);
	ev_run(p->loop, 0);
	return 0;
}

int main(int argc, char **argv)
{
	static struct platform p;
	struct arg_str *addr = arg_str1(NULL, "addr", "IP:PORT", "serves");
	struct arg_str *admin =
		arg_str1(NULL, "admin", "IP:PORT", "takes faults");
	struct arg_int *appends =
		arg_int0(NULL, "appends-a-s", "N", "limit on appends");
	struct arg_int *retention =
		arg_int0(NULL, "retention-ms", "N", "life of records");
	struct arg_int *lag =
		arg_int0(NULL, "list-lag-ms", "N", "age of the host list");
	struct arg_int *ttl =
		arg_int0(NULL, "host-ttl-ms", "N", "life of an announcement");
	struct arg_end *end = arg_end(8);
	void *table[] = {addr, admin, appends, retention, lag, ttl, end};
	int r = 2;

	appends->ival[0] = 300;
	retention->ival[0] = 0;
	lag->ival[0] = 1000;
	ttl->ival[0] = 6000;
	if (arg_parse(argc, argv, table) == 0) {
		p.appends_a_s = (uint32_t)appends->ival[0];
		p.retention_ms = (uint32_t)retention->ival[0];
		p.list_lag_ms = (uint32_t)lag->ival[0];
		p.host_ttl_ms = (uint32_t)ttl->ival[0];
		r = run(&p, addr->sval[0], admin->sval[0]);
	} else {
		arg_print_errors(stderr, end, "standin_platform");
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return r;
}
