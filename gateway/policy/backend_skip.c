#include "gateway/policy/backend_skip.h"

skip_reason_t
backend_skip_reason(const backend_t *backend, bool may_request_permit, uint64_t now_ms)
{
    if (backend->stated_leaving)
        return SKIP_LEAVING;
    if (!backoff_allows(&backend->backoff, now_ms))
        return SKIP_BACKOFF;
    if (backend->limit.is_set && (!may_request_permit || now_ms < backend->next_permit_ms))
        return SKIP_RATE_LIMITED;
    return SKIP_NONE;
}

uint64_t
backend_skip_wait_ms(const backend_t *backend, uint64_t now_ms)
{
    if (backend->stated_leaving)
        return 0;
    if (backoff_is_active(&backend->backoff, now_ms))
        return backend->backoff.until_ms - now_ms;
    if (backend->limit.is_set && now_ms < backend->next_permit_ms)
        return backend->next_permit_ms - now_ms;
    return 0;
}

const char *
skip_reason_name(skip_reason_t reason)
{
    static const char *const names[SKIP_REASON_COUNT] = {
        [SKIP_NONE] = "none",
        [SKIP_LEAVING] = "leaves",
        [SKIP_BACKOFF] = "rests",
        [SKIP_RATE_LIMITED] = "at_limit",
    };
    return names[reason];
}
