#include "gateway/path/lateness.h"

#include "gateway/policy/response_time.h"

/* A run that takes longer than this multiple of the typical time counts as one without its object
 * in memory: it is nearer to that than to a typical one. */
#define COLD_OBJECT_FROM ((1 + RESPONSE_TIME_COLD_OBJECT) / 2)

/* Finds the cause within the last attempt. */
static late_cause_t
last_attempt_cause(const lateness_input_t *input)
{
    const double attempt_ms = (double)input->attempt_ms;
    if (input->cold)
        return LATE_COLD_BACKEND;
    if (input->queued)
        return LATE_QUEUED;
    if (input->slow_ms > 0 && input->attempt_ms > input->slow_ms && !input->slots_full)
        return LATE_SLOW_BACKEND;
    if (input->typical_ms > 0 && attempt_ms > COLD_OBJECT_FROM * input->typical_ms)
        return input->slots_full ? LATE_LOAD_UNKNOWN : LATE_COLD_OBJECT;
    return input->other_region ? LATE_OTHER_REGION : LATE_TYPICAL_LATENCY;
}

late_cause_t
lateness_cause(const lateness_input_t *input)
{
    if (input->objective_ms == 0 || input->elapsed_ms <= input->objective_ms)
        return LATE_NONE;
    if (input->elapsed_ms - input->attempt_ms > input->objective_ms / 2)
        return LATE_EARLIER_ATTEMPT;
    return last_attempt_cause(input);
}

const char *
late_cause_name(late_cause_t cause)
{
    static const char *const names[LATE_CAUSE_COUNT] = {
        [LATE_NONE] = "none",
        [LATE_EARLIER_ATTEMPT] = "earlier_attempt",
        [LATE_QUEUED] = "queued",
        [LATE_LOAD_UNKNOWN] = "load_unknown",
        [LATE_COLD_BACKEND] = "cold_backend",
        [LATE_SLOW_BACKEND] = "slow_backend",
        [LATE_COLD_OBJECT] = "cold_object",
        [LATE_OTHER_REGION] = "far",
        [LATE_TYPICAL_LATENCY] = "usual",
    };
    return names[cause];
}
