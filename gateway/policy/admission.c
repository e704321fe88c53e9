#include "gateway/policy/admission.h"

#include "gateway/policy/return_time.h"

/* Longest queue, in requests per slot. Bounds the load of a backend whose service time is not
 * known. 3.0 measured alike (docs/design/gateway/decisions-under-load.md, round 1). */
#define LOAD_MAX 2.0
/* The same for a request that is already late: a fifth of the slots may be queued for. Compared in
 * the same round with no queue at all and with 2.0. */
#define LATE_LOAD_MAX 1.2

/* Time until a slot is free for one more request, in service times. The first running request ends
 * after half of the mean time between two completions. */
static double
queue_wait_factor(const admission_backend_t *backend)
{
    const double ahead = backend->load + 1 - backend->slots;
    return ahead > 0 ? (ahead - 0.5) / backend->slots : 0;
}

/* Service time of the requests ahead. The route's median stands for requests with the object in
 * memory; the backend's average also includes slower ones without it. Going by the average alone
 * refused 0.069 instead of 0.060 of the requests of an enlarged deployment (round 4). */
static double
service_time_ms(const admission_request_t *request, const admission_backend_t *backend)
{
    const bool shorter = request->median_ms > 0 && request->median_ms < backend->work_ms;
    return shorter ? request->median_ms : backend->work_ms;
}

static bool
may_queue(const admission_request_t *request, const admission_backend_t *backend)
{
    const double load = (backend->load + 1) / backend->slots;
    const double own_ms = service_time_ms(request, backend);
    const double ahead_ms = backend->queue_work_ms > 0 ? backend->queue_work_ms : own_ms;
    const double expected_ms = own_ms + ahead_ms * queue_wait_factor(backend);
    if (expected_ms > request->left_ms)
        return false;
    if (request->expected)
        return load <= LOAD_MAX;
    if (return_time_is_retry(request->left_ms, request->lost_ms))
        return load <= LATE_LOAD_MAX;
    return load <= LOAD_MAX && (request->objective_ms == 0 || expected_ms <= request->objective_ms);
}

admission_t
admission_decide(const admission_request_t *request, const admission_backend_t *backend)
{
    if (backend->load + 1 <= backend->slots)
        return ADMIT_NOW;
    return may_queue(request, backend) ? ADMIT_AFTER_WAIT : ADMIT_NOT;
}
