#ifndef FIGBEND_H1_H
#define FIGBEND_H1_H

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * HTTP/1.1 (RFC 9112) server and client for a proxy, over non-blocking sockets
 * and one libev loop.
 *
 * Message heads are parsed strictly, so that other recipients find the same
 * message in the same bytes (no request smuggling). Bodies are decoded to their
 * content; trailer fields are discarded. The client reports whether the request
 * was sent and whether the response is complete, as a proxy needs both to
 * decide on a retry.
 *
 * A head is the start line and the header section of a message. Structs are
 * zero-initialized or set up by their init function. All functions and handlers
 * run in the thread of the loop.
 */

/* Field lines in one head; a head with more is rejected. */
#define H1_FIELDS_MAX 64

/* A growable byte queue. The zero value is an empty one. */
struct h1_buf {
	char *data;
	size_t start; /* offset of the first byte in use */
	size_t end;   /* offset after the last byte in use */
	size_t capacity;
};

/* Frees the memory and leaves an empty buffer. */
void h1_buf_finish(struct h1_buf *b);
/* Appends a copy of n bytes. Returns 0 or -ENOMEM. */
int h1_buf_append(struct h1_buf *b, const void *p, size_t n);
/* Appends formatted text, without a null byte. Returns 0 or -ENOMEM. */
int h1_buf_printf(struct h1_buf *b, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
/* Removes the first n bytes, or all if there are fewer. A buffer that is empty then
 * keeps little memory. */
void h1_buf_consume(struct h1_buf *b, size_t n);
/* Returns the number of bytes in the buffer. */
size_t h1_buf_len(const struct h1_buf *b);
/*
 * Returns a pointer to the first byte in the buffer, which owns the memory; it
 * is valid until the buffer changes. Never NULL.
 */
const char *h1_buf_data(const struct h1_buf *b);

/* How the end of a message body is determined (RFC 9112, section 6.3). */
enum h1_framing {
	H1_NO_BODY,
	H1_CONTENT_LENGTH,
	H1_CHUNKED,
	H1_UNTIL_CLOSE, /* responses only: ends when the connection closes */
};

struct h1_field {
	const char *name;
	const char *value; /* without leading and trailing whitespace */
};

/*
 * The head of a request or a response. Its strings point into text. The
 * authority of a target in absolute form is the value of Host.
 */
struct h1_head {
	char *text;	       /* a copy of the head, owned by this struct */
	const char *method;    /* NULL in a response */
	const char *target;    /* made origin form; NULL in a response */
	uint16_t status;       /* 0 in a request */
	uint8_t minor_version; /* x in HTTP/1.x: 0 or 1 */
	struct h1_field field[H1_FIELDS_MAX];
	uint32_t n_fields;
	enum h1_framing framing;
	uint64_t length_bytes; /* Content-Length; 0 without that field */
	bool close;	       /* the sender closes after this message */
	uint32_t keep_alive_s; /* timeout of Keep-Alive, 0 if absent */
};

/*
 * Returns the length in bytes of the head at the start of p, its empty line
 * included, or 0 if the n bytes do not contain the end of a head.
 */
size_t h1_head_end(const char *p, size_t n);
/*
 * Parses the head of a request; n is its length as h1_head_end() returns it.
 * Returns 0, -EBADMSG if the head is malformed, -ENOTSUP for a transfer coding
 * other than chunked, -E2BIG for more than H1_FIELDS_MAX field lines, or
 * -ENOMEM. On success the caller frees h with h1_head_finish(); after an error
 * there is nothing to free.
 */
int h1_parse_request(struct h1_head *h, const char *p, size_t n);
/*
 * Parses the head of a response, with the results of h1_parse_request(). The
 * framing is that of a response to a method other than HEAD.
 */
int h1_parse_response(struct h1_head *h, const char *p, size_t n);
/* Returns true if responses to the request have no content, whatever their head says. */
bool h1_is_head_request(const struct h1_head *h);
/* Frees the text of the head and clears it. */
void h1_head_finish(struct h1_head *h);
/*
 * Returns the value of the first field line with this name, or NULL if there
 * is none. Names are case-insensitive. The string belongs to h.
 */
const char *h1_get_field(const struct h1_head *h, const char *name);
/*
 * Returns true if a proxy must not forward the field of the message h with this
 * name: a field of the connection (RFC 9110, section 7.6.1), a field that
 * Connection lists, or Content-Length or Expect, which each connection handles
 * on its own.
 */
bool h1_is_hop_by_hop(const struct h1_head *h, const char *name);

/* What the decoder of a chunked body expects next. */
enum h1_chunk_state {
	H1_CHUNK_SIZE,
	H1_CHUNK_EXTENSION,
	H1_CHUNK_SIZE_LF,
	H1_CHUNK_DATA,
	H1_CHUNK_DATA_CR,
	H1_CHUNK_DATA_LF,
	H1_CHUNK_TRAILER, /* a trailer line or the final empty line */
	H1_CHUNK_TRAILER_LINE,
	H1_CHUNK_TRAILER_LF,
	H1_CHUNK_END_LF, /* of the final empty line */
};

/* The decoder of one message body. */
struct h1_body {
	enum h1_framing framing;
	uint64_t remaining_bytes; /* of the body, or of the current chunk */
	enum h1_chunk_state chunk_state;
	uint32_t size_digits;	 /* digits read of the current chunk size */
	uint32_t overhead_bytes; /* chunk extensions and trailers so far */
	bool complete;
};

/* Starts the decoder of the body that follows a head. */
void h1_body_init(struct h1_body *b, const struct h1_head *h);
/*
 * Decodes the next n bytes of the connection, up to the end of the body, and
 * appends the content to out. Sets *used to the number of bytes read and
 * b->complete at the end of the body, but not with H1_UNTIL_CLOSE, where the
 * body ends when the connection closes. Returns 0, -EBADMSG if the chunked
 * coding is malformed or its extensions and trailers are too long, or -ENOMEM.
 */
int h1_body_feed(struct h1_body *b, const char *p, size_t n, size_t *used,
		 struct h1_buf *out);

/* Limits on requests. */
struct h1_limits {
	uint32_t header_max_bytes; /* of a whole head */
	uint32_t body_max_bytes;   /* of the content, after decoding */
	/* Maximum time from the first byte of a head to its last. */
	uint32_t header_timeout_ms;
	/*
	 * Maximum time without input, before a request starts and while its
	 * body is received. If it changes meanwhile, the longer one holds.
	 */
	uint32_t idle_timeout_ms;
};

struct h1_server;

/* A request that has been received completely. */
struct h1_request {
	struct h1_head head;
	struct h1_buf body; /* the content, decoded */
};

enum h1_conn_state {
	H1_READING,    /* waits for a request or receives one */
	H1_RESPONDING, /* a request is complete; its response has not ended */
};

/*
 * A connection that a server accepted. Handlers read request and may set
 * user_data; the other fields are private to the server.
 */
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
	bool in_body;	       /* the head of the request has been read */
	bool head_started;     /* part of the next head has arrived */
	double idle_since_s;   /* loop time since which no input has arrived */
	size_t buffered_bytes; /* part of the server's buffered_bytes */
	size_t unsent_bytes;   /* part of the server's unsent_bytes */
	bool used;	       /* a response has been sent on it */
	bool closing;	       /* closes once out has been sent */
	bool close_after;      /* the connection closes after this response */
	bool response_chunked;
	bool lingering;	  /* out is sent; waits for the peer to close */
	bool closed_idle; /* closing, without a response to be sent before */
	bool broken; /* a send failed, or a response that is not chunked was
			 * aborted; the timer frees the connection */
	struct h1_request request;
	struct h1_body body;
	void *user_data; /* reset to NULL when the response ends */
};

/* The handlers of a server. They run from the loop. */
struct h1_server_handlers {
	/*
	 * A request is complete. The handler, or other code later, responds
	 * with h1_respond() or with h1_stream_start() and what follows it.
	 * c->request stays valid until the response has ended.
	 */
	void (*request)(void *ctx, struct h1_conn *c);
	/*
	 * The connection closed or failed before the response ended; c is freed
	 * after the handler. A peer that closes only its sending side counts as
	 * disconnected.
	 */
	void (*disconnected)(void *ctx, struct h1_conn *c);
	/*
	 * A request was rejected before it was complete, with this status. With
	 * status 0, a connection over conns_max was closed, one could not be
	 * accepted yet, or a request arrived on a connection that had just been
	 * closed as idle, and was not read. The reason is a static string for a
	 * log.
	 */
	void (*rejected)(void *ctx, uint16_t status, const char *reason);
};

TAILQ_HEAD(h1_conns, h1_conn);

/*
 * A listener and its connections. conns_max and buffered_max_bytes, which are
 * without a limit at first, may be set after h1_server_init().
 */
struct h1_server {
	struct ev_loop *loop;
	int fd; /* the listener; -1 once it is closed */
	ev_io acceptor;
	ev_timer accept_pause; /* the acceptor is stopped meanwhile */
	const struct h1_limits *limits;
	const struct h1_server_handlers *handlers;
	void *ctx;
	struct h1_conns conns;
	uint32_t conns_n;
	uint32_t conns_max; /* connections over this are closed at once */
	/* Received request bytes that are held in memory. */
	uint64_t buffered_bytes;
	/* Over this, a request that is being received is rejected with 503. */
	uint64_t buffered_max_bytes;
	/* Memory of response bytes that the sockets have not accepted yet. */
	uint64_t unsent_bytes;
	bool draining; /* responses that start close their connection */
};

/*
 * Listens at addr. The limits in l are read at each use and may change; l, h
 * and ctx stay with the caller and outlive the server. Returns 0 or a negative
 * error number.
 */
int h1_server_init(struct h1_server *s, struct ev_loop *loop,
		   const struct sockaddr_in *addr, const struct h1_limits *l,
		   const struct h1_server_handlers *h, void *ctx);
/* Closes the listener and all connections without calling a handler. */
void h1_server_finish(struct h1_server *s);
/*
 * Closes the listener once all connections that the kernel holds for it are
 * accepted; connections go on.
 */
void h1_server_stop_listening(struct h1_server *s);
/*
 * Closes the connections on which no request is being received or waits for its
 * response. Input that has arrived on them is served first. A new connection
 * has a moment for its first request.
 */
void h1_server_close_idle(struct h1_server *s);
/*
 * Responds with 503 to the requests that are still being received, and closes
 * their connections. fields is as in h1_respond().
 */
void h1_server_reject_incomplete(struct h1_server *s, const char *fields);

/*
 * Returns the number of response bytes that the socket has not accepted yet,
 * because the peer reads too slowly.
 */
size_t h1_unsent_bytes(const struct h1_conn *c);
/*
 * Sends a complete response with n bytes of content, which are copied. fields
 * is NULL or field lines that each end with CRLF; Content-Length and, if needed,
 * Connection are added. The response to a HEAD request is sent without content and
 * without Content-Length.
 */
void h1_respond(struct h1_conn *c, uint16_t status, const char *fields,
		const void *body, size_t n);
/*
 * Starts a response whose content follows in parts: chunked, or for HTTP/1.0
 * until the connection closes. fields is as in h1_respond().
 */
void h1_stream_start(struct h1_conn *c, uint16_t status, const char *fields);
/* Sends n bytes of the content, which are copied. */
void h1_stream_write(struct h1_conn *c, const void *p, size_t n);
/* Ends the response as complete. */
void h1_stream_end(struct h1_conn *c);
/*
 * Ends the response so that the peer sees it as incomplete: closes the
 * connection without the last chunk, or resets it if the response is not
 * chunked. The disconnected handler is not called.
 */
void h1_stream_abort(struct h1_conn *c);
/* Returns the reason phrase of a status, "Status" if it is not in the table. */
const char *h1_reason_phrase(uint16_t status);

/*
 * How an exchange ended. Only H1_NOT_SENT says that the server did not see the
 * request; bytes count as sent once the kernel has accepted them.
 */
enum h1_outcome {
	H1_COMPLETE,	/* the response is complete */
	H1_INCOMPLETE,	/* the response broke off or failed after its head */
	H1_NO_RESPONSE, /* request bytes were sent; no head was accepted */
	H1_NOT_SENT,	/* no byte of the request was sent */
};

/* The head handler's decision on a response. */
enum h1_verdict {
	H1_ACCEPT,  /* the response belongs to this exchange */
	H1_DISCARD, /* it belongs to an earlier request; wait for the next */
};

struct h1_exchange;

/*
 * The handlers of an exchange. They run from the loop; head and body may call
 * h1_exchange_cancel().
 */
struct h1_exchange_handlers {
	/*
	 * The head of a final response (status 200 and above), valid during
	 * the call.
	 */
	enum h1_verdict (*head)(void *ctx, const struct h1_head *h);
	/* The next n bytes of the content, valid during the call. */
	void (*body)(void *ctx, const void *p, size_t n);
	/*
	 * Called exactly once, unless the exchange is canceled or the client is
	 * finished. The handler may free the exchange or start it again. The
	 * reason is "" after H1_COMPLETE, else the error, valid during the
	 * call.
	 */
	void (*end)(void *ctx, enum h1_outcome outcome, const char *reason);
};

struct h1_client;
struct h1_client_conn;

/*
 * One request and its response. The memory belongs to the caller, and must stay
 * until the exchange ends or is canceled. The zero value is not running.
 */
struct h1_exchange {
	struct h1_client_conn *conn; /* NULL if not running */
	const struct h1_exchange_handlers *handlers;
	void *ctx;
	bool no_body; /* set before the start for a HEAD request */
};

LIST_HEAD(h1_client_conns, h1_client_conn);

/* A persistent connection of a client; private to the client. */
struct h1_client_conn {
	struct h1_client *client;
	LIST_ENTRY(h1_client_conn) entry;
	struct sockaddr_in addr;
	int fd;
	ev_io io;
	bool connected;
	ev_timer timer; /* of the connection attempt */
	struct h1_buf in;
	struct h1_buf out;
	uint64_t sent_bytes; /* of the current request */
	/* Received since the request was sent that is not its response. */
	uint64_t unrelated_bytes;
	struct h1_head head;
	bool have_head;	   /* head is that of the current response */
	bool discarding;   /* the response belongs to an earlier request */
	bool in_handler;   /* a handler runs */
	bool free_pending; /* canceled in a handler; freed after it returns */
	struct h1_body body;
	uint32_t requests;	      /* started on it, this one included */
	struct h1_exchange *exchange; /* NULL if idle */
	double idle_until_s;	      /* loop time; not reused after this */
};

/* A pool of persistent connections, to any number of addresses. */
struct h1_client {
	struct ev_loop *loop;
	struct h1_client_conns conns;
	ev_timer sweep_timer; /* closes idle connections */
	double connect_timeout_s;
	double idle_max_s;
	/* A connection fails when sent data stays unacknowledged this long. */
	uint32_t user_timeout_ms;
	uint32_t conns_n;
	uint64_t connects; /* connection attempts so far */
};

/*
 * Starts a client without connections. A connection attempt fails after
 * connect_timeout_s seconds; an idle connection is kept for at most idle_max_s
 * seconds, less if the server's Keep-Alive field demands it.
 */
void h1_client_init(struct h1_client *client, struct ev_loop *loop,
		    double connect_timeout_s, double idle_max_s);
/*
 * Closes all connections without calling a handler; exchanges stop running. Must
 * not be called from a head or body handler.
 */
void h1_client_finish(struct h1_client *client);
/* Closes the connections that no exchange uses: one that has been idle may be dead
 * without a sign. */
void h1_client_close_idle(struct h1_client *client);
/*
 * Sends a request of n bytes, which are copied, on an idle connection to addr
 * or on a new one. h and ctx stay with the caller until the exchange ends.
 * Returns 0, -ENOBUFS if no connection can be opened, or -ENOMEM; the exchange
 * is not running after an error. Never calls a handler.
 */
int h1_exchange_start(struct h1_client *client, struct h1_exchange *x,
		      const struct sockaddr_in *addr, const void *request,
		      size_t n, const struct h1_exchange_handlers *h,
		      void *ctx);
/*
 * Ends a running exchange without calling a handler, else does nothing. Closes
 * the connection, as the response may still arrive on it.
 */
void h1_exchange_cancel(struct h1_exchange *x);
/*
 * Moves a running exchange to other memory, with other handlers. Must not be called
 * from a handler of the exchange itself; to must not be running.
 */
void h1_exchange_move(struct h1_exchange *to, struct h1_exchange *from,
		      const struct h1_exchange_handlers *h, void *ctx);
/* Returns true if a running exchange has sent a byte of its request. */
bool h1_exchange_sent(const struct h1_exchange *x);

/*
 * Returns true if no request was sent before on the connection of a running
 * exchange: a response on it cannot belong to an earlier one.
 */
bool h1_exchange_is_first(const struct h1_exchange *x);
/* Closes the connection when the exchange, of which the head handler runs, ends. */
void h1_exchange_close_after(struct h1_exchange *x);

/* Parses "IPV4:PORT". Returns 0 or -EINVAL. */
int h1_parse_addr(const char *text, struct sockaddr_in *out);

#endif
