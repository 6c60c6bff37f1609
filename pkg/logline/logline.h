#ifndef FIGBEND_LOGLINE_H
#define FIGBEND_LOGLINE_H

#include <stddef.h>
#include <stdint.h>
#include <syslog.h>

/*
 * Structured logging, one line an event:
 *
 *	<PRIORITY>PROGRAM[PID]: event=NAME KEY=VALUE ...
 *
 * Lines go to standard error or, after logline_buffer_to(), to a buffer, so
 * that a log call never blocks the event loop. Each event may log 200 lines a
 * second; events whose names hash alike share this rate. Lines beyond it, and
 * lines that find the buffer full, are dropped and counted. The state is global
 * to the process.
 */

/*
 * Sets the program name of each line and the least urgent syslog priority that
 * is logged; -1 logs nothing. The name is not copied and must stay valid.
 */
void logline_init(const char *program, int max_priority);
/*
 * Logs one event. The format gives its pairs, as "account=%s tokens=%u". Lines
 * are cut at 1023 bytes, and control characters become "?".
 */
void logline(int priority, const char *event, const char *format, ...)
	__attribute__((format(printf, 3, 4)));
/*
 * From now on keeps lines in a buffer of 64 KiB, which logline_flush() writes to
 * fd. The caller keeps fd open.
 */
void logline_buffer_to(int fd);
/*
 * Writes buffered lines to fd while that does not block, and keeps the rest.
 * Does nothing without logline_buffer_to().
 */
void logline_flush(void);
/* Returns the number of lines dropped since the process started. */
uint64_t logline_dropped(void);

#endif
