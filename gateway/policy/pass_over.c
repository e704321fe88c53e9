#include "gateway/policy/pass_over.h"

passed_t
pass_over(const backend_t *backend, bool may_ask, uint64_t now_ms)
{
    if (backend->stated_leaving)
        return PASSED_LEAVES;
    if (!rest_allows(&backend->backoff, now_ms))
        return PASSED_RESTS;
    if (backend->limit.is_set && (!may_ask || now_ms < backend->next_permit_ms))
        return PASSED_AT_LIMIT;
    return PASSED_NOT;
}

uint64_t
pass_over_wait_ms(const backend_t *backend, uint64_t now_ms)
{
    if (backend->stated_leaving)
        return 0;
    if (rest_is_on(&backend->backoff, now_ms))
        return backend->backoff.until_ms - now_ms;
    if (backend->limit.is_set && now_ms < backend->next_permit_ms)
        return backend->next_permit_ms - now_ms;
    return 0;
}

const char *
passed_name(passed_t passed)
{
    static const char *const names[PASSED_COUNT] = {
        [PASSED_NOT] = "none",
        [PASSED_LEAVES] = "leaves",
        [PASSED_RESTS] = "rests",
        [PASSED_AT_LIMIT] = "at_limit",
    };
    return names[passed];
}
