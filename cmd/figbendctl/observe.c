#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define TIMEOUT_MS 5000
#define URL_BYTES 256

/* Reads the status page of a host. Returns NULL if it gives none. */
static struct json_object *read_status(const char *addr)
{
	struct json_object *o = NULL;
	struct ctl_answer answer;
	char url[URL_BYTES];

	snprintf(url, sizeof(url), "http://%s/status", addr);
	ctl_fetch("GET", url, NULL, 0, TIMEOUT_MS, &answer);
	if (!answer.error && answer.status == 200)
		o = json_tokener_parse(answer.body);
	free(answer.body);
	return o;
}

static const char *text_of(struct json_object *o, const char *key)
{
	struct json_object *v;

	return json_object_object_get_ex(o, key, &v) ? json_object_get_string(v)
						     : "-";
}

static void print_row(const char *addr, struct json_object *o)
{
	if (!o) {
		printf("%-22s does not answer\n", addr);
		return;
	}
	printf("%-22s %-16s %-16s %10s %10s %6s %8s %9s\n", addr,
	       text_of(o, "host"), text_of(o, "domain"),
	       text_of(o, "config_version"), text_of(o, "epoch"),
	       text_of(o, "epoch_hosts"), text_of(o, "epoch_current"),
	       text_of(o, "stopping"));
}

/* Asks each host of a list with commas. Returns how many did not answer. */
static int ask_hosts(const struct ctl_args *a, const char *addrs,
		     struct json_object *array)
{
	struct json_object *o;
	char addr[64];
	int missing = 0;
	size_t n;

	for (; *addrs; addrs += n + (addrs[n] == ',')) {
		n = strcspn(addrs, ",");
		snprintf(addr, sizeof(addr), "%.*s", (int)n, addrs);
		o = read_status(addr);
		missing += !o;
		if (!a->json)
			print_row(addr, o);
		json_object_array_add(array, o);
	}
	return missing;
}

/*
 * status: prints which host has which version, a line each; with --json all that
 * each host knows. Fails if one does not answer.
 */
int ctl_status(const struct ctl_args *a)
{
	struct json_object *array;
	int missing = 0;
	int i;

	if (!a->admin_n) {
		fprintf(stderr, "figbendctl: --admin is needed\n");
		return CTL_USAGE;
	}
	array = json_object_new_array();
	if (!a->json)
		printf("%-22s %-16s %-16s %10s %10s %6s %8s %9s\n", "admin",
		       "host", "domain", "version", "epoch", "hosts", "current",
		       "stopping");
	for (i = 0; i < a->admin_n; i++)
		missing += ask_hosts(a, a->admin[i], array);
	if (a->json)
		printf("%s\n", json_object_to_json_string_ext(
				       array, JSON_C_TO_STRING_PRETTY));
	json_object_put(array);
	return missing ? CTL_FAILED : CTL_OK;
}
