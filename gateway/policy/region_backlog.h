/*
 * Region backlog: how much work waits in each region because more was offered than it has slots.
 *
 * Load: callers of one region, or an account that only this region may serve, offer more than its
 * slots for seconds. The queues at its backends then outlast the load, and a request that is sent
 * to another backend of the region only joins the end of another queue.
 *
 *  - Work offered beyond the slots waits; it is done as fast as the slots allow. No instance
 *    knows all queues, but each knows the offered work and the slots.
 *  - At most 4 s of work per slot wait: what would wait longer was refused or given up.
 *  - A region is full while more work waits per slot than a usual run: a request that is sent again
 *    there would wait for longer than it then runs.
 *
 * Time is passed in.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gateway/membership/topology.h"

typedef struct {
    double wait_ms[TOPOLOGY_REGIONS_MAX]; /* work that waits, in milliseconds per slot */
    uint64_t updated_ms;
} region_backlog_t;

/* Adds the work offered since the last update, less what the slots have done; `offered` and
 * `slots` are slots by region. */
void region_backlog_update(region_backlog_t *backlog, const double *offered, const double *slots,
                           size_t count, uint64_t now_ms);
/* True if a request would have to queue in the region for longer than `run_ms`, the service's mean
 * run; 0: not known. */
bool region_backlog_is_full(const region_backlog_t *backlog, size_t region, double run_ms);
