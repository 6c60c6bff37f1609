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
#include "pools_check.h"

#define EXIT_OK 0
#define EXIT_RUN_FAILED 1
#define EXIT_USAGE 2 /* wrong command line or settings */

struct options {
	struct arg_lit *help;
	struct arg_lit *check;
	struct arg_lit *pools;
	struct arg_file *pools_check;
	struct arg_file *against;
	struct arg_file *settings;
	struct arg_end *end;
};

struct log_level {
	const char *name;
	int priority;
};

static const struct log_level log_levels[] = {
	{"debug", LOG_DEBUG},	  {"info", LOG_INFO}, {"notice", LOG_NOTICE},
	{"warning", LOG_WARNING}, {"err", LOG_ERR},
};

/* Returns the syslog priority of a log_level setting. */
static int level_priority(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(log_levels) / sizeof(log_levels[0]); i++)
		if (strcmp(log_levels[i].name, name) == 0)
			return log_levels[i].priority;
	return LOG_INFO;
}

static void print_errors(const struct jread_errors *e)
{
	uint32_t i;

	for (i = 0; i < e->n; i++)
		fprintf(stderr, "figbend: %s\n", e->message[i]);
}

static int load_settings(struct settings *s, const char *path)
{
	struct jread_errors errors;
	int r;

	jread_errors_init(&errors);
	r = settings_load(s, path, &errors);
	print_errors(&errors);
	jread_errors_free(&errors);
	return r;
}

/* Runs without --pools until a signal stops it. Returns the exit code. */
static int run_daemon(const struct settings *s)
{
	uint8_t secret[SETTINGS_SECRET_BYTES];
	static struct daemon d;
	int r;

	r = settings_load_secret(s, secret);
	if (r < 0) {
		fprintf(stderr, "figbend: cannot load the hosts' secret: %s\n",
			strerror(-r));
		return EXIT_RUN_FAILED;
	}
	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		return EXIT_RUN_FAILED;
	if (daemon_init(&d, s, secret) < 0)
		return EXIT_RUN_FAILED;
	logline(LOG_NOTICE, "started", "host=%s domain=%s callers=%s", s->host,
		s->domain, s->caller_addr);
	ev_run(d.loop, 0);
	daemon_finish(&d);
	logline(LOG_NOTICE, "stopped", "host=%s", s->host);
	curl_global_cleanup();
	return EXIT_OK;
}

/* Environment variable with the settings file for --pools. */
#define SETTINGS_VARIABLE "FIGBEND_SETTINGS"

/*
 * Runs with --pools until a signal stops it, or only checks the settings.
 * Returns the exit code.
 */
static int run_pools(const struct options *o)
{
	const char *path = o->settings->count ? o->settings->filename[0]
					      : getenv(SETTINGS_VARIABLE);
	static struct gateway g;
	static struct pool_settings s;
	struct jread_errors errors;
	int r;

	if (!path) {
		fprintf(stderr,
			"figbend: no settings file given, and %s is not set\n",
			SETTINGS_VARIABLE);
		return EXIT_USAGE;
	}
	jread_errors_init(&errors);
	r = pool_settings_load(&s, path, &errors);
	print_errors(&errors);
	jread_errors_free(&errors);
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
		return EXIT_RUN_FAILED;
	}
	logline(LOG_NOTICE, "started", "host=%s domain=%s callers=%s store=%s",
		s.host, s.domain, s.callers_addr, s.store_addr);
	ev_run(g.loop, 0);
	logline(LOG_NOTICE, "stopped", "host=%s", s.host);
	gateway_finish(&g);
	return EXIT_OK;
}

/* Runs or checks the settings, as the options say. Returns the exit code. */
static int run_with_options(const struct options *o)
{
	static struct settings s;

	if (o->pools_check->count)
		return pools_check(o->pools_check->filename[0],
				   o->against->count ? o->against->filename[0]
						     : NULL,
				   stdout);
	if (o->against->count) {
		fprintf(stderr, "figbend: --against needs --pools-check\n");
		return EXIT_USAGE;
	}
	if (o->pools->count)
		return run_pools(o);
	if (!o->settings->count) {
		fprintf(stderr, "figbend: no settings file given\n");
		return EXIT_USAGE;
	}

	if (load_settings(&s, o->settings->filename[0]) < 0)
		return EXIT_USAGE;
	logline_init("figbend", level_priority(s.log_level));
	if (o->check->count) {
		printf("%s: ok\n", o->settings->filename[0]);
		return EXIT_OK;
	}
	return run_daemon(&s);
}

int main(int argc, char **argv)
{
	struct options o = {
		.help = arg_lit0("h", "help", "print this and exit"),
		.check = arg_lit0(NULL, "check", "check the settings and exit"),
		.pools = arg_lit0(NULL, "pools",
				  "serve a platform's pools; SETTINGS is "
				  "$FIGBEND_SETTINGS if not given"),
		.pools_check = arg_file0(NULL, "pools-check", "FILE",
					 "check a platform's configuration "
					 "and exit"),
		.against = arg_file0(NULL, "against", "FILE",
				     "list what changes from this one, with "
				     "--pools-check"),
		.settings = arg_file0(NULL, NULL, "SETTINGS",
				      "settings file, JSON with comments"),
		.end = arg_end(8),
	};
	void *table[] = {o.help,    o.check,	o.pools, o.pools_check,
			 o.against, o.settings, o.end};
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
		r = run_with_options(&o);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return r;
}
