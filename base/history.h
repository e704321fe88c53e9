/*
 * Append-only files of JSON lines for histories and trace spans. The owner flushes them once a
 * second. irisstall-check reads histories.
 */
#pragma once

#include <stdbool.h>
#include <stdio.h>

#include "base/error.h"
#include "base/str.h"

typedef struct {
    FILE *file; /* NULL: disabled */
} history_t;

/* An empty path disables recording. */
bool history_open(history_t *history, const char *path, err_t *err);
void history_close(history_t *history);
void history_flush(const history_t *history);
/* Writes {"t":<wall us>,"ev":"<event>",<fields>}; `fmt` formats the fields as JSON members. */
void history_write(const history_t *history, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));
