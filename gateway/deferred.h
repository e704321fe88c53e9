/*
 * Deferred work: a callback that runs once the loop has read its sockets again.
 *
 * Guards against one long turn of the loop: decoding a configuration of 4,222 routes takes 20 ms of
 * a core, and reading the answer that brought it 26 ms more (scratch program), ten times as long on
 * an instance that has a tenth of a core. Between the two, callers that have left are noticed and
 * requests are taken.
 *
 * Owns two libuv handles, which live as long as the loop.
 */
#pragma once

#include <stdbool.h>

#include <uv.h>

typedef struct {
    uv_check_t check;
    uv_idle_t idle;      /* keeps the loop from waiting */
    unsigned poll_count; /* of the sockets, since it was asked for */
    bool is_pending;
    void (*cb)(void *ctx);
    void *ctx;
} deferred_t;

/* In place. */
void deferred_init(deferred_t *deferred, uv_loop_t *loop, void (*cb)(void *ctx), void *ctx);
/* Runs the callback once, however often it is asked for before that. */
void deferred_schedule(deferred_t *deferred);
