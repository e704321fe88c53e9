/*
 * Notice gossip: shares notices of backend servers between instances.
 *
 * A change is broadcast at once (broadcast.h). For instances that missed it, heartbeats repeat a
 * few notices in turn, and the reply to a new or restarted member carries more of them. The store
 * is not involved. A notice takes about 40 bytes.
 *
 * Owns the rate limit of messages. Depends on members.h, on the catalog for the notices, and on
 * peer/link.h.
 */
#pragma once

#include <uv.h>

#include "gateway/membership/broadcast.h"
#include "gateway/state/catalog.h"
#include "peer/link.h"

enum {
    /* Notices per heartbeat: 24 limited backend servers are sent within 1.2 s. */
    NOTICES_PER_HEARTBEAT = 8,
    /* The same for fleets without a full mesh, where an instance receives more heartbeats. */
    NOTICES_PER_HEARTBEAT_LARGE = 1,
    NOTICES_PER_REPLY = 64,
};

/* Configuration of notice gossip, also used by the permit exchange. */
typedef struct {
    uv_loop_t *loop;
    members_t *members;
    catalog_t *catalog;
    peer_hub_t *hub;
    addr_t own; /* address for peers */
    size_t region;
} notice_gossip_conf_t;

typedef struct {
    notice_gossip_conf_t conf;
    bucket_t messages; /* rate limit of sent messages */
} notice_gossip_t;

void notice_gossip_init(notice_gossip_t *gossip, const notice_gossip_conf_t *conf);
/* Broadcasts unsent notices; `ctx` is the notice_gossip_t. Above the rate limit they wait for the
 * next call. */
void notice_gossip_send_unsent(void *ctx);
/* Merges notices from a peer, and forwards them if it is a relay. */
void notice_gossip_receive(notice_gossip_t *gossip, const Iris__BackendNotices *message);
/* Merges notices from a heartbeat. */
void notice_gossip_merge(notice_gossip_t *gossip, Iris__BackendNotice *const *items, size_t count);
/* Fills up to `max` messages with notices, rotating with `round`; returns their number. */
size_t notice_gossip_fill(const notice_gossip_t *gossip, Iris__BackendNotice *out, size_t max,
                          unsigned round);
