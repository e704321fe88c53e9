/*
 * Region plan: the share of the own region's requests that each region serves, for one service.
 *
 * Decides: the region that a request is planned for (choice.c tries it first).
 * Inputs: slots of the usable backend servers of each region, slots that each region's callers keep
 * busy, the time in milliseconds.
 * Rule:
 *  - A region sends away what exceeds 0.55 of its own slots at the highest demand lately seen, to
 *    the regions with spare slots, in proportion. If all are above that, all are above it alike.
 *  - Shares move in small steps: 3% a second away, 0.4% back, 25% for some seconds after slots
 *    were lost. Small differences are left as they are.
 *  - Before any demand was seen, shares follow the slots at once.
 *  - Requests with large answers leave only for what exceeds 0.88 of the slots.
 * Reason: an object that moves runs cold where it goes, and the platform bounds how fast a region's
 * traffic may move; a fast plan sent objects home as soon as demand fell and refused them at the
 * next rise (quiet-1: 8.4% refused; with the peak remembered 0.1%). docs/design/gateway/choice.md.
 *
 * Owns: region_plan_t, a part of its service. Relies on the topology for the number of regions;
 * time is passed in.
 */
#pragma once

#include "gateway/membership/topology.h"

typedef struct {
    double slots[TOPOLOGY_REGIONS_MAX];  /* slots of usable backends */
    double demand[TOPOLOGY_REGIONS_MAX]; /* slots that the region's callers keep busy */
} region_plan_input_t;

typedef struct {
    double share[TOPOLOGY_REGIONS_MAX]; /* of the own region's requests; sums to 1 */
    size_t region_count;
    size_t own; /* index of the own region */
    uint64_t updated_ms;
    bool started;                       /* shares were set once */
    bool demand_seen;                   /* demand was seen: from then on shares move in steps */
    bool converging;                    /* the shares are on their way to the target */
    double slots[TOPOLOGY_REGIONS_MAX]; /* at the last update */
    double peak[TOPOLOGY_REGIONS_MAX];  /* highest demand in slots, decaying slowly */
    double measured_peak;        /* of all regions together, without what was assumed at first */
    double logged_share;         /* own share when it was last logged by its owner */
    uint64_t rebalance_until_ms; /* slots were lost shortly before */
} region_plan_t;

void region_plan_update(region_plan_t *plan, const region_plan_input_t *input, size_t region_count,
                        size_t own, uint64_t now_ms);
/* The highest demand lately measured, as a share of all slots. */
double region_plan_use(const region_plan_t *plan);
/* The region for a point in [0, 1): a hash of the request's object. When shares move, only the
 * points between the old and the new border change their region. */
size_t region_plan_pick(const region_plan_t *plan, double point);
/* The same for a request with a large answer. */
size_t region_plan_pick_large(const region_plan_t *plan, double point);
