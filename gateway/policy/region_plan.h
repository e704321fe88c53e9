/*
 * Region plan: for one service, the share of the own region's requests that each region serves.
 *
 *  - A region sends away the demand that exceeds 0.55 of its own slots at recent peak demand, to
 *    the regions with spare slots, in proportion. If all regions are above that, the load is spread
 *    evenly.
 *  - Shares move in small steps: 3% per second away, 0.4% back, 25% for some seconds after a loss
 *    of slots. Small differences are ignored.
 *  - Until demand is seen, shares follow the slots at once.
 *  - Requests with large responses leave the region only for what exceeds 0.88 of the slots.
 *
 * For a service whose offered work is counted (region_plan_input_t.counted):
 *
 *  - The shares follow from offered work, which does not grow with queues. They make all regions
 *    refuse the same share of their work (region_targets.h).
 *  - While the work needs more than 0.8 of all slots, the shares follow the current work instead of
 *    its peaks, by 6% per second in both directions, and differences from 0.02 on count. Otherwise
 *    they move as above, except after a loss of slots: by 6% per second, so that 0.12 moves in 2 s
 *    (the platform's bound is 0.15), or by 25% per second if a region lost 0.4 of its slots or
 *    more, as with a data hall.
 *  - Requests with large responses leave the region like others once more than 0.88 of all slots
 *    are needed.
 *
 * An object that moves runs cold at first, and the platform limits how fast the traffic of a region
 * may shift. Shares based on current instead of peak demand would move objects back to their region
 * as soon as demand falls, and callers would be refused at the next rise.
 *
 * See docs/design/gateway/choice.md and region-plan.md there. region_plan_t is part of its service;
 * the time is passed in.
 */
#pragma once

#include "gateway/policy/region_targets.h"

typedef struct {
    double slots[TOPOLOGY_REGIONS_MAX];  /* slots of usable backends */
    double demand[TOPOLOGY_REGIONS_MAX]; /* slots that the region's callers keep busy */
    bool counted; /* `demand` is offered work that other regions may serve too; without `bound` */
    double bound[TOPOLOGY_REGIONS_MAX]; /* slots of offered work that only this region may serve */
} region_plan_input_t;

typedef struct {
    double share[TOPOLOGY_REGIONS_MAX]; /* shares of the own region's requests; the sum is 1 */
    size_t region_count;
    size_t own; /* index of the own region */
    uint64_t updated_ms;
    bool started;                       /* the shares were initialized */
    bool demand_seen;                   /* demand was seen; shares move in steps from then on */
    bool converging;                    /* the shares are moving to the target */
    double slots[TOPOLOGY_REGIONS_MAX]; /* at the last update */
    double peak[TOPOLOGY_REGIONS_MAX];  /* decaying peak demand in slots */
    double bound[TOPOLOGY_REGIONS_MAX]; /* the same of bound work */
    double measured_peak; /* of all regions together, without the initial assumption */
    double use;          /* counted work: use of all slots that the shares aim at; 0: not counted */
    bool is_short;       /* counted work: slots are short */
    double large_use;    /* `use`, moved slowly, for requests with large responses */
    double logged_share; /* own share that was logged last */
    uint64_t rebalance_until_ms;  /* shares move fast until then, after a loss of slots */
    uint64_t large_loss_until_ms; /* the same after a loss of 0.4 of a region's slots */
} region_plan_t;

void region_plan_update(region_plan_t *plan, const region_plan_input_t *input, size_t region_count,
                        size_t own, uint64_t now_ms);
/* Returns the recent peak demand as a share of all slots. */
double region_plan_use(const region_plan_t *plan);
/* Returns the region for a point in [0, 1), a hash of the request's object. When shares move, only
 * the points between the old and the new boundary change their region. */
size_t region_plan_pick(const region_plan_t *plan, double point);
/* The same for a request with a large response. */
size_t region_plan_pick_large(const region_plan_t *plan, double point);
