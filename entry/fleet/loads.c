#include "entry/fleet/loads.h"

/* Weight of the latest interval in the moving average. */
#define INTERVAL_GAIN 0.2

static region_load_t *
find(region_loads_t *loads, str_t region)
{
    for (size_t i = 0; i < loads->count; i++) {
        if (name_eq(&loads->items[i].region, region))
            return &loads->items[i];
    }
    return NULL;
}

bool
region_loads_merge(region_loads_t *loads, const region_load_t *report, uint64_t now_ms)
{
    region_load_t *known = find(loads, name_str(&report->region));
    if (known == NULL) {
        if (loads->count == LOADS_REGIONS_MAX)
            return false;
        known = &loads->items[loads->count++];
        *known = (region_load_t){.region = report->region};
    }
    if (report->wall_ms <= known->wall_ms)
        return false;
    double interval = known->interval_ms;
    const double since = (double)(now_ms - known->received_ms);
    if (known->received_ms != 0)
        interval = interval > 0 ? interval + INTERVAL_GAIN * (since - interval) : since;
    *known = *report;
    known->received_ms = now_ms;
    known->interval_ms = interval;
    return true;
}

const region_load_t *
region_loads_find(const region_loads_t *loads, str_t region)
{
    return find((region_loads_t *)loads, region);
}

bool
region_load_lost(const region_load_t *load, uint64_t now_ms)
{
    if (load == NULL)
        return false;
    double timeout = load->interval_ms * LOADS_LOST_INTERVALS;
    if (timeout < LOADS_LOST_MIN_MS)
        timeout = LOADS_LOST_MIN_MS;
    if (timeout > LOADS_LOST_MS || load->interval_ms <= 0)
        timeout = LOADS_LOST_MS;
    return now_ms > load->received_ms + (uint64_t)timeout;
}

double
region_load_headroom(const region_load_t *load)
{
    if (load == NULL || load->usable == 0 || load->in_flight >= load->usable)
        return 0;
    return 1 - (double)load->in_flight / load->usable;
}
