#include <signal.h>
#include <stdlib.h>

#include "base/signals.h"
#include "standin/process.h"

static void
on_tick(uv_timer_t *timer)
{
    const standin_process_t *process = timer->data;
    if (process->on_tick != NULL)
        process->on_tick();
    history_flush(process->history);
}

static void
on_term(uv_signal_t *handle, int signum)
{
    (void)signum;
    const standin_process_t *process = handle->data;
    history_close(process->history);
    exit(EXIT_SUCCESS);
}

void
standin_run(standin_process_t *process)
{
    uv_timer_t tick;
    uv_signal_t term;
    uv_timer_init(process->loop, &tick);
    tick.data = process;
    uv_timer_start(&tick, on_tick, process->tick_ms, process->tick_ms);
    signal_watch(process->loop, &term, SIGTERM, on_term, process);
    uv_run(process->loop, UV_RUN_DEFAULT);
}
