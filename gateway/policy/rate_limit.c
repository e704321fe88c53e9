#include "gateway/policy/rate_limit.h"

#define RATE_SHARE 0.95
#define BURST_BASE 2.0
#define BURST_S 0.1
/* A bucket with less than one token would never grant a permit. */
#define BURST_MIN 1.0
#define PROBE_PER_S 0.1
#define MS_PER_S 1000.0

permit_rate_t
rate_limit_permits(double limit_per_s, size_t live, size_t known)
{
    const double part = 2 * live > known ? 1 : (double)live / (double)known;
    const double rate = RATE_SHARE * limit_per_s;
    const double burst = part * (BURST_BASE + BURST_S * limit_per_s);
    return (permit_rate_t){
        .per_s = part * (rate > PROBE_PER_S ? rate : PROBE_PER_S),
        .burst = burst > BURST_MIN ? burst : BURST_MIN,
    };
}

double
rate_limit_usable_slots(double limit_per_s, double slots, double response_ms)
{
    const double busy = limit_per_s * response_ms / MS_PER_S;
    return response_ms > 0 && busy < slots ? busy : slots;
}
