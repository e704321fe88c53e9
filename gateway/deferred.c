#include "gateway/deferred.h"

/* The first poll may belong to the iteration in which the work was scheduled. */
enum { POLLS_NEEDED = 2 };

static void
on_idle(uv_idle_t *idle)
{
    (void)idle;
}

static void
on_check(uv_check_t *check)
{
    deferred_t *deferred = check->data;
    deferred->poll_count++;
    if (deferred->poll_count < POLLS_NEEDED)
        return;
    uv_check_stop(&deferred->check);
    uv_idle_stop(&deferred->idle);
    deferred->is_pending = false;
    deferred->cb(deferred->ctx);
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
    uv_check_start(&deferred->check, on_check);
    uv_idle_start(&deferred->idle, on_idle);
}
