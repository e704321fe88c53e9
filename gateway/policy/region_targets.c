#include "gateway/policy/region_targets.h"

#include <math.h>
#include <string.h>

/* Slots of free work below which there is none to place. */
#define FREE_WORK_MIN 0.001

/* Room for free work in a region at this use of its slots. */
static double
room_at(const region_work_t *work, size_t region, double use)
{
    return fmax(0, use * work->slots[region] - work->bound[region]);
}

static double
total_room_at(const region_work_t *work, size_t count, double use)
{
    double room = 0;
    for (size_t i = 0; i < count; i++)
        room += room_at(work, i, use);
    return room;
}

/* Use of a region's slots by bound work alone. */
static double
bound_use(const region_work_t *work, size_t region)
{
    return work->slots[region] > 0 ? work->bound[region] / work->slots[region] : INFINITY;
}

/* Use at which the regions that bound work alone fills to less than `limit` take all free work. */
static double
use_below(const region_work_t *work, size_t count, double limit, double free_work)
{
    double slots = 0;
    double needed = free_work;
    for (size_t i = 0; i < count; i++) {
        if (bound_use(work, i) >= limit)
            continue;
        slots += work->slots[i];
        needed += work->bound[i];
    }
    return slots > 0 ? needed / slots : INFINITY;
}

double
region_targets_use(const region_work_t *work, size_t count, double least)
{
    double slots = 0;
    double free_work = 0;
    for (size_t i = 0; i < count; i++) {
        slots += work->slots[i];
        free_work += work->demand[i];
    }
    if (slots <= 0)
        return 0;
    if (free_work < FREE_WORK_MIN)
        return least;
    if (total_room_at(work, count, least) >= free_work)
        return least;
    /* Regions filled by bound work beyond the common use take no part in it; which ones these are
     * is settled after at most one step for each. */
    double use = use_below(work, count, INFINITY, free_work);
    for (size_t i = 0; i < count; i++)
        use = use_below(work, count, use, free_work);
    return isfinite(use) ? fmax(least, use) : least;
}

void
region_targets_shares(const region_work_t *work, size_t count, size_t own, double use,
                      double *target)
{
    double spare[TOPOLOGY_REGIONS_MAX] = {0};
    double all_spare = 0;
    memset(target, 0, sizeof(double) * TOPOLOGY_REGIONS_MAX);
    for (size_t i = 0; i < count; i++) {
        if (i != own)
            spare[i] = fmax(0, room_at(work, i, use) - work->demand[i]);
        all_spare += spare[i];
    }
    const double own_room = room_at(work, own, use);
    const double local = work->demand[own] > own_room ? own_room / work->demand[own] : 1;
    if (all_spare <= 0) {
        target[own] = 1;
        return;
    }
    for (size_t i = 0; i < count; i++)
        target[i] = (1 - local) * spare[i] / all_spare;
    target[own] = local;
}
