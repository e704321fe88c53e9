/*
 * Slow attempts: the time after which an attempt is overdue, and whether that counts as a failure
 * of its backend server (health.h) and lets another backend get the request (retry.h).
 *
 * Load that this answers: backend servers that have become slow or silent while others respond as
 * usual.
 *
 * An attempt is overdue when it takes longer than a run without the object in memory, by the
 * route's median response time, of which a packet is lost on the way. Before any response of the
 * route was seen, nothing tells how long its runs are, and no attempt is overdue. It does not count
 * as a failure if the request had to queue or the backend is cold, since the time then does not
 * indicate a fault of the backend.
 *
 * Stateless.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Returns the time in milliseconds after which an attempt is overdue, by the median response time
 * of its route; 0, never, if that is not known (0). */
uint32_t slow_after_ms(double median_ms);

typedef struct {
    uint32_t slow_ms;    /* from slow_after_ms() */
    uint64_t elapsed_ms; /* since the attempt was sent */
    bool queued;         /* all slots of the backend were taken when it was sent */
    bool cold;           /* the backend is cold */
} slow_input_t;

/* True if the attempt counts as a failure of its backend. */
bool slow_counts_as_failure(const slow_input_t *input);
