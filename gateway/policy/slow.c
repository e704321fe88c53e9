#include "gateway/policy/slow.h"

#include <math.h>

#include "gateway/policy/response_time.h"

/* Part by which an attempt must exceed a run without the object in memory. */
#define SLOW_MARGIN 0.2

/* Least retransmission timeout of TCP in milliseconds: a lost packet delays a response by it, and
 * says nothing about the backend server. */
#define RETRANSMISSION_MS 200

uint32_t
slow_after_ms(double median_ms)
{
    const double longest_ms = (1 + SLOW_MARGIN) * RESPONSE_TIME_COLD_OBJECT * median_ms;
    return median_ms > 0 ? (uint32_t)round(fmax(longest_ms, median_ms + RETRANSMISSION_MS)) : 0;
}

bool
slow_counts_as_failure(const slow_input_t *input)
{
    if (input->slow_ms == 0 || input->queued || input->cold)
        return false;
    return input->elapsed_ms >= input->slow_ms;
}
