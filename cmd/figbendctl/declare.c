#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "ctl.h"
#include "settings.h"

/* One message between hosts carries the whole text. */
#define TEXT_MAX_BYTES 1000000

static void print_faults(const struct jread_errors *f)
{
	uint32_t i;

	for (i = 0; i < f->n; i++)
		fprintf(stderr, "figbendctl: %s\n", f->message[i]);
}

/* Checks the text of declarations; every fault is printed. */
int ctl_parse(const char *text, const char *name, struct config **out)
{
	struct jread_errors faults;
	int r;

	jread_errors_init(&faults);
	r = config_parse(text, strlen(text), name, &faults, out);
	print_faults(&faults);
	jread_errors_free(&faults);
	return r;
}

/*
 * Reads and checks a declarations file. The caller frees the text, where it is
 * wanted, and puts the configuration.
 */
int ctl_load(const char *path, char **text, struct config **out)
{
	char *s;
	size_t n;
	int r;

	r = settings_read_file(path, &s, &n);
	if (r < 0) {
		fprintf(stderr, "figbendctl: %s: cannot read: %s\n", path,
			strerror(-r));
		return r;
	}
	r = ctl_parse(s, path, out);
	if (r == 0 && n > TEXT_MAX_BYTES) {
		fprintf(stderr,
			"figbendctl: %s: has %zu bytes, expected at most %d\n",
			path, n, TEXT_MAX_BYTES);
		config_put(*out);
		r = -EFBIG;
	}
	if (r == 0 && text)
		*text = s;
	else
		free(s);
	return r;
}

/* check FILE: says whether the declarations are valid. */
int ctl_check(const struct ctl_args *a)
{
	struct config *c;

	if (a->word_n != 1) {
		fprintf(stderr, "figbendctl: check needs one FILE\n");
		return CTL_USAGE;
	}
	if (ctl_load(a->word[0], NULL, &c) < 0)
		return CTL_USAGE;
	printf("%s: ok: %u domains, %u accounts, %u models, %u endpoints, "
	       "%u services\n",
	       a->word[0], c->domain_n, c->account_n, c->model_n, c->endpoint_n,
	       c->service_n);
	config_put(c);
	return CTL_OK;
}

/* keygen: prints a new key and what to declare of it. */
int ctl_keygen(const struct ctl_args *a)
{
	char text[CONFIG_KEY_TEXT_BYTES];
	char salt[2 * CONFIG_SALT_BYTES + 1];
	char hash[2 * CONFIG_HASH_BYTES + 1];
	struct config_key k;

	if (config_key_generate(text, &k) < 0)
		return CTL_FAILED;
	config_key_hex(k.salt, sizeof(k.salt), salt);
	config_key_hex(k.hash, sizeof(k.hash), hash);
	printf("%s\n", text);
	printf("{ \"id\": \"%s\", \"salt\": \"%s\", \"hash\": \"%s\" }\n", k.id,
	       salt, hash);
	return CTL_OK;
}

/*
 * Reads what is in force into a fold that the caller finishes in any case.
 * Returns CTL_OK, CTL_USAGE or CTL_FAILED, having said why.
 */
int ctl_in_force(const struct ctl_args *a, struct config_state *fold)
{
	config_state_init(fold);
	if (!a->platform_url) {
		fprintf(stderr, "figbendctl: --platform is needed\n");
		return CTL_USAGE;
	}
	if (ctl_fold(a->platform_url, fold, NULL) < 0) {
		fprintf(stderr, "figbendctl: the log can not be read\n");
		return CTL_FAILED;
	}
	if (fold->has_gap && !a->anew) {
		fprintf(stderr,
			"figbendctl: the log's records before %llu expired and "
			"no checkpoint is there; if no host has a version "
			"either, use apply --anew\n",
			(unsigned long long)fold->gap_end);
		return CTL_FAILED;
	}
	return CTL_OK;
}

/* Returns the version that a text's first line names, or -1. */
int64_t ctl_version_line(const char *text)
{
	unsigned long long version;

	if (sscanf(text, "// version %llu", &version) != 1)
		return -1;
	return (int64_t)version;
}

/* Returns the text behind its version line, if it has one. */
const char *ctl_body(const char *text)
{
	if (ctl_version_line(text) < 0)
		return text;
	text += strcspn(text, "\n");
	return *text ? text + 1 : text;
}

/* show: prints the declarations in force, with a line that names the version. */
int ctl_show(const struct ctl_args *a)
{
	struct config_state fold;
	int r;

	r = ctl_in_force(a, &fold);
	if (r == CTL_OK && !fold.current) {
		fprintf(stderr, "figbendctl: nothing is in force yet\n");
		r = CTL_FAILED;
	}
	if (r == CTL_OK)
		printf("// version %llu\n%s",
		       (unsigned long long)fold.current->version,
		       ctl_body(fold.current->text));
	config_state_finish(&fold);
	return r;
}

/* diff FILE: prints by item what applying a file would change. */
int ctl_diff(const struct ctl_args *a)
{
	struct config_state fold;
	struct config *c;
	int r;

	if (a->word_n != 1 || ctl_load(a->word[0], NULL, &c) < 0)
		return CTL_USAGE;
	r = ctl_in_force(a, &fold);
	if (r == CTL_OK)
		ctl_print_diff(fold.current ? fold.current->text : "{}",
			       c->text);
	config_state_finish(&fold);
	config_put(c);
	return r;
}
