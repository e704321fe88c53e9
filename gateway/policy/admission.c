#include "gateway/policy/admission.h"

#include "gateway/policy/response_time.h"

/* Time until a slot is free for one more request, in service times. The first running request ends
 * after half of the mean time between two completions. */
static double
queue_wait_factor(const admission_backend_t *backend)
{
    const double ahead = backend->load + 1 - backend->slots;
    return ahead > 0 ? (ahead - 0.5) / backend->slots : 0;
}

/* Run of the request, 0 if nothing is known. The route's median stands for runs with the object in
 * memory; the backend's average also includes slower ones without it, and other routes. */
static double
own_run_ms(const admission_request_t *request, const admission_backend_t *backend)
{
    const bool use_median =
        request->median_ms > 0 && (backend->work_ms <= 0 || request->median_ms < backend->work_ms);
    const double usual_ms = use_median ? request->median_ms : backend->work_ms;
    return response_time_run_ms(usual_ms, request->lacks_object ? 0 : 1);
}

/* Run of a request that is ahead: the mean, as the wait is that for all of their work. */
static double
run_ahead_ms(const admission_backend_t *backend, double own_ms)
{
    if (backend->queue_work_ms > 0)
        return backend->queue_work_ms;
    return backend->work_ms > 0 ? backend->work_ms : own_ms;
}

bool
admission_is_in_time(const admission_request_t *request, const admission_backend_t *backend)
{
    const double own_ms = own_run_ms(request, backend);
    return own_ms + run_ahead_ms(backend, own_ms) * queue_wait_factor(backend) <= request->left_ms;
}

bool
admission_has_time(const admission_request_t *request)
{
    return request->shortest_ms <= request->left_ms;
}

admission_t
admission_decide(const admission_request_t *request, const admission_backend_t *backend)
{
    if (!admission_has_time(request))
        return ADMIT_NOT;
    if (backend->load + 1 <= backend->slots)
        return ADMIT_NOW;
    return admission_is_in_time(request, backend) ? ADMIT_AFTER_WAIT : ADMIT_NOT;
}
