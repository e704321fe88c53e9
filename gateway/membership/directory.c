#include "gateway/membership/directory.h"

static bool
is_named(const member_t *member, uint64_t now_ms)
{
    return member->heard && member->ready && !member->leaving &&
           now_ms - member->heard_ms <= member_unnamed_after_ms(member);
}

static size_t
collect(const members_t *members, const str_t *hall, size_t region, uint64_t now_ms,
        addr_t out[DIRECTORY_MAX])
{
    size_t count = 0;
    for (size_t i = 0; i < members->count && count < DIRECTORY_MAX; i++) {
        const member_t *member = &members->items[i];
        if (!is_named(member, now_ms))
            continue;
        if (hall != NULL && !name_eq(&member->hall, *hall))
            continue;
        if (region != TOPOLOGY_NO_REGION && member->region != region)
            continue;
        out[count++] = member->callers;
    }
    return count;
}

size_t
directory_pick(const members_t *members, const topology_t *topology, str_t region, str_t hall,
               uint64_t now_ms, addr_t out[DIRECTORY_MAX])
{
    size_t count = collect(members, &hall, TOPOLOGY_NO_REGION, now_ms, out);
    if (count == 0)
        count = collect(members, NULL, topology_region(topology, region), now_ms, out);
    if (count == 0)
        count = collect(members, NULL, TOPOLOGY_NO_REGION, now_ms, out);
    return count;
}
