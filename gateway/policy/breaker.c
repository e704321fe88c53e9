#include "gateway/policy/breaker.h"

enum {
    FAILURES_BEFORE_SUSPENSION = 2, /* in a row */
    SUSPENSION_MIN_MS = 300,
    SUSPENSION_DOUBLINGS_MAX = 4, /* at most 300 ms x 16 = 4.8 s */
};

void
breaker_record_failure(breaker_t *breaker, uint64_t now_ms)
{
    breaker->probing = false;
    breaker->failures++;
    if (breaker->failures < FAILURES_BEFORE_SUSPENSION)
        return;
    const unsigned over = breaker->failures - FAILURES_BEFORE_SUSPENSION;
    const unsigned doublings = over < SUSPENSION_DOUBLINGS_MAX ? over : SUSPENSION_DOUBLINGS_MAX;
    breaker->suspended_until_ms = now_ms + ((uint64_t)SUSPENSION_MIN_MS << doublings);
}

void
breaker_record_answer(breaker_t *breaker)
{
    *breaker = (breaker_t){0};
}

void
breaker_attempt_started(breaker_t *breaker)
{
    breaker->probing = breaker->failures > 0 && breaker->suspended_until_ms > 0;
}

void
breaker_attempts_ended(breaker_t *breaker)
{
    breaker->probing = false;
}

bool
breaker_is_suspended(const breaker_t *breaker, uint64_t now_ms)
{
    return now_ms < breaker->suspended_until_ms;
}

bool
breaker_allows(const breaker_t *breaker, uint64_t now_ms)
{
    return !breaker_is_suspended(breaker, now_ms) && !breaker->probing;
}
