#ifndef FIGBEND_H1_H
#define FIGBEND_H1_H

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * HTTP/1.1 for passing requests through: heads are read strictly (RFC 9112),
 * bodies are decoded to plain bytes, and whoever holds a request or an answer
 * is told exactly what came over the wire and what did not.
 */

#define H1_FIELDS_MAX 64

/* Bytes that grow at the end and are taken from the front. */
struct h1_buf {
	char *data;
	size_t start;
	size_t end;
	size_t capacity;
};

void h1_buf_finish(struct h1_buf *b);
int h1_buf_append(struct h1_buf *b, const void *p, size_t n);
int h1_buf_printf(struct h1_buf *b, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
void h1_buf_consume(struct h1_buf *b, size_t n);
size_t h1_buf_len(const struct h1_buf *b);
const char *h1_buf_data(const struct h1_buf *b);

enum h1_framing {
	H1_NO_BODY,
	H1_CONTENT_LENGTH,
	H1_CHUNKED,
	H1_UNTIL_CLOSE,
};

struct h1_field {
	const char *name;
	const char *value;
};

/* A head of a request or an answer; the strings live in text. */
struct h1_head {
	char *text;
	const char *method;
	const char *target;
	uint16_t status;
	uint8_t minor_version;
	struct h1_field field[H1_FIELDS_MAX];
	uint32_t n_fields;
	enum h1_framing framing;
	uint64_t length_bytes;
	bool close; /* the sender will not use the connection again */
	uint32_t keep_alive_s; /* what the sender says; 0: nothing */
};

size_t h1_head_end(const char *p, size_t n);
int h1_parse_request(struct h1_head *h, const char *p, size_t n);
int h1_parse_response(struct h1_head *h, const char *p, size_t n);
void h1_head_finish(struct h1_head *h);
const char *h1_get_field(const struct h1_head *h, const char *name);
bool h1_is_hop_by_hop(const struct h1_head *h, const char *name);

enum h1_chunk_state {
	H1_CHUNK_SIZE,
	H1_CHUNK_EXTENSION,
	H1_CHUNK_SIZE_LF,
	H1_CHUNK_DATA,
	H1_CHUNK_DATA_CR,
	H1_CHUNK_DATA_LF,
	H1_CHUNK_TRAILER,
	H1_CHUNK_TRAILER_LINE,
	H1_CHUNK_TRAILER_LF,
	H1_CHUNK_END_LF,
};

/* The decoder of one body. */
struct h1_body {
	enum h1_framing framing;
	uint64_t remaining_bytes;
	enum h1_chunk_state chunk_state;
	uint32_t size_digits;
	uint32_t overhead_bytes; /* of chunk extensions and trailers */
	bool complete;
};

void h1_body_init(struct h1_body *b, const struct h1_head *h);
/*
 * Reads as much of the body as is there: the decoded bytes go to out, *used says
 * how many were read. Returns 0 or -EBADMSG; b->whole tells the end.
 */
int h1_body_feed(struct h1_body *b, const char *p, size_t n, size_t *used,
		 struct h1_buf *out);

/* What callers may send, and how long they may take. */
struct h1_limits {
	uint32_t header_max_bytes;
	uint32_t body_max_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct h1_server;

/* A request that was read whole. */
struct h1_request {
	struct h1_head head;
	struct h1_buf body;
};

enum h1_conn_state {
	H1_READING,    /* a head or a body */
	H1_RESPONDING, /* a request waits for its answer */
};

/* A connection of a caller. */
struct h1_conn {
	struct h1_server *server;
	TAILQ_ENTRY(h1_conn) entry;
	int fd;
	ev_io reader;
	ev_io writer;
	ev_timer timer;
	struct h1_buf in;
	struct h1_buf out;
	enum h1_conn_state state;
	bool in_body;
	bool head_started;
	size_t buffered_bytes; /* what the server's sum has of it */
	bool closing;	       /* closes once out is written */
	bool close_after;      /* this answer is the last on the connection */
	bool response_chunked;
	bool lingering; /* all is written; waits for the caller to close */
	bool broken;	/* a write failed; freed from the loop */
	struct h1_request request;
	struct h1_body body;
	void *user_data; /* of the holder of the request */
};

struct h1_server_handlers {
	/* A whole request; answered by h1_answer() or h1_stream_*(). */
	void (*request)(void *ctx, struct h1_conn *c);
	/* The caller closed while its request waited; c is freed after. */
	void (*disconnected)(void *ctx, struct h1_conn *c);
	/* A request was refused before it was read whole. */
	void (*rejected)(void *ctx, uint16_t status, const char *reason);
};

TAILQ_HEAD(h1_conns, h1_conn);

struct h1_server {
	struct ev_loop *loop;
	int fd;
	ev_io acceptor;
	const struct h1_limits *limits;
	const struct h1_server_handlers *handlers;
	void *ctx;
	struct h1_conns conns;
	uint32_t conns_n;
	uint32_t conns_max;
	uint64_t buffered_bytes; /* of requests that are being read */
	uint64_t buffered_max_bytes;
	bool draining; /* connections close after their answer */
};

int h1_server_init(struct h1_server *s, struct ev_loop *loop,
		   const struct sockaddr_in *addr, const struct h1_limits *l,
		   const struct h1_server_handlers *h, void *ctx);
void h1_server_finish(struct h1_server *s);
/* Closes connections on which no request is being read or answered. */
void h1_server_close_idle(struct h1_server *s);

/* Bytes of answers that the caller has not read yet. */
size_t h1_unsent_bytes(const struct h1_conn *c);
/* Writes a whole answer; fields is NULL or lines that end with CRLF. */
void h1_respond(struct h1_conn *c, uint16_t status, const char *fields,
		const void *body, size_t n);
/* Starts an answer whose body comes piece by piece. */
void h1_stream_start(struct h1_conn *c, uint16_t status, const char *fields);
void h1_stream_write(struct h1_conn *c, const void *p, size_t n);
void h1_stream_end(struct h1_conn *c);
/* Ends the answer so that it cannot look complete: closes the connection. */
void h1_stream_abort(struct h1_conn *c);
const char *h1_reason_phrase(uint16_t status);

enum h1_outcome {
	H1_COMPLETE,	/* the answer came to its end */
	H1_INCOMPLETE,	/* it began and broke off */
	H1_NO_RESPONSE, /* something was sent, nothing that is an answer came */
	H1_NOT_SENT,	/* not a byte went out */
};

enum h1_verdict {
	H1_ACCEPT,  /* the answer belongs to this exchange */
	H1_DISCARD, /* it is of an earlier one; the next may be ours */
};

struct h1_exchange;

struct h1_exchange_handlers {
	enum h1_verdict (*head)(void *ctx, const struct h1_head *h);
	void (*body)(void *ctx, const void *p, size_t n);
	/* Called once, unless the exchange is canceled; x is free after. */
	void (*end)(void *ctx, enum h1_outcome end, const char *reason);
};

struct h1_client;
struct h1_client_conn;

/* One request to an endpoint and its answer, in memory of the caller. */
struct h1_exchange {
	struct h1_client_conn *conn; /* NULL: not running */
	const struct h1_exchange_handlers *handlers;
	void *ctx;
	bool no_body; /* a HEAD request: set before the start */
};

LIST_HEAD(h1_client_conns, h1_client_conn);

/* A connection to an endpoint. */
struct h1_client_conn {
	struct h1_client *client;
	LIST_ENTRY(h1_client_conn) entry;
	struct sockaddr_in addr;
	int fd;
	ev_io io;
	bool connected;
	ev_timer timer;
	struct h1_buf in;
	struct h1_buf out;
	uint64_t sent_bytes; /* of the exchange now on it */
	struct h1_head head;
	bool have_head;
	bool skipping;	   /* the answer is of an earlier exchange */
	bool in_handler;   /* a handler runs */
	bool free_pending; /* freed when the handler returns */
	struct h1_body body;
	struct h1_exchange *exchange; /* NULL: idle */
	double idle_until;	      /* loop time */
};

struct h1_client {
	struct ev_loop *loop;
	struct h1_client_conns conns;
	ev_timer sweep;
	double connect_timeout_s;
	double idle_max_s;
	uint32_t
		user_timeout_ms; /* unacknowledged bytes break the connection */
	uint32_t conns_n;
	uint64_t connects;
};

void h1_client_init(struct h1_client *c, struct ev_loop *loop,
		    double connect_timeout_s, double idle_max_s);
void h1_client_finish(struct h1_client *c);
/*
 * Sends a request on an idle connection to addr or a new one. Returns 0 or a
 * negative error number if no socket can be had; end is never called from here.
 */
int h1_exchange_start(struct h1_client *c, struct h1_exchange *x,
		      const struct sockaddr_in *addr, const void *request,
		      size_t n, const struct h1_exchange_handlers *h,
		      void *ctx);
/* Ends the exchange and its connection; no handler is called. */
void h1_exchange_cancel(struct h1_exchange *x);
/* Tells whether a byte of the request went out. */
bool h1_exchange_sent(const struct h1_exchange *x);
int h1_parse_addr(const char *text, struct sockaddr_in *out);

#endif
