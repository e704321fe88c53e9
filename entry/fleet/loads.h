/* What each region has left, as relayed between regions. Newer reports replace older ones. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/* A region is lost when its news is LOADS_LOST_INTERVALS times as old as usual, within bounds:
 * commit 9af9734. */
enum {
    LOADS_REGIONS_MAX = 64, /* as many as a topology has */
    LOADS_LOST_INTERVALS = 5,
    LOADS_LOST_MIN_MS = 4000,
    LOADS_LOST_MS = 12000,
};

typedef struct {
    name_t region;
    uint64_t wall_ms;     /* stamp of its maker: only compared with other stamps of the region */
    uint64_t received_ms; /* steady time here */
    double interval_ms;   /* usual time between reports, smoothed; 0: unknown */
    uint32_t usable;
    uint32_t in_flight;
} region_load_t;

typedef struct {
    region_load_t items[LOADS_REGIONS_MAX];
    size_t count;
} region_loads_t;

/* True if the report was newer than what was known. */
bool region_loads_merge(region_loads_t *loads, const region_load_t *report, uint64_t now_ms);
const region_load_t *region_loads_find(const region_loads_t *loads, str_t region);
/* No news of the region for long, though there was some. */
bool region_load_lost(const region_load_t *load, uint64_t now_ms);
/* Free credits, 0..1 of what is usable. */
double region_load_headroom(const region_load_t *load);
