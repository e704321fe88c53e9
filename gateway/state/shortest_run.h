/*
 * Shortest run: how long the shortest response of a route took lately.
 *
 * A caller with less time than that cannot be answered (policy/admission.h). Kept for the current
 * period and the one before. Without a response in both, the last value stands: callers without
 * time would otherwise all be sent for want of a value, and none of their runs would end in time to
 * give one. One request in each such period may be sent to find out whether runs have become
 * shorter.
 *
 * Starts zeroed; time is passed in.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum { SHORTEST_RUN_PERIOD_MS = 5000 };

typedef struct {
    uint64_t period;        /* number of the current one */
    double current_ms;      /* shortest of the current period; 0: none */
    double previous_ms;     /* shortest of the period before; 0: none */
    double older_ms;        /* of the last periods before with a response; 0: none */
    uint64_t tested_period; /* the last one in which a request was sent to find out */
} shortest_run_t;

/* Counts a complete response. */
void shortest_run_count(shortest_run_t *run, double latency_ms, uint64_t now_ms);
/* Returns it in milliseconds; 0 before the first response. */
double shortest_run_ms(const shortest_run_t *run, uint64_t now_ms);
/* True once in each period that follows two without a response: a request may be sent although the
 * shortest run leaves no time for it. */
bool shortest_run_may_test(shortest_run_t *run, uint64_t now_ms);
