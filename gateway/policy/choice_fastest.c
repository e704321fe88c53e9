#include "gateway/policy/choice_fastest.h"

#include <math.h>

#include "gateway/policy/response_time.h"

/* Above this use of the slots at peak demand no further backend gets an object: its first run there
 * takes as long as three with the object in memory. */
#define COPY_MAX_USE 0.8

static response_way_t
way_to(const choice_input_t *input, const backend_t *backend)
{
    if (backend->region != input->own_region)
        return WAY_OTHER_REGION;
    return name_eq(&backend->info.hall, input->own_hall) ? WAY_OWN_HALL : WAY_OWN_REGION;
}

static response_candidate_t
response_candidate(const choice_input_t *input, const backend_t *backend, double in_memory)
{
    return (response_candidate_t){
        .work_ms = input->work_ms,
        .queue_work_ms = input->service_work_ms,
        .in_memory = in_memory,
        .slowdown = backend_slowdown(backend, input->now_ms),
        .load = backend_load(backend, input->now_ms),
        .slots = backend->info.capacity,
        .way = way_to(input, backend),
    };
}

static bool
is_in_time(const choice_input_t *input, double expected_ms)
{
    return expected_ms <= input->request.left_ms;
}

/* True if the request may load its object at this backend, which is not one of its replicas. */
static bool
may_open_copy(const choice_input_t *input, const candidate_t *candidate)
{
    return region_plan_use(input->plan) < COPY_MAX_USE && !candidate->avoided &&
           !backend_is_cold(candidate->backend, input->now_ms);
}

/* Returns the expected response time at a candidate, or infinity if it is not to get the request.
 * The object is in memory at the first `kept` candidates. `pace_needed`: another candidate is known
 * to be slow, and only one with a known slowdown is better than that. */
static double
expected_ms(const choice_input_t *input, const candidate_t *candidates, size_t kept, size_t index,
            bool pace_needed)
{
    if (pace_needed && backend_slowdown(candidates[index].backend, input->now_ms) == 0)
        return INFINITY;
    if (index >= kept && !may_open_copy(input, &candidates[index]))
        return INFINITY;
    const double in_memory = index < kept ? 1 : response_time_copy_in_memory(input->object_per_s);
    const response_candidate_t candidate =
        response_candidate(input, candidates[index].backend, in_memory);
    const double ms = response_time_ms(&candidate);
    return is_in_time(input, ms) ? ms : INFINITY;
}

size_t
choice_put_fastest_first(const choice_input_t *input, candidate_t *replicas, size_t kept,
                         size_t found, bool *moved)
{
    if (kept == 0 || input->work_ms <= 0)
        return kept;
    const response_candidate_t first = response_candidate(input, replicas[0].backend, 1);
    if (!response_time_is_slow_or_full(&first))
        return kept;
    const double first_ms = response_time_ms(&first);
    const bool is_full = first.load + 1 > first.slots;
    double least_ms = INFINITY;
    size_t least = 0;
    for (size_t i = 1; i < found && i <= kept; i++) {
        const double ms = expected_ms(input, replicas, kept, i, !is_full);
        if (ms >= least_ms || !response_time_is_lower(ms, first_ms))
            continue;
        least_ms = ms;
        least = i;
    }
    if (least == 0)
        return kept;
    const candidate_t fastest = replicas[least];
    for (size_t i = least; i > 0; i--)
        replicas[i] = replicas[i - 1];
    replicas[0] = fastest;
    *moved = true;
    return least < kept ? kept : kept + 1;
}
