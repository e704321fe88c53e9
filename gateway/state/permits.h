/*
 * Permits: the token buckets of the backend servers whose limit this instance keeps as their owner.
 *
 * Owns a bucket for each life of a backend server that a permit was asked for lately. It starts
 * empty: the owner before may have given out all. Relies on policy/named_limit.h; time is passed
 * in.
 */
#pragma once

#include "base/bucket.h"
#include "gateway/policy/named_limit.h"

typedef struct {
    uint64_t incarnation; /* from backend_incarnation_hash() */
    bucket_t tokens;
    uint64_t last_request_ms; /* last time */
} permit_bucket_t;

typedef struct {
    permit_bucket_t *items;
    size_t count;
    size_t size;
} permits_t;

/* True if a permit is given; else `wait_ms` is the time until there is one. */
bool permits_take(permits_t *permits, uint64_t life, permit_rate_t rate, uint64_t now_ms,
                  uint32_t *wait_ms);
/* Regular work: forgets the buckets that nobody asks for. */
void permits_expire(permits_t *permits, uint64_t now_ms);
void permits_free(permits_t *permits);
