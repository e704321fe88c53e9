/*
 * Admission control: whether a backend server takes a request now, after queueing, or not at all.
 *
 *  - A request is admitted while a slot is free.
 *  - Without a free slot it queues if its response is expected within the latency objective and the
 *    backend would have at most 2 requests per slot.
 *  - A request that was refused before and can't meet its objective any more queues only for a slot
 *    that is about to be free (1.2 requests per slot), and only if its response is expected before
 *    the caller gives up.
 *  - A retry after a refusal, at the promised time (return_time.h), queues up to 2 requests per
 *    slot if its response is expected before the caller gives up. The objective does not bound it:
 *    where new requests are refused because of their objective, it is served.
 *
 * A queue longer than the objective makes every request in it late. Refused at once, some callers
 * can retry while the others are served in time. Retried requests queue for less than new ones so
 * that they do not make these late as well.
 *
 * See docs/design/gateway/decisions-under-load.md. Stateless.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    ADMIT_NOW,        /* a slot is free */
    ADMIT_AFTER_WAIT, /* it queues and is expected to be answered in time */
    ADMIT_NOT,
} admission_t;

typedef struct {
    uint32_t objective_ms; /* latency objective of the route; 0: none */
    double median_ms;      /* median response time of the route; 0: not known */
    uint32_t left_ms;      /* time until the caller gives up */
    double lost_ms;        /* time lost by earlier refusals */
    bool expected;         /* a retry after a refusal, at the promised time */
} admission_request_t;

typedef struct {
    double load;          /* requests running and queued, from all instances */
    double slots;         /* requests that run concurrently */
    double work_ms;       /* usual service time without queueing; 0: not known */
    double queue_work_ms; /* mean run of the requests ahead; 0: as the request's own */
} admission_backend_t;

admission_t admission_decide(const admission_request_t *request,
                             const admission_backend_t *backend);
