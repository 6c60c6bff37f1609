#ifndef FIGBEND_HTTPD_H
#define FIGBEND_HTTPD_H

#include <ev.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * An HTTP server on the loop: libmicrohttpd without threads. A call is handed
 * to the handler once its whole body is there; the handler answers at once or
 * later, in one piece or as a stream. A call lives until both the connection
 * and the handler have let go of it.
 */

struct httpd_call;
struct httpd_connection;
TAILQ_HEAD(httpd_connections, httpd_connection);

struct httpd_limits {
	uint32_t connections;
	uint32_t body_bytes;
	uint32_t connection_bytes;
	uint32_t idle_s; /* also for a call to come whole */
};

/* Certificate and key; one server of a process may have them. */
struct httpd_identity;
struct httpd_tls {
	struct httpd_identity *current;
	struct httpd_identity *replaced; /* handshakes may still use them */
};

typedef void (*httpd_handler)(void *ctx, struct httpd_call *c);
typedef void (*httpd_gone)(void *ctx, struct httpd_call *c);

struct httpd {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	struct httpd_limits limits;
	ev_io io;
	ev_timer timer;
	httpd_handler handler;
	void *ctx;
	bool run_again; /* a connection was resumed */
	uint64_t calls;
	uint64_t connections; /* opened so far */
	uint64_t too_large;
	uint64_t bad_heads; /* heads that can be read in more than one way */
	uint64_t too_slow;
	struct httpd_connections open;
	ev_timer sweep;
};

int httpd_tls_load(struct httpd_tls *t, const char *chain, size_t chain_n,
		   const char *key, size_t key_n, int64_t now_us);
void httpd_tls_finish(struct httpd_tls *t);

/* tls is NULL for plain HTTP; else it is loaded before and outlives the server. */
int httpd_init(struct httpd *h, struct ev_loop *loop, const char *addr,
	       const struct httpd_limits *limits, const struct httpd_tls *tls,
	       httpd_handler handler, void *ctx);
void httpd_close_listener(struct httpd *h);
void httpd_finish(struct httpd *h);

const char *httpd_method(const struct httpd_call *c);
const char *httpd_path(const struct httpd_call *c);
const char *httpd_header(const struct httpd_call *c, const char *name);
const char *httpd_query(const struct httpd_call *c, const char *name);
const char *httpd_body(const struct httpd_call *c, size_t *n);

/* Number of the call's connection, from 1 in the order of opening. */
uint64_t httpd_connection(const struct httpd_call *c);

/* Called once if the caller hangs up before the answer is complete. */
void httpd_on_gone(struct httpd_call *c, httpd_gone gone, void *ctx);

/* Pairs of name and value, ended by a NULL name. */
void httpd_answer(struct httpd_call *c, unsigned int status,
		  const char *content_type, const char *const *headers,
		  const char *body, size_t n);
int httpd_stream_start(struct httpd_call *c, unsigned int status,
		       const char *content_type, const char *const *headers);
int httpd_stream_write(struct httpd_call *c, const char *bytes, size_t n);
size_t httpd_stream_pending(const struct httpd_call *c);
void httpd_stream_end(struct httpd_call *c);
/* Ends the stream by closing the connection, so that it is seen as cut. */
void httpd_stream_abort(struct httpd_call *c);

#endif
