#include "gateway/policy/slow_reader.h"

/* Part of what is left that one response may hold, as a divisor. */
enum { LEFT_DIVISOR = 8 };

size_t
slow_reader_allowance(size_t total)
{
    const size_t left = total < SLOW_READER_TOTAL_MAX ? SLOW_READER_TOTAL_MAX - total : 0;
    const size_t allowance = left / LEFT_DIVISOR;
    if (allowance < SLOW_READER_MIN)
        return SLOW_READER_MIN;
    return allowance < SLOW_READER_MAX ? allowance : SLOW_READER_MAX;
}
