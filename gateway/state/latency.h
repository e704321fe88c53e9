/* Measured latencies: 0 stands for not measured, and the loop's clock counts whole milliseconds. */
#pragma once

#define LATENCY_MIN_MS 1.0

/* A measured latency in milliseconds, never 0. */
static inline double
latency_measured_ms(double latency_ms)
{
    return latency_ms > LATENCY_MIN_MS ? latency_ms : LATENCY_MIN_MS;
}
