/*
 * Heartbeats between gateway instances: sends this instance's state and receives the others'.
 *
 * Owns the ready and leaving flags that peers get to see, and the pace of the
 * heartbeats. Relies on members.h for who gets one, on heartbeat_message.h for the message, on
 * view_relay.h to compare views, on peer/link.h for the connections.
 */
#pragma once

#include "gateway/membership/heartbeat_message.h"
#include "gateway/settings.h"
#include "gateway/state/services.h"
#include "gateway/state/traffic.h"
#include "gateway/state/view_relay.h"
#include "peer/link.h"

typedef struct {
    const gateway_settings_t *settings;
    members_t *members;
    const services_t *services; /* their demand is sent */
    const traffic_t *traffic;   /* is sent */
    const backends_t *backends; /* outcomes at them are sent and received */
    size_t region;              /* of this instance */
    const views_t *views;
    const store_watch_t *watch;
    view_relay_t *relay;
    suspect_gossip_t *suspect_gossip;
    notice_gossip_t *notice_gossip;
    peer_hub_t *hub;
    uint64_t incarnation; /* random number of this life of the process */
} heartbeat_conf_t;

typedef struct {
    heartbeat_conf_t conf;
    unsigned round;   /* heartbeats sent so far */
    uint64_t sent_ms; /* time of the last one */
    bool ready;
    bool leaving;
    bool announced;           /* the store has the entry of this instance */
    bool store_failing;       /* as peers were told last */
    unsigned replies_sent;    /* sent to instances heard anew */
    unsigned heard_log_lines; /* that could have been logged since the last tick */
    bool resumed;             /* it stood still: peers are to tell what it missed */
    bool is_due;              /* peers are to know at the next tick, whatever the interval */
} heartbeat_t;

/* The instance's own member exists afterwards. */
void heartbeat_init(heartbeat_t *heartbeat, const heartbeat_conf_t *conf, uint64_t now_ms);
/* Sets the ready flag of the next heartbeats; a change is told at once. */
void heartbeat_set_ready(heartbeat_t *heartbeat, bool ready, uint64_t now_ms);
/* The instance is stopping: sends a heartbeat that says so at once. */
void heartbeat_leave(heartbeat_t *heartbeat, uint64_t now_ms);
/* Sends a heartbeat to the members whose turn it is. */
void heartbeat_send(heartbeat_t *heartbeat, uint64_t now_ms);
/* The instance has stood still for so long that it missed messages: sends a heartbeat that asks for
 * them. */
void heartbeat_resume(heartbeat_t *heartbeat, uint64_t now_ms);
/* The next tick sends one, also to members that were not heard, however lately they got one. */
void heartbeat_retry_unheard(heartbeat_t *heartbeat);
/* The store has the entry of this instance. */
void heartbeat_set_announced(heartbeat_t *heartbeat);
/* Sends one if the interval has passed, or if there is news that peers wait for. */
void heartbeat_tick(heartbeat_t *heartbeat, uint64_t now_ms);
void heartbeat_receive(heartbeat_t *heartbeat, const Iris__GatewayHeartbeat *message,
                       uint64_t now_ms);
/* There is an instance at that address; it gets heartbeats from now on. `announced`: the store says
 * so. */
void heartbeat_add_address(heartbeat_t *heartbeat, const addr_t *peer, const name_t *hall,
                           bool announced);
