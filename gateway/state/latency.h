/* Measured latencies. The loop's clock counts whole milliseconds, and 0 stands for "not
 * measured". */
#pragma once

#define LATENCY_MIN_MS 1.0

/* A measured latency in milliseconds, at least LATENCY_MIN_MS. */
static inline double
latency_measured_ms(double latency_ms)
{
    return latency_ms > LATENCY_MIN_MS ? latency_ms : LATENCY_MIN_MS;
}
