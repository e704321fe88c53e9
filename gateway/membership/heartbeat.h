/* Heartbeats between gateway instances: what one tells of itself, and taking in another's. */
#pragma once

#include "gateway/router.h"
#include "gateway/settings.h"
#include "gateway/state/sync.h"

typedef struct {
    const gateway_settings_t *settings;
    members_t *members;
    const router_t *router;
    sync_t *sync;
    peer_hub_t *hub;
    uint64_t incarnation;
    unsigned round;
    uint64_t sent_ms; /* when the last round was sent */
    bool ready;
    bool leaving;
} heartbeat_t;

/* Tells the members whose turn it is. */
void heartbeat_send(heartbeat_t *heartbeat, uint64_t now_ms);
void heartbeat_receive(heartbeat_t *heartbeat, const Iris__GatewayHeartbeat *message,
                       uint64_t now_ms);
/* Takes in that there is an instance at that address. */
void heartbeat_know(heartbeat_t *heartbeat, const addr_t *peer, const name_t *hall);
/* Keeps the instance's own entry among the members up to date. */
void heartbeat_update_self(heartbeat_t *heartbeat, uint64_t now_ms);
