#include "gateway/state/offered_work.h"

#include <math.h>

/* Time constant of the averages, in milliseconds; that of the demand in services.c. */
#define AVERAGE_TAU_MS 2000.0

unsigned
urgency_of(int priority)
{
    if (priority < 0)
        return 0;
    return priority < URGENCY_LEVELS ? (unsigned)priority : URGENCY_LEVELS - 1;
}

void
offered_work_count(offered_work_t *work, size_t region, unsigned urgency, bool bound,
                   double work_ms)
{
    if (region >= TOPOLOGY_REGIONS_MAX)
        return;
    work->pending.slots[region][urgency] += work_ms;
    if (bound)
        work->pending.bound[region] += work_ms;
}

static void
update_average(double *average, double *pending, double gain, double passed_ms)
{
    *average += gain * (*pending / passed_ms - *average);
    *pending = 0;
}

void
offered_work_update(offered_work_t *work, uint64_t now_ms)
{
    const double passed_ms = (double)(now_ms - work->updated_ms);
    if (passed_ms <= 0)
        return;
    const double gain = 1 - exp(-passed_ms / AVERAGE_TAU_MS);
    work->updated_ms = now_ms;
    for (size_t i = 0; i < TOPOLOGY_REGIONS_MAX; i++) {
        for (size_t k = 0; k < URGENCY_LEVELS; k++)
            update_average(&work->average.slots[i][k], &work->pending.slots[i][k], gain, passed_ms);
        update_average(&work->average.bound[i], &work->pending.bound[i], gain, passed_ms);
    }
}

void
offered_totals_add(offered_totals_t *totals, const offered_totals_t *other)
{
    for (size_t i = 0; i < TOPOLOGY_REGIONS_MAX; i++) {
        for (size_t k = 0; k < URGENCY_LEVELS; k++)
            totals->slots[i][k] += other->slots[i][k];
        totals->bound[i] += other->bound[i];
    }
}

double
offered_totals_slots(const offered_totals_t *totals, size_t region)
{
    double slots = 0;
    for (size_t k = 0; k < URGENCY_LEVELS; k++)
        slots += totals->slots[region][k];
    return slots;
}
