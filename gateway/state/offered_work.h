/*
 * Offered work: how many slots the requests for a service would keep busy, by the region that is to
 * serve them and by urgency, whether they are admitted or not.
 *
 * Owns one instance's moving averages, which heartbeats send to the others. The totals of all
 * instances tell each of them which regions are short of slots. Demand measured from the requests
 * in progress (services.h) cannot tell that: it grows with the queues. Time is passed in.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "gateway/membership/topology.h"

enum {
    /* Levels of urgency: priorities 0 to 2, and all less urgent ones together. */
    URGENCY_LEVELS = 4,
};

/* Slots by the region that is to serve the requests. */
typedef struct {
    double slots[TOPOLOGY_REGIONS_MAX][URGENCY_LEVELS];
    double bound[TOPOLOGY_REGIONS_MAX]; /* of these, for requests that no other region may serve */
} offered_totals_t;

typedef struct {
    offered_totals_t average; /* slots: moving average */
    offered_totals_t pending; /* slot milliseconds since the last update */
    uint64_t updated_ms;
} offered_work_t;

/* Returns the level of urgency of a priority; 0 is the most urgent. */
unsigned urgency_of(int priority);
/* Counts a request that is expected to keep a slot of `region` busy for `work_ms`. */
void offered_work_count(offered_work_t *work, size_t region, unsigned urgency, bool bound,
                        double work_ms);
/* Updates the averages. */
void offered_work_update(offered_work_t *work, uint64_t now_ms);
/* Adds `other` to `totals`. */
void offered_totals_add(offered_totals_t *totals, const offered_totals_t *other);
/* Slots of all levels of urgency in a region. */
double offered_totals_slots(const offered_totals_t *totals, size_t region);
