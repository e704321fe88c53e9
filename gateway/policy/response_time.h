/*
 * Response time: when a response is to be expected from a backend server.
 *
 * Compares candidates on load that is uneven: a run without its object in memory, a backend server
 * that is slowed by others on its machine, a queue, the way there. The estimate is in milliseconds:
 *
 *     way + slowed(run + wait)
 *
 *  - The run takes `work_ms` with the object in memory and RESPONSE_TIME_COLD_OBJECT times as long
 *    without it, by the probability `in_memory`.
 *  - The wait is that of admission.h: the work ahead of the request, over all slots. Requests ahead
 *    take `queue_work_ms` each.
 *  - A slow moment lasts about 600 ms, however long it has lasted already, so only the beginning of
 *    a long run is slowed: by a moment of the mean length L, work W takes
 *    W + (1 - 1/s) * L * (1 - exp(-s * W / L)) at the factor s, not s * W.
 *
 * Assumed where nothing is known: the usual pace, no requests of other instances, no object in
 * memory.
 *
 * An estimate lower by less than a tenth is no reason to leave the candidate that all instances
 * rank first: the figures are means over routes, and another copy of the object costs a run.
 *
 * See docs/design/gateway/response-time.md. Stateless.
 */
#pragma once

#include <stdbool.h>

/* Time of a run without the object in memory relative to one with it. */
#define RESPONSE_TIME_COLD_OBJECT 3.3

/* Where a candidate is, seen from this instance. */
typedef enum {
    WAY_OWN_HALL,
    WAY_OWN_REGION, /* another data hall of the own region */
    WAY_OTHER_REGION,
} response_way_t;

typedef struct {
    double work_ms;       /* run with the object in memory, at the usual pace; 0: not known */
    double queue_work_ms; /* mean run of all requests of the service; 0: not known */
    double in_memory;     /* probability that the object is in memory, 0 to 1 */
    double slowdown;      /* factor on runs at this moment; 0: not known */
    double load;          /* requests running and queued */
    double slots;         /* requests that run concurrently */
    response_way_t way;
} response_candidate_t;

/* Returns the expected run in milliseconds, `work_ms` with the object in memory; `in_memory` is the
 * probability that it is. */
double response_time_run_ms(double work_ms, double in_memory);
/* Returns the expected time until the response in milliseconds. */
double response_time_ms(const response_candidate_t *candidate);
/* True if `ms` is lower than the estimate of the default candidate by more than the margin. */
bool response_time_is_lower(double ms, double default_ms);
/* True if the candidate is known to be slow at this moment, or all of its slots are taken. */
bool response_time_is_slow_or_full(const response_candidate_t *candidate);
/* Probability that a backend server which serves an object only while its first one is slow or full
 * has the object in memory; `object_per_s` are the requests about it per second in the region. */
double response_time_copy_in_memory(double object_per_s);
