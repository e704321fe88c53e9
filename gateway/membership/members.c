#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "members"
#include "base/log.h"
#include "base/xmalloc.h"
#include "gateway/membership/members.h"

enum {
    KEY_SEED = 51, /* must be the same on every instance */
    INITIAL_CAPACITY = 16,
    RETRY_SILENT_MS = 1200, /* interval of retries to a silent member */
    /* An idle watch answers after at most 3 s; the rest allows for latency. */
    WATCHER_AGE_MAX_MS = 3500,
};

/* Intervals without a heartbeat after which an instance counts as lost: 1.8 s in a small region. */
#define LOST_INTERVALS 4.5
/* Intervals after which it is no longer listed to callers: 1.3 s in a small region. */
#define UNLISTED_INTERVALS 3.25

member_t *
members_find_or_add(members_t *members, const addr_t *peer)
{
    for (size_t i = 0; i < members->count; i++) {
        if (addr_eq(&members->items[i].peer, peer))
            return &members->items[i];
    }
    if (members->count == MEMBERS_MAX) {
        LOG_WARN("member table is full: members=%zu", members->count);
        return NULL;
    }
    if (members->count == members->size) {
        members->size = members->size > 0 ? members->size * 2 : INITIAL_CAPACITY;
        members->items = xrealloc(members->items, members->size * sizeof(*members->items));
    }
    member_t *member = &members->items[members->count++];
    *member =
        (member_t){.peer = *peer, .region = TOPOLOGY_NO_REGION, .store_age_ms = STORE_AGE_NONE};
    return member;
}

static double
interval_of(const member_t *member)
{
    return member->interval_ms > 0 ? member->interval_ms : HEARTBEAT_MIN_MS;
}

/* Milliseconds of silence after which an instance counts as lost. */
static uint64_t
member_lost_after_ms(const member_t *member)
{
    return (uint64_t)(LOST_INTERVALS * interval_of(member));
}

uint64_t
member_unlisted_after_ms(const member_t *member)
{
    return (uint64_t)(UNLISTED_INTERVALS * interval_of(member));
}

bool
member_alive(const member_t *member, uint64_t now_ms)
{
    return member->heard && now_ms - member->heard_ms <= member_lost_after_ms(member);
}

size_t
members_rank_in_region(const members_t *members, str_t own, size_t region, bool served,
                       uint64_t now_ms)
{
    size_t rank = 0;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (!member_alive(member, now_ms) || member->leaving || member->region != region ||
            (served && member->store_failing))
            continue;
        rank += str_compare(name_str(&member->instance), own) < 0;
    }
    return rank;
}

uint32_t
members_store_age_max_ms(const members_t *members, size_t region, uint64_t now_ms)
{
    return WATCHER_AGE_MAX_MS + members_interval_ms(members, region, now_ms);
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

/* True if the member is alive and the store answered it within `age_ms`. */
static bool
has_recent_answer(const member_t *member, uint32_t age_ms, uint64_t now_ms)
{
    return member_alive(member, now_ms) && member->store_age_ms != STORE_AGE_NONE &&
           member->store_age_ms + (now_ms - member->heard_ms) <= age_ms;
}

bool
members_watch_store(const members_t *members, size_t region, uint32_t age_ms, uint64_t now_ms)
{
    const bool all_send_changes = members->count <= MEMBERS_FULL_MESH_MAX;
    for (size_t i = 0; i < members->count; i++) {
        const bool sends_changes = all_send_changes || members->items[i].region == region;
        if (sends_changes && has_recent_answer(&members->items[i], age_ms, now_ms))
            return true;
    }
    return false;
}

bool
members_store_is_down(const members_t *members, str_t own, bool own_failing, uint32_t age_ms,
                      uint64_t now_ms)
{
    size_t alive = 1;
    size_t failing = own_failing;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (!member_alive(member, now_ms) || name_eq(&member->instance, own))
            continue;
        if (!member->store_failing && has_recent_answer(member, age_ms, now_ms))
            return false;
        alive++;
        failing += member->store_failing;
    }
    return failing >= (alive < MEMBERS_OUTAGE_QUORUM ? alive : MEMBERS_OUTAGE_QUORUM);
}

bool
members_any_store_failure(const members_t *members, uint64_t now_ms)
{
    for (size_t i = 0; i < members->count; i++) {
        if (member_alive(&members->items[i], now_ms) && members->items[i].store_failing)
            return true;
    }
    return false;
}

bool
members_store_serves(const members_t *members, uint32_t age_ms, uint64_t now_ms)
{
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (!member->store_failing && has_recent_answer(member, age_ms, now_ms))
            return true;
    }
    return false;
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

static double
own_region_demand(const members_t *members, str_t service, size_t region, uint64_t now_ms)
{
    double slots = 0;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (member_alive(member, now_ms) && member->region == region)
            slots += find_demand(member->demands, member->demand_count, service);
    }
    return slots;
}

/* Returns the member of the region that was heard last, or NULL. */
static const member_t *
latest_in_region(const members_t *members, size_t region)
{
    const member_t *latest = NULL;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (member->heard && member->region == region &&
            (latest == NULL || member->heard_ms > latest->heard_ms))
            latest = member;
    }
    return latest;
}

double
members_demand(const members_t *members, str_t service, size_t region, size_t own_region,
               uint64_t now_ms)
{
    if (region == own_region)
        return own_region_demand(members, service, region, now_ms);
    const member_t *latest = latest_in_region(members, region);
    if (latest == NULL || !member_alive(latest, now_ms))
        return 0;
    return find_demand(latest->region_demands, latest->region_demand_count, service);
}

double
members_requests_per_s(const members_t *members, size_t region, uint64_t now_ms)
{
    double sum = 0;
    for (size_t i = 0; i < members->count; i++) {
        const member_t *member = &members->items[i];
        if (member->region == region && member_alive(member, now_ms))
            sum += member->capacity.requests_per_s;
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
members_count_alive_in_region(const members_t *members, size_t region, uint64_t now_ms)
{
    size_t count = 0;
    for (size_t i = 0; i < members->count; i++)
        count += member_alive(&members->items[i], now_ms) && members->items[i].region == region;
    return count;
}

size_t
members_total(const members_t *members, size_t own_region)
{
    size_t heard[TOPOLOGY_REGIONS_MAX + 1] = {0};
    size_t total = 0;
    for (size_t i = 0; i < members->count; i++) {
        if (members->items[i].heard)
            heard[members->items[i].region]++;
    }
    for (size_t region = 0; region <= TOPOLOGY_REGIONS_MAX; region++) {
        const member_t *latest = region != own_region ? latest_in_region(members, region) : NULL;
        const size_t reported = latest != NULL ? latest->region_members : 0;
        total += reported > heard[region] ? reported : heard[region];
    }
    return total;
}

uint32_t
members_interval_ms(const members_t *members, size_t region, uint64_t now_ms)
{
    const size_t scaled =
        HEARTBEAT_MS_PER_MEMBER * members_count_alive_in_region(members, region, now_ms);
    if (scaled < HEARTBEAT_MIN_MS)
        return HEARTBEAT_MIN_MS;
    return scaled < HEARTBEAT_MAX_MS ? (uint32_t)scaled : HEARTBEAT_MAX_MS;
}

/* Returns the member's position in its region and sets `count` to the region's size. */
static size_t
index_in_region(const members_t *members, size_t index, size_t *count)
{
    size_t position = 0;
    *count = 0;
    for (size_t i = 0; i < members->count; i++) {
        if (members->items[i].region != members->items[index].region)
            continue;
        position += i < index;
        (*count)++;
    }
    return position;
}

bool
members_is_target(const members_t *members, size_t index, size_t own_region, unsigned round,
                  uint64_t now_ms)
{
    const member_t *member = &members->items[index];
    if (members->count <= MEMBERS_FULL_MESH_MAX || member->region == own_region)
        return member_alive(member, now_ms) || now_ms - member->sent_ms >= RETRY_SILENT_MS;
    size_t count;
    const size_t position = index_in_region(members, index, &count);
    const size_t turn = (size_t)round * MEMBERS_PER_REMOTE_REGION % count;
    return (position + count - turn) % count < MEMBERS_PER_REMOTE_REGION;
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
            out[count++] = (cold_sender_t){member_key(name_str(&member->instance)), member->region};
    }
    return count;
}

void
members_free(members_t *members)
{
    free(members->items);
    *members = (members_t){0};
}
