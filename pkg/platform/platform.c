#include "platform.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "jread.h"

#define RETRY_S 0.25
#define ANSWER_MAX_BYTES (32U << 20)
#define RECORDS_A_READ 24

/*
 * Starts a client of the platform at a URL such as "http://127.0.0.1:7000".
 * The fetch client is shared and must outlive this one.
 */
void platform_init(struct platform *p, struct fetch *f, const char *url,
		   uint32_t connect_ms, uint32_t answer_ms)
{
	memset(p, 0, sizeof(*p));
	p->fetch = f;
	p->connect_ms = connect_ms;
	p->answer_ms = answer_ms;
	snprintf(p->url, sizeof(p->url), "%s", url);
}

/* Parses an answer; false for one that is no JSON object. */
static bool parse(const struct fetch_result *r, struct jread_errors *faults,
		  struct jread_node *root)
{
	jread_errors_init(faults);
	if (r->error || r->status != 200)
		return false;
	return jread_parse(r->body, r->body_n, "answer", faults, root) == 0;
}

static void count(struct platform *p, const struct fetch_result *r)
{
	p->counters.calls++;
	p->counters.sent_bytes += r->sent_bytes;
	p->counters.received_bytes += r->received_bytes;
}

static void follow_read(struct platform_follow *f);

static void follow_again(struct platform_follow *f, double seconds)
{
	struct ev_loop *loop = f->platform->fetch->loop;

	ev_timer_stop(loop, &f->retry);
	ev_timer_set(&f->retry, seconds, 0.);
	ev_timer_start(loop, &f->retry);
}

static void take_one(struct platform_follow *f, struct jread_node *item)
{
	struct platform_record rec;
	struct jread_node data;

	rec.offset = (uint64_t)jread_int(item, "offset", 1, INT64_MAX);
	if (!jread_member(item, "data", &data) || rec.offset < f->next)
		return;
	rec.data = json_object_get_string(data.value);
	rec.data_n = (size_t)json_object_get_string_len(data.value);
	f->next = rec.offset + 1;
	f->take(f->ctx, &rec);
}

static void follow_take(struct platform_follow *f, struct jread_node *root,
			const bool *stopped)
{
	struct jread_node records, item;
	uint64_t first, next;
	uint32_t i;

	first = (uint64_t)jread_int_or(root, "first", 1, 1, INT64_MAX);
	next = (uint64_t)jread_int_or(root, "next", 1, 1, INT64_MAX);
	f->first = first;
	if (jread_member(root, "records", &records))
		for (i = 0; !*stopped && jread_item(&records, i, &item); i++)
			take_one(f, &item);
	if (!*stopped && f->state && !f->outdated)
		f->state(f->ctx, 0, first, next);
}

/* The owner may stop the follower from within its functions, and free it. */
static void on_follow(void *ctx, const struct fetch_result *r)
{
	struct platform_follow *f = ctx;
	bool stopped = false;
	struct jread_errors faults;
	struct jread_node root;
	bool ok;

	f->outdated = false;
	f->stopped = &stopped;
	count(f->platform, r);
	ok = parse(r, &faults, &root);
	if (ok) {
		follow_take(f, &root, &stopped);
		json_object_put(root.value);
	} else if (f->state) {
		f->state(f->ctx, r->error ? r->error : -EBADMSG, 0, 0);
	}
	jread_errors_free(&faults);
	if (stopped)
		return;
	f->stopped = NULL;
	if (!ok)
		f->at_once = true;
	if (f->running)
		follow_again(f, ok ? 0. : RETRY_S);
}

static void follow_read(struct platform_follow *f)
{
	char url[2 * PLATFORM_URL_BYTES];
	struct fetch_request q = {.method = "GET", .url = url};
	uint32_t wait_ms = f->at_once ? 0 : f->wait_ms;

	snprintf(url, sizeof(url), "%s/log/%s?from=%llu&wait_ms=%u&max=%u",
		 f->platform->url, f->stream, (unsigned long long)f->next,
		 wait_ms, RECORDS_A_READ);
	f->at_once = false;
	q.connect_ms = f->platform->connect_ms;
	q.total_ms = wait_ms + f->platform->answer_ms;
	q.max_body_bytes = ANSWER_MAX_BYTES;
	q.on_done = on_follow;
	q.ctx = f;
	if (fetch_start(f->platform->fetch, &f->call, &q) < 0)
		follow_again(f, RETRY_S);
}

static void on_retry(struct ev_loop *loop, ev_timer *w, int revents)
{
	follow_read(w->data);
}

/*
 * Follows a stream from an offset: take is called once for each record, in
 * order, and state after each answer. Runs until it is stopped. Returns 0.
 */
int platform_follow_start(struct platform *p, struct platform_follow *f,
			  const char *stream, uint64_t from, uint32_t wait_ms,
			  platform_take take, platform_state state, void *ctx)
{
	memset(f, 0, sizeof(*f));
	f->platform = p;
	f->next = from ? from : 1;
	f->wait_ms = wait_ms;
	f->take = take;
	f->state = state;
	f->ctx = ctx;
	f->running = true;
	f->at_once = true;
	snprintf(f->stream, sizeof(f->stream), "%s", stream);
	ev_timer_init(&f->retry, on_retry, 0., 0.);
	f->retry.data = f;
	follow_read(f);
	return 0;
}

/*
 * Drops the read under way, whose answer may be old, and reads anew without
 * waiting, so that the next answer shows the log's end as it is now.
 */
void platform_follow_again(struct platform_follow *f)
{
	if (!f->running)
		return;
	fetch_cancel(&f->call);
	f->at_once = true;
	f->outdated = true;
	follow_again(f, 0.);
}

/* Goes on from a later offset: what is before it was learned elsewhere. */
void platform_follow_skip(struct platform_follow *f, uint64_t next)
{
	if (next <= f->next)
		return;
	f->next = next;
	platform_follow_again(f);
}

/* Stops a follower; neither of its functions is called after this. */
void platform_follow_stop(struct platform_follow *f)
{
	if (!f->running)
		return;
	f->running = false;
	if (f->stopped)
		*f->stopped = true;
	fetch_cancel(&f->call);
	ev_timer_stop(f->platform->fetch->loop, &f->retry);
}

static void on_append(void *ctx, const struct fetch_result *r)
{
	struct platform_append *a = ctx;
	struct jread_errors faults;
	struct jread_node root;
	uint64_t offset = 0;
	int error = -EIO;

	count(a->platform, r);
	if (parse(r, &faults, &root)) {
		offset = (uint64_t)jread_int_or(&root, "offset", 0, 0,
						INT64_MAX);
		json_object_put(root.value);
		error = 0;
	} else if (!r->sent || r->status == 429) {
		error = -EAGAIN;
	}
	jread_errors_free(&faults);
	a->done(a->ctx, error, offset);
}

/*
 * Appends a record to a stream. The memory at a is the caller's until done is
 * called: with error 0 and its offset, -EAGAIN if it surely was not appended,
 * or -EIO if it may have been. Returns 0 or -ENOMEM.
 */
int platform_append_start(struct platform *p, struct platform_append *a,
			  const char *stream, const char *data, size_t n,
			  platform_appended done, void *ctx)
{
	char url[2 * PLATFORM_URL_BYTES];
	struct fetch_request q = {.method = "POST",
				  .url = url,
				  .body = data,
				  .body_n = n,
				  .connect_ms = p->connect_ms,
				  .total_ms = p->answer_ms,
				  .on_done = on_append,
				  .ctx = a};

	snprintf(url, sizeof(url), "%s/log/%s", p->url, stream);
	a->platform = p;
	a->done = done;
	a->ctx = ctx;
	return fetch_start(p->fetch, &a->call, &q);
}

/* Tells the platform's host list of this host; done as for an append. */
int platform_announce(struct platform *p, struct platform_append *a,
		      const struct platform_host *h, platform_appended done,
		      void *ctx)
{
	char url[2 * PLATFORM_URL_BYTES];
	char body[320];
	struct fetch_request q = {.method = "PUT",
				  .url = url,
				  .body = body,
				  .connect_ms = p->connect_ms,
				  .total_ms = p->answer_ms,
				  .on_done = on_append,
				  .ctx = a};

	snprintf(url, sizeof(url), "%s/hosts/%s", p->url, h->name);
	q.body_n = (size_t)snprintf(
		body, sizeof(body),
		"{\"domain\":\"%s\",\"addr\":\"%s\",\"state\":\"%s\"}",
		h->domain, h->addr, h->leaving ? "leaving" : "live");
	a->platform = p;
	a->done = done;
	a->ctx = ctx;
	return fetch_start(p->fetch, &a->call, &q);
}

static void read_host(struct jread_node *at, struct platform_host *h)
{
	char state[16];

	jread_string(at, "name", h->name, sizeof(h->name));
	jread_string(at, "domain", h->domain, sizeof(h->domain));
	jread_string(at, "addr", h->addr, sizeof(h->addr));
	jread_string(at, "state", state, sizeof(state));
	h->leaving = strcmp(state, "leaving") == 0;
}

/* Reads the list and hands it over; the memory is freed afterwards. */
static void give_list(struct platform_list *l, struct jread_node *root)
{
	struct platform_host *hosts;
	struct jread_node array, item;
	uint32_t n, i;

	n = jread_require(root, "hosts", &array) ? jread_count(&array) : 0;
	hosts = calloc(n + 1, sizeof(*hosts));
	for (i = 0; hosts && i < n && jread_item(&array, i, &item); i++)
		read_host(&item, &hosts[i]);
	if (root->errors->n || !hosts)
		l->done(l->ctx, -EBADMSG, NULL, 0);
	else
		l->done(l->ctx, 0, hosts, n);
	free(hosts);
}

static void on_list(void *ctx, const struct fetch_result *r)
{
	struct platform_list *l = ctx;
	struct jread_errors faults;
	struct jread_node root;

	count(l->platform, r);
	if (parse(r, &faults, &root)) {
		give_list(l, &root);
		json_object_put(root.value);
	} else {
		l->done(l->ctx, r->error ? r->error : -EBADMSG, NULL, 0);
	}
	jread_errors_free(&faults);
}

/* Reads the host list once. Returns 0 or -ENOMEM. */
int platform_list_start(struct platform *p, struct platform_list *l,
			platform_hosts done, void *ctx)
{
	char url[2 * PLATFORM_URL_BYTES];
	struct fetch_request q = {.method = "GET",
				  .url = url,
				  .connect_ms = p->connect_ms,
				  .total_ms = p->answer_ms,
				  .on_done = on_list,
				  .ctx = l};

	snprintf(url, sizeof(url), "%s/hosts", p->url);
	l->platform = p;
	l->done = done;
	l->ctx = ctx;
	return fetch_start(p->fetch, &l->call, &q);
}
