/*
 * Simulation of a fleet that enforces the limit of one client account, without sockets or event
 * loop.
 *
 * Instances and messages are simulated; decisions are made by the gateway's own code
 * (state/account_uses.h, state/account_ledgers.h and the policies). Alternative strategies and an
 * ideal shared bucket serve for comparison.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum {
    STRATEGY_EVEN,   /* each instance has an equal part of the limit */
    STRATEGY_GOSSIP, /* parts by demand, gossiped every 440 ms and when a part is used up */
    STRATEGY_OWNERS, /* as in the gateway */
} model_strategy_t;

/* An event that affects the fleet for a time. */
typedef struct {
    uint64_t from_ms;
    uint64_t to_ms;
    double surge;       /* load factor; 0: base load */
    double partitioned; /* fraction of each region in a separate partition */
    double killed;      /* fraction of each region that is down */
    double
        stalled; /* fraction of each region that is stalled; its requests are handled afterwards */
    bool moved;  /* all callers use the second region */
    double new_limit; /* factor of the limit; 0: unchanged */
} model_event_t;

typedef struct {
    model_strategy_t strategy;
    unsigned instances; /* over three regions */
    unsigned spread;    /* instances of each region that receive requests; 0: all */
    double rate_per_s;  /* the limit */
    double burst;
    bool cold_start;  /* all instances start with the first request */
    double base_load; /* base load, relative to the limit */
    uint64_t length_ms;
    uint64_t seed;
    const model_event_t *events;
    size_t event_count;
} model_conf_t;

typedef struct {
    unsigned requested;
    unsigned admitted;
    unsigned ideal;        /* admitted by a single bucket */
    double window_excess;  /* largest number of requests in 5 s beyond the limit's rate and burst */
    double window_bound;   /* allowed excess: a tenth of rate and burst, plus 20 */
    double messages_per_s; /* of the whole fleet */
} model_result_t;

model_result_t model_run(const model_conf_t *conf);
/* Requests refused below the limit, as a fraction of what a single bucket would have admitted. */
double model_refused_below_limit(const model_result_t *result);
