#include "pools_check.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "adapter.h"
#include "dircheck.h"
#include "jread.h"
#include "store_fetch.h"

#define CHECK_CLEAN 0
#define CHECK_FINDINGS 1
#define CHECK_UNREADABLE 2
/* 1,400 routes take about 0.5 MB; the checks take quadratic time. */
#define FILE_MAX_BYTES ((size_t)4 * 1024 * 1024)
#define FINDINGS_MAX 10000
#define STORE_PREFIX "store:"

static const char *const severities[] = {
	[DIRCHECK_ERROR] = "error",
	[DIRCHECK_WARNING] = "warning",
	[DIRCHECK_CHANGE] = "change",
};

/* Reads a whole file. Returns its text for the caller to free, or NULL. */
static char *read_file(const char *path, size_t *n)
{
	FILE *f = fopen(path, "rb");
	char *text = f ? malloc(FILE_MAX_BYTES + 1) : NULL;
	int error = errno;

	*n = 0;
	if (text) {
		errno = 0;
		*n = fread(text, 1, FILE_MAX_BYTES + 1, f);
		error = ferror(f) ? errno : 0;
		if (!error && *n > FILE_MAX_BYTES)
			error = EFBIG;
	}
	if (f)
		fclose(f);
	if (text && !error)
		return text;
	fprintf(stderr, "figbend: cannot read %s: %s\n", path, strerror(error));
	free(text);
	return NULL;
}

/* Reads a file or a store's record, as read_file() does. */
static char *read_source(const char *path, size_t *n)
{
	size_t prefix = strlen(STORE_PREFIX);
	char *text = NULL;
	int r;

	if (strncmp(path, STORE_PREFIX, prefix) != 0)
		return read_file(path, n);
	r = store_fetch_config(path + prefix, &text, n);
	if (r == 0 && *n <= FILE_MAX_BYTES)
		return text;
	free(text);
	fprintf(stderr, "figbend: cannot read %s: %s\n", path,
		strerror(r ? -r : EFBIG));
	return NULL;
}

/* Prints a text on one line: other bytes than ASCII text become '?'. */
static void print_text(FILE *out, const char *s)
{
	for (; *s; s++)
		putc(*s >= ' ' && *s <= '~' ? *s : '?', out);
}

/*
 * Prints an error of the reader without the value that it found, which may be
 * an API key or contain one.
 */
static void print_read_error(FILE *out, const char *prefix, const char *message)
{
	const char *found = strstr(message, ": found ");
	const char *expected = NULL, *p = message;
	char path[JREAD_ERROR_BYTES];

	while ((p = strstr(p, ", expected ")))
		expected = p++;
	fprintf(out, "%s", prefix);
	if (found) {
		snprintf(path, sizeof(path), "%.*s", (int)(found - message),
			 message);
		print_text(out, path);
		fprintf(out, ": unexpected value");
		print_text(out, expected && expected > found ? expected : "");
	} else {
		print_text(out, message);
	}
	putc('\n', out);
}

/*
 * Reads a configuration, NULL on an error. *invalid is set if the document was
 * read but is no configuration; its errors are printed to out.
 */
static struct directory *load(const char *path, FILE *out, const char *prefix,
			      bool *invalid)
{
	struct jread_errors errors;
	struct directory *d;
	char *text;
	uint32_t i;
	size_t n;

	*invalid = false;
	text = read_source(path, &n);
	if (!text)
		return NULL;
	jread_errors_init(&errors);
	d = adapter_read_directory_all(text, n, &errors);
	for (i = 0; i < errors.n; i++)
		print_read_error(out, prefix, errors.message[i]);
	*invalid = errors.n;
	if (!d && !errors.n)
		fprintf(stderr, "figbend: cannot read %s: %s\n", path,
			strerror(ENOMEM));
	jread_errors_free(&errors);
	free(text);
	return d;
}

static void print_findings(FILE *out, const struct dircheck_list *list)
{
	uint32_t i;

	for (i = 0; i < list->n; i++) {
		fprintf(out, "%s ", severities[list->finding[i].severity]);
		print_text(out, list->finding[i].path);
		fputs(": ", out);
		print_text(out, list->finding[i].text);
		putc('\n', out);
	}
	if (list->dropped)
		fprintf(out, "warning findings: %u more are not shown\n",
			list->dropped);
}

/* Checks d and, unless old is NULL, compares it. Returns the exit code. */
static int report(const struct directory *old, const struct directory *d,
		  FILE *out)
{
	struct dircheck_list list = {.capacity = FINDINGS_MAX};

	list.finding = calloc(FINDINGS_MAX, sizeof(*list.finding));
	if (!list.finding) {
		fprintf(stderr, "figbend: %s\n", strerror(ENOMEM));
		return CHECK_UNREADABLE;
	}
	dircheck_check(d, &list);
	if (old)
		dircheck_compare(old, d, &list);
	print_findings(out, &list);
	free(list.finding);
	return list.n ? CHECK_FINDINGS : CHECK_CLEAN;
}

int pools_check(const char *file, const char *against, FILE *out)
{
	struct directory *old = NULL, *d;
	int r = CHECK_UNREADABLE;
	bool invalid;

	if (against) {
		old = load(against, stderr, "figbend: --against: ", &invalid);
		if (!old)
			return r;
	}
	d = load(file, out, "error ", &invalid);
	if (d)
		r = report(old, d, out);
	else if (invalid)
		r = CHECK_FINDINGS;
	directory_unref(d);
	directory_unref(old);
	return r;
}
