#include <argtable2.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>

#include "logline.h"
#include "standin.h"

struct options {
	struct arg_str *addr;
	struct arg_str *admin;
	struct arg_int *slots;
	struct arg_int *pieces;
	struct arg_int *prefill_us;
	struct arg_int *prefill_token_us;
	struct arg_int *step_us;
	struct arg_int *step_run_us;
	struct arg_int *kv_lifetime_ms;
	struct arg_int *link_kbytes_s;
	struct arg_int *kv_token_bytes;
	struct arg_int *load_lag_ms;
	struct arg_int *event_lag_ms;
	struct arg_int *cold_ms;
	struct arg_int *cold_slots;
	struct arg_end *end;
};

static void set_engine(struct engine *e, const struct options *o)
{
	struct timing *t = &e->timing;

	e->slots = (uint32_t)o->slots->ival[0];
	e->pieces = (uint32_t)o->pieces->ival[0];
	t->prefill_us = (uint32_t)o->prefill_us->ival[0];
	t->prefill_token_us = (uint32_t)o->prefill_token_us->ival[0];
	t->step_us = (uint32_t)o->step_us->ival[0];
	t->step_run_us = (uint32_t)o->step_run_us->ival[0];
	t->kv_lifetime_ms = (uint32_t)o->kv_lifetime_ms->ival[0];
	t->link_bytes_s = (uint64_t)o->link_kbytes_s->ival[0] * 1000;
	t->kv_token_bytes = (uint32_t)o->kv_token_bytes->ival[0];
	t->load_lag_ms = (uint32_t)o->load_lag_ms->ival[0];
	t->event_lag_ms = (uint32_t)o->event_lag_ms->ival[0];
	t->cold_ms = (uint32_t)o->cold_ms->ival[0];
	t->cold_slots = (uint32_t)o->cold_slots->ival[0];
}

static struct arg_int *number(const char *name, int value, const char *help)
{
	struct arg_int *a = arg_int0(NULL, name, "N", help);

	a->ival[0] = value;
	return a;
}

static void on_stop(struct ev_loop *loop, ev_signal *w, int revents)
{
	ev_break(loop, EVBREAK_ALL);
}

static int run(const struct options *o)
{
	static struct engine e;
	ev_signal term;

	logline_init("standin_engine", LOG_WARNING);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	e.loop = ev_default_loop(0);
	set_engine(&e, o);
	if (engine_open(&e, o->addr->sval[0], o->admin->sval[0]) < 0) {
		fprintf(stderr, "standin_engine: cannot listen on %s or %s\n",
			o->addr->sval[0], o->admin->sval[0]);
		return 1;
	}
	ev_signal_init(&term, on_stop, SIGTERM);
	ev_signal_start(e.loop, &term);
	ev_run(e.loop, 0);
	return 0;
}

int main(int argc, char **argv)
{
	struct options o = {
		.addr = arg_str1(NULL, "addr", "IP:PORT", "takes orders"),
		.admin = arg_str1(NULL, "admin", "IP:PORT", "takes faults"),
		.slots = number("slots", 20, "runs at once"),
		.pieces = number("pieces", 80, "memory pieces"),
		.prefill_us = number("prefill-us", 5000, "prefill, constant"),
		.prefill_token_us =
			number("prefill-token-us", 20, "prefill, a token"),
		.step_us = number("step-us", 4000, "decode step, constant"),
		.step_run_us = number("step-run-us", 100, "decode step, a run"),
		.kv_lifetime_ms =
			number("kv-lifetime-ms", 800, "life of a KV result"),
		.link_kbytes_s =
			number("link-kbytes-s", 1000000, "rate of the link"),
		.kv_token_bytes =
			number("kv-token-bytes", 1000, "KV bytes a token"),
		.load_lag_ms = number("load-lag-ms", 100, "age of reports"),
		.event_lag_ms = number("event-lag-ms", 200, "age of events"),
		.cold_ms = number("cold-ms", 0, "cold after a start"),
		.cold_slots = number("cold-slots", 4, "bears while cold"),
		.end = arg_end(8),
	};
	void *table[] = {o.addr,	   o.admin,
			 o.slots,	   o.pieces,
			 o.prefill_us,	   o.prefill_token_us,
			 o.step_us,	   o.step_run_us,
			 o.kv_lifetime_ms, o.link_kbytes_s,
			 o.kv_token_bytes, o.load_lag_ms,
			 o.event_lag_ms,   o.cold_ms,
			 o.cold_slots,	   o.end};
	int r = 2;

	if (arg_parse(argc, argv, table) == 0)
		r = run(&o);
	else
		arg_print_errors(stderr, o.end, "standin_engine");
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return r;
}
