#ifndef FIGBEND_PLATFORM_H
#define FIGBEND_PLATFORM_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fetch.h"

/*
 * The platform's append-only log and its host list, over HTTP:
 *   POST /log/STREAM          a record; answers {"offset":N}, from 1
 *   GET  /log/STREAM?from=N&wait_ms=W&max=K
 *        {"first":F,"next":N,"records":[{"offset":N,"data":"..."}]}
 *   PUT  /hosts/NAME          {"domain":..,"addr":..,"state":"live|leaving"}
 *   GET  /hosts               {"hosts":[{"name":..,"domain":..,...}]}
 */

#define PLATFORM_STREAM_BYTES 64
#define PLATFORM_URL_BYTES 320

struct platform_counters {
	uint64_t calls;
	uint64_t sent_bytes;
	uint64_t received_bytes;
};

struct platform {
	struct fetch *fetch;
	struct platform_counters counters;
	char url[PLATFORM_URL_BYTES];
	uint32_t connect_ms;
	uint32_t answer_ms;
};

struct platform_record {
	uint64_t offset;
	const char *data;
	size_t data_n;
};

/* A follower of one stream: reads on from an offset for as long as it runs. */
typedef void (*platform_take)(void *ctx, const struct platform_record *r);
/* Tells of every answer: error 0 and the next offset, or why there is none. */
typedef void (*platform_state)(void *ctx, int error, uint64_t first,
			       uint64_t next);

struct platform_follow {
	struct platform *platform;
	char stream[PLATFORM_STREAM_BYTES];
	uint64_t next;
	uint64_t first; /* oldest offset in the log, by the last answer */
	uint32_t wait_ms;
	bool at_once;  /* the next read does not wait for records */
	bool outdated; /* the answer being taken is older than asked for */
	struct fetch_call call;
	ev_timer retry;
	platform_take take;
	platform_state state;
	void *ctx;
	bool running;
	bool *stopped; /* set while an answer is handed over */
};

/* error -EIO means that the record may or may not have been appended. */
typedef void (*platform_appended)(void *ctx, int error, uint64_t offset);

struct platform_append {
	struct platform *platform;
	struct fetch_call call;
	platform_appended done;
	void *ctx;
};

struct platform_host {
	char name[64];
	char domain[64];
	char addr[64];
	bool leaving;
};

typedef void (*platform_hosts)(void *ctx, int error,
			       const struct platform_host *hosts, uint32_t n);

struct platform_list {
	struct platform *platform;
	struct fetch_call call;
	platform_hosts done;
	void *ctx;
};

void platform_init(struct platform *p, struct fetch *f, const char *url,
		   uint32_t connect_ms, uint32_t answer_ms);
int platform_follow_start(struct platform *p, struct platform_follow *f,
			  const char *stream, uint64_t from, uint32_t wait_ms,
			  platform_take take, platform_state state, void *ctx);
void platform_follow_skip(struct platform_follow *f, uint64_t next);
void platform_follow_again(struct platform_follow *f);
void platform_follow_stop(struct platform_follow *f);
int platform_append_start(struct platform *p, struct platform_append *a,
			  const char *stream, const char *data, size_t n,
			  platform_appended done, void *ctx);
int platform_announce(struct platform *p, struct platform_append *a,
		      const struct platform_host *h, platform_appended done,
		      void *ctx);
int platform_list_start(struct platform *p, struct platform_list *l,
			platform_hosts done, void *ctx);

#endif
