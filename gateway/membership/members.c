#include <math.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "members"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/membership/member_offers.h"

enum {
    KEY_SEED = 51, /* must be the same on every instance */
    INITIAL_CAPACITY = 16,
    RETRY_SILENT_MS = 1200, /* interval of retries to a silent member */
    /* Upper bounds of the two times below: 3 and 2.25 times HEARTBEAT_MAX_MS. */
    LOST_MAX_MS = 3600,
    UNLISTED_MAX_MS = 2700,
};

/* Intervals without a heartbeat after which an instance counts as lost: 1.8 s in a small mesh. */
#define LOST_INTERVALS 4.5
/* Intervals after which it is no longer listed to callers: 1.3 s in a small mesh. */
#define UNLISTED_INTERVALS 3.25

/* ---- table ---- */

/* Returns the slot that holds the address, or the empty one where it belongs. */
static uint32_t *
find_slot(const members_t *members, const addr_t *peer)
{
    const size_t mask = members->slot_count - 1; /* a power of two */
    size_t at = addr_hash(peer) & mask;
    while (members->slots[at] != 0 && !addr_eq(&members->items[members->slots[at] - 1].peer, peer))
        at = (at + 1) & mask;
    return &members->slots[at];
}

static void
grow(members_t *members)
{
    members->size = members->size > 0 ? members->size * 2 : INITIAL_CAPACITY;
    members->items = xrealloc(members->items, members->size * sizeof(*members->items));
    members->slot_count = members->size * 2;
    free(members->slots);
    members->slots = xcalloc(members->slot_count, sizeof(*members->slots));
    for (size_t i = 0; i < members->count; i++)
        *find_slot(members, &members->items[i].peer) = (uint32_t)i + 1;
}

member_t *
members_find_or_add(members_t *members, const addr_t *peer)
{
    if (members->slot_count > 0 && *find_slot(members, peer) != 0)
        return &members->items[*find_slot(members, peer) - 1];
    if (members->count == MEMBERS_MAX) {
        LOG_WARN("member table is full: members=%zu", members->count);
        return NULL;
    }
    if (members->count == members->size)
        grow(members);
    member_t *member = &members->items[members->count++];
    *find_slot(members, peer) = (uint32_t)members->count;
    *member = (member_t){
        .peer = *peer,
        .region = TOPOLOGY_NO_REGION,
        .hall_index = TOPOLOGY_NO_HALL,
        .store_age_ms = STORE_AGE_NONE,
    };
    return member;
}

/* ---- meshes ---- */

void
members_update_meshes(members_t *members)
{
    size_t known[TOPOLOGY_REGIONS_MAX + 1] = {0};
    for (size_t i = 0; i < members->count; i++)
        known[members->items[i].region]++;
    for (size_t region = 0; region < TOPOLOGY_REGIONS_MAX; region++)
        members->split[region] |= known[region] > MEMBERS_REGION_MESH_MAX;
}

size_t
members_mesh_at(const members_t *members, size_t region, size_t hall_index)
{
    return members->split[region] ? TOPOLOGY_REGIONS_MAX + 1 + hall_index : region;
}

size_t
members_mesh(const members_t *members, const member_t *member)
{
    return members_mesh_at(members, member->region, member->hall_index);
}

size_t
members_own_mesh(const members_t *members, size_t region)
{
    return members_mesh_at(members, region, members->own_hall);
}

/* ---- liveness ---- */

static double
interval_of(const member_t *member)
{
    return member->interval_ms > 0 ? member->interval_ms : HEARTBEAT_MIN_MS;
}

/* Milliseconds of silence after which an instance counts as lost. */
static uint64_t
member_lost_after_ms(const member_t *member)
{
    return (uint64_t)fmin(LOST_INTERVALS * interval_of(member), LOST_MAX_MS);
}

uint64_t
member_unlisted_after_ms(const member_t *member)
{
    return (uint64_t)fmin(UNLISTED_INTERVALS * interval_of(member), UNLISTED_MAX_MS);
}

bool
member_alive(const member_t *member, uint64_t now_ms)
{
    return member->heard && now_ms - member->heard_ms <= member_lost_after_ms(member);
}

bool
members_hear_backends(const members_t *members, uint64_t now_ms)
{
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (member->backends_heard && !member->backends_lost && member_alive(member, now_ms))
            return true;
    }
    return false;
}

members_contact_t
members_last_contact(const members_t *members, str_t own, uint64_t now_ms)
{
    const member_t *latest = NULL;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (!member->heard || member->leaving || name_eq(&member->instance, own))
            continue;
        if (latest == NULL || member->heard_ms > latest->heard_ms)
            latest = member;
    }
    if (latest == NULL)
        return (members_contact_t){0};
    return (members_contact_t){
        .known = true,
        .alive = member_alive(latest, now_ms),
        .silent_ms = now_ms - latest->heard_ms,
    };
}

uint64_t
members_newer_view(const members_t *members, view_kind_t kind, uint64_t at, uint64_t digest,
                   uint64_t now_ms)
{
    uint64_t newest = 0;
    for (size_t i = 0; i < members->count; i++) {
        const member_view_t *view = &members->items[i].views[kind];
        const bool newer = view->known && view->at > at && view->digest != digest;
        if (newer && view->at > newest && member_alive(&members->items[i], now_ms))
            newest = view->at;
    }
    return newest;
}

static double
find_demand(const member_demand_t *demands, size_t count, str_t service)
{
    for (size_t i = 0; i < count; i++) {
        if (name_eq(&demands[i].service, service))
            return demands[i].slots;
    }
    return 0;
}

/* ---- totals ---- */

double
members_mesh_demand(const members_t *members, str_t service, size_t region, uint64_t now_ms)
{
    const size_t mesh = members_own_mesh(members, region);
    double slots = 0;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (members_mesh(members, member) == mesh && member_alive(member, now_ms))
            slots += find_demand(member->demands, member->demand_count, service);
    }
    return slots;
}

/* The member of each mesh that was heard last, or NULL. */
typedef struct {
    const member_t *items[MEMBERS_MESHES_MAX];
} latest_t;

/* Finds them for the meshes of a region, or of all if `region` is TOPOLOGY_NO_REGION. */
static void
find_latest(const members_t *members, size_t region, latest_t *out)
{
    *out = (latest_t){0};
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (!member->heard || (region != TOPOLOGY_NO_REGION && member->region != region))
            continue;
        const member_t **latest = &out->items[members_mesh(members, member)];
        if (*latest == NULL || member->heard_ms > (*latest)->heard_ms)
            *latest = member;
    }
}

double
members_demand(const members_t *members, str_t service, size_t region, size_t own_region,
               uint64_t now_ms)
{
    const size_t own_mesh = members_own_mesh(members, own_region);
    double slots = region == own_region ? members_mesh_demand(members, service, region, now_ms) : 0;
    latest_t latest;
    find_latest(members, region, &latest);
    for (size_t mesh = 0; mesh < MEMBERS_MESHES_MAX; mesh++) {
        const member_t *member = latest.items[mesh];
        if (member != NULL && mesh != own_mesh && member_alive(member, now_ms))
            slots += find_demand(member->mesh_demands, member->mesh_demand_count, service);
    }
    return slots;
}

double
members_mesh_requests_per_s(const members_t *members, size_t region, uint64_t now_ms)
{
    const size_t mesh = members_own_mesh(members, region);
    double sum = 0;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (members_mesh(members, member) == mesh && member_alive(member, now_ms))
            sum += member->capacity.requests_per_s;
    }
    return sum;
}

double
members_requests_per_s(const members_t *members, size_t region, uint64_t now_ms)
{
    const size_t own_mesh = members_own_mesh(members, region);
    double sum = members_mesh_requests_per_s(members, region, now_ms);
    latest_t latest;
    find_latest(members, region, &latest);
    for (size_t mesh = 0; mesh < MEMBERS_MESHES_MAX; mesh++) {
        const member_t *member = latest.items[mesh];
        if (member != NULL && mesh != own_mesh && member_alive(member, now_ms))
            sum += member->mesh_requests_per_s;
    }
    return sum;
}

size_t
members_count_alive(const members_t *members, uint64_t now_ms)
{
    size_t count = 0;
    for (size_t i = 0; i < members->count; i++)
        count += member_alive(&members->items[i], now_ms);
    return count;
}

size_t
members_count_alive_in_mesh(const members_t *members, size_t region, uint64_t now_ms)
{
    const size_t mesh = members_own_mesh(members, region);
    size_t count = 0;
    for (size_t i = 0; i < members->count; i++)
        count += members_mesh(members, &members->items[i]) == mesh &&
                 member_alive(&members->items[i], now_ms);
    return count;
}

size_t
members_total(const members_t *members, size_t own_region)
{
    size_t heard[MEMBERS_MESHES_MAX] = {0};
    const size_t own_mesh = members_own_mesh(members, own_region);
    size_t total = 0;
    latest_t latest;
    for (size_t i = 0; i < members->count; i++) {
        if (members->items[i].heard)
            heard[members_mesh(members, &members->items[i])]++;
    }
    find_latest(members, TOPOLOGY_NO_REGION, &latest);
    for (size_t mesh = 0; mesh < MEMBERS_MESHES_MAX; mesh++) {
        const member_t *member = mesh != own_mesh ? latest.items[mesh] : NULL;
        const size_t reported = member != NULL ? member->mesh_members : 0;
        total += reported > heard[mesh] ? reported : heard[mesh];
    }
    return total;
}

size_t
members_known(const members_t *members, size_t own_region)
{
    const size_t total = members_total(members, own_region);
    return total > members->count ? total : members->count;
}

bool
members_hears_nobody(const members_t *members)
{
    size_t heard = 0;
    for (size_t i = 0; i < members->count; i++)
        heard += members->items[i].heard;
    return heard <= 1 && members->count > 1;
}

uint32_t
members_interval_ms(const members_t *members, size_t region, uint64_t now_ms)
{
    const size_t scaled =
        HEARTBEAT_MS_PER_MEMBER * members_count_alive_in_mesh(members, region, now_ms);
    if (scaled < HEARTBEAT_MIN_MS)
        return HEARTBEAT_MIN_MS;
    return scaled < HEARTBEAT_MAX_MS ? (uint32_t)scaled : HEARTBEAT_MAX_MS;
}

/* ---- heartbeats ---- */

/* True if it is the turn of the member at `position` of a mesh of `count`. */
static bool
is_in_turn(const members_t *members, size_t position, size_t count, unsigned round)
{
    const size_t turn = (members->own_turn + (size_t)round * MEMBERS_PER_REMOTE_MESH) % count;
    return (position + count - turn) % count < MEMBERS_PER_REMOTE_MESH;
}

void
members_select_targets(const members_t *members, size_t own_region, unsigned round, uint64_t now_ms,
                       bool *targets)
{
    size_t counts[MEMBERS_MESHES_MAX] = {0};
    size_t positions[MEMBERS_MESHES_MAX] = {0};
    const size_t own_mesh = members_own_mesh(members, own_region);
    for (size_t i = 0; i < members->count; i++)
        counts[members_mesh(members, &members->items[i])]++;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        const size_t mesh = members_mesh(members, member);
        if (members->count <= MEMBERS_FULL_MESH_MAX || mesh == own_mesh)
            targets[i] =
                member_alive(member, now_ms) || now_ms - member->sent_ms >= RETRY_SILENT_MS;
        else
            targets[i] = is_in_turn(members, positions[mesh], counts[mesh], round);
        positions[mesh]++;
    }
}

uint64_t
member_key(str_t instance)
{
    return str_hash(instance, KEY_SEED);
}

size_t
members_cold_senders(const members_t *members, cold_sender_t *out, size_t max)
{
    size_t count = 0;
    for (size_t i = 0; i < members->count && count < max; i++) {
        const member_t *member = &members->items[i];
        if (member->heard)
            out[count++] = (cold_sender_t){member_key(name_str(&member->instance)),
                                           members_mesh(members, member)};
    }
    return count;
}

void
members_free(members_t *members)
{
    for (size_t i = 0; i < members->count; i++)
        free(members->items[i].offers.items);
    for (size_t i = 0; i < MEMBERS_MESHES_MAX; i++)
        free(members->mesh_offers[i].items);
    free(members->items);
    free(members->slots);
    *members = (members_t){0};
}
