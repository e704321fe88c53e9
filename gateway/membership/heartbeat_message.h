/*
 * Heartbeat message: encodes an instance's state as a protobuf message and decodes it.
 *
 * Owns the buffers that an outgoing message points into. Depends on members.h for the instance's
 * own state, on views.h and store_watch.h for views and the store, and on backends.h for outcomes
 * at backend servers.
 */
#pragma once

#include "gateway/membership/load_gossip.h"
#include "gateway/membership/notice_gossip.h"
#include "gateway/membership/offer_message.h"
#include "gateway/membership/rollout_gossip.h"
#include "gateway/membership/suspect_gossip.h"
#include "gateway/state/backends.h"
#include "gateway/state/store_watch.h"
#include "peer/peer.pb-c.h"

enum {
    HEARTBEAT_PEERS_MAX = 64,       /* addresses per reply, and per heartbeat of a small fleet */
    HEARTBEAT_PEERS_LARGE_MAX = 16, /* addresses per heartbeat of a large fleet */
    /* Addresses in a reply from a non-seed instance; every member of the mesh sends one. */
    HEARTBEAT_PEERS_NON_SEED_MAX = 16,
    HEARTBEAT_OUTCOMES_MAX = 64, /* backends per heartbeat; bounds its size */
};

/* A message and the buffers it points to. */
typedef struct {
    Iris__GatewayHeartbeat message;
    Iris__ViewState views[VIEW_WATCHED];
    Iris__ViewState *view_list[VIEW_WATCHED];
    Iris__Demand demands[MEMBER_DEMANDS_MAX];
    Iris__Demand *demand_list[MEMBER_DEMANDS_MAX];
    Iris__Demand mesh_demands[MEMBER_DEMANDS_MAX];
    Iris__Demand *mesh_demand_list[MEMBER_DEMANDS_MAX];
    offer_message_t offers[MEMBER_DEMANDS_MAX];
    offer_message_t mesh_offers[MEMBER_DEMANDS_MAX];
    Iris__PeerAddress peers[HEARTBEAT_PEERS_MAX];
    Iris__PeerAddress *peer_list[HEARTBEAT_PEERS_MAX];
    Iris__Outcomes outcomes[HEARTBEAT_OUTCOMES_MAX];
    Iris__Outcomes *outcome_list[HEARTBEAT_OUTCOMES_MAX];
    suspect_message_t suspects[SUSPECTS_PER_REPLY];
    Iris__Suspect *suspect_list[SUSPECTS_PER_REPLY];
    Iris__BackendNotice notices[NOTICES_PER_REPLY];
    Iris__BackendNotice *notice_list[NOTICES_PER_REPLY];
    load_message_t loads;
    rollout_message_t rollouts[ROLLOUT_REPORTS_MAX];
    Iris__RolloutReport *rollout_list[ROLLOUT_REPORTS_MAX];
    char peer_texts[HEARTBEAT_PEERS_MAX][ADDR_TEXT_MAX];
    char own_peer[ADDR_TEXT_MAX];
    char own_callers[ADDR_TEXT_MAX];
} heartbeat_message_t;

/* Input for an outgoing message. */
typedef struct {
    const member_t *self;
    const members_t *members;
    const topology_t *topology;
    const views_t *views;
    const store_watch_t *watch;
    const suspect_gossip_t *suspect_gossip;
    const notice_gossip_t *notice_gossip;
    rollout_gossip_t rollouts;
    bool resumed;               /* this instance stalled and missed messages */
    const backends_t *backends; /* their unsent outcomes are moved into the message */
    bool link_in_doubt;         /* to the backends (policy/reachability.h) */
    unsigned round;             /* number of the heartbeat; only some carry addresses */
    bool is_greeting;           /* to members not heard yet: without outcomes and addresses */
    bool is_reply;              /* to a new or restarted member: without outcomes */
    size_t receiver_mesh;       /* of a reply, which carries addresses of that mesh */
    size_t addresses_max;       /* limit of addresses in a reply */
    bool was_announced;         /* the receiver was announced in the store before */
    uint64_t now_ms;
} heartbeat_source_t;

/* `out` must be zeroed; `source` and its data must outlive the message. */
void heartbeat_message_fill(heartbeat_message_t *out, const heartbeat_source_t *source);

/* Selects the offered work that a filled message carries: for members of the own mesh the sender's,
 * if `send_own`, for members of other meshes the sum of this mesh. */
void heartbeat_message_select_offers(heartbeat_message_t *message, bool own_mesh, bool send_own);

/* Validated identity of a message's sender. */
typedef struct {
    addr_t peer;
    addr_t callers;
    name_t instance;
    name_t hall;
} heartbeat_sender_t;

/* Returns false if an address or a name is invalid. */
bool heartbeat_message_sender(const Iris__GatewayHeartbeat *message, heartbeat_sender_t *out);
/* Copies the sender's state to its member, except the identity and the offered work. */
void heartbeat_message_apply(const Iris__GatewayHeartbeat *message, const store_history_t *history,
                             member_t *member);
