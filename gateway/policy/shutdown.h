/*
 * Graceful shutdown: when a stopping instance refuses connections, and when it exits.
 *
 * The instance leaves the directory and is not ready at once. It accepts connections for 2 s more,
 * since callers cache the directory. After that it closes connections that are idle for 1 s, which
 * leaves new ones time for their first request, and after 2.9 s all idle ones. It exits once
 * nothing is left and 2.4 s have passed, and in any case 0.6 s before the process would be killed.
 *
 * Stateless.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    uint64_t age_ms;    /* since the stop request */
    uint64_t grace_ms;  /* from the stop request until the process is killed */
    size_t requests;    /* in progress */
    size_t connections; /* caller connections */
    bool accepting;     /* connections may still be waiting to be accepted */
} shutdown_input_t;

/* True once new connections are refused and idle ones are closed. */
bool shutdown_refuses_connections(uint64_t age_ms);
/* Returns the time in milliseconds for which connections may be idle from then on. */
uint64_t shutdown_idle_max_ms(uint64_t age_ms);
/* True once the process should exit. */
bool shutdown_is_due(const shutdown_input_t *input);
