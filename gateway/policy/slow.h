/*
 * Slow answers: from when on an attempt counts as slow.
 *
 * Decides: the time after which an attempt is overdue, and whether that counts against its backend
 * server (health.h) and lets another backend have the request (retry.h).
 * Inputs: the route's latency objective and the median time of its answers, in milliseconds.
 * Rule: 3.9 times the median, but not less than the objective; 5 times the objective while no
 * answer of the route was seen. It does not count if the request had to queue or the backend is
 * cold: then the time says nothing about the backend.
 * Reason: a run without the object in memory takes 3.3 times as long as one with it; beyond that it
 * is the backend. Counting queued requests as well lowered padana-ricambi scale-2 from 0.637 to
 * 0.609 (commit 28ac3e3).
 *
 * Pure: no state, no clock.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Time in milliseconds after which an attempt is overdue; 0 if the route has neither an objective
 * nor an answer yet. `median_ms` is 0 before the first answer. */
uint32_t slow_after_ms(uint32_t objective_ms, double median_ms);

typedef struct {
    uint32_t slow_ms;    /* from slow_after_ms() */
    uint64_t elapsed_ms; /* since the attempt was sent */
    bool queued;         /* the backend's slots were all taken when it was sent */
    bool cold;           /* the backend is cold */
} slow_input_t;

/* True if the attempt is so slow that it counts as a failure of its backend. */
bool slow_counts_as_failure(const slow_input_t *input);
