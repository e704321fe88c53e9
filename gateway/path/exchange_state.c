#include <stdlib.h>

#include "base/loop_time.h"
#include "base/xmalloc.h"
#include "gateway/path/exchange_state.h"

uint64_t
exchange_now_ms(const exchange_t *ex)
{
    return loop_now(ex->owner->router->loop);
}

uint64_t
exchange_left_ms(const exchange_t *ex)
{
    const uint64_t now = exchange_now_ms(ex);
    return ex->end_ms > now ? ex->end_ms - now : 0;
}

backend_t *
exchange_last_tried(const exchange_t *ex)
{
    return ex->tried_count > 0 ? ex->tried[ex->tried_count - 1] : NULL;
}

void
exchange_set_timer(exchange_t *ex)
{
    const uint64_t now = exchange_now_ms(ex);
    uint64_t next = ex->end_ms;
    if (ex->overdue_ms != 0 && ex->overdue_ms < next)
        next = ex->overdue_ms;
    if (ex->resend_ms != 0 && ex->resend_ms < next)
        next = ex->resend_ms;
    if (ex->permit != NULL && ex->permit_until_ms < next)
        next = ex->permit_until_ms;
    uv_timer_start(&ex->timer, ex->on_timer, next > now ? next - now : 0, 0);
}

static void
on_timer_closed(uv_handle_t *handle)
{
    exchange_t *ex = handle->data;
    for (size_t i = 0; i < ex->tried_count; i++)
        backend_unref(ex->tried[i]);
    attempt_free(&ex->attempt);
    config_unref(ex->config);
    free(ex);
}

/* What reached no backend server that runs it does not count against the account's limit. */
static void
settle_use(exchange_t *ex)
{
    if (ex->use == NULL)
        return;
    if (ex->admitted && ex->runs == 0)
        account_uses_refund(ex->owner->account_uses, ex->use);
    account_uses_release(ex->use);
    ex->use = NULL;
}

void
exchange_drop_permit(exchange_t *ex, bool late)
{
    if (ex->permit != NULL)
        permit_cancel(ex->permit, late);
    if (ex->permit_for != NULL)
        backend_unref(ex->permit_for);
    ex->permit = NULL;
    ex->permit_for = NULL;
}

void
exchange_release(exchange_t *ex)
{
    xassert(!ex->done);
    exchange_drop_permit(ex, false);
    settle_use(ex);
    ex->done = true;
    ex->owner->active--;
    uv_close((uv_handle_t *)&ex->timer, on_timer_closed);
}
