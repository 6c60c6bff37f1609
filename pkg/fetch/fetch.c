#include "fetch.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_BODY_BYTES (1U << 20)
/* Statuses of RFC 9110, section 15. */
#define STATUS_MIN 100
#define STATUS_MAX 599

struct socket_watch {
	struct fetch *fetch;
	ev_io io;
};

struct fetch_transfer {
	struct fetch *fetch;
	struct fetch_call *owner;
	CURL *easy;
	struct curl_slist *headers;
	size_t request_body_n;
	char *body;
	size_t body_n;
	uint32_t max_body_bytes;
	uint32_t silence_ms;
	ev_timer silence;
	fetch_bytes on_bytes;
	fetch_done on_done;
	void *ctx;
	bool silent;
	bool streams;
	bool is_ready;
	TAILQ_ENTRY(fetch_transfer) ready;
};

/* Takes a transfer off the multi handle and frees it; its owner is free. */
static void transfer_close(struct fetch_transfer *t)
{
	struct fetch *f = t->fetch;

	t->owner->transfer = NULL;
	f->open--;
	ev_timer_stop(f->loop, &t->silence);
	if (t->is_ready)
		TAILQ_REMOVE(&f->ready, t, ready);
	curl_multi_remove_handle(f->multi, t->easy);
	curl_easy_cleanup(t->easy);
	curl_slist_free_all(t->headers);
	free(t->body);
	free(t);
}

static int error_of(CURLcode code)
{
	switch (code) {
	case CURLE_OK:
		return 0;
	case CURLE_COULDNT_CONNECT:
		return -ECONNREFUSED;
	case CURLE_OPERATION_TIMEDOUT:
		return -ETIMEDOUT;
	case CURLE_WRITE_ERROR:
		return -EMSGSIZE;
	default:
		return -ECONNRESET;
	}
}

/* Counts the bytes of a transfer that is over, headers included. */
static void count_bytes(struct fetch_transfer *t, struct fetch_result *r)
{
	long request_bytes = 0;
	long header_bytes = 0;
	curl_off_t body_bytes = 0;

	curl_easy_getinfo(t->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
	curl_easy_getinfo(t->easy, CURLINFO_HEADER_SIZE, &header_bytes);
	curl_easy_getinfo(t->easy, CURLINFO_SIZE_DOWNLOAD_T, &body_bytes);
	r->sent_bytes = (uint64_t)request_bytes;
	r->received_bytes = (uint64_t)header_bytes + (uint64_t)body_bytes;
}

/*
 * Returns true if the response ended with its connection, without a length or chunks,
 * before the request was sent. libcurl takes it for complete, but the other side may
 * have broken off.
 */
static bool ended_early(const struct fetch_transfer *t, uint32_t status)
{
	struct curl_header *coding;
	curl_off_t length = -1;
	curl_off_t sent = 0;

	curl_easy_getinfo(t->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
	curl_easy_getinfo(t->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
	if (status == 204 || status == 304) /* they have no body */
		return false;
	return length < 0 && (uint64_t)sent < t->request_body_n &&
	       curl_easy_header(t->easy, "Transfer-Encoding", 0, CURLH_HEADER,
				-1, &coding) != CURLHE_OK;
}

/* Reports the end of a transfer to its owner, which may reuse the call. */
static void transfer_done(struct fetch_transfer *t, CURLcode code)
{
	struct fetch_result r = {.error = error_of(code)};
	fetch_done done = t->on_done;
	void *ctx = t->ctx;
	char *body = t->body;
	curl_off_t connect_us = 0;
	long status = 0;

	if (t->silent)
		r.error = -ETIMEDOUT;
	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(t->easy, CURLINFO_PRETRANSFER_TIME_T, &connect_us);
	r.sent = connect_us > 0 || status > 0;
	if (status < STATUS_MIN || status > STATUS_MAX) {
		status = 0;
		r.error = r.error ? r.error : -EBADMSG;
	}
	r.status = (uint32_t)status;
	if (!r.error && ended_early(t, r.status))
		r.error = -ECONNRESET;
	r.body = body ? body : "";
	r.body_n = t->body_n;
	count_bytes(t, &r);
	t->body = NULL;
	transfer_close(t);
	done(ctx, &r);
	free(body);
}

/* Hands the bytes of a streaming transfer to its owner. */
static void transfer_deliver(struct fetch_transfer *t)
{
	char *bytes = t->body;
	size_t n = t->body_n;

	t->body = NULL;
	t->body_n = 0;
	if (n)
		t->on_bytes(t->ctx, bytes, n);
	free(bytes);
}

/*
 * Hands over what curl has read. It runs outside curl's callbacks, so that an
 * owner may start and cancel calls from within its own.
 */
static void deliver(struct fetch *f)
{
	struct fetch_transfer *t;

	while ((t = TAILQ_FIRST(&f->ready))) {
		TAILQ_REMOVE(&f->ready, t, ready);
		t->is_ready = false;
		transfer_deliver(t);
	}
}

static void reap(struct fetch *f)
{
	struct CURLMsg *m;
	struct fetch_transfer *t;
	CURLcode code;
	int left;

	deliver(f);
	while ((m = curl_multi_info_read(f->multi, &left))) {
		if (m->msg != CURLMSG_DONE)
			continue;
		code = m->data.result;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &t);
		transfer_done(t, code);
	}
}

static void on_socket(struct ev_loop *loop, ev_io *w, int revents)
{
	struct socket_watch *s = w->data;
	struct fetch *f = s->fetch;
	int mask = 0;
	int running;

	if (revents & EV_READ)
		mask |= CURL_CSELECT_IN;
	if (revents & EV_WRITE)
		mask |= CURL_CSELECT_OUT;
	curl_multi_socket_action(f->multi, w->fd, mask, &running);
	reap(f);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct fetch *f = w->data;
	int running;

	curl_multi_socket_action(f->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	reap(f);
}

static int set_timer(CURLM *multi, long ms, void *ctx)
{
	struct fetch *f = ctx;

	ev_timer_stop(f->loop, &f->timer);
	if (ms >= 0) {
		ev_timer_set(&f->timer, (double)ms / 1000., 0.);
		ev_timer_start(f->loop, &f->timer);
	}
	return 0;
}

static int set_socket(CURL *easy, curl_socket_t fd, int what, void *ctx,
		      void *socket_ctx)
{
	struct fetch *f = ctx;
	struct socket_watch *s = socket_ctx;
	int events = 0;

	if (what == CURL_POLL_REMOVE) {
		if (s)
			ev_io_stop(f->loop, &s->io);
		free(s);
		return 0;
	}
	if (what & CURL_POLL_IN)
		events |= EV_READ;
	if (what & CURL_POLL_OUT)
		events |= EV_WRITE;
	if (!s) {
		s = calloc(1, sizeof(*s));
		if (!s)
			return -1;
		s->fetch = f;
		ev_io_init(&s->io, on_socket, fd, events);
		s->io.data = s;
		curl_multi_assign(f->multi, fd, s);
	} else {
		ev_io_stop(f->loop, &s->io);
		ev_io_set(&s->io, fd, events);
	}
	ev_io_start(f->loop, &s->io);
	return 0;
}

/*
 * Starts a client on the loop that keeps at most so many idle connections.
 * Returns 0 or -ENOMEM.
 */
int fetch_init(struct fetch *f, struct ev_loop *loop, uint32_t connections)
{
	memset(f, 0, sizeof(*f));
	TAILQ_INIT(&f->ready);
	f->loop = loop;
	f->multi = curl_multi_init();
	if (!f->multi)
		return -ENOMEM;
	ev_timer_init(&f->timer, on_timer, 0., 0.);
	f->timer.data = f;
	curl_multi_setopt(f->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
	curl_multi_setopt(f->multi, CURLMOPT_SOCKETDATA, f);
	curl_multi_setopt(f->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(f->multi, CURLMOPT_TIMERDATA, f);
	curl_multi_setopt(f->multi, CURLMOPT_MAXCONNECTS, (long)connections);
	return 0;
}

/* Closes the client. Its owner has cancelled or finished every call. */
void fetch_finish(struct fetch *f)
{
	curl_multi_cleanup(f->multi);
	ev_timer_stop(f->loop, &f->timer);
}

static size_t on_write(char *bytes, size_t size, size_t n, void *ctx)
{
	struct fetch_transfer *t = ctx;
	size_t total = size * n;
	long status = 0;
	char *p;

	if (t->silence_ms)
		ev_timer_again(t->fetch->loop, &t->silence);
	if (t->body_n + total > t->max_body_bytes)
		return 0;
	p = realloc(t->body, t->body_n + total + 1);
	if (!p)
		return 0;
	memcpy(p + t->body_n, bytes, total);
	t->body = p;
	t->body_n += total;
	p[t->body_n] = '\0';
	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	if (t->on_bytes && status == 200 && !t->is_ready) {
		t->is_ready = true;
		TAILQ_INSERT_TAIL(&t->fetch->ready, t, ready);
	}
	return total;
}

static void on_silence(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct fetch_transfer *t = w->data;

	t->silent = true;
	transfer_done(t, CURLE_OPERATION_TIMEDOUT);
}

static void set_options(struct fetch_transfer *t, const struct fetch_request *q)
{
	CURL *e = t->easy;

	curl_easy_setopt(e, CURLOPT_URL, q->url);
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, q->method);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, (long)q->connect_ms);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)q->total_ms);
	curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, q->fresh ? 1L : 0L);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(e, CURLOPT_PRIVATE, t);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, t->headers);
	if (!q->body)
		return;
	curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE, (long)q->body_n);
	curl_easy_setopt(e, CURLOPT_COPYPOSTFIELDS, q->body);
}

static struct fetch_transfer *transfer_new(struct fetch *f,
					   struct fetch_call *owner,
					   const struct fetch_request *q)
{
	struct fetch_transfer *t = calloc(1, sizeof(*t));
	const char *const *h;

	if (!t)
		return NULL;
	t->easy = curl_easy_init();
	if (!t->easy) {
		free(t);
		return NULL;
	}
	t->fetch = f;
	t->owner = owner;
	t->on_bytes = q->on_bytes;
	t->on_done = q->on_done;
	t->ctx = q->ctx;
	t->silence_ms = q->silence_ms;
	t->max_body_bytes = q->max_body_bytes;
	t->request_body_n = q->body ? q->body_n : 0;
	if (!t->max_body_bytes)
		t->max_body_bytes = DEFAULT_BODY_BYTES;
	t->headers = curl_slist_append(NULL, "Expect:");
	for (h = q->headers; h && *h; h++)
		t->headers = curl_slist_append(t->headers, *h);
	return t;
}

/*
 * Starts a call in memory of the caller's, which must stay until done or
 * cancelled. Done is never called from within this function. Returns 0 or
 * -ENOMEM.
 */
int fetch_start(struct fetch *f, struct fetch_call *c,
		const struct fetch_request *q)
{
	struct fetch_transfer *t = transfer_new(f, c, q);

	c->transfer = t;
	if (!t)
		return -ENOMEM;
	set_options(t, q);
	ev_timer_init(&t->silence, on_silence, 0., q->silence_ms / 1000.);
	t->silence.data = t;
	if (q->silence_ms)
		ev_timer_again(f->loop, &t->silence);
	f->open++;
	curl_multi_add_handle(f->multi, t->easy);
	return 0;
}

/* Ends an open call; its connection is closed and on_done is not called. */
void fetch_cancel(struct fetch_call *c)
{
	if (c->transfer)
		transfer_close(c->transfer);
}
