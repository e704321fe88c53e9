/*
 * Counters, gauges and latency histograms of one process, and their text exposition.
 *
 * Metrics register themselves on first use and live as long as the process. Names follow the
 * usual text exposition format; `labels` is the ready-made label list without braces, or NULL.
 * Owns all metrics of the process; relies on nothing.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

typedef struct counter counter_t;
typedef struct histogram histogram_t;

counter_t *counter_get(const char *name, const char *labels, const char *help);
void counter_add(counter_t *counter, uint64_t n);
/* For gauges, which may go down. */
void counter_set(counter_t *counter, int64_t value);
int64_t counter_value(const counter_t *counter);

/* Durations in microseconds; log-linear buckets with at most 1/16 relative error. */
histogram_t *histogram_get(const char *name, const char *labels, const char *help);
histogram_t *histogram_new(void);
void histogram_free(histogram_t *histogram);
void histogram_record(histogram_t *histogram, uint64_t us);
uint64_t histogram_count(const histogram_t *histogram);
/* Upper bound of the bucket that holds the quantile `q` (0..1), in microseconds. */
uint64_t histogram_quantile(const histogram_t *histogram, double q);

/* The exposition of all registered metrics; free() the result. */
char *counter_expose(size_t *len);
