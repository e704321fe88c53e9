/*
 * Retry budget of a service: limits the extra sends of this instance, so that those of all lives of
 * all instances stay within the configured bound in every window.
 *
 * Load that this answers: backend servers reject requests while instances are replaced. A record of
 * what was sent would end with the process, and its successor would send as much again. So the
 * budget holds what may still be sent, of which an end loses nothing but allowance.
 *
 * The bound allows `ratio` extra sends a request and `constant` a window. A life of an instance
 * earns 0.7 of the ratio with each request that it counts, and 0.45 of its part of the constant in
 * the time of a window. It saves at most 0.2 of what the ratio allows for its last window, and 0.45
 * of its part of the constant. A window so holds at most what the lives in it earned there, and
 * what those running at its begin had saved of the window before: 0.9 of the bound, however often
 * instances were replaced and whatever they knew of the lives before. Sends that arrive later than
 * they are granted need the rest.
 *
 * A new life has saved next to nothing, but earns from its first request on. Until its first grant,
 * and while it may save less than one send, a request is granted one with a chance of what is
 * saved, which is spent either way: short lives and services with few requests get their part too.
 *
 * retry_budget_t is part of its service; time and random numbers are passed in.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum { RETRY_BUDGET_SLICES = 10 }; /* slices of the window, which expire one by one */

/* Counted since the start of the process. */
typedef struct {
    uint64_t requests;
    uint64_t granted; /* extra sends */
    uint64_t refused; /* extra sends that the budget did not allow */
    /* Fewest instances that shared the constant at a grant, since a reader last set it to 0. */
    unsigned fewest_instances;
} retry_totals_t;

typedef struct {
    uint64_t newest; /* number of the newest slice, counted from time 0 */
    uint32_t requests[RETRY_BUDGET_SLICES];
    double saved;        /* extra sends */
    uint64_t updated_ms; /* time up to which the constant has been earned; 0: never */
    retry_totals_t totals;
} retry_budget_t;

/* From the settings, except for `instances`. */
typedef struct {
    double ratio;       /* extra sends per request */
    double constant;    /* extra sends per window, over all instances */
    uint64_t window_ms; /* length of the window */
    unsigned instances; /* instances that share the constant; 0: not known, it is not used */
} retry_terms_t;

void retry_budget_count_request(retry_budget_t *budget, const retry_terms_t *terms,
                                uint64_t now_ms);
/* Takes one extra send from the budget; false if it is exhausted. `random` is uniform in [0, 1). */
bool retry_budget_take(retry_budget_t *budget, const retry_terms_t *terms, double random,
                       uint64_t now_ms);
/* Returns the extra sends that are saved. */
double retry_budget_left(const retry_budget_t *budget, const retry_terms_t *terms, uint64_t now_ms);
