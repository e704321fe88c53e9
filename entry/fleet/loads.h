/* Load reports of all regions, as relayed between regions. Newer reports replace older ones. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/* A region counts as lost if its last report is older than LOADS_LOST_INTERVALS times the average
 * interval, within the bounds LOADS_LOST_MIN_MS and LOADS_LOST_MS. */
enum {
    LOADS_REGIONS_MAX = 64, /* same as TOPOLOGY_REGIONS_MAX */
    LOADS_LOST_INTERVALS = 5,
    LOADS_LOST_MIN_MS = 4000,
    LOADS_LOST_MS = 12000,
};

typedef struct {
    name_t region;
    uint64_t wall_ms;     /* set by the sender; comparable only within a region */
    uint64_t received_ms; /* local monotonic time */
    double interval_ms;   /* average time between reports; 0: unknown */
    uint32_t usable;
    uint32_t in_flight;
} region_load_t;

typedef struct {
    region_load_t items[LOADS_REGIONS_MAX];
    size_t count;
} region_loads_t;

/* Stores the report; false if it is not newer than the known one or there are too many regions. */
bool region_loads_merge(region_loads_t *loads, const region_load_t *report, uint64_t now_ms);
const region_load_t *region_loads_find(const region_loads_t *loads, str_t region);
/* True if reports of the region have stopped; false if there never was one. */
bool region_load_lost(const region_load_t *load, uint64_t now_ms);
/* Fraction of the usable credits that is free, 0..1. */
double region_load_headroom(const region_load_t *load);
