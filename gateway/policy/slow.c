#include "gateway/policy/slow.h"

#include "gateway/policy/response_time.h"

/* Least retransmission timeout of TCP: a lost packet delays a response by it, and says nothing
 * about the backend server. */
enum { RETRANSMISSION_MS = 200 };

uint32_t
slow_after_ms(double median_ms)
{
    if (median_ms <= 0)
        return 0;
    return (uint32_t)response_time_run_ms(median_ms, 0) + RETRANSMISSION_MS;
}

bool
slow_counts_as_failure(const slow_input_t *input)
{
    if (input->slow_ms == 0 || input->queued || input->cold)
        return false;
    return input->elapsed_ms >= input->slow_ms;
}
