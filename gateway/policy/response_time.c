#include "gateway/policy/response_time.h"

#include <math.h>

/* Mean length of a slow moment in milliseconds; its end does not depend on its beginning. */
#define SLOW_MOMENT_MS 600.0
/* Slowdown from which a backend server counts as slow; the work of others makes small changes all
 * the time. */
#define SLOW_MIN 1.3
/* Margin within which estimates count as equal, as a share of the default candidate's. */
#define MARGIN 0.1
/* Assumed share of an object's requests that meet its first backend server slow or full. */
#define COPY_SHARE 0.1
/* Assumed time in seconds that an object stays in memory after its last request. */
#define COPY_KEPT_S 10.0

/* Assumed round trips in milliseconds. */
static const double way_ms[] = {
    [WAY_OWN_HALL] = 1,
    [WAY_OWN_REGION] = 5,
    [WAY_OTHER_REGION] = 70,
};

double
response_time_run_ms(double work_ms, double in_memory)
{
    return work_ms * (1 + (1 - in_memory) * (RESPONSE_TIME_COLD_OBJECT - 1));
}

/* Time until a slot is free; the first running request ends after half of the mean time between two
 * completions. */
static double
wait_ms(const response_candidate_t *candidate)
{
    const double ahead = candidate->load + 1 - candidate->slots;
    const double each_ms =
        candidate->queue_work_ms > 0 ? candidate->queue_work_ms : candidate->work_ms;
    return ahead > 0 ? fmax(ahead - 0.5, 0) / candidate->slots * each_ms : 0;
}

/* Time that `work_ms` of work takes from within a slow moment on. */
static double
slowed_ms(double work_ms, double slowdown)
{
    if (slowdown <= 1)
        return work_ms;
    const double slow_ms = SLOW_MOMENT_MS * (1 - exp(-slowdown * work_ms / SLOW_MOMENT_MS));
    return work_ms + (1 - 1 / slowdown) * slow_ms;
}

double
response_time_ms(const response_candidate_t *candidate)
{
    const double run_ms = response_time_run_ms(candidate->work_ms, candidate->in_memory);
    return way_ms[candidate->way] + slowed_ms(run_ms + wait_ms(candidate), candidate->slowdown);
}

bool
response_time_is_lower(double ms, double default_ms)
{
    return ms < (1 - MARGIN) * default_ms;
}

bool
response_time_is_slow_or_full(const response_candidate_t *candidate)
{
    return candidate->slowdown >= SLOW_MIN || candidate->load + 1 > candidate->slots;
}

double
response_time_copy_in_memory(double object_per_s)
{
    return 1 - exp(-object_per_s * COPY_SHARE * COPY_KEPT_S);
}
