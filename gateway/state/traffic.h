/*
 * Traffic: the rate of requests of this instance, and the bytes they transfer over its link.
 *
 * Owns two moving averages over about 2 s, which heartbeats send to the other instances (used by
 * subset.h). Time is passed in.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

typedef struct {
    uint64_t requests; /* since the last update */
    uint64_t bytes;
    uint64_t updated_ms;
    double requests_per_s;
    double bytes_per_s; /* in one direction; each request and response is received once and sent
                           once */
} traffic_t;

/* Counts a completed request; `bytes` are those of its body and the response's. */
void traffic_count(traffic_t *traffic, size_t bytes);
/* Updates the averages. */
void traffic_update(traffic_t *traffic, uint64_t now_ms);
