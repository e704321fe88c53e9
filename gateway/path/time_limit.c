/* logged under the module name of the exchange */
#define LOG_MODULE "exchange"
#include "base/log.h"
#include "gateway/path/dispatch.h"
#include "gateway/path/completion.h"
#include "gateway/path/time_limit.h"

/* Ends the exchange at its deadline. */
static void
give_up(exchange_t *ex)
{
    if (ex->attempt.call != NULL)
        attempt_record(&ex->attempt, true);
    dispatch_cancel(ex);
    if (ex->attempt.streaming)
        completion_abort(ex, OUTCOME_CUT_AT_DEADLINE);
    else
        completion_refuse(ex, OUTCOME_TIMEOUT);
}

/* True if the overdue attempt is expected in the queue of its backend, as requests queue all over
 * the region. It may stay there once; after that the backend must have answered others meanwhile.
 */
static bool
waits_in_queue(const exchange_t *ex)
{
    const backend_t *backend = ex->attempt.backend;
    return service_region_is_full(ex->service, backend->region) &&
           backend_is_usable(backend, exchange_now_ms(ex)) &&
           (!ex->stayed_in_queue || backend->heard_ms >= ex->attempt.sent_ms);
}

/* Returns true if the overdue attempt may be replaced by another one. */
static bool
may_replace_overdue(exchange_t *ex)
{
    const attempt_t *attempt = &ex->attempt;
    const retry_overdue_t input = {
        .request = dispatch_retry_input(ex),
        .sent = wire_call_stage(attempt->call) != WIRE_UNSENT,
        .backend_avoided = health_is_avoided(&attempt->backend->health, exchange_now_ms(ex)),
        .waits_in_queue = waits_in_queue(ex),
    };
    const retry_context_t account = router_retry_context(ex->owner->router, ex->service);
    ex->retry = retry_decide_overdue(&input, &account);
    return ex->retry == RETRY_YES;
}

/* Handles an overdue attempt. It is cancelled only if another backend is available; otherwise its
 * own backend may still respond. */
static void
on_overdue(exchange_t *ex)
{
    attempt_t *attempt = &ex->attempt;
    ex->overdue_at_ms = 0;
    if (attempt->call == NULL || attempt->head_seen)
        return;
    if (!ex->is_overdue)
        backend_attempt_overdue(attempt->backend, exchange_now_ms(ex));
    ex->is_overdue = true;
    if (attempt_is_slow(attempt))
        attempt_record(attempt, true);
    if (!may_replace_overdue(ex)) {
        ex->stayed_in_queue |= ex->retry == RETRY_REGION_FULL;
        if (ex->retry == RETRY_REGION_FULL) /* the backend may have gone silent */
            ex->overdue_at_ms = exchange_now_ms(ex) + attempt->slow_ms;
        return;
    }
    const choice_t choice = dispatch_choose(ex, false);
    backend_t *other = choice.backend;
    if (other == NULL)
        return;
    LOG_INFO("overdue attempt replaced: id=%.*s backend=%s after_ms=%llu for=%s",
             LOG_STR(ex->metadata.id), attempt->backend->info.id.ptr,
             (unsigned long long)(exchange_now_ms(ex) - attempt->sent_ms), other->info.id.ptr);
    dispatch_cancel(ex);
    ex->choice = choice;
    dispatch_send(ex, other);
}

void
time_limit_on_timer(uv_timer_t *timer)
{
    exchange_t *ex = timer->data;
    if (exchange_now_ms(ex) >= ex->deadline_at_ms) {
        give_up(ex);
        return;
    }
    if (ex->permit != NULL && exchange_now_ms(ex) >= ex->permit_wait_until_ms)
        dispatch_on_permit_timeout(ex);
    else if (ex->probe_wait.probe != NULL && exchange_now_ms(ex) >= ex->probe_wait_until_ms)
        dispatch_on_probe_timeout(ex);
    else if (ex->resend_at_ms != 0 && exchange_now_ms(ex) >= ex->resend_at_ms)
        dispatch_resend(ex);
    else
        on_overdue(ex);
    if (!ex->done)
        exchange_set_timer(ex);
}
