#include "gateway/policy/shutdown.h"

enum {
    /* The directory's answers are kept for up to 2 s (`directory_ttl_s` in deploy/gateway.yaml). */
    ACCEPT_MS = 2000,
    /* Callers wait for a new connection to come up for a second (the users' protocol): one that was
     * made just before the port closes may still carry its first request. */
    IDLE_MAX_MS = 1000,
    /* From then on no connection rests: a request that is sent later than 3 s after the request to
     * stop may still run when the process has to end (the platform's figure), less a tick. */
    IDLE_END_MS = 2900,
    /* Two ticks of the instance (0.2 s each) longer. Chosen, not measured. */
    LIFETIME_MIN_MS = 2400,
    /* Left for the process to end by itself. Chosen, not measured. */
    BEFORE_KILL_MS = 600,
};

bool
shutdown_refuses_connections(uint64_t age_ms)
{
    return age_ms >= ACCEPT_MS;
}

uint64_t
shutdown_idle_max_ms(uint64_t age_ms)
{
    return age_ms < IDLE_END_MS ? IDLE_MAX_MS : 0;
}

bool
shutdown_is_due(const shutdown_input_t *input)
{
    const bool idle = input->requests == 0 && input->connections == 0 && !input->accepting;
    if (idle && input->age_ms >= LIFETIME_MIN_MS)
        return true;
    return input->age_ms + BEFORE_KILL_MS >= input->grace_ms;
}
