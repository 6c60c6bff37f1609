#include <argtable2.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"
#include "logline.h"
#include "measure.h"
#include "open.h"

#define EXIT_OK 0
#define EXIT_NOT_WHOLE 1
#define EXIT_USAGE 2
#define SCENARIO_FILE_BYTES (1 << 20)

/* Sends one request after the other on so many connections. */
static int run_closed(struct load *l)
{
	l->loop = ev_default_loop(0);
	if (fetch_init(&l->fetch, l->loop, l->concurrency) < 0)
		return 1;
	caller_start_next(l);
	ev_run(l->loop, 0);
	fetch_finish(&l->fetch);
	printf("requests=%u whole=%u wrong=%u failed=%u tried_again=%u "
	       "tokens=%llu\n",
	       l->requests, l->whole, l->wrong, l->failed, l->tried_again,
	       (unsigned long long)l->tokens);
	return l->whole == l->requests ? EXIT_OK : EXIT_NOT_WHOLE;
}

static int read_scenario(struct scenario *s, const char *path)
{
	static char text[SCENARIO_FILE_BYTES];
	struct jread_errors faults;
	FILE *f = fopen(path, "re");
	uint32_t i;
	size_t n;
	int r;

	if (!f) {
		fprintf(stderr, "figload: cannot read %s\n", path);
		return -1;
	}
	n = fread(text, 1, sizeof(text), f);
	fclose(f);
	jread_errors_init(&faults);
	r = scenario_parse(s, text, n, path, &faults);
	for (i = 0; i < faults.n; i++)
		fprintf(stderr, "figload: %s\n", faults.message[i]);
	jread_errors_free(&faults);
	return r;
}

/* Gives an account its key, from "ACCOUNT=KEY". */
static void set_key(struct scenario *s, const char *text)
{
	const char *key = strchr(text, '=');
	uint32_t i;

	for (i = 0; key && i < s->account_n; i++)
		if (strlen(s->account[i].name) == (size_t)(key - text) &&
		    strncmp(s->account[i].name, text, (size_t)(key - text)) ==
			    0)
			snprintf(s->account[i].key, SCENARIO_KEY_BYTES, "%s",
				 key + 1);
}

static void set_addrs(char (*out)[SCENARIO_ADDR_BYTES], uint32_t *n,
		      const struct arg_str *a)
{
	int i;

	if (!a->count)
		return;
	*n = (uint32_t)a->count;
	for (i = 0; i < a->count; i++)
		snprintf(out[i], SCENARIO_ADDR_BYTES, "%s", a->sval[i]);
}

/* Runs a scenario, prints its measures and writes them to a file, if named. */
static int measure_scenario(const struct scenario *s, const char *json_path)
{
	struct open_load load;
	struct measure m;
	int r = EXIT_NOT_WHOLE;

	if (open_load_run(&load, s) < 0 || !load.plan.n)
		goto out;
	if (measure_make(&m, s, &load.plan, load.result) < 0)
		goto out;
	open_load_records(s, &m.prefills, &m.prefills_wasted);
	measure_print(&m, s);
	if (!m.outcome[OUTCOME_WRONG])
		r = EXIT_OK;
	if (json_path && measure_write(&m, s, json_path) < 0)
		r = EXIT_NOT_WHOLE;
	measure_finish(&m);
out:
	open_load_finish(&load);
	return r;
}

/* figload run SCENARIO: exits 0 unless an answer was wrong. */
static int main_run(int argc, char **argv)
{
	static struct scenario s;
	struct arg_str *to = arg_strn(NULL, "to", "IP:PORT", 0,
				      SCENARIO_TARGETS_MAX, "entry hosts");
	struct arg_str *record =
		arg_strn(NULL, "record", "IP:PORT", 0, SCENARIO_TARGETS_MAX,
			 "admin addresses of stand-in engines");
	struct arg_str *prefill = arg_strn(NULL, "prefill", "IP:PORT", 0,
					   SCENARIO_TARGETS_MAX,
					   "engines, to go without hosts");
	struct arg_str *decode = arg_strn(NULL, "decode", "IP:PORT", 0,
					  SCENARIO_TARGETS_MAX, "as well");
	struct arg_str *key = arg_strn(NULL, "key", "ACCOUNT=KEY", 0,
				       SCENARIO_ACCOUNTS_MAX, "keys");
	struct arg_file *json =
		arg_file0(NULL, "json", "FILE", "write the measures there");
	struct arg_file *file = arg_file1(NULL, NULL, "SCENARIO", NULL);
	struct arg_end *end = arg_end(8);
	void *table[] = {to, record, prefill, decode, key, json, file, end};
	int r = EXIT_USAGE;
	int i;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "figload run");
	} else if (read_scenario(&s, file->filename[0]) == 0) {
		set_addrs(s.target, &s.target_n, to);
		set_addrs(s.record, &s.record_n, record);
		set_addrs(s.prefill, &s.prefill_n, prefill);
		set_addrs(s.decode, &s.decode_n, decode);
		for (i = 0; i < key->count; i++)
			set_key(&s, key->sval[i]);
		if (s.target_n || (s.prefill_n && s.decode_n))
			r = measure_scenario(&s, json->count ? json->filename[0]
							     : NULL);
		else
			fprintf(stderr, "figload: no entry host is named\n");
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return r;
}

/* figload compare A B: two result files point by point. */
static int main_compare(int argc, char **argv)
{
	if (argc != 3) {
		fprintf(stderr, "Usage: figload compare A B\n");
		return EXIT_USAGE;
	}
	if (measure_compare(argv[1], argv[2]) == 0)
		return EXIT_OK;
	fprintf(stderr, "figload: cannot read %s or %s\n", argv[1], argv[2]);
	return EXIT_NOT_WHOLE;
}

static int main_closed(int argc, char **argv)
{
	static struct load l;
	struct arg_str *to =
		arg_strn(NULL, "to", "IP:PORT", 1, TARGETS_MAX, "entry hosts");
	struct arg_str *key = arg_str1(NULL, "key", "KEY", "account's key");
	struct arg_str *model = arg_str1(NULL, "model", "NAME", "model");
	struct arg_int *requests = arg_int0("n", "requests", "N", "how many");
	struct arg_int *concurrency =
		arg_int0("c", "concurrency", "N", "open at once");
	struct arg_int *tokens = arg_int0(NULL, "max-tokens", "N", "of output");
	struct arg_int *tries =
		arg_int0(NULL, "tries", "N", "of one request at most");
	struct arg_end *end = arg_end(8);
	void *table[] = {to,	      key,    model, requests,
			 concurrency, tokens, tries, end};
	int i, r = EXIT_USAGE;

	requests->ival[0] = 100;
	concurrency->ival[0] = 8;
	tokens->ival[0] = 64;
	tries->ival[0] = 1;
	if (arg_parse(argc, argv, table) == 0) {
		for (i = 0; i < to->count; i++)
			l.target[i] = to->sval[i];
		l.target_n = (uint32_t)to->count;
		l.key = key->sval[0];
		l.model = model->sval[0];
		l.requests = (uint32_t)requests->ival[0];
		l.concurrency = (uint32_t)concurrency->ival[0];
		l.max_tokens = (uint32_t)tokens->ival[0];
		l.tries_max = (uint32_t)tries->ival[0];
		r = run_closed(&l);
	} else {
		arg_print_errors(stderr, end, "figload");
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return r;
}

int main(int argc, char **argv)
{
	logline_init("figload", LOG_WARNING);
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (argc > 1 && strcmp(argv[1], "run") == 0)
		return main_run(argc - 1, argv + 1);
	if (argc > 1 && strcmp(argv[1], "compare") == 0)
		return main_compare(argc - 1, argv + 1);
	return main_closed(argc, argv);
}
