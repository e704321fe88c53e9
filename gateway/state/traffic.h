/*
 * Traffic: the requests that this instance carries, and the bytes they move over its link.
 *
 * Owns two moving averages over about 2 s. Relies on nothing; time is passed in. Heartbeats tell
 * the other instances (subset.h decides by it).
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

typedef struct {
    uint64_t requests; /* since the last update */
    uint64_t bytes;
    uint64_t updated_ms;
    double requests_per_s;
    double bytes_per_s; /* one direction: a request and its answer come in and go out once each */
} traffic_t;

/* A request has ended; `bytes` are those of its body and its answer's. */
void traffic_count(traffic_t *traffic, size_t bytes);
/* Brings the averages up to date. */
void traffic_update(traffic_t *traffic, uint64_t now_ms);
