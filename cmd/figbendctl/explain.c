#include <stdio.h>
#include <stdlib.h>

#include "ctl.h"

#define TIMEOUT_MS 5000
#define URL_BYTES 256
#define WORD_BYTES 32
#define TEXT_BYTES 160

/* Prints one decision: time since the first, attempt, what and why. */
static int64_t print_record(struct jread_node *at, int64_t first_us)
{
	char what[WORD_BYTES], text[TEXT_BYTES];
	int64_t at_us = jread_int(at, "at_us", 0, INT64_MAX);

	jread_string(at, "what", what, sizeof(what));
	jread_string(at, "text", text, sizeof(text));
	if (!first_us)
		first_us = at_us;
	printf("%10.3f ms  attempt %lld  %-13s %s\n",
	       (double)(at_us - first_us) / 1000.,
	       (long long)jread_int(at, "attempt", 0, INT64_MAX), what, text);
	return first_us;
}

static int print_records(const struct ctl_answer *a)
{
	struct jread_errors faults;
	struct jread_node root, item;
	int64_t first_us = 0;
	int r = CTL_FAILED;
	uint32_t i;

	jread_errors_init(&faults);
	if (jread_parse(a->body, a->n, "explain", &faults, &root) == 0) {
		for (i = 0; jread_item(&root, i, &item); i++)
			first_us = print_record(&item, first_us);
		r = faults.n ? CTL_FAILED : CTL_OK;
		json_object_put(root.value);
	}
	jread_errors_free(&faults);
	return r;
}

/* explain REQUEST-ID: prints what a host decided on one request, and why. */
int ctl_explain(const struct ctl_args *a)
{
	struct ctl_answer answer;
	char url[URL_BYTES];
	int r = CTL_FAILED;

	if (!a->admin_addr || a->word_n != 1) {
		fprintf(stderr, "figbendctl: --admin and a request id are "
				"needed\n");
		return CTL_USAGE;
	}
	snprintf(url, sizeof(url), "http://%s/explain?id=%s", a->admin_addr,
		 a->word[0]);
	ctl_fetch("GET", url, NULL, 0, TIMEOUT_MS, &answer);
	if (!answer.error && answer.status == 200)
		r = print_records(&answer);
	else if (!answer.error && answer.status == 404)
		fprintf(stderr,
			"figbendctl: %s knows nothing of %s: ask the "
			"host that its id begins with, soon\n",
			a->admin_addr, a->word[0]);
	else
		fprintf(stderr, "figbendctl: %s does not answer\n",
			a->admin_addr);
	free(answer.body);
	return r;
}
