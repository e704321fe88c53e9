/*
 * Permits: token buckets of the backend servers whose rate limit this instance enforces as their
 * owner.
 *
 * Owns a bucket for each incarnation of a backend server that a permit was requested for lately. A
 * bucket starts empty, since the previous owner may have granted all tokens. Relies on
 * policy/rate_limit.h; time is passed in.
 */
#pragma once

#include "base/bucket.h"
#include "gateway/policy/rate_limit.h"

typedef struct {
    uint64_t incarnation; /* from backend_incarnation_hash() */
    bucket_t tokens;
    uint64_t last_request_ms;
} permit_bucket_t;

typedef struct {
    permit_bucket_t *items;
    size_t count;
    size_t size;
} permits_t;

/* True if a permit is granted; otherwise `wait_ms` is the time until the next one. */
bool permits_take(permits_t *permits, uint64_t incarnation, permit_rate_t rate, uint64_t now_ms,
                  uint32_t *wait_ms);
/* Periodic work: removes unused buckets. */
void permits_expire(permits_t *permits, uint64_t now_ms);
void permits_free(permits_t *permits);
