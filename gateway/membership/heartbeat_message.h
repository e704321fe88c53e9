/*
 * Heartbeat message: an instance's state as a protobuf message, and back.
 *
 * Owns the buffers that an outgoing message points into. Relies on members.h for what is sent of
 * the instance itself, on views.h and store_watch.h for its views and store, on backends.h for
 * outcomes at backend servers.
 */
#pragma once

#include "gateway/membership/notice_gossip.h"
#include "gateway/membership/suspect_gossip.h"
#include "gateway/state/backends.h"
#include "gateway/state/store_watch.h"
#include "peer/peer.pb-c.h"

enum {
    HEARTBEAT_PEERS_MAX = 64, /* addresses in one heartbeat. Chosen, not measured */
    /* The same in an answer of an instance that is no seed: 97 of a region answer, so that a few of
     * each are all; 64 of each were 0.2 MB to each instance of a fleet that starts. */
    HEARTBEAT_PEERS_NON_SEED_MAX = 16,
    HEARTBEAT_OUTCOMES_MAX = 64, /* backends in one; bounds its bytes (docs/CAPACITY.md) */
};

/* A message and everything it points to. */
typedef struct {
    Iris__GatewayHeartbeat message;
    Iris__ViewState views[VIEW_WATCHED];
    Iris__ViewState *view_list[VIEW_WATCHED];
    Iris__Demand demands[MEMBER_DEMANDS_MAX];
    Iris__Demand *demand_list[MEMBER_DEMANDS_MAX];
    Iris__Demand region_demands[MEMBER_DEMANDS_MAX];
    Iris__Demand *region_demand_list[MEMBER_DEMANDS_MAX];
    Iris__PeerAddress peers[HEARTBEAT_PEERS_MAX];
    Iris__PeerAddress *peer_list[HEARTBEAT_PEERS_MAX];
    Iris__Outcomes outcomes[HEARTBEAT_OUTCOMES_MAX];
    Iris__Outcomes *outcome_list[HEARTBEAT_OUTCOMES_MAX];
    suspect_message_t suspects[SUSPECTS_PER_REPLY];
    Iris__Suspect *suspect_list[SUSPECTS_PER_REPLY];
    Iris__BackendNotice notices[NOTICES_PER_REPLY];
    Iris__BackendNotice *notice_list[NOTICES_PER_REPLY];
    char peer_texts[HEARTBEAT_PEERS_MAX][ADDR_TEXT_MAX];
    char own_peer[ADDR_TEXT_MAX];
    char own_callers[ADDR_TEXT_MAX];
} heartbeat_message_t;

/* What an instance sends of itself. */
typedef struct {
    const member_t *self;
    const members_t *members;
    const views_t *views;
    const store_watch_t *watch;
    const suspect_gossip_t *suspect_gossip;
    const notice_gossip_t *notice_gossip;
    bool resumed;               /* this instance stood still and missed messages */
    const backends_t *backends; /* their unsent outcomes are taken into the message */
    unsigned round;             /* number of the heartbeat; addresses go into some rounds only */
    bool is_reply;              /* to an instance heard anew: without outcomes */
    size_t addresses_max;       /* in an answer: how many at most */
    bool was_announced;         /* that one said so before */
    uint64_t now_ms;
} heartbeat_source_t;

/* `out` must be zeroed; what `source` points to must outlive the message. */
void heartbeat_message_fill(heartbeat_message_t *out, const heartbeat_source_t *source);

/* The identity in a received message, checked. */
typedef struct {
    addr_t peer;
    addr_t callers;
    name_t instance;
    name_t hall;
} heartbeat_sender_t;

/* False if an address or a name is not valid. */
bool heartbeat_message_sender(const Iris__GatewayHeartbeat *message, heartbeat_sender_t *out);
/* Takes the sender's state over into its member; the identity is left to the caller. */
void heartbeat_message_apply(const Iris__GatewayHeartbeat *message, member_t *member);
