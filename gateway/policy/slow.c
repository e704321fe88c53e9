#include "gateway/policy/slow.h"

/* In medians of the route; above the 3.3 of a run without the object in memory. */
#define SLOW_MEDIANS 3.9
/* In latency objectives of the route, before any response was seen. */
#define SLOW_OBJECTIVES 5

uint32_t
slow_after_ms(uint32_t objective_ms, double median_ms)
{
    const double slow_ms = SLOW_MEDIANS * median_ms;
    if (median_ms == 0)
        return SLOW_OBJECTIVES * objective_ms;
    return slow_ms > objective_ms ? (uint32_t)slow_ms : objective_ms;
}

bool
slow_counts_as_failure(const slow_input_t *input)
{
    if (input->slow_ms == 0 || input->queued || input->cold)
        return false;
    return input->elapsed_ms >= input->slow_ms;
}
