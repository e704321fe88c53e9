#include "base/loop_time.h"

#include <stdbool.h>

#include "base/clock.h"

enum {
    NS_PER_MS = 1000000,
    /* The clocks are not read atomically: a smaller change of the offset is no suspension. A
     * reading that took longer than this is retried in the next iteration. */
    CLOCK_TOLERANCE_MS = 5,
};

static struct {
    uint64_t last_now_ms;         /* uv_now() at the last update_offset() */
    bool offset_known;            /* `offset_ms` is valid */
    uint64_t offset_ms;           /* CLOCK_BOOTTIME minus CLOCK_MONOTONIC */
    uint64_t timers_suspended_ms; /* part of total_suspended_ms applied to the timers */
    uint64_t total_suspended_ms;  /* sum of all suspensions */
} state;

static uint64_t
monotonic_ms(void)
{
    return uv_hrtime() / NS_PER_MS;
}

static void
update_offset(void)
{
    const uint64_t before = monotonic_ms();
    const uint64_t offset = clock_steady_ms(clock_system()) - before;
    if (monotonic_ms() - before > CLOCK_TOLERANCE_MS)
        return;
    if (state.offset_known && offset < state.offset_ms + CLOCK_TOLERANCE_MS)
        return;
    if (state.offset_known)
        state.total_suspended_ms += offset - state.offset_ms;
    state.offset_known = true;
    state.offset_ms = offset;
}

uint64_t
loop_now(const uv_loop_t *loop)
{
    const uint64_t now = uv_now(loop);
    if (now != state.last_now_ms || !state.offset_known) {
        state.last_now_ms = now;
        update_offset();
    }
    return now + state.total_suspended_ms;
}

/* Makes a timer due earlier; its callback and repeat interval stay. */
static void
advance_timer(uv_handle_t *handle, void *ctx)
{
    const uint64_t by_ms = *(const uint64_t *)ctx;
    if (handle->type != UV_TIMER || !uv_is_active(handle) || uv_is_closing(handle))
        return;
    uv_timer_t *timer = (uv_timer_t *)handle;
    const uint64_t repeat = uv_timer_get_repeat(timer);
    const uint64_t due_in = uv_timer_get_due_in(timer);
    uv_timer_set_repeat(timer, due_in > by_ms ? due_in - by_ms : 1);
    uv_timer_again(timer);
    uv_timer_set_repeat(timer, repeat);
}

static void
on_iteration(uv_check_t *check)
{
    loop_watch_t *watch = check->data;
    const uint64_t now_ms = loop_now(check->loop);
    const uint64_t iteration_ms = now_ms - watch->last_iteration_ms;
    uint64_t suspended_ms = state.total_suspended_ms - state.timers_suspended_ms;
    watch->last_iteration_ms = now_ms;
    state.timers_suspended_ms = state.total_suspended_ms;
    if (suspended_ms > 0)
        uv_walk(check->loop, advance_timer, &suspended_ms);
    if (iteration_ms >= watch->stall_threshold_ms)
        watch->on_resumed(watch->ctx, iteration_ms);
}

void
loop_watch_init(loop_watch_t *watch, uv_loop_t *loop, uint64_t stall_threshold_ms,
                loop_resumed_cb_t on_resumed, void *ctx)
{
    *watch = (loop_watch_t){
        .last_iteration_ms = loop_now(loop),
        .stall_threshold_ms = stall_threshold_ms,
        .on_resumed = on_resumed,
        .ctx = ctx,
    };
    uv_check_init(loop, &watch->check);
    watch->check.data = watch;
    uv_check_start(&watch->check, on_iteration);
    uv_unref((uv_handle_t *)&watch->check);
}

void
loop_time_suspend(uint64_t ms)
{
    state.total_suspended_ms += ms;
}
