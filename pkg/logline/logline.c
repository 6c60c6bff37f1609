#include "logline.h"

#include <limits.h>
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024
/* Holds the lines of some hundred requests while the log reader is slow. */
#define BUFFER_BYTES 65536
#define RATE_SLOTS 64
#define EVENT_LINES_PER_S 200

struct rate_slot {
	char name[32];
	int64_t second; /* monotonic clock, seconds */
	uint32_t lines; /* logged or dropped within that second */
};

static const char *program_name = "figbend";
static int priority_max = LOG_INFO;
static struct rate_slot rate_slots[RATE_SLOTS];
static uint64_t dropped_lines;
static int buffer_fd = -1;
static char buffer[BUFFER_BYTES];
static size_t buffered_bytes;

void logline_init(const char *program, int max_priority)
{
	program_name = program;
	priority_max = max_priority;
}

/*
 * Returns the slot that the event hashes to (FNV-1a). Events in one slot share
 * its rate, so that memory is bounded for any number of event names.
 */
static struct rate_slot *find_slot(const char *event)
{
	uint32_t h = 2166136261u;
	const char *p;

	for (p = event; *p; p++)
		h = (h ^ (uint8_t)*p) * 16777619u;
	return &rate_slots[h % RATE_SLOTS];
}

/* Counts a line. Returns true if the event is over its rate this second. */
static bool over_rate(const char *event)
{
	struct rate_slot *r = find_slot(event);
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	if (r->second != ts.tv_sec) {
		r->second = ts.tv_sec;
		r->lines = 0;
	}
	return ++r->lines > EVENT_LINES_PER_S;
}

/* Replaces control characters, so that values cannot start a new line. */
static void replace_controls(char *s)
{
	for (; *s; s++)
		if ((unsigned char)*s < ' ')
			*s = '?';
}

void logline_buffer_to(int fd)
{
	buffer_fd = fd;
}

/* A pipe that polls as writable accepts PIPE_BUF bytes without blocking. */
void logline_flush(void)
{
	struct pollfd p = {.fd = buffer_fd, .events = POLLOUT};
	size_t written = 0, n;
	ssize_t r;

	if (buffer_fd < 0)
		return;
	while (written < buffered_bytes) {
		if (poll(&p, 1, 0) <= 0 || !(p.revents & POLLOUT))
			break;
		n = buffered_bytes - written < PIPE_BUF
			    ? buffered_bytes - written
			    : PIPE_BUF;
		r = write(buffer_fd, buffer + written, n);
		if (r <= 0)
			break;
		written += (size_t)r;
	}
	memmove(buffer, buffer + written, buffered_bytes - written);
	buffered_bytes -= written;
}

static void write_or_buffer(const char *line)
{
	size_t n = strlen(line);

	if (buffer_fd < 0) {
		fprintf(stderr, "%s\n", line);
		return;
	}
	if (buffered_bytes + n + 2 > sizeof(buffer)) {
		dropped_lines++;
		return;
	}
	snprintf(buffer + buffered_bytes, sizeof(buffer) - buffered_bytes,
		 "%s\n", line);
	buffered_bytes += n + 1;
}

void logline(int priority, const char *event, const char *format, ...)
{
	char line[LINE_MAX_BYTES];
	va_list ap;
	int n;

	if (priority > priority_max)
		return;
	if (over_rate(event)) {
		dropped_lines++;
		return;
	}
	n = snprintf(line, sizeof(line), "<%d>%s[%d]: event=%s ", priority,
		     program_name, (int)getpid(), event);
	va_start(ap, format);
	vsnprintf(line + n, sizeof(line) - n, format, ap);
	va_end(ap);
	replace_controls(line);
	write_or_buffer(line);
}

uint64_t logline_dropped(void)
{
	return dropped_lines;
}
