/*
 * Backend skipping: whether a backend server is skipped because of what it reported about itself.
 * The first rule that applies counts:
 *
 *  - A backend that announced its shutdown gets no more requests for the rest of its incarnation,
 *    regardless of its entry in the store.
 *  - A backend that asked this instance to back off gets nothing until the delay is over, and then
 *    a single probe (backoff.h).
 *  - A backend that announced a rate limit gets requests with a permit only (rate_limit.h): none
 *    before the time given with the last refusal of a permit, and none from a request that was
 *    refused a permit twice.
 *
 * The request goes to another backend at once instead of collecting refusals. Stateless.
 */
#pragma once

#include "gateway/state/backend.h"

/* Why a backend server is skipped. */
typedef enum {
    SKIP_NONE,
    SKIP_LEAVING,
    SKIP_BACKOFF,
    SKIP_RATE_LIMITED,
    SKIP_REASON_COUNT, /* number of reasons */
} skip_reason_t;

enum { PERMIT_REFUSALS_MAX = 2 }; /* per request */

/* Returns why the backend is skipped, or SKIP_NONE. `may_request_permit`: the request may still
 * request a permit. */
skip_reason_t backend_skip_reason(const backend_t *backend, bool may_request_permit,
                                  uint64_t now_ms);
/* Returns the time until the backend is available again; 0 if not known or not skipped. */
uint64_t backend_skip_wait_ms(const backend_t *backend, uint64_t now_ms);
const char *skip_reason_name(skip_reason_t reason);
