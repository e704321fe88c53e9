#include "gateway/policy/deadline.h"

enum {
    DEFAULT_LIMIT_MS = 30000, /* of a route without a limit. Chosen, not measured */
    /* Before the caller's deadline, for the answer's way back: up to 8 ms to callers on the users'
     * sites. Chosen, not measured. */
    RETURN_MARGIN_MS = 15,
};

uint64_t
deadline_allowed_ms(const deadline_input_t *input)
{
    const uint64_t route_ms = input->route_limit_ms > 0 ? input->route_limit_ms : DEFAULT_LIMIT_MS;
    if (!input->has_caller_limit || input->caller_limit_ms >= route_ms)
        return route_ms;
    if (input->caller_limit_ms <= RETURN_MARGIN_MS)
        return 1;
    return input->caller_limit_ms - RETURN_MARGIN_MS;
}
