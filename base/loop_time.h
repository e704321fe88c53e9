/*
 * Loop time: the time by which the gateway decides, in milliseconds on a clock that never goes
 * back.
 *
 * It is the loop's cached time plus the time for which the machine was suspended. libuv reads
 * CLOCK_MONOTONIC, which stands still meanwhile, as do its timers: by it an instance that was away
 * for ten seconds would take peers for living, kept connections for fresh and deadlines for far.
 * CLOCK_BOOTTIME counts suspension; what it gains on the other clock is added, once in each turn of
 * the loop. So a suspension looks like a process that was stopped for as long.
 *
 * One loop a process: the state is the process's. Relies on libuv.
 */
#pragma once

#include <stdint.h>

#include <uv.h>

/* The loop's time with suspensions. */
uint64_t loop_now(const uv_loop_t *loop);

/* The loop has stood still for `stalled_ms`: the process was stopped, or the machine suspended. */
typedef void (*loop_resumed_cb_t)(void *ctx, uint64_t stalled_ms);

typedef struct {
    uv_check_t check;
    uint64_t last_iteration_ms; /* loop time of the last turn */
    uint64_t stall_threshold_ms;
    loop_resumed_cb_t on_resumed;
    void *ctx;
} loop_watch_t;

/* Has timers that are due by loop time run after a suspension, and reports turns of the loop that
 * took `stall_threshold_ms` or more. The loop must be kept turning more often. */
void loop_watch_init(loop_watch_t *watch, uv_loop_t *loop, uint64_t stall_threshold_ms,
                     loop_resumed_cb_t on_resumed, void *ctx);

/* For tests: the machine was suspended for so long. */
void loop_time_suspend(uint64_t ms);
