/*
 * Admission: whether a backend server takes a request now, after a wait, or not at all.
 *
 * Decides: for one request and one backend, ADMIT_NOW, ADMIT_AFTER_WAIT or ADMIT_NOT. choice.c
 * asks it for the backends that come into question, in their order.
 * Inputs: the backend's load and slots (requests), its usual working time (ms), the route's latency
 * objective and the median time of its answers (ms), the time the caller has left and what it has
 * lost by earlier refusals (ms).
 * Rule:
 *  - Room: a request is admitted while a slot is free.
 *  - Wait: without a free slot it may queue if its answer is expected within the objective, and the
 *    backend would have at most 2 requests a slot.
 *  - Late: a request that cannot be in time any more, since its caller has been refused before,
 *    queues only for a slot that is about to be free (1.2 requests a slot), and only if its answer
 *    is expected before the caller leaves.
 * Reason: what a queue holds beyond the objective is late without exception; refused at once, its
 * callers can come back, and the others are in time. Callers that had come back used to queue for
 * longer than those in time: once some were refused, everybody was, and was served late.
 * Measured: docs/design/gateway/decisions-under-load.md.
 *
 * Pure: no state, no clock.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    ADMIT_NOW,        /* a slot is free for it */
    ADMIT_AFTER_WAIT, /* it queues at the backend and is expected to be answered in time */
    ADMIT_NOT,        /* neither */
} admission_t;

typedef struct {
    uint32_t objective_ms; /* the route's latency objective, 0 for none */
    double median_ms;      /* median time of the route's answers, 0 if not known */
    uint32_t left_ms;      /* time that the caller still waits */
    double lost_ms;        /* that it has lost by earlier refusals */
} admission_request_t;

typedef struct {
    double load;    /* requests running and queued there, from all instances */
    double slots;   /* requests it works on at once */
    double work_ms; /* usual time of an answer that did not queue; 0 if not known */
} admission_backend_t;

admission_t admission_decide(const admission_request_t *request,
                             const admission_backend_t *backend);
