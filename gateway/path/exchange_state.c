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
exchange_remaining_ms(const exchange_t *ex)
{
    const uint64_t now = exchange_now_ms(ex);
    return ex->deadline_at_ms > now ? ex->deadline_at_ms - now : 0;
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
    uint64_t next = ex->deadline_at_ms;
    if (ex->overdue_at_ms != 0 && ex->overdue_at_ms < next)
        next = ex->overdue_at_ms;
    if (ex->resend_at_ms != 0 && ex->resend_at_ms < next)
        next = ex->resend_at_ms;
    if (ex->permit != NULL && ex->permit_wait_until_ms < next)
        next = ex->permit_wait_until_ms;
    if (ex->probe_wait.probe != NULL && ex->probe_wait_until_ms < next)
        next = ex->probe_wait_until_ms;
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

/* A request that no backend executed does not count against the account's limit. */
static void
release_account_use(exchange_t *ex)
{
    if (ex->account_use == NULL)
        return;
    if (ex->account_admitted && ex->possible_runs == 0)
        account_uses_refund(ex->owner->account_uses, ex->account_use);
    account_uses_release(ex->account_use);
    ex->account_use = NULL;
}

void
exchange_cancel_permit(exchange_t *ex, bool late)
{
    if (ex->permit != NULL)
        permit_cancel(ex->permit, late);
    if (ex->permit_backend != NULL)
        backend_unref(ex->permit_backend);
    ex->permit = NULL;
    ex->permit_backend = NULL;
}

void
exchange_end_probe_wait(exchange_t *ex)
{
    load_probes_cancel(&ex->probe_wait);
    ex->load_probed = true;
    for (size_t i = 0; i < ex->candidate_count; i++)
        backend_unref(ex->candidates[i]);
    ex->candidate_count = 0;
}

void
exchange_release(exchange_t *ex)
{
    xassert(!ex->done);
    exchange_cancel_permit(ex, false);
    exchange_end_probe_wait(ex);
    release_account_use(ex);
    ex->done = true;
    ex->owner->active--;
    ex->owner->transit->received -= ex->from_peer;
    uv_close((uv_handle_t *)&ex->timer, on_timer_closed);
}
