/*
 * Non-blocking ring buffer for log lines.
 *
 * Lines are buffered until the descriptor is writable; each module is limited by a token bucket.
 * Lines that do not fit are dropped and counted, and a later line reports their number per module.
 * The descriptor belongs to the caller.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct log_ring log_ring_t;

typedef struct {
    int fd; /* set to non-blocking */
    size_t size;
    double lines_per_s; /* per module */
    double burst;
} log_ring_conf_t;

log_ring_t *log_ring_new(const log_ring_conf_t *conf);
void log_ring_free(log_ring_t *ring);
/* Adds a line without its newline; returns false if it was dropped. */
bool log_ring_add(log_ring_t *ring, const char *module, const char *line, uint64_t now_ms);
/* Writes as much as possible without blocking. */
void log_ring_flush(log_ring_t *ring);
/* Returns the total number of dropped lines. */
uint64_t log_ring_dropped(const log_ring_t *ring);
