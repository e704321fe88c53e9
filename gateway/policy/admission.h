/*
 * Admission: whether a backend server takes a request now, after a wait, or not at all.
 *
 * Decides: for one request and one backend, ADMIT_NOW, ADMIT_AFTER_WAIT or ADMIT_NOT. choice.c
 * asks it for the backends that come into question, in their order.
 * Inputs: the backend's load and slots (requests), its usual working time (ms), whether it is the
 * first choice for the request's object, the route's priority, and how long the request may wait.
 * Rule:
 *  - Room: the first choice takes requests up to all of its slots, less urgent ones up to 0.9 of
 *    them; a later choice takes them up to 0.6 only.
 *  - Wait: a request without room may queue at the backend if the backend would have at most 2
 *    requests a slot and the answer is expected within 0.8 of the route's latency objective.
 *  - Last chance: a caller with less time left than the route's callers usually have has come
 *    back after a refusal. It may queue up to 3 requests a slot and for 0.6 of the time it has
 *    left: late is better than refused again.
 * Reason: a request about an object runs 3.3 times as long on a backend that does not have the
 * object in memory, and takes slots from objects that are; under overload sending requests anywhere
 * with room collapses (tally-lakes scale-1: 0.035; with this rule 0.537, commit 93ef34f).
 *
 * Pure: no state, no clock.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum {
    ADMIT_NOW,        /* a slot is free for it */
    ADMIT_AFTER_WAIT, /* it queues at the backend and is expected to be answered in time */
    ADMIT_NOT,        /* neither */
} admission_t;

/* How long a request may queue. */
typedef struct {
    uint32_t wait_ms; /* until the expected answer */
    double load_max;  /* requests a slot that the backend may have, this one included */
} wait_limits_t;

typedef struct {
    bool has_object; /* about an object that backends keep in memory */
    int priority;    /* of its route; 0 is the most urgent */
    wait_limits_t wait;
} admission_request_t;

typedef struct {
    double load;    /* requests running and queued there, from all instances */
    double slots;   /* requests it works on at once */
    double work_ms; /* usual time of an answer that did not queue; 0 if not known */
    size_t rank;    /* position in the request's order of backends; 0 is the first choice */
} admission_backend_t;

/* `aim_ms` is the route's latency objective, `left_ms` the time this caller still waits,
 * `lost_ms` what it has lost by earlier refusals. */
wait_limits_t admission_wait_limits(uint32_t aim_ms, uint32_t left_ms, double lost_ms);
admission_t admission_decide(const admission_request_t *request,
                             const admission_backend_t *backend);
