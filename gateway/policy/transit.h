/*
 * Transit: requests of an instance that reaches no backend server (reachability.h) go by way of a
 * peer that does. The peer decides on them as on its own and sends them on; a request takes one
 * such hop, never two.
 *
 * The peer is in the own data hall, else in the own region, else in another: bytes between these
 * cost more, and each region adds a round trip. A request that some regions may not see goes to a
 * peer of an allowed region only, since its body is sent there. Among the nearest, the one with
 * fewer requests in transit of two drawn at random: the choices of many instances that are cut at
 * once spread.
 *
 * A peer takes as many requests in transit as it has of its own callers, or a few: its processor
 * and link are sized for its own, and those must not wait for them.
 *
 * Pure. path/transit.h carries it out.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { TRANSIT_PEERS_MAX = 2 }; /* tried for one request */

/* A peer that reaches the backend servers. */
typedef struct {
    bool own_hall;
    bool own_region;
    uint32_t in_flight; /* of this instance's requests there */
} transit_peer_t;

/* Returns the index of the peer for a request, `count` if there is none. `first` and `second` are
 * random. */
size_t transit_choose(const transit_peer_t *peers, size_t count, uint64_t first, uint64_t second);
/* True if a peer with so many requests under way takes another one in transit. */
bool transit_admits(size_t in_transit, size_t own);
