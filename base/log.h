/*
 * Structured logging through log4c: one line a record, key=value.
 *
 * Each .c file defines LOG_MODULE before including this header. Messages say what failed and
 * with which value, e.g. LOG_ERR("bind failed: addr=%s err=%s", ...).
 * Owns the process's one log: a file (the entry) or standard output through log_ring.h (the
 * gateway, which must never block). Relies on log4c.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"

typedef enum { LOG_LEVEL_ERR, LOG_LEVEL_WARN, LOG_LEVEL_INFO, LOG_LEVEL_DBG } log_level_t;

/* `path` NULL or empty logs to standard error. */
bool log_open(const char *path, log_level_t level, err_t *err);
/* Logs structured lines to standard output through a bounded ring that never blocks: key=value
 * pairs, the text before the first ": " as the event. docs/OPERATIONS.md lists the events. */
bool log_open_stdout(log_level_t level, err_t *err);
/* Writes waiting lines; the caller's loop does so regularly. */
void log_flush(void);
/* Lines dropped because they were too many or nobody read them. */
uint64_t log_dropped(void);
/* Opens the file anew, for log rotation. */
void log_reopen(void);
void log_close(void);
bool log_level_parse(const char *text, log_level_t *out);

void log_write(log_level_t level, const char *module, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

#define LOG_ERR(...) log_write(LOG_LEVEL_ERR, LOG_MODULE, __VA_ARGS__)
#define LOG_WARN(...) log_write(LOG_LEVEL_WARN, LOG_MODULE, __VA_ARGS__)
#define LOG_INFO(...) log_write(LOG_LEVEL_INFO, LOG_MODULE, __VA_ARGS__)
#define LOG_DBG(...) log_write(LOG_LEVEL_DBG, LOG_MODULE, __VA_ARGS__)
