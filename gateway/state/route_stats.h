/*
 * What was measured of each route: the median time of its answers and how long its callers wait.
 *
 * Owns a table of fixed size, indexed by a hash of the route: of two routes with the same slot the
 * one used last is kept. Relies on nothing; slow.h and admission.h use the figures.
 */
#pragma once

#include <stdint.h>

/* Of 10,000 routes that are used in turn, about as many as a configuration can hold, three quarters
 * keep their slot (computed). Slots that are not used take no memory but by the page. */
enum { ROUTE_STATS_SLOTS = 16384 };

typedef struct {
    uint64_t route_key; /* config_route_t.key */
    /* Moving average of the time that callers still wait, 0 before the first. */
    double average_left_ms;
    /* Estimated median time of whole answers, 0 before the first. */
    double median_ms;
} route_stat_t;

typedef struct {
    route_stat_t slots[ROUTE_STATS_SLOTS];
} route_stats_t;

/* Estimated median time of the route's answers in milliseconds, 0 before the first. */
double route_stats_median_ms(const route_stats_t *stats, uint64_t route_key);
void route_stats_count_answer(route_stats_t *stats, uint64_t route_key, double latency_ms);
/* Counts a caller that still waits for `left_ms`; returns the average in milliseconds. */
double route_stats_count_caller(route_stats_t *stats, uint64_t route_key, uint32_t left_ms);
