#include "gateway/state/returns.h"

#include <math.h>
#include <stdlib.h>

#include "base/xmalloc.h"

uint64_t
returns_period(uint64_t at_ms)
{
    return at_ms / RETURNS_PERIOD_MS;
}

static bool
in_ring(const returns_t *returns, uint64_t period)
{
    return period >= returns->first && period - returns->first < RETURNS_PERIODS;
}

static void
clear_period(returns_t *returns, uint64_t period)
{
    for (size_t i = 0; i < TOPOLOGY_REGIONS_MAX; i++) {
        if (returns->busy_ms[i] != NULL)
            returns->busy_ms[i][period % RETURNS_PERIODS] = 0;
    }
}

void
returns_advance(returns_t *returns, uint64_t now_ms)
{
    const uint64_t current = returns_period(now_ms);
    for (size_t i = 0; i < RETURNS_PERIODS && returns->first < current; i++)
        clear_period(returns, returns->first++);
    if (returns->first < current)
        returns->first = current;
}

double
returns_busy_ms(const returns_t *returns, size_t region, uint64_t period)
{
    if (region >= TOPOLOGY_REGIONS_MAX || returns->busy_ms[region] == NULL ||
        !in_ring(returns, period))
        return 0;
    return returns->busy_ms[region][period % RETURNS_PERIODS];
}

double
returns_overlap_ms(uint64_t at_ms, double work_ms, uint64_t period)
{
    const double begin_ms = (double)(period * RETURNS_PERIOD_MS);
    const double from_ms = fmax((double)at_ms, begin_ms);
    const double until_ms = fmin((double)at_ms + work_ms, begin_ms + RETURNS_PERIOD_MS);
    return fmax(0, until_ms - from_ms);
}

void
returns_promise(returns_t *returns, size_t region, uint64_t at_ms, double work_ms)
{
    if (region >= TOPOLOGY_REGIONS_MAX)
        return;
    if (returns->busy_ms[region] == NULL)
        returns->busy_ms[region] = xcalloc(RETURNS_PERIODS, sizeof(double));
    for (uint64_t period = returns_period(at_ms); in_ring(returns, period); period++)
        returns->busy_ms[region][period % RETURNS_PERIODS] +=
            returns_overlap_ms(at_ms, work_ms, period);
}

double
returns_total_ms(const returns_t *returns)
{
    double total_ms = 0;
    for (size_t i = 0; i < TOPOLOGY_REGIONS_MAX; i++) {
        for (size_t k = 0; returns->busy_ms[i] != NULL && k < RETURNS_PERIODS; k++)
            total_ms += returns->busy_ms[i][k];
    }
    return total_ms;
}

void
returns_free(returns_t *returns)
{
    for (size_t i = 0; i < TOPOLOGY_REGIONS_MAX; i++)
        free(returns->busy_ms[i]);
    *returns = (returns_t){0};
}
