#include "gateway/policy/shutdown.h"

enum {
    /* Callers cache directory responses for up to 2 s (`directory_ttl_s` in deploy/gateway.yaml).
     */
    ACCEPT_MS = 2000,
    /* Callers wait up to a second for a new connection: one that was accepted just before the port
     * closed may still carry its first request. */
    IDLE_MAX_MS = 1000,
    /* From then on idle connections are closed at once: a request sent later than 3 s after the
     * stop request may not finish in time. */
    IDLE_END_MS = 2900,
    /* Minimum time from the stop request to the exit. */
    LIFETIME_MIN_MS = 2400,
    /* Time reserved for the process to exit by itself. */
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
