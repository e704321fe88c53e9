#include "gateway/policy/region_backlog.h"

#include <math.h>

#define WAIT_MAX_MS 4000.0
/* Longest time in milliseconds that one update accounts for. */
#define STEP_MAX_MS 1000.0

void
region_backlog_update(region_backlog_t *backlog, const double *offered, const double *slots,
                      size_t count, uint64_t now_ms)
{
    const double passed_ms = fmin((double)(now_ms - backlog->updated_ms), STEP_MAX_MS);
    backlog->updated_ms = now_ms;
    for (size_t i = 0; i < count; i++) {
        double *wait_ms = &backlog->wait_ms[i];
        if (slots[i] > 0)
            *wait_ms += (offered[i] / slots[i] - 1) * passed_ms;
        else
            *wait_ms = 0; /* no queue in which a request could wait */
        *wait_ms = fmax(0, fmin(*wait_ms, WAIT_MAX_MS));
    }
}

bool
region_backlog_is_full(const region_backlog_t *backlog, size_t region, double run_ms)
{
    return region < TOPOLOGY_REGIONS_MAX && backlog->wait_ms[region] > run_ms;
}
