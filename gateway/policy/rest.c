#include "gateway/policy/rest.h"

/* Above what a backend server needs to come back; one that wants more is asked once a minute. */
enum { REST_MAX_MS = 60000 };

void
rest_ask(rest_t *rest, uint64_t wish_ms, uint64_t now_ms)
{
    const uint64_t until_ms = now_ms + (wish_ms < REST_MAX_MS ? wish_ms : REST_MAX_MS);
    rest->probing = false;
    if (until_ms > rest->until_ms)
        rest->until_ms = until_ms;
}

bool
rest_is_on(const rest_t *rest, uint64_t now_ms)
{
    return now_ms < rest->until_ms;
}

bool
rest_allows(const rest_t *rest, uint64_t now_ms)
{
    return !rest_is_on(rest, now_ms) && !rest->probing;
}

void
rest_attempt_started(rest_t *rest)
{
    rest->probing = rest->until_ms > 0;
}

void
rest_attempt_ended(rest_t *rest, uint64_t sent_ms, bool answered)
{
    if (rest->until_ms == 0 || sent_ms < rest->until_ms)
        return;
    rest->probing = false;
    if (answered)
        rest->until_ms = 0;
}
