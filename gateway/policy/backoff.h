/*
 * Backoff: whether an instance may send requests to a backend server that rejected one with
 * Retry-After.
 *
 *  - Nothing is sent until the delay has passed, counted from the response. The longer of two
 *    requested delays applies, a minute at most.
 *  - After the delay one request at a time is sent as a probe. A response to a request sent since
 *    then ends the backoff; a rejection with Retry-After starts the next one. A probe that was lost
 *    or rejected without Retry-After leaves the state to the next request.
 *  - It applies to the instance that was rejected only, as the backend may accept requests from
 *    others.
 *
 * A rejected request costs its caller time, the service a retry, and the backend the work that it
 * wants to avoid. Resuming with all callers at once would overload the backend again.
 *
 * backoff_t starts zeroed; the time is passed in.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint64_t until_ms; /* 0: no backoff */
    bool probing;      /* the probe after the delay is in progress */
} backoff_t;

/* Records a delay requested by the backend server. */
void backoff_request(backoff_t *backoff, uint64_t delay_ms, uint64_t now_ms);
/* True if a request may be sent. */
bool backoff_allows(const backoff_t *backoff, uint64_t now_ms);
/* True if the requested delay has not passed yet. */
bool backoff_is_active(const backoff_t *backoff, uint64_t now_ms);
/* Called before a request is sent. */
void backoff_attempt_started(backoff_t *backoff);
/* Called when a request sent at `sent_ms` has ended; `answered`: the backend ran it and responded.
 */
void backoff_attempt_ended(backoff_t *backoff, uint64_t sent_ms, bool answered);
