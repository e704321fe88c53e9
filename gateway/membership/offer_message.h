/*
 * Offer message: the offered work (offered_work.h) in a heartbeat, sent with the demand of each
 * service.
 *
 * Of the members of the own mesh each one's work is kept, of another mesh only its total, as last
 * received from any of its members: what an instance keeps grows with its mesh, not with the fleet.
 * Received work stays in use for OFFERS_KEPT_MS: instances send theirs to the own mesh in every
 * second heartbeat, and instances of earlier versions send none.
 */
#pragma once

#include "gateway/membership/member_offers.h"
#include "gateway/state/services.h"
#include "peer/peer.pb-c.h"

/* Offered work of one service, and the buffers of its message. */
typedef struct {
    Iris__OfferedWork items[MEMBER_OFFERS_MAX];
    Iris__OfferedWork *list[MEMBER_OFFERS_MAX];
    float slots[MEMBER_OFFERS_MAX][URGENCY_LEVELS];
    size_t count;
} offer_message_t;

/* Sets the offered work of this instance's callers for the services whose work is counted. */
void offer_message_set_own(member_t *self, const services_t *services, size_t region_count);
/* Adds offered work to the demand of its service; `out` must live as long as `demand`. */
void offer_message_fill(offer_message_t *out, const offered_totals_t *work,
                        const topology_t *topology, Iris__Demand *demand);
/* Stores the work that a member's heartbeat carries; regions not in `topology` are skipped. */
void offer_message_apply(const Iris__GatewayHeartbeat *message, const topology_t *topology,
                         members_t *members, member_t *member, size_t own_region, uint64_t now_ms);
