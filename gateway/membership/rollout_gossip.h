/*
 * Roll-out gossip: heartbeats carry what an instance counted and decided about running roll-outs.
 *
 * An instance sends its own counts, which its mesh (members.h) hears, and the sum of its mesh for
 * the others. Nothing is sent while no order runs; a verdict is repeated for some seconds. Tells
 * whether all instances known have moved to the target, as the versions before it may then be
 * stopped: an instance that does not report the order has not.
 *
 * Owns the buffers of outgoing reports. Depends on state/rollouts.h and members.h.
 */
#pragma once

#include "gateway/membership/members.h"
#include "gateway/state/rollouts.h"
#include "peer/peer.pb-c.h"

enum {
    ROLLOUT_REPORTS_MAX = 4,                             /* orders per heartbeat */
    ROLLOUT_ROUTE_MESSAGES_MAX = ROLLOUT_ROUTES_MAX + 1, /* all, and each route */
};

typedef struct {
    Iris__RolloutReport message;
    Iris__RolloutRoute routes[ROLLOUT_ROUTE_MESSAGES_MAX];
    Iris__RolloutRoute *route_list[ROLLOUT_ROUTE_MESSAGES_MAX];
    Iris__RolloutRoute mesh_routes[ROLLOUT_ROUTE_MESSAGES_MAX];
    Iris__RolloutRoute *mesh_route_list[ROLLOUT_ROUTE_MESSAGES_MAX];
    rollout_counts_t own; /* the latencies of the messages point into these */
    rollout_counts_t mesh;
} rollout_message_t;

typedef struct {
    const members_t *members;
    rollouts_t *rollouts;
    const member_t *self;
    uint64_t now_ms;
} rollout_gossip_t;

/* Fills reports of the orders that peers must hear of; returns their number. */
size_t rollout_gossip_fill(const rollout_gossip_t *gossip,
                           rollout_message_t out[ROLLOUT_REPORTS_MAX]);
/* Applies the reports of a peer. */
void rollout_gossip_merge(const rollout_gossip_t *gossip, const member_t *sender,
                          Iris__RolloutReport *const *reports, size_t count);
/* True if every live instance known, in all meshes, has moved to the target of the order. */
bool rollout_gossip_all_moved(const rollout_gossip_t *gossip, const rollout_t *rollout);
