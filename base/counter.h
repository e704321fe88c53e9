/*
 * Process-wide counters, gauges and latency histograms and their text exposition.
 *
 * A metric is registered on first use and never freed. `labels` is the formatted label list without
 * braces, or NULL.
 */
#pragma once

#include <stddef.h>
#include <stdint.h>

typedef struct counter counter_t;
typedef struct histogram histogram_t;

counter_t *counter_get(const char *name, const char *labels, const char *help);
void counter_add(counter_t *counter, uint64_t n);
/* For gauges. */
void counter_set(counter_t *counter, int64_t value);
int64_t counter_value(const counter_t *counter);

/* Durations in microseconds; log-linear buckets with a relative error of at most 1/16. */
histogram_t *histogram_get(const char *name, const char *labels, const char *help);
histogram_t *histogram_new(void);
void histogram_free(histogram_t *histogram);
void histogram_record(histogram_t *histogram, uint64_t us);
uint64_t histogram_count(const histogram_t *histogram);
/* Returns the upper bound of the bucket with quantile `q` (0..1), in microseconds. */
uint64_t histogram_quantile(const histogram_t *histogram, double q);

/* Formats all registered metrics; free() the result. */
char *counter_expose(size_t *len);
