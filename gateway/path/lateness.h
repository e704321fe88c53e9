/*
 * Lateness: why a request was answered later than its route's latency objective.
 *
 * Names the cause that took most of the time, for the metric irisstall_late_total and the log; no
 * decision depends on it. Times are those seen at this instance: the way to the caller is not in
 * them, but the time that a caller lost with an earlier refusal is.
 *
 * Pure: no state, no clock.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/* The label `cause` of irisstall_late_total, and `late` in the log. */
typedef enum {
    LATE_NONE,            /* answered within the objective, or the route has none */
    LATE_PRIOR_REFUSAL,   /* the caller had been refused and came back */
    LATE_EARLIER_ATTEMPT, /* another attempt had taken the time */
    LATE_QUEUED,          /* it was sent although all slots of its backend were taken */
    LATE_LOAD_UNKNOWN,    /* all slots were taken when it was answered, not when it was sent */
    LATE_COLD_BACKEND,    /* its backend was cold */
    LATE_SLOW_BACKEND,    /* its backend was slower than a run without the object in memory */
    LATE_COLD_OBJECT,     /* the run took far longer than usual: the object was not in memory */
    LATE_OTHER_REGION,    /* its backend is in another region */
    LATE_TYPICAL_LATENCY, /* its backend usually takes as long */
    LATE_CAUSE_COUNT,     /* not a cause */
} late_cause_t;

typedef struct {
    uint32_t objective_ms; /* the route's latency objective, 0 for none */
    uint64_t elapsed_ms;   /* from the request's first byte to its answer */
    uint64_t attempt_ms;   /* from the sending of the last attempt to its answer */
    double prior_wait_ms;  /* that the caller had lost before it sent this request */
    double typical_ms;     /* that the backend takes for a request that does not queue */
    uint32_t slow_ms;      /* from slow_after_ms(), 0 if not known */
    bool queued;           /* all slots were known to be taken when it was sent */
    bool slots_full;       /* the backend's answer told that all slots were taken */
    bool cold;             /* the backend is cold */
    bool other_region;     /* the backend is in another region */
} lateness_input_t;

late_cause_t lateness_cause(const lateness_input_t *input);
const char *late_cause_name(late_cause_t cause);
