#include <argtable2.h>
#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "daemon.h"
#include "gateway.h"
#include "logline.h"

#define EXIT_OK 0
#define EXIT_FAILURE_AT_RUN 1
#define EXIT_USAGE 2

struct options {
	struct arg_lit *help;
	struct arg_lit *check;
	struct arg_lit *pools;
	struct arg_file *settings;
	struct arg_end *end;
};

struct level_row {
	const char *name;
	int priority;
};

static const struct level_row levels[] = {
	{"debug", LOG_DEBUG},	  {"info", LOG_INFO}, {"notice", LOG_NOTICE},
	{"warning", LOG_WARNING}, {"err", LOG_ERR},
};

static int priority_of(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(levels) / sizeof(levels[0]); i++)
		if (strcmp(levels[i].name, name) == 0)
			return levels[i].priority;
	return LOG_INFO;
}

static void print_faults(const struct jread_errors *f)
{
	uint32_t i;

	for (i = 0; i < f->n; i++)
		fprintf(stderr, "figbend: %s\n", f->message[i]);
}

static int load(struct settings *s, const char *path)
{
	struct jread_errors faults;
	int r;

	jread_errors_init(&faults);
	r = settings_load(s, path, &faults);
	print_faults(&faults);
	jread_errors_free(&faults);
	return r;
}

static int run(const struct settings *s)
{
	uint8_t secret[SETTINGS_SECRET_BYTES];
	static struct daemon d;
	int r;

	r = settings_load_secret(s, secret);
	if (r < 0) {
		fprintf(stderr, "figbend: the hosts' secret: %s\n",
			strerror(-r));
		return EXIT_FAILURE_AT_RUN;
	}
	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		return EXIT_FAILURE_AT_RUN;
	if (daemon_init(&d, s, secret) < 0)
		return EXIT_FAILURE_AT_RUN;
	logline(LOG_NOTICE, "started", "host=%s domain=%s callers=%s", s->host,
		s->domain, s->caller_addr);
	ev_run(d.loop, 0);
	daemon_finish(&d);
	logline(LOG_NOTICE, "stopped", "host=%s", s->host);
	curl_global_cleanup();
	return EXIT_OK;
}

/* Where the settings of a host before a platform's pools are, by default. */
#define SETTINGS_VARIABLE "FIGBEND_SETTINGS"

/* Serves a platform's pools until it is told to stop. */
static int run_pools(const struct options *o)
{
	const char *path = o->settings->count ? o->settings->filename[0]
					      : getenv(SETTINGS_VARIABLE);
	static struct gateway g;
	static struct pool_settings s;
	struct jread_errors faults;
	int r;

	if (!path) {
		fprintf(stderr,
			"figbend: no settings file, and %s is not set\n",
			SETTINGS_VARIABLE);
		return EXIT_USAGE;
	}
	jread_errors_init(&faults);
	r = pool_settings_load(&s, path, &faults);
	print_faults(&faults);
	jread_errors_free(&faults);
	if (r < 0)
		return EXIT_USAGE;
	if (o->check->count) {
		printf("%s: ok\n", path);
		return EXIT_OK;
	}
	signal(SIGPIPE, SIG_IGN);
	logline_init("figbend", LOG_INFO);
	logline_buffer_to(STDOUT_FILENO);
	if (sodium_init() < 0 || gateway_init(&g, &s) < 0) {
		logline_flush();
		return EXIT_FAILURE_AT_RUN;
	}
	logline(LOG_NOTICE, "started", "host=%s domain=%s callers=%s store=%s",
		s.host, s.domain, s.callers_addr, s.store_addr);
	ev_run(g.loop, 0);
	logline(LOG_NOTICE, "stopped", "host=%s", s.host);
	gateway_finish(&g);
	return EXIT_OK;
}

static int run_options(const struct options *o)
{
	static struct settings s;

	if (o->pools->count)
		return run_pools(o);
	if (!o->settings->count) {
		fprintf(stderr, "figbend: no settings file is named\n");
		return EXIT_USAGE;
	}

	if (load(&s, o->settings->filename[0]) < 0)
		return EXIT_USAGE;
	logline_init("figbend", priority_of(s.log_level));
	if (o->check->count) {
		printf("%s: ok\n", o->settings->filename[0]);
		return EXIT_OK;
	}
	return run(&s);
}

int main(int argc, char **argv)
{
	struct options o = {
		.help = arg_lit0("h", "help", "print this and exit"),
		.check = arg_lit0(NULL, "check", "check the settings and exit"),
		.pools = arg_lit0(NULL, "pools",
				  "serve a platform's pools; SETTINGS is "
				  "$FIGBEND_SETTINGS if not named"),
		.settings = arg_file0(NULL, NULL, "SETTINGS",
				      "settings file, JSON with comments"),
		.end = arg_end(8),
	};
	void *table[] = {o.help, o.check, o.pools, o.settings, o.end};
	int errors = arg_parse(argc, argv, table);
	int r = EXIT_USAGE;

	if (o.help->count) {
		printf("Usage: figbend");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		r = EXIT_OK;
	} else if (errors) {
		arg_print_errors(stderr, o.end, "figbend");
	} else {
		r = run_options(&o);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return r;
}
