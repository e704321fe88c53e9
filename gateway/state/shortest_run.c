#include "gateway/state/shortest_run.h"

#include "gateway/state/latency.h"

/* The shorter of two runs, 0 standing for none. */
static double
shorter_ms(double a, double b)
{
    if (a == 0 || b == 0)
        return a + b;
    return a < b ? a : b;
}

static double
recent_ms(const shortest_run_t *run)
{
    return shorter_ms(run->current_ms, run->previous_ms);
}

/* Starts the period of `now_ms`, if it is another one. */
static void
advance(shortest_run_t *run, uint64_t now_ms)
{
    const uint64_t period = now_ms / SHORTEST_RUN_PERIOD_MS;
    if (period == run->period)
        return;
    if (recent_ms(run) > 0)
        run->older_ms = recent_ms(run);
    run->previous_ms = period == run->period + 1 ? run->current_ms : 0;
    run->current_ms = 0;
    run->period = period;
}

void
shortest_run_count(shortest_run_t *run, double latency_ms, uint64_t now_ms)
{
    advance(run, now_ms);
    run->current_ms = shorter_ms(run->current_ms, latency_measured_ms(latency_ms));
}

double
shortest_run_ms(const shortest_run_t *run, uint64_t now_ms)
{
    shortest_run_t now = *run;
    advance(&now, now_ms);
    return recent_ms(&now) > 0 ? recent_ms(&now) : now.older_ms;
}

bool
shortest_run_may_test(shortest_run_t *run, uint64_t now_ms)
{
    advance(run, now_ms);
    if (recent_ms(run) > 0 || run->tested_period == run->period)
        return false;
    run->tested_period = run->period;
    return true;
}
