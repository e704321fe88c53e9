/*
 * Deferred work: a callback that runs after the loop has polled its sockets again.
 *
 * Splits long work over several loop iterations: decoding a configuration of 4,222 routes takes
 * 20 ms of CPU time on top of 26 ms for reading the response that carried it, and ten times as
 * long on a tenth of a core. In between, the loop notices disconnected callers and accepts
 * requests. While the loop works off a backlog, one iteration takes seconds; callers of
 * deferred_run_overdue() bound the delay then.
 *
 * Owns two libuv handles, which live as long as the loop.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

/* Delay after which deferred work is overdue. */
enum { DEFERRED_MAX_MS = 100 };

typedef struct {
    uv_check_t check;
    uv_idle_t idle;      /* keeps the loop from blocking in poll */
    unsigned poll_count; /* socket polls since the callback was scheduled */
    bool is_pending;
    uint64_t scheduled_ns; /* uv_hrtime(), which advances within an iteration */
    void (*cb)(void *ctx);
    void *ctx;
} deferred_t;

/* Initialises in place; the struct must not be moved afterwards. */
void deferred_init(deferred_t *deferred, uv_loop_t *loop, void (*cb)(void *ctx), void *ctx);
/* Schedules the callback; repeated calls before it runs have no effect. */
void deferred_schedule(deferred_t *deferred);
/* Runs the callback now if it has been pending for DEFERRED_MAX_MS. */
void deferred_run_overdue(deferred_t *deferred);
