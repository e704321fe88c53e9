#include "gateway/state/offered_work.h"

#include <math.h>

/* Time constant of the averages, in milliseconds; that of the demand in services.c. */
#define AVERAGE_TAU_MS 2000.0

enum { MS_PER_S = 1000 };

unsigned
urgency_of(int priority)
{
    if (priority < 0)
        return 0;
    return priority < URGENCY_LEVELS ? (unsigned)priority : URGENCY_LEVELS - 1;
}

void
offered_work_count(offered_work_t *work, const offered_request_t *request)
{
    const size_t region = request->region;
    if (region >= TOPOLOGY_REGIONS_MAX)
        return;
    work->pending.slots[region][request->urgency] += request->work_ms;
    if (request->bound)
        work->pending.bound[region] += request->work_ms;
    work->pending_mix.slots[request->urgency][request->route_urgency] += request->work_ms;
}

void
offered_work_count_attempt(offered_work_t *work, size_t region, bool rejected)
{
    if (region >= TOPOLOGY_REGIONS_MAX)
        return;
    work->pending.attempts[region] += MS_PER_S;
    work->pending.rejected[region] += rejected ? MS_PER_S : 0;
}

static void
update_average(double *average, double *pending, double gain, double passed_ms)
{
    *average += gain * (*pending / passed_ms - *average);
    *pending = 0;
}

static void
update_totals(offered_work_t *work, size_t region, double gain, double passed_ms)
{
    offered_totals_t *average = &work->average;
    offered_totals_t *pending = &work->pending;
    for (size_t k = 0; k < URGENCY_LEVELS; k++)
        update_average(&average->slots[region][k], &pending->slots[region][k], gain, passed_ms);
    update_average(&average->bound[region], &pending->bound[region], gain, passed_ms);
    update_average(&average->attempts[region], &pending->attempts[region], gain, passed_ms);
    update_average(&average->rejected[region], &pending->rejected[region], gain, passed_ms);
}

static void
update_mix(offered_mix_t *mix, offered_mix_t *pending, double gain, double passed_ms)
{
    for (size_t i = 0; i < URGENCY_LEVELS; i++) {
        for (size_t k = 0; k < URGENCY_LEVELS; k++)
            update_average(&mix->slots[i][k], &pending->slots[i][k], gain, passed_ms);
    }
}

void
offered_work_update(offered_work_t *work, uint64_t now_ms)
{
    const double passed_ms = (double)(now_ms - work->updated_ms);
    if (passed_ms <= 0)
        return;
    const double gain = 1 - exp(-passed_ms / AVERAGE_TAU_MS);
    work->updated_ms = now_ms;
    for (size_t i = 0; i < TOPOLOGY_REGIONS_MAX; i++)
        update_totals(work, i, gain, passed_ms);
    update_mix(&work->mix, &work->pending_mix, gain, passed_ms);
}

void
offered_totals_add(offered_totals_t *totals, const offered_totals_t *other)
{
    for (size_t i = 0; i < TOPOLOGY_REGIONS_MAX; i++) {
        for (size_t k = 0; k < URGENCY_LEVELS; k++)
            totals->slots[i][k] += other->slots[i][k];
        totals->bound[i] += other->bound[i];
        totals->attempts[i] += other->attempts[i];
        totals->rejected[i] += other->rejected[i];
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
