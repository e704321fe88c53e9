#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "gateway/membership/member_offers.h"

void
members_add_offers(const member_offers_t *offers, str_t service, offered_totals_t *out)
{
    for (size_t i = 0; i < offers->count; i++) {
        const member_offer_t *offer = &offers->items[i];
        if (!name_eq(&offer->service, service))
            continue;
        for (size_t k = 0; k < URGENCY_LEVELS; k++)
            out->slots[offer->region][k] += offer->slots[k];
        out->bound[offer->region] += offer->bound;
        out->attempts[offer->region] += offer->attempts;
        out->rejected[offer->region] += offer->rejected;
    }
}

void
members_mesh_offered(const members_t *members, str_t service, size_t own_region, uint64_t now_ms,
                     offered_totals_t *out)
{
    const size_t mesh = members_own_mesh(members, own_region);
    *out = (offered_totals_t){0};
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (members_mesh(members, member) == mesh && member_alive(member, now_ms) &&
            now_ms - member->offers.received_ms <= OFFERS_KEPT_MS)
            members_add_offers(&member->offers, service, out);
    }
}

/* Returns the total received from another mesh, if it is recent; NULL otherwise. */
static const member_offers_t *
mesh_offers(const members_t *members, size_t mesh, size_t own_mesh, uint64_t now_ms)
{
    const member_offers_t *offers = &members->mesh_offers[mesh];
    const bool in_use = mesh > TOPOLOGY_REGIONS_MAX || !members->split[mesh];
    const bool recent = now_ms - offers->received_ms <= OFFERS_KEPT_MS;
    return in_use && recent && mesh != own_mesh ? offers : NULL;
}

void
members_offered(const members_t *members, str_t service, size_t own_region, uint64_t now_ms,
                offered_totals_t *out)
{
    const size_t own_mesh = members_own_mesh(members, own_region);
    members_mesh_offered(members, service, own_region, now_ms, out);
    for (size_t mesh = 0; mesh < MEMBERS_MESHES_MAX; mesh++) {
        const member_offers_t *offers = mesh_offers(members, mesh, own_mesh, now_ms);
        if (offers != NULL)
            members_add_offers(offers, service, out);
    }
}

/* Sets `in_region` for the meshes of a region. */
static void
find_meshes(const members_t *members, size_t region, bool *in_region)
{
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (member->heard && member->region == region)
            in_region[members_mesh(members, member)] = true;
    }
}

/* Of offered work, the part that other regions may serve too. */
static double
free_work(const offered_totals_t *totals)
{
    double slots = 0;
    for (size_t i = 0; i < TOPOLOGY_REGIONS_MAX; i++)
        slots += offered_totals_slots(totals, i) - totals->bound[i];
    return slots > 0 ? slots : 0;
}

double
members_free_work(const members_t *members, str_t service, size_t region, size_t own_region,
                  uint64_t now_ms)
{
    const size_t own_mesh = members_own_mesh(members, own_region);
    offered_totals_t work = {0};
    bool in_region[MEMBERS_MESHES_MAX] = {0};
    if (region == own_region)
        members_mesh_offered(members, service, own_region, now_ms, &work);
    find_meshes(members, region, in_region);
    for (size_t mesh = 0; mesh < MEMBERS_MESHES_MAX; mesh++) {
        const member_offers_t *offers = mesh_offers(members, mesh, own_mesh, now_ms);
        if (in_region[mesh] && offers != NULL)
            members_add_offers(offers, service, &work);
    }
    return free_work(&work);
}

void
member_offers_set(member_offers_t *offers, const member_offer_t *items, size_t count,
                  uint64_t now_ms)
{
    if (offers->count != count) {
        free(offers->items);
        offers->items = count > 0 ? xcalloc(count, sizeof(*items)) : NULL;
        offers->count = count;
    }
    if (count > 0)
        memcpy(offers->items, items, count * sizeof(*items));
    offers->received_ms = now_ms;
}
