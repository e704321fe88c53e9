/*
 * Retry budget of a service: how many requests may be sent to another backend server.
 *
 * Decides: whether one more extra send fits into the budget.
 * Inputs: requests and extra sends of this instance in a sliding window; the operators' terms.
 * Rule: extra sends stay below 0.75 of (ratio x requests + this instance's part of the constant).
 * Reason: the bound holds over all instances, and their windows are not aligned with each other;
 * the margin covers that.
 *
 * Owns: retry_budget_t, a part of its service. Relies on nothing; time is passed in.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum { RETRY_BUDGET_SLICES = 10 }; /* of the window; counts are forgotten slice by slice */

typedef struct {
    uint64_t newest; /* number of the newest slice since the clock's start */
    uint32_t requests[RETRY_BUDGET_SLICES];
    uint32_t extra[RETRY_BUDGET_SLICES];
} retry_budget_t;

/* From the settings, but for `instances`. */
typedef struct {
    double ratio;       /* extra sends for each request */
    double constant;    /* extra sends in a window, over all instances */
    uint64_t window_ms; /* length of the window */
    unsigned instances; /* that share the constant */
} retry_terms_t;

void retry_budget_count_request(retry_budget_t *budget, const retry_terms_t *terms,
                                uint64_t now_ms);
/* Takes one extra send; false, and nothing taken, if the window has no room for it. */
bool retry_budget_take(retry_budget_t *budget, const retry_terms_t *terms, uint64_t now_ms);
