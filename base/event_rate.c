#include "base/event_rate.h"

#include <math.h>

#define MS_PER_S 1000.0

static double
count_now(const event_rate_t *rate, double tau_ms, uint64_t now_ms)
{
    const double elapsed_ms = now_ms > rate->updated_ms ? (double)(now_ms - rate->updated_ms) : 0;
    return rate->count * exp(-elapsed_ms / tau_ms);
}

void
event_rate_add(event_rate_t *rate, double events, double tau_ms, uint64_t now_ms)
{
    rate->count = count_now(rate, tau_ms, now_ms) + events;
    rate->updated_ms = now_ms > rate->updated_ms ? now_ms : rate->updated_ms;
}

double
event_rate_per_s(const event_rate_t *rate, double tau_ms, uint64_t now_ms)
{
    return fmax(0, count_now(rate, tau_ms, now_ms)) * MS_PER_S / tau_ms;
}
