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

void
route_stats_count_run(route_stats_t *stats, uint64_t route_key, double latency_ms, uint64_t now_ms)
{
    shortest_run_count(&get_slot(stats, route_key)->shortest, latency_ms, now_ms);
}

double
route_stats_shortest_ms(const route_stats_t *stats, uint64_t route_key, uint64_t now_ms)
{
    const route_stat_t *slot = &stats->slots[route_key % ROUTE_STATS_SLOTS];
    return slot->route_key == route_key ? shortest_run_ms(&slot->shortest, now_ms) : 0;
}

bool
route_stats_may_test_run(route_stats_t *stats, uint64_t route_key, uint64_t now_ms)
{
    return shortest_run_may_test(&get_slot(stats, route_key)->shortest, now_ms);
}
