/*
 * Lateness: classifies why a response missed the latency objective of its route.
 *
 * Reports the cause that contributed most, for the metric irisstall_late_total and the access
 * log; no decision depends on it. Times are measured at this instance, from the first byte of this
 * request: neither network time to the caller nor earlier requests of the caller are included.
 *
 * Pure functions without state or clock.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Written as the label `cause` of irisstall_late_total and as `late` in the log. */
typedef enum {
    LATE_NONE,            /* within the objective, or the route has none */
    LATE_EARLIER_ATTEMPT, /* an earlier attempt used up the time */
    LATE_QUEUED,          /* sent although all slots of its backend were in use */
    LATE_LOAD_UNKNOWN,    /* the response reported full slots that were not known at sending */
    LATE_COLD_BACKEND,    /* its backend was cold */
    LATE_SLOW_BACKEND,    /* slower than a run whose object is not cached */
    LATE_COLD_OBJECT,     /* much slower than typical: the object was not cached */
    LATE_OTHER_REGION,    /* its backend is in another region */
    LATE_TYPICAL_LATENCY, /* typical for its backend */
    LATE_CAUSE_COUNT,     /* number of values */
} late_cause_t;

typedef struct {
    uint32_t objective_ms; /* latency objective of the route, 0 if none */
    uint64_t elapsed_ms;   /* from the first byte of the request to its response */
    uint64_t attempt_ms;   /* from sending the last attempt to its response */
    double typical_ms;     /* typical time of the backend for a request that does not queue */
    uint32_t slow_ms;      /* from slow_after_ms(), 0 if unknown */
    bool queued;           /* all slots were known to be in use when it was sent */
    bool slots_full;       /* the response reported that all slots are in use */
    bool cold;             /* the backend is cold */
    bool other_region;     /* the backend is in another region */
} lateness_input_t;

late_cause_t lateness_cause(const lateness_input_t *input);
const char *late_cause_name(late_cause_t cause);
