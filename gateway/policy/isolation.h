/*
 * Isolation: whether an instance may be cut off from all sources of a newer configuration.
 *
 * An isolated instance goes on with the configuration in force, but does not answer that something
 * does not exist: operators may have added it meanwhile, and a caller who gets 404 or 401 does not
 * come again. If the only peer has ended unannounced, the store's answer to a probe ends the doubt
 * (store_watch_probe()).
 *
 * Stateless.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    bool peers_known;         /* other instances, except those that were leaving */
    bool peers_alive;         /* at least one of them */
    uint64_t peers_silent_ms; /* since the last heartbeat of any of them */
    uint64_t store_silent_ms; /* since the store's last answer; UINT64_MAX if there was none */
} isolation_input_t;

/* True if the instance knows peers, hears none of them, and has not heard the store since. */
bool isolation_is_possible(const isolation_input_t *input);
