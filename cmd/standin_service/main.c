#include <argtable2.h>
#include <ev.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "httpd.h"
#include "jread.h"
#include "logline.h"

/*
 * A stand-in plain service. Every call to it runs and is counted by its body,
 * so that a test sees whether one ran twice. Faults: POST /fault on the admin
 * address with {"name":"silent"|"lose-answer"|"slow","on":true}.
 */

#define SLOW_S 1.

struct ran {
	char *body;
	uint32_t times;
};

struct service {
	struct ev_loop *loop;
	struct httpd httpd;
	struct httpd admin;
	struct ran *ran;
	uint32_t ran_n;
	bool silent;	  /* takes a call and does not run or answer it */
	bool lose_answer; /* runs a call and cuts the connection */
	bool slow;	  /* answers late */
};

/* A call whose answer is held back. */
struct held {
	struct httpd_call *call;
	ev_timer timer;
};

static uint32_t count(struct service *s, const char *body)
{
	struct ran *r;
	uint32_t i;

	for (i = 0; i < s->ran_n; i++)
		if (strcmp(s->ran[i].body, body) == 0)
			return ++s->ran[i].times;
	r = realloc(s->ran, (s->ran_n + 1) * sizeof(*r));
	if (!r)
		abort();
	s->ran = r;
	r = &s->ran[s->ran_n++];
	r->body = strdup(body);
	r->times = 1;
	return 1;
}

static void answer(struct httpd_call *c)
{
	static const char body[] = "{\"ok\":true}";

	httpd_answer(c, 200, "application/json", NULL, body, strlen(body));
}

static void on_held(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct held *h = w->data;

	answer(h->call);
	free(h);
}

static void hold(struct service *s, struct httpd_call *c)
{
	struct held *h = calloc(1, sizeof(*h));

	if (!h)
		abort();
	h->call = c;
	ev_timer_init(&h->timer, on_held, SLOW_S, 0.);
	h->timer.data = h;
	ev_timer_start(s->loop, &h->timer);
}

static void on_call(void *ctx, struct httpd_call *c)
{
	struct service *s = ctx;
	size_t n;

	if (s->silent)
		return;
	count(s, httpd_body(c, &n));
	if (s->lose_answer)
		httpd_stream_abort(c);
	else if (s->slow)
		hold(s, c);
	else
		answer(c);
}

static void answer_record(struct service *s, struct httpd_call *c)
{
	struct json_object *array = json_object_new_array();
	struct json_object *o;
	const char *text;
	uint32_t i;

	for (i = 0; i < s->ran_n; i++) {
		o = json_object_new_object();
		json_object_object_add(o, "body",
				       json_object_new_string(s->ran[i].body));
		json_object_object_add(o, "times",
				       json_object_new_int64(s->ran[i].times));
		json_object_array_add(array, o);
	}
	text = json_object_to_json_string_ext(array, 0);
	httpd_answer(c, 200, "application/json", NULL, text, strlen(text));
	json_object_put(array);
}

static void set_fault(struct service *s, struct jread_node *root)
{
	char name[32];
	bool on;

	jread_string(root, "name", name, sizeof(name));
	on = jread_bool_or(root, "on", true);
	if (strcmp(name, "silent") == 0)
		s->silent = on;
	if (strcmp(name, "lose-answer") == 0)
		s->lose_answer = on;
	if (strcmp(name, "slow") == 0)
		s->slow = on;
}

static void on_admin(void *ctx, struct httpd_call *c)
{
	struct service *s = ctx;
	struct jread_errors faults;
	struct jread_node root;
	const char *body;
	size_t n;

	if (strcmp(httpd_path(c), "/record") == 0) {
		answer_record(s, c);
		return;
	}
	jread_errors_init(&faults);
	body = httpd_body(c, &n);
	if (jread_parse(body, n, "body", &faults, &root) == 0) {
		set_fault(s, &root);
		json_object_put(root.value);
	}
	jread_errors_free(&faults);
	answer(c);
}

static void on_stop(struct ev_loop *loop, ev_signal *w, int revents)
{
	ev_break(loop, EVBREAK_ALL);
}

static int run(const char *addr, const char *admin_addr)
{
	struct httpd_limits limits = {.connections = 1024,
				      .body_bytes = 1 << 20,
				      .connection_bytes = 32768,
				      .idle_s = 600};
	static struct service s;
	ev_signal term;

	logline_init("standin_service", LOG_WARNING);
	signal(SIGPIPE, SIG_IGN);
	s.loop = ev_default_loop(0);
	if (httpd_init(&s.httpd, s.loop, addr, &limits, NULL, on_call, &s) < 0)
		return 1;
	if (httpd_init(&s.admin, s.loop, admin_addr, &limits, NULL, on_admin,
		       &s) < 0)
		return 1;
	ev_signal_init(&term, on_stop, SIGTERM);
	ev_signal_start(s.loop, &term);
	ev_run(s.loop, 0);
	return 0;
}

int main(int argc, char **argv)
{
	struct arg_str *addr = arg_str1(NULL, "addr", "IP:PORT", "takes calls");
	struct arg_str *admin =
		arg_str1(NULL, "admin", "IP:PORT", "takes faults");
	struct arg_end *end = arg_end(8);
	void *table[] = {addr, admin, end};
	int r = 2;

	if (arg_parse(argc, argv, table) == 0)
		r = run(addr->sval[0], admin->sval[0]);
	else
		arg_print_errors(stderr, end, "standin_service");
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return r;
}
