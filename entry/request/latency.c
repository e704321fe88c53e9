#include "entry/request/latency.h"

/* The quantile that is estimated, and the part of the estimate that one latency moves it by.
 * Chosen, not measured. */
#define QUANTILE 0.95
#define STEP_FRACTION 0.05

/* Stochastic approximation: up by q, down by 1 - q, in proportion to the estimate itself. */
void
latency_quantile_add(latency_quantile_t *quantile, double ms)
{
    if (quantile->ms <= 0) {
        quantile->ms = ms * 2;
        return;
    }
    const double step = quantile->ms * STEP_FRACTION;
    quantile->ms += ms > quantile->ms ? step * QUANTILE : -step * (1 - QUANTILE);
}
