/*
 * Simulates a region's entry instances on a virtual clock: heartbeats over lossy links, allocations
 * in a store with outages, crashes, restarts, pauses and requests at every opportunity. Requests in
 * flight are counted as a backend server would see them.
 */
#pragma once

#include <stdint.h>

typedef struct {
    uint64_t seed;
    uint64_t steps; /* of SIM_STEP_MS */
    uint32_t limit;
} sim_conf_t;

typedef struct {
    uint64_t started;    /* requests */
    uint64_t violations; /* steps at which more than the limit were in flight */
    uint32_t most;       /* in flight at once */
    uint64_t epochs;
    double mean_use; /* share of the limit in use, over all steps */
} sim_result_t;

sim_result_t sim_run(const sim_conf_t *conf);
