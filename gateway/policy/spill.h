/*
 * Spill between regions: how many requests may leave their planned region because it has no room.
 *
 * Decides: whether one more request may go to another region.
 * Input: the number of requests of the service.
 * Rule: a token bucket filled by requests, not by time: each request adds 0.05, at most 4 are kept,
 * and a request that leaves takes 1.
 * Reason: the platform bounds how fast a region's traffic may move. Without a bound, overload moved
 * away while backends were cold and came back at once when they were warm (commit c2341eb: 2 of 40
 * and 6 of 40 hunted days broke a rule before, none after).
 *
 * Owns: spill_t, a part of its service. Relies on nothing.
 */
#pragma once

#include <stdbool.h>

typedef struct {
    double allowance; /* requests that may leave now */
} spill_t;

void spill_count_request(spill_t *spill);
bool spill_is_allowed(const spill_t *spill);
/* Counts a request that left its planned region. */
void spill_spend(spill_t *spill);
