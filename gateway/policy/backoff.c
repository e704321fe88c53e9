#include "gateway/policy/backoff.h"

/* Upper bound on the delay; a backend that requests more is probed once a minute. */
enum { BACKOFF_MAX_MS = 60000 };

void
backoff_request(backoff_t *backoff, uint64_t delay_ms, uint64_t now_ms)
{
    const uint64_t until_ms = now_ms + (delay_ms < BACKOFF_MAX_MS ? delay_ms : BACKOFF_MAX_MS);
    backoff->probing = false;
    if (until_ms > backoff->until_ms)
        backoff->until_ms = until_ms;
}

bool
backoff_is_active(const backoff_t *backoff, uint64_t now_ms)
{
    return now_ms < backoff->until_ms;
}

bool
backoff_allows(const backoff_t *backoff, uint64_t now_ms)
{
    return !backoff_is_active(backoff, now_ms) && !backoff->probing;
}

void
backoff_attempt_started(backoff_t *backoff)
{
    backoff->probing = backoff->until_ms > 0;
}

void
backoff_attempt_ended(backoff_t *backoff, uint64_t sent_ms, bool answered)
{
    if (backoff->until_ms == 0 || sent_ms < backoff->until_ms)
        return;
    backoff->probing = false;
    if (answered)
        backoff->until_ms = 0;
}
