#ifndef FIGBEND_STANDIN_PLATFORM_H
#define FIGBEND_STANDIN_PLATFORM_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "httpd.h"
#include "jread.h"

/*
 * A stand-in platform: an append-only log with offsets, long-poll reads, a limit
 * on appends a second and retention, and a lagging list of hosts. Faults are set
 * on the admin address.
 */

#define NAME_BYTES 64

struct log_record {
	uint64_t offset;
	int64_t at_us;
	char *data;
	size_t n;
};

struct log_stream {
	char name[NAME_BYTES];
	struct log_record *record;
	uint64_t n;	/* records ever appended; the next offset is n + 1 */
	uint64_t first; /* oldest offset kept */
	uint64_t capacity;
	TAILQ_ENTRY(log_stream) entry;
};
TAILQ_HEAD(log_streams, log_stream);

/* A read that waits for records. */
struct log_reader {
	struct platform *platform;
	struct log_stream *stream;
	struct httpd_call *call;
	uint64_t from;
	uint64_t max;
	ev_timer timer;
	TAILQ_ENTRY(log_reader) entry;
};
TAILQ_HEAD(log_readers, log_reader);

struct platform_host {
	char name[NAME_BYTES];
	char domain[NAME_BYTES];
	char addr[NAME_BYTES];
	char state[16];
	int64_t announced_us;
};

#define HOSTS_MAX 1024

struct platform {
	struct ev_loop *loop;
	struct httpd httpd;
	struct httpd admin;
	struct log_streams streams;
	struct log_readers readers;
	struct platform_host host[HOSTS_MAX];
	uint32_t host_n;
	struct json_object *list; /* as shown, with a lag */
	int64_t list_at_us;
	uint32_t list_lag_ms;
	uint32_t host_ttl_ms; /* without an announcement, then not listed */
	uint32_t appends_a_s;
	uint32_t retention_ms; /* 0: for ever */
	uint32_t slow_ms;
	uint32_t lose_answers; /* appends whose answer will be lost */
	bool down;	       /* answers nothing, cuts every call */
	int64_t second;
	uint32_t appends;
	uint64_t total_appends;
	uint64_t total_reads;
};

int64_t now_us(void);
void reply(struct httpd_call *c, unsigned int status, struct json_object *o);
void log_handle(struct platform *p, struct httpd_call *c, const char *stream);
void log_cut_readers(struct platform *p);
void hosts_handle(struct platform *p, struct httpd_call *c, const char *name);

#endif
