/*
 * Shutdown: when an instance that was asked to stop refuses connections, and when it ends.
 *
 * Decides: the phases of a planned stop.
 * Inputs: time since the request to stop and until the process would be killed, in milliseconds;
 * requests and caller connections that are left.
 * Rule: it is out of the directory and not ready at once. It accepts connections for 2 s more,
 * since callers keep the directory's answer. From then on it closes connections that have rested
 * for 1 s, so that new ones have time for their first request; all others have ended with their
 * answer or rested for longer. After 2.9 s it closes all that rest: what is sent later might not
 * end in time. It ends once nothing is left and 2.4 s have passed, and in any case 0.6 s before it
 * would be killed.
 *
 * Pure: no state, no clock.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    uint64_t age_ms;    /* since the request to stop */
    uint64_t grace_ms;  /* from the request to stop until the process is killed */
    size_t requests;    /* under way */
    size_t connections; /* of callers */
    bool accepting;     /* connections may still be waiting to be accepted */
} shutdown_input_t;

/* True once no new connections are accepted and idle ones are closed. */
bool shutdown_refuses_connections(uint64_t age_ms);
/* How long connections may rest from then on, in milliseconds. */
uint64_t shutdown_idle_max_ms(uint64_t age_ms);
/* True once the process should end. */
bool shutdown_is_due(const shutdown_input_t *input);
