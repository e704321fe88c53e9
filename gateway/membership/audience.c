#include "gateway/membership/audience.h"

enum {
    KEEPERS = 3,       /* two may be lost, or not be reached */
    FEW_MAX = KEEPERS, /* the more of the two */
    REGION_RELAYS = 2, /* instances of another region that tell theirs */
};

static bool
is_mesh(const audience_t *audience)
{
    return audience->members->count <= MEMBERS_MESH;
}

/* Also one that is stopping: it takes requests for two seconds more. */
static bool
takes_news(const audience_t *audience, const member_t *member)
{
    return member->heard && audience->takes(member) && !addr_eq(&member->peer, &audience->own);
}

static void
send_one(const audience_t *audience, const member_t *member)
{
    audience->send(audience->ctx, member, !is_mesh(audience) && member->region != audience->region);
}

void
audience_near(const audience_t *audience)
{
    const members_t *members = audience->members;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        const bool near =
            member->region == audience->region && member_alive(member, audience->now_ms);
        if (takes_news(audience, member) && (near || is_mesh(audience)))
            send_one(audience, member);
    }
}

typedef struct {
    uint64_t key;
    const member_t *member; /* NULL: there is none */
} picked_t;

static bool
may_be_picked(const audience_t *audience, const member_t *member, size_t region)
{
    const bool near = region == audience->region;
    return member->region == region && takes_news(audience, member) && !member->leaving &&
           (!near || member_alive(member, audience->now_ms));
}

static void
send_to_few(const audience_t *audience, size_t region, size_t few, uint64_t seed)
{
    const members_t *members = audience->members;
    picked_t picked[FEW_MAX] = {0};
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (!may_be_picked(audience, member, region))
            continue;
        picked_t next = {str_hash(name_str(&member->instance), seed), member};
        for (size_t k = 0; k < few; k++) {
            if (picked[k].member != NULL && picked[k].key <= next.key)
                continue;
            const picked_t moved = picked[k];
            picked[k] = next;
            next = moved;
            if (next.member == NULL)
                break;
        }
    }
    for (size_t k = 0; k < few && picked[k].member != NULL; k++)
        send_one(audience, picked[k].member);
}

void
audience_keepers(const audience_t *audience, uint64_t seed)
{
    if (is_mesh(audience))
        audience_near(audience);
    else
        send_to_few(audience, audience->region, KEEPERS, seed);
}

void
audience_all(const audience_t *audience, uint64_t seed)
{
    audience_near(audience);
    if (is_mesh(audience))
        return;
    for (size_t region = 0; region < TOPOLOGY_REGIONS_MAX; region++) {
        if (region != audience->region)
            send_to_few(audience, region, REGION_RELAYS, seed);
    }
}
