/*
 * Admission control: whether a backend server takes a request now, after queueing, or not at all.
 *
 *  - A request whose caller gives up before even the shortest run that was seen could end is
 *    refused at once, also while a slot is free: nothing that is sent for it can help its caller.
 *    While no run is seen, one such request now and then finds out whether that still holds
 *    (state/shortest_run.h).
 *  - Any other request is admitted while a slot is free.
 *  - Without a free slot it queues if its response is expected before its caller gives up. A caller
 *    with more time may wait for longer; how long a queue may be follows from nothing else here.
 *    The backend server bounds it as well: it rejects what is more than it queues.
 *
 * Load it answers: more requests at a backend server than it has slots. A queue that is longer than
 * a caller's time only keeps slots busy for responses that nobody reads.
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
    uint32_t left_ms;   /* time until the caller gives up */
    double median_ms;   /* median response time of the route; 0: not known */
    double shortest_ms; /* shortest run of the route seen lately; 0: not known */
    bool lacks_object;  /* the backend does not have its object in memory */
} admission_request_t;

typedef struct {
    double load;          /* requests running and queued, from all instances */
    double slots;         /* requests that run concurrently */
    double work_ms;       /* usual service time without queueing; 0: not known */
    double queue_work_ms; /* mean run of the service's requests; 0: not known */
} admission_backend_t;

/* True if the response is expected before the caller gives up, after the queue. */
bool admission_is_in_time(const admission_request_t *request, const admission_backend_t *backend);
/* False if the caller gives up before the shortest known run could end. */
bool admission_has_time(const admission_request_t *request);
admission_t admission_decide(const admission_request_t *request,
                             const admission_backend_t *backend);
