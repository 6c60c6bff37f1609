#include "store_fetch.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "adapter.h"
#include "h1.h"

/* For all pages together. */
#define FETCH_TIMEOUT_MS 5000
/* Of one page. A configuration of 4 MB takes a third more in base64. */
#define PAGE_MAX_BYTES ((size_t)16 * 1024 * 1024)
#define READ_BYTES 65536

struct fetch {
	const char *addr;
	struct sockaddr_in peer;
	int64_t deadline_ms;
	char *text; /* the newest configuration so far, NULL if none */
	size_t n;
	int error; /* of take() */
};

static int64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* Waits until the socket is ready. Returns 0 or a negative error number. */
static int await(const struct fetch *f, int fd, short events)
{
	struct pollfd p = {.fd = fd, .events = events};
	int64_t left_ms = f->deadline_ms - now_ms();
	int r;

	if (left_ms <= 0)
		return -ETIMEDOUT;
	r = poll(&p, 1, (int)left_ms);
	if (r < 0)
		return errno == EINTR ? 0 : -errno;
	return r ? 0 : -ETIMEDOUT;
}

/* Returns a connected, non-blocking socket or a negative error number. */
static int open_connection(const struct fetch *f)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	socklen_t size = sizeof(int);
	int error = 0, r = 0;

	if (fd < 0)
		return -errno;
	if (connect(fd, (const struct sockaddr *)&f->peer, sizeof(f->peer)) < 0)
		r = errno == EINPROGRESS ? await(f, fd, POLLOUT) : -errno;
	if (r == 0 && getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) < 0)
		error = errno;
	if (r == 0 && error)
		r = -error;
	if (r == 0)
		return fd;
	close(fd);
	return r;
}

static int send_all(const struct fetch *f, int fd, struct h1_buf *out)
{
	ssize_t n;
	int r;

	while (h1_buf_len(out)) {
		r = await(f, fd, POLLOUT);
		if (r < 0)
			return r;
		n = send(fd, h1_buf_data(out), h1_buf_len(out), MSG_NOSIGNAL);
		if (n < 0 && errno != EAGAIN && errno != EINTR)
			return -errno;
		if (n > 0)
			h1_buf_consume(out, (size_t)n);
	}
	return 0;
}

/* Reads more into in. Returns 1, 0 at the end of the connection, or an error. */
static int receive(const struct fetch *f, int fd, struct h1_buf *in)
{
	char bytes[READ_BYTES];
	ssize_t n;
	int r = await(f, fd, POLLIN);

	if (r < 0)
		return r;
	n = recv(fd, bytes, sizeof(bytes), 0);
	if (n < 0)
		return errno == EAGAIN || errno == EINTR ? 1 : -errno;
	if (n == 0)
		return 0;
	r = h1_buf_append(in, bytes, (size_t)n);
	return r < 0 ? r : 1;
}

/* Reads a response; its content is appended to content. */
static int read_response(const struct fetch *f, int fd, struct h1_buf *in,
			 struct h1_buf *content)
{
	struct h1_body body;
	struct h1_head head;
	size_t n = 0, used;
	int r = 1;

	while (r > 0 && !(n = h1_head_end(h1_buf_data(in), h1_buf_len(in))))
		r = h1_buf_len(in) > READ_BYTES ? -EFBIG : receive(f, fd, in);
	if (r <= 0)
		return r < 0 ? r : -EBADMSG;
	r = h1_parse_response(&head, h1_buf_data(in), n);
	if (r < 0)
		return r;
	h1_body_init(&body, &head);
	n = head.status == 200 ? n : 0;
	h1_head_finish(&head);
	if (!n)
		return -EPROTO;
	h1_buf_consume(in, n);
	for (;;) {
		r = h1_body_feed(&body, h1_buf_data(in), h1_buf_len(in), &used,
				 content);
		if (r < 0 || body.complete)
			return r;
		h1_buf_consume(in, used);
		if (h1_buf_len(content) > PAGE_MAX_BYTES)
			return -EFBIG;
		r = receive(f, fd, in);
		if (r < 0)
			return r;
		if (r == 0)
			return body.framing == H1_UNTIL_CLOSE ? 0 : -EBADMSG;
	}
}

/* Reads one page after the key into content, over a connection of its own. */
static int fetch_page(const struct fetch *f, const char *after,
		      struct h1_buf *content)
{
	struct h1_buf out = {0}, in = {0};
	int fd, r;

	fd = open_connection(f);
	if (fd < 0)
		return fd;
	r = adapter_write_snapshot_query(&out, f->addr, ADAPTER_OPERATORS,
					 after);
	if (r == 0)
		r = send_all(f, fd, &out);
	if (r == 0)
		r = read_response(f, fd, &in, content);
	h1_buf_finish(&out);
	h1_buf_finish(&in);
	close(fd);
	return r;
}

/* Keeps the value of the configuration's record. */
static void take(void *ctx, const char *key, const char *value, size_t n,
		 uint64_t position)
{
	struct fetch *f = ctx;
	const char *name;

	if (!value ||
	    adapter_operator_record_kind(key, &name) != ADAPTER_DIRECTORY)
		return;
	free(f->text);
	f->text = malloc(n + 1);
	f->n = n;
	if (f->text)
		memcpy(f->text, value, n);
	else
		f->error = -ENOMEM;
}

int store_fetch_config(const char *addr, char **text, size_t *n)
{
	struct fetch f = {.addr = addr};
	char after[ADAPTER_PAGE_KEY_BYTES] = "";
	struct h1_buf content = {0};
	bool more = true;
	uint64_t end;
	int r = 0;

	if (h1_parse_addr(addr, &f.peer) < 0)
		return -EINVAL;
	f.deadline_ms = now_ms() + FETCH_TIMEOUT_MS;
	while (r == 0 && more && !f.text) {
		r = fetch_page(&f, after, &content);
		if (r == 0)
			r = adapter_read_snapshot(h1_buf_data(&content),
						  h1_buf_len(&content), take,
						  &f, &more, after,
						  sizeof(after), &end);
		h1_buf_consume(&content, h1_buf_len(&content));
		if (r == 0)
			r = f.error;
	}
	h1_buf_finish(&content);
	if (r == 0 && !f.text)
		r = -ENOENT;
	if (r < 0) {
		free(f.text);
		return r;
	}
	*text = f.text;
	*n = f.n;
	return 0;
}
