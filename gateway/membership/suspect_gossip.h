/*
 * Suspect news: what instances tell each other of suspects.
 *
 * Told at once, and again in heartbeats, a few in turn, for whoever missed it; an instance heard
 * anew gets more of them with the answer to its first heartbeat. Nothing of it goes through the
 * store.
 *  - Up to MEMBERS_FULL_MESH_MAX instances: everything goes to all.
 *  - In a larger fleet one end goes to three instances of the own region that are the same for that
 *    request (keepers): after an end there are as many suspects as requests were there, and next to
 *    none of them shares a second. A request that is held, its trials and its clearing go to all of
 *    the region, and to two of each other region, which tell theirs.
 *
 * Owns the bound on messages sent. Relies on members.h for recipients there is, on peer/link.h.
 */
#pragma once

#include <uv.h>

#include "base/bucket.h"
#include "gateway/membership/members.h"
#include "gateway/membership/suspect_message.h"
#include "peer/link.h"

enum {
    /* In one heartbeat, some 400 bytes: twenty are told in two seconds. */
    SUSPECTS_PER_HEARTBEAT = 4,
    /* The same in a fleet of more than MEMBERS_FULL_MESH_MAX instances, which hear as many each
     * second: four were 20 kB/s at 52 instances a region while anything is held (docs/CAPACITY.md).
     */
    SUSPECTS_PER_HEARTBEAT_LARGE = 1,
    SUSPECTS_PER_REPLY = 32, /* 3 kB */
};

typedef struct {
    uv_loop_t *loop;
    members_t *members;
    suspects_t *suspects;
    peer_hub_t *hub;
    addr_t own; /* where peers reach this instance */
    size_t region;
} suspect_gossip_conf_t;

typedef struct {
    suspect_gossip_conf_t conf;
    uint64_t second; /* of loop time, in which `sent` were sent */
    unsigned sent;
} suspect_gossip_t;

void suspect_gossip_init(suspect_gossip_t *gossip, const suspect_gossip_conf_t *conf);
/* Tells what is untold; `ctx` is the suspect_gossip_t. What exceeds the bound on messages a second
 * waits for the next call. */
void suspect_gossip_send_unsent(void *ctx);
/* Takes in what a peer tells. */
void suspect_gossip_receive(suspect_gossip_t *gossip, const Iris__Suspects *message);
/* The same, from a heartbeat. */
void suspect_gossip_merge(suspect_gossip_t *gossip, Iris__Suspect *const *items, size_t count);
/* Fills messages with up to `max` suspects that others are to know of, another part for each
 * `round`; returns their number. */
size_t suspect_gossip_fill(const suspect_gossip_t *gossip, suspect_message_t *out, size_t max,
                           unsigned round);
