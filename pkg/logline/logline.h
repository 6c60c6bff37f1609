#ifndef FIGBEND_LOGLINE_H
#define FIGBEND_LOGLINE_H

#include <stddef.h>
#include <stdint.h>
#include <syslog.h>

/*
 * Log lines: <priority>program[pid]: event=NAME key=value. They go to standard
 * error, or, of a service, to standard output through a buffer: writing never
 * blocks, and lines that do not fit are dropped and counted.
 */

void logline_init(const char *program, int max_priority);
void logline(int priority, const char *event, const char *format, ...)
	__attribute__((format(printf, 3, 4)));
/* From now on lines are kept until logline_flush() and go to fd. */
void logline_buffer_to(int fd);
void logline_flush(void);
uint64_t logline_dropped(void);

#endif
