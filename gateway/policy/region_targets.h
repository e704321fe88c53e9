/*
 * Region targets: for a service whose offered work is counted (offered_work.h), the shares of the
 * own region's requests that make all regions refuse alike.
 *
 * Load: one region has far fewer backend servers than its callers need, or a client account that
 * only this region may serve fills its slots, while the callers of all regions together want more
 * than there is.
 *
 *  - All regions are filled to the same use of their slots, bound work included, so that what is
 *    refused at any of them is the same share of what it is offered. The use is at least the one
 *    up to which requests stay in their own region anyway.
 *  - Work that only one region may serve takes its room there first; free work goes elsewhere.
 *  - A region sends away only what exceeds its room, to the regions with room to spare, in
 *    proportion to it.
 *
 * Stateless.
 */
#pragma once

#include <stddef.h>

#include "gateway/membership/topology.h"

typedef struct {
    double slots[TOPOLOGY_REGIONS_MAX];  /* slots of usable backends */
    double demand[TOPOLOGY_REGIONS_MAX]; /* slots: work of the region's callers without bound work
                                          */
    double bound[TOPOLOGY_REGIONS_MAX];  /* slots: work that only this region may serve */
} region_work_t;

/* Returns the use of slots at which the work fits into all regions together, `least` or more; 0 if
 * there are no slots. Above 1, that part of the work is refused. */
double region_targets_use(const region_work_t *work, size_t count, double least);
/* Sets the shares of the requests of region `own` that each region is to serve at this use; the
 * sum is 1. */
void region_targets_shares(const region_work_t *work, size_t count, size_t own, double use,
                           double *target);
