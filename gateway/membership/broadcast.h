/*
 * Broadcast: selects the instances that receive an update at once.
 *
 * In a full mesh an update goes directly to all instances. In a larger fleet it goes to all
 * instances of the own mesh (members.h) and to two relays in each other mesh, which forward it in
 * theirs.
 *
 * Owns nothing. Depends on members.h; time is passed in.
 */
#pragma once

#include "gateway/membership/members.h"

/* Sends to one instance. `relay`: the receiver forwards to its mesh. */
typedef void (*broadcast_send_t)(void *ctx, const member_t *member, bool relay);

typedef struct {
    const members_t *members;
    addr_t own;    /* address for peers */
    size_t region; /* of this instance */
    uint64_t now_ms;
    bool (*accepts)(const member_t *member); /* true if it supports this kind of update */
    broadcast_send_t send;
    void *ctx;
} broadcast_t;

/* Sends to all alive instances of the own mesh, or to all instances in a full mesh. */
void broadcast_to_mesh(const broadcast_t *broadcast);
/* Sends to the replicas in the own mesh, which are the same for a given seed on every sender; in
 * a full mesh to all instances. */
void broadcast_to_replicas(const broadcast_t *broadcast, uint64_t seed);
/* Sends to the own mesh, and through relays to the others. */
void broadcast_to_all(const broadcast_t *broadcast, uint64_t seed);
