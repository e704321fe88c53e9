/*
 * Structured logging through log4c: one line of key=value pairs per record.
 *
 * Each .c file defines LOG_MODULE before including this header. A message is an event followed by
 * its values, e.g. LOG_ERR("bind failed: addr=%s err=%s", ...). The process has a single log:
 * irisstall-entry logs to a file, irisstall-gateway to standard output through log_ring.h, which
 * never blocks. A line has a bounded length, and its control characters are replaced, so that text
 * from outside can neither add lines nor hide the values after it.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"

typedef enum { LOG_LEVEL_ERR, LOG_LEVEL_WARN, LOG_LEVEL_INFO, LOG_LEVEL_DBG } log_level_t;

/* Logs to a file, or to standard error if `path` is NULL or empty. */
bool log_open(const char *path, log_level_t level, err_t *err);
/* Logs to standard output through a bounded ring that never blocks. The text before the first ": "
 * becomes the event; docs/OPERATIONS.md lists the events. */
bool log_open_stdout(log_level_t level, err_t *err);
/* Writes buffered lines; call it regularly. */
void log_flush(void);
/* Returns the number of lines dropped by the rate limit or because the ring was full. */
uint64_t log_dropped(void);
/* Reopens the file after log rotation. */
void log_reopen(void);
void log_close(void);
bool log_level_parse(const char *text, log_level_t *out);

/* Bytes of a value from outside; longer ones are cut. */
enum { LOG_VALUE_MAX = 256 };
/* Arguments of a "%.*s" conversion for such a value. */
#define LOG_STR(s) (int)((s).len < LOG_VALUE_MAX ? (s).len : LOG_VALUE_MAX), (s).ptr

void log_write(log_level_t level, const char *module, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#define LOG_ERR(...) log_write(LOG_LEVEL_ERR, LOG_MODULE, __VA_ARGS__)
#define LOG_WARN(...) log_write(LOG_LEVEL_WARN, LOG_MODULE, __VA_ARGS__)
#define LOG_INFO(...) log_write(LOG_LEVEL_INFO, LOG_MODULE, __VA_ARGS__)
#define LOG_DBG(...) log_write(LOG_LEVEL_DBG, LOG_MODULE, __VA_ARGS__)
