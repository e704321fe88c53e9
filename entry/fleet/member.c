#include <string.h>

#include "base/xmalloc.h"
#include "entry/fleet/member.h"

member_t *
members_find(const members_t *members, str_t name)
{
    for (size_t i = 0; i < members->count; i++) {
        if (name_eq(&members->items[i].name, name))
            return &members->items[i];
    }
    return NULL;
}

static void
drop_unlisted(members_t *members)
{
    size_t kept = 0;
    for (size_t i = 0; i < members->count; i++) {
        if (members->items[i].listed)
            members->items[kept++] = members->items[i];
    }
    members->count = kept;
}

void
members_update(members_t *members, const instances_t *list, str_t region, str_t self)
{
    for (size_t i = 0; i < members->count; i++)
        members->items[i].listed = false;
    for (size_t i = 0; i < list->count; i++) {
        const instance_t *instance = &list->items[i];
        if (instance->role != ROLE_ENTRY || !name_eq(&instance->region, region) ||
            name_eq(&instance->name, self))
            continue;
        member_t *member = members_find(members, name_str(&instance->name));
        if (member == NULL) {
            members->items =
                xrealloc(members->items, (members->count + 1) * sizeof(*members->items));
            member = &members->items[members->count++];
            *member = (member_t){.name = instance->name};
        }
        member->place = instance->place;
        member->addr = instance->addr;
        member->peer = instance->peer;
        member->admin = instance->admin;
        member->listed = true;
        member->leaving_listed = instance->leaving;
    }
    drop_unlisted(members);
}

bool
members_record_message(members_t *members, str_t name, uint64_t incarnation, bool leaving,
                       uint64_t now_ms)
{
    member_t *member = members_find(members, name);
    if (member == NULL || incarnation < member->incarnation)
        return false;
    member->incarnation = incarnation;
    member->heard_ms = now_ms;
    member->leaving_reported = leaving;
    return true;
}

bool
member_alive(const member_t *member, uint64_t now_ms)
{
    return member->heard_ms != 0 && now_ms < member->heard_ms + MEMBER_TIMEOUT_MS;
}

bool
member_serves(const member_t *member, uint64_t now_ms)
{
    return member_alive(member, now_ms) && !member->leaving_listed && !member->leaving_reported;
}

const member_t *
members_most_free(const members_t *members, uint64_t now_ms)
{
    const member_t *best = NULL;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (!member_alive(member, now_ms) || member->in_flight >= member->usable)
            continue;
        if (best == NULL || member->usable - member->in_flight > best->usable - best->in_flight)
            best = member;
    }
    return best;
}
