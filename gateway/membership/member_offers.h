/*
 * Member offers: the offered work (offered_work.h) received from members, and its totals.
 *
 * Of members of the own mesh each one's work is kept, of another mesh the total that was last
 * received from any of its members; both are used for OFFERS_KEPT_MS. Kept in the table of members;
 * time is passed in.
 */
#pragma once

#include "gateway/membership/members.h"

/* Work of a service that is offered to all regions: in the own mesh the sum over alive members, in
 * each other mesh the total last received, for OFFERS_KEPT_MS. */
void members_offered(const members_t *members, str_t service, size_t own_region, uint64_t now_ms,
                     offered_totals_t *out);
/* The same of the own mesh alone. */
void members_mesh_offered(const members_t *members, str_t service, size_t own_region,
                          uint64_t now_ms, offered_totals_t *out);
/* Slots of work that the callers of a region offer to any region and that others may serve too. */
double members_free_work(const members_t *members, str_t service, size_t region, size_t own_region,
                         uint64_t now_ms);
/* Adds the offers for one service to `out`. */
void members_add_offers(const member_offers_t *offers, str_t service, offered_totals_t *out);
/* Replaces the offers by a copy of `items`. */
void member_offers_set(member_offers_t *offers, const member_offer_t *items, size_t count,
                       uint64_t now_ms);
