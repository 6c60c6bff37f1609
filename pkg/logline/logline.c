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
/* Lines of some hundred requests, kept while their reader is slow. */
#define BUFFER_BYTES 65536
#define EVENT_SLOTS 64
#define EVENT_LINES_PER_S 200

struct event_rate {
	char name[32];
	int64_t second;
	uint32_t lines;
};

static const char *program_name = "figbend";
static int priority_max = LOG_INFO;
static struct event_rate rates[EVENT_SLOTS];
static uint64_t suppressed;
static int buffer_fd = -1;
static char buffer[BUFFER_BYTES];
static size_t buffered;

/*
 * Sets the name that opens each line and the least urgent priority that is
 * still written. The name is kept by reference and must outlive the process.
 */
void logline_init(const char *program, int max_priority)
{
	program_name = program;
	priority_max = max_priority;
}

/*
 * Returns the rate slot of the event. Events that share a slot share a rate,
 * which bounds the memory whatever names are passed.
 */
static struct event_rate *rate_slot(const char *event)
{
	uint32_t h = 2166136261u;
	const char *p;

	for (p = event; *p; p++)
		h = (h ^ (uint8_t)*p) * 16777619u;
	return &rates[h % EVENT_SLOTS];
}

/* Tells whether the event has used up its lines for this second. */
static bool over_rate(const char *event)
{
	struct event_rate *r = rate_slot(event);
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	if (r->second != ts.tv_sec) {
		r->second = ts.tv_sec;
		r->lines = 0;
	}
	return ++r->lines > EVENT_LINES_PER_S;
}

/* Replaces control bytes, so that one event stays on one line. */
static void keep_one_line(char *s)
{
	for (; *s; s++)
		if ((unsigned char)*s < ' ')
			*s = '?';
}

/* See logline.h. */
void logline_buffer_to(int fd)
{
	buffer_fd = fd;
}

/*
 * Writes kept lines as long as their reader takes them: a pipe that can be
 * written to takes PIPE_BUF bytes without blocking.
 */
void logline_flush(void)
{
	struct pollfd p = {.fd = buffer_fd, .events = POLLOUT};
	size_t done = 0, n;
	ssize_t r;

	if (buffer_fd < 0)
		return;
	while (done < buffered) {
		if (poll(&p, 1, 0) <= 0 || !(p.revents & POLLOUT))
			break;
		n = buffered - done < PIPE_BUF ? buffered - done : PIPE_BUF;
		r = write(buffer_fd, buffer + done, n);
		if (r <= 0)
			break;
		done += (size_t)r;
	}
	memmove(buffer, buffer + done, buffered - done);
	buffered -= done;
}

/* Writes a line, or keeps it. */
static void put(const char *line)
{
	size_t n = strlen(line);

	if (buffer_fd < 0) {
		fprintf(stderr, "%s\n", line);
		return;
	}
	if (buffered + n + 2 > sizeof(buffer)) {
		suppressed++;
		return;
	}
	snprintf(buffer + buffered, sizeof(buffer) - buffered, "%s\n", line);
	buffered += n + 1;
}

/*
 * Writes one event. The format gives the pairs, as "account=%s tokens=%u".
 * Lines of an event beyond its rate are dropped and counted.
 */
void logline(int priority, const char *event, const char *format, ...)
{
	char line[LINE_MAX_BYTES];
	va_list ap;
	int n;

	if (priority > priority_max)
		return;
	if (over_rate(event)) {
		suppressed++;
		return;
	}
	n = snprintf(line, sizeof(line), "<%d>%s[%d]: event=%s ", priority,
		     program_name, (int)getpid(), event);
	va_start(ap, format);
	vsnprintf(line + n, sizeof(line) - n, format, ap);
	va_end(ap);
	keep_one_line(line);
	put(line);
}

/* Returns how many lines were dropped because their event was over its rate. */
uint64_t logline_dropped(void)
{
	return suppressed;
}
