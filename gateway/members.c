#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "gateway/members.h"

enum { KEY_SEED = 51, ITEMS_START = 16 };

member_t *
members_at(members_t *members, const addr_t *peer)
{
    for (size_t i = 0; i < members->count; i++) {
        if (addr_eq(&members->items[i].peer, peer))
            return &members->items[i];
    }
    if (members->count == MEMBERS_MAX)
        return NULL;
    if (members->count == members->size) {
        members->size = members->size > 0 ? members->size * 2 : ITEMS_START;
        members->items = xrealloc(members->items, members->size * sizeof(*members->items));
    }
    member_t *member = &members->items[members->count++];
    *member = (member_t){.peer = *peer, .store_age_ms = STORE_AGE_NONE};
    return member;
}

bool
member_alive(const member_t *member, uint64_t now_ms)
{
    return member->heard && now_ms - member->heard_ms <= MEMBER_ALIVE_MS;
}

bool
members_first_in_region(const members_t *members, str_t own, size_t region, uint64_t now_ms)
{
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (!member_alive(member, now_ms) || member->leaving || member->store_failing ||
            member->region != region)
            continue;
        const str_t name = name_str(&member->instance);
        const int order = memcmp(name.ptr, own.ptr, name.len < own.len ? name.len : own.len);
        if (order < 0 || (order == 0 && name.len < own.len))
            return false;
    }
    return true;
}

bool
members_follow_store(const members_t *members, uint32_t age_ms, uint64_t now_ms)
{
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (!member_alive(member, now_ms) || member->store_age_ms == STORE_AGE_NONE)
            continue;
        if (member->store_age_ms + (now_ms - member->heard_ms) <= age_ms)
            return true;
    }
    return false;
}

bool
members_store_fails_all(const members_t *members, str_t own, uint64_t now_ms)
{
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (member_alive(member, now_ms) && !member->store_failing &&
            !name_eq(&member->instance, own))
            return false;
    }
    return true;
}

double
members_demand(const members_t *members, str_t service, size_t region, uint64_t now_ms)
{
    double slots = 0;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (!member_alive(member, now_ms) || member->region != region)
            continue;
        for (size_t k = 0; k < member->demand_count; k++) {
            if (name_eq(&member->demands[k].service, service))
                slots += member->demands[k].slots;
        }
    }
    return slots;
}

uint64_t
member_key(str_t instance)
{
    return str_hash(instance, KEY_SEED);
}

size_t
members_cold_peers(const members_t *members, cold_peer_t *out, size_t max)
{
    size_t count = 0;
    for (size_t i = 0; i < members->count && count < max; i++) {
        const member_t *member = &members->items[i];
        if (member->heard)
            out[count++] = (cold_peer_t){member_key(name_str(&member->instance)), member->region};
    }
    return count;
}

void
members_free(members_t *members)
{
    free(members->items);
    *members = (members_t){0};
}
