#include "gateway/path/lateness.h"

/* Times the usual time above which a run counts as one without the object in memory: between the 1
 * of a run with it and the 3.3 of one without it on the users' sites. Chosen, not measured. */
#define COLD_OBJECT_TIMES 1.8

/* The cause that lies in the last attempt. */
static late_cause_t
cause_of_attempt(const lateness_input_t *input)
{
    const double attempt_ms = (double)input->attempt_ms;
    if (input->cold)
        return LATE_COLD_BACKEND;
    if (input->queued)
        return LATE_QUEUED;
    if (input->slow_ms > 0 && input->attempt_ms > input->slow_ms && !input->full)
        return LATE_SLOW_BACKEND;
    if (input->usual_ms > 0 && attempt_ms > COLD_OBJECT_TIMES * input->usual_ms)
        return input->full ? LATE_LOAD_UNKNOWN : LATE_COLD_OBJECT;
    return input->other_region ? LATE_FAR : LATE_USUAL;
}

late_cause_t
lateness_cause(const lateness_input_t *input)
{
    const double elapsed_ms = (double)input->elapsed_ms;
    if (input->aim_ms == 0 || elapsed_ms + input->lost_ms <= input->aim_ms)
        return LATE_NOT;
    if (input->lost_ms > input->aim_ms / 2.0)
        return LATE_REFUSED_BEFORE;
    if (input->elapsed_ms - input->attempt_ms > input->aim_ms / 2)
        return LATE_EARLIER_ATTEMPT;
    return cause_of_attempt(input);
}

const char *
late_cause_name(late_cause_t cause)
{
    static const char *const names[LATE_CAUSE_COUNT] = {
        [LATE_NOT] = "none",
        [LATE_REFUSED_BEFORE] = "refused_before",
        [LATE_EARLIER_ATTEMPT] = "earlier_attempt",
        [LATE_QUEUED] = "queued",
        [LATE_LOAD_UNKNOWN] = "load_unknown",
        [LATE_COLD_BACKEND] = "cold_backend",
        [LATE_SLOW_BACKEND] = "slow_backend",
        [LATE_COLD_OBJECT] = "cold_object",
        [LATE_FAR] = "far",
        [LATE_USUAL] = "usual",
    };
    return names[cause];
}
