/*
 * The process of a stand-in with a history: its loop, its regular work, its end.
 *
 * Owns nothing. Relies on base/signals.h and base/history.h.
 */
#pragma once

#include <uv.h>

#include "base/history.h"

typedef struct {
    uv_loop_t *loop;
    history_t *history;
    uint64_t tick_ms;
    void (*on_tick)(void); /* each `tick_ms`, before the history is flushed; optional */
} standin_process_t;

/* Runs the loop; on SIGTERM closes the history and ends the process. */
void standin_run(standin_process_t *process);
