#include "gateway/membership/broadcast.h"

enum {
    REPLICAS = 3,          /* two may be lost or unreachable */
    PICKED_MAX = REPLICAS, /* the larger of the two */
    RELAYS_PER_REGION = 2, /* instances of another region that forward */
};

static bool
is_full_mesh(const broadcast_t *broadcast)
{
    return broadcast->members->count <= MEMBERS_FULL_MESH_MAX;
}

/* Includes stopping instances, which still take requests for two seconds. */
static bool
is_recipient(const broadcast_t *broadcast, const member_t *member)
{
    return member->heard && broadcast->accepts(member) && !addr_eq(&member->peer, &broadcast->own);
}

static void
send_one(const broadcast_t *broadcast, const member_t *member)
{
    broadcast->send(broadcast->ctx, member,
                    !is_full_mesh(broadcast) && member->region != broadcast->region);
}

void
broadcast_to_region(const broadcast_t *broadcast)
{
    const members_t *members = broadcast->members;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        const bool in_own_region =
            member->region == broadcast->region && member_alive(member, broadcast->now_ms);
        if (is_recipient(broadcast, member) && (in_own_region || is_full_mesh(broadcast)))
            send_one(broadcast, member);
    }
}

typedef struct {
    uint64_t key;
    const member_t *member; /* NULL: unused */
} picked_t;

static bool
is_candidate(const broadcast_t *broadcast, const member_t *member, size_t region)
{
    const bool in_own_region = region == broadcast->region;
    return member->region == region && is_recipient(broadcast, member) && !member->leaving &&
           (!in_own_region || member_alive(member, broadcast->now_ms));
}

static void
send_to_picked(const broadcast_t *broadcast, size_t region, size_t count, uint64_t seed)
{
    const members_t *members = broadcast->members;
    picked_t picked[PICKED_MAX] = {0};
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (!is_candidate(broadcast, member, region))
            continue;
        picked_t next = {str_hash(name_str(&member->instance), seed), member};
        for (size_t k = 0; k < count; k++) {
            if (picked[k].member != NULL && picked[k].key <= next.key)
                continue;
            const picked_t moved = picked[k];
            picked[k] = next;
            next = moved;
            if (next.member == NULL)
                break;
        }
    }
    for (size_t k = 0; k < count && picked[k].member != NULL; k++)
        send_one(broadcast, picked[k].member);
}

void
broadcast_to_replicas(const broadcast_t *broadcast, uint64_t seed)
{
    if (is_full_mesh(broadcast))
        broadcast_to_region(broadcast);
    else
        send_to_picked(broadcast, broadcast->region, REPLICAS, seed);
}

void
broadcast_to_all(const broadcast_t *broadcast, uint64_t seed)
{
    broadcast_to_region(broadcast);
    if (is_full_mesh(broadcast))
        return;
    for (size_t region = 0; region < TOPOLOGY_REGIONS_MAX; region++) {
        if (region != broadcast->region)
            send_to_picked(broadcast, region, RELAYS_PER_REGION, seed);
    }
}
