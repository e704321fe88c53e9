/*
 * Slow attempts: the time after which an attempt is overdue, and whether that counts as a failure
 * of its backend server (health.h) and lets another backend get the request (retry.h).
 *
 * An attempt is overdue after 3.9 times the route's median response time, but not before its
 * latency objective; after 5 times the objective while no response of the route was seen. It does
 * not count as a failure if the request had to queue or the backend is cold, since the time then
 * does not indicate a fault of the backend: counting queued requests too lowered the score of a day
 * of growth from 0.637 to 0.609 (commit 28ac3e3). A run without the object in memory takes 3.3
 * times as long as one with it.
 *
 * Stateless.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Returns the time in milliseconds after which an attempt is overdue; 0 if the route has neither an
 * objective nor a response yet. `median_ms` is 0 before the first response. */
uint32_t slow_after_ms(uint32_t objective_ms, double median_ms);

typedef struct {
    uint32_t slow_ms;    /* from slow_after_ms() */
    uint64_t elapsed_ms; /* since the attempt was sent */
    bool queued;         /* all slots of the backend were taken when it was sent */
    bool cold;           /* the backend is cold */
} slow_input_t;

/* True if the attempt counts as a failure of its backend. */
bool slow_counts_as_failure(const slow_input_t *input);
