#include "gateway/membership/broadcast.h"

enum {
    REPLICAS = 3,          /* two may be lost or unreachable */
    PICKED_MAX = REPLICAS, /* the larger of the two */
    RELAYS_PER_MESH = 2,   /* instances of another mesh that forward */
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

static bool
is_in_own_mesh(const broadcast_t *broadcast, const member_t *member)
{
    return members_mesh(broadcast->members, member) ==
           members_own_mesh(broadcast->members, broadcast->region);
}

static void
send_one(const broadcast_t *broadcast, const member_t *member)
{
    broadcast->send(broadcast->ctx, member,
                    !is_full_mesh(broadcast) && !is_in_own_mesh(broadcast, member));
}

void
broadcast_to_mesh(const broadcast_t *broadcast)
{
    const members_t *members = broadcast->members;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        const bool near =
            is_in_own_mesh(broadcast, member) && member_alive(member, broadcast->now_ms);
        if (is_recipient(broadcast, member) && (near || is_full_mesh(broadcast)))
            send_one(broadcast, member);
    }
}

typedef struct {
    uint64_t key;
    const member_t *member; /* NULL: unused */
} picked_t;

static bool
is_candidate(const broadcast_t *broadcast, const member_t *member, size_t mesh)
{
    return members_mesh(broadcast->members, member) == mesh && is_recipient(broadcast, member) &&
           !member->leaving &&
           (!is_in_own_mesh(broadcast, member) || member_alive(member, broadcast->now_ms));
}

static void
send_to_picked(const broadcast_t *broadcast, size_t mesh, size_t count, uint64_t seed)
{
    const members_t *members = broadcast->members;
    picked_t picked[PICKED_MAX] = {0};
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (!is_candidate(broadcast, member, mesh))
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
        broadcast_to_mesh(broadcast);
    else
        send_to_picked(broadcast, members_own_mesh(broadcast->members, broadcast->region), REPLICAS,
                       seed);
}

void
broadcast_to_all(const broadcast_t *broadcast, uint64_t seed)
{
    bool known[MEMBERS_MESHES_MAX] = {false};
    broadcast_to_mesh(broadcast);
    if (is_full_mesh(broadcast))
        return;
    for (size_t i = 0; i < broadcast->members->count; i++) {
        const member_t *member = &broadcast->members->items[i];
        if (member->region < TOPOLOGY_REGIONS_MAX && !is_in_own_mesh(broadcast, member))
            known[members_mesh(broadcast->members, member)] = true;
    }
    for (size_t mesh = 0; mesh < MEMBERS_MESHES_MAX; mesh++) {
        if (known[mesh])
            send_to_picked(broadcast, mesh, RELAYS_PER_MESH, seed);
    }
}
