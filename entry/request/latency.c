#include "entry/request/latency.h"

/* The estimated quantile and the step per sample, as a fraction of the estimate. */
#define QUANTILE 0.95
#define STEP_FRACTION 0.05

/* Stochastic approximation: steps up by q or down by 1 - q, scaled by the estimate. */
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
