/*
 * Cold-start pacing: which instances send to a cold backend server, and at which rate.
 *
 * Two instances send: the first two by rendezvous hash among the instances of the backend's mesh
 * (membership/members.h), or of all meshes if that one has none. Each sends at 0.4 of the
 * configured rate with a burst of one request.
 *
 * A higher rate overloads a cold backend, and instances have no time to agree on the senders. Lost
 * instances stay in the list, so that a partition does not make new senders; two diverging lists
 * yield at most twice the number of senders.
 *
 * See docs/design/gateway/cold-start.md. Stateless; the token bucket is part of the backend, and
 * the time is passed in.
 */
#pragma once

#include <stddef.h>

#include "base/bucket.h"

enum { COLD_SENDERS = 2 }; /* instances that send to a cold backend */

/* An instance that may be chosen as a sender. */
typedef struct {
    uint64_t key; /* hash of the instance's name */
    size_t mesh;
} cold_sender_t;

/* True if the instance `own_key` sends to the backend while it is cold. `instances` includes this
 * instance. */
bool cold_start_is_sender(uint64_t backend_key, size_t backend_mesh, uint64_t own_key,
                          const cold_sender_t *instances, size_t count);
/* Starts pacing for a backend that has become cold; `per_s` is the rate it can take, 0 for no
 * limit. */
void cold_start_begin(bucket_t *tokens, double per_s, uint64_t now_ms);
/* The same for a backend whose service is not in the configuration. */
void cold_start_begin_unknown(bucket_t *tokens, uint64_t now_ms);
/* True if a token is available; takes none. */
bool cold_start_may_send(bucket_t *tokens, uint64_t now_ms);
void cold_start_count_send(bucket_t *tokens, uint64_t now_ms);
