#include "gateway/membership/offer_message.h"

#include <string.h>

#include "base/xmalloc.h"

/* Slots below which offered work is not sent; the averages never quite reach 0. */
#define OFFERED_MIN_SLOTS 0.001

void
offer_message_fill(offer_message_t *out, const offered_totals_t *work, const topology_t *topology,
                   Iris__Demand *demand)
{
    size_t count = 0;
    for (size_t i = 0; i < topology->region_count && count < MEMBER_OFFERS_MAX; i++) {
        if (offered_totals_slots(work, i) <= 0)
            continue;
        Iris__OfferedWork *item = &out->items[count];
        iris__offered_work__init(item);
        item->region = (char *)topology->regions[i].ptr;
        for (size_t k = 0; k < URGENCY_LEVELS; k++)
            out->slots[count][k] = (float)work->slots[i][k];
        item->n_slots = URGENCY_LEVELS;
        item->slots = out->slots[count];
        item->bound = (float)work->bound[i];
        item->attempts = (float)work->attempts[i];
        item->rejected = (float)work->rejected[i];
        out->list[count++] = item;
    }
    out->count = count;
    demand->n_offered = count;
    demand->offered = out->list;
}

/* Returns false for a region that is not known here. */
static bool
read_offer(const Iris__OfferedWork *work, str_t service, const topology_t *topology,
           member_offer_t *out)
{
    *out = (member_offer_t){
        .region = topology_region(topology, str_from(work->region)),
        .bound = work->bound,
        .attempts = work->attempts,
        .rejected = work->rejected,
    };
    for (size_t i = 0; i < work->n_slots && i < URGENCY_LEVELS; i++)
        out->slots[i] = work->slots[i];
    return out->region != TOPOLOGY_NO_REGION && name_set(&out->service, service);
}

/* Replaces `out` by the offered work in `demands`. */
static void
read_offers(Iris__Demand *const *demands, size_t count, const topology_t *topology, uint64_t now_ms,
            member_offers_t *out)
{
    static member_offer_t items[MEMBER_DEMANDS_MAX * MEMBER_OFFERS_MAX];
    size_t read_count = 0;
    for (size_t i = 0; i < count && i < MEMBER_DEMANDS_MAX; i++) {
        const str_t service = str_from(demands[i]->service);
        for (size_t k = 0; k < demands[i]->n_offered && k < MEMBER_OFFERS_MAX; k++)
            read_count += read_offer(demands[i]->offered[k], service, topology, &items[read_count]);
    }
    member_offers_set(out, items, read_count, now_ms);
}

void
offer_message_set_own(member_t *self, const services_t *services, size_t region_count)
{
    enum { ITEMS_MAX = MEMBER_DEMANDS_MAX * MEMBER_OFFERS_MAX };
    static member_offer_t items[ITEMS_MAX];
    size_t count = 0;
    for (size_t i = 0; i < services->count; i++) {
        const service_t *service = services->items[i];
        if (service->offered == NULL)
            continue;
        const offered_totals_t *work = &service->offered->average;
        for (size_t region = 0; region < region_count && count < ITEMS_MAX; region++) {
            if (offered_totals_slots(work, region) < OFFERED_MIN_SLOTS)
                continue;
            items[count] = (member_offer_t){
                .service = service->name,
                .region = region,
                .bound = work->bound[region],
                .attempts = work->attempts[region],
                .rejected = work->rejected[region],
            };
            memcpy(items[count].slots, work->slots[region], sizeof(items[count].slots));
            count++;
        }
    }
    member_offers_set(&self->offers, items, count, self->heard_ms);
}

static bool
has_offers(Iris__Demand *const *demands, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (demands[i]->n_offered > 0)
            return true;
    }
    return false;
}

void
offer_message_apply(const Iris__GatewayHeartbeat *message, const topology_t *topology,
                    members_t *members, member_t *member, size_t own_region, uint64_t now_ms)
{
    const size_t mesh = members_mesh(members, member);
    if (mesh == members_own_mesh(members, own_region)) {
        if (has_offers(message->demands, message->n_demands))
            read_offers(message->demands, message->n_demands, topology, now_ms, &member->offers);
        return;
    }
    member_offers_set(&member->offers, NULL, 0, now_ms);
    if (has_offers(message->mesh_demands, message->n_mesh_demands))
        read_offers(message->mesh_demands, message->n_mesh_demands, topology, now_ms,
                    &members->mesh_offers[mesh]);
}
