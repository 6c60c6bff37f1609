#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "settings.h"

/*
 * Limits as a table that a spreadsheet opens: a line an account, a column a
 * limit, a column "part NAME" a failure domain, and the version it is made of.
 */

#define FIELDS_MAX 64
#define LINE_BYTES 4096

static const char *const columns[] = {"account", "weight", "rate_tokens_s",
				      "burst_tokens", "stream_tokens_s"};
#define COLUMNS (sizeof(columns) / sizeof(columns[0]))

struct table {
	char *text; /* cut into fields */
	char *field[FIELDS_MAX];
	uint32_t n;
	char header_text[LINE_BYTES];
	char *header[FIELDS_MAX];
	uint32_t header_n;
	char separator;
	const char *path;
	uint32_t line;
	uint32_t faults;
};

static void fault(struct table *t, const char *column, const char *found,
		  const char *expected)
{
	t->faults++;
	fprintf(stderr, "figbendctl: %s:%u: %s: found \"%s\", expected %s\n",
		t->path, t->line, column, found, expected);
}

static void print_account(const struct config *c,
			  const struct config_account *a, const char *sep)
{
	uint32_t i;

	printf("%s%s%u%s%llu%s%llu%s%u", a->name, sep, a->weight, sep,
	       (unsigned long long)a->rate_tokens_s, sep,
	       (unsigned long long)a->burst_tokens, sep, a->stream_tokens_s);
	for (i = 0; i < c->domain_n; i++)
		printf("%s%u", sep, config_share_ppm(a, c->domain[i].name));
	printf("%s%llu\r\n", sep, (unsigned long long)c->version);
}

static int export_limits(const struct ctl_args *a, const struct config *c)
{
	uint32_t i;

	for (i = 0; i < COLUMNS; i++)
		printf("%s%s", i ? a->separator : "", columns[i]);
	for (i = 0; i < c->domain_n; i++)
		printf("%smillionths %s", a->separator, c->domain[i].name);
	printf("%sversion\r\n", a->separator);
	for (i = 0; i < c->account_n; i++)
		print_account(c, &c->account[i], a->separator);
	return CTL_OK;
}

/* Cuts a line into fields in place; quotes around a field are dropped. */
static uint32_t cut(char *line, char separator, char **field)
{
	uint32_t n = 0;
	char *p = line;
	char *end;

	line[strcspn(line, "\r\n")] = '\0';
	while (n < FIELDS_MAX) {
		if (*p == '"' && (end = strchr(p + 1, '"'))) {
			field[n++] = p + 1;
			*end = '\0';
			p = end + 1 + strcspn(end + 1, (char[]){separator, 0});
		} else {
			field[n++] = p;
			p += strcspn(p, (char[]){separator, 0});
		}
		if (!*p)
			return n;
		*p++ = '\0';
	}
	return n;
}

static const char *value_of(const struct table *t, const char *column)
{
	uint32_t i;

	for (i = 0; i < t->header_n && i < t->n; i++)
		if (strcmp(t->header[i], column) == 0)
			return t->field[i];
	return NULL;
}

static bool is_number(const char *s)
{
	return *s && strlen(s) < 16 && strspn(s, "0123456789") == strlen(s);
}

static void read_header(struct table *t, char *line, const struct config *c)
{
	char name[CONFIG_NAME_BYTES + 16];
	uint32_t i, j;

	if (strncmp(line, "\xef\xbb\xbf", 3) == 0)
		line += 3; /* a spreadsheet's byte order mark */
	t->separator = strchr(line, ';') ? ';' : ',';
	snprintf(t->header_text, sizeof(t->header_text), "%s", line);
	t->header_n = cut(t->header_text, t->separator, t->header);
	for (i = 0; i < t->header_n; i++) {
		for (j = 0; j < COLUMNS; j++)
			if (strcmp(t->header[i], columns[j]) == 0)
				break;
		if (j < COLUMNS || strcmp(t->header[i], "version") == 0)
			continue;
		for (j = 0; j < c->domain_n; j++) {
			snprintf(name, sizeof(name), "millionths %s",
				 c->domain[j].name);
			if (strcmp(t->header[i], name) == 0)
				break;
		}
		if (j == c->domain_n)
			fault(t, "header", t->header[i], "a column of export");
	}
}

/* Sets one value in the text, which is replaced. */
static void set(struct table *t, char **text, const char *const *path,
		const char *key, const char *value)
{
	char *edited;

	if (config_edit(*text, path, key, value, &edited) < 0) {
		fault(t, key, value, "an account and a share in the text");
		return;
	}
	free(*text);
	*text = edited;
}

static void import_shares(struct table *t, char **text,
			  const struct config_account *a)
{
	const char *path[] = {"accounts", a->name, "shares", NULL, NULL};
	char part[32];
	uint32_t i;
	long n;

	for (i = 0; i < t->header_n && i < t->n; i++) {
		if (strncmp(t->header[i], "millionths ", 11))
			continue;
		n = is_number(t->field[i]) ? strtol(t->field[i], NULL, 10) : -1;
		if (n < 0 || n > CONFIG_PPM) {
			fault(t, t->header[i], t->field[i],
			      "a number from 0 to 1000000");
			continue;
		}
		path[3] = t->header[i] + 11;
		if (config_share_ppm(a, path[3]) == (uint32_t)n)
			continue;
		snprintf(part, sizeof(part), "%ld.%06ld", n / CONFIG_PPM,
			 n % CONFIG_PPM);
		set(t, text, path, "part", part);
	}
}

/* Returns the limit of a column as it is in force. */
static uint64_t limit_of(const struct config_account *a, uint32_t column)
{
	const uint64_t limits[COLUMNS] = {0, a->weight, a->rate_tokens_s,
					  a->burst_tokens, a->stream_tokens_s};

	return limits[column];
}

/* Takes over a line; what is as it was is left as it is written. */
static void import_line(struct table *t, char **text, const struct config *c)
{
	const char *path[] = {"accounts", NULL, NULL};
	const char *version = value_of(t, "version");
	const char *account = value_of(t, "account");
	const struct config_account *a = NULL;
	const char *value;
	uint32_t i;

	if (account)
		a = config_find_account(c, account);
	if (!a) {
		fault(t, "account", account ? account : "",
		      "the name of an account");
		return;
	}
	if (!version || strtoull(version, NULL, 10) != c->version)
		fault(t, "version", version ? version : "",
		      "the version in force; export again");
	path[1] = account;
	for (i = 1; i < COLUMNS; i++) {
		value = value_of(t, columns[i]);
		if (!value)
			continue;
		if (is_number(value) &&
		    strtoull(value, NULL, 10) == limit_of(a, i))
			continue;
		if (is_number(value))
			set(t, text, path, columns[i], value);
		else
			fault(t, columns[i], value, "a whole number");
	}
	import_shares(t, text, a);
}

static void import_table(struct table *t, char **text, const struct config *c)
{
	char *p = t->text;
	char *line;

	for (line = strsep(&p, "\n"); line; line = strsep(&p, "\n")) {
		t->line++;
		if (t->line == 1) {
			read_header(t, line, c);
			continue;
		}
		t->n = cut(line, t->separator, t->field);
		if (t->n > 1)
			import_line(t, text, c);
	}
}

static int import_limits(const struct ctl_args *a,
			 const struct config_state *fold)
{
	struct table t = {.path = a->word[1]};
	char *text;
	size_t n;
	int r;

	if (settings_read_file(t.path, &t.text, &n) < 0) {
		fprintf(stderr, "figbendctl: %s: cannot read\n", t.path);
		return CTL_USAGE;
	}
	text = strdup(ctl_body(fold->current->text));
	import_table(&t, &text, fold->current);
	r = CTL_USAGE;
	if (!t.faults)
		r = ctl_publish(a, fold, NULL, text, false);
	free(text);
	free(t.text);
	return r;
}

/* limits export, limits import FILE. */
int ctl_limits(const struct ctl_args *a)
{
	bool import = a->word_n == 2 && strcmp(a->word[0], "import") == 0;
	bool export = a->word_n == 1 && strcmp(a->word[0], "export") == 0;
	struct config_state fold;
	int r;

	if (!import && !export) {
		fprintf(stderr, "figbendctl: limits export, or limits import "
				"FILE\n");
		return CTL_USAGE;
	}
	r = ctl_in_force(a, &fold);
	if (r == CTL_OK && !fold.current) {
		fprintf(stderr, "figbendctl: nothing is in force yet\n");
		r = CTL_FAILED;
	}
	if (r == CTL_OK)
		r = import ? import_limits(a, &fold)
			   : export_limits(a, fold.current);
	config_state_finish(&fold);
	return r;
}
