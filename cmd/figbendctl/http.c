#include <errno.h>
#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ctl.h"
#include "fetch.h"

#define CONNECT_MS 2000
#define READ_TIMEOUT_MS 10000
#define URL_BYTES 512

static void on_done(void *ctx, const struct fetch_result *r)
{
	struct ctl_answer *a = ctx;

	a->error = r->error;
	a->status = r->status;
	a->body = strdup(r->body);
	a->n = r->body_n;
	if (r->error && !r->sent)
		a->error = -ECONNREFUSED;
}

/*
 * Makes one HTTP call and waits for its end. error is -ECONNREFUSED only where
 * nothing was sent.
 */
void ctl_fetch(const char *method, const char *url, const char *body, size_t n,
	       uint32_t timeout_ms, struct ctl_answer *out)
{
	struct ev_loop *loop = ev_default_loop(0);
	struct fetch_request q = {.method = method,
				  .url = url,
				  .body = body,
				  .body_n = n,
				  .connect_ms = CONNECT_MS,
				  .total_ms = timeout_ms,
				  .max_body_bytes = 64U << 20,
				  .on_done = on_done,
				  .ctx = out};
	struct fetch_call call;
	struct fetch f;

	memset(out, 0, sizeof(*out));
	out->error = -ENOMEM;
	if (fetch_init(&f, loop, 4) < 0)
		return;
	if (fetch_start(&f, &call, &q) == 0)
		while (call.transfer)
			ev_run(loop, EVRUN_ONCE);
	fetch_finish(&f);
}

/* Notes what became of a record, if it is the one that is looked for. */
static void note(struct ctl_found *found, const char *text, size_t n,
		 uint64_t offset, enum config_outcome outcome)
{
	struct jread_errors faults;
	struct jread_node root;
	char id[64];

	if (!found || (found->found && found->outcome == CONFIG_ACCEPTED))
		return;
	jread_errors_init(&faults);
	if (jread_parse(text, n, "record", &faults, &root) == 0) {
		jread_string_or(&root, "id", "", id, sizeof(id));
		if (strcmp(id, found->id) == 0) {
			found->found = true;
			found->outcome = outcome;
			found->offset = offset;
		}
		json_object_put(root.value);
	}
	jread_errors_free(&faults);
}

static void fold_items(struct config_state *fold, struct jread_node *array,
		       uint64_t *from, struct ctl_found *found)
{
	enum config_outcome outcome;
	struct jread_node item, data;
	const char *text;
	uint32_t i;
	size_t n;

	for (i = 0; jread_item(array, i, &item); i++) {
		*from = (uint64_t)jread_int(&item, "offset", 1, INT64_MAX);
		if (!jread_require(&item, "data", &data))
			return;
		text = json_object_get_string(data.value);
		n = (size_t)json_object_get_string_len(data.value);
		outcome = config_state_apply(fold, *from, text, n);
		note(found, text, n, *from, outcome);
		++*from;
	}
}

/* Folds the records of one answer. Returns how many there were, or -EIO. */
static int fold_answer(struct config_state *fold, const struct ctl_answer *a,
		       uint64_t *from, struct ctl_found *found)
{
	struct jread_errors faults;
	struct jread_node root, array;
	int r = -EIO;

	jread_errors_init(&faults);
	if (jread_parse(a->body, a->n, "log", &faults, &root) < 0)
		goto out;
	config_state_set_log_start(fold, (uint64_t)jread_int(&root, "first", 1,
							     INT64_MAX));
	if (jread_require(&root, "records", &array)) {
		fold_items(fold, &array, from, found);
		r = (int)jread_count(&array);
	}
	if (faults.n)
		r = -EIO;
	json_object_put(root.value);
out:
	jread_errors_free(&faults);
	return r;
}

/*
 * Reads the whole configuration stream into a fold that the caller finishes, and
 * looks for the record of found, which may be NULL. Returns 0 or -EIO.
 */
int ctl_fold(const char *platform_url, struct config_state *fold,
	     struct ctl_found *found)
{
	struct ctl_answer a;
	char url[URL_BYTES];
	uint64_t from = 1;
	int n;

	config_state_init(fold);
	do {
		snprintf(url, sizeof(url),
			 "%s/log/config?from=%llu&wait_ms=0&max=16",
			 platform_url, (unsigned long long)from);
		ctl_fetch("GET", url, NULL, 0, READ_TIMEOUT_MS, &a);
		n = -EIO;
		if (!a.error && a.status == 200)
			n = fold_answer(fold, &a, &from, found);
		free(a.body);
	} while (n > 0);
	return n;
}

/* Waits before a further try. */
void ctl_sleep_ms(uint32_t ms)
{
	struct timespec ts = {.tv_sec = ms / 1000,
			      .tv_nsec = ms % 1000 * 1000000L};

	nanosleep(&ts, NULL);
}
