#include "httpd.h"
#include "tls.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "logline.h"

#define STREAM_BLOCK_BYTES 16384
#define SWEEP_S 1.
#define HANGUP_CHECK_S 0.5

enum call_state {
	CALL_READING,
	CALL_HANDLED,
	CALL_ANSWERED,
	CALL_STREAMING,
};

struct buffer {
	char *bytes;
	size_t start;
	size_t end;
	size_t capacity;
};

struct httpd_connection {
	uint64_t number;
	int fd;
	ev_tstamp since; /* it was opened, or its last call ended */
	bool busy;	 /* a call was taken and is not over */
	TAILQ_ENTRY(httpd_connection) entry;
};

struct httpd_call {
	struct httpd *server;
	struct MHD_Connection *connection;
	char *path;
	char method[16];
	enum call_state state;
	struct buffer body;
	struct buffer out;
	httpd_gone gone;
	void *gone_ctx;
	ev_io hangup;
	ev_timer hangup_timer;
	uint32_t refs;
	bool suspended;
	bool too_large;
	bool ended;
	bool aborted;
};

static int buffer_add(struct buffer *b, const char *bytes, size_t n)
{
	size_t capacity = b->capacity ? b->capacity : 512;
	char *p;

	if (b->start == b->end)
		b->start = b->end = 0;
	while (capacity < b->end + n + 1)
		capacity *= 2;
	if (capacity != b->capacity) {
		p = realloc(b->bytes, capacity);
		if (!p)
			return -ENOMEM;
		b->bytes = p;
		b->capacity = capacity;
	}
	memcpy(b->bytes + b->end, bytes, n);
	b->end += n;
	b->bytes[b->end] = '\0';
	return 0;
}

static struct httpd_connection *connection_of(const struct httpd_call *c)
{
	const union MHD_ConnectionInfo *info;

	if (!c->connection)
		return NULL;
	info = MHD_get_connection_info(c->connection,
				       MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	return info->socket_context;
}

/* Notes whether a call of the connection is being handled. */
static void set_busy(const struct httpd_call *c, bool busy)
{
	struct httpd_connection *k = connection_of(c);

	if (!k)
		return;
	k->busy = busy;
	k->since = ev_now(c->server->loop);
}

static void call_put(struct httpd_call *c)
{
	if (--c->refs)
		return;
	free(c->path);
	free(c->body.bytes);
	free(c->out.bytes);
	free(c);
}

/* Lets the daemon run on the next turn of the loop, also from within a run. */
static void run_soon(struct httpd *h)
{
	h->run_again = true;
	ev_timer_stop(h->loop, &h->timer);
	ev_timer_set(&h->timer, 0., 0.);
	ev_timer_start(h->loop, &h->timer);
}

static void call_suspend(struct httpd_call *c)
{
	if (c->suspended)
		return;
	c->suspended = true;
	MHD_suspend_connection(c->connection);
}

static void call_resume(struct httpd_call *c)
{
	if (!c->suspended || !c->connection)
		return;
	c->suspended = false;
	MHD_resume_connection(c->connection);
	run_soon(c->server);
}

/* Tells the handler's owner, once, that nobody waits for the answer. */
static void call_tell_gone(struct httpd_call *c)
{
	httpd_gone gone = c->gone;

	c->gone = NULL;
	if (gone)
		gone(c->gone_ctx, c);
}

static void hang_up(struct httpd_call *c)
{
	c->aborted = true;
	call_tell_gone(c);
	call_resume(c);
}

/* Tells whether the other side has closed, whatever it sent before that. */
static bool is_closed(int fd)
{
	struct pollfd p = {.fd = fd, .events = POLLRDHUP};

	return poll(&p, 1, 0) > 0;
}

static void on_hangup_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct httpd_call *c = w->data;

	if (!is_closed(c->hangup.fd))
		return;
	ev_timer_stop(loop, w);
	hang_up(c);
}

/*
 * A readable socket of a waiting call means a hang-up or bytes, be it a
 * pipelined call or the closing record of TLS. The library does not look at
 * suspended connections, so this watcher does; it can't wait for the end behind
 * bytes that nobody reads, so from then on a timer looks for it.
 */
static void on_hangup(struct ev_loop *loop, ev_io *w, int revents)
{
	struct httpd_call *c = w->data;
	char byte;
	ssize_t n;

	n = recv(w->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	ev_io_stop(loop, w);
	if (n > 0 && !is_closed(w->fd))
		ev_timer_start(loop, &c->hangup_timer);
	else
		hang_up(c);
}

static void watch_hangup(struct httpd_call *c)
{
	const union MHD_ConnectionInfo *info;

	info = MHD_get_connection_info(c->connection,
				       MHD_CONNECTION_INFO_CONNECTION_FD);
	ev_io_init(&c->hangup, on_hangup, info->connect_fd, EV_READ);
	c->hangup.data = c;
	ev_io_start(c->server->loop, &c->hangup);
	ev_timer_init(&c->hangup_timer, on_hangup_timer, HANGUP_CHECK_S,
		      HANGUP_CHECK_S);
	c->hangup_timer.data = c;
}

static struct httpd_call *call_new(struct httpd *h, struct MHD_Connection *con,
				   const char *url, const char *method)
{
	struct httpd_call *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->path = strdup(url);
	if (!c->path) {
		free(c);
		return NULL;
	}
	c->server = h;
	c->connection = con;
	c->refs = 1;
	snprintf(c->method, sizeof(c->method), "%s", method);
	return c;
}

static enum MHD_Result take_body(struct httpd_call *c, const char *data,
				 size_t *n)
{
	struct httpd *h = c->server;

	if (c->body.end + *n > h->limits.body_bytes) {
		h->too_large += !c->too_large;
		c->too_large = true;
	} else if (buffer_add(&c->body, data, *n) < 0) {
		return MHD_NO;
	}
	*n = 0;
	return MHD_YES;
}

/* What a head says of where its body ends, and whom it asks. */
struct framing {
	const char *length;
	uint32_t codings;
	uint32_t hosts;
	bool bad;
};

static enum MHD_Result on_field(void *ctx, enum MHD_ValueKind kind,
				const char *name, const char *value)
{
	struct framing *f = ctx;

	if (strcasecmp(name, MHD_HTTP_HEADER_HOST) == 0)
		f->hosts++;
	if (strcasecmp(name, MHD_HTTP_HEADER_TRANSFER_ENCODING) == 0) {
		f->codings++;
		f->bad |= !value || strcasecmp(value, "chunked") != 0;
	}
	if (strcasecmp(name, MHD_HTTP_HEADER_CONTENT_LENGTH) == 0) {
		f->bad |= !value || (f->length && strcmp(f->length, value));
		f->length = value;
	}
	return MHD_YES;
}

/*
 * Tells whether a head can be read in one way only (RFC 9112, sections 3.2 and
 * 6.3). The library takes the last of two lengths, and a length beside a coding:
 * what another reader takes for the body would run as a second request.
 */
static bool is_clear(struct MHD_Connection *con, const char *version)
{
	struct framing f = {0};

	MHD_get_connection_values(con, MHD_HEADER_KIND, on_field, &f);
	if (f.bad || f.codings > 1 || (f.codings && f.length))
		return false;
	return f.hosts == 1 ||
	       (f.hosts == 0 && strcasecmp(version, MHD_HTTP_VERSION_1_0) == 0);
}

/* Answers a head that is not clear and closes its connection. */
static enum MHD_Result refuse_head(struct httpd *h, struct MHD_Connection *con)
{
	static const char text[] =
		"{\"error\":{\"code\":\"bad_request\",\"message\":\"the head "
		"can be read in more than one way\",\"not_run\":true}}\n";
	struct MHD_Response *r = MHD_create_response_from_buffer(
		sizeof(text) - 1, (void *)text, MHD_RESPMEM_PERSISTENT);
	enum MHD_Result queued;

	h->bad_heads++;
	logline(LOG_INFO, "head_refused", "why=\"two ways to read it\" n=%llu",
		(unsigned long long)h->bad_heads);
	if (!r)
		return MHD_NO;
	MHD_add_response_header(r, MHD_HTTP_HEADER_CONTENT_TYPE,
				"application/json");
	MHD_add_response_header(r, MHD_HTTP_HEADER_CONNECTION, "close");
	queued = MHD_queue_response(con, MHD_HTTP_BAD_REQUEST, r);
	MHD_destroy_response(r);
	return queued;
}

static enum MHD_Result on_access(void *ctx, struct MHD_Connection *con,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *n, void **con_ctx)
{
	static const char too_large[] =
		"{\"error\":{\"code\":\"body_too_large\",\"message\":\"the "
		"body is over the limit\",\"not_run\":true}}\n";
	struct httpd *h = ctx;
	struct httpd_call *c = *con_ctx;

	if (!c && !is_clear(con, version))
		return refuse_head(h, con);
	if (!c) {
		c = call_new(h, con, url, method);
		*con_ctx = c;
		return c ? MHD_YES : MHD_NO;
	}
	if (*n)
		return take_body(c, data, n);
	if (c->aborted)
		return MHD_NO;
	if (c->state != CALL_READING)
		return MHD_YES;
	c->state = CALL_HANDLED;
	set_busy(c, true);
	c->refs++;
	h->calls++;
	watch_hangup(c);
	call_suspend(c);
	if (c->too_large)
		httpd_answer(c, 413, "application/json", NULL, too_large,
			     sizeof(too_large) - 1);
	else
		h->handler(h->ctx, c);
	return MHD_YES;
}

static void on_completed(void *ctx, struct MHD_Connection *con, void **con_ctx,
			 enum MHD_RequestTerminationCode code)
{
	struct httpd_call *c = *con_ctx;

	if (!c)
		return;
	*con_ctx = NULL;
	ev_io_stop(c->server->loop, &c->hangup);
	ev_timer_stop(c->server->loop, &c->hangup_timer);
	c->connection = NULL;
	if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
		c->aborted = true;
	if (c->aborted)
		call_tell_gone(c);
	call_put(c);
}

/* Numbers the connections and keeps them, for those that send too slowly. */
static void on_connection(void *ctx, struct MHD_Connection *con,
			  void **socket_ctx,
			  enum MHD_ConnectionNotificationCode code)
{
	struct httpd *h = ctx;
	struct httpd_connection *k = *socket_ctx;
	const union MHD_ConnectionInfo *info;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		if (k)
			TAILQ_REMOVE(&h->open, k, entry);
		free(k);
		return;
	}
	k = calloc(1, sizeof(*k));
	*socket_ctx = k;
	if (!k)
		return;
	info = MHD_get_connection_info(con, MHD_CONNECTION_INFO_CONNECTION_FD);
	k->fd = info->connect_fd;
	k->number = ++h->connections;
	k->since = ev_now(h->loop);
	TAILQ_INSERT_TAIL(&h->open, k, entry);
}

/* Cuts the connections whose next call did not come whole in time. */
static void on_sweep(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct httpd *h = w->data;
	struct httpd_connection *k;

	TAILQ_FOREACH(k, &h->open, entry)
	if (!k->busy && ev_now(loop) - k->since > h->limits.idle_s) {
		shutdown(k->fd, SHUT_RDWR);
		h->too_slow++;
	}
}

static void pump(struct httpd *h)
{
	MHD_UNSIGNED_LONG_LONG ms;

	h->run_again = false;
	MHD_run(h->daemon);
	if (h->run_again)
		return;
	ev_timer_stop(h->loop, &h->timer);
	if (MHD_get_timeout(h->daemon, &ms) == MHD_YES) {
		ev_timer_set(&h->timer, (double)ms / 1000., 0.);
		ev_timer_start(h->loop, &h->timer);
	}
}

static void on_io(struct ev_loop *loop, ev_io *w, int revents)
{
	pump(w->data);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	pump(w->data);
}

static int parse_addr(const char *addr, struct sockaddr_in *sin)
{
	char host[64];
	const char *colon = strrchr(addr, ':');
	size_t n = colon ? (size_t)(colon - addr) : 0;
	long port;

	if (!colon || n >= sizeof(host))
		return -EINVAL;
	memcpy(host, addr, n);
	host[n] = '\0';
	port = strtol(colon + 1, NULL, 10);
	memset(sin, 0, sizeof(*sin));
	sin->sin_family = AF_INET;
	sin->sin_port = htons((uint16_t)port);
	if (port <= 0 || port > UINT16_MAX)
		return -EINVAL;
	return inet_pton(AF_INET, host, &sin->sin_addr) == 1 ? 0 : -EINVAL;
}

static struct MHD_Daemon *start_daemon(struct httpd *h,
				       const struct sockaddr_in *sin,
				       const struct httpd_tls *tls)
{
	unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
	struct MHD_OptionItem secure[] = {
		{MHD_OPTION_HTTPS_CERT_CALLBACK, 0, (void *)httpd_tls_retrieve},
		{MHD_OPTION_END, 0, NULL},
	};
	struct MHD_OptionItem none[] = {{MHD_OPTION_END, 0, NULL}};

	if (tls) {
		flags |= MHD_USE_TLS;
		httpd_tls_serve(tls);
	}
	return MHD_start_daemon(
		flags, 0, NULL, NULL, on_access, h, MHD_OPTION_SOCK_ADDR, sin,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
		MHD_OPTION_CONNECTION_LIMIT, h->limits.connections,
		MHD_OPTION_CONNECTION_TIMEOUT, h->limits.idle_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)h->limits.connection_bytes, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, NULL, MHD_OPTION_NOTIFY_CONNECTION, on_connection,
		h, MHD_OPTION_ARRAY, tls ? secure : none, MHD_OPTION_END);
}

/*
 * Listens on addr, "IP:PORT", and serves calls on the loop through the handler.
 * limits and tls are copied as far as needed. Returns 0, -EINVAL if the address
 * is not one, or -EADDRINUSE if the server did not start.
 */
int httpd_init(struct httpd *h, struct ev_loop *loop, const char *addr,
	       const struct httpd_limits *limits, const struct httpd_tls *tls,
	       httpd_handler handler, void *ctx)
{
	const union MHD_DaemonInfo *info;
	struct sockaddr_in sin;
	int r;

	memset(h, 0, sizeof(*h));
	TAILQ_INIT(&h->open);
	h->loop = loop;
	h->limits = *limits;
	h->handler = handler;
	h->ctx = ctx;
	r = parse_addr(addr, &sin);
	if (r < 0)
		return r;
	h->daemon = start_daemon(h, &sin, tls);
	if (!h->daemon)
		return -EADDRINUSE;
	info = MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&h->io, on_io, info->epoll_fd, EV_READ);
	h->io.data = h;
	ev_io_start(loop, &h->io);
	ev_timer_init(&h->timer, on_timer, 0., 0.);
	h->timer.data = h;
	ev_timer_init(&h->sweep, on_sweep, SWEEP_S, SWEEP_S);
	h->sweep.data = h;
	ev_timer_start(loop, &h->sweep);
	run_soon(h);
	return 0;
}

/* Stops taking new connections; open ones go on. */
void httpd_close_listener(struct httpd *h)
{
	MHD_socket fd = MHD_quiesce_daemon(h->daemon);

	if (fd != MHD_INVALID_SOCKET)
		shutdown(fd, SHUT_RDWR);
}

/* Stops the server. Calls that wait must have been answered before. */
void httpd_finish(struct httpd *h)
{
	if (!h->daemon)
		return;
	ev_io_stop(h->loop, &h->io);
	ev_timer_stop(h->loop, &h->timer);
	ev_timer_stop(h->loop, &h->sweep);
	MHD_stop_daemon(h->daemon);
	h->daemon = NULL;
}

const char *httpd_method(const struct httpd_call *c)
{
	return c->method;
}

const char *httpd_path(const struct httpd_call *c)
{
	return c->path;
}

/* Returns a request header's value or NULL; it lives as long as the call. */
const char *httpd_header(const struct httpd_call *c, const char *name)
{
	if (!c->connection)
		return NULL;
	return MHD_lookup_connection_value(c->connection, MHD_HEADER_KIND,
					   name);
}

/* Returns a query argument's value or NULL; it lives as long as the call. */
const char *httpd_query(const struct httpd_call *c, const char *name)
{
	if (!c->connection)
		return NULL;
	return MHD_lookup_connection_value(c->connection, MHD_GET_ARGUMENT_KIND,
					   name);
}

/* Returns the body, followed by a zero byte, and its length in *n. */
const char *httpd_body(const struct httpd_call *c, size_t *n)
{
	*n = c->body.end;
	return c->body.bytes ? c->body.bytes : "";
}

uint64_t httpd_connection(const struct httpd_call *c)
{
	const struct httpd_connection *k = connection_of(c);

	return k ? k->number : 0;
}

/* Names the function to call if the caller hangs up first; NULL for none. */
void httpd_on_gone(struct httpd_call *c, httpd_gone gone, void *ctx)
{
	c->gone = gone;
	c->gone_ctx = ctx;
}

static void queue_response(struct httpd_call *c, struct MHD_Response *r,
			   unsigned int status, const char *content_type,
			   const char *const *headers)
{
	MHD_add_response_header(r, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
	for (; headers && headers[0]; headers += 2)
		MHD_add_response_header(r, headers[0], headers[1]);
	MHD_queue_response(c->connection, status, r);
	MHD_destroy_response(r);
}

/*
 * Answers the call in one piece and lets go of it: the caller of this function
 * must not use c afterwards. The bytes are copied.
 */
void httpd_answer(struct httpd_call *c, unsigned int status,
		  const char *content_type, const char *const *headers,
		  const char *body, size_t n)
{
	struct MHD_Response *r;

	c->gone = NULL;
	if (c->connection && !c->aborted) {
		r = MHD_create_response_from_buffer(n, (void *)body,
						    MHD_RESPMEM_MUST_COPY);
		queue_response(c, r, status, content_type, headers);
		c->state = CALL_ANSWERED;
	}
	call_resume(c);
	call_put(c);
}

/* Gives the library the next bytes of a stream, or suspends until there are. */
static ssize_t read_stream(void *ctx, uint64_t pos, char *buf, size_t max)
{
	struct httpd_call *c = ctx;
	size_t n = c->out.end - c->out.start;

	if (c->aborted)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (n > max)
		n = max;
	if (n) {
		memcpy(buf, c->out.bytes + c->out.start, n);
		c->out.start += n;
		return (ssize_t)n;
	}
	if (c->ended)
		return MHD_CONTENT_READER_END_OF_STREAM;
	call_suspend(c);
	return 0;
}

static void free_stream(void *ctx)
{
	call_put(ctx);
}

/*
 * Starts an answer of unknown length. Returns 0, or -EPIPE if the caller is
 * gone; either way the handler still holds the call.
 */
int httpd_stream_start(struct httpd_call *c, unsigned int status,
		       const char *content_type, const char *const *headers)
{
	struct MHD_Response *r;

	if (!c->connection || c->aborted)
		return -EPIPE;
	c->refs++;
	r = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
					      STREAM_BLOCK_BYTES, read_stream,
					      c, free_stream);
	c->state = CALL_STREAMING;
	queue_response(c, r, status, content_type, headers);
	call_resume(c);
	return 0;
}

/* Adds bytes to a stream. Returns 0, -EPIPE or -ENOMEM. */
int httpd_stream_write(struct httpd_call *c, const char *bytes, size_t n)
{
	if (!c->connection || c->aborted)
		return -EPIPE;
	if (buffer_add(&c->out, bytes, n) < 0)
		return -ENOMEM;
	call_resume(c);
	return 0;
}

/* Returns the bytes written to a stream but not yet taken by the socket. */
size_t httpd_stream_pending(const struct httpd_call *c)
{
	return c->out.end - c->out.start;
}

/* Ends a stream in good order and lets go of the call. */
void httpd_stream_end(struct httpd_call *c)
{
	c->gone = NULL;
	c->ended = true;
	call_resume(c);
	call_put(c);
}

/* Ends a stream by closing its connection and lets go of the call. */
void httpd_stream_abort(struct httpd_call *c)
{
	c->gone = NULL;
	c->aborted = true;
	call_resume(c);
	call_put(c);
}
