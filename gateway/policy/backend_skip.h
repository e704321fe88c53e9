/*
 * Pass over: whether a backend server gets a request now, as far as what it told of itself goes.
 *
 * Decides: whether it is passed over, why, and for how long.
 * Inputs: what the backend server told (state/notices.h, backoff.h), whether a permit was refused
 * (rate_limit.h), whether the request may ask for a permit at all.
 * Rule, in this order:
 *  - One that told that it leaves gets nothing more in this life, whatever its entry says.
 *  - One that asked this instance for rest gets nothing until it is over, and then one request at
 *    first (backoff.h).
 *  - One that names a limit gets a request only with a permit; not before the time until which the
 *    last one was refused, and not from a request that has been refused twice.
 * Reason: a request is sent elsewhere at once, rather than walk from refusal to refusal.
 *
 * Pure: no state, no clock.
 */
#pragma once

#include "gateway/state/backend.h"

/* Why a backend server is passed over. */
typedef enum {
    SKIP_NONE,
    SKIP_LEAVING,
    SKIP_BACKOFF,
    SKIP_RATE_LIMITED,
    SKIP_REASON_COUNT, /* not a reason */
} skip_reason_t;

enum { PERMIT_REFUSALS_MAX = 2 }; /* to one request */

/* `may_request_permit`: the request may still ask for a permit. */
skip_reason_t backend_skip_reason(const backend_t *backend, bool may_request_permit,
                                  uint64_t now_ms);
/* Time until it may get a request; 0 if that is not known, or it is not passed over. */
uint64_t backend_skip_wait_ms(const backend_t *backend, uint64_t now_ms);
const char *skip_reason_name(skip_reason_t reason);
