#include "gateway/deferred.h"

enum {
    /* The first poll may belong to the iteration in which the work was scheduled. */
    POLLS_NEEDED = 2,
    NS_PER_MS = 1000000,
};

static void
on_idle(uv_idle_t *idle)
{
    (void)idle;
}

static void
run(deferred_t *deferred)
{
    uv_check_stop(&deferred->check);
    uv_idle_stop(&deferred->idle);
    deferred->is_pending = false;
    deferred->cb(deferred->ctx);
}

static void
on_check(uv_check_t *check)
{
    deferred_t *deferred = check->data;
    deferred->poll_count++;
    if (deferred->poll_count >= POLLS_NEEDED)
        run(deferred);
}

void
deferred_init(deferred_t *deferred, uv_loop_t *loop, void (*cb)(void *ctx), void *ctx)
{
    *deferred = (deferred_t){.cb = cb, .ctx = ctx};
    uv_check_init(loop, &deferred->check);
    deferred->check.data = deferred;
    uv_idle_init(loop, &deferred->idle);
}

void
deferred_schedule(deferred_t *deferred)
{
    if (deferred->is_pending)
        return;
    deferred->is_pending = true;
    deferred->poll_count = 0;
    deferred->scheduled_ns = uv_hrtime();
    uv_check_start(&deferred->check, on_check);
    uv_idle_start(&deferred->idle, on_idle);
}

void
deferred_run_overdue(deferred_t *deferred)
{
    const uint64_t max_ns = (uint64_t)DEFERRED_MAX_MS * NS_PER_MS;
    if (deferred->is_pending && uv_hrtime() - deferred->scheduled_ns >= max_ns)
        run(deferred);
}
