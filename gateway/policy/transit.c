#include "gateway/policy/transit.h"

/* Requests in transit that an instance takes even if it has none of its own. */
enum { IN_TRANSIT_MIN = 32 };

typedef enum { NEAR_HALL, NEAR_REGION, NEAR_ANY } nearness_t;

static nearness_t
nearness(const transit_peer_t *peer)
{
    if (peer->own_hall)
        return NEAR_HALL;
    return peer->own_region ? NEAR_REGION : NEAR_ANY;
}

/* Returns the index of the peer that comes `turn`-th among those so near. */
static size_t
nth_of(const transit_peer_t *peers, size_t count, nearness_t near, size_t turn)
{
    for (size_t i = 0; i < count; i++) {
        if (nearness(&peers[i]) == near && turn-- == 0)
            return i;
    }
    return count;
}

size_t
transit_choose(const transit_peer_t *peers, size_t count, uint64_t first, uint64_t second)
{
    size_t so_near[NEAR_ANY + 1] = {0};
    nearness_t near = NEAR_HALL;
    for (size_t i = 0; i < count; i++)
        so_near[nearness(&peers[i])]++;
    while (near < NEAR_ANY && so_near[near] == 0)
        near++;
    if (so_near[near] == 0)
        return count;
    const size_t one = nth_of(peers, count, near, first % so_near[near]);
    const size_t other = nth_of(peers, count, near, second % so_near[near]);
    return peers[other].in_flight < peers[one].in_flight ? other : one;
}

bool
transit_admits(size_t in_transit, size_t own)
{
    return in_transit < IN_TRANSIT_MIN || in_transit < own;
}
