/* Running estimate of a high quantile of a request class's latency, used to time hedges. */
#pragma once

typedef struct {
    double ms; /* 0: unknown */
} latency_quantile_t;

void latency_quantile_add(latency_quantile_t *quantile, double ms);
