#include "gateway/policy/admission.h"

/* Share of its slots that a backend keeps free for urgent requests. Chosen, not measured. */
#define RESERVED_SHARE 0.1
/* Share of its slots up to which a backend takes requests for which it is a later choice: they run
 * longer there, and its own objects come first. Measured: tally-lakes scale-1 0.537 to 0.599,
 * padana-ricambi scale-1 0.063 to 0.314 (commit ea47030). */
#define LATER_SHARE 0.6
/* Priorities above this are not urgent. */
#define URGENT_PRIORITY 1

/* The longest queue in requests a slot, and the longest wait as a share of the latency objective.
 * Bounding the queue alone, at 1.6 to 2.2, was ruled out by trial (commit 93ef34f). */
#define LOAD_MAX 2.0
#define AIM_SHARE 0.8
/* The same for a caller that has come back; the wait is a share of the time it has left. Measured
 * together with the mass loss grace: padana-ricambi trouble-1 0.567 to 0.581 (commit ce9d245). */
#define LAST_CHANCE_LOAD_MAX 3.0
#define LAST_CHANCE_LEFT_SHARE 0.6
/* A caller with less than this share of its route's usual time left has come back after a refusal.
 * Chosen, not measured. */
#define LAST_CHANCE_BELOW 0.9

wait_limits_t
admission_wait_limits(uint32_t aim_ms, uint32_t left_ms, double lost_ms)
{
    const bool last_chance = left_ms < LAST_CHANCE_BELOW * (left_ms + lost_ms);
    if (last_chance) {
        return (wait_limits_t){
            .wait_ms = (uint32_t)(LAST_CHANCE_LEFT_SHARE * left_ms),
            .load_max = LAST_CHANCE_LOAD_MAX,
        };
    }
    return (wait_limits_t){
        .wait_ms = (uint32_t)(AIM_SHARE * aim_ms),
        .load_max = LOAD_MAX,
    };
}

static bool
has_room(const admission_request_t *request, const admission_backend_t *backend)
{
    double usable = backend->slots;
    if (backend->rank > 0 && request->has_object)
        usable = LATER_SHARE * backend->slots;
    else if (request->priority > URGENT_PRIORITY)
        usable = (1 - RESERVED_SHARE) * backend->slots;
    return backend->load + 1 <= usable;
}

/* True if the answer is expected in time although the request has to queue. */
static bool
may_wait(const admission_request_t *request, const admission_backend_t *backend)
{
    const double load = (backend->load + 1) / backend->slots;
    const double expected_ms = backend->work_ms * (load > 1 ? load : 1);
    return load <= request->wait.load_max && expected_ms <= request->wait.wait_ms;
}

admission_t
admission_decide(const admission_request_t *request, const admission_backend_t *backend)
{
    if (has_room(request, backend))
        return ADMIT_NOW;
    return may_wait(request, backend) ? ADMIT_AFTER_WAIT : ADMIT_NOT;
}
