/*
 * A fleet that keeps one client account within its limit, in simulated time: no sockets, no loop.
 *
 * Instances, owners and messages are modelled; what they decide is the gateway's own code
 * (state/account_uses.h, state/account_ledgers.h and the policies). Beside it run the other ways
 * that were weighed, and the ideal bucket that sees each request at once.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum {
    STRATEGY_EVEN,   /* each instance has its part of the limit */
    STRATEGY_GOSSIP, /* parts by demand, told every 440 ms and when a part is spent */
    STRATEGY_OWNERS, /* the gateway's */
} model_strategy_t;

/* What befalls the fleet, between two times in milliseconds. */
typedef struct {
    uint64_t from_ms;
    uint64_t to_ms;
    double surge;       /* times the usual rate; 0: as usual */
    double partitioned; /* this part of each region hears only itself */
    double killed;      /* this part is down */
    double stalled;     /* this part stands still: its callers wait, and come all at once after */
    bool moved;         /* callers are in the second region only */
    double new_limit;   /* times the limit; 0: as before */
} model_event_t;

typedef struct {
    model_strategy_t strategy;
    unsigned instances; /* over three regions */
    unsigned spread;    /* instances of a region that get its callers; 0: all */
    double rate_per_s;  /* the limit */
    double burst;
    bool cold_start;  /* all instances start as callers come */
    double base_load; /* usual rate, as a part of the limit */
    uint64_t length_ms;
    uint64_t seed;
    const model_event_t *events;
    size_t event_count;
} model_conf_t;

typedef struct {
    unsigned requested;
    unsigned admitted;
    unsigned ideal;        /* that one bucket would have admitted */
    double window_excess;  /* most requests in 5 s beyond the limit's rate and burst */
    double window_bound;   /* how many the operators bear: a tenth of these, and 20 */
    double messages_per_s; /* of the whole fleet */
} model_result_t;

model_result_t model_run(const model_conf_t *conf);
/* Requests refused below the limit, as a part of what one bucket would have admitted. */
double model_refused_below_limit(const model_result_t *result);
