/*
 * Route statistics: the median latency of a route's responses, and how long its runs take.
 *
 * Owns a hash table of fixed size, indexed by the route's key. On a collision the route used last
 * replaces the other. slow.h and admission.h use the figures.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "gateway/state/shortest_run.h"

/* With 10,000 routes in turn, about the maximum of a configuration, three quarters keep their slot.
 * Unused pages take no memory. */
enum { ROUTE_STATS_SLOTS = 16384 };

typedef struct {
    uint64_t route_key; /* config_route_t.key */
    /* Estimated median latency of complete responses; 0 before the first. */
    double median_ms;
    /* Moving average of the time that a backend worked on a request, without queueing and at the
     * usual pace; 0 before the first. */
    double work_ms;
    shortest_run_t shortest;
} route_stat_t;

typedef struct {
    route_stat_t slots[ROUTE_STATS_SLOTS];
} route_stats_t;

/* Estimated median latency of the route's responses in milliseconds; 0 before the first. */
double route_stats_median_ms(const route_stats_t *stats, uint64_t route_key);
void route_stats_count_answer(route_stats_t *stats, uint64_t route_key, double latency_ms);
/* Estimated time in milliseconds that a request keeps a slot busy; 0 before the first response. */
double route_stats_work_ms(const route_stats_t *stats, uint64_t route_key);
/* Counts a response that did not queue; `slowdown` is the factor by which its backend was slower
 * than usual, 0 if not known. */
void route_stats_count_work(route_stats_t *stats, uint64_t route_key, double latency_ms,
                            double slowdown);
/* Counts a complete response for the shortest run. */
void route_stats_count_run(route_stats_t *stats, uint64_t route_key, double latency_ms,
                           uint64_t now_ms);
/* Shortest run of the route in milliseconds; 0 before the first response. */
double route_stats_shortest_ms(const route_stats_t *stats, uint64_t route_key, uint64_t now_ms);
/* shortest_run_may_test() of the route. */
bool route_stats_may_test_run(route_stats_t *stats, uint64_t route_key, uint64_t now_ms);
