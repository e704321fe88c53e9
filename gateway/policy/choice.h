/*
 * Which upstream a request goes to.
 *
 * Requests about one object go to the same few upstreams, which have it in memory: weighted
 * rendezvous hashing within a region, the first of the object's replicas there that has room
 * (bounded load). The region is the plan's for the object, then the caller's, then the others.
 * Further upstreams are not used: they would work on the object for longer and forget others for
 * it, which makes an overload worse. If no replica has room, the request waits at the one that is
 * expected to end in time, or is refused. Large answers stay in the caller's region.
 * All instances make the same choice from the same list. Pure but for the cold upstreams' buckets.
 */
#pragma once

#include "gateway/state/backends.h"
#include "gateway/policy/cold.h"
#include "gateway/policy/plan.h"

enum { CHOICE_TRIED_MAX = 6 };

typedef enum {
    CHOICE_FIRST,     /* the first of the object's order in the planned region */
    CHOICE_LATER,     /* a later one there */
    CHOICE_ELSEWHERE, /* another region, since the planned one has no room */
    CHOICE_QUEUED,    /* has to wait at the upstream */
    CHOICE_FULL,      /* none: every upstream has too many waiting */
    CHOICE_NONE,      /* none: no upstream may get requests */
} choice_reason_t;

typedef struct {
    const backends_t *backends;
    const topology_t *topology;
    const config_route_t *route;
    str_t service;
    const plan_t *plan;
    str_t own_hall;
    size_t own_region;
    uint64_t object; /* hash of the object, or a random number */
    bool has_object; /* it is an object's */
    uint64_t now_ms;
    /* Told cold upstreams' users. */
    uint64_t own_key;
    const cold_peer_t *peers;
    size_t peer_count;
    bool peers_settled; /* the list of peers can be relied on */
    backend_t *const *tried;
    size_t tried_count;
    uint32_t wait_ms; /* a request may wait if it is expected to be answered within this time */
    double load_max;  /* and if the upstream has at most this load, in its slots */
    bool may_spill;   /* to a region that is not the planned one, if that has no room */
} choice_input_t;

backend_t *choice_pick(const choice_input_t *input, choice_reason_t *reason);
const char *choice_reason_name(choice_reason_t reason);
