/*
 * Offer message: the offered work (offered_work.h) in a heartbeat, told with the demand of each
 * service.
 *
 * Of the members of the own mesh each one's work is kept, of another mesh only its total, as told
 * last by one of its members: what an instance keeps grows with its mesh, not with the fleet.
 * What was told stays in use for a few seconds (members.c): instances tell their own mesh in every
 * second heartbeat, and instances of earlier versions tell none.
 */
#pragma once

#include "gateway/membership/member_offers.h"
#include "peer/peer.pb-c.h"

/* Offered work of one service, and the buffers of its message. */
typedef struct {
    Iris__OfferedWork items[MEMBER_OFFERS_MAX];
    Iris__OfferedWork *list[MEMBER_OFFERS_MAX];
    float slots[MEMBER_OFFERS_MAX][URGENCY_LEVELS];
    size_t count;
} offer_message_t;

/* Adds offered work to the demand of its service; `out` must live as long as `demand`. */
void offer_message_fill(offer_message_t *out, const offered_totals_t *work,
                        const topology_t *topology, Iris__Demand *demand);
/* Stores what a member told in a heartbeat; regions that are not in `topology` are skipped. */
void offer_message_apply(const Iris__GatewayHeartbeat *message, const topology_t *topology,
                         members_t *members, member_t *member, size_t own_region, uint64_t now_ms);
