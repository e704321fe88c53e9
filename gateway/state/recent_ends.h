/*
 * Recent ends: the backend servers that ended last, under whatever request, and whether a trial was
 * running on them. Tells the loss of several backend servers from a trial that fails.
 *
 * Holds the last RECENT_ENDS_MAX; times are passed in. No dependencies.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A loss of more backend servers shows in any of its parts. */
enum { RECENT_ENDS_MAX = 64 };

typedef struct {
    uint64_t incarnation;
    uint64_t at_ms;
    bool under_trial; /* of any request */
} recent_end_t;

typedef struct {
    recent_end_t items[RECENT_ENDS_MAX];
    size_t count;
    size_t next; /* replaced next once it is full */
} recent_ends_t;

/* Records that a backend server ended; false if that was known. An incarnation is kept once, with
 * its first time. */
bool recent_ends_add(recent_ends_t *recent, uint64_t incarnation, uint64_t at_ms, bool under_trial);
/* Counts the backend servers other than `incarnation` that ended up to `span_ms` before or after
 * `at_ms`, and on which no trial was running. */
unsigned recent_ends_count_others(const recent_ends_t *recent, uint64_t incarnation, uint64_t at_ms,
                                  uint64_t span_ms);
