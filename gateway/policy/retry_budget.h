/*
 * How many requests may be sent to a second upstream: a share of the requests of a sliding
 * window, and this instance's part of a constant that all instances share. Pure.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum { RETRY_SLICES = 10 };

typedef struct {
    uint64_t slice_ms;
    uint64_t newest; /* number of the newest slice */
    uint32_t requests[RETRY_SLICES];
    uint32_t extra[RETRY_SLICES];
} retry_budget_t;

typedef struct {
    double ratio;    /* extra sends for each request */
    double constant; /* extra sends a window, over all instances */
    uint64_t window_ms;
    unsigned instances; /* that share the constant */
} retry_terms_t;

void retry_budget_request(retry_budget_t *budget, const retry_terms_t *terms, uint64_t now_ms);
/* Takes one extra send if the window has room for it. */
bool retry_budget_take(retry_budget_t *budget, const retry_terms_t *terms, uint64_t now_ms);
