#include "gateway/policy/deadline.h"

enum { DEFAULT_LIMIT_MS = 30000 }; /* for a route without a limit */

uint64_t
deadline_allowed_ms(const deadline_input_t *input)
{
    const uint64_t route_ms = input->route_limit_ms > 0 ? input->route_limit_ms : DEFAULT_LIMIT_MS;
    if (!input->has_caller_limit || input->caller_limit_ms >= route_ms)
        return route_ms;
    return input->caller_limit_ms > 0 ? input->caller_limit_ms : 1;
}
