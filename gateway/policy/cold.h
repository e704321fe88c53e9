/*
 * Pacing of cold upstreams.
 *
 * A cold upstream bears few requests a second, counted over all instances, which have no time to
 * agree. So only a few instances may use it: the first by hash among those this instance has ever
 * known (also lost ones, so that a partition does not make new ones), each with its part of the
 * rate and a burst of one. Two instances with different lists choose different users, so the
 * bound leaves room for twice the number.
 */
#pragma once

#include "gateway/state/backends.h"

enum { COLD_USERS = 2 };

typedef struct {
    uint64_t key; /* hash of the instance's name */
    size_t region;
} cold_peer_t;

/* True if the instance `own_key` may use that upstream while it is cold. Peers of the upstream's
 * region go first. `peers` holds the own instance too. */
bool cold_is_user(uint64_t backend_key, size_t backend_region, uint64_t own_key,
                  const cold_peer_t *peers, size_t count);
/* Sets the pace of a backend that turned cold. */
void cold_start(backend_t *backend, double per_s, uint64_t now_ms);
/* True if one more request may go; does not take it. */
bool cold_may_take(backend_t *backend, uint64_t now_ms);
void cold_take(backend_t *backend, uint64_t now_ms);
