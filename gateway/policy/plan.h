/*
 * The share of a region's requests that each region serves, for one service.
 *
 * A region that has less room than its callers need sends a steady share elsewhere. The shares
 * follow room and demand slowly: no caller region's mix may move by more than a step a second,
 * so that a change of traffic does not swing between regions. Room that is lost is made up fast.
 * Pure state; time is passed in.
 */
#pragma once

#include "gateway/membership/topology.h"

typedef struct {
    double room[TOPOLOGY_REGIONS_MAX];   /* slots of usable upstreams */
    double demand[TOPOLOGY_REGIONS_MAX]; /* slots that the region's callers keep busy */
} plan_input_t;

typedef struct {
    double share[TOPOLOGY_REGIONS_MAX]; /* sums to 1 */
    size_t region_count;
    size_t own;
    uint64_t updated_ms;
    bool started;
    bool used; /* demand was seen: from then on shares move in steps only */
    bool moving;
    double room[TOPOLOGY_REGIONS_MAX]; /* at the last update */
    double peak[TOPOLOGY_REGIONS_MAX]; /* highest demand, slowly forgotten */
    double measured_peak;   /* of all regions together, without what was assumed at first */
    double logged;          /* own share when it was last logged by the router */
    uint64_t lost_until_ms; /* room was lost shortly before */
} plan_t;

void plan_update(plan_t *plan, const plan_input_t *input, size_t region_count, size_t own,
                 uint64_t now_ms);
/* The highest demand lately measured as a share of all slots. */
double plan_use(const plan_t *plan);
/* The region for a point in [0, 1); neighbouring points stay where they are when shares move. */
size_t plan_region(const plan_t *plan, double point);
/* The same for a large answer, which is dear to carry between regions: it leaves the own region
 * only for what is beyond a higher use of its slots. */
size_t plan_region_large(const plan_t *plan, double point);
