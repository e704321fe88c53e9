/*
 * A bounded, non-blocking sink for log lines.
 *
 * Lines wait in a ring of fixed size until the descriptor takes them; each module has a token
 * bucket. A reader that stops costs no time: lines that do not fit are counted, and a line tells
 * how many of which module were dropped once there is room again.
 * Owns the waiting lines, not the descriptor. Relies on bucket.h.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct log_ring log_ring_t;

typedef struct {
    int fd; /* made non-blocking */
    size_t size;
    double lines_per_s; /* of each module */
    double burst;
} log_ring_conf_t;

log_ring_t *log_ring_new(const log_ring_conf_t *conf);
void log_ring_free(log_ring_t *ring);
/* Adds a line (without its end) of a module; false if it was dropped. */
bool log_ring_add(log_ring_t *ring, const char *module, const char *line, uint64_t now_ms);
/* Writes what the descriptor takes; never waits. */
void log_ring_flush(log_ring_t *ring);
/* Lines dropped so far. */
uint64_t log_ring_dropped(const log_ring_t *ring);
