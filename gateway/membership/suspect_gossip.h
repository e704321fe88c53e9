/*
 * Suspect gossip: shares suspects between instances.
 *
 * Changes are sent at once. For instances that missed one, heartbeats repeat a few suspects in
 * turn, and the reply to a new or restarted member carries more of them. The store is not involved.
 *  - In a full mesh every change goes to all instances.
 *  - In a larger fleet a single end goes to three instances of the own region, the same ones for
 *    that request (replicas), since after a crash every request in progress is a suspect and few
 *    of them share a second end. A quarantined request, its trials and its clearing go to all of
 *    the region and to two relays in each other region.
 *
 * Owns the rate limit of messages. Depends on members.h and peer/link.h.
 */
#pragma once

#include <uv.h>

#include "base/bucket.h"
#include "gateway/membership/members.h"
#include "gateway/membership/suspect_message.h"
#include "peer/link.h"

enum {
    /* Suspects per heartbeat, about 400 bytes: twenty are sent within two seconds. */
    SUSPECTS_PER_HEARTBEAT = 4,
    /* The same for fleets without a full mesh, where an instance receives more heartbeats. */
    SUSPECTS_PER_HEARTBEAT_LARGE = 1,
    SUSPECTS_PER_REPLY = 32, /* 3 kB */
};

typedef struct {
    uv_loop_t *loop;
    members_t *members;
    suspects_t *suspects;
    peer_hub_t *hub;
    addr_t own; /* address for peers */
    size_t region;
} suspect_gossip_conf_t;

typedef struct {
    suspect_gossip_conf_t conf;
    uint64_t second; /* second of loop time that `sent` counts */
    unsigned sent;
} suspect_gossip_t;

void suspect_gossip_init(suspect_gossip_t *gossip, const suspect_gossip_conf_t *conf);
/* Sends unsent suspects; `ctx` is the suspect_gossip_t. Above the rate limit they wait for the next
 * call. */
void suspect_gossip_send_unsent(void *ctx);
/* Merges suspects from a peer, and forwards them if it is a relay. */
void suspect_gossip_receive(suspect_gossip_t *gossip, const Iris__Suspects *message);
/* Merges suspects from a heartbeat. */
void suspect_gossip_merge(suspect_gossip_t *gossip, Iris__Suspect *const *items, size_t count);
/* Fills up to `max` messages with suspects that others need, rotating with `round`; returns their
 * number. */
size_t suspect_gossip_fill(const suspect_gossip_t *gossip, suspect_message_t *out, size_t max,
                           unsigned round);
