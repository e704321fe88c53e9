/*
 * A fleet that sends to one backend server that names a limit, in simulated time: no sockets, no
 * loop.
 *
 * Instances, ways and troubles are modelled; who gets a permit and when is the gateway's own code
 * (policy/rate_limit.h, state/permits.h, policy/cold_start.h). Beside permits run the other ways
 * that were weighed.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

typedef enum {
    LIMIT_STRATEGY_EVEN,    /* each instance has its part of the limit, a token at the most */
    LIMIT_STRATEGY_SENDERS, /* two instances send, as to a cold backend server */
    LIMIT_STRATEGY_PERMITS, /* the gateway's */
    LIMIT_STRATEGY_COUNT,
} limit_strategy_t;

typedef enum {
    LIMIT_FAULT_NONE,
    LIMIT_FAULT_PARTITION,      /* half of each region hears only itself */
    LIMIT_FAULT_OWNER_PAUSED,   /* the owner stands still for some seconds */
    LIMIT_FAULT_ALL_PAUSED,     /* and all others with it, but for the callers */
    LIMIT_FAULT_OWNER_RESTARTS, /* its process ends, and starts again some seconds later */
    LIMIT_FAULT_ALL_RESTART,    /* all processes end, and start again some seconds later */
    LIMIT_FAULT_COUNT,
} limit_fault_t;

typedef struct {
    limit_strategy_t strategy;
    limit_fault_t fault;
    unsigned instances;        /* over three regions; the backend server is in the first */
    unsigned caller_instances; /* instances of each region that get requests; 0: all */
    double limit_per_s;
    double demand; /* requests that are meant for the backend server, times its limit */
    uint64_t seed;
} limit_conf_t;

typedef struct {
    unsigned max_in_window; /* requests that reached it in some 4 s */
    double utilization; /* requests that reached it before the trouble, as a part of the limit */
    double messages_per_s;
} limit_result_t;

limit_result_t limit_model_run(const limit_conf_t *conf);
