#include "gateway/deferred.h"

/* The first read ends the turn in which the work was asked for, if a socket's callback did so. */
enum { READS_NEEDED = 2 };

static void
on_idle(uv_idle_t *idle)
{
    (void)idle;
}

static void
on_check(uv_check_t *check)
{
    deferred_t *deferred = check->data;
    deferred->reads++;
    if (deferred->reads < READS_NEEDED)
        return;
    uv_check_stop(&deferred->check);
    uv_idle_stop(&deferred->idle);
    deferred->asked_for = false;
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
deferred_ask(deferred_t *deferred)
{
    if (deferred->asked_for)
        return;
    deferred->asked_for = true;
    deferred->reads = 0;
    uv_check_start(&deferred->check, on_check);
    uv_idle_start(&deferred->idle, on_idle);
}
