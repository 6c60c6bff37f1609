#include <argtable2.h>
#include <curl/curl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define WORDS_MAX 8
#define ADMINS_MAX 1024

struct command {
	const char *name;
	int (*run)(const struct ctl_args *a);
	const char *help;
};

static const struct command commands[] = {
	{"check", ctl_check, "check FILE: say whether declarations are valid"},
	{"diff", ctl_diff, "diff FILE: show what applying would change"},
	{"apply", ctl_apply, "apply FILE: put declarations in force"},
	{"show", ctl_show, "show: print the declarations in force"},
	{"withdraw-key", ctl_withdraw_key,
	 "withdraw-key ID [FILE]: end a key on every host"},
	{"drain", ctl_drain,
	 "drain NAME [FILE]: take a domain or endpoint out of service"},
	{"return", ctl_return,
	 "return NAME [FILE]: put a domain or endpoint in service"},
	{"limits", ctl_limits,
	 "limits export | limits import FILE: the table of limits as CSV"},
	{"keygen", ctl_keygen, "keygen: make a key and its declaration"},
	{"burn", ctl_burn, "burn [FILE.svg]: print error budgets of hosts"},
	{"explain", ctl_explain, "explain ID: print the steps of a request"},
	{"status", ctl_status,
	 "status: print what each host named by --admin knows"},
};

#define COMMANDS (sizeof(commands) / sizeof(commands[0]))

static void print_help(void **table)
{
	size_t i;

	printf("Usage: figbendctl");
	arg_print_syntax(stdout, table, "\n");
	for (i = 0; i < COMMANDS; i++)
		printf("  %s\n", commands[i].help);
	arg_print_glossary(stdout, table, "  %-22s %s\n");
}

static int run(const struct ctl_args *a, const char *name)
{
	size_t i;

	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		return CTL_FAILED;
	for (i = 0; i < COMMANDS; i++)
		if (strcmp(commands[i].name, name) == 0)
			return commands[i].run(a);
	fprintf(stderr, "figbendctl: no command \"%s\"; see --help\n", name);
	return CTL_USAGE;
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_str *platform =
		arg_str0("p", "platform", "URL", "the platform's log");
	struct arg_str *admin =
		arg_strn("a", "admin", "IP:PORT", 0, ADMINS_MAX,
			 "a host's admin address; more for status");
	struct arg_int *against =
		arg_int0(NULL, "against", "VERSION",
			 "version the change was made against");
	struct arg_lit *dry_run =
		arg_lit0("n", "dry-run", "show what would change, and stop");
	struct arg_lit *json = arg_lit0(NULL, "json", "print as JSON");
	struct arg_lit *again = arg_lit0(
		NULL, "again", "let keys that were withdrawn be valid again");
	struct arg_lit *anew = arg_lit0(
		NULL, "anew", "begin anew after the log lost every version");
	struct arg_str *separator =
		arg_str0(NULL, "separator", "CHAR", "of CSV fields (,)");
	struct arg_str *by = arg_str0(NULL, "by", "NAME", "who makes it");
	struct arg_str *words =
		arg_strn(NULL, NULL, "COMMAND", 1, WORDS_MAX, NULL);
	struct arg_end *end = arg_end(8);
	void *table[] = {help,	platform, admin,     against, dry_run, json,
			 again, anew,	  separator, by,      words,   end};
	struct ctl_args a = {.against = -1, .by = "operator", .separator = ","};
	int errors, r;

	errors = arg_parse(argc, argv, table);
	if (help->count) {
		print_help(table);
		r = CTL_OK;
	} else if (errors) {
		arg_print_errors(stderr, end, "figbendctl");
		r = CTL_USAGE;
	} else {
		if (platform->count)
			a.platform_url = platform->sval[0];
		if (admin->count)
			a.admin_addr = admin->sval[0];
		a.admin = admin->sval;
		a.admin_n = admin->count;
		a.dry_run = dry_run->count > 0;
		a.json = json->count > 0;
		a.again = again->count > 0;
		a.anew = anew->count > 0;
		if (separator->count)
			a.separator = separator->sval[0];
		if (against->count)
			a.against = against->ival[0];
		if (by->count)
			a.by = by->sval[0];
		a.word = words->sval + 1;
		a.word_n = words->count - 1;
		r = run(&a, words->sval[0]);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return r;
}
