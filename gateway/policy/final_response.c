#include "gateway/policy/final_response.h"

#include <http_parser.h>

/* Earliest time at which the reason for the refusal may be gone, in milliseconds from now. */
static uint64_t
earliest_ms(outcome_t outcome, const retry_after_input_t *input)
{
    switch (outcome) {
    case OUTCOME_NO_CONFIGURATION:
        return input->reads_in_ms + input->heartbeat_ms;
    case OUTCOME_NO_BACKEND:
    case OUTCOME_ALL_SKIPPED:
        return input->available_in_ms > 0 ? input->available_in_ms : input->heartbeat_ms;
    default:
        return input->heartbeat_ms;
    }
}

static uint32_t
retry_after_ms(outcome_t outcome, const retry_after_input_t *input)
{
    const uint64_t spread_ms = (uint64_t)(input->point * input->heartbeat_ms);
    const uint64_t after_ms = earliest_ms(outcome, input) + spread_ms;
    return after_ms < UINT32_MAX ? (uint32_t)after_ms : UINT32_MAX;
}

outcome_t
final_response_no_route(bool newer_known)
{
    return newer_known ? OUTCOME_CONFIGURATION_STALE : OUTCOME_NO_ROUTE;
}

final_response_t
final_response(outcome_t why, bool may_have_run, const retry_after_input_t *input)
{
    const outcome_t outcome = why == OUTCOME_TIMEOUT ? OUTCOME_TIMEOUT_UNSENT : why;
    if (why == OUTCOME_NO_ROUTE)
        return (final_response_t){HTTP_STATUS_NOT_FOUND, 0, why};
    if (why == OUTCOME_DENIED)
        return (final_response_t){HTTP_STATUS_UNAUTHORIZED, 0, why};
    if (why == OUTCOME_TIMEOUT && may_have_run)
        return (final_response_t){HTTP_STATUS_GATEWAY_TIMEOUT, 0, why};
    if (may_have_run)
        return (final_response_t){HTTP_STATUS_BAD_GATEWAY, 0, OUTCOME_UNKNOWN};
    return (final_response_t){HTTP_STATUS_SERVICE_UNAVAILABLE, retry_after_ms(outcome, input),
                              outcome};
}

final_response_t
final_response_over_limit(uint32_t retry_after_ms)
{
    return (final_response_t){HTTP_STATUS_TOO_MANY_REQUESTS, retry_after_ms, OUTCOME_OVER_LIMIT};
}

final_response_t
final_response_no_room(outcome_t why, uint32_t retry_after_ms)
{
    return (final_response_t){HTTP_STATUS_SERVICE_UNAVAILABLE, retry_after_ms, why};
}

final_response_t
final_response_held(uint64_t held_ms, const retry_after_input_t *input, bool has_backend)
{
    const uint32_t held = held_ms < UINT32_MAX ? (uint32_t)held_ms : UINT32_MAX;
    if (has_backend)
        return (final_response_t){HTTP_STATUS_SERVICE_UNAVAILABLE, held, OUTCOME_QUARANTINED};
    const uint32_t outage = retry_after_ms(OUTCOME_NO_BACKEND, input);
    return (final_response_t){HTTP_STATUS_SERVICE_UNAVAILABLE, held > outage ? held : outage,
                              OUTCOME_NO_BACKEND};
}

const char *
outcome_name(outcome_t outcome)
{
    static const char *const names[OUTCOME_COUNT] = {
        [OUTCOME_ANSWERED] = "answered",
        [OUTCOME_BACKEND_FAILED] = "upstream_failed",
        [OUTCOME_NOT_RUN] = "not_run",
        [OUTCOME_NO_CAPACITY] = "no_room",
        [OUTCOME_NO_BACKEND] = "no_upstream",
        [OUTCOME_ALL_SKIPPED] = "passed_over",
        [OUTCOME_QUARANTINED] = "held",
        [OUTCOME_NO_CONFIGURATION] = "no_configuration",
        [OUTCOME_CONFIGURATION_STALE] = "configuration_behind",
        [OUTCOME_NO_ROUTE] = "no_route",
        [OUTCOME_DENIED] = "denied",
        [OUTCOME_OVER_LIMIT] = "over_limit",
        [OUTCOME_UNKNOWN] = "unknown",
        [OUTCOME_TIMEOUT] = "timeout",
        [OUTCOME_TIMEOUT_UNSENT] = "timeout_unsent",
        [OUTCOME_CUT_BY_BACKEND] = "cut_by_upstream",
        [OUTCOME_CUT_AT_DEADLINE] = "cut_at_deadline",
        [OUTCOME_CALLER_LEFT] = "caller_left",
    };
    return names[outcome];
}
