/*
 * Heartbeats between gateway instances: sends this instance's state and receives that of its peers.
 *
 * Owns the ready and leaving flags that peers see, and the schedule of heartbeats. Depends on
 * members.h for the receivers, on heartbeat_message.h for the message, on view_relay.h to compare
 * views, and on peer/link.h for the connections.
 */
#pragma once

#include "gateway/membership/heartbeat_message.h"
#include "gateway/policy/reachability.h"
#include "gateway/settings.h"
#include "gateway/state/services.h"
#include "gateway/state/traffic.h"
#include "gateway/state/view_relay.h"
#include "peer/link.h"

typedef struct {
    const gateway_settings_t *settings;
    members_t *members;
    const services_t *services; /* whose demand is sent */
    const traffic_t *traffic;   /* sent with each heartbeat */
    const backends_t *backends; /* whose outcomes are sent and received */
    size_t region;              /* of this instance */
    const views_t *views;
    const store_watch_t *watch;
    view_relay_t *relay;
    suspect_gossip_t *suspect_gossip;
    notice_gossip_t *notice_gossip;
    rollouts_t *rollouts;
    peer_hub_t *hub;
    uint64_t incarnation;        /* random number chosen at process start */
    addr_t transit;              /* own address for requests in transit */
    const reachability_t *reach; /* of the backend servers */
} heartbeat_conf_t;

typedef struct {
    heartbeat_conf_t conf;
    unsigned round;   /* number of heartbeats sent */
    uint64_t sent_ms; /* time of the last one */
    bool ready;
    bool leaving;
    bool announced;           /* this instance's entry is in the store */
    bool store_failing;       /* as sent in the last heartbeat */
    unsigned replies_sent;    /* to new or restarted members */
    unsigned heard_log_lines; /* "instance heard" events since the last tick */
    bool resumed;             /* the process stalled: peers resend messages it missed */
    bool is_due;              /* send at the next tick, whatever the interval */
    bool greeting_due;        /* the same to members that were not heard yet */
} heartbeat_t;

/* Adds this instance to the table of members. */
void heartbeat_init(heartbeat_t *heartbeat, const heartbeat_conf_t *conf, uint64_t now_ms);
/* Sets the ready flag; a change makes the next heartbeat due at once. */
void heartbeat_set_ready(heartbeat_t *heartbeat, bool ready, uint64_t now_ms);
/* Sends a heartbeat that announces that this instance is stopping. */
void heartbeat_leave(heartbeat_t *heartbeat, uint64_t now_ms);
/* Sends a heartbeat to the members that are due in this round. */
void heartbeat_send(heartbeat_t *heartbeat, uint64_t now_ms);
/* Sends a heartbeat that requests the messages missed while the process was stalled. */
void heartbeat_resume(heartbeat_t *heartbeat, uint64_t now_ms);
/* Sends a heartbeat to the members of the own mesh that were not heard yet, and to seeds. */
void heartbeat_greet(heartbeat_t *heartbeat, uint64_t now_ms);
/* Records that this instance's entry is in the store. */
void heartbeat_set_announced(heartbeat_t *heartbeat);
/* Sends a heartbeat if the interval has passed or a change is due. */
void heartbeat_tick(heartbeat_t *heartbeat, uint64_t now_ms);
void heartbeat_receive(heartbeat_t *heartbeat, const Iris__GatewayHeartbeat *message,
                       uint64_t now_ms);
/* Returns the exchange of roll-outs with the members. */
rollout_gossip_t heartbeat_rollouts(const heartbeat_t *heartbeat, uint64_t now_ms);
/* Adds the address of an instance, which gets heartbeats from now on. `announced`: its entry is in
 * the store. */
void heartbeat_add_address(heartbeat_t *heartbeat, const addr_t *peer, const name_t *hall,
                           bool announced);
