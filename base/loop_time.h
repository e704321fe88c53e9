/*
 * Loop time: monotonic milliseconds that include the time the machine was suspended.
 *
 * libuv's cached time and its timers use CLOCK_MONOTONIC, which stops during suspension: after a
 * resume, peers, idle connections and deadlines would look more recent than they are. The amount by
 * which CLOCK_BOOTTIME has advanced beyond CLOCK_MONOTONIC is added once per loop iteration, so
 * that a suspension looks like a process that was stopped for as long.
 *
 * The state is global: one loop per process.
 */
#pragma once

#include <stdint.h>

#include <uv.h>

/* Returns the loop time. */
uint64_t loop_now(const uv_loop_t *loop);

/* The loop did not run for `stalled_ms`: the process was stopped or the machine suspended. */
typedef void (*loop_resumed_cb_t)(void *ctx, uint64_t stalled_ms);

typedef struct {
    uv_check_t check;
    uint64_t last_iteration_ms; /* loop time of the last iteration */
    uint64_t stall_threshold_ms;
    loop_resumed_cb_t on_resumed;
    void *ctx;
} loop_watch_t;

/* After a suspension, fires the timers that are due by loop time. Reports loop iterations that took
 * `stall_threshold_ms` or more; a timer must keep the loop iterating more often than that. */
void loop_watch_init(loop_watch_t *watch, uv_loop_t *loop, uint64_t stall_threshold_ms,
                     loop_resumed_cb_t on_resumed, void *ctx);

/* For tests: simulates a suspension of the machine. */
void loop_time_suspend(uint64_t ms);
