#include "gateway/policy/shutdown.h"

enum {
    /* The directory's answers are kept for up to 2 s (`directory_ttl_s` in deploy/gateway.yaml). */
    ACCEPT_MS = 2000,
    /* Callers wait for a new connection to come up for a second (the users' protocol): one that was
     * made just before the port closes may still carry its first request. */
    REST_MAX_MS = 1000,
    /* Two ticks of the instance (0.2 s each) longer. Chosen, not measured. */
    STAY_MIN_MS = 2400,
    /* Left for the process to end by itself. Chosen, not measured. */
    BEFORE_KILL_MS = 600,
};

bool
shutdown_refuses_connections(uint64_t age_ms)
{
    return age_ms >= ACCEPT_MS;
}

uint64_t
shutdown_rest_max_ms(void)
{
    return REST_MAX_MS;
}

bool
shutdown_is_due(const shutdown_input_t *input)
{
    const bool idle = input->requests == 0 && input->connections == 0;
    if (idle && input->age_ms >= STAY_MIN_MS)
        return true;
    return input->age_ms + BEFORE_KILL_MS >= input->grace_ms;
}
