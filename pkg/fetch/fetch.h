#ifndef FIGBEND_FETCH_H
#define FIGBEND_FETCH_H

#include <curl/curl.h>
#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * HTTP calls to other programs on the loop: libcurl's multi interface. The
 * caller owns the memory of a call and gets exactly one done, unless it cancels.
 */

struct fetch_transfer;
TAILQ_HEAD(fetch_ready, fetch_transfer);

struct fetch {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
	struct fetch_ready ready; /* transfers with bytes to hand over */
	uint32_t open;
};

/* A call: NULL when it is not open. */
struct fetch_call {
	struct fetch_transfer *transfer;
};

struct fetch_result {
	/* 0, or negative: -ECONNREFUSED, -ETIMEDOUT, -ECONNRESET, -EMSGSIZE, or
	 * -EBADMSG for a status that HTTP does not have */
	int error;
	bool sent; /* false only if surely no byte reached the other side */
	uint32_t status;  /* HTTP status, 0 if there was none */
	const char *body; /* ends with a zero byte */
	size_t body_n;
	uint64_t sent_bytes; /* headers included */
	uint64_t received_bytes;
};

typedef void (*fetch_bytes)(void *ctx, const char *bytes, size_t n);
typedef void (*fetch_done)(void *ctx, const struct fetch_result *r);

struct fetch_request {
	const char *method;
	const char *url;
	const char *body; /* copied */
	size_t body_n;
	const char *const *headers; /* "Name: value", ended by NULL */
	uint32_t connect_ms;
	uint32_t total_ms;   /* 0: no limit */
	uint32_t silence_ms; /* without a byte received; 0: no limit */
	uint32_t max_body_bytes;
	bool fresh;	      /* use a new connection */
	fetch_bytes on_bytes; /* streams the body of a 200 answer, or NULL */
	fetch_done on_done;
	void *ctx;
};

int fetch_init(struct fetch *f, struct ev_loop *loop, uint32_t connections);
void fetch_finish(struct fetch *f);
int fetch_start(struct fetch *f, struct fetch_call *c,
		const struct fetch_request *q);
/* Ends the call without a done; a call that is not open is left alone. */
void fetch_cancel(struct fetch_call *c);

#endif
