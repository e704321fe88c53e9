/*
 * Simulation of a fleet that sends to one backend server with an announced rate limit, in simulated
 * time without sockets or a loop.
 *
 * Instances, network delays and faults are modelled. Permits are granted by the gateway's own code
 * (policy/rate_limit.h, state/permits.h, policy/cold_start.h). Alternative strategies are simulated
 * for comparison.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

typedef enum {
    LIMIT_STRATEGY_EVEN,    /* each instance has an equal part of the limit, with a burst of one */
    LIMIT_STRATEGY_SENDERS, /* two instances send, as to a cold backend server */
    LIMIT_STRATEGY_PERMITS, /* the strategy of the gateway */
    LIMIT_STRATEGY_COUNT,
} limit_strategy_t;

typedef enum {
    LIMIT_FAULT_NONE,
    LIMIT_FAULT_PARTITION,      /* half of each region is cut off from the rest */
    LIMIT_FAULT_OWNER_PAUSED,   /* the owner is paused for some seconds */
    LIMIT_FAULT_ALL_PAUSED,     /* all instances are paused */
    LIMIT_FAULT_OWNER_RESTARTS, /* the owner ends and restarts some seconds later */
    LIMIT_FAULT_ALL_RESTART,    /* all instances end and restart some seconds later */
    LIMIT_FAULT_COUNT,
} limit_fault_t;

typedef struct {
    limit_strategy_t strategy;
    limit_fault_t fault;
    unsigned instances;        /* in three regions; the backend server is in the first */
    unsigned caller_instances; /* instances per region that get requests; 0: all */
    double limit_per_s;
    double demand; /* demand for the backend server, as a multiple of its limit */
    uint64_t seed;
} limit_conf_t;

typedef struct {
    unsigned max_in_window; /* most requests that reached it in any 4 s */
    double utilization;     /* requests that reached it before the fault, as a part of the limit */
    double messages_per_s;
} limit_result_t;

limit_result_t limit_model_run(const limit_conf_t *conf);
