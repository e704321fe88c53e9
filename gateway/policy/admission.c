#include "gateway/policy/admission.h"

/* The longest queue, in requests a slot. It bounds what a backend gets whose working time is not
 * known. 3.0 measured alike (docs/design/gateway/decisions-under-load.md, round 1). */
#define LOAD_MAX 2.0
/* The same for a request that is late already: a fifth of the slots is queued for. Measured in the
 * same round against no queue at all and against 2.0. */
#define LATE_LOAD_MAX 1.2
/* A caller that has lost this share of its whole time has come back after a refusal; less is the
 * spread of the callers' deadlines. Chosen, not measured. */
#define CAME_BACK_SHARE 0.1

/* True if the request came back after a refusal and so cannot be in time any more. */
static bool
is_retry_after_refusal(const admission_request_t *request)
{
    return request->lost_ms > CAME_BACK_SHARE * (request->left_ms + request->lost_ms);
}

/* Time until a slot is free for one more request, in working times. The first of the running
 * requests ends after half of the mean time between two ends. */
static double
queue_wait_factor(const admission_backend_t *backend)
{
    const double ahead = backend->load + 1 - backend->slots;
    return ahead > 0 ? (ahead - 0.5) / backend->slots : 0;
}

/* Time of a run that has its object in memory, as those that are ahead have. The backend's average
 * holds runs without it too: going by it alone refused 0.069 instead of 0.060 of the requests of
 * padana-ricambi (round 4). */
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
    const double expected_ms = service_time_ms(request, backend) * (1 + queue_wait_factor(backend));
    if (expected_ms > request->left_ms)
        return false;
    if (is_retry_after_refusal(request))
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
