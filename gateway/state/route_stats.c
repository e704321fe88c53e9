#include "gateway/state/latency.h"
#include "gateway/state/route_stats.h"

/* Step of the median estimate towards a new value, as a fraction of it. */
#define MEDIAN_STEP 0.02
/* Weight of a new response in the moving average of work. */
#define WORK_GAIN 0.05

static route_stat_t *
get_slot(route_stats_t *stats, uint64_t route_key)
{
    route_stat_t *slot = &stats->slots[route_key % ROUTE_STATS_SLOTS];
    if (slot->route_key != route_key)
        *slot = (route_stat_t){.route_key = route_key};
    return slot;
}

double
route_stats_median_ms(const route_stats_t *stats, uint64_t route_key)
{
    const route_stat_t *slot = &stats->slots[route_key % ROUTE_STATS_SLOTS];
    return slot->route_key == route_key ? slot->median_ms : 0;
}

void
route_stats_count_answer(route_stats_t *stats, uint64_t route_key, double latency_ms)
{
    const double measured_ms = latency_measured_ms(latency_ms);
    double *median = &get_slot(stats, route_key)->median_ms;
    if (*median == 0)
        *median = measured_ms;
    else
        *median *= measured_ms > *median ? 1 + MEDIAN_STEP : 1 - MEDIAN_STEP;
}

double
route_stats_work_ms(const route_stats_t *stats, uint64_t route_key)
{
    const route_stat_t *slot = &stats->slots[route_key % ROUTE_STATS_SLOTS];
    return slot->route_key == route_key ? slot->work_ms : 0;
}

void
route_stats_count_work(route_stats_t *stats, uint64_t route_key, double latency_ms, double slowdown)
{
    const double work_ms = latency_measured_ms(latency_ms) / (slowdown > 0 ? slowdown : 1);
    double *average = &get_slot(stats, route_key)->work_ms;
    if (*average == 0)
        *average = work_ms;
    *average += WORK_GAIN * (work_ms - *average);
}

static double
shorter_ms(double a, double b)
{
    if (a == 0 || b == 0)
        return a + b;
    return a < b ? a : b;
}

/* Starts the period of `now_ms`, if it is another one. */
static void
advance_shortest(route_stat_t *slot, uint64_t now_ms)
{
    const uint64_t period = now_ms / SHORTEST_KEPT_MS;
    if (period == slot->period)
        return;
    const double last_ms = shorter_ms(slot->shortest_ms, slot->shortest_before_ms);
    if (last_ms > 0)
        slot->shortest_known_ms = last_ms;
    slot->shortest_before_ms = period == slot->period + 1 ? slot->shortest_ms : 0;
    slot->shortest_ms = 0;
    slot->period = period;
}

void
route_stats_count_run(route_stats_t *stats, uint64_t route_key, double latency_ms, uint64_t now_ms)
{
    route_stat_t *slot = get_slot(stats, route_key);
    advance_shortest(slot, now_ms);
    slot->shortest_ms = shorter_ms(slot->shortest_ms, latency_measured_ms(latency_ms));
}

double
route_stats_shortest_ms(const route_stats_t *stats, uint64_t route_key, uint64_t now_ms)
{
    route_stat_t slot = stats->slots[route_key % ROUTE_STATS_SLOTS];
    if (slot.route_key != route_key)
        return 0;
    advance_shortest(&slot, now_ms);
    const double shortest_ms = shorter_ms(slot.shortest_ms, slot.shortest_before_ms);
    return shortest_ms > 0 ? shortest_ms : slot.shortest_known_ms;
}

bool
route_stats_try_shorter(route_stats_t *stats, uint64_t route_key, uint64_t now_ms)
{
    route_stat_t *slot = get_slot(stats, route_key);
    advance_shortest(slot, now_ms);
    if (slot->shortest_ms > 0 || slot->shortest_before_ms > 0 || slot->tried_period == slot->period)
        return false;
    slot->tried_period = slot->period;
    return true;
}
